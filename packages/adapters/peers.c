/* Messaging between proxies over ZeroMQ.  */
#include "peers.h"

#include "units.h"
#include <errno.h>
#include <string.h>
#include <sys/epoll.h>
#include <zmq.h>

#define Z85_KEY_LEN 40
/* Messages queued on one link before further ones are dropped.  */
#define LINK_QUEUE_MAX 4096
/* Messages handled per readiness event, so that one socket cannot starve the
   rest of the event loop.  */
#define READ_BATCH_MAX 256

/* An outgoing link: a DEALER socket connected to one peer.  */
struct link
{
  struct peers *peers;
  char *vm;
  char *address;
  void *socket;
  void *monitor;
  struct loop_source source;
  struct loop_source monitor_source;
  int64_t last_used_us;
  bool ready; /* is in peers.ready */
};

/* A message whose sending is delayed, see peers_options.delay_ms.  */
struct delayed
{
  int64_t due_us;
  char *vm;
  char *address;
  char *data;
  size_t len;
};

struct peers
{
  struct peer_port port;
  struct peers_options options;
  void *context;
  void *router;
  void *zap;
  struct loop_source source;
  struct loop_source zap_source;
  GHashTable *links;  /* vm -> struct link * */
  GPtrArray *closing; /* struct link *; closed in peers_tick, since a link
                         must not be freed inside its own event handler */
  GPtrArray *ready;   /* struct link * that may have messages left to read */
  GQueue delayed;     /* struct delayed *; in order of due time per link */
  uint64_t last_link_id; /* makes the monitor endpoints unique */
};

static void on_link (void *arg, uint32_t events);
static void on_monitor (void *arg, uint32_t events);
static void read_router (struct peers *p);

static void
watch_socket (struct peers *p, struct loop_source *source, void *socket,
              loop_fn *fn, void *arg)
{
  size_t size = sizeof source->fd;

  zmq_getsockopt (socket, ZMQ_FD, &source->fd, &size);
  source->fn = fn;
  source->arg = arg;
  loop_watch (p->options.loop, source, EPOLLIN | EPOLLET);
}

static bool
is_readable (void *socket)
{
  int events = 0;
  size_t size = sizeof events;

  return zmq_getsockopt (socket, ZMQ_EVENTS, &events, &size) == 0
         && (events & ZMQ_POLLIN) != 0;
}

static void
set_int (void *socket, int option, int value)
{
  zmq_setsockopt (socket, option, &value, sizeof value);
}

static void
set_common_options (struct peers *p, void *socket)
{
  set_int (socket, ZMQ_LINGER, 0);
  set_int (socket, ZMQ_SNDHWM, LINK_QUEUE_MAX);
  set_int (socket, ZMQ_RCVHWM, LINK_QUEUE_MAX);
  set_int (socket, ZMQ_TCP_MAXRT, PEERS_ACK_TIMEOUT_MS);
  set_int (socket, ZMQ_CONNECT_TIMEOUT, PEERS_ACK_TIMEOUT_MS);
  if (!p->options.public_key)
    return;
  zmq_setsockopt (socket, ZMQ_CURVE_PUBLICKEY, p->options.public_key,
                  Z85_KEY_LEN);
  zmq_setsockopt (socket, ZMQ_CURVE_SECRETKEY, p->options.secret_key,
                  Z85_KEY_LEN);
}

static void
free_link (gpointer data)
{
  struct link *l = data;

  if (l->ready)
    g_ptr_array_remove_fast (l->peers->ready, l);
  loop_remove (l->peers->options.loop, &l->source);
  loop_remove (l->peers->options.loop, &l->monitor_source);
  zmq_socket_monitor (l->socket, NULL, 0);
  zmq_close (l->monitor);
  zmq_close (l->socket);
  g_free (l->vm);
  g_free (l->address);
  g_free (l);
}

