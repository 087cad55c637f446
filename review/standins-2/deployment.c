/* Stand-ins of a small deployment.  */
#include "deployment.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <signal.h>
#include <stdlib.h>
#include <string.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#define STEP_MAX_US 2000
#define DIRECTORY_PERIOD_US 100000
#define READY_MAX_US 20000000
#define RECONNECT_US 100000
/* From a kill to the next start of a proxy.  */
#define RESTART_US 200000
/* Index of the replica with a network delay.  */
#define FAR 1

int64_t
wld_now_us (const struct wld *w)
{
  return loop_now_us () - w->start_us;
}

void
wld_record (struct wld *w, const char *format, ...)
{
  va_list args;

  fprintf (w->o.record, "%9.3f ", (double)wld_now_us (w) / 1e6);
  va_start (args, format);
  vfprintf (w->o.record, format, args);
  va_end (args);
  fputc ('\n', w->o.record);
  fflush (w->o.record);
}

/* Returns a port that is free on all loopback addresses used here.  */
static uint16_t
find_free_port (void)
{
  struct sockaddr_in a = { .sin_family = AF_INET };
  socklen_t len = sizeof a;
  int fd = socket (AF_INET, SOCK_STREAM, 0);

  if (fd < 0 || bind (fd, (struct sockaddr *)&a, sizeof a) != 0
      || getsockname (fd, (struct sockaddr *)&a, &len) != 0)
    exit (2);
  close (fd);
  return ntohs (a.sin_port);
}

/* Database group.  */

static int
promote_at_once (void *arg, const char *service, const char *instance,
                 uint64_t token)
{
  struct wld *w = arg;
  bool good;

  (void)service;
  g_mutex_lock (&w->lock);
  good = dbm_promote (w->db, instance, token, loop_now_us ());
  g_mutex_unlock (&w->lock);
  wld_record (w, "platform promote %s token %lu: %s", instance,
              (unsigned long)token, good ? "200" : "409");
  return good ? 200 : 409;
}

/* Gives the replica with a network delay what has arrived by now.  The model
   itself sends nothing to an isolated instance.  */
static void
deliver_log (struct wld *w)
{
  struct dbm_instance *far = &w->db->instances[FAR];
  struct dbm_instance *primary = dbm_primary (w->db);

  if (w->o.far_delay_us == 0 || !primary)
    return;
  far->isolated = !far->primary;
  if (far->primary || far->paused || w->far_is_deaf)
    return;
  for (guint k = far->log->len; k > 0; k--)
    {
      /* What a promotion has rolled back.  */
      if (k > primary->log->len
          || g_ptr_array_index (far->log, k - 1)
                 != g_ptr_array_index (primary->log, k - 1))
        g_ptr_array_set_size (far->log, (gint)k - 1);
      else
        break;
    }
  while (far->log->len < primary->log->len)
    {
      struct dbm_entry *e = g_ptr_array_index (primary->log, far->log->len);

      if (e->at_us + w->o.far_delay_us > loop_now_us ())
        break;
      g_ptr_array_add (far->log, e);
    }
}

/* Writes the entry of instance I if it has changed since LAST.  */
static void
publish_entry (struct wld *w, const struct dbm_instance *i,
               const char *service, uint16_t port, char **last)
{
  char *key = g_strconcat ("servers/", i->id, NULL);
  char *value = g_strdup_printf (
      "{\"service\":\"%s\",\"address\":\"127.0.0.1:%u\","
      "\"zone\":\"z%u\",\"slots\":2,\"state\":\"%s\",\"dbRole\":\"%s\","
      "\"version\":\"1\",\"coldLeftMs\":0,\"seq\":1,\"born\":1}",
      service, port, i->index, i->draining ? "draining" : "ready",
      i->primary ? "primary" : "replica");

  if (g_strcmp0 (*last, value) != 0)
    kvs_put (w->store, key, value);
  g_free (*last);
  *last = value;
  g_free (key);
}

static void
update_directory (struct wld *w)
{
  static char *last[2][WLD_INSTANCES];
  int64_t now_us = loop_now_us ();

  if (now_us < w->directory_due_us)
    return;
  w->directory_due_us = now_us + DIRECTORY_PERIOD_US;
  for (uint32_t k = 0; k < WLD_INSTANCES; k++)
    {
      if ((int32_t)k == w->unlisted)
        g_clear_pointer (&last[0][k], g_free);
      else if (!lsv_faults (w->servers[k])->unresponsive)
        publish_entry (w, &w->db->instances[k], WLD_SERVICE, w->ports[k],
                       &last[0][k]);
      publish_entry (w, &w->other_db->instances[k], WLD_OTHER_SERVICE,
                     w->other_ports[k], &last[1][k]);
    }
}

