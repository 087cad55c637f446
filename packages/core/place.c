/* Placement of statements.  */
#include "place.h"

/* A connection costs a slot of the instance for its handshake and two round
   trips; about this much besides the round trips.  */
#define OPEN_COST_US 20000
/* A round trip weighs so much more than work: bytes between regions are dear
   and a nearer copy leaves the link to those who need it.  */
#define DISTANCE_WEIGHT 3
/* Statements that take so long on average queue for slots.  */
#define SATURATED_US 45000
/* Connections to homes for one instance: statements that one proxy has under
   way there at once.  */
#define REMOTE_LINKS_MAX 8
/* All proxies that hold connections to an instance keep so many statements
   there for each of its slots, so that no slot rests for a round trip, and
   each of them at least one a slot; the others wait here, where the urgent
   ones overtake.  */
#define RUNNING_A_SLOT 3

/* Statements that one of N_HOLDERS proxies keeps at an instance.  */
static uint32_t
running_for (const struct svc_instance *instance, uint32_t n_holders)
{
  uint32_t slots = (uint32_t)MAX (instance->entry->slots, 1);

  return MAX (RUNNING_A_SLOT * slots / MAX (n_holders, 1), slots);
}

struct svc_limits
plc_limits_for (const struct svc_instance *instance, int32_t connections_max,
                uint32_t n_vms)
{
  const struct vmt_homes *homes = &instance->homes;
  struct svc_limits l = { .running = SVC_RUNNING_ANY };
  uint32_t max = connections_max > 0 ? (uint32_t)connections_max : 1;

  if (homes->direct)
    {
      l.share = max / MAX (n_vms, 1);
      /* Borrowed room: a burst of one proxy uses what others leave idle.  */
      l.most = MIN (2 * l.share + 1, max);
      l.most = MAX (l.most, 2);
      l.running = running_for (instance, n_vms);
    }
  else if (homes->includes_own)
    {
      /* The other half is free for the homes that come after a power loss,
         when the instance still counts the connections of those before.  */
      l.most = MAX (max / MAX (homes->n, 1) / 2, 1);
      l.share = l.most;
      l.running = running_for (instance, homes->n);
    }
  else
    {
      /* Connections to homes cost the instance nothing.  */
      l.share = 1;
      l.most = REMOTE_LINKS_MAX;
    }
  return l;
}

struct ul *
plc_idle_link (const struct svc_instance *instance)
{
  struct ul *best = NULL;

  /* The most recently used one, so that the others can be trimmed.  */
  for (guint i = 0; i < instance->links->len; i++)
    {
      struct ul *link = g_ptr_array_index (instance->links, i);

      if (ul_is_idle (link)
          && (!best || link->idle_since_us > best->idle_since_us))
        best = link;
    }
  return best;
}

static bool
may_open (const struct svc_instance *i, int64_t now_us)
{
  bool costs_slot = i->homes.direct || i->homes.includes_own;

  /* Where statements queue for slots another connection only takes one more
     for its handshake.  */
  if (costs_slot && i->work_us > SATURATED_US
      && i->links->len >= MAX (i->limits.share, 1))
    return false;
  return i->links->len < i->limits.most && now_us >= i->open_after_us;
}

/* True when new work may be started at I.  */
static bool
has_room (const struct svc_instance *i)
{
  uint32_t running = 0;

  if (i->limits.running == SVC_RUNNING_ANY)
    return true;
  for (guint n = 0; n < i->links->len; n++)
    {
      const struct ul *link = g_ptr_array_index (i->links, n);

      running += link->session && link->requests->len > 0 ? 1 : 0;
    }
  return running < i->limits.running;
}

static bool
fits (const struct svc_instance *i, const struct plc_need *need,
      int64_t now_us)
{
  if (!svc_is_usable (i, now_us))
    /* A draining primary leads on until its successor is proved.  */
    return need->leader && i->svc->leader == i && svc_may_lead_on (i, now_us);
  if (need->leader)
    return svc_presumed_leader (i->svc, now_us) == i;
  if (lp_is_known (i->behind) && now_us < i->behind_until_us
      && lp_compare (need->floor, i->behind) >= 0
      && lp_compare (i->position, need->floor) < 0)
    return false;
  return true;
}

static int64_t
cost_of (const struct svc_instance *i, const struct plc_need *need, bool idle)
{
  int32_t slots = MAX (i->entry->slots, 1);
  int64_t cost = DISTANCE_WEIGHT * i->round_trip_us + i->work_us
                 + i->work_us * i->n_in_use / slots;

  if (!idle)
    cost += OPEN_COST_US + 2 * i->round_trip_us;
  if (i == need->avoid)
    cost += INT32_MAX;
  return cost;
}

struct plc_choice
plc_choose (const struct svc *s, const struct plc_need *need, int64_t now_us)
{
  struct plc_choice best = { PLC_NONE, NULL, NULL };
  int64_t best_cost = INT64_MAX;

  for (guint n = 0; n < s->instances->len; n++)
    {
      struct svc_instance *i = g_ptr_array_index (s->instances, n);
      struct ul *link;
      int64_t cost;

      if (!fits (i, need, now_us))
        continue;
      if (best.verdict == PLC_NONE)
        best.verdict = PLC_WAIT;
      if (now_us < i->busy_until_us || !has_room (i))
        continue;
      link = plc_idle_link (i);
      if (!link && !may_open (i, now_us))
        continue;
      cost = cost_of (i, need, link != NULL);
      if (cost >= best_cost)
        continue;
      best_cost = cost;
      best.verdict = link ? PLC_USE : PLC_OPEN;
      best.instance = i;
      best.link = link;
    }
  return best;
}

bool
plc_has_other (const struct svc *s, const struct plc_need *need,
               const struct svc_instance *except, int64_t now_us)
{
  for (guint n = 0; n < s->instances->len; n++)
    {
      const struct svc_instance *i = g_ptr_array_index (s->instances, n);

      if (i != except && fits (i, need, now_us))
        return true;
    }
  return false;
}

struct plc_choice
plc_choose_at (struct svc_instance *instance, bool needs_slot, int64_t now_us)
{
  struct plc_choice c = { PLC_WAIT, instance, plc_idle_link (instance) };

  if (needs_slot && !has_room (instance))
    return c;
  if (c.link)
    c.verdict = PLC_USE;
  else if (may_open (instance, now_us))
    c.verdict = PLC_OPEN;
  return c;
}
