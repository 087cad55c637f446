/* Interactive transactions, which span several requests.  */
#include "homeint.h"

#include "units.h"
#include <string.h>

static struct home_transaction *
find_transaction (const struct home *h, const char *id)
{
  return g_hash_table_lookup (h->transactions, id);
}

/* The id names this proxy, so that any proxy can forward to it, and carries
   what is needed to look up the outcome in the ledger if this proxy dies.  The
   random part keeps it from being guessed.  */
static char *
make_id (struct home *h, const struct home_op *op)
{
  const struct wire_request *r = op->request;

  return g_strdup_printf ("%s~%s~%s~%s~%s~%lu-%08x%08x", h->options.vm,
                          r->database, r->instance, r->kind,
                          r->use_ledger ? r->request_id : "",
                          ++h->last_transaction_number, g_rand_int (h->random),
                          g_rand_int (h->random));
}

struct home_transaction *
htx_open (struct home *h, struct home_op *op, uint64_t term, int64_t now_us)
{
  struct home_transaction *t = g_new0 (struct home_transaction, 1);

  t->id = make_id (h, op);
  t->group = op->group;
  t->instance = op->instance;
  t->conn = op->conn;
  t->term = term;
  t->read_only = op->request->read_only;
  t->begun_us = now_us;
  t->last_used_us = now_us;
  t->group->instances[t->instance].n_transactions++;
  g_hash_table_insert (h->transactions, t->id, t);
  ctr_add (h->options.counters, CTR_TRANSACTIONS_OPENED, 1);
  return t;
}

void
htx_end (struct home *h, struct home_transaction *t, bool keep, int64_t now_us)
{
  struct home_instance *inst = &t->group->instances[t->instance];

  g_hash_table_remove (h->transactions, t->id);
  inst->n_transactions--;
  if (keep)
    cpool_put (&inst->pool, t->conn, now_us);
  else
    cpool_drop (&inst->pool, t->conn, true);
  g_free (t->id);
  g_free (t);
}

void
htx_submit (struct home *h, const char *from, struct wire_request *request,
            int64_t now_us)
{
  struct home_transaction *t = find_transaction (h, request->transaction);
  struct home_op *op;
  enum up_op_kind kind = request->op == WIRE_COMMIT     ? UP_COMMIT
                         : request->op == WIRE_ROLLBACK ? UP_ROLLBACK
                                                        : UP_STATEMENTS;

  if (!t)
    {
      hop_refuse (h, from, request, RSN_TRANSACTION_UNKNOWN, now_us);
      return;
    }
  if (t->state != TXN_IDLE)
    {
      hop_refuse (h, from, request, RSN_TRANSACTION_BUSY, now_us);
      return;
    }
  t->state = kind == UP_STATEMENTS ? TXN_BUSY : TXN_ENDING;
  request->read_only = t->read_only;
  t->last_used_us = now_us;
  op = hop_new (t->group, t->instance, from, request, now_us);
  op->transaction = t;
  op->conn = t->conn;
  /* A transaction in progress holds locks and a connection, so its statements
     bypass the queue, which limits new work only.  */
  op->bypasses_queue = true;
  t->group->instances[t->instance].adm.running++;
  hop_exec (h, op, kind, now_us);
}

/* Returns one transaction that is idle and past a time limit, or NULL.  */
static struct home_transaction *
find_expired (const struct home *h, int64_t now_us)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, h->transactions);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      struct home_transaction *t = value;

      if (t->state == TXN_IDLE
          && (now_us - t->last_used_us
                  > h->options.transaction_idle_ms * US_PER_MS
              || now_us - t->begun_us
                     > h->options.transaction_max_ms * US_PER_MS))
        return t;
    }
  return NULL;
}

void
htx_expire (struct home *h, int64_t now_us)
{
  struct home_transaction *t;

  /* The instance rolls back when the connection closes.  */
  while ((t = find_expired (h, now_us)) != NULL)
    htx_end (h, t, false, now_us);
}

void
htx_free_all (struct home *h)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, h->transactions);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      struct home_transaction *t = value;

      g_hash_table_iter_remove (&iter);
      g_free (t->id);
      g_free (t);
    }
}
