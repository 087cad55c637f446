/* Internals shared by coordinator.c and coordsubmit.c.  */
#ifndef CB_COORDINT_H
#define CB_COORDINT_H

#include "coordinator.h"

#include <urcu/list.h>

/* A retry costs one token; so many can be saved up.  */
#define COORD_RETRY_TOKENS_MAX 100.0

enum job_state
{
  JOB_WAITING, /* an attempt is with a home */
  JOB_HOLDING  /* the next attempt waits for its time */
};

/* A caller's request in flight.  */
struct job
{
  struct cds_list_head link;
  void *tag;
  enum job_state state;
  bool resolving; /* the answer was lost: only the ledger can tell now */
  bool in_doubt;  /* an earlier attempt of a write may have run */
  bool may_repeat;
  bool undeclared;
  struct wire_request *request; /* of the latest attempt */
  char vm[DCL_NAME_MAX + 1];
  uint32_t instance;
  int64_t arrived_us;
  int64_t deadline_us;
  int64_t wake_us;
  uint32_t tried;
  uint32_t turn;
  uint32_t home_turn;
  uint32_t holds;
  enum rsn last;  /* why the last attempt did not run */
  enum rsn saved; /* the refusal to report once the id is void */
  char *saved_detail;
};

struct coordinator
{
  struct coord_options options;
  const struct dcl_set *set;
  struct cds_list_head jobs;
  GHashTable *by_id;   /* request id of the attempt -> struct job * */
  GHashTable *beliefs; /* database -> struct rte_state * */
  uint64_t next_id;
  uint32_t n_jobs;
  uint32_t turn;
  double retry_tokens;
  bool draining;
};

/* coordinator.c: a request's attempts.  */
/* Sends the next attempt of JOB, or lets it wait.  */
void coord_send_attempt (struct coordinator *c, struct job *job,
                         int64_t now_us);
/* Answers and frees JOB.  REPLY may be NULL.  */
void coord_finish_job (struct coordinator *c, struct job *job, enum rsn reason,
                       const struct wire_reply *reply, int64_t now_us);
/* Counts and gives ANSWER.  */
void coord_deliver_answer (struct coordinator *c, void *tag,
                           const struct coord_answer *answer);
/* True for the steps inside a conversation.  */
bool coord_is_transaction_step (enum wire_op op);

#endif
