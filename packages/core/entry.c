/* The entry proxy's side.  */
#include "entryint.h"

#include "units.h"
#include <string.h>

/* Pause before a home or primary that was not there is asked again.  */
#define HOLD_MIN_US (20 * US_PER_MS)
#define HOLD_MAX_US (100 * US_PER_MS)
/* Homes answer this part of the deadline early, so that their reason arrives
   before the caller's time is over.  */
#define REPLY_MARGIN_SHARE 32
/* Distances assumed between places, in milliseconds.  */
#define DISTANCE_REGION_MS 1
#define DISTANCE_FAR_MS 15

struct entry *
ent_new (const struct ent_options *options)
{
  struct entry *e = g_new0 (struct entry, 1);

  e->options = *options;
  CDS_INIT_LIST_HEAD (&e->jobs);
  e->by_id = g_hash_table_new (g_int64_hash, g_int64_equal);
  e->beliefs = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  e->next_id = options->first_id;
  e->retry_tokens = ENT_RETRY_TOKENS_MAX / 2;
  return e;
}

static void
free_job (struct entry *e, struct job *job)
{
  g_hash_table_remove (e->by_id, &job->request->id);
  cds_list_del (&job->link);
  wire_request_unref (job->request);
  g_free (job->saved_detail);
  g_free (job);
  e->n_jobs--;
}

void
ent_free (struct entry *e)
{
  struct job *job;
  struct job *tmp;

  if (!e)
    return;
  cds_list_for_each_entry_safe (job, tmp, &e->jobs, link)
    free_job (e, job);
  g_hash_table_destroy (e->by_id);
  g_hash_table_destroy (e->beliefs);
  g_free (e);
}

void
ent_set_databases (struct entry *e, const struct dcl_set *set)
{
  e->set = set;
}

static struct rte_belief *
get_belief (struct entry *e, const char *database)
{
  struct rte_belief *belief = g_hash_table_lookup (e->beliefs, database);

  if (!belief)
    {
      belief = g_new0 (struct rte_belief, 1);
      rte_belief_init (belief);
      g_hash_table_insert (e->beliefs, g_strdup (database), belief);
    }
  return belief;
}

static const struct dcl_database *
database_of (const struct entry *e, const struct job *job)
{
  return e->set ? dcl_find_database (e->set, job->request->database) : NULL;
}

void
ent_give_answer (struct entry *e, void *tag, const struct ent_answer *answer)
{
  ctr_count_reason (e->options.counters, answer->reason);
  e->options.answer (e->options.answer_arg, tag, answer);
}

static void
count_service (struct entry *e, const struct job *job,
               const struct ent_answer *answer, int64_t now_us)
{
  struct ctr_set *counters = e->options.counters;

  ctr_observe (counters, job->undeclared ? "undeclared" : job->request->kind,
               now_us - job->arrived_us);
  if (answer->reason != RSN_OK)
    return;
  if (!job->request->read_only)
    ctr_add (counters, CTR_WRITES, 1);
  else
    ctr_add (counters,
             answer->from_replica ? CTR_READS_REPLICA : CTR_READS_PRIMARY, 1);
}

void
ent_finish (struct entry *e, struct job *job, enum rsn reason,
            const struct wire_reply *reply, int64_t now_us)
{
  struct ent_answer answer = { 0 };
  struct wire_request *request = wire_request_ref (job->request);
  void *tag = job->tag;
  char *detail = g_strdup (job->saved_detail        ? job->saved_detail
                           : reply && reply->detail ? reply->detail
                                                    : "");

  /* A later attempt's refusal says nothing about an earlier one.  */
  if (job->in_doubt && rsn_outcome_of (reason) == RSN_NOT_RUN)
    reason = RSN_ANSWER_LOST;
  answer.reason = reason;
  answer.detail = detail;
  answer.database = request->database;
  answer.rows = reply && reason == RSN_OK && reply->rows ? reply->rows : "";
  answer.transaction = reply && reply->transaction ? reply->transaction : "";
  answer.from_replica = reply && !reply->from_primary;
  if (reply && reason == RSN_OK && !request->read_only
      && (request->op == WIRE_RUN || request->op == WIRE_RESOLVE
          || request->op == WIRE_COMMIT))
    {
      answer.term = reply->term;
      answer.position = reply->position;
    }
  count_service (e, job, &answer, now_us);
  free_job (e, job);
  ent_give_answer (e, tag, &answer);
  g_free (detail);
  wire_request_unref (request);
}

static void
hold (struct job *job, int64_t now_us)
{
  int64_t pause_us = HOLD_MIN_US << MIN (job->holds, 3);

  job->holds++;
  job->state = JOB_HOLDING;
  job->wake_us = now_us + MIN (pause_us, HOLD_MAX_US);
}

