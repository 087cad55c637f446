/* Starts the node and its adapters, runs the event loop and shuts down in
   order.  Other threads (HTTP handlers, the store's) reach the node through
   the mailbox.  */
#include "engine.h"

#include "http.h"
#include "peers.h"
#include "pg.h"
#include "storeclient.h"
#include "units.h"
#include <signal.h>
#include <sodium.h>
#include <string.h>
#include <sys/stat.h>
#include <sys/time.h>

/* Length of a CURVE key (of ZeroMQ) in Z85 encoding.  */
#define CURVE_KEY_LEN 40
/* Interval of the checks whether the access file has changed.  */
#define FILES_CHECK_US (2000 * US_PER_MS)
/* Stack size of the threads, most of which serve HTTP connections.  Only the
   pages that were touched take memory.  */
#ifdef __SANITIZE_THREAD__
#define DEFAULT_STACK_BYTES (2 * 1024 * 1024)
#else
#define DEFAULT_STACK_BYTES (256 * 1024)
#endif

enum shutdown_phase
{
  PHASE_RUNNING,
  PHASE_NOTICE, /* reports not ready, still serves new requests */
  PHASE_DRAIN,  /* refuses new requests, completes those under way */
  PHASE_DONE
};

struct engine
{
  const struct settings *settings;
  struct loop loop;
  struct mailbox mailbox;
  struct ctr_set counters;
  struct node *node;
  struct pg *pg;
  struct peers *peers;
  struct storeclient *store;
  struct http *http;
  struct rcu_cell access;
  struct trace *trace;
  time_t access_mtime;    /* of the access file in force */
  int64_t files_check_us; /* when the access file is checked next */
  char *public_key;
  char *secret_key;
  char *password;
  char *application;
  struct tok_keys keys;
  enum shutdown_phase phase;
  int64_t phase_start_us; /* when the phase began */
};

static volatile sig_atomic_t stop_signal;

static void
on_signal (int signal)
{
  stop_signal = signal;
}

/* Returns the text of FILE without trailing white space, to be freed by the
   caller.  NULL when FILE is NULL, or cannot be read, which is logged.  */
static char *
read_secret (const char *file)
{
  GError *error = NULL;
  char *text = NULL;

  if (!file)
    return NULL;
  if (!g_file_get_contents (file, &text, NULL, &error))
    {
      g_warning ("%s", error->message);
      g_clear_error (&error);
      return NULL;
    }
  return g_strchomp (text);
}

/* Reads the session keys, one in hexadecimal a line: the current key, then
   optionally the previous one.  Without a second line, the current key is used
   for both.  */
static bool
load_session_keys (struct engine *e)
{
  char *text = read_secret (e->settings->session_key_file);
  char **lines = g_strsplit (text ? text : "", "\n", 3);
  size_t len = 0;
  bool ok = lines[0]
            && sodium_hex2bin (e->keys.current, TOK_KEY_BYTES, lines[0],
                               strlen (lines[0]), NULL, &len, NULL)
                   == 0
            && len == TOK_KEY_BYTES;

  memcpy (e->keys.previous, e->keys.current, TOK_KEY_BYTES);
  if (ok && lines[1] && lines[1][0] != '\0')
    ok = sodium_hex2bin (e->keys.previous, TOK_KEY_BYTES, lines[1],
                         strlen (lines[1]), NULL, &len, NULL)
             == 0
         && len == TOK_KEY_BYTES;
  if (!ok)
    g_warning ("session.key_file %s: the first line must be a key of %d "
               "hexadecimal digits",
               e->settings->session_key_file, TOK_KEY_BYTES * 2);
  g_strfreev (lines);
  g_free (text);
  return ok;
}

/* Reads the access file when its modification time has changed.  An invalid
   file is logged and leaves the access rights in force as they are.  */
