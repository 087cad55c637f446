/* Simulated client accounts of the soak test.  Each uses session values,
   prepared statements and transactions, and records for the database model
   which of its writes were acknowledged and which were reported as not
   applied.  */
#include "soak.h"

#include <string.h>

#define CALLERS 40
/* Every statement must be answered within this time, which is longer than the
   largest timeout of a route.  Only callers of a proxy that the soak has
   stopped or killed may wait longer.  */
#define REPLY_TIMEOUT_US 5000000
#define STARTUP_TIMEOUT_US 2500000

struct caller
{
  struct soak *soak;
  struct vm *vm;
  struct stream *stream;         /* NULL between connections */
  GPtrArray *transaction_writes; /* statement ids of the open transaction */
  GHashTable *values;
  char *shape; /* prepared statement "s": r or w and its text, NULL = none */
  int64_t waiting_since_us; /* start of the connection attempt or statement */
  int64_t next_action_us;
  int64_t transaction_us;
  int64_t last_success_us;                /* 0 = never */
  struct logpos own_position;             /* of its latest committed write */
  struct logpos transaction_min_position; /* own_position at BEGIN */
  uint32_t index;
  uint32_t database; /* two groups, three consistency levels each */
  enum stm_state state;
  enum stm_kind kind;
  enum sqc code;
  char name[16];
  char id[32];
  bool started;
  bool busy;
  bool writes;
  bool failed;
};

static struct caller callers[CALLERS];
static uint64_t last_statement_number; /* makes statement ids unique */

static struct dbm *
database_model (const struct caller *c)
{
  return c->soak->groups[c->database / 3].db;
}

static void
reset_caller (struct caller *c)
{
  if (c->stream)
    stream_close (c->stream, false);
  c->stream = NULL;
  c->started = false;
  c->busy = false;
  c->state = STM_IDLE;
  memset (&c->own_position, 0, sizeof c->own_position);
  g_ptr_array_set_size (c->transaction_writes, 0);
  /* Records of statements in flight still refer to the old table, so it is
     not freed.  */
  c->values = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  c->shape = NULL;
}

static void
record_success (struct caller *c, struct logpos position)
{
  int64_t now_us = loop_now_us ();
  bool commit = c->kind == STM_COMMIT;
  bool autocommit = c->writes && c->state == STM_IDLE;

  c->soak->succeeded++;
  c->last_success_us = now_us;
  if (autocommit)
    dbm_report_committed (database_model (c), c->id, now_us);
  for (guint i = 0; commit && i < c->transaction_writes->len; i++)
    dbm_report_committed (database_model (c),
                          g_ptr_array_index (c->transaction_writes, i),
                          now_us);
  if (autocommit || (commit && c->transaction_writes->len > 0))
    c->own_position = position;
}

static void
record_failure (struct caller *c)
{
  if (!sqc_is_not_applied (c->code))
    {
      c->soak->unknown++;
      return;
    }
  c->soak->not_applied++;
  if (c->writes && c->state == STM_IDLE)
    dbm_report_not_committed (database_model (c), c->id);
  for (guint i = 0; i < c->transaction_writes->len; i++)
    dbm_report_not_committed (database_model (c),
                              g_ptr_array_index (c->transaction_writes, i));
}

static void
on_ready (struct caller *c, const struct codec_upstream *m)
{
  if (!c->started)
    {
      c->started = true;
      return;
    }
  if (!c->busy)
    {
      soak_fail ("%s received a reply without a pending statement", c->name);
      return;
    }
  c->busy = false;
  if (c->failed)
    record_failure (c);
  else
    record_success (c, m->position);
  if (c->kind == STM_COMMIT || m->state != STM_OPEN)
    g_ptr_array_set_size (c->transaction_writes, 0);
  c->state = m->state;
  c->next_action_us
      = loop_now_us () + g_rand_int_range (c->soak->random, 2000, 60000);
}

