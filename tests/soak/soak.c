/* Soak test with fault injection.  Runs the real proxy as separate processes
   on loopback; the upstream instances and the platform's store are simulated
   in this process.  Faults are injected from outside, and the consistency
   guarantees are checked from what callers and instances observe.  Each run
   uses one seed.  */
#include "soak.h"

#include <errno.h>
#include <getopt.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#define STEP_MAX_US 5000
/* All faults are healed this long before the end of the run.  Within this time
   every caller must have had a successful statement.  */
#define RECOVERY_US 9000000
/* A proxy that received SIGTERM or SIGKILL must have exited within this
   time.  */
#define SHUTDOWN_GRACE_US 7000000
#define DIRECTORY_PERIOD_US 1000000
/* Only the first failures are printed; further ones are only counted.  */
#define FAILURES_PRINTED 5
/* The directory entry of an instance lapses after this time without a
   heartbeat.  */
#define ENTRY_TTL_US 3600000
/* Where promotions are late, one in so many is, by 2 to 9 s, and its caller
   has given up waiting.  */
#define LATE_ONE_IN 2
#define LATE_MIN_US 2000000
#define LATE_MORE_US 7000000
#define NO_ANSWER_US 1500000

static struct soak soak;

bool
soak_sender (void *arg, const char *id, struct dbm_sender *out)
{
  const struct dbm_sender *s = g_hash_table_lookup (soak.senders, id);

  (void)arg;
  if (s)
    *out = *s;
  return s != NULL;
}

void
soak_fail (const char *format, ...)
{
  va_list args;
  char *text;

  va_start (args, format);
  text = g_strdup_vprintf (format, args);
  va_end (args);
  if (soak.failures++ < FAILURES_PRINTED)
    fprintf (stderr, "soak: FAILED: %s\n", text);
  g_free (text);
}

static uint32_t
random_below (uint32_t n)
{
  return (uint32_t)g_rand_int_range (soak.random, 0, (gint32)n);
}

/* Chooses what a deployment may set, by SEED: twelve consecutive seeds have
   all combinations.  */
static void
choose_deployment (uint32_t seed)
{
  static const char *const graces_s[] = { "6.5", "6", "5.75" };

  /* Where no fence is checked, a late call can't be made invalid.  */
  soak.deployment.late_promotions = seed % 4 == 1;
  soak.deployment.sync_replicas = seed % 2;
  soak.deployment.requires_fence = seed / 2 % 2 == 0;
  soak.deployment.grace_s = graces_s[seed % G_N_ELEMENTS (graces_s)];
}

/* Simulated store and instances.  */

/* Carries out a promotion.  Returns the status of the call.  */
static int
promote (const char *service, const char *instance, uint64_t token)
{
  for (uint32_t k = 0; k < SOAK_GROUPS; k++)
    if (strcmp (soak.groups[k].name, service) == 0)
      {
        struct dbm_instance *i = dbm_find (soak.groups[k].db, instance);

        dbm_note_token (soak.groups[k].db, token);
        if (i && !lsv_faults (soak.groups[k].servers[i->index])->unresponsive
            && dbm_promote (soak.groups[k].db, instance, token,
                            loop_now_us ()))
          return 200;
      }
  return 409;
}

/* A promotion call that gets no answer and is carried out later.  */
struct late_promotion
{
  int64_t due_us;
  uint64_t token;
  char service[16];
  char instance[16];
};

static void
carry_out_late_promotions (int64_t now_us)
{
  for (guint n = soak.late->len; n > 0; n--)
    {
      struct late_promotion p
          = g_array_index (soak.late, struct late_promotion, n - 1);

      if (now_us < p.due_us)
        continue;
      g_array_remove_index_fast (soak.late, n - 1);
      promote (p.service, p.instance, p.token);
    }
}

