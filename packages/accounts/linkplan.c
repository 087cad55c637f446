/* Connections that belong to an account.  */
#include "linkplan.h"

#include <string.h>

/* A connection gives way to another account once it was idle for this time,
   which is about what it costs to open it again ...  */
#define REPLACE_IDLE_US 20000
/* ... or at once for a statement that has waited for this time.  */
#define REPLACE_WAIT_US 50000
/* No account may hold more than all but one in this many connections, so that
   the others can always run something.  */
#define OTHERS_ONE_IN 4

/* The connections of the account and of all.  */
struct tally
{
  uint32_t own;
  uint32_t own_opening;
  int32_t idle_own;   /* the last one used, -1 = none */
  int32_t idle_other; /* the first to give way, -1 = none */
};

static bool
is_better (const struct lpl_link *links, int32_t best, uint32_t n, bool newer)
{
  if (best < 0)
    return true;
  return newer ? links[n].idle_since_us > links[best].idle_since_us
               : links[n].idle_since_us < links[best].idle_since_us;
}

static void
count_own (struct tally *t, const struct lpl_link *links, uint32_t n)
{
  t->own++;
  t->own_opening += links[n].state == LPL_OPENING ? 1 : 0;
  /* The most recently used one, so that the others stay idle and can give
     way.  */
  if (links[n].state == LPL_IDLE && is_better (links, t->idle_own, n, true))
    t->idle_own = (int32_t)n;
}

static struct tally
count_links (const char *account, const struct lpl_link *links,
             uint32_t n_links)
{
  struct tally t = { 0, 0, -1, -1 };

  for (uint32_t n = 0; n < n_links; n++)
    {
      if (strcmp (links[n].account, account) == 0)
        count_own (&t, links, n);
      else if (links[n].state == LPL_IDLE
               && is_better (links, t.idle_other, n, false))
        t.idle_other = (int32_t)n;
    }
  return t;
}

static uint32_t
account_max (uint32_t links_max)
{
  uint32_t max = links_max - links_max / OTHERS_ONE_IN;

  return max > 0 ? max : 1;
}

static bool
may_replace (const struct lpl_demand *demand, const struct lpl_link *victim,
             int64_t now_us)
{
  return now_us - victim->idle_since_us >= REPLACE_IDLE_US
         || demand->waited_us >= REPLACE_WAIT_US;
}

struct lpl_choice
lpl_choose (const struct lpl_demand *demand, const struct lpl_link *links,
            uint32_t n_links, int64_t now_us)
{
  struct tally t = count_links (demand->account, links, n_links);
  struct lpl_choice c = { LPL_WAIT, 0 };

  if (t.idle_own >= 0)
    {
      c.action = LPL_USE;
      c.link = (uint32_t)t.idle_own;
    }
  else if (t.own_opening > 0 || t.own >= account_max (demand->links_max))
    c.action = LPL_WAIT;
  else if (n_links < demand->links_max)
    c.action = LPL_OPEN;
  else if (t.idle_other >= 0
           && may_replace (demand, &links[t.idle_other], now_us))
    {
      c.action = LPL_REPLACE;
      c.link = (uint32_t)t.idle_other;
    }
  return c;
}
