/* Choice of the instance that an attempt goes to.  */
#include "route.h"

#include <string.h>

/* A belief about lag older than this no longer rules a replica out.  */
#define BELIEF_LIFE_US 1000000
/* Primary connections are scarce: a replica is preferred up to this much
   longer wait.  */
#define PRIMARY_PENALTY_MS 150

void
rte_state_init (struct rte_state *belief)
{
  memset (belief, 0, sizeof *belief);
  belief->primary = QRM_NONE;
  for (uint32_t i = 0; i < DCL_INSTANCES_MAX; i++)
    belief->age_ms[i] = INT64_MAX;
}

static uint32_t
find_instance (const struct dcl_database *database, const char *name)
{
  for (uint32_t i = 0; i < database->n_instances; i++)
    if (strcmp (database->instances[i].name, name) == 0)
      return i;
  return QRM_NONE;
}

void
rte_state_update (struct rte_state *belief,
                  const struct dcl_database *database,
                  const struct wire_view *view, int64_t now_us)
{
  if (view->n == 0 || view->term < belief->term)
    return;
  belief->term = view->term;
  belief->received_us = now_us;
  belief->primary = find_instance (database, view->primary);
  for (uint32_t k = 0; k < view->n; k++)
    {
      uint32_t i = find_instance (database, view->instances[k].name);

      if (i == QRM_NONE)
        continue;
      belief->age_ms[i] = view->instances[k].age_ms;
      belief->wait_ms[i] = view->instances[k].wait_ms;
    }
}

/* The believed primary, or the next instance in turn when it is unknown or
   has refused.  */
static uint32_t
pick_primary (const struct dcl_database *database,
              const struct rte_state *belief, const struct rte_criteria *need)
{
  uint32_t n = database->n_instances;

  if (belief->primary != QRM_NONE
      && (need->refused_mask & (1U << belief->primary)) == 0)
    return belief->primary;
  for (uint32_t k = 0; k < n; k++)
    {
      uint32_t i = (need->rotation + k) % n;

      if ((need->refused_mask & (1U << i)) == 0)
        return i;
    }
  return QRM_NONE;
}

static bool
is_ruled_out (const struct rte_state *belief, const struct rte_criteria *need,
              uint32_t i, int64_t now_us)
{
  return belief->age_ms[i] != INT64_MAX
         && now_us - belief->received_us < BELIEF_LIFE_US
         && belief->age_ms[i] > need->max_age_ms;
}

static uint32_t
pick_replica (const struct dcl_database *database,
              const struct rte_state *belief, const struct rte_criteria *need,
              const struct rte_distance *distance, int64_t now_us)
{
  uint32_t n = database->n_instances;
  uint32_t best = QRM_NONE;
  int64_t best_cost = INT64_MAX;

  for (uint32_t k = 0; k < n; k++)
    {
      uint32_t i = (need->rotation + k) % n;
      int64_t cost = belief->wait_ms[i] + distance->ms[i];

      if ((need->refused_mask & (1U << i)) != 0)
        continue;
      if (i == belief->primary)
        cost += PRIMARY_PENALTY_MS;
      else if (is_ruled_out (belief, need, i, now_us))
        continue;
      if (cost < best_cost)
        {
          best = i;
          best_cost = cost;
        }
    }
  return best;
}

uint32_t
rte_pick_instance (const struct dcl_database *database,
                   const struct rte_state *belief,
                   const struct rte_criteria *need,
                   const struct rte_distance *distance, int64_t now_us)
{
  uint32_t picked = QRM_NONE;

  if (need->read && !need->fresh && need->policy == RTE_ROUND_ROBIN)
    return need->rotation % database->n_instances;
  if (need->read && !need->fresh && need->policy == RTE_BOUNDED_STALENESS)
    picked = pick_replica (database, belief, need, distance, now_us);
  if (picked != QRM_NONE)
    return picked;
  return pick_primary (database, belief, need);
}
