/* Placement of statements.  */
#include "place.h"

#include "linkplan.h"
#include <string.h>

/* Opening a connection takes two round trips and a slot of the instance for
   the handshake; this is its cost besides the round trips.  */
#define OPEN_COST_US 20000
/* Weight of a round trip relative to execution time: traffic between regions
   is expensive, and using a nearer instance leaves the long link to the
   statements that need it.  */
#define ROUND_TRIP_WEIGHT 3
/* At an average execution time above this, statements queue for slots.  */
#define SATURATED_EXEC_US 45000
/* Connections to the homes of one instance, which is the number of statements
   that one proxy can have running there through them.  */
#define HOME_LINKS_MAX 8
/* The part of its share of the connections that a home may open.  */
#define HOME_BURST_PERCENT 75
/* Connections to one home that are opened at the same time.  */
#define HOME_OPENING_MAX 2
/* Direct connections considered for one statement.  */
#define DIRECT_LINKS_MAX 256
/* Together, the proxies that hold connections to an instance keep this many
   statements there for each of its slots, so that no slot is idle for a round
   trip; each of them may keep at least one per slot.  Further statements wait
   in the proxy, where urgent ones can go first.  */
#define RUNNING_PER_SLOT 3

/* How many statements each of N_HOLDERS proxies may run at INSTANCE.  */
static uint32_t
max_running_for (const struct svc_instance *instance, uint32_t n_holders)
{
  uint32_t slots = (uint32_t)MAX (instance->entry->slots, 1);

  return MAX (RUNNING_PER_SLOT * slots / MAX (n_holders, 1), slots);
}

struct svc_limits
plc_limits_for (const struct svc_instance *instance, int32_t connections_max,
                uint32_t n_vms)
{
  const struct vmt_homes *homes = &instance->homes;
  struct svc_limits l = { .max_running = SVC_RUNNING_UNLIMITED };
  uint32_t max = connections_max > 0 ? (uint32_t)connections_max : 1;

  if (homes->direct)
    {
      l.fair_share = max / MAX (n_vms, 1);
      /* A burst at one proxy may use connections that the others leave
         unused.  */
      l.max_links = MIN (2 * l.fair_share + 1, max);
      l.max_links = MAX (l.max_links, 2);
      l.max_running = max_running_for (instance, n_vms);
    }
  else if (homes->includes_own)
    {
      uint32_t share = max / MAX (homes->n, 1);

      /* Half is enough for the statements that run.  More is used for a short
         while when open transactions hold connections between statements.  The
         rest is reserved for the homes that take over after a power loss,
         while the instance still counts the connections of the former
         ones.  */
      l.fair_share = MAX (share / 2, 1);
      l.max_links = MAX (share * HOME_BURST_PERCENT / 100, 1);
      l.max_running = max_running_for (instance, homes->n);
    }
  else
    {
      /* Connections to homes do not count at the instance.  */
      l.fair_share = 1;
      l.max_links = HOME_LINKS_MAX;
    }
  return l;
}

uint32_t
plc_count_direct (const struct svc_instance *instance)
{
  uint32_t n = 0;

  for (guint k = 0; k < instance->links->len; k++)
    {
      const struct ul *link = g_ptr_array_index (instance->links, k);

      n += link->home ? 0 : 1;
    }
  return n;
}

struct svc_limits
plc_account_limits_for (const struct svc_instance *instance,
                        int32_t connections_max)
{
  const struct vmt_homes *homes = &instance->homes;
  struct svc_limits l = { .max_running = SVC_RUNNING_UNLIMITED };
  uint32_t max = connections_max > 0 ? (uint32_t)connections_max : 1;
  uint32_t n_holders = homes->direct ? 1 : MAX (homes->n, 1);

  if (!homes->direct && !homes->includes_own)
    return l;
  l.max_links = MAX (max / n_holders * HOME_BURST_PERCENT / 100, 1);
  l.fair_share = MAX (max / n_holders / 2, 1);
  l.max_running = max_running_for (instance, n_holders);
  return l;
}

struct ul *
plc_idle_link (const struct svc_instance *instance)
{
  struct ul *best = NULL;

  /* Prefer the most recently used one, so that the others stay idle and can be
     closed.  */
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

  /* When statements queue for slots, another connection only takes one more
     slot for its handshake.  */
  if (costs_slot && i->exec_us > SATURATED_EXEC_US
      && i->links->len >= MAX (i->limits.fair_share, 1))
    return false;
  return i->links->len < i->limits.max_links && now_us >= i->open_after_us;
}

/* True when another statement may be started at I.  */
static bool
has_room (const struct svc_instance *i)
{
  uint32_t running = 0;

  if (i->limits.max_running == SVC_RUNNING_UNLIMITED)
    return true;
  for (guint n = 0; n < i->links->len; n++)
    {
      const struct ul *link = g_ptr_array_index (i->links, n);

      if (i->svc->by_account && link->home)
        continue;
      running += link->session && link->requests->len > 0 ? 1 : 0;
    }
  return running < i->limits.max_running;
}

static struct lpl_link
describe_link (const struct ul *link)
{
  struct lpl_link d
      = { link->account ? link->account : "", LPL_BUSY, link->idle_since_us };

  if (link->phase == UL_OPENING)
    d.state = LPL_OPENING;
  else if (ul_is_idle (link))
    d.state = LPL_IDLE;
  return d;
}

/* Returns true if I may be sent the start of another connection: each occupies
   a slot for a while.  */
