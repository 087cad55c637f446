/* Load generator.  Sends requests in an open loop at a fixed rate to proxies,
   or directly to a simulated database.  Latency is measured from the time at
   which a request was due to be sent, so that a slow system does not lower the
   load and hide its latency.  */
#include "requestid.h"
#include "stats.h"

#include <curl/curl.h>
#include <getopt.h>
#include <jansson.h>
#include <libpq-fe.h>
#include <pthread.h>
#include <sodium.h>
#include <stdatomic.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#define TARGETS_MAX 64
#define DATABASES_MAX 8
#define SESSION_MAX 4200
#define DEADLINE_MS 2000

/* A kind of request and its share of the workload.  */
struct workload_kind
{
  struct stats_kind stats;
  uint32_t percent;
  const char *sql; /* $1: key, $2: value */
};

#define READ_SQL "SELECT key, value FROM records WHERE key = $1"
#define WRITE_SQL "UPDATE records SET value = $2 WHERE key = $1"

static const struct workload_kind imena_workload[]
    = { { { "bin-lookup", false }, 70, READ_SQL },
        { { "order-status", false }, 5, READ_SQL },
        { { "place-order", true }, 20, WRITE_SQL },
        { { "record-tally", true }, 5, WRITE_SQL } };
static const struct workload_kind suva_workload[]
    = { { { "pickup-lookup", false }, 75, READ_SQL },
        { { "ticket-status", false }, 5, READ_SQL },
        { { "open-intake", true }, 10, WRITE_SQL },
        { { "record-bench", true }, 10, WRITE_SQL } };
#define WORKLOAD_KINDS 4

static struct
{
  const struct workload_kind *workload;
  double rate;
  double seconds;
  uint32_t workers;
  const char *targets[TARGETS_MAX];
  uint32_t n_targets;
  const char *databases[DATABASES_MAX];
  uint32_t n_databases;
  const char *direct; /* libpq conninfo; the proxies are bypassed */
  int32_t only;       /* index of the only kind to send, -1 = all */
  const char *csv;
  const char *svg;
  const char *control;
  char **instances;
  int64_t start_us;
  _Atomic uint64_t next; /* index of the next request to send */
  pthread_mutex_t lock;
  struct stats stats; /* the records are guarded by LOCK */
} run;

/* A simulated client account with its own connection and session, and its own
   key in each database.  */
struct worker
{
  uint32_t index;
  pthread_t thread;
  CURL *curl;
  PGconn *db;
  struct curl_slist *headers;
  char session[SESSION_MAX];
  uint32_t sequence[DATABASES_MAX];    /* latest write sent */
  uint32_t acked[DATABASES_MAX];       /* latest write acknowledged */
  bool outcome_unknown[DATABASES_MAX]; /* outcome of a write is unknown:
                                          staleness cannot be checked */
  uint64_t random;
  GString *reply;
};

static int64_t
now_us (void)
{
  return g_get_monotonic_time ();
}

static void
sleep_until (int64_t us)
{
  struct timespec ts = { us / 1000000, us % 1000000 * 1000 };

  clock_nanosleep (CLOCK_MONOTONIC, TIMER_ABSTIME, &ts, NULL);
}

static uint64_t
next_random (struct worker *w)
{
  w->random ^= w->random << 13;
  w->random ^= w->random >> 7;
  w->random ^= w->random << 17;
  return w->random;
}

static size_t
on_body (char *data, size_t size, size_t n, void *arg)
{
  g_string_append_len (arg, data, (gssize)(size * n));
  return size * n;
}

static size_t
on_header (char *data, size_t size, size_t n, void *arg)
{
  struct worker *w = arg;
  size_t len = size * n;
  const char name[] = "Cassiabay-Session: ";

  if (len > sizeof name
      && g_ascii_strncasecmp (data, name, sizeof name - 1) == 0
      && len - sizeof name < SESSION_MAX - 1)
    {
      size_t k = len - (sizeof name - 1);

      memcpy (w->session, data + sizeof name - 1, k);
      w->session[k] = '\0';
      g_strchomp (w->session);
    }
  return len;
}

