/* The granting side of account limits.  */
#include "grantor.h"

#include <math.h>
#include <string.h>

#define US_PER_S 1e6
/* A grantor whose entry may have ended goes on for so long with a share of its
   part: an outage of the directory ends it for all proxies at once, and nobody
   takes over before the directory is back.  */
#define RETAIN_US 15000000
/* The shares of two grantors of one part: that of the one that took over,
   which may be alone, and that of the one whose entry may have ended.  */
#define NEW_SHARE 0.7
#define RETAINED_SHARE (1 - NEW_SHARE)
/* Part of the burst that a bucket holds.  */
#define BURST_SHARE 0.25
/* Part of a bucket that stays for operations that wait; the rest may be
   granted ahead of need.  */
#define RESERVED_FOR_NEEDED 0.25
/* Shortest and longest wait told to a proxy that gets no grant.  */
#define WAIT_MIN_US 20000
#define WAIT_MAX_US 150000
/* The same if this proxy may not grant the part at all.  */
#define NOT_GRANTOR_WAIT_US 1000000
/* A part that is in use is asked for more often than this.  */
#define IN_USE_US 5000000
/* An unused bucket is full again after this time.  */
#define IDLE_US 60000000

struct bucket
{
  double level; /* operations */
  int64_t updated_us;
  double share;      /* of the part, as of the last update */
  int64_t chosen_us; /* this proxy was last asked as the chosen one */
};

struct qgr
{
  struct qgr_options options;
  int64_t started_us;
  GHashTable *buckets; /* "PART account" -> struct bucket * */
};

/* Rate and depth of the bucket of a part.  */
struct dimensions
{
  double rate_per_us;
  double depth;
};

struct qgr *
qgr_new (const struct qgr_options *options, int64_t now_us)
{
  struct qgr *g = g_new0 (struct qgr, 1);

  g->options = *options;
  g->started_us = now_us;
  g->buckets = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  return g;
}

void
qgr_free (struct qgr *g)
{
  if (!g)
    return;
  g_hash_table_destroy (g->buckets);
  g_free (g);
}

void
qgr_set_terms (struct qgr *g, const struct qgr_terms *terms)
{
  g->options.terms = *terms;
}

int64_t
qgr_takeover_us (const struct qgr *g)
{
  return g->options.entry_ttl_us + RETAIN_US;
}

/* Divides the bound of a window between the parts.  A grant may be used up to
   QGR_VALID_US later, so that a window sees the grants of a longer time.  The
   depth is the slack and a share of the burst; the rest of the bound is spread
   over the window, since an account may use the whole bound in each.  A bound
   of less than one operation for each part belongs to the first part alone. */
static struct dimensions
dimension (const struct qgr_terms *terms, const struct acc_limit *limit,
           uint32_t part)
{
  double seen_us = (double)(terms->window_us + QGR_VALID_US);
  double in_window = limit->rate_per_s / US_PER_S * (double)terms->window_us;
  double factor = 1 + terms->overage;
  double bound = factor * (in_window + limit->burst) + terms->slack;
  double n_parts = bound < QGR_PARTS ? 1 : QGR_PARTS;
  struct dimensions d = { 0 };

  if (part >= n_parts)
    return d;
  bound /= n_parts;
  d.depth = (factor * limit->burst * BURST_SHARE + terms->slack) / n_parts;
  d.depth = MIN (MAX (d.depth, 1), bound);
  d.rate_per_us = (bound - d.depth) / seen_us;
  return d;
}

/* The share of the part that a proxy of this standing may grant.  */
static double
share_of (const struct qgr *g, const struct qgr_standing *s, int64_t now_us)
{
  int64_t unconfirmed_us = now_us - s->confirmed_us;
  double share = 1;

  if (s->retained)
    return unconfirmed_us < g->options.entry_ttl_us + RETAIN_US
               ? RETAINED_SHARE
               : 0;
  if (!s->chosen || unconfirmed_us > g->options.entry_ttl_us + RETAIN_US)
    return 0;
  /* Only a proxy that is connected to the directory may take over.  */
  if (s->chosen_since_us > 0 && s->confirmed_us < s->chosen_since_us)
    return 0;
  if (s->chosen_since_us > 0
      && now_us - s->chosen_since_us < qgr_takeover_us (g))
    share = NEW_SHARE;
  if (unconfirmed_us > g->options.entry_ttl_us)
    share = MIN (share, RETAINED_SHARE);
  return share;
}

