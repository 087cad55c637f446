/* Client of the platform's key-value store.  */
#include "etcd.h"

#include <curl/curl.h>
#include <jansson.h>
#include <string.h>

/* Largest reply accepted, in bytes: a full range of 1 MB values in
   base64.  */
#define REPLY_MAX_BYTES (64 * 1024 * 1024)

struct etcd
{
  struct etcd_options options;
  CURL *curl;
  uint32_t endpoint; /* index of the endpoint in use */
  uint32_t n_endpoints;
};

/* The callbacks of etcd_watch.  */
struct watch
{
  void (*changed) (void *arg);
  bool (*stop) (void *arg);
  void *arg;
};

GQuark
etcd_error_quark (void)
{
  return g_quark_from_static_string ("etcd-error");
}

struct etcd *
etcd_new (const struct etcd_options *options)
{
  struct etcd *e = g_new0 (struct etcd, 1);

  e->options = *options;
  e->n_endpoints = g_strv_length ((char **)options->endpoints);
  e->curl = curl_easy_init ();
  return e;
}

void
etcd_free (struct etcd *e)
{
  if (!e)
    return;
  curl_easy_cleanup (e->curl);
  g_free (e);
}

static size_t
append_reply (char *data, size_t size, size_t n, void *arg)
{
  GString *out = arg;

  if (out->len + size * n > REPLY_MAX_BYTES)
    return 0;
  g_string_append_len (out, data, (gssize)(size * n));
  return size * n;
}

static struct curl_slist *
make_headers (const struct etcd *e)
{
  struct curl_slist *headers
      = curl_slist_append (NULL, "Content-Type: application/json");
  char *token = NULL;
  char *line;

  if (e->options.token_file
      && g_file_get_contents (e->options.token_file, &token, NULL, NULL))
    {
      line = g_strdup_printf ("Authorization: %s", g_strstrip (token));
      headers = curl_slist_append (headers, line);
      g_free (line);
      g_free (token);
    }
  return headers;
}

static void
prepare_request (struct etcd *e, const char *path, const char *body,
                 struct curl_slist *headers)
{
  char *url
      = g_strdup_printf ("%s%s", e->options.endpoints[e->endpoint], path);

