/* The upstream port for PostgreSQL instances, with libpq.

   An op is sent as a pipeline of steps that ends in a sync.  Results arrive in
   the order of the steps.  A write (UP_RUN) takes two pipelines: the
   statements first and, when they have succeeded, the ledger row (if any) and
   the commit.  */
#include "pg.h"

#include "pgrows.h"
#include <glib.h>
#include <libpq-fe.h>
#include <string.h>
#include <sys/epoll.h>

/* Steps of one op: the statements and up to 10 of the adapter's own.  */
#define STEPS_MAX (WIRE_STATEMENTS_MAX + 10)
/* Holds the outcome, by request id, of each write that must not be applied
   twice.  */
#define LEDGER "cassiabay.ledger"
/* Returns one text column: with seven columns, their description would be most
   of the reply.  */
#define STATUS_SQL "SELECT cassiabay.status_line()"

/* The command in the pipeline that a result belongs to.  */
enum step
{
  STEP_BEGIN,
  STEP_GUARD,       /* checks role, term and position of the instance */
  STEP_LEDGER_FIND, /* a row found means that the request is a duplicate */
  STEP_STATEMENT,
  STEP_LEDGER_INSERT,
  STEP_LEDGER_VOID, /* marks the request id void unless it has a row */
  STEP_LEDGER_READ, /* reads the outcome of the request id */
  STEP_LEDGER_PURGE,
  STEP_COMMIT,
  STEP_COMMAND, /* fence, promote, follow */
  STEP_STATUS,
  STEP_ROLLBACK,
  STEP_SYNC
};

enum conn_state
{
  CONN_OPENING,
  CONN_IDLE,
  CONN_BUSY,
  CONN_CLOSED
};

struct conn
{
  struct pg *pg;
  uint64_t id;
  PGconn *db;
  struct loop_source source;
  enum conn_state state;
  /* The running op.  */
  enum up_op_kind kind;
  struct wire_request *request;
  enum step steps[STEPS_MAX];
  uint32_t n_steps;
  uint32_t step;    /* index of the step whose result comes next */
  bool commit_sent; /* the outcome is unknown if the connection fails */
  bool failed;      /* a step failed and the transaction is rolled back */
  struct up_result result;
  char *detail;
  struct pgr_results results;
  char *results_json;
  char *stored_rows; /* JSON results from the ledger */
};

struct pg
{
  struct up_port port;
  struct pg_options options;
  GHashTable *conns; /* id -> struct conn * */
  GPtrArray *closed;
};

static void on_socket_event (void *arg, uint32_t events);

static void
clear_op (struct conn *c)
{
  wire_request_unref (c->request);
  c->request = NULL;
  g_clear_pointer (&c->detail, g_free);
  g_clear_pointer (&c->results_json, free);
  g_clear_pointer (&c->stored_rows, g_free);
  pgr_clear (&c->results);
  memset (&c->result, 0, sizeof c->result);
  c->n_steps = c->step = 0;
  c->commit_sent = c->failed = false;
}

static void
free_conn (gpointer data)
{
  struct conn *c = data;

  clear_op (c);
  g_free (c);
}

/* Closes the connection; its memory stays until pg_free_closed.  */
static void
drop_conn (struct conn *c)
{
  if (c->state == CONN_CLOSED)
    return;
  if (c->source.fn)
    loop_remove (c->pg->options.loop, &c->source);
  c->state = CONN_CLOSED;
  PQfinish (c->db);
  c->db = NULL;
  g_hash_table_steal (c->pg->conns, &c->id);
  g_ptr_array_add (c->pg->closed, c);
}

static void
watch_conn (struct conn *c, uint32_t events)
{
  int fd = PQsocket (c->db);

  if (c->source.fn && c->source.fd != fd)
    loop_remove (c->pg->options.loop, &c->source);
  c->source.fd = fd;
  c->source.fn = on_socket_event;
  c->source.arg = c;
  loop_watch (c->pg->options.loop, &c->source, events);
}

static void
finish_op (struct conn *c, enum up_outcome end)
{
  struct pg *pg = c->pg;
  struct up_result result = c->result;
  bool lost = end == UP_LOST || end == UP_NOT_COMMITTED;
  uint64_t id = c->id;

  result.outcome = end;
  result.detail = c->detail;
  result.rows = c->stored_rows ? c->stored_rows : c->results_json;
  if (lost)
    drop_conn (c);
  else
    c->state = CONN_IDLE;
  pg->options.sink.op_done (pg->options.sink.arg, id, &result);
  /* C must not be used from here on: the sink may have started another op on
     it, which resets its state first.  */
}