/* Since when a proxy of this standing may grant.  */
static int64_t
entitled_since_us (const struct qgr *g, const struct qgr_standing *s)
{
  return MAX (g->started_us, s->chosen_since_us);
}

static struct bucket *
find_bucket (const struct qgr *g, const struct qgr_request *r)
{
  char *key = g_strdup_printf ("%u %s", r->part, r->account);
  struct bucket *b = g_hash_table_lookup (g->buckets, key);

  g_free (key);
  return b;
}

static struct bucket *
get_bucket (struct qgr *g, const struct qgr_request *r, double share,
            int64_t since_us)
{
  struct bucket *b = find_bucket (g, r);
  char *key;

  if (!b)
    {
      b = g_new0 (struct bucket, 1);
      b->updated_us = since_us;
      b->share = share;
      key = g_strdup_printf ("%u %s", r->part, r->account);
      g_hash_table_insert (g->buckets, key, b);
      return b;
    }
  /* Another proxy was the grantor since the last update.  */
  if (b->updated_us < since_us)
    {
      b->updated_us = since_us;
      b->level = 0;
    }
  return b;
}

/* Adds what has accrued since the last update.  The share may have changed at
   any time since, so the lower one counts.  */
static void
refill (struct bucket *b, const struct dimensions *d, double share,
        int64_t now_us)
{
  double accrued = d->rate_per_us * (double)(now_us - b->updated_us)
                   * MIN (b->share, share);

  b->level = MIN (b->level + MAX (accrued, 0), d->depth * share);
  b->updated_us = now_us;
  b->share = share;
}

/* Returns true if this proxy granted the part when its former entry was last
   confirmed.  */
static bool
was_grantor (const struct qgr *g, const struct qgr_request *r,
             const struct qgr_standing *s)
{
  const struct bucket *b = find_bucket (g, r);

  return b && b->chosen_us >= s->confirmed_us - IN_USE_US;
}

static uint32_t
take (struct bucket *b, const struct dimensions *d,
      const struct qgr_request *r)
{
  double spare = b->level - d->depth * b->share * RESERVED_FOR_NEEDED;
  uint32_t needed = MIN (r->needed, (uint32_t)MAX (b->level, 0));
  uint32_t wanted = MIN (r->wanted, (uint32_t)MAX (spare, 0));
  uint32_t granted = MAX (needed, wanted);

  b->level -= granted;
  return granted;
}

/* The time until the next operation can be granted.  */
static int64_t
wait_for_next (const struct bucket *b, const struct dimensions *d)
{
  double rate_per_us = d->rate_per_us * b->share;
  double missing = 1 - b->level;

  if (rate_per_us * WAIT_MAX_US <= missing)
    return WAIT_MAX_US;
  return MAX ((int64_t)(missing / rate_per_us), WAIT_MIN_US);
}

void
qgr_grant (struct qgr *g, const struct qgr_request *request,
           const struct qgr_standing *standing, int64_t now_us,
           struct qgr_reply *reply)
{
  double share = share_of (g, standing, now_us);
  struct dimensions d
      = dimension (&g->options.terms, &request->limit, request->part);
  struct bucket *b;

  memset (reply, 0, sizeof *reply);
  reply->wait_us = NOT_GRANTOR_WAIT_US;
  if (share <= 0
      || (standing->retained && !was_grantor (g, request, standing)))
    return;
  b = get_bucket (g, request, share, entitled_since_us (g, standing));
  if (!standing->retained)
    b->chosen_us = now_us;
  refill (b, &d, share, now_us);
  reply->granted = take (b, &d, request);
  reply->wait_us = wait_for_next (b, &d);
}

static gboolean
is_idle (gpointer key, gpointer value, gpointer now_us)
{
  const struct bucket *b = value;

  (void)key;
  return *(int64_t *)now_us - b->updated_us > IDLE_US;
}

void
qgr_trim (struct qgr *g, int64_t now_us)
{
  g_hash_table_foreach_remove (g->buckets, is_idle, &now_us);
}
