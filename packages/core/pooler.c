/* Sessions, and their statements until they are dispatched.  */
#include "poolerint.h"

#include <string.h>

/* Largest number of statements of one service that wait in this proxy.  */
#define WAITING_MAX 512

struct plr *
plr_new (const struct plr_options *options)
{
  struct plr *p = g_new0 (struct plr, 1);

  p->options = *options;
  p->services = g_hash_table_new (g_str_hash, g_str_equal);
  p->prepared_table = ses_prepared_table_new ();
  g_queue_init (&p->sessions);
  g_queue_init (&p->active);
  p->closed_links = g_ptr_array_new ();
  vmt_init (&p->vms, options->vm, options->regions);
  p->failed_homes
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  p->directory_reachable = true;
  plr_init_accounts (p);
  return p;
}

static void
free_service (struct svc *s)
{
  for (guint n = 0; n < s->instances->len; n++)
    {
      struct svc_instance *i = g_ptr_array_index (s->instances, n);

      while (i->links->len > 0)
        ul_free (g_ptr_array_index (i->links, 0));
    }
  svc_free (s);
}

void
plr_set_session_memory (struct plr *p, size_t max_bytes)
{
  ses_prepared_table_set_max (p->prepared_table, max_bytes);
}

void
plr_free (struct plr *p)
{
  GHashTableIter iter;
  gpointer service;

  plr_free_closed_links (p);
  while (p->sessions.head)
    {
      struct ses *s = p->sessions.head->data;

      g_queue_unlink (&p->sessions, &s->node);
      plr_leave_queues (p, s);
      ses_free (s, p->prepared_table);
    }
  g_hash_table_iter_init (&iter, p->services);
  while (g_hash_table_iter_next (&iter, NULL, &service))
    free_service (service);
  g_hash_table_destroy (p->services);
  g_ptr_array_free (p->closed_links, TRUE);
  dir_config_free (p->config);
  ses_prepared_table_free (p->prepared_table);
  vmt_free (&p->vms);
  g_hash_table_destroy (p->failed_homes);
  plr_free_accounts (p);
  g_free (p);
}

struct svc *
plr_get_service (struct plr *p, const char *name)
{
  struct svc *s = g_hash_table_lookup (p->services, name);

  if (!s)
    {
      s = svc_new (name);
      s->drain_grace_us = p->options.drain_grace_us;
      g_hash_table_insert (p->services, s->name, s);
    }
  return s;
}

void
plr_set_drain_grace (struct plr *p, int64_t drain_grace_us)
{
  GHashTableIter iter;
  gpointer service;

  p->options.drain_grace_us = drain_grace_us;
  g_hash_table_iter_init (&iter, p->services);
  while (g_hash_table_iter_next (&iter, NULL, &service))
    ((struct svc *)service)->drain_grace_us = drain_grace_us;
}

struct svc_instance *
plr_find_instance (const struct plr *p, const char *service, const char *id)
{
  struct svc *s = g_hash_table_lookup (p->services, service);

  return s ? svc_find (s, id) : NULL;
}

GHashTable *
plr_services (struct plr *p)
{
  return p->services;
}

bool
plr_is_configured (const struct plr *p, const char *service)
{
  return dir_find_service (p->config, service) != NULL;
}

uint64_t
plr_config_version (const struct plr *p)
{
  return p->config ? p->config->version : 0;
}

void
plr_set_vm (struct plr *p, const char *name, const char *address,
            const char *data_centre, double capacity)
{
  vmt_set (&p->vms, name, address, data_centre, capacity);
}

void
plr_await_peers (struct plr *p)
{
  vmt_await_peers (&p->vms);
}

void
plr_note_first_listing (struct plr *p, bool was_registered, int64_t now_us)
{
  vmt_note_first_listing (&p->vms, was_registered, now_us);
}

bool
plr_check_peers_complete (struct plr *p, int64_t now_us)
{
  return vmt_check_complete (&p->vms, now_us);
}

void
plr_remove_vm (struct plr *p, const char *name)
{
  vmt_remove (&p->vms, name);
}

const struct vmt_table *
plr_vms (const struct plr *p)
{
  return &p->vms;
}

/* Refuses a session on DATABASE.  */
static void
refuse_session (struct plr *p, const char *database, enum rfs why,
                int64_t now_us)
{
  ctr_count_refusal (p->options.counters, why);
  EV (p->options.log, now_us, EV_REFUSED, EV_TEXT ("database", database),
      EV_TEXT ("why", rfs_name (why)),
      EV_INT ("version", (int64_t)plr_config_version (p)));
}

