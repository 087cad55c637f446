/* Model of a database group for tests of the HTTP path.  */
#include "group.h"

#include <stdlib.h>
#include <string.h>

static void
unref_entry (gpointer data)
{
  struct grp_entry *e = data;

  if (--e->refs > 0)
    return;
  for (uint32_t i = 0; i < e->n; i++)
    {
      g_free (e->writes[i].key);
      g_free (e->writes[i].value);
    }
  g_free (e->writes);
  g_free (e);
}

void
grp_init (struct grp *g, uint32_t n, int64_t delay_us)
{
  memset (g, 0, sizeof *g);
  g->n = n;
  g->delay_us = delay_us;
  for (uint32_t i = 0; i < n; i++)
    {
      g->instances[i].log = g_ptr_array_new_with_free_func (unref_entry);
      g->instances[i].data
          = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
    }
}

void
grp_free (struct grp *g)
{
  for (uint32_t i = 0; i < g->n; i++)
    {
      g_ptr_array_free (g->instances[i].log, TRUE);
      g_hash_table_destroy (g->instances[i].data);
    }
}

static void
apply_entry (struct grp_instance *inst, const struct grp_entry *e)
{
  for (uint32_t i = 0; i < e->n; i++)
    if (e->writes[i].value)
      g_hash_table_replace (inst->data, g_strdup (e->writes[i].key),
                            g_strdup (e->writes[i].value));
    else
      g_hash_table_remove (inst->data, e->writes[i].key);
}

static void
append_entry (struct grp_instance *inst, struct grp_entry *e)
{
  e->refs++;
  g_ptr_array_add (inst->log, e);
  apply_entry (inst, e);
}

static void
truncate_log (struct grp_instance *inst, uint32_t len)
{
  if (inst->log->len == len)
    return;
  g_ptr_array_set_size (inst->log, (gint)len);
  g_hash_table_remove_all (inst->data);
  for (uint32_t i = 0; i < len; i++)
    apply_entry (inst, g_ptr_array_index (inst->log, i));
}

static bool
can_replicate (const struct grp_instance *a, const struct grp_instance *b)
{
  return !a->down && !b->down && !a->paused && !b->paused && !a->isolated
         && !b->isolated;
}

/* Length of the common prefix of two logs.  Entries are shared between logs,
   so pointers are compared.  */
static uint32_t
common_length (const GPtrArray *a, const GPtrArray *b)
{
  uint32_t n = MIN (a->len, b->len);

  while (n > 0 && g_ptr_array_index (a, n - 1) != g_ptr_array_index (b, n - 1))
    n--;
  return n;
}

static void
replicate (struct grp *g, struct grp_instance *to, int64_t now_us)
{
  struct grp_instance *from = &g->instances[to->source];
  int64_t delay_us = g->delay_us + to->lag_us;

  if (to->role != QRM_REPLICA || to->granted_term != to->term
      || !can_replicate (from, to) || from->role != QRM_PRIMARY
      || from->term != to->term || from == to)
    return;
  to->last_contact_us = now_us;
  to->term_start = from->term_start;
  if (!to->log_matched)
    {
      truncate_log (to, common_length (to->log, from->log));
      to->log_matched = true;
    }
  while (to->log->len < from->log->len)
    {
      struct grp_entry *e = g_ptr_array_index (from->log, to->log->len);

      if (e->created_us + delay_us > now_us)
        break;
      append_entry (to, e);
    }
}

void
grp_tick (struct grp *g, int64_t now_us)
{
  for (uint32_t i = 0; i < g->n; i++)
    replicate (g, &g->instances[i], now_us);
}

static uint64_t
last_term (const struct grp_instance *inst)
{
  const struct grp_entry *e;

  if (inst->log->len == 0)
    return 0;
  e = g_ptr_array_index (inst->log, inst->log->len - 1);
  return e->term;
}

void
grp_status (const struct grp *g, uint32_t i, int64_t now_us,
            struct qrm_status *out)
{
  const struct grp_instance *inst = &g->instances[i];
  bool log_unmatched = inst->role == QRM_REPLICA && !inst->log_matched;

  out->role = inst->role;
  out->granted_term = inst->granted_term;
  out->term = inst->term;
  out->term_start = inst->term_start;
  out->last_term = last_term (inst);
  out->position = log_unmatched ? 0 : inst->log->len;
  out->source_silent_ms = inst->role == QRM_PRIMARY
                              ? 0
                              : (now_us - inst->last_contact_us) / 1000;
}

bool
grp_fence (struct grp *g, uint32_t i, uint64_t term,
           const char *failover_coordinator)
{
  struct grp_instance *inst = &g->instances[i];

  if (term < inst->granted_term
      || (term == inst->granted_term
          && strcmp (failover_coordinator, inst->granted_to) != 0))
    return false;
  if (term == inst->granted_term)
    return true;
  inst->granted_term = term;
  g_strlcpy (inst->granted_to, failover_coordinator, sizeof inst->granted_to);
  inst->role = QRM_FENCED;
  return true;
}

static struct grp_entry *
new_entry (uint64_t term, int64_t now_us)
{
  struct grp_entry *e = g_new0 (struct grp_entry, 1);

  e->term = term;
  e->created_us = now_us;
  return e;
}

bool
grp_promote (struct grp *g, uint32_t i, uint64_t term,
             const char *failover_coordinator, int64_t now_us)
{
  struct grp_instance *inst = &g->instances[i];

  if (inst->granted_term != term
      || strcmp (inst->granted_to, failover_coordinator) != 0)
    return false;
  if (inst->role == QRM_PRIMARY)
    return true;
  inst->role = QRM_PRIMARY;
  inst->term = term;
  append_entry (inst, new_entry (term, now_us));
  inst->term_start = inst->log->len;
  return true;
}

