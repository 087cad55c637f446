/* Nodes on virtual time.  */
#include "world.h"

#include "minisql.h"
#include <stdio.h>
#include <string.h>

#define CENTRES 3
#define STEP_US 250
/* The world's wall clock starts here.  */
#define WALL_START_MS INT64_C (1800000000000)
/* PEERS_SILENT_MS of the real adapter.  */
#define LINK_SILENT_US 1500000
#define STORE_DELAY_US 2000
#define STORE_TIMEOUT_US 2000000

enum event_kind
{
  EVENT_OPENED,
  EVENT_OP_ARRIVES, /* at the instance */
  EVENT_OP_RUNS,    /* its service time is over */
  EVENT_OP_ANSWERED,
  EVENT_MESSAGE,
  EVENT_LINK_LOST,
  EVENT_STORE,
  EVENT_CLOSED
};

struct host;

/* A connection from a node to an instance.  */
struct pipe
{
  struct host *host;
  uint64_t id;
  uint32_t group;
  uint32_t instance;
  struct grp_session session;
  struct pipe_op *op;
  bool silent;
  bool closed;
  int32_t refs; /* the host's table and pending events */
};

/* The op on a connection; owns copies of what the port lent.  */
struct pipe_op
{
  struct up_op up;
  struct wire_request *request;
  char *target;
  struct up_result result;
  GString *rows;
  char *stored;
};

struct event
{
  enum event_kind kind;
  int64_t due_us;
  uint64_t order;
  uint32_t node;
  uint64_t incarnation;
  struct pipe *pipe;
  bool ok;
  uint32_t from; /* of a message */
  char *data;
  size_t len;
  enum store_what what;
  char *hash;
};

struct host
{
  struct world *world;
  uint32_t index;
  struct up_port up;
  struct peer_port peers;
  struct store_port store;
  struct node *node; /* NULL: dead */
  struct ctr_set counters;
  GHashTable *pipes;
  GQueue calls; /* struct world_call * without answer */
  uint64_t incarnation;
  bool paused;
  bool watching;
  uint64_t revision; /* in force */
  char name[16];
};

struct world
{
  struct world_options options;
  int64_t now_us;
  uint64_t order;
  GSequence *events;
  struct host hosts[WORLD_NODES_MAX];
  struct grp groups[WORLD_GROUPS_MAX];
  int32_t n_pipes[WORLD_GROUPS_MAX][DCL_INSTANCES_MAX];
  int32_t running[WORLD_GROUPS_MAX][DCL_INSTANCES_MAX];
  char *names[WORLD_GROUPS_MAX][DCL_INSTANCES_MAX];
  bool lose_after[WORLD_GROUPS_MAX][DCL_INSTANCES_MAX];
  bool lose_before[WORLD_GROUPS_MAX][DCL_INSTANCES_MAX];
  bool cut[CENTRES];
  bool disturbed;
  GPtrArray *calls;
  GRand *random;
  bool store_down;
  bool store_stale;
  int64_t store_slow_us;
  uint64_t revision;
  char *manifest;
  char *old_manifest;
  GHashTable *blobs;
  uint32_t revisions_back;
  char *databases;
};

static const char *const default_kinds
    = "version: 1\n"
      "reads:\n"
      "  - {kind: lookup, max_age_ms: 2000}\n"
      "  - {kind: fresh, max_age_ms: 0}\n"
      "requests:\n"
      "  - {kind: lookup, deadline_ms: 2000}\n"
      "  - {kind: fresh, deadline_ms: 4000}\n"
      "  - {kind: order, deadline_ms: 5000, repeat: never}\n"
      "  - {kind: tally, deadline_ms: 5000, repeat: allowed}\n";

static uint32_t
centre_of_node (uint32_t k)
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
unref_pipe (struct pipe *p)
{
  if (--p->refs > 0)
    return;
  grp_session_free (&p->session);
  g_free (p);
}

static void
free_event (gpointer data)
{
  struct event *e = data;

  if (e->pipe)
    unref_pipe (e->pipe);
  g_free (e->data);
  g_free (e->hash);
  g_free (e);
}