static bool
on_line (void *arg, char *line, size_t len)
{
  struct caller *c = arg;
  struct codec_upstream m;

  lin_codec ()->ops->read_upstream (lin_codec (), line, len, &m);
  switch (m.kind)
    {
    case CODEC_READY:
      on_ready (c, &m);
      break;
    case CODEC_ERROR:
      c->failed = true;
      c->code = m.code;
      break;
    case CODEC_DONE:
      if (m.signature[0] != '-' && !g_str_has_suffix (m.signature, c->id))
        soak_fail ("%s: statement %s received the reply of another: %s",
                   c->name, c->id, m.signature);
      break;
    case CODEC_ROW:
      break;
    case CODEC_MALFORMED:
      soak_fail ("%s received a malformed line: %.60s", c->name, line);
      break;
    }
  return c->stream != NULL;
}

static size_t
on_data (void *arg, char *data, size_t len)
{
  struct caller *c = arg;
  size_t used = 0;

  if (c->stream)
    stream_split_lines (data, len, on_line, c, &used);
  return used;
}

static void
on_connected (void *arg)
{
  struct caller *c = arg;

  g_string_append_printf (stream_output (c->stream), "STARTUP db%u %s\r\n",
                          c->database, c->name);
}

static void
on_closed (void *arg, bool refused)
{
  struct caller *c = arg;

  (void)refused;
  c->soak->closes++;
  c->stream = NULL;
  reset_caller (c);
  c->next_action_us = loop_now_us () + 100000;
}

static const struct stream_ops ops = { on_data, on_connected, on_closed };

static void
connect_caller (struct caller *c, int64_t now_us)
{
  struct soak *s = c->soak;
  const struct stream_options o = { &ops, c, 0, 0 };

  c->vm = &s->vms[g_rand_int_range (s->random, 0, (gint32)s->n_vms)];
  c->waiting_since_us = now_us;
  c->started = false;
  c->stream = stream_connect (&s->streams, c->vm->ip, s->base, &o);
}

static void
record_sender (struct caller *c, bool in_transaction, int64_t now_us)
{
  struct dbm_sender *d = g_new0 (struct dbm_sender, 1);

  d->session = c->name;
  d->in_transaction = in_transaction;
  d->values = c->values;
  d->prepared_text = c->kind == STM_EXECUTE ? c->shape : NULL;
  d->first_byte_us = in_transaction ? c->transaction_us : now_us;
  d->max_age_us = c->database % 3 == 0   ? -1
                  : c->database % 3 == 1 ? 1500000
                                         : 2500000;
  if (c->database % 3 == 2)
    d->own_commit
        = in_transaction ? c->transaction_min_position : c->own_position;
  g_hash_table_insert (c->soak->senders, g_strdup (c->id), d);
}

static void
send_statement (struct caller *c, enum stm_kind kind, const char *name,
                const char *args)
{
  struct stm s = { .kind = kind, .id = c->id, .name = name, .args = args };
  struct logpos nowhere = { 0 };
  int64_t now_us = loop_now_us ();

  g_snprintf (c->id, sizeof c->id, "q%lu",
              (unsigned long)++last_statement_number);
  c->kind = kind;
  c->writes = kind == STM_WRITE
              || (kind == STM_EXECUTE && c->shape && c->shape[0] == 'w');
  c->failed = false;
  c->busy = true;
  c->waiting_since_us = now_us;
  c->soak->statements_sent++;
  if (kind == STM_BEGIN)
    {
      c->transaction_us = now_us;
      c->transaction_min_position = c->own_position;
    }
  record_sender (c, c->state == STM_OPEN, now_us);
  if (c->writes && c->state == STM_OPEN)
    g_ptr_array_add (c->transaction_writes, g_strdup (c->id));
  lin_codec ()->ops->write_statement (lin_codec (), stream_output (c->stream),
                                      false, nowhere, &s);
}

/* Sends a SET with a copy of the values, since earlier statements in flight
   refer to the old table.  */
