/* TCP proxy that injects network faults: it delays or discards the data of the
   connections through it, or closes them.  */
#ifndef CB_FAULTPROXY_H
#define CB_FAULTPROXY_H

#include "stream.h"

enum fpx_mode
{
  FPX_PASS,
  FPX_DELAY,           /* passes data late, in both directions */
  FPX_CUT_TO_TARGET,   /* discards data to the target */
  FPX_CUT_FROM_TARGET, /* discards data from the target */
  FPX_CUT_BOTH,        /* discards data in both directions */
  FPX_MODES
};

struct fpx;

/* Forwards connections at LISTEN (host:port) to HOST:PORT.  NULL with ERROR
   set if LISTEN can't be bound.  */
struct fpx *fpx_new (struct loop *loop, struct stream_set *streams,
                     const char *listen, const char *host, uint16_t port,
                     GError **error);
void fpx_free (struct fpx *p);
/* Applies to data read from now on; discarded data is not sent later.  */
void fpx_set (struct fpx *p, enum fpx_mode mode);
/* Closes all connections.  */
void fpx_reset (struct fpx *p);
/* Sends the delayed data that is due; call it in each turn of the event
   loop.  */
void fpx_turn (struct fpx *p, int64_t now_us);

#endif
