/* Table of the faults that tests inject.  */
#include "fault.h"

#include <string.h>

#define GROUPS 2
#define INSTANCES 3
#define LAG_US 20000000
/* Less than the max_age_ms that reads of kind lookup allow.  */
#define LAG_SHORT_US 900000

static uint32_t
find_primary (struct world *w, uint32_t g)
{
  struct grp *group = world_group (w, g);
  uint32_t best = 0;
  uint64_t term = 0;

  for (uint32_t i = 0; i < group->n; i++)
    if (group->instances[i].role == QRM_PRIMARY
        && group->instances[i].term > term)
      {
        best = i;
        term = group->instances[i].term;
      }
  return best;
}

static uint32_t
pick_replica (struct world *w, uint32_t g)
{
  return (find_primary (w, g) + 1) % INSTANCES;
}

static void
kill_primary (struct world *w, int64_t n)
{
  world_kill_instance (w, (uint32_t)n, find_primary (w, (uint32_t)n));
}

static void
kill_replica (struct world *w, int64_t n)
{
  world_kill_instance (w, (uint32_t)n, pick_replica (w, (uint32_t)n));
}

static void
restart_instances (struct world *w, int64_t n)
{
  for (uint32_t i = 0; i < INSTANCES; i++)
    world_restart_instance (w, (uint32_t)n, i);
}

static void
isolate_primary (struct world *w, int64_t n)
{
  world_cut_centre (w, find_primary (w, (uint32_t)n), true);
}

static void
cut_centre (struct world *w, int64_t n)
{
  world_cut_centre (w, (uint32_t)n, true);
}

static void
heal_links (struct world *w, int64_t n)
{
  (void)n;
  for (uint32_t c = 0; c < INSTANCES; c++)
    world_cut_centre (w, c, false);
}

static void
pause_primary (struct world *w, int64_t n)
{
  struct grp *g = world_group (w, (uint32_t)n);

  g->instances[find_primary (w, (uint32_t)n)].paused = true;
}

static void
resume_instances (struct world *w, int64_t n)
{
  for (uint32_t i = 0; i < INSTANCES; i++)
    world_group (w, (uint32_t)n)->instances[i].paused = false;
}

static void
set_lag (struct world *w, uint32_t g, uint32_t i, int64_t us)
{
  world_group (w, g)->instances[i].lag_us = us;
}

static void
lag_one (struct world *w, int64_t n)
{
  set_lag (w, (uint32_t)n, pick_replica (w, (uint32_t)n), LAG_US);
}

static void
lag_short (struct world *w, int64_t n)
{
  set_lag (w, (uint32_t)n, pick_replica (w, (uint32_t)n), LAG_SHORT_US);
}

static void
lag_all (struct world *w, int64_t n)
{
  for (uint32_t i = 0; i < INSTANCES; i++)
    set_lag (w, (uint32_t)n, i, LAG_US);
}

static void
no_lag (struct world *w, int64_t n)
{
  for (uint32_t i = 0; i < INSTANCES; i++)
    set_lag (w, (uint32_t)n, i, 0);
}

static void
silence_primary (struct world *w, int64_t n)
{
  world_silence_connections (w, (uint32_t)n, find_primary (w, (uint32_t)n));
}

static void
silence_replica (struct world *w, int64_t n)
{
  world_silence_connections (w, (uint32_t)n, pick_replica (w, (uint32_t)n));
}

static void
lose_after (struct world *w, int64_t n)
{
  world_lose_commit (w, (uint32_t)n, find_primary (w, (uint32_t)n), true);
}

static void
lose_before (struct world *w, int64_t n)
{
  world_lose_commit (w, (uint32_t)n, find_primary (w, (uint32_t)n), false);
}

static void
kill_node (struct world *w, int64_t n)
{
  world_kill_node (w, (uint32_t)n);
}

static void
start_nodes (struct world *w, int64_t n)
{
  (void)n;
  for (uint32_t k = 0; k < world_n_nodes (w); k++)
    world_start_node (w, k);
}

static void
pause_node (struct world *w, int64_t n)
{
  world_pause_node (w, (uint32_t)n, true);
}

static void
resume_nodes (struct world *w, int64_t n)
{
  (void)n;
  for (uint32_t k = 0; k < world_n_nodes (w); k++)
    world_pause_node (w, k, false);
}

static void
store_down (struct world *w, int64_t n)
{
  (void)n;
  world_store_down (w, true);
}

static void
store_up (struct world *w, int64_t n)
{
  (void)n;
  world_store_down (w, false);
  world_store_slow (w, 0);
  world_store_stale (w, false);
}

static void
store_slow (struct world *w, int64_t n)
{
  (void)n;
  world_store_slow (w, 1500000);
}

static void
store_stale (struct world *w, int64_t n)
{
  (void)n;
  world_store_stale (w, true);
}

static void
disturb_links (struct world *w, int64_t n)
{
  (void)n;
  world_disturb_links (w, true);
}

static void
calm_links (struct world *w, int64_t n)
{
  (void)n;
  world_disturb_links (w, false);
}

static void
apply (struct world *w, int64_t n)
{
  world_apply_changed_kinds (w, n);
}

const struct fault fault_table[] = {
  { "kill_primary", kill_primary, true, GROUPS },
  { "kill_replica", kill_replica, true, GROUPS },
  { "restart_instances", restart_instances, true, GROUPS },
  { "isolate_primary", isolate_primary, true, GROUPS },
  { "cut_centre", cut_centre, true, INSTANCES },
  { "heal_links", heal_links, true, 1 },
  { "pause_primary", pause_primary, true, GROUPS },
  { "resume_instances", resume_instances, true, GROUPS },
  { "lag_one", lag_one, true, GROUPS },
  { "lag_short", lag_short, true, GROUPS },
  { "lag_all", lag_all, true, GROUPS },
  { "no_lag", no_lag, true, GROUPS },
  { "silence_primary", silence_primary, true, GROUPS },
  { "silence_replica", silence_replica, true, GROUPS },
  { "lose_after", lose_after, true, GROUPS },
  { "lose_before", lose_before, true, GROUPS },
  { "kill_node", kill_node, true, 6 },
  { "start_nodes", start_nodes, true, 1 },
  { "pause_node", pause_node, true, 6 },
  { "resume_nodes", resume_nodes, true, 1 },
  { "store_down", store_down, true, 1 },
  { "store_up", store_up, true, 1 },
  { "store_slow", store_slow, true, 1 },
  { "store_stale", store_stale, true, 1 },
  { "disturb_links", disturb_links, true, 1 },
  { "calm_links", calm_links, true, 1 },
  { "apply", apply, true, 2 },
  { NULL, NULL, false, 0 },
};

const struct fault *
fault_find (const char *name)
{
  for (const struct fault *f = fault_table; f->name; f++)
    if (strcmp (f->name, name) == 0)
      return f;
  return NULL;
}

void
fault_heal_all (struct world *w)
{
  heal_links (w, 0);
  for (uint32_t g = 0; g < GROUPS; g++)
    {
      restart_instances (w, g);
      resume_instances (w, g);
      no_lag (w, g);
    }
  resume_nodes (w, 0);
  start_nodes (w, 0);
  store_up (w, 0);
  calm_links (w, 0);
}
