/* Replays a recorded trace against proxies and checks the answers.  */
#ifndef CB_REPLAY_H
#define CB_REPLAY_H

#include "finding.h"

#include <stdbool.h>
#include <stdint.h>

struct replay_options
{
  const char *file;
  const char *const *targets; /* callers' listeners, NULL-terminated */
  double speed;               /* times faster than recorded */
  int64_t until_ms;           /* of the trace's time; 0: all of it */
};

struct replay_result
{
  uint32_t calls;
  uint32_t as_stated; /* outcome, and rows where stated */
  uint32_t differing;
  uint32_t repeated; /* settled requests sent a second time */
  uint32_t broken;   /* whose second answer differed from the first */
};

/* False with findings when the trace is wrong.  What differs is added to
   FINDINGS too.  */
bool replay_run (const struct replay_options *options,
                 struct replay_result *result, struct fnd_list *findings);

#endif
