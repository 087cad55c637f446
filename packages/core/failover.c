/* Failover of one database group on the HTTP path.  */
#include "failover.h"

#include "units.h"
#include <string.h>

#define REPAIR_INTERVAL_MS 300

void
fo_init (struct fo *f, int64_t now_us)
{
  memset (f, 0, sizeof *f);
  f->started_us = now_us;
  f->highest_term_seen_us = now_us;
}

/* Returns the primary with the highest term that replied within WINDOW_US,
   QRM_NONE when there is none.  */
static uint32_t
find_reachable_primary (const struct qrm *q, int64_t now_us, int64_t window_us)
{
  uint32_t best = QRM_NONE;

  for (uint32_t i = 0; i < q->n; i++)
    if (qrm_is_fresh (q, i, now_us, window_us)
        && q->reports[i].status.role == QRM_PRIMARY
        && q->reports[i].status.granted_term == q->reports[i].status.term
        && (best == QRM_NONE
            || q->reports[i].status.term > q->reports[best].status.term))
      best = i;
  return best;
}

/* Number of instances that granted a later term than TERM.  */
static uint32_t
count_granted_later (const struct qrm *q, uint64_t term)
{
  uint32_t n = 0;

  for (uint32_t i = 0; i < q->n; i++)
    n += q->reports[i].known && q->reports[i].status.granted_term > term;
  return n;
}

/* Number of reachable replicas connected to the primary of TERM, or of their
   own term if TERM is 0.  */
static uint32_t
count_connected_replicas (const struct qrm *q, uint64_t term, int64_t now_us)
{
  uint32_t n = 0;

  for (uint32_t i = 0; i < q->n; i++)
    {
      const struct qrm_status *s = &q->reports[i].status;

      n += qrm_is_fresh (q, i, now_us, FO_DETECT_MS * US_PER_MS)
           && s->role == QRM_REPLICA && s->granted_term == s->term
           && (term == 0 || s->term == term)
           && s->source_silent_ms < FO_SOURCE_SILENT_MS;
    }
  return n;
}

/* True when this proxy is home of the instance last known as primary and has
   had no reply from it for FO_HOME_SILENT_MS.  */
static bool
is_silent_to_home (const struct fo *f, const struct qrm *q, uint32_t home_mask,
                   int64_t now_us)
{
  return q->primary != QRM_NONE && (home_mask & (1U << q->primary)) != 0
         && now_us - f->started_us > FO_HOME_SILENT_MS * US_PER_MS
         && !qrm_is_fresh (q, q->primary, now_us,
                           FO_HOME_SILENT_MS * US_PER_MS);
}

/* True when this proxy is home of the healthy primary and an instance has
   granted a later term than the primary's, without a primary of that term for
   FO_RAISE_TERM_MS: that instance cannot follow the primary any more.  */
static bool
needs_higher_term (const struct fo *f, uint32_t primary, uint64_t term,
                   uint32_t home_mask, int64_t now_us)
{
  return (home_mask & (1U << primary)) != 0 && f->highest_term > term
         && now_us - f->highest_term_seen_us > FO_RAISE_TERM_MS * US_PER_MS;
}

enum fo_decision
fo_evaluate (const struct fo *f, const struct qrm *q, uint32_t home_mask,
             int64_t now_us)
{
  int64_t detect_us = FO_DETECT_MS * US_PER_MS;
  uint32_t primary = find_reachable_primary (q, now_us, detect_us);
  uint32_t majority = qrm_majority (q);
  uint64_t term;

  if (qrm_count_fresh (q, now_us, detect_us) < majority)
    return now_us - f->started_us < detect_us ? FO_WAIT : FO_NO_MAJORITY;
  if (primary != QRM_NONE
      && count_granted_later (q, q->reports[primary].status.term) < majority)
    {
      term = q->reports[primary].status.term;
      if (1 + count_connected_replicas (q, term, now_us) >= majority)
        return needs_higher_term (f, primary, term, home_mask, now_us)
                   ? FO_PRIMARY_LOST
                   : FO_HEALTHY;
      /* Its replicas have lost it although this proxy reaches it.  A new
         primary gets time for its replicas to connect.  */
      return now_us - f->highest_term_seen_us < 3 * detect_us
                 ? FO_WAIT
                 : FO_PRIMARY_LOST;
    }
  if (now_us - f->started_us < detect_us
      || now_us - f->highest_term_seen_us < FO_COMPETITOR_MS * US_PER_MS)
    return FO_WAIT;
  /* No primary replies to this proxy, but enough replicas are connected to one
     to form a majority with it: only its home may replace it.  */
  if (primary == QRM_NONE
      && 1 + count_connected_replicas (q, 0, now_us) >= majority
      && majority > 1)
    return is_silent_to_home (f, q, home_mask, now_us) ? FO_PRIMARY_LOST
                                                       : FO_WAIT;
  return FO_PRIMARY_LOST;
}

/* Extra delay before the failover of a group whose primary has changed
   FO_FLAP_CHANGES times or more within FO_FLAP_WINDOW_MS.  */
static int64_t
flap_delay_us (const struct fo *f, int64_t now_us)
{
  uint32_t recent = 0;
  int64_t wait;

  for (uint32_t i = 0; i < f->n_primary_changes; i++)
    recent
        += f->primary_changes_us[i] > now_us - FO_FLAP_WINDOW_MS * US_PER_MS;
  if (recent < FO_FLAP_CHANGES)
    return 0;
  wait = (int64_t)FO_DAMP_BASE_MS << (recent - FO_FLAP_CHANGES);
  return MIN (wait, FO_DAMP_MAX_MS) * US_PER_MS;
}

