/* Knowledge about a database group.  */
#include "svc.h"

#include <string.h>

/* Smoothing: a new value counts one part in so many.  */
#define SMOOTHING 8
/* First guess of a statement's time before any was measured.  */
#define WORK_FIRST_US 15000
#define ROUND_TRIP_FIRST_US 5000
/* An instance that said it doesn't lead is not taken for the primary again
   before: the directory is that much behind.  */
#define DENIED_US 1000000
/* Entries that lapsed with the store are back within two seconds of its
   return; one more beat of the slowest writer is given.  */
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
  g_free (i->helper);
  g_free (i);
}

void
svc_free (struct svc *s)
{
  for (guint i = 0; i < s->instances->len; i++)
    free_instance (g_ptr_array_index (s->instances, i));
  g_ptr_array_free (s->instances, TRUE);
  g_queue_clear (&s->waiting);
  if (s->judges)
    g_hash_table_destroy (s->judges);
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
  i->work_us = WORK_FIRST_US;
  i->round_trip_us = ROUND_TRIP_FIRST_US;
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
add_sample (struct svc *s, int64_t asked_us, struct lp position)
{
  struct svc_sample *last
      = s->n_samples > 0 ? &s->samples[s->n_samples - 1] : NULL;
  struct svc_sample *before
      = s->n_samples > 1 ? &s->samples[s->n_samples - 2] : NULL;

  if (last && asked_us <= last->asked_us)
    return;
  /* The newest sample slides until it is a gap away from its neighbour.  */
  if (before && last->asked_us - before->asked_us < SVC_SAMPLE_GAP_US)
    {
      *last = (struct svc_sample){ asked_us, position };
      return;
    }
  if (s->n_samples == SVC_SAMPLES)
    {
      memmove (s->samples, s->samples + 1,
               (SVC_SAMPLES - 1) * sizeof s->samples[0]);
      s->n_samples--;
    }
  s->samples[s->n_samples++] = (struct svc_sample){ asked_us, position };
}

bool
svc_note_lead (struct svc_instance *instance, int64_t asked_us,
               struct lp position)
{
  struct svc *s = instance->svc;
  bool changed = s->leader != instance;

  /* Its denial was heard after this question: the proof is outdated.  */
  if (instance->denied_us > asked_us)
    return false;
  if (changed && s->leader && s->leader->led_us > asked_us)
    return false;
  if (changed)
    {
      /* Positions of the former leader may have been rolled back; no copy
         would ever hold them.  */
      s->n_samples = 0;
      s->leader = instance;
      s->leaderless_us = 0;
    }
  instance->led_us = MAX (instance->led_us, asked_us);
  if (lp_is_known (position))
    add_sample (s, asked_us, position);
  svc_note_position (instance, position);
  return changed;
}

void
svc_lose_leader (struct svc *s, int64_t now_us)
{
  s->leader = NULL;
  s->leaderless_us = now_us;
}

bool
svc_note_denied (struct svc_instance *instance, int64_t now_us)
{
  struct svc *s = instance->svc;

  instance->denied_us = now_us;
  if (s->leader != instance)
    return false;
  svc_lose_leader (s, now_us);
  return true;
}

void
svc_note_position (struct svc_instance *instance, struct lp position)
{
  instance->position = lp_max (instance->position, position);
}

static int64_t
smooth (int64_t old, int64_t value)
{
  return old + (value - old) / SMOOTHING;
}

void
svc_note_round_trip (struct svc_instance *instance, int64_t asked_us,
                     int64_t now_us)
{
  instance->round_trip_us
      = smooth (instance->round_trip_us, now_us - asked_us);
}

void
svc_note_work (struct svc_instance *instance, int64_t took_us)
{
  int64_t work_us = MAX (took_us - instance->round_trip_us, 0);

  instance->work_us = smooth (instance->work_us, work_us);
}

bool
svc_floor_since (const struct svc *s, int64_t since_us, struct lp *floor)
{
  for (uint32_t i = 0; i < s->n_samples; i++)
    if (s->samples[i].asked_us >= since_us)
      {
        *floor = s->samples[i].position;
        return true;
      }
  return false;
}

int64_t
svc_proved_us (const struct svc *s)
{
  return s->leader ? s->leader->led_us : 0;
}

bool
svc_is_lapsed (const struct svc_instance *instance, int64_t now_us)
{
  return instance->missing_since_us > 0
         && now_us - instance->missing_since_us < LAPSE_GRACE_US;
}

bool
svc_is_usable (const struct svc_instance *instance, int64_t now_us)
{
  if (instance->entry->draining || instance->unresponsive)
    return false;
  return instance->missing_since_us == 0 || svc_is_lapsed (instance, now_us);
}

struct svc_instance *
svc_presumed_leader (const struct svc *s, int64_t now_us)
{
  if (s->leader)
    return s->leader;
  for (guint n = 0; n < s->instances->len; n++)
    {
      struct svc_instance *i = g_ptr_array_index (s->instances, n);

      if (i->entry->reports_primary && svc_is_usable (i, now_us)
          && (i->denied_us == 0 || now_us - i->denied_us > DENIED_US))
        return i;
    }
  return NULL;
}

bool
svc_may_lead_on (const struct svc_instance *instance, int64_t now_us)
{
  int64_t since_us = 0;

  if (instance->unresponsive)
    return false;
  if (instance->missing_since_us > 0)
    since_us = instance->missing_since_us;
  if (instance->draining_since_us > 0)
    since_us = since_us > 0 ? MIN (since_us, instance->draining_since_us)
                            : instance->draining_since_us;
  return since_us == 0 || now_us - since_us < instance->svc->leave_us;
}
