/* Failover of one database group.  */
#include "failover.h"

#include "units.h"
#include <string.h>

#define REPAIR_INTERVAL_MS 300

void
fo_init (struct fo *f, int64_t now_us)
{
  memset (f, 0, sizeof *f);
  f->started_us = now_us;
  f->highest_us = now_us;
}

/* The reachable primary of the highest term, QRM_NONE when there is none.  */
static uint32_t
find_primary (const struct qrm *q, int64_t now_us, int64_t window_us)
{
  uint32_t best = QRM_NONE;

  for (uint32_t i = 0; i < q->n; i++)
    if (qrm_is_fresh (q, i, now_us, window_us)
        && q->seen[i].status.role == QRM_PRIMARY
        && q->seen[i].status.granted_term == q->seen[i].status.term
        && (best == QRM_NONE
            || q->seen[i].status.term > q->seen[best].status.term))
      best = i;
  return best;
}

/* Instances that promised to a later term than TERM.  */
static uint32_t
count_against (const struct qrm *q, uint64_t term)
{
  uint32_t n = 0;

  for (uint32_t i = 0; i < q->n; i++)
    n += q->seen[i].known && q->seen[i].status.granted_term > term;
  return n;
}

/* Reachable replicas that hear a primary now.  */
static uint32_t
count_hearing (const struct qrm *q, uint64_t term, int64_t now_us)
{
  uint32_t n = 0;

  for (uint32_t i = 0; i < q->n; i++)
    {
      const struct qrm_status *s = &q->seen[i].status;

      n += qrm_is_fresh (q, i, now_us, FO_DETECT_MS * US_PER_MS)
           && s->role == QRM_REPLICA && s->granted_term == s->term
           && (term == 0 || s->term == term)
           && s->source_silent_ms < FO_SOURCE_SILENT_MS;
    }
  return n;
}

/* True when this proxy is home of the instance last known as primary and has
   not heard it for FO_UNSERVED_MS.  */
static bool
is_unserved (const struct fo *f, const struct qrm *q, uint32_t owned,
             int64_t now_us)
{
  return q->primary != QRM_NONE && (owned & (1U << q->primary)) != 0
         && now_us - f->started_us > FO_UNSERVED_MS * US_PER_MS
         && !qrm_is_fresh (q, q->primary, now_us, FO_UNSERVED_MS * US_PER_MS);
}

/* True when an instance has promised to a later term than the healthy primary
   of our own leads, and nobody has led that term.  */
static bool
is_outbid (const struct fo *f, uint32_t primary, uint64_t term, uint32_t owned,
           int64_t now_us)
{
  return (owned & (1U << primary)) != 0 && f->highest_term > term
         && now_us - f->highest_us > FO_OUTBID_MS * US_PER_MS;
}

enum fo_verdict
fo_judge (const struct fo *f, const struct qrm *q, uint32_t owned,
          int64_t now_us)
{
  int64_t detect_us = FO_DETECT_MS * US_PER_MS;
  uint32_t primary = find_primary (q, now_us, detect_us);
  uint32_t majority = qrm_majority (q);
  uint64_t term;

  if (qrm_count_fresh (q, now_us, detect_us) < majority)
    return now_us - f->started_us < detect_us ? FO_WAIT : FO_NO_MAJORITY;
  if (primary != QRM_NONE
      && count_against (q, q->seen[primary].status.term) < majority)
    {
      term = q->seen[primary].status.term;
      if (1 + count_hearing (q, term, now_us) >= majority)
        return is_outbid (f, primary, term, owned, now_us) ? FO_LOST
                                                           : FO_HEALTHY;
      /* Its replicas have lost it although we reach it.  A new primary gets
         time to collect its followers.  */
      return now_us - f->highest_us < 3 * detect_us ? FO_WAIT : FO_LOST;
    }
  if (now_us - f->started_us < detect_us
      || now_us - f->highest_us < FO_RIVAL_MS * US_PER_MS)
    return FO_WAIT;
  if (primary == QRM_NONE && 1 + count_hearing (q, 0, now_us) >= majority
      && majority > 1)
    return is_unserved (f, q, owned, now_us) ? FO_LOST : FO_WAIT;
  return FO_LOST;
}

/* Extra wait of a group whose primary changes again and again.  */
static int64_t
damping_us (const struct fo *f, int64_t now_us)
{
  uint32_t recent = 0;
  int64_t wait;

  for (uint32_t i = 0; i < f->n_changes; i++)
    recent += f->changes_us[i] > now_us - FO_FLAP_WINDOW_MS * US_PER_MS;
  if (recent < FO_FLAP_CHANGES)
    return 0;
  wait = (int64_t)FO_DAMP_BASE_MS << (recent - FO_FLAP_CHANGES);
  return MIN (wait, FO_DAMP_MAX_MS) * US_PER_MS;
}

static void
enter (struct fo *f, enum fo_state state, int64_t now_us)
{
  f->state = state;
  f->state_us = now_us;
}

static void
note_change (struct fo *f, const struct qrm *q, int64_t now_us)
{
  uint32_t max = G_N_ELEMENTS (f->changes_us);
  uint64_t highest = qrm_highest_term (q);

  if (highest > f->highest_term)
    {
      f->highest_term = highest;
      f->highest_us = now_us;
    }
  if (q->term <= f->led_term)
    return;
  /* The first primary seen is no change.  */
  if (f->led_term > 0)
    {
      if (f->n_changes == max)
        memmove (f->changes_us, f->changes_us + 1,
                 --f->n_changes * sizeof f->changes_us[0]);
      f->changes_us[f->n_changes++] = now_us;
    }
  f->led_term = q->term;
}

