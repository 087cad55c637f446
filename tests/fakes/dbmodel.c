/* Model of a database group for tests of the session pooler.  */
#include "dbmodel.h"

#include <stdarg.h>
#include <string.h>

/* Replication delay without any added lag.  */
#define REPLICATION_DELAY_US 1000

struct dbm *
dbm_new (const char *prefix, uint32_t n, dbm_find_sender_fn *find_sender,
         void *arg)
{
  struct dbm *g = g_new0 (struct dbm, 1);

  g->n = n;
  g->entries = g_ptr_array_new ();
  g->term = 1;
  g->find_sender = find_sender;
  g->arg = arg;
  for (uint32_t k = 0; k < n; k++)
    {
      struct dbm_instance *i = &g->instances[k];

      i->group = g;
      i->index = k;
      g_snprintf (i->id, sizeof i->id, "%s-%u", prefix, k);
      i->primary = k == 0;
      i->log = g_ptr_array_new ();
      i->connections_max = 16;
      i->knows_pause = true;
    }
  return g;
}

void
dbm_free (struct dbm *g)
{
  for (uint32_t k = 0; k < g->n; k++)
    g_ptr_array_free (g->instances[k].log, TRUE);
  for (guint k = 0; k < g->entries->len; k++)
    {
      struct dbm_entry *e = g_ptr_array_index (g->entries, k);

      g_free (e->id);
      g_free (e);
    }
  g_ptr_array_free (g->entries, TRUE);
  g_free (g);
}

void
dbm_record_violation (struct dbm *g, const char *format, ...)
{
  va_list args;

  if (g->violations++ > 0)
    return;
  va_start (args, format);
  g_vsnprintf (g->first_violation, sizeof g->first_violation, format, args);
  va_end (args);
}

struct dbm_instance *
dbm_find (struct dbm *g, const char *id)
{
  for (uint32_t k = 0; k < g->n; k++)
    if (strcmp (g->instances[k].id, id) == 0)
      return &g->instances[k];
  return NULL;
}

struct dbm_instance *
dbm_primary (struct dbm *g)
{
  for (uint32_t k = 0; k < g->n; k++)
    if (g->instances[k].primary)
      return &g->instances[k];
  return NULL;
}

static struct logpos
last_position (const GPtrArray *log, guint len)
{
  struct logpos none = { 0 };

  return len == 0 ? none
                  : ((struct dbm_entry *)g_ptr_array_index (log, len - 1))
                        ->position;
}

/* How many entries of I's log its readers see.  */
static guint
count_visible (const struct dbm_instance *i, int64_t now_us)
{
  guint n = i->log->len;

  if (i->primary)
    return n;
  while (n > 0)
    {
      struct dbm_entry *e = g_ptr_array_index (i->log, n - 1);

      if (e->at_us + REPLICATION_DELAY_US + i->lag_us <= now_us)
        break;
      n--;
    }
  return n;
}

struct logpos
dbm_applied (const struct dbm_instance *i, int64_t now_us)
{
  return last_position (i->log, count_visible (i, now_us));
}

struct logpos
dbm_received (const struct dbm_instance *i)
{
  return last_position (i->log, i->log->len);
}

/* The entry of the first LEN of I's log that has the number of POSITION, NULL
   when there is none: numbers have no gaps.  */
static const struct dbm_entry *
entry_at (const struct dbm_instance *i, guint len, struct logpos position)
{
  if (position.number == 0 || position.number > len)
    return NULL;
  return g_ptr_array_index (i->log, position.number - 1);
}

static bool
holds_entry (const struct dbm_instance *i, guint len,
             const struct dbm_entry *e)
{
  return entry_at (i, len, e->position) == e;
}

static bool
holds_position (const struct dbm_instance *i, guint len, struct logpos p)
{
  const struct dbm_entry *e = entry_at (i, len, p);

  return e && lp_compare (e->position, p) == 0;
}

static bool
receives (const struct dbm_instance *i)
{
  return !i->isolated && !i->paused;
}

/* Counts the acknowledged commits that promoting NEW_PRIMARY loses.  */
static void
check_promotion (struct dbm *g, const struct dbm_instance *new_primary)
{
  const struct dbm_instance *old = dbm_primary (g);

  for (guint k = 0; g->sync_replicas > 0 && old && k < old->log->len; k++)
    {
      struct dbm_entry *e = g_ptr_array_index (old->log, k);

      if (e->acked_us > 0
          && !holds_entry (new_primary, new_primary->log->len, e))
        dbm_record_violation (
            g, "%s was promoted without the acknowledged commit %u.%lu",
            new_primary->id, e->position.term,
            (unsigned long)e->position.number);
    }
}