  curl_easy_reset (e->curl);
  curl_easy_setopt (e->curl, CURLOPT_URL, url);
  curl_easy_setopt (e->curl, CURLOPT_POSTFIELDSIZE, (long)strlen (body));
  curl_easy_setopt (e->curl, CURLOPT_COPYPOSTFIELDS, body);
  curl_easy_setopt (e->curl, CURLOPT_HTTPHEADER, headers);
  curl_easy_setopt (e->curl, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt (e->curl, CURLOPT_PROXY, "");
  if (e->options.ca_file)
    curl_easy_setopt (e->curl, CURLOPT_CAINFO, e->options.ca_file);
  g_free (url);
}

/* Posts REQUEST.  Returns the parsed reply, or NULL with ERROR set.  */
static json_t *
call (struct etcd *e, const char *path, json_t *request, GError **error)
{
  char *body = json_dumps (request, JSON_COMPACT);
  GString *reply = g_string_new (NULL);
  struct curl_slist *headers = make_headers (e);
  json_t *root = NULL;
  long status = 0;
  CURLcode code;

  prepare_request (e, path, body, headers);
  curl_easy_setopt (e->curl, CURLOPT_TIMEOUT_MS, (long)e->options.timeout_ms);
  curl_easy_setopt (e->curl, CURLOPT_WRITEFUNCTION, append_reply);
  curl_easy_setopt (e->curl, CURLOPT_WRITEDATA, reply);
  code = curl_easy_perform (e->curl);
  curl_easy_getinfo (e->curl, CURLINFO_RESPONSE_CODE, &status);
  if (code != CURLE_OK || status >= 500)
    {
      g_set_error (error, ETCD_ERROR, ETCD_ERROR_UNREACHABLE, "store %s%s: %s",
                   e->options.endpoints[e->endpoint], path,
                   code != CURLE_OK ? curl_easy_strerror (code)
                                    : "the store reported a server error");
      /* The next call tries another endpoint.  */
      e->endpoint = (e->endpoint + 1) % MAX (1, e->n_endpoints);
    }
  else if (status != 200
           || !(root = json_loadb (reply->str, reply->len, 0, NULL)))
    g_set_error (error, ETCD_ERROR, ETCD_ERROR_REPLY,
                 "store %s%s: unexpected reply, status %ld",
                 e->options.endpoints[e->endpoint], path, status);
  curl_slist_free_all (headers);
  g_string_free (reply, TRUE);
  free (body);
  return root;
}

static json_t *
base64_string (const char *data, size_t len)
{
  char *text = g_base64_encode ((const guchar *)data, len);
  json_t *value = json_string (text);

  g_free (text);
  return value;
}

/* Returns the end of the range that holds all keys starting with PREFIX: the
   prefix with its last byte incremented, in base64.  */
static json_t *
prefix_range_end (const char *prefix)
{
  char *end = g_strdup (prefix);
  json_t *value;

  end[strlen (end) - 1]++;
  value = base64_string (end, strlen (end));
  g_free (end);
  return value;
}

static void
free_kv (gpointer data)
{
  struct etcd_kv *kv = data;

  g_free (kv->key);
  g_free (kv->value);
  g_free (kv);
}

/* The gateway encodes 64-bit numbers as JSON strings.  */
static int64_t
json_to_int64 (json_t *value)
{
  if (json_is_string (value))
    return g_ascii_strtoll (json_string_value (value), NULL, 10);
  return json_integer_value (value);
}

static struct etcd_kv *
parse_kv (json_t *item)
{
  struct etcd_kv *kv = g_new0 (struct etcd_kv, 1);
  const char *key = json_string_value (json_object_get (item, "key"));
  const char *value = json_string_value (json_object_get (item, "value"));
  gsize len;
  guchar *raw;

  raw = g_base64_decode (key ? key : "", &len);
  kv->key = g_strndup ((char *)raw, len);
  g_free (raw);
  raw = g_base64_decode (value ? value : "", &len);
  kv->value = g_malloc0 (len + 1);
  if (len > 0)
    memcpy (kv->value, raw, len);
  kv->len = len;
  g_free (raw);
  kv->mod_revision = json_to_int64 (json_object_get (item, "mod_revision"));
  return kv;
}

GPtrArray *
etcd_range (struct etcd *e, const char *key, bool prefix, GError **error)
{
  json_t *request
      = json_pack ("{s:o}", "key", base64_string (key, strlen (key)));
  json_t *reply;
  GPtrArray *out = NULL;
  size_t i;
  json_t *item;

  if (prefix)
    json_object_set_new (request, "range_end", prefix_range_end (key));
  reply = call (e, "/v3/kv/range", request, error);
  if (reply)
    {
      out = g_ptr_array_new_with_free_func (free_kv);
      json_array_foreach (json_object_get (reply, "kvs"), i, item)
        g_ptr_array_add (out, parse_kv (item));
    }
  json_decref (reply);
  json_decref (request);
  return out;
}

bool
etcd_txn (struct etcd *e, const struct etcd_cas *cas, bool *succeeded,
          GError **error)
{
  json_t *operations = json_array ();
  char *revision = g_strdup_printf ("%ld", cas->mod_revision);
  json_t *request;
  json_t *reply;

  for (uint32_t i = 0; i < cas->n_puts; i++)
    json_array_append_new (
        operations,
        json_pack ("{s:{s:o, s:o}}", "requestPut", "key",
                   base64_string (cas->puts[i].key, strlen (cas->puts[i].key)),
                   "value",
                   base64_string (cas->puts[i].value, cas->puts[i].len)));
  for (uint32_t i = 0; i < cas->n_deletes; i++)
    json_array_append_new (
        operations,
        json_pack ("{s:{s:o}}", "requestDeleteRange", "key",
                   base64_string (cas->deletes[i], strlen (cas->deletes[i]))));
  request = json_pack ("{s:[{s:o, s:s, s:s, s:s}], s:o}", "compare", "key",
                       base64_string (cas->key, strlen (cas->key)), "target",
                       "MOD", "result", "EQUAL", "mod_revision", revision,
                       "success", operations);
  reply = call (e, "/v3/kv/txn", request, error);
  *succeeded = json_is_true (json_object_get (reply, "succeeded"));
  json_decref (request);
  g_free (revision);
  if (!reply)
    return false;
  json_decref (reply);
  return true;
}

static size_t
on_watch_data (char *data, size_t size, size_t n, void *arg)
{
  struct watch *w = arg;

  /* Each line is one watch message.  Its content is ignored: the consumer
     reads the key again with a range request.  */
  for (size_t i = 0; i < size * n; i++)
    if (data[i] == '\n')
      w->changed (w->arg);
  return size * n;
}

static int
on_progress (void *arg, curl_off_t a, curl_off_t b, curl_off_t c, curl_off_t d)
{
  struct watch *w = arg;

  (void)a;
  (void)b;
  (void)c;
  (void)d;
  return w->stop (w->arg);
}

void
etcd_watch (struct etcd *e, const char *key, void (*changed) (void *arg),
            bool (*stop) (void *arg), void *arg)
{
  json_t *request = json_pack ("{s:{s:o}}", "create_request", "key",
                               base64_string (key, strlen (key)));
  char *body = json_dumps (request, JSON_COMPACT);
  struct curl_slist *headers = make_headers (e);
  struct watch w = { changed, stop, arg };

  prepare_request (e, "/v3/watch", body, headers);
  curl_easy_setopt (e->curl, CURLOPT_CONNECTTIMEOUT_MS,
                    (long)e->options.timeout_ms);
  curl_easy_setopt (e->curl, CURLOPT_TCP_KEEPALIVE, 1L);
  curl_easy_setopt (e->curl, CURLOPT_WRITEFUNCTION, on_watch_data);
  curl_easy_setopt (e->curl, CURLOPT_WRITEDATA, &w);
  curl_easy_setopt (e->curl, CURLOPT_NOPROGRESS, 0L);
  curl_easy_setopt (e->curl, CURLOPT_XFERINFOFUNCTION, on_progress);
  curl_easy_setopt (e->curl, CURLOPT_XFERINFODATA, &w);
  if (curl_easy_perform (e->curl) != CURLE_OK)
    e->endpoint = (e->endpoint + 1) % MAX (1, e->n_endpoints);
  curl_slist_free_all (headers);
  free (body);
  json_decref (request);
}
