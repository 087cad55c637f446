/* Fake database instance that speaks the line protocol.  */
#include "lineserver.h"

#include <string.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>

struct lsv
{
  struct lsv_options o;
  struct lsv_faults faults;
  int fd;
  struct loop_source source;
  GPtrArray *conns; /* struct conn * */
  GPtrArray *closed;
};

struct conn
{
  struct lsv *server;
  struct stream *stream;
  struct dbm_conn *db; /* NULL before STARTUP */
  GString *reply;      /* sent at DUE_US */
  int64_t due_us;      /* 0 if no statement is running */
  bool break_reply;
  bool lose_replies;
  bool closed;
};

static void
close_conn (struct conn *c, bool flush)
{
  if (c->closed)
    return;
  c->closed = true;
  stream_close (c->stream, flush);
  if (c->db)
    dbm_disconnect (c->db);
  c->db = NULL;
  g_ptr_array_remove_fast (c->server->conns, c);
  g_ptr_array_add (c->server->closed, c);
}

static bool
draw_fault (uint32_t per_mille)
{
  return per_mille > 0 && (uint32_t)g_random_int_range (0, 1000) < per_mille;
}

static void
start_session (struct conn *c, const struct codec_caller *m)
{
  struct lsv *s = c->server;
  enum sqc code = SQC_WRONG_INSTANCE;
  bool is_for_us = strcmp (m->database, s->o.service) == 0
                   && strcmp (m->instance, s->o.instance->id) == 0;

  if (is_for_us
      && s->o.instance->n_connections >= s->o.instance->connections_max)
    code = SQC_CONNECTION_LIMIT;
  else if (is_for_us)
    {
      c->db = dbm_connect (s->o.instance);
      s->o.codec->ops->write_started (s->o.codec, stream_output (c->stream));
      return;
    }
  s->o.codec->ops->write_refused (s->o.codec, stream_output (c->stream), code,
                                  "-");
  close_conn (c, true);
}

static bool
takes_work_time (enum stm_kind kind)
{
  return kind == STM_READ || kind == STM_WRITE || kind == STM_EXECUTE
         || kind == STM_COMMIT;
}

static void
run_statement (struct conn *c, const struct codec_caller *m)
{
  struct lsv *s = c->server;
  struct stm_result result;
  int64_t now_us = loop_now_us ();
  bool is_work = takes_work_time (m->statement.kind);

  if (is_work && draw_fault (s->faults.busy))
    {
      memset (&result, 0, sizeof result);
      result.code = SQC_BUSY;
      result.state = c->db->state;
      result.position = dbm_applied (s->o.instance, now_us);
    }
  else
    dbm_run (c->db, m->min_position, &m->statement, &result, now_us);
  if (result.status)
    {
      char row[160];

      g_snprintf (row, sizeof row, "DATAROW %s %u %u.%lu 0 0 0 0\r\n",
                  result.status->primary ? "primary" : "replica",
                  result.status->term, MAX (result.status->received.term, 1),
                  (unsigned long)result.status->received.number);
      result.rows = row;
      result.rows_len = strlen (row);
      s->o.codec->ops->write_result (s->o.codec, c->reply, &result);
    }
  else
    s->o.codec->ops->write_result (s->o.codec, c->reply, &result);
  c->due_us = now_us + (is_work ? s->o.work_us : 1);
  c->break_reply = is_work && draw_fault (s->faults.break_reply);
  c->lose_replies = c->lose_replies || c->db->unacknowledged
                    || (is_work && draw_fault (s->faults.lose_reply));
}

/* A line is read only after the reply to the one before it was sent.  */
static bool
can_read_line (const struct conn *c)
{
  return !c->closed && c->due_us == 0 && !c->server->faults.unresponsive;
}

