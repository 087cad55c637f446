/* Sockets of the session pooler.  A connection of a caller or of another proxy
   is a struct caller, one to an instance a struct upstream_conn.  */
#include "gate.h"

#include "callermemory.h"
#include "decl.h"

#include <errno.h>
#include <string.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>

/* Connections accepted per event of a listener, so that established ones are
   served in between.  */
#define ACCEPT_BATCH 32
/* Idle time of a connection before a TCP keepalive probe, and between
   probes.  */
#define UPSTREAM_KEEPALIVE_S 1
#define CALLER_KEEPALIVE_S 10
/* Of the memory of the process, one part in this many is for input of callers
   and their statements under way, as buffers grow by doubling and statements
   are copied for an instance.  */
#define CALLER_MEMORY_PARTS 8
/* The same for the prepared statements and session values.  */
#define SESSION_MEMORY_PARTS 4
/* How long a connection may take to start a session, and how long at least
   before it has to make room for another one.  */
#define START_MAX_US 10000000
#define START_MIN_US 500000

/* The listening socket for callers, or the one for other proxies.  */
struct listener
{
  struct gate *gate;
  int fd;
  bool relay; /* for other proxies */
  struct loop_source source;
};

struct gate
{
  struct gate_options options;
  struct plr *pooler;
  struct plr_port callers_port;
  struct ul_port upstreams_port;
  struct listener callers_listener;
  struct listener relay_listener;
  bool open;
  GPtrArray *callers; /* struct caller *; closed ones are removed */
  GQueue starting;    /* struct caller *, oldest first: no session yet */
  struct cmm_budget memory;
  GPtrArray *resuming; /* struct caller *: has a reply and may have more
                          input, or is closed and must be freed */
  int64_t tick_us;     /* when plr_tick is due */
};

/* A connection of a caller or of another proxy.  */
struct caller
{
  struct gate *gate;
  struct stream *stream;
  struct ses *session; /* NULL before its start and after its end */
  bool relay;          /* from another proxy */
  bool busy;           /* a statement is under way */
  bool resuming;       /* in gate.resuming */
  bool closed;         /* will be freed by resume_callers */
  int64_t accepted_us;
  GList *starting; /* its node in gate.starting, NULL = not in it */
  struct cmm_holder memory;
  size_t statement_bytes; /* of the statement under way */
};

/* An upstream connection.  */
struct upstream_conn
{
  struct gate *gate;
  struct stream *stream;
  struct ul *link;
  bool started;             /* the instance has accepted the session */
  struct stm_result result; /* of the reply being received */
  GString *rows;            /* of the same reply, like the texts below */
  char *signature;
  char *text;
};

static struct gate *
get_gate_of_callers (struct plr_port *port)
{
  return (struct gate *)((char *)port - offsetof (struct gate, callers_port));
}

static struct gate *
get_gate_of_upstreams (struct ul_port *port)
{
  return (struct gate *)((char *)port
                         - offsetof (struct gate, upstreams_port));
}

/* Callers.  */

static void
schedule_resume (struct caller *c)
{
  if (c->resuming)
    return;
  c->resuming = true;
  g_ptr_array_add (c->gate->resuming, c);
}

static void
end_start (struct caller *c)
{
  if (!c->starting)
    return;
  g_queue_delete_link (&c->gate->starting, c->starting);
  c->starting = NULL;
}

/* Closes C and its session.  FLUSH: sends pending output first.  C itself is
   freed by the next resume_callers.  */
static void
close_caller (struct caller *c, bool flush)
{
  struct gate *g = c->gate;
  struct ses *session = c->session;

  if (c->closed)
    return;
  c->closed = true;
  c->session = NULL;
  end_start (c);
  cmm_set (&g->memory, &c->memory, 0);
  c->statement_bytes = 0;
  stream_close (c->stream, flush);
  g_ptr_array_remove_fast (g->callers, c);
  if (session)
    plr_close_session (g->pooler, session, loop_now_us ());
  schedule_resume (c);
}

