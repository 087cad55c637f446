/* Choice of the instance that an attempt goes to.  */
#ifndef CB_ROUTE_H
#define CB_ROUTE_H

#include "quorum.h"
#include "wire.h"

/* All but RTE_BOUNDED_STALENESS exist as baselines for measurement.  */
enum rte_policy
{
  RTE_BOUNDED_STALENESS, /* replicas within their allowance, the primary last
                          */
  RTE_PRIMARY_ONLY,      /* every read to the primary */
  RTE_ROUND_ROBIN        /* reads to all instances in turn */
};

/* What this proxy last heard of a group, by the declaration's order.  */
struct rte_state
{
  uint64_t term;
  uint32_t primary; /* QRM_NONE when unknown */
  int64_t received_us;
  int64_t age_ms[DCL_INSTANCES_MAX]; /* when heard; INT64_MAX = unproved */
  int64_t wait_ms[DCL_INSTANCES_MAX];
};

struct rte_criteria
{
  bool read;
  bool fresh;
  int64_t max_age_ms;
  uint32_t refused_mask; /* bit mask of instances that refused this request */
  uint32_t rotation;     /* spreads equal choices */
  enum rte_policy policy;
};

/* Estimated network distance in milliseconds from here to each instance.  */
struct rte_distance
{
  int64_t ms[DCL_INSTANCES_MAX];
};

void rte_state_init (struct rte_state *belief);
/* Takes a view from a reply unless it speaks of an earlier term.  */
void rte_state_update (struct rte_state *belief,
                       const struct dcl_database *database,
                       const struct wire_view *view, int64_t now_us);
/* Index of the instance, QRM_NONE when all are tried.  */
uint32_t rte_pick_instance (const struct dcl_database *database,
                            const struct rte_state *belief,
                            const struct rte_criteria *need,
                            const struct rte_distance *distance,
                            int64_t now_us);

#endif