static void
put_config (struct wld *w)
{
  char *text = g_strdup_printf (
      "{\"version\":3,\"services\":[{\"name\":\"" WLD_SERVICE
      "\",\"maxConns\":16,\"syncReplicas\":%u},{\"name\":\"" WLD_OTHER_SERVICE
      "\",\"maxConns\":16,\"syncReplicas\":0}],\"routes\":[{\"name\":\"r0\","
      "\"host\":\"db0\",\"type\":\"primary\",\"timeoutMs\":1000,"
      "\"latencySloMs\":600,\"priority\":1,\"service\":\"" WLD_SERVICE
      "\",\"maxStalenessMs\":0}],\"limits\":{\"txIdleMs\":5000}}",
      w->o.sync_replicas);

  kvs_put (w->store, "op/config", text);
  g_free (text);
}

static struct lsv *
make_server (struct wld *w, struct dbm_instance *i, const char *service,
             uint16_t port)
{
  struct lsv_options o = { 0 };
  char listen[32];

  g_snprintf (listen, sizeof listen, "127.0.0.1:%u", port);
  o.loop = &w->loop;
  o.streams = &w->streams;
  o.codec = lin_codec ();
  o.instance = i;
  o.service = service;
  o.listen = listen;
  o.work_us = 3000;
  i->lag_us = 20000;
  i->connections_max = 16;
  return lsv_new (&o, NULL);
}

static void
make_groups (struct wld *w)
{
  w->db = dbm_new ("i-", WLD_INSTANCES, NULL, NULL);
  w->db->sync_replicas = w->o.sync_replicas;
  w->other_db = dbm_new ("k-", WLD_INSTANCES, NULL, NULL);
  for (uint32_t k = 0; k < WLD_INSTANCES; k++)
    {
      uint16_t port = find_free_port ();
      char front[32];

      w->ports[k] = find_free_port ();
      g_snprintf (front, sizeof front, "127.0.0.1:%u", w->ports[k]);
      w->servers[k] = make_server (w, &w->db->instances[k], WLD_SERVICE, port);
      w->paths[k] = cpt_new (&w->loop, &w->streams, front, port);
      w->other_ports[k] = find_free_port ();
      w->other_servers[k] = make_server (w, &w->other_db->instances[k],
                                         WLD_OTHER_SERVICE, w->other_ports[k]);
      if (!w->servers[k] || !w->paths[k] || !w->other_servers[k])
        exit (2);
    }
}

/* Proxy processes.  */

static void
write_settings (struct wld *w, struct wld_proxy *p, uint32_t n,
                uint16_t internal)
{
  char *text = g_strdup_printf (
      "node: \"%s\"\nrole: \"pooler\"\nmachineClass: \"edge\"\n"
      "serves:\n  - \"edge\"\nip: \"%s\"\nzone: \"z%u\"\nregion: \"r%u\"\n"
      "zones:\n  z0: \"r0\"\n  z1: \"r1\"\n  z2: \"r2\"\n"
      "listen:\n  frontend: \"%s:%u\"\n  readiness: \"%s:%u\"\n"
      "internalPorts:\n  - %u\n  - %u\nbootstrap: true\n"
      "limits:\n  cpuShare: 0.25\n  cores: 1\n  memoryMb: %u\n"
      "  maxFds: %u\n  linkMbps: 1000.0\n  diskMb: 0\ndataDir: null\n"
      "heartbeatMs: 1200\ncontracts:\n  - \"base\"\n  - \"drain\"\n"
      "  - \"config\"\n  - \"recover\"\n  - \"sql\"\n  - \"platform\"\n"
      "bounds:\n  contactMs: 5000\n  ackTimeoutMs: 6000\n  drainMs: 7000\n"
      "  graceS: 6\n  configApplyMs: 4000\n  skewMaxMs: 15000\n"
      "  recoveryS: 12\n  requireFence: true\n"
      "platform:\n  address: \"127.0.0.1:%u\"\n  form: \"kv\"\n"
      "  writesPerS: 400\n  readsPerS: 2000\n  historyS: 20\n"
      "cloudApi:\n  address: \"127.0.0.1:%u\"\n  dutyPerS: 50.0\n",
      p->name, p->ip, n % 3, n % 3, p->ip, w->callers_port, p->ip,
      w->callers_port + 1, internal, internal + 9, w->o.memory_mb,
      w->o.fds_max, p->store_port, w->store_port);

  if (!g_file_set_contents (p->settings, text, -1, NULL))
    exit (2);
  g_free (text);
}

