/* Choice of an instance and connection for each statement, and sending.  */
#include "poolerint.h"

#include "rendezvous.h"
#include <string.h>

/* Margin on the maximum age for clocks that run at slightly different
   speeds.  */
#define AGE_MARGIN_US 20000
/* After this many tries on replicas that lacked the minimum position a read
   goes to the primary.  If the primary lacks it too, the position was rolled
   back by a failover, and the read only requires that the instance is primary.
 */
#define BEHIND_TRIES 2
/* Longest wait of a read for a leadership check that allows a replica to serve
   it instead of the primary: one round trip through a home in another
   region.  */
#define CONFIRMATION_WAIT_US 100000
/* A home (see vmtable.h) that failed is not used for this time.  */
#define FAILED_HOME_US 1500000

static bool
needs_primary (const struct ses *s)
{
  const struct ses_work *w = &s->work;

  if (w->reads == DIR_READ_PRIMARY || s->statement.kind == STM_WRITE)
    return true;
  return w->transaction ? !w->read_only : s->writes;
}

struct plc_need
plr_compute_need (const struct ses *s)
{
  const struct ses_work *w = &s->work;
  struct plc_need need = { 0 };
  int64_t since_us = w->arrived_us - w->max_age_us + AGE_MARGIN_US;

  need.avoid = s->avoid;
  need.confirm
      = needs_primary (s) || s->tries_behind > BEHIND_TRIES
        || !svc_min_position_since (w->svc, since_us, &need.min_position);
  need.primary_only = need.confirm || s->tries_behind >= BEHIND_TRIES;
  if (need.confirm)
    need.min_position = LP_NONE;
  else if (w->reads == DIR_READ_YOUR_WRITES && s->last_commit_svc == w->svc)
    need.min_position = lp_max (need.min_position, s->last_commit);
  return need;
}

/* Closes the links through proxies that are not homes of I any more, since
   those hold few connections to it themselves.  */
static void
close_former_home_links (struct plr *p, struct svc_instance *i)
{
  for (guint n = i->links->len; n > 0; n--)
    {
      struct ul *link = g_ptr_array_index (i->links, n - 1);

      if (!link->home || vmt_is_home (&i->homes, link->home)
          || g_strcmp0 (link->home, i->relay_peer) == 0)
        continue;
      /* The requests under way on it complete first.  */
      link->retiring = true;
      if (link->session || link->requests->len > 0 || link->phase != UL_OPEN)
        continue;
      ctr_add (p->options.counters, CTR_LINKS_TRIMMED, 1);
      ul_close (link);
      g_ptr_array_add (p->closed_links, link);
    }
}

static void
choose_homes (struct plr *p, const struct svc *s, struct svc_instance *i)
{
  if (s->by_account)
    {
      vmt_choose_account_homes (&p->vms, i->entry, s->connections_max,
                                &i->homes);
      i->limits = plc_account_limits_for (i, s->connections_max);
      return;
    }
  vmt_choose_homes (&p->vms, i->entry, s->connections_max, &i->homes);
  i->limits = plc_limits_for (i, s->connections_max, p->vms.vms->len);
}

void
plr_update_homes (struct plr *p, struct svc *s)
{
  for (guint n = 0; n < s->instances->len; n++)
    {
      struct svc_instance *i = g_ptr_array_index (s->instances, n);

      if (i->homes.generation == p->vms.generation)
        continue;
      choose_homes (p, s, i);
      close_former_home_links (p, i);
    }
}

/* Returns the names of the homes of all instances of S.  NULL when an instance
   is accessed directly by all proxies.  */
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
plr_voters (struct plr *p, struct svc *s)
{
  plr_update_homes (p, s);
  if (s->voters_generation == p->vms.generation)
    return s->voters;
  if (s->voters)
    g_hash_table_destroy (s->voters);
  s->voters = collect_homes (s);
  s->voters_generation = p->vms.generation;
  return s->voters;
}

bool
plr_has_surplus (const struct svc_instance *i)
{
  if (i->svc->by_account)
    return plc_count_direct (i) > i->limits.fair_share;
  return i->links->len > MAX (i->limits.fair_share, 1);
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
  EV (p->options.log, now_us, EV_PEER, EV_TEXT ("peer", link->home),
      EV_TEXT ("what", "no help as a home"),
      EV_TEXT ("instance", link->instance->entry->id));
}

/* Returns the proxy that relays to I while the direct link is cut, or NULL. */
static const struct vmt_vm *
find_relay_proxy (const struct plr *p, const struct svc_instance *i,
                  int64_t now_us)
{
  const struct vmt_vm *vm
      = now_us < i->relay_until_us ? vmt_find (&p->vms, i->relay_peer) : NULL;

  return vm && !is_failed_home (p, vm, now_us) ? vm : NULL;
}

