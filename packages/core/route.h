/* Choice of the instance that the next attempt at a request is sent to.  */
#ifndef CB_ROUTE_H
#define CB_ROUTE_H

#include "quorum.h"
#include "wire.h"

/* The policies other than RTE_BOUNDED_STALENESS are baselines for
   measurements.  */
enum rte_policy
{
  RTE_BOUNDED_STALENESS, /* a replica no staler than allowed, else primary */
  RTE_PRIMARY_ONLY,      /* all reads go to the primary */
  RTE_ROUND_ROBIN        /* reads go to all instances in turn */
};

/* The last view of a database group that a home reported to this proxy.
   Arrays follow the order of the instances in the declaration.  */
struct rte_state
{
  uint64_t term;
  uint32_t primary;                   /* QRM_NONE when unknown */
  int64_t received_us;                /* when the view arrived */
  int64_t age_ms[DCL_INSTANCES_MAX];  /* staleness, INT64_MAX = unknown */
  int64_t wait_ms[DCL_INSTANCES_MAX]; /* estimated queueing time */
};

/* What a request needs of its instance.  */
struct rte_criteria
{
  bool read_only;
  bool fresh;            /* must not be stale at all */
  int64_t max_age_ms;    /* staleness allowed to a replica */
  uint32_t refused_mask; /* bit mask of instances that refused this request */
  uint32_t rotation;     /* instance to start from, to spread equal choices */
  enum rte_policy policy;
};

/* Estimated network distance in milliseconds from here to each instance.  */
struct rte_distance
{
  int64_t ms[DCL_INSTANCES_MAX];
};

void rte_state_init (struct rte_state *state);
/* Stores the view of a reply unless it belongs to an earlier term.  */
void rte_state_update (struct rte_state *state,
                       const struct dcl_database *database,
                       const struct wire_view *view, int64_t now_us);
/* Index of the instance to use, QRM_NONE when all have refused.  */
uint32_t rte_pick_instance (const struct dcl_database *database,
                            const struct rte_state *state,
                            const struct rte_criteria *criteria,
                            const struct rte_distance *distance,
                            int64_t now_us);

#endif