static bool
may_open_for_account (const struct svc_instance *i, int64_t now_us)
{
  return now_us >= i->open_after_us
         && i->n_opening < (uint32_t)MAX (i->entry->slots, 2);
}

/* Chooses among the direct connections to I for a statement of ACCOUNT.  */
static struct plc_choice
choose_direct (struct svc_instance *i, const char *account, int64_t waited_us,
               int64_t now_us)
{
  static const enum plc_decision decisions[]
      = { PLC_USE, PLC_OPEN, PLC_REPLACE, PLC_WAIT };
  struct lpl_demand demand = { account, waited_us, i->limits.max_links };
  struct lpl_link links[DIRECT_LINKS_MAX];
  struct ul *direct[DIRECT_LINKS_MAX];
  struct plc_choice c = { PLC_WAIT, i, NULL };
  struct lpl_choice choice;
  uint32_t n = 0;

  for (guint k = 0; k < i->links->len && n < DIRECT_LINKS_MAX; k++)
    {
      struct ul *link = g_ptr_array_index (i->links, k);

      if (link->home)
        continue;
      links[n] = describe_link (link);
      direct[n++] = link;
    }
  choice = lpl_choose (&demand, links, n, now_us);
  c.decision = decisions[choice.action];
  if (choice.action == LPL_USE || choice.action == LPL_REPLACE)
    c.link = direct[choice.link];
  if ((choice.action == LPL_OPEN || choice.action == LPL_REPLACE)
      && !may_open_for_account (i, now_us))
    c.decision = PLC_WAIT;
  return c;
}

/* Chooses among the connections to I through the proxy VIA.  They serve all
   accounts, and take no connection of the instance.  */
static struct plc_choice
choose_through (struct svc_instance *i, const char *via, int64_t now_us)
{
  struct plc_choice c = { PLC_WAIT, i, NULL };
  struct ul *other = NULL;
  uint32_t n = 0;
  uint32_t opening = 0;

  for (guint k = 0; k < i->links->len; k++)
    {
      struct ul *link = g_ptr_array_index (i->links, k);

      if (!link->home)
        continue;
      n++;
      opening += link->phase == UL_OPENING && strcmp (link->home, via) == 0;
      if (!ul_is_idle (link))
        continue;
      if (strcmp (link->home, via) != 0)
        other = link;
      else if (!c.link || link->idle_since_us > c.link->idle_since_us)
        c.link = link;
    }
  if (c.link)
    c.decision = PLC_USE;
  else if (now_us < i->open_after_us || opening >= HOME_OPENING_MAX)
    return c;
  else if (n < HOME_LINKS_MAX)
    c.decision = PLC_OPEN;
  else if (other)
    {
      c.decision = PLC_REPLACE;
      c.link = other;
    }
  return c;
}

static struct plc_choice
choose_link (struct svc_instance *i, const struct plc_need *need,
             int64_t now_us)
{
  struct plc_choice c = { PLC_WAIT, i, NULL };
  const struct vmt_vm *via;

  if (!need->paths)
    {
      c.link = plc_idle_link (i);
      if (c.link)
        c.decision = PLC_USE;
      else if (may_open (i, now_us))
        c.decision = PLC_OPEN;
      return c;
    }
  via = need->paths->find (need->paths, i, need->account, now_us);
  if (via)
    return choose_through (i, via->name, now_us);
  return choose_direct (i, need->account, need->waited_us, now_us);
}

static bool
is_eligible (const struct svc_instance *i, const struct plc_need *need,
             int64_t now_us)
{
  if (!svc_is_usable (i, now_us))
    /* A draining primary stays in use until the new one is confirmed.  */
    return need->primary_only && i->svc->primary == i
           && svc_may_stay_primary (i, now_us);
  if (need->primary_only)
    return svc_presumed_primary (i->svc, now_us) == i;
  if (lp_is_known (i->behind_position) && now_us < i->behind_until_us
      && lp_compare (need->min_position, i->behind_position) >= 0
      && lp_compare (i->position, need->min_position) < 0)
    return false;
  return true;
}

static int64_t
placement_cost (const struct svc_instance *i, const struct plc_need *need,
                bool idle)
{
  int32_t slots = MAX (i->entry->slots, 1);
  int64_t cost = ROUND_TRIP_WEIGHT * i->round_trip_us + i->exec_us
                 + i->exec_us * i->n_in_use / slots;

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
      struct plc_choice choice;
      int64_t cost;

      if (!is_eligible (i, need, now_us))
        continue;
      if (best.decision == PLC_NONE)
        best.decision = PLC_WAIT;
      if (now_us < i->busy_until_us || !has_room (i))
        continue;
      choice = choose_link (i, need, now_us);
      if (choice.decision == PLC_WAIT)
        continue;
      cost = placement_cost (i, need, choice.decision == PLC_USE);
      if (cost >= best_cost)
        continue;
      best_cost = cost;
      best = choice;
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

      if (i != except && is_eligible (i, need, now_us))
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
    c.decision = PLC_USE;
  else if (may_open (instance, now_us))
    c.decision = PLC_OPEN;
  return c;
}

struct plc_choice
plc_choose_account_link (struct svc_instance *instance, const char *account,
                         int64_t waited_us, bool needs_slot, int64_t now_us)
{
  struct plc_choice c = { PLC_WAIT, instance, NULL };

  if (needs_slot && !has_room (instance))
    return c;
  return choose_direct (instance, account, waited_us, now_us);
}