static void
on_reply (struct plr_port *port, void *tag, const struct stm_result *result)
{
  struct gate *g = get_gate_of_callers (port);
  struct caller *c = tag;

  c->busy = false;
  cmm_set (&g->memory, &c->memory, c->memory.bytes - c->statement_bytes);
  c->statement_bytes = 0;
  g->options.codec->ops->write_result (g->options.codec,
                                       stream_output (c->stream), result);
  schedule_resume (c);
}

static void
on_close_session (struct plr_port *port, void *tag)
{
  (void)port;
  close_caller (tag, true);
}

static const struct plr_port_ops caller_port_ops
    = { on_reply, on_close_session };

static void
start_session (struct caller *c, const struct codec_caller *m, int64_t now_us)
{
  struct gate *g = c->gate;
  enum sqc code = SQC_NO_DATABASE;

  if (c->relay)
    c->session
        = plr_open_relay (g->pooler, c, m->database, m->instance, now_us);
  else
    c->session
        = plr_open_session (g->pooler, c, m->database, m->key, now_us, &code);
  end_start (c);
  if (c->session)
    {
      g->options.codec->ops->write_started (g->options.codec,
                                            stream_output (c->stream));
      return;
    }
  g->options.codec->ops->write_refused (
      g->options.codec, stream_output (c->stream), code,
      rfs_text (code == SQC_DENIED ? RFS_UNKNOWN_KEY : RFS_NO_ROUTE));
  close_caller (c, true);
}

static void
refuse_caller (struct caller *c, enum sqc code, int64_t now_us)
{
  struct gate *g = c->gate;

  EV (g->options.pooler.log, now_us, EV_BAD_INPUT, EV_TEXT ("from", "caller"),
      EV_TEXT ("code", sqc_name (code)));
  g->options.codec->ops->write_refused (
      g->options.codec, stream_output (c->stream), code, "not understood");
  close_caller (c, true);
}

/* Statements of a session are read one at a time.  */
static bool
can_read_line (const struct caller *c)
{
  return !c->closed && !c->busy;
}

static bool
on_caller_line (void *arg, char *line, size_t len)
{
  struct caller *c = arg;
  struct gate *g = c->gate;
  struct codec_caller m;
  /* The clock is read after the bytes, so that the statement did not arrive
     later than this time.  */
  int64_t now_us = loop_now_us ();

  if (c->relay)
    g->options.codec->ops->read_relay (g->options.codec, line, len, &m);
  else
    g->options.codec->ops->read_caller (g->options.codec, line, len, &m);
  if (m.kind == CODEC_TERMINATE)
    close_caller (c, true);
  else if (m.kind == CODEC_START && !c->session)
    start_session (c, &m, now_us);
  else if (m.kind == CODEC_STATEMENT && c->session)
    {
      c->busy = true;
      c->statement_bytes = len;
      cmm_set (&g->memory, &c->memory, len);
      if (c->relay)
        plr_set_min_position (c->session, m.min_position);
      plr_run_statement (g->pooler, c->session, &m.statement, now_us);
    }
  else
    refuse_caller (c, SQC_MALFORMED, now_us);
  return can_read_line (c);
}

/* Closes the callers that take the most until the rest fits into the
   budget.  */
static void
enforce_memory (struct gate *g)
{
  struct cmm_holder *excess;

  while ((excess = cmm_find_excess (&g->memory)))
    {
      ctr_add (g->options.pooler.counters, CTR_CALLERS_OVER_MEMORY, 1);
      EV (g->options.pooler.log, loop_now_us (), EV_SESSION,
          EV_TEXT ("why", "takes the most memory"),
          EV_INT ("bytes", (int64_t)excess->bytes),
          EV_INT ("all_bytes", (int64_t)g->memory.bytes));
      close_caller (excess->owner, false);
    }
}

static size_t
on_caller_data (void *arg, char *data, size_t len)
{
  struct caller *c = arg;
  size_t used = 0;

  if (can_read_line (c))
    stream_split_lines (data, len, on_caller_line, c, &used);
  if (!c->closed && len - used > CODEC_MESSAGE_MAX)
    refuse_caller (c, SQC_TOO_LARGE, loop_now_us ());
  if (!c->closed)
    cmm_set (&c->gate->memory, &c->memory, c->statement_bytes + len - used);
  enforce_memory (c->gate);
  return used;
}

