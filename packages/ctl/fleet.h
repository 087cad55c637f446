/* Queries the status of the proxies, above all the configuration revision that
   each has in force.  */
#ifndef CB_FLEET_H
#define CB_FLEET_H

#include "etcd.h"

/* One proxy and its reply.  */
struct fleet_vm
{
  char *vm;
  char *admin; /* address of its operators' listener */
  bool reachable;
  uint64_t revision; /* of the configuration in force */
  char *ready;       /* whether it is ready for callers, or why not */
  char *json;        /* the whole status, NULL when unreachable */
};

/* Returns the proxies (struct fleet_vm *) that are registered in the store, or
   those at the addresses PROXIES ("ip:port", NULL-terminated) if there are
   any.  The caller frees the array, which frees its items.  Returns NULL and
   sets ERROR when the store cannot be read.  */
GPtrArray *fleet_list (struct etcd *etcd, const char *const *proxies,
                       GError **error);
/* Queries VMS in parallel.  A proxy that does not reply within TIMEOUT_MS is
   marked as unreachable.  */
void fleet_query_status (GPtrArray *vms, int64_t timeout_ms);
/* Returns the number of reachable VMs that have REVISION or a later one in
   force.  */
uint32_t fleet_count_current (const GPtrArray *vms, uint64_t revision);

#endif
