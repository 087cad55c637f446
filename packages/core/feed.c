/* Distribution of store updates: choice of the feeders, requests to them, and
   the subscribers of this proxy.  */
#include "feed.h"

#include "rendezvous.h"
#include <string.h>

/* In a data centre of at most this many proxies each one watches the store
   itself.  */
#define NO_FEEDERS_MAX 8
/* Number of requests that a subscriber sends in fed_options.stale_us while
   feeders reply.  */
#define REQUESTS_PER_STALE 4
/* The next feeder is tried when one has not replied within this time.  */
#define REPLY_TIMEOUT_US 250000
/* A subscriber that has sent no request for this long is dropped.  */
#define SUBSCRIPTION_US 4000000

/* A proxy that gets updates from this one.  */
struct fed_subscriber
{
  uint64_t sent_revision; /* it was sent everything up to this revision */
  int64_t requested_us;   /* time of its last request */
};

struct fed
{
  struct fed_options o;
  uint64_t generation; /* of the table of proxies when FEEDERS was chosen */
  const struct vmt_vm *feeders[FED_FEEDERS_MAX]; /* borrowed, best first */
  uint32_t n_feeders;
  bool watches;            /* this proxy is a feeder, or there are none */
  bool all_watch;          /* there are no feeders, every proxy watches */
  uint32_t current;        /* index of the feeder in use, modulo n_feeders */
  uint32_t n_missed;       /* requests in a row without a valid reply */
  int64_t requested_us;    /* time of the last request, 0 = none yet */
  int64_t replied_us;      /* last valid reply or push, 0 = none */
  int64_t age_us;          /* age of the feeder's data at that time */
  GHashTable *subscribers; /* name -> struct fed_subscriber * */
};

struct fed *
fed_new (const struct fed_options *options)
{
  struct fed *f = g_new0 (struct fed, 1);

  f->o = *options;
  f->watches = f->all_watch = true;
  f->subscribers
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  return f;
}

void
fed_set_stale (struct fed *f, int64_t stale_us)
{
  f->o.stale_us = stale_us;
}

void
fed_free (struct fed *f)
{
  if (!f)
    return;
  g_hash_table_destroy (f->subscribers);
  g_free (f);
}

/* Returns true if X is the better feeder: the one of higher capacity, and of
   equal ones the one with the higher hash.  */
static bool
is_better_feeder (const struct fed *f, const struct vmt_vm *x,
                  const struct vmt_vm *y)
{
  if (x->capacity != y->capacity)
    return x->capacity > y->capacity;
  return rdv_weight (f->o.data_centre, x->name)
         > rdv_weight (f->o.data_centre, y->name);
}

static void
insert_feeder (struct fed *f, const struct vmt_vm *vm)
{
  uint32_t at = f->n_feeders;

  while (at > 0 && is_better_feeder (f, vm, f->feeders[at - 1]))
    at--;
  if (at >= FED_FEEDERS_MAX)
    return;
  if (f->n_feeders < FED_FEEDERS_MAX)
    f->n_feeders++;
  for (uint32_t k = f->n_feeders - 1; k > at; k--)
    f->feeders[k] = f->feeders[k - 1];
  f->feeders[at] = vm;
}

/* Chooses the feeders again if the table of proxies has changed.  */
static void
update_feeders (struct fed *f)
{
  uint32_t n_local = 0;

  if (f->generation == f->o.vms->generation)
    return;
  f->generation = f->o.vms->generation;
  f->n_feeders = 0;
  for (guint i = 0; i < f->o.vms->vms->len; i++)
    {
      const struct vmt_vm *vm = g_ptr_array_index (f->o.vms->vms, i);

      if (strcmp (vm->data_centre, f->o.data_centre) != 0)
        continue;
      n_local++;
      insert_feeder (f, vm);
    }
  f->watches = f->all_watch = n_local <= NO_FEEDERS_MAX;
  for (uint32_t k = 0; k < f->n_feeders; k++)
    f->watches |= strcmp (f->feeders[k]->name, f->o.vm) == 0;
}

bool
fed_is_feeder (struct fed *f)
{
  update_feeders (f);
  return f->watches;
}

bool
fed_serves_others (struct fed *f)
{
  return fed_is_feeder (f) && !f->all_watch;
}

bool
fed_is_current (struct fed *f, int64_t now_us)
{
  return !fed_is_feeder (f) && f->replied_us > 0
         && f->age_us + now_us - f->replied_us < f->o.stale_us;
}

const char *
fed_next_request (struct fed *f, int64_t now_us)
{
  int64_t since_us = now_us - f->requested_us;
  bool missed = f->replied_us < f->requested_us;
  int64_t wait_us = f->o.stale_us / REQUESTS_PER_STALE;

  if (fed_is_feeder (f))
    return NULL;
  /* Without a reply each feeder is tried once in quick succession; after that
     requests go out at the normal rate.  */
  if (missed && f->n_missed < f->n_feeders)
    wait_us = MIN (REPLY_TIMEOUT_US, wait_us);
  if (f->requested_us > 0 && since_us < wait_us)
    return NULL;
  if (f->requested_us == 0)
    f->current = (uint32_t)rdv_weight (f->o.data_centre, f->o.vm);
  else if (missed)
    f->current++;
  f->n_missed = missed ? f->n_missed + 1 : 0;
  f->requested_us = now_us;
  return f->feeders[f->current % f->n_feeders]->name;
}

void
fed_note_reply (struct fed *f, int64_t age_us, int64_t now_us)
{
  if (age_us < 0 || age_us >= f->o.stale_us)
    return;
  f->replied_us = now_us;
  f->age_us = age_us;
}

void
fed_note_subscriber (struct fed *f, const char *vm, uint64_t revision,
                     int64_t now_us)
{
  struct fed_subscriber *s = g_hash_table_lookup (f->subscribers, vm);

  if (!s)
    {
      s = g_new0 (struct fed_subscriber, 1);
      g_hash_table_insert (f->subscribers, g_strdup (vm), s);
    }
  s->sent_revision = revision;
  s->requested_us = now_us;
}

void
fed_push (struct fed *f, uint64_t revision, fed_send_fn *send, void *arg,
          int64_t now_us)
{
  GHashTableIter iter;
  gpointer name;
  gpointer value;

  g_hash_table_iter_init (&iter, f->subscribers);
  while (g_hash_table_iter_next (&iter, &name, &value))
    {
      struct fed_subscriber *s = value;
      uint64_t sent_revision = s->sent_revision;

      if (now_us - s->requested_us > SUBSCRIPTION_US)
        {
          g_hash_table_iter_remove (&iter);
          continue;
        }
      if (sent_revision >= revision)
        continue;
      s->sent_revision = revision;
      send (arg, name, sent_revision);
    }
}