static struct link *
open_link (struct peers *p, const char *vm, const char *address)
{
  struct link *l = g_new0 (struct link, 1);
  char *endpoint = g_strdup_printf ("tcp://%s", address);
  char *inproc = g_strdup_printf ("inproc://link-%lu", ++p->last_link_id);

  l->peers = p;
  l->vm = g_strdup (vm);
  l->address = g_strdup (address);
  l->socket = zmq_socket (p->context, ZMQ_DEALER);
  set_common_options (p, l->socket);
  zmq_setsockopt (l->socket, ZMQ_ROUTING_ID, p->options.vm,
                  strlen (p->options.vm));
  if (p->options.public_key)
    zmq_setsockopt (l->socket, ZMQ_CURVE_SERVERKEY, p->options.public_key,
                    Z85_KEY_LEN);
  zmq_socket_monitor (l->socket, inproc,
                      ZMQ_EVENT_DISCONNECTED | ZMQ_EVENT_CLOSED
                          | ZMQ_EVENT_HANDSHAKE_FAILED_PROTOCOL
                          | ZMQ_EVENT_HANDSHAKE_FAILED_AUTH);
  l->monitor = zmq_socket (p->context, ZMQ_PAIR);
  set_int (l->monitor, ZMQ_LINGER, 0);
  zmq_connect (l->monitor, inproc);
  zmq_connect (l->socket, endpoint);
  watch_socket (p, &l->source, l->socket, on_link, l);
  watch_socket (p, &l->monitor_source, l->monitor, on_monitor, l);
  g_hash_table_insert (p->links, l->vm, l);
  g_free (inproc);
  g_free (endpoint);
  return l;
}

/* Receives one message and passes it to the sink.  KNOWN_SENDER names the peer
   of a DEALER socket; when NULL, the first frame holds the sender's routing
   ID.  Returns false when no message was available.  */
static bool
receive_message (struct peers *p, void *socket, const char *known_sender)
{
  zmq_msg_t part;
  char from[DCL_NAME_MAX + 1];
  size_t n;
  bool got;

  zmq_msg_init (&part);
  got = zmq_msg_recv (&part, socket, ZMQ_DONTWAIT) >= 0;
  if (got && !known_sender)
    {
      n = MIN (zmq_msg_size (&part), sizeof from - 1);
      memcpy (from, zmq_msg_data (&part), n);
      from[n] = '\0';
      got = zmq_msg_more (&part)
            && zmq_msg_recv (&part, socket, ZMQ_DONTWAIT) >= 0;
    }
  if (got && zmq_msg_size (&part) <= PEERS_MESSAGE_MAX)
    p->options.sink.message (p->options.sink.arg,
                             known_sender ? known_sender : from,
                             zmq_msg_data (&part), zmq_msg_size (&part));
  zmq_msg_close (&part);
  return got;
}

/* Queues L for reading in the next tick.  ZeroMQ's descriptors are
   edge-triggered and any call on the socket may consume the edge, so a message
   that is readable after such a call would not be signalled again.  */
static void
mark_ready (struct link *l)
{
  if (l->ready)
    return;
  l->ready = true;
  g_ptr_array_add (l->peers->ready, l);
  loop_wake (l->peers->options.loop);
}

static void
on_link (void *arg, uint32_t events)
{
  struct link *l = arg;
  int i;

  (void)events;
  for (i = 0; i < READ_BATCH_MAX && is_readable (l->socket); i++)
    if (!receive_message (l->peers, l->socket, l->vm))
      return;
  if (i == READ_BATCH_MAX)
    mark_ready (l);
}

