/* Succession of primaries.  */
#include "succeed.h"

#include "rendezvous.h"
#include <string.h>

/* Connections refused for so long: the process is gone, not just its backlog
   full.  */
#define REFUSED_US 250000
/* All instances deny the lead for so long: longer than a promotion under way
   takes to show.  */
#define LEADERLESS_US 1200000
/* Without any trace of a primary, after start.  */
#define UNKNOWN_US 2500000
/* Peers' votes are waited for: a new link between two proxies takes four
   round trips of the longest, the question one more.  */
#define VOTE_US 300000
/* Status answers are waited for: the same, and a slot.  */
#define SURVEY_US 100000
#define SURVEY_EVERY_US 40000
/* A primary that stepped down is caught up with within: several times the
   usual lag.  */
#define CATCH_UP_US 400000
/* In calm a claim is taken over from a proxy that is gone for so long: more
   than a restart takes.  */
#define HOLDER_GONE_US 4000000
/* Before the next try to take a claim in calm.  */
#define STANDING_PAUSE_US 2000000
/* The store's answer to a claim is waited for so long by a proxy that can
   promote by the claim it has.  */
#define CLAIM_WAIT_US 400000
/* Another proxy that holds a fresh claim is given this time to act.  */
#define OTHERS_US 1800000
/* Proxies act one after the other, so that mostly one claims.  */
#define RANK_US 100000
#define RANK_MAX 5
/* A promotion shows within: its own time and a few questions.  */
#define SETTLE_US 2500000
/* Before the next try after one that failed.  */
#define PAUSE_US 300000
/* Promotion calls with one token.  */
#define PROMOTE_TRIES 4
#define PROMOTE_AGAIN_US 150000
/* A replica counts as answering when heard within.  */
#define HEARD_US 1500000
/* A doubt that peers dispelled is raised again after.  */
#define SPARED_US 400000
/* One proxy in so many that misses the primary is enough to move it to where
   all reach it.  */
#define MISSED_PART 3

enum state
{
  CALM,
  ASKING,
  SURVEYING,
  CLAIMING_IN_CALM,
  CLAIMING,
  STEPPING,
  PROMOTING,
  PROMOTING_AGAIN,
  SETTLING
};

/* The succession of one service.  */
struct suc_service
{
  struct suc *suc;
  struct svc *svc;
  enum state state;
  int64_t since_us; /* of the state */
  int64_t not_before_us;
  int64_t ready_us; /* since then a verdict stands, for the order of ranks */
  int64_t surveyed_us;
  char *primary; /* id of the last one proved or listed */
  char *target;
  uint64_t claim;          /* revision it stands at, 0 = none */
  int64_t claim_us;        /* when one to act by was last learned of */
  uint64_t judged_claim;   /* where it stood when the doubt arose */
  char *holder;            /* proxy that took the claim, NULL = unknown */
  int64_t holder_gone_us;  /* it isn't listed since then, 0 = it is */
  int64_t standing_due_us; /* no claim is taken in calm before */
  uint64_t token;
  uint32_t tries;
  struct suc_votes votes;
  const char *cause;
  bool planned;
};

struct suc
{
  struct suc_options o;
  GHashTable *services; /* service -> struct suc_service * */
};

static void
free_service (gpointer data)
{
  struct suc_service *sv = data;

  g_free (sv->primary);
  g_free (sv->target);
  g_free (sv->holder);
  g_free (sv);
}

struct suc *
suc_new (const struct suc_options *options)
{
  struct suc *s = g_new0 (struct suc, 1);

  s->o = *options;
  s->services
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, free_service);
  return s;
}

void
suc_free (struct suc *s)
{
  if (!s)
    return;
  g_hash_table_destroy (s->services);
  g_free (s);
}

static struct suc_service *
service_of (struct suc *s, const char *service)
{
  struct suc_service *sv = g_hash_table_lookup (s->services, service);

  if (!sv)
    {
      sv = g_new0 (struct suc_service, 1);
      sv->suc = s;
      g_hash_table_insert (s->services, g_strdup (service), sv);
    }
  if (!sv->svc)
    sv->svc = g_hash_table_lookup (plr_services (s->o.pooler), service);
  return sv;
}

