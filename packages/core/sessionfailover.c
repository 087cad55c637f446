/* Failover on the session path.  */
#include "sessionfailoverint.h"

#include "rendezvous.h"
#include <string.h>

/* How long to wait for the votes of the peers: a new link between two proxies
   takes four round trips of the longest path, the request one more.  */
#define VOTE_WAIT_US 300000
/* How long to wait for the status of the instances: the round trips, and the
   wait for a slot of the instance.  */
#define STATUS_WAIT_US 100000
/* Where commits need replicas: longest wait for their status before the
   failover starts anew.  */
#define STATUS_MAX_US 1000000
/* In normal operation, how long the holder of a claim must be gone before
   another proxy takes the claim over: more than a restart takes.  */
#define HOLDER_GONE_US 4000000
/* Pause between two attempts to take a claim ahead of need.  */
#define CLAIM_AHEAD_INTERVAL_US 2000000
#define RANK_MAX 5
/* An instance counts as reachable when it was heard from within this time.  */
#define HEARD_MAX_AGE_US 1500000
/* Pause before a suspicion that the votes did not support is raised again.  */
#define OUTVOTED_PAUSE_US 400000

static void
free_service (gpointer data)
{
  struct sfo_service *sv = data;

  g_hash_table_destroy (sv->voted);
  g_free (sv->primary_id);
  g_free (sv->promoted_id);
  g_free (sv->leader_id);
  g_free (sv->replaced_id);
  g_free (sv->target_id);
  g_free (sv->holder);
  g_free (sv->claim_target);
  g_free (sv->claim_members);
  g_free (sv->requested_members);
  g_free (sv->unsettled_id);
  g_free (sv);
}

struct sfo *
sfo_new (const struct sfo_options *options)
{
  struct sfo *s = g_new0 (struct sfo, 1);

  s->o = *options;
  s->services
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, free_service);
  return s;
}

void
sfo_free (struct sfo *s)
{
  if (!s)
    return;
  g_hash_table_destroy (s->services);
  g_free (s);
}

void
sfo_set_tokens_checked (struct sfo *s, bool checked)
{
  s->o.tokens_are_checked = checked;
}

struct sfo_service *
sfo_get_service (struct sfo *s, const char *service)
{
  struct sfo_service *sv = g_hash_table_lookup (s->services, service);

  if (!sv)
    {
      sv = g_new0 (struct sfo_service, 1);
      sv->sfo = s;
      sv->voted
          = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
      g_hash_table_insert (s->services, g_strdup (service), sv);
    }
  if (!sv->svc)
    sv->svc = g_hash_table_lookup (plr_services (s->o.pooler), service);
  return sv;
}

void
sfo_set_state (struct sfo_service *sv, enum sfo_state state, int64_t now_us)
{
  sv->state = state;
  sv->state_since_us = now_us;
}

void
sfo_resume_monitoring (struct sfo_service *sv, int64_t pause_us,
                       int64_t now_us)
{
  sfo_set_state (sv, SFO_MONITORING, now_us);
  sv->act_after_us = now_us + pause_us;
}

bool
sfo_holds_claim (const struct sfo_service *sv)
{
  return g_strcmp0 (sv->holder, sv->sfo->o.vm) == 0;
}

void
sfo_log_decision (struct sfo_service *sv, const char *what, int64_t now_us)
{
  EV (sv->sfo->o.log, now_us, EV_JUDGEMENT, EV_TEXT ("service", sv->svc->name),
      EV_TEXT ("primary", sv->primary_id), EV_TEXT ("what", what),
      EV_TEXT ("cause", sv->cause), EV_INT ("reached", sv->votes.reached),
      EV_INT ("missed", sv->votes.missed), EV_INT ("voted", sv->votes.cast),
      EV_INT ("proxies", sv->votes.voters),
      EV_INT ("claim", (int64_t)sv->claim_revision));
}

/* Evidence.  */

