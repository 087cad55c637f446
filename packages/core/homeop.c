/* Processing of one request at its home: queue, run, confirm, reply.  The
   prefix hop_ stands for "home operation", not for a network hop.  */
#include "homeint.h"

#include "units.h"
#include <string.h>

/* A read on a replica whose age is not confirmed as allowed within this time
   ends as RSN_REPLICA_STALE, so that the primary can serve it.  */
#define REPLICA_CONFIRM_US (60 * US_PER_MS)
/* A status reply older than this does not tell a replica's lag.  */
#define LAG_STATUS_MAX_US (1200 * US_PER_MS)

struct home_op *
hop_new (struct home_group *g, uint32_t instance, const char *from,
         struct wire_request *request, int64_t now_us)
{
  struct home_op *op = g_new0 (struct home_op, 1);

  op->group = g;
  op->instance = instance;
  op->from = g_strdup (from);
  op->request = request ? wire_request_ref (request) : NULL;
  op->arrived_us = now_us;
  op->deadline_us
      = request ? now_us + request->deadline_ms * US_PER_MS : INT64_MAX / 2;
  op->item.deadline_us = op->deadline_us;
  cds_list_add_tail (&op->link, &g->ops);
  return op;
}

static void
send_reply (struct home *h, const char *from, struct wire_reply *reply,
            const char *database, int64_t now_us)
{
  home_fill_view (h, database, &reply->view, now_us);
  h->options.reply (h->options.arg, from, reply);
}

void
hop_refuse (struct home *h, const char *from,
            const struct wire_request *request, enum rsn reason,
            int64_t now_us)
{
  struct wire_reply reply = { 0 };

  reply.id = request->id;
  reply.reason = reason;
  send_reply (h, from, &reply, request->database, now_us);
}

/* Releases the slot of a running op.  */
static void
release_slot (struct home *h, struct home_op *op, int64_t now_us)
{
  struct adm *a = &op->group->instances[op->instance].adm;

  g_hash_table_remove (h->ops_by_conn, &op->conn);
  if (op->bypasses_queue)
    a->running--;
  else
    adm_finish (a, &op->item, now_us - op->started_us);
}

static void
free_op (struct home_op *op)
{
  cds_list_del (&op->link);
  wire_request_unref (op->request);
  g_free (op->rows);
  g_free (op->from);
  g_free (op);
}

void
hop_finish (struct home *h, struct home_op *op, enum rsn reason,
            const char *detail, int64_t now_us)
{
  struct wire_reply reply = { 0 };
  char *rows = op->rows;
  char *database;
  char *from;

  if (!op->request)
    {
      free_op (op);
      return;
    }
  if (op->state == OP_QUEUED)
    adm_remove (&op->group->instances[op->instance].adm, &op->item);
  reply.id = op->request->id;
  reply.reason = reason;
  reply.from_primary = op->sent_to_primary;
  reply.detail = (char *)detail;
  if (reason == RSN_OK || reason == RSN_REQUEST_ID_REUSED)
    {
      reply.term = op->term;
      reply.position = op->position;
      reply.rows = rows;
    }
  if (op->transaction)
    reply.transaction = op->transaction->id;
  /* The reply function may submit a new request, so OP is freed first.  */
  database = g_strdup (op->request->database);
  from = g_strdup (op->from);
  op->rows = NULL;
  free_op (op);
  send_reply (h, from, &reply, database, now_us);
  g_free (rows);
  g_free (database);
  g_free (from);
}

