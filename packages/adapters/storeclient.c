/* The store port, with blocking calls on threads of its own.  */
#include "storeclient.h"

#include <pthread.h>
#include <stdatomic.h>
#include <string.h>
#include <time.h>

/* Pause before a watch that has ended is opened again.  */
#define WATCH_RETRY_MS 1000

/* A read that waits for the reader thread.  */
struct read_job
{
  enum store_item item;
  char *hash; /* of the manifest blob to read, otherwise "" */
  struct read_job *next;
};

/* A finished read or a watch event on its way to the engine thread.  */
struct result
{
  struct mail mail;
  struct storeclient *store;
  enum store_item item;
  char *hash;
  char *text; /* NULL: the read failed */
  size_t len;
  bool watch; /* a change reported by the watch, not a read */
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
  pthread_cond_t work;    /* signalled when a job is queued */
  pthread_cond_t stopped; /* signalled by storeclient_free */
  struct read_job *head;  /* queue of reads, guarded by LOCK */
  struct read_job *tail;
  _Atomic bool watch_enabled;
  _Atomic bool stopping;
};

static void
deliver_result (struct mail *mail, void *engine)
{
  struct result *r = (struct result *)mail;
  struct node *node = *r->store->node;

  (void)engine;
  if (r->watch)
    node_on_store_changed (node, loop_now_us ());
  else
    node_on_store_read (node, r->item, r->hash, r->text, r->len,
                        loop_now_us ());
  g_free (r->hash);
  g_free (r->text);
  g_free (r);
}

static void
post_result (struct storeclient *s, struct result *r)
{
  r->store = s;
  r->mail.fn = deliver_result;
  mailbox_push (s->mailbox, &r->mail);
}

/* Sets the text of R to a JSON array of all values, which are JSON texts.  */
static void
set_values_as_array (GPtrArray *kvs, struct result *r)
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
run_read (struct storeclient *s, struct etcd *etcd, struct read_job *job)
{
  char *blob = g_strconcat (MNF_BLOB_PREFIX, job->hash, NULL);
  const char *key = job->item == STORE_MANIFEST ? MNF_KEY
                    : job->item == STORE_VMS    ? MNF_VM_PREFIX
                                                : blob;
  struct result *r = g_new0 (struct result, 1);
  GError *error = NULL;
  GPtrArray *kvs = etcd_range (etcd, key, job->item == STORE_VMS, &error);
  struct etcd_kv *kv;

  r->item = job->item;
  r->hash = g_strdup (job->hash);
  if (!kvs)
    g_info ("%s", error->message);
  else if (job->item == STORE_VMS)
    set_values_as_array (kvs, r);
  else if (kvs->len > 0)
    {
      kv = g_ptr_array_index (kvs, 0);
      r->text = g_steal_pointer (&kv->value);
      r->len = kv->len;
    }
  else if (job->item == STORE_MANIFEST)
    r->text = g_strdup ("");
  g_clear_error (&error);
  if (kvs)
    g_ptr_array_free (kvs, TRUE);
  g_free (blob);
  post_result (s, r);
}

static struct read_job *
wait_for_job (struct storeclient *s)
{
  struct read_job *job;

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
free_job (struct read_job *job)
{
  g_free (job->hash);
  g_free (job);
}

static void *
run_reader (void *arg)
{
  struct storeclient *s = arg;
  struct etcd *etcd = etcd_new (&s->options);
  struct read_job *job;

  while ((job = wait_for_job (s)) != NULL)
    {
      if (!atomic_load (&s->stopping))
        run_read (s, etcd, job);
      free_job (job);
    }
  etcd_free (etcd);
  return NULL;
}

static void
on_watch_event (void *arg)
{
  struct result *r = g_new0 (struct result, 1);

  r->watch = true;
  post_result (arg, r);
}

static bool
should_stop (void *arg)
{
  struct storeclient *s = arg;

  return atomic_load (&s->stopping) || !atomic_load (&s->watch_enabled);
}

/* Waits for WATCH_RETRY_MS or until the threads are to stop.  */
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
      if (atomic_load (&s->watch_enabled))
        etcd_watch (etcd, MNF_KEY, on_watch_event, should_stop, s);
      pause_watcher (s);
    }
  etcd_free (etcd);
  return NULL;
}

static void
port_read (struct store_port *port, enum store_item item, const char *hash)
{
  struct storeclient *s = (struct storeclient *)port;
  struct read_job *job = g_new0 (struct read_job, 1);

  job->item = item;
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

  atomic_store (&s->watch_enabled, on);
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
  struct read_job *job;

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
