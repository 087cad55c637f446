/* A workload of roaming callers in a world, and the checker of its history
   against the promises.  */
#ifndef FAKE_HISTORY_H
#define FAKE_HISTORY_H

#include "world.h"

#define HISTORY_CALLERS_MAX 64

/* One caller: one call at a time, at any proxy, with a key of its own.  */
struct history_caller
{
  struct world_call *call; /* not yet judged */
  int64_t next_us;
  uint32_t generation; /* the key changes when its state is unknown */
  uint32_t sequence;   /* of the latest write sent */
  uint32_t acked;      /* highest acknowledged in this generation */
  struct tok token;
  bool own; /* the read under way is of its own key */
};

struct history
{
  struct world *world;
  uint32_t n_callers;
  struct history_caller callers[HISTORY_CALLERS_MAX];
  GString *violations;
  uint32_t calls;
  uint32_t done;
  uint32_t not_run;
  uint32_t unknown;
  uint32_t orphaned; /* their proxy died */
};

void history_init (struct history *h, struct world *w, uint32_t n_callers);
void history_free (struct history *h);
/* Lets the callers work for US of virtual time.  */
void history_run (struct history *h, int64_t us);
/* Waits for the calls under way, heals nothing, then checks outcomes against
   the logs of the groups' last primaries.  The text of all violations, ""
   when there is none; owned by H.  */
const char *history_check (struct history *h);
/* Longest time between two acknowledged writes so far, in microseconds.  */
int64_t history_write_gap_us (const struct history *h);

#endif
