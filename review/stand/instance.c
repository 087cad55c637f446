/* Database instances.  */
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

uint16_t store_ports[PROXIES_MAX];
uint16_t cloud_port;
static pthread_cond_t slot_freed = PTHREAD_COND_INITIALIZER;

/* A session at an instance.  */
struct session
{
  int fd;
  struct instance *instance;
  char state;
  bool plain; /* the open transaction was begun by a plain BEGIN */
  int n_writes;
  struct
  {
    char name[64];
    bool writes;
  } prepared[256];
  int n_prepared;
};

static int
applied (const struct instance *i)
{
  int64_t now_ms = st_now_ms ();
  int n = i->received;

  while (!i->primary && n > FIRST_COMMIT
         && commits[n - 1].at_ms + REPLICA_LAG_MS > now_ms)
    n--;
  return n;
}

static bool
send_ready (struct session *s)
{
  char line[64];

  snprintf (line, sizeof line, "READY %c %d.%d\r\n", s->state, term,
            applied (s->instance));
  return write_all (s->fd, line, strlen (line));
}

static bool
send_error (struct session *s, const char *code)
{
  char line[64];

  if (s->state == 'T')
    s->state = 'E';
  snprintf (line, sizeof line, "ERROR %s -\r\n", code);
  return write_all (s->fd, line, strlen (line)) && send_ready (s);
}

static bool
send_ok (struct session *s)
{
  return write_all (s->fd, "COMPLETE -\r\n", 12) && send_ready (s);
}

/* Commits N writes of statement ID at the primary, with LOCK held.  Returns
   false if the service needs a replica that has received it and none has.  */
static bool
commit (const char *id, int n)
{
  bool received = o.sync_replicas == 0;

  while (n-- > 0 && n_commits < COMMITS_MAX)
    {
      struct commit *c = &commits[n_commits++];

      snprintf (c->id, sizeof c->id, "%s", id);
      c->at_ms = st_now_ms ();
      c->acknowledged = false;
    }
  for (int k = 0; k < o.instances; k++)
    if (instances[k].primary || (!instances[k].deaf && !instances[k].crashed))
      {
        instances[k].received = n_commits;
        received |= !instances[k].primary;
      }
  return received;
}

void
st_note_acknowledged (const char *id)
{
  pthread_mutex_lock (&lock);
  for (int n = FIRST_COMMIT; n < n_commits; n++)
    if (strcmp (commits[n].id, id) == 0)
      commits[n].acknowledged = true;
  pthread_mutex_unlock (&lock);
}

int
st_count_lost_commits (void)
{
  int lost;

  pthread_mutex_lock (&lock);
  lost = n_lost;
  pthread_mutex_unlock (&lock);
  return lost;
}

void
st_set_deaf (int n)
{
  pthread_mutex_lock (&lock);
  instances[n].deaf = true;
  pthread_mutex_unlock (&lock);
  st_record ("instance %s: receives nothing from now on", instances[n].id);
}

void
st_crash_instance (int n)
{
  struct instance *i = &instances[n];

  pthread_mutex_lock (&lock);
  i->crashed = true;
  shutdown (i->fd, SHUT_RDWR);
  close (i->fd);
  for (int k = 0; k < i->n_fds; k++)
    shutdown (i->fds[k], SHUT_RDWR);
  pthread_mutex_unlock (&lock);
  st_record ("instance %s: crashes", i->id);
}

static bool
is_write (const struct session *s, const char *text)
{
  char name[64];

  if (strncmp (text, "WRITE ", 6) == 0)
    return true;
  if (sscanf (text, "EXECUTE %63s", name) != 1)
    return false;
  for (int n = 0; n < s->n_prepared; n++)
    if (strcmp (s->prepared[n].name, name) == 0)
      return s->prepared[n].writes;
  return false;
}

/* Runs TEXT, a read, write or commit of a client, with LOCK held.  Returns an
   error code, NULL if it ran.  */
static const char *
run_work (struct session *s, const char *id, const char *text)
{
  bool writes = is_write (s, text);

  if (s->instance->crashed)
    return "FAILED";
  if (!s->instance->primary
      && (writes
          || (s->state == 'T' && s->plain
              && (strcmp (text, "COMMIT") != 0 || s->n_writes > 0))))
    return "READONLY";
  if (strcmp (text, "COMMIT") == 0)
    {
      commit (id, s->n_writes);
      s->state = 'I';
      s->n_writes = 0;
    }
  else if (writes && s->state == 'T')
    s->n_writes++;
  else if (writes)
    commit (id, 1);
  return NULL;
}

