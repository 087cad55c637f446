/* A workload and the checker of its history.  */
#include "history.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define THINK_MIN_US 10000
#define THINK_MAX_US 60000
/* Allowed age of kind lookup in the default kinds.  */
#define LOOKUP_AGE_US 2000000
#define ORDER_SQL "UPDATE orders SET value = $2 WHERE key = $1"
#define TALLY_SQL "UPDATE tallies SET value = value + $2 WHERE key = $1"
#define READ_SQL "SELECT key, value FROM orders WHERE key = $1"

static void G_GNUC_PRINTF (2, 3)
    violate (struct history *h, const char *format, ...)
{
  va_list ap;

  va_start (ap, format);
  g_string_append_vprintf (h->violations, format, ap);
  g_string_append_c (h->violations, '\n');
  va_end (ap);
}

void
history_init (struct history *h, struct world *w, uint32_t n_callers)
{
  memset (h, 0, sizeof *h);
  h->world = w;
  h->n_callers = n_callers;
  h->violations = g_string_new (NULL);
  for (uint32_t i = 0; i < n_callers; i++)
    h->callers[i].next_us
        = world_now (w) + g_rand_int_range (world_random (w), 0, THINK_MAX_US);
}

void
history_free (struct history *h)
{
  g_string_free (h->violations, TRUE);
}

static uint32_t
group_of (const struct history *h, uint32_t caller)
{
  (void)h;
  return caller % 2;
}

static void
key_of (const struct history *h, uint32_t caller, char out[32])
{
  snprintf (out, 32, "c%u.%u", caller, h->callers[caller].generation);
}

/* A living node, drawn at random; UINT32_MAX when none lives.  */
static uint32_t
pick_node (struct history *h)
{
  uint32_t first = (uint32_t)g_rand_int_range (world_random (h->world), 0,
                                               WORLD_NODES_MAX);

  for (uint32_t k = 0; k < WORLD_NODES_MAX; k++)
    if (world_node_lives (h->world, (first + k) % WORLD_NODES_MAX))
      return (first + k) % WORLD_NODES_MAX;
  return UINT32_MAX;
}

static void
start_call (struct history *h, uint32_t i)
{
  struct history_caller *c = &h->callers[i];
  GRand *random = world_random (h->world);
  uint32_t node = pick_node (h);
  int32_t dice = g_rand_int_range (random, 0, 100);
  uint32_t g = group_of (h, i);
  char key[32];
  char value[48];
  char *id = world_request_id (h->world);

  key_of (h, i, key);
  if (node == UINT32_MAX)
    c->next_us = world_now (h->world) + THINK_MAX_US;
  else if (dice < 40)
    {
      snprintf (value, sizeof value, "%s:%u", key, ++c->sequence);
      c->call = world_call (h->world, node, WIRE_RUN, g, "order", id,
                            &c->token, ORDER_SQL, key, value);
    }
  else if (dice < 50)
    c->call = world_call (h->world, node, WIRE_RUN, g, "tally", "", &c->token,
                          TALLY_SQL, id, "1");
  else
    {
      /* Own keys with the session's floor, others' without.  */
      c->own = dice < 75;
      if (!c->own)
        key_of (h, (i + 2) % h->n_callers, key);
      c->call = world_call (h->world, node, WIRE_RUN, g,
                            dice % 2 ? "lookup" : "fresh", "",
                            c->own ? &c->token : NULL, READ_SQL, key, NULL);
    }
  g_free (id);
}

static enum rsn_outcome
outcome_of (const struct world_call *call)
{
  return call->answers == 0 ? RSN_UNKNOWN : rsn_outcome_of (call->reason);
}

/* The sequence number a read returned, 0 for no row.  Checks that the row is
   the caller's own.  */
static uint32_t
sequence_read (struct history *h, const struct world_call *call)
{
  const char *at;
  size_t n = strlen (call->key);

  if (strcmp (call->rows, "[[]]") == 0)
    return 0;
  at = strstr (call->rows, call->key);
  if (!g_str_has_prefix (call->rows, "[[\"") || at != call->rows + 3
      || at[n] != ':')
    {
      violate (h, "a read of %s got the answer %s", call->key, call->rows);
      return UINT32_MAX;
    }
  return (uint32_t)atoi (at + n + 1);
}

