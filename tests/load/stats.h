/* Records of the requests of a load run, and reports made from them.  */
#ifndef LOAD_STATS_H
#define LOAD_STATS_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#define STATS_ID_LEN 36

enum stats_outcome
{
  STATS_DONE,
  STATS_NOT_RUN,
  STATS_UNKNOWN,
  STATS_NO_ANSWER
};

/* The result of one request.  Times are in microseconds since the start of the
   run.  */
struct stats_record
{
  int64_t due_us; /* when it should have been sent */
  int64_t end_us;
  uint8_t kind;
  uint8_t outcome;
  bool write;
  bool in_time;
  bool stale; /* a read that missed the caller's own write */
  char id[STATS_ID_LEN + 1];
  char reason[24];
};

struct stats_kind
{
  const char *name;
  bool write;
};

struct stats
{
  const struct stats_kind *kinds;
  uint32_t n_kinds;
  GArray *records; /* struct stats_record */
};

/* Prints name=value lines for the whole run and each kind.  */
void stats_print (const struct stats *s, double seconds);
/* Writes one line per request.  False when FILE cannot be written.  */
bool stats_write_csv (const struct stats *s, const char *file);
/* Plots latency over time with one point per request: reads and writes in two
   colours, failures in a third at the top.  */
bool stats_write_svg (const struct stats *s, const char *file, double seconds);
/* Longest time between two acknowledged writes, in ms.  The start and the end
   of the run count as well.  */
double stats_write_gap_ms (const struct stats *s, double seconds);

/* Result of comparing the replies with the logs of the database groups.  */
struct verify_result
{
  uint32_t lost;    /* reported done, but in no final log */
  uint32_t doubled; /* more than once in the log */
  uint32_t wrong;   /* reported not_run, but in the log */
  uint32_t checked;
};

/* Fetches the logs of INSTANCES from the control port of the simulated
   upstream at CONTROL ("ip:port") and compares the writes in S with them.
   False when no log could be fetched.  */
bool verify_run (const struct stats *s, const char *control, char **instances,
                 struct verify_result *out);

#endif