static uint32_t
pick_kind (struct worker *w)
{
  uint32_t percent = (uint32_t)(next_random (w) % 100);
  uint32_t k = 0;

  if (run.only >= 0)
    return (uint32_t)run.only;
  while (k + 1 < WORKLOAD_KINDS && percent >= run.workload[k].percent)
    percent -= run.workload[k++].percent;
  return k;
}

static void
make_body (struct worker *w, const struct workload_kind *kind, uint32_t d,
           const char *id, GString *out)
{
  g_string_printf (out,
                   "{\"database\":\"%s\",\"kind\":\"%s\",\"deadline_ms\":%d,"
                   "\"request_id\":\"%s\",\"statements\":[{\"text\":\"%s\","
                   "\"args\":[\"w%u\"",
                   run.databases[d], kind->stats.name, DEADLINE_MS,
                   kind->stats.write ? id : "", kind->sql, w->index);
  if (kind->stats.write)
    g_string_append_printf (out, ",\"%u\"", ++w->sequence[d]);
  g_string_append (out, "]}]}");
}

/* The sequence number in the reply to a read, 0 when there is none.  */
static uint32_t
sequence_from_reply (json_t *root)
{
  json_t *result = json_array_get (json_object_get (root, "results"), 0);
  json_t *row = json_array_get (json_object_get (result, "rows"), 0);
  const char *text = json_string_value (json_array_get (row, 1));

  return text ? (uint32_t)strtoul (text, NULL, 10) : 0;
}

static void
record_reply (struct worker *w, struct stats_record *r, uint32_t d)
{
  json_t *root = json_loadb (w->reply->str, w->reply->len, 0, NULL);
  const char *outcome = json_string_value (json_object_get (root, "outcome"));
  const char *reason = json_string_value (json_object_get (root, "reason"));

  r->outcome = g_strcmp0 (outcome, "done") == 0      ? STATS_DONE
               : g_strcmp0 (outcome, "not_run") == 0 ? STATS_NOT_RUN
               : g_strcmp0 (outcome, "unknown") == 0 ? STATS_UNKNOWN
                                                     : STATS_NO_ANSWER;
  g_strlcpy (r->reason, reason ? reason : "no_answer", sizeof r->reason);
  if (r->write && r->outcome == STATS_DONE)
    {
      w->acked[d] = w->sequence[d];
      w->outcome_unknown[d] = false;
    }
  else if (r->write && r->outcome != STATS_NOT_RUN)
    w->outcome_unknown[d] = true;
  else if (!r->write && r->outcome == STATS_DONE && !w->outcome_unknown[d])
    r->stale = sequence_from_reply (root) < w->acked[d];
  json_decref (root);
}

static void
send_to_proxy (struct worker *w, struct stats_record *r, GString *body,
               uint32_t d)
{
  char url[128];
  char *header = g_strdup_printf ("Cassiabay-Session: %s", w->session);
  struct curl_slist *headers = curl_slist_append (NULL, header);

  headers = curl_slist_append (headers, "Expect:");
  snprintf (url, sizeof url, "http://%s/v1/run",
            run.targets[next_random (w) % run.n_targets]);
  g_string_truncate (w->reply, 0);
  curl_easy_setopt (w->curl, CURLOPT_URL, url);
  curl_easy_setopt (w->curl, CURLOPT_HTTPHEADER, headers);
  curl_easy_setopt (w->curl, CURLOPT_POSTFIELDSIZE, (long)body->len);
  curl_easy_setopt (w->curl, CURLOPT_POSTFIELDS, body->str);
  curl_easy_perform (w->curl);
  r->end_us = now_us () - run.start_us;
  record_reply (w, r, d);
  curl_slist_free_all (headers);
  g_free (header);
}

static bool
execute_direct (struct worker *w, const char *sql, int n, const char **args)
{
  PGresult *res = PQexecParams (w->db, sql, n, NULL, args, NULL, NULL, 0);
  bool ok = PQresultStatus (res) == PGRES_TUPLES_OK
            || PQresultStatus (res) == PGRES_COMMAND_OK;

  PQclear (res);
  return ok;
}

