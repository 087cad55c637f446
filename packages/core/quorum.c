/* Confirmed primary, positions and ages of a database group.  */
#include "quorum.h"

#include <stdlib.h>
#include <string.h>

void
qrm_init (struct qrm *q, uint32_t n_instances)
{
  memset (q, 0, sizeof *q);
  q->n = n_instances;
  q->primary = QRM_NONE;
  q->primary_confirmed_us = INT64_MIN;
}

uint32_t
qrm_majority (const struct qrm *q)
{
  return q->n / 2 + 1;
}

uint64_t
qrm_highest_term (const struct qrm *q)
{
  uint64_t highest = 0;

  for (uint32_t i = 0; i < q->n; i++)
    if (q->reports[i].known && q->reports[i].status.granted_term > highest)
      highest = q->reports[i].status.granted_term;
  return highest;
}

bool
qrm_is_fresh (const struct qrm *q, uint32_t instance, int64_t now_us,
              int64_t window_us)
{
  const struct qrm_report *report = &q->reports[instance];

  return report->known && report->received_us > now_us - window_us;
}

uint32_t
qrm_count_fresh (const struct qrm *q, int64_t now_us, int64_t window_us)
{
  uint32_t count = 0;

  for (uint32_t i = 0; i < q->n; i++)
    count += qrm_is_fresh (q, i, now_us, window_us);
  return count;
}

/* True when the instance is, or follows, the primary of TERM and has granted
   no later term.  */
static bool
is_in_term (const struct qrm_report *report, uint64_t term)
{
  return report->known && report->status.term == term
         && report->status.granted_term == term
         && report->status.role != QRM_FENCED;
}

static int32_t
compare_descending (const void *a, const void *b)
{
  uint64_t x = *(const uint64_t *)a;
  uint64_t y = *(const uint64_t *)b;

  return x < y ? 1 : x > y ? -1 : 0;
}

/* Returns the position that a majority holds under TERM.  Replies of different
   moments may be combined: an instance that once held a position under TERM
   reports at least that position to any failover coordinator that fences it
   later.  */
static uint64_t
majority_position (const struct qrm *q, uint64_t term)
{
  uint64_t held[DCL_INSTANCES_MAX] = { 0 };

  for (uint32_t i = 0; i < q->n; i++)
    if (is_in_term (&q->reports[i], term))
      held[i] = q->reports[i].status.position;
  qsort (held, q->n, sizeof held[0], compare_descending);
  return held[qrm_majority (q) - 1];
}

/* Returns the latest local time at which a majority, including the primary, is
   known to have been in TERM; INT64_MIN when there is none.  */
static int64_t
confirmed_time (const struct qrm *q, uint64_t term, uint32_t primary)
{
  int64_t newest = INT64_MIN;

  for (uint32_t i = 0; i < q->n; i++)
    {
      uint32_t count = 0;
      int64_t t = q->reports[i].sent_us;

      if (!is_in_term (&q->reports[i], term)
          || t > q->reports[primary].sent_us)
        continue;
      for (uint32_t j = 0; j < q->n; j++)
        count
            += is_in_term (&q->reports[j], term) && q->reports[j].sent_us >= t;
      if (count >= qrm_majority (q) && t > newest)
        newest = t;
    }
  return newest;
}

/* Drops every second sample of the older half.  */
static void
thin_samples (struct qrm *q)
{
  uint32_t kept = 0;

  for (uint32_t i = 0; i < q->n_samples; i++)
    if (i >= QRM_SAMPLES / 2 || i % 2 == 0)
      q->samples[kept++] = q->samples[i];
  q->n_samples = kept;
}

static void
add_sample (struct qrm *q, int64_t at_us, uint64_t term, uint64_t position)
{
  uint32_t n = q->n_samples;
  struct qrm_sample sample = { at_us, term, position };

  if (n > 0 && at_us <= q->samples[n - 1].at_us)
    return;
  /* The same position at a later time replaces the earlier sample.  */
  if (n > 0 && q->samples[n - 1].term == term
      && q->samples[n - 1].position == position)
    {
      q->samples[n - 1] = sample;
      return;
    }
  if (n > 1 && at_us - q->samples[n - 2].at_us < QRM_SAMPLE_GAP_US)
    {
      q->samples[n - 1] = sample;
      return;
    }
  if (n == QRM_SAMPLES)
    thin_samples (q);
  q->samples[q->n_samples++] = sample;
}

