/* Session values, prepared statements, and the statement under way.  */
#include "session.h"

#include <string.h>

struct ses_prepared_table
{
  GHashTable *by_key; /* key -> struct ses_prepared * */
  uint32_t next_id;
  size_t kept_bytes; /* of all sessions; shared texts count for each */
  size_t max_bytes;
};

struct ses_prepared_table *
ses_prepared_table_new (void)
{
  struct ses_prepared_table *table = g_new0 (struct ses_prepared_table, 1);

  table->by_key = g_hash_table_new (g_str_hash, g_str_equal);
  table->next_id = 1;
  table->max_bytes = SIZE_MAX;
  return table;
}

void
ses_prepared_table_set_max (struct ses_prepared_table *table, size_t max_bytes)
{
  table->max_bytes = max_bytes;
}

/* Returns true if S may keep BYTES more.  */
static bool
may_keep (const struct ses_prepared_table *table, const struct ses *s,
          size_t bytes)
{
  return table->kept_bytes + bytes <= table->max_bytes
         || s->kept_bytes + bytes <= SES_KEPT_SMALL_BYTES;
}

static void
keep (struct ses_prepared_table *table, struct ses *s, size_t bytes)
{
  table->kept_bytes += bytes;
  s->kept_bytes += bytes;
}

static void
unkeep (struct ses_prepared_table *table, struct ses *s, size_t bytes)
{
  table->kept_bytes -= bytes;
  s->kept_bytes -= bytes;
}

void
ses_prepared_table_free (struct ses_prepared_table *table)
{
  g_hash_table_destroy (table->by_key);
  g_free (table);
}

static struct ses_prepared *
acquire_prepared (struct ses_prepared_table *table, bool writes,
                  const char *text)
{
  char *key = g_strdup_printf ("%c%s", writes ? 'w' : 'r', text);
  struct ses_prepared *prepared = g_hash_table_lookup (table->by_key, key);

  if (prepared)
    g_free (key);
  else
    {
      prepared = g_new0 (struct ses_prepared, 1);
      prepared->id = table->next_id++;
      prepared->writes = writes;
      prepared->text = g_strdup (text);
      prepared->key = key;
      g_snprintf (prepared->upstream_name, sizeof prepared->upstream_name,
                  "p%u", prepared->id);
      g_hash_table_insert (table->by_key, key, prepared);
    }
  prepared->refcount++;
  return prepared;
}

static void
release_prepared (struct ses_prepared_table *table,
                  struct ses_prepared *prepared)
{
  if (--prepared->refcount > 0)
    return;
  g_hash_table_remove (table->by_key, prepared->key);
  g_free (prepared->key);
  g_free (prepared->text);
  g_free (prepared);
}

struct ses *
ses_new (void *tag, const char *database, int64_t now_us)
{
  struct ses *s = g_new0 (struct ses, 1);

  s->tag = tag;
  s->database = g_strdup (database);
  s->idle_since_us = now_us;
  s->node.data = s;
  s->active_node.data = s;
  s->waiting_node.data = s;
  return s;
}

void
ses_reset (struct ses *s, struct ses_prepared_table *table)
{
  GHashTableIter iter;
  gpointer prepared;

  if (s->prepared)
    {
      g_hash_table_iter_init (&iter, s->prepared);
      while (g_hash_table_iter_next (&iter, NULL, &prepared))
        release_prepared (table, prepared);
      g_hash_table_destroy (s->prepared);
    }
  if (s->values)
    g_hash_table_destroy (s->values);
  s->prepared = NULL;
  s->values = NULL;
  s->values_digest = 0;
  unkeep (table, s, s->kept_bytes);
}

void
ses_free (struct ses *s, struct ses_prepared_table *table)
{
  ses_reset (s, table);
  g_free (s->relay_instance);
  g_free (s->account);
  g_free (s->text);
  g_free (s->database);
  g_free (s);
}

/* Appends TEXT, with its terminator, to the buffer at *AT and advances *AT.
   Returns the copy, NULL when TEXT is NULL.  */
static const char *
append_text (char **at, const char *text)
{
  const char *copy = *at;

  if (!text)
    return NULL;
  *at = stpcpy (*at, text) + 1;
  return copy;
}

static size_t
size_of (const char *text)
{
  return text ? strlen (text) + 1 : 0;
}

