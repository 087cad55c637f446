/* Messaging between proxies over ZeroMQ.  Each proxy binds one ROUTER socket
   that all its peers connect to, and opens one DEALER socket for each peer it
   sends to.  All functions run on the engine thread.  */
#ifndef CB_PEERS_H
#define CB_PEERS_H

#include "loop.h"
#include "node.h"

/* A link on which nothing has been sent for this long is closed.  */
#define PEERS_IDLE_MS 30000
/* A link fails when TCP does not acknowledge sent data or complete a connect
   within this time.  */
#define PEERS_ACK_TIMEOUT_MS 1500
/* Largest message accepted, in bytes; larger ones are discarded on receipt.
 */
#define PEERS_MESSAGE_MAX (8 * 1024 * 1024)

/* Receives events; ARG is passed to each function.  */
struct peers_sink
{
  /* The peer FROM sent a message.  DATA is valid during the call only.  */
  void (*message) (void *arg, const char *from, const char *data, size_t len);
  /* The link to VM failed; messages queued on it are dropped.  */
  void (*link_lost) (void *arg, const char *vm);
  void *arg;
};

struct peers_options
{
  struct loop *loop;
  struct peers_sink sink;
  const char *vm;         /* name of this VM, sent to peers as routing ID */
  const char *listen;     /* host:port */
  const char *public_key; /* shared by all proxies, in Z85; NULL disables
                             encryption and authentication */
  const char *secret_key;
  /* Returns a delay added to each message sent to VM; set in tests only,
     otherwise NULL.  */
  int64_t (*delay_ms) (void *arg, const char *vm);
  void *delay_arg;
};

struct peers;

/* Binds the listening address.  Returns NULL and sets ERROR when that
   fails.  */
struct peers *peers_new (const struct peers_options *options, GError **error);
void peers_free (struct peers *p);
struct peer_port *peers_port (struct peers *p);
/* Sends delayed messages that are due, reads sockets that may still hold
   messages, and closes idle and failed links; called every few ms.  */
void peers_tick (struct peers *p, int64_t now_us);

#endif
