/* Fake database groups: speaks enough of the PostgreSQL v3 protocol for libpq
   in pipeline mode, and simulates slots, connection limits, the time to open a
   connection, network latency and faults.  One process serves all instances of
   its groups.

   Usage: fake-upstream CONFIG.json
   {"control": "ip:port", "service_us": n, "open_ms": n, "delay_ms": n,
    "groups": [{"slots": n, "connections": n, "instances":
      [{"name": s, "address": "ip:port", "data_centre": s}, ...]}, ...]}
   delay_ms is the one-way latency between data centres.  upstream_control.c
   lists the control commands.  */
#include "pgwire.h"
#include "upstreamint.h"

#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <jansson.h>
#include <netinet/tcp.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>

#define SSL_REQUEST 80877103
#define GSS_REQUEST 80877104
#define CANCEL_REQUEST 80877102
/* Interval of replication and of the checks of all connections.  */
#define TICK_US 500

struct server server;

static volatile sig_atomic_t stopping;

static void process_input (struct conn *c);

static void
on_signal (int signal)
{
  stopping = signal;
}

struct grp_instance *
ups_model_of (const struct instance *i)
{
  return &i->group->model.instances[i->index];
}

static void
put_ready (struct conn *c)
{
  guint at = pgw_begin_message (c->out, 'Z');
  const char *state = c->session.failed ? "E" : c->session.open ? "T" : "I";

  g_byte_array_append (c->out, (const guint8 *)state, 1);
  pgw_end_message (c->out, at);
}

void
ups_close_conn (struct conn *c)
{
  struct instance *i = c->instance;

  if (c->closed)
    return;
  c->closed = true;
  loop_remove (&server.loop, &c->source);
  close (c->source.fd);
  if (c->counted)
    i->n_conns--;
  if (c->has_slot)
    i->running--;
  if (c->waiting)
    g_queue_remove (&i->waiting, c);
}

static void
free_packet (gpointer data)
{
  struct packet *p = data;

  g_byte_array_free (p->bytes, TRUE);
  g_free (p);
}

static void
clear_statement (struct conn *c)
{
  for (uint32_t i = 0; i < c->n_args; i++)
    g_clear_pointer (&c->args[i], g_free);
  c->n_args = 0;
  g_clear_pointer (&c->sql, g_free);
}

static void
free_conn (gpointer data)
{
  struct conn *c = data;

  clear_statement (c);
  g_byte_array_free (c->in, TRUE);
  g_byte_array_free (c->out, TRUE);
  g_queue_clear_full (&c->arriving, free_packet);
  g_queue_clear_full (&c->leaving, free_packet);
  grp_session_free (&c->session);
  g_free (c);
}

/* True when no data passes between the ends of the connection.  */
static bool
is_unreachable (const struct conn *c)
{
  const struct instance *i = c->instance;

  return c->silent || ups_model_of (i)->paused
         || (i->cut && strcmp (c->centre, i->centre) != 0);
}

static void
write_now (struct conn *c, const guint8 *data, guint len)
{
  while (len > 0)
    {
      ssize_t n = send (c->source.fd, data, len, MSG_NOSIGNAL);

      if (n <= 0)
        {
          if (errno != EAGAIN)
            ups_close_conn (c);
          /* XXX: if the socket buffer is full, the rest is lost; replies are
             small.  */
          return;
        }
      data += n;
      len -= (guint)n;
    }
}

/* Sends the output buffer, after the network delay if there is one.  */
static void
flush_output (struct conn *c)
{
  struct packet *p;

  if (c->out->len == 0 || c->closed)
    return;
  if (c->delay_us == 0)
    {
      write_now (c, c->out->data, c->out->len);
      g_byte_array_set_size (c->out, 0);
      return;
    }
  p = g_new0 (struct packet, 1);
  p->due_us = server.now_us + c->delay_us;
  p->bytes = c->out;
  c->out = g_byte_array_new ();
  g_queue_push_tail (&c->leaving, p);
}

static void
run_statement (struct conn *c)
{
  struct instance *i = c->instance;
  struct sql_result r;
  bool writes = c->session.ops->len > 0;
  bool commit = g_str_has_prefix (c->sql, "COMMIT");

  if (commit && writes && i->lose_before_commit > 0)
    {
      i->lose_before_commit--;
      ups_close_conn (c);
      return;
    }
  sql_run (&c->session, i->group->names, c->sql, (const char *const *)c->args,
           c->n_args, server.now_us, &r);
  if (commit && writes && !r.state && i->lose_commit_replies > 0)
    {
      i->lose_commit_replies--;
      ups_close_conn (c);
    }
  else if (r.state)
    {
      pgw_put_error (c->out, r.state, r.message ? r.message : "failed");
      c->skipping = true;
    }
  else
    {
      pgw_put_columns (c->out, &r);
      for (uint32_t k = 0; k < r.rows->len; k++)
        pgw_put_row (c->out, &r, g_ptr_array_index (r.rows, k));
      guint at = pgw_begin_message (c->out, 'C');
      pgw_put_text (c->out, r.tag);
      pgw_end_message (c->out, at);
    }
  sql_clear (&r);
  clear_statement (c);
}