static void
on_monitor (void *arg, uint32_t events)
{
  struct link *l = arg;
  struct peers *p = l->peers;
  bool failed = false;
  zmq_msg_t part;

  (void)events;
  while (is_readable (l->monitor))
    {
      zmq_msg_init (&part);
      failed |= zmq_msg_recv (&part, l->monitor, ZMQ_DONTWAIT) >= 0;
      zmq_msg_close (&part);
    }
  if (failed && g_hash_table_lookup (p->links, l->vm) == l)
    {
      /* Messages queued on the link are dropped with it.  After a reconnect
         ZeroMQ would deliver them, and a request could run long after its
         caller has been answered.  */
      g_hash_table_steal (p->links, l->vm);
      g_ptr_array_add (p->closing, l);
      p->options.sink.link_lost (p->options.sink.arg, l->vm);
    }
}

/* Sends without delay.  With ADDRESS NULL the message is a reply over the link
   that VM has opened to this proxy's ROUTER.  */
static void
send_now (struct peers *p, const char *vm, const char *address,
          const char *data, size_t len)
{
  struct link *l;

  if (!address)
    {
      zmq_send (p->router, vm, strlen (vm), ZMQ_DONTWAIT | ZMQ_SNDMORE);
      zmq_send (p->router, data, len, ZMQ_DONTWAIT);
      loop_wake (p->options.loop);
      return;
    }
  l = g_hash_table_lookup (p->links, vm);
  if (l && strcmp (l->address, address) != 0)
    {
      g_hash_table_steal (p->links, vm);
      g_ptr_array_add (p->closing, l);
      l = NULL;
    }
  if (!l)
    l = open_link (p, vm, address);
  l->last_used_us = loop_now_us ();
  zmq_send (l->socket, data, len, ZMQ_DONTWAIT);
  if (is_readable (l->socket))
    mark_ready (l);
}

static void
port_send (struct peer_port *port, const char *vm, const char *address,
           const char *data, size_t len)
{
  struct peers *p = (struct peers *)port;
  int64_t delay_ms = p->options.delay_ms
                         ? p->options.delay_ms (p->options.delay_arg, vm)
                         : 0;
  struct delayed *d;

  if (delay_ms <= 0)
    {
      send_now (p, vm, address, data, len);
      return;
    }
  d = g_new0 (struct delayed, 1);
  d->due_us = loop_now_us () + delay_ms * US_PER_MS;
  d->vm = g_strdup (vm);
  d->address = g_strdup (address);
  d->data = g_memdup2 (data, len);
  d->len = len;
  g_queue_push_tail (&p->delayed, d);
}

static void
free_delayed (gpointer data)
{
  struct delayed *d = data;

  g_free (d->vm);
  g_free (d->address);
  g_free (d->data);
  g_free (d);
}

static void
read_router (struct peers *p)
{
  for (int i = 0; i < READ_BATCH_MAX && is_readable (p->router); i++)
    if (!receive_message (p, p->router, NULL))
      return;
}

static void
on_router (void *arg, uint32_t events)
{
  (void)events;
  read_router (arg);
}

/* Answers ZAP authentication requests (ZeroMQ RFC 27): only peers with the
   public key shared by all proxies may connect.  */
static void
on_zap (void *arg, uint32_t events)
{
  struct peers *p = arg;
  char frames[8][256];
  char key[Z85_KEY_LEN + 1];

  (void)events;
  while (is_readable (p->zap))
    {
      int sizes[8] = { 0 };
      int n = 0;
      int more = 1;
      bool allowed = false;

      while (more && n < 8)
        {
          size_t size = sizeof more;

          sizes[n] = zmq_recv (p->zap, frames[n], sizeof frames[n], 0);
          zmq_getsockopt (p->zap, ZMQ_RCVMORE, &more, &size);
          n++;
        }
      if (n == 7 && sizes[6] == 32
          && zmq_z85_encode (key, (uint8_t *)frames[6], 32))
        allowed = strcmp (key, p->options.public_key) == 0;
      zmq_send (p->zap, "1.0", 3, ZMQ_SNDMORE);
      zmq_send (p->zap, frames[1], (size_t)MAX (sizes[1], 0), ZMQ_SNDMORE);
      zmq_send (p->zap, allowed ? "200" : "400", 3, ZMQ_SNDMORE);
      zmq_send (p->zap, "", 0, ZMQ_SNDMORE);
      zmq_send (p->zap, "", 0, ZMQ_SNDMORE);
      zmq_send (p->zap, "", 0, 0);
    }
}

