/* Placement: chooses the instance and connection for a statement, and limits
   the connections and running statements of this proxy at an instance.  */
#ifndef CB_PLACE_H
#define CB_PLACE_H

#include "uplink.h"

/* What a statement needs of its instance.  */
struct plc_need
{
  bool primary_only; /* only the primary is eligible ... */
  bool confirm;      /* ... and a leadership check (BEGIN) must come first */
  struct logpos min_position; /* the instance must have reached this position;
                             unknown: any */
  const struct svc_instance *avoid; /* chosen only if no other can be */
  const struct plc_paths *paths;    /* NULL: any idle connection will do */
  const char *account; /* with PATHS: whose connections may be used */
  int64_t waited_us;   /* so far */
};

/* How this proxy reaches an instance for an account, where connections belong
   to accounts: through the proxy returned, or directly if that is NULL.  */
struct plc_paths
{
  const struct vmt_vm *(*find) (const struct plc_paths *paths,
                                const struct svc_instance *instance,
                                const char *account, int64_t now_us);
};

enum plc_decision
{
  PLC_USE,     /* send on LINK, which is idle */
  PLC_OPEN,    /* open a connection to INSTANCE */
  PLC_REPLACE, /* the same, after LINK was closed */
  PLC_WAIT,    /* an instance is eligible, but none has room now */
  PLC_NONE     /* no instance is eligible */
};

struct plc_choice
{
  enum plc_decision decision;
  struct svc_instance *instance;
  struct ul *link;
};

/* The part of CONNECTIONS_MAX and of the slots of INSTANCE that this proxy may
   use.  They are divided between N_VMS proxies if all connect directly, else
   between the homes of INSTANCE, which must be up to date.  */
struct svc_limits plc_limits_for (const struct svc_instance *instance,
                                  int32_t connections_max, uint32_t n_vms);
/* The same where connections belong to accounts.  */
struct svc_limits plc_account_limits_for (const struct svc_instance *instance,
                                          int32_t connections_max);
/* Returns how many connections this proxy has to INSTANCE directly.  */
uint32_t plc_count_direct (const struct svc_instance *instance);
/* Chooses the eligible instance of the lowest cost that has an idle connection
   or room for a new one.  */
struct plc_choice plc_choose (const struct svc *s, const struct plc_need *need,
                              int64_t now_us);
/* True when an instance other than EXCEPT is eligible.  */
bool plc_has_other (const struct svc *s, const struct plc_need *need,
                    const struct svc_instance *except, int64_t now_us);
/* Chooses an idle connection to INSTANCE, else permits opening another one.
   NEEDS_SLOT: the statement, or one that follows it, occupies a slot there, so
   that the limit of running statements applies.  */
struct plc_choice plc_choose_at (struct svc_instance *instance,
                                 bool needs_slot, int64_t now_us);
/* The same where connections belong to accounts, for a statement of ACCOUNT
   that has waited for WAITED_US.  */
struct plc_choice plc_choose_account_link (struct svc_instance *instance,
                                           const char *account,
                                           int64_t waited_us, bool needs_slot,
                                           int64_t now_us);
/* An idle connection to INSTANCE, or NULL.  */
struct ul *plc_idle_link (const struct svc_instance *instance);

#endif
