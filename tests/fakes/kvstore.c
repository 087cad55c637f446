/* Fake of the platform's key-value store.  */
#include "kvstore.h"

#include <civetweb.h>
#include <jansson.h>
#include <stdlib.h>
#include <string.h>

#define THREADS "48"
#define BODY_MAX (1024 * 1024)
#define SLOW_MS 300
/* Longer than clients wait for a reply.  */
#define SILENT_MS 3000
#define PAGE_SIZE_DEFAULT 500
#define POLL_MS 50

struct item
{
  char *key;
  char *value; /* base64 text, NULL in a tombstone */
  uint64_t revision;
  uint64_t created_revision;
  uint64_t lease;
};

struct kvs
{
  struct mg_context *context;
  GMutex lock;
  GCond changed;
  uint64_t era;
  uint64_t revision;
  uint64_t compacted_revision; /* events up to here are dropped */
  uint64_t next_lease;
  GHashTable *items;  /* key -> struct item * */
  GPtrArray *history; /* struct item *, oldest first */
  GHashTable *copy;   /* items at COPY_REVISION, without leases */
  uint64_t copy_revision;
  GHashTable *leases;     /* id -> int64_t *, expiry time in us */
  GHashTable *lease_ttls; /* id -> int64_t *, time to live in us */
  enum kvs_fault fault;
  uint32_t page_size; /* items of one page of a listing */
  bool stopping;
  kvs_promote_fn *promote;
  void *arg;
};

static void
free_item (gpointer data)
{
  struct item *i = data;

  g_free (i->key);
  g_free (i->value);
  g_free (i);
}

static struct item *
copy_item (const struct item *i)
{
  struct item *copy = g_memdup2 (i, sizeof *i);

  copy->key = g_strdup (i->key);
  copy->value = g_strdup (i->value);
  return copy;
}

/* Sets KEY to VALUE (base64) or, if that is NULL, removes it.  The lock must
   be held.  */
static void
write_key (struct kvs *s, const char *key, const char *value, uint64_t lease)
{
  struct item *old = g_hash_table_lookup (s->items, key);
  struct item *new = g_new0 (struct item, 1);

  if (!value && !old)
    {
      g_free (new);
      return;
    }
  new->key = g_strdup (key);
  new->value = g_strdup (value);
  new->revision = ++s->revision;
  new->created_revision = old ? old->created_revision : new->revision;
  new->lease = lease;
  g_ptr_array_add (s->history, copy_item (new));
  if (value)
    g_hash_table_replace (s->items, new->key, new);
  else
    {
      g_hash_table_remove (s->items, key);
      free_item (new);
    }
  g_cond_broadcast (&s->changed);
}

static void
end_lease (struct kvs *s, uint64_t lease)
{
  GHashTableIter iter;
  gpointer value;
  GPtrArray *keys = g_ptr_array_new_with_free_func (g_free);

  g_hash_table_iter_init (&iter, s->items);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    if (((struct item *)value)->lease == lease)
      g_ptr_array_add (keys, g_strdup (((struct item *)value)->key));
  for (guint i = 0; i < keys->len; i++)
    write_key (s, g_ptr_array_index (keys, i), NULL, 0);
  g_ptr_array_free (keys, TRUE);
  g_hash_table_remove (s->leases, GUINT_TO_POINTER (lease));
}

/* Ends at most one expired lease.  Called on each request to the store and
   while a watch waits.  */
static void
end_expired_lease (struct kvs *s)
{
  GHashTableIter iter;
  gpointer id;
  gpointer end;
  uint64_t ended = 0;

  g_hash_table_iter_init (&iter, s->leases);
  while (g_hash_table_iter_next (&iter, &id, &end))
    if (g_get_monotonic_time () > *(int64_t *)end)
      ended = GPOINTER_TO_UINT (id);
  if (ended > 0)
    end_lease (s, ended);
}

static json_t *
item_json (const struct item *i)
{
  if (!i->value)
    return json_pack ("{s:s,s:I,s:b}", "key", i->key, "revision",
                      (json_int_t)i->revision, "tombstone", 1);
  return json_pack ("{s:s,s:s,s:I,s:I,s:I}", "key", i->key, "value", i->value,
                    "revision", (json_int_t)i->revision, "createRev",
                    (json_int_t)i->created_revision, "leaseId",
                    (json_int_t)i->lease);
}

static int
reply (struct kvs *s, struct mg_connection *c, int status, json_t *body)
{
  char *text = body ? json_dumps (body, JSON_COMPACT) : NULL;

  mg_printf (c,
             "HTTP/1.1 %d X\r\nContent-Type: application/json\r\n"
             "Store-Era: %lu\r\nContent-Length: %zu\r\n\r\n%s",
             status, (unsigned long)s->era, text ? strlen (text) : 0,
             text ? text : "");
  free (text);
  json_decref (body);
  return status;
}

