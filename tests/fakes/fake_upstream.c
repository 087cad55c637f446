/* Stand-in for database groups: speaks enough of the PostgreSQL v3 protocol
   for libpq in pipeline mode, with slots, connection limits, opening time,
   network delay and faults.  One process holds all instances of some groups.

   Usage: fake-upstream CONFIG.json
   {"control": "ip:port", "service_us": n, "open_ms": n, "delay_ms": n,
    "groups": [{"slots": n, "connections": n, "instances":
      [{"name": s, "address": "ip:port", "data_centre": s}, ...]}, ...]}
   delay_ms is one way between data centres.  Control lines: see control.  */
#include "decl.h"
#include "loop.h"
#include "minisql.h"

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
#define ARGS_MAX 256
/* Replication is looked at this often.  */
#define TICK_US 500

struct instance;

/* Bytes on their way in or out.  */
struct packet
{
  int64_t due_us;
  GByteArray *bytes;
};

enum conn_phase
{
  PHASE_STARTUP,
  PHASE_OPENING, /* waits for the opening time */
  PHASE_READY
};

struct conn
{
  struct loop_source source;
  struct instance *instance;
  enum conn_phase phase;
  int64_t ready_us;
  int64_t delay_us;
  char centre[64];
  GByteArray *in;
  GByteArray *out;
  GQueue arriving; /* struct packet * */
  GQueue leaving;
  struct grp_session session;
  char *sql; /* parsed, not yet executed */
  char *args[ARGS_MAX];
  uint32_t n_args;
  bool skipping; /* an error occurred: until the next sync */
  bool has_slot;
  bool waiting;    /* for a slot */
  int64_t busy_us; /* the statement runs until then, 0: none */
  bool silent;     /* nothing more is heard of this connection */
  bool closed;
  bool counted;
};

struct group
{
  struct grp model;
  const char *names[DCL_INSTANCES_MAX];
  int32_t slots;
  int32_t connections;
};

struct instance
{
  struct loop_source listener;
  struct group *group;
  uint32_t index;
  char *name;
  char *address;
  char *centre;
  int32_t n_conns;
  int32_t running;
  GQueue waiting;       /* struct conn *, for a slot */
  int64_t lose_commits; /* answers to lose after committing */
  int64_t lose_before;  /* connections to lose instead of committing */
  bool cut;             /* unreachable from other data centres */
};

static struct
{
  struct loop loop;
  GPtrArray *groups;
  GPtrArray *instances;
  GPtrArray *conns;
  int64_t service_us;
  int64_t open_us;
  int64_t delay_us;
  int64_t now_us;
  struct loop_source control;
} server;

static volatile sig_atomic_t stopping;

static void process (struct conn *c);

static void
on_signal (int signal)
{
  stopping = signal;
}

static struct grp_instance *
model_of (const struct instance *i)
{
  return &i->group->model.instances[i->index];
}

static void
put_u32 (GByteArray *out, uint32_t value)
{
  uint32_t n = htonl (value);

  g_byte_array_append (out, (guint8 *)&n, 4);
}

static void
put_u16 (GByteArray *out, uint32_t value)
{
  uint16_t n = htons ((uint16_t)value);

  g_byte_array_append (out, (guint8 *)&n, 2);
}

static void
put_text (GByteArray *out, const char *text)
{
  g_byte_array_append (out, (const guint8 *)text, (guint)strlen (text) + 1);
}

/* Starts a message; end_message sets its length.  */
static guint
begin_message (GByteArray *out, char type)
{
  guint at = out->len + 1;

  g_byte_array_append (out, (guint8 *)&type, 1);
  put_u32 (out, 0);
  return at;
}

static void
end_message (GByteArray *out, guint at)
{
  uint32_t n = htonl (out->len - at);

  memcpy (out->data + at, &n, 4);
}

static void
put_empty (GByteArray *out, char type)
{
  end_message (out, begin_message (out, type));
}

static void
put_error (GByteArray *out, const char *state, const char *message)
{
  guint at = begin_message (out, 'E');

  put_text (out, "SERROR");
  g_byte_array_append (out, (guint8 *)"C", 1);
  put_text (out, state);
  g_byte_array_append (out, (guint8 *)"M", 1);
  put_text (out, message);
  g_byte_array_append (out, (guint8 *)"", 1);
  end_message (out, at);
}

