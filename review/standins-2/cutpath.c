/* Forwarder with a cut between an instance and one process.  */
#include "cutpath.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <stdio.h>
#include <string.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>

struct side
{
  struct pair *pair;
  struct stream *stream;
  struct side *other;
};

struct pair
{
  struct cpt *path;
  uint16_t peer_port; /* of the process that connected */
  pid_t cut_pid;      /* for which IS_CUT was found out */
  bool is_cut;
  bool closed;
  struct side sides[2];
};

struct cpt
{
  struct loop *loop;
  struct stream_set *streams;
  uint16_t port;
  int fd;
  struct loop_source source;
  pid_t cut_pid;
};

/* Returns the inode of the socket with local port PORT and a connection to
   LISTENER's port, 0 if there is none.  */
static unsigned long
find_inode (uint16_t port)
{
  FILE *f = fopen ("/proc/net/tcp", "r");
  char line[512];
  unsigned long found = 0;

  while (f && found == 0 && fgets (line, sizeof line, f))
    {
      unsigned int local_port;
      unsigned int state;
      unsigned long inode;

      if (sscanf (line,
                  " %*d: %*8x:%4x %*8x:%*4x %2x %*x:%*x %*x:%*x %*x %*u "
                  "%*u %lu",
                  &local_port, &state, &inode)
              == 3
          && local_port == port && inode != 0)
        found = inode;
    }
  if (f)
    fclose (f);
  return found;
}

/* Returns true if process PID has the socket with local port PORT.  */
static bool
has_socket (pid_t pid, uint16_t port)
{
  unsigned long inode = find_inode (port);
  char wanted[64];
  bool found = false;

  snprintf (wanted, sizeof wanted, "socket:[%lu]", inode);
  for (int fd = 0; inode != 0 && fd < 1024 && !found; fd++)
    {
      char path[64];
      char target[64] = "";
      ssize_t n;

      snprintf (path, sizeof path, "/proc/%d/fd/%d", (int)pid, fd);
      n = readlink (path, target, sizeof target - 1);
      found = n > 0 && strcmp (target, wanted) == 0;
    }
  return found;
}

static bool
is_cut (struct pair *p)
{
  pid_t pid = p->path->cut_pid;

  if (pid != p->cut_pid)
    {
      p->cut_pid = pid;
      p->is_cut = pid != 0 && has_socket (pid, p->peer_port);
    }
  return p->is_cut;
}

static size_t
on_data (void *arg, char *data, size_t len)
{
  struct side *s = arg;

  if (!is_cut (s->pair))
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
  if (s->pair->closed)
    return;
  s->pair->closed = true;
  /* The other end of a cut connection hears nothing of this; the memory of a
     pair is kept, as a run is short.  */
  if (!is_cut (s->pair))
    stream_close (s->other->stream, true);
}

static const struct stream_ops ops = { on_data, on_connected, on_closed };

static void
on_accept (void *arg, uint32_t events)
{
  struct cpt *c = arg;
  struct sockaddr_in peer;
  socklen_t len = sizeof peer;
  int fd;

  (void)events;
  while ((fd = accept4 (c->fd, (struct sockaddr *)&peer, &len,
                        SOCK_NONBLOCK | SOCK_CLOEXEC))
         >= 0)
    {
      struct pair *p = g_new0 (struct pair, 1);
      struct stream_options o = { &ops, NULL, 0, 0 };

      p->path = c;
      p->peer_port = ntohs (peer.sin_port);
      for (int i = 0; i < 2; i++)
        {
          p->sides[i].pair = p;
          p->sides[i].other = &p->sides[1 - i];
        }
      o.arg = &p->sides[0];
      p->sides[0].stream = stream_new (c->streams, fd, &o);
      o.arg = &p->sides[1];
      p->sides[1].stream
          = stream_connect (c->streams, "127.0.0.1", c->port, &o);
      len = sizeof peer;
    }
}

struct cpt *
cpt_new (struct loop *loop, struct stream_set *streams, const char *listen,
         uint16_t port)
{
  struct cpt *c;
  int fd = stream_listen (listen, NULL);

  if (fd < 0)
    return NULL;
  c = g_new0 (struct cpt, 1);
  c->loop = loop;
  c->streams = streams;
  c->port = port;
  c->fd = fd;
  c->source.fd = fd;
  c->source.fn = on_accept;
  c->source.arg = c;
  loop_watch (loop, &c->source, EPOLLIN);
  return c;
}

void
cpt_cut (struct cpt *c, pid_t pid)
{
  c->cut_pid = pid;
}
