/* One proxy on the HTTP path: connects membership, configuration, request
   coordinator and homes, and reaches database instances, peers and the store
   through three ports.  All calls come from one thread and pass the current
   time; nothing here reads a clock.  NOW_US is a local time that never steps
   back, WALL_MS is Unix time.  */
#ifndef CB_NODE_H
#define CB_NODE_H

#include "breaker.h"
#include "confsync.h"
#include "coordinator.h"
#include "home.h"
#include "member.h"

struct peer_port;

struct peer_port_ops
{
  /* Sends LEN bytes to VM at ADDRESS; ADDRESS is NULL for a reply, which goes
     back over the link that its request arrived on.  Messages may be lost.  */
  void (*send) (struct peer_port *port, const char *vm, const char *address,
                const char *data, size_t len);
};

struct peer_port
{
  const struct peer_port_ops *ops;
};

enum store_item
{
  STORE_MANIFEST, /* the list of configuration files */
  STORE_BLOB,     /* one configuration file, by content hash */
  STORE_VMS       /* the platform's list of VMs */
};

struct store_port;

struct store_port_ops
{
  /* Starts one read; node_on_store_read reports the result.  HASH names the
     blob for STORE_BLOB and is NULL otherwise.  */
  void (*read) (struct store_port *port, enum store_item item,
                const char *hash);
  /* Opens a watch on the manifest and keeps it open, or closes it.  */
  void (*watch) (struct store_port *port, bool on);
};

struct store_port
{
  const struct store_port_ops *ops;
};

/* Publishes the configuration SET, which stays valid until the next call of
   this function returns.  */
typedef void node_publish_fn (void *arg, struct dcl_set *set,
                              uint64_t revision);

struct node_options
{
  struct wire_vm self;
  struct up_port *up;
  struct peer_port *peers;
  struct store_port *store;
  struct ctr_set *counters;
  coord_answer_fn *answer;
  node_publish_fn *publish;
  void *arg; /* of answer and publish */
  uint64_t seed;
  const struct qrm_rule *rule;
  enum rte_policy policy;
  uint32_t requests_max; /* callers' requests in flight */
  int32_t queue_max;     /* requests waiting for one instance */
  int64_t status_interval_ms;
  int64_t probe_timeout_ms;
  int64_t silence_ms; /* an op without a result for so long has failed */
  int64_t transaction_idle_ms;
  int64_t transaction_max_ms;
  int64_t reconcile_ms; /* between full reads of the store by a watcher */
  /* For measurement only.  */
  bool no_admission;
  bool unlimited_retries;
  /* For tests only.  */
  struct home_unsafe unsafe;
  bool unsafe_any_revision; /* accepts older configuration revisions */
};

struct node;

struct node *node_new (const struct node_options *options, int64_t now_us);
void node_free (struct node *n);
/* Adds a VM named by the settings or by the platform's list.  */
void node_add_vm (struct node *n, const struct wire_vm *vm, int64_t now_us);
void node_submit (struct node *n, const struct coord_call *call,
                  int64_t now_us, int64_t wall_ms);
void node_tick (struct node *n, int64_t now_us, int64_t wall_ms);
/* Latest time for the next call of node_tick.  */
int64_t node_next_tick_us (const struct node *n, int64_t now_us);

/* Events that the ports report.  */
void node_on_opened (struct node *n, uint64_t conn, bool ok, int64_t now_us);
void node_on_closed (struct node *n, uint64_t conn, int64_t now_us);
void node_on_op_done (struct node *n, uint64_t conn,
                      const struct up_result *result, int64_t now_us);
void node_on_message (struct node *n, const char *from, const char *data,
                      size_t len, int64_t now_us);
void node_on_peer_lost (struct node *n, const char *vm, int64_t now_us);
/* Result of a read.  TEXT is NULL when the read failed; for STORE_VMS it is a
   JSON array of the platform's entries.  An absent manifest is reported as an
   empty text.  */
void node_on_store_read (struct node *n, enum store_item item,
                         const char *hash, const char *text, size_t len,
                         int64_t now_us);
/* The watch reported a change of the manifest.  */
void node_on_store_changed (struct node *n, int64_t now_us);

/* Graceful shutdown: node_leave announces it to the peers, which take over
   this proxy's homes; node_drain refuses new requests.  */
void node_leave (struct node *n, int64_t now_us);
void node_drain (struct node *n);
/* Answers every caller that still waits, as if its deadline had passed.  */
void node_abort (struct node *n, int64_t now_us);
/* Number of requests and interactive transactions in flight.  */
uint32_t node_count_in_flight (const struct node *n);
/* RSN_OK when the proxy can serve callers, else the reason why not.  */
enum rsn node_check_ready (const struct node *n);
/* Revision of the configuration in force, 0 before the first.  */
uint64_t node_revision (const struct node *n);
/* Appends the status of this proxy to OUT as a JSON object.  */
void node_write_status (const struct node *n, GString *out, int64_t now_us);
/* For tests.  */
struct mbr *node_members (struct node *n);

#endif