static bool
load_access (struct engine *e)
{
  const char *file = e->settings->callers_access_file;
  struct fnd_list findings;
  struct access *access;
  struct stat info;
  char *text = NULL;
  char *report;
  gsize len;

  if (!file || (stat (file, &info) == 0 && info.st_mtime == e->access_mtime))
    return true;
  if (!g_file_get_contents (file, &text, &len, NULL))
    {
      g_warning ("callers.access_file %s cannot be read", file);
      return false;
    }
  fnd_init (&findings);
  access = access_parse (file, text, len, &findings);
  report = fnd_format (&findings);
  if (access)
    {
      e->access_mtime = info.st_mtime;
      access_free (rcu_cell_replace (&e->access, access));
    }
  else
    g_warning ("%s", report);
  g_free (report);
  fnd_free (&findings);
  g_free (text);
  return access != NULL;
}

static void
on_upstream_opened (void *arg, uint64_t conn, bool ok)
{
  struct engine *e = arg;

  node_on_opened (e->node, conn, ok, loop_now_us ());
}

static void
on_upstream_closed (void *arg, uint64_t conn)
{
  struct engine *e = arg;

  node_on_closed (e->node, conn, loop_now_us ());
}

static void
on_upstream_done (void *arg, uint64_t conn, const struct up_result *result)
{
  struct engine *e = arg;

  node_on_op_done (e->node, conn, result, loop_now_us ());
}

static void
on_peer_message (void *arg, const char *from, const char *data, size_t len)
{
  struct engine *e = arg;

  node_on_message (e->node, from, data, len, loop_now_us ());
}

static void
on_peer_lost (void *arg, const char *vm)
{
  struct engine *e = arg;

  g_message ("lost the link to peer %s", vm);
  node_on_peer_lost (e->node, vm, loop_now_us ());
}

static void
on_publish (void *arg, struct dcl_set *set, uint64_t revision)
{
  (void)arg;
  g_message ("configuration revision %lu in force: %u databases", revision,
             set->databases->len);
}

/* For tests: returns the delay in milliseconds that is added to messages to
   VM, which is 0 within the data centre.  */
static int64_t
peer_delay (void *arg, const char *vm)
{
  struct engine *e = arg;
  const struct mbr_vm *v
      = e->node ? mbr_find (node_members (e->node), vm) : NULL;

  if (!v || strcmp (v->vm.data_centre, e->settings->data_centre) == 0)
    return 0;
  return e->settings->peer_delay_ms;
}

static bool
start_peers (struct engine *e)
{
  const struct settings *s = e->settings;
  struct peers_options o = { 0 };
  GError *error = NULL;

  e->public_key = read_secret (s->peers_public_key_file);
  e->secret_key = read_secret (s->peers_secret_key_file);
  if (s->peers_public_key_file
      && (!e->public_key || !e->secret_key
          || strlen (e->public_key) != CURVE_KEY_LEN
          || strlen (e->secret_key) != CURVE_KEY_LEN))
    {
      g_warning ("peers: the key files must hold %d characters each (make "
                 "them with cassiabay keygen)",
                 CURVE_KEY_LEN);
      return false;
    }
  o.loop = &e->loop;
  o.sink.message = on_peer_message;
  o.sink.link_lost = on_peer_lost;
  o.sink.arg = e;
  o.vm = s->vm;
  o.listen = s->peers_listen;
  o.public_key = e->public_key;
  o.secret_key = e->secret_key;
  o.delay_ms = s->peer_delay_ms > 0 ? peer_delay : NULL;
  o.delay_arg = e;
  e->peers = peers_new (&o, &error);
  if (!e->peers)
    g_warning ("%s", error->message);
  g_clear_error (&error);
  return e->peers != NULL;
}

static void
start_upstreams (struct engine *e)
{
  const struct settings *s = e->settings;
  struct pg_options o = { 0 };

  e->password = read_secret (s->upstream_password_file);
  e->application = g_strdup_printf ("cassiabayd/%s/%s", s->data_centre, s->vm);
  o.loop = &e->loop;
  o.sink.conn_opened = on_upstream_opened;
  o.sink.conn_closed = on_upstream_closed;
  o.sink.op_done = on_upstream_done;
  o.sink.arg = e;
  o.user = s->upstream_user;
  o.database = s->upstream_database;
  o.password = e->password;
  o.sslmode = s->upstream_sslmode;
  o.application = e->application;
  o.rows_max = (int32_t)s->upstream_rows_max;
  o.bytes_max = (int32_t)s->upstream_answer_max_bytes;
  e->pg = pg_new (&o);
}