void
dbm_note_token (struct dbm *g, uint64_t token)
{
  if (!g->ignores_fences)
    return;
  if (token < g->last_fencing_token)
    dbm_record_violation (g, "a promotion has token %lu after %lu",
                          (unsigned long)token,
                          (unsigned long)g->last_fencing_token);
  g->last_fencing_token = MAX (g->last_fencing_token, token);
}

bool
dbm_promote (struct dbm *g, const char *id, uint64_t token, int64_t now_us)
{
  struct dbm_instance *new_primary = dbm_find (g, id);

  (void)now_us;
  if (!new_primary || (token < g->last_fencing_token && !g->ignores_fences))
    return false;
  g->last_fencing_token = MAX (g->last_fencing_token, token);
  if (new_primary->primary)
    return true;
  check_promotion (g, new_primary);
  g->term++;
  g->promotions++;
  for (uint32_t k = 0; k < g->n; k++)
    {
      struct dbm_instance *i = &g->instances[k];

      i->primary = i == new_primary;
      i->paused = false;
      if (i == new_primary)
        continue;
      g->rolled_back += i->log->len > new_primary->log->len
                            ? i->log->len - new_primary->log->len
                            : 0;
      if (i->isolated)
        continue;
      g_ptr_array_set_size (i->log, 0);
      for (guint e = 0; e < new_primary->log->len; e++)
        g_ptr_array_add (i->log, g_ptr_array_index (new_primary->log, e));
    }
  return true;
}

/* Connections.  */

struct dbm_conn *
dbm_connect (struct dbm_instance *i)
{
  struct dbm_conn *c = g_new0 (struct dbm_conn, 1);

  c->instance = i;
  c->writes = g_ptr_array_new_with_free_func (g_free);
  c->values = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  c->prepared
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  i->n_connections++;
  return c;
}

static void
end_transaction (struct dbm_conn *c)
{
  c->state = STM_IDLE;
  c->wrote = false;
  g_ptr_array_set_size (c->writes, 0);
  g_free (c->owner);
  c->owner = NULL;
}

void
dbm_disconnect (struct dbm_conn *c)
{
  end_transaction (c);
  c->instance->n_connections--;
  g_ptr_array_free (c->writes, TRUE);
  g_hash_table_destroy (c->values);
  g_hash_table_destroy (c->prepared);
  g_free (c);
}

/* Appends a commit.  Returns false if too few replicas have received it.  */
static bool
append_commit (struct dbm *g, const char *id, int64_t now_us)
{
  uint32_t received = 0;
  struct dbm_instance *primary = dbm_primary (g);
  struct dbm_entry *e = g_new0 (struct dbm_entry, 1);

  for (guint k = 0; k < primary->log->len; k++)
    {
      struct dbm_entry *old = g_ptr_array_index (primary->log, k);

      if (strcmp (old->id, id) == 0)
        dbm_record_violation (g, "statement %s took effect twice", id);
    }
  e->id = g_strdup (id);
  e->at_us = now_us;
  e->position.term = g->term;
  e->position.number = primary->log->len + 1;
  g_ptr_array_add (g->entries, e);
  for (uint32_t k = 0; k < g->n; k++)
    if (&g->instances[k] == primary || receives (&g->instances[k]))
      {
        struct dbm_instance *i = &g->instances[k];

        /* A replica that was isolated may lack entries, so all are copied.  */
        if (i != primary)
          {
            received++;
            g_ptr_array_set_size (i->log, 0);
            for (guint n = 0; n < primary->log->len; n++)
              g_ptr_array_add (i->log, g_ptr_array_index (primary->log, n));
          }
        g_ptr_array_add (i->log, e);
      }
  return received >= g->sync_replicas;
}

static struct dbm_entry *
find_entry (struct dbm *g, const char *id)
{
  for (guint k = 0; k < g->entries->len; k++)
    {
      struct dbm_entry *e = g_ptr_array_index (g->entries, k);

      if (strcmp (e->id, id) == 0)
        return e;
    }
  return NULL;
}

void
dbm_report_committed (struct dbm *g, const char *id, int64_t now_us)
{
  struct dbm_entry *e = find_entry (g, id);

  if (e)
    e->acked_us = now_us;
}

void
dbm_report_not_committed (struct dbm *g, const char *id)
{
  if (find_entry (g, id))
    dbm_record_violation (
        g, "statement %s took effect though it was reported as not committed",
        id);
}

/* Checks of the statements that are run.  */