static void
on_caller_connected (void *arg)
{
  (void)arg;
}

static void
on_caller_closed (void *arg, bool refused)
{
  (void)refused;
  close_caller (arg, false);
}

static const struct stream_ops caller_stream_ops
    = { on_caller_data, on_caller_connected, on_caller_closed };

static void
accept_caller (struct listener *l, int fd)
{
  struct gate *g = l->gate;
  struct caller *c = g_new0 (struct caller, 1);
  const struct stream_options options
      = { &caller_stream_ops, c, GATE_CALLER_ACK_TIMEOUT_MS,
          CALLER_KEEPALIVE_S };

  c->gate = g;
  c->memory.owner = c;
  c->accepted_us = loop_now_us ();
  c->relay = l->relay;
  c->stream = stream_new (g->options.streams, fd, &options);
  g_ptr_array_add (g->callers, c);
  g_queue_push_tail (&g->starting, c);
  c->starting = g->starting.tail;
}

/* Closes the connection that has been without a session for longest if that is
   at least FOR_US.  Returns true if it did.  */
static bool
expire_start (struct gate *g, int64_t for_us)
{
  struct caller *c = g_queue_peek_head (&g->starting);

  if (!c || loop_now_us () - c->accepted_us < for_us)
    return false;
  ctr_add (g->options.pooler.counters, CTR_STARTS_EXPIRED, 1);
  EV (g->options.pooler.log, loop_now_us (), EV_SESSION,
      EV_TEXT ("why", "not started"),
      EV_INT ("waited_us", loop_now_us () - c->accepted_us));
  close_caller (c, false);
  return true;
}

static void
on_listener (void *arg, uint32_t events)
{
  struct listener *l = arg;
  struct gate *g = l->gate;

  (void)events;
  for (int i = 0; i < ACCEPT_BATCH; i++)
    {
      int fd = accept4 (l->fd, NULL, NULL, SOCK_NONBLOCK | SOCK_CLOEXEC);

      if (fd < 0)
        return;
      if (g->callers->len < g->options.callers_max
          || expire_start (g, START_MIN_US))
        accept_caller (l, fd);
      else
        close (fd);
    }
}

/* Upstreams.  */

static size_t on_upstream_data (void *arg, char *data, size_t len);

static void
on_upstream_connected (void *arg)
{
  struct upstream_conn *u = arg;
  struct gate *g = u->gate;

  g->options.codec->ops->write_start (
      g->options.codec, stream_output (u->stream), u->link->instance->entry,
      u->link->account);
}

static void
on_upstream_closed (void *arg, bool refused)
{
  struct upstream_conn *u = arg;

  /* The pooler calls close_upstream, which frees U.  */
  plr_link_lost (u->gate->pooler, u->link, refused, loop_now_us ());
}

static const struct stream_ops upstream_stream_ops
    = { on_upstream_data, on_upstream_connected, on_upstream_closed };

static void *
open_upstream (struct ul_port *port, struct ul *link,
               const struct dir_instance *instance, const char *home)
{
  struct gate *g = get_gate_of_upstreams (port);
  struct upstream_conn *u = g_new0 (struct upstream_conn, 1);
  char *host = NULL;
  uint16_t number = 0;
  const struct stream_options options
      = { &upstream_stream_ops, u, GATE_UPSTREAM_ACK_TIMEOUT_MS,
          UPSTREAM_KEEPALIVE_S };

  u->gate = g;
  u->link = link;
  u->rows = g_string_new (NULL);
  if (home && dcl_split_address (home, &host, &number))
    u->stream = stream_connect (g->options.streams, host, number, &options);
  else
    u->stream = stream_connect (g->options.streams, instance->host,
                                instance->port, &options);
  g_free (host);
  return u;
}

static void
send_upstream (struct ul_port *port, void *handle, struct logpos after,
               const struct stm *statement)
{
  struct gate *g = get_gate_of_upstreams (port);
  struct upstream_conn *u = handle;

  g->options.codec->ops->write_statement (
      g->options.codec, stream_output (u->stream), u->link->home != NULL,
      after, statement);
}