static void
start_store (struct engine *e)
{
  struct etcd_options o = { 0 };

  o.endpoints = (const char *const *)e->settings->endpoints;
  o.timeout_ms = e->settings->store_timeout_ms;
  o.ca_file = e->settings->store_ca_file;
  o.token_file = e->settings->store_token_file;
  e->store = storeclient_new (&o, &e->mailbox, &e->node);
}

static void
apply_experiment (const struct settings *s, struct node_options *o)
{
  o->rule = s->experiment == EXPERIMENT_ACK_PRIMARY ? &qrm_rule_primary_only
                                                    : &qrm_rule_majority;
  if (s->experiment == EXPERIMENT_READS_PRIMARY)
    o->policy = RTE_PRIMARY_ONLY;
  if (s->experiment == EXPERIMENT_ROUND_ROBIN)
    {
      o->policy = RTE_ROUND_ROBIN;
      o->unsafe.no_age_check = true;
    }
  o->no_admission = s->experiment == EXPERIMENT_NO_ADMISSION;
  o->unlimited_retries = s->experiment == EXPERIMENT_UNLIMITED_RETRIES;
}

static void
start_node (struct engine *e)
{
  const struct settings *s = e->settings;
  struct node_options o = { 0 };

  g_strlcpy (o.self.id, s->vm, sizeof o.self.id);
  g_strlcpy (o.self.data_centre, s->data_centre, sizeof o.self.data_centre);
  g_strlcpy (o.self.region, s->region, sizeof o.self.region);
  g_strlcpy (o.self.peer_address, s->peers_listen, sizeof o.self.peer_address);
  g_strlcpy (o.self.admin_address, s->operators_listen,
             sizeof o.self.admin_address);
  /* The incarnation must rise with each start.  A VM stores nothing that
     outlives a restart, so it comes from the wall clock.  */
  o.self.incarnation = (uint64_t)loop_wall_ms ();
  randombytes_buf (&o.seed, sizeof o.seed);
  o.up = pg_port (e->pg);
  o.peers = peers_port (e->peers);
  o.store = storeclient_port (e->store);
  o.counters = &e->counters;
  o.answer = http_answer;
  o.publish = on_publish;
  o.arg = e;
  o.requests_max = (uint32_t)s->callers_requests_max;
  o.queue_max = (int32_t)s->upstream_queue_max;
  o.status_interval_ms = s->upstream_status_interval_ms;
  o.probe_timeout_ms = s->upstream_probe_timeout_ms;
  o.silence_ms = s->upstream_silence_ms;
  o.transaction_idle_ms = s->upstream_transaction_idle_ms;
  o.transaction_max_ms = s->upstream_transaction_max_ms;
  o.reconcile_ms = s->store_reconcile_ms;
  apply_experiment (s, &o);
  e->node = node_new (&o, loop_now_us ());
  for (uint32_t i = 0; i < s->n_seeds; i++)
    node_add_vm (e->node, &s->seeds[i].vm, loop_now_us ());
}

static bool
start_http (struct engine *e)
{
  const struct settings *s = e->settings;
  struct http_options o = { 0 };
  GError *error = NULL;

  o.callers_listen = s->callers_listen;
  o.operators_listen = s->operators_listen;
  o.tls_file = s->callers_tls_file;
  o.client_ca_file = s->callers_client_ca_file;
  o.caller_threads = (int32_t)s->callers_threads;
  o.body_max_bytes = (int32_t)s->callers_body_max_bytes;
  o.keep_alive_timeout_ms = (int32_t)s->callers_idle_ms;
  o.request_timeout_ms = (int32_t)s->callers_read_ms;
  o.keys = e->keys;
  o.mailbox = &e->mailbox;
  o.node = &e->node;
  o.counters = &e->counters;
  o.access = &e->access;
  o.trace = e->trace;
  e->http = http_new (&o, &error);
  if (!e->http)
    g_warning ("%s", error->message);
  g_clear_error (&error);
  return e->http != NULL;
}

static void
set_default_thread_stack (void)
{
  pthread_attr_t attr;

  pthread_attr_init (&attr);
  pthread_attr_setstacksize (&attr, DEFAULT_STACK_BYTES);
  pthread_setattr_default_np (&attr);
  pthread_attr_destroy (&attr);
}

