/* Home of database instances: groups, roles and events of the upstream
   port.  */
#include "homeint.h"

#include "units.h"
#include <string.h>

/* A standby stops monitoring a group this long after its last request.  */
#define STANDBY_MONITOR_US (10000 * US_PER_MS)
#define PURGE_INTERVAL_US (60000 * US_PER_MS)
/* Of an instance's connections, without the control connections, the standby
   gets 1 / STANDBY_SHARE and the active home the rest, so that both stay
   within the limit of the database when they serve at the same time.  */
#define STANDBY_SHARE 4

double
home_jitter (struct home *h)
{
  return g_rand_double (h->random);
}

struct home *
home_new (const struct home_options *options)
{
  struct home *h = g_new0 (struct home, 1);

  h->options = *options;
  CDS_INIT_LIST_HEAD (&h->groups);
  h->by_name = g_hash_table_new (g_str_hash, g_str_equal);
  h->transactions = g_hash_table_new (g_str_hash, g_str_equal);
  h->ops_by_conn
      = g_hash_table_new_full (g_int64_hash, g_int64_equal, g_free, NULL);
  h->failover_coordinator
      = g_strdup_printf ("%s.%lu", options->vm, options->incarnation);
  h->random = g_rand_new_with_seed ((guint32)options->seed);
  return h;
}

static void
close_group_connections (struct home_group *g)
{
  if (g->monitored)
    mon_close (&g->mon);
  g->monitored = false;
  for (uint32_t i = 0; i < g->database->n_instances; i++)
    if (g->instances[i].ready)
      cpool_close (&g->instances[i].pool);
}

static void
free_group (struct home *h, struct home_group *g)
{
  struct home_op *op;
  struct home_op *tmp;

  cds_list_for_each_entry_safe (op, tmp, &g->ops, link)
    {
      if (op->state == OP_RUNNING)
        g_hash_table_remove (h->ops_by_conn, &op->conn);
      cds_list_del (&op->link);
      wire_request_unref (op->request);
      g_free (op->rows);
      g_free (op->from);
      g_free (op);
    }
  close_group_connections (g);
  cds_list_del (&g->link);
  dcl_free_database (g->database);
  g_free (g);
}

void
home_free (struct home *h)
{
  struct home_group *g;
  struct home_group *tmp;

  if (!h)
    return;
  htx_free_all (h);
  cds_list_for_each_entry_safe (g, tmp, &h->groups, link)
    free_group (h, g);
  g_hash_table_destroy (h->by_name);
  g_hash_table_destroy (h->transactions);
  g_hash_table_destroy (h->ops_by_conn);
  g_rand_free (h->random);
  g_free (h->failover_coordinator);
  g_free (h);
}

static void
start_monitoring (struct home *h, struct home_group *g, int64_t now_us)
{
  struct mon_options options = { 0 };

  if (g->monitored)
    return;
  options.up = h->options.up;
  options.counters = h->options.counters;
  options.last_conn_id = &h->last_conn_id;
  options.failover_coordinator = h->failover_coordinator;
  options.poll_interval_ms = h->options.status_interval_ms;
  options.probe_timeout_ms = h->options.probe_timeout_ms;
  mon_init (&g->mon, &options, g->database, now_us);
  g->mon.fo.unfenced = h->options.unsafe.unfenced;
  g->monitored = true;
}

/* Limit of data connections to an instance for the given role.  */
static int32_t
connection_share (const struct dcl_database *db, enum home_role role)
{
  int32_t data = db->connections - (int32_t)db->n_instances;
  int32_t standby = MAX (1, data / STANDBY_SHARE);

  if (role == HOME_STANDBY)
    return standby;
  return MAX (1, data - standby);
}

static void
configure_instance (struct home *h, struct home_group *g, uint32_t i)
{
  struct home_instance *inst = &g->instances[i];
  const struct dcl_database *db = g->database;
  struct cpool_options pool = { 0 };
  struct adm_options adm = { 0 };

  pool.up = h->options.up;
  pool.counters = h->options.counters;
  pool.last_conn_id = &h->last_conn_id;
  pool.max = connection_share (db, inst->role);
  pool.warm = inst->role == HOME_ACTIVE ? db->slots + 1 : 0;
  pool.open_timeout_ms = h->options.probe_timeout_ms;
  adm.slots = db->slots;
  adm.queue_max = h->options.queue_max;
  adm.unlimited = h->options.no_admission;
  if (!inst->ready)
    {
      cpool_init (&inst->pool, &pool, &db->instances[i]);
      adm_init (&inst->adm, &adm);
      inst->ready = true;
      return;
    }
  inst->pool.options.max = CLAMP (pool.max, 1, CPOOL_MAX);
  inst->pool.options.warm = MIN (pool.warm, inst->pool.options.max);
  inst->adm.options = adm;
}

