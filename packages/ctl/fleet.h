/* Asks the proxies themselves: which revision each has in force.  */
#ifndef CB_FLEET_H
#define CB_FLEET_H

#include "etcd.h"

/* What one proxy said.  */
struct fleet_vm
{
  char *vm;
  char *admin; /* address of its operators' listener */
  bool reachable;
  uint64_t revision;
  char *ready; /* reason text */
  char *json;  /* the whole status, NULL when unreachable */
};

/* The proxies named by the platform's list in the store, or by PROXIES
   ("ip:port", NULL-terminated) when given.  NULL on error.  The caller frees
   the array, whose items free themselves.  */
GPtrArray *fleet_list (struct etcd *etcd, const char *const *proxies,
                       GError **error);
/* Asks all of VMS at once; each answers within TIMEOUT_MS or is
   unreachable.  */
void fleet_ask (GPtrArray *vms, int64_t timeout_ms);
/* Number of VMs that have REVISION or a later one in force.  */
uint32_t fleet_count (const GPtrArray *vms, uint64_t revision);

#endif
