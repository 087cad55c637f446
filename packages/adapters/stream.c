/* Buffered TCP streams.  */
#include "stream.h"

#include <arpa/inet.h>
#include <errno.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <string.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>

#define READ_MAX_BYTES 65536
#define LISTEN_BACKLOG 512
/* Unanswered keep-alive probes after which a connection fails.  */
#define KEEPALIVE_PROBES 2

struct stream
{
  struct stream_set *set;
  struct loop_source source;
  struct stream_options options;
  GString *in; /* unconsumed input; NULL when there is none */
  GString *out;
  bool connecting;
  bool failed; /* reported at the end of the iteration */
  bool dirty;
  bool closed;
  bool linger; /* closed by its owner; pending output is still sent */
};

void
stream_set_init (struct stream_set *set, struct loop *loop)
{
  set->loop = loop;
  set->n_lingering = 0;
  set->dirty = g_ptr_array_new ();
  set->dead = g_ptr_array_new ();
}

static void
free_stream (struct stream *s)
{
  if (s->in)
    g_string_free (s->in, TRUE);
  g_string_free (s->out, TRUE);
  g_free (s);
}

static void
free_dead (struct stream_set *set)
{
  for (guint i = 0; i < set->dead->len; i++)
    free_stream (g_ptr_array_index (set->dead, i));
  g_ptr_array_set_size (set->dead, 0);
}

void
stream_set_free (struct stream_set *set)
{
  free_dead (set);
  g_ptr_array_free (set->dirty, TRUE);
  g_ptr_array_free (set->dead, TRUE);
}

static void
close_stream (struct stream *s)
{
  if (s->closed)
    return;
  s->closed = true;
  s->set->n_lingering -= s->linger ? 1 : 0;
  if (s->source.fd >= 0)
    {
      loop_remove (s->set->loop, &s->source);
      close (s->source.fd);
    }
  s->source.fn = NULL;
  if (s->dirty)
    g_ptr_array_remove_fast (s->set->dirty, s);
  g_ptr_array_add (s->set->dead, s);
}

/* Closes a failed stream and notifies its owner, unless the owner has closed
   it already.  */
static void
fail_stream (struct stream *s, bool refused)
{
  bool notify = !s->linger;

  close_stream (s);
  if (notify)
    s->options.ops->closed (s->options.arg, refused);
}

static void
mark_dirty (struct stream *s)
{
  if (s->dirty || s->closed)
    return;
  s->dirty = true;
  g_ptr_array_add (s->set->dirty, s);
}

static void
deliver_input (struct stream *s, char *data, size_t len)
{
  size_t used = s->options.ops->data (s->options.arg, data, len);

  if (s->closed || used >= len)
    return;
  s->in = g_string_new_len (data + used, (gssize)(len - used));
}

void
stream_resume (struct stream *s)
{
  GString *in = s->in;

  if (!in || s->closed || s->linger)
    return;
  s->in = NULL;
  deliver_input (s, in->str, in->len);
  g_string_free (in, TRUE);
}

static void
append_input (struct stream *s, char *data, size_t len)
{
  if (!s->in)
    {
      deliver_input (s, data, len);
      return;
    }
  g_string_append_len (s->in, data, (gssize)len);
  stream_resume (s);
}

static void
read_input (struct stream *s)
{
  static char buffer[READ_MAX_BYTES];
  ssize_t n = recv (s->source.fd, buffer, sizeof buffer, 0);

  if (n > 0 && !s->linger)
    append_input (s, buffer, (size_t)n);
  else if (n == 0 || (n < 0 && errno != EAGAIN && errno != EINTR))
    fail_stream (s, false);
}

static void
send_output (struct stream *s)
{
  while (s->out->len > 0)
    {
      ssize_t n = send (s->source.fd, s->out->str, s->out->len, MSG_NOSIGNAL);

      if (n < 0 && errno == EINTR)
        continue;
      if (n < 0 && errno == EAGAIN)
        break;
      if (n < 0)
        {
          fail_stream (s, false);
          return;
        }
      g_string_erase (s->out, 0, n);
    }
  if (s->out->len == 0 && s->linger)
    {
      close_stream (s);
      return;
    }
  if (s->out->len > STREAM_OUTPUT_MAX_BYTES)
    {
      fail_stream (s, false);
      return;
    }
  if (s->out->len > 0 && s->source.events != (EPOLLIN | EPOLLOUT))
    loop_watch (s->set->loop, &s->source, EPOLLIN | EPOLLOUT);
  else if (s->out->len == 0 && s->source.events != EPOLLIN)
    loop_watch (s->set->loop, &s->source, EPOLLIN);
}

static void
finish_connecting (struct stream *s)
{
  int error = 0;
  socklen_t len = sizeof error;

  if (getsockopt (s->source.fd, SOL_SOCKET, SO_ERROR, &error, &len) != 0)
    error = errno;
  if (error != 0)
    {
      fail_stream (s, error == ECONNREFUSED || error == ECONNRESET);
      return;
    }
  s->connecting = false;
  loop_watch (s->set->loop, &s->source, EPOLLIN);
  s->options.ops->connected (s->options.arg);
  if (!s->closed && s->out->len > 0)
    mark_dirty (s);
}

static void
on_events (void *arg, uint32_t events)
{
  struct stream *s = arg;

  if (s->connecting)
    {
      finish_connecting (s);
      return;
    }
  if (events & EPOLLOUT)
    send_output (s);
  if (!s->closed && (events & (EPOLLIN | EPOLLERR | EPOLLHUP)))
    read_input (s);
}