static int64_t
service_time_us (const struct conn *c)
{
  if (g_str_has_prefix (c->sql, "SELECT work(") && c->n_args > 0)
    return atoll (c->args[0]);
  return server.service_us;
}

/* Runs the statement at once if it needs no slot, else after it got a slot and
   its service time has passed.  */
static void
execute (struct conn *c)
{
  struct instance *i = c->instance;
  int64_t service_us = sql_needs_slot (c->sql) ? service_time_us (c) : 0;

  if (service_us == 0)
    {
      run_statement (c);
      return;
    }
  if (i->running >= i->group->slots)
    {
      c->waiting = true;
      g_queue_push_tail (&i->waiting, c);
      return;
    }
  i->running++;
  c->has_slot = true;
  c->busy_until_us = server.now_us + service_us;
}

static void
on_parse (struct conn *c, const guint8 *body)
{
  const char *name = (const char *)body;

  clear_statement (c);
  c->sql = g_strdup (name + strlen (name) + 1);
  pgw_put_empty (c->out, '1');
}

static void
on_bind (struct conn *c, const guint8 *body)
{
  const guint8 *at = body + strlen ((const char *)body) + 1;
  uint32_t n;

  at += strlen ((const char *)at) + 1;
  at += 2 + 2 * pgw_read_u16 (at);
  n = pgw_read_u16 (at);
  at += 2;
  for (uint32_t k = 0; k < n && k < ARGS_MAX; k++)
    {
      int32_t len = (int32_t)pgw_read_u32 (at);

      at += 4;
      c->args[k] = len < 0 ? NULL : g_strndup ((const char *)at, (gsize)len);
      at += len < 0 ? 0 : len;
      c->n_args = k + 1;
    }
  pgw_put_empty (c->out, '2');
}

static void
on_message (struct conn *c, char type, const guint8 *body)
{
  if (c->skipping && type != 'S' && type != 'X')
    return;
  switch (type)
    {
    case 'P':
      on_parse (c, body);
      break;
    case 'B':
      on_bind (c, body);
      break;
    case 'E':
      execute (c);
      break;
    case 'S':
      c->skipping = false;
      put_ready (c);
      break;
    case 'X':
      ups_close_conn (c);
      break;
    default:
      break;
    }
}

static void
put_parameter (struct conn *c, const char *name, const char *value)
{
  guint at = pgw_begin_message (c->out, 'S');

  pgw_put_text (c->out, name);
  pgw_put_text (c->out, value);
  pgw_end_message (c->out, at);
}

static void
finish_startup (struct conn *c)
{
  struct instance *i = c->instance;
  guint at;

  c->phase = PHASE_READY;
  if (i->n_conns > i->group->connections)
    {
      pgw_put_error (c->out, "53300", "too many connections");
      flush_output (c);
      ups_close_conn (c);
      return;
    }
  at = pgw_begin_message (c->out, 'R');
  pgw_put_u32 (c->out, 0);
  pgw_end_message (c->out, at);
  put_parameter (c, "server_version", "15.0");
  put_parameter (c, "client_encoding", "UTF8");
  put_parameter (c, "standard_conforming_strings", "on");
  put_ready (c);
}

/* Reads the data centre of the proxy from the application name, which is
   cassiabayd/CENTRE/VM.  */
static void
read_startup (struct conn *c, const guint8 *body, uint32_t len)
{
  const char *at = (const char *)body + 4;
  const char *end = (const char *)body + len;

  while (at < end && *at)
    {
      const char *value = at + strlen (at) + 1;

      if (strcmp (at, "application_name") == 0)
        {
          char **parts = g_strsplit (value, "/", 3);

          if (g_strv_length (parts) == 3)
            g_strlcpy (c->centre, parts[1], sizeof c->centre);
          g_strfreev (parts);
        }
      at = value + strlen (value) + 1;
    }
  if (c->centre[0] && strcmp (c->centre, c->instance->centre) != 0)
    c->delay_us = server.delay_us;
  c->instance->n_conns++;
  c->counted = true;
  c->phase = PHASE_OPENING;
  c->ready_us = server.now_us + server.open_us + c->delay_us;
}

