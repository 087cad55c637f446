/* Placing and sending statements.  */
#include "poolerint.h"

#include "rendezvous.h"

/* Allowance for clocks that run at slightly different speeds.  */
#define AGE_MARGIN_US 20000
/* After so many copies that lacked the position the primary is asked for it;
   when that lacks it too, it was rolled back, and the lead alone counts.  */
#define BEHIND_TRIES 2
/* A read waits so long for a proof that lets a replica serve it, rather than
   take a slot of the primary: a question and its answer by way of a home in
   another region.  */
#define PROOF_WAIT_US 100000
/* A home that failed is not gone through for so long.  */
#define FAILED_HOME_US 1500000

static bool
needs_leader (const struct ses *s)
{
  const struct ses_work *w = &s->work;

  if (w->reads == DIR_READ_PRIMARY || s->statement.kind == STM_WRITE)
    return true;
  return w->transaction ? !w->read_only : s->writes;
}

/* What the work of S needs.  Without a proof that reaches far enough back, or
   when copies lack the position, only the primary will do.  */
struct plc_need
plr_need_of (const struct ses *s)
{
  const struct ses_work *w = &s->work;
  struct plc_need need = { 0 };
  int64_t since_us = w->arrived_us - w->max_age_us + AGE_MARGIN_US;

  need.avoid = s->avoid;
  need.prove = needs_leader (s) || s->tries_behind > BEHIND_TRIES
               || !svc_floor_since (w->svc, since_us, &need.floor);
  need.leader = need.prove || s->tries_behind >= BEHIND_TRIES;
  if (need.prove)
    need.floor = LP_NONE;
  else if (w->reads == DIR_READ_YOUR_WRITES && s->wrote_in == w->svc)
    need.floor = lp_max (need.floor, s->last_commit);
  return need;
}

/* Lets go of the connections through proxies that are no homes of I any more:
   they hold few connections to it themselves.  */
static void
leave_former_homes (struct plr *p, struct svc_instance *i)
{
  for (guint n = i->links->len; n > 0; n--)
    {
      struct ul *link = g_ptr_array_index (i->links, n - 1);

      if (!link->home || vmt_is_home (&i->homes, link->home)
          || g_strcmp0 (link->home, i->helper) == 0)
        continue;
      /* What is under way on it ends first.  */
      link->retiring = true;
      if (link->session || link->requests->len > 0 || link->phase != UL_OPEN)
        continue;
      ctr_add (p->o.counters, CTR_LINKS_TRIMMED, 1);
      ul_close (link);
      g_ptr_array_add (p->dropped, link);
    }
}

void
plr_update_homes (struct plr *p, struct svc *s)
{
  for (guint n = 0; n < s->instances->len; n++)
    {
      struct svc_instance *i = g_ptr_array_index (s->instances, n);

      if (i->homes.generation == p->vms.generation)
        continue;
      vmt_choose_homes (&p->vms, i->entry, s->connections_max, &i->homes);
      i->limits = plc_limits_for (i, s->connections_max, p->vms.vms->len);
      leave_former_homes (p, i);
    }
}

/* The homes of all instances of S, as a set.  NULL when all proxies go
   directly.  */
static GHashTable *
collect_homes (const struct svc *s)
{
  GHashTable *names;

  for (guint n = 0; n < s->instances->len; n++)
    {
      const struct svc_instance *i = g_ptr_array_index (s->instances, n);

      if (i->homes.direct)
        return NULL;
    }
  names = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  for (guint n = 0; n < s->instances->len; n++)
    {
      const struct svc_instance *i = g_ptr_array_index (s->instances, n);

      for (uint32_t k = 0; k < i->homes.n; k++)
        g_hash_table_add (names, g_strdup (i->homes.vms[k]->name));
    }
  return names;
}

GHashTable *
plr_judges (struct plr *p, struct svc *s)
{
  plr_update_homes (p, s);
  if (s->judges_generation == p->vms.generation)
    return s->judges;
  if (s->judges)
    g_hash_table_destroy (s->judges);
  s->judges = collect_homes (s);
  s->judges_generation = p->vms.generation;
  return s->judges;
}

bool
plr_has_surplus (const struct svc_instance *i)
{
  return i->links->len > MAX (i->limits.share, 1);
}

static bool
is_failed_home (const struct plr *p, const struct vmt_vm *vm, int64_t now_us)
{
  const int64_t *until_us = g_hash_table_lookup (p->failed_homes, vm->name);

  return until_us && now_us < *until_us;
}

void
plr_note_home_failed (struct plr *p, const struct ul *link, int64_t now_us)
{
  int64_t *until_us;

  if (!link->home)
    return;
  until_us = g_new (int64_t, 1);
  *until_us = now_us + FAILED_HOME_US;
  g_hash_table_replace (p->failed_homes, g_strdup (link->home), until_us);
  EV (p->o.log, now_us, EV_PEER, EV_TEXT ("peer", link->home),
      EV_TEXT ("what", "no help as a home"),
      EV_TEXT ("instance", link->instance->entry->id));
}

