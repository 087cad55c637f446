/* Event loop of the simulation, and the fakes behind the ports of a node.  */
#include "worldint.h"

#include <stdio.h>
#include <string.h>

uint32_t
wld_centre_of (uint32_t k)
{
  return k % CENTRES;
}

static int
compare_events (gconstpointer a, gconstpointer b, gpointer data)
{
  const struct event *x = a;
  const struct event *y = b;

  (void)data;
  if (x->due_us != y->due_us)
    return x->due_us < y->due_us ? -1 : 1;
  return x->order < y->order ? -1 : x->order > y->order;
}

static void
unref_conn (struct conn *conn)
{
  if (--conn->n_refs > 0)
    return;
  grp_session_free (&conn->session);
  g_free (conn);
}

static void
free_event (gpointer data)
{
  struct event *e = data;

  if (e->conn)
    unref_conn (e->conn);
  g_free (e->data);
  g_free (e->hash);
  g_free (e);
}

struct event *
wld_schedule (struct host *h, enum event_kind kind, int64_t delay_us)
{
  struct world *w = h->world;
  struct event *e = g_new0 (struct event, 1);

  e->kind = kind;
  e->due_us = w->now_us + delay_us;
  e->order = ++w->order;
  e->node = h->index;
  e->incarnation = h->incarnation;
  g_sequence_insert_sorted (w->events, e, compare_events, NULL);
  return e;
}

struct event *
wld_schedule_conn (struct conn *conn, enum event_kind kind, int64_t delay_us)
{
  struct event *e = wld_schedule (conn->host, kind, delay_us);

  conn->n_refs++;
  e->conn = conn;
  return e;
}

int64_t
wld_latency_us (const struct world *w, uint32_t a, uint32_t b)
{
  return a == b ? w->options.local_delay_us : w->options.delay_us;
}

bool
wld_is_partitioned (const struct world *w, uint32_t a, uint32_t b)
{
  return a != b && (w->cut[a] || w->cut[b]);
}

/* True when data passes between the node and the instance of CONN.  */
bool
wld_conn_is_connected (const struct conn *conn)
{
  const struct world *w = conn->host->world;
  const struct grp_instance *inst
      = &w->groups[conn->group].instances[conn->instance];

  return !conn->silent && !conn->closed && !inst->down && !inst->paused
         && !wld_is_partitioned (w, wld_centre_of (conn->host->index),
                                 conn->instance);
}

int64_t
wld_conn_latency_us (const struct conn *conn)
{
  return wld_latency_us (conn->host->world, wld_centre_of (conn->host->index),
                         conn->instance);
}

static void
free_conn_op (struct conn *conn)
{
  struct conn_op *op = conn->op;

  if (!op)
    return;
  wire_request_unref (op->request);
  g_string_free (op->rows, TRUE);
  g_free (op->stored);
  g_free (op->target);
  g_free (op);
  conn->op = NULL;
}

/* Closes CONN on the node's side.  */
void
wld_close_conn (struct conn *conn)
{
  if (conn->closed)
    return;
  conn->closed = true;
  conn->host->world->n_conns[conn->group][conn->instance]--;
  free_conn_op (conn);
  g_hash_table_remove (conn->host->conns, &conn->id);
  unref_conn (conn);
}

static void
port_open (struct up_port *port, uint64_t id,
           const struct dcl_instance *instance)
{
  struct host *h = (struct host *)((char *)port - offsetof (struct host, up));
  struct conn *conn = g_new0 (struct conn, 1);
  const struct grp_instance *inst;
  struct world *w = h->world;
  struct event *e;

  conn->host = h;
  conn->id = id;
  conn->n_refs = 1;
  sscanf (instance->name, "db%u-%u", &conn->group, &conn->instance);
  inst = &w->groups[conn->group].instances[conn->instance];
  grp_session_init (&conn->session, &w->groups[conn->group], conn->instance);
  g_hash_table_insert (h->conns, &conn->id, conn);
  w->n_conns[conn->group][conn->instance]++;
  if (inst->paused
      || wld_is_partitioned (w, wld_centre_of (h->index), conn->instance))
    return;
  e = wld_schedule_conn (conn, EVENT_OPENED,
                         2 * wld_conn_latency_us (conn)
                             + (inst->down ? 0 : w->options.open_us));
  e->ok = !inst->down
          && w->n_conns[conn->group][conn->instance] <= w->options.connections;
}

