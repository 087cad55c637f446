/* The statements that the fake database supports:

   BEGIN ..., COMMIT, ROLLBACK
   SELECT * FROM cassiabay.{status|guard|fence|promote|follow}(...)
   SELECT ... FROM cassiabay.ledger WHERE request_id = $1, INSERT, DELETE
   SELECT ... FROM t WHERE key = $1
   INSERT INTO t (key, value) VALUES ($1, $2)
   UPDATE t SET value = $2 WHERE key = $1
   UPDATE t SET value = value + $2 WHERE key = $1 (a missing row counts as 0)
   SELECT work($1): occupies its slot for $1 microseconds  */
#include "minisql.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define LEDGER "cassiabay.ledger"

struct run
{
  struct grp_session *s;
  const char *const *names;
  const char *sql;
  const char *const *args;
  uint32_t n_args;
  int64_t now_us;
  struct sql_result *out;
};

static void
fail (struct run *r, const char *state, const char *message)
{
  r->out->state = state;
  r->out->message = message;
  if (r->s->open)
    r->s->failed = true;
}

static const char *
arg (const struct run *r, uint32_t i)
{
  return i < r->n_args && r->args[i] ? r->args[i] : "";
}

static void
add_row (struct run *r, uint32_t n, const char *const *values)
{
  char **row = g_new0 (char *, n + 1);

  for (uint32_t i = 0; i < n; i++)
    row[i] = g_strdup (values[i]);
  g_ptr_array_add (r->out->rows, row);
}

static void
return_status (struct run *r)
{
  static const char *const columns[]
      = { "role",     "granted_term",    "term", "term_start", "last_term",
          "position", "source_silent_ms" };
  static const char *const roles[] = { "fenced", "replica", "primary" };
  struct qrm_status st;
  char n[6][24];
  const char *values[7];

  grp_tick (r->s->group, r->now_us);
  grp_status (r->s->group, r->s->instance, r->now_us, &st);
  snprintf (n[0], sizeof n[0], "%lu", st.granted_term);
  snprintf (n[1], sizeof n[1], "%lu", st.term);
  snprintf (n[2], sizeof n[2], "%lu", st.term_start);
  snprintf (n[3], sizeof n[3], "%lu", st.last_term);
  snprintf (n[4], sizeof n[4], "%lu", st.position);
  snprintf (n[5], sizeof n[5], "%ld", st.source_silent_ms);
  values[0] = roles[st.role];
  for (uint32_t i = 0; i < 6; i++)
    values[i + 1] = n[i];
  r->out->n_columns = 7;
  memcpy (r->out->columns, columns, sizeof columns);
  add_row (r, 7, values);
  strcpy (r->out->tag, "SELECT 1");
}

static void
return_status_line (struct run *r)
{
  char **row;
  char *line;

  return_status (r);
  row = g_ptr_array_index (r->out->rows, 0);
  line = g_strjoinv (" ", row);
  g_ptr_array_set_size (r->out->rows, 0);
  r->out->n_columns = 1;
  r->out->columns[0] = "status_line";
  add_row (r, 1, (const char *const *)&line);
  g_free (line);
}

static void
run_guard (struct run *r)
{
  uint64_t term = strtoull (arg (r, 0), NULL, 10);
  uint64_t position = strtoull (arg (r, 1), NULL, 10);
  bool replica = strcmp (arg (r, 2), "replica") == 0;
  struct qrm_status st;

  grp_tick (r->s->group, r->now_us);
  grp_status (r->s->group, r->s->instance, r->now_us, &st);
  if (!replica && (st.role != QRM_PRIMARY || st.term != term))
    fail (r, "CB001", "not the primary of this term");
  else if (replica
           && (st.role == QRM_FENCED || st.term < term
               || st.position < position))
    fail (r, "CB002", "the position is not reached");
  else
    {
      r->s->guard_term = replica ? 0 : term;
      return_status (r);
    }
}

static uint32_t
find_instance (const struct run *r, const char *name)
{
  for (uint32_t i = 0; i < r->s->group->n; i++)
    if (strcmp (r->names[i], name) == 0)
      return i;
  return 0;
}