static bool
spend_retry (struct entry *e, enum rsn_retry cause)
{
  if (!e->options.unlimited_retries && e->retry_tokens < 1.0)
    return false;
  e->retry_tokens -= 1.0;
  ctr_count_retry (e->options.counters, cause);
  return true;
}

static void
count_retry (struct entry *e, enum rsn_retry cause)
{
  ctr_count_retry (e->options.counters, cause);
}

static struct rte_distance
distances (const struct entry *e, const struct dcl_database *db)
{
  struct rte_distance d = { { 0 } };

  for (uint32_t i = 0; i < db->n_instances; i++)
    {
      const char *centre = db->instances[i].data_centre;

      if (strcmp (centre, e->options.data_centre) == 0)
        d.ms[i] = 0;
      else if (strcmp (dcl_find_region (e->set, centre), e->options.region) == 0)
        d.ms[i] = DISTANCE_REGION_MS;
      else
        d.ms[i] = DISTANCE_FAR_MS;
    }
  return d;
}

/* Copies the request for the next attempt: a home may still hold the earlier
   one.  */
static void
renew_request (struct entry *e, struct job *job)
{
  struct wire_request *next = wire_request_clone (job->request);

  g_hash_table_remove (e->by_id, &job->request->id);
  wire_request_unref (job->request);
  job->request = next;
  next->id = ++e->next_id;
  g_hash_table_insert (e->by_id, &next->id, job);
}

static void
send_to (struct entry *e, struct job *job, const char *vm, int64_t now_us)
{
  int64_t left_us = job->deadline_us - now_us;
  int64_t margin_us = MAX (2 * US_PER_MS, (job->deadline_us - job->arrived_us)
                                          / REPLY_MARGIN_SHARE);

  job->state = JOB_WAITING;
  g_strlcpy (job->vm, vm, sizeof job->vm);
  job->request->deadline_ms = MAX (1, (left_us - margin_us) / US_PER_MS);
  e->options.send (e->options.arg, job->vm, job->request);
}

/* Sends a conversation's step to the VM its id names.  */
static void
attempt_conversation (struct entry *e, struct job *job, int64_t now_us)
{
  if (e->options.alive (e->options.arg, job->vm))
    {
      char *vm = g_strdup (job->vm);

      send_to (e, job, vm, now_us);
      g_free (vm);
    }
  else if (job->request->op == WIRE_COMMIT && job->request->use_ledger)
    {
      job->resolving = true;
      job->request->op = WIRE_RESOLVE;
      ent_attempt (e, job, now_us);
    }
  else
    ent_finish (e, job, RSN_TRANSACTION_UNKNOWN, NULL, now_us);
}

bool
ent_is_step (enum wire_op op)
{
  return op == WIRE_STATEMENT || op == WIRE_COMMIT || op == WIRE_ROLLBACK;
}

void
ent_attempt (struct entry *e, struct job *job, int64_t now_us)
{
  const struct dcl_database *db = database_of (e, job);
  struct rte_need need = { 0 };
  struct rte_distance distance;
  const char *vm;
  uint32_t i;

  if (ent_is_step (job->request->op))
    {
      attempt_conversation (e, job, now_us);
      return;
    }
  if (!db)
    {
      ent_finish (e, job,
                  job->resolving ? RSN_ANSWER_LOST : RSN_UNKNOWN_DATABASE,
                  NULL, now_us);
      return;
    }
  need.read = job->request->read_only;
  need.fresh = job->request->fresh;
  need.max_age_ms = job->request->max_age_ms;
  need.tried = job->tried;
  need.turn = job->turn;
  need.policy = e->options.policy;
  distance = distances (e, db);
  i = rte_pick (db, get_belief (e, db->name), &need, &distance, now_us);
  if (i == QRM_NONE)
    {
      /* Every instance refused once: start over after a pause.  */
      job->tried = 0;
      job->turn++;
      hold (job, now_us);
      return;
    }
  job->instance = i;
  vm = e->options.home (e->options.arg, db, i, job->home_turn % 2);
  if (!vm)
    {
      job->last = RSN_NO_HOME;
      job->tried |= 1U << i;
      hold (job, now_us);
      return;
    }
  g_free (job->request->instance);
  job->request->instance = g_strdup (db->instances[i].name);
  send_to (e, job, vm, now_us);
}

static void
retry_now (struct entry *e, struct job *job, int64_t now_us)
{
  renew_request (e, job);
  ent_attempt (e, job, now_us);
}

static void
retry_later (struct entry *e, struct job *job, int64_t now_us)
{
  renew_request (e, job);
  hold (job, now_us);
}

