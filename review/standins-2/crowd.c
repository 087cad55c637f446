/* Case 10: callers that do not behave, beside one that does.

   half-sent  each of many callers sends a statement of legal size and stops
              before its end: the case
   prepared   one caller prepares many statements of legal size
   unstarted  many callers connect and stop in the middle of STARTUP  */
#include "deployment.h"

#include <arpa/inet.h>
#include <errno.h>
#include <netinet/in.h>
#include <signal.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define CROWD_MAX 1200
#define MEMORY_MB 260
/* The message that is sent, or half sent, below the 1 MiB that is legal.  */
#define MESSAGE_BYTES 1000000
#define BEFORE_US 3000000
#define CROWD_US 45000000
/* The ordinary caller is given so long for one answer after the crowd has
   sent what it sends.  */
#define ANSWER_US 30000000
#define CHUNK 65536

enum mode
{
  HALF_SENT,
  PREPARED,
  UNSTARTED
};

/* One caller of the crowd: sends TEXT from SENT on and reads what comes.  */
struct member
{
  int fd;
  bool open;
  size_t sent;
};

static struct wld *world;
static struct member crowd[CROWD_MAX];
static uint32_t n_crowd;
static GString *text; /* what each of them sends */
static uint64_t peak_kb;

static const char *const names[] = { "half-sent", "prepared", "unstarted" };

static void
make_text (enum mode mode)
{
  char *filler = g_strnfill (MESSAGE_BYTES, 'x');

  text = g_string_new (mode == UNSTARTED ? "STARTUP d" : "STARTUP db0 c\r\n");
  if (mode == HALF_SENT)
    g_string_append_printf (text, "QUERY h1 WRITE 1a4 %s", filler);
  for (int n = 0; mode == PREPARED && n < 200; n++)
    g_string_append_printf (text, "QUERY p%d PARSE s%d READ %d%s\r\n", n, n, n,
                            filler);
  g_free (filler);
}

