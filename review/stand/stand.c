/* Stand-ins for the review cases.  */
#define _GNU_SOURCE
#include "stand.h"

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

#define PROGRAM "target/packages/proxy/cassiabayd"
#define ITEMS_MAX 256
#define EVENTS_MAX 4096
#define RUNS_MAX 8192
#define COMMITS_MAX 8192
#define INSTANCES_MAX 4
#define PROXIES_MAX 16
#define CONNECTIONS_MAX 512
#define FIRST_COMMIT 100
#define REPLICA_LAG_MS 20
#define PROMOTE_MS 600
/* A page of a listing ends with the item that exceeds it.  */
#define PAGE_MAX_BYTES 1000000
#define LINE_MAX_BYTES (1024 * 1024 + 16)

struct item
{
  char key[200];
  char *value; /* base64, NULL = free or removed */
  int64_t revision;
  int64_t created;
  int64_t lease;
};

struct event
{
  char key[200];
  char *value; /* NULL = removed */
  int64_t revision;
};

struct lease
{
  int64_t id;
  int64_t ttl_ms;
  int64_t ends_ms;
};

struct instance
{
  char id[ST_ID_MAX];
  int fd;
  uint16_t port;
  bool primary;
  bool crashed;
  bool deaf;
  int lag_ms;
  int received; /* commits in its log */
  int busy;     /* slots in use */
  int fds[CONNECTIONS_MAX];
  int n_fds;
};

struct commit
{
  char id[ST_ID_MAX];
  int64_t at_ms;
  bool acknowledged;
};

struct run
{
  char id[ST_ID_MAX];
  char text[ST_TEXT_MAX];
};

static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;
static pthread_cond_t changed = PTHREAD_COND_INITIALIZER;
static FILE *record_file;
static int64_t start_ms;
static char directory[128];
static int net_a;
static int net_b;
static uint16_t base_port;
static uint16_t store_ports[PROXIES_MAX]; /* one for each proxy */
static bool is_cut[PROXIES_MAX];
static uint16_t cloud_port;
static int n_lower_tokens;
static int claim_holder = -1;
static int64_t claim_revision;
static struct st_options o;
static struct item items[ITEMS_MAX];
static struct event events[EVENTS_MAX];
static int n_events;
static int64_t history_from; /* changes up to it are forgotten */
static const char *extra_host;
static int64_t revision = 10;
static struct lease leases[ITEMS_MAX];
static int n_leases;
static struct instance instances[INSTANCES_MAX];
static int term = 3;
static struct commit commits[COMMITS_MAX];
static int n_commits = FIRST_COMMIT;
static int n_lost;
static pthread_cond_t slot_freed = PTHREAD_COND_INITIALIZER;
static uint64_t last_fence;
static struct run runs[RUNS_MAX];
static int n_runs;
static pid_t pids[PROXIES_MAX];
static const char *grace[PROXIES_MAX];

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

static void
give_up (const char *what)
{
  st_record ("cannot run: %s: %s", what, strerror (errno));
  st_finish (ST_NOT_RUN);
}

static void
start_thread (void *(*run) (void *), void *arg)
{
  pthread_t thread;

  if (pthread_create (&thread, NULL, run, arg) != 0)
    give_up ("thread");
  pthread_detach (thread);
}

/* Listens on 127.0.0.1; returns the port in PORT.  */
static int
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

/* Base64.  */

static char *
encode (const char *text)
{
  static const char digits[]
      = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  size_t len = strlen (text);
  char *out = calloc (1, len / 3 * 4 + 8);
  char *at = out;

  for (size_t i = 0; i < len; i += 3)
    {
      uint32_t v = (uint32_t)(unsigned char)text[i] << 16;

      if (i + 1 < len)
        v |= (uint32_t)(unsigned char)text[i + 1] << 8;
      if (i + 2 < len)
        v |= (uint32_t)(unsigned char)text[i + 2];
      *at++ = digits[v >> 18];
      *at++ = digits[v >> 12 & 63];
      *at++ = i + 1 < len ? digits[v >> 6 & 63] : '=';
      *at++ = i + 2 < len ? digits[v & 63] : '=';
    }
  return out;
}

