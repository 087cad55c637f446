/* One proxy: puts the parts together behind three ports.  All events come from
   one thread, with the time; nothing here reads a clock.  */
#ifndef CB_NODE_H
#define CB_NODE_H

#include "breaker.h"
#include "entry.h"
#include "home.h"
#include "member.h"
#include "confsync.h"

struct peer_port;

struct peer_port_ops
{
  /* Sends LEN bytes to VM at ADDRESS; ADDRESS is NULL for an answer, which
     goes back on the link the question came by.  Messages may be lost.  */
  void (*send) (struct peer_port *port, const char *vm, const char *address,
                const char *data, size_t len);
};

struct peer_port
{
  const struct peer_port_ops *ops;
};

enum store_what
{
  STORE_MANIFEST,
  STORE_BLOB,
  STORE_VMS
};

struct store_port;

struct store_port_ops
{
  /* Starts one read; node_on_store reports its end.  HASH is for blobs.  */
  void (*read) (struct store_port *port, enum store_what what,
                const char *hash);
  /* Keeps a watch on the manifest open, or closes it.  */
  void (*watch) (struct store_port *port, bool on);
};

struct store_port
{
  const struct store_port_ops *ops;
};

/* Publishes SET; it stays valid until the next call returns.  */
typedef void node_publish_fn (void *arg, struct dcl_set *set,
                              uint64_t revision);

struct node_options
{
  struct wire_vm self;
  struct up_port *up;
  struct peer_port *peers;
  struct store_port *store;
  struct ctr_set *counters;
  ent_answer_fn *answer;
  node_publish_fn *publish;
  void *arg; /* of both functions */
  uint64_t seed;
  const struct qrm_rule *rule;
  enum rte_policy policy;
  uint32_t jobs_max;
  int32_t queue_max;
  int64_t status_interval_ms;
  int64_t probe_timeout_ms;
  int64_t silence_ms;
  int64_t transaction_idle_ms;
  int64_t transaction_max_ms;
  int64_t reconcile_ms; /* between full reads of the store by a watcher */
  bool no_admission;
  bool unlimited_retries;
  struct home_unsafe unsafe;
  bool unsafe_any_revision;
};

struct node;

struct node *node_new (const struct node_options *options, int64_t now_us);
void node_free (struct node *n);
/* A VM named by the settings or the platform's list.  */
void node_introduce (struct node *n, const struct wire_vm *vm, int64_t now_us);
void node_submit (struct node *n, const struct ent_call *call, int64_t now_us,
                  int64_t wall_ms);
void node_tick (struct node *n, int64_t now_us, int64_t wall_ms);
/* When node_tick should be called next at the latest.  */
int64_t node_next_tick_us (const struct node *n, int64_t now_us);

/* Port events.  */
void node_on_opened (struct node *n, uint64_t conn, bool ok, int64_t now_us);
void node_on_closed (struct node *n, uint64_t conn, int64_t now_us);
void node_on_done (struct node *n, uint64_t conn,
                   const struct up_result *result, int64_t now_us);
void node_on_message (struct node *n, const char *from, const char *data,
                      size_t len, int64_t now_us);
void node_on_peer_lost (struct node *n, const char *vm, int64_t now_us);
/* The end of a read.  TEXT is NULL when it failed; for STORE_VMS it is a JSON
   array of the platform's entries.  An absent manifest is the empty text.  */
void node_on_store (struct node *n, enum store_what what, const char *hash,
                    const char *text, size_t len, int64_t now_us);
/* The watch saw a change.  */
void node_on_watch (struct node *n, int64_t now_us);

/* Graceful shutdown: node_leave tells the peers and hands homes over;
   node_drain refuses new work.  */
void node_leave (struct node *n, int64_t now_us);
void node_drain (struct node *n);
/* Answers every caller still waiting, as at its deadline.  */
void node_abort (struct node *n, int64_t now_us);
/* Requests and conversations still under way.  */
uint32_t node_busy (const struct node *n);
/* RSN_OK when the proxy should get callers, else why not.  */
enum rsn node_ready (const struct node *n);
uint64_t node_revision (const struct node *n);
/* The whole status as a JSON object.  */
void node_write_status (const struct node *n, GString *out, int64_t now_us);
/* For tests: the parts.  */
struct mbr *node_members (struct node *n);

#endif
