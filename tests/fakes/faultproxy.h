/* A loopback proxy between two ends, which delays, silences or cuts what goes
   through it.  */
#ifndef CB_FAULTPROXY_H
#define CB_FAULTPROXY_H

#include "stream.h"

enum fpx_mode
{
  FPX_PASS,
  FPX_DELAY,     /* everything comes late */
  FPX_CUT_THERE, /* nothing reaches the target */
  FPX_CUT_BACK,  /* nothing comes back */
  FPX_SILENT,    /* neither */
  FPX_MODES
};

struct fpx;

/* Forwards what connects to LISTEN (host:port) to HOST:PORT.  NULL with a
   message when it can't be bound.  */
struct fpx *fpx_new (struct loop *loop, struct stream_set *streams,
                     const char *listen, const char *host, uint16_t port,
                     GError **error);
void fpx_free (struct fpx *p);
/* Holds for what comes from now on; bytes that were cut are lost.  */
void fpx_set (struct fpx *p, enum fpx_mode mode);
/* Resets all connections.  */
void fpx_reset (struct fpx *p);
/* Sends what was delayed; call each turn.  */
void fpx_turn (struct fpx *p, int64_t now_us);

#endif