static void
send_direct (struct worker *w, struct stats_record *r,
             const struct workload_kind *kind)
{
  char key[16];
  const char *args[2] = { key, "1" };
  bool ok;

  snprintf (key, sizeof key, "w%u", w->index);
  if (kind->stats.write)
    ok = execute_direct (w, "BEGIN", 0, NULL)
         && execute_direct (w, kind->sql, 2, args)
         && execute_direct (w, "COMMIT", 0, NULL);
  else
    ok = execute_direct (w, kind->sql, 1, args);
  r->end_us = now_us () - run.start_us;
  r->outcome = ok ? STATS_DONE : STATS_NO_ANSWER;
}

static void
run_request (struct worker *w, int64_t due_us, GString *body)
{
  struct stats_record r = { 0 };
  uint32_t k = pick_kind (w);
  uint32_t d
      = run.n_databases ? (uint32_t)(next_random (w) % run.n_databases) : 0;
  uint64_t bits[2] = { next_random (w), next_random (w) };

  r.due_us = due_us;
  r.kind = (uint8_t)k;
  r.write = run.workload[k].stats.write;
  rid_format (g_get_real_time () / 1000, bits, r.id);
  if (run.direct)
    send_direct (w, &r, &run.workload[k]);
  else
    {
      make_body (w, &run.workload[k], d, r.id, body);
      send_to_proxy (w, &r, body, d);
    }
  r.in_time = r.end_us - r.due_us <= DEADLINE_MS * 1000;
  pthread_mutex_lock (&run.lock);
  g_array_append_val (run.stats.records, r);
  pthread_mutex_unlock (&run.lock);
}

static void *
run_worker (void *arg)
{
  struct worker *w = arg;
  GString *body = g_string_new (NULL);
  uint64_t total = (uint64_t)(run.rate * run.seconds);
  uint64_t n;

  while ((n = atomic_fetch_add (&run.next, 1)) < total)
    {
      int64_t due_us = (int64_t)((double)n / run.rate * 1e6);

      sleep_until (run.start_us + due_us);
      run_request (w, due_us, body);
    }
  g_string_free (body, TRUE);
  return NULL;
}

