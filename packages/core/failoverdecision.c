/* Decisions of the failover on the session path.  */
#include "sessionfailoverint.h"

/* After connections were refused for this long the process is gone; a shorter
   time may be a full listen backlog.  */
#define REFUSED_MIN_US 250000
/* Longest time without a confirmed primary while the last one reports that it
   is not primary, or has no entry any more: a promotion under way becomes
   visible sooner.  */
#define NO_PRIMARY_US 1200000
/* The same when no primary has been seen since the start.  */
#define NO_PRIMARY_AT_START_US 2500000
/* A primary that some voters reach is replaced when one in this many does not
   reach it, in favour of an instance that all of them reach.  */
#define REPLACE_ONE_IN 3

/* Returns true if the primary's entry is gone and this proxy does not reach it
   either: no connection opens, probes get no reply, or no leadership check has
   succeeded for longer than a promotion takes.  */
static bool
is_lapsed_and_missed (const struct sfo_evidence *e)
{
  return e->lapsed
         && (e->unresponsive || e->refused_for_us > 0
             || (!e->confirmed && e->no_primary_for_us > NO_PRIMARY_US));
}

enum sfo_decision
sfo_evaluate (const struct sfo_evidence *e)
{
  if (e->candidates == 0)
    return SFO_KEEP;
  if (!e->known)
    return e->no_primary_for_us > NO_PRIMARY_AT_START_US ? SFO_REPLACE
                                                         : SFO_KEEP;
  if (e->draining || !e->registered || is_lapsed_and_missed (e))
    return SFO_REPLACE;
  if (e->unresponsive || e->refused_for_us > REFUSED_MIN_US)
    return SFO_POLL_PEERS;
  if (e->not_primary && e->no_primary_for_us > NO_PRIMARY_US)
    return SFO_REPLACE;
  return SFO_KEEP;
}

const char *
sfo_cause_name (const struct sfo_evidence *e)
{
  if (!e->known)
    return "unknown";
  if (e->draining)
    return "draining";
  if (!e->registered)
    return "unlisted";
  if (e->unresponsive)
    return "unresponsive";
  if (e->refused_for_us > REFUSED_MIN_US)
    return "refused";
  return e->lapsed ? "lapsed" : "denied";
}

bool
sfo_votes_suffice (const struct sfo_votes *v)
{
  /* Unless more than half of the voters have replied, this proxy may be on
     the smaller side of a partition, and the primary may still serve the other
     side.  When the primary is gone, the directory drops it.  */
  if (v->cast * 2 <= v->voters)
    return false;
  if (v->reached == 0)
    return true;
  /* MISSED includes the vote of this proxy, which alone is not enough.  */
  return v->missed >= 2
         && v->missed * REPLACE_ONE_IN >= v->reached + v->missed;
}
