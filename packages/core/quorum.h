/* What one proxy has confirmed about one database group: which instance is
   primary, which log position a majority holds, and an upper bound for the age
   of each replica's data.

   This relies neither on a wall clock nor on what another proxy believes, only
   on status replies.  Each is kept with the local time at which its query was
   sent: the reply describes a moment after that time.  */
#ifndef CB_QUORUM_H
#define CB_QUORUM_H

#include "decl.h"

enum qrm_role
{
  QRM_FENCED, /* accepts neither writes nor replication from older terms */
  QRM_REPLICA,
  QRM_PRIMARY
};

/* What an instance reports about itself.  */
struct qrm_status
{
  enum qrm_role role;
  uint64_t granted_term; /* highest term the instance granted */
  uint64_t term;         /* term of the primary it is or follows, 0 = none */
  uint64_t term_start;   /* position of the first entry of TERM, 0 = unknown */
  uint64_t last_term;    /* term of its last log entry */
  uint64_t position;     /* its last log position, known to match TERM's log */
  int64_t source_silent_ms; /* time since it last heard from its primary */
};

/* The latest status reply of one instance.  */
struct qrm_report
{
  bool known;
  int64_t sent_us;     /* when the query was sent */
  int64_t received_us; /* when the reply arrived */
  struct qrm_status status;
};

/* All writes acknowledged before AT_US are at or below POSITION of TERM.  */
struct qrm_sample
{
  int64_t at_us;
  uint64_t term;
  uint64_t position;
};

/* The newest samples are at least QRM_SAMPLE_GAP_US apart and older ones are
   thinned out, so that the array reaches back for hours.  */
#define QRM_SAMPLES 128
#define QRM_SAMPLE_GAP_US 20000
/* Age reported when no upper bound is known.  */
#define QRM_AGE_UNKNOWN INT64_MAX
#define QRM_NONE UINT32_MAX

struct qrm
{
  uint32_t n;
  struct qrm_report reports[DCL_INSTANCES_MAX];
  uint64_t term;    /* highest term with a confirmed primary */
  uint32_t primary; /* its primary, QRM_NONE before the first is confirmed */
  int64_t primary_confirmed_us; /* it was primary at this local time */
  uint64_t confirmed_position;  /* position a majority holds under TERM */
  struct qrm_sample samples[QRM_SAMPLES]; /* oldest first */
  uint32_t n_samples;
};

void qrm_init (struct qrm *q, uint32_t n_instances);
uint32_t qrm_majority (const struct qrm *q);
/* Takes one status reply; one to an older query than that of the reply held is
   ignored.  Returns true when this confirmed a new primary, a later time or a
   higher position.  */
bool qrm_note_status (struct qrm *q, uint32_t instance, int64_t sent_us,
                      int64_t received_us, const struct qrm_status *status);
/* Highest term that any instance has reported as granted.  */
uint64_t qrm_highest_term (const struct qrm *q);
/* Number of instances that replied within WINDOW_US before NOW_US.  */
uint32_t qrm_count_fresh (const struct qrm *q, int64_t now_us,
                          int64_t window_us);
bool qrm_is_fresh (const struct qrm *q, uint32_t instance, int64_t now_us,
                   int64_t window_us);
/* An upper bound in microseconds for the age of a replica's data at (TERM,
   POSITION), or QRM_AGE_UNKNOWN.  */
int64_t qrm_age_us (const struct qrm *q, uint64_t term, uint64_t position,
                    int64_t now_us);
/* Estimate in microseconds of how long a write made now would wait until a
   majority holds it: the age of the confirmed position.  */
int64_t qrm_confirm_lag_us (const struct qrm *q, int64_t now_us);

/* Decides when a result may be returned to the caller.  The safe rule is
   qrm_rule_majority.  */
struct qrm_rule
{
  const char *name;
  /* True when a write at (TERM, POSITION) may be acknowledged.  */
  bool (*write_confirmed) (const struct qrm *q, uint64_t term,
                           uint64_t position);
  /* True when a fresh read that arrived at ARRIVED_US and saw (TERM,
     POSITION) may be returned.  */
  bool (*read_confirmed) (const struct qrm *q, int64_t arrived_us,
                          uint64_t term, uint64_t position);
};

/* Requires that a majority holds the position under the term; reads also need
   the primary confirmed for a moment after their arrival.  */
extern const struct qrm_rule qrm_rule_majority;
/* Acknowledges on the primary's word alone, so that a failover loses
   acknowledged writes.  For measurement, and for tests that show that the
   history checker detects the loss.  */
extern const struct qrm_rule qrm_rule_primary_only;

#endif
