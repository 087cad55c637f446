/* Random workload on a simulation, and the check of its history.  */
#include "history.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define THINK_MIN_US 10000
#define THINK_MAX_US 60000
/* max_age_ms of kind lookup in the default kinds.  */
#define LOOKUP_AGE_US 2000000
#define ORDER_SQL "UPDATE orders SET value = $2 WHERE key = $1"
#define TALLY_SQL "UPDATE tallies SET value = value + $2 WHERE key = $1"
#define READ_SQL "SELECT key, value FROM orders WHERE key = $1"

static void G_GNUC_PRINTF (2, 3)
    add_violation (struct history *h, const char *format, ...)
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
format_key (const struct history *h, uint32_t caller, char out[32])
{
  snprintf (out, 32, "c%u.%u", caller, h->callers[caller].generation);
}

/* A random running node; UINT32_MAX when none runs.  */
static uint32_t
pick_node (struct history *h)
{
  uint32_t first = (uint32_t)g_rand_int_range (world_random (h->world), 0,
                                               WORLD_NODES_MAX);

  for (uint32_t k = 0; k < WORLD_NODES_MAX; k++)
    if (world_node_is_running (h->world, (first + k) % WORLD_NODES_MAX))
      return (first + k) % WORLD_NODES_MAX;
  return UINT32_MAX;
}

static void
start_call (struct history *h, uint32_t i)
{
  struct history_caller *c = &h->callers[i];
  GRand *random = world_random (h->world);
  uint32_t node = pick_node (h);
  int32_t percent = g_rand_int_range (random, 0, 100);
  uint32_t g = group_of (h, i);
  char key[32];
  char value[48];
  char *id = world_request_id (h->world);

  format_key (h, i, key);
  if (node == UINT32_MAX)
    c->next_us = world_now (h->world) + THINK_MAX_US;
  else if (percent < 40)
    {
      snprintf (value, sizeof value, "%s:%u", key, ++c->sequence);
      c->call = world_call (h->world, node, WIRE_RUN, g, "order", id,
                            &c->token, ORDER_SQL, key, value);
    }
  else if (percent < 50)
    c->call = world_call (h->world, node, WIRE_RUN, g, "tally", "", &c->token,
                          TALLY_SQL, id, "1");
  else
    {
      /* Reads of the caller's own key carry its session token, which sets
         the minimum position; reads of other keys carry none.  */
      c->reads_own_key = percent < 75;
      if (!c->reads_own_key)
        format_key (h, (i + 2) % h->n_callers, key);
      c->call = world_call (
          h->world, node, WIRE_RUN, g, percent % 2 ? "lookup" : "fresh", "",
          c->reads_own_key ? &c->token : NULL, READ_SQL, key, NULL);
    }
  g_free (id);
}

static enum rsn_outcome
outcome_of (const struct world_call *call)
{
  return call->n_replies == 0 ? RSN_UNKNOWN : rsn_outcome_of (call->reason);
}

/* The sequence number that a read returned, 0 for no row.  A row of another
   key than the call's is a violation and gives UINT32_MAX.  */
static uint32_t
parse_sequence (struct history *h, const struct world_call *call)
{
  const char *at;
  size_t n = strlen (call->key);

  if (strcmp (call->rows, "[[]]") == 0)
    return 0;
  at = strstr (call->rows, call->key);
  if (!g_str_has_prefix (call->rows, "[[\"") || at != call->rows + 3
      || at[n] != ':')
    {
      add_violation (h, "a read of %s returned %s", call->key, call->rows);
      return UINT32_MAX;
    }
  return (uint32_t)atoi (at + n + 1);
}

/* How many writes of KEY were acknowledged before TIME_US.  Sequence numbers
   have no gaps, so this is the highest one acknowledged.  */
static uint32_t
count_acked_before (const struct history *h, const char *key, int64_t time_us)
{
  GPtrArray *calls = world_calls (h->world);
  uint32_t highest = 0;

  for (uint32_t i = 0; i < calls->len; i++)
    {
      const struct world_call *c = g_ptr_array_index (calls, i);

      if (c->write && c->n_replies > 0 && c->reason == RSN_OK
          && strcmp (c->kind, "order") == 0 && strcmp (c->key, key) == 0
          && c->replied_us < time_us)
        highest++;
    }
  return highest;
}

