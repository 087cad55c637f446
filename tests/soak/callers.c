/* Callers of the soak: sessions with values, prepared statements and
   transactions, and what each answer allows them to conclude.  */
#include "soak.h"

#include <string.h>

#define CALLERS 40
/* A statement is answered within its route's longest time and some; more only
   where its proxy was stopped or killed.  */
#define ANSWER_MAX_US 5000000
#define START_MAX_US 2500000

struct caller
{
  struct soak *soak;
  struct vm *vm;
  struct stream *stream;  /* NULL between connections */
  GPtrArray *open_writes; /* of the transaction */
  GHashTable *values;
  char *shape;      /* of prepared statement "s", NULL = none */
  int64_t since_us; /* of what it waits for */
  int64_t next_us;
  int64_t transaction_us;
  int64_t served_us; /* last success */
  struct lp own;
  struct lp transaction_own;
  uint32_t index;
  uint32_t database; /* two groups, three kinds each */
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
static uint64_t serial;

static struct dbm *
model_of (const struct caller *c)
{
  return c->soak->groups[c->database / 3].db;
}

static void
forget (struct caller *c)
{
  if (c->stream)
    stream_close (c->stream, false);
  c->stream = NULL;
  c->started = false;
  c->busy = false;
  c->state = STM_IDLE;
  memset (&c->own, 0, sizeof c->own);
  g_ptr_array_set_size (c->open_writes, 0);
  /* The senders of statements still under way keep the table.  */
  c->values = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  c->shape = NULL;
}

static void
conclude_ok (struct caller *c, struct lp position)
{
  int64_t now_us = loop_now_us ();
  bool commit = c->kind == STM_COMMIT;
  bool lone = c->writes && c->state == STM_IDLE;

  c->soak->oks++;
  c->served_us = now_us;
  if (lone)
    dbm_report_committed (model_of (c), c->id, now_us);
  for (guint i = 0; commit && i < c->open_writes->len; i++)
    dbm_report_committed (model_of (c), g_ptr_array_index (c->open_writes, i),
                      now_us);
  if (lone || (commit && c->open_writes->len > 0))
    c->own = position;
}

static void
conclude_failed (struct caller *c)
{
  if (!sqc_is_not_applied (c->code))
    {
      c->soak->unknowns++;
      return;
    }
  c->soak->promises++;
  if (c->writes && c->state == STM_IDLE)
    dbm_report_not_committed (model_of (c), c->id);
  for (guint i = 0; i < c->open_writes->len; i++)
    dbm_report_not_committed (model_of (c), g_ptr_array_index (c->open_writes, i));
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
      soak_fail ("%s got an answer to nothing", c->name);
      return;
    }
  c->busy = false;
  if (c->failed)
    conclude_failed (c);
  else
    conclude_ok (c, m->position);
  if (c->kind == STM_COMMIT || m->state != STM_OPEN)
    g_ptr_array_set_size (c->open_writes, 0);
  c->state = m->state;
  c->next_us
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
        soak_fail ("%s: %s got the answer %s", c->name, c->id, m.signature);
      break;
    case CODEC_ROW:
      break;
    case CODEC_BROKEN:
      soak_fail ("%s got a line that is none: %.60s", c->name, line);
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
    stream_each_line (data, len, on_line, c, &used);
  return used;
}

static void
on_connected (void *arg)
{
  struct caller *c = arg;

  g_string_append_printf (stream_out (c->stream), "STARTUP db%u %s\r\n",
                          c->database, c->name);
}

static void
on_closed (void *arg, bool refused)
{
  struct caller *c = arg;

  (void)refused;
  c->soak->closes++;
  c->stream = NULL;
  forget (c);
  c->next_us = loop_now_us () + 100000;
}

static const struct stream_ops ops = { on_data, on_connected, on_closed };

static void
join (struct caller *c, int64_t now_us)
{
  struct soak *s = c->soak;
  const struct stream_options o = { &ops, c, 0, 0 };

  c->vm = &s->vms[g_rand_int_range (s->random, 0, (gint32)s->n_vms)];
  c->since_us = now_us;
  c->started = false;
  c->stream = stream_connect (&s->streams, c->vm->ip, s->base, &o);
}

