/* Data connections to one instance: how many to keep, when to open more, when
   to give one up.  */
#ifndef CB_POOL_H
#define CB_POOL_H

#include "upport.h"

#define POOL_MAX 64

enum pool_state
{
  POOL_FREE, /* the slot of the table is unused */
  POOL_OPENING,
  POOL_IDLE,
  POOL_BUSY
};

struct pool_conn
{
  enum pool_state state;
  uint64_t id;
  int64_t since_us; /* start of the state */
};

struct pool_options
{
  struct up_port *up;
  struct ctr_set *counters;
  uint64_t *next_conn; /* shared id generator */
  int32_t warm;        /* connections kept open */
  int32_t max;
  int64_t open_timeout_ms;
};

struct pool
{
  struct pool_options options;
  const struct dcl_instance *instance;
  struct pool_conn conns[POOL_MAX];
  int64_t retry_us;  /* no opening before */
  uint32_t failures; /* in a row */
};

void pool_init (struct pool *p, const struct pool_options *options,
                const struct dcl_instance *instance);
/* Closes all connections.  */
void pool_close (struct pool *p);
/* Opens towards max(warm, WANTED) connections, a few at a time; drops
   connections that do not open in time.  JITTER in [0, 1).  */
void pool_tick (struct pool *p, int32_t wanted, int64_t now_us, double jitter);
/* Takes an idle connection, the most recently used; 0 when there is none.  */
uint64_t pool_take (struct pool *p, int64_t now_us);
void pool_put (struct pool *p, uint64_t conn, int64_t now_us);
/* Forgets CONN; CLOSE says whether the port must close it.  False when CONN is
   not of this pool.  */
bool pool_drop (struct pool *p, uint64_t conn, bool close);
/* An opening ended.  False when CONN is not of this pool.  */
bool pool_opened (struct pool *p, uint64_t conn, bool ok, int64_t now_us,
                  double jitter);
int32_t pool_count (const struct pool *p, enum pool_state state);
/* True when opening has failed repeatedly and none is open.  */
bool pool_is_down (const struct pool *p);

#endif
