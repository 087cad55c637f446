/* Failover on the session path.  */
#include "sessionfailover.h"

#include "candidate.h"
#include "rendezvous.h"
#include <string.h>

/* After connections were refused for this long the process is gone; a shorter
   time may be a full listen backlog.  */
#define REFUSED_MIN_US 250000
/* Longest time without a confirmed primary while the last one reports that it
   is not primary, or has no entry any more: a promotion under way becomes
   visible sooner.  */
#define NO_PRIMARY_US 1200000
/* The same when no primary has been seen since the start.  */
#define NO_PRIMARY_AT_START_US 2500000
/* How long to wait for the votes of the peers: a new link between two proxies
   takes four round trips of the longest path, the request one more.  */
#define VOTE_WAIT_US 300000
/* How long to wait for the status of the instances: the round trips, and the
   wait for a slot of the instance.  */
#define STATUS_WAIT_US 100000
#define STATUS_INTERVAL_US 40000
/* Where commits need replicas: longest wait for their status, and for them to
   pause, before the failover starts anew.  */
#define STATUS_MAX_US 1000000
#define PAUSE_MAX_US 1000000
/* Time from a claim to promote until paused replicas are resumed: more than a
   promotion takes.  For so long they are told.  */
#define RESUME_AFTER_US 4000000
#define RESUME_FOR_US 4000000
/* How long a replica may take to catch up with a primary that stepped down:
   several times the usual lag.  */
#define CATCH_UP_MAX_US 400000
/* In normal operation, how long the holder of a claim must be gone before
   another proxy takes the claim over: more than a restart takes.  */
#define HOLDER_GONE_US 4000000
/* Pause between two attempts to take a claim ahead of need.  */
#define CLAIM_AHEAD_INTERVAL_US 2000000
/* How long a proxy that already holds the claim, and can promote with it,
   waits for the store's reply to a new one.  */
#define CLAIM_WAIT_US 400000
/* How long another proxy with a new claim has to promote.  */
#define OTHER_CLAIM_GRACE_US 1800000
/* How long a token may be used from when its claim was requested, if the
   platform does not check tokens: others respect the claim for longer, and the
   call is on its way for a part of the difference.  */
#define TOKEN_VALID_US (OTHER_CLAIM_GRACE_US - 600000)
/* In that case a claim without a result for so long is given up; the store's
   adapter reports one sooner.  */
#define CLAIM_LOST_US 4000000
/* Wait per rank before a proxy acts, so that usually only one claims.  */
#define RANK_STEP_US 100000
#define RANK_MAX 5
/* Time until a promotion is confirmed: its own and that of a few requests.  */
#define CONFIRM_WAIT_US 2500000
/* Pause before the next attempt after a failed one.  */
#define RETRY_PAUSE_US 300000
/* Most promotion calls with one token, and the pause between them.  */
#define PROMOTE_ATTEMPTS_MAX 4
#define PROMOTE_RETRY_US 150000
/* An instance counts as reachable when it was heard from within this time.  */
#define HEARD_MAX_AGE_US 1500000
/* Pause before a suspicion that the votes did not support is raised again.  */
#define OUTVOTED_PAUSE_US 400000
/* A primary that some voters reach is replaced when one in this many does not
   reach it, in favour of an instance that all of them reach.  */
#define REPLACE_ONE_IN 3

enum state
{
  MONITORING,
  POLLING_PEERS,
  COLLECTING, /* waits for the status of the instances */
  CLAIMING_AHEAD,
  CLAIMING,
  STEPPING_DOWN,
  PAUSING, /* waits until the replicas receive nothing any more */
  PROMOTING,
  PROMOTE_RETRY,
  CONFIRMING /* waits until the promoted instance is confirmed primary */
};

