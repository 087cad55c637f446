/* Probes of instances, time limits and idle connections.  */
#include "poolerint.h"

#include <string.h>

/* A service that no session used for so long is left alone.  */
#define WANTED_US 10000000
/* A proof of the lead is renewed at this age: half of the least that reads
   may be old, less a few round trips.  */
#define PROOF_EVERY_US 400000
/* Without a proof for so long another instance may lead: several questions
   went unanswered.  */
#define PROOF_LOST_US 1600000
/* Pause between looks for an unknown primary: a few round trips.  */
#define SEEK_EVERY_US 50000
/* The one that the directory calls primary is asked alone for so long: a new
   connection and a question.  */
#define SEEK_LISTED_US 200000
/* An instance that owes answers and says nothing for so long is asked a
   question that needs no slot.  */
#define SILENT_US 250000
/* No answer to such a question for so long: unresponsive.  Several losses of a
   packet on the longest link.  */
#define UNRESPONSIVE_US 700000
/* Nor to a new connection, whose handshake may queue for a slot.  */
#define UNRESPONSIVE_OPEN_US 1000000
/* How often, and from which wait on, waiting is logged.  */
#define PRESSURE_EVERY_US 1000000
#define PRESSURE_WAIT_US 100000
/* How long another proxy is gone through before the direct way is tried
   again.  */
#define DETOUR_US 4000000
/* An answer that takes so many times the usual is lost; beyond the longest
   statements, whose time has a tail of several times the mean.  */
#define LOST_FACTOR 10
#define LOST_MIN_US 200000
/* Connections above the share are closed after resting so long.  */
#define SURPLUS_REST_US 500000
/* Within the share, all but one to the primary are closed after.  */
#define SPARE_REST_US 2000000
/* Others are asked to give a connection back this often.  */
#define YIELD_ASK_EVERY_US 100000
/* An instance not listed any more is forgotten after this time.  */
#define FORGET_US 20000000
/* The smoothed work time of an instance that isn't used drifts back to the
   first guess, so that it is tried again.  */
#define WORK_REST_US 15000
#define WORK_DRIFT 32

void
plr_drop_links (struct plr *p, struct svc_instance *i, bool all,
                int64_t now_us)
{
  for (guint n = i->links->len; n > 0; n--)
    {
      struct ul *link;

      /* Dropping one may have dropped or opened others.  */
      if (n > i->links->len)
        continue;
      link = g_ptr_array_index (i->links, n - 1);
      if (all || !link->session)
        plr_drop_link (p, link, now_us);
    }
}

/* Puts lone reads that wait for I elsewhere.  */
static void
move_reads (struct plr *p, struct svc_instance *i, int64_t now_us)
{
  GList *next;

  for (GList *l = p->active.head; l; l = next)
    {
      struct ses *s = l->data;

      next = l->next;
      if (s->link && s->link->instance == i && !s->writes && !s->relay_to
          && !s->work.transaction)
        plr_retry (p, s, RETRY_INSTANCE_UNRESPONSIVE, 0, now_us);
    }
}

static void
mark_unresponsive (struct plr *p, struct svc_instance *i, int64_t now_us)
{
  if (!i->unresponsive)
    EV (p->o.log, now_us, EV_INSTANCE_UNRESPONSIVE,
        EV_TEXT ("service", i->svc->name), EV_TEXT ("instance", i->entry->id),
        EV_INT ("asked_us", now_us - i->question_us),
        EV_INT ("heard_us", now_us - i->heard_us),
        EV_INT ("links", i->links->len));
  i->unresponsive = true;
  for (guint n = 0; n < i->links->len; n++)
    {
      const struct ul *link = g_ptr_array_index (i->links, n);

      if (link->requests->len > 0 || link->phase == UL_OPENING)
        plr_note_home_failed (p, link, now_us);
    }
  move_reads (p, i, now_us);
  plr_drop_links (p, i, false, now_us);
  i->question_us = 0;
  i->open_after_us = now_us + SILENT_US;
  if (i->svc->leader == i)
    svc_lose_leader (i->svc, now_us);
}

/* Asks I something that needs no slot; a new connection where none is free. */
static void
ask_life (struct plr *p, struct svc_instance *i, bool lead, int64_t now_us)
{
  struct ul *link = plc_idle_link (i);

  if (link)
    plr_probe (p, link, lead, now_us);
  else if (i->n_opening == 0 && now_us >= i->open_after_us
           && (!lead || i->links->len == 0))
    plr_open_link (p, i, now_us);
}

static bool
owes_answers (const struct svc_instance *i, int64_t now_us)
{
  for (guint n = 0; n < i->links->len; n++)
    {
      const struct ul *link = g_ptr_array_index (i->links, n);
      int64_t asked_us = ul_oldest_request_us (link);

      if (asked_us > 0 && now_us - MAX (asked_us, i->heard_us) > SILENT_US)
        return true;
    }
  return false;
}

