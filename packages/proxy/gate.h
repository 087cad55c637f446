/* The gate is the network front of the session pooler: it owns the listeners
   for callers and for other proxies, their connections, the upstream
   connections, and the timer that drives the pooler.  Single-threaded, on the
   thread of the loop.  */
#ifndef CB_GATE_H
#define CB_GATE_H

#include "codec.h"
#include "pooler.h"
#include "stream.h"

/* How long sent data may stay unacknowledged (TCP_USER_TIMEOUT) before the
   connection counts as broken: shorter than the usual timeout of a route, and
   a few round trips of the longest link.  */
#define GATE_UPSTREAM_ACK_TIMEOUT_MS 1000
#define GATE_CALLER_ACK_TIMEOUT_MS 5000

struct gate_options
{
  struct loop *loop;
  struct stream_set *streams;
  const struct codec *codec;
  const char *listen;        /* host:port for callers */
  const char *relay_listen;  /* host:port for other proxies' statements */
  uint32_t callers_max;      /* further connections are closed at once */
  size_t memory_max_bytes;   /* of the process */
  struct plr_options pooler; /* gate_new sets its ports */
};

struct gate;

/* Binds both addresses and creates the pooler; connections are accepted from
   gate_open on.  Returns NULL and sets ERROR when an address cannot be
   bound.  */
struct gate *gate_new (const struct gate_options *options, GError **error);
void gate_free (struct gate *g);
/* Returns the pooler, owned by G.  */
struct plr *gate_pooler (struct gate *g);
/* Changes struct gate_options.memory_max_bytes.  */
void gate_set_memory (struct gate *g, size_t max_bytes);
/* Starts to accept connections.  To be called once a configuration is in
   force.  */
void gate_open (struct gate *g);
/* Closes the listeners.  Established connections stay open.  */
void gate_close (struct gate *g);
/* Reads further statements of callers that have their reply, and runs the
   pooler's timers when due.  Must be called after each iteration of the
   loop.  */
void gate_run_due (struct gate *g, int64_t now_us);
/* Returns the monotonic time at which the pooler's timers are next due.  */
int64_t gate_due_us (const struct gate *g);

#endif