/* The failover state of one service.  */
struct sfo_service
{
  struct sfo *sfo;
  struct svc *svc;
  enum state state;
  int64_t state_since_us;
  int64_t act_after_us;       /* no poll or replacement before */
  int64_t turn_wait_since_us; /* start of the wait by rank, 0 = none */
  int64_t last_command_us;
  int64_t resume_after_us;      /* replicas may be paused and are resumed then,
                                   0 = no */
  char *primary_id;             /* the last one confirmed or registered */
  char *target_id;              /* the replica to promote */
  struct logpos known_position; /* of the primary when COLLECTING began */
  uint64_t claim_revision;      /* 0 = no claim known */
  int64_t promote_claim_us; /* when a claim to promote was last learned of */
  uint64_t suspicion_claim; /* CLAIM_REVISION when the suspicion arose */
  char *holder;             /* proxy that took the claim, NULL = unknown */
  int64_t holder_gone_since_us; /* 0 = the holder is a known voter */
  int64_t claim_ahead_after_us; /* no claim is taken ahead of need before */
  uint64_t token;               /* fencing token of the promotion, 0 = none */
  int64_t claim_requested_us;   /* when TOKEN was */
  int64_t claim_won_us;
  uint32_t attempts; /* promotion calls with TOKEN */
  struct sfo_votes votes;
  const char *cause; /* of the failover, for the log */
  bool planned;      /* the primary leaves; it steps down first */
};

struct sfo
{
  struct sfo_options o;
  GHashTable *services; /* service -> struct sfo_service * */
};

static void
free_service (gpointer data)
{
  struct sfo_service *sv = data;

  g_free (sv->primary_id);
  g_free (sv->target_id);
  g_free (sv->holder);
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

static struct sfo_service *
get_service (struct sfo *s, const char *service)
{
  struct sfo_service *sv = g_hash_table_lookup (s->services, service);

  if (!sv)
    {
      sv = g_new0 (struct sfo_service, 1);
      sv->sfo = s;
      g_hash_table_insert (s->services, g_strdup (service), sv);
    }
  if (!sv->svc)
    sv->svc = g_hash_table_lookup (plr_services (s->o.pooler), service);
  return sv;
}

static void
set_state (struct sfo_service *sv, enum state state, int64_t now_us)
{
  sv->state = state;
  sv->state_since_us = now_us;
}

static void
resume_monitoring (struct sfo_service *sv, int64_t pause_us, int64_t now_us)
{
  set_state (sv, MONITORING, now_us);
  sv->act_after_us = now_us + pause_us;
}

/* True when this proxy took the current claim.  */
static bool
holds_claim (const struct sfo_service *sv)
{
  return g_strcmp0 (sv->holder, sv->sfo->o.vm) == 0;
}

static void
log_decision (struct sfo_service *sv, const char *what, int64_t now_us)
{
  EV (sv->sfo->o.log, now_us, EV_JUDGEMENT, EV_TEXT ("service", sv->svc->name),
      EV_TEXT ("primary", sv->primary_id), EV_TEXT ("what", what),
      EV_TEXT ("cause", sv->cause), EV_INT ("reached", sv->votes.reached),
      EV_INT ("missed", sv->votes.missed), EV_INT ("voted", sv->votes.cast),
      EV_INT ("proxies", sv->votes.voters),
      EV_INT ("claim", (int64_t)sv->claim_revision));
}

/* Evidence.  */

/* The instance that is or should be primary: the last one confirmed, else the
   one that the directory names.  */
static struct svc_instance *
find_primary (struct sfo_service *sv)
{
  struct svc *svc = sv->svc;
  struct svc_instance *registered = NULL;

  if (svc->primary)
    {
      if (g_strcmp0 (sv->primary_id, svc->primary->entry->id) != 0)
        {
          g_free (sv->primary_id);
          sv->primary_id = g_strdup (svc->primary->entry->id);
        }
      return svc->primary;
    }
  if (sv->primary_id)
    {
      struct svc_instance *last = svc_find (svc, sv->primary_id);

      if (last)
        return last;
    }
  for (guint n = 0; n < svc->instances->len; n++)
    {
      struct svc_instance *i = g_ptr_array_index (svc->instances, n);

      if (i->entry->reports_primary)
        registered = i;
    }
  if (registered)
    {
      g_free (sv->primary_id);
      sv->primary_id = g_strdup (registered->entry->id);
    }
  return registered;
}

static struct sfo_evidence
gather_evidence (struct sfo_service *sv, const struct svc_instance *primary,
                 int64_t now_us)
{
  struct svc *svc = sv->svc;
  struct sfo_evidence e = { 0 };

  for (guint n = 0; n < svc->instances->len; n++)
    e.candidates += cnd_is_candidate (g_ptr_array_index (svc->instances, n),
                                      primary, now_us)
                        ? 1
                        : 0;
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

static const char *
cause_name (const struct sfo_evidence *e)
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

/* State machine.  */

/* The number of VOTERS whose hash for SERVICE is higher than that of this
   proxy, at most RANK_MAX.  */
static uint32_t
own_rank (const struct sfo *s, const char *service, GHashTable *voters)
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
  uint32_t rank
      = holds_claim (sv) ? 0 : 1 + own_rank (sv->sfo, sv->svc->name, voters);

  if (sv->promote_claim_us > 0 && !holds_claim (sv)
      && now_us - sv->promote_claim_us < OTHER_CLAIM_GRACE_US)
    return false;
  if (sv->turn_wait_since_us == 0)
    sv->turn_wait_since_us = now_us;
  return now_us - sv->turn_wait_since_us >= (int64_t)rank * RANK_STEP_US;
}

/* Asks the instances for their status.  Where commits need replicas, all must
   have replied since SINCE_US; else those are asked that have an idle
   connection.  */
static void
request_status (struct sfo_service *sv, int64_t since_us, int64_t now_us)
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

/* Sends KIND, a pause or resume, to all instances but the primary.  */
static void
command_replicas (struct sfo_service *sv, enum stm_kind kind, int64_t now_us)
{
  struct plr_command command = { kind, cnd_newest_term (sv->svc) + 1,
                                 find_primary (sv), sv->state_since_us };

  if (now_us - sv->last_command_us < STATUS_INTERVAL_US)
    return;
  sv->last_command_us = now_us;
  plr_command_instances (sv->sfo->o.pooler, sv->svc, &command, now_us);
}

static void
start_collecting (struct sfo_service *sv, const struct sfo_evidence *e,
                  int64_t now_us)
{
  const struct svc_instance *primary = find_primary (sv);

  sv->planned = e->draining || !e->registered;
  sv->known_position = primary ? cnd_highest_position (primary) : LP_NONE;
  sv->cause = cause_name (e);
  log_decision (sv, "replace", now_us);
  set_state (sv, COLLECTING, now_us);
  request_status (sv, now_us, now_us);
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

  return (!sv->holder || gone) && now_us >= sv->claim_ahead_after_us
         && own_rank (sv->sfo, sv->svc->name, voters) == 0;
}

static void
claim_ahead (struct sfo_service *sv, int64_t now_us)
{
  struct sfo *s = sv->sfo;

  sv->claim_ahead_after_us = now_us + CLAIM_AHEAD_INTERVAL_US;
  set_state (sv, CLAIMING_AHEAD, now_us);
  s->o.port->ops->claim (s->o.port, sv->svc->name, sv->claim_revision, "");
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
          claim_ahead (sv, now_us);
          return;
        }
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
      start_collecting (sv, e, now_us);
      return;
    }
  sv->votes = (struct sfo_votes){ 0, 1, 1, g_hash_table_size (voters) };
  sv->cause = cause_name (e);
  set_state (sv, POLLING_PEERS, now_us);
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
  return sv->claim_revision != sv->suspicion_claim && !holds_claim (sv);
}

