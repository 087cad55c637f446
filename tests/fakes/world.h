/* Several nodes on virtual time in one thread, with fakes at their three
   ports: database groups from group.h, links with delays and cuts, a store
   with a manifest.  Everything is drawn from one seed.  */
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
  uint32_t n_instances;   /* of each group; one a data centre */
  int64_t delay_us;       /* one way between data centres */
  int64_t local_delay_us; /* one way inside one */
  int64_t service_us;     /* of a statement */
  int64_t open_us;        /* of a connection */
  int32_t slots;
  int32_t connections;
  const char *kinds; /* YAML of the kinds file, NULL: a default */
  const struct qrm_rule *rule;
  enum rte_policy policy;
  struct home_unsafe unsafe;
  bool unsafe_any_revision;
};

/* Fills in a deployment of the brief: six nodes, two groups of three.  */
void world_set_deployment (struct world_options *o, bool suva, uint64_t seed);

/* A caller's call and its end.  */
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
  int64_t answered_us; /* 0: not yet */
  uint32_t answers;    /* must become 1 */
  bool orphaned;       /* its proxy died */
  enum rsn reason;
  char *rows;
  char *transaction;
  struct tok token; /* after the answer */
};

struct world *world_new (const struct world_options *options);
void world_free (struct world *w);
int64_t world_now (const struct world *w);
/* Lets time pass.  */
void world_run (struct world *w, int64_t us);
struct node *world_node (struct world *w, uint32_t k);
struct grp *world_group (struct world *w, uint32_t g);
struct ctr_set *world_counters (struct world *w, uint32_t k);

/* Starts a call; the result belongs to the world.  TEXT may use $1 (KEY) and
   $2 (ARG, NULL: none).  */
struct world_call *world_call (struct world *w, uint32_t node, enum wire_op op,
                               uint32_t group, const char *kind,
                               const char *request_id, const struct tok *token,
                               const char *text, const char *key,
                               const char *arg);
/* A step of the conversation TRANSACTION.  */
struct world_call *world_step (struct world *w, uint32_t node, enum wire_op op,
                               const char *transaction, const char *text,
                               const char *key, const char *arg);
/* Runs until CALL is answered, at most LIMIT_US.  */
bool world_await (struct world *w, struct world_call *call, int64_t limit_us);
/* All calls so far.  */
GPtrArray *world_calls (struct world *w);
/* A new request id at the world's wall clock.  */
char *world_request_id (struct world *w);
GRand *world_random (struct world *w);

/* Faults.  Node faults: a dead node loses everything; a paused one gets its
   events late; a cut data centre is reachable from inside only.  */
void world_kill_node (struct world *w, uint32_t k);
void world_start_node (struct world *w, uint32_t k);
bool world_node_lives (const struct world *w, uint32_t k);
void world_pause_node (struct world *w, uint32_t k, bool paused);
void world_cut_centre (struct world *w, uint32_t centre, bool cut);
void world_kill_instance (struct world *w, uint32_t g, uint32_t i);
void world_restart_instance (struct world *w, uint32_t g, uint32_t i);
/* Existing connections to the instance go silent; new ones work.  */
void world_silence (struct world *w, uint32_t g, uint32_t i);
/* The next commit at the instance takes effect and its answer is lost, or it
   is lost before the commit.  */
void world_lose_answer (struct world *w, uint32_t g, uint32_t i, bool after);
/* Peer messages are repeated and late from now on.  */
void world_disturb_links (struct world *w, bool on);

void world_store_down (struct world *w, bool down);
void world_store_slow (struct world *w, int64_t us);
/* Reads of the store return the manifest before the latest for a while.  */
void world_store_stale (struct world *w, bool on);
/* Puts FILES of text in force as the next revision.  */
void world_apply (struct world *w, const char *kinds);
/* Puts the default kinds in force again, slightly changed by N.  */
void world_apply_again (struct world *w, int64_t n);
/* Declares database G leaving.  */
void world_leave_database (struct world *w, uint32_t g);
uint32_t world_n_nodes (const struct world *w);
/* Times a node put an older revision in force than it had.  */
uint32_t world_revisions_back (const struct world *w);
uint64_t world_revision (const struct world *w);

#endif
