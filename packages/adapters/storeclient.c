/* The store port on threads.  */
#include "storeclient.h"

#include <pthread.h>
#include <stdatomic.h>
#include <string.h>
#include <time.h>

/* Pause before a broken watch is opened again.  */
#define WATCH_RETRY_MS 1000

struct job
{
  enum store_what what;
  char *hash;
  struct job *next;
};

/* A finished read on its way to the engine.  */
struct result
{
  struct mail mail;
  struct storeclient *store;
  enum store_what what;
  char *hash;
  char *text; /* NULL: failed */
  size_t len;
  bool watch; /* a change, not a read */
};

struct storeclient
{
  struct store_port port;
  struct etcd_options options;
  struct mailbox *mailbox;
  struct node *const *node;
  pthread_t reader;
  pthread_t watcher;
  pthread_mutex_t lock;
  pthread_cond_t work;
  pthread_cond_t stopped;
  struct job *head; /* guarded by LOCK */
  struct job *tail;
  _Atomic bool watch_on;
  _Atomic bool stopping;
};

static void
deliver (struct mail *mail, void *engine)
{
  struct result *r = (struct result *)mail;
  struct node *node = *r->store->node;

  (void)engine;
  if (r->watch)
    node_on_watch (node, loop_now_us ());
  else
    node_on_store (node, r->what, r->hash, r->text, r->len, loop_now_us ());
  g_free (r->hash);
  g_free (r->text);
  g_free (r);
}

static void
push_result (struct storeclient *s, struct result *r)
{
  r->store = s;
  r->mail.fn = deliver;
  mailbox_push (s->mailbox, &r->mail);
}

/* All values of the platform's list as one JSON array.  */
static void
join_values (GPtrArray *kvs, struct result *r)
{
  GString *out = g_string_new ("[");

  for (uint32_t i = 0; i < kvs->len; i++)
    {
      const struct etcd_kv *kv = g_ptr_array_index (kvs, i);

      g_string_append (out, i ? "," : "");
      g_string_append_len (out, kv->value, (gssize)kv->len);
    }
  g_string_append_c (out, ']');
  r->len = out->len;
  r->text = g_string_free (out, FALSE);
}

static void
run_job (struct storeclient *s, struct etcd *etcd, struct job *job)
{
  char *blob = g_strconcat (MNF_BLOB_PREFIX, job->hash, NULL);
  const char *key = job->what == STORE_MANIFEST ? MNF_KEY
                    : job->what == STORE_VMS    ? MNF_VM_PREFIX
                                                : blob;
  struct result *r = g_new0 (struct result, 1);
  GError *error = NULL;
  GPtrArray *kvs = etcd_range (etcd, key, job->what == STORE_VMS, &error);
  struct etcd_kv *kv;

  r->what = job->what;
  r->hash = g_strdup (job->hash);
  if (!kvs)
    g_info ("%s", error->message);
  else if (job->what == STORE_VMS)
    join_values (kvs, r);
  else if (kvs->len > 0)
    {
      kv = g_ptr_array_index (kvs, 0);
      r->text = g_steal_pointer (&kv->value);
      r->len = kv->len;
    }
  else if (job->what == STORE_MANIFEST)
    r->text = g_strdup ("");
  g_clear_error (&error);
  if (kvs)
    g_ptr_array_free (kvs, TRUE);
  g_free (blob);
  push_result (s, r);
}

static struct job *
next_job (struct storeclient *s)
{
  struct job *job;

  pthread_mutex_lock (&s->lock);
  while (!s->head && !atomic_load (&s->stopping))
    pthread_cond_wait (&s->work, &s->lock);
  job = s->head;
  if (job)
    {
      s->head = job->next;
      if (!s->head)
        s->tail = NULL;
    }
  pthread_mutex_unlock (&s->lock);
  return job;
}

static void
free_job (struct job *job)
{
  g_free (job->hash);
  g_free (job);
}

static void *
run_reader (void *arg)
{
  struct storeclient *s = arg;
  struct etcd *etcd = etcd_new (&s->options);
  struct job *job;

  while ((job = next_job (s)) != NULL)
    {
      if (!atomic_load (&s->stopping))
        run_job (s, etcd, job);
      free_job (job);
    }
  etcd_free (etcd);
  return NULL;
}

static void
on_changed (void *arg)
{
  struct result *r = g_new0 (struct result, 1);

  r->watch = true;
  push_result (arg, r);
}

static bool
should_stop (void *arg)
{
  struct storeclient *s = arg;

  return atomic_load (&s->stopping) || !atomic_load (&s->watch_on);
}

/* Waits for WATCH_RETRY_MS or the stop.  */
static void
pause_watcher (struct storeclient *s)
{
  struct timespec until;

  clock_gettime (CLOCK_REALTIME, &until);
  until.tv_sec += WATCH_RETRY_MS / 1000;
  pthread_mutex_lock (&s->lock);
  if (!atomic_load (&s->stopping))
    pthread_cond_timedwait (&s->stopped, &s->lock, &until);
  pthread_mutex_unlock (&s->lock);
}

static void *
run_watcher (void *arg)
{
  struct storeclient *s = arg;
  struct etcd *etcd = etcd_new (&s->options);

  while (!atomic_load (&s->stopping))
    {
      if (atomic_load (&s->watch_on))
        etcd_watch (etcd, MNF_KEY, on_changed, should_stop, s);
      pause_watcher (s);
    }
  etcd_free (etcd);
  return NULL;
}

static void
port_read (struct store_port *port, enum store_what what, const char *hash)
{
  struct storeclient *s = (struct storeclient *)port;
  struct job *job = g_new0 (struct job, 1);

  job->what = what;
  job->hash = g_strdup (hash ? hash : "");
  pthread_mutex_lock (&s->lock);
  if (s->tail)
    s->tail->next = job;
  else
    s->head = job;
  s->tail = job;
  pthread_cond_signal (&s->work);
  pthread_mutex_unlock (&s->lock);
}

static void
port_watch (struct store_port *port, bool on)
{
  struct storeclient *s = (struct storeclient *)port;

  atomic_store (&s->watch_on, on);
}

static const struct store_port_ops port_ops = { port_read, port_watch };

struct storeclient *
storeclient_new (const struct etcd_options *options, struct mailbox *mailbox,
               struct node *const *node)
{
  struct storeclient *s = g_new0 (struct storeclient, 1);

  s->port.ops = &port_ops;
  s->options = *options;
  s->mailbox = mailbox;
  s->node = node;
  pthread_mutex_init (&s->lock, NULL);
  pthread_cond_init (&s->work, NULL);
  pthread_cond_init (&s->stopped, NULL);
  pthread_create (&s->reader, NULL, run_reader, s);
  pthread_create (&s->watcher, NULL, run_watcher, s);
  return s;
}

void
storeclient_free (struct storeclient *s)
{
  struct job *job;

  if (!s)
    return;
  pthread_mutex_lock (&s->lock);
  atomic_store (&s->stopping, true);
  pthread_cond_broadcast (&s->work);
  pthread_cond_broadcast (&s->stopped);
  pthread_mutex_unlock (&s->lock);
  pthread_join (s->reader, NULL);
  pthread_join (s->watcher, NULL);
  while ((job = s->head) != NULL)
    {
      s->head = job->next;
      free_job (job);
    }
  pthread_mutex_destroy (&s->lock);
  pthread_cond_destroy (&s->work);
  g_free (s);
}

struct store_port *
storeclient_port (struct storeclient *s)
{
  return &s->port;
}
