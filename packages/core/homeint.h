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

/* A database group this proxy is a home of.  Owns its copy of the
   declaration.  */
struct home_group
{
  struct cds_list_head link; /* in home.groups */
  bool retired;              /* takes no new work; freed when drained */
  struct dcl_database *database;
  struct mon mon;
  bool watching;
  int64_t last_request_us; /* latest request; a standby stops watching after a
                              while */
  uint32_t rank;
  struct home_instance instances[DCL_INSTANCES_MAX];
  struct cds_list_head ops; /* struct home_op, all states */
  int64_t next_purge_us;    /* next deletion of old ledger rows */
};

enum home_op_state
{
  OP_QUEUED,
  OP_RUNNING,
  OP_CONFIRMING
};

/* A request in work.  */
struct home_op
{
  struct cds_list_head link; /* in home_group.ops */
  struct adm_item item;
  struct home_group *group;
  uint32_t instance;
  enum home_op_state state;
  bool bypasses_queue; /* holds a slot beyond the queue: part of a conversation
                        */
  struct wire_request *request; /* NULL for the ledger's clean-up */
  char *from;
  uint64_t conn;
  int64_t arrived_us;
  int64_t deadline_us;
  int64_t started_us;
  bool sent_to_primary; /* was sent to the instance as primary */
  struct home_transaction *transaction;
  /* The finished result, until it is confirmed.  */
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

/* A conversation; holds a connection from BEGIN to its end.  */
struct home_transaction
{
  char *id;
  struct home_group *group;
  uint32_t instance;
  uint64_t conn;
  uint64_t term;
  bool read;
  enum home_transaction_state state;
  int64_t begun_us;
  int64_t last_used_us;
};

struct home
{
  struct home_options options;
  struct cds_list_head groups;
  const struct dcl_set *set; /* in force; borrowed */
  GHashTable *by_name;       /* database -> struct home_group * */
  GHashTable *transactions;  /* id -> struct home_transaction * */
  GHashTable *ops_by_conn;   /* connection id -> struct home_op * */
  char *coordinator;
  uint64_t last_conn_id;
  uint64_t last_transaction_number;
  GRand *random;
  bool draining;
};

/* homeop.c: the life of one request.  */
struct home_op *hop_new (struct home_group *g, uint32_t instance,
                         const char *from, struct wire_request *request,
                         int64_t now_us);
/* Replies and frees OP.  */
void hop_finish (struct home *h, struct home_op *op, enum rsn reason,
                 const char *detail, int64_t now_us);
/* Replies to a request that got no op.  */
void hop_refuse (struct home *h, const char *from,
                 const struct wire_request *request, enum rsn reason,
                 int64_t now_us);
/* Sends OP to its connection.  */
void hop_exec (struct home *h, struct home_op *op, enum up_kind kind,
               int64_t now_us);
/* Answers each op of the group whose proof has come.  */
void hop_check_confirmed (struct home *h, struct home_group *g,
                          int64_t now_us);
/* Starts queued ops while slots and connections are free.  */
void hop_start_queued (struct home *h, struct home_group *g, uint32_t instance,
                       int64_t now_us);
/* Ends ops whose time is over.  */
void hop_expire (struct home *h, struct home_group *g, int64_t now_us);
void hop_exec_done (struct home *h, struct home_op *op,
                    const struct up_result *result, int64_t now_us);
/* The connection of a running op has failed.  */
void hop_connection_lost (struct home *h, struct home_op *op, bool close,
                          int64_t now_us);
/* Why the group cannot take OP at its instance, RSN_OK when it can.  */
enum rsn hop_precheck (const struct home *h, const struct home_op *op,
                       int64_t now_us);

/* hometxn.c: conversations.  */
/* A conversation opened on OP's connection.  */
struct home_transaction *htx_open (struct home *h, struct home_op *op,
                                   uint64_t term, int64_t now_us);
/* Takes a STATEMENT, COMMIT or ROLLBACK.  */
void htx_submit (struct home *h, const char *from,
                 struct wire_request *request, int64_t now_us);
/* Ends a conversation and frees it; KEEP returns its connection to the
   pool.  */
void htx_end (struct home *h, struct home_transaction *t, bool keep,
              int64_t now_us);
/* Rolls back idle conversations.  */
void htx_expire (struct home *h, int64_t now_us);
void htx_free_all (struct home *h);

double home_jitter (struct home *h);

#endif