/* The proxy that helps to reach I, when this one lost the way.  */
static const struct vmt_vm *
helper_for (const struct plr *p, const struct svc_instance *i, int64_t now_us)
{
  const struct vmt_vm *vm
      = now_us < i->detour_until_us ? vmt_find (&p->vms, i->helper) : NULL;

  return vm && !is_failed_home (p, vm, now_us) ? vm : NULL;
}

/* The home to go through: each proxy has its own order of them.  */
static const struct vmt_vm *
home_for (const struct plr *p, const struct svc_instance *i, int64_t now_us)
{
  const struct vmt_homes *h = &i->homes;
  const struct vmt_vm *helper = helper_for (p, i, now_us);
  uint64_t first;

  if (helper)
    return helper;
  if (h->direct || h->includes_own || h->n == 0)
    return NULL;
  first = rdv_weight (i->entry->id, p->o.vm);
  for (uint32_t k = 0; k < h->n; k++)
    {
      const struct vmt_vm *vm = h->vms[(first + k) % h->n];

      if (!is_failed_home (p, vm, now_us))
        return vm;
    }
  return h->vms[first % h->n];
}

struct ul *
plr_open_link (struct plr *p, struct svc_instance *i, int64_t now_us)
{
  const struct vmt_vm *home;

  plr_update_homes (p, i->svc);
  home = home_for (p, i, now_us);
  i->n_opening++;
  if (home)
    return ul_new (p->o.upstreams, i, home, now_us);
  ctr_add (p->o.counters, CTR_CONNECTION_OPENED, 1);
  if (i->question_us == 0)
    i->question_us = now_us;
  return ul_new (p->o.upstreams, i, NULL, now_us);
}

/* True when X goes before Y, which came to the queue earlier.  */
static bool
goes_before (const struct ses *x, const struct ses *y)
{
  if (x->rank != y->rank)
    return x->rank < y->rank;
  return x->arrived_us + x->patience_us < y->arrived_us + y->patience_us;
}

void
plr_wait (struct ses *s)
{
  GQueue *q = &s->work.svc->waiting;
  GList *at;

  if (s->stage == SES_WAITING)
    return;
  s->stage = SES_WAITING;
  for (at = q->tail; at && goes_before (s, at->data); at = at->prev)
    ;
  if (at)
    g_queue_insert_after_link (q, at, &s->waiting);
  else
    g_queue_push_head_link (q, &s->waiting);
}

void
plr_stop_waiting (struct ses *s)
{
  if (s->stage == SES_WAITING)
    g_queue_unlink (&s->work.svc->waiting, &s->waiting);
  s->stage = SES_SENT;
}

static void
ask_rollback (struct ul *link, int64_t now_us)
{
  struct stm rollback = { .kind = STM_ROLLBACK };

  ul_send (link, UL_ROLLBACK, LP_NONE, &rollback, NULL, now_us);
}

struct stm
plr_sync_link (struct ses *s, int64_t now_us)
{
  struct stm out = s->statement;
  const struct ses_shape *shape;

  ul_sync_values (s->link, s->values, s->values_sum, now_us);
  if (out.kind != STM_EXECUTE)
    return out;
  shape = ses_shape_of (s, &s->statement);
  ul_sync_prepared (s->link, shape->id, shape->upstream_name, shape->writes,
                    shape->text, now_us);
  out.name = shape->upstream_name;
  return out;
}

/* For a home that lets the statement of S wait in its own queue.  */
static struct stm_urgency
urgency_of (const struct ses *s, int64_t now_us)
{
  struct stm_urgency u = { .rank = s->rank };
  int64_t left_us = s->patience_us - (now_us - s->arrived_us);

  /* One that flows again after an outage is late in any case.  */
  if (s->patience_us > 0 && left_us > 0)
    u.patience_ms = (uint32_t)MAX (left_us / 1000, 1);
  return u;
}

static void
ask_statement (struct plr *p, struct ses *s, const struct stm *statement,
               struct lp after, int64_t now_us)
{
  struct stm out = *statement;

  ctr_add (p->o.counters, CTR_STATEMENTS, 1);
  s->sent_us = now_us;
  out.urgency = urgency_of (s, now_us);
  ul_send (s->link, UL_STATEMENT, after, &out, s, now_us);
}

/* Opens a transaction, the caller's or the proxy's own around a read.  The
   statement waits for the answer: after a BEGIN that failed it would run on
   its own, on an instance that may lack what it must see.  */
static void
begin_first (struct ses *s, const struct plc_need *need, int64_t now_us)
{
  struct stm begin = { .kind = need->prove ? STM_BEGIN : STM_BEGIN_READ };

  begin.urgency = urgency_of (s, now_us);
  s->sent_us = now_us;
  s->proving = true;
  ul_send (s->link, UL_BEGIN, need->floor, &begin, s, now_us);
}