static int
on_promote (void *arg, const char *service, const char *instance,
            uint64_t token)
{
  struct late_promotion late = { 0 };
  int status = 503;

  (void)arg;
  g_mutex_lock (&soak.lock);
  if (soak.deployment.late_promotions
      && g_rand_int_range (soak.platform_random, 0, LATE_ONE_IN) == 0)
    {
      late.due_us = loop_now_us () + LATE_MIN_US
                    + g_rand_int_range (soak.platform_random, 0, LATE_MORE_US);
      late.token = token;
      g_strlcpy (late.service, service, sizeof late.service);
      g_strlcpy (late.instance, instance, sizeof late.instance);
      g_array_append_val (soak.late, late);
    }
  else
    status = promote (service, instance, token);
  g_mutex_unlock (&soak.lock);
  if (late.token > 0)
    g_usleep (NO_ANSWER_US);
  return status;
}

static void
publish_entry (struct group *g, uint32_t k)
{
  struct dbm_instance *i = &g->db->instances[k];
  char *key = g_strconcat ("servers/", i->id, NULL);
  char *value = g_strdup_printf (
      "{\"service\":\"%s\",\"address\":\"127.0.0.1:%u\",\"zone\":\"z%u\","
      "\"slots\":4,\"state\":\"%s\",\"dbRole\":\"%s\",\"seq\":1,\"born\":1}",
      g->name, g->ports[k], k, i->draining ? "draining" : "ready",
      i->primary ? "primary" : "replica");

  if (g_strcmp0 (g->entries[k], value) != 0)
    kvs_put (soak.store, key, value);
  g_free (g->entries[k]);
  g->entries[k] = value;
  g_free (key);
}

/* Writes the directory entries that have changed and deletes those of
   instances that have been unresponsive for ENTRY_TTL_US.  */
static void
update_directory (int64_t now_us)
{
  if (now_us < soak.directory_due_us)
    return;
  soak.directory_due_us = now_us + DIRECTORY_PERIOD_US;
  for (uint32_t n = 0; n < SOAK_GROUPS; n++)
    for (uint32_t k = 0; k < SOAK_INSTANCES; k++)
      {
        struct group *g = &soak.groups[n];
        char *key = g_strconcat ("servers/", g->db->instances[k].id, NULL);

        if (!lsv_faults (g->servers[k])->unresponsive)
          {
            g->last_heartbeat_us[k] = now_us;
            publish_entry (g, k);
          }
        else if (now_us - g->last_heartbeat_us[k] > ENTRY_TTL_US
                 && g->entries[k])
          {
            kvs_put (soak.store, key, NULL);
            g_clear_pointer (&g->entries[k], g_free);
          }
        g_free (key);
      }
}

static void
put_config (void)
{
  GString *text = g_string_new (NULL);
  static const char *const types[]
      = { "primary", "bounded_stale", "read_your_writes" };

  soak.version += 1 + random_below (3);
  g_string_printf (text, "{\"version\":%u,\"services\":[", soak.version);
  for (uint32_t n = 0; n < SOAK_GROUPS; n++)
    g_string_append_printf (
        text, "%s{\"name\":\"%s\",\"maxConns\":16,\"syncReplicas\":%u}",
        n ? "," : "", soak.groups[n].name, soak.deployment.sync_replicas);
  g_string_append (text, "],\"routes\":[");
  for (uint32_t n = 0; n < SOAK_GROUPS * 3; n++)
    g_string_append_printf (
        text,
        "%s{\"name\":\"r%u\",\"host\":\"db%u\",\"type\":\"%s\","
        "\"timeoutMs\":%u,\"latencySloMs\":500,\"priority\":%u,"
        "\"service\":\"%s\",\"maxStalenessMs\":%d}",
        n ? "," : "", n, n, types[n % 3], 800 + random_below (200), n % 3,
        soak.groups[n / 3].name, n % 3 == 1 ? 1500 : 2500);
  g_string_append (text, "],\"limits\":{\"txIdleMs\":3000}}");
  kvs_put (soak.store, "op/config", text->str);
  g_string_free (text, TRUE);
}

/* Proxy processes.  */