/* The highest sequence of KEY acknowledged before TIME_US.  */
static uint32_t
acked_before (const struct history *h, const char *key, int64_t time_us)
{
  GPtrArray *calls = world_calls (h->world);
  uint32_t highest = 0;

  for (uint32_t i = 0; i < calls->len; i++)
    {
      const struct world_call *c = g_ptr_array_index (calls, i);

      if (c->write && c->answers > 0 && c->reason == RSN_OK
          && strcmp (c->kind, "order") == 0 && strcmp (c->key, key) == 0
          && c->answered_us < time_us)
        highest++;
    }
  return highest;
}

static void
judge_read (struct history *h, struct history_caller *c)
{
  const struct world_call *call = c->call;
  uint32_t got = sequence_read (h, call);
  bool lookup = strcmp (call->kind, "lookup") == 0;
  uint32_t floor = acked_before (h, call->key,
                                 call->sent_us - (lookup ? LOOKUP_AGE_US : 0));

  if (c->own && got < c->acked)
    violate (h, "read-your-writes: %s at %ld us by vm%u (%s) saw %u after %u",
             call->key, call->sent_us, call->node, call->kind, got, c->acked);
  else if (got < floor)
    violate (h, "too old: %s at %ld us (%s) saw %u, %u was acknowledged",
             call->key, call->sent_us, call->kind, got, floor);
}

/* Takes a caller's finished call into account.  */
static void
judge (struct history *h, uint32_t i)
{
  struct history_caller *c = &h->callers[i];
  struct world_call *call = c->call;
  enum rsn_outcome outcome = outcome_of (call);
  bool order = strcmp (call->kind, "order") == 0;

  h->calls++;
  if (call->answers == 0)
    h->orphaned++;
  else if (outcome == RSN_DONE)
    h->done++;
  else if (outcome == RSN_NOT_RUN)
    h->not_run++;
  else
    h->unknown++;
  if (outcome == RSN_DONE && !call->write)
    judge_read (h, c);
  if (outcome == RSN_DONE && order)
    {
      c->acked = c->sequence;
      c->token = call->token;
    }
  else if (order && outcome == RSN_NOT_RUN)
    c->sequence--;
  else if (order)
    {
      c->generation++;
      c->sequence = c->acked = 0;
    }
  c->call = NULL;
  c->next_us = world_now (h->world)
               + g_rand_int_range (world_random (h->world), THINK_MIN_US,
                                   THINK_MAX_US);
}

static bool
has_ended (const struct history *h, const struct world_call *call)
{
  return call->answers > 0 || call->orphaned
         || world_now (h->world) - call->sent_us > 30000000;
}

void
history_run (struct history *h, int64_t us)
{
  int64_t end_us = world_now (h->world) + us;

  while (world_now (h->world) < end_us)
    {
      for (uint32_t i = 0; i < h->n_callers; i++)
        {
          struct history_caller *c = &h->callers[i];

          if (c->call && has_ended (h, c->call))
            judge (h, i);
          else if (!c->call && world_now (h->world) >= c->next_us)
            start_call (h, i);
        }
      world_run (h->world, 1000);
    }
}

/* How often the log holds a write of KEY with VALUE (NULL: any).  */
static uint32_t
count_writes (const struct grp_instance *inst, const char *key,
              const char *value)
{
  uint32_t n = 0;

  for (uint32_t k = 0; k < inst->log->len; k++)
    {
      const struct grp_entry *e = g_ptr_array_index (inst->log, k);

      for (uint32_t w = 0; w < e->n; w++)
        n += strcmp (e->writes[w].key, key) == 0
             && (!value || g_strcmp0 (e->writes[w].value, value) == 0);
    }
  return n;
}

/* The primary of the highest term.  */
static const struct grp_instance *
find_last_primary (struct grp *g)
{
  const struct grp_instance *best = NULL;

  for (uint32_t i = 0; i < g->n; i++)
    {
      const struct grp_instance *inst = &g->instances[i];

      if (inst->role == QRM_PRIMARY && (!best || inst->term > best->term))
        best = inst;
    }
  return best;
}