static void
close_upstream (struct ul_port *port, void *handle)
{
  struct upstream_conn *u = handle;

  (void)port;
  stream_close (u->stream, false);
  g_string_free (u->rows, TRUE);
  g_free (u->signature);
  g_free (u->text);
  g_free (u);
}

static const struct ul_port_ops upstream_port_ops
    = { open_upstream, send_upstream, close_upstream };

/* Passes the complete reply to the pooler.  Returns false when U was freed. */
static bool
complete_reply (struct upstream_conn *u, const struct codec_upstream *m)
{
  struct gate *g = u->gate;
  struct stm_result result = u->result;
  struct stm_status status;
  GString *rows = u->rows;
  char *signature = u->signature;
  char *text = u->text;
  guint n_pending = u->link->requests->len;
  struct ul *link = u->link;
  struct svc_instance *instance = link->instance;
  bool alive = false;

  result.state = m->state;
  result.position = m->position;
  result.rows = rows->str;
  result.rows_len = rows->len;
  result.signature = signature;
  result.detail = text;
  if (n_pending > 0
      && g_array_index (link->requests, struct ul_request, 0).purpose
             >= UL_STATUS
      && g->options.codec->ops->read_status (g->options.codec, rows->str,
                                             rows->len, &status))
    result.status = &status;
  u->rows = g_string_new (NULL);
  u->signature = NULL;
  u->text = NULL;
  memset (&u->result, 0, sizeof u->result);
  plr_link_replied (g->pooler, link, &result, loop_now_us ());
  for (guint i = 0; i < instance->links->len && !alive; i++)
    alive = g_ptr_array_index (instance->links, i) == link;
  g_string_free (rows, TRUE);
  g_free (signature);
  g_free (text);
  return alive;
}

/* Handles the instance's reply to the start of a session.  Returns false when
   U was freed.  */
static bool
on_start_reply (struct upstream_conn *u, const struct codec_upstream *m)
{
  struct gate *g = u->gate;
  struct ul *link = u->link;

  if (m->kind == CODEC_READY)
    {
      u->started = true;
      return plr_link_opened (g->pooler, link, m->position, loop_now_us ());
    }
  plr_link_refused (g->pooler, link,
                    m->kind == CODEC_ERROR ? m->code : SQC_FAILED,
                    loop_now_us ());
  return false;
}

/* Returns false when U was freed.  */
static bool
on_upstream_line (void *arg, char *line, size_t len)
{
  struct upstream_conn *u = arg;
  struct gate *g = u->gate;
  struct codec_upstream m;

  g->options.codec->ops->read_upstream (g->options.codec, line, len, &m);
  if (!u->started)
    return on_start_reply (u, &m);
  switch (m.kind)
    {
    case CODEC_ROW:
      g_string_append_len (u->rows, line, (gssize)len);
      g_string_append (u->rows, "\r\n");
      return true;
    case CODEC_DONE:
      u->result.ok = true;
      g_free (u->signature);
      u->signature = g_strdup (m.signature);
      return true;
    case CODEC_ERROR:
      u->result.ok = false;
      /* Only another proxy uses this code, for a statement that it shed before
         execution; from an instance it says nothing about execution.  */
      u->result.code
          = m.code == SQC_OVERLOADED && !u->link->home ? SQC_FAILED : m.code;
      g_free (u->text);
      u->text = g_strdup (m.text);
      return true;
    case CODEC_READY:
      return complete_reply (u, &m);
    case CODEC_MALFORMED:
      break;
    }
  plr_link_lost (g->pooler, u->link, false, loop_now_us ());
  return false;
}

static size_t
on_upstream_data (void *arg, char *data, size_t len)
{
  struct upstream_conn *u = arg;
  struct gate *g = u->gate;
  size_t used;

  if (!stream_split_lines (data, len, on_upstream_line, u, &used))
    return len;
  if (len - used + u->rows->len > CODEC_MESSAGE_MAX)
    {
      plr_link_lost (g->pooler, u->link, false, loop_now_us ());
      return len;
    }
  return used;
}

