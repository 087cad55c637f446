/* Request coordinator: attempts, retries and answers.  */
#include "coordint.h"

#include "units.h"
#include <string.h>

/* Pause before the next attempt after a home, primary or connection was
   missing; it doubles with each retry.  */
#define BACKOFF_MIN_US (20 * US_PER_MS)
#define BACKOFF_MAX_US (100 * US_PER_MS)
/* Homes get a deadline that is earlier by the request's time divided by this,
   so that their reason arrives before the caller's deadline.  */
#define REPLY_MARGIN_DIVISOR 32
/* Network distances assumed from this data centre to another one, in
   milliseconds.  */
#define DISTANCE_SAME_REGION_MS 1
#define DISTANCE_OTHER_REGION_MS 15

struct coordinator *
coord_new (const struct coord_options *options)
{
  struct coordinator *c = g_new0 (struct coordinator, 1);

  c->options = *options;
  CDS_INIT_LIST_HEAD (&c->jobs);
  c->by_id = g_hash_table_new (g_int64_hash, g_int64_equal);
  c->states = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  c->next_id = options->first_id;
  c->retry_tokens = COORD_RETRY_TOKENS_MAX / 2;
  return c;
}

static void
free_job (struct coordinator *c, struct job *job)
{
  g_hash_table_remove (c->by_id, &job->request->id);
  cds_list_del (&job->link);
  wire_request_unref (job->request);
  g_free (job->void_detail);
  g_free (job);
  c->n_jobs--;
}

void
coord_free (struct coordinator *c)
{
  struct job *job;
  struct job *tmp;

  if (!c)
    return;
  cds_list_for_each_entry_safe (job, tmp, &c->jobs, link)
    free_job (c, job);
  g_hash_table_destroy (c->by_id);
  g_hash_table_destroy (c->states);
  g_free (c);
}

void
coord_set_databases (struct coordinator *c, const struct dcl_set *set)
{
  c->set = set;
}

static struct rte_state *
get_state (struct coordinator *c, const char *database)
{
  struct rte_state *state = g_hash_table_lookup (c->states, database);

  if (!state)
    {
      state = g_new0 (struct rte_state, 1);
      rte_state_init (state);
      g_hash_table_insert (c->states, g_strdup (database), state);
    }
  return state;
}

static const struct dcl_database *
database_of (const struct coordinator *c, const struct job *job)
{
  return c->set ? dcl_find_database (c->set, job->request->database) : NULL;
}

void
coord_deliver_answer (struct coordinator *c, void *tag,
                      const struct coord_answer *answer)
{
  ctr_count_reason (c->options.counters, answer->reason);
  c->options.answer (c->options.answer_arg, tag, answer);
}