/* The store.  Its functions are called with LOCK held.  */

static struct item *
find_item (const char *key)
{
  for (int i = 0; i < ITEMS_MAX; i++)
    if (items[i].value && strcmp (items[i].key, key) == 0)
      return &items[i];
  return NULL;
}

static void
add_event (const char *key, const char *value)
{
  struct event *e;

  if (n_events == EVENTS_MAX)
    give_up ("history");
  e = &events[n_events++];
  snprintf (e->key, sizeof e->key, "%s", key);
  e->value = value ? strdup (value) : NULL;
  e->revision = revision;
}

static void
set_item (const char *key, const char *value, int64_t lease)
{
  struct item *i = find_item (key);

  for (int n = 0; !i && n < ITEMS_MAX; n++)
    if (!items[n].value)
      {
        i = &items[n];
        snprintf (i->key, sizeof i->key, "%s", key);
        i->created = revision;
      }
  if (!i)
    give_up ("items");
  free (i->value);
  i->value = strdup (value);
  i->revision = revision;
  i->lease = lease;
  add_event (key, value);
}

static void
remove_item (const char *key)
{
  struct item *i = find_item (key);

  if (!i)
    return;
  free (i->value);
  i->value = NULL;
  add_event (key, NULL);
}

static struct lease *
find_lease (int64_t id)
{
  for (int n = 0; n < n_leases; n++)
    if (leases[n].id == id && leases[n].ends_ms > st_now_ms ())
      return &leases[n];
  return NULL;
}

static void
end_lease (int64_t id)
{
  for (int n = 0; n < ITEMS_MAX; n++)
    if (items[n].value && items[n].lease == id)
      {
        revision++;
        remove_item (items[n].key);
      }
  pthread_cond_broadcast (&changed);
}

static void *
run_leases (void *unused)
{
  (void)unused;
  for (;;)
    {
      usleep (100000);
      pthread_mutex_lock (&lock);
      for (int n = 0; n < n_leases; n++)
        if (leases[n].id > 0 && leases[n].ends_ms <= st_now_ms ())
          {
            end_lease (leases[n].id);
            leases[n].id = 0;
          }
      pthread_mutex_unlock (&lock);
    }
  return NULL;
}

static void
put (const char *key, const char *text)
{
  char *value = encode (text);

  pthread_mutex_lock (&lock);
  revision++;
  set_item (key, value, 0);
  pthread_cond_broadcast (&changed);
  pthread_mutex_unlock (&lock);
  free (value);
}

void
st_put_foreign (const char *key, int bytes)
{
  char *text = malloc ((size_t)bytes + 1);

  memset (text, '?', (size_t)bytes);
  text[bytes] = '\0';
  put (key, text);
  free (text);
  st_record ("another writer: writes \"%s\", %d bytes", key, bytes);
}

void
st_compact (void)
{
  pthread_mutex_lock (&lock);
  revision++;
  history_from = revision;
  pthread_cond_broadcast (&changed);
  pthread_mutex_unlock (&lock);
  st_record ("store: forgets its history up to revision %ld",
             (long)history_from);
}

static json_t *
item_json (const struct item *i)
{
  return json_pack ("{s:s,s:s,s:I,s:I,s:I}", "key", i->key, "value", i->value,
                    "revision", (json_int_t)i->revision, "createRev",
                    (json_int_t)i->created, "leaseId", (json_int_t)i->lease);
}

static int
compare_items (const void *a, const void *b)
{
  return strcmp ((*(struct item *const *)a)->key,
                 (*(struct item *const *)b)->key);
}