enum rsn
hop_precheck (const struct home *h, const struct home_op *op, int64_t now_us)
{
  const struct mon *m = &op->group->mon;
  const struct qrm *q = &m->q;
  const struct wire_request *r = op->request;
  const struct qrm_report *report = &q->reports[op->instance];
  int64_t age_us;

  if (r->deadline_ms <= 0)
    return RSN_DEADLINE_PASSED;
  if (r->read_only && !r->fresh && op->instance != q->primary)
    {
      age_us = qrm_age_us (q, report->status.term, report->status.position,
                           report->received_us);
      if (!h->options.unsafe.no_age_check && report->known
          && now_us - report->received_us < LAG_STATUS_MAX_US
          && age_us > r->max_age_ms * US_PER_MS)
        return RSN_REPLICA_STALE;
      return RSN_OK;
    }
  if (fo_evaluate (&m->fo, q, 0, now_us) == FO_NO_MAJORITY)
    return RSN_NO_MAJORITY;
  if (q->primary == QRM_NONE
      || qrm_highest_term (q) > q->reports[q->primary].status.granted_term)
    return RSN_NO_PRIMARY;
  if (q->primary != op->instance)
    return RSN_NOT_PRIMARY;
  if (q->primary_confirmed_us < now_us - FO_DETECT_MS * US_PER_MS)
    return RSN_NO_PRIMARY;
  if (!r->read_only && r->op != WIRE_RESOLVE
      && h->options.rule == &qrm_rule_majority
      && qrm_confirm_lag_us (q, now_us) > r->deadline_ms * US_PER_MS)
    return RSN_CONFIRM_TOO_SLOW;
  return RSN_OK;
}

void
hop_exec (struct home *h, struct home_op *op, enum up_op_kind kind,
          int64_t now_us)
{
  const struct qrm *q = &op->group->mon.q;
  struct up_op up = { 0 };

  op->state = OP_RUNNING;
  op->started_us = now_us;
  op->sent_to_primary = op->instance == q->primary;
  up.kind = kind;
  up.request = op->request;
  up.allow_replica
      = op->request->read_only && !op->request->fresh && !op->sent_to_primary;
  up.term = op->transaction    ? op->transaction->term
            : up.allow_replica ? op->request->min_term
                               : q->term;
  up.min_position = up.allow_replica ? op->request->min_position : 0;
  if (h->options.unsafe.no_token_check && up.allow_replica)
    up.term = up.min_position = 0;
  up.timeout_ms = MAX (1, (op->deadline_us - now_us) / US_PER_MS);
  g_hash_table_insert (h->ops_by_conn, g_memdup2 (&op->conn, sizeof op->conn),
                       op);
  h->options.up->ops->exec (h->options.up, op->conn, &up);
}

static enum up_op_kind
up_kind_of (const struct wire_request *r)
{
  switch (r->op)
    {
    case WIRE_RESOLVE:
      return UP_RESOLVE;
    case WIRE_BEGIN:
      return UP_BEGIN;
    case WIRE_STATEMENT:
      return UP_STATEMENTS;
    case WIRE_COMMIT:
      return UP_COMMIT;
    case WIRE_ROLLBACK:
      return UP_ROLLBACK;
    case WIRE_RUN:
    case WIRE_OP_END:
      break;
    }
  return UP_RUN;
}

void
hop_start_queued (struct home *h, struct home_group *g, uint32_t instance,
                  int64_t now_us)
{
  struct home_instance *inst = &g->instances[instance];
  struct adm_item *item;
  struct home_op *op;
  enum rsn reason;

  while (cpool_count (&inst->pool, CPOOL_IDLE) > 0
         && (item = adm_pop (&inst->adm)) != NULL)
    {
      op = caa_container_of (item, struct home_op, item);
      /* It has left the queue, so hop_finish must not remove it there.  */
      op->state = OP_CONFIRMING;
      /* The group may have changed while the request waited.  */
      reason = hop_precheck (h, op, now_us);
      if (op->deadline_us <= now_us)
        reason = RSN_DEADLINE_PASSED;
      else if (reason == RSN_OK && !inst->adm.options.unlimited
               && op->deadline_us
                      <= now_us + adm_service_us (&inst->adm, item))
        /* If it started now, the deadline would pass with its outcome unknown;
           if it does not start, the caller knows that it did not run.  */
        reason = RSN_DEADLINE_UNMEETABLE;
      if (reason != RSN_OK)
        {
          inst->adm.running--;
          hop_finish (h, op, reason, NULL, now_us);
          continue;
        }
      op->conn = cpool_take (&inst->pool, now_us);
      hop_exec (h, op, up_kind_of (op->request), now_us);
    }
}