static void
update_group_roles (struct home *h, struct home_group *g, int64_t now_us)
{
  bool active = false;
  uint32_t rank = DCL_INSTANCES_MAX;

  for (uint32_t i = 0; i < g->database->n_instances; i++)
    {
      struct home_instance *inst = &g->instances[i];
      enum home_role role = h->options.role (h->options.arg, g->database, i);

      if (role != inst->role || (role != HOME_NONE && !inst->ready))
        {
          inst->role = role;
          if (role != HOME_NONE)
            configure_instance (h, g, i);
          else
            inst->pool.options.warm = 0;
        }
      if (role == HOME_ACTIVE)
        {
          active = true;
          rank = MIN (rank, i);
        }
    }
  g->rank = rank;
  if (active)
    start_monitoring (h, g, now_us);
  g->mon.coordinates_failover = active;
}

static struct home_group *
new_group (struct home *h, const struct dcl_database *db)
{
  struct home_group *g = g_new0 (struct home_group, 1);

  g->database = dcl_copy_database (db);
  CDS_INIT_LIST_HEAD (&g->ops);
  cds_list_add_tail (&g->link, &h->groups);
  g_hash_table_insert (h->by_name, g->database->name, g);
  return g;
}

/* Takes the group out of service; its ops in progress still complete.  */
static void
retire_group (struct home *h, struct home_group *g)
{
  g_hash_table_remove (h->by_name, g->database->name);
  g->retired = true;
  g->mon.coordinates_failover = false;
}

static bool
has_role (struct home *h, const struct dcl_database *db)
{
  for (uint32_t i = 0; i < db->n_instances; i++)
    if (h->options.role (h->options.arg, db, i) != HOME_NONE)
      return true;
  return false;
}

/* Creates, updates or retires the group of DB.  */
static void
apply_database (struct home *h, const struct dcl_database *db, int64_t now_us)
{
  struct home_group *g = g_hash_table_lookup (h->by_name, db->name);
  bool wanted = has_role (h, db);

  if (g && (!wanted || !dcl_instances_equal (g->database, db)))
    {
      retire_group (h, g);
      g = NULL;
    }
  if (!wanted)
    return;
  if (!g)
    g = new_group (h, db);
  g->database->leaving = db->leaving;
  g->database->slots = db->slots;
  g->database->connections = db->connections;
  update_group_roles (h, g, now_us);
  for (uint32_t i = 0; i < db->n_instances; i++)
    if (g->instances[i].ready)
      configure_instance (h, g, i);
}

void
home_set_databases (struct home *h, const struct dcl_set *set, int64_t now_us)
{
  struct home_group *g;

  h->set = set;
  cds_list_for_each_entry (g, &h->groups, link)
    {
      if (!g->retired && !dcl_find_database (set, g->database->name))
        retire_group (h, g);
    }
  home_update_roles (h, now_us);
}

void
home_update_roles (struct home *h, int64_t now_us)
{
  if (!h->set)
    return;
  for (uint32_t i = 0; i < h->set->databases->len; i++)
    apply_database (h, g_ptr_array_index (h->set->databases, i), now_us);
}

static uint32_t
find_instance (const struct home_group *g, const char *name)
{
  for (uint32_t i = 0; i < g->database->n_instances; i++)
    if (strcmp (g->database->instances[i].name, name) == 0)
      return i;
  return QRM_NONE;
}