static struct event *
schedule (struct host *h, enum event_kind kind, int64_t delay_us)
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

static struct event *
schedule_pipe (struct pipe *p, enum event_kind kind, int64_t delay_us)
{
  struct event *e = schedule (p->host, kind, delay_us);

  p->refs++;
  e->pipe = p;
  return e;
}

static int64_t
distance_us (const struct world *w, uint32_t a, uint32_t b)
{
  return a == b ? w->options.local_delay_us : w->options.delay_us;
}

static bool
is_cut (const struct world *w, uint32_t a, uint32_t b)
{
  return a != b && (w->cut[a] || w->cut[b]);
}

/* True when bytes pass between the pipe's node and its instance.  */
static bool
passes (const struct pipe *p)
{
  const struct world *w = p->host->world;
  const struct grp_instance *inst
      = &w->groups[p->group].instances[p->instance];

  return !p->silent && !p->closed && !inst->down && !inst->paused
         && !is_cut (w, centre_of_node (p->host->index), p->instance);
}

static int64_t
pipe_delay_us (const struct pipe *p)
{
  return distance_us (p->host->world, centre_of_node (p->host->index),
                      p->instance);
}

static void
free_pipe_op (struct pipe *p)
{
  struct pipe_op *op = p->op;

  if (!op)
    return;
  wire_request_unref (op->request);
  g_string_free (op->rows, TRUE);
  g_free (op->stored);
  g_free (op->target);
  g_free (op);
  p->op = NULL;
}

/* Takes the pipe out of service on the node's side.  */
static void
drop_pipe (struct pipe *p)
{
  if (p->closed)
    return;
  p->closed = true;
  p->host->world->n_pipes[p->group][p->instance]--;
  free_pipe_op (p);
  g_hash_table_remove (p->host->pipes, &p->id);
  unref_pipe (p);
}

static void
port_open (struct up_port *port, uint64_t id,
           const struct dcl_instance *instance)
{
  struct host *h = (struct host *)((char *)port - offsetof (struct host, up));
  struct pipe *p = g_new0 (struct pipe, 1);
  const struct grp_instance *inst;
  struct world *w = h->world;
  struct event *e;

  p->host = h;
  p->id = id;
  p->refs = 1;
  sscanf (instance->name, "db%u-%u", &p->group, &p->instance);
  inst = &w->groups[p->group].instances[p->instance];
  grp_session_init (&p->session, &w->groups[p->group], p->instance);
  g_hash_table_insert (h->pipes, &p->id, p);
  w->n_pipes[p->group][p->instance]++;
  if (inst->paused || is_cut (w, centre_of_node (h->index), p->instance))
    return;
  e = schedule_pipe (p, EVENT_OPENED,
                     2 * pipe_delay_us (p)
                         + (inst->down ? 0 : w->options.open_us));
  e->ok = !inst->down
          && w->n_pipes[p->group][p->instance] <= w->options.connections;
}

static void
port_close (struct up_port *port, uint64_t id)
{
  struct host *h = (struct host *)((char *)port - offsetof (struct host, up));
  struct pipe *p = g_hash_table_lookup (h->pipes, &id);

  if (p)
    drop_pipe (p);
}

static void
port_exec (struct up_port *port, uint64_t id, const struct up_op *up)
{
  struct host *h = (struct host *)((char *)port - offsetof (struct host, up));
  struct pipe *p = g_hash_table_lookup (h->pipes, &id);
  struct pipe_op *op;

  if (!p)
    return;
  free_pipe_op (p);
  op = g_new0 (struct pipe_op, 1);
  op->up = *up;
  op->request = up->request
                    ? wire_request_ref ((struct wire_request *)up->request)
                    : NULL;
  op->target = g_strdup (up->target);
  op->rows = g_string_new (NULL);
  p->op = op;
  schedule_pipe (p, EVENT_OP_ARRIVES, pipe_delay_us (p));
}

static const struct up_port_ops up_ops = { port_open, port_close, port_exec };

