/* The proxies of a deployment together: links between them, the succession of
   primaries, and the directory passed on to those that can't reach it.  */
#ifndef CB_CLUSTER_H
#define CB_CLUSTER_H

#include "feed.h"
#include "gossip.h"
#include "peers.h"
#include "sessionfailover.h"

struct cluster_sink
{
  /* See struct sfo_port_ops.  */
  void (*claim) (void *arg, const char *service, uint64_t known,
                 const char *instance);
  void (*promote) (void *arg, const char *service, const char *instance,
                   uint64_t token);
  /* Fills MESSAGE in with what is newer than REVISION.  */
  void (*collect) (void *arg, uint64_t revision, struct gsp_message *message);
  /* Takes items that a peer knows; false when they don't follow on what is
     known here.  */
  bool (*learn) (void *arg, const struct gsp_message *items);
  /* Up to where all items are known.  */
  uint64_t (*complete_to) (void *arg);
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
  int64_t stale_us; /* see struct fed_options */
  struct cluster_sink sink;
};

struct cluster;

/* NULL with a message in ERROR when the address cannot be bound.  */
struct cluster *cluster_new (const struct cluster_options *options,
                             GError **error);
void cluster_free (struct cluster *c);
struct sfo *cluster_succession (struct cluster *c);
/* A proxy, as it describes itself.  */
struct cluster_vm
{
  const char *name;
  const char *address;       /* host:port for peers */
  const char *relay_address; /* host:port for statements of other proxies */
  const char *data_centre;
  double capacity; /* in cores */
};

void cluster_set_vm (struct cluster *c, const struct cluster_vm *vm,
                     int64_t now_us);
void cluster_remove_vm (struct cluster *c, const char *name, int64_t now_us);
/* Who reads the store.  */
struct fed *cluster_feed (struct cluster *c);
/* Asks one peer for what is new in the directory.  */
void cluster_ask_directory (struct cluster *c);
/* Call after each turn of the loop.  */
void cluster_turn (struct cluster *c, int64_t now_us);

#endif