/* Queues a RUN, RESOLVE or BEGIN.  */
static void
submit_new (struct home *h, const char *from, struct wire_request *request,
            int64_t now_us)
{
  struct home_group *g = g_hash_table_lookup (h->by_name, request->database);
  uint32_t i = g ? find_instance (g, request->instance) : QRM_NONE;
  struct home_op *op;
  enum rsn reason;

  if (i == QRM_NONE || g->instances[i].role == HOME_NONE)
    {
      hop_refuse (h, from, request, RSN_NOT_HOME, now_us);
      return;
    }
  if (g->database->leaving && request->op != WIRE_RESOLVE)
    {
      hop_refuse (h, from, request, RSN_DATABASE_LEAVING, now_us);
      return;
    }
  if (h->draining && request->op == WIRE_BEGIN)
    {
      hop_refuse (h, from, request, RSN_SHUTTING_DOWN, now_us);
      return;
    }
  g->last_request_us = now_us;
  start_monitoring (h, g, now_us);
  op = hop_new (g, i, from, request, now_us);
  reason = hop_precheck (h, op, now_us);
  if (reason == RSN_OK)
    reason = adm_push (&g->instances[i].adm, &op->item, request->kind, now_us);
  if (reason != RSN_OK)
    {
      /* It is not queued, so hop_finish must not remove it there.  */
      op->state = OP_CONFIRMING;
      hop_finish (h, op, reason, NULL, now_us);
      return;
    }
  hop_start_queued (h, g, i, now_us);
}

void
home_submit (struct home *h, const char *from, struct wire_request *request,
             int64_t now_us)
{
  switch (request->op)
    {
    case WIRE_RUN:
    case WIRE_RESOLVE:
    case WIRE_BEGIN:
      submit_new (h, from, request, now_us);
      break;
    case WIRE_STATEMENT:
    case WIRE_COMMIT:
    case WIRE_ROLLBACK:
      htx_submit (h, from, request, now_us);
      break;
    case WIRE_OP_END:
      break;
    }
}

/* Deletes rows past their retention from the ledger, the database's table of
   request ids that have run or are void.  */
static void
purge_ledger (struct home *h, struct home_group *g, int64_t now_us,
              int64_t wall_ms)
{
  uint32_t p = g->mon.q.primary;
  struct up_op op = { 0 };
  char oldest_kept_id[RID_LEN + 1];
  struct home_op *purge;
  uint64_t conn;

  if (now_us < g->next_purge_us || p == QRM_NONE
      || g->instances[p].role != HOME_ACTIVE)
    return;
  g->next_purge_us = now_us + PURGE_INTERVAL_US;
  conn = cpool_take (&g->instances[p].pool, now_us);
  if (conn == 0)
    return;
  rid_retention_cutoff (wall_ms, oldest_kept_id);
  purge = hop_new (g, p, "", NULL, now_us);
  purge->state = OP_RUNNING;
  purge->bypasses_queue = true;
  purge->conn = conn;
  purge->started_us = now_us;
  g->instances[p].adm.running++;
  g_hash_table_insert (h->ops_by_conn, g_memdup2 (&conn, sizeof conn), purge);
  op.kind = UP_PURGE;
  op.term = g->mon.q.term;
  op.target = oldest_kept_id;
  op.timeout_ms = h->options.silence_ms;
  h->options.up->ops->exec (h->options.up, conn, &op);
}

static void
tick_instance (struct home *h, struct home_group *g, uint32_t i,
               int64_t now_us)
{
  struct home_instance *inst = &g->instances[i];
  int32_t wanted;

  if (!inst->ready)
    return;
  wanted = cpool_count (&inst->pool, CPOOL_BUSY)
           + MIN (inst->adm.queued,
                  MAX (0, inst->adm.options.slots - inst->adm.running));
  if (h->options.no_admission)
    wanted = cpool_count (&inst->pool, CPOOL_BUSY) + inst->adm.queued;
  if (inst->role == HOME_NONE && wanted == 0)
    {
      cpool_close (&inst->pool);
      return;
    }
  cpool_tick (&inst->pool, wanted, now_us, home_jitter (h));
  hop_start_queued (h, g, i, now_us);
}