static void
remember_sender (struct caller *c, bool in_transaction, int64_t now_us)
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
    d->own_commit = in_transaction ? c->transaction_own : c->own;
  g_hash_table_insert (c->soak->senders, g_strdup (c->id), d);
}

static void
send (struct caller *c, enum stm_kind kind, const char *name, const char *args)
{
  struct stm s = { .kind = kind, .id = c->id, .name = name, .args = args };
  struct lp nowhere = { 0 };
  int64_t now_us = loop_now_us ();

  g_snprintf (c->id, sizeof c->id, "q%lu", (unsigned long)++serial);
  c->kind = kind;
  c->writes = kind == STM_WRITE
              || (kind == STM_EXECUTE && c->shape && c->shape[0] == 'w');
  c->failed = false;
  c->busy = true;
  c->since_us = now_us;
  c->soak->asked++;
  if (kind == STM_BEGIN)
    {
      c->transaction_us = now_us;
      c->transaction_own = c->own;
    }
  remember_sender (c, c->state == STM_OPEN, now_us);
  if (c->writes && c->state == STM_OPEN)
    g_ptr_array_add (c->open_writes, g_strdup (c->id));
  lin_codec ()->ops->write_statement (lin_codec (), stream_out (c->stream),
                                      false, nowhere, &s);
}

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
  send (c, STM_SET, name, value);
}

static void
prepare (struct caller *c, bool writes, const char *shape)
{
  c->shape = g_strconcat (writes ? "w" : "r", shape, NULL);
  send (c, writes ? STM_PREPARE_WRITE : STM_PREPARE_READ, "s", shape);
}

static void
act (struct caller *c)
{
  uint32_t what = (uint32_t)g_rand_int_range (c->soak->random, 0, 16);
  bool open = c->state == STM_OPEN;

  if (c->state == STM_FAILED)
    send (c, STM_ROLLBACK, NULL, NULL);
  else if (open && what < 4)
    send (c, STM_COMMIT, NULL, NULL);
  else if (open && what == 4)
    send (c, STM_ROLLBACK, NULL, NULL);
  else if (!open && what < 3)
    send (c, STM_BEGIN, NULL, NULL);
  else if (!open && what == 3)
    set_value (c, what & 1 ? "unit" : "zone", serial & 1 ? "x" : "y");
  else if (!open && what == 4)
    prepare (c, serial & 1, serial & 2 ? "q1" : "q2");
  else if (what < 8)
    send (c, STM_WRITE, NULL, "a 1");
  else if (what < 10 && c->shape)
    send (c, STM_EXECUTE, "s", "a");
  else
    send (c, STM_READ, NULL, "a");
}

/* True while the proxy of C may be late for a reason of the soak's own.  */
static bool
is_excused (const struct caller *c)
{
  return c->vm->state != VM_RUNS || c->vm->resumes_us > 0;
}

static void
caller_turn (struct caller *c, int64_t now_us)
{
  if (!c->stream)
    {
      if (now_us >= c->next_us)
        join (c, now_us);
      return;
    }
  if (!c->started)
    {
      if (now_us - c->since_us > START_MAX_US)
        {
          forget (c);
          c->next_us = now_us + 100000;
        }
      return;
    }
  if (c->busy && is_excused (c))
    c->since_us = MAX (c->since_us, now_us - 1000000);
  if (c->busy && now_us - c->since_us > ANSWER_MAX_US)
    {
      soak_fail ("%s: %s at %s has no answer", c->name, c->id, c->vm->name);
      forget (c);
    }
  else if (!c->busy && now_us >= c->next_us)
    act (c);
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
      c->open_writes = g_ptr_array_new_with_free_func (g_free);
      forget (c);
      c->next_us = loop_now_us () + 500000;
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
callers_judge (struct soak *s)
{
  for (uint32_t n = 0; n < CALLERS; n++)
    if (callers[n].served_us < s->heal_us)
      soak_fail ("%s (db%u) was not served again after all was mended",
                 callers[n].name, callers[n].database);
}