static json_t *
list_items (const char *prefix, const char *after)
{
  struct item *found[ITEMS_MAX];
  json_t *array = json_array ();
  size_t bytes = 0;
  int n = 0;
  int listed = 0;

  for (int i = 0; i < ITEMS_MAX; i++)
    if (items[i].value && strncmp (items[i].key, prefix, strlen (prefix)) == 0
        && strcmp (items[i].key, after) > 0)
      found[n++] = &items[i];
  qsort (found, (size_t)n, sizeof found[0], compare_items);
  while (listed < n && bytes < PAGE_MAX_BYTES)
    {
      bytes += strlen (found[listed]->value);
      json_array_append_new (array, item_json (found[listed++]));
    }
  return json_pack ("{s:o,s:b,s:I}", "items", array, "hasMore", listed < n,
                    "atRev", (json_int_t)revision);
}

static json_t *
events_after (const char *prefix, int64_t after)
{
  json_t *array = json_array ();

  for (int n = 0; n < n_events; n++)
    {
      const struct event *e = &events[n];

      if (e->revision <= after
          || strncmp (e->key, prefix, strlen (prefix)) != 0)
        continue;
      if (e->value)
        json_array_append_new (
            array,
            json_pack ("{s:s,s:s,s:I,s:I,s:i}", "key", e->key, "value",
                       e->value, "revision", (json_int_t)e->revision,
                       "createRev", (json_int_t)e->revision, "leaseId", 0));
      else
        json_array_append_new (
            array, json_pack ("{s:s,s:I,s:b}", "key", e->key, "revision",
                              (json_int_t)e->revision, "tombstone", 1));
    }
  return array;
}

static json_t *
watch (const char *prefix, int64_t after, int64_t wait_ms)
{
  int64_t until_ms = st_now_ms () + wait_ms;
  json_t *found = events_after (prefix, after);

  while (json_array_size (found) == 0 && st_now_ms () < until_ms)
    {
      struct timespec ts;

      if (after < history_from)
        {
          json_decref (found);
          return NULL;
        }

      clock_gettime (CLOCK_REALTIME, &ts);
      ts.tv_nsec += 50000000;
      if (ts.tv_nsec >= 1000000000)
        {
          ts.tv_sec++;
          ts.tv_nsec -= 1000000000;
        }
      pthread_cond_timedwait (&changed, &lock, &ts);
      json_decref (found);
      found = events_after (prefix, after);
    }
  return json_pack ("{s:o,s:I}", "events", found, "atRev",
                    (json_int_t)revision);
}

static const char *
text_of (json_t *row, const char *key)
{
  const char *text = json_string_value (json_object_get (row, key));

  return text ? text : "";
}

/* Decodes the base64 text VALUE, and returns the number of the proxy that a
   claim names, -1 if it names none.  */
static int
decode_holder (const char *value)
{
  char text[512];
  size_t len = 0;
  uint32_t bits = 0;
  int n_bits = 0;
  int n = -1;
  const char *at;

  for (; *value && *value != '=' && len + 1 < sizeof text; value++)
    {
      uint32_t digit = *value >= 'A' && *value <= 'Z'   ? *value - 'A'
                       : *value >= 'a' && *value <= 'z' ? *value - 'a' + 26
                       : *value >= '0' && *value <= '9' ? *value - '0' + 52
                       : *value == '+'                  ? 62
                                                        : 63;

      bits = bits << 6 | digit;
      n_bits += 6;
      if (n_bits >= 8)
        text[len++] = (char)(bits >> (n_bits -= 8));
    }
  text[len] = '\0';
  at = strstr (text, "\"edge-z0-");
  if (at)
    n = atoi (at + 9) - 1;
  return n;
}

static void
note_claim (const char *key, const char *value)
{
  if (!strstr (key, "/claim/"))
    return;
  claim_holder = decode_holder (value);
  claim_revision = revision;
  st_record ("store: proxy %d takes the claim, revision %ld", claim_holder,
             (long)revision);
}