/* Runs SQL on the pipe's session; false with the op's end set on failure.  */
static bool
run_sql (struct pipe *p, const char *sql, const char *const *args,
         uint32_t n_args, struct sql_result *r)
{
  struct world *w = p->host->world;
  struct pipe_op *op = p->op;
  const char *state;

  sql_run (&p->session, (const char *const *)w->names[p->group], sql, args,
           n_args, w->now_us, r);
  state = r->state;
  if (!state)
    return true;
  op->result.detail = r->message;
  if (g_str_has_prefix (state, "CB"))
    op->result.end = UP_REJECTED;
  else if (strcmp (state, "25006") == 0)
    op->result.end = UP_READ_ONLY;
  else if (strcmp (state, "23505") == 0 && op->request && op->request->ledger
           && (strstr (sql, "cassiabay.ledger") || sql[0] == 'C'))
    op->result.end = UP_DUPLICATE;
  else
    op->result.end = UP_SQL_ERROR;
  grp_session_reset (&p->session);
  return false;
}

static bool
run_plain (struct pipe *p, const char *sql, const char *const *args,
           uint32_t n_args)
{
  struct sql_result r;
  bool ok = run_sql (p, sql, args, n_args, &r);

  sql_clear (&r);
  return ok;
}

static void
take_status (struct pipe *p)
{
  struct world *w = p->host->world;

  grp_status (&w->groups[p->group], p->instance, w->now_us,
              &p->op->result.status);
  p->op->result.has_status = true;
}

static bool
run_guard (struct pipe *p)
{
  char term[24];
  char position[24];
  const char *args[]
      = { term, position, p->op->up.replica ? "replica" : "primary", "0" };

  snprintf (term, sizeof term, "%lu", p->op->up.term);
  snprintf (position, sizeof position, "%lu", p->op->up.min_position);
  if (!run_plain (p, "SELECT * FROM cassiabay.guard($1, $2, $3, $4)", args, 4))
    return false;
  take_status (p);
  return true;
}

static void
append_rows (struct pipe_op *op, const struct sql_result *r)
{
  g_string_append (op->rows, op->rows->len ? "," : "[");
  g_string_append_c (op->rows, '[');
  for (uint32_t i = 0; i < r->rows->len; i++)
    {
      char **row = g_ptr_array_index (r->rows, i);

      g_string_append_printf (op->rows, "%s\"%s\"", i ? "," : "",
                              row[1] ? row[1] : "");
    }
  g_string_append_c (op->rows, ']');
}

static bool
run_statements (struct pipe *p)
{
  const struct wire_request *q = p->op->request;
  struct sql_result r;
  bool ok = true;

  for (uint32_t i = 0; i < q->n_statements && ok; i++)
    {
      ok = run_sql (p, q->statements[i].text,
                    (const char *const *)q->statements[i].args,
                    q->statements[i].n_args, &r);
      if (ok)
        append_rows (p->op, &r);
      sql_clear (&r);
    }
  if (p->op->rows->len > 0)
    g_string_append_c (p->op->rows, ']');
  return ok;
}

/* Looks the request id up; fills the result's ledger part.  */
static void
find_ledger (struct pipe *p)
{
  const char *args[] = { p->op->request->request_id };
  struct sql_result r;

  if (run_sql (p,
               "SELECT outcome, digest, result FROM cassiabay.ledger WHERE "
               "request_id = $1",
               args, 1, &r)
      && r.rows->len > 0)
    {
      char **row = g_ptr_array_index (r.rows, 0);

      p->op->result.ledger
          = strcmp (row[0], "done") == 0 ? UP_LEDGER_DONE : UP_LEDGER_VOID;
      p->op->result.ledger_digest = g_ascii_strtoull (row[1], NULL, 10);
      g_free (p->op->stored);
      p->op->stored = g_strdup (row[2]);
    }
  sql_clear (&r);
}

static bool
insert_ledger (struct pipe *p)
{
  char digest[24];
  const char *args[]
      = { p->op->request->request_id, "done", digest, p->op->rows->str };

  snprintf (digest, sizeof digest, "%lu", p->op->request->digest);
  return run_plain (p, "INSERT INTO cassiabay.ledger (request_id...", args, 4);
}