static void
watch_life (struct plr *p, struct svc_instance *i, int64_t now_us)
{
  int64_t limit_us = i->n_opening > 0 ? UNRESPONSIVE_OPEN_US : UNRESPONSIVE_US;

  if (i->question_us > 0 && now_us - i->question_us > limit_us)
    mark_unresponsive (p, i, now_us);
  else if (i->question_us == 0 && !i->unresponsive && owes_answers (i, now_us))
    ask_life (p, i, false, now_us);
  else if ((i->unresponsive || i->refused_us > 0) && i->n_opening == 0
           && i->missing_since_us == 0 && now_us >= i->open_after_us)
    plr_open_link (p, i, now_us);
}

/* Drops connections that went silent while the instance answers on others:
   one that doesn't open, or that nobody holds and that owes an answer.  */
static void
drop_silent_links (struct plr *p, struct svc_instance *i, int64_t now_us)
{
  for (guint n = i->links->len; n > 0; n--)
    {
      struct ul *link;
      int64_t asked_us;

      if (n > i->links->len)
        continue;
      link = g_ptr_array_index (i->links, n - 1);
      asked_us
          = link->phase == UL_OPENING ? link->opened_us : ul_oldest_request_us (link);
      if (link->session || asked_us == 0
          || now_us - asked_us < UNRESPONSIVE_OPEN_US)
        continue;
      ctr_add (p->o.counters, CTR_CONNECTION_SILENT, 1);
      plr_drop_link (p, link, now_us);
    }
}

/* True when LINK rested so long that its place is better left to others: one
   beyond the share soon, the last one to a replica that isn't used later.  */
static bool
is_spare (const struct ul *link, int64_t now_us)
{
  const struct svc_instance *i = link->instance;
  int64_t rested_us = now_us - link->idle_since_us;

  if (!ul_is_idle (link))
    return false;
  if (plr_has_surplus (i))
    return rested_us >= SURPLUS_REST_US;
  if (i->links->len > 1)
    return rested_us >= SPARE_REST_US;
  return i->svc->leader && i->svc->leader != i && rested_us >= SPARE_REST_US;
}

/* Closes connections that rest.  What a VM that lost power held is counted by
   the instance for seconds, so few are kept.  */
static void
trim_links (struct plr *p, struct svc_instance *i, int64_t now_us)
{
  for (guint n = i->links->len; n > 0; n--)
    {
      struct ul *link = g_ptr_array_index (i->links, n - 1);

      if (!is_spare (link, now_us))
        continue;
      ctr_add (p->o.counters, CTR_LINKS_TRIMMED, 1);
      plr_drop_link (p, link, now_us);
    }
}

/* An instance that is full, without a single connection of this proxy.  */
static void
ask_for_yield (struct plr *p, struct svc_instance *i, int64_t now_us)
{
  if (i->starved_us == 0 || !p->starved
      || now_us - i->yield_asked_us < YIELD_ASK_EVERY_US)
    return;
  i->yield_asked_us = now_us;
  p->starved (p->starved_arg, i->svc->name, i->entry->id,
              i->homes.direct ? NULL : &i->homes);
}

void
plr_on_starved (struct plr *p, plr_yield_fn *ask, void *arg)
{
  p->starved = ask;
  p->starved_arg = arg;
}

void
plr_detour (struct plr *p, const char *service, const char *instance,
            const char *vm, int64_t now_us)
{
  struct svc_instance *i = plr_find_instance (p, service, instance);

  if (!i || !(i->unresponsive || i->refused_us > 0)
      || now_us < i->detour_until_us)
    return;
  EV (p->o.log, now_us, EV_INSTANCE, EV_TEXT ("service", service),
      EV_TEXT ("instance", instance), EV_TEXT ("what", "detour"),
      EV_TEXT ("through", vm));
  g_free (i->helper);
  i->helper = g_strdup (vm);
  i->detour_until_us = now_us + DETOUR_US;
  i->open_after_us = now_us;
  i->refused_us = 0;
}

void
plr_yield (struct plr *p, const char *service, const char *instance,
           int64_t now_us)
{
  struct svc_instance *i = plr_find_instance (p, service, instance);
  struct ul *link = i ? plc_idle_link (i) : NULL;

  if (!i || !plr_has_surplus (i))
    return;
  ctr_add (p->o.counters, CTR_LINKS_YIELDED, 1);
  i->open_after_us = MAX (i->open_after_us, now_us + SURPLUS_REST_US);
  i->yielding = link == NULL;
  if (link)
    plr_drop_link (p, link, now_us);
}