static bool
on_line (void *arg, char *line, size_t len)
{
  struct conn *c = arg;
  struct lsv *s = c->server;
  struct codec_caller m;

  s->o.codec->ops->read_relay (s->o.codec, line, len, &m);
  if (m.kind == CODEC_START && !c->db)
    start_session (c, &m);
  else if (m.kind == CODEC_STATEMENT && c->db)
    run_statement (c, &m);
  else
    close_conn (c, false);
  return can_read_line (c);
}

static size_t
on_data (void *arg, char *data, size_t len)
{
  struct conn *c = arg;
  size_t used = 0;

  if (can_read_line (c))
    stream_split_lines (data, len, on_line, c, &used);
  return used;
}

static void
on_connected (void *arg)
{
  (void)arg;
}

static void
on_closed (void *arg, bool refused)
{
  (void)refused;
  close_conn (arg, false);
}

static const struct stream_ops stream_ops
    = { on_data, on_connected, on_closed };

static void
on_accept (void *arg, uint32_t events)
{
  struct lsv *s = arg;
  int fd;

  (void)events;
  while ((fd = accept4 (s->fd, NULL, NULL, SOCK_NONBLOCK | SOCK_CLOEXEC)) >= 0)
    {
      struct conn *c = g_new0 (struct conn, 1);
      const struct stream_options o = { &stream_ops, c, 0, 0 };

      c->server = s;
      c->reply = g_string_new (NULL);
      c->stream = stream_new (s->o.streams, fd, &o);
      g_ptr_array_add (s->conns, c);
    }
}

struct lsv *
lsv_new (const struct lsv_options *options, GError **error)
{
  int fd = stream_listen (options->listen, error);
  struct lsv *s;

  if (fd < 0)
    return NULL;
  s = g_new0 (struct lsv, 1);
  s->o = *options;
  s->fd = fd;
  s->conns = g_ptr_array_new ();
  s->closed = g_ptr_array_new ();
  s->source.fd = fd;
  s->source.fn = on_accept;
  s->source.arg = s;
  loop_watch (options->loop, &s->source, EPOLLIN);
  return s;
}

static void
free_closed_conns (struct lsv *s)
{
  for (guint i = 0; i < s->closed->len; i++)
    {
      struct conn *c = g_ptr_array_index (s->closed, i);

      g_string_free (c->reply, TRUE);
      g_free (c);
    }
  g_ptr_array_set_size (s->closed, 0);
}

void
lsv_crash (struct lsv *s)
{
  while (s->conns->len > 0)
    close_conn (g_ptr_array_index (s->conns, 0), false);
}

void
lsv_free (struct lsv *s)
{
  lsv_crash (s);
  free_closed_conns (s);
  loop_remove (s->o.loop, &s->source);
  close (s->fd);
  g_ptr_array_free (s->conns, TRUE);
  g_ptr_array_free (s->closed, TRUE);
  g_free (s);
}

struct lsv_faults *
lsv_faults (struct lsv *s)
{
  return &s->faults;
}

static void
reply (struct conn *c)
{
  size_t len = c->reply->len;

  c->due_us = 0;
  if (c->lose_replies)
    g_string_truncate (c->reply, 0);
  /* A broken reply is cut in half.  */
  if (c->break_reply)
    g_string_truncate (c->reply, len / 2);
  g_string_append_len (stream_output (c->stream), c->reply->str,
                       (gssize)c->reply->len);
  g_string_truncate (c->reply, 0);
  if (c->break_reply)
    close_conn (c, true);
}

void
lsv_turn (struct lsv *s, int64_t now_us)
{
  for (guint i = s->conns->len; i > 0 && !s->faults.unresponsive; i--)
    {
      struct conn *c;

      if (i > s->conns->len)
        continue;
      c = g_ptr_array_index (s->conns, i - 1);
      if (c->due_us > 0 && now_us >= c->due_us)
        reply (c);
      if (!c->closed && c->due_us == 0)
        stream_resume (c->stream);
    }
  free_closed_conns (s);
}