static struct sfo_evidence
gather_evidence (struct sfo_service *sv, const struct svc_instance *primary,
                 int64_t now_us)
{
  struct svc *svc = sv->svc;
  struct sfo_evidence e = { 0 };

  for (guint n = 0; n < svc->instances->len; n++)
    {
      const struct svc_instance *i = g_ptr_array_index (svc->instances, n);

      if (cnd_is_candidate (i, primary, now_us)
          && (svc->sync_replicas > 0 || !cnd_is_outdated (svc, i)
              || cnd_accepts_outdated (svc, now_us)))
        e.candidates++;
    }
  if (svc->no_primary_since_us == 0 && !svc->primary)
    svc->no_primary_since_us = now_us;
  e.no_primary_for_us = svc->primary ? 0 : now_us - svc->no_primary_since_us;
  e.known = primary != NULL;
  if (!primary)
    return e;
  e.confirmed = svc->primary == primary;
  e.registered = primary->missing_since_us == 0
                 || svc_lapsed_recently (primary, now_us);
  e.lapsed = primary->missing_since_us > 0;
  e.draining = primary->entry->draining;
  e.unresponsive = primary->unresponsive;
  e.refused_for_us
      = primary->refused_since_us > 0 ? now_us - primary->refused_since_us : 0;
  e.not_primary = !e.confirmed
                  && primary->not_primary_us > primary->confirmed_us
                  && primary->heard_us > 0
                  && now_us - primary->heard_us < HEARD_MAX_AGE_US;
  return e;
}

/* State machine.  */

/* The number of VOTERS whose hash for SERVICE is higher than that of this
   proxy, at most RANK_MAX.  */
uint32_t
sfo_own_rank (const struct sfo *s, const char *service, GHashTable *voters)
{
  uint64_t own = rdv_weight (service, s->o.vm);
  uint32_t rank = 0;
  GHashTableIter iter;
  gpointer vm;

  g_hash_table_iter_init (&iter, voters);
  while (g_hash_table_iter_next (&iter, &vm, NULL))
    if (strcmp (vm, s->o.vm) != 0 && rdv_weight (service, vm) > own)
      rank++;
  return MIN (rank, RANK_MAX);
}

/* True when this proxy may act: the holder of the claim goes first, the others
   follow by rank, and none acts while another proxy has a new claim to
   promote.  */
static bool
is_own_turn (struct sfo_service *sv, GHashTable *voters, int64_t now_us)
{
  uint32_t rank = sfo_holds_claim (sv)
                      ? 0
                      : 1 + sfo_own_rank (sv->sfo, sv->svc->name, voters);

  if (sv->promote_claim_us > 0 && !sfo_holds_claim (sv)
      && now_us - sv->promote_claim_us < OTHER_CLAIM_GRACE_US)
    return false;
  if (sv->turn_wait_since_us == 0)
    sv->turn_wait_since_us = now_us;
  return now_us - sv->turn_wait_since_us >= (int64_t)rank * RANK_STEP_US;
}

void
sfo_request_status (struct sfo_service *sv, int64_t since_us, int64_t now_us)
{
  struct plr_command command = { STM_STATUS, 0, NULL, since_us };

  if (now_us - sv->last_command_us < STATUS_INTERVAL_US)
    return;
  sv->last_command_us = now_us;
  if (sv->svc->sync_replicas > 0)
    plr_command_instances (sv->sfo->o.pooler, sv->svc, &command, now_us);
  else
    plr_request_status (sv->sfo->o.pooler, sv->svc, now_us);
}

bool
sfo_command_replicas (struct sfo_service *sv, enum stm_kind kind,
                      int64_t now_us)
{
  struct plr_command command
      = { kind, sv->pause_term, sv->svc->primary, sv->state_since_us };

  if (kind == STM_PAUSE)
    {
      command.except = sfo_find_replaced (sv);
      command.since_us = MAX (sv->state_since_us, now_us - PAUSE_REPEAT_US);
    }

  if (now_us - sv->last_command_us < STATUS_INTERVAL_US)
    return false;
  sv->last_command_us = now_us;
  return plr_command_instances (sv->sfo->o.pooler, sv->svc, &command, now_us);
}