struct ses *
plr_open_session (struct plr *p, void *tag, const char *database,
                  const char *key, int64_t now_us, enum sqc *code)
{
  struct ses *s;

  if (!dir_find_route (p->config, database))
    {
      refuse_session (p, database, RFS_NO_ROUTE, now_us);
      *code = SQC_NO_DATABASE;
      return NULL;
    }
  s = ses_new (tag, database, now_us);
  plr_set_key (s, key);
  if (!plr_is_allowed (p, s))
    {
      refuse_session (p, database, RFS_UNKNOWN_KEY, now_us);
      ses_free (s, p->prepared_table);
      *code = SQC_DENIED;
      return NULL;
    }
  ctr_add (p->options.counters, CTR_SESSIONS_OPENED, 1);
  g_queue_push_tail_link (&p->sessions, &s->node);
  return s;
}

void
plr_close_session (struct plr *p, struct ses *s, int64_t now_us)
{
  ctr_add (p->options.counters, CTR_SESSIONS_CLOSED, 1);
  plr_leave_queues (p, s);
  plr_release_link (p, s, now_us);
  g_queue_unlink (&p->sessions, &s->node);
  ses_free (s, p->prepared_table);
}

static void
send_reply (struct plr *p, struct ses *s, const struct stm_result *result,
            int64_t now_us)
{
  s->state = result->state;
  s->idle_since_us = now_us;
  plr_reply (p, s, result);
}

/* Replies with an error to a statement that was not accepted yet.  */
static void
reject (struct plr *p, struct ses *s, const struct stm *statement,
        enum rfs why, enum sqc code, enum stm_state state, int64_t now_us)
{
  struct stm_result result = { 0 };

  ctr_count_refusal (p->options.counters, why);
  EV (p->options.log, now_us, EV_REFUSED, EV_TEXT ("id", statement->id),
      EV_TEXT ("database", s->database), EV_TEXT ("why", rfs_name (why)),
      EV_TEXT ("code", sqc_name (code)));
  result.code = code;
  result.detail = rfs_text (why);
  result.state = state;
  if (state != STM_OPEN)
    {
      plr_release_link (p, s, now_us);
      plr_clear_work (s);
    }
  send_reply (p, s, &result, now_us);
}

static void
reply_ok (struct plr *p, struct ses *s, enum stm_state state, int64_t now_us)
{
  struct stm_result result = { .ok = true, .state = state };

  send_reply (p, s, &result, now_us);
}

/* Starts a transaction or single statement.  The route is looked up once for
   all of it, so that a configuration change does not affect it.  Returns false
   when STATEMENT was rejected because there is no route, or none for this
   caller.  */
static bool
begin_work (struct plr *p, struct ses *s, const struct stm *statement,
            bool transaction, int64_t now_us)
{
  const struct dir_route *r = dir_find_route (p->config, s->database);
  struct ses_work *w = &s->work;
  bool read_only = statement->kind == STM_BEGIN_READ;

  if (!r)
    {
      reject (p, s, statement, RFS_NO_ROUTE, SQC_NO_DATABASE, STM_IDLE,
              now_us);
      return false;
    }
  if (!plr_assign_account (p, s, r))
    {
      reject (p, s, statement, RFS_KEY_REMOVED, SQC_DENIED, STM_IDLE, now_us);
      return false;
    }
  plr_clear_work (s);
  w->transaction = transaction;
  w->read_only = read_only;
  w->arrived_us = now_us;
  w->svc = plr_get_service (p, r->service);
  w->reads = r->reads;
  w->max_age_us = r->max_age_us;
  w->timeout_us = r->timeout_us;
  w->objective_us = r->objective_us;
  w->kind_known = true;
  w->request_kind = ovl_find_kind (&p->request_kinds, r, transaction);
  return true;
}

static void
on_begin (struct plr *p, struct ses *s, const struct stm *statement,
          int64_t now_us)
{
  if (s->state != STM_IDLE)
    {
      reject (p, s, statement, RFS_OUT_OF_ORDER, SQC_MALFORMED, STM_FAILED,
              now_us);
      return;
    }
  if (!begin_work (p, s, statement, true, now_us))
    return;
  ctr_add (p->options.counters, CTR_SESSION_TRANSACTIONS, 1);
  plr_expect_work (p, s, now_us);
  reply_ok (p, s, STM_OPEN, now_us);
}

