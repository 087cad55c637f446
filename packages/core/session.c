/* Sessions: values and prepared statements.  */
#include "session.h"

#include <string.h>

struct ses_shapes
{
  GHashTable *by_key; /* key -> struct ses_shape * */
  uint32_t next_id;
};

struct ses_shapes *
ses_shapes_new (void)
{
  struct ses_shapes *shapes = g_new0 (struct ses_shapes, 1);

  shapes->by_key = g_hash_table_new (g_str_hash, g_str_equal);
  shapes->next_id = 1;
  return shapes;
}

void
ses_shapes_free (struct ses_shapes *shapes)
{
  g_hash_table_destroy (shapes->by_key);
  g_free (shapes);
}

static struct ses_shape *
hold_shape (struct ses_shapes *shapes, bool writes, const char *text)
{
  char *key = g_strdup_printf ("%c%s", writes ? 'w' : 'r', text);
  struct ses_shape *shape = g_hash_table_lookup (shapes->by_key, key);

  if (shape)
    g_free (key);
  else
    {
      shape = g_new0 (struct ses_shape, 1);
      shape->id = shapes->next_id++;
      shape->writes = writes;
      shape->text = g_strdup (text);
      shape->key = key;
      g_snprintf (shape->upstream_name, sizeof shape->upstream_name, "p%u",
                  shape->id);
      g_hash_table_insert (shapes->by_key, key, shape);
    }
  shape->holders++;
  return shape;
}

static void
release_shape (struct ses_shapes *shapes, struct ses_shape *shape)
{
  if (--shape->holders > 0)
    return;
  g_hash_table_remove (shapes->by_key, shape->key);
  g_free (shape->key);
  g_free (shape->text);
  g_free (shape);
}

struct ses *
ses_new (void *tag, const char *database, int64_t now_us)
{
  struct ses *s = g_new0 (struct ses, 1);

  s->tag = tag;
  s->database = g_strdup (database);
  s->rested_us = now_us;
  s->node.data = s;
  s->active.data = s;
  s->waiting.data = s;
  return s;
}

void
ses_reset (struct ses *s, struct ses_shapes *shapes)
{
  GHashTableIter iter;
  gpointer shape;

  if (s->prepared)
    {
      g_hash_table_iter_init (&iter, s->prepared);
      while (g_hash_table_iter_next (&iter, NULL, &shape))
        release_shape (shapes, shape);
      g_hash_table_destroy (s->prepared);
    }
  if (s->values)
    g_hash_table_destroy (s->values);
  s->prepared = NULL;
  s->values = NULL;
  s->values_sum = 0;
}

void
ses_free (struct ses *s, struct ses_shapes *shapes)
{
  ses_reset (s, shapes);
  g_free (s->relay_to);
  g_free (s->text);
  g_free (s->database);
  g_free (s);
}

/* Appends TEXT to the buffer at *AT; returns the copy.  */
static const char *
put_text (char **at, const char *text)
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
ses_take (struct ses *s, const struct stm *statement, int64_t now_us)
{
  char *at;

  g_free (s->text);
  s->text = g_malloc (size_of (statement->id) + size_of (statement->name)
                      + size_of (statement->args) + 1);
  at = s->text;
  s->statement = *statement;
  s->statement.id = put_text (&at, statement->id);
  s->statement.name = put_text (&at, statement->name);
  s->statement.args = put_text (&at, statement->args);
  s->arrived_us = now_us;
  s->retry_us = 0;
  s->tries = 0;
  s->tries_behind = 0;
  s->avoid = NULL;
  s->proving = false;
  s->wrapped = false;
}

void
ses_rest (struct ses *s, int64_t now_us)
{
  g_free (s->text);
  s->text = NULL;
  memset (&s->statement, 0, sizeof s->statement);
  s->stage = SES_RESTING;
  s->rested_us = now_us;
}

static void
fail (struct stm_end *end, enum sqc code, const char *text)
{
  end->ok = false;
  end->code = code;
  end->text = text;
}

static void
set_value (struct ses *s, const struct stm *statement, struct stm_end *end)
{
  const char *old;

  if (!s->values)
    s->values
        = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  old = g_hash_table_lookup (s->values, statement->name);
  if (!old && g_hash_table_size (s->values) >= SES_VALUES_MAX)
    {
      fail (end, SQC_TOO_LARGE, "too many session values");
      return;
    }
  if (old)
    s->values_sum -= ul_value_digest (statement->name, old);
  s->values_sum += ul_value_digest (statement->name, statement->args);
  g_hash_table_replace (s->values, g_strdup (statement->name),
                        g_strdup (statement->args));
}

static void
forget (struct ses *s, struct ses_shapes *shapes, const char *name)
{
  struct ses_shape *shape
      = s->prepared ? g_hash_table_lookup (s->prepared, name) : NULL;

  if (!shape)
    return;
  g_hash_table_remove (s->prepared, name);
  release_shape (shapes, shape);
}

static void
prepare (struct ses *s, struct ses_shapes *shapes, const struct stm *statement,
         struct stm_end *end)
{
  bool writes = statement->kind == STM_PREPARE_WRITE;
  struct ses_shape *shape;

  if (!s->prepared)
    s->prepared
        = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  if (g_hash_table_size (s->prepared) >= SES_PREPARED_MAX
      && !g_hash_table_contains (s->prepared, statement->name))
    {
      fail (end, SQC_TOO_LARGE, "too many prepared statements");
      return;
    }
  shape = hold_shape (shapes, writes, statement->args);
  forget (s, shapes, statement->name);
  g_hash_table_insert (s->prepared, g_strdup (statement->name), shape);
}

bool
ses_run_local (struct ses *s, struct ses_shapes *shapes,
               const struct stm *statement, struct stm_end *end)
{
  memset (end, 0, sizeof *end);
  end->ok = true;
  end->state = s->state;
  switch (statement->kind)
    {
    case STM_SET:
      set_value (s, statement, end);
      return true;
    case STM_PREPARE_READ:
    case STM_PREPARE_WRITE:
      prepare (s, shapes, statement, end);
      return true;
    case STM_FORGET:
      forget (s, shapes, statement->name);
      return true;
    default:
      return false;
    }
}

const struct ses_shape *
ses_shape_of (const struct ses *s, const struct stm *statement)
{
  return s->prepared ? g_hash_table_lookup (s->prepared, statement->name)
                     : NULL;
}