void
sfo_begin_attempt (struct sfo_service *sv, const struct svc_instance *primary,
                   int64_t now_us)
{
  g_free (sv->replaced_id);
  sv->replaced_id = primary ? g_strdup (primary->entry->id) : NULL;
  sv->attempt_since_us = now_us;
  sv->planned = false;
}

struct svc_instance *
sfo_find_replaced (const struct sfo_service *sv)
{
  return sv->replaced_id ? svc_find (sv->svc, sv->replaced_id) : NULL;
}

bool
sfo_is_overtaken (const struct sfo_service *sv)
{
  const struct svc_instance *replaced = sfo_find_replaced (sv);

  if (sv->svc->primary && sv->svc->primary != replaced)
    return true;
  for (guint n = 0; n < sv->svc->instances->len; n++)
    {
      const struct svc_instance *i = g_ptr_array_index (sv->svc->instances, n);

      if (i != replaced && i->report.primary
          && i->report.at_us >= sv->attempt_since_us)
        return true;
    }
  return false;
}

bool
sfo_is_back (const struct sfo_service *sv, const struct sfo_evidence *e)
{
  bool unsettled = sv->svc->sync_replicas > 0 && sv->unsettled_id;

  return !unsettled && e->confirmed && sfo_evaluate (e) == SFO_KEEP;
}

void
sfo_start_collecting (struct sfo_service *sv, const char *cause,
                      int64_t now_us)
{
  const struct svc_instance *primary = sfo_find_primary (sv);

  sfo_begin_attempt (sv, primary, now_us);
  sv->suspicion_claim = sv->claim_revision;
  sv->known_position = primary ? cnd_highest_position (primary) : LP_NONE;
  sv->cause = cause;
  sfo_log_decision (sv, "replace", now_us);
  sfo_set_state (sv, SFO_COLLECTING, now_us);
  sfo_request_status (sv, now_us, now_us);
}

static void
replace_primary (struct sfo_service *sv, const struct sfo_evidence *e,
                 int64_t now_us)
{
  uint64_t suspicion_claim = sv->suspicion_claim;

  sfo_start_collecting (sv, sfo_cause_name (e), now_us);
  sv->suspicion_claim = suspicion_claim;
  sv->planned = e->draining || !e->registered;
}

/* True when the primary is to be replaced but no candidate is known: replicas
   without sessions send nothing unless they are probed.  */
static bool
lacks_candidates (const struct sfo_evidence *e)
{
  struct sfo_evidence assumed = *e;

  assumed.candidates = 1;
  return e->candidates == 0 && sfo_evaluate (&assumed) != SFO_KEEP;
}

/* Records since when the holder of the claim is not among the voters.  */
static void
track_holder (struct sfo_service *sv, GHashTable *voters, int64_t now_us)
{
  if (!sv->holder || g_hash_table_contains (voters, sv->holder))
    sv->holder_gone_since_us = 0;
  else if (sv->holder_gone_since_us == 0)
    sv->holder_gone_since_us = now_us;
}

/* True when this proxy should take the claim ahead of need.  */
static bool
should_claim_ahead (const struct sfo_service *sv, GHashTable *voters,
                    int64_t now_us)
{
  bool gone = sv->holder_gone_since_us > 0
              && now_us - sv->holder_gone_since_us >= HOLDER_GONE_US;

  if (sfo_is_claim_open (sv) || now_us < sv->claim_ahead_after_us)
    return false;
  if (sfo_holds_claim (sv))
    return sfo_are_members_outdated (sv);
  return (!sv->holder || gone)
         && sfo_own_rank (sv->sfo, sv->svc->name, voters) == 0;
}

void
sfo_send_claim (struct sfo_service *sv, const char *target)
{
  struct sfo_port *port = sv->sfo->o.port;
  GPtrArray *members = sfo_list_members (sv);
  struct sfo_claim_request request
      = { sv->svc->name, sv->claim_revision, target, members };

  sfo_note_requested_members (sv, members);
  port->ops->claim (port, &request);
  if (members)
    g_ptr_array_free (members, TRUE);
}

void
sfo_claim_ahead (struct sfo_service *sv, int64_t now_us)
{
  sv->claim_ahead_after_us = now_us + CLAIM_AHEAD_INTERVAL_US;
  sfo_set_state (sv, SFO_CLAIMING_AHEAD, now_us);
  sfo_send_claim (sv, NULL);
}