static void
drift_work (struct svc_instance *i)
{
  if (i->n_in_use == 0)
    i->work_us += (WORK_REST_US - i->work_us) / WORK_DRIFT;
}

/* Ends a connection to an instance that is to get nothing new, once its
   transaction is over.  */
static void
leave_unusable (struct plr *p, struct svc_instance *i, int64_t now_us)
{
  if (i->unresponsive || svc_is_usable (i, now_us)
      || (i->svc->leader == i && svc_may_lead_on (i, now_us)))
    return;
  plr_drop_links (p, i, false, now_us);
}

/* Asks every instance of S that isn't asked already.  */
static void
ask_all_lives (struct plr *p, struct svc *s, bool lead, int64_t now_us)
{
  for (guint n = 0; n < s->instances->len; n++)
    {
      struct svc_instance *i = g_ptr_array_index (s->instances, n);

      if (i->question_us == 0 && !i->unresponsive
          && (i->missing_since_us == 0 || svc_is_lapsed (i, now_us)))
        ask_life (p, i, lead, now_us);
    }
}

/* Whether S may be looked through again, which then counts from now.  */
static bool
begin_seek (struct svc *s, int64_t now_us)
{
  if (now_us - s->probed_us < SEEK_EVERY_US)
    return false;
  s->probed_us = now_us;
  return true;
}

void
plr_seek_leader (struct plr *p, struct svc *s, int64_t now_us)
{
  struct svc_instance *presumed;

  if (!begin_seek (s, now_us))
    return;
  if (s->leaderless_us == 0)
    s->leaderless_us = now_us;
  presumed = svc_presumed_leader (s, now_us);
  if (!presumed || now_us - s->leaderless_us >= SEEK_LISTED_US)
    ask_all_lives (p, s, true, now_us);
  else if (presumed->question_us == 0)
    ask_life (p, presumed, true, now_us);
}

void
plr_seek_proof (struct plr *p, struct svc *s, int64_t now_us)
{
  if (!s->leader)
    plr_seek_leader (p, s, now_us);
  else if (begin_seek (s, now_us))
    ask_life (p, s->leader, true, now_us);
}

void
plr_seek_candidates (struct plr *p, struct svc *s, int64_t now_us)
{
  if (begin_seek (s, now_us))
    ask_all_lives (p, s, false, now_us);
}

static void
watch_leader (struct plr *p, struct svc *s, int64_t now_us)
{
  if (s->leader && now_us - svc_proved_us (s) > PROOF_LOST_US)
    {
      EV (p->o.log, now_us, EV_LEADER, EV_TEXT ("service", s->name),
          EV_TEXT ("instance", s->leader->entry->id),
          EV_TEXT ("what", "not proved any more"),
          EV_INT ("proof_us", now_us - svc_proved_us (s)));
      svc_lose_leader (s, now_us);
    }
  if (!s->leader)
    plr_seek_leader (p, s, now_us);
  else if (now_us - svc_proved_us (s) > PROOF_EVERY_US
           && now_us - s->probed_us > PROOF_EVERY_US / 2)
    {
      s->probed_us = now_us;
      ask_life (p, s->leader, true, now_us);
    }
}

static void
watch_instance (struct plr *p, struct svc_instance *i, int64_t now_us)
{
  watch_life (p, i, now_us);
  leave_unusable (p, i, now_us);
  drop_silent_links (p, i, now_us);
  trim_links (p, i, now_us);
  ask_for_yield (p, i, now_us);
  drift_work (i);
}

/* Says once a second why statements wait.  */
static void
log_pressure (struct plr *p, struct svc *s, int64_t now_us)
{
  const struct ses *oldest = s->waiting.head ? s->waiting.head->data : NULL;

  if (!oldest || now_us - s->pressure_us < PRESSURE_EVERY_US
      || now_us - oldest->arrived_us < PRESSURE_WAIT_US)
    return;
  s->pressure_us = now_us;
  for (guint n = 0; n < s->instances->len; n++)
    {
      const struct svc_instance *i = g_ptr_array_index (s->instances, n);

      EV (p->o.log, now_us, EV_PRESSURE, EV_TEXT ("service", s->name),
          EV_TEXT ("instance", i->entry->id),
          EV_TEXT ("leads", s->leader == i ? "yes" : "no"),
          EV_INT ("waiting", g_queue_get_length (&s->waiting)),
          EV_INT ("waited_us", now_us - oldest->arrived_us),
          EV_INT ("links", i->links->len), EV_INT ("opening", i->n_opening),
          EV_INT ("in_use", i->n_in_use), EV_INT ("work_us", i->work_us),
          EV_INT ("round_trip_us", i->round_trip_us),
          EV_INT ("open_in_us", MAX (i->open_after_us - now_us, 0)),
          EV_INT ("unresponsive", i->unresponsive),
          EV_INT ("proof_us", i->led_us > 0 ? now_us - i->led_us : -1));
    }
}

