/* TCP proxy that injects network faults.  */
#include "faultproxy.h"

#include <string.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>

#define DELAY_US 120000

struct pair;

/* One side of a forwarded connection.  */
struct side
{
  struct pair *pair;
  struct stream *stream;
  struct side *other;
  bool to_target;   /* data read here goes to the target */
  GString *delayed; /* read, not yet passed to the other side */
  int64_t due_us;   /* when it is passed */
};

struct pair
{
  struct fpx *proxy;
  struct side sides[2];
  bool closed;
};

struct fpx
{
  struct loop *loop;
  struct stream_set *streams;
  char *host;
  uint16_t port;
  int fd;
  struct loop_source source;
  enum fpx_mode mode;
  GPtrArray *pairs;
  GPtrArray *closed;
};

static void
close_pair (struct pair *p)
{
  if (p->closed)
    return;
  p->closed = true;
  stream_close (p->sides[0].stream, true);
  stream_close (p->sides[1].stream, true);
  g_ptr_array_remove_fast (p->proxy->pairs, p);
  g_ptr_array_add (p->proxy->closed, p);
}

static bool
is_discarded (const struct side *s)
{
  enum fpx_mode mode = s->pair->proxy->mode;

  return mode == FPX_CUT_BOTH || (mode == FPX_CUT_TO_TARGET && s->to_target)
         || (mode == FPX_CUT_FROM_TARGET && !s->to_target);
}

static size_t
on_data (void *arg, char *data, size_t len)
{
  struct side *s = arg;

  if (is_discarded (s))
    return len;
  if (s->pair->proxy->mode == FPX_DELAY && s->delayed->len == 0)
    s->due_us = loop_now_us () + DELAY_US;
  if (s->pair->proxy->mode == FPX_DELAY || s->delayed->len > 0)
    g_string_append_len (s->delayed, data, (gssize)len);
  else
    g_string_append_len (stream_output (s->other->stream), data, (gssize)len);
  return len;
}

static void
on_connected (void *arg)
{
  (void)arg;
}

static void
on_closed (void *arg, bool refused)
{
  struct side *s = arg;

  (void)refused;
  close_pair (s->pair);
}

static const struct stream_ops ops = { on_data, on_connected, on_closed };

static void
on_accept (void *arg, uint32_t events)
{
  struct fpx *x = arg;
  int fd;

  (void)events;
  while ((fd = accept4 (x->fd, NULL, NULL, SOCK_NONBLOCK | SOCK_CLOEXEC)) >= 0)
    {
      struct pair *p = g_new0 (struct pair, 1);
      struct stream_options o = { &ops, NULL, 0, 0 };

      p->proxy = x;
      for (int i = 0; i < 2; i++)
        {
          p->sides[i].pair = p;
          p->sides[i].other = &p->sides[1 - i];
          p->sides[i].to_target = i == 0;
          p->sides[i].delayed = g_string_new (NULL);
        }
      o.arg = &p->sides[0];
      p->sides[0].stream = stream_new (x->streams, fd, &o);
      o.arg = &p->sides[1];
      p->sides[1].stream = stream_connect (x->streams, x->host, x->port, &o);
      g_ptr_array_add (x->pairs, p);
    }
}

struct fpx *
fpx_new (struct loop *loop, struct stream_set *streams, const char *listen,
         const char *host, uint16_t port, GError **error)
{
  int fd = stream_listen (listen, error);
  struct fpx *x;

  if (fd < 0)
    return NULL;
  x = g_new0 (struct fpx, 1);
  x->loop = loop;
  x->streams = streams;
  x->host = g_strdup (host);
  x->port = port;
  x->fd = fd;
  x->pairs = g_ptr_array_new ();
  x->closed = g_ptr_array_new ();
  x->source.fd = fd;
  x->source.fn = on_accept;
  x->source.arg = x;
  loop_watch (loop, &x->source, EPOLLIN);
  return x;
}

void
fpx_reset (struct fpx *x)
{
  while (x->pairs->len > 0)
    close_pair (g_ptr_array_index (x->pairs, 0));
}

static void
free_closed_pairs (struct fpx *x)
{
  for (guint i = 0; i < x->closed->len; i++)
    {
      struct pair *p = g_ptr_array_index (x->closed, i);

      g_string_free (p->sides[0].delayed, TRUE);
      g_string_free (p->sides[1].delayed, TRUE);
      g_free (p);
    }
  g_ptr_array_set_size (x->closed, 0);
}

void
fpx_free (struct fpx *x)
{
  fpx_reset (x);
  free_closed_pairs (x);
  loop_remove (x->loop, &x->source);
  close (x->fd);
  g_ptr_array_free (x->pairs, TRUE);
  g_ptr_array_free (x->closed, TRUE);
  g_free (x->host);
  g_free (x);
}

void
fpx_set (struct fpx *x, enum fpx_mode mode)
{
  x->mode = mode;
}

void
fpx_turn (struct fpx *x, int64_t now_us)
{
  for (guint i = 0; i < x->pairs->len; i++)
    {
      struct pair *p = g_ptr_array_index (x->pairs, i);

      for (int k = 0; k < 2; k++)
        {
          struct side *s = &p->sides[k];

          if (s->delayed->len == 0 || now_us < s->due_us)
            continue;
          g_string_append_len (stream_output (s->other->stream),
                               s->delayed->str, (gssize)s->delayed->len);
          g_string_truncate (s->delayed, 0);
        }
    }
  free_closed_pairs (x);
}
