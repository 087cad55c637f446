/* Internals shared by home.c, homeop.c and hometxn.c.  */
#ifndef CB_HOMEINT_H
#define CB_HOMEINT_H

#include "home.h"
#include "requestid.h"

#include <urcu/list.h>

struct home_instance
{
  enum home_role role;
  bool ready; /* admission and pool are set up */
  struct adm adm;
  struct cpool pool;
  int32_t n_transactions;
};

/* A database group that this proxy is home for, of one instance or more.  Owns
   its copy of the declaration.  */
struct home_group
{
  struct cds_list_head link; /* in home.groups */
  bool retired;              /* takes no new work; freed when drained */
  struct dcl_database *database;
  struct mon mon;
  bool monitored;
  int64_t last_request_us; /* a standby without requests stops monitoring */
  uint32_t rank;           /* as in struct fo_local */
  struct home_instance instances[DCL_INSTANCES_MAX];
  struct cds_list_head ops; /* struct home_op, in all states */
  int64_t next_purge_us;    /* of ledger rows past their retention */
};

enum home_op_state
{
  OP_QUEUED,
  OP_RUNNING,
  OP_CONFIRMING
};

/* A request in progress, or a purge of the ledger.  */
struct home_op
{
  struct cds_list_head link; /* in home_group.ops */
  struct adm_item item;      /* its entry in the admission queue */
  struct home_group *group;
  uint32_t instance;
  enum home_op_state state;
  bool bypasses_queue; /* takes a slot without being queued: a statement of an
                           interactive transaction, or a purge */
  struct wire_request *request; /* NULL for a purge of the ledger */
  char *from;
  uint64_t conn;
  int64_t arrived_us;
  int64_t deadline_us;
  int64_t started_us;
  bool sent_to_primary; /* the instance was primary when it was sent */
  struct home_transaction *transaction;
  /* The result, until it is confirmed.  */
  enum rsn reason;
  uint64_t term;
  uint64_t position;
  char *rows;
};

enum home_transaction_state
{
  TXN_IDLE,
  TXN_BUSY,
  TXN_ENDING
};

/* An interactive transaction, which spans several requests.  Holds a
   connection from BEGIN to its end.  */
struct home_transaction
{
  char *id;
  struct home_group *group;
  uint32_t instance;
  uint64_t conn;
  uint64_t term;
  bool read_only;
  enum home_transaction_state state;
  int64_t begun_us;
  int64_t last_used_us;
};

struct home
{
  struct home_options options;
  struct cds_list_head groups;
  const struct dcl_set *set;  /* in force; borrowed */
  GHashTable *by_name;        /* database -> struct home_group * */
  GHashTable *transactions;   /* id -> struct home_transaction * */
  GHashTable *ops_by_conn;    /* connection id -> struct home_op * */
  char *failover_coordinator; /* as in struct mon_options */
  uint64_t last_conn_id;
  uint64_t last_transaction_number;
  GRand *random;
  bool draining;
};

/* homeop.c: processing of one request, an op.  The prefix hop_ stands for
   "home operation".  */
struct home_op *hop_new (struct home_group *g, uint32_t instance,
                         const char *from, struct wire_request *request,
                         int64_t now_us);
/* Sends the reply and frees OP.  */
void hop_finish (struct home *h, struct home_op *op, enum rsn reason,
                 const char *detail, int64_t now_us);
/* Replies to a request for which no op was created.  */
void hop_refuse (struct home *h, const char *from,
                 const struct wire_request *request, enum rsn reason,
                 int64_t now_us);
/* Executes OP on its connection.  */
void hop_exec (struct home *h, struct home_op *op, enum up_op_kind kind,
               int64_t now_us);
/* Completes each op of the group whose result is confirmed by now.  */
void hop_check_confirmed (struct home *h, struct home_group *g,
                          int64_t now_us);
/* Starts queued ops while slots and connections are free.  */
void hop_start_queued (struct home *h, struct home_group *g, uint32_t instance,
                       int64_t now_us);
/* Completes ops past their deadline or without a result for silence_ms.  */
void hop_expire (struct home *h, struct home_group *g, int64_t now_us);
void hop_exec_done (struct home *h, struct home_op *op,
                    const struct up_result *result, int64_t now_us);
/* The connection of a running op has failed; CLOSE says whether the port must
   still close it.  */
void hop_connection_lost (struct home *h, struct home_op *op, bool close,
                          int64_t now_us);
/* Returns why OP cannot run at its instance now, RSN_OK when it can.  */
enum rsn hop_precheck (const struct home *h, const struct home_op *op,
                       int64_t now_us);

/* hometxn.c: interactive transactions.  */
/* Registers the transaction that OP has begun on its connection.  */
struct home_transaction *htx_open (struct home *h, struct home_op *op,
                                   uint64_t term, int64_t now_us);
/* Executes a STATEMENT, COMMIT or ROLLBACK.  */
void htx_submit (struct home *h, const char *from,
                 struct wire_request *request, int64_t now_us);
/* Frees the transaction.  Its connection returns to the pool if KEEP, else it
   is closed.  */
void htx_end (struct home *h, struct home_transaction *t, bool keep,
              int64_t now_us);
/* Rolls back transactions that were idle or open for too long.  */
void htx_expire (struct home *h, int64_t now_us);
void htx_free_all (struct home *h);

double home_jitter (struct home *h);

#endif
