/* Exponential backoff between attempts.  */
#ifndef CB_BACKOFF_H
#define CB_BACKOFF_H

#include <stdint.h>

/* Bounds of the wait between two attempts, in microseconds.  */
struct bko_range
{
  int64_t min_us;
  int64_t max_us;
};

/* Returns the wait that follows one of LAST_US (0 = it is the first): twice as
   long, within RANGE.  */
int64_t bko_next (struct bko_range range, int64_t last_us);

#endif