static void
put_ready (struct conn *c)
{
  guint at = begin_message (c->out, 'Z');
  const char *state = c->session.failed ? "E" : c->session.open ? "T" : "I";

  g_byte_array_append (c->out, (const guint8 *)state, 1);
  end_message (c->out, at);
}

static void
put_columns (GByteArray *out, const struct sql_result *r)
{
  guint at;

  if (r->n_columns == 0)
    {
      put_empty (out, 'n');
      return;
    }
  at = begin_message (out, 'T');
  put_u16 (out, r->n_columns);
  for (uint32_t i = 0; i < r->n_columns; i++)
    {
      put_text (out, r->columns[i]);
      put_u32 (out, 0);
      put_u16 (out, 0);
      put_u32 (out, 25);
      put_u16 (out, 0xffff);
      put_u32 (out, 0xffffffff);
      put_u16 (out, 0);
    }
  end_message (out, at);
}

static void
put_row (GByteArray *out, const struct sql_result *r, char **row)
{
  guint at = begin_message (out, 'D');

  put_u16 (out, r->n_columns);
  for (uint32_t i = 0; i < r->n_columns; i++)
    if (!row[i])
      put_u32 (out, 0xffffffff);
    else
      {
        put_u32 (out, (uint32_t)strlen (row[i]));
        g_byte_array_append (out, (guint8 *)row[i], (guint)strlen (row[i]));
      }
  end_message (out, at);
}

static void
close_conn (struct conn *c)
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

/* True when nothing passes between the connection's ends.  */
static bool
is_dark (const struct conn *c)
{
  const struct instance *i = c->instance;

  return c->silent || model_of (i)->paused
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
            close_conn (c);
          /* XXX: a full socket buffer loses the rest; answers are small.  */
          return;
        }
      data += n;
      len -= (guint)n;
    }
}

/* Sends what has been written, after the delay.  */
static void
flush (struct conn *c)
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
answer_statement (struct conn *c)
{
  struct instance *i = c->instance;
  struct sql_result r;
  bool writes = c->session.ops->len > 0;
  bool commit = g_str_has_prefix (c->sql, "COMMIT");

  if (commit && writes && i->lose_before > 0)
    {
      i->lose_before--;
      close_conn (c);
      return;
    }
  sql_run (&c->session, i->group->names, c->sql, (const char *const *)c->args,
           c->n_args, server.now_us, &r);
  if (commit && writes && !r.state && i->lose_commits > 0)
    {
      i->lose_commits--;
      close_conn (c);
    }
  else if (r.state)
    {
      put_error (c->out, r.state, r.message ? r.message : "failed");
      c->skipping = true;
    }
  else
    {
      put_columns (c->out, &r);
      for (uint32_t k = 0; k < r.rows->len; k++)
        put_row (c->out, &r, g_ptr_array_index (r.rows, k));
      guint at = begin_message (c->out, 'C');
      put_text (c->out, r.tag);
      end_message (c->out, at);
    }
  sql_clear (&r);
  clear_statement (c);
}

static int64_t
service_time (const struct conn *c)
{
  if (g_str_has_prefix (c->sql, "SELECT work(") && c->n_args > 0)
    return atoll (c->args[0]);
  return server.service_us;
}

/* Runs the statement now or when a slot and its service time allow.  */
static void
execute (struct conn *c)
{
  struct instance *i = c->instance;
  int64_t service = sql_needs_slot (c->sql) ? service_time (c) : 0;

  if (service == 0)
    {
      answer_statement (c);
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
  c->busy_us = server.now_us + service;
}

static uint32_t
read_u32 (const guint8 *data)
{
  uint32_t n;

  memcpy (&n, data, 4);
  return ntohl (n);
}

static uint32_t
read_u16 (const guint8 *data)
{
  uint16_t n;

  memcpy (&n, data, 2);
  return ntohs (n);
}

static void
on_parse (struct conn *c, const guint8 *body)
{
  const char *name = (const char *)body;

  clear_statement (c);
  c->sql = g_strdup (name + strlen (name) + 1);
  put_empty (c->out, '1');
}

static void
on_bind (struct conn *c, const guint8 *body)
{
  const guint8 *at = body + strlen ((const char *)body) + 1;
  uint32_t n;

  at += strlen ((const char *)at) + 1;
  at += 2 + 2 * read_u16 (at);
  n = read_u16 (at);
  at += 2;
  for (uint32_t k = 0; k < n && k < ARGS_MAX; k++)
    {
      int32_t len = (int32_t)read_u32 (at);

      at += 4;
      c->args[k] = len < 0 ? NULL : g_strndup ((const char *)at, (gsize)len);
      at += len < 0 ? 0 : len;
      c->n_args = k + 1;
    }
  put_empty (c->out, '2');
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
      close_conn (c);
      break;
    default:
      break;
    }
}

