/* Start and end of the small deployment.  */
#include "deployment.h"

#include "loop.h"

#include <arpa/inet.h>
#include <errno.h>
#include <signal.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#define PROGRAM "target/packages/proxy/cassiabayd"
#define METRICS_PORT 9464
#define HEARTBEAT_MS 1200
#define READY_MAX_MS 20000
#define PORTS_PER_VM 16
#define WATCH_MEMORY_US 2000
#define ROLE_CHECK_US 20000
#define FIRST_BORN_MS INT64_C (1765000000000)

static FILE *record;
static GMutex record_lock;
static int64_t started_us;

static const char *const zones[] = { "zone-a", "zone-b", "zone-c" };

bool
dep_has_trouble (void)
{
  return g_strcmp0 (g_getenv ("TROUBLE"), "0") != 0;
}

void
dep_note (struct dep *d, const char *format, ...)
{
  va_list args;

  (void)d;
  if (!record)
    return;
  g_mutex_lock (&record_lock);
  fprintf (record, "%8.3f ",
           (double)(loop_now_us () - started_us) / 1000000.0);
  va_start (args, format);
  vfprintf (record, format, args);
  va_end (args);
  fputc ('\n', record);
  fflush (record);
  g_mutex_unlock (&record_lock);
}

static bool
is_free (const char *ip, uint16_t port)
{
  struct sockaddr_in a = { .sin_family = AF_INET, .sin_port = htons (port) };
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  int on = 1;
  bool ok;

  setsockopt (fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  inet_pton (AF_INET, ip, &a.sin_addr);
  ok = bind (fd, (struct sockaddr *)&a, sizeof a) == 0;
  close (fd);
  return ok;
}

/* Chooses loopback addresses and ports that nobody uses.  */
static bool
choose_addresses (struct dep *d)
{
  for (int tries = 0; tries < 200; tries++)
    {
      uint32_t net = (uint32_t)g_random_int_range (2, 250);
      uint16_t base = (uint16_t)g_random_int_range (12000, 28000);
      bool ok = true;

      for (uint32_t n = 0; n < d->o.n_vms && ok; n++)
        {
          struct dep_vm *v = &d->vms[n];

          g_snprintf (v->name, sizeof v->name, "edge-%s-%u", zones[n % 3], n);
          g_snprintf (v->ip, sizeof v->ip, "127.%u.7.%u", net, 10 + n);
          ok = is_free (v->ip, METRICS_PORT);
          for (uint16_t k = 0; k < PORTS_PER_VM && ok; k++)
            ok = is_free (v->ip, (uint16_t)(base + k));
        }
      for (uint16_t k = 0; k <= DEP_INSTANCES && ok; k++)
        ok = is_free ("127.0.0.1", (uint16_t)(base + 100 + k));
      if (!ok)
        continue;
      d->base = base;
      d->store_port = (uint16_t)(base + 100);
      for (uint16_t k = 0; k < DEP_INSTANCES; k++)
        d->instance_ports[k] = (uint16_t)(base + 101 + k);
      return true;
    }
  return false;
}

static bool
find_sender (void *arg, const char *id, struct dbm_sender *out)
{
  struct dep *d = arg;
  const struct dbm_sender *s = g_hash_table_lookup (d->senders, id);

  if (s)
    *out = *s;
  return s != NULL;
}

static int
promote (void *arg, const char *service, const char *instance, uint64_t token)
{
  struct dep *d = arg;
  bool done;

  struct dbm_instance *i = dbm_find (d->group, instance);

  g_mutex_lock (&d->lock);
  done = strcmp (service, DEP_SERVICE) == 0 && i
         && d->states[i->index] == INS_UP
         && dbm_promote (d->group, instance, token, loop_now_us ());
  d->promotions += done ? 1 : 0;
  d->changes += done ? 1 : 0;
  g_mutex_unlock (&d->lock);
  dep_note (d, "platform: promote %s with token %lu: %s", instance,
            (unsigned long)token, done ? "200" : "409");
  return done ? 200 : 409;
}

static void
put_config (struct dep *d)
{
  char *text = g_strdup_printf (
      "{\"version\":7,\"routes\":["
      "{\"name\":\"r1\",\"host\":\"" DEP_FRESH "\",\"type\":\"primary\","
      "\"timeoutMs\":800,\"latencySloMs\":300,\"priority\":1,"
      "\"service\":\"" DEP_SERVICE "\"},"
      "{\"name\":\"r2\",\"host\":\"" DEP_BOUNDED "\","
      "\"type\":\"bounded_stale\",\"timeoutMs\":1500,\"latencySloMs\":600,"
      "\"priority\":2,\"maxStalenessMs\":1500,"
      "\"service\":\"" DEP_SERVICE "\"},"
      "{\"name\":\"r3\",\"host\":\"" DEP_OWN "\","
      "\"type\":\"read_your_writes\",\"timeoutMs\":800,\"latencySloMs\":500,"
      "\"priority\":2,\"maxStalenessMs\":2500,"
      "\"service\":\"" DEP_SERVICE "\"}],"
      "\"services\":[{\"name\":\"" DEP_SERVICE "\",\"maxConns\":%d,"
      "\"syncReplicas\":0}],\"limits\":{\"txIdleMs\":3000}}",
      d->o.connections);

  kvs_put (d->store, "op/config", text);
  g_free (text);
}

/* Writes the entry of instance K, or removes it if it was silent for three
   heartbeat intervals.  */
static void
beat_instance (struct dep *d, uint32_t k, uint32_t seq)
{
  struct dbm_instance *i = &d->group->instances[k];
  char *key = g_strconcat ("servers/", i->id, NULL);
  char *value = NULL;
  bool up;
  bool gone;

  g_mutex_lock (&d->lock);
  up = d->states[k] == INS_UP;
  gone = !up
         && loop_now_us () - d->silent_since_us[k]
                > 3 * HEARTBEAT_MS * INT64_C (1000);
  if (up)
    value = g_strdup_printf (
        "{\"service\":\"" DEP_SERVICE "\",\"address\":\"127.0.0.1:%u\","
        "\"zone\":\"%s\",\"version\":\"v1\",\"slots\":2,"
        "\"state\":\"ready\",\"coldLeftMs\":0,\"dbRole\":\"%s\",\"seq\":%u,"
        "\"born\":%" G_GINT64_FORMAT "}",
        d->instance_ports[k], zones[k], i->primary ? "primary" : "replica",
        seq, d->born_ms[k]);
  g_mutex_unlock (&d->lock);
  if (value || gone)
    kvs_put (d->store, key, value);
  g_free (key);
  g_free (value);
}

/* Writes the instances' entries: at each heartbeat, and at once when a role
   has changed or an instance is back.  */
static gpointer
beat (gpointer arg)
{
  struct dep *d = arg;
  uint32_t changes = 0;
  int64_t due_us = 0;

  for (uint32_t seq = 1;; g_usleep (ROLE_CHECK_US))
    {
      bool changed = changes != d->changes;

      if (!changed && loop_now_us () < due_us)
        continue;
      changes = d->changes;
      due_us = loop_now_us () + HEARTBEAT_MS * INT64_C (1000);
      for (uint32_t k = 0; k < DEP_INSTANCES; k++)
        beat_instance (d, k, seq);
      seq++;
    }
  return NULL;
}

static char *
write_settings (struct dep *d, const struct dep_vm *v, const char *zone)
{
  char *file = g_strdup_printf ("%s/%s.yaml", d->directory, v->name);
  char *text = g_strdup_printf (
      "node: \"%s\"\nrole: \"pooler\"\nmachineClass: \"edge\"\n"
      "serves:\n  - \"edge\"\nip: \"%s\"\nzone: \"%s\"\nregion: \"%s-r\"\n"
      "zones:\n  zone-a: \"zone-a-r\"\n  zone-b: \"zone-b-r\"\n"
      "  zone-c: \"zone-c-r\"\n"
      "listen:\n  frontend: \"%s:%u\"\n  readiness: \"%s:%u\"\n"
      "internalPorts:\n  - %u\n  - %u\nseeds: []\nbootstrap: true\n"
      "lossCounts: false\n"
      "limits:\n  cpuShare: 0.25\n  cores: 1\n  memoryMb: %u\n"
      "  maxFds: 4200\n  linkMbps: 1000.0\n  diskMb: 0\ndataDir: null\n"
      "discovery: \"platform\"\nentry: \"vip\"\nheartbeatMs: %d\n"
      "contracts:\n  - \"base\"\n  - \"drain\"\n  - \"config\"\n"
      "  - \"cost\"\n  - \"recover\"\n  - \"sql\"\n  - \"platform\"\n"
      "faultTolerance:\n  machines: 1\n  zones: 0\n  regions: 0\n"
      "bounds:\n  seedLagS: 3\n  addrReuseS: 2\n  contactMs: 4000\n"
      "  ackTimeoutMs: 5000\n  catchupS: 4\n  drainMs: 7000\n  graceS: 6\n"
      "  lossSlackMs: 200\n  configApplyMs: 3000\n  downgradeMs: 250\n"
      "  skewMaxMs: 12000\n  recoveryS: 12\n  requireFence: true\n"
      "  thawSlackMs: 300\n"
      "platform:\n  address: \"127.0.0.1:%u\"\n  form: \"kv\"\n"
      "  writesPerS: 400\n  readsPerS: 2000\n  historyS: 20\n"
      "  maxValueBytes: 1048576\n  minTtlMs: 1000\n"
      "cloudApi:\n  address: \"127.0.0.1:%u\"\n  ratePerS: 50.0\n"
      "  duties:\n    - \"failover\"\n  dutyPerS: 50.0\n",
      v->name, v->ip, zone, zone, v->ip, d->base, v->ip, d->base + 1,
      d->base + 2, d->base + PORTS_PER_VM - 1, d->o.memory_mb, HEARTBEAT_MS,
      d->store_port, d->store_port);

  if (!g_file_set_contents (file, text, -1, NULL))
    dep_give_up (d, "the settings can't be written");
  g_free (text);
  return file;
}

static void
start_vm (struct dep *d, struct dep_vm *v, const char *zone)
{
  char *settings = write_settings (d, v, zone);
  char *variable = g_strconcat ("CASSIABAY_SETTINGS=", settings, NULL);
  char path[] = "PATH=/usr/bin:/bin";
  char *const environment[] = { path, variable, NULL };
  char *const arguments[] = { (char *)PROGRAM, (char *)"--platform", NULL };
  pid_t parent = getpid ();

  v->pid = fork ();
  if (v->pid == 0)
    {
      prctl (PR_SET_PDEATHSIG, SIGKILL);
      if (getppid () != parent || !freopen (v->log, "a", stdout)
          || dup2 (STDOUT_FILENO, STDERR_FILENO) < 0)
        _exit (126);
      execve (PROGRAM, arguments, environment);
      _exit (127);
    }
  g_free (variable);
  g_free (settings);
}

/* Asks V whether it is ready, as the platform does.  */
static bool
is_ready (const struct dep *d, const struct dep_vm *v)
{
  struct sockaddr_in a
      = { .sin_family = AF_INET, .sin_port = htons ((uint16_t)(d->base + 1)) };
  static const char request[]
      = "GET /ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n";
  struct timeval wait = { .tv_sec = 1 };
  char reply[64] = "";
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  bool ok;

  inet_pton (AF_INET, v->ip, &a.sin_addr);
  setsockopt (fd, SOL_SOCKET, SO_RCVTIMEO, &wait, sizeof wait);
  ok = connect (fd, (struct sockaddr *)&a, sizeof a) == 0
       && send (fd, request, sizeof request - 1, MSG_NOSIGNAL) > 0
       && recv (fd, reply, sizeof reply - 1, 0) > 0
       && strstr (reply, " 200 ") != NULL;
  close (fd);
  return ok;
}

static void
await_ready (struct dep *d)
{
  for (int waited_ms = 0; waited_ms < READY_MAX_MS; waited_ms += 100)
    {
      uint32_t n = 0;

      while (n < d->o.n_vms && is_ready (d, &d->vms[n]))
        n++;
      if (n == d->o.n_vms)
        return;
      g_usleep (100000);
    }
  dep_give_up (d, "the proxies did not become ready");
}

struct dep *
dep_start (const struct dep_options *options)
{
  struct dep *d = g_new0 (struct dep, 1);
  char *listen;

  signal (SIGPIPE, SIG_IGN);
  d->o = *options;
  started_us = loop_now_us ();
  record = fopen (options->record, "w");
  if (!record)
    exit (2);
  dep_note (d, "TROUBLE=%d, %u proxies, memoryMb %u, maxConns %d",
            options->trouble, options->n_vms, options->memory_mb,
            options->connections);
  d->directory = g_dir_make_tmp ("review-XXXXXX", NULL);
  d->senders = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  g_mutex_init (&d->lock);
  d->reads = g_ptr_array_new ();
  if (access (PROGRAM, X_OK) != 0 || !choose_addresses (d))
    dep_give_up (d, "no program, or no free ports");
  d->group = dbm_new ("i", DEP_INSTANCES, find_sender, d);
  for (uint32_t k = 0; k < DEP_INSTANCES; k++)
    {
      d->group->instances[k].connections_max = (uint32_t)options->connections;
      d->group->instances[k].lag_us = 20000;
      d->born_ms[k] = FIRST_BORN_MS;
      ins_serve (d, k);
    }
  listen = g_strdup_printf ("127.0.0.1:%u", d->store_port);
  d->store = kvs_new (listen, promote, d);
  g_free (listen);
  if (!d->store)
    dep_give_up (d, "the store can't listen");
  put_config (d);
  g_thread_unref (g_thread_new ("beat", beat, d));
  for (uint32_t n = 0; n < options->n_vms; n++)
    {
      d->vms[n].log
          = g_strdup_printf ("%s/%s.log", d->directory, d->vms[n].name);
      start_vm (d, &d->vms[n], zones[n % 3]);
    }
  await_ready (d);
  dep_note (d, "all proxies are ready");
  return d;
}

void
dep_restart (struct dep *d, struct dep_vm *v)
{
  dep_note (d, "%s is killed and starts again", v->name);
  kill (v->pid, SIGKILL);
  waitpid (v->pid, NULL, 0);
  start_vm (d, v, zones[(v - d->vms) % 3]);
}

void
dep_stop (struct dep *d)
{
  char *command;

  for (uint32_t n = 0; n < d->o.n_vms; n++)
    if (d->vms[n].pid > 0)
      {
        kill (d->vms[n].pid, SIGKILL);
        waitpid (d->vms[n].pid, NULL, 0);
        d->vms[n].pid = 0;
      }
  for (uint32_t n = 0; d->directory && n < d->o.n_vms; n++)
    {
      command = g_strdup_printf ("%s/%s.yaml", d->directory, d->vms[n].name);
      unlink (command);
      g_free (command);
      if (d->vms[n].log && !g_getenv ("KEEP_LOGS"))
        unlink (d->vms[n].log);
    }
  if (d->directory)
    rmdir (d->directory);
}

void
dep_finish (struct dep *d, bool broken, const char *result)
{
  dep_note (d, "result: %s: %s", broken ? "BROKEN" : "held", result);
  printf ("%s: %s\n", broken ? "BROKEN" : "held", result);
  dep_stop (d);
  fflush (stdout);
  _exit (broken ? 1 : 0);
}

void
dep_give_up (struct dep *d, const char *reason)
{
  dep_note (d, "could not run: %s", reason);
  printf ("could not run: %s\n", reason);
  dep_stop (d);
  fflush (stdout);
  _exit (2);
}

long
dep_peak_kb (const struct dep_vm *v)
{
  static const char key[] = "VmHWM:";
  char *file = g_strdup_printf ("/proc/%d/status", (int)v->pid);
  char *text = NULL;
  const char *line = NULL;
  long kb = -1;

  if (v->pid > 0 && g_file_get_contents (file, &text, NULL, NULL))
    line = strstr (text, key);
  if (line)
    kb = strtol (line + strlen (key), NULL, 10);
  g_free (text);
  g_free (file);
  return kb;
}

/* Kills V if it has used more than its memory.  */
static void
check_memory (struct dep *d, struct dep_vm *v)
{
  pid_t pid = v->pid;
  long kb = v->killed || pid <= 0 ? 0 : dep_peak_kb (v);

  if (kb <= (long)d->o.memory_mb * 1024)
    return;
  kill (pid, SIGKILL);
  v->killed = true;
  dep_note (d,
            "platform: %s has used %ld KB, above memoryMb %u, and is killed",
            v->name, kb, d->o.memory_mb);
}

static gpointer
watch_memory (gpointer arg)
{
  struct dep *d = arg;

  for (;;)
    {
      for (uint32_t n = 0; n < d->o.n_vms; n++)
        check_memory (d, &d->vms[n]);
      g_usleep (WATCH_MEMORY_US);
    }
  return NULL;
}

void
dep_enforce_memory (struct dep *d)
{
  g_thread_unref (g_thread_new ("memory", watch_memory, d));
}

uint32_t
dep_count_killed (struct dep *d)
{
  uint32_t n = 0;

  for (uint32_t k = 0; k < d->o.n_vms; k++)
    n += d->vms[k].killed ? 1 : 0;
  return n;
}
