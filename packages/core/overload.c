/* Overload control.  */
#include "overload.h"

/* Smoothing: a new value counts one part in so many.  */
#define WORK_SMOOTHING 64
#define GAP_SMOOTHING 8
/* Kinds whose work differs by less are taken as equal, so that they don't
   change places by chance.  */
#define EQUAL_US 3000
/* Ranks of one priority.  */
#define RANKS_A_PRIORITY OVL_KINDS_MAX
/* Of the objective, or the timeout where that is shorter, a statement may use
   this part for waiting: the rest is for the way there, the work and the
   instance's own queue.  A transaction waits for several statements.  */
#define PATIENCE_PERCENT 75
#define PATIENCE_TRANSACTION_PERCENT 50
/* A queue from which nothing left for so many of its usual gaps and so long
   doesn't flow: longer than the longest usual statement.  */
#define PAUSE_GAPS 8
#define PAUSE_US 60000
/* A queue that is never empty for so long stands for a load that lasts: what a
   promotion or a burst leaves is served sooner.  */
#define STANDING_US 1000000

uint32_t
ovl_find_kind (struct ovl_kinds *k, const struct dir_route *route)
{
  struct ovl_kind *kind;

  for (uint32_t i = 0; i < k->n; i++)
    {
      kind = &k->kinds[i];
      if (kind->reads == route->reads && kind->priority == route->priority
          && kind->objective_us == route->objective_us
          && kind->timeout_us == route->timeout_us)
        return i;
    }
  if (k->n == OVL_KINDS_MAX)
    return OVL_KINDS_MAX - 1;
  kind = &k->kinds[k->n];
  kind->reads = route->reads;
  kind->objective_us = route->objective_us;
  kind->timeout_us = route->timeout_us;
  kind->priority = route->priority;
  return k->n++;
}

void
ovl_note_exec_time (struct ovl_kinds *k, uint32_t kind, int64_t excess_us)
{
  struct ovl_kind *of = &k->kinds[kind];

  of->excess_us += (excess_us - of->excess_us) / WORK_SMOOTHING;
}

uint32_t
ovl_rank (const struct ovl_kinds *k, uint32_t kind)
{
  const struct ovl_kind *of = &k->kinds[kind];
  uint32_t rank = 1 + (uint32_t)MAX (of->priority, 0) * RANKS_A_PRIORITY;

  for (uint32_t i = 0; i < k->n; i++)
    {
      const struct ovl_kind *other = &k->kinds[i];

      if (other->priority == of->priority
          && other->excess_us + EQUAL_US < of->excess_us)
        rank++;
    }
  return rank;
}

int64_t
ovl_max_wait_us (const struct ovl_kinds *k, uint32_t kind, bool transaction)
{
  int64_t percent
      = transaction ? PATIENCE_TRANSACTION_PERCENT : PATIENCE_PERCENT;

  return MIN (k->kinds[kind].objective_us, k->kinds[kind].timeout_us) * percent
         / 100;
}

static bool
is_paused (const struct ovl_throughput *f, int64_t now_us)
{
  return f->last_start_us == 0
         || now_us - f->last_start_us > PAUSE_GAPS * f->gap_us + PAUSE_US;
}

void
ovl_note_start (struct ovl_throughput *f, uint32_t rank, uint32_t n_waiting,
                int64_t now_us)
{
  if (rank >= f->starved_rank)
    f->starved_rank = 0;
  if (is_paused (f, now_us))
    f->steady_since_us = now_us;
  /* Between two starts without a backlog the queue was empty for a while.  */
  else if (f->backlog)
    f->gap_us += (now_us - f->last_start_us - f->gap_us) / GAP_SMOOTHING;
  if (!f->backlog || f->steady_since_us == now_us)
    f->backlog_since_us = now_us;
  f->last_start_us = now_us;
  /* A queue that is short because others were refused doesn't mean that the
     load is over.  */
  f->backlog = n_waiting > 0
               || (f->last_refused_us > 0
                   && now_us - f->last_refused_us < STANDING_US);
}

void
ovl_note_refused (struct ovl_throughput *f, uint32_t rank, bool entering,
                  int64_t now_us)
{
  f->last_refused_us = now_us;
  if (!entering && (f->starved_rank == 0 || rank < f->starved_rank))
    f->starved_rank = rank;
}

static bool
is_starved (const struct ovl_queue *q)
{
  return q->throughput->starved_rank > 0
         && q->rank >= q->throughput->starved_rank && q->oldest_wait_us > 0;
}

bool
ovl_should_shed (const struct ovl_queue *q, int64_t patience_us,
                 int64_t waited_us, int64_t now_us)
{
  int64_t left_us = patience_us - waited_us;

  if (patience_us == 0 || is_paused (q->throughput, now_us)
      || now_us - waited_us < q->throughput->steady_since_us
      || now_us - q->throughput->backlog_since_us < STANDING_US)
    return false;
  if (left_us <= 0)
    return true;
  /* Those that came before it and aren't served halfway through what it can
     wait: it won't be served either.  */
  return q->is_new
         && (is_starved (q) || q->n_ahead * q->throughput->gap_us > left_us
             || q->oldest_wait_us > patience_us / 2);
}
