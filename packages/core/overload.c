/* Overload control.  */
#include "overload.h"

#include <xxhash.h>

/* Exponential smoothing: a new value has a weight of one part in this many. */
#define EXEC_SMOOTHING 64
#define GAP_SMOOTHING 8
/* Kinds whose execution times differ by less count as equal, so that random
   variation does not change their order.  */
#define EQUAL_EXEC_US 3000
#define RANKS_PER_PRIORITY OVL_KINDS_MAX
/* The wait budget, as a part of the objective or of the timeout, whichever is
   shorter.  The rest is for the round trip, the execution and the instance's
   own queue.  A transaction waits for several statements.  */
#define MAX_WAIT_PERCENT 75
#define MAX_WAIT_TRANSACTION_PERCENT 50
/* A new statement is admitted if the wait to be expected is at most one part
   in this many of its wait budget.  The rest allows for variation, and a
   caller that is refused soon can come again in time.  */
#define ADMIT_ONE_IN 3
/* A queue is paused when no statement has left it for PAUSE_GAPS of its usual
   gaps plus PAUSE_US, which is longer than the longest usual statement.  */
#define PAUSE_GAPS 8
#define PAUSE_US 60000
/* A queue that has not been empty for this long shows a sustained load: the
   queue that a promotion or a burst leaves is served sooner.  */
#define SUSTAINED_US 1000000

uint32_t
ovl_kind_id (const struct dir_route *route, bool transaction)
{
  const int64_t fields[]
      = { route->reads, route->priority, route->objective_us,
          route->timeout_us, transaction };

  return (uint32_t)XXH3_64bits (fields, sizeof fields) | 1;
}

uint32_t
ovl_find_kind (struct ovl_kinds *k, const struct dir_route *route,
               bool transaction)
{
  struct ovl_kind *kind;

  for (uint32_t i = 0; i < k->n; i++)
    {
      kind = &k->kinds[i];
      if (kind->reads == route->reads && kind->priority == route->priority
          && kind->objective_us == route->objective_us
          && kind->timeout_us == route->timeout_us
          && kind->transaction == transaction)
        return i;
    }
  if (k->n == OVL_KINDS_MAX)
    return OVL_KINDS_MAX - 1;
  kind = &k->kinds[k->n];
  kind->id = ovl_kind_id (route, transaction);
  kind->reads = route->reads;
  kind->objective_us = route->objective_us;
  kind->timeout_us = route->timeout_us;
  kind->priority = route->priority;
  kind->transaction = transaction;
  return k->n++;
}

bool
ovl_find_kind_id (const struct ovl_kinds *k, uint32_t id, uint32_t *kind)
{
  for (uint32_t i = 0; i < k->n; i++)
    if (k->kinds[i].id == id)
      {
        *kind = i;
        return true;
      }
  return false;
}

void
ovl_note_exec_time (struct ovl_kinds *k, uint32_t kind, int64_t excess_us)
{
  struct ovl_kind *own = &k->kinds[kind];

  own->excess_us += (excess_us - own->excess_us) / EXEC_SMOOTHING;
}

static bool
is_shorter (const struct ovl_kind *x, const struct ovl_kind *y)
{
  if (x->transaction != y->transaction)
    return y->transaction;
  return x->excess_us + EQUAL_EXEC_US < y->excess_us;
}

uint32_t
ovl_rank (const struct ovl_kinds *k, uint32_t kind)
{
  const struct ovl_kind *own = &k->kinds[kind];
  uint32_t rank = 1 + (uint32_t)MAX (own->priority, 0) * RANKS_PER_PRIORITY;

  for (uint32_t i = 0; i < k->n; i++)
    {
      const struct ovl_kind *other = &k->kinds[i];

      if (other->priority == own->priority && is_shorter (other, own))
        rank++;
    }
  return rank;
}

int64_t
ovl_max_wait_us (const struct ovl_kinds *k, uint32_t kind)
{
  const struct ovl_kind *own = &k->kinds[kind];
  int64_t percent
      = own->transaction ? MAX_WAIT_TRANSACTION_PERCENT : MAX_WAIT_PERCENT;

  return MIN (own->objective_us, own->timeout_us) * percent / 100;
}

static bool
is_paused (const struct ovl_throughput *t, int64_t now_us)
{
  return t->last_start_us == 0
         || now_us - t->last_start_us > PAUSE_GAPS * t->gap_us + PAUSE_US;
}

void
ovl_note_start (struct ovl_throughput *t, uint32_t rank, uint32_t n_waiting,
                int64_t now_us)
{
  t->recent_ranks[t->n_starts++ % OVL_RECENT_MAX] = rank;
  if (rank >= t->starved_rank)
    t->starved_rank = 0;
  if (is_paused (t, now_us))
    t->steady_since_us = now_us;
  /* Without a backlog the queue was empty for part of the gap, which is then
     no measure of the throughput.  */
  else if (t->backlog)
    t->gap_us += (now_us - t->last_start_us - t->gap_us) / GAP_SMOOTHING;
  if (!t->backlog || t->steady_since_us == now_us)
    t->backlog_since_us = now_us;
  t->last_start_us = now_us;
  /* A queue that is short because statements were refused does not mean that
     the load is over.  */
  t->backlog = n_waiting > 0
               || (t->last_refused_us > 0
                   && now_us - t->last_refused_us < SUSTAINED_US);
}

void
ovl_note_refused (struct ovl_throughput *t, uint32_t rank, bool is_new,
                  int64_t now_us)
{
  t->last_refused_us = now_us;
  if (!is_new && (t->starved_rank == 0 || rank < t->starved_rank))
    t->starved_rank = rank;
}

static bool
is_starved (const struct ovl_queue *q)
{
  return q->throughput->starved_rank > 0
         && q->rank >= q->throughput->starved_rank && q->oldest_wait_us > 0;
}

/* How long a new statement will wait: until those ahead of it have started,
   and those of lower ranks that arrive meanwhile, which take the same part of
   the starts as of late.  */
static int64_t
expected_wait_us (const struct ovl_queue *q)
{
  const struct ovl_throughput *t = q->throughput;
  uint32_t n_recent = MIN (t->n_starts, OVL_RECENT_MAX);
  uint32_t n_lower = 0;

  for (uint32_t i = 0; i < n_recent; i++)
    n_lower += t->recent_ranks[i] < q->rank ? 1 : 0;
  return q->n_ahead * t->gap_us * (n_recent + 1) / (n_recent + 1 - n_lower);
}

bool
ovl_should_shed (const struct ovl_queue *q, int64_t max_wait_us,
                 int64_t waited_us, int64_t now_us)
{
  int64_t left_us = max_wait_us - waited_us;

  if (max_wait_us == 0 || is_paused (q->throughput, now_us)
      || now_us - waited_us < q->throughput->steady_since_us
      || now_us - q->throughput->backlog_since_us < SUSTAINED_US)
    return false;
  if (left_us <= 0)
    return true;
  return q->is_new
         && (is_starved (q) || expected_wait_us (q) > left_us / ADMIT_ONE_IN);
}