int
st_claim_holder (int64_t *revision_out)
{
  int n;

  pthread_mutex_lock (&lock);
  n = claim_holder;
  *revision_out = claim_revision;
  pthread_mutex_unlock (&lock);
  return n;
}

void
st_cut_store (int n)
{
  pthread_mutex_lock (&lock);
  is_cut[n] = true;
  pthread_cond_broadcast (&changed);
  pthread_mutex_unlock (&lock);
  st_record ("proxy %d: partitioned from the store", n);
}

int
st_count_lower_tokens (void)
{
  int n;

  pthread_mutex_lock (&lock);
  n = n_lower_tokens;
  pthread_mutex_unlock (&lock);
  return n;
}

static int
run_txn (json_t *body, json_t **reply)
{
  json_t *row;
  size_t n;
  bool good = true;
  json_t *current = json_array ();

  json_array_foreach (json_object_get (body, "expected"), n, row)
    {
      const struct item *i = find_item (text_of (row, "key"));
      int64_t known = json_integer_value (json_object_get (row, "revision"));

      good = good && known == (i ? i->revision : 0);
      if (i)
        json_array_append_new (current, item_json (i));
    }
  json_array_foreach (json_object_get (body, "writes"), n, row)
    {
      int64_t lease = json_integer_value (json_object_get (row, "leaseId"));

      if (lease > 0 && !find_lease (lease))
        {
          json_decref (current);
          return 404;
        }
    }
  if (!good)
    {
      *reply = json_pack ("{s:o}", "items", current);
      return 412;
    }
  json_decref (current);
  revision++;
  json_array_foreach (json_object_get (body, "writes"), n, row)
    {
      set_item (text_of (row, "key"), text_of (row, "value"),
                json_integer_value (json_object_get (row, "leaseId")));
      note_claim (text_of (row, "key"), text_of (row, "value"));
    }
  json_array_foreach (json_object_get (body, "remove"), n, row)
    remove_item (json_string_value (row) ? json_string_value (row) : "");
  pthread_cond_broadcast (&changed);
  *reply = json_pack ("{s:I}", "revision", (json_int_t)revision);
  return 200;
}

/* Writes the entry of instance N, with LOCK held.  */
static void
set_entry (int n)
{
  char key[128];
  char text[512];
  char *value;

  snprintf (key, sizeof key, "servers/%s", instances[n].id);
  snprintf (text, sizeof text,
            "{\"service\":\"%s\",\"address\":\"127.0.0.1:%u\",\"zone\":\"z0\","
            "\"version\":\"1\",\"slots\":%d,\"state\":\"ready\","
            "\"coldLeftMs\":0,\"seq\":1,\"born\":%d,\"dbRole\":\"%s\"}",
            o.service, instances[n].port, o.slots, 1000 + n,
            instances[n].primary ? "primary" : "replica");
  value = encode (text);
  revision++;
  set_item (key, value, 0);
  free (value);
}

/* Instance N leads with what it has received, and nothing more.  */
static void
promote (int n)
{
  int length = instances[n].received;
  int lost = 0;

  for (int k = length; k < n_commits; k++)
    if (commits[k].acknowledged)
      {
        lost++;
        st_record ("the promoted instance %s lacks %s, which was "
                   "acknowledged",
                   instances[n].id, commits[k].id);
      }
  n_lost += lost;
  n_commits = length;
  term++;
  for (int k = 0; k < o.instances; k++)
    {
      instances[k].primary = k == n;
      if (instances[k].received > length)
        instances[k].received = length;
      if (!instances[k].crashed)
        set_entry (k);
    }
  pthread_cond_broadcast (&changed);
}

/* Carries out the promotion of an instance after the usual time.  */
static void *
finish_promotion (void *arg)
{
  int n = (int)(intptr_t)arg;

  usleep (PROMOTE_MS * 1000);
  pthread_mutex_lock (&lock);
  if (!instances[n].primary && !instances[n].crashed)
    {
      promote (n);
      st_record ("platform: instance %s leads term %d", instances[n].id, term);
    }
  pthread_mutex_unlock (&lock);
  return NULL;
}