/* Updates what is confirmed from the statuses, for the instance PRIMARY that
   reports to be primary of its term.  */
static bool
update_confirmed (struct qrm *q, uint32_t primary)
{
  const struct qrm_status *s = &q->reports[primary].status;
  int64_t since = confirmed_time (q, s->term, primary);
  uint64_t held;
  bool advanced = false;

  if (since == INT64_MIN || s->term < q->term)
    return false;
  if (s->term > q->term)
    {
      q->term = s->term;
      q->primary = primary;
      q->confirmed_position = 0;
      q->primary_confirmed_us = INT64_MIN;
      advanced = true;
    }
  if (since > q->primary_confirmed_us)
    {
      q->primary_confirmed_us = since;
      /* The primary's status was queried no earlier than SINCE, so all that
         was acknowledged before SINCE is at or below its position.  */
      add_sample (q, since, s->term, s->position);
      advanced = true;
    }
  /* Positions of earlier terms are confirmed only once a majority holds an
     entry of this term: until then a later primary could still replace
     them.  */
  held = majority_position (q, s->term);
  if (s->term_start > 0 && held >= s->term_start
      && held > q->confirmed_position)
    {
      q->confirmed_position = held;
      advanced = true;
    }
  return advanced;
}

bool
qrm_note_status (struct qrm *q, uint32_t instance, int64_t sent_us,
                 int64_t received_us, const struct qrm_status *status)
{
  struct qrm_report *report = &q->reports[instance];
  bool advanced = false;

  if (report->known && sent_us < report->sent_us)
    return false;
  report->known = true;
  report->sent_us = sent_us;
  report->received_us = received_us;
  report->status = *status;
  for (uint32_t i = 0; i < q->n; i++)
    if (q->reports[i].known && q->reports[i].status.role == QRM_PRIMARY
        && is_in_term (&q->reports[i], q->reports[i].status.term))
      advanced |= update_confirmed (q, i);
  return advanced;
}

int64_t
qrm_age_us (const struct qrm *q, uint64_t term, uint64_t position,
            int64_t now_us)
{
  for (uint32_t k = q->n_samples; k > 0; k--)
    {
      const struct qrm_sample *s = &q->samples[k - 1];

      if (s->term <= term && s->position <= position)
        return now_us > s->at_us ? now_us - s->at_us : 0;
    }
  return QRM_AGE_UNKNOWN;
}

int64_t
qrm_confirm_lag_us (const struct qrm *q, int64_t now_us)
{
  const struct qrm_sample *last;

  if (q->n_samples == 0)
    return QRM_AGE_UNKNOWN;
  last = &q->samples[q->n_samples - 1];
  if (last->term == q->term && last->position <= q->confirmed_position)
    return 0;
  return qrm_age_us (q, q->term, q->confirmed_position, now_us);
}

static bool
majority_write (const struct qrm *q, uint64_t term, uint64_t position)
{
  return q->term == term && q->confirmed_position >= position;
}

static bool
majority_read (const struct qrm *q, int64_t arrived_us, uint64_t term,
               uint64_t position)
{
  return majority_write (q, term, position)
         && q->primary_confirmed_us >= arrived_us;
}

static bool
primary_only_write (const struct qrm *q, uint64_t term, uint64_t position)
{
  (void)q;
  (void)term;
  (void)position;
  return true;
}

static bool
primary_only_read (const struct qrm *q, int64_t arrived_us, uint64_t term,
                   uint64_t position)
{
  (void)q;
  (void)arrived_us;
  (void)term;
  (void)position;
  return true;
}

const struct qrm_rule qrm_rule_majority
    = { "majority", majority_write, majority_read };
const struct qrm_rule qrm_rule_primary_only
    = { "primary-only", primary_only_write, primary_only_read };