/* Turns to the ledger, which alone can tell the outcome now.  */
static void
start_resolving (struct entry *e, struct job *job, int64_t now_us)
{
  renew_request (e, job);
  job->resolving = true;
  job->tried = 0;
  job->request->op = WIRE_RESOLVE;
  count_retry (e, RETRY_LEDGER_LOOKUP);
  ent_attempt (e, job, now_us);
}

/* Whether the attempt ran is not known.  */
static void
on_lost (struct entry *e, struct job *job, enum rsn_retry cause,
         int64_t now_us)
{
  struct wire_request *r = job->request;

  if (e->options.unsafe_not_run && !r->read_only)
    ent_finish (e, job, RSN_NO_CONNECTION, NULL, now_us);
  else if (job->resolving)
    retry_later (e, job, now_us);
  else if (r->use_ledger && (r->op == WIRE_RUN || r->op == WIRE_COMMIT))
    start_resolving (e, job, now_us);
  else if (r->op == WIRE_RUN && job->may_repeat && spend_retry (e, cause))
    {
      job->in_doubt = !r->read_only;
      retry_now (e, job, now_us);
    }
  else if (r->op == WIRE_BEGIN)
    /* An orphaned conversation is rolled back by its home.  */
    ent_finish (e, job, RSN_NO_CONNECTION, NULL, now_us);
  else
    ent_finish (e, job, RSN_ANSWER_LOST, NULL, now_us);
}

/* The instance refused; others may not.  */
static void
try_others (struct entry *e, struct job *job, enum rsn reason,
            enum rsn_retry cause, bool costs, int64_t now_us)
{
  const struct dcl_database *db = database_of (e, job);
  uint32_t all = db ? (1U << db->n_instances) - 1 : 0;

  job->last = reason;
  job->tried |= 1U << job->instance;
  if ((job->tried & all) == all)
    {
      ent_finish (e, job, reason, NULL, now_us);
      return;
    }
  if (costs && !spend_retry (e, cause))
    {
      ent_finish (e, job, RSN_RETRY_BUDGET_SPENT, NULL, now_us);
      return;
    }
  if (!costs)
    count_retry (e, cause);
  retry_now (e, job, now_us);
}

/* The primary or the home is elsewhere, or there is none yet.  */
static void
follow_move (struct entry *e, struct job *job, enum rsn reason, int64_t now_us)
{
  const struct rte_belief *belief = get_belief (e, job->request->database);

  job->last = reason;
  if (reason == RSN_NOT_PRIMARY && belief->primary != QRM_NONE
      && belief->primary != job->instance && job->holds < 2)
    {
      job->holds++;
      job->tried = 0;
      count_retry (e, RETRY_PRIMARY_MOVED);
      retry_now (e, job, now_us);
      return;
    }
  if (reason == RSN_NOT_HOME || reason == RSN_NO_HOME)
    job->home_turn++;
  else
    job->tried |= 1U << job->instance;
  count_retry (e, reason == RSN_NOT_HOME ? RETRY_HOME_MOVED
                                         : RETRY_NO_PRIMARY_YET);
  retry_later (e, job, now_us);
}

/* An answer to a ledger lookup.  Whatever else it says, only the ledger's own
   word ends the job before its deadline.  */
static void
on_resolved (struct entry *e, struct job *job, const struct wire_reply *reply,
             int64_t now_us)
{
  switch (reply->reason)
    {
    case RSN_OK:
    case RSN_REQUEST_ID_REUSED:
      g_clear_pointer (&job->saved_detail, g_free);
      ent_finish (e, job, reply->reason, reply, now_us);
      break;
    case RSN_REQUEST_VOIDED:
      ent_finish (e, job,
                  job->saved != RSN_OK ? job->saved : RSN_REQUEST_VOIDED,
                  reply, now_us);
      break;
    default:
      if (reply->reason != RSN_NOT_HOME)
        job->tried |= 1U << job->instance;
      else
        job->home_turn++;
      retry_later (e, job, now_us);
      break;
    }
}