static void
port_close (struct up_port *port, uint64_t id)
{
  struct host *h = (struct host *)((char *)port - offsetof (struct host, up));
  struct conn *conn = g_hash_table_lookup (h->conns, &id);

  if (conn)
    wld_close_conn (conn);
}

static void
port_exec (struct up_port *port, uint64_t id, const struct up_op *up)
{
  struct host *h = (struct host *)((char *)port - offsetof (struct host, up));
  struct conn *conn = g_hash_table_lookup (h->conns, &id);
  struct conn_op *op;

  if (!conn)
    return;
  free_conn_op (conn);
  op = g_new0 (struct conn_op, 1);
  op->up = *up;
  op->request = up->request
                    ? wire_request_ref ((struct wire_request *)up->request)
                    : NULL;
  op->target = g_strdup (up->target);
  op->rows = g_string_new (NULL);
  conn->op = op;
  wld_schedule_conn (conn, EVENT_OP_ARRIVES, wld_conn_latency_us (conn));
}

static const struct up_port_ops up_ops = { port_open, port_close, port_exec };

static bool
takes_slot (const struct conn *conn)
{
  return conn->op->up.kind == UP_RUN || conn->op->up.kind == UP_STATEMENTS;
}

static void
on_op_arrives (struct conn *conn)
{
  struct world *w = conn->host->world;
  int64_t service_us = 0;

  if (!conn->op || !wld_conn_is_connected (conn))
    return;
  if (takes_slot (conn))
    {
      /* Operations beyond the slots queue in the instance, so service takes
         longer.  */
      int32_t *running = &w->running[conn->group][conn->instance];

      (*running)++;
      service_us
          = w->options.service_us
            * (1 + MAX (0, *running - w->options.slots) / w->options.slots);
    }
  wld_schedule_conn (conn, EVENT_OP_RUNS, service_us);
}

static void
on_op_runs (struct conn *conn)
{
  struct world *w = conn->host->world;
  bool replied;

  if (conn->op && takes_slot (conn))
    w->running[conn->group][conn->instance]--;
  if (!conn->op || !wld_conn_is_connected (conn))
    return;
  replied = wld_execute_op (conn);
  wld_schedule_conn (conn, replied ? EVENT_OP_REPLIED : EVENT_CLOSED,
                     wld_conn_latency_us (conn));
}

static void
on_op_replied (struct conn *conn)
{
  struct host *h = conn->host;
  struct conn_op *op = conn->op;
  struct up_result result;

  if (!op || !wld_conn_is_connected (conn))
    return;
  conn->op = NULL;
  result = op->result;
  result.rows = op->stored ? op->stored : op->rows->str;
  if (result.outcome == UP_LOST)
    wld_close_conn (conn);
  node_on_op_done (h->node, conn->id, &result, h->world->now_us);
  wire_request_unref (op->request);
  g_string_free (op->rows, TRUE);
  g_free (op->stored);
  g_free (op->target);
  g_free (op);
}

/* The instance closed the connection.  */
static void
on_conn_closed (struct conn *conn)
{
  struct host *h = conn->host;
  uint64_t id = conn->id;
  struct up_result result = { 0 };
  bool busy = conn->op != NULL;

  if (conn->closed || conn->silent)
    return;
  result.outcome = UP_LOST;
  if (busy && conn->op->up.kind == UP_RUN && !conn->op->request->read_only
      && conn->session.ops->len > 0)
    result.outcome = UP_NOT_COMMITTED;
  wld_close_conn (conn);
  if (busy)
    node_on_op_done (h->node, id, &result, h->world->now_us);
  else
    node_on_closed (h->node, id, h->world->now_us);
}

static uint32_t
find_host (const struct world *w, const char *vm)
{
  for (uint32_t k = 0; k < w->options.n_nodes; k++)
    if (strcmp (w->hosts[k].name, vm) == 0)
      return k;
  return UINT32_MAX;
}