static void
enter_state (struct fo *f, enum fo_state state, int64_t now_us)
{
  f->state = state;
  f->state_since_us = now_us;
}

static void
note_primary_change (struct fo *f, const struct qrm *q, int64_t now_us)
{
  uint32_t max = G_N_ELEMENTS (f->primary_changes_us);
  uint64_t highest = qrm_highest_term (q);

  if (highest > f->highest_term)
    {
      f->highest_term = highest;
      f->highest_term_seen_us = now_us;
    }
  if (q->term <= f->latest_primary_term)
    return;
  /* The first primary that this proxy sees does not count as a change.  */
  if (f->latest_primary_term > 0)
    {
      if (f->n_primary_changes == max)
        memmove (f->primary_changes_us, f->primary_changes_us + 1,
                 --f->n_primary_changes * sizeof f->primary_changes_us[0]);
      f->primary_changes_us[f->n_primary_changes++] = now_us;
    }
  f->latest_primary_term = q->term;
}

static void
start_fencing (struct fo *f, const struct qrm *q, int64_t now_us)
{
  f->term = qrm_highest_term (q) + 1;
  f->granted_mask = 0;
  f->attempts++;
  for (uint32_t i = 0; i < q->n; i++)
    f->commands[i] = FO_CMD_FENCE;
  enter_state (f, FO_FENCE, now_us);
}

/* Abandons the attempt.  If the primary is still lost, another one follows
   after the delay for rank and jitter.  */
static void
abandon_attempt (struct fo *f, const struct qrm *q, int64_t now_us)
{
  for (uint32_t i = 0; i < q->n; i++)
    f->commands[i] = FO_CMD_NONE;
  f->lost_since_us = 0;
  enter_state (f, FO_WATCH, now_us);
}

static void
schedule_fencing (struct fo *f, const struct qrm *q,
                  const struct fo_local *local, int64_t now_us)
{
  if (f->lost_since_us == 0)
    {
      f->lost_since_us = now_us;
      f->act_at_us
          = now_us + local->rank * FO_RANK_STEP_MS * US_PER_MS
            + (int64_t)(local->jitter * FO_JITTER_MS * (double)US_PER_MS)
            + flap_delay_us (f, now_us);
    }
  if (now_us >= f->act_at_us)
    start_fencing (f, q, now_us);
}

/* The home of a live primary makes reachable instances that do not replicate
   from it follow it.  */
static void
repair_followers (struct fo *f, const struct qrm *q, uint32_t home_mask,
                  int64_t now_us)
{
  uint32_t p = find_reachable_primary (q, now_us, FO_DETECT_MS * US_PER_MS);
  const struct qrm_status *s;

  if (p == QRM_NONE || (home_mask & (1U << p)) == 0
      || now_us < f->next_repair_us)
    return;
  s = &q->reports[p].status;
  if (count_granted_later (q, s->term) >= qrm_majority (q))
    return;
  f->next_repair_us = now_us + REPAIR_INTERVAL_MS * US_PER_MS;
  f->follow_term = s->term;
  f->follow_target = p;
  for (uint32_t i = 0; i < q->n; i++)
    {
      const struct qrm_status *o = &q->reports[i].status;

      if (i == p || !qrm_is_fresh (q, i, now_us, FO_DETECT_MS * US_PER_MS))
        continue;
      if (o->granted_term <= s->term
          && (o->term != s->term || o->role != QRM_REPLICA))
        f->commands[i] = FO_CMD_FOLLOW;
    }
}

void
fo_tick (struct fo *f, const struct qrm *q, const struct fo_local *local,
         int64_t now_us)
{
  enum fo_decision decision;

  note_primary_change (f, q, now_us);
  if (f->state != FO_WATCH)
    {
      if (now_us - f->state_since_us > FO_FENCE_TIMEOUT_MS * US_PER_MS)
        abandon_attempt (f, q, now_us);
      return;
    }
  decision = fo_evaluate (f, q, local->home_mask, now_us);
  if (decision == FO_PRIMARY_LOST)
    schedule_fencing (f, q, local, now_us);
  else
    f->lost_since_us = 0;
  if (f->state == FO_WATCH)
    repair_followers (f, q, local->home_mask, now_us);
}

/* Returns the granting instance with the most advanced log, compared by the
   term of the last entry and then by position.  */
static uint32_t
choose_target (const struct fo *f, uint32_t n)
{
  uint32_t best = QRM_NONE;

  for (uint32_t i = 0; i < n; i++)
    {
      const struct qrm_status *s = &f->grants[i];

      if ((f->granted_mask & (1U << i)) == 0)
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
  f->granted_mask |= 1U << instance;
  f->grants[instance] = *status;
  if ((uint32_t)__builtin_popcount (f->granted_mask) < needed)
    return;
  f->target = choose_target (f, q->n);
  f->commands[f->target] = FO_CMD_PROMOTE;
  enter_state (f, FO_PROMOTE, now_us);
}

static void
on_promoted (struct fo *f, const struct qrm *q,
             const struct qrm_status *status, int64_t now_us)
{
  if (!status || status->role != QRM_PRIMARY || status->term != f->term)
    {
      abandon_attempt (f, q, now_us);
      return;
    }
  f->promotions++;
  f->lost_since_us = 0;
  f->follow_term = f->term;
  f->follow_target = f->target;
  for (uint32_t i = 0; i < q->n; i++)
    f->commands[i] = i == f->target ? FO_CMD_NONE : FO_CMD_FOLLOW;
  f->highest_term = MAX (f->highest_term, f->term);
  f->highest_term_seen_us = now_us;
  enter_state (f, FO_WATCH, now_us);
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
