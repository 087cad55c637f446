/* A database instance on a socket.  */
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
  GPtrArray *dead;
};

struct conn
{
  struct lsv *server;
  struct stream *stream;
  struct dbm_conn *db; /* NULL before STARTUP */
  GString *answer;     /* due at DUE_US */
  int64_t due_us;      /* 0: nothing under way */
  bool breaks;
  bool silent;
  bool gone;
};

static void
drop (struct conn *c, bool flush)
{
  if (c->gone)
    return;
  c->gone = true;
  stream_close (c->stream, flush);
  if (c->db)
    dbm_disconnect (c->db);
  c->db = NULL;
  g_ptr_array_remove_fast (c->server->conns, c);
  g_ptr_array_add (c->server->dead, c);
}

static bool
happens (uint32_t of_thousand)
{
  return of_thousand > 0
         && (uint32_t)g_random_int_range (0, 1000) < of_thousand;
}

static void
greet (struct conn *c, const struct codec_caller *m)
{
  struct lsv *s = c->server;
  enum sqc code = SQC_WRONG_INSTANCE;
  bool ours = strcmp (m->database, s->o.service) == 0
              && strcmp (m->instance, s->o.instance->id) == 0;

  if (ours && s->o.instance->n_connections >= s->o.instance->connections_max)
    code = SQC_CONNECTION_LIMIT;
  else if (ours)
    {
      c->db = dbm_connect (s->o.instance);
      s->o.codec->ops->write_started (s->o.codec, stream_output (c->stream));
      return;
    }
  s->o.codec->ops->write_refused (s->o.codec, stream_output (c->stream), code,
                                  "-");
  drop (c, true);
}

static bool
is_work (enum stm_kind kind)
{
  return kind == STM_READ || kind == STM_WRITE || kind == STM_EXECUTE
         || kind == STM_COMMIT;
}

static void
run (struct conn *c, const struct codec_caller *m)
{
  struct lsv *s = c->server;
  struct stm_result end;
  int64_t now_us = loop_now_us ();
  bool work = is_work (m->statement.kind);

  if (work && happens (s->faults.busy))
    {
      memset (&end, 0, sizeof end);
      end.code = SQC_BUSY;
      end.state = c->db->state;
      end.position = dbm_applied (s->o.instance, now_us);
    }
  else
    dbm_run (c->db, m->min_position, &m->statement, &end, now_us);
  if (end.status)
    {
      char row[160];

      g_snprintf (row, sizeof row, "DATAROW %s %u %u.%lu 0 0 0 0\r\n",
                  end.status->primary ? "primary" : "replica",
                  end.status->term, MAX (end.status->received.term, 1),
                  (unsigned long)end.status->received.number);
      end.rows = row;
      end.rows_len = strlen (row);
      s->o.codec->ops->write_result (s->o.codec, c->answer, &end);
    }
  else
    s->o.codec->ops->write_result (s->o.codec, c->answer, &end);
  c->due_us = now_us + (work ? s->o.work_us : 1);
  c->breaks = work && happens (s->faults.break_answer);
  c->silent = c->silent || (work && happens (s->faults.lose_answer));
}

/* Answers leave one after the other.  */
static bool
may_take_line (const struct conn *c)
{
  return !c->gone && c->due_us == 0 && !c->server->faults.unresponsive;
}

static bool
take_line (void *arg, char *line, size_t len)
{
  struct conn *c = arg;
  struct lsv *s = c->server;
  struct codec_caller m;

  s->o.codec->ops->read_relay (s->o.codec, line, len, &m);
  if (m.kind == CODEC_START && !c->db)
    greet (c, &m);
  else if (m.kind == CODEC_STATEMENT && c->db)
    run (c, &m);
  else
    drop (c, false);
  return may_take_line (c);
}

static size_t
on_data (void *arg, char *data, size_t len)
{
  struct conn *c = arg;
  size_t used = 0;

  if (may_take_line (c))
    stream_split_lines (data, len, take_line, c, &used);
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
  drop (arg, false);
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
      c->answer = g_string_new (NULL);
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
  s->dead = g_ptr_array_new ();
  s->source.fd = fd;
  s->source.fn = on_accept;
  s->source.arg = s;
  loop_watch (options->loop, &s->source, EPOLLIN);
  return s;
}

static void
bury (struct lsv *s)
{
  for (guint i = 0; i < s->dead->len; i++)
    {
      struct conn *c = g_ptr_array_index (s->dead, i);

      g_string_free (c->answer, TRUE);
      g_free (c);
    }
  g_ptr_array_set_size (s->dead, 0);
}

void
lsv_crash (struct lsv *s)
{
  while (s->conns->len > 0)
    drop (g_ptr_array_index (s->conns, 0), false);
}

void
lsv_free (struct lsv *s)
{
  lsv_crash (s);
  bury (s);
  loop_remove (s->o.loop, &s->source);
  close (s->fd);
  g_ptr_array_free (s->conns, TRUE);
  g_ptr_array_free (s->dead, TRUE);
  g_free (s);
}

struct lsv_faults *
lsv_faults (struct lsv *s)
{
  return &s->faults;
}

static void
answer (struct conn *c)
{
  size_t len = c->answer->len;

  c->due_us = 0;
  if (c->silent)
    g_string_truncate (c->answer, 0);
  /* A broken answer stops in the middle.  */
  if (c->breaks)
    g_string_truncate (c->answer, len / 2);
  g_string_append_len (stream_output (c->stream), c->answer->str,
                       (gssize)c->answer->len);
  g_string_truncate (c->answer, 0);
  if (c->breaks)
    drop (c, true);
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
        answer (c);
      if (!c->gone && c->due_us == 0)
        stream_resume (c->stream);
    }
  bury (s);
}