static int
run_promote (json_t *body, const char *holder, uint64_t fence)
{
  const char *id = text_of (body, "id");

  st_record ("platform: %s promotes %s with token %lu, the highest seen is "
             "%lu",
             holder, id, (unsigned long)fence, (unsigned long)last_fence);
  if (fence < last_fence)
    {
      n_lower_tokens++;
      if (!o.ignores_fences)
        return 409;
    }
  else
    last_fence = fence;
  for (int n = 0; n < o.instances; n++)
    {
      struct instance *i = &instances[n];

      if (strcmp (i->id, id) != 0)
        continue;
      if (i->crashed)
        return 409;
      if (!i->primary)
        start_thread (finish_promotion, (void *)(intptr_t)n);
      return 200;
    }
  return 409;
}

/* One HTTP request: its line, body and fencing token.  */
struct request
{
  char method[16];
  char path[1024];
  json_t *body;
  char holder[64];
  uint64_t fence;
};

static void
query_field (const char *path, const char *name, char *out, size_t size)
{
  char pattern[64];
  const char *at = strchr (path, '?');

  out[0] = '\0';
  snprintf (pattern, sizeof pattern, "%s=", name);
  while (at)
    {
      at++;
      if (strncmp (at, pattern, strlen (pattern)) == 0)
        {
          size_t len = strcspn (at + strlen (pattern), "& ");

          snprintf (out, size, "%.*s", (int)len, at + strlen (pattern));
          return;
        }
      at = strchr (at, '&');
    }
}

static int
serve_read (const struct request *r, json_t **reply)
{
  char key[256];
  char after[256];
  char wait[32];

  query_field (r->path, "after", after, sizeof after);
  if (strncmp (r->path, "/kv-key", 7) == 0)
    {
      const struct item *i;

      query_field (r->path, "key", key, sizeof key);
      i = find_item (key);
      if (!i)
        return 404;
      *reply = item_json (i);
      json_object_set_new (*reply, "atRev",
                           json_integer ((json_int_t)revision));
      return 200;
    }
  query_field (r->path, "prefix", key, sizeof key);
  if (strncmp (r->path, "/kv-range", 9) == 0)
    {
      *reply = list_items (key, after);
      return 200;
    }
  if (strncmp (r->path, "/kv-watch", 9) != 0)
    return 404;
  query_field (r->path, "waitMs", wait, sizeof wait);
  if (atoll (after) < history_from)
    return 410;
  *reply = watch (key, atoll (after), atoll (wait));
  return *reply ? 200 : 410;
}

static int
serve_write (const struct request *r, json_t **reply)
{
  struct lease *l;

  if (strcmp (r->path, "/kv-txn") == 0)
    return run_txn (r->body, reply);
  if (strcmp (r->path, "/promote") == 0)
    return run_promote (r->body, r->holder, r->fence);
  if (strcmp (r->path, "/kv-lease") == 0 && n_leases < ITEMS_MAX)
    {
      l = &leases[n_leases++];
      l->id = 1000 + n_leases;
      l->ttl_ms = json_integer_value (json_object_get (r->body, "ttlMs"));
      l->ends_ms = st_now_ms () + l->ttl_ms;
      *reply = json_pack ("{s:I,s:I}", "leaseId", (json_int_t)l->id, "ttlMs",
                          (json_int_t)l->ttl_ms);
      return 200;
    }
  if (strncmp (r->path, "/kv-keep/", 9) == 0)
    {
      l = find_lease (atoll (r->path + 9));
      if (!l)
        return 404;
      l->ends_ms = st_now_ms () + l->ttl_ms;
      *reply = json_object ();
      return 200;
    }
  if (strncmp (r->path, "/kv-lease-end/", 14) == 0)
    {
      l = find_lease (atoll (r->path + 14));
      if (!l)
        return 404;
      end_lease (l->id);
      l->id = 0;
      *reply = json_object ();
      return 200;
    }
  return 404;
}