static void
tick_polling (struct sfo_service *sv, const struct sfo_evidence *e,
              int64_t now_us)
{
  if (is_superseded (sv))
    {
      resume_monitoring (sv, RETRY_PAUSE_US, now_us);
      return;
    }
  if (now_us - sv->state_since_us < VOTE_WAIT_US
      && sv->votes.cast < sv->votes.voters)
    return;
  if (sfo_evaluate (e) == SFO_KEEP)
    resume_monitoring (sv, 0, now_us);
  else if (sfo_votes_suffice (&sv->votes))
    start_collecting (sv, e, now_us);
  else
    {
      ctr_add (sv->sfo->o.counters, CTR_SUCCESSIONS_SPARED, 1);
      log_decision (sv, "spare", now_us);
      resume_monitoring (sv, OUTVOTED_PAUSE_US, now_us);
    }
}

static void
request_claim (struct sfo_service *sv, const struct svc_instance *target,
               int64_t now_us)
{
  struct sfo *s = sv->sfo;

  g_free (sv->target_id);
  sv->target_id = g_strdup (target->entry->id);
  sv->claim_requested_us = now_us;
  set_state (sv, CLAIMING, now_us);
  s->o.port->ops->claim (s->o.port, sv->svc->name, sv->claim_revision,
                         sv->target_id);
}

/* The replica to promote as far as the reports since the state was entered
   tell, NULL while they do not suffice or there is none.  */
static struct svc_instance *
choose_target (const struct sfo_service *sv,
               const struct svc_instance *primary, bool paused, int64_t now_us)
{
  return cnd_choose (sv->svc, primary, sv->state_since_us, paused, now_us);
}