static void
check_session_values (struct dbm_conn *c, const struct stm *s,
                      const struct dbm_sender *sender)
{
  GHashTableIter iter;
  gpointer name;
  gpointer value;
  guint n = sender->values ? g_hash_table_size (sender->values) : 0;

  if (g_hash_table_size (c->values) != n)
    dbm_record_violation (
        c->instance->group,
        "statement %s ran with %u session values, expected %u", s->id,
        g_hash_table_size (c->values), n);
  if (!sender->values)
    return;
  g_hash_table_iter_init (&iter, sender->values);
  while (g_hash_table_iter_next (&iter, &name, &value))
    if (g_strcmp0 (g_hash_table_lookup (c->values, name), value) != 0)
      dbm_record_violation (c->instance->group,
                            "statement %s ran with a wrong session value",
                            s->id);
}

static void
check_freshness (struct dbm_conn *c, const struct stm *s,
                 const struct dbm_sender *sender, int64_t now_us)
{
  struct dbm_instance *i = c->instance;
  struct dbm *g = i->group;
  struct dbm_instance *primary = dbm_primary (g);
  guint n_visible = count_visible (i, now_us);
  int64_t limit_us
      = sender->first_byte_us - MAX (sender->max_age_us, (int64_t)0);

  /* Only commits that no promotion has rolled back count.  */
  for (guint k = 0; primary && k < primary->log->len; k++)
    {
      struct dbm_entry *e = g_ptr_array_index (primary->log, k);
      bool own_commit = lp_is_known (sender->own_commit)
                        && lp_compare (e->position, sender->own_commit) == 0;

      if (e->acked_us == 0 || (e->acked_us >= limit_us && !own_commit))
        continue;
      if (!holds_entry (i, n_visible, e))
        dbm_record_violation (
            g,
            "read %s at %s misses commit %u.%lu, acknowledged %ld us before "
            "its limit; first byte %ld us ago, max age %ld us%s",
            s->id, i->id, e->position.term, (unsigned long)e->position.number,
            (long)(limit_us - e->acked_us),
            (long)(now_us - sender->first_byte_us), (long)sender->max_age_us,
            own_commit ? ", commit of its own session" : "");
    }
}

static void
check_statement (struct dbm_conn *c, const struct stm *s, bool writes,
                 int64_t now_us)
{
  struct dbm *g = c->instance->group;
  struct dbm_sender sender = { 0 };

  if (!g->find_sender)
    return;
  if (!s->id || !g->find_sender (g->arg, s->id, &sender))
    {
      dbm_record_violation (g, "statement %s was run but no session sent it",
                            s->id ? s->id : "-");
      return;
    }
  if (sender.in_transaction && c->state != STM_OPEN)
    dbm_record_violation (g, "statement %s ran outside its transaction",
                          s->id);
  if (c->state == STM_OPEN && sender.in_transaction && c->owner
      && strcmp (c->owner, sender.session) != 0)
    dbm_record_violation (g, "statement %s ran in the transaction of %s",
                          s->id, c->owner);
  if (c->state == STM_OPEN && !sender.in_transaction
      && (c->owner || c->wrote || writes))
    dbm_record_violation (g, "statement %s outside a transaction ran in one",
                          s->id);
  if (sender.in_transaction && !c->owner)
    c->owner = g_strdup (sender.session);
  check_session_values (c, s, &sender);
  if (s->kind == STM_EXECUTE
      && g_strcmp0 (g_hash_table_lookup (c->prepared, s->name),
                    sender.prepared_text)
             != 0)
    dbm_record_violation (g, "statement %s ran another prepared statement",
                          s->id);
  if (!writes && s->kind != STM_COMMIT)
    check_freshness (c, s, &sender, now_us);
}

/* Statements.  */

static void
fail_statement (struct dbm_conn *c, struct stm_result *result, enum sqc code)
{
  result->ok = false;
  result->code = code;
  if (c->state == STM_OPEN)
    c->state = STM_FAILED;
}

static void
begin (struct dbm_conn *c, bool needs_primary, struct logpos after,
       struct stm_result *result, int64_t now_us)
{
  if (needs_primary && !c->instance->primary)
    fail_statement (c, result, SQC_READ_ONLY);
  else if (lp_is_known (after)
           && !holds_position (c->instance,
                               count_visible (c->instance, now_us), after))
    fail_statement (c, result, SQC_BEHIND);
  else
    {
      c->state = STM_OPEN;
      c->needs_primary = needs_primary;
    }
}

static void
commit (struct dbm_conn *c, struct stm_result *result, int64_t now_us)
{
  if (c->state != STM_OPEN)
    {
      fail_statement (c, result, SQC_MALFORMED);
      end_transaction (c);
      return;
    }
  if (c->wrote && !c->instance->primary)
    fail_statement (c, result, SQC_READ_ONLY);
  else
    for (guint k = 0; k < c->writes->len; k++)
      c->unacknowledged |= !append_commit (
          c->instance->group, g_ptr_array_index (c->writes, k), now_us);
  end_transaction (c);
}

