/* Internals shared by coordinator.c and coordsubmit.c.  */
#ifndef CB_COORDINT_H
#define CB_COORDINT_H

#include "coordinator.h"

#include <urcu/list.h>

/* Capacity of the retry budget, a token bucket.  A retry costs one token.  */
#define COORD_RETRY_TOKENS_MAX 100.0

enum job_state
{
  JOB_SENT,   /* an attempt is with a home */
  JOB_BACKOFF /* the next attempt is due at retry_us */
};

/* A caller's request in flight, over all its attempts.  */
struct job
{
  struct cds_list_head link;
  void *tag;
  enum job_state state;
  bool resolving;  /* the attempts look up the outcome in the ledger */
  bool in_doubt;   /* an earlier attempt of a write may have run */
  bool may_repeat; /* the kind allows repeating it after a lost answer */
  bool undeclared; /* no declaration of its kind */
  struct wire_request *request; /* of the latest attempt */
  char vm[DCL_NAME_MAX + 1];
  uint32_t instance;
  int64_t arrived_us;
  int64_t deadline_us;
  int64_t retry_us;       /* in state JOB_BACKOFF */
  uint32_t refused_mask;  /* bit mask of instances that refused it */
  uint32_t rotation;      /* rotates among equal instances */
  uint32_t home_rotation; /* alternates between the two preferred homes */
  uint32_t retries; /* after a pause or at a new primary; the pause grows with
                       their number */
  enum rsn last_refusal; /* why the last attempt did not run */
  enum rsn void_reason;  /* reported once the ledger has voided the id */
  char *void_detail;
};

struct coordinator
{
  struct coord_options options;
  const struct dcl_set *set;
  struct cds_list_head jobs;
  GHashTable *by_id;  /* message id of the latest attempt -> struct job * */
  GHashTable *states; /* database -> struct rte_state * */
  uint64_t next_id;
  uint32_t n_jobs;
  uint32_t rotation;   /* of the next job */
  double retry_tokens; /* left in the retry budget */
  bool draining;
};

/* Sends the next attempt of JOB, or schedules it after a pause.  */
void coord_start_attempt (struct coordinator *c, struct job *job,
                          int64_t now_us);
/* Answers and frees JOB.  REPLY may be NULL.  */
void coord_finish_job (struct coordinator *c, struct job *job, enum rsn reason,
                       const struct wire_reply *reply, int64_t now_us);
/* Counts ANSWER and passes it to the caller.  */
void coord_deliver_answer (struct coordinator *c, void *tag,
                           const struct coord_answer *answer);
/* True for the operations inside an interactive transaction.  */
bool coord_is_transaction_step (enum wire_op op);

#endif