static void
consume (struct conn *c, guint n)
{
  g_byte_array_remove_range (c->in, 0, n);
}

/* Handles one message of the startup, which has no type byte; false when it is
   incomplete.  */
static bool
process_startup (struct conn *c)
{
  uint32_t len;
  uint32_t code;

  if (c->in->len < 8)
    return false;
  len = pgw_read_u32 (c->in->data);
  if (c->in->len < len)
    return false;
  code = pgw_read_u32 (c->in->data + 4);
  if (code == SSL_REQUEST || code == GSS_REQUEST)
    write_now (c, (const guint8 *)"N", 1);
  else if (code == CANCEL_REQUEST)
    ups_close_conn (c);
  else
    read_startup (c, c->in->data + 4, len - 4);
  if (!c->closed)
    consume (c, len);
  return true;
}

static bool
process_one (struct conn *c)
{
  uint32_t len;
  char type;
  guint8 *body;

  if (c->phase == PHASE_STARTUP)
    return process_startup (c);
  if (c->phase != PHASE_READY || c->in->len < 5)
    return false;
  len = pgw_read_u32 (c->in->data + 1);
  if (c->in->len < len + 1)
    return false;
  type = (char)c->in->data[0];
  body = g_malloc0 (len + 1);
  memcpy (body, c->in->data + 5, len - 4);
  consume (c, len + 1);
  on_message (c, type, body);
  g_free (body);
  return true;
}

static void
process_input (struct conn *c)
{
  while (!c->closed && !is_unreachable (c) && !c->waiting
         && c->busy_until_us == 0 && process_one (c))
    ;
  if (!is_unreachable (c))
    flush_output (c);
}

static void
on_conn (void *arg, uint32_t events)
{
  struct conn *c = arg;
  guint8 chunk[16384];
  ssize_t n;

  (void)events;
  if (c->closed)
    return;
  n = recv (c->source.fd, chunk, sizeof chunk, 0);
  if (n == 0 || (n < 0 && errno != EAGAIN))
    {
      ups_close_conn (c);
      return;
    }
  if (n < 0)
    return;
  if (c->delay_us == 0)
    {
      g_byte_array_append (c->in, chunk, (guint)n);
      process_input (c);
      return;
    }
  struct packet *p = g_new0 (struct packet, 1);
  p->due_us = server.now_us + c->delay_us;
  p->bytes = g_byte_array_new ();
  g_byte_array_append (p->bytes, chunk, (guint)n);
  g_queue_push_tail (&c->arriving, p);
}

