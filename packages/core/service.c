/* What one proxy knows about a service.  */
#include "service.h"

#include <string.h>

/* Exponential smoothing: a new value has a weight of one part in this many. */
#define SMOOTHING 8
/* Estimates used until the first measurement.  */
#define EXEC_INITIAL_US 15000
#define ROUND_TRIP_INITIAL_US 5000
/* For this time after an instance reported that it is not primary, it is not
   presumed to be: the directory may lag by as much.  */
#define NOT_PRIMARY_HOLD_US 1000000
/* Entries that lapsed while the store was unavailable are back within two
   seconds of its return; the rest allows for one more heartbeat of the slowest
   writer.  */
#define LAPSE_GRACE_US 2500000

struct svc *
svc_new (const char *name)
{
  struct svc *s = g_new0 (struct svc, 1);

  s->name = g_strdup (name);
  s->instances = g_ptr_array_new ();
  g_queue_init (&s->waiting);
  return s;
}

static void
free_instance (struct svc_instance *i)
{
  g_ptr_array_free (i->links, TRUE);
  dir_instance_free (i->entry);
  g_free (i->last_account);
  g_free (i->relay_peer);
  g_free (i);
}

void
svc_free (struct svc *s)
{
  for (guint i = 0; i < s->instances->len; i++)
    free_instance (g_ptr_array_index (s->instances, i));
  g_ptr_array_free (s->instances, TRUE);
  g_queue_clear (&s->waiting);
  if (s->voters)
    g_hash_table_destroy (s->voters);
  g_free (s->name);
  g_free (s);
}

struct svc_instance *
svc_find (const struct svc *s, const char *id)
{
  for (guint i = 0; i < s->instances->len; i++)
    {
      struct svc_instance *instance = g_ptr_array_index (s->instances, i);

      if (strcmp (instance->entry->id, id) == 0)
        return instance;
    }
  return NULL;
}

struct svc_instance *
svc_add (struct svc *s, const struct dir_instance *entry)
{
  struct svc_instance *i = g_new0 (struct svc_instance, 1);

  i->svc = s;
  i->entry = dir_instance_copy (entry);
  i->links = g_ptr_array_new ();
  i->exec_us = EXEC_INITIAL_US;
  i->round_trip_us = ROUND_TRIP_INITIAL_US;
  g_ptr_array_add (s->instances, i);
  return i;
}

void
svc_remove (struct svc *s, struct svc_instance *instance)
{
  g_ptr_array_remove (s->instances, instance);
  free_instance (instance);
}

static void
add_sample (struct svc *s, int64_t sent_us, struct logpos position)
{
  struct svc_sample *last
      = s->n_samples > 0 ? &s->samples[s->n_samples - 1] : NULL;
  struct svc_sample *before
      = s->n_samples > 1 ? &s->samples[s->n_samples - 2] : NULL;

  if (last && sent_us <= last->sent_us)
    return;
  /* The newest sample is replaced until it is a gap away from the one
     before.  */
  if (before && last->sent_us - before->sent_us < SVC_SAMPLE_GAP_US)
    {
      *last = (struct svc_sample){ sent_us, position };
      return;
    }
  if (s->n_samples == SVC_SAMPLES)
    {
      memmove (s->samples, s->samples + 1,
               (SVC_SAMPLES - 1) * sizeof s->samples[0]);
      s->n_samples--;
    }
  s->samples[s->n_samples++] = (struct svc_sample){ sent_us, position };
}

bool
svc_note_primary (struct svc_instance *instance, int64_t sent_us,
                  struct logpos position)
{
  struct svc *s = instance->svc;
  bool changed = s->primary != instance;

  /* It reported that it is not primary after this check was sent: the result
     is outdated.  */
  if (instance->not_primary_us > sent_us)
    return false;
  if (changed && s->primary && s->primary->confirmed_us > sent_us)
    return false;
  if (changed)
    {
      /* Positions of the former primary may have been rolled back; no instance
         would ever reach them.  */
      s->n_samples = 0;
      s->primary = instance;
      s->no_primary_since_us = 0;
    }
  instance->confirmed_us = MAX (instance->confirmed_us, sent_us);
  if (lp_is_known (position))
    add_sample (s, sent_us, position);
  svc_note_position (instance, position);
  return changed;
}

void
svc_clear_primary (struct svc *s, int64_t now_us)
{
  s->primary = NULL;
  s->no_primary_since_us = now_us;
}

bool
svc_note_not_primary (struct svc_instance *instance, int64_t now_us)
{
  struct svc *s = instance->svc;

  instance->not_primary_us = now_us;
  if (s->primary != instance)
    return false;
  svc_clear_primary (s, now_us);
  return true;
}

void
svc_note_position (struct svc_instance *instance, struct logpos position)
{
  instance->position = lp_max (instance->position, position);
}

static int64_t
smooth (int64_t old, int64_t value)
{
  return old + (value - old) / SMOOTHING;
}

void
svc_note_round_trip (struct svc_instance *instance, int64_t sent_us,
                     int64_t now_us)
{
  instance->round_trip_us = smooth (instance->round_trip_us, now_us - sent_us);
}

void
svc_note_exec_time (struct svc_instance *instance, int64_t took_us)
{
  int64_t exec_us = MAX (took_us - instance->round_trip_us, 0);

  instance->exec_us = smooth (instance->exec_us, exec_us);
}

bool
svc_min_position_since (const struct svc *s, int64_t since_us,
                        struct logpos *min_position)
{
  for (uint32_t i = 0; i < s->n_samples; i++)
    if (s->samples[i].sent_us >= since_us)
      {
        *min_position = s->samples[i].position;
        return true;
      }
  return false;
}

int64_t
svc_confirmed_us (const struct svc *s)
{
  return s->primary ? s->primary->confirmed_us : 0;
}

void
svc_note_lapsed (struct svc_instance *instance, int64_t now_us)
{
  instance->missing_since_us = MAX (now_us - LAPSE_GRACE_US, 1);
}

bool
svc_lapsed_recently (const struct svc_instance *instance, int64_t now_us)
{
  return instance->missing_since_us > 0
         && now_us - instance->missing_since_us < LAPSE_GRACE_US;
}

bool
svc_is_usable (const struct svc_instance *instance, int64_t now_us)
{
  if (instance->entry->draining || instance->unresponsive)
    return false;
  return instance->missing_since_us == 0
         || svc_lapsed_recently (instance, now_us);
}

struct svc_instance *
svc_presumed_primary (const struct svc *s, int64_t now_us)
{
  if (s->primary)
    return s->primary;
  for (guint n = 0; n < s->instances->len; n++)
    {
      struct svc_instance *i = g_ptr_array_index (s->instances, n);

      if (i->entry->reports_primary && svc_is_usable (i, now_us)
          && (i->not_primary_us == 0
              || now_us - i->not_primary_us > NOT_PRIMARY_HOLD_US))
        return i;
    }
  return NULL;
}

bool
svc_may_stay_primary (const struct svc_instance *instance, int64_t now_us)
{
  int64_t since_us = 0;

  if (instance->unresponsive)
    return false;
  if (instance->missing_since_us > 0)
    since_us = instance->missing_since_us;
  if (instance->draining_since_us > 0)
    since_us = since_us > 0 ? MIN (since_us, instance->draining_since_us)
                            : instance->draining_since_us;
  return since_us == 0 || now_us - since_us < instance->svc->drain_grace_us;
}