static void
start_proxy (struct wld *w, struct wld_proxy *p)
{
  p->pid = fork ();
  if (p->pid == 0)
    {
      FILE *log = freopen (p->log, "a", stdout);

      if (!log || dup2 (STDOUT_FILENO, STDERR_FILENO) < 0)
        _exit (126);
      prctl (PR_SET_PDEATHSIG, SIGKILL);
      setenv ("CASSIABAY_SETTINGS", p->settings, 1);
      execl (w->o.program, w->o.program, "--platform", (char *)NULL);
      _exit (127);
    }
}

/* Gives P a path of its own to the store.  */
static void
make_store_path (struct wld *w, struct wld_proxy *p)
{
  char listen[32];

  p->store_port = find_free_port ();
  g_snprintf (listen, sizeof listen, "127.0.0.1:%u", p->store_port);
  p->store = fpx_new (&w->loop, &w->streams, listen, "127.0.0.1",
                      w->store_port, NULL);
  if (!p->store)
    exit (2);
}

static void
make_proxies (struct wld *w)
{
  uint16_t internal = 0;

  /* All proxies use the same ports on addresses of their own.  */
  w->callers_port = (uint16_t)(21000 + getpid () % 400 * 20);
  internal = (uint16_t)(w->callers_port + 4);
  for (uint32_t n = 0; n < w->o.n_proxies; n++)
    {
      struct wld_proxy *p = &w->proxies[n];

      g_snprintf (p->name, sizeof p->name, "edge-z%u-%u", n % 3, n);
      g_snprintf (p->ip, sizeof p->ip, "127.%d.%d.%u", 1 + getpid () % 200,
                  1 + getpid () / 200 % 200, 10 + n);
      p->settings = g_strdup_printf ("%s/%s.yaml", w->o.dir, p->name);
      p->log = g_strdup_printf ("%s/%s.log", w->o.dir, p->name);
      make_store_path (w, p);
      write_settings (w, p, n, internal);
      start_proxy (w, p);
    }
}

static void
watch_proxies (struct wld *w)
{
  for (uint32_t n = 0; n < w->o.n_proxies; n++)
    {
      struct wld_proxy *p = &w->proxies[n];

      if (p->ended || waitpid (p->pid, &p->status, WNOHANG) != p->pid)
        continue;
      p->ended = true;
      wld_record (w, "%s ended, wait status %d", p->name, p->status);
    }
}

uint64_t
wld_memory_kb (pid_t pid)
{
  char *file = g_strdup_printf ("/proc/%d/status", (int)pid);
  char *text = NULL;
  const char *at;
  uint64_t kb = 0;

  if (g_file_get_contents (file, &text, NULL, NULL))
    {
      at = strstr (text, "VmRSS:");
      kb = at ? g_ascii_strtoull (at + 6, NULL, 10) : 0;
    }
  g_free (text);
  g_free (file);
  return kb;
}

/* Callers.  */

static void
drop_connection (struct wld_caller *c)
{
  if (c->stream)
    stream_close (c->stream, false);
  c->stream = NULL;
  c->started = c->busy = false;
  c->next_us = loop_now_us () + RECONNECT_US;
}

static void
on_ready (struct wld_caller *c, const struct codec_upstream *m)
{
  struct wld *w = c->w;

  if (!c->started)
    {
      c->started = true;
      return;
    }
  if (!c->busy)
    return;
  c->busy = false;
  c->next_us = loop_now_us () + w->o.pause_us / 2
               + g_random_int_range (0, (gint32)w->o.pause_us);
  if (c->failed)
    {
      wld_record (w, "answered %s ERROR %s", c->id, sqc_name (c->code));
      return;
    }
  c->n_ok++;
  w->n_ok++;
  if (!w->o.reads)
    {
      g_mutex_lock (&w->lock);
      dbm_report_committed (w->db, c->id, loop_now_us ());
      g_mutex_unlock (&w->lock);
    }
  wld_record (w, "answered %s COMPLETE %u.%lu", c->id, m->position.term,
              (unsigned long)m->position.number);
}