/* Public.  */

static bool
init_listener (struct listener *l, struct gate *g, const char *address,
               GError **error)
{
  l->gate = g;
  l->fd = stream_listen (address, error);
  return l->fd >= 0;
}

static void
open_listener (struct listener *l)
{
  l->source.fd = l->fd;
  l->source.arg = l;
  l->source.fn = on_listener;
  loop_watch (l->gate->options.loop, &l->source, EPOLLIN);
}

static void
free_listener (struct listener *l)
{
  if (l->source.fn)
    loop_remove (l->gate->options.loop, &l->source);
  if (l->fd >= 0)
    close (l->fd);
  l->fd = -1;
}

struct gate *
gate_new (const struct gate_options *options, GError **error)
{
  struct gate *g = g_new0 (struct gate, 1);

  g->options = *options;
  g->callers_port.ops = &caller_port_ops;
  g->upstreams_port.ops = &upstream_port_ops;
  g->options.pooler.callers = &g->callers_port;
  g->options.pooler.upstreams = &g->upstreams_port;
  g->callers = g_ptr_array_new ();
  cmm_init (&g->memory, options->memory_max_bytes / CALLER_MEMORY_PARTS);
  g->resuming = g_ptr_array_new ();
  g->callers_listener.fd = -1;
  g->relay_listener.fd = -1;
  if (!init_listener (&g->callers_listener, g, options->listen, error)
      || !init_listener (&g->relay_listener, g, options->relay_listen, error))
    {
      gate_free (g);
      return NULL;
    }
  g->relay_listener.relay = true;
  g->pooler = plr_new (&g->options.pooler);
  gate_set_memory (g, options->memory_max_bytes);
  return g;
}

void
gate_set_memory (struct gate *g, size_t max_bytes)
{
  g->memory.max_bytes = max_bytes / CALLER_MEMORY_PARTS;
  plr_set_session_memory (g->pooler, max_bytes / SESSION_MEMORY_PARTS);
}

void
gate_free (struct gate *g)
{
  if (!g)
    return;
  while (g->callers->len > 0)
    close_caller (g_ptr_array_index (g->callers, 0), false);
  for (guint i = 0; i < g->resuming->len; i++)
    g_free (g_ptr_array_index (g->resuming, i));
  if (g->pooler)
    plr_free (g->pooler);
  free_listener (&g->callers_listener);
  free_listener (&g->relay_listener);
  g_ptr_array_free (g->callers, TRUE);
  g_ptr_array_free (g->resuming, TRUE);
  cmm_free (&g->memory);
  g_free (g);
}

struct plr *
gate_pooler (struct gate *g)
{
  return g->pooler;
}

void
gate_open (struct gate *g)
{
  if (g->open)
    return;
  g->open = true;
  open_listener (&g->callers_listener);
  open_listener (&g->relay_listener);
}

void
gate_close (struct gate *g)
{
  if (!g->open)
    return;
  g->open = false;
  free_listener (&g->callers_listener);
  free_listener (&g->relay_listener);
}

/* Reads on for callers whose reply was written, and frees closed ones.  */
static void
resume_callers (struct gate *g)
{
  while (g->resuming->len > 0)
    {
      struct caller *c = g_ptr_array_index (g->resuming, g->resuming->len - 1);

      g_ptr_array_set_size (g->resuming, (gint)g->resuming->len - 1);
      c->resuming = false;
      if (c->closed)
        g_free (c);
      else
        stream_resume (c->stream);
    }
}

int64_t
gate_due_us (const struct gate *g)
{
  return g->tick_us;
}

void
gate_run_due (struct gate *g, int64_t now_us)
{
  while (expire_start (g, START_MAX_US))
    ;
  resume_callers (g);
  /* The tick may write replies, after which callers are resumed again.  */
  if (now_us >= g->tick_us)
    {
      plr_tick (g->pooler, now_us);
      g->tick_us = now_us + PLR_TICK_US;
    }
  resume_callers (g);
}
