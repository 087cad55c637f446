/* Internals shared by the files of the simulation (world*.c).  */
#ifndef FAKE_WORLDINT_H
#define FAKE_WORLDINT_H

#include "world.h"

#define CENTRES 3
#define STEP_US 250
/* The simulated wall clock at virtual time 0.  */
#define WALL_START_MS INT64_C (1800000000000)
/* Equals PEERS_ACK_TIMEOUT_MS of the real adapter: a peer link is closed when
   sent data is not acknowledged for so long.  */
#define LINK_SILENT_US 1500000
#define STORE_DELAY_US 2000
#define STORE_TIMEOUT_US 2000000

enum event_kind
{
  EVENT_OPENED,
  EVENT_OP_ARRIVES, /* at the instance */
  EVENT_OP_RUNS,    /* its service time has passed */
  EVENT_OP_REPLIED, /* the reply is back at the node */
  EVENT_MESSAGE,
  EVENT_LINK_LOST,
  EVENT_STORE,
  EVENT_CLOSED
};

struct host;

/* A connection from a node to an instance.  */
struct conn
{
  struct host *host;
  uint64_t id;
  uint32_t group;
  uint32_t instance;
  struct grp_session session;
  struct conn_op *op;
  bool silent; /* delivers nothing, yet stays open */
  bool closed;
  int32_t n_refs; /* held by the host's table and by pending events */
};

/* The operation on a connection; owns copies of what the port was given.  */
struct conn_op
{
  struct up_op up;
  struct wire_request *request;
  char *target;
  struct up_result result;
  GString *rows;
  char *stored; /* result of the ledger's row */
};

struct event
{
  enum event_kind kind;
  int64_t due_us;
  uint64_t order; /* breaks ties of due_us */
  uint32_t node;
  uint64_t incarnation; /* of the node; an event for an older one is dropped */
  struct conn *conn;
  bool ok;
  uint32_t from; /* sending host of a message, or peer of a lost link */
  char *data;
  size_t len;
  enum store_item store_item;
  char *hash;
};

/* A VM with one node on it.  */
struct host
{
  struct world *world;
  uint32_t index;
  struct up_port up;
  struct peer_port peers;
  struct store_port store;
  struct node *node; /* NULL while the node is dead */
  struct ctr_set counters;
  GHashTable *conns;
  GQueue calls; /* struct world_call * without a reply */
  uint64_t incarnation;
  bool paused;
  bool watching;
  uint64_t revision; /* applied */
  char name[16];
};

struct world
{
  struct world_options options;
  int64_t now_us;
  uint64_t order;
  GSequence *events;
  struct host hosts[WORLD_NODES_MAX];
  struct grp groups[WORLD_GROUPS_MAX];
  int32_t n_conns[WORLD_GROUPS_MAX][DCL_INSTANCES_MAX];
  int32_t running[WORLD_GROUPS_MAX][DCL_INSTANCES_MAX];
  char *names[WORLD_GROUPS_MAX][DCL_INSTANCES_MAX];
  bool lose_after_commit[WORLD_GROUPS_MAX][DCL_INSTANCES_MAX];
  bool lose_before_commit[WORLD_GROUPS_MAX][DCL_INSTANCES_MAX];
  bool cut[CENTRES]; /* data centres that are cut off */
  bool links_disturbed;
  GPtrArray *calls;
  GRand *random;
  bool store_down;
  bool store_stale;
  int64_t store_slow_us;
  uint64_t revision;
  char *manifest;
  char *old_manifest;
  GHashTable *blobs;
  uint32_t revision_regressions;
  char *databases; /* text of databases.yaml */
};

/* Text of the default kinds.yaml.  */
extern const char *const wld_default_kinds;

/* world.c, worldop.c, worldconfig.c  */
uint32_t wld_centre_of (uint32_t k);
struct event *wld_schedule (struct host *h, enum event_kind kind,
                            int64_t delay_us);
struct event *wld_schedule_conn (struct conn *conn, enum event_kind kind,
                                 int64_t delay_us);
int64_t wld_latency_us (const struct world *w, uint32_t a, uint32_t b);
bool wld_is_partitioned (const struct world *w, uint32_t a, uint32_t b);
bool wld_conn_is_connected (const struct conn *conn);
int64_t wld_conn_latency_us (const struct conn *conn);
void wld_close_conn (struct conn *conn);
bool wld_execute_op (struct conn *conn);
void wld_write_databases (struct world *w);

#endif
