/* Circuit breaker for calls to the platform's store.  */
#include "breaker.h"

#include <glib.h>
#include <string.h>

void
brk_init (struct brk *b, int64_t now_us)
{
  memset (b, 0, sizeof *b);
  b->tokens = BRK_BURST;
  b->refilled_us = now_us;
  b->open_ms = BRK_OPEN_MIN_MS;
}

bool
brk_is_open (const struct brk *b, int64_t now_us)
{
  return now_us < b->open_until_us;
}

bool
brk_allow (struct brk *b, int64_t now_us)
{
  double earned = (double)(now_us - b->refilled_us) / 1e6 * BRK_RATE;

  b->tokens = MIN (BRK_BURST, b->tokens + earned);
  b->refilled_us = now_us;
  if (brk_is_open (b, now_us) || b->tokens < 1.0)
    return false;
  b->tokens -= 1.0;
  /* Half-open: after the pause a single call is let through as a probe; the
     next one waits for its result.  */
  if (b->failures >= BRK_FAILURES)
    b->open_until_us = now_us + b->open_ms * 1000;
  return true;
}

void
brk_report (struct brk *b, bool ok, int64_t now_us, double jitter)
{
  if (ok)
    {
      b->failures = 0;
      b->open_until_us = 0;
      b->open_ms = BRK_OPEN_MIN_MS;
      return;
    }
  b->failures++;
  if (b->failures < BRK_FAILURES)
    return;
  b->open_until_us
      = now_us + (int64_t)((double)b->open_ms * 1000.0 * (0.5 + jitter / 2));
  b->open_ms = MIN (b->open_ms * 2, BRK_OPEN_MAX_MS);
}