static void
write_settings (struct vm *v)
{
  char *text = g_strdup_printf (
      "node: \"%s\"\nzone: \"z%u\"\nip: \"%s\"\n"
      "zones:\n  z0: \"r0\"\n  z1: \"r0\"\n  z2: \"r1\"\n"
      "listen:\n  frontend: \"%s:%u\"\n  readiness: \"%s:%u\"\n"
      "internalPorts:\n  - %u\n  - %u\nlimits:\n  maxFds: 2000\n"
      "bounds:\n  drainMs: 7000\n  graceS: %s\n  configApplyMs: 3000\n"
      "  requireFence: %s\n"
      "platform:\n  address: \"127.0.0.1:%u\"\n"
      "cloudApi:\n  address: \"127.0.0.1:%u\"\n",
      v->name, v->index % 3, v->ip, v->ip, soak.base, v->ip, soak.base + 1,
      soak.base + 2, soak.base + 9, soak.deployment.grace_s,
      soak.deployment.requires_fence ? "true" : "false", v->store_port,
      v->store_port);

  g_file_set_contents (v->settings, text, -1, NULL);
  g_free (text);
}

static void
start_vm (struct vm *v)
{
  pid_t pid = fork ();

  if (pid == 0)
    {
      FILE *log = freopen (v->log, "a", stdout);

      if (!log || dup2 (STDOUT_FILENO, STDERR_FILENO) < 0)
        _exit (126);
      /* The kernel kills the proxy when the soak exits, also after a crash. */
      prctl (PR_SET_PDEATHSIG, SIGKILL);
      setenv ("CASSIABAY_SETTINGS", v->settings, 1);
      execl (soak.program, soak.program, "--platform", (char *)NULL);
      _exit (127);
    }
  v->pid = pid;
  v->state = VM_RUNNING;
}

static void
signal_vm (struct vm *v, int signal)
{
  if (v->state == VM_DOWN || v->pid <= 0)
    return;
  kill (v->pid, signal);
  if (signal == SIGTERM || signal == SIGKILL)
    {
      v->state = VM_STOPPING;
      v->stop_deadline_us = loop_now_us () + SHUTDOWN_GRACE_US;
    }
}

static void
supervise_vm (struct vm *v, int64_t now_us)
{
  int status = 0;

  if (v->state == VM_DOWN && now_us >= v->restart_at_us)
    start_vm (v);
  else if (v->state == VM_DOWN)
    return;
  if (v->resume_at_us > 0 && now_us >= v->resume_at_us)
    {
      v->resume_at_us = 0;
      kill (v->pid, SIGCONT);
    }
  if (waitpid (v->pid, &status, WNOHANG) == v->pid)
    {
      if (v->state == VM_RUNNING
          || (WIFSIGNALED (status) && WTERMSIG (status) != SIGKILL
              && WTERMSIG (status) != SIGTERM))
        soak_fail ("%s exited unexpectedly, wait status %d", v->name, status);
      v->state = VM_DOWN;
      v->restart_at_us = now_us + 200000;
    }
  else if (v->state == VM_STOPPING && v->resume_at_us == 0
           && now_us > v->stop_deadline_us)
    {
      soak_fail ("%s did not exit within its grace period", v->name);
      kill (v->pid, SIGKILL);
      v->stop_deadline_us = now_us + SHUTDOWN_GRACE_US;
    }
}

/* Faults.  Several can be active at the same time.  */

static void
fault_vm (struct vm *v, int64_t now_us)
{
  static const int signals[] = { SIGKILL, SIGTERM, SIGHUP, SIGSTOP };
  int signal = signals[random_below (4)];

  if (v->state != VM_RUNNING || v->resume_at_us > 0)
    return;
  if (signal == SIGSTOP)
    v->resume_at_us = now_us + 100000 + random_below (3000000);
  signal_vm (v, signal);
}

