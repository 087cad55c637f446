/* Who reads the store.  */
#include "feed.h"

#include "rendezvous.h"
#include <string.h>

/* In a data centre of so few proxies each watches for itself.  */
#define ALONE_MAX 8
/* Questions while all is well: this part of the time after which knowledge is
   stale.  */
#define ASK_PART 4
/* The next feeder is asked when one has not answered within.  */
#define SWITCH_US 250000
/* A proxy that has not asked for so long is sent no more.  */
#define FORGET_US 4000000

/* A proxy that is fed by this one.  */
struct fed_taker
{
  uint64_t sent; /* it was sent everything up to there */
  int64_t asked_us;
};

struct fed
{
  struct fed_options o;
  uint64_t generation; /* of the proxies, when the feeders were chosen */
  const struct vmt_vm *feeders[FED_FEEDERS];
  uint32_t n_feeders;
  bool feeds;         /* this proxy is one, or there is none */
  bool alone;         /* there is none */
  uint32_t current;   /* feeder in use */
  uint32_t n_missed;  /* questions in a row without news */
  int64_t asked_us;   /* 0 = not yet */
  int64_t heard_us;   /* last answer of a source, 0 = none */
  int64_t age_us;     /* its account then */
  GHashTable *takers; /* name -> struct fed_taker * */
};

struct fed *
fed_new (const struct fed_options *options)
{
  struct fed *f = g_new0 (struct fed, 1);

  f->o = *options;
  f->feeds = f->alone = true;
  f->takers = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  return f;
}

void
fed_free (struct fed *f)
{
  if (!f)
    return;
  g_hash_table_destroy (f->takers);
  g_free (f);
}

/* True when X feeds rather than Y: the stronger, then by hash.  */
static bool
goes_before (const struct fed *f, const struct vmt_vm *x,
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

  while (at > 0 && goes_before (f, vm, f->feeders[at - 1]))
    at--;
  if (at >= FED_FEEDERS)
    return;
  if (f->n_feeders < FED_FEEDERS)
    f->n_feeders++;
  for (uint32_t k = f->n_feeders - 1; k > at; k--)
    f->feeders[k] = f->feeders[k - 1];
  f->feeders[at] = vm;
}

/* Chooses the feeders anew when the proxies have changed.  */
static void
update (struct fed *f)
{
  uint32_t n_near = 0;

  if (f->generation == f->o.vms->generation)
    return;
  f->generation = f->o.vms->generation;
  f->n_feeders = 0;
  for (guint i = 0; i < f->o.vms->vms->len; i++)
    {
      const struct vmt_vm *vm = g_ptr_array_index (f->o.vms->vms, i);

      if (strcmp (vm->data_centre, f->o.data_centre) != 0)
        continue;
      n_near++;
      insert_feeder (f, vm);
    }
  f->feeds = f->alone = n_near <= ALONE_MAX;
  for (uint32_t k = 0; k < f->n_feeders; k++)
    f->feeds |= strcmp (f->feeders[k]->name, f->o.vm) == 0;
}

bool
fed_is_feeder (struct fed *f)
{
  update (f);
  return f->feeds;
}

bool
fed_feeds_others (struct fed *f)
{
  return fed_is_feeder (f) && !f->alone;
}

bool
fed_is_fed (struct fed *f, int64_t now_us)
{
  return !fed_is_feeder (f) && f->heard_us > 0
         && f->age_us + now_us - f->heard_us < f->o.stale_us;
}

const char *
fed_next_question (struct fed *f, int64_t now_us)
{
  int64_t since_us = now_us - f->asked_us;
  bool missed = f->heard_us < f->asked_us;
  int64_t wait_us = f->o.stale_us / ASK_PART;

  if (fed_is_feeder (f))
    return NULL;
  /* Each feeder is tried at once, then none more often than usual.  */
  if (missed && f->n_missed < f->n_feeders)
    wait_us = MIN (SWITCH_US, wait_us);
  if (f->asked_us > 0 && since_us < wait_us)
    return NULL;
  if (f->asked_us == 0)
    f->current = (uint32_t)rdv_weight (f->o.data_centre, f->o.vm);
  else if (missed)
    f->current++;
  f->n_missed = missed ? f->n_missed + 1 : 0;
  f->asked_us = now_us;
  return f->feeders[f->current % f->n_feeders]->name;
}

void
fed_note_answer (struct fed *f, int64_t age_us, int64_t now_us)
{
  if (age_us < 0 || age_us >= f->o.stale_us)
    return;
  f->heard_us = now_us;
  f->age_us = age_us;
}

void
fed_note_question (struct fed *f, const char *vm, uint64_t revision,
                   int64_t now_us)
{
  struct fed_taker *t = g_hash_table_lookup (f->takers, vm);

  if (!t)
    {
      t = g_new0 (struct fed_taker, 1);
      g_hash_table_insert (f->takers, g_strdup (vm), t);
    }
  t->sent = revision;
  t->asked_us = now_us;
}

void
fed_push (struct fed *f, uint64_t revision, fed_send_fn *send, void *arg,
          int64_t now_us)
{
  GHashTableIter iter;
  gpointer name;
  gpointer value;

  g_hash_table_iter_init (&iter, f->takers);
  while (g_hash_table_iter_next (&iter, &name, &value))
    {
      struct fed_taker *t = value;
      uint64_t before = t->sent;

      if (now_us - t->asked_us > FORGET_US)
        {
          g_hash_table_iter_remove (&iter);
          continue;
        }
      if (before >= revision)
        continue;
      t->sent = revision;
      send (arg, name, before);
    }
}
