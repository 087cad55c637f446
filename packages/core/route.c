/* Choice of the instance for the next attempt.  */
#include "route.h"

#include <string.h>

/* A reported staleness older than this no longer excludes a replica.  */
#define STATE_LIFETIME_US 1000000
/* Connections to the primary are scarce: a replica is preferred even when its
   wait and distance are up to this much longer.  */
#define PRIMARY_PENALTY_MS 150

void
rte_state_init (struct rte_state *state)
{
  memset (state, 0, sizeof *state);
  state->primary = QRM_NONE;
  for (uint32_t i = 0; i < DCL_INSTANCES_MAX; i++)
    state->age_ms[i] = INT64_MAX;
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
rte_state_update (struct rte_state *state, const struct dcl_database *database,
                  const struct wire_view *view, int64_t now_us)
{
  if (view->n == 0 || view->term < state->term)
    return;
  state->term = view->term;
  state->received_us = now_us;
  state->primary = find_instance (database, view->primary);
  for (uint32_t k = 0; k < view->n; k++)
    {
      uint32_t i = find_instance (database, view->instances[k].name);

      if (i == QRM_NONE)
        continue;
      state->age_ms[i] = view->instances[k].age_ms;
      state->wait_ms[i] = view->instances[k].wait_ms;
    }
}

/* The last reported primary, or the next instance in turn when it is unknown
   or has refused.  */
static uint32_t
pick_primary (const struct dcl_database *database,
              const struct rte_state *state,
              const struct rte_criteria *criteria)
{
  uint32_t n = database->n_instances;

  if (state->primary != QRM_NONE
      && (criteria->refused_mask & (1U << state->primary)) == 0)
    return state->primary;
  for (uint32_t k = 0; k < n; k++)
    {
      uint32_t i = (criteria->rotation + k) % n;

      if ((criteria->refused_mask & (1U << i)) == 0)
        return i;
    }
  return QRM_NONE;
}

static bool
is_too_stale (const struct rte_state *state,
              const struct rte_criteria *criteria, uint32_t i, int64_t now_us)
{
  return state->age_ms[i] != INT64_MAX
         && now_us - state->received_us < STATE_LIFETIME_US
         && state->age_ms[i] > criteria->max_age_ms;
}

static uint32_t
pick_replica (const struct dcl_database *database,
              const struct rte_state *state,
              const struct rte_criteria *criteria,
              const struct rte_distance *distance, int64_t now_us)
{
  uint32_t n = database->n_instances;
  uint32_t best = QRM_NONE;
  int64_t best_cost = INT64_MAX;

  for (uint32_t k = 0; k < n; k++)
    {
      uint32_t i = (criteria->rotation + k) % n;
      int64_t cost = state->wait_ms[i] + distance->ms[i];

      if ((criteria->refused_mask & (1U << i)) != 0)
        continue;
      if (i == state->primary)
        cost += PRIMARY_PENALTY_MS;
      else if (is_too_stale (state, criteria, i, now_us))
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
                   const struct rte_state *state,
                   const struct rte_criteria *criteria,
                   const struct rte_distance *distance, int64_t now_us)
{
  uint32_t picked = QRM_NONE;

  if (criteria->read_only && !criteria->fresh
      && criteria->policy == RTE_ROUND_ROBIN)
    return criteria->rotation % database->n_instances;
  if (criteria->read_only && !criteria->fresh
      && criteria->policy == RTE_BOUNDED_STALENESS)
    picked = pick_replica (database, state, criteria, distance, now_us);
  if (picked != QRM_NONE)
    return picked;
  return pick_primary (database, state, criteria);
}
