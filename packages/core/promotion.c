/* The promotion of a replica, from the claim to the confirmed primary.  */
#include "sessionfailoverint.h"

#include <string.h>

/* Longest wait for the replicas to pause before the failover starts anew.  */
#define PAUSE_MAX_US 1000000
/* How long a replica may take to catch up with a primary that stepped down:
   several times the usual lag.  */
#define CATCH_UP_MAX_US 400000
/* How long a proxy that already holds the claim, and can promote with it,
   waits for the store's reply to a new one.  */
#define CLAIM_WAIT_US 400000
/* After a longer wait for the claim the votes and reports that led to it are
   too old, and the suspicion is raised anew.  */
#define EVIDENCE_MAX_AGE_US 800000
/* How long a token may be used from when its claim was requested, if the
   platform does not check tokens or commits wait for replicas: others respect
   the claim for longer, and the call is on its way for a part of the
   difference.  */
#define TOKEN_VALID_US (OTHER_CLAIM_GRACE_US - 600000)
/* A claim without a result is given up after this time; the store's adapter
   reports one sooner.  */
#define CLAIM_LOST_US 4000000
/* Time until a promotion is confirmed: its own and that of a few requests.  */
#define CONFIRM_WAIT_US 2500000
/* Most promotion calls with one token, and the pause between them.  */
#define PROMOTE_ATTEMPTS_MAX 4
#define PROMOTE_RETRY_US 150000

bool
sfo_has_recent_claim (const struct sfo_service *sv, int64_t now_us)
{
  return sfo_holds_claim (sv) && sv->claim_revision == sv->token
         && now_us - sv->token_requested_us < TOKEN_VALID_US;
}

/* True when no other proxy can promote with a newer token before the call with
   this one arrives, or if the platform refuses the older one then and only the
   order of the calls matters.  Where commits wait for replicas, another proxy
   may also have resumed them.  */
static bool
is_token_valid (const struct sfo_service *sv, int64_t now_us)
{
  return (sv->sfo->o.tokens_are_checked && sv->svc->sync_replicas == 0)
         || sfo_has_recent_claim (sv, now_us);
}

void
sfo_order_promotion (struct sfo_service *sv, int64_t now_us)
{
  struct sfo *s = sv->sfo;

  if (!is_token_valid (sv, now_us))
    {
      sfo_log_decision (sv, "token too old", now_us);
      sfo_resume_monitoring (sv, RETRY_PAUSE_US, now_us);
      return;
    }
  sv->attempts++;
  EV (s->o.log, now_us, EV_PROMOTE, EV_TEXT ("service", sv->svc->name),
      EV_TEXT ("instance", sv->target_id),
      EV_INT ("token", (int64_t)sv->token), EV_INT ("tries", sv->attempts),
      EV_TEXT ("cause", sv->cause));
  ctr_add (s->o.counters, CTR_PROMOTIONS_ORDERED, 1);
  sfo_set_state (sv, SFO_PROMOTING, now_us);
  s->o.port->ops->promote (s->o.port, sv->svc->name, sv->target_id, sv->token);
}

static void
set_target (struct sfo_service *sv, const struct svc_instance *target)
{
  if (strcmp (target->entry->id, sv->target_id) == 0)
    return;
  g_free (sv->target_id);
  sv->target_id = g_strdup (target->entry->id);
}

/* Stops the replicas from receiving.  Otherwise a primary that other proxies
   still reach could have a commit acknowledged by another replica than the one
   that is promoted.  */
static void
start_pausing (struct sfo_service *sv, int64_t now_us)
{
  sv->pause_term = cnd_newest_term (sv->svc) + 1;
  sfo_set_state (sv, SFO_PAUSING, now_us);
  sfo_command_replicas (sv, STM_PAUSE, now_us);
}

/* Orders the promotion of TARGET if the claim names it, else claims for it
   first: the proxy that takes over an open claim must know which promotion may
   still be carried out.  */
static void
promote_or_claim (struct sfo_service *sv, const struct svc_instance *target,
                  int64_t now_us)
{
  if (strcmp (target->entry->id, sv->target_id) == 0)
    sfo_order_promotion (sv, now_us);
  else
    sfo_request_claim (sv, target, now_us);
}

static bool
is_target (const struct sfo_service *sv, const struct svc_instance *i)
{
  return i && strcmp (i->entry->id, sv->target_id) == 0;
}

/* The promotion of the confirmed primary only ends the validity of older
   tokens.  It must have led after the claim was won.  No replica is paused:
   the primary goes on.  */