/* Returns how many connections to I this proxy has through the proxy HOME.  */
static uint32_t
count_links_through (const struct svc_instance *i, const char *home)
{
  uint32_t n = 0;

  for (guint k = 0; k < i->links->len; k++)
    {
      const struct ul *link = g_ptr_array_index (i->links, k);

      n += g_strcmp0 (link->home, home) == 0 ? 1 : 0;
    }
  return n;
}

/* Returns the home of I that has not failed and through which this proxy has
   the fewest connections, or NULL.  Each proxy starts at another home.  */
static const struct vmt_vm *
find_working_home (const struct plr *p, const struct svc_instance *i,
                   int64_t now_us)
{
  const struct vmt_homes *h = &i->homes;
  uint64_t first = rdv_weight (i->entry->id, p->options.vm);
  const struct vmt_vm *best = NULL;
  uint32_t best_links = UINT32_MAX;

  for (uint32_t k = 0; k < h->n; k++)
    {
      const struct vmt_vm *vm = h->vms[(first + k) % h->n];
      uint32_t n_links = count_links_through (i, vm->name);

      if (is_failed_home (p, vm, now_us) || n_links >= best_links)
        continue;
      best = vm;
      best_links = n_links;
    }
  return best;
}

/* The arguments of is_skipped.  */
struct skip
{
  const struct plr *p;
  int64_t now_us;
};

static bool
is_skipped (void *arg, const struct vmt_vm *vm)
{
  const struct skip *skip = arg;

  return is_failed_home (skip->p, vm, skip->now_us);
}

/* Returns the home of I that holds the connections of ACCOUNT, NULL = this
   proxy.  */
static const struct vmt_vm *
choose_account_home (const struct plr *p, const struct svc_instance *i,
                     const char *account, int64_t now_us)
{
  struct skip skip = { p, now_us };
  const struct vmt_vm *home
      = vmt_find_account_home (&i->homes, account, is_skipped, &skip);

  return home && strcmp (home->name, p->options.vm) == 0 ? NULL : home;
}

/* Returns the proxy through which to reach I for ACCOUNT (NULL: any), NULL =
   directly.  */
static const struct vmt_vm *
choose_home (const struct plr *p, const struct svc_instance *i,
             const char *account, int64_t now_us)
{
  const struct vmt_homes *h = &i->homes;
  const struct vmt_vm *relay_proxy = find_relay_proxy (p, i, now_us);
  const struct vmt_vm *home;

  if (relay_proxy)
    return relay_proxy;
  if (account && i->svc->by_account && !h->direct)
    return choose_account_home (p, i, account, now_us);
  if (h->direct || h->includes_own || h->n == 0)
    return NULL;
  home = find_working_home (p, i, now_us);
  return home ? home : h->vms[rdv_weight (i->entry->id, p->options.vm) % h->n];
}

/* Implements struct plc_paths.  */
struct paths
{
  struct plc_paths paths;
  const struct plr *p;
};

static const struct vmt_vm *
find_path (const struct plc_paths *paths, const struct svc_instance *i,
           const char *account, int64_t now_us)
{
  return choose_home (((const struct paths *)paths)->p, i, account, now_us);
}

static void
set_last_account (struct svc_instance *i, const char *account)
{
  if (g_strcmp0 (i->last_account, account) == 0)
    return;
  g_free (i->last_account);
  i->last_account = g_strdup (account);
}

struct ul *
plr_open_link (struct plr *p, struct svc_instance *i, const char *account,
               int64_t now_us)
{
  const struct vmt_vm *home;

  plr_update_homes (p, i->svc);
  home = choose_home (p, i, account, now_us);
  i->n_opening++;
  if (home)
    return ul_new (p->options.upstreams, i, home, NULL, now_us);
  if (account)
    set_last_account (i, account);
  ctr_add (p->options.counters, CTR_CONNECTION_OPENED, 1);
  if (i->probe_sent_us == 0)
    i->probe_sent_us = now_us;
  return ul_new (p->options.upstreams, i, NULL,
                 i->svc->by_account ? i->last_account : NULL, now_us);
}

/* Returns true if X is to be served before Y, which joined the queue
   earlier: by rank, then by the end of the maximum wait.  */
static bool
is_before (const struct ses *x, const struct ses *y)
{
  if (x->rank != y->rank)
    return x->rank < y->rank;
  return x->arrived_us + x->max_wait_us < y->arrived_us + y->max_wait_us;
}

void
plr_enqueue (struct ses *s)
{
  GQueue *q = &s->work.svc->waiting;
  GList *at;

  if (s->stage == SES_WAITING)
    return;
  s->stage = SES_WAITING;
  for (at = q->tail; at && is_before (s, at->data); at = at->prev)
    ;
  if (at)
    g_queue_insert_after_link (q, at, &s->waiting_node);
  else
    g_queue_push_head_link (q, &s->waiting_node);
}

