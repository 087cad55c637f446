/* Overload control: in which order statements wait for an instance, and which
   are refused at once because they can't be served while their answer is still
   of use.  It answers loads above an instance's slots for seconds, as when all
   reads of a service fall on its primary because the replicas lag: without it
   every statement waits behind all others and all are late.  */
#ifndef CB_OVERLOAD_H
#define CB_OVERLOAD_H

#include "dir.h"

/* Kinds of request told apart; further ones share the last.  */
#define OVL_KINDS_MAX 16

/* Requests of one kind have the same declaration, whatever their database.  */
struct ovl_kind
{
  enum dir_read_consistency reads;
  int64_t objective_us;
  int64_t timeout_us;
  int32_t priority;
  int64_t excess_us; /* smoothed: how much longer one statement takes than the
                        average at the same instance and time, so that its
                        queue there doesn't count */
};

struct ovl_kinds
{
  struct ovl_kind kinds[OVL_KINDS_MAX];
  uint32_t n;
};

/* The index of ROUTE's kind, added when new.  */
uint32_t ovl_find_kind (struct ovl_kinds *k, const struct dir_route *route);
/* A statement of KIND took EXCESS_US more than the average.  */
void ovl_note_work (struct ovl_kinds *k, uint32_t kind, int64_t excess_us);
/* The place of KIND in a queue, from 1, the lowest first: by priority, then
   the shorter work, since that serves the most callers in time.  0 is for the
   proxies' own questions.  */
uint32_t ovl_rank (const struct ovl_kinds *k, uint32_t kind);
/* How long a statement of KIND may wait and still be of use, 0 = as long as
   its timeout.  */
int64_t ovl_patience_us (const struct ovl_kinds *k, uint32_t kind,
                         bool transaction);

/* Added to the rank of a statement that has waited out its patience through an
   outage: it goes after all that can still be in time.  */
#define OVL_OVERDUE (1U << 16)

/* The flow of one queue.  */
struct ovl_flow
{
  int64_t started_us; /* a statement last left the queue to run, 0 = never */
  int64_t steady_us;  /* statements left without a pause since then */
  int64_t full_us;    /* and the load has filled the queue since then */
  int64_t gap_us;     /* smoothed time between two that left */
  bool backlog;       /* statements stayed behind then, or were refused */
  int64_t refused_us; /* one was last refused, 0 = never */
  uint32_t starved; /* the lowest rank refused since one of it left, 0 = none;
                       a single statement of it waits, to see when that ends */
};

/* A statement of RANK leaves the queue to run; N_WAITING stay behind.  */
void ovl_note_start (struct ovl_flow *f, uint32_t rank, uint32_t n_waiting,
                     int64_t now_us);
/* A statement of RANK was refused, ENTERING or after it had waited.  */
void ovl_note_refused (struct ovl_flow *f, uint32_t rank, bool entering,
                       int64_t now_us);

/* The queue as a new or waiting statement sees it.  */
struct ovl_queue
{
  const struct ovl_flow *flow;
  uint32_t rank;     /* of the statement */
  bool entering;     /* it has just come to the queue */
  uint32_t n_ahead;  /* that go before it */
  int64_t oldest_us; /* how long the first of its own rank has waited */
};

/* True when a statement of PATIENCE_US that has waited for WAITED_US can't be
   served in time for a load that lasts.  Never for an outage, when nothing
   flows: it may end at any moment; nor for the short queue that an outage or a
   burst leaves: a late answer is better than none.  */
bool ovl_is_hopeless (const struct ovl_queue *q, int64_t patience_us,
                      int64_t waited_us, int64_t now_us);

#endif