static void
tick_monitoring (struct sfo_service *sv, const struct sfo_evidence *e,
                 GHashTable *voters, int64_t now_us)
{
  enum sfo_decision decision = sfo_evaluate (e);

  if (!g_hash_table_contains (voters, sv->sfo->o.vm))
    {
      sv->turn_wait_since_us = 0;
      return;
    }
  if (decision == SFO_KEEP && e->confirmed)
    {
      track_holder (sv, voters, now_us);
      if (should_claim_ahead (sv, voters, now_us))
        {
          sfo_claim_ahead (sv, now_us);
          return;
        }
      if (sfo_is_claim_open (sv))
        sfo_tick_open_claim (sv, voters, now_us);
    }
  if (lacks_candidates (e))
    plr_seek_candidates (sv->sfo->o.pooler, sv->svc, now_us);
  if (decision == SFO_KEEP)
    sv->turn_wait_since_us = 0;
  if (decision == SFO_KEEP || now_us < sv->act_after_us
      || !is_own_turn (sv, voters, now_us))
    return;
  sv->suspicion_claim = sv->claim_revision;
  if (decision == SFO_REPLACE)
    {
      replace_primary (sv, e, now_us);
      return;
    }
  sv->votes = (struct sfo_votes){ 0, 1, 1, g_hash_table_size (voters) };
  g_hash_table_remove_all (sv->voted);
  sv->cause = sfo_cause_name (e);
  sfo_set_state (sv, SFO_POLLING_PEERS, now_us);
  EV (sv->sfo->o.log, now_us, EV_VOTE, EV_TEXT ("service", sv->svc->name),
      EV_TEXT ("instance", sv->primary_id), EV_TEXT ("vote", "asked"),
      EV_INT ("proxies", sv->votes.voters));
  sv->sfo->o.port->ops->request_votes (sv->sfo->o.port, sv->svc->name,
                                       sv->primary_id, voters);
}

/* True when another proxy has claimed since the suspicion arose: it acts on
   the same fault.  */
static bool
is_superseded (const struct sfo_service *sv)
{
  return sv->claim_revision != sv->suspicion_claim && !sfo_holds_claim (sv);
}

static void
tick_polling (struct sfo_service *sv, const struct sfo_evidence *e,
              int64_t now_us)
{
  if (is_superseded (sv))
    {
      sfo_resume_monitoring (sv, RETRY_PAUSE_US, now_us);
      return;
    }
  if (now_us - sv->state_since_us < VOTE_WAIT_US
      && sv->votes.cast < sv->votes.voters)
    return;
  if (sfo_evaluate (e) == SFO_KEEP)
    sfo_resume_monitoring (sv, 0, now_us);
  else if (sfo_votes_suffice (&sv->votes))
    replace_primary (sv, e, now_us);
  else
    {
      ctr_add (sv->sfo->o.counters, CTR_SUCCESSIONS_SPARED, 1);
      sfo_log_decision (sv, "spare", now_us);
      sfo_resume_monitoring (sv, OUTVOTED_PAUSE_US, now_us);
    }
}

void
sfo_request_claim (struct sfo_service *sv, const struct svc_instance *target,
                   int64_t now_us)
{
  g_free (sv->target_id);
  sv->target_id = g_strdup (target->entry->id);
  sv->claim_requested_us = now_us;
  sfo_set_state (sv, SFO_CLAIMING, now_us);
  sfo_send_claim (sv, sv->target_id);
}

struct svc_instance *
sfo_choose_target (const struct sfo_service *sv, bool paused, int64_t now_us)
{
  const struct svc_instance *preferred
      = sv->target_id ? svc_find (sv->svc, sv->target_id) : NULL;
  int64_t since_us = sv->state_since_us;

  if (paused)
    since_us = MAX (since_us, now_us - PAUSE_REPORT_MAX_AGE_US);
  return cnd_choose (sv->svc, sfo_find_replaced (sv), preferred, since_us,
                     paused, now_us);
}