void
plr_dequeue (struct ses *s)
{
  if (s->stage == SES_WAITING)
    g_queue_unlink (&s->work.svc->waiting, &s->waiting_node);
  s->stage = SES_SENT;
}

static void
send_rollback (struct ul *link, int64_t now_us)
{
  struct stm rollback = { .kind = STM_ROLLBACK };

  ul_send (link, UL_ROLLBACK, LP_NONE, &rollback, NULL, now_us);
}

struct stm
plr_sync_link (struct ses *s, int64_t now_us)
{
  struct stm out = s->statement;
  const struct ses_prepared *prepared;

  ul_sync_values (s->link, s->values, s->values_digest, now_us);
  if (out.kind != STM_EXECUTE)
    return out;
  prepared = ses_find_prepared (s, &s->statement);
  ul_sync_prepared (s->link, prepared->id, prepared->upstream_name,
                    prepared->writes, prepared->text, now_us);
  out.name = prepared->upstream_name;
  return out;
}

/* Rank, kind and remaining wait of the statement of S, for the queue of a
   home.  */
static struct stm_urgency
urgency_of (const struct plr *p, const struct ses *s, int64_t now_us)
{
  struct stm_urgency u = { .rank = s->rank };
  int64_t left_us = s->max_wait_us - (now_us - s->arrived_us);

  /* A statement sent after an outage that used up its wait is late in any case
     and gets no limit.  */
  if (s->max_wait_us > 0 && left_us > 0)
    u.max_wait_ms = (uint32_t)MAX (left_us / 1000, 1);
  u.kind = p->request_kinds.kinds[s->work.request_kind].id;
  return u;
}

static void
note_sent (struct ses *s, int64_t now_us)
{
  s->sent_us = now_us;
  if (s->first_sent_us == 0)
    s->first_sent_us = now_us;
}

static void
send_statement (struct plr *p, struct ses *s, const struct stm *statement,
                struct logpos min_position, int64_t now_us)
{
  struct stm out = *statement;

  ctr_add (p->options.counters, CTR_STATEMENTS, 1);
  note_sent (s, now_us);
  out.urgency = urgency_of (p, s, now_us);
  out.account = s->account;
  ul_send (s->link, UL_STATEMENT, min_position, &out, s, now_us);
}

/* Opens a transaction: the caller's, or one of the proxy around a read.  The
   statement is sent only after the reply: if BEGIN failed, it would run
   outside a transaction, on an instance that may lack the minimum position. */
static void
send_begin (struct plr *p, struct ses *s, const struct plc_need *need,
            int64_t now_us)
{
  struct stm begin = { .kind = need->confirm ? STM_BEGIN : STM_BEGIN_READ };

  begin.urgency = urgency_of (p, s, now_us);
  begin.account = s->account;
  note_sent (s, now_us);
  s->awaits_begin = true;
  ul_send (s->link, UL_BEGIN, need->min_position, &begin, s, now_us);
}

static void
send_next (struct plr *p, struct ses *s, const struct plc_need *need,
           int64_t now_us)
{
  struct stm out = plr_sync_link (s, now_us);

  if (s->work.transaction && !s->work.begun)
    {
      s->work.begun = true;
      send_begin (p, s, need, now_us);
    }
  else if (s->work.transaction)
    send_statement (p, s, &out, LP_NONE, now_us);
  else if (s->proxy_transaction)
    {
      send_statement (p, s, &out, LP_NONE, now_us);
      send_rollback (s->link, now_us);
    }
  else if (need->confirm && !s->writes)
    {
      s->proxy_transaction = true;
      send_begin (p, s, need, now_us);
    }
  else
    send_statement (p, s, &out, need->min_position, now_us);
}

void
plr_send (struct plr *p, struct ses *s, int64_t now_us)
{
  struct plc_need need = plr_compute_need (s);

  s->awaits_begin = false;
  s->stage = SES_SENT;
  send_next (p, s, &need, now_us);
}

void
plr_assign_link (struct ses *s, struct ul *link, int64_t now_us)
{
  struct svc *svc = link->instance->svc;

  plr_dequeue (s);
  ovl_note_start (&link->instance->throughput, s->rank,
                  g_queue_get_length (&svc->waiting), now_us);
  s->link = link;
  link->session = s;
  link->instance->n_in_use++;
}

bool
plr_has_alternative (const struct ses *s, int64_t now_us)
{
  struct plc_need need = plr_compute_need (s);

  return plc_has_other (s->work.svc, &need, s->link->instance, now_us);
}

/* Returns true if S can run on a replica as soon as a leadership check has
   succeeded, which takes little time.  Otherwise proxies that have just
   started would all send their first reads to the primary.  */