static void
run_statement (struct dbm_conn *c, bool writes, struct logpos after,
               const struct stm *s, struct stm_result *result, int64_t now_us)
{
  struct dbm_instance *i = c->instance;

  if (!i->primary && (writes || (c->state == STM_OPEN && c->needs_primary)))
    fail_statement (c, result, SQC_READ_ONLY);
  else if (lp_is_known (after)
           && !holds_position (i, count_visible (i, now_us), after))
    fail_statement (c, result, SQC_BEHIND);
  else
    {
      check_statement (c, s, writes, now_us);
      if (writes && c->state == STM_OPEN)
        {
          c->wrote = true;
          g_ptr_array_add (c->writes, g_strdup (s->id));
        }
      else if (writes)
        c->unacknowledged |= !append_commit (i->group, s->id, now_us);
    }
}

static void
execute (struct dbm_conn *c, struct logpos after, const struct stm *s,
         struct stm_result *result, int64_t now_us)
{
  const char *prepared_text = g_hash_table_lookup (c->prepared, s->name);

  if (prepared_text)
    run_statement (c, prepared_text[0] == 'w', after, s, result, now_us);
  else
    fail_statement (c, result, SQC_NO_STATEMENT);
}

static void
report_status (const struct dbm_conn *c, struct stm_result *result)
{
  static struct stm_status row;

  memset (&row, 0, sizeof row);
  row.primary = c->instance->primary;
  row.term = c->instance->group->term;
  row.received = dbm_received (c->instance);
  result->status = &row;
}

/* Stops or restarts the reception of the log.  */
static void
set_paused (struct dbm_conn *c, const struct stm *s, struct stm_result *result)
{
  struct dbm_instance *i = c->instance;

  /* An unknown command gets an error or an empty result.  */
  if (!i->knows_pause)
    {
      if (i->index % 2 == 0)
        fail_statement (c, result, SQC_MALFORMED);
      return;
    }
  if (s->kind == STM_PAUSE && i->pauses_to_fail > 0)
    {
      i->pauses_to_fail--;
      fail_statement (c, result, SQC_FAILED);
      return;
    }
  if (s->kind == STM_RESUME)
    i->paused = false;
  else if (s->term > i->group->term && !i->primary)
    i->paused = true;
  report_status (c, result);
}

/* Session values and prepared statements.  */
static void
set_session_state (struct dbm_conn *c, const struct stm *s)
{
  const char *mode = s->kind == STM_PREPARE_WRITE ? "w" : "r";

  if (s->kind == STM_SET)
    g_hash_table_replace (c->values, g_strdup (s->name), g_strdup (s->args));
  else if (s->kind == STM_RESET)
    {
      g_hash_table_remove_all (c->values);
      g_hash_table_remove_all (c->prepared);
    }
  else
    g_hash_table_replace (c->prepared, g_strdup (s->name),
                          g_strconcat (mode, s->args, NULL));
}

void
dbm_run (struct dbm_conn *c, struct logpos after, const struct stm *s,
         struct stm_result *result, int64_t now_us)
{
  static char signature[96];
  struct dbm_instance *i = c->instance;

  memset (result, 0, sizeof *result);
  result->ok = true;
  if (c->state == STM_FAILED && s->kind != STM_ROLLBACK
      && s->kind != STM_COMMIT)
    fail_statement (c, result, SQC_MALFORMED);
  else
    switch (s->kind)
      {
      case STM_BEGIN:
      case STM_BEGIN_READ:
        begin (c, s->kind == STM_BEGIN, after, result, now_us);
        break;
      case STM_COMMIT:
        check_statement (c, s, false, now_us);
        commit (c, result, now_us);
        break;
      case STM_ROLLBACK:
        end_transaction (c);
        break;
      case STM_READ:
      case STM_WRITE:
        run_statement (c, s->kind == STM_WRITE, after, s, result, now_us);
        break;
      case STM_EXECUTE:
        execute (c, after, s, result, now_us);
        break;
      case STM_SET:
      case STM_PREPARE_READ:
      case STM_PREPARE_WRITE:
      case STM_RESET:
        set_session_state (c, s);
        break;
      case STM_STATUS:
        report_status (c, result);
        break;
      case STM_STEP_DOWN:
        if (s->term > i->group->term)
          i->primary = false;
        report_status (c, result);
        break;
      case STM_PAUSE:
      case STM_RESUME:
        set_paused (c, s, result);
        break;
      case STM_DEALLOCATE:
      case STM_MALFORMED:
        fail_statement (c, result, SQC_MALFORMED);
        break;
      }
  result->state = c->state;
  result->position = dbm_applied (i, now_us);
  g_snprintf (signature, sizeof signature, "sig-%s-%s", i->id,
              s->id ? s->id : "own");
  result->signature = s->id ? signature : NULL;
}