static void
on_refused (struct entry *e, struct job *job, const struct wire_reply *reply,
            int64_t now_us)
{
  enum rsn reason = reply->reason;
  struct wire_request *r = job->request;

  switch (reason)
    {
    case RSN_REPLICA_STALE:
      try_others (e, job, reason, RETRY_STALE_REPLICA, false, now_us);
      break;
    case RSN_REPLICA_BEHIND_TOKEN:
      try_others (e, job, reason, RETRY_TOKEN_AHEAD, false, now_us);
      break;
    case RSN_NO_MAJORITY:
      try_others (e, job, reason, RETRY_PRIMARY_MOVED, false, now_us);
      break;
    case RSN_QUEUE_FULL:
    case RSN_KIND_QUEUE_FULL:
    case RSN_DEADLINE_UNMEETABLE:
      if (r->read_only && !r->fresh && r->op == WIRE_RUN)
        try_others (e, job, reason, RETRY_OVERLOADED_INSTANCE, true, now_us);
      else
        ent_finish (e, job, reason, reply, now_us);
      break;
    case RSN_NO_CONNECTION:
      job->last = reason;
      if (r->op != WIRE_RUN)
        ent_finish (e, job, reason, reply, now_us);
      else if (spend_retry (e, RETRY_CONNECTION_LOST))
        retry_later (e, job, now_us);
      else
        ent_finish (e, job, RSN_RETRY_BUDGET_SPENT, reply, now_us);
      break;
    case RSN_NOT_PRIMARY:
    case RSN_NO_PRIMARY:
    case RSN_NOT_HOME:
      if (ent_is_step (r->op))
        ent_finish (e, job, RSN_ROLLED_BACK, reply, now_us);
      else
        follow_move (e, job, reason, now_us);
      break;
    default:
      ent_finish (e, job, reason, reply, now_us);
      break;
    }
}

void
ent_reply (struct entry *e, const struct wire_reply *reply, int64_t now_us)
{
  struct job *job = g_hash_table_lookup (e->by_id, &reply->id);
  const struct dcl_database *db;
  bool settles;

  if (!job || job->state != JOB_WAITING)
    {
      ctr_add (e->options.counters, CTR_LATE_REPLY, 1);
      return;
    }
  db = database_of (e, job);
  if (db)
    rte_belief_note (get_belief (e, db->name), db, &reply->view, now_us);
  /* A failed statement says nothing about an earlier try under the same id:
     the ledger voids the id before the caller hears of the failure.  */
  settles = job->request->use_ledger
            && (reply->reason == RSN_SQL_ERROR
                || (job->request->op == WIRE_COMMIT
                    && reply->reason == RSN_TRANSACTION_UNKNOWN));
  if (job->resolving)
    on_resolved (e, job, reply, now_us);
  else if (settles && job->request->op != WIRE_STATEMENT)
    {
      job->saved = reply->reason;
      job->saved_detail = g_strdup (reply->detail);
      start_resolving (e, job, now_us);
    }
  else if (reply->reason == RSN_ANSWER_LOST)
    on_lost (e, job, RETRY_CONNECTION_LOST, now_us);
  else if (reply->reason == RSN_OK || reply->reason == RSN_UNCONFIRMED)
    ent_finish (e, job, reply->reason, reply, now_us);
  else
    on_refused (e, job, reply, now_us);
}

/* Loses the attempts that are with VM or, when it is NULL, with any VM that
   does not live.  */
static void
lose_attempts (struct entry *e, const char *vm, int64_t now_us)
{
  struct job *job;
  GPtrArray *lost = g_ptr_array_new ();

  cds_list_for_each_entry (job, &e->jobs, link)
    {
      if (job->state == JOB_WAITING
          && (vm ? strcmp (job->vm, vm) == 0
                 : !e->options.alive (e->options.arg, job->vm)))
        g_ptr_array_add (lost, job);
    }
  /* Each job is handled once; none of the others can end by it.  */
  for (uint32_t i = 0; i < lost->len; i++)
    on_lost (e, g_ptr_array_index (lost, i), RETRY_PEER_SILENT, now_us);
  g_ptr_array_free (lost, TRUE);
}

void
ent_peer_lost (struct entry *e, const char *vm, int64_t now_us)
{
  lose_attempts (e, vm, now_us);
}

void
ent_check_peers (struct entry *e, int64_t now_us)
{
  lose_attempts (e, NULL, now_us);
}

/* The caller's time is over.  */
static void
expire (struct entry *e, struct job *job, int64_t now_us)
{
  if (job->state == JOB_WAITING || job->resolving)
    ent_finish (e, job, RSN_ANSWER_LOST, NULL, now_us);
  else
    ent_finish (e, job, job->last != RSN_OK ? job->last : RSN_DEADLINE_PASSED,
                NULL, now_us);
}

void
ent_tick (struct entry *e, int64_t now_us)
{
  struct job *job;
  struct job *tmp;

  /* XXX: linear in the requests in flight.  */
  cds_list_for_each_entry_safe (job, tmp, &e->jobs, link)
    {
      if (now_us >= job->deadline_us)
        expire (e, job, now_us);
      else if (job->state == JOB_HOLDING && now_us >= job->wake_us)
        ent_attempt (e, job, now_us);
    }
}

void
ent_abort (struct entry *e, int64_t now_us)
{
  struct job *job;
  struct job *tmp;

  cds_list_for_each_entry_safe (job, tmp, &e->jobs, link)
    expire (e, job, now_us);
}

void
ent_drain (struct entry *e)
{
  e->draining = true;
}

uint32_t
ent_busy (const struct entry *e)
{
  return e->n_jobs;
}