static void
connect_member (struct member *m)
{
  struct sockaddr_in to = { .sin_family = AF_INET };

  to.sin_port = htons (world->callers_port);
  inet_pton (AF_INET, world->proxies[0].ip, &to.sin_addr);
  m->fd = socket (AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  m->open = m->fd >= 0;
  if (!m->open
      || (connect (m->fd, (struct sockaddr *)&to, sizeof to) != 0
          && errno != EINPROGRESS))
    {
      wld_record (world, "the crowd cannot connect: %s", g_strerror (errno));
      wld_stop (world);
      exit (2);
    }
}

static void
close_member (struct member *m)
{
  close (m->fd);
  m->open = false;
}

/* Sends and reads what is possible without waiting.  */
static void
run_member (struct member *m)
{
  char buffer[4096];
  ssize_t n;

  if (!m->open)
    return;
  n = recv (m->fd, buffer, sizeof buffer, 0);
  if (n == 0 || (n < 0 && errno != EAGAIN && errno != ENOTCONN))
    {
      close_member (m);
      return;
    }
  if (m->sent == text->len)
    return;
  n = send (m->fd, text->str + m->sent, MIN (text->len - m->sent, CHUNK),
            MSG_NOSIGNAL);
  if (n > 0)
    m->sent += (size_t)n;
  else if (n < 0 && errno != EAGAIN && errno != ENOTCONN)
    close_member (m);
}

static void
run_crowd (void)
{
  for (uint32_t n = 0; n < n_crowd; n++)
    run_member (&crowd[n]);
}

/* Measures the memory of the proxy, and ends it above its limit as the
   platform does.  */
static bool
check_memory (void)
{
  struct wld_proxy *p = &world->proxies[0];
  uint64_t kb = p->ended ? 0 : wld_memory_kb (p->pid);

  peak_kb = MAX (peak_kb, kb);
  if (kb <= MEMORY_MB * 1024)
    return true;
  wld_record (world, "%s uses %lu KB of %d MB: it is killed", p->name,
              (unsigned long)kb, MEMORY_MB);
  kill (p->pid, SIGKILL);
  return false;
}

static void
record_crowd (void)
{
  uint32_t open = 0;
  size_t sent = 0;

  for (uint32_t n = 0; n < n_crowd; n++)
    {
      open += crowd[n].open;
      sent += crowd[n].sent;
    }
  wld_record (world,
              "crowd: %u of %u connected, %zu bytes sent; proxy %lu KB, at "
              "most %lu KB",
              open, n_crowd, sent,
              (unsigned long)wld_memory_kb (world->proxies[0].pid),
              (unsigned long)peak_kb);
}

static bool
is_crowd_done (void)
{
  for (uint32_t n = 0; n < n_crowd; n++)
    if (crowd[n].open && crowd[n].sent < text->len)
      return false;
  return true;
}

static void
run_for (int64_t us, bool *within)
{
  int64_t end_us = wld_now_us (world) + us;
  int64_t checked_us = 0;

  while (wld_now_us (world) < end_us && *within && !world->proxies[0].ended)
    {
      wld_step (world);
      run_crowd ();
      if (wld_now_us (world) - checked_us < 100000)
        continue;
      checked_us = wld_now_us (world);
      *within = check_memory ();
      if (us == CROWD_US && is_crowd_done ())
        return;
    }
}

static int
finish (const char *rule, bool held)
{
  record_crowd ();
  wld_record (world, "%s: %s; %u of %u statements of the ordinary caller",
              held ? "held" : "BROKEN", rule, world->n_ok, world->n_sent);
  printf ("%s: %s; proxy at most %lu KB; ordinary caller %u of %u\n",
          held ? "held" : "BROKEN", rule, (unsigned long)peak_kb, world->n_ok,
          world->n_sent);
  wld_stop (world);
  return held ? 0 : 1;
}

static bool
is_trouble (void)
{
  const char *value = getenv ("TROUBLE");

  return value && strcmp (value, "0") != 0;
}

static int
run (enum mode mode)
{
  bool within = true;
  uint32_t before;
  bool served;
  int64_t end_us;

  wld_await_ready (world);
  /* In the third case the ordinary caller connects after the crowd.  */
  if (mode != UNSTARTED)
    wld_start_callers (world);
  run_for (mode == UNSTARTED ? 0 : BEFORE_US, &within);
  if (is_trouble ())
    {
      n_crowd = mode == PREPARED ? 1 : mode == HALF_SENT ? 320 : 800;
      for (uint32_t n = 0; n < n_crowd; n++)
        {
          connect_member (&crowd[n]);
          if (n % 50 == 49)
            wld_step (world);
        }
    }
  run_for (CROWD_US, &within);
  run_for (2000000, &within);
  record_crowd ();
  if (!within || world->proxies[0].ended)
    return finish ("each process stays within the memory of its machine",
                   false);
  if (mode == UNSTARTED)
    wld_start_callers (world);
  before = world->n_ok;
  end_us = wld_now_us (world) + ANSWER_US;
  while (wld_now_us (world) < end_us && world->n_ok == before)
    run_for (10000, &within);
  served = world->n_ok > before;
  return finish ("the process lives and ordinary callers are served",
                 within && served && !world->proxies[0].ended);
}

int
main (int argc, char **argv)
{
  struct wld_options o = { 0 };
  int mode = 0;

  if (argc != 5)
    return 2;
  while (mode < 3 && strcmp (argv[4], names[mode]) != 0)
    mode++;
  if (mode == 3)
    return 2;
  o.program = argv[1];
  o.dir = argv[2];
  o.record = fopen (argv[3], "w");
  o.n_proxies = 1;
  o.n_callers = 1;
  o.pause_us = 100000;
  o.memory_mb = MEMORY_MB;
  /* A small limit of descriptors, so that a small crowd is enough.  */
  o.fds_max = mode == UNSTARTED ? 1000 : 4200;
  if (!o.record)
    return 2;
  make_text ((enum mode)mode);
  world = wld_new (&o);
  return run ((enum mode)mode);
}
