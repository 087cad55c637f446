/* Port to database instances.  The core decides what to open and run; an
   adapter does it and reports back through home_opened, home_closed and
   home_done.  docs/UPSTREAM.md states what a group must provide.  */
#ifndef CB_UPPORT_H
#define CB_UPPORT_H

#include "quorum.h"
#include "wire.h"

enum up_kind
{
  UP_STATUS,     /* the instance's account of itself */
  UP_FENCE,      /* promise to TERM, granted to TARGET (a driver) */
  UP_PROMOTE,    /* lead TERM, granted to TARGET before */
  UP_FOLLOW,     /* replicate from instance TARGET under TERM */
  UP_RUN,        /* the request as one transaction */
  UP_RESOLVE,    /* read or void the request id in the ledger */
  UP_BEGIN,      /* open a transaction */
  UP_STATEMENTS, /* run the request's statements in it */
  UP_COMMIT,
  UP_ROLLBACK,
  UP_PURGE /* delete ledger rows below TARGET (a request id) */
};

enum up_end
{
  UP_OK,
  UP_REJECTED,      /* the guard refused: nothing ran */
  UP_SQL_ERROR,     /* a statement failed and all was rolled back */
  UP_READ_ONLY,     /* a read tried to write; rolled back */
  UP_TOO_LARGE,     /* the answer outgrew its limit; rolled back */
  UP_DUPLICATE,     /* the ledger knows the request id; rolled back */
  UP_NOT_COMMITTED, /* the connection failed before a commit was sent */
  UP_LOST           /* the connection failed with the commit in doubt */
};

enum up_ledger
{
  UP_LEDGER_NONE,
  UP_LEDGER_DONE,
  UP_LEDGER_VOID
};

struct up_op
{
  enum up_kind kind;
  const struct wire_request *request; /* borrowed until the op is done */
  bool replica;                       /* the guard accepts a replica */
  uint64_t term;                      /* of the guard or the command */
  uint64_t min_position;              /* of the guard */
  const char *target; /* see enum up_kind; borrowed during the call */
  int64_t timeout_ms; /* limit for the instance's own execution */
};

/* What an op ended in.  ROWS and DETAIL belong to the adapter and live for
   the call only.  */
struct up_result
{
  enum up_end end;
  bool has_status;
  struct qrm_status status; /* for reads, of the snapshot that was read */
  enum up_ledger ledger;
  uint64_t ledger_digest;
  const char *rows;   /* JSON array, or NULL */
  const char *detail; /* for people, or NULL */
};

struct up_port;

struct up_port_ops
{
  /* Starts opening connection CONN, an id chosen by the core.  */
  void (*open) (struct up_port *port, uint64_t conn,
                const struct dcl_instance *instance);
  /* Closes at once, without waiting for the other end; no event follows.  */
  void (*close) (struct up_port *port, uint64_t conn);
  /* Starts OP on an idle connection.  One op a connection at a time.  */
  void (*exec) (struct up_port *port, uint64_t conn, const struct up_op *op);
};

struct up_port
{
  const struct up_port_ops *ops;
};

#endif
