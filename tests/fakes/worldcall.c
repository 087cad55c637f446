/* Calls that the simulated callers make.  */
#include "worldint.h"

#include <stdio.h>

char *
world_request_id (struct world *w)
{
  uint64_t bits[2];
  char out[RID_LEN + 1];

  bits[0] = ((uint64_t)g_rand_int (w->random) << 32) | g_rand_int (w->random);
  bits[1] = ((uint64_t)g_rand_int (w->random) << 32) | g_rand_int (w->random);
  rid_format (WALL_START_MS + w->now_us / 1000, bits, out);
  return g_strdup (out);
}

static struct world_call *
submit (struct world *w, uint32_t node, struct coord_call *call,
        const char *text, const char *key, const char *arg)
{
  struct world_call *record = g_new0 (struct world_call, 1);
  struct wire_statement statement = { 0 };
  char *args[2] = { (char *)key, (char *)arg };

  statement.text = (char *)text;
  statement.args = args;
  statement.n_args = arg ? 2 : key ? 1 : 0;
  call->n_statements = text ? 1 : 0;
  call->statements = &statement;
  call->tag = record;
  record->node = node;
  record->op = call->op;
  record->database = g_strdup (call->database);
  record->kind = g_strdup (call->kind);
  record->request_id = g_strdup (call->request_id);
  record->key = g_strdup (key);
  record->write = text && !g_str_has_prefix (text, "SELECT");
  record->sent_us = w->now_us;
  record->token = call->token;
  g_ptr_array_add (w->calls, record);
  g_queue_push_tail (&w->hosts[node].calls, record);
  node_submit (w->hosts[node].node, call, w->now_us,
               WALL_START_MS + w->now_us / 1000);
  call->statements = NULL;
  return record;
}

struct world_call *
world_call (struct world *w, uint32_t node, enum wire_op op, uint32_t group,
            const char *kind, const char *request_id, const struct tok *token,
            const char *text, const char *key, const char *arg)
{
  struct coord_call call = { 0 };
  char database[16];

  snprintf (database, sizeof database, "db%u", group);
  call.op = op;
  call.database = database;
  call.kind = kind;
  call.request_id = request_id ? request_id : "";
  call.transaction = "";
  if (token)
    call.token = *token;
  return submit (w, node, &call, text, key, arg);
}

struct world_call *
world_call_in_transaction (struct world *w, uint32_t node, enum wire_op op,
                           const char *transaction, const char *text,
                           const char *key, const char *arg)
{
  struct coord_call call = { 0 };

  call.op = op;
  call.database = "";
  call.kind = "";
  call.request_id = "";
  call.transaction = transaction;
  return submit (w, node, &call, text, key, arg);
}

bool
world_await (struct world *w, struct world_call *call, int64_t limit_us)
{
  int64_t end_us = w->now_us + limit_us;

  while (call->n_replies == 0 && w->now_us < end_us)
    world_run (w, 1000);
  return call->n_replies > 0;
}
