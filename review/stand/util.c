/* Record, time and addresses of the stand-ins.  */
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

static FILE *record_file;
static int64_t start_ms;
char directory[128];
int net_a;
int net_b;
uint16_t base_port;
pid_t pids[PROXIES_MAX];

int64_t
st_now_ms (void)
{
  struct timespec ts;

  clock_gettime (CLOCK_MONOTONIC, &ts);
  return (int64_t)ts.tv_sec * 1000 + ts.tv_nsec / 1000000;
}

void
st_sleep_until_ms (int64_t at_ms)
{
  int64_t left = at_ms - st_now_ms ();

  if (left > 0)
    usleep ((useconds_t)left * 1000);
}

bool
st_trouble (void)
{
  const char *t = getenv ("TROUBLE");

  return !t || strcmp (t, "0") != 0;
}

void
st_record (const char *format, ...)
{
  static pthread_mutex_t record_lock = PTHREAD_MUTEX_INITIALIZER;
  va_list args;

  pthread_mutex_lock (&record_lock);
  fprintf (record_file, "%7.3f ", (double)(st_now_ms () - start_ms) / 1000);
  va_start (args, format);
  vfprintf (record_file, format, args);
  va_end (args);
  fputc ('\n', record_file);
  fflush (record_file);
  pthread_mutex_unlock (&record_lock);
}

void
st_finish (int code)
{
  for (int n = 0; n < PROXIES_MAX; n++)
    if (pids[n] > 0 && waitpid (pids[n], NULL, WNOHANG) == 0)
      {
        kill (pids[n], SIGCONT);
        kill (pids[n], SIGKILL);
        waitpid (pids[n], NULL, 0);
      }
  st_record ("exit code %d: %s", code,
             code == ST_HELD     ? "the rule held"
             : code == ST_BROKEN ? "the rule was broken"
                                 : "the case could not run");
  _exit (code);
}

void
give_up (const char *what)
{
  st_record ("cannot run: %s: %s", what, strerror (errno));
  st_finish (ST_NOT_RUN);
}

void
start_thread (void *(*run) (void *), void *arg)
{
  pthread_t thread;

  if (pthread_create (&thread, NULL, run, arg) != 0)
    give_up ("thread");
  pthread_detach (thread);
}

/* Listens on 127.0.0.1; returns the port in PORT.  */
int
listen_loopback (uint16_t *port)
{
  struct sockaddr_in a = { .sin_family = AF_INET };
  socklen_t len = sizeof a;
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

  a.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
  if (fd < 0 || bind (fd, (struct sockaddr *)&a, sizeof a) != 0
      || listen (fd, 256) != 0
      || getsockname (fd, (struct sockaddr *)&a, &len) != 0)
    give_up ("listen");
  *port = ntohs (a.sin_port);
  return fd;
}

static bool
is_port_free (uint16_t port)
{
  struct sockaddr_in a = { .sin_family = AF_INET, .sin_port = htons (port) };
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  bool is_free = fd >= 0 && bind (fd, (struct sockaddr *)&a, sizeof a) == 0;

  close (fd);
  return is_free;
}

void
st_init (int argc, char **argv)
{
  char path[512];
  unsigned int seed = (unsigned int)getpid () ^ (unsigned int)st_now_ms ();

  signal (SIGPIPE, SIG_IGN);
  start_ms = st_now_ms ();
  if (argc < 2)
    exit (ST_NOT_RUN);
  snprintf (path, sizeof path, "%s/record.txt", argv[1]);
  record_file = fopen (path, "w");
  if (!record_file)
    exit (ST_NOT_RUN);
  fcntl (fileno (record_file), F_SETFD, FD_CLOEXEC);
  snprintf (directory, sizeof directory, "%s", argc > 2 ? argv[2] : "/tmp");
  net_a = 10 + rand_r (&seed) % 240;
  net_b = 1 + rand_r (&seed) % 250;
  do
    base_port = (uint16_t)(15000 + rand_r (&seed) % 1500 * 8);
  while (!is_port_free (base_port) || !is_port_free (base_port + 1)
         || !is_port_free (base_port + 2) || !is_port_free (base_port + 3));
  st_record ("%s the disruption", st_trouble () ? "with" : "without");
}