static bool
write_all (int fd, const char *data, size_t len)
{
  while (len > 0)
    {
      ssize_t n = send (fd, data, len, MSG_NOSIGNAL);

      if (n <= 0)
        return false;
      data += n;
      len -= (size_t)n;
    }
  return true;
}

/* Reads one request into BUFFER, of SIZE bytes.  */
static bool
read_request (int fd, char *buffer, size_t size, struct request *r)
{
  size_t len = 0;
  size_t body = 0;
  char *end = NULL;
  const char *field;

  while (!end || len < (size_t)(end - buffer) + 4 + body)
    {
      ssize_t n = len + 1 < size ? recv (fd, buffer + len, size - 1 - len, 0)
                                 : 0;

      if (n <= 0)
        return false;
      len += (size_t)n;
      buffer[len] = '\0';
      if (!end && (end = strstr (buffer, "\r\n\r\n")))
        {
          field = strcasestr (buffer, "\r\nContent-Length:");
          body = field && field < end ? (size_t)atoll (field + 17) : 0;
        }
    }
  memset (r, 0, sizeof *r);
  if (sscanf (buffer, "%15s %1023s", r->method, r->path) != 2)
    return false;
  field = strcasestr (buffer, "\r\nX-Fencing-Token:");
  if (field && field < end)
    r->fence = strtoull (field + 18, NULL, 10);
  field = strcasestr (buffer, "\r\nX-Duty-Holder:");
  if (field && field < end)
    sscanf (field + 16, " %63[^\r]", r->holder);
  r->body = json_loadb (end + 4, body, 0, NULL);
  return true;
}

/* True while the store, but not the platform's own calls, is out of reach of
   PROXY.  */
static bool
is_partitioned (int proxy)
{
  return proxy >= 0 && is_cut[proxy];
}

/* A connection and the number of its listener.  */
struct accepted
{
  int fd;
  int index;
};

static void *
serve_http (void *arg)
{
  struct accepted *c = arg;
  int fd = c->fd;
  int proxy = c->index;
  size_t size = 4 * 1024 * 1024;
  char *buffer = malloc (size);
  struct request r;

  while (read_request (fd, buffer, size, &r))
    {
      json_t *reply = NULL;
      char head[160];
      char *text;
      int status;
      bool sent;

      pthread_mutex_lock (&lock);
      while (is_partitioned (proxy))
        pthread_cond_wait (&changed, &lock);
      status = strcmp (r.method, "GET") == 0 ? serve_read (&r, &reply)
                                             : serve_write (&r, &reply);
      /* The answer is lost if the partition began meanwhile.  */
      while (is_partitioned (proxy))
        pthread_cond_wait (&changed, &lock);
      pthread_mutex_unlock (&lock);
      text = reply ? json_dumps (reply, JSON_COMPACT) : strdup ("{}");
      snprintf (head, sizeof head,
                "HTTP/1.1 %d Status\r\nContent-Type: application/json\r\n"
                "Content-Length: %zu\r\n\r\n",
                status, strlen (text));
      sent = write_all (fd, head, strlen (head))
             && write_all (fd, text, strlen (text));
      free (text);
      json_decref (reply);
      json_decref (r.body);
      if (!sent)
        break;
    }
  free (buffer);
  free (c);
  close (fd);
  return NULL;
}

struct listener
{
  int fd;
  void *(*serve) (void *);
  int index;
};

