/* Circuit breaker before the platform's store: limits the rate of calls and
   stops calling while they fail.  */
#ifndef CB_BREAKER_H
#define CB_BREAKER_H

#include <stdbool.h>
#include <stdint.h>

/* Failures in a row that open the circuit.  */
#define BRK_FAILURES 3
#define BRK_OPEN_MIN_MS 1000
#define BRK_OPEN_MAX_MS 30000
/* Calls a second, and how many may come at once.  */
#define BRK_RATE 5.0
#define BRK_BURST 20.0

struct brk
{
  int32_t failures;
  int64_t open_until_us; /* no call before */
  int64_t open_ms;       /* current pause */
  double tokens;
  int64_t refilled_us;
};

void brk_init (struct brk *b, int64_t now_us);
/* Asks to make one call; false when it must wait.  */
bool brk_allow (struct brk *b, int64_t now_us);
/* Reports a call's end.  JITTER in [0, 1) spreads the next try.  */
void brk_report (struct brk *b, bool ok, int64_t now_us, double jitter);
bool brk_is_open (const struct brk *b, int64_t now_us);

#endif
