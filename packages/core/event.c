/* Structured event log.  */
#include "event.h"

#include <string.h>

#define SECOND_US 1000000

struct event_row
{
  const char *name;
  uint32_t per_s;
  const char *help;
};

static const struct event_row rows[] = {
#define E(sym, name, per_s, help) { name, per_s, help },
#include "event.def"
#undef E
};

const char *
ev_name (enum ev event)
{
  return rows[event].name;
}

const char *
ev_help (enum ev event)
{
  return rows[event].help;
}

void
ev_init (struct ev_log *log, const char *vm, ev_sink_fn *sink, void *arg)
{
  memset (log, 0, sizeof *log);
  log->vm = vm;
  log->sink = sink;
  log->arg = arg;
}

/* Longer strings are cut to this many bytes, since callers choose some of them
   (ids) freely.  */
#define TEXT_MAX 160

/* Appends TEXT as a JSON string.  Quotes, backslashes and control characters
   are escaped; bytes beyond ASCII are replaced, since the input need not be
   UTF-8.  */
static void
append_json_string (GString *out, const char *text)
{
  g_string_append_c (out, '"');
  for (const char *c = text; *c && c < text + TEXT_MAX; c++)
    {
      unsigned char byte = (unsigned char)*c;

      if (byte == '"' || byte == '\\')
        g_string_append_printf (out, "\\%c", byte);
      else if (byte < 0x20 || byte == 0x7f)
        g_string_append_printf (out, "\\u%04x", byte);
      else
        g_string_append_c (out, byte > 0x7f ? '?' : (char)byte);
    }
  g_string_append_c (out, '"');
}

static void
append_field (GString *out, const struct ev_field *f)
{
  g_string_append_printf (out, ",\"%s\":", f->key);
  if (f->text)
    append_json_string (out, f->text);
  else
    g_string_append_printf (out, "%" G_GINT64_FORMAT, f->number);
}

static void
write_line (struct ev_log *log, int64_t now_us, enum ev event,
            const struct ev_field *fields, uint32_t n)
{
  GString *out = g_string_sized_new (256);

  g_string_append_printf (
      out, "{\"t_ms\":%" G_GINT64_FORMAT ",\"vm\":\"%s\",\"event\":\"%s\"",
      now_us / 1000, log->vm, rows[event].name);
  for (uint32_t i = 0; i < n; i++)
    append_field (out, &fields[i]);
  g_string_append (out, "}\n");
  if (!log->sink (log->arg, out->str, out->len))
    atomic_fetch_add_explicit (&log->dropped, 1, memory_order_relaxed);
  g_string_free (out, TRUE);
}

/* Starts a new second in the rate limit of EVENT and logs how many lines the
   limit suppressed before.  */
static void
start_second (struct ev_log *log, int64_t now_us, enum ev event)
{
  struct ev_limit *l = &log->limits[event];
  const struct ev_field fields[]
      = { EV_TEXT ("of", rows[event].name),
          EV_INT ("lines", (int64_t)l->suppressed) };

  if (l->suppressed > 0)
    write_line (log, now_us, EV_LOG_DROPPED, fields, G_N_ELEMENTS (fields));
  l->second = now_us / SECOND_US;
  l->written = 0;
  l->suppressed = 0;
}

void
ev_write (struct ev_log *log, int64_t now_us, enum ev event,
          const struct ev_field *fields, uint32_t n_fields)
{
  struct ev_limit *l;

  if (!log)
    return;
  l = &log->limits[event];
  atomic_fetch_add_explicit (&log->counts[event], 1, memory_order_relaxed);
  if (now_us / SECOND_US != l->second)
    start_second (log, now_us, event);
  if (l->written >= rows[event].per_s)
    {
      l->suppressed++;
      return;
    }
  l->written++;
  write_line (log, now_us, event, fields, n_fields);
}

void
ev_write_metrics (const struct ev_log *log, GString *out)
{
  for (int i = 0; i < EV_COUNT; i++)
    g_string_append_printf (out, "cassiabay_events_total{event=\"%s\"} %lu\n",
                            rows[i].name, atomic_load (&log->counts[i]));
  g_string_append_printf (out, "cassiabay_log_lines_dropped_total %lu\n",
                          atomic_load (&log->dropped));
}