static void
schedule_message (struct host *h, uint32_t to, const char *data, size_t len,
                  int64_t delay_us)
{
  struct event *e
      = wld_schedule (&h->world->hosts[to], EVENT_MESSAGE, delay_us);

  e->from = h->index;
  e->data = g_memdup2 (data, len);
  e->len = len;
}

static void
port_send (struct peer_port *port, const char *vm, const char *address,
           const char *data, size_t len)
{
  struct host *h
      = (struct host *)((char *)port - offsetof (struct host, peers));
  struct world *w = h->world;
  uint32_t to = find_host (w, vm);
  int64_t delay_us;

  (void)address;
  if (to == UINT32_MAX)
    return;
  if (wld_is_partitioned (w, wld_centre_of (h->index), wld_centre_of (to)))
    {
      /* The data is not acknowledged, so the link is closed after the time
         limit.  */
      wld_schedule (h, EVENT_LINK_LOST, LINK_SILENT_US)->from = to;
      return;
    }
  delay_us = wld_latency_us (w, wld_centre_of (h->index), wld_centre_of (to));
  if (!w->hosts[to].node)
    {
      /* No process listens: the host refuses the connection.  */
      struct event *e = wld_schedule (h, EVENT_LINK_LOST, 2 * delay_us);

      e->from = to;
      return;
    }
  if (w->links_disturbed && g_rand_int_range (w->random, 0, 4) == 0)
    schedule_message (h, to, data, len,
                      delay_us + g_rand_int_range (w->random, 0, 300000));
  if (w->links_disturbed)
    delay_us += g_rand_int_range (w->random, 0, 20000);
  schedule_message (h, to, data, len, delay_us);
}

static const struct peer_port_ops peer_ops = { port_send };

static void
port_read (struct store_port *port, enum store_item item, const char *hash)
{
  struct host *h
      = (struct host *)((char *)port - offsetof (struct host, store));
  struct world *w = h->world;
  bool lost = w->store_down || w->cut[wld_centre_of (h->index)];
  struct event *e = wld_schedule (h, EVENT_STORE,
                                  lost ? STORE_TIMEOUT_US
                                       : STORE_DELAY_US + w->store_slow_us);

  e->store_item = item;
  e->hash = g_strdup (hash);
  e->ok = !lost;
}

static void
port_watch (struct store_port *port, bool on)
{
  struct host *h
      = (struct host *)((char *)port - offsetof (struct host, store));

  h->watching = on;
}

static const struct store_port_ops store_ops = { port_read, port_watch };

static void
on_store_read (struct host *h, const struct event *e)
{
  struct world *w = h->world;
  const char *text = NULL;

  if (e->ok && e->store_item == STORE_MANIFEST)
    text = w->store_stale && w->old_manifest ? w->old_manifest : w->manifest;
  else if (e->ok && e->store_item == STORE_BLOB)
    text = g_hash_table_lookup (w->blobs, e->hash);
  else if (e->ok)
    text = "[]";
  node_on_store_read (h->node, e->store_item, e->hash, text,
                      text ? strlen (text) : 0, w->now_us);
}

static void
on_reply (void *arg, void *tag, const struct coord_answer *answer)
{
  struct host *h = arg;
  struct world_call *call = tag;

  call->n_replies++;
  call->replied_us = h->world->now_us;
  call->reason = answer->reason;
  g_free (call->rows);
  call->rows = g_strdup (answer->rows);
  g_free (call->transaction);
  call->transaction = g_strdup (answer->transaction);
  if (answer->term > 0)
    tok_raise_position (&call->token, answer->database, answer->term,
                        answer->position);
  g_queue_remove (&h->calls, call);
}

static void
on_publish (void *arg, struct dcl_set *set, uint64_t revision)
{
  struct host *h = arg;

  (void)set;
  if (revision < h->revision)
    h->world->revision_regressions++;
  h->revision = revision;
}

