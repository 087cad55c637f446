/* Tables of reasons, retry causes and refusals; counters and metrics.  */
#include "reason.h"

#include <string.h>

struct rsn_row
{
  const char *name;
  enum rsn_outcome outcome;
  int32_t http_status;
  int32_t retry_after_s;
};

static const struct rsn_row rsn_rows[RSN_COUNT] = {
#define R(sym, text, outcome, http, after)                                    \
  { text, RSN_##outcome, http, after },
#include "reasons.def"
#undef R
};

static const char *const retry_names[RETRY_COUNT] = {
#define T(sym, text) text,
#include "retries.def"
#undef T
};

static const char *const counter_names[CTR_COUNT] = {
#define C(sym, name, help) name,
#include "counters.def"
#undef C
};

static const char *const counter_helps[CTR_COUNT] = {
#define C(sym, name, help) help,
#include "counters.def"
#undef C
};

static const char *const refusal_names[RFS_COUNT] = {
#define F(sym, name, text) name,
#include "refusal.def"
#undef F
};

static const char *const refusal_texts[RFS_COUNT] = {
#define F(sym, name, text) text,
#include "refusal.def"
#undef F
};

static const int64_t bucket_bounds_us[CTR_BUCKETS - 1]
    = { 100,   250,    500,    1000,   2500,    5000,    10000,  25000,
        50000, 100000, 250000, 500000, 1000000, 2500000, 5000000 };

const char *
rsn_name (enum rsn reason)
{
  return rsn_rows[reason].name;
}

enum rsn_outcome
rsn_outcome_of (enum rsn reason)
{
  return rsn_rows[reason].outcome;
}

const char *
rsn_outcome_name (enum rsn_outcome outcome)
{
  switch (outcome)
    {
    case RSN_DONE:
      return "done";
    case RSN_NOT_RUN:
      return "not_run";
    case RSN_UNKNOWN:
      break;
    }
  return "unknown";
}

int32_t
rsn_http_status (enum rsn reason)
{
  return rsn_rows[reason].http_status;
}

int32_t
rsn_retry_after_s (enum rsn reason)
{
  return rsn_rows[reason].retry_after_s;
}

const char *
rsn_retry_name (enum rsn_retry retry)
{
  return retry_names[retry];
}

const char *
rfs_name (enum rfs refusal)
{
  return refusal_names[refusal];
}

const char *
rfs_text (enum rfs refusal)
{
  return refusal_texts[refusal];
}

static void
add (ctr_cell *cell, uint64_t n)
{
  atomic_fetch_add_explicit (cell, n, memory_order_relaxed);
}

void
ctr_add (struct ctr_set *set, enum ctr counter, uint64_t n)
{
  add (&set->counter[counter], n);
}

void
ctr_count_reason (struct ctr_set *set, enum rsn reason)
{
  add (&set->reason[reason], 1);
}

void
ctr_count_retry (struct ctr_set *set, enum rsn_retry retry)
{
  add (&set->retry[retry], 1);
}

void
ctr_count_refusal (struct ctr_set *set, enum rfs refusal)
{
  add (&set->refusal[refusal], 1);
}

uint64_t
ctr_get (const struct ctr_set *set, enum ctr counter)
{
  return atomic_load_explicit (&set->counter[counter], memory_order_relaxed);
}

static struct ctr_histogram *
find_histogram (struct ctr_set *set, const char *kind)
{
  uint32_t n = atomic_load (&set->n_kinds);

  for (uint32_t i = 0; i < n; i++)
    if (strcmp (set->latency[i].kind, kind) == 0)
      return &set->latency[i];
  if (n == CTR_KINDS_MAX)
    return &set->latency[CTR_KINDS_MAX - 1];
  g_strlcpy (set->latency[n].kind, n == CTR_KINDS_MAX - 1 ? "other" : kind,
             CTR_KIND_NAME_MAX);
  /* The name must be stored before the count that makes it visible to other
     threads.  */
  atomic_store (&set->n_kinds, n + 1);
  return &set->latency[n];
}

void
ctr_observe_latency (struct ctr_set *set, const char *kind, int64_t latency_us)
{
  struct ctr_histogram *h = find_histogram (set, kind);
  int32_t b = 0;

  while (b < CTR_BUCKETS - 1 && latency_us > bucket_bounds_us[b])
    b++;
  atomic_fetch_add (&h->bucket[b], 1);
  atomic_fetch_add (&h->sum_us, (uint64_t)latency_us);
}

static void
write_histogram (const struct ctr_histogram *h, GString *out)
{
  uint64_t total = 0;

  for (int32_t b = 0; b < CTR_BUCKETS; b++)
    {
      total += atomic_load (&h->bucket[b]);
      if (b < CTR_BUCKETS - 1)
        g_string_append_printf (
            out,
            "cassiabay_latency_seconds_bucket{kind=\"%s\",le=\"%g\"} %lu\n",
            h->kind, (double)bucket_bounds_us[b] / 1e6, total);
      else
        g_string_append_printf (
            out,
            "cassiabay_latency_seconds_bucket{kind=\"%s\",le=\"+Inf\"} %lu\n",
            h->kind, total);
    }
  g_string_append_printf (out,
                          "cassiabay_latency_seconds_sum{kind=\"%s\"} %.6f\n",
                          h->kind, (double)atomic_load (&h->sum_us) / 1e6);
  g_string_append_printf (out,
                          "cassiabay_latency_seconds_count{kind=\"%s\"} %lu\n",
                          h->kind, total);
}

void
ctr_write_metrics (const struct ctr_set *set, GString *out)
{
  uint32_t n_kinds = atomic_load (&set->n_kinds);

  for (int32_t i = 0; i < CTR_COUNT; i++)
    g_string_append_printf (out, "# HELP cassiabay_%s %s\ncassiabay_%s %lu\n",
                            counter_names[i], counter_helps[i],
                            counter_names[i], atomic_load (&set->counter[i]));
  for (int32_t i = 0; i < RSN_COUNT; i++)
    g_string_append_printf (
        out, "cassiabay_answers_total{outcome=\"%s\",reason=\"%s\"} %lu\n",
        rsn_outcome_name (rsn_rows[i].outcome), rsn_rows[i].name,
        atomic_load (&set->reason[i]));
  for (int32_t i = 0; i < RETRY_COUNT; i++)
    g_string_append_printf (out,
                            "cassiabay_retries_total{reason=\"%s\"} %lu\n",
                            retry_names[i], atomic_load (&set->retry[i]));
  for (int32_t i = 0; i < RFS_COUNT; i++)
    g_string_append_printf (out,
                            "cassiabay_refusals_total{reason=\"%s\"} %lu\n",
                            refusal_names[i], atomic_load (&set->refusal[i]));
  for (uint32_t i = 0; i < n_kinds; i++)
    write_histogram (&set->latency[i], out);
}
