/* Fake of the platform's key-value service: range, txn, watch and lease grant
   of etcd's v3 JSON gateway over HTTP, with faults that are set by
   POST /control {"down":b, "slow_ms":n, "drop_answers":n}.  down: calls are
   closed without a reply.  slow_ms: each call is delayed by n ms.
   drop_answers: the next n transactions run but their replies are not
   sent.  */
#include <civetweb.h>
#include <glib.h>
#include <jansson.h>
#include <pthread.h>
#include <signal.h>
#include <stdbool.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

struct entry
{
  char *value; /* base64, as received */
  int64_t mod_revision;
  int64_t expires_us; /* 0: never */
};

static struct
{
  pthread_mutex_t lock;
  pthread_cond_t changed;
  GTree *keys; /* base64-decoded key -> struct entry * */
  int64_t revision;
  bool down;
  int64_t slow_ms;
  int64_t drop_answers;
  int64_t calls;
  int64_t leases; /* granted so far; the id is the expiry time */
} store;

static _Atomic int stopping;

static void
on_signal (int signal)
{
  stopping = signal;
}

static void
free_entry (gpointer data)
{
  struct entry *e = data;

  g_free (e->value);
  g_free (e);
}

static json_t *
read_json (struct mg_connection *conn)
{
  GString *text = g_string_new (NULL);
  char chunk[8192];
  json_t *root;
  int n;

  while ((n = mg_read (conn, chunk, sizeof chunk)) > 0)
    g_string_append_len (text, chunk, n);
  root = json_loadb (text->str, text->len, 0, NULL);
  g_string_free (text, TRUE);
  return root;
}

static void
send_json (struct mg_connection *conn, json_t *root)
{
  char *text = json_dumps (root, JSON_COMPACT);

  mg_printf (conn,
             "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
             "Content-Length: %zu\r\n\r\n",
             strlen (text));
  mg_write (conn, text, strlen (text));
  free (text);
  json_decref (root);
}

static char *
decode (json_t *value)
{
  gsize len;
  guchar *raw = g_base64_decode (
      json_string_value (value) ? json_string_value (value) : "", &len);
  char *text = g_strndup ((char *)raw, len);

  g_free (raw);
  return text;
}

static json_t *
json_number_text (int64_t n)
{
  char text[24];

  snprintf (text, sizeof text, "%ld", n);
  return json_string (text);
}

/* Counts the call and waits slow_ms; false when the service is down.  */
static bool
begin_call (void)
{
  struct timespec pause;
  bool down;

  pthread_mutex_lock (&store.lock);
  store.calls++;
  pause.tv_sec = store.slow_ms / 1000;
  pause.tv_nsec = store.slow_ms % 1000 * 1000000;
  down = store.down;
  pthread_mutex_unlock (&store.lock);
  if (pause.tv_sec > 0 || pause.tv_nsec > 0)
    nanosleep (&pause, NULL);
  return !down;
}

struct range_query
{
  const char *from;
  const char *end; /* NULL to match the key FROM only */
  json_t *out;
};

static gboolean
append_if_in_range (gpointer key, gpointer value, gpointer data)
{
  struct range_query *s = data;
  const struct entry *e = value;
  char *text;
  bool matches = s->end
                     ? strcmp (key, s->from) >= 0 && strcmp (key, s->end) < 0
                     : strcmp (key, s->from) == 0;

  if (!matches
      || (e->expires_us > 0 && e->expires_us < g_get_monotonic_time ()))
    return FALSE;
  text = g_base64_encode (key, strlen (key));
  json_array_append_new (
      s->out, json_pack ("{s:s, s:s, s:o}", "key", text, "value", e->value,
                         "mod_revision", json_number_text (e->mod_revision)));
  g_free (text);
  return FALSE;
}

static int
on_range (struct mg_connection *conn, void *arg)
{
  json_t *root = read_json (conn);
  char *key = decode (json_object_get (root, "key"));
  json_t *range_end = json_object_get (root, "range_end");
  char *end = range_end ? decode (range_end) : NULL;
  struct range_query s = { key, end, json_array () };

  (void)arg;
  if (begin_call ())
    {
      pthread_mutex_lock (&store.lock);
      g_tree_foreach (store.keys, append_if_in_range, &s);
      pthread_mutex_unlock (&store.lock);
      send_json (conn, json_pack ("{s:O}", "kvs", s.out));
    }
  json_decref (s.out);
  json_decref (root);
  g_free (key);
  g_free (end);
  return 1;
}

static int64_t
find_revision (const char *key)
{
  const struct entry *e = g_tree_lookup (store.keys, key);

  return e ? e->mod_revision : 0;
}

static bool
check_compare (json_t *root)
{
  json_t *list = json_object_get (root, "compare");
  size_t i;
  json_t *item;

  json_array_foreach (list, i, item)
    {
      char *key = decode (json_object_get (item, "key"));
      const char *text
          = json_string_value (json_object_get (item, "mod_revision"));
      bool holds = find_revision (key) == atoll (text ? text : "0");

      g_free (key);
      if (!holds)
        return false;
    }
  return true;
}

static void
put (json_t *request)
{
  struct entry *e = g_new0 (struct entry, 1);
  const char *value = json_string_value (json_object_get (request, "value"));
  const char *lease = json_string_value (json_object_get (request, "lease"));

  e->value = g_strdup (value ? value : "");
  e->mod_revision = store.revision;
  e->expires_us = lease ? atoll (lease) : 0;
  g_tree_replace (store.keys, decode (json_object_get (request, "key")), e);
}