static void
start_fencing (struct fo *f, const struct qrm *q, int64_t now_us)
{
  f->term = qrm_highest_term (q) + 1;
  f->granted = 0;
  f->attempts++;
  for (uint32_t i = 0; i < q->n; i++)
    f->commands[i] = FO_CMD_FENCE;
  enter (f, FO_FENCE, now_us);
}

/* Gives up the attempt; another may follow after rank and jitter.  */
static void
give_up (struct fo *f, const struct qrm *q, int64_t now_us)
{
  for (uint32_t i = 0; i < q->n; i++)
    f->commands[i] = FO_CMD_NONE;
  f->lost_us = 0;
  enter (f, FO_WATCH, now_us);
}

static void
watch_loss (struct fo *f, const struct qrm *q, const struct fo_place *place,
            int64_t now_us)
{
  if (f->lost_us == 0)
    {
      f->lost_us = now_us;
      f->act_us = now_us + place->rank * FO_RANK_STEP_MS * US_PER_MS
                  + (int64_t)(place->jitter * FO_JITTER_MS * (double)US_PER_MS)
                  + damping_us (f, now_us);
    }
  if (now_us >= f->act_us)
    start_fencing (f, q, now_us);
}

/* The home of a living primary points stragglers at it.  */
static void
repair_followers (struct fo *f, const struct qrm *q, uint32_t owned,
                  int64_t now_us)
{
  uint32_t p = find_primary (q, now_us, FO_DETECT_MS * US_PER_MS);
  const struct qrm_status *s;

  if (p == QRM_NONE || (owned & (1U << p)) == 0 || now_us < f->repair_us)
    return;
  s = &q->seen[p].status;
  if (count_against (q, s->term) >= qrm_majority (q))
    return;
  f->repair_us = now_us + REPAIR_INTERVAL_MS * US_PER_MS;
  f->follow_term = s->term;
  f->follow_target = p;
  for (uint32_t i = 0; i < q->n; i++)
    {
      const struct qrm_status *o = &q->seen[i].status;

      if (i == p || !qrm_is_fresh (q, i, now_us, FO_DETECT_MS * US_PER_MS))
        continue;
      if (o->granted_term <= s->term
          && (o->term != s->term || o->role != QRM_REPLICA))
        f->commands[i] = FO_CMD_FOLLOW;
    }
}

void
fo_tick (struct fo *f, const struct qrm *q, const struct fo_place *place,
         int64_t now_us)
{
  enum fo_verdict verdict;

  note_change (f, q, now_us);
  if (f->state != FO_WATCH)
    {
      if (now_us - f->state_us > FO_FENCE_TIMEOUT_MS * US_PER_MS)
        give_up (f, q, now_us);
      return;
    }
  verdict = fo_judge (f, q, place->owned, now_us);
  if (verdict == FO_LOST)
    watch_loss (f, q, place, now_us);
  else
    f->lost_us = 0;
  if (f->state == FO_WATCH)
    repair_followers (f, q, place->owned, now_us);
}

/* The granting instance with the most advanced log: the term of its last entry
   counts before its position.  */
static uint32_t
choose_target (const struct fo *f, uint32_t n)
{
  uint32_t best = QRM_NONE;

  for (uint32_t i = 0; i < n; i++)
    {
      const struct qrm_status *s = &f->grants[i];

      if ((f->granted & (1U << i)) == 0)
        continue;
      if (best == QRM_NONE || s->last_term > f->grants[best].last_term
          || (s->last_term == f->grants[best].last_term
              && s->position > f->grants[best].position))
        best = i;
    }
  return best;
}

static void
on_grant (struct fo *f, const struct qrm *q, uint32_t instance,
          const struct qrm_status *status, int64_t now_us)
{
  uint32_t needed = f->unfenced ? 1 : qrm_majority (q);

  if (!status || status->granted_term != f->term)
    return;
  f->granted |= 1U << instance;
  f->grants[instance] = *status;
  if ((uint32_t)__builtin_popcount (f->granted) < needed)
    return;
  f->target = choose_target (f, q->n);
  f->commands[f->target] = FO_CMD_PROMOTE;
  enter (f, FO_PROMOTE, now_us);
}

static void
on_promoted (struct fo *f, const struct qrm *q,
             const struct qrm_status *status, int64_t now_us)
{
  if (!status || status->role != QRM_PRIMARY || status->term != f->term)
    {
      give_up (f, q, now_us);
      return;
    }
  f->promotions++;
  f->lost_us = 0;
  f->follow_term = f->term;
  f->follow_target = f->target;
  for (uint32_t i = 0; i < q->n; i++)
    f->commands[i] = i == f->target ? FO_CMD_NONE : FO_CMD_FOLLOW;
  f->highest_term = MAX (f->highest_term, f->term);
  f->highest_us = now_us;
  enter (f, FO_WATCH, now_us);
}

void
fo_reply (struct fo *f, const struct qrm *q, uint32_t instance,
          enum fo_command command, const struct qrm_status *status,
          int64_t now_us)
{
  if (command == FO_CMD_FENCE && f->state == FO_FENCE)
    on_grant (f, q, instance, status, now_us);
  else if (command == FO_CMD_PROMOTE && f->state == FO_PROMOTE
           && instance == f->target)
    on_promoted (f, q, status, now_us);
}

uint64_t
fo_command_term (const struct fo *f, enum fo_command command)
{
  return command == FO_CMD_FOLLOW ? f->follow_term : f->term;
}