void
ses_set_statement (struct ses *s, const struct stm *statement, int64_t now_us)
{
  char *at;

  g_free (s->text);
  s->text = g_malloc (size_of (statement->id) + size_of (statement->name)
                      + size_of (statement->args) + 1);
  at = s->text;
  s->statement = *statement;
  s->statement.id = append_text (&at, statement->id);
  s->statement.name = append_text (&at, statement->name);
  s->statement.args = append_text (&at, statement->args);
  s->statement.account = NULL;
  s->arrived_us = now_us;
  s->retry_after_us = 0;
  s->tries = 0;
  s->tries_behind = 0;
  s->tries_lost = 0;
  s->avoid = NULL;
  s->awaits_begin = false;
  s->proxy_transaction = false;
}

void
ses_set_account (struct ses *s, const char *account)
{
  if (g_strcmp0 (s->account, account) == 0)
    return;
  g_free (s->account);
  s->account = g_strdup (account);
}

void
ses_clear_statement (struct ses *s, int64_t now_us)
{
  g_free (s->text);
  s->text = NULL;
  memset (&s->statement, 0, sizeof s->statement);
  s->stage = SES_IDLE;
  s->idle_since_us = now_us;
}

static const char no_memory[]
    = "no memory for more prepared statements and session values";

static void
fail (struct stm_result *result, enum sqc code, const char *text)
{
  result->ok = false;
  result->code = code;
  result->detail = text;
}

static void
set_value (struct ses *s, struct ses_prepared_table *table,
           const struct stm *statement, struct stm_result *result)
{
  size_t bytes = size_of (statement->name) + size_of (statement->args);
  const char *old;

  if (!s->values)
    s->values
        = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  old = g_hash_table_lookup (s->values, statement->name);
  if (!old && g_hash_table_size (s->values) >= SES_VALUES_MAX)
    {
      fail (result, SQC_TOO_LARGE, "too many session values");
      return;
    }
  if (!may_keep (table, s, bytes))
    {
      fail (result, SQC_TOO_LARGE, no_memory);
      return;
    }
  keep (table, s, bytes);
  if (old)
    {
      unkeep (table, s, size_of (statement->name) + size_of (old));
      s->values_digest -= ul_value_digest (statement->name, old);
    }
  s->values_digest += ul_value_digest (statement->name, statement->args);
  g_hash_table_replace (s->values, g_strdup (statement->name),
                        g_strdup (statement->args));
}

/* The memory for a prepared statement: its text is kept twice.  */
static size_t
prepared_bytes (const char *name, const char *text)
{
  return size_of (name) + 2 * size_of (text);
}

static void
deallocate (struct ses *s, struct ses_prepared_table *table, const char *name)
{
  struct ses_prepared *prepared
      = s->prepared ? g_hash_table_lookup (s->prepared, name) : NULL;

  if (!prepared)
    return;
  unkeep (table, s, prepared_bytes (name, prepared->text));
  g_hash_table_remove (s->prepared, name);
  release_prepared (table, prepared);
}

static void
prepare (struct ses *s, struct ses_prepared_table *table,
         const struct stm *statement, struct stm_result *result)
{
  bool writes = statement->kind == STM_PREPARE_WRITE;
  struct ses_prepared *prepared;
  size_t bytes = prepared_bytes (statement->name, statement->args);

  if (!s->prepared)
    s->prepared
        = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  if (g_hash_table_size (s->prepared) >= SES_PREPARED_MAX
      && !g_hash_table_contains (s->prepared, statement->name))
    {
      fail (result, SQC_TOO_LARGE, "too many prepared statements");
      return;
    }
  if (!may_keep (table, s, bytes))
    {
      fail (result, SQC_TOO_LARGE, no_memory);
      return;
    }
  keep (table, s, bytes);
  prepared = acquire_prepared (table, writes, statement->args);
  deallocate (s, table, statement->name);
  g_hash_table_insert (s->prepared, g_strdup (statement->name), prepared);
}

bool
ses_run_local (struct ses *s, struct ses_prepared_table *table,
               const struct stm *statement, struct stm_result *result)
{
  memset (result, 0, sizeof *result);
  result->ok = true;
  result->state = s->state;
  switch (statement->kind)
    {
    case STM_SET:
      set_value (s, table, statement, result);
      return true;
    case STM_PREPARE_READ:
    case STM_PREPARE_WRITE:
      prepare (s, table, statement, result);
      return true;
    case STM_DEALLOCATE:
      deallocate (s, table, statement->name);
      return true;
    default:
      return false;
    }
}

const struct ses_prepared *
ses_find_prepared (const struct ses *s, const struct stm *statement)
{
  return s->prepared ? g_hash_table_lookup (s->prepared, statement->name)
                     : NULL;
}
