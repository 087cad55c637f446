/* Timetable of a planned stop.  */
#include "drain.h"

/* Time from the signal to the start of the drain, but no more than this part
   of the grace period.  Callers still connect until the platform has seen two
   readiness probes fail, one a second; sessions are closed only after that. */
#define START_US 2300000
#define START_PERCENT 40
/* Length of the stage in which each session is closed right after its next
   reply: a few of a session's usual pauses between statements, but no more
   than this part of the grace period.  Sessions that stay idle longer are
   closed after it.  */
#define AFTER_REPLY_US 1500000
#define AFTER_REPLY_PERCENT 25
/* Kept of the grace period for the last replies to be sent, and for the
   process to end.  */
#define END_MARGIN_US 200000
#define EXIT_MARGIN_US 50000
/* Upper limit of the first margin; that of the second is a quarter of it.  */
#define MARGIN_PERCENT 20

static int64_t
percent_of (int64_t us, int64_t percent)
{
  return us * percent / 100;
}

struct drn_timetable
drn_plan (int64_t grace_us)
{
  int64_t longest_us = percent_of (grace_us, MARGIN_PERCENT);
  struct drn_timetable t;

  t.start_us = MIN (START_US, percent_of (grace_us, START_PERCENT));
  t.idle_us
      = t.start_us
        + MIN (AFTER_REPLY_US, percent_of (grace_us, AFTER_REPLY_PERCENT));
  /* An open transaction has the first half of the grace period to end.  */
  t.transactions_us = MAX (t.idle_us, grace_us / 2);
  t.end_us = grace_us - MIN (END_MARGIN_US, longest_us);
  t.exit_us = grace_us - MIN (EXIT_MARGIN_US, longest_us / 4);
  return t;
}

enum plr_drain
drn_stage (const struct drn_timetable *t, int64_t since_us)
{
  if (since_us < t->start_us)
    return PLR_DRAIN_NONE;
  if (since_us < t->idle_us)
    return PLR_DRAIN_AFTER_REPLY;
  if (since_us < t->transactions_us)
    return PLR_DRAIN_IDLE;
  return since_us < t->end_us ? PLR_DRAIN_ALL : PLR_DRAIN_END;
}
