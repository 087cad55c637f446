/* Results of a load run: one record a request, and what is made of them.  */
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

/* One request.  Times are in microseconds since the run began.  */
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
  GArray *records; /* struct stats_record, by end of the run */
};

/* Prints name=value lines for the whole run and each kind.  */
void stats_print (const struct stats *s, double seconds);
/* One line a request.  */
bool stats_write_csv (const struct stats *s, const char *file);
/* A plot of latency over time, one point a request, writes and reads in two
   colours, failures at the top.  */
bool stats_write_svg (const struct stats *s, const char *file, double seconds);
/* Longest time without an acknowledged write that was due, in ms.  */
double stats_write_gap_ms (const struct stats *s, double seconds);

/* What the groups' logs say about the answers.  */
struct verify_result
{
  uint32_t lost;    /* done, but in no final log */
  uint32_t doubled; /* in it more than once */
  uint32_t wrong;   /* not_run, but in it */
  uint32_t checked;
};

/* Asks the stand-in at CONTROL ("ip:port") for the logs of INSTANCES and
   compares.  False when it cannot be asked.  */
bool verify_run (const struct stats *s, const char *control, char **instances,
                 struct verify_result *out);

#endif