/* The reason for a request id that is in the ledger.  */
static enum rsn
ledger_reason (const struct home_op *op, const struct up_result *result)
{
  if (result->ledger != UP_LEDGER_DONE)
    return RSN_REQUEST_VOIDED;
  return result->ledger_digest == op->request->digest ? RSN_OK
                                                      : RSN_REQUEST_ID_REUSED;
}

/* Completes OP if its result is confirmed, or cannot be any more; true when OP
   has ended.  */
static bool
complete_if_confirmed (struct home *h, struct home_op *op, int64_t now_us)
{
  const struct qrm *q = &op->group->mon.q;
  const struct wire_request *r = op->request;
  const struct qrm_rule *rule = h->options.rule;
  int64_t age_us;

  /* A read with an allowed age guarantees no more than that age.  On the
     primary too it need not wait for a majority that lags.  */
  if (r->read_only && !r->fresh)
    {
      age_us = qrm_age_us (q, op->term, op->position, now_us);
      if (h->options.unsafe.no_age_check
          || age_us <= r->max_age_ms * US_PER_MS)
        {
          hop_finish (h, op, RSN_OK, NULL, now_us);
          return true;
        }
      if (now_us - op->started_us < REPLICA_CONFIRM_US)
        return false;
      hop_finish (h, op, RSN_REPLICA_STALE, NULL, now_us);
      return true;
    }
  if (r->read_only
          ? rule->read_confirmed (q, op->arrived_us, op->term, op->position)
          : rule->write_confirmed (q, op->term, op->position))
    {
      hop_finish (h, op, op->reason, NULL, now_us);
      return true;
    }
  /* There is a later term, so nothing can be confirmed under this one.  */
  if (qrm_highest_term (q) > op->term && q->term > op->term)
    {
      hop_finish (h, op, r->read_only ? RSN_NOT_PRIMARY : RSN_ANSWER_LOST,
                  NULL, now_us);
      return true;
    }
  return false;
}

void
hop_check_confirmed (struct home *h, struct home_group *g, int64_t now_us)
{
  struct home_op *op;
  struct home_op *tmp;
  bool waiting = false;

  cds_list_for_each_entry_safe (op, tmp, &g->ops, link)
    {
      if (op->state == OP_CONFIRMING && !complete_if_confirmed (h, op, now_us))
        waiting = true;
    }
  if (!waiting)
    mon_poll_normal (&g->mon);
}

/* Keeps the result until it is confirmed.  */
static void
start_confirming (struct home *h, struct home_op *op,
                  const struct up_result *result, int64_t now_us)
{
  op->state = OP_CONFIRMING;
  op->term = result->status.term;
  op->position = result->status.position;
  op->rows = g_strdup (result->rows);
  op->reason = RSN_OK;
  if (op->request->op == WIRE_RESOLVE)
    op->reason = ledger_reason (op, result);
  if (!complete_if_confirmed (h, op, now_us))
    mon_poll_fast (&op->group->mon, now_us);
}

static enum rsn
reason_of (const struct home_op *op, enum up_outcome outcome)
{
  bool read_only = op->request->read_only;

  switch (outcome)
    {
    case UP_OK:
      return RSN_OK;
    case UP_REJECTED:
      return op->sent_to_primary || !read_only || op->request->fresh
                 ? RSN_NOT_PRIMARY
                 : RSN_REPLICA_BEHIND_TOKEN;
    case UP_SQL_ERROR:
      return RSN_SQL_ERROR;
    case UP_READ_ONLY:
      return RSN_READ_KIND_WROTE;
    case UP_TOO_LARGE:
      return RSN_ANSWER_TOO_LARGE;
    case UP_DUPLICATE:
      return RSN_ANSWER_LOST;
    case UP_NOT_COMMITTED:
      return RSN_NO_CONNECTION;
    case UP_LOST:
      break;
    }
  return read_only ? RSN_NO_CONNECTION : RSN_ANSWER_LOST;
}

static bool
is_connection_lost (enum up_outcome outcome)
{
  return outcome == UP_LOST || outcome == UP_NOT_COMMITTED;
}

/* A statement of an interactive transaction ended, and the transaction with it
   unless it was a successful STATEMENT.  */
