/* Chooses the instance and connection for a statement.  */
#ifndef CB_PLACE_H
#define CB_PLACE_H

#include "uplink.h"

/* What a statement needs of its instance.  */
struct plc_need
{
  bool leader;     /* only the proved primary will do */
  struct lp floor; /* the copy must hold this position; unknown: any copy */
  const struct svc_instance *avoid; /* chosen only when nothing else fits */
};

/* How many connections this VM may have to one instance.  */
struct plc_limits
{
  uint32_t share; /* kept open */
  uint32_t most;  /* for a short while */
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

/* Shares CONNECTIONS_MAX of an instance between N_VMS proxies.  */
struct plc_limits plc_limits_for (int32_t connections_max, uint32_t n_vms);
struct plc_choice plc_choose (const struct svc *s, const struct plc_need *need,
                              struct plc_limits limits, int64_t now_us);
/* An idle connection to INSTANCE, or NULL.  */
struct ul *plc_idle_link (const struct svc_instance *instance);

#endif