static bool
start (struct engine *e)
{
  struct sigaction action = { 0 };

  action.sa_handler = on_signal;
  sigaction (SIGTERM, &action, NULL);
  sigaction (SIGINT, &action, NULL);
  signal (SIGPIPE, SIG_IGN);
  set_default_thread_stack ();
  if (!load_session_keys (e) || !load_access (e) || !loop_init (&e->loop))
    return false;
  if (e->settings->record_file)
    {
      e->trace = trace_open (e->settings->record_file);
      if (!e->trace)
        {
          g_warning ("trace.record_file %s cannot be opened",
                     e->settings->record_file);
          return false;
        }
    }
  mailbox_init (&e->mailbox, &e->loop);
  if (!start_peers (e))
    return false;
  start_upstreams (e);
  start_store (e);
  start_node (e);
  return start_http (e);
}

static void
enter_phase (struct engine *e, enum shutdown_phase phase, int64_t now_us)
{
  e->phase = phase;
  e->phase_start_us = now_us;
}

/* Steps through the graceful shutdown: the proxy first reports to the load
   balancer and the peers that it leaves, then refuses new requests, then waits
   for the requests under way, for at most shutdown_drain_ms.  */
static void
advance_shutdown (struct engine *e, int64_t now_us)
{
  const struct settings *s = e->settings;
  uint32_t busy = node_count_in_flight (e->node)
                  + (uint32_t)http_active_requests (e->http);

  if (e->phase == PHASE_RUNNING && stop_signal != 0)
    {
      g_message ("stopping: signal %d", (int)stop_signal);
      node_leave (e->node, now_us);
      http_disable_keep_alive (e->http);
      enter_phase (e, PHASE_NOTICE, now_us);
    }
  else if (e->phase == PHASE_NOTICE
           && now_us - e->phase_start_us >= s->shutdown_notice_ms * US_PER_MS)
    {
      node_drain (e->node);
      enter_phase (e, PHASE_DRAIN, now_us);
    }
  else if (e->phase == PHASE_DRAIN
           && (busy == 0
               || now_us - e->phase_start_us
                      >= s->shutdown_drain_ms * US_PER_MS))
    {
      g_message ("stopped with %u requests under way", busy);
      node_abort (e->node, now_us);
      enter_phase (e, PHASE_DONE, now_us);
    }
}

static void
run (struct engine *e)
{
  int64_t next_us = loop_now_us ();
  int64_t now_us;

  while (e->phase != PHASE_DONE)
    {
      loop_run (&e->loop, next_us - loop_now_us ());
      mailbox_drain (&e->mailbox, e);
      now_us = loop_now_us ();
      peers_tick (e->peers, now_us);
      if (now_us >= next_us)
        {
          node_tick (e->node, now_us, loop_wall_ms ());
          advance_shutdown (e, now_us);
        }
      next_us = MIN (next_us > now_us ? next_us : INT64_MAX,
                     node_next_tick_us (e->node, now_us));
      if (now_us >= e->files_check_us)
        {
          e->files_check_us = now_us + FILES_CHECK_US;
          load_access (e);
        }
      pg_free_closed (e->pg);
    }
}

static void
stop (struct engine *e)
{
  /* http_free waits for the HTTP handlers.  Those that still wait for an
     answer return only if the mailbox is emptied meanwhile; none is left if
     the drain ended within its time limit.  */
  http_free (e->http);
  trace_close (e->trace);
  storeclient_free (e->store);
  if (e->node)
    mailbox_drain (&e->mailbox, e);
  node_free (e->node);
  pg_free (e->pg);
  peers_free (e->peers);
  access_free (rcu_cell_get (&e->access));
  g_free (e->public_key);
  g_free (e->secret_key);
  g_free (e->password);
  g_free (e->application);
}

bool
engine_run (const struct settings *settings)
{
  struct engine *e = g_new0 (struct engine, 1);
  bool started;

  e->settings = settings;
  started = start (e);
  if (started)
    {
      g_message ("serving callers on %s", settings->callers_listen);
      run (e);
    }
  stop (e);
  g_free (e);
  return started;
}