static bool
awaits_confirmation (const struct ses *s, const struct plc_need *need,
                     int64_t now_us)
{
  return need->confirm && !needs_primary (s) && s->tries_behind <= BEHIND_TRIES
         && now_us - s->arrived_us < CONFIRMATION_WAIT_US;
}

/* Opens another connection to I if fewer are being opened than statements
   wait, at most two at once.  */
static void
open_for_waiting (struct plr *p, struct svc_instance *i, int64_t now_us)
{
  if (i->n_opening < MIN (g_queue_get_length (&i->svc->waiting), 2))
    plr_open_link (p, i, NULL, now_us);
}

void
plr_open_for_account (struct plr *p, const struct plc_choice *choice,
                      const char *account, int64_t now_us)
{
  if (choice->decision == PLC_REPLACE)
    {
      ctr_add (p->options.counters, CTR_LINKS_REPLACED, 1);
      plr_close_link (p, choice->link, now_us);
    }
  plr_open_link (p, choice->instance, account, now_us);
}

void
plr_dispatch (struct plr *p, struct ses *s, int64_t now_us)
{
  struct svc *svc = s->work.svc;
  struct paths paths = { { find_path }, p };
  struct plc_need need;
  struct plc_choice choice;
  bool entering = s->stage != SES_WAITING;

  svc->last_used_us = now_us;
  plr_update_homes (p, svc);
  if (s->relay_instance)
    {
      plr_dispatch_relay (p, s, now_us);
      return;
    }
  if (s->link)
    {
      plr_send (p, s, now_us);
      return;
    }
  plr_enqueue (s);
  if (now_us < s->retry_after_us)
    return;
  need = plr_compute_need (s);
  if (awaits_confirmation (s, &need, now_us))
    {
      plr_seek_confirmation (p, svc, now_us);
      return;
    }
  if (need.primary_only && !svc->primary)
    plr_seek_primary (p, svc, now_us);
  if (svc->by_account)
    {
      need.paths = &paths.paths;
      need.account = s->account ? s->account : ACC_ANONYMOUS;
      need.waited_us = now_us - s->arrived_us;
    }
  choice = plc_choose (svc, &need, now_us);
  if (svc->by_account
      && (choice.decision == PLC_OPEN || choice.decision == PLC_REPLACE))
    plr_open_for_account (p, &choice, need.account, now_us);
  else if (choice.decision == PLC_OPEN)
    open_for_waiting (p, choice.instance, now_us);
  if (choice.decision != PLC_USE)
    {
      if (entering)
        plr_shed (p, s, true, now_us);
      return;
    }
  plr_assign_link (s, choice.link, now_us);
  s->awaits_begin = false;
  s->proxy_transaction = false;
  s->retry_after_us = 0;
  send_next (p, s, &need, now_us);
}

void
plr_dispatch_waiting (struct plr *p, struct svc *s, int64_t now_us)
{
  GList *next;

  for (GList *l = s->waiting.head; l; l = next)
    {
      next = l->next;
      plr_dispatch (p, l->data, now_us);
    }
}

void
plr_release_link (struct plr *p, struct ses *s, int64_t now_us)
{
  struct ul *link = s->link;

  if (!link)
    return;
  s->link = NULL;
  link->instance->n_in_use--;
  ul_detach_session (link, s);
  plr_recycle_link (p, link, now_us);
}

void
plr_recycle_link (struct plr *p, struct ul *link, int64_t now_us)
{
  struct svc *svc = link->instance->svc;

  if (link->session || link->requests->len > 0 || link->phase != UL_OPEN
      || link->closed)
    return;
  if (link->retiring || (link->state != STM_IDLE && link->rolling_back))
    {
      plr_close_link (p, link, now_us);
      return;
    }
  if (link->state != STM_IDLE)
    {
      link->rolling_back = true;
      send_rollback (link, now_us);
      return;
    }
  link->rolling_back = false;
  link->idle_since_us = now_us;
  if (link->instance->yield_next_link && plr_has_surplus (link->instance))
    {
      link->instance->yield_next_link = false;
      plr_close_link (p, link, now_us);
      return;
    }
  if (!plr_send_command (p, link, now_us))
    plr_dispatch_waiting (p, svc, now_us);
}

void
plr_probe_link (struct plr *p, struct ul *link, bool primary, int64_t now_us)
{
  struct stm begin = { .kind = primary ? STM_BEGIN : STM_BEGIN_READ };

  ctr_add (p->options.counters, CTR_LINK_PROBES, 1);
  if (link->instance->probe_sent_us == 0)
    link->instance->probe_sent_us = now_us;
  ul_send (link, UL_BEGIN, LP_NONE, &begin, NULL, now_us);
  send_rollback (link, now_us);
}