/* Handles COMMIT or ROLLBACK when the transaction has failed or was never
   begun.  */
static void
on_end_without_transaction (struct plr *p, struct ses *s,
                            const struct stm *statement, int64_t now_us)
{
  if (statement->kind == STM_ROLLBACK)
    reply_ok (p, s, STM_IDLE, now_us);
  else if (s->state == STM_FAILED)
    reject (p, s, statement, RFS_OUT_OF_ORDER, SQC_ABORTED, STM_IDLE, now_us);
  else
    reject (p, s, statement, RFS_OUT_OF_ORDER, SQC_MALFORMED, STM_IDLE,
            now_us);
}

static void
on_rollback (struct plr *p, struct ses *s, int64_t now_us)
{
  plr_release_link (p, s, now_us);
  plr_clear_work (s);
  reply_ok (p, s, STM_IDLE, now_us);
}

/* Checks a statement for the upstream against the session's state and stores
   in WRITES whether it writes.  Returns false if it was rejected.  */
static bool
check_statement (struct plr *p, struct ses *s, const struct stm *statement,
                 bool *writes, int64_t now_us)
{
  enum stm_state failed = s->state == STM_OPEN ? STM_FAILED : STM_IDLE;
  const struct ses_prepared *prepared = NULL;

  if (statement->kind == STM_EXECUTE)
    {
      prepared = ses_find_prepared (s, statement);
      if (!prepared)
        {
          reject (p, s, statement, RFS_NOT_PREPARED, SQC_NO_STATEMENT, failed,
                  now_us);
          return false;
        }
    }
  *writes = statement->kind == STM_WRITE || (prepared && prepared->writes);
  if (*writes && s->state == STM_OPEN && s->work.read_only)
    {
      reject (p, s, statement, RFS_READ_ONLY_TRANSACTION, SQC_READ_ONLY,
              failed, now_us);
      return false;
    }
  return true;
}

void
plr_accept_statement (struct plr *p, struct ses *s,
                      const struct stm *statement, bool writes, int64_t now_us)
{
  ses_set_statement (s, statement, now_us);
  s->writes = writes;
  s->stage = SES_SENT;
  s->sent_us = 0;
  s->first_sent_us = 0;
  g_queue_push_tail_link (&p->active, &s->active_node);
  if (plr_admit (p, s, now_us))
    plr_start_statement (p, s, now_us);
}

void
plr_start_statement (struct plr *p, struct ses *s, int64_t now_us)
{
  if (!s->relay_instance)
    {
      s->rank = ovl_rank (&p->request_kinds, s->work.request_kind);
      s->max_wait_us
          = ovl_max_wait_us (&p->request_kinds, s->work.request_kind);
    }
  plr_dispatch (p, s, now_us);
}

static void
run_upstream (struct plr *p, struct ses *s, const struct stm *statement,
              int64_t now_us)
{
  bool writes;

  if (!check_statement (p, s, statement, &writes, now_us))
    return;
  if (s->state == STM_IDLE && !begin_work (p, s, statement, false, now_us))
    return;
  if (p->drain == PLR_DRAIN_END
      || (g_queue_get_length (&s->work.svc->waiting) >= WAITING_MAX
          && !s->link))
    {
      reject (p, s, statement,
              p->drain == PLR_DRAIN_END ? RFS_STOPPING : RFS_QUEUE_FULL,
              SQC_BUSY, s->state == STM_OPEN ? STM_FAILED : STM_IDLE, now_us);
      return;
    }
  plr_accept_statement (p, s, statement, writes, now_us);
}

static void
on_lost_transaction (struct plr *p, struct ses *s, const struct stm *statement,
                     int64_t now_us)
{
  bool ends = statement->kind == STM_COMMIT;

  reject (p, s, statement,
          s->work.idle_timeout ? RFS_IDLE_TRANSACTION : RFS_LINK_LOST,
          SQC_ABORTED, ends ? STM_IDLE : STM_FAILED, now_us);
}

/* The key of the caller was taken away while its transaction was open: rolls
   the transaction back.  */
static void
on_key_removed (struct plr *p, struct ses *s, const struct stm *statement,
                int64_t now_us)
{
  bool ends = statement->kind == STM_COMMIT;

  usg_count (p->usage, s->account, USG_KEY_REMOVED);
  reject (p, s, statement, RFS_KEY_REMOVED, SQC_DENIED,
          ends ? STM_IDLE : STM_FAILED, now_us);
}