static void
fault_instance (struct group *g, int64_t now_us)
{
  uint32_t k = random_below (SOAK_INSTANCES);
  struct lsv_faults *f = lsv_faults (g->servers[k]);

  (void)now_us;
  switch (random_below (7))
    {
    case 0:
      f->unresponsive = true;
      break;
    case 1:
      f->lose_reply = 30;
      break;
    case 2:
      f->break_reply = 30;
      break;
    case 3:
      f->busy = 200;
      break;
    case 4:
      g->db->instances[k].lag_us = random_below (3000000);
      break;
    case 5:
      lsv_crash (g->servers[k]);
      break;
    default:
      g->db->instances[k].draining = true;
    }
}

static void
fault_link (void)
{
  struct fpx *x
      = soak.links->len > 0
            ? g_ptr_array_index (soak.links, random_below (soak.links->len))
            : NULL;

  if (random_below (3) == 0)
    fpx_reset (x);
  else
    fpx_set (x, (enum fpx_mode)random_below (FPX_MODES));
}

static void
heal_all_faults (void)
{
  for (uint32_t n = 0; n < SOAK_GROUPS; n++)
    for (uint32_t k = 0; k < SOAK_INSTANCES; k++)
      {
        memset (lsv_faults (soak.groups[n].servers[k]), 0,
                sizeof (struct lsv_faults));
        soak.groups[n].db->instances[k].lag_us = 20000;
        soak.groups[n].db->instances[k].draining = false;
      }
  for (guint i = 0; i < soak.links->len; i++)
    fpx_set (g_ptr_array_index (soak.links, i), FPX_PASS);
  kvs_set_fault (soak.store, KVS_UP);
}

/* Demo mode: the only fault is a primary that stops answering after 8 s.
   Prints one line per second.  */
static void
run_demo (int64_t now_us)
{
  struct group *g = &soak.groups[0];
  struct dbm_instance *primary = dbm_primary (g->db);
  int64_t second = (now_us - soak.start_us) / 1000000;

  if (second == 8 && soak.printed_us / 1000000 != second && primary)
    {
      printf ("-- the primary %s of %s stops answering\n", primary->id,
              g->name);
      lsv_faults (g->servers[primary->index])->unresponsive = true;
    }
  if (soak.printed_us / 1000000 == second)
    return;
  soak.printed_us = second * 1000000;
  printf (
      "%2d s: %4u statements served, %u not applied and %u unknown so far, "
      "primary of %s is %s, %u promotions\n",
      (int)second, soak.succeeded - soak.printed_succeeded, soak.not_applied,
      soak.unknown, g->name, primary ? primary->id : "none",
      g->db->promotions);
  soak.printed_succeeded = soak.succeeded;
}

static void
inject_faults (int64_t now_us)
{
  if (soak.demo)
    {
      run_demo (now_us);
      return;
    }
  if (now_us < soak.next_fault_us || now_us > soak.heal_us)
    return;
  soak.next_fault_us = now_us + 100000 + random_below (900000);
  switch (random_below (9))
    {
    case 0:
    case 1:
      fault_vm (&soak.vms[random_below (soak.n_vms)], now_us);
      break;
    case 2:
    case 3:
      fault_instance (&soak.groups[random_below (SOAK_GROUPS)], now_us);
      break;
    case 4:
      fault_link ();
      break;
    case 5:
      kvs_set_fault (soak.store, (enum kvs_fault)random_below (KVS_FAULTS));
      break;
    case 6:
      kvs_compact (soak.store);
      break;
    case 7:
      put_config ();
      break;
    default:
      heal_all_faults ();
    }
}

/* Set-up and main loop.  */

