/* The choice of the grantors.  */
#include "grantorset.h"

#include <string.h>

/* By how much later than the others a proxy counts itself as mature: the time
   in which its entry reaches them.  */
#define OWN_MATURITY_MARGIN_US 4000000
/* A proxy whose entry was confirmed within this time has missed no change of
   the directory.  */
#define CONNECTED_US 4000000
/* The time in which the others notice that an entry was written again.  */
#define NOTICE_US 1500000

/* Another proxy, which is listed or was until a while ago.  */
struct peer
{
  char *name;
  int64_t mature_us; /* it is mature from then on */
  int64_t gone_us;   /* it is not listed since, 0 = it is */
  int64_t left_us;   /* it was last no longer chosen from then on, 0 = never */
};

struct qgs
{
  struct qgs_options options;
  char *own;
  GHashTable *peers; /* name -> struct peer * */
  bool first_listed;
  int64_t first_listed_us;
  bool founding;          /* see qgs_note_first_listing */
  bool own_was_listed;    /* the same */
  int64_t own_written_us; /* its entry was first written then, 0 = not yet */
  int64_t confirmed_us;
  bool directory_reset; /* since its entry was last confirmed */
  int64_t lost_us; /* its entry is known to have ended since, 0 = it has not */
  /* Of the entry that ended before the present one was written, 0 = none.  */
  int64_t former_confirmed_us;
};

static void
free_peer (gpointer data)
{
  struct peer *p = data;

  g_free (p->name);
  g_free (p);
}

struct qgs *
qgs_new (const struct qgs_options *options)
{
  struct qgs *s = g_new0 (struct qgs, 1);

  s->options = *options;
  s->own = g_strdup (options->own);
  s->peers = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, free_peer);
  return s;
}

void
qgs_free (struct qgs *s)
{
  if (!s)
    return;
  g_hash_table_destroy (s->peers);
  g_free (s->own);
  g_free (s);
}

/* Returns true if P is no longer chosen at NOW_US.  */
static bool
has_left (const struct qgs *s, const struct peer *p, int64_t now_us)
{
  return p->gone_us > 0 && now_us - p->gone_us >= s->options.entry_ttl_us;
}

/* Returns true if a proxy that is listed now was not listed before.  Shortly
   after the first listing, or while this proxy was cut off from the directory,
   it may have been missing only for a moment.  */
static bool
is_newcomer (const struct qgs *s, int64_t now_us)
{
  return s->first_listed
         && now_us - s->first_listed_us >= s->options.entry_ttl_us
         && now_us - s->confirmed_us < CONNECTED_US;
}

void
qgs_note_listed (struct qgs *s, const char *name, int64_t now_us)
{
  struct peer *p = g_hash_table_lookup (s->peers, name);
  bool returns = p && p->gone_us > 0;

  if (strcmp (name, s->own) == 0 || (p && !returns))
    return;
  if (!p)
    {
      p = g_new0 (struct peer, 1);
      p->name = g_strdup (name);
      g_hash_table_insert (s->peers, p->name, p);
    }
  if (returns && has_left (s, p, now_us))
    p->left_us = p->gone_us + s->options.entry_ttl_us;
  if (!returns || has_left (s, p, now_us))
    p->mature_us
        = is_newcomer (s, now_us) ? now_us + s->options.entry_ttl_us : 0;
  p->gone_us = 0;
}

static gboolean
is_forgotten (gpointer key, gpointer value, gpointer limit_us)
{
  const struct peer *p = value;

  (void)key;
  return p->gone_us > 0 && p->gone_us < *(int64_t *)limit_us;
}

void
qgs_note_gone (struct qgs *s, const char *name, int64_t now_us)
{
  struct peer *p = g_hash_table_lookup (s->peers, name);
  int64_t limit_us = now_us - s->options.entry_ttl_us - s->options.takeover_us;

  if (p && p->gone_us == 0)
    p->gone_us = now_us;
  g_hash_table_foreach_remove (s->peers, is_forgotten, &limit_us);
}

void
qgs_note_first_listing (struct qgs *s, bool own, bool founding, int64_t now_us)
{
  s->first_listed = true;
  s->first_listed_us = now_us;
  s->own_was_listed = own;
  s->founding = founding;
}

/* The entry was lost and is written again.  Unless it was missing for too
   short a time for that, another proxy may have taken over.  It ended no
   earlier than its time to live after it was confirmed, if the directory lost
   nothing.  */