static void
note_run (const char *instance, const char *id, const char *text)
{
  st_record ("instance %s: ran %s \"%.200s\"", instance, id, text);
}

static bool
serve_work (struct session *s, const char *id, const char *text)
{
  struct st_plan plan = { .work_ms = 5 };
  const char *code;
  static const char row[] = "DATAROW qhzkwmtrbelo\r\n";
  char line[256];

  pthread_mutex_lock (&lock);
  if (o.plan)
    o.plan (s->instance->id, id, text, &plan);
  while (s->instance->busy >= o.slots)
    pthread_cond_wait (&slot_freed, &lock);
  s->instance->busy++;
  pthread_mutex_unlock (&lock);
  usleep ((useconds_t)plan.work_ms * 1000);
  pthread_mutex_lock (&lock);
  s->instance->busy--;
  pthread_cond_broadcast (&slot_freed);
  code = run_work (s, id, text);
  if (!code)
    note_run (s->instance->id, id, text);
  pthread_mutex_unlock (&lock);
  if (code)
    return send_error (s, code);
  snprintf (line, sizeof line, "COMPLETE sig.%s.%s\r\n", s->instance->id, id);
  return (strcmp (text, "COMMIT") == 0 || is_write (s, text)
          || write_all (s->fd, row, sizeof row - 1))
         && write_all (s->fd, line, strlen (line)) && send_ready (s);
}

static bool
serve_begin (struct session *s, bool plain)
{
  if (plain && !s->instance->primary)
    return send_error (s, "READONLY");
  s->state = 'T';
  s->plain = plain;
  s->n_writes = 0;
  return send_ok (s);
}

static bool
serve_status (struct session *s)
{
  char row[128];

  st_record ("instance %s: STATUS, %d of %d slots in use, %d received, "
             "%d applied",
             s->instance->id, s->instance->busy, o.slots,
             s->instance->received, applied (s->instance));
  if (s->instance->busy >= o.slots)
    return send_error (s, "BUSY");
  snprintf (row, sizeof row, "DATAROW %s %d %d.%d 0 12 %d %d\r\n",
            s->instance->primary ? "primary" : "replica", term, term,
            s->instance->received, s->instance->busy, s->instance->n_fds);
  return write_all (s->fd, row, strlen (row)) && send_ok (s);
}

static bool
serve_parse (struct session *s, const char *text)
{
  char name[64];
  char mode[16];

  if (sscanf (text, "PARSE %63s %15s", name, mode) == 2 && s->n_prepared < 256)
    {
      snprintf (s->prepared[s->n_prepared].name, 64, "%s", name);
      s->prepared[s->n_prepared++].writes = strcmp (mode, "WRITE") == 0;
    }
  return send_ok (s);
}

/* True if the log of S has the position at TEXT, "TERM.NUMBER ...".  */
static bool
has_position (const struct session *s, const char *text)
{
  int t = 0;
  int number = 0;

  return sscanf (text, "%d.%d", &t, &number) == 2 && t <= term
         && number <= applied (s->instance);
}

static bool
serve_query (struct session *s, char *line)
{
  char *id = line + 6;
  char *text = strchr (id, ' ');

  if (!text)
    return false;
  *text++ = '\0';
  if (strncmp (text, "AFTER ", 6) == 0)
    {
      bool has = has_position (s, text + 6);

      text = strchr (text + 6, ' ');
      if (!has)
        return send_error (s, "LAGGING");
      if (!text++)
        return false;
    }
  if (strcmp (text, "ROLLBACK") == 0)
    {
      s->state = 'I';
      return send_ok (s);
    }
  if (s->state == 'E')
    return send_error (s, "MALFORMED");
  if (strcmp (text, "BEGIN") == 0 || strcmp (text, "BEGIN READ") == 0)
    return serve_begin (s, text[5] == '\0');
  if (strcmp (text, "STATUS") == 0 || strncmp (text, "STEPDOWN ", 9) == 0)
    return serve_status (s);
  if (strncmp (text, "PARSE ", 6) == 0)
    return serve_parse (s, text);
  if (strncmp (text, "SET ", 4) == 0 || strcmp (text, "DISCARD") == 0
      || strncmp (text, "CLOSE ", 6) == 0)
    return send_ok (s);
  return serve_work (s, id, text);
}