static void
enter (struct suc_service *sv, enum state state, int64_t now_us)
{
  sv->state = state;
  sv->since_us = now_us;
}

static void
calm_down (struct suc_service *sv, int64_t pause_us, int64_t now_us)
{
  enter (sv, CALM, now_us);
  sv->not_before_us = now_us + pause_us;
}

/* True when this proxy took the claim that stands.  */
static bool
holds_claim (const struct suc_service *sv)
{
  return g_strcmp0 (sv->holder, sv->suc->o.vm) == 0;
}

static void
log_judgement (struct suc_service *sv, const char *what, int64_t now_us)
{
  EV (sv->suc->o.log, now_us, EV_JUDGEMENT, EV_TEXT ("service", sv->svc->name),
      EV_TEXT ("primary", sv->primary), EV_TEXT ("what", what),
      EV_TEXT ("cause", sv->cause), EV_INT ("reached", sv->votes.reached),
      EV_INT ("missed", sv->votes.missed), EV_INT ("voted", sv->votes.voted),
      EV_INT ("proxies", sv->votes.proxies),
      EV_INT ("claim", (int64_t)sv->claim));
}

/* Evidence.  */

static bool
is_candidate (const struct svc_instance *i, const struct svc_instance *primary,
              int64_t now_us)
{
  return i != primary && svc_is_usable (i, now_us) && i->refused_us == 0
         && i->heard_us > 0 && now_us - i->heard_us < HEARD_US;
}

/* The instance that leads, or should: the last one proved, else the one that
   the directory calls primary.  */
static struct svc_instance *
primary_of (struct suc_service *sv)
{
  struct svc *svc = sv->svc;
  struct svc_instance *listed = NULL;

  if (svc->leader)
    {
      if (g_strcmp0 (sv->primary, svc->leader->entry->id) != 0)
        {
          g_free (sv->primary);
          sv->primary = g_strdup (svc->leader->entry->id);
        }
      return svc->leader;
    }
  if (sv->primary)
    {
      struct svc_instance *last = svc_find (svc, sv->primary);

      if (last)
        return last;
    }
  for (guint n = 0; n < svc->instances->len; n++)
    {
      struct svc_instance *i = g_ptr_array_index (svc->instances, n);

      if (i->entry->reports_primary)
        listed = i;
    }
  if (listed)
    {
      g_free (sv->primary);
      sv->primary = g_strdup (listed->entry->id);
    }
  return listed;
}

static struct suc_evidence
gather (struct suc_service *sv, const struct svc_instance *primary,
        int64_t now_us)
{
  struct svc *svc = sv->svc;
  struct suc_evidence e = { 0 };

  for (guint n = 0; n < svc->instances->len; n++)
    e.candidates += is_candidate (g_ptr_array_index (svc->instances, n),
                                  primary, now_us)
                        ? 1
                        : 0;
  if (svc->leaderless_us == 0 && !svc->leader)
    svc->leaderless_us = now_us;
  e.leaderless_us = svc->leader ? 0 : now_us - svc->leaderless_us;
  e.known = primary != NULL;
  if (!primary)
    return e;
  e.proved = svc->leader == primary;
  e.listed = primary->missing_since_us == 0 || svc_is_lapsed (primary, now_us);
  e.lapsed = primary->missing_since_us > 0;
  e.draining = primary->entry->draining;
  e.unresponsive = primary->unresponsive;
  e.refused_us = primary->refused_us > 0 ? now_us - primary->refused_us : 0;
  e.denied = !e.proved && primary->denied_us > primary->led_us
             && primary->heard_us > 0 && now_us - primary->heard_us < HEARD_US;
  return e;
}

enum suc_verdict
suc_judge (const struct suc_evidence *e)
{
  if (e->candidates == 0)
    return SUC_KEEP;
  if (!e->known)
    return e->leaderless_us > UNKNOWN_US ? SUC_REPLACE : SUC_KEEP;
  if (e->draining || !e->listed
      || (e->lapsed && (e->unresponsive || e->refused_us > 0)))
    return SUC_REPLACE;
  if (e->unresponsive || e->refused_us > REFUSED_US)
    return SUC_ASK;
  if (e->denied && e->leaderless_us > LEADERLESS_US)
    return SUC_REPLACE;
  return SUC_KEEP;
}