/* Handles a failed connection in any state.  A write whose commit has not been
   sent ends as not committed; a commit that has been sent is in doubt.  */
static void
handle_conn_failure (struct conn *c)
{
  bool writes = c->kind == UP_RUN && c->request && !c->request->read_only;
  bool in_doubt
      = c->commit_sent || c->kind == UP_COMMIT || c->kind == UP_RESOLVE;

  if (c->state != CONN_BUSY)
    {
      struct pg *pg = c->pg;
      uint64_t id = c->id;
      bool opening = c->state == CONN_OPENING;

      drop_conn (c);
      if (opening)
        pg->options.sink.conn_opened (pg->options.sink.arg, id, false);
      else
        pg->options.sink.conn_closed (pg->options.sink.arg, id);
      return;
    }
  finish_op (c, writes && !in_doubt ? UP_NOT_COMMITTED : UP_LOST);
}

static void
add_step (struct conn *c, enum step step, const char *sql, int n_args,
          const char *const *args)
{
  if (step == STEP_SYNC)
    PQpipelineSync (c->db);
  else
    PQsendQueryParams (c->db, sql, n_args, NULL, args, NULL, NULL, 0);
  c->steps[c->n_steps++] = step;
}

static void
add_simple_step (struct conn *c, enum step step, const char *sql)
{
  add_step (c, step, sql, 0, NULL);
}

/* Sends queued output; waits for writability while some is left.  */
static void
flush_conn (struct conn *c)
{
  int left = PQflush (c->db);

  watch_conn (c, left > 0 ? EPOLLIN | EPOLLOUT : EPOLLIN);
}

static void
add_guard (struct conn *c, const struct up_op *op)
{
  char term[24];
  char position[24];
  char timeout[24];
  const char *args[4]
      = { term, position, op->allow_replica ? "replica" : "primary", timeout };

  g_snprintf (term, sizeof term, "%lu", op->term);
  g_snprintf (position, sizeof position, "%lu", op->min_position);
  g_snprintf (timeout, sizeof timeout, "%ld", op->timeout_ms);
  add_step (c, STEP_GUARD, "SELECT * FROM cassiabay.guard($1, $2, $3, $4)", 4,
            args);
}

static void
add_statements (struct conn *c)
{
  const struct wire_request *r = c->request;

  g_assert (r);
  for (uint32_t i = 0; i < r->n_statements; i++)
    add_step (c, STEP_STATEMENT, r->statements[i].text,
              (int)r->statements[i].n_args,
              (const char *const *)r->statements[i].args);
}

static void
add_ledger_find (struct conn *c, enum step step)
{
  const char *args[1] = { c->request->request_id };

  add_step (c, step,
            "SELECT outcome, digest, result FROM " LEDGER
            " WHERE request_id = $1",
            1, args);
}

static void
add_ledger_insert (struct conn *c)
{
  char digest[24];
  const char *args[4] = { c->request->request_id, "done", digest,
                          c->results_json ? c->results_json : "" };

  g_snprintf (digest, sizeof digest, "%lu", c->request->digest);
  add_step (c, STEP_LEDGER_INSERT,
            "INSERT INTO " LEDGER " (request_id, outcome, digest, result)"
            " VALUES ($1, $2, $3, $4)",
            4, args);
}

static void
add_commit (struct conn *c)
{
  add_simple_step (c, STEP_COMMIT, "COMMIT");
  add_simple_step (c, STEP_STATUS, STATUS_SQL);
  add_simple_step (c, STEP_SYNC, NULL);
}

static void
send_run (struct conn *c, const struct up_op *op)
{
  const struct wire_request *r = c->request;

  g_assert (r);
  add_simple_step (c, STEP_BEGIN,
                   r->read_only
                       ? "BEGIN ISOLATION LEVEL REPEATABLE READ READ ONLY"
                       : "BEGIN");
  add_guard (c, op);
  if (r->use_ledger && !r->read_only)
    add_ledger_find (c, STEP_LEDGER_FIND);
  add_statements (c);
  if (r->read_only)
    add_simple_step (c, STEP_COMMIT, "COMMIT");
  add_simple_step (c, STEP_SYNC, NULL);
}

