/* Proxies as separate processes, and clients.  */
#define _GNU_SOURCE
#include "standint.h"

#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <jansson.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <pthread.h>
#include <signal.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <time.h>
#include <unistd.h>

static const char *grace[PROXIES_MAX];

static void
proxy_ip (int n, char *out, size_t size)
{
  snprintf (out, size, "127.%d.%d.%d", net_a, net_b, 10 + n);
}

static void
write_settings (int n, const char *path)
{
  char ip[32];
  FILE *f = fopen (path, "w");

  if (!f)
    give_up ("settings");
  proxy_ip (n, ip, sizeof ip);
  fprintf (f,
           "node: \"edge-z0-%d\"\nrole: \"pooler\"\nmachineClass: \"edge\"\n"
           "serves:\n  - \"edge\"\nip: \"%s\"\nzone: \"z0\"\n"
           "region: \"r0\"\nzones:\n  z0: \"r0\"\n"
           "listen:\n  frontend: \"%s:%u\"\n  readiness: \"%s:%u\"\n"
           "internalPorts:\n  - %u\n  - %u\nseeds: []\nbootstrap: true\n"
           "limits:\n  cpuShare: 0.25\n  cores: 1\n  memoryMb: 260\n"
           "  maxFds: 4200\n  linkMbps: 1000.0\n  diskMb: 0\n"
           "dataDir: null\ndiscovery: \"platform\"\nentry: \"vip\"\n"
           "heartbeatMs: 1200\n"
           "bounds:\n  contactMs: 4000\n  drainMs: 7000\n  graceS: %s\n"
           "  lossSlackMs: 200\n  configApplyMs: 3000\n"
           "  downgradeMs: 250\n  requireFence: %s\n"
           "platform:\n  address: \"127.0.0.1:%u\"\n  form: \"kv\"\n"
           "  writesPerS: 400\n  readsPerS: 2000\n  historyS: 20\n"
           "  maxValueBytes: 1048576\n  minTtlMs: 1000\n"
           "cloudApi:\n  address: \"127.0.0.1:%u\"\n  dutyPerS: 50.0\n",
           n + 1, ip, ip, base_port, ip, base_port + 1, base_port + 2,
           base_port + 3, grace[n] ? grace[n] : "6",
           o.ignores_fences ? "false" : "true", store_ports[n], cloud_port);
  fclose (f);
}

