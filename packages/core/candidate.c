/* Reports of the instances of a service on their logs.  */
#include "candidate.h"

#include <string.h>

/* An instance counts as reachable when it was heard from within this time.  */
#define HEARD_MAX_AGE_US 1500000
/* Time without a confirmed primary after which an instance with an outdated
   log may be promoted: those with newer logs are taken as lost.  */
#define OUTDATED_AFTER_US 10000000

bool
cnd_is_reachable (const struct svc_instance *i, int64_t now_us)
{
  return !i->unresponsive && i->refused_since_us == 0 && i->heard_us > 0
         && now_us - i->heard_us < HEARD_MAX_AGE_US;
}

bool
cnd_is_candidate (const struct svc_instance *i,
                  const struct svc_instance *primary, int64_t now_us)
{
  return i != primary && svc_is_usable (i, now_us)
         && cnd_is_reachable (i, now_us);
}

struct logpos
cnd_highest_position (const struct svc_instance *i)
{
  return lp_max (i->report.received, i->position);
}

bool
cnd_accepts_outdated (const struct svc *s, int64_t now_us)
{
  return !s->primary && s->no_primary_since_us > 0
         && now_us - s->no_primary_since_us > OUTDATED_AFTER_US;
}

uint32_t
cnd_newest_log_term (const struct svc *s)
{
  uint32_t term = 0;

  for (guint n = 0; n < s->instances->len; n++)
    term = MAX (
        term, cnd_highest_position (g_ptr_array_index (s->instances, n)).term);
  return term;
}

bool
cnd_is_outdated (const struct svc *s, const struct svc_instance *i)
{
  struct logpos position = cnd_highest_position (i);

  if (position.term >= MAX (cnd_newest_log_term (s), s->term_floor))
    return false;
  return !lp_is_known (s->lead_start)
         || lp_compare (position, s->lead_start) > 0;
}

bool
cnd_has_stepped_down (const struct svc_instance *primary, int64_t since_us)
{
  return primary && primary->report.at_us >= since_us
         && !primary->report.primary;
}

/* Returns true if I has reported its log since SINCE_US.  */
static bool
has_reported (const struct svc_instance *i, int64_t since_us, bool paused)
{
  const struct svc_report *r = &i->report;

  if (paused && !r->refuses_pause)
    return r->paused_us >= since_us;
  return r->at_us >= since_us;
}

static bool
is_same_address (const struct svc_instance *a, const struct svc_instance *b)
{
  return a->entry->port == b->entry->port
         && strcmp (a->entry->host, b->entry->host) == 0;
}

bool
cnd_is_succeeded (const struct svc *s, const struct svc_instance *i)
{
  for (guint n = 0; n < s->instances->len; n++)
    {
      const struct svc_instance *other = g_ptr_array_index (s->instances, n);

      if (i->missing_since_us > 0 && other != i && other->missing_since_us == 0
          && is_same_address (i, other))
        return true;
    }
  return false;
}

/* Returns true if enough replicas have reported that one of them holds every
   acknowledged commit.  */
static bool
is_complete (const struct svc *s, const struct svc_instance *primary,
             int64_t since_us, bool paused)
{
  int32_t replicas = 0;
  int32_t reported = 0;

  for (guint n = 0; n < s->instances->len; n++)
    {
      const struct svc_instance *i = g_ptr_array_index (s->instances, n);

      if (i == primary || cnd_is_succeeded (s, i))
        continue;
      replicas++;
      reported += has_reported (i, since_us, paused) ? 1 : 0;
    }
  return reported > 0 && reported > replicas - s->sync_replicas;
}

/* Without sync replicas: the most advanced candidate.  */
static struct svc_instance *
choose_candidate (const struct svc *s, const struct svc_instance *primary,
                  bool accept_outdated, int64_t now_us)
{
  struct svc_instance *best = NULL;

  for (guint n = 0; n < s->instances->len; n++)
    {
      struct svc_instance *i = g_ptr_array_index (s->instances, n);

      if (!cnd_is_candidate (i, primary, now_us)
          || now_us < i->ineligible_until_us)
        continue;
      if (!best
          || lp_compare (cnd_highest_position (i), cnd_highest_position (best))
                 > 0)
        best = i;
    }
  return best && (accept_outdated || !cnd_is_outdated (s, best)) ? best : NULL;
}

bool
cnd_may_lead (const struct svc_instance *i, int64_t since_us, int64_t now_us)
{
  return i->report.at_us >= since_us && cnd_is_reachable (i, now_us)
         && now_us >= i->ineligible_until_us;
}

/* Returns true if I is a better choice than BEST: it has received more, or as
   much and is PREFERRED, or does not leave.  */
static bool
is_better (const struct svc_instance *i, const struct svc_instance *best,
           const struct svc_instance *preferred)
{
  int more = lp_compare (i->report.received, best->report.received);

  if (more != 0 || best == preferred)
    return more > 0;
  return i == preferred || (best->entry->draining && !i->entry->draining);
}

struct svc_instance *
cnd_choose_reported (const struct svc *s, const struct svc_instance *primary,
                     const struct svc_instance *preferred,
                     struct logpos needed, int64_t since_us, int64_t now_us)
{
  struct svc_instance *best = NULL;

  for (guint n = 0; n < s->instances->len; n++)
    {
      struct svc_instance *i = g_ptr_array_index (s->instances, n);

      if (i == primary || i->report.at_us < since_us)
        continue;
      needed = lp_max (needed, i->report.received);
      /* A draining one is promoted if no other has all that it has; another
         one then takes over as planned.  */
      if (cnd_may_lead (i, since_us, now_us)
          && (!best || is_better (i, best, preferred)))
        best = i;
    }
  return best && lp_compare (best->report.received, needed) >= 0 ? best : NULL;
}

struct svc_instance *
cnd_choose (const struct svc *s, const struct svc_instance *primary,
            const struct svc_instance *preferred, int64_t since_us,
            bool paused, int64_t now_us)
{
  if (s->sync_replicas == 0)
    return choose_candidate (s, primary, cnd_accepts_outdated (s, now_us),
                             now_us);
  if (is_complete (s, primary, since_us, paused))
    return cnd_choose_reported (s, primary, preferred, LP_NONE, since_us,
                                now_us);
  if (cnd_has_stepped_down (primary, since_us))
    return cnd_choose_reported (s, primary, preferred,
                                primary->report.received, since_us, now_us);
  return NULL;
}

uint32_t
cnd_newest_term (const struct svc *s)
{
  uint32_t term = 0;

  for (guint n = 0; n < s->instances->len; n++)
    {
      const struct svc_instance *i = g_ptr_array_index (s->instances, n);

      term = MAX (term, MAX (i->report.term, i->position.term));
    }
  return term;
}
