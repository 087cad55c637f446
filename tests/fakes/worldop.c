/* How a simulated instance runs one operation of one connection.  */
#include "worldint.h"

#include "minisql.h"
#include <stdio.h>
#include <string.h>

/* Runs SQL in the session of CONN.  On failure sets the operation's result,
   rolls back and returns false.  */
static bool
run_sql (struct conn *conn, const char *sql, const char *const *args,
         uint32_t n_args, struct sql_result *r)
{
  struct world *w = conn->host->world;
  struct conn_op *op = conn->op;
  const char *sqlstate;

  sql_run (&conn->session, (const char *const *)w->names[conn->group], sql,
           args, n_args, w->now_us, r);
  sqlstate = r->state;
  if (!sqlstate)
    return true;
  op->result.detail = r->message;
  if (g_str_has_prefix (sqlstate, "CB"))
    op->result.outcome = UP_REJECTED;
  else if (strcmp (sqlstate, "25006") == 0)
    op->result.outcome = UP_READ_ONLY;
  else if (strcmp (sqlstate, "23505") == 0 && op->request
           && op->request->use_ledger
           && (strstr (sql, "cassiabay.ledger") || sql[0] == 'C'))
    op->result.outcome = UP_DUPLICATE;
  else
    op->result.outcome = UP_SQL_ERROR;
  grp_session_reset (&conn->session);
  return false;
}

static bool
run_discarding_rows (struct conn *conn, const char *sql,
                     const char *const *args, uint32_t n_args)
{
  struct sql_result r;
  bool ok = run_sql (conn, sql, args, n_args, &r);

  sql_clear (&r);
  return ok;
}

static void
report_status (struct conn *conn)
{
  struct world *w = conn->host->world;

  grp_status (&w->groups[conn->group], conn->instance, w->now_us,
              &conn->op->result.status);
  conn->op->result.has_status = true;
}

static bool
run_guard (struct conn *conn)
{
  char term[24];
  char position[24];
  const char *args[]
      = { term, position, conn->op->up.allow_replica ? "replica" : "primary",
          "0" };

  snprintf (term, sizeof term, "%lu", conn->op->up.term);
  snprintf (position, sizeof position, "%lu", conn->op->up.min_position);
  if (!run_discarding_rows (
          conn, "SELECT * FROM cassiabay.guard($1, $2, $3, $4)", args, 4))
    return false;
  report_status (conn);
  return true;
}

static void
append_rows (struct conn_op *op, const struct sql_result *r)
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
run_statements (struct conn *conn)
{
  const struct wire_request *q = conn->op->request;
  struct sql_result r;
  bool ok = true;

  for (uint32_t i = 0; i < q->n_statements && ok; i++)
    {
      ok = run_sql (conn, q->statements[i].text,
                    (const char *const *)q->statements[i].args,
                    q->statements[i].n_args, &r);
      if (ok)
        append_rows (conn->op, &r);
      sql_clear (&r);
    }
  if (conn->op->rows->len > 0)
    g_string_append_c (conn->op->rows, ']');
  return ok;
}

/* Looks up the request id in the ledger and stores what it finds in the
   operation's result.  */
static void
read_ledger (struct conn *conn)
{
  const char *args[] = { conn->op->request->request_id };
  struct sql_result r;

  if (run_sql (conn,
               "SELECT outcome, digest, result FROM cassiabay.ledger WHERE "
               "request_id = $1",
               args, 1, &r)
      && r.rows->len > 0)
    {
      char **row = g_ptr_array_index (r.rows, 0);

      conn->op->result.ledger
          = strcmp (row[0], "done") == 0 ? UP_LEDGER_DONE : UP_LEDGER_VOID;
      conn->op->result.ledger_digest = g_ascii_strtoull (row[1], NULL, 10);
      g_free (conn->op->stored);
      conn->op->stored = g_strdup (row[2]);
    }
  sql_clear (&r);
}

static bool
insert_ledger (struct conn *conn)
{
  char digest[24];
  const char *args[]
      = { conn->op->request->request_id, "done", digest, conn->op->rows->str };

  snprintf (digest, sizeof digest, "%lu", conn->op->request->digest);
  return run_discarding_rows (
      conn, "INSERT INTO cassiabay.ledger (request_id...", args, 4);
}