static void
put_parameter (struct conn *c, const char *name, const char *value)
{
  guint at = begin_message (c->out, 'S');

  put_text (c->out, name);
  put_text (c->out, value);
  end_message (c->out, at);
}

static void
finish_startup (struct conn *c)
{
  struct instance *i = c->instance;
  guint at;

  c->phase = PHASE_READY;
  if (i->n_conns > i->group->connections)
    {
      put_error (c->out, "53300", "too many connections");
      flush (c);
      close_conn (c);
      return;
    }
  at = begin_message (c->out, 'R');
  put_u32 (c->out, 0);
  end_message (c->out, at);
  put_parameter (c, "server_version", "15.0");
  put_parameter (c, "client_encoding", "UTF8");
  put_parameter (c, "standard_conforming_strings", "on");
  put_ready (c);
}

/* The application name says which data centre the proxy is in:
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

/* Takes one untyped message of the startup; false when incomplete.  */
static bool
process_startup (struct conn *c)
{
  uint32_t len;
  uint32_t code;

  if (c->in->len < 8)
    return false;
  len = read_u32 (c->in->data);
  if (c->in->len < len)
    return false;
  code = read_u32 (c->in->data + 4);
  if (code == SSL_REQUEST || code == GSS_REQUEST)
    write_now (c, (const guint8 *)"N", 1);
  else if (code == CANCEL_REQUEST)
    close_conn (c);
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
  len = read_u32 (c->in->data + 1);
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
process (struct conn *c)
{
  while (!c->closed && !is_dark (c) && !c->waiting && c->busy_us == 0
         && process_one (c))
    ;
  if (!is_dark (c))
    flush (c);
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
      close_conn (c);
      return;
    }
  if (n < 0)
    return;
  if (c->delay_us == 0)
    {
      g_byte_array_append (c->in, chunk, (guint)n);
      process (c);
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
  loop_set (&server.loop, &c->source, EPOLLIN);
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
  loop_set (&server.loop, source, EPOLLIN);
  return true;
}

/* Closes all connections to INSTANCE with a reset, as a dead process's.  */
static void
reset_conns (struct instance *i)
{
  struct linger now = { 1, 0 };

  for (uint32_t k = 0; k < server.conns->len; k++)
    {
      struct conn *c = g_ptr_array_index (server.conns, k);

      if (c->instance != i || c->closed)
        continue;
      setsockopt (c->source.fd, SOL_SOCKET, SO_LINGER, &now, sizeof now);
      close_conn (c);
    }
}

static void
kill_instance (struct instance *i)
{
  grp_kill (&i->group->model, i->index);
  reset_conns (i);
  if (i->listener.fn)
    {
      loop_remove (&server.loop, &i->listener);
      close (i->listener.fd);
    }
}

static void
silence_conns (struct instance *i)
{
  for (uint32_t k = 0; k < server.conns->len; k++)
    {
      struct conn *c = g_ptr_array_index (server.conns, k);

      if (c->instance == i)
        c->silent = true;
    }
}

static void
dump_entries (const struct grp_instance *inst, json_t *out)
{
  for (uint32_t k = 0; k < inst->log->len; k++)
    {
      const struct grp_entry *e = g_ptr_array_index (inst->log, k);
      json_t *writes = json_array ();

      for (uint32_t w = 0; w < e->n; w++)
        json_array_append_new (writes, json_pack ("[s, s?]", e->writes[w].key,
                                                  e->writes[w].value));
      json_array_append_new (out, json_pack ("{s:I, s:o}", "term",
                                             (json_int_t)e->term, "writes",
                                             writes));
    }
}

static char *
dump (struct instance *i)
{
  struct grp_instance *inst = model_of (i);
  json_t *log = json_array ();
  json_t *root;
  char *text;
  char *copy;

  dump_entries (inst, log);
  root
      = json_pack ("{s:s, s:i, s:I, s:I, s:o}", "name", i->name, "role",
                   (int)inst->role, "term", (json_int_t)inst->term,
                   "granted_term", (json_int_t)inst->granted_term, "log", log);
  text = json_dumps (root, JSON_COMPACT);
  copy = g_strdup_printf ("%s\n", text);
  free (text);
  json_decref (root);
  return copy;
}

static void
set_service (const char *value)
{
  server.service_us = atoll (value);
}

/* One control line, "COMMAND INSTANCE [NUMBER]"; returns the answer.
   kill restart pause resume isolate heal lag(ms) silence lose(n)
   lose_before(n) primary dump; service - (us)  */
static char *
control (struct instance *i, const char *command, int64_t number)
{
  struct grp_instance *inst = model_of (i);

  if (strcmp (command, "kill") == 0)
    kill_instance (i);
  else if (strcmp (command, "restart") == 0)
    {
      grp_restart (&i->group->model, i->index, server.now_us);
      listen_at (&i->listener, i->address, on_accept, i);
    }
  else if (strcmp (command, "pause") == 0)
    inst->paused = true;
  else if (strcmp (command, "resume") == 0)
    inst->paused = false;
  else if (strcmp (command, "isolate") == 0)
    inst->isolated = i->cut = true;
  else if (strcmp (command, "heal") == 0)
    inst->isolated = i->cut = false;
  else if (strcmp (command, "lag") == 0)
    inst->lag_us = number * 1000;
  else if (strcmp (command, "silence") == 0)
    silence_conns (i);
  else if (strcmp (command, "lose") == 0)
    i->lose_commits = number;
  else if (strcmp (command, "lose_before") == 0)
    i->lose_before = number;
  else if (strcmp (command, "dump") == 0)
    return dump (i);
  else if (strcmp (command, "role") == 0)
    return g_strdup_printf ("%d %lu %u\n", (int)inst->role, inst->term,
                            inst->log->len);
  else
    return g_strdup ("unknown command\n");
  return g_strdup ("ok\n");
}

static struct instance *
find_instance (const char *name)
{
  for (uint32_t k = 0; k < server.instances->len; k++)
    {
      struct instance *i = g_ptr_array_index (server.instances, k);

      if (strcmp (i->name, name) == 0)
        return i;
    }
  return NULL;
}

/* Control connections carry one line each and are served at once.  */
static void
on_control (void *arg, uint32_t events)
{
  char line[256] = "";
  char command[32] = "";
  char name[64] = "";
  long long number = 0;
  struct instance *i;
  char *answer;
  size_t sent = 0;
  int fd = accept (server.control.fd, NULL, NULL);

  (void)arg;
  (void)events;
  if (fd < 0)
    return;
  if (recv (fd, line, sizeof line - 1, 0) > 0
      && sscanf (line, "%31s %63s %lld", command, name, &number) >= 2)
    {
      i = find_instance (name);
      if (strcmp (command, "service") == 0)
        set_service (name);
      answer = i ? control (i, command, number) : g_strdup ("ok\n");
      while (sent < strlen (answer))
        {
          ssize_t n
              = send (fd, answer + sent, strlen (answer) - sent, MSG_NOSIGNAL);

          if (n <= 0)
            break;
          sent += (size_t)n;
        }
      g_free (answer);
    }
  close (fd);
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
      process (c);
    }
  while (!c->closed && !is_dark (c)
         && (p = g_queue_peek_head (&c->leaving)) != NULL
         && p->due_us <= server.now_us)
    {
      g_queue_pop_head (&c->leaving);
      write_now (c, p->bytes->data, p->bytes->len);
      free_packet (p);
    }
}

static void
give_slots (struct instance *i)
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
  if (c->closed || is_dark (c))
    return;
  if (c->phase == PHASE_OPENING && c->ready_us <= server.now_us)
    finish_startup (c);
  if (c->busy_us > 0 && c->busy_us <= server.now_us)
    {
      c->busy_us = 0;
      c->has_slot = false;
      c->instance->running--;
      answer_statement (c);
      give_slots (c->instance);
    }
  process (c);
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
    give_slots (g_ptr_array_index (server.instances, k));
  for (uint32_t k = 0; k < server.conns->len; k++)
    tick_conn (g_ptr_array_index (server.conns, k));
  for (uint32_t k = server.conns->len; k > 0; k--)
    if (((struct conn *)g_ptr_array_index (server.conns, k - 1))->closed)
      g_ptr_array_remove_index_fast (server.conns, k - 1);
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
  return listen_at (&i->listener, address, on_accept, i);
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
load (const char *file)
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
                   on_control, NULL);
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
  if (argc != 2 || !loop_init (&server.loop) || !load (argv[1]))
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
