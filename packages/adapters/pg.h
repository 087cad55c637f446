/* Database instances over the PostgreSQL protocol, on libpq in pipeline mode,
   behind the upstream port.  Runs on the engine thread.  */
#ifndef CB_PG_H
#define CB_PG_H

#include "loop.h"
#include "upport.h"

struct pg_sink
{
  void (*opened) (void *arg, uint64_t conn, bool ok);
  void (*closed) (void *arg, uint64_t conn);
  void (*done) (void *arg, uint64_t conn, const struct up_result *result);
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
  const char *application; /* tells the instance who asks */
  int32_t rows_max;        /* of one answer */
  int32_t bytes_max;
};

struct pg;

struct pg *pg_new (const struct pg_options *options);
void pg_free (struct pg *pg);
struct up_port *pg_port (struct pg *pg);
/* Frees connections closed since the last call; between events only.  */
void pg_free_closed (struct pg *pg);

#endif