static char *
query_text (struct mg_connection *c, const char *name)
{
  const char *query = mg_get_request_info (c)->query_string;
  char value[512] = "";

  if (query)
    mg_get_var (query, strlen (query), name, value, sizeof value);
  return g_strdup (value);
}

static uint64_t
query_number (struct mg_connection *c, const char *name)
{
  char *text = query_text (c, name);
  uint64_t n = g_ascii_strtoull (text, NULL, 10);

  g_free (text);
  return n;
}

static json_t *
read_body (struct mg_connection *c)
{
  GString *body = g_string_new (NULL);
  char buffer[4096];
  int n;
  json_t *json;

  while (body->len < BODY_MAX && (n = mg_read (c, buffer, sizeof buffer)) > 0)
    g_string_append_len (body, buffer, n);
  json = json_loadb (body->str, body->len, 0, NULL);
  g_string_free (body, TRUE);
  return json;
}

/* Request handlers, called with the lock held.  Each returns an HTTP status
   and sets the body of the reply, NULL for none.  */

static int
get_key (struct kvs *s, struct mg_connection *c, json_t **reply_body)
{
  char *key = query_text (c, "key");
  struct item *i = g_hash_table_lookup (s->items, key);

  g_free (key);
  *reply_body = i ? item_json (i) : json_object ();
  json_object_set_new (*reply_body, "atRev",
                       json_integer ((json_int_t)s->revision));
  return i ? 200 : 404;
}

static gint
compare_keys (gconstpointer a, gconstpointer b)
{
  return strcmp (*(const char *const *)a, *(const char *const *)b);
}

/* Returns the keys with PREFIX that come after AFTER, in order.  */
static GPtrArray *
list_keys (struct kvs *s, const char *prefix, const char *after)
{
  GPtrArray *keys = g_ptr_array_new ();
  GHashTableIter iter;
  gpointer key;

  g_hash_table_iter_init (&iter, s->items);
  while (g_hash_table_iter_next (&iter, &key, NULL))
    if (g_str_has_prefix (key, prefix) && strcmp (key, after) > 0)
      g_ptr_array_add (keys, key);
  g_ptr_array_sort (keys, compare_keys);
  return keys;
}

static int
get_range (struct kvs *s, struct mg_connection *c, json_t **reply_body)
{
  char *prefix = query_text (c, "prefix");
  char *after = query_text (c, "after");
  GPtrArray *keys = list_keys (s, prefix, after);
  json_t *items = json_array ();
  guint n = MIN (keys->len, s->page_size);

  for (guint k = 0; k < n; k++)
    json_array_append_new (items, item_json (g_hash_table_lookup (
                                      s->items, g_ptr_array_index (keys, k))));
  *reply_body = json_pack ("{s:o,s:b,s:I}", "items", items, "hasMore",
                           n < keys->len, "atRev", (json_int_t)s->revision);
  g_ptr_array_free (keys, TRUE);
  g_free (prefix);
  g_free (after);
  return 200;
}

static json_t *
list_events (struct kvs *s, const char *prefix, uint64_t after)
{
  json_t *events = json_array ();

  for (guint i = 0; i < s->history->len; i++)
    {
      struct item *e = g_ptr_array_index (s->history, i);

      if (e->revision > after && g_str_has_prefix (e->key, prefix))
        json_array_append_new (events, item_json (e));
    }
  return events;
}

static int
wait_for_events (struct kvs *s, struct mg_connection *c, json_t **reply_body)
{
  char *prefix = query_text (c, "prefix");
  uint64_t after = query_number (c, "after");
  int64_t end_us
      = g_get_monotonic_time () + 1000 * (int64_t)query_number (c, "waitMs");
  json_t *events = list_events (s, prefix, after);

  while (json_array_size (events) == 0 && after >= s->compacted_revision
         && after <= s->revision && g_get_monotonic_time () < end_us
         && !s->stopping)
    {
      json_decref (events);
      g_cond_wait_until (&s->changed, &s->lock,
                         g_get_monotonic_time () + POLL_MS * 1000);
      end_expired_lease (s);
      events = list_events (s, prefix, after);
    }
  g_free (prefix);
  if (after < s->compacted_revision || after > s->revision)
    {
      json_decref (events);
      *reply_body = NULL;
      return 410;
    }
  *reply_body = json_pack ("{s:o,s:I}", "events", events, "atRev",
                           (json_int_t)s->revision);
  return 200;
}

static bool
check_expected (struct kvs *s, json_t *expected, json_t *items)
{
  bool holds = true;
  size_t i;
  json_t *e;

  json_array_foreach (expected, i, e)
    {
      const char *key = json_string_value (json_object_get (e, "key"));
      struct item *item = g_hash_table_lookup (s->items, key ? key : "");
      uint64_t revision
          = (uint64_t)json_integer_value (json_object_get (e, "revision"));

      holds = holds && revision == (item ? item->revision : 0);
      if (item)
        json_array_append_new (items, item_json (item));
    }
  return holds;
}

