/* A random workload of callers on a simulation, and the check of the resulting
   history against the consistency guarantees.  */
#ifndef FAKE_HISTORY_H
#define FAKE_HISTORY_H

#include "world.h"

#define HISTORY_CALLERS_MAX 64

/* A caller.  It makes one call at a time, each at a random proxy.  Its orders
   write a key of its own, each tally a new one.  */
struct history_caller
{
  struct world_call *call; /* under way or not checked yet */
  int64_t next_us;
  uint32_t generation; /* part of the key; a new key follows a write of unknown
                          outcome */
  uint32_t sequence;   /* of the latest write */
  uint32_t acked;      /* highest acknowledged sequence of this generation */
  struct tok token;
  bool reads_own_key; /* the current read is of its own key */
};

struct history
{
  struct world *world;
  uint32_t n_callers;
  struct history_caller callers[HISTORY_CALLERS_MAX];
  GString *violations;
  uint32_t calls; /* finished calls; the next three count them by outcome */
  uint32_t done;
  uint32_t not_run;
  uint32_t unknown;
  uint32_t orphaned; /* calls whose proxy died */
};

void history_init (struct history *h, struct world *w, uint32_t n_callers);
void history_free (struct history *h);
/* Runs the callers for US of virtual time.  */
void history_run (struct history *h, int64_t us);
/* Waits for the calls under way, without clearing any fault, and checks all
   outcomes against the logs of the groups' last primaries.  Returns the
   violations, one a line, "" if there are none; owned by H.  */
const char *history_check (struct history *h);
/* Longest time between two acknowledged writes to db0 so far.  */
int64_t history_write_gap_us (const struct history *h);

#endif