bool
sfo_can_step_down (const struct sfo_service *sv)
{
  return sv->planned && sv->svc->primary
         && sv->svc->primary == sfo_find_replaced (sv);
}

/* The replica to make the claim for.  Where commits need replicas, a primary
   steps down only in favour of one that keeps up with it.  */
static struct svc_instance *
choose_for_claim (const struct sfo_service *sv, int64_t now_us)
{
  if (sv->svc->sync_replicas > 0 && sv->unsettled_id)
    return sfo_choose_unsettled (sv, now_us);
  if (sv->svc->sync_replicas == 0 || !sfo_can_step_down (sv))
    return sfo_choose_target (sv, false, now_us);
  return cnd_choose_reported (sv->svc, sv->svc->primary, NULL,
                              sv->known_position, sv->state_since_us, now_us);
}

void
sfo_hold_promotion (struct sfo_service *sv, int64_t now_us)
{
  if (sv->svc->sync_replicas > 0)
    {
      ctr_add (sv->sfo->o.counters, CTR_FAILOVERS_HELD, 1);
      sfo_log_decision (sv, "hold", now_us);
    }
  sfo_resume_monitoring (sv, RETRY_PAUSE_US, now_us);
}

static void
tick_collecting (struct sfo_service *sv, const struct sfo_evidence *e,
                 int64_t now_us)
{
  struct svc_instance *target;

  if (is_superseded (sv) || sfo_is_overtaken (sv) || sfo_is_back (sv, e))
    {
      sfo_resume_monitoring (sv, RETRY_PAUSE_US, now_us);
      return;
    }
  sfo_request_status (sv, now_us - STATUS_INTERVAL_US, now_us);
  if (now_us - sv->state_since_us < STATUS_WAIT_US)
    return;
  target = choose_for_claim (sv, now_us);
  if (target)
    sfo_request_claim (sv, target, now_us);
  else if (sv->svc->sync_replicas == 0
           || now_us - sv->state_since_us > STATUS_MAX_US)
    sfo_hold_promotion (sv, now_us);
}

static void
tick_service (struct sfo_service *sv, GHashTable *voters, int64_t now_us)
{
  struct svc_instance *primary = sfo_find_primary (sv);
  struct sfo_evidence e;

  sfo_track_term (sv, now_us);
  e = gather_evidence (sv, primary, now_us);
  switch (sv->state)
    {
    case SFO_MONITORING:
      tick_monitoring (sv, &e, voters, now_us);
      break;
    case SFO_POLLING_PEERS:
      tick_polling (sv, &e, now_us);
      break;
    case SFO_COLLECTING:
      tick_collecting (sv, &e, now_us);
      break;
    case SFO_PAUSING:
      sfo_tick_pausing (sv, &e, now_us);
      break;
    case SFO_RECONFIRMING:
      sfo_tick_reconfirming (sv, now_us);
      break;
    case SFO_STEPPING_DOWN:
      sfo_tick_stepping_down (sv, now_us);
      break;
    case SFO_PROMOTE_RETRY:
      sfo_tick_promote_retry (sv, now_us);
      break;
    case SFO_CONFIRMING:
      sfo_tick_confirming (sv, now_us);
      break;
    case SFO_RESUMING:
      sfo_tick_resuming (sv, &e, now_us);
      break;
    case SFO_CLAIMING:
      sfo_tick_claiming (sv, now_us);
      break;
    case SFO_CLAIMING_AHEAD:
    case SFO_PROMOTING:
      break; /* the port reports the result */
    }
}

void
sfo_tick (struct sfo *s, GHashTable *vms, int64_t now_us)
{
  GHashTableIter iter;
  gpointer name;

  if (!plr_check_peers_complete (s->o.pooler, now_us))
    return;
  g_hash_table_iter_init (&iter, plr_services (s->o.pooler));
  while (g_hash_table_iter_next (&iter, &name, NULL))
    {
      struct sfo_service *sv = sfo_get_service (s, name);
      GHashTable *voters;

      /* An entry of another writer may name a service that no configuration
         has.  */
      if (sv->svc->instances->len == 0
          || !plr_is_configured (s->o.pooler, name))
        continue;
      voters = plr_voters (s->o.pooler, sv->svc);
      tick_service (sv, voters ? voters : vms, now_us);
    }
}

