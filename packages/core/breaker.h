/* Circuit breaker for calls to the platform's store: limits their rate by a
   token bucket and stops them while they fail.  */
#ifndef CB_BREAKER_H
#define CB_BREAKER_H

#include <stdbool.h>
#include <stdint.h>

/* Consecutive failures that open the circuit.  */
#define BRK_FAILURES 3
#define BRK_OPEN_MIN_MS 1000
#define BRK_OPEN_MAX_MS 30000
/* Token bucket: calls per second, and the largest burst.  */
#define BRK_RATE 5.0
#define BRK_BURST 20.0

struct brk
{
  int32_t failures;
  int64_t open_until_us; /* no call is allowed before */
  int64_t open_ms;       /* how long the circuit opens the next time */
  double tokens;         /* one per call */
  int64_t refilled_us;
};

void brk_init (struct brk *b, int64_t now_us);
/* True when one call may be made now, which takes a token.  */
bool brk_allow (struct brk *b, int64_t now_us);
/* Reports the result of a call.  JITTER, in [0, 1), spreads the next attempt
   after a failure.  */
void brk_report (struct brk *b, bool ok, int64_t now_us, double jitter);
bool brk_is_open (const struct brk *b, int64_t now_us);

#endif
