/* Timetable of a planned stop: which stage of the drain the session pooler is
   in at which time after the signal, within the grace period that the platform
   gives.  */
#ifndef CB_DRAIN_H
#define CB_DRAIN_H

#include "pooler.h"

/* Times in microseconds after the signal.  */
struct drn_timetable
{
  int64_t start_us;        /* sessions are closed after a reply */
  int64_t idle_us;         /* idle sessions are closed */
  int64_t transactions_us; /* idle transactions are aborted */
  int64_t end_us;          /* statements under way get their last reply */
  int64_t exit_us;         /* the process ends at the latest */
};

/* Returns the timetable for a grace period of GRACE_US.  */
struct drn_timetable drn_plan (int64_t grace_us);
/* Returns the stage SINCE_US after the signal.  */
enum plr_drain drn_stage (const struct drn_timetable *t, int64_t since_us);

#endif