static void
send_on (struct plr *p, struct ses *s, const struct plc_need *need,
         int64_t now_us)
{
  struct stm out = plr_sync_link (s, now_us);

  if (s->work.transaction && !s->work.begun)
    {
      s->work.begun = true;
      begin_first (s, need, now_us);
    }
  else if (s->work.transaction)
    ask_statement (p, s, &out, LP_NONE, now_us);
  else if (s->wrapped)
    {
      ask_statement (p, s, &out, LP_NONE, now_us);
      ask_rollback (s->link, now_us);
    }
  else if (need->prove && !s->writes)
    {
      s->wrapped = true;
      begin_first (s, need, now_us);
    }
  else
    ask_statement (p, s, &out, need->floor, now_us);
}

void
plr_send (struct plr *p, struct ses *s, int64_t now_us)
{
  struct plc_need need = plr_need_of (s);

  s->proving = false;
  s->stage = SES_SENT;
  send_on (p, s, &need, now_us);
}

void
plr_hold (struct ses *s, struct ul *link, int64_t now_us)
{
  struct svc *svc = link->instance->svc;

  plr_stop_waiting (s);
  ovl_note_start (&link->instance->flow, s->rank,
                  g_queue_get_length (&svc->waiting), now_us);
  s->link = link;
  link->session = s;
  link->instance->n_in_use++;
}

bool
plr_may_go_elsewhere (const struct ses *s, int64_t now_us)
{
  struct plc_need need = plr_need_of (s);

  return plc_has_other (s->work.svc, &need, s->link->instance, now_us);
}

/* True when S can go to a replica as soon as the primary is proved, which is
   soon.  Many proxies that know nothing yet would else send their first reads
   to the primary all at once.  */
static bool
awaits_proof (const struct ses *s, const struct plc_need *need, int64_t now_us)
{
  return need->prove && !needs_leader (s) && s->tries_behind <= BEHIND_TRIES
         && now_us - s->arrived_us < PROOF_WAIT_US;
}

/* Opens another connection when those on the way won't do for all that
   wait.  */
static void
open_for_waiting (struct plr *p, struct svc_instance *i, int64_t now_us)
{
  if (i->n_opening < MIN (g_queue_get_length (&i->svc->waiting), 2))
    plr_open_link (p, i, now_us);
}

void
plr_start (struct plr *p, struct ses *s, int64_t now_us)
{
  struct svc *svc = s->work.svc;
  struct plc_need need;
  struct plc_choice choice;
  bool entering = s->stage != SES_WAITING;

  svc->wanted_us = now_us;
  plr_update_homes (p, svc);
  if (s->relay_to)
    {
      plr_start_relay (p, s, now_us);
      return;
    }
  if (s->link)
    {
      plr_send (p, s, now_us);
      return;
    }
  plr_wait (s);
  if (now_us < s->retry_us)
    return;
  need = plr_need_of (s);
  if (awaits_proof (s, &need, now_us))
    {
      plr_seek_proof (p, svc, now_us);
      return;
    }
  if (need.leader && !svc->leader)
    plr_seek_leader (p, svc, now_us);
  choice = plc_choose (svc, &need, now_us);
  if (choice.verdict == PLC_OPEN)
    open_for_waiting (p, choice.instance, now_us);
  if (choice.verdict != PLC_USE)
    {
      if (entering)
        plr_shed (p, s, true, now_us);
      return;
    }
  plr_hold (s, choice.link, now_us);
  s->proving = false;
  s->wrapped = false;
  s->retry_us = 0;
  send_on (p, s, &need, now_us);
}

void
plr_pump (struct plr *p, struct svc *s, int64_t now_us)
{
  GList *next;

  for (GList *l = s->waiting.head; l; l = next)
    {
      next = l->next;
      plr_start (p, l->data, now_us);
    }
}

void
plr_release (struct plr *p, struct ses *s, int64_t now_us)
{
  struct ul *link = s->link;

  if (!link)
    return;
  s->link = NULL;
  link->instance->n_in_use--;
  ul_detach_session (link, s);
  plr_settle (p, link, now_us);
}

void
plr_settle (struct plr *p, struct ul *link, int64_t now_us)
{
  struct svc *svc = link->instance->svc;

  if (link->session || link->requests->len > 0 || link->phase != UL_OPEN
      || link->closed)
    return;
  if (link->retiring || (link->state != STM_IDLE && link->rolling_back))
    {
      plr_drop_link (p, link, now_us);
      return;
    }
  if (link->state != STM_IDLE)
    {
      link->rolling_back = true;
      ask_rollback (link, now_us);
      return;
    }
  link->rolling_back = false;
  link->idle_since_us = now_us;
  if (link->instance->yielding && plr_has_surplus (link->instance))
    {
      link->instance->yielding = false;
      plr_drop_link (p, link, now_us);
      return;
    }
  plr_pump (p, svc, now_us);
}

void
plr_probe (struct plr *p, struct ul *link, bool lead, int64_t now_us)
{
  struct stm begin = { .kind = lead ? STM_BEGIN : STM_BEGIN_READ };

  ctr_add (p->o.counters, CTR_LINK_PROBES, 1);
  if (link->instance->question_us == 0)
    link->instance->question_us = now_us;
  ul_send (link, UL_BEGIN, LP_NONE, &begin, NULL, now_us);
  ask_rollback (link, now_us);
}