static void
rejoin (struct qgs *s, int64_t sent_us)
{
  int64_t ended_us
      = s->confirmed_us + (s->directory_reset ? 0 : s->options.entry_ttl_us);

  s->directory_reset = false;
  if (sent_us - ended_us < s->options.entry_ttl_us - NOTICE_US)
    return;
  s->former_confirmed_us = s->confirmed_us;
  s->founding = false;
  s->own_was_listed = false;
  s->own_written_us = sent_us;
}

/* This proxy was cut off from the directory: a peer that was gone before may
   have returned meanwhile.  */
static void
restart_absences (struct qgs *s, int64_t now_us)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, s->peers);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      struct peer *p = value;

      if (p->gone_us > 0 && !has_left (s, p, s->confirmed_us))
        p->gone_us = now_us;
    }
}

void
qgs_note_renewed (struct qgs *s, int64_t sent_us)
{
  if (sent_us - s->confirmed_us >= CONNECTED_US)
    restart_absences (s, sent_us);
  if (s->lost_us > 0)
    rejoin (s, sent_us);
  else if (s->own_written_us == 0)
    s->own_written_us = sent_us;
  s->lost_us = 0;
  s->directory_reset = false;
  s->confirmed_us = MAX (s->confirmed_us, sent_us);
}

void
qgs_note_entry_lost (struct qgs *s, int64_t now_us)
{
  if (s->lost_us == 0)
    s->lost_us = now_us;
}

void
qgs_note_directory_reset (struct qgs *s)
{
  s->directory_reset = true;
}

static uint64_t
weigh (const struct qgs *s, const char *key, const char *name)
{
  return s->options.weight (key, name);
}

/* When this proxy is mature, 0 = from its start.  After a restart it doesn't
   know which others left before, so that it counts as newly chosen.  */
static int64_t
own_mature_us (const struct qgs *s)
{
  if (s->founding)
    return 0;
  if (s->own_written_us == 0)
    return INT64_MAX;
  if (s->own_was_listed)
    return s->own_written_us;
  return s->own_written_us + s->options.entry_ttl_us + OWN_MATURITY_MARGIN_US;
}

static char *
make_key (const char *account, uint32_t part)
{
  return g_strdup_printf ("%s/%u", account, part);
}

/* Returns the best of the mature proxies, this one included if OWN.  */
static const char *
find_best (const struct qgs *s, const char *key, bool own, int64_t now_us)
{
  const char *best = own ? s->own : NULL;
  uint64_t best_weight = own ? weigh (s, key, s->own) : 0;
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, s->peers);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const struct peer *p = value;
      uint64_t weight;

      if (now_us < p->mature_us || has_left (s, p, now_us))
        continue;
      weight = weigh (s, key, p->name);
      if (best && weight <= best_weight)
        continue;
      best = p->name;
      best_weight = weight;
    }
  return best;
}

const char *
qgs_find (struct qgs *s, const char *account, uint32_t part, int64_t now_us)
{
  char *key = make_key (account, part);
  bool own = s->first_listed && now_us >= own_mature_us (s);
  const char *best = find_best (s, key, own, now_us);

  g_free (key);
  return best;
}

/* Since when no better proxy than this one is left, 0 = from its start.  */
static int64_t
chosen_since_us (const struct qgs *s, const char *key, int64_t now_us)
{
  uint64_t own_weight = weigh (s, key, s->own);
  int64_t since_us = own_mature_us (s);
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, s->peers);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const struct peer *p = value;
      int64_t left_us = has_left (s, p, now_us)
                            ? p->gone_us + s->options.entry_ttl_us
                            : p->left_us;

      if (left_us > since_us && weigh (s, key, p->name) > own_weight)
        since_us = left_us;
    }
  return since_us;
}

/* Returns true if this proxy was the grantor before its entry ended, and would
   be if it were mature.  */
static bool
is_retained (const struct qgs *s, const char *key, int64_t now_us)
{
  return s->former_confirmed_us > 0 && now_us < own_mature_us (s)
         && find_best (s, key, true, now_us) == s->own;
}

struct qgr_standing
qgs_standing (struct qgs *s, const char *account, uint32_t part,
              int64_t now_us)
{
  struct qgr_standing standing = { 0 };
  char *key = make_key (account, part);

  standing.confirmed_us = s->confirmed_us;
  standing.chosen = qgs_find (s, account, part, now_us) == s->own;
  if (standing.chosen)
    standing.chosen_since_us = chosen_since_us (s, key, now_us);
  else if (is_retained (s, key, now_us))
    {
      standing.retained = true;
      standing.confirmed_us = s->former_confirmed_us;
    }
  g_free (key);
  return standing;
}