static void
send_resolve (struct conn *c, const struct up_op *op)
{
  const char *args[1];

  g_assert (c->request);
  args[0] = c->request->request_id;
  c->commit_sent = true;
  add_simple_step (c, STEP_BEGIN, "BEGIN");
  add_guard (c, op);
  add_step (c, STEP_LEDGER_VOID,
            "INSERT INTO " LEDGER " (request_id, outcome, digest, result)"
            " VALUES ($1, 'void', 0, '') ON CONFLICT DO NOTHING",
            1, args);
  add_ledger_find (c, STEP_LEDGER_READ);
  add_commit (c);
}

static void
send_begin (struct conn *c, const struct up_op *op)
{
  g_assert (c->request);
  add_simple_step (c, STEP_BEGIN,
                   c->request->read_only
                       ? "BEGIN ISOLATION LEVEL REPEATABLE READ READ ONLY"
                       : "BEGIN");
  add_guard (c, op);
  add_simple_step (c, STEP_SYNC, NULL);
}

static void
send_commit (struct conn *c)
{
  g_assert (c->request);
  c->commit_sent = true;
  if (c->request->use_ledger && !c->request->read_only)
    add_ledger_insert (c);
  add_commit (c);
}

static void
send_purge (struct conn *c, const struct up_op *op)
{
  const char *args[1] = { op->target };

  add_simple_step (c, STEP_BEGIN, "BEGIN");
  add_guard (c, op);
  add_step (c, STEP_LEDGER_PURGE,
            "DELETE FROM " LEDGER " WHERE request_id < $1", 1, args);
  add_commit (c);
}

static void
send_command (struct conn *c, const struct up_op *op)
{
  static const char *const sql[]
      = { [UP_FENCE] = "SELECT * FROM cassiabay.fence($1, $2)",
          [UP_PROMOTE] = "SELECT * FROM cassiabay.promote($1, $2)",
          [UP_FOLLOW] = "SELECT * FROM cassiabay.follow($1, $2)" };
  char term[24];
  const char *args[2] = { term, op->target };

  g_snprintf (term, sizeof term, "%lu", op->term);
  add_step (c, STEP_COMMAND, sql[op->kind], 2, args);
  add_simple_step (c, STEP_SYNC, NULL);
}

static void
send_op (struct conn *c, const struct up_op *op)
{
  switch (op->kind)
    {
    case UP_STATUS:
      add_simple_step (c, STEP_STATUS, STATUS_SQL);
      add_simple_step (c, STEP_SYNC, NULL);
      break;
    case UP_FENCE:
    case UP_PROMOTE:
    case UP_FOLLOW:
      send_command (c, op);
      break;
    case UP_RUN:
      send_run (c, op);
      break;
    case UP_RESOLVE:
      send_resolve (c, op);
      break;
    case UP_BEGIN:
      send_begin (c, op);
      break;
    case UP_STATEMENTS:
      add_statements (c);
      add_simple_step (c, STEP_SYNC, NULL);
      break;
    case UP_COMMIT:
      send_commit (c);
      break;
    case UP_ROLLBACK:
      add_simple_step (c, STEP_ROLLBACK, "ROLLBACK");
      add_simple_step (c, STEP_SYNC, NULL);
      break;
    case UP_PURGE:
      send_purge (c, op);
      break;
    }
}

static void
read_ledger (struct conn *c, const PGresult *res)
{
  if (PQntuples (res) == 0)
    return;
  c->result.ledger = strcmp (PQgetvalue (res, 0, 0), "done") == 0
                         ? UP_LEDGER_DONE
                         : UP_LEDGER_VOID;
  c->result.ledger_digest
      = g_ascii_strtoull (PQgetvalue (res, 0, 1), NULL, 10);
  g_free (c->stored_rows);
  c->stored_rows = g_strdup (PQgetvalue (res, 0, 2));
}

static void
fail_op (struct conn *c, enum up_outcome end, const char *detail)
{
  if (c->failed)
    return;
  c->failed = true;
  c->result.outcome = end;
  g_clear_pointer (&c->stored_rows, g_free);
  c->detail = g_strdup (detail);
}

static enum up_outcome
error_to_end (const struct conn *c, enum step step, const char *state)
{
  bool unique = strcmp (state, "23505") == 0;

  if (g_str_has_prefix (state, "CB"))
    return UP_REJECTED;
  if (strcmp (state, "25006") == 0)
    return UP_READ_ONLY;
  if (unique && c->request && c->request->use_ledger
      && (step == STEP_LEDGER_INSERT || step == STEP_COMMIT))
    return UP_DUPLICATE;
  return UP_SQL_ERROR;
}