static void
set_value (struct caller *c, const char *name, const char *value)
{
  GHashTable *values
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  GHashTableIter iter;
  gpointer k;
  gpointer v;

  g_hash_table_iter_init (&iter, c->values);
  while (g_hash_table_iter_next (&iter, &k, &v))
    g_hash_table_replace (values, g_strdup (k), g_strdup (v));
  g_hash_table_replace (values, g_strdup (name), g_strdup (value));
  c->values = values;
  send_statement (c, STM_SET, name, value);
}

static void
prepare (struct caller *c, bool writes, const char *shape)
{
  c->shape = g_strconcat (writes ? "w" : "r", shape, NULL);
  send_statement (c, writes ? STM_PREPARE_WRITE : STM_PREPARE_READ, "s",
                  shape);
}

static void
send_random_statement (struct caller *c)
{
  uint32_t action = (uint32_t)g_rand_int_range (c->soak->random, 0, 16);
  bool open = c->state == STM_OPEN;

  if (c->state == STM_FAILED)
    send_statement (c, STM_ROLLBACK, NULL, NULL);
  else if (open && action < 4)
    send_statement (c, STM_COMMIT, NULL, NULL);
  else if (open && action == 4)
    send_statement (c, STM_ROLLBACK, NULL, NULL);
  else if (!open && action < 3)
    send_statement (c, STM_BEGIN, NULL, NULL);
  else if (!open && action == 3)
    set_value (c, action & 1 ? "unit" : "zone",
               last_statement_number & 1 ? "x" : "y");
  else if (!open && action == 4)
    prepare (c, last_statement_number & 1,
             last_statement_number & 2 ? "q1" : "q2");
  else if (action < 8)
    send_statement (c, STM_WRITE, NULL, "a 1");
  else if (action < 10 && c->shape)
    send_statement (c, STM_EXECUTE, "s", "a");
  else
    send_statement (c, STM_READ, NULL, "a");
}

/* True while the soak itself has stopped, killed or suspended the proxy of C,
   so that late replies are expected.  */
static bool
is_delay_expected (const struct caller *c)
{
  return c->vm->state != VM_RUNNING || c->vm->resume_at_us > 0;
}

static void
caller_turn (struct caller *c, int64_t now_us)
{
  if (!c->stream)
    {
      if (now_us >= c->next_action_us)
        connect_caller (c, now_us);
      return;
    }
  if (!c->started)
    {
      if (now_us - c->waiting_since_us > STARTUP_TIMEOUT_US)
        {
          reset_caller (c);
          c->next_action_us = now_us + 100000;
        }
      return;
    }
  if (c->busy && is_delay_expected (c))
    c->waiting_since_us = MAX (c->waiting_since_us, now_us - 1000000);
  if (c->busy && now_us - c->waiting_since_us > REPLY_TIMEOUT_US)
    {
      soak_fail ("%s: statement %s at %s was not answered in time", c->name,
                 c->id, c->vm->name);
      reset_caller (c);
    }
  else if (!c->busy && now_us >= c->next_action_us)
    send_random_statement (c);
}

void
callers_start (struct soak *s)
{
  for (uint32_t n = 0; n < CALLERS; n++)
    {
      struct caller *c = &callers[n];

      c->soak = s;
      c->index = n;
      g_snprintf (c->name, sizeof c->name, "c%u", n);
      c->database = n % (3 * SOAK_GROUPS);
      c->transaction_writes = g_ptr_array_new_with_free_func (g_free);
      reset_caller (c);
      c->next_action_us = loop_now_us () + 500000;
    }
}

void
callers_turn (struct soak *s, int64_t now_us)
{
  (void)s;
  for (uint32_t n = 0; n < CALLERS; n++)
    caller_turn (&callers[n], now_us);
}

void
callers_check_recovery (struct soak *s)
{
  for (uint32_t n = 0; n < CALLERS; n++)
    if (callers[n].last_success_us < s->heal_us)
      soak_fail (
          "%s (db%u) had no successful statement after all faults were healed",
          callers[n].name, callers[n].database);
}
