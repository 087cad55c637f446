/* Connection pool of one instance on the HTTP path.  */
#include "connpool.h"

#include <string.h>

/* Limit of connections being opened at once, so that a new home does not flood
   its instance.  */
#define OPENING_MAX 2
#define RETRY_BASE_US 50000
#define RETRY_MAX_US 1000000
/* Failures to open in a row after which the instance counts as down.  */
#define DOWN_FAILURES 2

void
cpool_init (struct cpool *p, const struct cpool_options *options,
            const struct dcl_instance *instance)
{
  memset (p, 0, sizeof *p);
  p->options = *options;
  p->options.max = CLAMP (options->max, 1, CPOOL_MAX);
  p->options.warm = MIN (options->warm, p->options.max);
  p->instance = instance;
}

int32_t
cpool_count (const struct cpool *p, enum cpool_state state)
{
  int32_t n = 0;

  for (int32_t i = 0; i < CPOOL_MAX; i++)
    n += p->conns[i].state == state;
  return n;
}

bool
cpool_is_down (const struct cpool *p)
{
  return p->failures >= DOWN_FAILURES && cpool_count (p, CPOOL_IDLE) == 0
         && cpool_count (p, CPOOL_BUSY) == 0;
}

static struct cpool_conn *
find_conn (struct cpool *p, uint64_t id)
{
  for (int32_t i = 0; i < CPOOL_MAX; i++)
    if (p->conns[i].state != CPOOL_FREE && p->conns[i].id == id)
      return &p->conns[i];
  return NULL;
}

void
cpool_close (struct cpool *p)
{
  for (int32_t i = 0; i < CPOOL_MAX; i++)
    if (p->conns[i].state != CPOOL_FREE)
      {
        p->options.up->ops->close (p->options.up, p->conns[i].id);
        p->conns[i].state = CPOOL_FREE;
      }
}

static void
back_off (struct cpool *p, int64_t now_us, double jitter)
{
  int64_t delay = (int64_t)RETRY_BASE_US << MIN (p->failures, 5U);

  p->failures++;
  delay = MIN (delay, RETRY_MAX_US);
  /* Half of the delay is random, so that many new homes do not retry
     together.  */
  p->retry_at_us = now_us + delay / 2 + (int64_t)((double)delay / 2 * jitter);
  ctr_add (p->options.counters, CTR_CONNECTION_FAILED, 1);
}

static void
open_one (struct cpool *p, int64_t now_us)
{
  for (int32_t i = 0; i < CPOOL_MAX; i++)
    if (p->conns[i].state == CPOOL_FREE)
      {
        p->conns[i].state = CPOOL_OPENING;
        p->conns[i].id = ++*p->options.last_conn_id;
        p->conns[i].state_since_us = now_us;
        p->options.up->ops->open (p->options.up, p->conns[i].id, p->instance);
        return;
      }
}

void
cpool_tick (struct cpool *p, int32_t wanted, int64_t now_us, double jitter)
{
  int32_t target = MIN (MAX (wanted, p->options.warm), p->options.max);
  int32_t opening;
  int32_t total;

  for (int32_t i = 0; i < CPOOL_MAX; i++)
    if (p->conns[i].state == CPOOL_OPENING
        && now_us - p->conns[i].state_since_us
               > p->options.open_timeout_ms * 1000)
      {
        p->options.up->ops->close (p->options.up, p->conns[i].id);
        p->conns[i].state = CPOOL_FREE;
        back_off (p, now_us, jitter);
      }
  opening = cpool_count (p, CPOOL_OPENING);
  total = opening + cpool_count (p, CPOOL_IDLE) + cpool_count (p, CPOOL_BUSY);
  while (now_us >= p->retry_at_us && total < target && opening < OPENING_MAX)
    {
      open_one (p, now_us);
      opening++;
      total++;
    }
}

uint64_t
cpool_take (struct cpool *p, int64_t now_us)
{
  struct cpool_conn *best = NULL;

  for (int32_t i = 0; i < CPOOL_MAX; i++)
    if (p->conns[i].state == CPOOL_IDLE
        && (!best || p->conns[i].state_since_us > best->state_since_us))
      best = &p->conns[i];
  if (!best)
    return 0;
  best->state = CPOOL_BUSY;
  best->state_since_us = now_us;
  return best->id;
}

void
cpool_put (struct cpool *p, uint64_t conn, int64_t now_us)
{
  struct cpool_conn *c = find_conn (p, conn);

  if (!c)
    return;
  c->state = CPOOL_IDLE;
  c->state_since_us = now_us;
}

bool
cpool_drop (struct cpool *p, uint64_t conn, bool close)
{
  struct cpool_conn *c = find_conn (p, conn);

  if (!c)
    return false;
  if (close)
    p->options.up->ops->close (p->options.up, conn);
  c->state = CPOOL_FREE;
  return true;
}

bool
cpool_opened (struct cpool *p, uint64_t conn, bool ok, int64_t now_us,
              double jitter)
{
  struct cpool_conn *c = find_conn (p, conn);

  if (!c)
    return false;
  if (ok)
    {
      c->state = CPOOL_IDLE;
      c->state_since_us = now_us;
      p->failures = 0;
      ctr_add (p->options.counters, CTR_CONNECTION_OPENED, 1);
      return true;
    }
  c->state = CPOOL_FREE;
  back_off (p, now_us, jitter);
  return true;
}