static const char *
cause_of (const struct suc_evidence *e)
{
  if (!e->known)
    return "unknown";
  if (e->draining)
    return "draining";
  if (!e->listed)
    return "unlisted";
  if (e->unresponsive)
    return "unresponsive";
  if (e->refused_us > REFUSED_US)
    return "refused";
  return "denied";
}

bool
suc_count_votes (const struct suc_votes *v)
{
  /* On the smaller side of a partition between the proxies the primary may
     well lead on the other.  When it is gone, the directory drops it.  */
  if (v->voted * 2 <= v->proxies)
    return false;
  if (v->reached == 0)
    return true;
  /* One's own doubt is among the missed: alone it moves nothing.  */
  return v->missed >= 2 && v->missed * MISSED_PART >= v->reached + v->missed;
}

static struct lp
known_position (const struct svc_instance *i)
{
  return lp_max (i->received, i->position);
}

struct svc_instance *
suc_choose (const struct svc *s, const struct svc_instance *primary,
            int64_t now_us)
{
  struct svc_instance *best = NULL;

  for (guint n = 0; n < s->instances->len; n++)
    {
      struct svc_instance *i = g_ptr_array_index (s->instances, n);

      if (!is_candidate (i, primary, now_us) || now_us < i->unfit_until_us)
        continue;
      if (!best || lp_compare (known_position (i), known_position (best)) > 0)
        best = i;
    }
  return best;
}

/* Steps.  */

static uint32_t
rank_of (const struct suc *s, const char *service, GHashTable *judges)
{
  uint64_t own = rdv_weight (service, s->o.vm);
  uint32_t rank = 0;
  GHashTableIter iter;
  gpointer vm;

  g_hash_table_iter_init (&iter, judges);
  while (g_hash_table_iter_next (&iter, &vm, NULL))
    if (strcmp (vm, s->o.vm) != 0 && rdv_weight (service, vm) > own)
      rank++;
  return MIN (rank, RANK_MAX);
}

/* Whose turn it is: the holder of the claim first, then by rank; nobody while
   another one has just claimed.  */
static bool
is_turn (struct suc_service *sv, GHashTable *judges, int64_t now_us)
{
  uint32_t rank
      = holds_claim (sv) ? 0 : 1 + rank_of (sv->suc, sv->svc->name, judges);

  if (sv->claim_us > 0 && !holds_claim (sv)
      && now_us - sv->claim_us < OTHERS_US)
    return false;
  if (sv->ready_us == 0)
    sv->ready_us = now_us;
  return now_us - sv->ready_us >= (int64_t)rank * RANK_US;
}

static void
survey (struct suc_service *sv, int64_t now_us)
{
  if (now_us - sv->surveyed_us < SURVEY_EVERY_US)
    return;
  sv->surveyed_us = now_us;
  plr_ask_status (sv->suc->o.pooler, sv->svc, now_us);
}

static void
start_survey (struct suc_service *sv, const struct suc_evidence *e,
              int64_t now_us)
{
  sv->planned = e->draining || !e->listed;
  sv->cause = cause_of (e);
  log_judgement (sv, "replace", now_us);
  enter (sv, SURVEYING, now_us);
  survey (sv, now_us);
}

/* True when only candidates are missing: replicas that serve nobody say
   nothing unless they are asked.  */
static bool
lacks_candidates (const struct suc_evidence *e)
{
  struct suc_evidence with = *e;

  with.candidates = 1;
  return e->candidates == 0 && suc_judge (&with) != SUC_KEEP;
}

/* Keeps since when the holder of the claim is no judge, or gone.  */
static void
watch_holder (struct suc_service *sv, GHashTable *judges, int64_t now_us)
{
  if (!sv->holder || g_hash_table_contains (judges, sv->holder))
    sv->holder_gone_us = 0;
  else if (sv->holder_gone_us == 0)
    sv->holder_gone_us = now_us;
}

/* True when this proxy is to take the claim though nothing is wrong.  */
static bool
is_claim_free (const struct suc_service *sv, GHashTable *judges,
               int64_t now_us)
{
  bool gone = sv->holder_gone_us > 0
              && now_us - sv->holder_gone_us >= HOLDER_GONE_US;

  return (!sv->holder || gone) && now_us >= sv->standing_due_us
         && rank_of (sv->suc, sv->svc->name, judges) == 0;
}

