/* The session pooler on sockets: callers' listener, upstream connections, and
   the timers that drive the core.  Runs on the loop's thread.  */
#ifndef CB_GATE_H
#define CB_GATE_H

#include "codec.h"
#include "pooler.h"
#include "stream.h"

/* Limits on peers that went silent: shorter than a route's usual timeout, a
   few round trips of the longest link.  */
#define GATE_UPSTREAM_SILENT_MS 1000
#define GATE_CALLER_SILENT_MS 5000

struct gate_options
{
  struct loop *loop;
  struct stream_set *streams;
  const struct codec *codec;
  const char *listen;       /* host:port for callers */
  const char *relay_listen; /* host:port for other proxies' statements */
  uint32_t callers_max;
  struct plr_options pooler; /* its ports are set by the gate */
};

struct gate;

/* Binds the callers' address without taking callers yet.  NULL with a message
   in ERROR when it cannot be bound.  */
struct gate *gate_new (const struct gate_options *options, GError **error);
void gate_free (struct gate *g);
struct plr *gate_pooler (struct gate *g);
/* Starts taking callers, once there is a configuration.  */
void gate_open (struct gate *g);
/* Stops taking callers.  */
void gate_close (struct gate *g);
/* Runs what became due; call after each turn of the loop.  */
void gate_turn (struct gate *g, int64_t now_us);
/* When gate_turn is due at the latest.  */
int64_t gate_due_us (const struct gate *g);

#endif