static void
on_accept (void *arg, uint32_t events)
{
  struct instance *i = arg;
  struct conn *c;
  int one = 1;
  int fd = accept4 (i->listener.fd, NULL, NULL, SOCK_NONBLOCK | SOCK_CLOEXEC);

  (void)events;
  if (fd < 0)
    return;
  setsockopt (fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
  c = g_new0 (struct conn, 1);
  c->instance = i;
  c->in = g_byte_array_new ();
  c->out = g_byte_array_new ();
  g_queue_init (&c->arriving);
  g_queue_init (&c->leaving);
  grp_session_init (&c->session, &i->group->model, i->index);
  c->source.fd = fd;
  c->source.fn = on_conn;
  c->source.arg = c;
  loop_watch (&server.loop, &c->source, EPOLLIN);
  g_ptr_array_add (server.conns, c);
}

static bool
listen_at (struct loop_source *source, const char *address, loop_fn *fn,
           void *arg)
{
  struct sockaddr_in sa = { 0 };
  uint16_t port;
  char *host;
  int one = 1;

  if (!dcl_split_address (address, &host, &port))
    return false;
  source->fd = socket (AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  source->fn = fn;
  source->arg = arg;
  setsockopt (source->fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof one);
  sa.sin_family = AF_INET;
  sa.sin_port = htons (port);
  inet_pton (AF_INET, host, &sa.sin_addr);
  g_free (host);
  if (bind (source->fd, (struct sockaddr *)&sa, sizeof sa) != 0
      || listen (source->fd, 1024) != 0)
    {
      fprintf (stderr, "fake-upstream: cannot listen on %s\n", address);
      return false;
    }
  loop_watch (&server.loop, source, EPOLLIN);
  return true;
}

static void
deliver_due (struct conn *c)
{
  struct packet *p;

  while (!c->closed && (p = g_queue_peek_head (&c->arriving)) != NULL
         && p->due_us <= server.now_us)
    {
      g_queue_pop_head (&c->arriving);
      g_byte_array_append (c->in, p->bytes->data, p->bytes->len);
      free_packet (p);
      process_input (c);
    }
  while (!c->closed && !is_unreachable (c)
         && (p = g_queue_peek_head (&c->leaving)) != NULL
         && p->due_us <= server.now_us)
    {
      g_queue_pop_head (&c->leaving);
      write_now (c, p->bytes->data, p->bytes->len);
      free_packet (p);
    }
}

static void
assign_slots (struct instance *i)
{
  while (i->running < i->group->slots && !g_queue_is_empty (&i->waiting))
    {
      struct conn *c = g_queue_pop_head (&i->waiting);

      c->waiting = false;
      execute (c);
    }
}

static void
tick_conn (struct conn *c)
{
  deliver_due (c);
  if (c->closed || is_unreachable (c))
    return;
  if (c->phase == PHASE_OPENING && c->ready_us <= server.now_us)
    finish_startup (c);
  if (c->busy_until_us > 0 && c->busy_until_us <= server.now_us)
    {
      c->busy_until_us = 0;
      c->has_slot = false;
      c->instance->running--;
      run_statement (c);
      assign_slots (c->instance);
    }
  process_input (c);
}

static void
tick (void)
{
  for (uint32_t k = 0; k < server.groups->len; k++)
    {
      struct group *g = g_ptr_array_index (server.groups, k);

      grp_tick (&g->model, server.now_us);
    }
  for (uint32_t k = 0; k < server.instances->len; k++)
    assign_slots (g_ptr_array_index (server.instances, k));
  for (uint32_t k = 0; k < server.conns->len; k++)
    tick_conn (g_ptr_array_index (server.conns, k));
  for (uint32_t k = server.conns->len; k > 0; k--)
    if (((struct conn *)g_ptr_array_index (server.conns, k - 1))->closed)
      g_ptr_array_remove_index_fast (server.conns, k - 1);
}

bool
ups_listen (struct instance *i)
{
  return listen_at (&i->listener, i->address, on_accept, i);
}

static bool
add_instance (struct group *g, uint32_t index, json_t *item)
{
  struct instance *i;
  const char *name;
  const char *address;
  const char *centre;

  if (json_unpack (item, "{s:s, s:s, s:s}", "name", &name, "address", &address,
                   "data_centre", &centre)
      != 0)
    return false;
  i = g_new0 (struct instance, 1);
  i->group = g;
  i->index = index;
  i->name = g_strdup (name);
  i->address = g_strdup (address);
  i->centre = g_strdup (centre);
  g_queue_init (&i->waiting);
  g->names[index] = i->name;
  g_ptr_array_add (server.instances, i);
  return ups_listen (i);
}

static bool
add_group (json_t *item)
{
  struct group *g = g_new0 (struct group, 1);
  json_t *list = json_object_get (item, "instances");
  int64_t delay_us = server.delay_us;

  g->slots = (int32_t)json_integer_value (json_object_get (item, "slots"));
  g->connections
      = (int32_t)json_integer_value (json_object_get (item, "connections"));
  grp_init (&g->model, (uint32_t)json_array_size (list), delay_us);
  g_ptr_array_add (server.groups, g);
  for (uint32_t k = 0; k < json_array_size (list); k++)
    if (!add_instance (g, k, json_array_get (list, k)))
      return false;
  return true;
}

static bool
load_config (const char *file)
{
  json_error_t error;
  json_t *root = json_load_file (file, 0, &error);
  size_t k;
  json_t *item;
  bool ok = true;

  if (!root)
    {
      fprintf (stderr, "fake-upstream: %s: %s\n", file, error.text);
      return false;
    }
  server.service_us
      = json_integer_value (json_object_get (root, "service_us"));
  server.open_us
      = json_integer_value (json_object_get (root, "open_ms")) * 1000;
  server.delay_us
      = json_integer_value (json_object_get (root, "delay_ms")) * 1000;
  json_array_foreach (json_object_get (root, "groups"), k, item)
    ok &= add_group (item);
  ok &= listen_at (&server.control,
                   json_string_value (json_object_get (root, "control")),
                   ups_on_control, NULL);
  json_decref (root);
  return ok;
}

int
main (int argc, char **argv)
{
  signal (SIGTERM, on_signal);
  signal (SIGINT, on_signal);
  signal (SIGPIPE, SIG_IGN);
  server.groups = g_ptr_array_new ();
  server.instances = g_ptr_array_new ();
  server.conns = g_ptr_array_new_with_free_func (free_conn);
  if (argc != 2 || !loop_init (&server.loop) || !load_config (argv[1]))
    return 1;
  int64_t next_us = 0;
  while (!stopping)
    {
      server.now_us = loop_now_us ();
      if (server.now_us >= next_us)
        {
          tick ();
          next_us = server.now_us + TICK_US;
        }
      loop_run (&server.loop, next_us - loop_now_us ());
    }
  return 0;
}