/* Commits; false when the connection is lost on the way.  */
static bool
commit (struct pipe *p)
{
  struct world *w = p->host->world;
  uint64_t guarded = p->session.guard_term;
  bool writes = p->session.ops->len > 0;

  if (writes && w->lose_before[p->group][p->instance])
    {
      w->lose_before[p->group][p->instance] = false;
      grp_session_reset (&p->session);
      return false;
    }
  if (!run_plain (p, "COMMIT", NULL, 0))
    return true;
  take_status (p);
  if (guarded > 0 && p->op->result.status.term != guarded)
    p->op->result.end = UP_LOST;
  if (writes && w->lose_after[p->group][p->instance])
    {
      w->lose_after[p->group][p->instance] = false;
      return false;
    }
  return true;
}

static bool
run_transaction (struct pipe *p)
{
  const struct wire_request *q = p->op->request;

  run_plain (
      p, q->read ? "BEGIN ISOLATION LEVEL REPEATABLE READ READ ONLY" : "BEGIN",
      NULL, 0);
  if (!run_guard (p))
    return true;
  if (q->ledger && !q->read)
    find_ledger (p);
  if (p->op->result.ledger != UP_LEDGER_NONE)
    {
      p->op->result.end = UP_DUPLICATE;
      grp_session_reset (&p->session);
      return true;
    }
  if (!run_statements (p))
    return true;
  if (q->read)
    {
      grp_session_reset (&p->session);
      return true;
    }
  if (q->ledger && !insert_ledger (p))
    return true;
  return commit (p);
}

static bool
run_resolve (struct pipe *p)
{
  const char *args[] = { p->op->request->request_id };

  run_plain (p, "BEGIN", NULL, 0);
  if (!run_guard (p))
    return true;
  run_plain (p,
             "INSERT INTO cassiabay.ledger (request_id, outcome, digest, "
             "result) VALUES ($1, 'void', 0, '') ON CONFLICT DO NOTHING",
             args, 1);
  find_ledger (p);
  return commit (p);
}

static void
run_command (struct pipe *p)
{
  static const char *const sql[]
      = { [UP_FENCE] = "SELECT * FROM cassiabay.fence($1, $2)",
          [UP_PROMOTE] = "SELECT * FROM cassiabay.promote($1, $2)",
          [UP_FOLLOW] = "SELECT * FROM cassiabay.follow($1, $2)" };
  char term[24];
  const char *args[] = { term, p->op->target };

  snprintf (term, sizeof term, "%lu", p->op->up.term);
  if (run_plain (p, sql[p->op->up.kind], args, 2))
    take_status (p);
}

/* Runs the op at the instance; false when its answer is lost.  */
static bool
run_op (struct pipe *p)
{
  const struct wire_request *q = p->op->request;

  switch (p->op->up.kind)
    {
    case UP_STATUS:
      take_status (p);
      return true;
    case UP_FENCE:
    case UP_PROMOTE:
    case UP_FOLLOW:
      run_command (p);
      return true;
    case UP_RUN:
      return run_transaction (p);
    case UP_RESOLVE:
      return run_resolve (p);
    case UP_BEGIN:
      run_plain (p, q->read ? "BEGIN READ ONLY" : "BEGIN", NULL, 0);
      run_guard (p);
      return true;
    case UP_STATEMENTS:
      run_statements (p);
      return true;
    case UP_COMMIT:
      if (q->ledger && !insert_ledger (p))
        return true;
      return commit (p);
    case UP_ROLLBACK:
      grp_session_reset (&p->session);
      return true;
    case UP_PURGE:
      return true;
    }
  return true;
}

static bool
takes_slot (const struct pipe *p)
{
  return p->op->up.kind == UP_RUN || p->op->up.kind == UP_STATEMENTS;
}

static void
on_op_arrives (struct pipe *p)
{
  struct world *w = p->host->world;
  int64_t service_us = 0;

  if (!p->op || !passes (p))
    return;
  if (takes_slot (p))
    {
      /* More than the slots queue in the instance.  */
      int32_t *running = &w->running[p->group][p->instance];

      (*running)++;
      service_us
          = w->options.service_us
            * (1 + MAX (0, *running - w->options.slots) / w->options.slots);
    }
  schedule_pipe (p, EVENT_OP_RUNS, service_us);
}

