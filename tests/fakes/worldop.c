/* The world's instances at work: one op on one connection.  */
#include "worldint.h"

#include "minisql.h"
#include <stdio.h>
#include <string.h>

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
    op->result.outcome = UP_REJECTED;
  else if (strcmp (state, "25006") == 0)
    op->result.outcome = UP_READ_ONLY;
  else if (strcmp (state, "23505") == 0 && op->request
           && op->request->use_ledger
           && (strstr (sql, "cassiabay.ledger") || sql[0] == 'C'))
    op->result.outcome = UP_DUPLICATE;
  else
    op->result.outcome = UP_SQL_ERROR;
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
      = { term, position, p->op->up.allow_replica ? "replica" : "primary",
          "0" };

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
    p->op->result.outcome = UP_LOST;
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

  run_plain (p,
             q->read_only ? "BEGIN ISOLATION LEVEL REPEATABLE READ READ ONLY"
                          : "BEGIN",
             NULL, 0);
  if (!run_guard (p))
    return true;
  if (q->use_ledger && !q->read_only)
    find_ledger (p);
  if (p->op->result.ledger != UP_LEDGER_NONE)
    {
      p->op->result.outcome = UP_DUPLICATE;
      grp_session_reset (&p->session);
      return true;
    }
  if (!run_statements (p))
    return true;
  if (q->read_only)
    {
      grp_session_reset (&p->session);
      return true;
    }
  if (q->use_ledger && !insert_ledger (p))
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
bool
wld_run_op (struct pipe *p)
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
      run_plain (p, q->read_only ? "BEGIN READ ONLY" : "BEGIN", NULL, 0);
      run_guard (p);
      return true;
    case UP_STATEMENTS:
      run_statements (p);
      return true;
    case UP_COMMIT:
      if (q->use_ledger && !insert_ledger (p))
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