static int
run_transaction (struct kvs *s, json_t *body, json_t **reply_body)
{
  json_t *items = json_array ();
  size_t i;
  json_t *w;

  if (!check_expected (s, json_object_get (body, "expected"), items))
    {
      *reply_body = json_pack ("{s:o}", "items", items);
      return 412;
    }
  json_decref (items);
  json_array_foreach (json_object_get (body, "writes"), i, w)
    write_key (s, json_string_value (json_object_get (w, "key")),
               json_string_value (json_object_get (w, "value")),
               (uint64_t)json_integer_value (json_object_get (w, "leaseId")));
  *reply_body = json_pack ("{s:I}", "revision", (json_int_t)s->revision);
  return 200;
}

static void
extend_lease (struct kvs *s, uint64_t lease, int64_t ttl_us)
{
  int64_t *end = g_new (int64_t, 1);

  *end = g_get_monotonic_time () + ttl_us;
  g_hash_table_replace (s->leases, GUINT_TO_POINTER (lease), end);
}

static int
grant_lease (struct kvs *s, json_t *body, json_t **reply_body)
{
  int64_t ttl_ms = json_integer_value (json_object_get (body, "ttlMs"));
  int64_t *ttl_us = g_new (int64_t, 1);

  *ttl_us = ttl_ms * 1000;
  s->next_lease++;
  g_hash_table_replace (s->lease_ttls, GUINT_TO_POINTER (s->next_lease),
                        ttl_us);
  extend_lease (s, s->next_lease, *ttl_us);
  *reply_body = json_pack ("{s:I,s:I}", "leaseId", (json_int_t)s->next_lease,
                           "ttlMs", (json_int_t)ttl_ms);
  return 200;
}

static int
renew_lease (struct kvs *s, const char *uri, json_t **reply_body)
{
  uint64_t lease = g_ascii_strtoull (strrchr (uri, '/') + 1, NULL, 10);
  int64_t *ttl_us
      = g_hash_table_lookup (s->lease_ttls, GUINT_TO_POINTER (lease));

  *reply_body = NULL;
  if (!ttl_us || !g_hash_table_contains (s->leases, GUINT_TO_POINTER (lease)))
    return 404;
  extend_lease (s, lease, *ttl_us);
  *reply_body = json_pack ("{s:I}", "ttlMs", (json_int_t)*ttl_us / 1000);
  return 200;
}

static int
route (struct kvs *s, struct mg_connection *c, json_t *body,
       json_t **reply_body)
{
  const char *uri = mg_get_request_info (c)->local_uri;

  if (strcmp (uri, "/kv-key") == 0)
    return get_key (s, c, reply_body);
  if (strcmp (uri, "/kv-range") == 0)
    return get_range (s, c, reply_body);
  if (strcmp (uri, "/kv-watch") == 0)
    return wait_for_events (s, c, reply_body);
  if (strcmp (uri, "/kv-txn") == 0)
    return run_transaction (s, body, reply_body);
  if (strcmp (uri, "/kv-lease") == 0)
    return grant_lease (s, body, reply_body);
  if (g_str_has_prefix (uri, "/kv-keep/"))
    return renew_lease (s, uri, reply_body);
  if (g_str_has_prefix (uri, "/kv-lease-end/"))
    end_lease (s, g_ascii_strtoull (strrchr (uri, '/') + 1, NULL, 10));
  *reply_body = NULL;
  return 200;
}

static int
on_promote (struct kvs *s, struct mg_connection *c, json_t *body)
{
  const char *token = mg_get_header (c, "X-Fencing-Token");
  const char *service = json_string_value (json_object_get (body, "service"));
  const char *id = json_string_value (json_object_get (body, "id"));

  if (!token || !service || !id)
    return 400;
  return s->promote (s->arg, service, id, g_ascii_strtoull (token, NULL, 10));
}

static int
on_request (struct mg_connection *c, void *arg)
{
  struct kvs *s = arg;
  const char *method = mg_get_request_info (c)->request_method;
  bool writes = strcmp (method, "GET") != 0;
  json_t *body = writes ? read_body (c) : NULL;
  json_t *reply_body = NULL;
  enum kvs_fault fault;
  int status;

  g_mutex_lock (&s->lock);
  fault = s->fault;
  g_mutex_unlock (&s->lock);
  if (fault == KVS_SLOW)
    g_usleep (SLOW_MS * 1000);
  if (fault == KVS_SILENT)
    g_usleep (SILENT_MS * 1000);
  if (fault == KVS_BUSY || fault == KVS_SILENT)
    {
      json_decref (body);
      return reply (s, c, 503, NULL);
    }
  if (strcmp (mg_get_request_info (c)->local_uri, "/promote") == 0)
    status = on_promote (s, c, body);
  else
    {
      g_mutex_lock (&s->lock);
      end_expired_lease (s);
      status = route (s, c, body, &reply_body);
      g_mutex_unlock (&s->lock);
    }
  json_decref (body);
  if (fault != KVS_LOSE_REPLY || !writes)
    return reply (s, c, status, reply_body);
  /* The write was carried out, but its reply is never sent.  */
  json_decref (reply_body);
  return 200;
}