void
sfo_tick_reconfirming (struct sfo_service *sv, int64_t now_us)
{
  if (!sv->unsettled_id || !is_target (sv, sv->svc->primary))
    sfo_resume_monitoring (sv, 0, now_us);
  else if (svc_confirmed_us (sv->svc) >= sv->claim_won_us)
    sfo_order_promotion (sv, now_us);
  else if (now_us - sv->state_since_us > PAUSE_MAX_US)
    sfo_hold_promotion (sv, now_us);
  else
    plr_seek_confirmation (sv->sfo->o.pooler, sv->svc, now_us);
}

void
sfo_tick_pausing (struct sfo_service *sv, const struct sfo_evidence *e,
                  int64_t now_us)
{
  struct svc_instance *replaced = sfo_find_replaced (sv);
  struct svc_instance *target;

  if (sfo_is_overtaken (sv) || sfo_is_back (sv, e))
    {
      sfo_resume_monitoring (sv, 0, now_us);
      return;
    }
  target = sfo_choose_target (sv, true, now_us);
  if (target)
    promote_or_claim (sv, target, now_us);
  else if (now_us - sv->state_since_us <= PAUSE_MAX_US)
    sfo_command_replicas (sv, STM_PAUSE, now_us);
  else if (cnd_has_stepped_down (replaced, sv->claim_won_us)
           && cnd_is_reachable (replaced, now_us))
    /* No replica can take over: it leads again.  */
    promote_or_claim (sv, replaced, now_us);
  else
    sfo_hold_promotion (sv, now_us);
}

void
sfo_tick_stepping_down (struct sfo_service *sv, int64_t now_us)
{
  const struct svc_instance *replaced = sfo_find_replaced (sv);
  bool over = now_us - sv->state_since_us > CATCH_UP_MAX_US;
  bool sync = sv->svc->sync_replicas > 0;
  struct svc_instance *target;

  if (sfo_is_overtaken (sv))
    {
      sfo_resume_monitoring (sv, 0, now_us);
      return;
    }
  sfo_request_status (sv, now_us - STATUS_INTERVAL_US, now_us);
  target = sfo_choose_target (sv, false, now_us);
  if (target && cnd_has_stepped_down (replaced, sv->state_since_us)
      && lp_compare (cnd_highest_position (target),
                     cnd_highest_position (replaced))
             >= 0)
    over = true;
  else if (over && sync)
    {
      start_pausing (sv, now_us);
      return;
    }
  if (!over && (target || sync))
    return;
  if (target && sync)
    {
      promote_or_claim (sv, target, now_us);
      return;
    }
  if (target)
    set_target (sv, target);
  sfo_order_promotion (sv, now_us);
}

/* Returns true if enough replicas have replied in this attempt for one of them
   to be promoted.  Otherwise a primary that leads would not commit any more
   once the others are paused, and go on to lead.  */
static bool
are_replicas_complete (const struct sfo_service *sv, int64_t now_us)
{
  return cnd_choose (sv->svc, sfo_find_replaced (sv), NULL,
                     sv->attempt_since_us, false, now_us)
         != NULL;
}

static void
start_promotion (struct sfo_service *sv, uint64_t token, int64_t now_us)
{
  if (sfo_is_overtaken (sv)
      || now_us - sv->claim_requested_us > EVIDENCE_MAX_AGE_US)
    {
      sfo_resume_monitoring (sv, 0, now_us);
      return;
    }
  sv->token = token;
  sv->token_requested_us = sv->claim_requested_us;
  sv->claim_won_us = now_us;
  sv->attempts = 0;
  if (sfo_can_step_down (sv)
      && plr_request_step_down (sv->svc->primary, now_us))
    sfo_set_state (sv, SFO_STEPPING_DOWN, now_us);
  else if (sv->svc->sync_replicas == 0)
    sfo_order_promotion (sv, now_us);
  else if (is_target (sv, sv->svc->primary))
    sfo_set_state (sv, SFO_RECONFIRMING, now_us);
  else if (sfo_can_step_down (sv) && !are_replicas_complete (sv, now_us))
    sfo_hold_promotion (sv, now_us);
  else
    start_pausing (sv, now_us);
}

void
sfo_tick_confirming (struct sfo_service *sv, int64_t now_us)
{
  struct svc_instance *primary = sv->svc->primary;

  if (primary && strcmp (primary->entry->id, sv->target_id) == 0)
    sfo_resume_monitoring (sv, 0, now_us);
  else if (now_us - sv->state_since_us > CONFIRM_WAIT_US)
    sfo_resume_monitoring (sv, 0, now_us);
  else
    plr_seek_primary (sv->sfo->o.pooler, sv->svc, now_us);
}

