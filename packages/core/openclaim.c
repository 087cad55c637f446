/* What a promotion leaves to be done where commits wait for replicas: nothing
   ordered before can be carried out any more, the replicas receive again, and
   the claim names no target.  */
#include "sessionfailoverint.h"

#include <string.h>

/* How long a claim stays with the proxy that took it while a primary is
   confirmed: more than that proxy needs for one attempt.  */
#define TAKE_OVER_AFTER_US 4000000
/* How long replicas that do not reply are told to resume.  */
#define RESUME_FOR_US 10000000
/* How long to wait for the status of the instance whose promotion may still be
   carried out before it is given up in favour of the confirmed primary.  */
#define UNSETTLED_WAIT_US 1000000

bool
sfo_is_claim_open (const struct sfo_service *sv)
{
  return sv->svc->sync_replicas > 0 && (sv->claim_target || sv->unsettled_id);
}

void
sfo_set_unsettled (struct sfo_service *sv, const char *id)
{
  char *copy = g_strdup (id);

  g_free (sv->unsettled_id);
  sv->unsettled_id = copy;
}

/* Each promotion that may still be carried out is for the same instance, so
   that it does not matter which of them is.  Another one is chosen only if
   that instance does not reply.  */
struct svc_instance *
sfo_choose_unsettled (const struct sfo_service *sv, int64_t now_us)
{
  struct svc_instance *i = svc_find (sv->svc, sv->unsettled_id);

  if (i
      && (i == sv->svc->primary
          || cnd_may_lead (i, sv->state_since_us, now_us)))
    return i;
  if (now_us - sv->state_since_us <= UNSETTLED_WAIT_US)
    return NULL;
  return sv->svc->primary ? sv->svc->primary
                          : cnd_choose (sv->svc, NULL, NULL,
                                        sv->state_since_us, false, now_us);
}

/* Returns true if the claim is this proxy's, or was its holder's for so long
   that this proxy takes it over.  */
static bool
is_own_to_close (const struct sfo_service *sv, GHashTable *voters,
                 int64_t now_us)
{
  int64_t wait_us;

  if (sfo_holds_claim (sv))
    return true;
  wait_us = TAKE_OVER_AFTER_US
            + sfo_own_rank (sv->sfo, sv->svc->name, voters) * RANK_STEP_US;
  return now_us - sv->promote_claim_us >= wait_us;
}

void
sfo_tick_open_claim (struct sfo_service *sv, GHashTable *voters,
                     int64_t now_us)
{
  if (now_us < sv->act_after_us || !is_own_to_close (sv, voters, now_us))
    return;
  if (sv->unsettled_id)
    sfo_start_collecting (sv, "unsettled", now_us);
  else if (!sfo_has_recent_claim (sv, now_us))
    {
      sfo_begin_attempt (sv, sv->svc->primary, now_us);
      sfo_request_claim (sv, sv->svc->primary, now_us);
    }
  else
    {
      if (sv->resuming_since_us == 0)
        sv->resuming_since_us = now_us;
      sfo_log_decision (sv, "resume", now_us);
      sfo_set_state (sv, SFO_RESUMING, now_us);
    }
}

void
sfo_tick_resuming (struct sfo_service *sv, const struct sfo_evidence *e,
                   int64_t now_us)
{
  bool resumed;

  /* Another proxy may have paused the replicas since, for its own claim.  */
  if (!sfo_has_recent_claim (sv, now_us) || !e->confirmed
      || sfo_evaluate (e) != SFO_KEEP)
    {
      sfo_resume_monitoring (sv, 0, now_us);
      return;
    }
  resumed = sfo_command_replicas (sv, STM_RESUME, now_us);
  if (resumed || now_us - sv->resuming_since_us > RESUME_FOR_US)
    {
      sv->resuming_since_us = 0;
      sfo_claim_ahead (sv, now_us);
    }
}
