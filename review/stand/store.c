/* The platform's store and its promotion call.  */
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

pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;
static pthread_cond_t changed = PTHREAD_COND_INITIALIZER;
static bool is_cut[PROXIES_MAX];
static int n_lower_tokens;
static int claim_holder = -1;
static int64_t claim_revision;
struct st_options o;
static struct item items[ITEMS_MAX];
static struct event events[EVENTS_MAX];
static int n_events;
static int64_t revision = 10;
static struct lease leases[ITEMS_MAX];
static int n_leases;
struct instance instances[INSTANCES_MAX];
int term = 3;
struct commit commits[COMMITS_MAX];
int n_commits = FIRST_COMMIT;
int n_lost;
static uint64_t last_fence;

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

void *
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

void
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
void
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
  *reply = watch (key, atoll (after), atoll (wait));
  return 200;
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

bool
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
      ssize_t n
          = len + 1 < size ? recv (fd, buffer + len, size - 1 - len, 0) : 0;

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

void *
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

void
start_listener (int fd, void *(*serve) (void *), int index)
{
  struct listener *l = calloc (1, sizeof *l);

  l->fd = fd;
  l->serve = serve;
  l->index = index;
  start_thread (accept_all, l);
}
