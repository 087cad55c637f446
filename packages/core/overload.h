/* Overload control: the order in which statements wait for an instance, and
   load shedding, which refuses at once the statements that cannot be served
   while the reply is still of use.

   It is meant for loads that exceed the slots of an instance for seconds, for
   example when all reads of a service go to its primary because the replicas
   lag.  Without it every statement waits behind all others, and all of them
   are late.  */
#ifndef CB_OVERLOAD_H
#define CB_OVERLOAD_H

#include "dir.h"

/* Number of request kinds that are distinguished; any further ones share the
   last.  */
#define OVL_KINDS_MAX 32

/* Requests of one kind are all transactions, or all single statements, and
   have routes with equal settings, whatever their database.  */
struct ovl_kind
{
  uint32_t id; /* the same at all proxies, never 0 */
  enum dir_read_consistency reads;
  int64_t objective_us;
  int64_t timeout_us;
  int32_t priority;
  bool transaction;
  int64_t excess_us; /* smoothed: by how much the execution time exceeds the
                        average at the same instance and time; taken as a
                        difference so that the instance's own queue does not
                        count */
};

struct ovl_kinds
{
  struct ovl_kind kinds[OVL_KINDS_MAX];
  uint32_t n;
};

/* The index of the kind of a TRANSACTION or single statement on ROUTE, added
   when new.  */
uint32_t ovl_find_kind (struct ovl_kinds *k, const struct dir_route *route,
                        bool transaction);
/* The id of that kind.  */
uint32_t ovl_kind_id (const struct dir_route *route, bool transaction);
/* Stores in KIND the index of the kind with ID.  Returns false if there is
   none.  */
bool ovl_find_kind_id (const struct ovl_kinds *k, uint32_t id, uint32_t *kind);
/* A statement of KIND took EXCESS_US more than the average.  */
void ovl_note_exec_time (struct ovl_kinds *k, uint32_t kind,
                         int64_t excess_us);
/* The rank of KIND in a queue, from 1; the lowest goes first.  Ranks follow
   the priority and, within it, the time for which a request occupies a slot:
   serving the shorter requests first serves the most callers in time.  Those
   of a single statement, by their execution time, are shorter than
   transactions, which run several.  Rank 0 is for the requests of the proxies
   themselves.  */
uint32_t ovl_rank (const struct ovl_kinds *k, uint32_t kind);
/* The wait budget of a statement of KIND: how long it may wait and still be of
   use.  0 = as long as its timeout.  */
int64_t ovl_max_wait_us (const struct ovl_kinds *k, uint32_t kind);

/* Added to the rank of a statement that used up its wait budget during an
   outage: it then goes after all that can still be in time.  */
#define OVL_OVERDUE_RANK (1U << 16)

/* Number of starts whose ranks are remembered.  */
#define OVL_RECENT_MAX 32

/* How fast statements leave one queue.  */
struct ovl_throughput
{
  int64_t last_start_us;    /* a statement last left the queue to run, 0 =
                               never */
  int64_t steady_since_us;  /* statements have left without a pause since */
  int64_t backlog_since_us; /* and the queue has not been empty since */
  int64_t gap_us;           /* smoothed time between two starts */
  bool backlog;             /* statements stayed behind at the last start, or
                               were refused */
  int64_t last_refused_us;  /* 0 = never */
  uint32_t n_starts;
  uint32_t recent_ranks[OVL_RECENT_MAX]; /* of the last starts, as a ring */
  uint32_t starved_rank; /* the lowest rank refused after waiting, 0 = none.
                            Until a statement of that rank or a later one
                            starts, at most one statement of each such rank
                            waits, to detect when the starvation ends.  */
};

/* A statement of RANK leaves the queue to run; N_WAITING stay behind.  */
void ovl_note_start (struct ovl_throughput *t, uint32_t rank,
                     uint32_t n_waiting, int64_t now_us);
/* A statement of RANK was refused, either on arrival (IS_NEW) or after it had
   waited.  */
void ovl_note_refused (struct ovl_throughput *t, uint32_t rank, bool is_new,
                       int64_t now_us);

/* The queue from the point of view of one statement.  */
struct ovl_queue
{
  const struct ovl_throughput *throughput;
  uint32_t rank;          /* of the statement */
  bool is_new;            /* it has just arrived */
  uint32_t n_ahead;       /* statements that go before it */
  int64_t oldest_wait_us; /* how long the first of its rank has waited */
};

/* True when a statement with a wait budget of MAX_WAIT_US that has waited for
   WAITED_US should be refused, because under a sustained load it cannot be
   served in time.  False during an outage, when no statement starts, since it
   may end at any moment; and false for the short queue that an outage or a
   burst leaves, since a late reply is better than none.  */
bool ovl_should_shed (const struct ovl_queue *q, int64_t max_wait_us,
                      int64_t waited_us, int64_t now_us);

#endif