static void
describe_vm (const struct world *w, uint32_t k, struct wire_vm *vm)
{
  memset (vm, 0, sizeof *vm);
  g_strlcpy (vm->id, w->hosts[k].name, sizeof vm->id);
  snprintf (vm->data_centre, sizeof vm->data_centre, "dc%u",
            wld_centre_of (k));
  snprintf (vm->region, sizeof vm->region, "region%u", wld_centre_of (k));
  g_strlcpy (vm->peer_address, vm->id, sizeof vm->peer_address);
}

void
world_start_node (struct world *w, uint32_t k)
{
  struct host *h = &w->hosts[k];
  struct node_options o = { 0 };
  struct wire_vm vm;

  if (h->node)
    return;
  h->incarnation++;
  h->revision = 0;
  h->paused = false;
  describe_vm (w, k, &o.self);
  o.self.incarnation = h->incarnation;
  o.up = &h->up;
  o.peers = &h->peers;
  o.store = &h->store;
  o.counters = &h->counters;
  o.answer = on_reply;
  o.publish = on_publish;
  o.arg = h;
  o.seed = w->options.seed * 1000 + k * 10 + h->incarnation;
  o.rule = w->options.rule;
  o.policy = w->options.policy;
  o.requests_max = 10000;
  o.queue_max = 128;
  o.status_interval_ms = 400;
  o.probe_timeout_ms = 800;
  o.silence_ms = 800;
  o.transaction_idle_ms = 5000;
  o.transaction_max_ms = 30000;
  o.reconcile_ms = 10000;
  o.unsafe = w->options.unsafe;
  o.unsafe_any_revision = w->options.unsafe_any_revision;
  h->node = node_new (&o, w->now_us);
  for (uint32_t i = 0; i < w->options.n_nodes; i++)
    if (i != k)
      {
        describe_vm (w, i, &vm);
        node_add_vm (h->node, &vm, w->now_us);
      }
}

void
world_set_deployment (struct world_options *o, bool suva, uint64_t seed)
{
  memset (o, 0, sizeof *o);
  o->seed = seed;
  o->n_nodes = 6;
  o->n_groups = 2;
  o->n_instances = 3;
  o->delay_us = suva ? 20000 : 8000;
  o->local_delay_us = 500;
  o->service_us = 2000;
  o->open_us = suva ? 30000 : 10000;
  o->slots = suva ? 5 : 2;
  o->connections = suva ? 55 : 16;
}

static void
free_call (gpointer data)
{
  struct world_call *c = data;

  g_free (c->database);
  g_free (c->kind);
  g_free (c->request_id);
  g_free (c->key);
  g_free (c->rows);
  g_free (c->transaction);
  g_free (c);
}

struct world *
world_new (const struct world_options *options)
{
  struct world *w = g_new0 (struct world, 1);

  w->options = *options;
  w->now_us = 1000000;
  w->events = g_sequence_new (free_event);
  w->calls = g_ptr_array_new_with_free_func (free_call);
  w->random = g_rand_new_with_seed ((guint32)options->seed);
  w->blobs = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  wld_write_databases (w);
  for (uint32_t g = 0; g < options->n_groups; g++)
    {
      grp_init (&w->groups[g], options->n_instances, options->delay_us);
      for (uint32_t i = 0; i < options->n_instances; i++)
        w->names[g][i] = g_strdup_printf ("db%u-%u", g, i);
    }
  for (uint32_t k = 0; k < options->n_nodes; k++)
    {
      struct host *h = &w->hosts[k];

      h->world = w;
      h->index = k;
      h->up.ops = &up_ops;
      h->peers.ops = &peer_ops;
      h->store.ops = &store_ops;
      h->conns = g_hash_table_new (g_int64_hash, g_int64_equal);
      g_queue_init (&h->calls);
      snprintf (h->name, sizeof h->name, "vm%u", k);
    }
  world_apply (w, options->kinds ? options->kinds : wld_default_kinds);
  for (uint32_t k = 0; k < options->n_nodes; k++)
    world_start_node (w, k);
  return w;
}