static void
take_standing_claim (struct suc_service *sv, int64_t now_us)
{
  struct suc *s = sv->suc;

  sv->standing_due_us = now_us + STANDING_PAUSE_US;
  enter (sv, CLAIMING_IN_CALM, now_us);
  s->o.port->ops->claim (s->o.port, sv->svc->name, sv->claim, "");
}

static void
on_calm (struct suc_service *sv, const struct suc_evidence *e,
         GHashTable *judges, int64_t now_us)
{
  enum suc_verdict verdict = suc_judge (e);

  if (!g_hash_table_contains (judges, sv->suc->o.vm))
    {
      sv->ready_us = 0;
      return;
    }
  if (verdict == SUC_KEEP && e->proved)
    {
      watch_holder (sv, judges, now_us);
      if (is_claim_free (sv, judges, now_us))
        {
          take_standing_claim (sv, now_us);
          return;
        }
    }
  if (lacks_candidates (e))
    plr_seek_candidates (sv->suc->o.pooler, sv->svc, now_us);
  if (verdict == SUC_KEEP)
    sv->ready_us = 0;
  if (verdict == SUC_KEEP || now_us < sv->not_before_us
      || !is_turn (sv, judges, now_us))
    return;
  sv->judged_claim = sv->claim;
  if (verdict == SUC_REPLACE)
    {
      start_survey (sv, e, now_us);
      return;
    }
  sv->votes = (struct suc_votes){ 0, 1, 1, g_hash_table_size (judges) };
  sv->cause = cause_of (e);
  enter (sv, ASKING, now_us);
  EV (sv->suc->o.log, now_us, EV_VOTE, EV_TEXT ("service", sv->svc->name),
      EV_TEXT ("instance", sv->primary), EV_TEXT ("vote", "asked"),
      EV_INT ("proxies", sv->votes.proxies));
  sv->suc->o.port->ops->ask (sv->suc->o.port, sv->svc->name, sv->primary,
                             judges);
}

/* True when another proxy has claimed since the doubt arose: it acts on the
   same.  */
static bool
is_overtaken (const struct suc_service *sv)
{
  return sv->claim != sv->judged_claim && !holds_claim (sv);
}

static void
on_asking (struct suc_service *sv, const struct suc_evidence *e,
           int64_t now_us)
{
  if (is_overtaken (sv))
    {
      calm_down (sv, PAUSE_US, now_us);
      return;
    }
  if (now_us - sv->since_us < VOTE_US && sv->votes.voted < sv->votes.proxies)
    return;
  if (suc_judge (e) == SUC_KEEP)
    calm_down (sv, 0, now_us);
  else if (suc_count_votes (&sv->votes))
    start_survey (sv, e, now_us);
  else
    {
      ctr_add (sv->suc->o.counters, CTR_SUCCESSIONS_SPARED, 1);
      log_judgement (sv, "spare", now_us);
      calm_down (sv, SPARED_US, now_us);
    }
}

static void
claim (struct suc_service *sv, const struct svc_instance *target,
       int64_t now_us)
{
  struct suc *s = sv->suc;

  g_free (sv->target);
  sv->target = g_strdup (target->entry->id);
  enter (sv, CLAIMING, now_us);
  s->o.port->ops->claim (s->o.port, sv->svc->name, sv->claim, sv->target);
}

static void
on_surveying (struct suc_service *sv, const struct svc_instance *primary,
              int64_t now_us)
{
  struct svc_instance *target;

  if (is_overtaken (sv))
    {
      calm_down (sv, PAUSE_US, now_us);
      return;
    }
  survey (sv, now_us);
  if (now_us - sv->since_us < SURVEY_US)
    return;
  target = suc_choose (sv->svc, primary, now_us);
  if (target)
    claim (sv, target, now_us);
  else
    calm_down (sv, PAUSE_US, now_us);
}

static void
promote (struct suc_service *sv, int64_t now_us)
{
  struct suc *s = sv->suc;

  sv->tries++;
  EV (s->o.log, now_us, EV_PROMOTE, EV_TEXT ("service", sv->svc->name),
      EV_TEXT ("instance", sv->target), EV_INT ("token", (int64_t)sv->token),
      EV_INT ("tries", sv->tries), EV_TEXT ("cause", sv->cause));
  ctr_add (s->o.counters, CTR_PROMOTIONS_ORDERED, 1);
  enter (sv, PROMOTING, now_us);
  s->o.port->ops->promote (s->o.port, sv->svc->name, sv->target, sv->token);
}