/* Events.  */

/* Returns true if VM is this proxy and the reply to its claim is due.  */
static bool
is_own_request (const struct sfo_service *sv, const char *vm)
{
  return g_strcmp0 (vm, sv->sfo->o.vm) == 0
         && (sv->state == SFO_CLAIMING || sv->state == SFO_CLAIMING_AHEAD);
}

void
sfo_note_claim (struct sfo *s, const struct sfo_claim *claim, int64_t now_us)
{
  struct sfo_service *sv = sfo_get_service (s, claim->service);

  if (claim->revision <= sv->claim_revision)
    return;
  /* What the holder ordered with its claim is not known here, also when it is
     a former process of this proxy.  A claim that closed an earlier one does
     not tell of a later one that the store has lost.  */
  if (claim->target ? !is_own_request (sv, claim->vm) : !sv->claim_is_lost)
    sfo_set_unsettled (sv, claim->target);
  sv->claim_is_lost = false;
  if (claim->target)
    sv->promote_claim_us = now_us;
  if (claim->target && !is_own_request (sv, claim->vm))
    sfo_note_promoted (sv, claim->target, now_us);
  /* A claim taken ahead of need says nothing about a primary that is
     suspected here.  */
  else if (sv->suspicion_claim == sv->claim_revision)
    sv->suspicion_claim = claim->revision;
  sv->claim_revision = claim->revision;
  g_free (sv->claim_target);
  sv->claim_target = g_strdup (claim->target);
  sfo_note_members (sv, claim->members, now_us);
  g_free (sv->holder);
  sv->holder = g_strdup (claim->vm);
  sv->holder_gone_since_us = 0;
}

void
sfo_note_store_reset (struct sfo *s)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, s->services);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      struct sfo_service *sv = value;

      if (sv->claim_target && !sv->unsettled_id)
        sfo_set_unsettled (sv, sv->claim_target);
      sv->claim_is_lost = sv->unsettled_id != NULL;
    }
}

void
sfo_add_vote (struct sfo *s, const char *service, const char *instance,
              const char *vm, enum sfo_vote vote, int64_t now_us)
{
  static const char *const votes[] = { "reached", "missed", "unknown" };
  struct sfo_service *sv = sfo_get_service (s, service);

  EV (s->o.log, now_us, EV_VOTE, EV_TEXT ("service", service),
      EV_TEXT ("instance", instance), EV_TEXT ("from", vm),
      EV_TEXT ("vote", votes[vote]),
      EV_INT ("after_us", now_us - sv->state_since_us));
  if (vote == SFO_VOTE_REACHED)
    plr_set_relay_path (s->o.pooler, service, instance, vm, now_us);
  /* A reply to an earlier request may arrive beside the one to this request.
   */
  if (sv->state != SFO_POLLING_PEERS
      || g_strcmp0 (sv->primary_id, instance) != 0
      || !g_hash_table_add (sv->voted, g_strdup (vm)))
    return;
  sv->votes.cast++;
  sv->votes.reached += vote == SFO_VOTE_REACHED ? 1 : 0;
  sv->votes.missed += vote == SFO_VOTE_MISSED ? 1 : 0;
}

enum sfo_vote
sfo_cast_vote (struct sfo *s, const char *service, const char *instance,
               int64_t now_us)
{
  struct svc *svc = g_hash_table_lookup (plr_services (s->o.pooler), service);
  struct svc_instance *i = svc ? svc_find (svc, instance) : NULL;

  if (!i)
    return SFO_VOTE_UNKNOWN;
  if (i->unresponsive || i->refused_since_us > 0 || i->probe_sent_us > 0)
    return i->unresponsive || i->refused_since_us > 0 ? SFO_VOTE_MISSED
                                                      : SFO_VOTE_UNKNOWN;
  return now_us - i->heard_us < HEARD_MAX_AGE_US ? SFO_VOTE_REACHED
                                                 : SFO_VOTE_UNKNOWN;
}