static void
run_function (struct run *r, const char *name)
{
  struct grp *g = r->s->group;
  uint32_t i = r->s->instance;
  uint64_t term = strtoull (arg (r, 0), NULL, 10);
  bool ok = true;

  if (g_str_has_prefix (name, "guard"))
    {
      run_guard (r);
      return;
    }
  if (g_str_has_prefix (name, "fence"))
    ok = grp_fence (g, i, term, arg (r, 1));
  else if (g_str_has_prefix (name, "promote"))
    ok = grp_promote (g, i, term, arg (r, 1), r->now_us);
  else if (g_str_has_prefix (name, "follow"))
    ok = grp_follow (g, i, term, find_instance (r, arg (r, 1)), r->now_us);
  if (ok)
    return_status (r);
  else
    fail (r, "CB003", "the term is granted to another");
}

static bool
check_writable (struct run *r)
{
  const struct grp_instance *inst = &r->s->group->instances[r->s->instance];

  if (r->s->read_only)
    fail (r, "25006", "cannot write in a read-only transaction");
  else if (inst->role != QRM_PRIMARY)
    fail (r, "CB001", "not the primary");
  else
    return true;
  return false;
}

static void
write_row (struct run *r, enum grp_op_kind kind, const char *table,
           const char *key, const char *value, const char *tag)
{
  char *full_key = g_strdup_printf ("%s/%s", table, key);

  if (!check_writable (r))
    ;
  else if (kind == GRP_INSERT
           && grp_read (r->s->group, r->s->instance, full_key))
    fail (r, "23505", "duplicate key");
  else
    {
      grp_session_add (r->s, kind, full_key, value);
      strcpy (r->out->tag, tag);
      if (!r->s->open)
        r->out->state = grp_commit (r->s, r->now_us);
    }
  g_free (full_key);
}

static void
read_row (struct run *r, const char *table, const char *key)
{
  char *full_key = g_strdup_printf ("%s/%s", table, key);
  const char *value;
  const char *values[2];

  grp_tick (r->s->group, r->now_us);
  value = grp_read (r->s->group, r->s->instance, full_key);
  r->out->n_columns = 2;
  r->out->columns[0] = "key";
  r->out->columns[1] = "value";
  values[0] = key;
  values[1] = value;
  if (value)
    add_row (r, 2, values);
  snprintf (r->out->tag, sizeof r->out->tag, "SELECT %d", value ? 1 : 0);
  g_free (full_key);
}

/* Ledger rows are stored as outcome|digest|result.  Uncommitted rows of the
   session are seen too.  */
static void
read_ledger (struct run *r)
{
  char *full_key = g_strdup_printf (LEDGER "/%s", arg (r, 0));
  const char *value = grp_read (r->s->group, r->s->instance, full_key);
  char **parts = NULL;

  r->out->n_columns = 3;
  r->out->columns[0] = "outcome";
  r->out->columns[1] = "digest";
  r->out->columns[2] = "result";
  for (uint32_t i = 0; i < r->s->ops->len && !value; i++)
    {
      const struct grp_op *op = g_ptr_array_index (r->s->ops, i);

      if (strcmp (op->key, full_key) == 0)
        value = op->value;
    }
  if (value)
    {
      parts = g_strsplit (value, "|", 3);
      add_row (r, 3, (const char *const *)parts);
    }
  strcpy (r->out->tag, value ? "SELECT 1" : "SELECT 0");
  g_strfreev (parts);
  g_free (full_key);
}

static void
insert_ledger (struct run *r)
{
  bool tombstone = strstr (r->sql, "'void'") != NULL;
  char *full_key = g_strdup_printf (LEDGER "/%s", arg (r, 0));
  bool known = grp_read (r->s->group, r->s->instance, full_key) != NULL;
  char *value;

  g_free (full_key);
  strcpy (r->out->tag, "INSERT 0 0");
  if (tombstone && known)
    return;
  value = tombstone ? g_strdup ("void|0|")
                    : g_strdup_printf ("%s|%s|%s", arg (r, 1), arg (r, 2),
                                       arg (r, 3));
  write_row (r, GRP_INSERT, LEDGER, arg (r, 0), value, "INSERT 0 1");
  g_free (value);
}

