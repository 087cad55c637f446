/* Data connections to one instance.  */
#include "pool.h"

#include <string.h>

/* Openings under way at once: a new home must not flood its instance.  */
#define OPENING_MAX 2
#define RETRY_BASE_US 50000
#define RETRY_MAX_US 1000000
/* Failures in a row after which the instance counts as down.  */
#define DOWN_FAILURES 2

void
pool_init (struct pool *p, const struct pool_options *options,
           const struct dcl_instance *instance)
{
  memset (p, 0, sizeof *p);
  p->options = *options;
  p->options.max = CLAMP (options->max, 1, POOL_MAX);
  p->options.warm = MIN (options->warm, p->options.max);
  p->instance = instance;
}

int32_t
pool_count (const struct pool *p, enum pool_state state)
{
  int32_t n = 0;

  for (int32_t i = 0; i < POOL_MAX; i++)
    n += p->conns[i].state == state;
  return n;
}

bool
pool_is_down (const struct pool *p)
{
  return p->failures >= DOWN_FAILURES && pool_count (p, POOL_IDLE) == 0
         && pool_count (p, POOL_BUSY) == 0;
}

static struct pool_conn *
find_conn (struct pool *p, uint64_t id)
{
  for (int32_t i = 0; i < POOL_MAX; i++)
    if (p->conns[i].state != POOL_FREE && p->conns[i].id == id)
      return &p->conns[i];
  return NULL;
}

void
pool_close (struct pool *p)
{
  for (int32_t i = 0; i < POOL_MAX; i++)
    if (p->conns[i].state != POOL_FREE)
      {
        p->options.up->ops->close (p->options.up, p->conns[i].id);
        p->conns[i].state = POOL_FREE;
      }
}

static void
back_off (struct pool *p, int64_t now_us, double jitter)
{
  int64_t delay = (int64_t)RETRY_BASE_US << MIN (p->failures, 5U);

  p->failures++;
  delay = MIN (delay, RETRY_MAX_US);
  /* Half fixed, half random: a rack of new homes spreads out.  */
  p->retry_us = now_us + delay / 2 + (int64_t)((double)delay / 2 * jitter);
  ctr_add (p->options.counters, CTR_CONNECTION_FAILED, 1);
}

static void
open_one (struct pool *p, int64_t now_us)
{
  for (int32_t i = 0; i < POOL_MAX; i++)
    if (p->conns[i].state == POOL_FREE)
      {
        p->conns[i].state = POOL_OPENING;
        p->conns[i].id = ++*p->options.next_conn;
        p->conns[i].since_us = now_us;
        p->options.up->ops->open (p->options.up, p->conns[i].id, p->instance);
        return;
      }
}

void
pool_tick (struct pool *p, int32_t wanted, int64_t now_us, double jitter)
{
  int32_t target = MIN (MAX (wanted, p->options.warm), p->options.max);
  int32_t opening;
  int32_t total;

  for (int32_t i = 0; i < POOL_MAX; i++)
    if (p->conns[i].state == POOL_OPENING
        && now_us - p->conns[i].since_us > p->options.open_timeout_ms * 1000)
      {
        p->options.up->ops->close (p->options.up, p->conns[i].id);
        p->conns[i].state = POOL_FREE;
        back_off (p, now_us, jitter);
      }
  opening = pool_count (p, POOL_OPENING);
  total = opening + pool_count (p, POOL_IDLE) + pool_count (p, POOL_BUSY);
  while (now_us >= p->retry_us && total < target && opening < OPENING_MAX)
    {
      open_one (p, now_us);
      opening++;
      total++;
    }
}

uint64_t
pool_take (struct pool *p, int64_t now_us)
{
  struct pool_conn *best = NULL;

  for (int32_t i = 0; i < POOL_MAX; i++)
    if (p->conns[i].state == POOL_IDLE
        && (!best || p->conns[i].since_us > best->since_us))
      best = &p->conns[i];
  if (!best)
    return 0;
  best->state = POOL_BUSY;
  best->since_us = now_us;
  return best->id;
}

void
pool_put (struct pool *p, uint64_t conn, int64_t now_us)
{
  struct pool_conn *c = find_conn (p, conn);

  if (!c)
    return;
  c->state = POOL_IDLE;
  c->since_us = now_us;
}

bool
pool_drop (struct pool *p, uint64_t conn, bool close)
{
  struct pool_conn *c = find_conn (p, conn);

  if (!c)
    return false;
  if (close)
    p->options.up->ops->close (p->options.up, conn);
  c->state = POOL_FREE;
  return true;
}

bool
pool_opened (struct pool *p, uint64_t conn, bool ok, int64_t now_us,
             double jitter)
{
  struct pool_conn *c = find_conn (p, conn);

  if (!c)
    return false;
  if (ok)
    {
      c->state = POOL_IDLE;
      c->since_us = now_us;
      p->failures = 0;
      ctr_add (p->options.counters, CTR_CONNECTION_OPENED, 1);
      return true;
    }
  c->state = POOL_FREE;
  back_off (p, now_us, jitter);
  return true;
}