static void
watch_service (struct plr *p, struct svc *s, int64_t now_us)
{
  if (now_us - s->wanted_us > WANTED_US)
    return;
  plr_update_homes (p, s);
  for (guint n = s->instances->len; n > 0; n--)
    {
      struct svc_instance *i = g_ptr_array_index (s->instances, n - 1);

      watch_instance (p, i, now_us);
      if (i->missing_since_us > 0 && i->links->len == 0
          && now_us - i->missing_since_us > FORGET_US)
        plr_forget_instance (p, i, now_us);
    }
  watch_leader (p, s, now_us);
  plr_pump (p, s, now_us);
  log_pressure (p, s, now_us);
}

/* An instance that answers others within its usual time, and not this: the
   answer is lost.  Not for a write or commit, which can't be taken back.  */
static bool
is_answer_lost (const struct ses *s, int64_t now_us)
{
  const struct svc_instance *i = s->link->instance;
  int64_t usual_us = i->round_trip_us + LOST_FACTOR * i->work_us;
  int64_t limit_us = MAX (usual_us, LOST_MIN_US);

  /* It may have waited at the home first.  */
  if (s->link->home)
    limit_us += s->patience_us;

  if (s->statement.kind == STM_COMMIT || (s->writes && !s->work.transaction)
      || s->link->requests->len == 0)
    return false;
  return now_us - s->sent_us > limit_us && i->heard_us > s->sent_us;
}

static void
watch_statement (struct plr *p, struct ses *s, int64_t now_us)
{
  bool sent = s->stage == SES_SENT && s->link;
  int64_t since_us = sent ? s->sent_us : s->arrived_us;

  if (s->relay_to)
    {
      /* The proxy that sent it keeps the time of what is under way.  */
      if (!sent && now_us - since_us > s->work.timeout_us)
        plr_relay_refuse (p, s, SQC_BUSY, now_us);
      else if (s->stage == SES_WAITING)
        plr_shed (p, s, false, now_us);
    }
  else if (now_us - since_us > s->work.timeout_us)
    plr_expire (p, s, now_us);
  else if (s->stage == SES_WAITING)
    plr_shed (p, s, false, now_us);
  else if (sent && is_answer_lost (s, now_us))
    plr_answer_lost (p, s, now_us);
  else if (sent && s->retry_us > 0 && now_us >= s->retry_us)
    {
      s->retry_us = 0;
      plr_send (p, s, now_us);
    }
}

/* A session that rests in a transaction holds a scarce connection.  */
static void
end_idle_transactions (struct plr *p, int64_t now_us)
{
  int64_t limit_us = p->config ? p->config->transaction_idle_us : 0;

  for (GList *l = p->sessions.head; limit_us > 0 && l; l = l->next)
    {
      struct ses *s = l->data;

      if (s->stage != SES_RESTING || !s->link || s->relay_to
          || now_us - s->rested_us < limit_us)
        continue;
      s->work.lost = true;
      s->work.idle_end = true;
      plr_release (p, s, now_us);
    }
}

void
plr_tick (struct plr *p, int64_t now_us)
{
  GHashTableIter iter;
  gpointer service;
  GList *next;

  for (GList *l = p->active.head; l; l = next)
    {
      next = l->next;
      watch_statement (p, l->data, now_us);
    }
  end_idle_transactions (p, now_us);
  g_hash_table_iter_init (&iter, p->services);
  while (vmt_check_complete (&p->vms, now_us)
         && g_hash_table_iter_next (&iter, NULL, &service))
    watch_service (p, service, now_us);
  plr_free_dropped (p);
}

void
plr_ask_status (struct plr *p, struct svc *s, int64_t now_us)
{
  struct stm ask = { .kind = STM_STATUS };

  for (guint n = 0; n < s->instances->len; n++)
    {
      struct svc_instance *i = g_ptr_array_index (s->instances, n);
      struct ul *link = svc_is_usable (i, now_us) ? plc_idle_link (i) : NULL;

      if (!link)
        continue;
      ctr_add (p->o.counters, CTR_STATUS_ASKED, 1);
      ul_send (link, UL_STATUS, LP_NONE, &ask, NULL, now_us);
    }
}

bool
plr_step_down (struct svc_instance *i, int64_t now_us)
{
  struct ul *link = plc_idle_link (i);
  struct stm ask = { .kind = STM_STEP_DOWN };

  if (!link || !lp_is_known (i->received))
    return false;
  ask.term = i->status_term + 1;
  ul_send (link, UL_STEP_DOWN, LP_NONE, &ask, NULL, now_us);
  return true;
}
