/* What one proxy has proved about one database group: who leads, which log
   position a majority holds, and how old a replica can be at most.

   Nothing here trusts a wall clock or a belief of another proxy.  Every fact
   rests on status answers, each with the local time its question was sent:
   an answer speaks of a moment after that time.  */
#ifndef CB_QUORUM_H
#define CB_QUORUM_H

#include "decl.h"

enum qrm_role
{
  QRM_FENCED, /* accepts neither writes nor replication of older terms */
  QRM_REPLICA,
  QRM_PRIMARY
};

/* An instance's own account of itself.  */
struct qrm_status
{
  enum qrm_role role;
  uint64_t granted_term; /* highest term the instance promised to */
  uint64_t term;         /* term of the primary it is or follows, 0 = none */
  uint64_t term_start;   /* position of the first entry of TERM, 0 = unknown */
  uint64_t last_term;    /* term of its last log entry */
  uint64_t position;     /* its last log position, known to match TERM's log */
  int64_t source_silent_ms; /* since it last heard its primary */
};

/* The latest answer of one instance.  */
struct qrm_report
{
  bool known;
  int64_t sent_us;     /* when the question was sent */
  int64_t received_us; /* when the answer came */
  struct qrm_status status;
};

/* At ASKED_US everything acknowledged so far stood at or below POSITION.  */
struct qrm_sample
{
  int64_t at_us;
  uint64_t term;
  uint64_t position;
};

/* The newest samples stand at least QRM_SAMPLE_GAP_US apart, older ones are
   thinned, so that the ring reaches back for hours.  */
#define QRM_SAMPLES 128
#define QRM_SAMPLE_GAP_US 20000
/* Age reported when nothing is proved.  */
#define QRM_AGE_UNKNOWN INT64_MAX
#define QRM_NONE UINT32_MAX

struct qrm
{
  uint32_t n;
  struct qrm_report reports[DCL_INSTANCES_MAX];
  uint64_t term;    /* highest term under which leadership was proved */
  uint32_t primary; /* its primary, QRM_NONE before the first proof */
  int64_t primary_confirmed_us; /* leadership is proved for this local time */
  uint64_t confirmed_position;  /* position a majority holds under TERM */
  struct qrm_sample samples[QRM_SAMPLES]; /* oldest first */
  uint32_t n_samples;
};

void qrm_init (struct qrm *q, uint32_t n_instances);
uint32_t qrm_majority (const struct qrm *q);
/* Takes one status answer.  An answer to an older question than the one
   known is ignored.  Returns true when a proof advanced.  */
bool qrm_note_status (struct qrm *q, uint32_t instance, int64_t asked_us,
                      int64_t heard_us, const struct qrm_status *status);
/* Highest term any instance has granted, as far as known.  */
uint64_t qrm_highest_term (const struct qrm *q);
/* Instances heard within WINDOW_US before NOW_US.  */
uint32_t qrm_count_fresh (const struct qrm *q, int64_t now_us,
                          int64_t window_us);
bool qrm_is_fresh (const struct qrm *q, uint32_t instance, int64_t now_us,
                   int64_t window_us);
/* An upper bound in microseconds for the age of a database copy at (TERM,
   POSITION), or QRM_AGE_UNKNOWN.  */
int64_t qrm_age_us (const struct qrm *q, uint64_t term, uint64_t position,
                    int64_t now_us);
/* How long a write made now would wait for its majority, judged by the age of
   the confirmed position, in microseconds.  */
int64_t qrm_confirm_lag_us (const struct qrm *q, int64_t now_us);

/* When an answer may be given.  The safe rule is qrm_rule_majority.  */
struct qrm_rule
{
  const char *name;
  /* True when a write at (TERM, POSITION) may be acknowledged.  */
  bool (*write_confirmed) (const struct qrm *q, uint64_t term,
                           uint64_t position);
  /* True when a fresh read that arrived at ARRIVED_US and saw (TERM,
     POSITION) may be answered.  */
  bool (*read_confirmed) (const struct qrm *q, int64_t arrived_us,
                          uint64_t term, uint64_t position);
};

/* A majority holds the position under the term; reads also need leadership
   proved after their arrival.  */
extern const struct qrm_rule qrm_rule_majority;
/* Trusts the primary alone: loses acknowledged writes at a failover.  For
   measurement and for proving that the checker sees the loss.  */
extern const struct qrm_rule qrm_rule_primary_only;

#endif
