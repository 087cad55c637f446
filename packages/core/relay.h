/* Which proxies hold the connections to an instance.  A few proxies, for each
   of which its limit allows several, go directly.  Else a few homes share the
   limit and the other proxies send their statements through them, so that the
   limited connections serve all, no statement pays for opening one, and under
   load the urgent statements of all proxies go first.  */
#ifndef CB_RELAY_H
#define CB_RELAY_H

#include "dir.h"

/* Homes of one instance: enough that losing one leaves most connections, few
   enough that each has several to share among those it serves.  */
#define RLY_HOMES_MAX 4
#define RLY_LINKS_A_HOME 8

/* A proxy of the deployment.  */
struct rly_vm
{
  char *name;
  char *address; /* host:port where it takes other proxies' statements */
  char *data_centre;
  double capacity; /* in cores */
};

/* All proxies known, this one included.  */
struct rly_table
{
  GPtrArray *vms;      /* struct rly_vm * */
  uint64_t generation; /* changes with every change */
  char *own;
  GHashTable *regions; /* data centre -> region, borrowed */
  bool awaited;        /* not known well enough to act on */
  int64_t listed_us;   /* first read then, 0 = not yet */
  uint32_t n_quiet;    /* proxies known when it was last looked at, ... */
  int64_t quiet_us;    /* ... and since when there are no more */
};

/* The homes of an instance.  The VMs are borrowed until GENERATION passes.  */
struct rly_homes
{
  uint64_t generation;
  bool direct; /* every proxy goes directly */
  bool own;    /* this proxy is a home */
  uint32_t n;
  const struct rly_vm *vms[RLY_HOMES_MAX];
};

void rly_init (struct rly_table *t, const char *own, GHashTable *regions);
void rly_free (struct rly_table *t);
/* Adds or changes a proxy; all texts are copied.  */
void rly_set (struct rly_table *t, const char *name, const char *address,
              const char *data_centre, double capacity);
void rly_remove (struct rly_table *t, const char *name);
/* The table is not known yet.  It is from the first listing on when that held
   this proxy's entry AGAIN: the others' entries outlived their processes too.
   Else proxies may be starting together, and it is known once no more come for
   a while, at the longest RLY_AWAIT_US after the listing.  */
#define RLY_AWAIT_US 1500000
void rly_await (struct rly_table *t);
void rly_note_listed (struct rly_table *t, bool again, int64_t now_us);
/* Looks at the table again, and says whether it is known.  */
bool rly_is_known (struct rly_table *t, int64_t now_us);
/* The proxy of that name, NULL when unknown or NAME is.  */
const struct rly_vm *rly_get (const struct rly_table *t, const char *name);
/* True when the proxy of that name is one of H.  */
bool rly_is_home (const struct rly_homes *h, const char *name);
/* The homes of INSTANCE, by weighted rendezvous hashing: near ones first, the
   strong more often; a proxy that comes or goes moves only its own.  */
void rly_find_homes (const struct rly_table *t,
                     const struct dir_instance *instance,
                     int32_t connections_max, struct rly_homes *out);

#endif