static bool
on_line (void *arg, char *line, size_t len)
{
  struct wld_caller *c = arg;
  struct codec_upstream m;

  lin_codec ()->ops->read_upstream (lin_codec (), line, len, &m);
  if (m.kind == CODEC_READY)
    on_ready (c, &m);
  else if (m.kind == CODEC_ERROR)
    {
      c->failed = true;
      c->code = m.code;
    }
  return c->stream != NULL;
}

static size_t
on_data (void *arg, char *data, size_t len)
{
  struct wld_caller *c = arg;
  size_t used = 0;

  if (c->stream)
    stream_split_lines (data, len, on_line, c, &used);
  return used;
}

static void
on_connected (void *arg)
{
  struct wld_caller *c = arg;

  g_string_append_printf (stream_output (c->stream), "STARTUP db0 u%u\r\n",
                          c->index);
}

static void
on_closed (void *arg, bool refused)
{
  struct wld_caller *c = arg;

  if (c->busy)
    wld_record (c->w, "%s: connection to %s closed, no answer", c->id,
                c->proxy->name);
  else if (!c->started)
    wld_record (c->w, "u%u: connection to %s closed before READY%s", c->index,
                c->proxy->name, refused ? " (refused)" : "");
  c->stream = NULL;
  drop_connection (c);
}

static const struct stream_ops caller_ops
    = { on_data, on_connected, on_closed };

static void
connect_caller (struct wld_caller *c)
{
  const struct stream_options o = { &caller_ops, c, 0, 0 };

  c->started = c->busy = false;
  c->sent_us = loop_now_us ();
  c->stream
      = stream_connect (&c->w->streams, c->proxy->ip, c->w->callers_port, &o);
}

static void
send_statement (struct wld_caller *c)
{
  struct wld *w = c->w;

  g_snprintf (c->id, sizeof c->id, "q%u", ++w->n_sent);
  c->busy = true;
  c->failed = false;
  c->sent_us = loop_now_us ();
  wld_record (w, "sent %s u%u %s %s", c->id, c->index, c->proxy->name,
              w->o.reads ? "READ" : "WRITE");
  g_string_append_printf (stream_output (c->stream), "QUERY %s %s\r\n", c->id,
                          w->o.reads ? "READ 1a4" : "WRITE 1a4 xkqpwnzd");
}

static void
run_caller (struct wld_caller *c)
{
  int64_t now_us = loop_now_us ();

  if (!c->stream)
    {
      if (now_us >= c->next_us)
        connect_caller (c);
    }
  else if (!c->started)
    {
      /* A client closes if READY takes longer than 2 s.  */
      if (now_us - c->sent_us > 2000000)
        {
          wld_record (c->w, "u%u: no READY from %s in 2 s", c->index,
                      c->proxy->name);
          drop_connection (c);
        }
    }
  else if (!c->busy && now_us >= c->next_us)
    send_statement (c);
}

void
wld_start_callers (struct wld *w)
{
  for (uint32_t n = 0; n < w->o.n_callers; n++)
    {
      struct wld_caller *c = &w->callers[n];

      c->w = w;
      c->index = n;
      c->proxy = &w->proxies[n % w->o.n_proxies];
      c->next_us = loop_now_us ();
    }
}

/* Set-up and the loop.  */

static bool
probe_is_good (struct wld *w, const struct wld_proxy *p)
{
  struct sockaddr_in to = { .sin_family = AF_INET };
  struct timeval limit = { .tv_usec = 500000 };
  static const char request[]
      = "GET /ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n";
  char reply[64] = "";
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  bool good;

  to.sin_port = htons ((uint16_t)(w->callers_port + 1));
  inet_pton (AF_INET, p->ip, &to.sin_addr);
  setsockopt (fd, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof limit);
  good = connect (fd, (struct sockaddr *)&to, sizeof to) == 0
         && send (fd, request, sizeof request - 1, MSG_NOSIGNAL) > 0
         && recv (fd, reply, sizeof reply - 1, 0) > 12
         && strncmp (reply + 9, "200", 3) == 0;
  close (fd);
  return good;
}

bool
wld_is_ready (struct wld *w)
{
  for (uint32_t n = 0; n < w->o.n_proxies; n++)
    if (!probe_is_good (w, &w->proxies[n]))
      return false;
  return true;
}

void
wld_await_ready (struct wld *w)
{
  int64_t probed_us = 0;

  while (wld_now_us (w) < READY_MAX_US)
    {
      wld_step (w);
      if (wld_now_us (w) - probed_us < 200000)
        continue;
      probed_us = wld_now_us (w);
      if (wld_is_ready (w))
        {
          wld_record (w, "all proxies are ready");
          return;
        }
    }
  wld_record (w, "the proxies did not become ready");
  wld_stop (w);
  exit (2);
}