/* A primary that leaves as planned steps down first, so that the replicas can
   catch up with all it has acknowledged.  */
static void
on_stepping (struct suc_service *sv, const struct svc_instance *primary,
             int64_t now_us)
{
  struct svc_instance *target;
  bool stepped = primary && primary->denied_us >= sv->since_us;

  survey (sv, now_us);
  target = suc_choose (sv->svc, primary, now_us);
  if (!target || now_us - sv->since_us > CATCH_UP_US
      || (stepped
          && lp_compare (known_position (target), known_position (primary))
                 >= 0))
    {
      if (target && strcmp (target->entry->id, sv->target) != 0)
        {
          g_free (sv->target);
          sv->target = g_strdup (target->entry->id);
        }
      promote (sv, now_us);
    }
}

static void
act (struct suc_service *sv, uint64_t token, int64_t now_us)
{
  struct svc_instance *primary;

  sv->token = token;
  sv->tries = 0;
  primary = primary_of (sv);
  if (sv->planned && primary && sv->svc->leader == primary
      && plr_step_down (primary, now_us))
    enter (sv, STEPPING, now_us);
  else
    promote (sv, now_us);
}

static void
on_settling (struct suc_service *sv, int64_t now_us)
{
  struct svc_instance *leader = sv->svc->leader;

  if (leader && strcmp (leader->entry->id, sv->target) == 0)
    calm_down (sv, 0, now_us);
  else if (now_us - sv->since_us > SETTLE_US)
    calm_down (sv, 0, now_us);
  else
    plr_seek_leader (sv->suc->o.pooler, sv->svc, now_us);
}

static void
tick_service (struct suc_service *sv, GHashTable *judges, int64_t now_us)
{
  struct svc_instance *primary = primary_of (sv);
  struct suc_evidence e = gather (sv, primary, now_us);

  switch (sv->state)
    {
    case CALM:
      on_calm (sv, &e, judges, now_us);
      break;
    case ASKING:
      on_asking (sv, &e, now_us);
      break;
    case SURVEYING:
      on_surveying (sv, primary, now_us);
      break;
    case STEPPING:
      on_stepping (sv, primary, now_us);
      break;
    case PROMOTING_AGAIN:
      if (now_us - sv->since_us > PROMOTE_AGAIN_US)
        promote (sv, now_us);
      break;
    case SETTLING:
      on_settling (sv, now_us);
      break;
    case CLAIMING:
      if (holds_claim (sv) && now_us - sv->since_us > CLAIM_WAIT_US)
        act (sv, sv->claim, now_us);
      break;
    case CLAIMING_IN_CALM:
    case PROMOTING:
      break; /* the port reports the end */
    }
}

void
suc_tick (struct suc *s, GHashTable *vms, int64_t now_us)
{
  GHashTableIter iter;
  gpointer name;

  if (!plr_knows_vms (s->o.pooler, now_us))
    return;
  g_hash_table_iter_init (&iter, plr_services (s->o.pooler));
  while (g_hash_table_iter_next (&iter, &name, NULL))
    {
      struct suc_service *sv = service_of (s, name);
      GHashTable *judges;

      if (sv->svc->instances->len == 0)
        continue;
      judges = plr_judges (s->o.pooler, sv->svc);
      tick_service (sv, judges ? judges : vms, now_us);
    }
}

/* Events.  */

void
suc_note_claim (struct suc *s, const struct suc_claim *claim, int64_t now_us)
{
  struct suc_service *sv = service_of (s, claim->service);

  if (claim->revision <= sv->claim)
    return;
  if (claim->acts)
    sv->claim_us = now_us;
  /* One taken in calm says nothing of a primary that is in doubt here.  */
  else if (sv->judged_claim == sv->claim)
    sv->judged_claim = claim->revision;
  sv->claim = claim->revision;
  g_free (sv->holder);
  sv->holder = g_strdup (claim->vm);
  sv->holder_gone_us = 0;
}