static void
done_in_transaction (struct home *h, struct home_op *op,
                     const struct up_result *result, int64_t now_us)
{
  struct home_transaction *t = op->transaction;
  enum wire_op kind = op->request->op;
  bool ends = kind != WIRE_STATEMENT || result->outcome != UP_OK;

  t->state = TXN_IDLE;
  t->last_used_us = now_us;
  if (!ends)
    {
      op->rows = g_strdup (result->rows);
      hop_finish (h, op, RSN_OK, NULL, now_us);
      return;
    }
  op->transaction = NULL;
  htx_end (h, t, !is_connection_lost (result->outcome), now_us);
  if (result->outcome == UP_OK && kind == WIRE_COMMIT)
    start_confirming (h, op, result, now_us);
  else if (kind == WIRE_STATEMENT && is_connection_lost (result->outcome))
    hop_finish (h, op, RSN_ROLLED_BACK, NULL, now_us);
  else
    hop_finish (h, op,
                kind == WIRE_ROLLBACK ? RSN_OK
                                      : reason_of (op, result->outcome),
                result->detail, now_us);
}

static void
done_standalone (struct home *h, struct home_op *op,
                 const struct up_result *result, int64_t now_us)
{
  struct cpool *pool = &op->group->instances[op->instance].pool;

  if (op->request && op->request->op == WIRE_BEGIN && result->outcome == UP_OK)
    {
      op->transaction = htx_open (h, op, result->status.term, now_us);
      hop_finish (h, op, RSN_OK, NULL, now_us);
      return;
    }
  if (is_connection_lost (result->outcome))
    cpool_drop (pool, op->conn, true);
  else
    cpool_put (pool, op->conn, now_us);
  if (!op->request)
    free_op (op);
  else if (result->outcome == UP_OK)
    start_confirming (h, op, result, now_us);
  else
    hop_finish (h, op, reason_of (op, result->outcome), result->detail,
                now_us);
}

void
hop_exec_done (struct home *h, struct home_op *op,
               const struct up_result *result, int64_t now_us)
{
  struct home_group *g = op->group;
  uint32_t instance = op->instance;

  release_slot (h, op, now_us);
  op->state = OP_CONFIRMING;
  if (result->has_status && g->monitored)
    mon_note_status (&g->mon, instance, op->started_us, now_us,
                     &result->status);
  if (op->transaction)
    done_in_transaction (h, op, result, now_us);
  else
    done_standalone (h, op, result, now_us);
  hop_check_confirmed (h, g, now_us);
  hop_start_queued (h, g, instance, now_us);
}

void
hop_connection_lost (struct home *h, struct home_op *op, bool close,
                     int64_t now_us)
{
  struct up_result result = { 0 };

  result.outcome = UP_LOST;
  if (close)
    h->options.up->ops->close (h->options.up, op->conn);
  hop_exec_done (h, op, &result, now_us);
}

/* Returns one op past its deadline or without a result for silence_ms, or
   NULL.  One at a time, because completing it may change the list.  */
static struct home_op *
find_expired (const struct home *h, const struct home_group *g, int64_t now_us)
{
  struct home_op *op;
  int64_t silence_us = h->options.silence_ms * US_PER_MS;

  cds_list_for_each_entry (op, &g->ops, link)
    {
      /* NOLINTNEXTLINE: a freed op is no longer in the list.  */
      if (op->deadline_us <= now_us)
        return op;
      if (op->state == OP_RUNNING && now_us - op->started_us > silence_us)
        return op;
    }
  return NULL;
}

void
hop_expire (struct home *h, struct home_group *g, int64_t now_us)
{
  struct home_op *op;

  while ((op = find_expired (h, g, now_us)) != NULL)
    switch (op->state)
      {
      case OP_QUEUED:
        hop_finish (h, op, RSN_DEADLINE_PASSED, NULL, now_us);
        break;
      case OP_RUNNING:
        ctr_add (h->options.counters, CTR_CONNECTION_SILENT, 1);
        hop_connection_lost (h, op, true, now_us);
        break;
      case OP_CONFIRMING:
        hop_finish (h, op,
                    op->request->read_only ? RSN_READ_UNCONFIRMED
                                           : RSN_UNCONFIRMED,
                    NULL, now_us);
        break;
      }
}