static void *
accept_all (void *arg)
{
  struct listener *l = arg;

  for (;;)
    {
      int on = 1;
      int fd = accept4 (l->fd, NULL, NULL, SOCK_CLOEXEC);
      struct accepted *c;
      pthread_t thread;

      if (fd < 0 && (errno == EBADF || errno == EINVAL))
        return NULL;
      if (fd < 0)
        continue;
      setsockopt (fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
      c = calloc (1, sizeof *c);
      c->fd = fd;
      c->index = l->index;
      if (pthread_create (&thread, NULL, l->serve, c) == 0)
        pthread_detach (thread);
    }
  return NULL;
}

static void
start_listener (int fd, void *(*serve) (void *), int index)
{
  struct listener *l = calloc (1, sizeof *l);

  l->fd = fd;
  l->serve = serve;
  l->index = index;
  start_thread (accept_all, l);
}

/* Instances.  */

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
         && commits[n - 1].at_ms + i->lag_ms > now_ms)
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
    if (instances[k].primary
        || (!instances[k].deaf && !instances[k].crashed))
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
st_set_lag (int n, int lag_ms)
{
  pthread_mutex_lock (&lock);
  instances[n].lag_ms = lag_ms;
  pthread_mutex_unlock (&lock);
  st_record ("instance %s: applies %d ms late from now on", instances[n].id,
             lag_ms);
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
  if (n_runs < RUNS_MAX)
    {
      snprintf (runs[n_runs].id, ST_ID_MAX, "%s", id);
      snprintf (runs[n_runs].text, ST_TEXT_MAX, "%s", text);
      n_runs++;
    }
  st_record ("instance %s: ran %s \"%.200s\"", instance, id, text);
}

static bool
serve_work (struct session *s, const char *id, const char *text)
{
  struct st_plan plan = { .work_ms = 5 };
  const char *code;
  char line[256];
  char *row;
  bool good;

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
  if (plan.lose_answer)
    {
      st_record ("instance %s: the answer of %s is lost", s->instance->id, id);
      return true;
    }
  if (plan.row_bytes == 0)
    plan.row_bytes = 16;
  row = malloc ((size_t)plan.row_bytes + 32);
  memcpy (row, "DATAROW ", 8);
  memset (row + 8, 'd', (size_t)plan.row_bytes);
  memcpy (row + 8 + plan.row_bytes, "\r\n", 3);
  snprintf (line, sizeof line, "COMPLETE sig.%s.%s\r\n", s->instance->id, id);
  good = (strcmp (text, "COMMIT") == 0 || is_write (s, text)
          || write_all (s->fd, row, strlen (row)))
         && write_all (s->fd, line, strlen (line)) && send_ready (s);
  free (row);
  return good;
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

  if (sscanf (text, "PARSE %63s %15s", name, mode) == 2
      && s->n_prepared < 256)
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
      || strcmp (service, o.service) != 0
      || strcmp (id, s->instance->id) != 0)
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
      n = len < LINE_MAX_BYTES ? recv (s.fd, buffer + len,
                                       LINE_MAX_BYTES - len, 0)
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
st_add_route (const char *host)
{
  extra_host = host;
}

void
st_change_config (void)
{
  static int version = 4;
  char value[2048];
  char extra[512] = "";

  version += 3;
  if (extra_host)
    snprintf (extra, sizeof extra,
              ",{\"name\":\"r1\",\"host\":\"%s\",\"service\":\"%s\","
              "\"type\":\"%s\",\"timeoutMs\":%d,\"latencySloMs\":%d,"
              "\"priority\":1,\"maxStalenessMs\":1500}",
              extra_host, o.service, o.type, o.timeout_ms, o.objective_ms);

  snprintf (value, sizeof value,
            "{\"version\":%d,\"services\":[{\"name\":\"%s\",\"maxConns\":%d,"
            "\"syncReplicas\":%d}],\"routes\":[{\"name\":\"r0\",\"host\":"
            "\"%s\",\"service\":\"%s\",\"type\":\"%s\",\"timeoutMs\":%d,"
            "\"latencySloMs\":%d,\"priority\":1,\"maxStalenessMs\":1500}%s],"
            "\"limits\":{\"txIdleMs\":10000}}",
            version, o.service, o.max_conns, o.sync_replicas, o.host, o.service, o.type,
            o.timeout_ms, o.objective_ms, extra);
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
      i->lag_ms = REPLICA_LAG_MS;
      start_listener (i->fd, serve_instance, n);
      pthread_mutex_lock (&lock);
      set_entry (n);
      pthread_mutex_unlock (&lock);
    }
  st_change_config ();
}