static void
make_group (uint32_t n)
{
  struct group *g = &soak.groups[n];
  char prefix[16];

  g_snprintf (g->name, sizeof g->name, "svc%u", n);
  g_snprintf (prefix, sizeof prefix, "i%u", n);
  g->db = dbm_new (prefix, SOAK_INSTANCES, soak_sender, NULL);
  g->db->sync_replicas = soak.deployment.sync_replicas;
  g->db->ignores_fences = !soak.deployment.requires_fence;
  for (uint32_t k = 0; k < SOAK_INSTANCES; k++)
    {
      uint16_t real = (uint16_t)(soak.base + 20 + n * 16 + k * 2);
      char *listen = g_strdup_printf ("127.0.0.1:%u", real);
      char *front = g_strdup_printf ("127.0.0.1:%u", real + 1);
      struct lsv_options o = { 0 };
      GError *error = NULL;
      struct fpx *x;

      o.loop = &soak.loop;
      o.streams = &soak.streams;
      o.codec = lin_codec ();
      o.instance = &g->db->instances[k];
      o.service = g->name;
      o.listen = listen;
      o.work_us = 3000;
      g->servers[k] = lsv_new (&o, &error);
      x = fpx_new (&soak.loop, &soak.streams, front, "127.0.0.1", real,
                   &error);
      if (!g->servers[k] || !x)
        g_error ("%s", error->message);
      g->ports[k] = (uint16_t)(real + 1);
      g->db->instances[k].lag_us = 20000;
      g_ptr_array_add (soak.links, x);
      g_free (listen);
      g_free (front);
    }
}

static void
make_vm (uint32_t n, const char *dir)
{
  struct vm *v = &soak.vms[n];
  char *listen;
  struct fpx *x;
  GError *error = NULL;

  v->index = n;
  g_snprintf (v->name, sizeof v->name, "vm-%u", n);
  /* The address is derived from the base port, so that soaks that run at the
     same time use different addresses.  */
  g_snprintf (v->ip, sizeof v->ip, "127.%u.0.%u", soak.base / 200, 10 + n);
  v->settings = g_strdup_printf ("%s/%s.yaml", dir, v->name);
  v->log = g_strdup_printf ("%s/%s.log", dir, v->name);
  v->store_port = (uint16_t)(soak.base + 100 + n);
  listen = g_strdup_printf ("127.0.0.1:%u", v->store_port);
  x = fpx_new (&soak.loop, &soak.streams, listen, "127.0.0.1",
               (uint16_t)(soak.base + 19), &error);
  if (!x)
    g_error ("%s", error->message);
  g_ptr_array_add (soak.links, x);
  g_free (listen);
  remove (v->log);
  write_settings (v);
  start_vm (v);
}

static void
run_step (int64_t now_us)
{
  inject_faults (now_us);
  carry_out_late_promotions (now_us);
  update_directory (now_us);
  for (uint32_t n = 0; n < soak.n_vms; n++)
    supervise_vm (&soak.vms[n], now_us);
  for (uint32_t n = 0; n < SOAK_GROUPS; n++)
    for (uint32_t k = 0; k < SOAK_INSTANCES; k++)
      lsv_turn (soak.groups[n].servers[k], now_us);
  for (guint i = 0; i < soak.links->len; i++)
    fpx_turn (g_ptr_array_index (soak.links, i), now_us);
  callers_turn (&soak, now_us);
  stream_set_flush (&soak.streams);
}

static void
run_for (int64_t run_us)
{
  int64_t start_us = loop_now_us ();
  int64_t now_us = start_us;
  bool healed = false;

  soak.start_us = start_us;
  soak.next_fault_us = start_us + 3000000;
  soak.heal_us = start_us + run_us - RECOVERY_US;
  while (now_us < start_us + run_us)
    {
      loop_run (&soak.loop, STEP_MAX_US);
      now_us = loop_now_us ();
      g_mutex_lock (&soak.lock);
      if (now_us > soak.heal_us && !healed)
        {
          healed = true;
          heal_all_faults ();
        }
      run_step (now_us);
      g_mutex_unlock (&soak.lock);
    }
}

static void
check_results (void)
{
  for (uint32_t n = 0; n < SOAK_GROUPS; n++)
    if (soak.groups[n].db->violations > 0)
      soak_fail ("%s: %u consistency violations, first: %s",
                 soak.groups[n].name, soak.groups[n].db->violations,
                 soak.groups[n].db->first_violation);
  callers_check_recovery (&soak);
}