static void
tick_group (struct home *h, struct home_group *g, int64_t now_us,
            int64_t wall_ms)
{
  struct fo_local local = { 0 };

  local.rank = g->rank;
  local.jitter = home_jitter (h);
  for (uint32_t i = 0; i < g->database->n_instances; i++)
    if (g->instances[i].role == HOME_ACTIVE)
      local.home_mask |= 1U << i;
  /* The home of the lost primary acts last: it is the proxy most likely to
     have failed or been cut off together with it.  */
  if (g->mon.q.primary != QRM_NONE
      && (local.home_mask & (1U << g->mon.q.primary)) != 0)
    local.rank = g->database->n_instances;
  if (g->monitored)
    mon_tick (&g->mon, &local, now_us);
  for (uint32_t i = 0; i < g->database->n_instances; i++)
    tick_instance (h, g, i, now_us);
  hop_expire (h, g, now_us);
  if (!g->monitored)
    return;
  hop_check_confirmed (h, g, now_us);
  purge_ledger (h, g, now_us, wall_ms);
  if (!g->mon.coordinates_failover && cds_list_empty (&g->ops)
      && now_us - g->last_request_us > STANDBY_MONITOR_US)
    {
      mon_close (&g->mon);
      g->monitored = false;
    }
}

static bool
is_drained (struct home_group *g)
{
  for (uint32_t i = 0; i < g->database->n_instances; i++)
    if (g->instances[i].n_transactions > 0)
      return false;
  return cds_list_empty (&g->ops);
}

void
home_tick (struct home *h, int64_t now_us, int64_t wall_ms)
{
  struct home_group *g;
  struct home_group *tmp;

  cds_list_for_each_entry_safe (g, tmp, &h->groups, link)
    {
      tick_group (h, g, now_us, wall_ms);
      if (g->retired && is_drained (g))
        free_group (h, g);
    }
  htx_expire (h, now_us);
}

static int64_t
queue_wait_ms (const struct home_group *g, uint32_t instance)
{
  const struct adm *a = &g->instances[instance].adm;
  int64_t worst = 0;

  if (!g->instances[instance].ready)
    return 0;
  for (uint32_t k = 0; k < a->n_kinds; k++)
    worst = MAX (worst, adm_estimate_us (a, a->kinds[k].name));
  return worst / US_PER_MS;
}

void
home_fill_view (const struct home *h, const char *database,
                struct wire_view *view, int64_t now_us)
{
  const struct home_group *g = g_hash_table_lookup (h->by_name, database);
  const struct qrm *q;

  memset (view, 0, sizeof *view);
  if (!g || !g->monitored)
    return;
  q = &g->mon.q;
  view->term = q->term;
  if (q->primary != QRM_NONE)
    g_strlcpy (view->primary, g->database->instances[q->primary].name,
               sizeof view->primary);
  view->n = q->n;
  for (uint32_t i = 0; i < q->n; i++)
    {
      const struct qrm_status *s = &q->reports[i].status;
      int64_t age_us = qrm_age_us (q, s->term, s->position, now_us);

      g_strlcpy (view->instances[i].name, g->database->instances[i].name,
                 sizeof view->instances[i].name);
      view->instances[i].age_ms
          = q->reports[i].known && age_us != QRM_AGE_UNKNOWN
                ? age_us / US_PER_MS
                : INT64_MAX;
      view->instances[i].wait_ms = queue_wait_ms (g, i);
    }
}

void
home_drain (struct home *h)
{
  h->draining = true;
}

uint32_t
home_count_busy (const struct home *h)
{
  struct home_group *g;
  struct home_op *op;
  uint32_t n = g_hash_table_size (h->transactions);

  cds_list_for_each_entry (g, &h->groups, link)
    cds_list_for_each_entry (op, &g->ops, link)
      n++;
  return n;
}

uint32_t
home_count_active (const struct home *h)
{
  struct home_group *g;
  uint32_t n = 0;

  cds_list_for_each_entry (g, &h->groups, link)
    for (uint32_t i = 0; i < g->database->n_instances; i++)
      n += g->instances[i].role == HOME_ACTIVE;
  return n;
}

size_t
home_group_bytes (void)
{
  return sizeof (struct home_group);
}

static const char *
decision_text (enum fo_decision decision)
{
  static const char *const texts[]
      = { "healthy", "waiting", "primary_lost", "no_majority" };

  return texts[decision];
}