bool
st_has_run (const char *id, char *text, size_t size)
{
  bool found = false;

  pthread_mutex_lock (&lock);
  for (int n = 0; n < n_runs && !found; n++)
    if (strcmp (runs[n].id, id) == 0)
      {
        found = true;
        snprintf (text, size, "%s", runs[n].text);
      }
  pthread_mutex_unlock (&lock);
  return found;
}

/* Proxies.  */

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
connect_to (const char *ip, uint16_t port, const struct st_link *link)
{
  struct sockaddr_in a = { .sin_family = AF_INET, .sin_port = htons (port) };
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  int on = 1;

  inet_pton (AF_INET, ip, &a.sin_addr);
  setsockopt (fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  if (link && link->segment_bytes > 0)
    setsockopt (fd, IPPROTO_TCP, TCP_MAXSEG, &link->segment_bytes,
                sizeof link->segment_bytes);
  if (link && link->buffer_bytes > 0)
    setsockopt (fd, SOL_SOCKET, SO_RCVBUF, &link->buffer_bytes,
                sizeof link->buffer_bytes);
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
  fd = connect_to (ip, base_port + 1, NULL);
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

long
st_proxy_rss_kib (int n)
{
  char path[64];
  char line[256];
  long kib = -1;
  FILE *f;

  snprintf (path, sizeof path, "/proc/%d/status", (int)pids[n]);
  f = fopen (path, "r");
  while (f && fgets (line, sizeof line, f))
    sscanf (line, "VmRSS: %ld", &kib);
  if (f)
    fclose (f);
  return kib;
}

/* Clients.  */

bool
st_can_start (int n, const char *host, char *what, size_t size)
{
  struct st_client c = { 0 };
  char ip[32];
  char line[128];
  struct st_answer a = { 0 };

  proxy_ip (n, ip, sizeof ip);
  c.fd = connect_to (ip, base_port, NULL);
  if (c.fd < 0)
    return false;
  c.size = 65536;
  c.in = malloc (c.size);
  snprintf (line, sizeof line, "STARTUP %s u1\r\n", host);
  st_send (&c, line, strlen (line));
  st_answer (&c, st_now_ms () + 2000, &a);
  snprintf (what, size, "%s", a.complete ? "READY" : a.end);
  st_disconnect (&c);
  return a.complete;
}

bool
st_try_connect (struct st_client *c, int n, const struct st_link *link)
{
  char ip[32];
  char line[128];
  struct st_answer a;

  memset (c, 0, sizeof *c);
  proxy_ip (n, ip, sizeof ip);
  c->fd = connect_to (ip, base_port, link);
  if (c->fd < 0)
    return false;
  c->bytes_per_s = link ? link->bytes_per_s : 0;
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
st_connect (struct st_client *c, int n, const struct st_link *link)
{
  if (!st_try_connect (c, n, link))
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

/* How much to read now, so that the rate of the link is kept.  */
static size_t
read_size (const struct st_client *c)
{
  size_t free_bytes = c->size - c->len;
  size_t step = (size_t)c->bytes_per_s / 100;

  if (c->bytes_per_s == 0)
    return free_bytes;
  usleep (10000);
  return step < free_bytes ? step : free_bytes;
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
      n = recv (c->fd, c->in + c->len, read_size (c), 0);
      if (n <= 0)
        {
          a->ended = true;
          a->bytes += c->len;
          return;
        }
      c->len += (size_t)n;
    }
}