static bool
serve_line (struct session *s, char *line, bool *started)
{
  char service[64];
  char who[64];
  char id[64];

  if (*started)
    return strncmp (line, "QUERY ", 6) == 0 && serve_query (s, line);
  if (sscanf (line, "STARTUP %63s %63s %63s", service, who, id) != 3
      || strcmp (service, o.service) != 0 || strcmp (id, s->instance->id) != 0)
    {
      write_all (s->fd, "ERROR MOVED -\r\n", 15);
      return false;
    }
  *started = true;
  return send_ready (s);
}

static void *
serve_instance (void *arg)
{
  struct accepted *c = arg;
  struct session s
      = { .fd = c->fd, .instance = &instances[c->index], .state = 'I' };
  char *buffer = malloc (LINE_MAX_BYTES);
  size_t len = 0;
  bool started = false;
  bool good = true;

  free (c);
  pthread_mutex_lock (&lock);
  if (s.instance->crashed || s.instance->n_fds == CONNECTIONS_MAX)
    good = false;
  else
    s.instance->fds[s.instance->n_fds++] = s.fd;
  pthread_mutex_unlock (&lock);
  while (good)
    {
      /* A line ends with CR LF.  */
      char *end = memmem (buffer, len, "\r\n", 2);
      ssize_t n;

      if (end)
        {
          size_t used = (size_t)(end - buffer) + 2;

          *end = '\0';
          good = serve_line (&s, buffer, &started);
          memmove (buffer, buffer + used, len - used);
          len -= used;
          continue;
        }
      n = len < LINE_MAX_BYTES
              ? recv (s.fd, buffer + len, LINE_MAX_BYTES - len, 0)
              : 0;
      if (n <= 0)
        break;
      len += (size_t)n;
    }
  free (buffer);
  pthread_mutex_lock (&lock);
  for (int k = 0; k < s.instance->n_fds; k++)
    if (s.instance->fds[k] == s.fd)
      s.instance->fds[k--] = s.instance->fds[--s.instance->n_fds];
  pthread_mutex_unlock (&lock);
  close (s.fd);
  return NULL;
}

void
st_change_config (void)
{
  static int version = 4;
  char value[2048];

  version += 3;

  snprintf (value, sizeof value,
            "{\"version\":%d,\"services\":[{\"name\":\"%s\",\"maxConns\":%d,"
            "\"syncReplicas\":%d}],\"routes\":[{\"name\":\"r0\",\"host\":"
            "\"%s\",\"service\":\"%s\",\"type\":\"%s\",\"timeoutMs\":%d,"
            "\"latencySloMs\":%d,\"priority\":1,\"maxStalenessMs\":1500}],"
            "\"limits\":{\"txIdleMs\":10000}}",
            version, o.service, o.max_conns, o.sync_replicas, o.host,
            o.service, o.type, o.timeout_ms, o.objective_ms);
  put ("op/config", value);
  st_record ("operator: version %d is acknowledged", version);
}

void
st_start_platform (const struct st_options *options)
{
  int fd;

  o = *options;
  if (access (PROGRAM, X_OK) != 0)
    give_up (PROGRAM);
  fd = listen_loopback (&cloud_port);
  start_listener (fd, serve_http, -1);
  for (int n = 0; n < PROXIES_MAX; n++)
    {
      fd = listen_loopback (&store_ports[n]);
      start_listener (fd, serve_http, n);
    }
  start_thread (run_leases, NULL);
  for (int n = 0; n < o.instances; n++)
    {
      struct instance *i = &instances[n];

      snprintf (i->id, sizeof i->id, "i-%04x", 0x7f3a + n);
      i->primary = n == 0;
      i->fd = listen_loopback (&i->port);
      i->received = n_commits;
      start_listener (i->fd, serve_instance, n);
      pthread_mutex_lock (&lock);
      set_entry (n);
      pthread_mutex_unlock (&lock);
    }
  st_change_config ();
}