static void
run_query (struct run *r)
{
  char table[64];

  if (sscanf (r->sql, "INSERT INTO %63[a-z_] (key, value)", table) == 1)
    write_row (r, GRP_INSERT, table, arg (r, 0), arg (r, 1), "INSERT 0 1");
  else if (strstr (r->sql, "value + $2")
           && sscanf (r->sql, "UPDATE %63[a-z_] SET", table) == 1)
    write_row (r, GRP_ADD, table, arg (r, 0), arg (r, 1), "UPDATE 1");
  else if (sscanf (r->sql, "UPDATE %63[a-z_] SET", table) == 1)
    write_row (r, GRP_SET, table, arg (r, 0), arg (r, 1), "UPDATE 1");
  else if (g_str_has_prefix (r->sql, "SELECT work("))
    {
      r->out->service_us = atoll (arg (r, 0));
      strcpy (r->out->tag, "SELECT 0");
    }
  else if (strstr (r->sql, " FROM ")
           && sscanf (strstr (r->sql, " FROM "), " FROM %63[a-z_] WHERE key",
                      table)
                  == 1)
    read_row (r, table, arg (r, 0));
  else
    fail (r, "42601", "statement not supported by the fake database");
}

static void
run_transaction (struct run *r)
{
  const char *state;

  if (r->sql[0] == 'B')
    {
      grp_session_reset (r->s);
      r->s->open = true;
      r->s->read_only = strstr (r->sql, "READ ONLY") != NULL;
      strcpy (r->out->tag, "BEGIN");
    }
  else if (r->sql[0] == 'R' || r->s->failed)
    {
      grp_session_reset (r->s);
      strcpy (r->out->tag, "ROLLBACK");
    }
  else
    {
      state = grp_commit (r->s, r->now_us);
      strcpy (r->out->tag, "COMMIT");
      if (state)
        fail (r, state, "the commit failed");
    }
}

bool
sql_needs_slot (const char *sql)
{
  return strstr (sql, "cassiabay.") == NULL && !g_str_has_prefix (sql, "BEGIN")
         && !g_str_has_prefix (sql, "COMMIT")
         && !g_str_has_prefix (sql, "ROLLBACK");
}

void
sql_run (struct grp_session *s, const char *const *names, const char *sql,
         const char *const *args, uint32_t n_args, int64_t now_us,
         struct sql_result *out)
{
  struct run r = { s, names, sql, args, n_args, now_us, out };

  memset (out, 0, sizeof *out);
  out->rows = g_ptr_array_new_with_free_func ((GDestroyNotify)g_strfreev);
  out->service = sql_needs_slot (sql);
  if (g_str_has_prefix (sql, "BEGIN") || g_str_has_prefix (sql, "COMMIT")
      || g_str_has_prefix (sql, "ROLLBACK"))
    run_transaction (&r);
  else if (s->failed)
    fail (&r, "25P02", "the transaction has failed");
  else if (strcmp (sql, "SELECT cassiabay.status_line()") == 0)
    return_status_line (&r);
  else if (g_str_has_prefix (sql, "SELECT * FROM cassiabay."))
    run_function (&r, sql + strlen ("SELECT * FROM cassiabay."));
  else if (g_str_has_prefix (sql, "SELECT outcome"))
    read_ledger (&r);
  else if (g_str_has_prefix (sql, "INSERT INTO " LEDGER))
    insert_ledger (&r);
  else if (g_str_has_prefix (sql, "DELETE FROM " LEDGER))
    write_row (&r, GRP_DELETE_BELOW, LEDGER, arg (&r, 0), NULL, "DELETE 0");
  else
    run_query (&r);
}

void
sql_clear (struct sql_result *result)
{
  g_ptr_array_free (result->rows, TRUE);
}
