/* The cooperation of the session poolers of a deployment: the links between
   them, the failover of primaries, and the directory updates that a proxy
   sends to peers that do not watch the store or cannot reach it.

   Single-threaded, on the thread of the loop.  NOW_US is monotonic time in
   microseconds.  */
#ifndef CB_CLUSTER_H
#define CB_CLUSTER_H

#include "feed.h"
#include "gossip.h"
#include "peers.h"
#include "sessionfailover.h"

/* The operations on the store and on the platform that the cluster needs.  */
struct cluster_sink
{
  /* Claim and promote as in struct sfo_port_ops; the results are passed to the
     module that cluster_failover returns.  */
  void (*claim) (void *arg, const struct sfo_claim_request *request);
  void (*promote) (void *arg, const char *service, const char *instance,
                   uint64_t token);
  /* Fills in MESSAGE with the directory items newer than REVISION.  */
  void (*collect_updates) (void *arg, uint64_t revision,
                           struct gsp_message *message);
  /* Applies items received from a peer.  Returns false when they do not follow
     on the items known here, so that some between would be missing.  */
  bool (*apply_updates) (void *arg, const struct gsp_message *items);
  /* Returns the revision up to which all items are known.  */
  uint64_t (*known_revision) (void *arg);
  void *arg;
};

struct cluster_options
{
  struct loop *loop;
  struct plr *pooler;
  struct ctr_set *counters;
  struct ev_log *log;
  const char *vm;
  const char *listen; /* host:port for peers */
  const char *data_centre;
  bool tokens_are_checked; /* see struct sfo_options */
  int64_t stale_us; /* age limit of the directory; see struct fed_options */
  struct cluster_sink sink;
};

struct cluster;

/* Starts listening for peers.  OPTIONS is copied; what it points to is
   borrowed.  Returns NULL and sets ERROR when the address cannot be bound.  */
struct cluster *cluster_new (const struct cluster_options *options,
                             GError **error);
void cluster_free (struct cluster *c);
/* Returns the failover module of the session path, owned by C.  */
struct sfo *cluster_failover (struct cluster *c);
/* A proxy's entry in the directory, as the proxy itself wrote it.  */
struct cluster_vm
{
  const char *name;
  const char *address;       /* host:port for peers */
  const char *relay_address; /* host:port for statements of other proxies */
  const char *data_centre;
  double capacity; /* in cores */
};

/* Adds or updates a proxy, this one included.  VM is copied.  */
void cluster_set_vm (struct cluster *c, const struct cluster_vm *vm,
                     int64_t now_us);
void cluster_remove_vm (struct cluster *c, const char *name, int64_t now_us);
/* Returns the module that decides whether this proxy watches the store; owned
   by C.  */
struct fed *cluster_feed (struct cluster *c);
/* Requests directory updates from one proxy picked at random.  */
void cluster_request_updates (struct cluster *c);
/* Runs the timers that are due, at most once every SFO_TICK_US.  Must be
   called after each iteration of the loop.  */
void cluster_tick (struct cluster *c, int64_t now_us);

#endif
