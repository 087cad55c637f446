/* Queries the status of the proxies over HTTP, from a pool of threads.  */
#include "fleet.h"

#include "manifest.h"
#include <curl/curl.h>
#include <jansson.h>
#include <pthread.h>
#include <stdatomic.h>
#include <string.h>

/* Proxies queried at the same time.  */
#define QUERY_THREADS_MAX 64

static void
free_vm (gpointer data)
{
  struct fleet_vm *vm = data;

  g_free (vm->vm);
  g_free (vm->admin);
  g_free (vm->ready);
  g_free (vm->json);
  g_free (vm);
}

static void
add_vm (GPtrArray *out, const char *name, const char *admin)
{
  struct fleet_vm *vm = g_new0 (struct fleet_vm, 1);

  vm->vm = g_strdup (name);
  vm->admin = g_strdup (admin);
  g_ptr_array_add (out, vm);
}

/* Adds the proxy of a directory entry; skips malformed ones.  */
static void
add_entry (GPtrArray *out, const struct etcd_kv *kv)
{
  json_t *root = json_loadb (kv->value, kv->len, 0, NULL);
  const char *id;
  const char *admin;

  if (root
      && json_unpack (root, "{s:s, s:s}", "id", &id, "admin", &admin) == 0)
    add_vm (out, id, admin);
  json_decref (root);
}

GPtrArray *
fleet_list (struct etcd *etcd, const char *const *proxies, GError **error)
{
  GPtrArray *out = g_ptr_array_new_with_free_func (free_vm);
  GPtrArray *kvs;

  if (proxies && proxies[0])
    {
      for (uint32_t i = 0; proxies[i]; i++)
        add_vm (out, proxies[i], proxies[i]);
      return out;
    }
  kvs = etcd_range (etcd, MNF_VM_PREFIX, true, error);
  if (!kvs)
    {
      g_ptr_array_free (out, TRUE);
      return NULL;
    }
  for (uint32_t i = 0; i < kvs->len; i++)
    add_entry (out, g_ptr_array_index (kvs, i));
  g_ptr_array_free (kvs, TRUE);
  return out;
}

static size_t
on_body (char *data, size_t size, size_t n, void *arg)
{
  g_string_append_len (arg, data, (gssize)(size * n));
  return size * n;
}

/* Fills in VM from the status in TEXT.  Leaves it unreachable when TEXT is not
   a status.  */
static void
read_status (struct fleet_vm *vm, const GString *text)
{
  json_t *root = json_loadb (text->str, text->len, 0, NULL);
  json_int_t revision;
  const char *ready;
  const char *name;

  if (root
      && json_unpack (root, "{s:s, s:I, s:s}", "vm", &name, "revision",
                      &revision, "ready", &ready)
             == 0)
    {
      vm->reachable = true;
      vm->revision = (uint64_t)revision;
      g_free (vm->ready);
      vm->ready = g_strdup (ready);
      g_free (vm->vm);
      vm->vm = g_strdup (name);
      g_free (vm->json);
      vm->json = g_strdup (text->str);
    }
  json_decref (root);
}

static void
query_vm (struct fleet_vm *vm, int64_t timeout_ms)
{
  CURL *curl = curl_easy_init ();
  GString *text = g_string_new (NULL);
  char *url = g_strdup_printf ("http://%s/v1/status", vm->admin);

  vm->reachable = false;
  curl_easy_setopt (curl, CURLOPT_URL, url);
  curl_easy_setopt (curl, CURLOPT_TIMEOUT_MS, (long)timeout_ms);
  curl_easy_setopt (curl, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt (curl, CURLOPT_PROXY, "");
  curl_easy_setopt (curl, CURLOPT_WRITEFUNCTION, on_body);
  curl_easy_setopt (curl, CURLOPT_WRITEDATA, text);
  if (curl_easy_perform (curl) == CURLE_OK)
    read_status (vm, text);
  curl_easy_cleanup (curl);
  g_string_free (text, TRUE);
  g_free (url);
}

/* The VMs to query, shared by the threads.  */
struct query_batch
{
  GPtrArray *vms;
  int64_t timeout_ms;
  _Atomic uint32_t next; /* index of the first VM not yet taken */
};

static void *
run_queries (void *arg)
{
  struct query_batch *r = arg;
  uint32_t i;

  while ((i = atomic_fetch_add (&r->next, 1)) < r->vms->len)
    query_vm (g_ptr_array_index (r->vms, i), r->timeout_ms);
  return NULL;
}

void
fleet_query_status (GPtrArray *vms, int64_t timeout_ms)
{
  struct query_batch r = { vms, timeout_ms, 0 };
  pthread_t threads[QUERY_THREADS_MAX];
  uint32_t n = 0;

  while (n < QUERY_THREADS_MAX && n < vms->len
         && pthread_create (&threads[n], NULL, run_queries, &r) == 0)
    n++;
  for (uint32_t i = 0; i < n; i++)
    pthread_join (threads[i], NULL);
}

uint32_t
fleet_count_current (const GPtrArray *vms, uint64_t revision)
{
  uint32_t n = 0;

  for (uint32_t i = 0; i < vms->len; i++)
    {
      const struct fleet_vm *vm = g_ptr_array_index (vms, i);

      n += vm->reachable && vm->revision >= revision;
    }
  return n;
}