void
wld_step (struct wld *w)
{
  loop_run (&w->loop, STEP_MAX_US);
  g_mutex_lock (&w->lock);
  deliver_log (w);
  g_mutex_unlock (&w->lock);
  update_directory (w);
  watch_proxies (w);
  for (uint32_t n = 0; n < w->o.n_proxies; n++)
    {
      if (w->proxies[n].store_resets)
        fpx_reset (w->proxies[n].store);
      fpx_turn (w->proxies[n].store, loop_now_us ());
    }
  for (uint32_t k = 0; k < WLD_INSTANCES; k++)
    {
      lsv_turn (w->servers[k], loop_now_us ());
      lsv_turn (w->other_servers[k], loop_now_us ());
    }
  for (uint32_t n = 0; n < w->o.n_callers; n++)
    if (w->callers[n].w)
      run_caller (&w->callers[n]);
  stream_set_flush (&w->streams);
}

struct wld *
wld_new (const struct wld_options *options)
{
  struct wld *w = g_new0 (struct wld, 1);
  char listen[32];

  signal (SIGPIPE, SIG_IGN);
  w->o = *options;
  w->start_us = loop_now_us ();
  w->unlisted = -1;
  g_mutex_init (&w->lock);
  if (!loop_init (&w->loop))
    exit (2);
  stream_set_init (&w->streams, &w->loop);
  w->store_port = find_free_port ();
  g_snprintf (listen, sizeof listen, "127.0.0.1:%u", w->store_port);
  w->store
      = kvs_new (listen, w->o.promote ? w->o.promote : promote_at_once, w);
  if (!w->store)
    exit (2);
  make_groups (w);
  put_config (w);
  update_directory (w);
  make_proxies (w);
  return w;
}

/* Returns the value of the claim's key, decoded, or NULL.  */
static char *
read_claim (struct wld *w)
{
  static const char request[]
      = "GET /kv-key?key=cassiabay/claim/" WLD_SERVICE
        " HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n";
  struct sockaddr_in to = { .sin_family = AF_INET };
  struct timeval limit = { .tv_sec = 1 };
  char reply[2048] = "";
  const char *at;
  char *encoded;
  char *text;
  gsize len;
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

  to.sin_port = htons (w->store_port);
  inet_pton (AF_INET, "127.0.0.1", &to.sin_addr);
  setsockopt (fd, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof limit);
  if (connect (fd, (struct sockaddr *)&to, sizeof to) == 0
      && send (fd, request, sizeof request - 1, MSG_NOSIGNAL) > 0)
    recv (fd, reply, sizeof reply - 1, MSG_WAITALL);
  close (fd);
  at = strstr (reply, "\"value\":\"");
  if (!at)
    return NULL;
  at += strlen ("\"value\":\"");
  encoded = g_strndup (at, strcspn (at, "\""));
  text = (char *)g_base64_decode (encoded, &len);
  text = g_realloc (text, len + 1);
  text[len] = '\0';
  g_free (encoded);
  return text;
}

struct wld_proxy *
wld_find_holder (struct wld *w)
{
  char *text = read_claim (w);
  struct wld_proxy *found = NULL;

  for (uint32_t n = 0; text && n < w->o.n_proxies; n++)
    {
      char *field = g_strdup_printf ("\"vm\":\"%s\"", w->proxies[n].name);

      if (strstr (text, field))
        found = &w->proxies[n];
      g_free (field);
    }
  g_free (text);
  return found;
}

void
wld_restart_proxies (struct wld *w)
{
  for (uint32_t n = 0; n < w->o.n_proxies; n++)
    {
      kill (w->proxies[n].pid, SIGKILL);
      waitpid (w->proxies[n].pid, NULL, 0);
    }
  wld_record (w, "all proxies are killed");
  g_usleep (RESTART_US);
  for (uint32_t n = 0; n < w->o.n_proxies; n++)
    start_proxy (w, &w->proxies[n]);
  wld_record (w, "all proxies are started again");
}

void
wld_stop (struct wld *w)
{
  for (uint32_t n = 0; n < w->o.n_proxies; n++)
    {
      struct wld_proxy *p = &w->proxies[n];

      if (p->ended)
        continue;
      kill (p->pid, SIGKILL);
      waitpid (p->pid, NULL, 0);
      p->ended = true;
    }
}