/* This proxy won the claim.  */
static void
note_own_claim (struct suc_service *sv, uint64_t token, bool acts,
                int64_t now_us)
{
  struct suc_claim claim = { sv->svc->name, sv->suc->o.vm, token, acts };

  suc_note_claim (sv->suc, &claim, now_us);
}

void
suc_claimed (struct suc *s, const char *service, uint64_t token, bool settled,
             int64_t now_us)
{
  struct suc_service *sv = service_of (s, service);

  EV (s->o.log, now_us, EV_CLAIM, EV_TEXT ("service", service),
      EV_TEXT ("instance", sv->target), EV_INT ("token", (int64_t)token),
      EV_TEXT ("outcome", token > 0 ? "won"
                          : settled ? "taken by another"
                                    : "the store did not answer"));
  if (sv->state == CLAIMING_IN_CALM)
    {
      if (token > 0)
        note_own_claim (sv, token, false, now_us);
      enter (sv, CALM, now_us);
      return;
    }
  if (sv->state != CLAIMING)
    return;
  if (token > 0)
    {
      ctr_add (s->o.counters, CTR_CLAIMS, 1);
      note_own_claim (sv, token, true, now_us);
      act (sv, token, now_us);
    }
  else if (!settled && holds_claim (sv))
    /* The store is away, but nobody else can have claimed since; where one
       has, the fencing token is refused.  */
    act (sv, sv->claim, now_us);
  else
    calm_down (sv, PAUSE_US, now_us);
}

void
suc_promoted (struct suc *s, const char *service, enum suc_promoted end,
              int64_t now_us)
{
  static const char *const outcomes[] = { "done", "refused", "lost" };
  struct suc_service *sv = service_of (s, service);
  struct svc_instance *target;

  EV (s->o.log, now_us, EV_PROMOTE, EV_TEXT ("service", service),
      EV_TEXT ("instance", sv->target), EV_INT ("token", (int64_t)sv->token),
      EV_TEXT ("outcome", outcomes[end]));
  if (sv->state != PROMOTING)
    return;
  if (end == SUC_PROMOTED)
    {
      enter (sv, SETTLING, now_us);
      return;
    }
  if (end == SUC_PROMOTE_LOST && sv->tries < PROMOTE_TRIES)
    {
      enter (sv, PROMOTING_AGAIN, now_us);
      return;
    }
  target = svc_find (sv->svc, sv->target);
  if (target)
    target->unfit_until_us = now_us + SETTLE_US;
  /* The same token is not used again: the next try claims anew.  */
  sv->token = 0;
  calm_down (sv, PAUSE_US, now_us);
}

void
suc_voted (struct suc *s, const char *service, const char *instance,
           const char *vm, enum suc_vote vote, int64_t now_us)
{
  static const char *const votes[] = { "reached", "missed", "unknown" };
  struct suc_service *sv = service_of (s, service);

  EV (s->o.log, now_us, EV_VOTE, EV_TEXT ("service", service),
      EV_TEXT ("instance", instance), EV_TEXT ("from", vm),
      EV_TEXT ("vote", votes[vote]),
      EV_INT ("after_us", now_us - sv->since_us));
  if (vote == SUC_VOTE_REACHED)
    plr_detour (s->o.pooler, service, instance, vm, now_us);
  if (sv->state != ASKING || g_strcmp0 (sv->primary, instance) != 0)
    return;
  sv->votes.voted++;
  sv->votes.reached += vote == SUC_VOTE_REACHED ? 1 : 0;
  sv->votes.missed += vote == SUC_VOTE_MISSED ? 1 : 0;
}

enum suc_vote
suc_vote_on (struct suc *s, const char *service, const char *instance,
             int64_t now_us)
{
  struct svc *svc = g_hash_table_lookup (plr_services (s->o.pooler), service);
  struct svc_instance *i = svc ? svc_find (svc, instance) : NULL;

  if (!i)
    return SUC_VOTE_UNKNOWN;
  if (i->unresponsive || i->refused_us > 0 || i->question_us > 0)
    return i->unresponsive || i->refused_us > 0 ? SUC_VOTE_MISSED
                                                : SUC_VOTE_UNKNOWN;
  return now_us - i->heard_us < HEARD_US ? SUC_VOTE_REACHED : SUC_VOTE_UNKNOWN;
}
