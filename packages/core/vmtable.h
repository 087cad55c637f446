/* The table of all proxies (one on each VM) and the choice of the homes of an
   instance: the proxies that hold connections to it.

   With few proxies, for each of which the instance's connection limit allows
   several, every proxy connects directly.  Otherwise a few homes share the
   limit and the other proxies forward their statements through them, so that
   the limited connections serve all proxies, no statement pays for opening a
   connection, and under load the most urgent statements of all proxies go
   first.  */
#ifndef CB_VMTABLE_H
#define CB_VMTABLE_H

#include "dir.h"

/* Homes of one instance: enough that losing one leaves most connections, few
   enough that each has several connections to share among the proxies that it
   serves.  */
#define VMT_HOMES_MAX 4
#define VMT_LINKS_PER_HOME 8
/* The same where each connection belongs to one account: more connections at
   one place serve more accounts without being opened anew.  */
#define VMT_ACCOUNT_LINKS_PER_HOME 12

/* A proxy of the deployment, named after its VM.  */
struct vmt_vm
{
  char *name;
  char *address; /* host:port where it accepts other proxies' statements */
  char *data_centre;
  double capacity; /* in cores */
};

/* All known proxies, this one included.  */
struct vmt_table
{
  GPtrArray *vms;      /* struct vmt_vm *, owned */
  uint64_t generation; /* incremented with every change */
  char *own_name;
  GHashTable *regions;        /* data centre -> region, borrowed */
  bool incomplete;            /* too few proxies may be known to act on it */
  int64_t first_listed_us;    /* end of the first listing, 0 = not yet */
  uint32_t n_last_seen;       /* number of proxies at the last check */
  int64_t unchanged_since_us; /* time since which that number is the same */
};

/* The homes of an instance.  The VMs are borrowed and valid while the table
   stays at GENERATION.  */
struct vmt_homes
{
  uint64_t generation;
  bool direct;       /* every proxy connects directly; there are no homes */
  bool includes_own; /* this proxy is a home */
  uint32_t n;
  const struct vmt_vm *vms[VMT_HOMES_MAX]; /* best first */
};

void vmt_init (struct vmt_table *t, const char *own_name, GHashTable *regions);
/* Frees the contents of T, not T itself.  */
void vmt_free (struct vmt_table *t);
/* Adds or replaces the proxy NAME; all strings are copied.  */
void vmt_set (struct vmt_table *t, const char *name, const char *address,
              const char *data_centre, double capacity);
void vmt_remove (struct vmt_table *t, const char *name);
/* Marks the table as incomplete.  If the first listing already contained this
   proxy's own entry (WAS_REGISTERED), the table is complete from then on: the
   entries of the other proxies outlived their processes as well.  Otherwise
   proxies may be starting together, and the table is complete once their
   number has stayed the same for a while, at the latest VMT_STARTUP_MAX_US
   after the listing.  */
#define VMT_STARTUP_MAX_US 1500000
void vmt_await_peers (struct vmt_table *t);
void vmt_note_first_listing (struct vmt_table *t, bool was_registered,
                             int64_t now_us);
/* Checks the number of proxies for changes and returns true if the table is
   complete.  */
bool vmt_check_complete (struct vmt_table *t, int64_t now_us);
/* Returns the proxy NAME, or NULL if it is unknown or NAME is NULL.  */
const struct vmt_vm *vmt_find (const struct vmt_table *t, const char *name);
/* Returns true if the proxy NAME is one of the homes H.  */
bool vmt_is_home (const struct vmt_homes *h, const char *name);
/* Chooses the homes of INSTANCE by weighted rendezvous hashing: proxies near
   the instance come first, those with more capacity are chosen more often, and
   a proxy that joins or leaves moves only its own homes.  */
void vmt_choose_homes (const struct vmt_table *t,
                       const struct dir_instance *instance,
                       int32_t connections_max, struct vmt_homes *out);
/* The same where connections belong to accounts: all proxies use homes.  */
void vmt_choose_account_homes (const struct vmt_table *t,
                               const struct dir_instance *instance,
                               int32_t connections_max, struct vmt_homes *out);
/* Returns true if the home VM is not to be used at present.  */
typedef bool vmt_skip_fn (void *arg, const struct vmt_vm *vm);
/* Returns the home of H that holds the connections of ACCOUNT, so that few
   places open connections for it: the first choice that SKIP does not exclude,
   or the first one if all are excluded.  NULL if H has no homes.  */
const struct vmt_vm *vmt_find_account_home (const struct vmt_homes *h,
                                            const char *account,
                                            vmt_skip_fn *skip, void *arg);

#endif
