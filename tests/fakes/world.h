/* A deterministic simulation: several proxies (struct node) run on virtual
   time in one thread.  Their three ports are connected to fakes: the database
   groups of group.h, a network between data centres with delays and
   partitions, and a store that holds a manifest.  All random choices come from
   one seed, so a run can be repeated.  */
#ifndef FAKE_WORLD_H
#define FAKE_WORLD_H

#include "group.h"
#include "node.h"

#define WORLD_NODES_MAX 16
#define WORLD_GROUPS_MAX 4

struct world;

struct world_options
{
  uint64_t seed;
  uint32_t n_nodes;
  uint32_t n_groups;
  uint32_t n_instances;   /* of each group, each in its own data centre */
  int64_t delay_us;       /* one-way latency between data centres */
  int64_t local_delay_us; /* one-way latency inside one */
  int64_t service_us;     /* service time of a statement */
  int64_t open_us;        /* time to open a connection */
  int32_t slots;          /* statements that run at once on an instance */
  int32_t connections;    /* limit of an instance */
  const char *kinds;      /* YAML of the kinds file, NULL for the default */
  const struct qrm_rule *rule;
  enum rte_policy policy;
  struct home_unsafe unsafe; /* safety checks to switch off */
  bool unsafe_any_revision;  /* nodes apply older revisions too */
};

/* Fills in O for one of the two deployments, Suva if SUVA is set: six nodes,
   two groups of three instances.  */
void world_set_deployment (struct world_options *o, bool suva, uint64_t seed);

/* A caller's call and its outcome.  */
struct world_call
{
  uint32_t node;
  enum wire_op op;
  char *database;
  char *kind;
  char *request_id;
  char *key;
  bool write;
  int64_t sent_us;
  int64_t replied_us; /* 0 until then */
  uint32_t n_replies; /* replies received; exactly 1 is correct */
  bool orphaned;      /* its proxy died before it replied */
  enum rsn reason;
  char *rows;
  char *transaction;
  struct tok token; /* as of the reply */
};

struct world *world_new (const struct world_options *options);
void world_free (struct world *w);
int64_t world_now (const struct world *w);
/* Advances virtual time by US and runs all events that become due.  */
void world_run (struct world *w, int64_t us);
struct node *world_node (struct world *w, uint32_t k);
struct grp *world_group (struct world *w, uint32_t g);
struct ctr_set *world_counters (struct world *w, uint32_t k);

/* Starts a call with the statement TEXT, which may use $1 (KEY) and $2 (ARG,
   NULL for none).  The returned call is owned by the world.  */
struct world_call *world_call (struct world *w, uint32_t node, enum wire_op op,
                               uint32_t group, const char *kind,
                               const char *request_id, const struct tok *token,
                               const char *text, const char *key,
                               const char *arg);
/* Starts a call in the interactive transaction TRANSACTION.  */
struct world_call *
world_call_in_transaction (struct world *w, uint32_t node, enum wire_op op,
                           const char *transaction, const char *text,
                           const char *key, const char *arg);
/* Runs until CALL has its reply, for at most LIMIT_US.  False if it has none
   by then.  */
bool world_await (struct world *w, struct world_call *call, int64_t limit_us);
/* All calls so far, struct world_call *.  */
GPtrArray *world_calls (struct world *w);
/* Returns a new request id, stamped with the world's wall clock; the caller
   frees it.  */
char *world_request_id (struct world *w);
GRand *world_random (struct world *w);

/* Faults.  A killed node loses all its state; a paused one gets its events
   when it resumes; a data centre that is cut off can be reached from inside
   only.  */
void world_kill_node (struct world *w, uint32_t k);
void world_start_node (struct world *w, uint32_t k);
bool world_node_is_running (const struct world *w, uint32_t k);
void world_pause_node (struct world *w, uint32_t k, bool paused);
void world_cut_centre (struct world *w, uint32_t centre, bool cut);
void world_kill_instance (struct world *w, uint32_t g, uint32_t i);
void world_restart_instance (struct world *w, uint32_t g, uint32_t i);
/* Existing connections to the instance deliver nothing any more and stay open;
   new ones work.  */
void world_silence_connections (struct world *w, uint32_t g, uint32_t i);
/* Makes the next commit at the instance lose its connection: after it took
   effect if AFTER is set (only the reply is lost), else before.  */
void world_lose_commit (struct world *w, uint32_t g, uint32_t i, bool after);
/* While ON, messages between peers are delayed and some are duplicated.  */
void world_disturb_links (struct world *w, bool on);

void world_store_down (struct world *w, bool down);
void world_store_slow (struct world *w, int64_t us);
/* While ON, reads of the store return the manifest before the latest.  */
void world_store_stale (struct world *w, bool on);
/* Applies the text KINDS as kinds.yaml in the next revision.  */
void world_apply (struct world *w, const char *kinds);
/* Applies the default kinds with a comment that holds N, so that the file's
   hash changes.  */
void world_apply_changed_kinds (struct world *w, int64_t n);
/* Sets the state of database G to leaving and applies that.  */
void world_set_database_leaving (struct world *w, uint32_t g);
uint32_t world_n_nodes (const struct world *w);
/* How often a node applied an older revision than it had.  */
uint32_t world_revision_regressions (const struct world *w);
uint64_t world_revision (const struct world *w);

#endif