static void
check_outcome (struct history *h, const struct world_call *call,
               uint32_t count)
{
  bool once = strcmp (call->kind, "order") == 0;

  switch (outcome_of (call))
    {
    case RSN_DONE:
      if (count == 0)
        violate (h, "lost: %s of vm%u, sent at %ld us, answered done",
                 call->key, call->node, call->sent_us);
      break;
    case RSN_NOT_RUN:
      if (count > 0)
        violate (h, "ran: %s of vm%u, sent at %ld us, answered not_run (%s)",
                 call->key, call->node, call->sent_us,
                 rsn_name (call->reason));
      break;
    case RSN_UNKNOWN:
      break;
    }
  if (once && count > 1)
    violate (h, "doubled: %s of vm%u, sent at %ld us", call->key, call->node,
             call->sent_us);
}

/* The value a write call has set: callers number their writes, so the ledger's
   row of the request id tells whether it ran.  */
static uint32_t
count_runs (const struct grp_instance *inst, const struct world_call *call)
{
  char key[128];
  uint32_t n = 0;

  if (strcmp (call->kind, "tally") == 0)
    {
      snprintf (key, sizeof key, "tallies/%s", call->key);
      return count_writes (inst, key, NULL);
    }
  snprintf (key, sizeof key, "cassiabay.ledger/%s", call->request_id);
  for (uint32_t k = 0; k < inst->log->len; k++)
    {
      const struct grp_entry *e = g_ptr_array_index (inst->log, k);

      for (uint32_t w = 0; w < e->n; w++)
        n += strcmp (e->writes[w].key, key) == 0
             && g_str_has_prefix (e->writes[w].value, "done");
    }
  return n;
}

static void
check_call (struct history *h, const struct world_call *call)
{
  uint32_t g = (uint32_t)atoi (call->database + 2);
  const struct grp_instance *inst
      = find_last_primary (world_group (h->world, g));

  if (call->answers > 1)
    violate (h, "answered %u times: %s", call->answers, call->key);
  if (call->write && inst
      && (strcmp (call->kind, "order") == 0
          || strcmp (call->kind, "tally") == 0))
    check_outcome (h, call, count_runs (inst, call));
}

const char *
history_check (struct history *h)
{
  GPtrArray *calls = world_calls (h->world);

  for (uint32_t i = 0; i < h->n_callers; i++)
    if (h->callers[i].call && !has_ended (h, h->callers[i].call))
      world_await (h->world, h->callers[i].call, 12000000);
  for (uint32_t i = 0; i < h->n_callers; i++)
    if (h->callers[i].call)
      {
        if (h->callers[i].call->answers == 0 && !h->callers[i].call->orphaned)
          violate (h, "no answer: %s", h->callers[i].call->key);
        judge (h, i);
      }
  for (uint32_t i = 0; i < calls->len; i++)
    check_call (h, g_ptr_array_index (calls, i));
  if (world_revisions_back (h->world) > 0)
    violate (h, "a configuration revision went back");
  return h->violations->str;
}

static int
compare_times (gconstpointer a, gconstpointer b)
{
  int64_t x = *(const int64_t *)a;
  int64_t y = *(const int64_t *)b;

  return x < y ? -1 : x > y;
}

int64_t
history_write_gap_us (const struct history *h)
{
  GPtrArray *calls = world_calls (h->world);
  GArray *times = g_array_new (FALSE, FALSE, sizeof (int64_t));
  int64_t gap = 0;

  for (uint32_t i = 0; i < calls->len; i++)
    {
      const struct world_call *c = g_ptr_array_index (calls, i);

      if (c->write && c->answers > 0 && c->reason == RSN_OK
          && strcmp (c->database, "db0") == 0)
        g_array_append_val (times, c->answered_us);
    }
  g_array_sort (times, compare_times);
  for (uint32_t i = 1; i < times->len; i++)
    gap = MAX (gap, g_array_index (times, int64_t, i)
                        - g_array_index (times, int64_t, i - 1));
  g_array_free (times, TRUE);
  return gap;
}
