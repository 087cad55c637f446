/* Reasons of answers, causes of retries, refusals of session statements and
   counters.  Each list is a table in a .def file that drives the enum, the
   names on the wire and in logs, and the metrics.  */
#ifndef CB_REASON_H
#define CB_REASON_H

#include <glib.h>
#ifndef __cplusplus
#include <stdatomic.h>
#endif
#include <stdbool.h>
#include <stdint.h>

/* What a caller may conclude about its request.  RSN_NOT_RUN guarantees that
   nothing of it was executed or will be.  */
enum rsn_outcome
{
  RSN_DONE,
  RSN_NOT_RUN,
  RSN_UNKNOWN
};

enum rsn
{
#define R(sym, text, outcome, http, after) RSN_##sym,
#include "reasons.def"
#undef R
  RSN_COUNT
};

enum rsn_retry
{
#define T(sym, text) RETRY_##sym,
#include "retries.def"
#undef T
  RETRY_COUNT
};

/* Why a session's statement was refused or failed.  */
enum rfs
{
#define F(sym, name, text) RFS_##sym,
#include "refusal.def"
#undef F
  RFS_COUNT
};

enum ctr
{
#define C(sym, name, help) CTR_##sym,
#include "counters.def"
#undef C
  CTR_COUNT
};

/* Upper bounds of the latency histogram, in microseconds; the last bucket is
   unbounded.  */
#define CTR_BUCKETS 16
/* Number of latency histograms, one per kind; once they are used up, further
   kinds share the last one.  */
#define CTR_KINDS_MAX 32
#define CTR_KIND_NAME_MAX 64

/* An atomic counter.  The C++ tests see plain integers of the same layout and
   read them through ctr_get.  */
#ifdef __cplusplus
typedef uint64_t ctr_cell;
typedef uint32_t ctr_cell32;
#else
typedef _Atomic uint64_t ctr_cell;
typedef _Atomic uint32_t ctr_cell32;
#endif

/* Latency histogram of one kind of request.  */
struct ctr_histogram
{
  char kind[CTR_KIND_NAME_MAX];
  ctr_cell bucket[CTR_BUCKETS];
  ctr_cell sum_us;
};

/* All counters of a process.  Any thread may add to them.  Reading several of
   them does not give a consistent snapshot.  */
struct ctr_set
{
  ctr_cell reason[RSN_COUNT];
  ctr_cell retry[RETRY_COUNT];
  ctr_cell refusal[RFS_COUNT];
  ctr_cell counter[CTR_COUNT];
  ctr_cell32 n_kinds;
  struct ctr_histogram latency[CTR_KINDS_MAX];
};

/* Name in answers, logs and metrics.  */
const char *rsn_name (enum rsn reason);
enum rsn_outcome rsn_outcome_of (enum rsn reason);
const char *rsn_outcome_name (enum rsn_outcome outcome);
int32_t rsn_http_status (enum rsn reason);
/* Seconds for the Retry-After header, 0 when waiting does not help.  */
int32_t rsn_retry_after_s (enum rsn reason);
const char *rsn_retry_name (enum rsn_retry retry);
const char *rfs_name (enum rfs refusal);
/* Error message for the caller, with the time to wait when waiting helps.  */
const char *rfs_text (enum rfs refusal);

void ctr_add (struct ctr_set *set, enum ctr counter, uint64_t n);
/* These add one.  */
void ctr_count_reason (struct ctr_set *set, enum rsn reason);
void ctr_count_retry (struct ctr_set *set, enum rsn_retry retry);
void ctr_count_refusal (struct ctr_set *set, enum rfs refusal);
uint64_t ctr_get (const struct ctr_set *set, enum ctr counter);
/* Adds one answered request of KIND that took LATENCY_US to the histogram of
   its kind.  All calls must come from one thread.  */
void ctr_observe_latency (struct ctr_set *set, const char *kind,
                          int64_t latency_us);
/* Appends all counters to OUT in the Prometheus text format.  */
void ctr_write_metrics (const struct ctr_set *set, GString *out);

#endif