/* Returns true if the primary, which leaves, can be told to step down.  */
static bool
can_step_down (const struct sfo_service *sv,
               const struct svc_instance *primary)
{
  return sv->planned && primary && sv->svc->primary == primary;
}

/* The replica to make the claim for.  Where commits need replicas, a primary
   steps down only in favour of one that keeps up with it.  */
static struct svc_instance *
choose_for_claim (const struct sfo_service *sv,
                  const struct svc_instance *primary, int64_t now_us)
{
  if (sv->svc->sync_replicas == 0 || !can_step_down (sv, primary))
    return choose_target (sv, primary, false, now_us);
  return cnd_choose_holder (sv->svc, primary, sv->known_position,
                            sv->state_since_us, now_us);
}

/* No replica can be promoted at present: tries again later.  */
static void
hold_promotion (struct sfo_service *sv, int64_t now_us)
{
  if (sv->svc->sync_replicas > 0)
    {
      ctr_add (sv->sfo->o.counters, CTR_FAILOVERS_HELD, 1);
      log_decision (sv, "hold", now_us);
    }
  resume_monitoring (sv, RETRY_PAUSE_US, now_us);
}

static void
tick_collecting (struct sfo_service *sv, const struct svc_instance *primary,
                 int64_t now_us)
{
  struct svc_instance *target;

  if (is_superseded (sv))
    {
      resume_monitoring (sv, RETRY_PAUSE_US, now_us);
      return;
    }
  request_status (sv, now_us - STATUS_INTERVAL_US, now_us);
  if (now_us - sv->state_since_us < STATUS_WAIT_US)
    return;
  target = choose_for_claim (sv, primary, now_us);
  if (target)
    request_claim (sv, target, now_us);
  else if (sv->svc->sync_replicas == 0
           || now_us - sv->state_since_us > STATUS_MAX_US)
    hold_promotion (sv, now_us);
}

/* True when no other proxy can promote with a newer token before the call with
   this one arrives, or if the platform refuses the older one then.  */
static bool
is_token_valid (const struct sfo_service *sv, int64_t now_us)
{
  return sv->sfo->o.tokens_are_checked
         || (sv->claim_revision == sv->token
             && now_us - sv->claim_requested_us < TOKEN_VALID_US);
}