/* Commits; false when the connection is lost before or after that.  */
static bool
commit (struct conn *conn)
{
  struct world *w = conn->host->world;
  uint64_t guard_term = conn->session.guard_term;
  bool writes = conn->session.ops->len > 0;

  if (writes && w->lose_before_commit[conn->group][conn->instance])
    {
      w->lose_before_commit[conn->group][conn->instance] = false;
      grp_session_reset (&conn->session);
      return false;
    }
  if (!run_discarding_rows (conn, "COMMIT", NULL, 0))
    return true;
  report_status (conn);
  if (guard_term > 0 && conn->op->result.status.term != guard_term)
    conn->op->result.outcome = UP_LOST;
  if (writes && w->lose_after_commit[conn->group][conn->instance])
    {
      w->lose_after_commit[conn->group][conn->instance] = false;
      return false;
    }
  return true;
}

static bool
run_transaction (struct conn *conn)
{
  const struct wire_request *q = conn->op->request;

  run_discarding_rows (conn,
                       q->read_only
                           ? "BEGIN ISOLATION LEVEL REPEATABLE READ READ ONLY"
                           : "BEGIN",
                       NULL, 0);
  if (!run_guard (conn))
    return true;
  if (q->use_ledger && !q->read_only)
    read_ledger (conn);
  if (conn->op->result.ledger != UP_LEDGER_NONE)
    {
      conn->op->result.outcome = UP_DUPLICATE;
      grp_session_reset (&conn->session);
      return true;
    }
  if (!run_statements (conn))
    return true;
  if (q->read_only)
    {
      grp_session_reset (&conn->session);
      return true;
    }
  if (q->use_ledger && !insert_ledger (conn))
    return true;
  return commit (conn);
}

static bool
run_resolve (struct conn *conn)
{
  const char *args[] = { conn->op->request->request_id };

  run_discarding_rows (conn, "BEGIN", NULL, 0);
  if (!run_guard (conn))
    return true;
  run_discarding_rows (
      conn,
      "INSERT INTO cassiabay.ledger (request_id, outcome, digest, "
      "result) VALUES ($1, 'void', 0, '') ON CONFLICT DO NOTHING",
      args, 1);
  read_ledger (conn);
  return commit (conn);
}

static void
run_command (struct conn *conn)
{
  static const char *const sql[]
      = { [UP_FENCE] = "SELECT * FROM cassiabay.fence($1, $2)",
          [UP_PROMOTE] = "SELECT * FROM cassiabay.promote($1, $2)",
          [UP_FOLLOW] = "SELECT * FROM cassiabay.follow($1, $2)" };
  char term[24];
  const char *args[] = { term, conn->op->target };

  snprintf (term, sizeof term, "%lu", conn->op->up.term);
  if (run_discarding_rows (conn, sql[conn->op->up.kind], args, 2))
    report_status (conn);
}

/* Runs the operation at the instance; false when its reply is lost.  */
bool
wld_execute_op (struct conn *conn)
{
  const struct wire_request *q = conn->op->request;

  switch (conn->op->up.kind)
    {
    case UP_STATUS:
      report_status (conn);
      return true;
    case UP_FENCE:
    case UP_PROMOTE:
    case UP_FOLLOW:
      run_command (conn);
      return true;
    case UP_RUN:
      return run_transaction (conn);
    case UP_RESOLVE:
      return run_resolve (conn);
    case UP_BEGIN:
      run_discarding_rows (conn, q->read_only ? "BEGIN READ ONLY" : "BEGIN",
                           NULL, 0);
      run_guard (conn);
      return true;
    case UP_STATEMENTS:
      run_statements (conn);
      return true;
    case UP_COMMIT:
      if (q->use_ledger && !insert_ledger (conn))
        return true;
      return commit (conn);
    case UP_ROLLBACK:
      grp_session_reset (&conn->session);
      return true;
    case UP_PURGE:
      return true;
    }
  return true;
}