static void
on_success (struct conn *c, enum step step, const PGresult *res)
{
  struct qrm_status status = { 0 };

  switch (step)
    {
    case STEP_GUARD:
    case STEP_COMMAND:
      c->result.has_status = pgr_read_status (res, &c->result.status);
      break;
    case STEP_STATUS:
      if (!pgr_read_status_line (res, &status))
        break;
      /* The position read after the commit is valid only under the term that
         the guard has checked: a promotion may have come in between.  */
      if (c->commit_sent && c->result.has_status
          && status.term != c->result.status.term)
        fail_op (c, UP_LOST, "the term changed right after the commit");
      c->result.has_status = true;
      c->result.status = status;
      break;
    case STEP_STATEMENT:
      if (!c->failed && !pgr_add_result (&c->results, res))
        fail_op (c, UP_TOO_LARGE, "the answer is larger than the limit");
      break;
    case STEP_LEDGER_FIND:
      read_ledger (c, res);
      if (c->result.ledger != UP_LEDGER_NONE)
        fail_op (c, UP_DUPLICATE, NULL);
      break;
    case STEP_LEDGER_READ:
      read_ledger (c, res);
      break;
    case STEP_COMMIT:
      /* PostgreSQL replies ROLLBACK to the COMMIT of a failed
         transaction.  */
      if (strcmp (PQcmdStatus ((PGresult *)res), "COMMIT") != 0)
        fail_op (c, UP_SQL_ERROR, "the transaction was rolled back");
      break;
    default:
      break;
    }
}

static void
on_result (struct conn *c, enum step step, const PGresult *res)
{
  const char *state;

  switch (PQresultStatus (res))
    {
    case PGRES_TUPLES_OK:
    case PGRES_COMMAND_OK:
    case PGRES_EMPTY_QUERY:
      on_success (c, step, res);
      break;
    case PGRES_PIPELINE_ABORTED:
      break;
    default:
      state = PQresultErrorField (res, PG_DIAG_SQLSTATE);
      fail_op (c, error_to_end (c, step, state ? state : ""),
               PQresultErrorField (res, PG_DIAG_MESSAGE_PRIMARY));
      break;
    }
}

static void
serialize_rows (struct conn *c)
{
  if (!c->results_json)
    c->results_json = pgr_to_json (&c->results);
}

/* Called at the end of a pipeline.  Rolls back a failed transaction, sends the
   commit of a write whose statements have succeeded, or ends the op.  */
static void
on_sync (struct conn *c)
{
  bool open_transaction = PQtransactionStatus (c->db) != PQTRANS_IDLE;
  bool write_run = c->kind == UP_RUN && !c->request->read_only;

  if (c->failed && c->result.outcome == UP_LOST)
    {
      finish_op (c, UP_LOST);
      return;
    }
  if (c->failed && open_transaction)
    {
      add_simple_step (c, STEP_ROLLBACK, "ROLLBACK");
      add_simple_step (c, STEP_SYNC, NULL);
      flush_conn (c);
      return;
    }
  serialize_rows (c);
  if (!c->failed && write_run && !c->commit_sent)
    {
      send_commit (c);
      flush_conn (c);
      return;
    }
  finish_op (c, c->failed ? c->result.outcome : UP_OK);
}

/* Processes the results that have arrived.  Returns false when the connection
   has failed.  */
static bool
read_results (struct conn *c)
{
  while (c->state == CONN_BUSY && c->step < c->n_steps && !PQisBusy (c->db))
    {
      PGresult *res = PQgetResult (c->db);

      if (!res)
        {
          /* NULL ends the results of one command.  */
          if (PQstatus (c->db) == CONNECTION_BAD)
            return false;
          continue;
        }
      if (PQresultStatus (res) == PGRES_PIPELINE_SYNC)
        {
          PQclear (res);
          c->step++;
          on_sync (c);
          continue;
        }
      if (PQstatus (c->db) == CONNECTION_BAD)
        {
          PQclear (res);
          return false;
        }
      on_result (c, c->steps[c->step++], res);
      PQclear (res);
    }
  return true;
}