struct kvs *
kvs_new (const char *listen, kvs_promote_fn *promote, void *arg)
{
  struct kvs *s = g_new0 (struct kvs, 1);
  const char *settings[] = {
    "listening_ports",   listen, "num_threads", THREADS, "tcp_nodelay", "1",
    "enable_keep_alive", "yes",  NULL
  };
  struct mg_callbacks callbacks;

  memset (&callbacks, 0, sizeof callbacks);
  g_mutex_init (&s->lock);
  g_cond_init (&s->changed);
  s->era = 1;
  s->revision = 10;
  s->page_size = PAGE_SIZE_DEFAULT;
  s->items = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, free_item);
  s->history = g_ptr_array_new_with_free_func (free_item);
  s->copy = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, free_item);
  s->leases = g_hash_table_new_full (NULL, NULL, NULL, g_free);
  s->lease_ttls = g_hash_table_new_full (NULL, NULL, NULL, g_free);
  s->promote = promote;
  s->arg = arg;
  s->context = mg_start (&callbacks, s, settings);
  if (!s->context)
    {
      kvs_free (s);
      return NULL;
    }
  mg_set_request_handler (s->context, "/", on_request, s);
  return s;
}

void
kvs_free (struct kvs *s)
{
  g_mutex_lock (&s->lock);
  s->stopping = true;
  g_cond_broadcast (&s->changed);
  g_mutex_unlock (&s->lock);
  if (s->context)
    mg_stop (s->context);
  g_hash_table_destroy (s->items);
  g_ptr_array_free (s->history, TRUE);
  g_hash_table_destroy (s->copy);
  g_hash_table_destroy (s->leases);
  g_hash_table_destroy (s->lease_ttls);
  g_mutex_clear (&s->lock);
  g_cond_clear (&s->changed);
  g_free (s);
}

void
kvs_set_page_size (struct kvs *s, uint32_t items)
{
  g_mutex_lock (&s->lock);
  s->page_size = items;
  g_mutex_unlock (&s->lock);
}

void
kvs_set_fault (struct kvs *s, enum kvs_fault fault)
{
  g_mutex_lock (&s->lock);
  s->fault = fault;
  g_mutex_unlock (&s->lock);
}

void
kvs_compact (struct kvs *s)
{
  g_mutex_lock (&s->lock);
  s->compacted_revision = s->revision;
  g_ptr_array_set_size (s->history, 0);
  g_cond_broadcast (&s->changed);
  g_mutex_unlock (&s->lock);
}

void
kvs_copy (struct kvs *s)
{
  GHashTableIter iter;
  gpointer value;

  g_mutex_lock (&s->lock);
  g_hash_table_remove_all (s->copy);
  g_hash_table_iter_init (&iter, s->items);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    if (((struct item *)value)->lease == 0)
      {
        struct item *i = copy_item (value);

        g_hash_table_replace (s->copy, i->key, i);
      }
  s->copy_revision = s->revision;
  g_mutex_unlock (&s->lock);
}

void
kvs_restore_copy (struct kvs *s)
{
  GHashTableIter iter;
  gpointer value;

  g_mutex_lock (&s->lock);
  s->era++;
  s->revision = s->compacted_revision = s->copy_revision;
  g_ptr_array_set_size (s->history, 0);
  g_hash_table_remove_all (s->leases);
  g_hash_table_remove_all (s->items);
  g_hash_table_iter_init (&iter, s->copy);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      struct item *i = copy_item (value);

      g_hash_table_replace (s->items, i->key, i);
    }
  g_cond_broadcast (&s->changed);
  g_mutex_unlock (&s->lock);
}

bool
kvs_has (struct kvs *s, const char *key)
{
  bool found;

  g_mutex_lock (&s->lock);
  found = g_hash_table_contains (s->items, key);
  g_mutex_unlock (&s->lock);
  return found;
}

void
kvs_put (struct kvs *s, const char *key, const char *value)
{
  char *encoded
      = value ? g_base64_encode ((const guchar *)value, strlen (value)) : NULL;

  g_mutex_lock (&s->lock);
  write_key (s, key, encoded, 0);
  g_mutex_unlock (&s->lock);
  g_free (encoded);
}