static bool
start_worker (struct worker *w, uint32_t index)
{
  w->index = index;
  randombytes_buf (&w->random, sizeof w->random);
  w->reply = g_string_new (NULL);
  if (run.direct)
    {
      w->db = PQconnectdb (run.direct);
      if (PQstatus (w->db) != CONNECTION_OK)
        {
          fprintf (stderr, "load: %s", PQerrorMessage (w->db));
          return false;
        }
      return true;
    }
  w->curl = curl_easy_init ();
  curl_easy_setopt (w->curl, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt (w->curl, CURLOPT_PROXY, "");
  curl_easy_setopt (w->curl, CURLOPT_TCP_NODELAY, 1L);
  curl_easy_setopt (w->curl, CURLOPT_TIMEOUT_MS, 4L * DEADLINE_MS);
  curl_easy_setopt (w->curl, CURLOPT_WRITEFUNCTION, on_body);
  curl_easy_setopt (w->curl, CURLOPT_WRITEDATA, w->reply);
  curl_easy_setopt (w->curl, CURLOPT_HEADERFUNCTION, on_header);
  curl_easy_setopt (w->curl, CURLOPT_HEADERDATA, w);
  curl_easy_setopt (w->curl, CURLOPT_MAXCONNECTS, (long)run.n_targets + 1);
  return true;
}

static void
stop_worker (struct worker *w)
{
  if (w->curl)
    curl_easy_cleanup (w->curl);
  if (w->db)
    PQfinish (w->db);
  g_string_free (w->reply, TRUE);
}

static bool
run_load (void)
{
  struct worker *workers = g_new0 (struct worker, run.workers);
  bool ok = true;

  for (uint32_t i = 0; i < run.workers && ok; i++)
    ok = start_worker (&workers[i], i);
  run.start_us = now_us () + 10000;
  for (uint32_t i = 0; i < run.workers && ok; i++)
    pthread_create (&workers[i].thread, NULL, run_worker, &workers[i]);
  for (uint32_t i = 0; i < run.workers && ok; i++)
    pthread_join (workers[i].thread, NULL);
  for (uint32_t i = 0; i < run.workers && ok; i++)
    stop_worker (&workers[i]);
  g_free (workers);
  return ok;
}

static const struct option options[]
    = { { "deployment", required_argument, NULL, 'm' },
        { "rate", required_argument, NULL, 'r' },
        { "seconds", required_argument, NULL, 's' },
        { "workers", required_argument, NULL, 'w' },
        { "target", required_argument, NULL, 't' },
        { "database", required_argument, NULL, 'd' },
        { "direct", required_argument, NULL, 'D' },
        { "only", required_argument, NULL, 'o' },
        { "csv", required_argument, NULL, 'c' },
        { "svg", required_argument, NULL, 'p' },
        { "control", required_argument, NULL, 'x' },
        { "instances", required_argument, NULL, 'i' },
        { "help", no_argument, NULL, 'h' },
        { NULL, 0, NULL, 0 } };

static void
print_help (void)
{
  puts (
      "Usage: load --deployment imena|suva --rate N --seconds N\n"
      "  --workers N      callers, each with one request in flight\n"
      "  --target IP:PORT caller listener of a proxy; repeatable\n"
      "  --database NAME  repeatable\n"
      "  --direct INFO    libpq conninfo; bypasses the proxies\n"
      "  --only K         send only kind K of the workload (0 to 3)\n"
      "  --csv FILE, --svg FILE\n"
      "  --control IP:PORT --instances A,B,...\n"
      "                   compare the replies with the logs of the instances");
}

static bool
set_option (int option)
{
  switch (option)
    {
    case 'm':
      run.workload
          = strcmp (optarg, "suva") == 0 ? suva_workload : imena_workload;
      break;
    case 'r':
      run.rate = atof (optarg);
      break;
    case 's':
      run.seconds = atof (optarg);
      break;
    case 'w':
      run.workers = (uint32_t)atoi (optarg);
      break;
    case 't':
      if (run.n_targets < TARGETS_MAX)
        run.targets[run.n_targets++] = optarg;
      break;
    case 'd':
      if (run.n_databases < DATABASES_MAX)
        run.databases[run.n_databases++] = optarg;
      break;
    case 'D':
      run.direct = optarg;
      break;
    case 'o':
      run.only = atoi (optarg);
      break;
    case 'c':
      run.csv = optarg;
      break;
    case 'p':
      run.svg = optarg;
      break;
    case 'x':
      run.control = optarg;
      break;
    case 'i':
      run.instances = g_strsplit (optarg, ",", -1);
      break;
    default:
      return false;
    }
  return true;
}

static void
report (void)
{
  static struct stats_kind kinds[WORKLOAD_KINDS];
  struct verify_result v;

  for (uint32_t k = 0; k < WORKLOAD_KINDS; k++)
    kinds[k] = run.workload[k].stats;
  run.stats.kinds = kinds;
  run.stats.n_kinds = WORKLOAD_KINDS;
  stats_print (&run.stats, run.seconds);
  if (run.csv)
    stats_write_csv (&run.stats, run.csv);
  if (run.svg)
    stats_write_svg (&run.stats, run.svg, run.seconds);
  if (run.control && run.instances
      && verify_run (&run.stats, run.control, run.instances, &v))
    printf ("writes_checked=%u\nlost=%u\ndoubled=%u\nwrong=%u\n", v.checked,
            v.lost, v.doubled, v.wrong);
}

int
main (int argc, char **argv)
{
  int option;

  run.workload = imena_workload;
  run.rate = 100;
  run.seconds = 5;
  run.workers = 32;
  run.only = -1;
  while ((option = getopt_long (argc, argv, "", options, NULL)) != -1)
    if (!set_option (option))
      {
        print_help ();
        return option == 'h' ? 0 : 2;
      }
  if ((!run.direct && (run.n_targets == 0 || run.n_databases == 0))
      || sodium_init () < 0)
    {
      print_help ();
      return 2;
    }
  curl_global_init (CURL_GLOBAL_DEFAULT);
  pthread_mutex_init (&run.lock, NULL);
  run.stats.records = g_array_new (FALSE, FALSE, sizeof (struct stats_record));
  if (!run_load ())
    return 1;
  report ();
  g_array_free (run.stats.records, TRUE);
  g_strfreev (run.instances);
  return 0;
}
