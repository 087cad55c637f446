/* Connection pool of one instance on the HTTP path, owned by its home
   (home.h): decides how many connections to keep, when to open more and when
   to give up opening one.  */
#ifndef CB_CONNPOOL_H
#define CB_CONNPOOL_H

#include "upport.h"

#define CPOOL_MAX 64

enum cpool_state
{
  CPOOL_FREE, /* unused slot of the table */
  CPOOL_OPENING,
  CPOOL_IDLE,
  CPOOL_BUSY
};

struct cpool_conn
{
  enum cpool_state state;
  uint64_t id;
  int64_t state_since_us;
};

struct cpool_options
{
  struct up_port *up;
  struct ctr_set *counters;
  uint64_t *last_conn_id; /* shared id counter, incremented for each */
  int32_t warm;           /* minimum number kept open */
  int32_t max;
  int64_t open_timeout_ms;
};

struct cpool
{
  struct cpool_options options;
  const struct dcl_instance *instance;
  struct cpool_conn conns[CPOOL_MAX];
  int64_t retry_at_us; /* no connection is opened before */
  uint32_t failures;   /* to open, in a row */
};

void cpool_init (struct cpool *p, const struct cpool_options *options,
                 const struct dcl_instance *instance);
/* Closes all connections.  */
void cpool_close (struct cpool *p);
/* Opens connections, a few at a time, until there are max(warm, WANTED) of
   them but no more than max; closes those that do not open in time.  JITTER in
   [0, 1).  */
void cpool_tick (struct cpool *p, int32_t wanted, int64_t now_us,
                 double jitter);
/* Takes an idle connection, the most recently used; 0 when there is none.  */
uint64_t cpool_take (struct cpool *p, int64_t now_us);
/* Gives back a connection taken by cpool_take.  */
void cpool_put (struct cpool *p, uint64_t conn, int64_t now_us);
/* Removes CONN from the pool; CLOSE says whether the port must close it.
   False when CONN is not of this pool.  */
bool cpool_drop (struct cpool *p, uint64_t conn, bool close);
/* An attempt to open CONN succeeded (OK) or failed.  False when CONN is not of
   this pool.  */
bool cpool_opened (struct cpool *p, uint64_t conn, bool ok, int64_t now_us,
                   double jitter);
int32_t cpool_count (const struct cpool *p, enum cpool_state state);
/* True when opening has failed repeatedly and none is open.  */
bool cpool_is_down (const struct cpool *p);

#endif
