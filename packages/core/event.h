/* Structured event log: one JSON object per line, with a limit of lines per
   second for each kind of event.  Writing never blocks; the sink decides where
   the lines go.  */
#ifndef CB_EVENT_H
#define CB_EVENT_H

#include "reason.h"

enum ev
{
#define E(sym, name, per_s, help) EV_##sym,
#include "event.def"
#undef E
  EV_COUNT
};

/* One field of a line: a string, or an integer when TEXT is NULL.  */
struct ev_field
{
  const char *key;
  const char *text;
  int64_t number;
};

/* A NULL text is written as an empty string.  */
static inline struct ev_field
ev_text_field (const char *key, const char *text)
{
  struct ev_field f = { key, text ? text : "", 0 };

  return f;
}

#define EV_TEXT(k, v) ev_text_field ((k), (v))
#define EV_INT(k, v) ((struct ev_field){ (k), NULL, (v) })

/* Writes one line, which includes its newline.  Returns false when the line
   was dropped.  */
typedef bool ev_sink_fn (void *arg, const char *line, size_t len);

/* Rate limit of one kind of event.  */
struct ev_limit
{
  int64_t second; /* of the lines counted below */
  uint32_t written;
  uint64_t suppressed; /* lines over the limit */
};

struct ev_log
{
  const char *vm; /* borrowed */
  ev_sink_fn *sink;
  void *arg;
  struct ev_limit limits[EV_COUNT];
  ctr_cell counts[EV_COUNT]; /* suppressed lines included */
  ctr_cell dropped;          /* lines dropped by the sink */
};

const char *ev_name (enum ev event);
const char *ev_help (enum ev event);
void ev_init (struct ev_log *log, const char *vm, ev_sink_fn *sink, void *arg);
/* Writes one line with the local time NOW_US; nothing when LOG is NULL.  */
void ev_write (struct ev_log *log, int64_t now_us, enum ev event,
               const struct ev_field *fields, uint32_t n_fields);

/* Appends the event counts to OUT in the Prometheus text format.  Any thread
   may call this.  */
void ev_write_metrics (const struct ev_log *log, GString *out);

/* Writes one line with the given fields (EV_TEXT, EV_INT).  */
#define EV(log, now, event, ...)                                              \
  do                                                                          \
    {                                                                         \
      const struct ev_field ev_fields_[] = { __VA_ARGS__ };                   \
      ev_write ((log), (now), (event), ev_fields_,                            \
                (uint32_t)G_N_ELEMENTS (ev_fields_));                         \
    }                                                                         \
  while (0)

#endif