/* True when this proxy may promote with the claim that it holds, without a new
   one: if another proxy has claimed since, its token is refused once the other
   one has promoted.  Until then both would act, so it may not where commits
   wait for replicas: the other one goes by reports of before.  */
static bool
may_use_held_claim (const struct sfo_service *sv)
{
  return sfo_holds_claim (sv) && sv->sfo->o.tokens_are_checked
         && sv->svc->sync_replicas == 0;
}

void
sfo_tick_claiming (struct sfo_service *sv, int64_t now_us)
{
  int64_t waited_us = now_us - sv->state_since_us;

  if (may_use_held_claim (sv) && waited_us > CLAIM_WAIT_US)
    start_promotion (sv, sv->claim_revision, now_us);
  else if (waited_us > CLAIM_LOST_US)
    sfo_resume_monitoring (sv, RETRY_PAUSE_US, now_us);
}

/* This proxy won the claim; TARGET as in struct sfo_claim.  */
static void
note_own_claim (struct sfo_service *sv, uint64_t token, const char *target,
                int64_t now_us)
{
  struct sfo_claim claim
      = { sv->svc->name, sv->sfo->o.vm, token, target, NULL };

  sfo_note_claim (sv->sfo, &claim, now_us);
  g_free (sv->claim_members);
  sv->claim_members = g_strdup (sv->requested_members);
}

void
sfo_complete_claim (struct sfo *s, const char *service, uint64_t token,
                    bool answered, int64_t now_us)
{
  struct sfo_service *sv = sfo_get_service (s, service);

  EV (s->o.log, now_us, EV_CLAIM, EV_TEXT ("service", service),
      EV_TEXT ("instance", sv->target_id), EV_INT ("token", (int64_t)token),
      EV_TEXT ("outcome", token > 0  ? "won"
                          : answered ? "taken by another"
                                     : "the store did not answer"));
  if (sv->state == SFO_CLAIMING_AHEAD)
    {
      if (token > 0)
        note_own_claim (sv, token, NULL, now_us);
      sfo_set_state (sv, SFO_MONITORING, now_us);
      return;
    }
  if (sv->state != SFO_CLAIMING)
    return;
  if (token > 0)
    {
      ctr_add (s->o.counters, CTR_CLAIMS, 1);
      note_own_claim (sv, token, sv->target_id, now_us);
      start_promotion (sv, token, now_us);
    }
  else if (!answered && may_use_held_claim (sv))
    /* The store is unavailable, so no other proxy should have claimed
       since.  */
    start_promotion (sv, sv->claim_revision, now_us);
  else
    sfo_resume_monitoring (sv, RETRY_PAUSE_US, now_us);
}

void
sfo_complete_promotion (struct sfo *s, const char *service,
                        enum sfo_promote_result result, int64_t now_us)
{
  static const char *const outcomes[]
      = { "done", "refused", "rejected", "lost" };
  struct sfo_service *sv = sfo_get_service (s, service);
  struct svc_instance *target;

  EV (s->o.log, now_us, EV_PROMOTE, EV_TEXT ("service", service),
      EV_TEXT ("instance", sv->target_id),
      EV_INT ("token", (int64_t)sv->token),
      EV_TEXT ("outcome", outcomes[result]));
  if (sv->state != SFO_PROMOTING)
    return;
  if (result == SFO_PROMOTED)
    {
      sfo_set_unsettled (sv, NULL);
      sfo_note_carried_out (sv, now_us);
      sfo_set_state (sv, SFO_CONFIRMING, now_us);
      return;
    }
  target = svc_find (sv->svc, sv->target_id);
  if (result == SFO_PROMOTE_LOST)
    sfo_set_unsettled (sv, sv->target_id);
  if (result == SFO_PROMOTE_LOST && target && sv->svc->sync_replicas > 0)
    {
      /* The lost call stays valid until the platform sees a newer token.  */
      sfo_request_claim (sv, target, now_us);
      return;
    }
  if (result != SFO_PROMOTE_REFUSED && sv->attempts < PROMOTE_ATTEMPTS_MAX)
    {
      sfo_set_state (sv, SFO_PROMOTE_RETRY, now_us);
      return;
    }
  if (target && (result == SFO_PROMOTE_REFUSED || sv->svc->sync_replicas == 0))
    target->ineligible_until_us = now_us + CONFIRM_WAIT_US;
  /* The next attempt requests a new claim instead of reusing the token.  */
  sv->token = 0;
  sfo_resume_monitoring (sv, RETRY_PAUSE_US, now_us);
}

void
sfo_tick_promote_retry (struct sfo_service *sv, int64_t now_us)
{
  if (now_us - sv->state_since_us > PROMOTE_RETRY_US)
    sfo_order_promotion (sv, now_us);
}