static int
connect_to (const char *ip, uint16_t port)
{
  struct sockaddr_in a = { .sin_family = AF_INET, .sin_port = htons (port) };
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  int on = 1;

  inet_pton (AF_INET, ip, &a.sin_addr);
  setsockopt (fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  if (connect (fd, (struct sockaddr *)&a, sizeof a) == 0)
    return fd;
  close (fd);
  return -1;
}

static bool
is_ready (int n)
{
  static const char get[]
      = "GET /ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n";
  char ip[32];
  char reply[64] = "";
  int fd;
  ssize_t len;

  proxy_ip (n, ip, sizeof ip);
  fd = connect_to (ip, base_port + 1);
  if (fd < 0)
    return false;
  write_all (fd, get, sizeof get - 1);
  len = recv (fd, reply, sizeof reply - 1, 0);
  close (fd);
  return len > 12 && strncmp (reply + 9, "200", 3) == 0;
}

static void
settings_path (int n, char *out, size_t size)
{
  snprintf (out, size, "%s/proxy-%d.yaml", directory, n);
}

void
st_set_grace (int n, const char *seconds)
{
  char path[256];

  grace[n] = seconds;
  settings_path (n, path, sizeof path);
  write_settings (n, path);
  st_record ("proxy %d: graceS is %s in its settings", n, seconds);
}

static void
launch_proxy (int n)
{
  char path[256];
  char log[256];

  settings_path (n, path, sizeof path);
  snprintf (log, sizeof log, "%s/proxy-%d.log", directory, n);
  write_settings (n, path);
  pids[n] = fork ();
  if (pids[n] == 0)
    {
      int fd = open (log, O_WRONLY | O_CREAT | O_APPEND, 0644);
      char variable[300];
      char *env[] = { variable, "PATH=/usr/bin:/bin", "HOME=/tmp", NULL };
      char *args[] = { PROGRAM, "--platform", NULL };

      prctl (PR_SET_PDEATHSIG, SIGKILL);
      snprintf (variable, sizeof variable, "CASSIABAY_SETTINGS=%s", path);
      dup2 (fd, 1);
      dup2 (fd, 2);
      execve (PROGRAM, args, env);
      _exit (127);
    }
  st_record ("proxy %d: started as process %d", n, (int)pids[n]);
}

bool
st_supervise_proxy (int n, int64_t until_ms)
{
  int status;

  launch_proxy (n);
  while (st_now_ms () < until_ms)
    {
      if (is_ready (n))
        {
          st_record ("proxy %d: ready", n);
          return true;
        }
      if (pids[n] > 0 && waitpid (pids[n], &status, WNOHANG) == pids[n])
        {
          st_record ("proxy %d: ended by itself, status %d", n,
                     WIFEXITED (status) ? WEXITSTATUS (status) : -1);
          pids[n] = 0;
          usleep (1000000);
          launch_proxy (n);
        }
      usleep (50000);
    }
  return false;
}

void
st_start_proxy (int n)
{
  if (!st_supervise_proxy (n, st_now_ms () + 15000))
    give_up ("the proxy is not ready");
}

pid_t
st_proxy_pid (int n)
{
  return pids[n];
}

void
st_kill_proxy (int n)
{
  kill (pids[n], SIGKILL);
  waitpid (pids[n], NULL, 0);
  pids[n] = 0;
}

/* Clients.  */

bool
st_try_connect (struct st_client *c, int n)
{
  char ip[32];
  char line[128];
  struct st_answer a;

  memset (c, 0, sizeof *c);
  proxy_ip (n, ip, sizeof ip);
  c->fd = connect_to (ip, base_port);
  if (c->fd < 0)
    return false;
  c->size = 65536;
  c->in = malloc (c->size);
  snprintf (line, sizeof line, "STARTUP %s u1\r\n", o.host);
  st_send (c, line, strlen (line));
  st_answer (c, st_now_ms () + 2000, &a);
  if (a.complete)
    return true;
  st_disconnect (c);
  return false;
}

void
st_connect (struct st_client *c, int n)
{
  if (!st_try_connect (c, n))
    give_up ("no session");
}

void
st_disconnect (struct st_client *c)
{
  close (c->fd);
  free (c->in);
  memset (c, 0, sizeof *c);
  c->fd = -1;
}

void
st_send (struct st_client *c, const char *line, size_t len)
{
  write_all (c->fd, line, len);
}

void
st_query (struct st_client *c, const char *id, const char *text)
{
  char line[ST_TEXT_MAX];

  snprintf (line, sizeof line, "QUERY %s %s\r\n", id, text);
  st_record ("client: sends %s \"%s\"", id, text);
  st_send (c, line, strlen (line));
}

/* Takes one line off the input of C into A.  Returns false if there is
   none.  */
static bool
take_line (struct st_client *c, struct st_answer *a)
{
  char *end = memmem (c->in, c->len, "\r\n", 2);
  size_t used;

  if (!end)
    return false;
  used = (size_t)(end - c->in) + 2;
  *end = '\0';
  if (strncmp (c->in, "DATAROW", 7) == 0)
    a->rows++;
  else if (strncmp (c->in, "READY ", 6) == 0)
    {
      a->complete = true;
      a->state = c->in[6];
    }
  else
    {
      a->ok = strncmp (c->in, "COMPLETE", 8) == 0;
      snprintf (a->end, sizeof a->end, "%.200s", c->in);
    }
  a->bytes += used;
  memmove (c->in, c->in + used, c->len - used);
  c->len -= used;
  return true;
}

void
st_answer (struct st_client *c, int64_t until_ms, struct st_answer *a)
{
  memset (a, 0, sizeof *a);
  while (!a->complete)
    {
      struct pollfd p = { .fd = c->fd, .events = POLLIN };
      int64_t left_ms = until_ms - st_now_ms ();
      ssize_t n;

      if (take_line (c, a))
        continue;
      if (left_ms <= 0 || poll (&p, 1, (int)left_ms) <= 0)
        return;
      if (c->len == c->size)
        c->in = realloc (c->in, c->size *= 2);
      n = recv (c->fd, c->in + c->len, c->size - c->len, 0);
      if (n <= 0)
        {
          a->ended = true;
          a->bytes += c->len;
          return;
        }
      c->len += (size_t)n;
    }
}
