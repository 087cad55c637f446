/* Which proxies hold the connections to an instance.  A few proxies, for each
   of which its limit allows several, go directly.  Else a few homes share the
   limit and the other proxies send their statements through them, so that the
   limited connections serve all, no statement pays for opening one, and under
   load the urgent statements of all proxies go first.  */
#ifndef CB_VMTABLE_H
#define CB_VMTABLE_H

#include "dir.h"

/* Homes of one instance: enough that losing one leaves most connections, few
   enough that each has several to share among those it serves.  */
#define VMT_HOMES_MAX 4
#define VMT_LINKS_PER_HOME 8

/* A proxy of the deployment.  */
struct vmt_vm
{
  char *name;
  char *address; /* host:port where it takes other proxies' statements */
  char *data_centre;
  double capacity; /* in cores */
};

/* All proxies known, this one included.  */
struct vmt_table
{
  GPtrArray *vms;      /* struct vmt_vm * */
  uint64_t generation; /* changes with every change */
  char *own_name;
  GHashTable *regions; /* data centre -> region, borrowed */
  bool incomplete;        /* not known well enough to act on */
  int64_t first_listed_us;   /* first read then, 0 = not yet */
  uint32_t n_last_seen;    /* proxies known when it was last looked at, ... */
  int64_t unchanged_since_us;    /* ... and since when there are no more */
};

/* The homes of an instance.  The VMs are borrowed until GENERATION passes.  */
struct vmt_homes
{
  uint64_t generation;
  bool direct; /* every proxy goes directly */
  bool includes_own;    /* this proxy is a home */
  uint32_t n;
  const struct vmt_vm *vms[VMT_HOMES_MAX];
};

void vmt_init (struct vmt_table *t, const char *own, GHashTable *regions);
void vmt_free (struct vmt_table *t);
/* Adds or changes a proxy; all texts are copied.  */
void vmt_set (struct vmt_table *t, const char *name, const char *address,
              const char *data_centre, double capacity);
void vmt_remove (struct vmt_table *t, const char *name);
/* The table is not known yet.  It is from the first listing on when that held
   this proxy's entry AGAIN: the others' entries outlived their processes too.
   Else proxies may be starting together, and it is known once no more come for
   a while, at the longest VMT_STARTUP_MAX_US after the listing.  */
#define VMT_STARTUP_MAX_US 1500000
void vmt_await_peers (struct vmt_table *t);
void vmt_note_first_listing (struct vmt_table *t, bool again, int64_t now_us);
/* Looks at the table again, and says whether it is known.  */
bool vmt_check_complete (struct vmt_table *t, int64_t now_us);
/* The proxy of that name, NULL when unknown or NAME is.  */
const struct vmt_vm *vmt_find (const struct vmt_table *t, const char *name);
/* True when the proxy of that name is one of H.  */
bool vmt_is_home (const struct vmt_homes *h, const char *name);
/* The homes of INSTANCE, by weighted rendezvous hashing: near ones first, the
   strong more often; a proxy that comes or goes moves only its own.  */
void vmt_choose_homes (const struct vmt_table *t,
                     const struct dir_instance *instance,
                     int32_t connections_max, struct vmt_homes *out);

#endif
