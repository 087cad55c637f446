/* Implements the upstream port (upport.h) for PostgreSQL instances, with libpq
   in pipeline mode.  All functions run on the engine thread.  */
#ifndef CB_PG_H
#define CB_PG_H

#include "loop.h"
#include "upport.h"

/* Receives the events of connections; ARG is passed to each function.  */
struct pg_sink
{
  /* Opening ended; the connection is gone unless OK.  */
  void (*conn_opened) (void *arg, uint64_t conn, bool ok);
  /* An idle connection was lost.  */
  void (*conn_closed) (void *arg, uint64_t conn);
  /* An op ended.  After UP_LOST and UP_NOT_COMMITTED the connection is gone;
     otherwise it is idle.  */
  void (*op_done) (void *arg, uint64_t conn, const struct up_result *result);
  void *arg;
};

struct pg_options
{
  struct loop *loop;
  struct pg_sink sink;
  const char *user;
  const char *database; /* NULL: the declared database's name */
  const char *password; /* NULL when none */
  const char *sslmode;
  const char *application; /* application_name shown by the instance */
  int32_t rows_max;        /* limits of the rows returned for one op */
  int32_t bytes_max;
};

struct pg;

struct pg *pg_new (const struct pg_options *options);
void pg_free (struct pg *pg);
struct up_port *pg_port (struct pg *pg);
/* Frees connections closed since the last call.  Must not be called from an
   event handler, which may still use them.  */
void pg_free_closed (struct pg *pg);

#endif