static void
order_promotion (struct sfo_service *sv, int64_t now_us)
{
  struct sfo *s = sv->sfo;

  if (!is_token_valid (sv, now_us))
    {
      log_decision (sv, "token too old", now_us);
      resume_monitoring (sv, RETRY_PAUSE_US, now_us);
      return;
    }
  sv->attempts++;
  EV (s->o.log, now_us, EV_PROMOTE, EV_TEXT ("service", sv->svc->name),
      EV_TEXT ("instance", sv->target_id),
      EV_INT ("token", (int64_t)sv->token), EV_INT ("tries", sv->attempts),
      EV_TEXT ("cause", sv->cause));
  ctr_add (s->o.counters, CTR_PROMOTIONS_ORDERED, 1);
  set_state (sv, PROMOTING, now_us);
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

/* Stops the replicas from receiving: a primary that is cut off from this proxy
   only could else have a commit acknowledged by another replica than the one
   that is promoted.  */
static void
start_pausing (struct sfo_service *sv, int64_t now_us)
{
  sv->resume_after_us = now_us + RESUME_AFTER_US;
  set_state (sv, PAUSING, now_us);
  command_replicas (sv, STM_PAUSE, now_us);
}

static void
tick_pausing (struct sfo_service *sv, const struct svc_instance *primary,
              int64_t now_us)
{
  struct svc_instance *target = choose_target (sv, primary, true, now_us);

  if (target)
    {
      set_target (sv, target);
      order_promotion (sv, now_us);
    }
  else if (now_us - sv->state_since_us <= PAUSE_MAX_US)
    command_replicas (sv, STM_PAUSE, now_us);
  else if (cnd_has_stepped_down (primary, sv->claim_won_us)
           && cnd_is_reachable (primary, now_us))
    {
      /* No replica can take over: it leads again.  */
      set_target (sv, primary);
      order_promotion (sv, now_us);
    }
  else
    hold_promotion (sv, now_us);
}

/* A primary that leaves as planned steps down first, so that a replica can
   catch up with everything it has acknowledged.  */
static void
tick_stepping_down (struct sfo_service *sv, const struct svc_instance *primary,
                    int64_t now_us)
{
  bool over = now_us - sv->state_since_us > CATCH_UP_MAX_US;
  bool sync = sv->svc->sync_replicas > 0;
  struct svc_instance *target;

  request_status (sv, now_us - STATUS_INTERVAL_US, now_us);
  target = choose_target (sv, primary, false, now_us);
  if (target && cnd_has_stepped_down (primary, sv->state_since_us)
      && lp_compare (cnd_highest_position (target),
                     cnd_highest_position (primary))
             >= 0)
    over = true;
  else if (over && sync)
    {
      start_pausing (sv, now_us);
      return;
    }
  if (!over && (target || sync))
    return;
  if (target)
    set_target (sv, target);
  order_promotion (sv, now_us);
}

static void
start_promotion (struct sfo_service *sv, uint64_t token, int64_t now_us)
{
  struct svc_instance *primary;

  sv->token = token;
  sv->claim_won_us = now_us;
  sv->attempts = 0;
  primary = find_primary (sv);
  if (can_step_down (sv, primary) && plr_request_step_down (primary, now_us))
    set_state (sv, STEPPING_DOWN, now_us);
  else if (sv->svc->sync_replicas > 0)
    start_pausing (sv, now_us);
  else
    order_promotion (sv, now_us);
}

/* Some time after a claim to promote the replicas that were paused for it are
   to receive again: the proxy that paused them may have ended, and the
   promotion, which resumes them too, may have failed.  */
static void
resume_replicas (struct sfo_service *sv, int64_t now_us)
{
  struct plr_command command
      = { STM_RESUME, 0, find_primary (sv), sv->resume_after_us };

  if (sv->resume_after_us == 0 || now_us < sv->resume_after_us
      || now_us - sv->last_command_us < STATUS_INTERVAL_US)
    return;
  sv->last_command_us = now_us;
  if (sv->svc->sync_replicas == 0
      || now_us - sv->resume_after_us > RESUME_FOR_US
      || plr_command_instances (sv->sfo->o.pooler, sv->svc, &command, now_us))
    sv->resume_after_us = 0;
}

static void
tick_confirming (struct sfo_service *sv, int64_t now_us)
{
  struct svc_instance *primary = sv->svc->primary;

  if (primary && strcmp (primary->entry->id, sv->target_id) == 0)
    resume_monitoring (sv, 0, now_us);
  else if (now_us - sv->state_since_us > CONFIRM_WAIT_US)
    resume_monitoring (sv, 0, now_us);
  else
    plr_seek_primary (sv->sfo->o.pooler, sv->svc, now_us);
}

/* True when this proxy may promote with the claim that it holds, without a new
   one: if another proxy has claimed since, its token is refused.  */
static bool
may_use_held_claim (const struct sfo_service *sv)
{
  return holds_claim (sv) && sv->sfo->o.tokens_are_checked;
}

static void
tick_claiming (struct sfo_service *sv, int64_t now_us)
{
  int64_t waited_us = now_us - sv->state_since_us;

  if (may_use_held_claim (sv) && waited_us > CLAIM_WAIT_US)
    start_promotion (sv, sv->claim_revision, now_us);
  else if (!sv->sfo->o.tokens_are_checked && waited_us > CLAIM_LOST_US)
    resume_monitoring (sv, RETRY_PAUSE_US, now_us);
}

static void
tick_service (struct sfo_service *sv, GHashTable *voters, int64_t now_us)
{
  struct svc_instance *primary = find_primary (sv);
  struct sfo_evidence e = gather_evidence (sv, primary, now_us);

  switch (sv->state)
    {
    case MONITORING:
      resume_replicas (sv, now_us);
      tick_monitoring (sv, &e, voters, now_us);
      break;
    case POLLING_PEERS:
      tick_polling (sv, &e, now_us);
      break;
    case COLLECTING:
      tick_collecting (sv, primary, now_us);
      break;
    case PAUSING:
      tick_pausing (sv, primary, now_us);
      break;
    case STEPPING_DOWN:
      tick_stepping_down (sv, primary, now_us);
      break;
    case PROMOTE_RETRY:
      if (now_us - sv->state_since_us > PROMOTE_RETRY_US)
        order_promotion (sv, now_us);
      break;
    case CONFIRMING:
      tick_confirming (sv, now_us);
      break;
    case CLAIMING:
      tick_claiming (sv, now_us);
      break;
    case CLAIMING_AHEAD:
    case PROMOTING:
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
      struct sfo_service *sv = get_service (s, name);
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

void
sfo_note_claim (struct sfo *s, const struct sfo_claim *claim, int64_t now_us)
{
  struct sfo_service *sv = get_service (s, claim->service);

  if (claim->revision <= sv->claim_revision)
    return;
  if (claim->promotes)
    {
      sv->promote_claim_us = now_us;
      sv->resume_after_us = now_us + RESUME_AFTER_US;
    }
  /* A claim taken ahead of need says nothing about a primary that is
     suspected here.  */
  else if (sv->suspicion_claim == sv->claim_revision)
    sv->suspicion_claim = claim->revision;
  sv->claim_revision = claim->revision;
  g_free (sv->holder);
  sv->holder = g_strdup (claim->vm);
  sv->holder_gone_since_us = 0;
}

/* This proxy won the claim.  */
static void
note_own_claim (struct sfo_service *sv, uint64_t token, bool promotes,
                int64_t now_us)
{
  struct sfo_claim claim = { sv->svc->name, sv->sfo->o.vm, token, promotes };

  sfo_note_claim (sv->sfo, &claim, now_us);
}

void
sfo_complete_claim (struct sfo *s, const char *service, uint64_t token,
                    bool answered, int64_t now_us)
{
  struct sfo_service *sv = get_service (s, service);

  EV (s->o.log, now_us, EV_CLAIM, EV_TEXT ("service", service),
      EV_TEXT ("instance", sv->target_id), EV_INT ("token", (int64_t)token),
      EV_TEXT ("outcome", token > 0  ? "won"
                          : answered ? "taken by another"
                                     : "the store did not answer"));
  if (sv->state == CLAIMING_AHEAD)
    {
      if (token > 0)
        note_own_claim (sv, token, false, now_us);
      set_state (sv, MONITORING, now_us);
      return;
    }
  if (sv->state != CLAIMING)
    return;
  if (token > 0)
    {
      ctr_add (s->o.counters, CTR_CLAIMS, 1);
      note_own_claim (sv, token, true, now_us);
      start_promotion (sv, token, now_us);
    }
  else if (!answered && may_use_held_claim (sv))
    /* The store is unavailable, so no other proxy should have claimed
       since.  */
    start_promotion (sv, sv->claim_revision, now_us);
  else
    resume_monitoring (sv, RETRY_PAUSE_US, now_us);
}

void
sfo_complete_promotion (struct sfo *s, const char *service,
                        enum sfo_promote_result result, int64_t now_us)
{
  static const char *const outcomes[] = { "done", "refused", "lost" };
  struct sfo_service *sv = get_service (s, service);
  struct svc_instance *target;

  EV (s->o.log, now_us, EV_PROMOTE, EV_TEXT ("service", service),
      EV_TEXT ("instance", sv->target_id),
      EV_INT ("token", (int64_t)sv->token),
      EV_TEXT ("outcome", outcomes[result]));
  if (sv->state != PROMOTING)
    return;
  if (result == SFO_PROMOTED)
    {
      set_state (sv, CONFIRMING, now_us);
      return;
    }
  if (result == SFO_PROMOTE_LOST && sv->attempts < PROMOTE_ATTEMPTS_MAX)
    {
      set_state (sv, PROMOTE_RETRY, now_us);
      return;
    }
  target = svc_find (sv->svc, sv->target_id);
  if (target)
    target->ineligible_until_us = now_us + CONFIRM_WAIT_US;
  /* The next attempt requests a new claim instead of reusing the token.  */
  sv->token = 0;
  resume_monitoring (sv, RETRY_PAUSE_US, now_us);
}

void
sfo_add_vote (struct sfo *s, const char *service, const char *instance,
              const char *vm, enum sfo_vote vote, int64_t now_us)
{
  static const char *const votes[] = { "reached", "missed", "unknown" };
  struct sfo_service *sv = get_service (s, service);

  EV (s->o.log, now_us, EV_VOTE, EV_TEXT ("service", service),
      EV_TEXT ("instance", instance), EV_TEXT ("from", vm),
      EV_TEXT ("vote", votes[vote]),
      EV_INT ("after_us", now_us - sv->state_since_us));
  if (vote == SFO_VOTE_REACHED)
    plr_set_relay_path (s->o.pooler, service, instance, vm, now_us);
  if (sv->state != POLLING_PEERS || g_strcmp0 (sv->primary_id, instance) != 0)
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