static void
check_read (struct history *h, struct history_caller *c)
{
  const struct world_call *call = c->call;
  uint32_t got = parse_sequence (h, call);
  bool lookup = strcmp (call->kind, "lookup") == 0;
  uint32_t min_sequence = count_acked_before (
      h, call->key, call->sent_us - (lookup ? LOOKUP_AGE_US : 0));

  if (c->reads_own_key && got < c->acked)
    add_violation (
        h, "read-your-writes: %s at %ld us by vm%u (%s) saw %u after %u",
        call->key, call->sent_us, call->node, call->kind, got, c->acked);
  else if (got < min_sequence)
    add_violation (h, "too old: %s at %ld us (%s) saw %u, %u was acknowledged",
                   call->key, call->sent_us, call->kind, got, min_sequence);
}

/* Counts the finished call of caller I, checks it and sets the time of the
   caller's next one.  */
static void
record_outcome (struct history *h, uint32_t i)
{
  struct history_caller *c = &h->callers[i];
  struct world_call *call = c->call;
  enum rsn_outcome outcome = outcome_of (call);
  bool order = strcmp (call->kind, "order") == 0;

  h->calls++;
  if (call->n_replies == 0)
    h->orphaned++;
  else if (outcome == RSN_DONE)
    h->done++;
  else if (outcome == RSN_NOT_RUN)
    h->not_run++;
  else
    h->unknown++;
  if (outcome == RSN_DONE && !call->write)
    check_read (h, c);
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
is_finished (const struct history *h, const struct world_call *call)
{
  return call->n_replies > 0 || call->orphaned
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

          if (c->call && is_finished (h, c->call))
            record_outcome (h, i);
          else if (!c->call && world_now (h->world) >= c->next_us)
            start_call (h, i);
        }
      world_run (h->world, 1000);
    }
}

/* How many entries of INST's log write VALUE (NULL for any) to KEY.  */
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

/* The primary with the highest term, NULL if there is none.  */
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
        add_violation (h, "lost: %s of vm%u, sent at %ld us, reported as done",
                       call->key, call->node, call->sent_us);
      break;
    case RSN_NOT_RUN:
      if (count > 0)
        add_violation (
            h, "ran: %s of vm%u, sent at %ld us, reported as not_run (%s)",
            call->key, call->node, call->sent_us, rsn_name (call->reason));
      break;
    case RSN_UNKNOWN:
      break;
    }
  if (once && count > 1)
    add_violation (h, "doubled: %s of vm%u, sent at %ld us", call->key,
                   call->node, call->sent_us);
}

/* How often the write of CALL is in INST's log.  A tally has a key of its own;
   every other write has a row for its request id in the ledger.  */
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

  if (call->n_replies > 1)
    add_violation (h, "%u replies to one call: %s", call->n_replies,
                   call->key);
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
    if (h->callers[i].call && !is_finished (h, h->callers[i].call))
      world_await (h->world, h->callers[i].call, 12000000);
  for (uint32_t i = 0; i < h->n_callers; i++)
    if (h->callers[i].call)
      {
        if (h->callers[i].call->n_replies == 0
            && !h->callers[i].call->orphaned)
          add_violation (h, "no reply: %s", h->callers[i].call->key);
        record_outcome (h, i);
      }
  for (uint32_t i = 0; i < calls->len; i++)
    check_call (h, g_ptr_array_index (calls, i));
  if (world_revision_regressions (h->world) > 0)
    add_violation (h, "a configuration revision went back");
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
  int64_t gap_us = 0;

  for (uint32_t i = 0; i < calls->len; i++)
    {
      const struct world_call *c = g_ptr_array_index (calls, i);

      if (c->write && c->n_replies > 0 && c->reason == RSN_OK
          && strcmp (c->database, "db0") == 0)
        g_array_append_val (times, c->replied_us);
    }
  g_array_sort (times, compare_times);
  for (uint32_t i = 1; i < times->len; i++)
    gap_us = MAX (gap_us, g_array_index (times, int64_t, i)
                              - g_array_index (times, int64_t, i - 1));
  g_array_free (times, TRUE);
  return gap_us;
}