static void
stop_vms (void)
{
  for (uint32_t n = 0; n < soak.n_vms; n++)
    if (soak.vms[n].pid > 0 && soak.vms[n].state != VM_DOWN)
      {
        kill (soak.vms[n].pid, SIGCONT);
        kill (soak.vms[n].pid, SIGKILL);
        waitpid (soak.vms[n].pid, NULL, 0);
      }
}

/* Command-line options that are not kept in struct soak.  */
struct run_options
{
  uint32_t seed;
  int64_t seconds;
  const char *dir;
};

static bool
read_options (int argc, char **argv, struct run_options *c)
{
  static const struct option options[]
      = { { "seed", required_argument, NULL, 's' },
          { "seconds", required_argument, NULL, 't' },
          { "proxies", required_argument, NULL, 'p' },
          { "program", required_argument, NULL, 'x' },
          { "base", required_argument, NULL, 'b' },
          { "dir", required_argument, NULL, 'd' },
          { "demo", no_argument, NULL, 'D' },
          { NULL, 0, NULL, 0 } };
  int option;

  while ((option = getopt_long (argc, argv, "s:t:p:x:b:d:D", options, NULL))
         != -1)
    switch (option)
      {
      case 's':
        c->seed = (uint32_t)g_ascii_strtoull (optarg, NULL, 10);
        break;
      case 't':
        c->seconds = g_ascii_strtoll (optarg, NULL, 10);
        break;
      case 'p':
        soak.n_vms = (uint32_t)CLAMP (g_ascii_strtoll (optarg, NULL, 10), 1,
                                      SOAK_VMS_MAX);
        break;
      case 'x':
        soak.program = optarg;
        break;
      case 'b':
        soak.base = (uint16_t)g_ascii_strtoull (optarg, NULL, 10);
        break;
      case 'd':
        c->dir = optarg;
        break;
      case 'D':
        soak.demo = true;
        break;
      default:
        return false;
      }
  return soak.program && g_mkdir_with_parents (c->dir, 0755) == 0;
}

static void
set_up (const struct run_options *c)
{
  char *store = g_strdup_printf ("127.0.0.1:%u", soak.base + 19);

  signal (SIGPIPE, SIG_IGN);
  soak.random = g_rand_new_with_seed (c->seed);
  soak.platform_random = g_rand_new_with_seed (c->seed);
  soak.late = g_array_new (FALSE, FALSE, sizeof (struct late_promotion));
  choose_deployment (c->seed);
  g_random_set_seed (c->seed);
  g_mutex_init (&soak.lock);
  soak.links = g_ptr_array_new ();
  soak.senders
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  if (!loop_init (&soak.loop))
    g_error ("no event loop: %s", g_strerror (errno));
  stream_set_init (&soak.streams, &soak.loop);
  soak.store = kvs_new (store, on_promote, NULL);
  if (!soak.store)
    g_error ("cannot listen on %s", store);
  g_free (store);
  for (uint32_t n = 0; n < SOAK_GROUPS; n++)
    make_group (n);
  put_config ();
  update_directory (loop_now_us ());
  for (uint32_t n = 0; n < soak.n_vms; n++)
    make_vm (n, c->dir);
  callers_start (&soak);
}

int
main (int argc, char **argv)
{
  struct run_options c = { 1, 25, "out/soak" };

  soak.n_vms = 4;
  soak.base = 26000;
  if (!read_options (argc, argv, &c))
    {
      fputs ("Usage: soak --program FILE [--seed N] [--seconds N] "
             "[--proxies N] [--base PORT] [--dir DIR] [--demo]\n",
             stderr);
      return 2;
    }
  set_up (&c);
  run_for (c.seconds * 1000000);
  check_results ();
  stop_vms ();
  printf (
      "soak seed %u: %s; statements %u, ok %u, not applied %u, unknown %u, "
      "closed %u, promotions %u\n",
      c.seed, soak.failures ? "FAILED" : "ok", soak.statements_sent,
      soak.succeeded, soak.not_applied, soak.unknown, soak.closes,
      soak.groups[0].db->promotions + soak.groups[1].db->promotions);
  return soak.failures ? 1 : 0;
}
