/* Internals shared by the files of the world.  */
#ifndef FAKE_WORLDINT_H
#define FAKE_WORLDINT_H

#include "world.h"

#define CENTRES 3
#define STEP_US 250
/* The world's wall clock starts here.  */
#define WALL_START_MS INT64_C (1800000000000)
/* PEERS_ACK_TIMEOUT_MS of the real adapter.  */
#define LINK_SILENT_US 1500000
#define STORE_DELAY_US 2000
#define STORE_TIMEOUT_US 2000000

enum event_kind
{
  EVENT_OPENED,
  EVENT_OP_ARRIVES, /* at the instance */
  EVENT_OP_RUNS,    /* its service time is over */
  EVENT_OP_ANSWERED,
  EVENT_MESSAGE,
  EVENT_LINK_LOST,
  EVENT_STORE,
  EVENT_CLOSED
};

struct host;

/* A connection from a node to an instance.  */
struct pipe
{
  struct host *host;
  uint64_t id;
  uint32_t group;
  uint32_t instance;
  struct grp_session session;
  struct pipe_op *op;
  bool silent;
  bool closed;
  int32_t refs; /* the host's table and pending events */
};

/* The op on a connection; owns copies of what the port lent.  */
struct pipe_op
{
  struct up_op up;
  struct wire_request *request;
  char *target;
  struct up_result result;
  GString *rows;
  char *stored;
};

struct event
{
  enum event_kind kind;
  int64_t due_us;
  uint64_t order;
  uint32_t node;
  uint64_t incarnation;
  struct pipe *pipe;
  bool ok;
  uint32_t from; /* of a message */
  char *data;
  size_t len;
  enum store_item what;
  char *hash;
};

struct host
{
  struct world *world;
  uint32_t index;
  struct up_port up;
  struct peer_port peers;
  struct store_port store;
  struct node *node; /* NULL: dead */
  struct ctr_set counters;
  GHashTable *pipes;
  GQueue calls; /* struct world_call * without answer */
  uint64_t incarnation;
  bool paused;
  bool watching;
  uint64_t revision; /* in force */
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
  int32_t n_pipes[WORLD_GROUPS_MAX][DCL_INSTANCES_MAX];
  int32_t running[WORLD_GROUPS_MAX][DCL_INSTANCES_MAX];
  char *names[WORLD_GROUPS_MAX][DCL_INSTANCES_MAX];
  bool lose_after[WORLD_GROUPS_MAX][DCL_INSTANCES_MAX];
  bool lose_before[WORLD_GROUPS_MAX][DCL_INSTANCES_MAX];
  bool cut[CENTRES];
  bool disturbed;
  GPtrArray *calls;
  GRand *random;
  bool store_down;
  bool store_stale;
  int64_t store_slow_us;
  uint64_t revision;
  char *manifest;
  char *old_manifest;
  GHashTable *blobs;
  uint32_t revisions_back;
  char *databases;
};

/* The default kinds file.  */
extern const char *const wld_default_kinds;

/* world.c, worldop.c, worldconfig.c  */
uint32_t wld_centre_of (uint32_t k);
struct event *wld_schedule (struct host *h, enum event_kind kind,
                            int64_t delay_us);
struct event *wld_schedule_pipe (struct pipe *p, enum event_kind kind,
                                 int64_t delay_us);
int64_t wld_distance_us (const struct world *w, uint32_t a, uint32_t b);
bool wld_is_cut (const struct world *w, uint32_t a, uint32_t b);
bool wld_passes (const struct pipe *p);
int64_t wld_pipe_delay_us (const struct pipe *p);
void wld_drop_pipe (struct pipe *p);
bool wld_run_op (struct pipe *p);
void wld_write_databases (struct world *w);

#endif