static void
on_op_runs (struct pipe *p)
{
  struct world *w = p->host->world;
  bool heard;

  if (p->op && takes_slot (p))
    w->running[p->group][p->instance]--;
  if (!p->op || !passes (p))
    return;
  heard = run_op (p);
  schedule_pipe (p, heard ? EVENT_OP_ANSWERED : EVENT_CLOSED,
                 pipe_delay_us (p));
}

static void
on_op_answered (struct pipe *p)
{
  struct host *h = p->host;
  struct pipe_op *op = p->op;
  struct up_result result;

  if (!op || !passes (p))
    return;
  p->op = NULL;
  result = op->result;
  result.rows = op->stored ? op->stored : op->rows->str;
  if (result.end == UP_LOST)
    drop_pipe (p);
  node_on_done (h->node, p->id, &result, h->world->now_us);
  wire_request_unref (op->request);
  g_string_free (op->rows, TRUE);
  g_free (op->stored);
  g_free (op->target);
  g_free (op);
}

/* The other end closed the connection.  */
static void
on_pipe_closed (struct pipe *p)
{
  struct host *h = p->host;
  uint64_t id = p->id;
  struct up_result result = { 0 };
  bool busy = p->op != NULL;

  if (p->closed || p->silent)
    return;
  result.end = UP_LOST;
  if (busy && p->op->up.kind == UP_RUN && !p->op->request->read
      && p->session.ops->len > 0)
    result.end = UP_NOT_COMMITTED;
  drop_pipe (p);
  if (busy)
    node_on_done (h->node, id, &result, h->world->now_us);
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
send_copy (struct host *h, uint32_t to, const char *data, size_t len,
           int64_t delay_us)
{
  struct event *e = schedule (&h->world->hosts[to], EVENT_MESSAGE, delay_us);

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
  if (is_cut (w, centre_of_node (h->index), centre_of_node (to)))
    {
      /* Data that is not acknowledged breaks the link.  */
      schedule (h, EVENT_LINK_LOST, LINK_SILENT_US)->from = to;
      return;
    }
  delay_us = distance_us (w, centre_of_node (h->index), centre_of_node (to));
  if (!w->hosts[to].node)
    {
      /* The host refuses the connection.  */
      struct event *e = schedule (h, EVENT_LINK_LOST, 2 * delay_us);

      e->from = to;
      return;
    }
  if (w->disturbed && g_rand_int_range (w->random, 0, 4) == 0)
    send_copy (h, to, data, len,
               delay_us + g_rand_int_range (w->random, 0, 300000));
  if (w->disturbed)
    delay_us += g_rand_int_range (w->random, 0, 20000);
  send_copy (h, to, data, len, delay_us);
}

static const struct peer_port_ops peer_ops = { port_send };

static void
port_read (struct store_port *port, enum store_what what, const char *hash)
{
  struct host *h
      = (struct host *)((char *)port - offsetof (struct host, store));
  struct world *w = h->world;
  bool lost = w->store_down || w->cut[centre_of_node (h->index)];
  struct event *e
      = schedule (h, EVENT_STORE,
                  lost ? STORE_TIMEOUT_US : STORE_DELAY_US + w->store_slow_us);

  e->what = what;
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

  if (e->ok && e->what == STORE_MANIFEST)
    text = w->store_stale && w->old_manifest ? w->old_manifest : w->manifest;
  else if (e->ok && e->what == STORE_BLOB)
    text = g_hash_table_lookup (w->blobs, e->hash);
  else if (e->ok)
    text = "[]";
  node_on_store (h->node, e->what, e->hash, text, text ? strlen (text) : 0,
                 w->now_us);
}

static void
on_answer (void *arg, void *tag, const struct ent_answer *answer)
{
  struct host *h = arg;
  struct world_call *call = tag;

  call->answers++;
  call->answered_us = h->world->now_us;
  call->reason = answer->reason;
  g_free (call->rows);
  call->rows = g_strdup (answer->rows);
  g_free (call->transaction);
  call->transaction = g_strdup (answer->transaction);
  if (answer->term > 0)
    tok_raise (&call->token, answer->database, answer->term, answer->position);
  g_queue_remove (&h->calls, call);
}

static void
on_publish (void *arg, struct dcl_set *set, uint64_t revision)
{
  struct host *h = arg;

  (void)set;
  if (revision < h->revision)
    h->world->revisions_back++;
  h->revision = revision;
}

static void
describe_vm (const struct world *w, uint32_t k, struct wire_vm *vm)
{
  memset (vm, 0, sizeof *vm);
  g_strlcpy (vm->id, w->hosts[k].name, sizeof vm->id);
  snprintf (vm->data_centre, sizeof vm->data_centre, "dc%u",
            centre_of_node (k));
  snprintf (vm->region, sizeof vm->region, "region%u", centre_of_node (k));
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
  o.answer = on_answer;
  o.publish = on_publish;
  o.arg = h;
  o.seed = w->options.seed * 1000 + k * 10 + h->incarnation;
  o.rule = w->options.rule;
  o.policy = w->options.policy;
  o.jobs_max = 10000;
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
        node_introduce (h->node, &vm, w->now_us);
      }
}