static void
run_success (json_t *root)
{
  json_t *list = json_object_get (root, "success");
  size_t i;
  json_t *item;

  store.revision++;
  json_array_foreach (list, i, item)
    {
      json_t *request = json_object_get (item, "requestPut");
      json_t *deletion = json_object_get (item, "requestDeleteRange");

      if (request)
        put (request);
      if (deletion)
        {
          char *key = decode (json_object_get (deletion, "key"));

          g_tree_remove (store.keys, key);
          g_free (key);
        }
    }
  pthread_cond_broadcast (&store.changed);
}

static int
on_txn (struct mg_connection *conn, void *arg)
{
  json_t *root = read_json (conn);
  bool drop = false;
  bool holds;

  (void)arg;
  if (begin_call ())
    {
      pthread_mutex_lock (&store.lock);
      holds = check_compare (root);
      if (holds)
        run_success (root);
      if (store.drop_answers > 0)
        {
          store.drop_answers--;
          drop = true;
        }
      pthread_mutex_unlock (&store.lock);
      if (!drop)
        send_json (conn, json_pack ("{s:b}", "succeeded", holds));
    }
  json_decref (root);
  return 1;
}

/* Sends an empty result at the start and after each change of any key.  */
static int
on_watch (struct mg_connection *conn, void *arg)
{
  json_t *root = read_json (conn);
  struct timespec until;
  int64_t seen;
  bool alive = true;

  (void)arg;
  json_decref (root);
  if (!begin_call ())
    return 1;
  mg_printf (conn, "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
                   "Transfer-Encoding: chunked\r\n\r\n");
  pthread_mutex_lock (&store.lock);
  seen = -1;
  while (alive && !stopping && !store.down)
    {
      if (store.revision != seen)
        {
          seen = store.revision;
          pthread_mutex_unlock (&store.lock);
          alive = mg_send_chunk (conn, "{\"result\":{}}\n", 14) >= 0;
          pthread_mutex_lock (&store.lock);
          continue;
        }
      clock_gettime (CLOCK_REALTIME, &until);
      until.tv_nsec += 100 * 1000000;
      if (until.tv_nsec >= 1000000000)
        {
          until.tv_sec++;
          until.tv_nsec -= 1000000000;
        }
      pthread_cond_timedwait (&store.changed, &store.lock, &until);
    }
  pthread_mutex_unlock (&store.lock);
  return 1;
}

static int
on_lease (struct mg_connection *conn, void *arg)
{
  json_t *root = read_json (conn);
  json_t *ttl = json_object_get (root, "TTL");
  int64_t seconds = json_is_string (ttl) ? atoll (json_string_value (ttl))
                                         : json_integer_value (ttl);

  (void)arg;
  if (begin_call ())
    send_json (conn, json_pack ("{s:o}", "ID",
                                json_number_text (g_get_monotonic_time ()
                                                  + seconds * 1000000)));
  json_decref (root);
  return 1;
}

static int
on_control (struct mg_connection *conn, void *arg)
{
  json_t *root = read_json (conn);
  json_t *value;

  (void)arg;
  pthread_mutex_lock (&store.lock);
  if ((value = json_object_get (root, "down")))
    store.down = json_is_true (value);
  if ((value = json_object_get (root, "slow_ms")))
    store.slow_ms = json_integer_value (value);
  if ((value = json_object_get (root, "drop_answers")))
    store.drop_answers = json_integer_value (value);
  pthread_cond_broadcast (&store.changed);
  pthread_mutex_unlock (&store.lock);
  send_json (conn, json_pack ("{s:I}", "calls", (json_int_t)store.calls));
  json_decref (root);
  return 1;
}

static int
compare_keys (gconstpointer a, gconstpointer b, gpointer data)
{
  (void)data;
  return strcmp (a, b);
}

int
main (int argc, char **argv)
{
  const char *options[]
      = { "listening_ports", argc > 1 ? argv[1] : "127.0.0.1:2379",
          "num_threads", argc > 2 ? argv[2] : "64", NULL };
  struct mg_callbacks callbacks = { 0 };
  struct timespec pause = { 0, 20 * 1000000 };
  struct mg_context *context;

  signal (SIGTERM, on_signal);
  signal (SIGINT, on_signal);
  pthread_mutex_init (&store.lock, NULL);
  pthread_cond_init (&store.changed, NULL);
  store.keys = g_tree_new_full (compare_keys, NULL, g_free, free_entry);
  store.revision = 1;
  context = mg_start (&callbacks, NULL, options);
  if (!context)
    {
      fprintf (stderr, "fake-store: cannot listen on %s\n", options[1]);
      return 1;
    }
  mg_set_request_handler (context, "/v3/kv/range", on_range, NULL);
  mg_set_request_handler (context, "/v3/kv/txn", on_txn, NULL);
  mg_set_request_handler (context, "/v3/watch", on_watch, NULL);
  mg_set_request_handler (context, "/v3/lease/grant", on_lease, NULL);
  mg_set_request_handler (context, "/control", on_control, NULL);
  while (!stopping)
    nanosleep (&pause, NULL);
  mg_stop (context);
  g_tree_destroy (store.keys);
  return 0;
}