static void
count_answer (struct coordinator *c, const struct job *job,
              const struct coord_answer *answer, int64_t now_us)
{
  struct ctr_set *counters = c->options.counters;

  ctr_observe_latency (counters,
                       job->undeclared ? "undeclared" : job->request->kind,
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
coord_finish_job (struct coordinator *c, struct job *job, enum rsn reason,
                  const struct wire_reply *reply, int64_t now_us)
{
  struct coord_answer answer = { 0 };
  struct wire_request *request = wire_request_ref (job->request);
  void *tag = job->tag;
  char *detail = g_strdup (job->void_detail         ? job->void_detail
                           : reply && reply->detail ? reply->detail
                                                    : "");

  /* A refusal of a later attempt does not tell whether an earlier one ran.  */
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
  count_answer (c, job, &answer, now_us);
  free_job (c, job);
  coord_deliver_answer (c, tag, &answer);
  g_free (detail);
  wire_request_unref (request);
}

static void
start_backoff (struct job *job, int64_t now_us)
{
  int64_t pause_us = BACKOFF_MIN_US << MIN (job->retries, 3);

  job->retries++;
  job->state = JOB_BACKOFF;
  job->retry_us = now_us + MIN (pause_us, BACKOFF_MAX_US);
}

static bool
spend_retry (struct coordinator *c, enum rsn_retry cause)
{
  if (!c->options.unlimited_retries && c->retry_tokens < 1.0)
    return false;
  c->retry_tokens -= 1.0;
  ctr_count_retry (c->options.counters, cause);
  return true;
}

static void
count_retry (struct coordinator *c, enum rsn_retry cause)
{
  ctr_count_retry (c->options.counters, cause);
}

static struct rte_distance
estimate_distances (const struct coordinator *c, const struct dcl_database *db)
{
  struct rte_distance d = { { 0 } };

  for (uint32_t i = 0; i < db->n_instances; i++)
    {
      const char *centre = db->instances[i].data_centre;

      if (strcmp (centre, c->options.data_centre) == 0)
        d.ms[i] = 0;
      else if (strcmp (dcl_find_region (c->set, centre), c->options.region)
               == 0)
        d.ms[i] = DISTANCE_SAME_REGION_MS;
      else
        d.ms[i] = DISTANCE_OTHER_REGION_MS;
    }
  return d;
}

/* Replaces the request by a copy with a new id for the next attempt, since a
   home may still hold the earlier one.  */
static void
renew_request (struct coordinator *c, struct job *job)
{
  struct wire_request *next = wire_request_clone (job->request);

  g_hash_table_remove (c->by_id, &job->request->id);
  wire_request_unref (job->request);
  job->request = next;
  next->id = ++c->next_id;
  g_hash_table_insert (c->by_id, &next->id, job);
}

static void
send_attempt (struct coordinator *c, struct job *job, const char *vm,
              int64_t now_us)
{
  int64_t left_us = job->deadline_us - now_us;
  int64_t margin_us = MAX (2 * US_PER_MS, (job->deadline_us - job->arrived_us)
                                              / REPLY_MARGIN_DIVISOR);

  job->state = JOB_SENT;
  g_strlcpy (job->vm, vm, sizeof job->vm);
  job->request->deadline_ms = MAX (1, (left_us - margin_us) / US_PER_MS);
  c->options.send (c->options.arg, job->vm, job->request);
}

/* Sends an operation of an interactive transaction to the VM that the
   transaction's id names.  */
static void
attempt_transaction_step (struct coordinator *c, struct job *job,
                          int64_t now_us)
{
  if (c->options.is_alive (c->options.arg, job->vm))
    {
      char *vm = g_strdup (job->vm);

      send_attempt (c, job, vm, now_us);
      g_free (vm);
    }
  else if (job->request->op == WIRE_COMMIT && job->request->use_ledger)
    {
      job->resolving = true;
      job->request->op = WIRE_RESOLVE;
      coord_start_attempt (c, job, now_us);
    }
  else
    coord_finish_job (c, job, RSN_TRANSACTION_UNKNOWN, NULL, now_us);
}

bool
coord_is_transaction_step (enum wire_op op)
{
  return op == WIRE_STATEMENT || op == WIRE_COMMIT || op == WIRE_ROLLBACK;
}

void
coord_start_attempt (struct coordinator *c, struct job *job, int64_t now_us)
{
  const struct dcl_database *db = database_of (c, job);
  struct rte_criteria criteria = { 0 };
  struct rte_distance distance;
  const char *vm;
  uint32_t i;

  if (coord_is_transaction_step (job->request->op))
    {
      attempt_transaction_step (c, job, now_us);
      return;
    }
  if (!db)
    {
      coord_finish_job (
          c, job, job->resolving ? RSN_ANSWER_LOST : RSN_UNKNOWN_DATABASE,
          NULL, now_us);
      return;
    }
  criteria.read_only = job->request->read_only;
  criteria.fresh = job->request->fresh;
  criteria.max_age_ms = job->request->max_age_ms;
  criteria.refused_mask = job->refused_mask;
  criteria.rotation = job->rotation;
  criteria.policy = c->options.policy;
  distance = estimate_distances (c, db);
  i = rte_pick_instance (db, get_state (c, db->name), &criteria, &distance,
                         now_us);
  if (i == QRM_NONE)
    {
      /* Every instance has refused once: start over after a pause.  */
      job->refused_mask = 0;
      job->rotation++;
      start_backoff (job, now_us);
      return;
    }
  job->instance = i;
  vm = c->options.pick_home (c->options.arg, db, i, job->home_rotation % 2);
  if (!vm)
    {
      job->last_refusal = RSN_NO_HOME;
      job->refused_mask |= 1U << i;
      start_backoff (job, now_us);
      return;
    }
  g_free (job->request->instance);
  job->request->instance = g_strdup (db->instances[i].name);
  send_attempt (c, job, vm, now_us);
}

static void
retry_now (struct coordinator *c, struct job *job, int64_t now_us)
{
  renew_request (c, job);
  coord_start_attempt (c, job, now_us);
}

static void
retry_later (struct coordinator *c, struct job *job, int64_t now_us)
{
  renew_request (c, job);
  start_backoff (job, now_us);
}

/* Looks up the outcome in the ledger, the only record of it that is left.  */
static void
start_ledger_lookup (struct coordinator *c, struct job *job, int64_t now_us)
{
  renew_request (c, job);
  job->resolving = true;
  job->refused_mask = 0;
  job->request->op = WIRE_RESOLVE;
  count_retry (c, RETRY_LEDGER_LOOKUP);
  coord_start_attempt (c, job, now_us);
}

/* The answer to an attempt was lost, so it is unknown whether it ran.  */
static void
on_attempt_lost (struct coordinator *c, struct job *job, enum rsn_retry cause,
                 int64_t now_us)
{
  struct wire_request *r = job->request;

  if (c->options.unsafe_lost_is_not_run && !r->read_only)
    coord_finish_job (c, job, RSN_NO_CONNECTION, NULL, now_us);
  else if (job->resolving)
    retry_later (c, job, now_us);
  else if (r->use_ledger && (r->op == WIRE_RUN || r->op == WIRE_COMMIT))
    start_ledger_lookup (c, job, now_us);
  else if (r->op == WIRE_RUN && job->may_repeat && spend_retry (c, cause))
    {
      job->in_doubt = !r->read_only;
      retry_now (c, job, now_us);
    }
  else if (r->op == WIRE_BEGIN)
    /* The home rolls back a transaction whose caller does not know its id.  */
    coord_finish_job (c, job, RSN_NO_CONNECTION, NULL, now_us);
  else
    coord_finish_job (c, job, RSN_ANSWER_LOST, NULL, now_us);
}

/* Tries the instances that have not refused yet.  CHARGED retries are paid
   from the retry budget.  */
static void
try_other_instances (struct coordinator *c, struct job *job, enum rsn reason,
                     enum rsn_retry cause, bool charged, int64_t now_us)
{
  const struct dcl_database *db = database_of (c, job);
  uint32_t all = db ? (1U << db->n_instances) - 1 : 0;

  job->last_refusal = reason;
  job->refused_mask |= 1U << job->instance;
  if ((job->refused_mask & all) == all)
    {
      coord_finish_job (c, job, reason, NULL, now_us);
      return;
    }
  if (charged && !spend_retry (c, cause))
    {
      coord_finish_job (c, job, RSN_RETRY_BUDGET_SPENT, NULL, now_us);
      return;
    }
  if (!charged)
    count_retry (c, cause);
  retry_now (c, job, now_us);
}

/* Retries after the primary or the home has moved, or while there is none.  */
static void
retry_after_move (struct coordinator *c, struct job *job, enum rsn reason,
                  int64_t now_us)
{
  const struct rte_state *state = get_state (c, job->request->database);

  job->last_refusal = reason;
  if (reason == RSN_NOT_PRIMARY && state->primary != QRM_NONE
      && state->primary != job->instance && job->retries < 2)
    {
      job->retries++;
      job->refused_mask = 0;
      count_retry (c, RETRY_PRIMARY_MOVED);
      retry_now (c, job, now_us);
      return;
    }
  if (reason == RSN_NOT_HOME || reason == RSN_NO_HOME)
    job->home_rotation++;
  else
    job->refused_mask |= 1U << job->instance;
  count_retry (c, reason == RSN_NOT_HOME ? RETRY_HOME_MOVED
                                         : RETRY_NO_PRIMARY_YET);
  retry_later (c, job, now_us);
}

/* Takes the reply to a ledger lookup.  Only what the ledger says ends the job
   before its deadline; any other reply causes another lookup.  */
static void
on_ledger_reply (struct coordinator *c, struct job *job,
                 const struct wire_reply *reply, int64_t now_us)
{
  switch (reply->reason)
    {
    case RSN_OK:
    case RSN_REQUEST_ID_REUSED:
      g_clear_pointer (&job->void_detail, g_free);
      coord_finish_job (c, job, reply->reason, reply, now_us);
      break;
    case RSN_REQUEST_VOIDED:
      coord_finish_job (c, job,
                        job->void_reason != RSN_OK ? job->void_reason
                                                   : RSN_REQUEST_VOIDED,
                        reply, now_us);
      break;
    default:
      if (reply->reason != RSN_NOT_HOME)
        job->refused_mask |= 1U << job->instance;
      else
        job->home_rotation++;
      retry_later (c, job, now_us);
      break;
    }
}

static void
on_refused (struct coordinator *c, struct job *job,
            const struct wire_reply *reply, int64_t now_us)
{
  enum rsn reason = reply->reason;
  struct wire_request *r = job->request;

  switch (reason)
    {
    case RSN_REPLICA_STALE:
      try_other_instances (c, job, reason, RETRY_STALE_REPLICA, false, now_us);
      break;
    case RSN_REPLICA_BEHIND_TOKEN:
      try_other_instances (c, job, reason, RETRY_TOKEN_AHEAD, false, now_us);
      break;
    case RSN_NO_MAJORITY:
      try_other_instances (c, job, reason, RETRY_PRIMARY_MOVED, false, now_us);
      break;
    case RSN_QUEUE_FULL:
    case RSN_KIND_QUEUE_FULL:
    case RSN_DEADLINE_UNMEETABLE:
      if (r->read_only && !r->fresh && r->op == WIRE_RUN)
        try_other_instances (c, job, reason, RETRY_OVERLOADED_INSTANCE, true,
                             now_us);
      else
        coord_finish_job (c, job, reason, reply, now_us);
      break;
    case RSN_NO_CONNECTION:
      job->last_refusal = reason;
      if (r->op != WIRE_RUN)
        coord_finish_job (c, job, reason, reply, now_us);
      else if (spend_retry (c, RETRY_CONNECTION_LOST))
        retry_later (c, job, now_us);
      else
        coord_finish_job (c, job, RSN_RETRY_BUDGET_SPENT, reply, now_us);
      break;
    case RSN_NOT_PRIMARY:
    case RSN_NO_PRIMARY:
    case RSN_NOT_HOME:
      if (coord_is_transaction_step (r->op))
        coord_finish_job (c, job, RSN_ROLLED_BACK, reply, now_us);
      else
        retry_after_move (c, job, reason, now_us);
      break;
    default:
      coord_finish_job (c, job, reason, reply, now_us);
      break;
    }
}

void
coord_on_reply (struct coordinator *c, const struct wire_reply *reply,
                int64_t now_us)
{
  struct job *job = g_hash_table_lookup (c->by_id, &reply->id);
  const struct dcl_database *db;
  bool needs_lookup;

  if (!job || job->state != JOB_SENT)
    {
      ctr_add (c->options.counters, CTR_LATE_REPLY, 1);
      return;
    }
  db = database_of (c, job);
  if (db)
    rte_state_update (get_state (c, db->name), db, &reply->view, now_us);
  /* A failed statement does not tell whether an earlier request with the same
     id ran: the lookup voids the id in the ledger before the failure is
     reported to the caller.  */
  needs_lookup = job->request->use_ledger
                 && (reply->reason == RSN_SQL_ERROR
                     || (job->request->op == WIRE_COMMIT
                         && reply->reason == RSN_TRANSACTION_UNKNOWN));
  if (job->resolving)
    on_ledger_reply (c, job, reply, now_us);
  else if (needs_lookup && job->request->op != WIRE_STATEMENT)
    {
      job->void_reason = reply->reason;
      job->void_detail = g_strdup (reply->detail);
      start_ledger_lookup (c, job, now_us);
    }
  else if (reply->reason == RSN_ANSWER_LOST)
    on_attempt_lost (c, job, RETRY_CONNECTION_LOST, now_us);
  else if (reply->reason == RSN_OK || reply->reason == RSN_UNCONFIRMED)
    coord_finish_job (c, job, reply->reason, reply, now_us);
  else
    on_refused (c, job, reply, now_us);
}

/* Treats the attempts sent to VM as lost or, when VM is NULL, those sent to
   any VM that is not alive.  */
static void
fail_attempts (struct coordinator *c, const char *vm, int64_t now_us)
{
  struct job *job;
  GPtrArray *lost = g_ptr_array_new ();

  cds_list_for_each_entry (job, &c->jobs, link)
    {
      if (job->state == JOB_SENT
          && (vm ? strcmp (job->vm, vm) == 0
                 : !c->options.is_alive (c->options.arg, job->vm)))
        g_ptr_array_add (lost, job);
    }
  /* Handling one job does not free any other, so the pointers stay valid.  */
  for (uint32_t i = 0; i < lost->len; i++)
    on_attempt_lost (c, g_ptr_array_index (lost, i), RETRY_PEER_SILENT,
                     now_us);
  g_ptr_array_free (lost, TRUE);
}

void
coord_on_peer_lost (struct coordinator *c, const char *vm, int64_t now_us)
{
  fail_attempts (c, vm, now_us);
}

void
coord_check_peers (struct coordinator *c, int64_t now_us)
{
  fail_attempts (c, NULL, now_us);
}

/* Answers a job whose deadline has passed.  */
static void
expire_job (struct coordinator *c, struct job *job, int64_t now_us)
{
  if (job->state == JOB_SENT || job->resolving)
    coord_finish_job (c, job, RSN_ANSWER_LOST, NULL, now_us);
  else
    coord_finish_job (c, job,
                      job->last_refusal != RSN_OK ? job->last_refusal
                                                  : RSN_DEADLINE_PASSED,
                      NULL, now_us);
}

void
coord_tick (struct coordinator *c, int64_t now_us)
{
  struct job *job;
  struct job *tmp;

  /* XXX: takes time linear in the number of requests in flight.  */
  cds_list_for_each_entry_safe (job, tmp, &c->jobs, link)
    {
      if (now_us >= job->deadline_us)
        expire_job (c, job, now_us);
      else if (job->state == JOB_BACKOFF && now_us >= job->retry_us)
        coord_start_attempt (c, job, now_us);
    }
}

void
coord_abort (struct coordinator *c, int64_t now_us)
{
  struct job *job;
  struct job *tmp;

  cds_list_for_each_entry_safe (job, tmp, &c->jobs, link)
    expire_job (c, job, now_us);
}

void
coord_drain (struct coordinator *c)
{
  c->draining = true;
}

uint32_t
coord_count_in_flight (const struct coordinator *c)
{
  return c->n_jobs;
}