static void
write_instance (const struct home_group *g, uint32_t i, GString *out,
                int64_t now_us)
{
  static const char *const roles[] = { "none", "standby", "active" };
  const struct qrm *q = &g->mon.q;
  const struct qrm_status *s = &q->reports[i].status;
  int64_t age_us = qrm_age_us (q, s->term, s->position, now_us);
  const struct home_instance *inst = &g->instances[i];

  g_string_append_printf (
      out,
      "%s{\"name\":\"%s\",\"home\":\"%s\",\"reachable\":%s,"
      "\"granted_term\":%lu,\"term\":%lu,\"position\":%lu,\"age_ms\":%ld,"
      "\"connections\":%d,\"queued\":%d}",
      i ? "," : "", g->database->instances[i].name, roles[inst->role],
      qrm_is_fresh (q, i, now_us, FO_DETECT_MS * US_PER_MS) ? "true" : "false",
      s->granted_term, s->term, s->position,
      age_us == QRM_AGE_UNKNOWN ? -1 : age_us / US_PER_MS,
      cpool_count (&inst->pool, CPOOL_IDLE)
          + cpool_count (&inst->pool, CPOOL_BUSY),
      inst->adm.queued);
}

void
home_write_status (const struct home *h, GString *out, int64_t now_us)
{
  const char *comma = "";
  struct home_group *g;

  g_string_append_c (out, '[');
  cds_list_for_each_entry (g, &h->groups, link)
    {
      const struct qrm *q = &g->mon.q;

      if (!g->monitored || g->retired)
        continue;
      g_string_append_printf (
          out,
          "%s{\"database\":\"%s\",\"term\":%lu,\"primary\":\"%s\","
          "\"confirmed\":%lu,\"verdict\":\"%s\",\"leaving\":%s,"
          "\"instances\":[",
          comma, g->database->name, q->term,
          q->primary == QRM_NONE ? ""
                                 : g->database->instances[q->primary].name,
          q->confirmed_position,
          decision_text (fo_evaluate (&g->mon.fo, q, 0, now_us)),
          g->database->leaving ? "true" : "false");
      for (uint32_t i = 0; i < q->n; i++)
        write_instance (g, i, out, now_us);
      g_string_append (out, "]}");
      comma = ",";
    }
  g_string_append_c (out, ']');
}

/* Iterates over the groups that are monitored.  */
#define FOR_EACH_MONITORED(h, g)                                              \
  cds_list_for_each_entry (g, &(h)->groups, link)                             \
    if ((g)->monitored)

static bool
note_pool_opened (struct home *h, struct home_group *g, uint64_t conn, bool ok,
                  int64_t now_us)
{
  for (uint32_t i = 0; i < g->database->n_instances; i++)
    if (g->instances[i].ready
        && cpool_opened (&g->instances[i].pool, conn, ok, now_us,
                         home_jitter (h)))
      {
        hop_start_queued (h, g, i, now_us);
        return true;
      }
  return false;
}

void
home_opened (struct home *h, uint64_t conn, bool ok, int64_t now_us)
{
  struct home_group *g;

  FOR_EACH_MONITORED (h, g)
  if (mon_opened (&g->mon, conn, ok, now_us, home_jitter (h)))
    return;
  cds_list_for_each_entry (g, &h->groups, link)
    {
      if (note_pool_opened (h, g, conn, ok, now_us))
        return;
    }
}

void
home_closed (struct home *h, uint64_t conn, int64_t now_us)
{
  struct home_op *op = g_hash_table_lookup (h->ops_by_conn, &conn);
  struct home_group *g;
  GHashTableIter iter;
  gpointer value;

  if (op)
    {
      hop_connection_lost (h, op, false, now_us);
      return;
    }
  g_hash_table_iter_init (&iter, h->transactions);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    if (((struct home_transaction *)value)->conn == conn)
      {
        htx_end (h, value, false, now_us);
        return;
      }
  FOR_EACH_MONITORED (h, g)
  if (mon_closed (&g->mon, conn, now_us, home_jitter (h)))
    return;
  cds_list_for_each_entry (g, &h->groups, link)
    for (uint32_t i = 0; i < g->database->n_instances; i++)
      if (g->instances[i].ready
          && cpool_drop (&g->instances[i].pool, conn, false))
        return;
}

void
home_done (struct home *h, uint64_t conn, const struct up_result *result,
           int64_t now_us)
{
  struct home_op *op = g_hash_table_lookup (h->ops_by_conn, &conn);
  struct home_group *g;

  if (op)
    {
      hop_exec_done (h, op, result, now_us);
      return;
    }
  FOR_EACH_MONITORED (h, g)
  if (mon_done (&g->mon, conn, result, now_us, home_jitter (h)))
    {
      hop_check_confirmed (h, g, now_us);
      return;
    }
}
