/* Chooses the instance and connection for a statement.  */
#ifndef CB_PLACE_H
#define CB_PLACE_H

#include "uplink.h"

/* What a statement needs of its instance.  */
struct plc_need
{
  bool leader; /* only the primary will do ... */
  bool prove;  /* ... and must prove its lead by a BEGIN */
  struct logpos
      floor; /* the copy must hold this position; unknown: any copy */
  const struct svc_instance *avoid; /* chosen only when nothing else fits */
};

enum plc_verdict
{
  PLC_USE,  /* LINK is idle */
  PLC_OPEN, /* open a connection to INSTANCE */
  PLC_WAIT, /* something fits, but has no room now */
  PLC_NONE  /* nothing fits */
};

struct plc_choice
{
  enum plc_verdict verdict;
  struct svc_instance *instance;
  struct ul *link;
};

/* Shares CONNECTIONS_MAX and the slots of INSTANCE between N_VMS proxies that
   all go directly, or between its homes, which are up to date.  */
struct svc_limits plc_limits_for (const struct svc_instance *instance,
                                  int32_t connections_max, uint32_t n_vms);
struct plc_choice plc_choose (const struct svc *s, const struct plc_need *need,
                              int64_t now_us);
/* True when an instance other than EXCEPT fits NEED.  */
bool plc_has_other (const struct svc *s, const struct plc_need *need,
                    const struct svc_instance *except, int64_t now_us);
/* An idle connection to INSTANCE, else room for another one.  NEEDS_SLOT: the
   statement, or one that follows it, needs a slot there.  */
struct plc_choice plc_choose_at (struct svc_instance *instance,
                                 bool needs_slot, int64_t now_us);
/* An idle connection to INSTANCE, or NULL.  */
struct ul *plc_idle_link (const struct svc_instance *instance);

#endif