static void
set_socket_options (int fd, const struct stream_options *o)
{
  int on = 1;
  int probes = KEEPALIVE_PROBES;
  unsigned int timeout_ms = (unsigned int)o->user_timeout_ms;

  setsockopt (fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  if (o->user_timeout_ms > 0)
    setsockopt (fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &timeout_ms,
                sizeof timeout_ms);
  if (o->keepalive_s <= 0)
    return;
  setsockopt (fd, SOL_SOCKET, SO_KEEPALIVE, &on, sizeof on);
  setsockopt (fd, IPPROTO_TCP, TCP_KEEPIDLE, &o->keepalive_s,
              sizeof o->keepalive_s);
  setsockopt (fd, IPPROTO_TCP, TCP_KEEPINTVL, &o->keepalive_s,
              sizeof o->keepalive_s);
  setsockopt (fd, IPPROTO_TCP, TCP_KEEPCNT, &probes, sizeof probes);
}

static struct stream *
create_stream (struct stream_set *set, int fd,
               const struct stream_options *options)
{
  struct stream *s = g_new0 (struct stream, 1);

  s->set = set;
  s->options = *options;
  s->out = g_string_new (NULL);
  s->source.fd = fd;
  s->source.fn = on_events;
  s->source.arg = s;
  if (fd >= 0)
    set_socket_options (fd, options);
  return s;
}

struct stream *
stream_new (struct stream_set *set, int fd,
            const struct stream_options *options)
{
  struct stream *s = create_stream (set, fd, options);

  loop_watch (set->loop, &s->source, EPOLLIN);
  return s;
}

struct stream *
stream_connect (struct stream_set *set, const char *host, uint16_t port,
                const struct stream_options *options)
{
  struct sockaddr_in to = { .sin_family = AF_INET, .sin_port = htons (port) };
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  struct stream *s = create_stream (set, fd, options);

  s->connecting = true;
  if (fd < 0 || inet_pton (AF_INET, host, &to.sin_addr) != 1
      || (connect (fd, (struct sockaddr *)&to, sizeof to) != 0
          && errno != EINPROGRESS))
    {
      /* Reported at the end of the iteration, not within this call.  */
      s->failed = true;
      mark_dirty (s);
      return s;
    }
  loop_watch (set->loop, &s->source, EPOLLOUT);
  return s;
}

GString *
stream_output (struct stream *s)
{
  if (!s->connecting)
    mark_dirty (s);
  return s->out;
}

/* Returns the line feed of the first CR LF in DATA, NULL when there is none.
   Either character alone is part of a line.  */
static char *
find_line_end (char *data, size_t len)
{
  char *end = data;

  while ((end = memchr (end, '\n', len - (size_t)(end - data))))
    {
      if (end > data && end[-1] == '\r')
        return end;
      end++;
    }
  return NULL;
}

/* Terminates the first line of DATA in place and stores it in LINE.  Returns
   the bytes used, 0 when there is no complete line.  */
static size_t
split_line (char *data, size_t len, char **line, size_t *line_len)
{
  char *end = find_line_end (data, len);

  if (!end)
    return 0;
  *line = data;
  *line_len = (size_t)(end - data) - 1;
  data[*line_len] = '\0';
  return *line_len + 2;
}

bool
stream_split_lines (char *data, size_t len, stream_line_fn *fn, void *arg,
                    size_t *used)
{
  *used = 0;
  while (*used < len)
    {
      char *line;
      size_t line_len;
      size_t n = split_line (data + *used, len - *used, &line, &line_len);

      if (n == 0)
        break;
      *used += n;
      if (!fn (arg, line, line_len))
        return false;
    }
  return true;
}

void
stream_close (struct stream *s, bool flush)
{
  if (s->closed || s->linger)
    return;
  if (!flush || s->connecting || s->out->len == 0)
    {
      close_stream (s);
      return;
    }
  s->linger = true;
  s->set->n_lingering++;
  mark_dirty (s);
}

uint32_t
stream_set_count_lingering (const struct stream_set *set)
{
  return set->n_lingering;
}

void
stream_set_flush (struct stream_set *set)
{
  while (set->dirty->len > 0)
    {
      struct stream *s = g_ptr_array_index (set->dirty, set->dirty->len - 1);

      g_ptr_array_set_size (set->dirty, (gint)set->dirty->len - 1);
      s->dirty = false;
      if (s->failed)
        fail_stream (s, false);
      else if (!s->connecting)
        send_output (s);
    }
  free_dead (set);
}

int
stream_listen (const char *address, GError **error)
{
  struct sockaddr_in bind_address = { .sin_family = AF_INET };
  const char *colon = strrchr (address, ':');
  char host[INET_ADDRSTRLEN] = "";
  int on = 1;
  int fd;

  if (colon && (size_t)(colon - address) < sizeof host)
    memcpy (host, address, (size_t)(colon - address));
  if (!colon || inet_pton (AF_INET, host, &bind_address.sin_addr) != 1)
    {
      g_set_error (error, G_FILE_ERROR, G_FILE_ERROR_INVAL,
                   "\"%s\" is not an IP address and port", address);
      return -1;
    }
  bind_address.sin_port
      = htons ((uint16_t)g_ascii_strtoull (colon + 1, NULL, 10));
  fd = socket (AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (fd >= 0)
    setsockopt (fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  if (fd < 0
      || bind (fd, (struct sockaddr *)&bind_address, sizeof bind_address) != 0
      || listen (fd, LISTEN_BACKLOG) != 0)
    {
      g_set_error (error, G_FILE_ERROR, g_file_error_from_errno (errno),
                   "cannot listen on %s: %s", address, g_strerror (errno));
      if (fd >= 0)
        close (fd);
      return -1;
    }
  return fd;
}