void
world_free (struct world *w)
{
  for (uint32_t k = 0; k < w->options.n_nodes; k++)
    {
      world_kill_node (w, k);
      g_hash_table_destroy (w->hosts[k].conns);
    }
  g_sequence_free (w->events);
  for (uint32_t g = 0; g < w->options.n_groups; g++)
    {
      grp_free (&w->groups[g]);
      for (uint32_t i = 0; i < w->options.n_instances; i++)
        g_free (w->names[g][i]);
    }
  g_ptr_array_free (w->calls, TRUE);
  g_hash_table_destroy (w->blobs);
  g_rand_free (w->random);
  g_free (w->manifest);
  g_free (w->old_manifest);
  g_free (w->databases);
  g_free (w);
}

int64_t
world_now (const struct world *w)
{
  return w->now_us;
}

struct node *
world_node (struct world *w, uint32_t k)
{
  return w->hosts[k].node;
}

struct grp *
world_group (struct world *w, uint32_t g)
{
  return &w->groups[g];
}

struct ctr_set *
world_counters (struct world *w, uint32_t k)
{
  return &w->hosts[k].counters;
}

GPtrArray *
world_calls (struct world *w)
{
  return w->calls;
}

GRand *
world_random (struct world *w)
{
  return w->random;
}

static void
dispatch_event (struct world *w, struct event *e)
{
  struct host *h = &w->hosts[e->node];

  /* Events at an instance happen even if the node has died meanwhile.  */
  if (e->kind == EVENT_OP_ARRIVES)
    {
      on_op_arrives (e->conn);
      return;
    }
  if (e->kind == EVENT_OP_RUNS)
    {
      on_op_runs (e->conn);
      return;
    }
  if (!h->node || e->incarnation != h->incarnation)
    return;
  switch (e->kind)
    {
    case EVENT_OPENED:
      if (!e->conn->closed)
        {
          uint64_t id = e->conn->id;

          if (!e->ok)
            wld_close_conn (e->conn);
          node_on_opened (h->node, id, e->ok, w->now_us);
        }
      break;
    case EVENT_OP_REPLIED:
      on_op_replied (e->conn);
      break;
    case EVENT_CLOSED:
      on_conn_closed (e->conn);
      break;
    case EVENT_MESSAGE:
      if (!wld_is_partitioned (w, wld_centre_of (e->node),
                               wld_centre_of (e->from)))
        node_on_message (h->node, w->hosts[e->from].name, e->data, e->len,
                         w->now_us);
      break;
    case EVENT_LINK_LOST:
      node_on_peer_lost (h->node, w->hosts[e->from].name, w->now_us);
      break;
    case EVENT_STORE:
      on_store_read (h, e);
      break;
    default:
      break;
    }
}

/* Events of a paused node wait until it resumes.  */
static bool
is_deferred (const struct world *w, const struct event *e)
{
  return w->hosts[e->node].paused && e->kind != EVENT_OP_ARRIVES
         && e->kind != EVENT_OP_RUNS;
}

static void
run_events (struct world *w, int64_t until_us)
{
  GSequenceIter *at = g_sequence_get_begin_iter (w->events);

  while (!g_sequence_iter_is_end (at))
    {
      struct event *e = g_sequence_get (at);

      if (e->due_us > until_us)
        return;
      if (is_deferred (w, e))
        {
          at = g_sequence_iter_next (at);
          continue;
        }
      w->now_us = MAX (w->now_us, e->due_us);
      for (uint32_t g = 0; g < w->options.n_groups; g++)
        grp_tick (&w->groups[g], w->now_us);
      dispatch_event (w, e);
      g_sequence_remove (at);
      at = g_sequence_get_begin_iter (w->events);
    }
}

void
world_run (struct world *w, int64_t us)
{
  int64_t until_us = w->now_us + us;

  while (w->now_us < until_us)
    {
      int64_t step_us = MIN (w->now_us + STEP_US * 4, until_us);

      run_events (w, step_us);
      w->now_us = step_us;
      for (uint32_t g = 0; g < w->options.n_groups; g++)
        grp_tick (&w->groups[g], w->now_us);
      for (uint32_t k = 0; k < w->options.n_nodes; k++)
        if (w->hosts[k].node && !w->hosts[k].paused)
          node_tick (w->hosts[k].node, w->now_us,
                     WALL_START_MS + w->now_us / 1000);
    }
}
