/* Replays a recorded trace of requests against proxies and compares the
   answers with those in the trace.  */
#ifndef CB_REPLAY_H
#define CB_REPLAY_H

#include "finding.h"

#include <stdbool.h>
#include <stdint.h>

struct replay_options
{
  const char *file;
  const char *const *targets; /* callers' listeners, NULL-terminated */
  double speed;               /* factor; 2: twice as fast as recorded */
  int64_t until_ms; /* replays the trace up to this time from its start; 0: the
                       whole trace */
};

struct replay_result
{
  uint32_t calls;
  uint32_t as_stated; /* calls whose answer has the outcome and the rows that
                         the trace states, if it states them */
  uint32_t differing; /* calls with another answer, or none */
  uint32_t repeated;  /* completed requests that were sent a second time */
  uint32_t broken;    /* of these, those with a different second answer */
};

/* Returns false with findings when the trace cannot be read or is malformed.
   Answers that differ are added to FINDINGS too, but leave the result true. */
bool replay_run (const struct replay_options *options,
                 struct replay_result *result, struct fnd_list *findings);

#endif