static const struct peer_port_ops port_ops = { port_send };

static void
start_zap (struct peers *p)
{
  p->zap = zmq_socket (p->context, ZMQ_REP);
  zmq_bind (p->zap, "inproc://zeromq.zap.01");
  watch_socket (p, &p->zap_source, p->zap, on_zap, p);
}

struct peers *
peers_new (const struct peers_options *options, GError **error)
{
  struct peers *p = g_new0 (struct peers, 1);
  char *endpoint = g_strdup_printf ("tcp://%s", options->listen);

  p->port.ops = &port_ops;
  p->options = *options;
  p->links = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, free_link);
  p->ready = g_ptr_array_new ();
  p->closing = g_ptr_array_new_with_free_func (free_link);
  g_queue_init (&p->delayed);
  p->context = zmq_ctx_new ();
  zmq_ctx_set (p->context, ZMQ_MAX_SOCKETS, 65535);
  if (options->public_key)
    start_zap (p);
  p->router = zmq_socket (p->context, ZMQ_ROUTER);
  set_common_options (p, p->router);
  set_int (p->router, ZMQ_ROUTER_HANDOVER, 1);
  if (options->public_key)
    set_int (p->router, ZMQ_CURVE_SERVER, 1);
  watch_socket (p, &p->source, p->router, on_router, p);
  if (zmq_bind (p->router, endpoint) != 0)
    {
      g_set_error (error, g_quark_from_static_string ("peers"), errno,
                   "peers.listen %s: %s", options->listen,
                   zmq_strerror (zmq_errno ()));
      peers_free (p);
      p = NULL;
    }
  g_free (endpoint);
  return p;
}

void
peers_free (struct peers *p)
{
  if (!p)
    return;
  g_ptr_array_free (p->closing, TRUE);
  g_hash_table_destroy (p->links);
  g_ptr_array_free (p->ready, TRUE);
  g_queue_clear_full (&p->delayed, free_delayed);
  loop_remove (p->options.loop, &p->source);
  zmq_close (p->router);
  if (p->zap)
    {
      loop_remove (p->options.loop, &p->zap_source);
      zmq_close (p->zap);
    }
  zmq_ctx_term (p->context);
  g_free (p);
}

struct peer_port *
peers_port (struct peers *p)
{
  return &p->port;
}

static void
send_due_messages (struct peers *p, int64_t now_us)
{
  GList *item = p->delayed.head;

  while (item)
    {
      GList *next = item->next;
      struct delayed *d = item->data;

      if (d->due_us <= now_us)
        {
          g_queue_delete_link (&p->delayed, item);
          send_now (p, d->vm, d->address, d->data, d->len);
          free_delayed (d);
        }
      item = next;
    }
}

static void
read_ready_links (struct peers *p)
{
  uint32_t n = p->ready->len;

  for (uint32_t i = 0; i < n && p->ready->len > 0; i++)
    {
      struct link *l = g_ptr_array_steal_index (p->ready, 0);

      l->ready = false;
      on_link (l, 0);
    }
}

void
peers_tick (struct peers *p, int64_t now_us)
{
  GHashTableIter iter;
  gpointer value;

  send_due_messages (p, now_us);
  read_router (p);
  read_ready_links (p);
  g_hash_table_iter_init (&iter, p->links);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      struct link *l = value;

      if (now_us - l->last_used_us > PEERS_IDLE_MS * US_PER_MS)
        {
          g_hash_table_iter_steal (&iter);
          g_ptr_array_add (p->closing, l);
        }
    }
  if (p->closing->len > 0)
    g_ptr_array_set_size (p->closing, 0);
}