bool
grp_follow (struct grp *g, uint32_t i, uint64_t term, uint32_t source,
            int64_t now_us)
{
  struct grp_instance *inst = &g->instances[i];

  if (term < inst->granted_term || source == i
      || (inst->role == QRM_PRIMARY && inst->term >= term))
    return false;
  if (inst->role == QRM_REPLICA && inst->term == term
      && inst->source == source)
    return true;
  inst->granted_term = term;
  inst->granted_to[0] = '\0';
  inst->role = QRM_REPLICA;
  inst->term = term;
  inst->term_start = 0;
  inst->source = source;
  inst->log_matched = false;
  inst->last_contact_us = now_us;
  return true;
}

void
grp_kill (struct grp *g, uint32_t i)
{
  g->instances[i].down = true;
}

void
grp_restart (struct grp *g, uint32_t i, int64_t now_us)
{
  struct grp_instance *inst = &g->instances[i];

  if (!inst->down)
    return;
  inst->down = false;
  inst->paused = false;
  /* The instance keeps its log and the term it has granted, but is neither
     primary nor replica until it is told to be.  */
  inst->role = QRM_FENCED;
  inst->last_contact_us = now_us;
}

const char *
grp_read (const struct grp *g, uint32_t i, const char *key)
{
  return g_hash_table_lookup (g->instances[i].data, key);
}

static void
free_op (gpointer data)
{
  struct grp_op *op = data;

  g_free (op->key);
  g_free (op->value);
  g_free (op);
}

void
grp_session_init (struct grp_session *s, struct grp *g, uint32_t i)
{
  memset (s, 0, sizeof *s);
  s->group = g;
  s->instance = i;
  s->ops = g_ptr_array_new_with_free_func (free_op);
}

void
grp_session_reset (struct grp_session *s)
{
  g_ptr_array_set_size (s->ops, 0);
  s->open = s->read_only = s->failed = false;
  s->guard_term = 0;
}

void
grp_session_free (struct grp_session *s)
{
  g_ptr_array_free (s->ops, TRUE);
}

void
grp_session_add (struct grp_session *s, enum grp_op_kind kind, const char *key,
                 const char *value)
{
  struct grp_op *op = g_new0 (struct grp_op, 1);

  op->kind = kind;
  op->key = g_strdup (key);
  op->value = g_strdup (value);
  g_ptr_array_add (s->ops, op);
}

static void
add_write (struct grp_entry *e, const char *key, char *value)
{
  e->writes = g_renew (struct grp_write, e->writes, e->n + 1);
  e->writes[e->n].key = g_strdup (key);
  e->writes[e->n++].value = value;
}

static const char *
visible_value (const struct grp_entry *e, const struct grp_instance *inst,
               const char *key)
{
  for (uint32_t i = e->n; i > 0; i--)
    if (strcmp (e->writes[i - 1].key, key) == 0)
      return e->writes[i - 1].value;
  return g_hash_table_lookup (inst->data, key);
}

/* Deletes the keys of KEY's table that sort before KEY.  */
static void
delete_below (struct grp_entry *e, const struct grp_instance *inst,
              const char *key)
{
  size_t table = (size_t)(strchr (key, '/') - key) + 1;
  GHashTableIter iter;
  gpointer k;

  g_hash_table_iter_init (&iter, inst->data);
  while (g_hash_table_iter_next (&iter, &k, NULL))
    if (strncmp (k, key, table) == 0 && strcmp (k, key) < 0)
      add_write (e, k, NULL);
}

/* Turns OP into row writes of E.  False on a duplicate key.  */
static bool
resolve_op (struct grp_entry *e, const struct grp_instance *inst,
            const struct grp_op *op)
{
  const char *old = visible_value (e, inst, op->key);
  long long sum;

  switch (op->kind)
    {
    case GRP_INSERT:
      if (old)
        return false;
      add_write (e, op->key, g_strdup (op->value));
      break;
    case GRP_SET:
      add_write (e, op->key, g_strdup (op->value));
      break;
    case GRP_ADD:
      sum = (old ? atoll (old) : 0) + atoll (op->value);
      add_write (e, op->key, g_strdup_printf ("%lld", sum));
      break;
    case GRP_DELETE_BELOW:
      delete_below (e, inst, op->key);
      break;
    }
  return true;
}

const char *
grp_commit (struct grp_session *s, int64_t now_us)
{
  struct grp_instance *inst = &s->group->instances[s->instance];
  struct grp_entry *e;
  const char *sqlstate = NULL;

  if (s->ops->len > 0 && inst->role != QRM_PRIMARY)
    sqlstate = "CB001";
  else if (s->guard_term > 0 && s->ops->len > 0 && inst->term != s->guard_term)
    sqlstate = "CB001";
  if (sqlstate || s->ops->len == 0)
    {
      grp_session_reset (s);
      return sqlstate;
    }
  e = new_entry (inst->term, now_us);
  e->refs = 1;
  for (uint32_t i = 0; i < s->ops->len && !sqlstate; i++)
    if (!resolve_op (e, inst, g_ptr_array_index (s->ops, i)))
      sqlstate = "23505";
  if (!sqlstate)
    append_entry (inst, e);
  unref_entry (e);
  grp_session_reset (s);
  return sqlstate;
}
