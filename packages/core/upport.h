/* Interface to the database instances of the HTTP path.  The core decides
   which connections to open and what to run on them; an adapter carries it out
   and reports back through home_opened, home_closed and home_done.
   docs/UPSTREAM.md states what a database group must provide.

   Each transaction (UP_RUN, UP_RESOLVE, UP_BEGIN, UP_PURGE) starts with a
   guard: the instance checks that its term, role and log position are as the
   operation demands.  */
#ifndef CB_UPPORT_H
#define CB_UPPORT_H

#include "quorum.h"
#include "wire.h"

enum up_op_kind
{
  UP_STATUS,     /* query the instance's status */
  UP_FENCE,      /* grant TERM to TARGET, the failover coordinator:
                    from then on older terms are refused */
  UP_PROMOTE,    /* become primary of TERM, granted to TARGET before */
  UP_FOLLOW,     /* replicate from instance TARGET under TERM */
  UP_RUN,        /* run the request as one transaction */
  UP_RESOLVE,    /* read the request id in the ledger, or void it there */
  UP_BEGIN,      /* open an interactive transaction */
  UP_STATEMENTS, /* run the request's statements in it */
  UP_COMMIT,
  UP_ROLLBACK,
  UP_PURGE /* delete ledger rows below TARGET (a request id) */
};

enum up_outcome
{
  UP_OK,
  UP_REJECTED,      /* the guard rejected the operation: nothing ran */
  UP_SQL_ERROR,     /* a statement failed and all was rolled back */
  UP_READ_ONLY,     /* a read request tried to write; rolled back */
  UP_TOO_LARGE,     /* the reply exceeded its size limit; rolled back */
  UP_DUPLICATE,     /* the ledger has the request id already; rolled back */
  UP_NOT_COMMITTED, /* the connection failed before a commit was sent */
  UP_LOST /* the connection failed; whether it committed is unknown */
};

/* What the ledger holds for a request id.  */
enum up_ledger
{
  UP_LEDGER_NONE,
  UP_LEDGER_DONE,
  UP_LEDGER_VOID
};

struct up_op
{
  enum up_op_kind kind;
  const struct wire_request *request; /* borrowed until the op is done */
  bool allow_replica;                 /* the guard accepts a replica */
  uint64_t term;                      /* of the guard or the command */
  uint64_t min_position;              /* of the guard */
  const char *target; /* see enum up_op_kind; borrowed during the call */
  int64_t timeout_ms; /* limit of the execution on the instance */
};

/* The result of an operation.  ROWS and DETAIL belong to the adapter and are
   valid during the call only.  */
struct up_result
{
  enum up_outcome outcome;
  bool has_status;
  struct qrm_status status; /* of a read: as of the snapshot that it saw */
  enum up_ledger ledger;
  uint64_t ledger_digest;
  const char *rows;   /* JSON array, or NULL */
  const char *detail; /* human-readable, or NULL */
};

struct up_port;

struct up_port_ops
{
  /* Starts opening connection CONN, an id chosen by the core.  */
  void (*open) (struct up_port *port, uint64_t conn,
                const struct dcl_instance *instance);
  /* Closes immediately, without waiting for the instance; no event follows. */
  void (*close) (struct up_port *port, uint64_t conn);
  /* Starts OP on an idle connection.  A connection runs one op at a time.  */
  void (*exec) (struct up_port *port, uint64_t conn, const struct up_op *op);
};

struct up_port
{
  const struct up_port_ops *ops;
};

#endif