static void
continue_opening (struct conn *c)
{
  struct pg *pg = c->pg;

  switch (PQconnectPoll (c->db))
    {
    case PGRES_POLLING_READING:
      watch_conn (c, EPOLLIN);
      break;
    case PGRES_POLLING_WRITING:
      watch_conn (c, EPOLLOUT);
      break;
    case PGRES_POLLING_OK:
      PQsetnonblocking (c->db, 1);
      PQenterPipelineMode (c->db);
      c->state = CONN_IDLE;
      watch_conn (c, EPOLLIN);
      pg->options.sink.conn_opened (pg->options.sink.arg, c->id, true);
      break;
    default:
      g_debug ("upstream connection failed: %s", PQerrorMessage (c->db));
      handle_conn_failure (c);
      break;
    }
}

static void
on_socket_event (void *arg, uint32_t events)
{
  struct conn *c = arg;

  if (c->state == CONN_CLOSED)
    return;
  if (c->state == CONN_OPENING)
    {
      continue_opening (c);
      return;
    }
  if ((events & EPOLLOUT) != 0)
    flush_conn (c);
  if (!PQconsumeInput (c->db) || (c->state == CONN_BUSY && !read_results (c)))
    handle_conn_failure (c);
  else if (c->state == CONN_IDLE && PQstatus (c->db) == CONNECTION_BAD)
    handle_conn_failure (c);
}

static void
port_open (struct up_port *port, uint64_t id,
           const struct dcl_instance *instance)
{
  struct pg *pg = (struct pg *)port;
  struct conn *c = g_new0 (struct conn, 1);
  char text[8];
  const char *keys[] = { "hostaddr",
                         "port",
                         "user",
                         "dbname",
                         "password",
                         "sslmode",
                         "application_name",
                         "client_encoding",
                         "gssencmode",
                         "tcp_user_timeout",
                         NULL };
  const char *values[] = { instance->host,
                           text,
                           pg->options.user,
                           pg->options.database,
                           pg->options.password,
                           pg->options.sslmode,
                           pg->options.application,
                           "UTF8",
                           "disable",
                           "5000",
                           NULL };

  g_snprintf (text, sizeof text, "%u", instance->port);
  c->pg = pg;
  c->id = id;
  c->results.rows_max = pg->options.rows_max;
  c->results.bytes_max = pg->options.bytes_max;
  c->state = CONN_OPENING;
  c->db = PQconnectStartParams (keys, values, 0);
  g_hash_table_insert (pg->conns, &c->id, c);
  if (PQstatus (c->db) == CONNECTION_BAD || PQsocket (c->db) < 0)
    {
      /* The failure is not reported from within this call.  The connection
         pool or monitor that opened C closes it at its time limit.  */
      c->source.fn = NULL;
      return;
    }
  watch_conn (c, EPOLLOUT);
}

static void
port_close (struct up_port *port, uint64_t id)
{
  struct pg *pg = (struct pg *)port;
  struct conn *c = g_hash_table_lookup (pg->conns, &id);

  if (c)
    drop_conn (c);
}

static void
port_exec (struct up_port *port, uint64_t id, const struct up_op *op)
{
  struct pg *pg = (struct pg *)port;
  struct conn *c = g_hash_table_lookup (pg->conns, &id);

  if (!c || c->state != CONN_IDLE)
    return;
  clear_op (c);
  c->state = CONN_BUSY;
  c->kind = op->kind;
  c->request = op->request
                   ? wire_request_ref ((struct wire_request *)op->request)
                   : NULL;
  send_op (c, op);
  flush_conn (c);
}

static const struct up_port_ops port_ops
    = { port_open, port_close, port_exec };

struct pg *
pg_new (const struct pg_options *options)
{
  struct pg *pg = g_new0 (struct pg, 1);

  pg->port.ops = &port_ops;
  pg->options = *options;
  pg->conns
      = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, free_conn);
  pg->closed = g_ptr_array_new_with_free_func (free_conn);
  return pg;
}

void
pg_free_closed (struct pg *pg)
{
  if (pg->closed->len > 0)
    g_ptr_array_set_size (pg->closed, 0);
}

void
pg_free (struct pg *pg)
{
  GHashTableIter iter;
  gpointer value;

  if (!pg)
    return;
  g_hash_table_iter_init (&iter, pg->conns);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      struct conn *c = value;

      if (c->source.fn)
        loop_remove (pg->options.loop, &c->source);
      PQfinish (c->db);
    }
  g_hash_table_destroy (pg->conns);
  g_ptr_array_free (pg->closed, TRUE);
  g_free (pg);
}

struct up_port *
pg_port (struct pg *pg)
{
  return &pg->port;
}