void
world_kill_node (struct world *w, uint32_t k)
{
  struct host *h = &w->hosts[k];
  struct world_call *call;
  GHashTableIter iter;
  gpointer value;
  GPtrArray *pipes;

  if (!h->node)
    return;
  node_free (h->node);
  h->node = NULL;
  h->watching = false;
  pipes = g_ptr_array_new ();
  g_hash_table_iter_init (&iter, h->pipes);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    g_ptr_array_add (pipes, value);
  for (uint32_t i = 0; i < pipes->len; i++)
    drop_pipe (g_ptr_array_index (pipes, i));
  g_ptr_array_free (pipes, TRUE);
  while ((call = g_queue_pop_head (&h->calls)) != NULL)
    call->orphaned = true;
  for (uint32_t i = 0; i < w->options.n_nodes; i++)
    if (w->hosts[i].node
        && !is_cut (w, centre_of_node (i), centre_of_node (k)))
      schedule (&w->hosts[i], EVENT_LINK_LOST,
                distance_us (w, centre_of_node (i), centre_of_node (k)))
          ->from
          = k;
}

bool
world_node_lives (const struct world *w, uint32_t k)
{
  return w->hosts[k].node != NULL;
}

void
world_pause_node (struct world *w, uint32_t k, bool paused)
{
  w->hosts[k].paused = paused;
}

void
world_cut_centre (struct world *w, uint32_t centre, bool cut)
{
  w->cut[centre] = cut;
  for (uint32_t g = 0; g < w->options.n_groups; g++)
    w->groups[g].instances[centre].isolated = cut;
}

/* Each live pipe to an instance gets FN.  */
static void
for_each_pipe (struct world *w, uint32_t g, uint32_t i,
               void (*fn) (struct pipe *))
{
  for (uint32_t k = 0; k < w->options.n_nodes; k++)
    {
      GHashTableIter iter;
      gpointer value;

      g_hash_table_iter_init (&iter, w->hosts[k].pipes);
      while (g_hash_table_iter_next (&iter, NULL, &value))
        {
          struct pipe *p = value;

          if (p->group == g && p->instance == i)
            fn (p);
        }
    }
}

static void
reset_pipe (struct pipe *p)
{
  if (passes (p))
    schedule_pipe (p, EVENT_CLOSED, pipe_delay_us (p));
}

static void
silence_pipe (struct pipe *p)
{
  p->silent = true;
}

void
world_kill_instance (struct world *w, uint32_t g, uint32_t i)
{
  for_each_pipe (w, g, i, reset_pipe);
  grp_kill (&w->groups[g], i);
}

void
world_restart_instance (struct world *w, uint32_t g, uint32_t i)
{
  grp_restart (&w->groups[g], i, w->now_us);
}

void
world_silence (struct world *w, uint32_t g, uint32_t i)
{
  for_each_pipe (w, g, i, silence_pipe);
}

