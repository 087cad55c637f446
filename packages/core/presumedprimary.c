/* Which instance is or should be primary, as far as this proxy knows, and how
   new a log must be after the last promotion.  */
#include "sessionfailoverint.h"

#include <string.h>

/* Longest time from the claim for a promotion until its target leads.  */
#define PROMOTION_MAX_US 1200000

/* Returns true if the directory names REGISTERED (may be NULL) as primary, and
   no longer names LAST, the one that was confirmed last.  */
static bool
is_newer_primary (const struct svc_instance *registered,
                  const struct svc_instance *last)
{
  return registered && registered != last && registered->missing_since_us == 0
         && (last->missing_since_us > 0 || !last->entry->reports_primary);
}

void
sfo_note_promoted (struct sfo_service *sv, const char *id, int64_t now_us)
{
  g_free (sv->promoted_id);
  sv->promoted_id = g_strdup (id);
  sv->promoted_since_us = now_us;
  g_free (sv->leader_id);
  sv->leader_id = g_strdup (id);
  /* A claim may be learned of before the instances are.  */
  sv->next_term = sv->svc ? cnd_newest_log_term (sv->svc) + 1 : 0;
}

/* Returns true if a primary was confirmed when the last known promotion must
   have taken effect.  The former one leads until then.  */
static bool
is_confirmed_since (const struct sfo_service *sv)
{
  return svc_confirmed_us (sv->svc) > sv->promoted_since_us + PROMOTION_MAX_US;
}

/* Returns the instance that the directory names as primary, NULL if none.  */
static struct svc_instance *
find_registered_primary (const struct svc *svc)
{
  struct svc_instance *registered = NULL;

  for (guint n = 0; n < svc->instances->len; n++)
    {
      struct svc_instance *i = g_ptr_array_index (svc->instances, n);

      /* A present entry is newer than one that is gone.  */
      if (i->entry->reports_primary
          && (!registered || i->missing_since_us == 0))
        registered = i;
    }
  return registered;
}

/* Returns true if no primary is confirmed and the directory names LEADER, the
   instance that was promoted last, or has named no other one since the
   promotion must have taken effect.  One that has denied to lead since does
   not count: its entry is older.  */
static bool
is_lead_likely (const struct sfo_service *sv,
                const struct svc_instance *leader, int64_t now_us)
{
  const struct svc_instance *named = find_registered_primary (sv->svc);

  if (sv->svc->primary)
    return false;
  if (leader->entry->reports_primary)
    return true;
  return now_us - sv->promoted_since_us > PROMOTION_MAX_US
         && (!named || named->missing_since_us > 0
             || named->not_primary_us > sv->promoted_since_us);
}

static void
set_term_floor (struct svc *svc, uint32_t term)
{
  svc->term_floor = term;
  svc->lead_start = LP_NONE;
}

void
sfo_track_term (struct sfo_service *sv, int64_t now_us)
{
  struct svc *svc = sv->svc;
  struct svc_instance *leader
      = sv->leader_id ? svc_find (svc, sv->leader_id) : NULL;
  struct logpos position = svc->primary ? svc->primary->position : LP_NONE;

  if (leader && svc->term_floor < sv->next_term
      && (svc->primary == leader || is_lead_likely (sv, leader, now_us)))
    set_term_floor (svc, sv->next_term);
  if (!svc->primary || position.term >= svc->term_floor)
    return;
  if (svc->primary == leader && !lp_is_known (svc->lead_start))
    svc->lead_start = position;
  /* It goes on in its term, so no promotion has begun another one.  */
  if (svc->primary == leader ? lp_compare (position, svc->lead_start) > 0
                             : is_confirmed_since (sv))
    {
      set_term_floor (svc, position.term);
      sv->next_term = position.term;
    }
}

/* Returns the instance that was promoted last, NULL if there is none, it does
   not lead, or another one leads since.  Where commits wait for replicas, the
   open claim tells what is to be done.  */
static struct svc_instance *
find_promoted (struct sfo_service *sv)
{
  struct svc_instance *i
      = sv->promoted_id ? svc_find (sv->svc, sv->promoted_id) : NULL;

  if (i && sv->svc->sync_replicas == 0
      && i->not_primary_us <= sv->promoted_since_us + PROMOTION_MAX_US
      && !is_confirmed_since (sv))
    return i;
  g_free (sv->promoted_id);
  sv->promoted_id = NULL;
  return NULL;
}

struct svc_instance *
sfo_find_primary (struct sfo_service *sv)
{
  struct svc *svc = sv->svc;
  struct svc_instance *promoted = find_promoted (sv);
  struct svc_instance *last
      = sv->primary_id ? svc_find (svc, sv->primary_id) : NULL;
  struct svc_instance *primary = svc->primary ? svc->primary : promoted;

  if (!primary)
    {
      primary = find_registered_primary (svc);
      if (last && !is_newer_primary (primary, last))
        primary = last;
    }
  if (primary && primary != last)
    {
      g_free (sv->primary_id);
      sv->primary_id = g_strdup (primary->entry->id);
    }
  return primary;
}

void
sfo_note_carried_out (struct sfo_service *sv, int64_t now_us)
{
  sfo_note_promoted (sv, sv->target_id, now_us);
  if (sv->svc->term_floor < sv->next_term)
    set_term_floor (sv->svc, sv->next_term);
}