/* BEGIN, ROLLBACK, SET, PREPARE and DEALLOCATE are handled here; the other
   statements go to the upstream.  */
void
plr_run_statement (struct plr *p, struct ses *s, const struct stm *statement,
                   int64_t now_us)
{
  struct stm_result result;

  if (s->relay_instance)
    plr_run_relay_statement (p, s, statement, now_us);
  else if (statement->kind == STM_MALFORMED)
    reject (p, s, statement, RFS_MALFORMED_STATEMENT, SQC_MALFORMED,
            s->state == STM_IDLE ? STM_IDLE : STM_FAILED, now_us);
  else if (statement->kind == STM_ROLLBACK && s->state == STM_OPEN)
    on_rollback (p, s, now_us);
  else if (s->state == STM_OPEN && s->work.link_lost)
    on_lost_transaction (p, s, statement, now_us);
  else if (s->state == STM_OPEN && !plr_is_allowed (p, s))
    on_key_removed (p, s, statement, now_us);
  else if (statement->kind == STM_ROLLBACK
           || (statement->kind == STM_COMMIT && s->state != STM_OPEN))
    on_end_without_transaction (p, s, statement, now_us);
  else if (s->state == STM_FAILED)
    reject (p, s, statement, RFS_OUT_OF_ORDER, SQC_MALFORMED, STM_FAILED,
            now_us);
  else if (statement->kind == STM_BEGIN || statement->kind == STM_BEGIN_READ)
    on_begin (p, s, statement, now_us);
  else if (ses_run_local (s, p->prepared_table, statement, &result))
    send_reply (p, s, &result, now_us);
  else
    run_upstream (p, s, statement, now_us);
}

uint32_t
plr_count_sessions (const struct plr *p)
{
  return g_queue_get_length ((GQueue *)&p->sessions);
}

static bool
is_busy (const struct ses *s)
{
  return s->stage != SES_IDLE || s->state != STM_IDLE;
}

uint32_t
plr_count_busy (const struct plr *p)
{
  uint32_t n = 0;

  for (const GList *l = p->sessions.head; l; l = l->next)
    n += is_busy (l->data) ? 1 : 0;
  return n;
}

void
plr_reply (struct plr *p, struct ses *s, const struct stm_result *result)
{
  p->options.callers->ops->reply (p->options.callers, s->tag, result);
  if (p->drain != PLR_DRAIN_NONE && result->state == STM_IDLE)
    p->options.callers->ops->close_session (p->options.callers, s->tag);
}

/* Returns true if S is to be closed: nothing is under way on it, or it is of
   another proxy.  */
static bool
is_to_close (const struct ses *s, enum plr_drain drain)
{
  return drain >= PLR_DRAIN_IDLE
         && (!is_busy (s) || (drain >= PLR_DRAIN_ALL && s->relay_instance));
}

/* Returns true if the transaction of S is to be aborted: no statement is under
   way.  Also if it holds no connection yet, since its first statement may take
   longer than there is time.  */
static bool
is_to_abort (const struct ses *s, enum plr_drain drain)
{
  return drain >= PLR_DRAIN_ALL && s->stage == SES_IDLE && s->state == STM_OPEN
         && !s->work.link_lost;
}

/* Returns a session that is to be closed or whose transaction is to be
   aborted, or NULL.  */
static struct ses *
find_to_drain (const struct plr *p, enum plr_drain drain)
{
  for (const GList *l = p->sessions.head; l; l = l->next)
    if (is_to_close (l->data, drain) || is_to_abort (l->data, drain))
      return l->data;
  return NULL;
}

static void
abort_idle_transaction (struct plr *p, struct ses *s, int64_t now_us)
{
  s->work.link_lost = true;
  plr_release_link (p, s, now_us);
}

void
plr_drain (struct plr *p, enum plr_drain drain, int64_t now_us)
{
  struct ses *s;

  p->drain = drain;
  /* Each step may end other sessions too, so the search starts anew.  */
  while ((s = find_to_drain (p, drain)))
    {
      if (is_to_close (s, drain))
        p->options.callers->ops->close_session (p->options.callers, s->tag);
      else
        abort_idle_transaction (p, s, now_us);
    }
  while (drain >= PLR_DRAIN_END && p->active.head)
    plr_stop_statement (p, p->active.head->data, now_us);
}