void
world_lose_answer (struct world *w, uint32_t g, uint32_t i, bool after)
{
  if (after)
    w->lose_after[g][i] = true;
  else
    w->lose_before[g][i] = true;
}

void
world_disturb_links (struct world *w, bool on)
{
  w->disturbed = on;
}

void
world_store_down (struct world *w, bool down)
{
  w->store_down = down;
}

void
world_store_slow (struct world *w, int64_t us)
{
  w->store_slow_us = us;
}

void
world_store_stale (struct world *w, bool on)
{
  w->store_stale = on;
}

static void
put_blob (struct world *w, struct mnf *m, const char *name, const char *text)
{
  char hash[MNF_HASH_LEN + 1];

  mnf_hash (text, strlen (text), hash);
  mnf_set (m, name, hash);
  g_hash_table_replace (w->blobs, g_strdup (hash), g_strdup (text));
}

void
world_apply (struct world *w, const char *kinds)
{
  struct mnf m = { 0 };

  m.revision = ++w->revision;
  put_blob (w, &m, "databases.yaml", w->databases);
  put_blob (w, &m, "kinds.yaml", kinds);
  g_free (w->old_manifest);
  w->old_manifest = w->manifest;
  w->manifest = mnf_write (&m);
  mnf_clear (&m);
  for (uint32_t k = 0; k < w->options.n_nodes; k++)
    if (w->hosts[k].node && w->hosts[k].watching && !w->store_down
        && !w->cut[centre_of_node (k)])
      node_on_watch (w->hosts[k].node, w->now_us);
}

void
world_apply_again (struct world *w, int64_t n)
{
  char *kinds = g_strdup_printf ("%s# change %ld\n", default_kinds, n);

  world_apply (w, kinds);
  g_free (kinds);
}

void
world_leave_database (struct world *w, uint32_t g)
{
  char *from = g_strdup_printf ("name: db%u\n", g);
  char *to = g_strdup_printf ("name: db%u\n    state: leaving\n", g);
  char **parts = g_strsplit (w->databases, from, 2);

  g_free (w->databases);
  w->databases = g_strjoinv (to, parts);
  world_apply (w, default_kinds);
  g_strfreev (parts);
  g_free (from);
  g_free (to);
}

uint32_t
world_n_nodes (const struct world *w)
{
  return w->options.n_nodes;
}

uint32_t
world_revisions_back (const struct world *w)
{
  return w->revisions_back;
}

uint64_t
world_revision (const struct world *w)
{
  return w->revision;
}

static void
write_databases (struct world *w)
{
  GString *out = g_string_new ("version: 1\ndata_centres:\n");

  for (uint32_t c = 0; c < CENTRES; c++)
    g_string_append_printf (out, "  - {name: dc%u, region: region%u}\n", c, c);
  g_string_append (out, "databases:\n");
  for (uint32_t g = 0; g < w->options.n_groups; g++)
    {
      g_string_append_printf (out,
                              "  - name: db%u\n    slots: %d\n"
                              "    connections: %d\n    instances:\n",
                              g, w->options.slots, w->options.connections);
      for (uint32_t i = 0; i < w->options.n_instances; i++)
        g_string_append_printf (out,
                                "      - {name: db%u-%u, address: "
                                "'10.0.%u.%u:5432', data_centre: dc%u}\n",
                                g, i, g, i, i);
    }
  w->databases = g_string_free (out, FALSE);
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
  write_databases (w);
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
      h->pipes = g_hash_table_new (g_int64_hash, g_int64_equal);
      g_queue_init (&h->calls);
      snprintf (h->name, sizeof h->name, "vm%u", k);
    }
  world_apply (w, options->kinds ? options->kinds : default_kinds);
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
      g_hash_table_destroy (w->hosts[k].pipes);
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
handle (struct world *w, struct event *e)
{
  struct host *h = &w->hosts[e->node];

  /* Instance-side events happen whatever became of the node.  */
  if (e->kind == EVENT_OP_ARRIVES)
    {
      on_op_arrives (e->pipe);
      return;
    }
  if (e->kind == EVENT_OP_RUNS)
    {
      on_op_runs (e->pipe);
      return;
    }
  if (!h->node || e->incarnation != h->incarnation)
    return;
  switch (e->kind)
    {
    case EVENT_OPENED:
      if (!e->pipe->closed)
        {
          uint64_t id = e->pipe->id;

          if (!e->ok)
            drop_pipe (e->pipe);
          node_on_opened (h->node, id, e->ok, w->now_us);
        }
      break;
    case EVENT_OP_ANSWERED:
      on_op_answered (e->pipe);
      break;
    case EVENT_CLOSED:
      on_pipe_closed (e->pipe);
      break;
    case EVENT_MESSAGE:
      if (!is_cut (w, centre_of_node (e->node), centre_of_node (e->from)))
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

/* A paused node's events wait for its return.  */
static bool
is_held (const struct world *w, const struct event *e)
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
      if (is_held (w, e))
        {
          at = g_sequence_iter_next (at);
          continue;
        }
      w->now_us = MAX (w->now_us, e->due_us);
      for (uint32_t g = 0; g < w->options.n_groups; g++)
        grp_tick (&w->groups[g], w->now_us);
      handle (w, e);
      g_sequence_remove (at);
      at = g_sequence_get_begin_iter (w->events);
    }
}

