/* Links between proxies, on ZeroMQ: one ROUTER that all peers connect to and
   one DEALER for each peer this proxy talks to.  Runs on the engine thread. */
#ifndef CB_PEERS_H
#define CB_PEERS_H

#include "loop.h"
#include "node.h"

/* An idle link is closed after this time.  */
#define PEERS_IDLE_MS 30000
/* Sent data not acknowledged for so long breaks a link.  */
#define PEERS_ACK_TIMEOUT_MS 1500
#define PEERS_MESSAGE_MAX (8 * 1024 * 1024)

struct peers_sink
{
  void (*message) (void *arg, const char *from, const char *data, size_t len);
  void (*lost) (void *arg, const char *vm);
  void *arg;
};

struct peers_options
{
  struct loop *loop;
  struct peers_sink sink;
  const char *vm;
  const char *listen;     /* host:port */
  const char *public_key; /* Z85, NULL: links are not encrypted */
  const char *secret_key;
  /* Adds delay_ms(arg, vm) to every message sent; NULL but in tests.  */
  int64_t (*delay_ms) (void *arg, const char *vm);
  void *delay_arg;
};

struct peers;

/* NULL with a message in ERROR when the address cannot be bound.  */
struct peers *peers_new (const struct peers_options *options, GError **error);
void peers_free (struct peers *p);
struct peer_port *peers_port (struct peers *p);
/* Closes idle links and sends delayed messages; call every few ms.  */
void peers_tick (struct peers *p, int64_t now_us);

#endif