void
world_run (struct world *w, int64_t us)
{
  int64_t end_us = w->now_us + us;

  while (w->now_us < end_us)
    {
      int64_t step_us = MIN (w->now_us + STEP_US * 4, end_us);

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

char *
world_request_id (struct world *w)
{
  uint64_t bits[2];
  char out[RID_LEN + 1];

  bits[0] = ((uint64_t)g_rand_int (w->random) << 32) | g_rand_int (w->random);
  bits[1] = ((uint64_t)g_rand_int (w->random) << 32) | g_rand_int (w->random);
  rid_format (WALL_START_MS + w->now_us / 1000, bits, out);
  return g_strdup (out);
}

static struct world_call *
submit (struct world *w, uint32_t node, struct ent_call *call,
        const char *text, const char *key, const char *arg)
{
  struct world_call *c = g_new0 (struct world_call, 1);
  struct wire_statement statement = { 0 };
  char *args[2] = { (char *)key, (char *)arg };

  statement.text = (char *)text;
  statement.args = args;
  statement.n_args = arg ? 2 : key ? 1 : 0;
  call->n_statements = text ? 1 : 0;
  call->statements = &statement;
  call->tag = c;
  c->node = node;
  c->op = call->op;
  c->database = g_strdup (call->database);
  c->kind = g_strdup (call->kind);
  c->request_id = g_strdup (call->request_id);
  c->key = g_strdup (key);
  c->write = text && !g_str_has_prefix (text, "SELECT");
  c->sent_us = w->now_us;
  c->token = call->token;
  g_ptr_array_add (w->calls, c);
  g_queue_push_tail (&w->hosts[node].calls, c);
  node_submit (w->hosts[node].node, call, w->now_us,
               WALL_START_MS + w->now_us / 1000);
  call->statements = NULL;
  return c;
}

struct world_call *
world_call (struct world *w, uint32_t node, enum wire_op op, uint32_t group,
            const char *kind, const char *request_id, const struct tok *token,
            const char *text, const char *key, const char *arg)
{
  struct ent_call call = { 0 };
  char database[16];

  snprintf (database, sizeof database, "db%u", group);
  call.op = op;
  call.database = database;
  call.kind = kind;
  call.request_id = request_id ? request_id : "";
  call.transaction = "";
  if (token)
    call.token = *token;
  return submit (w, node, &call, text, key, arg);
}

struct world_call *
world_step (struct world *w, uint32_t node, enum wire_op op,
            const char *transaction, const char *text, const char *key,
            const char *arg)
{
  struct ent_call call = { 0 };

  call.op = op;
  call.database = "";
  call.kind = "";
  call.request_id = "";
  call.transaction = transaction;
  return submit (w, node, &call, text, key, arg);
}

bool
world_await (struct world *w, struct world_call *call, int64_t limit_us)
{
  int64_t end_us = w->now_us + limit_us;

  while (call->answers == 0 && w->now_us < end_us)
    world_run (w, 1000);
  return call->answers > 0;
}
