/* Request coordinator: checks callers' requests and applies the declaration of
   their kind.  */
#include "coordint.h"

#include "units.h"
#include <string.h>
#include <xxhash.h>

/* Retry budget that each request adds, in retries.  */
#define RETRY_TOKENS_PER_REQUEST 0.1

/* Answers a call that is refused before it becomes a job.  */
static void
refuse (struct coordinator *c, const struct coord_call *call, enum rsn reason)
{
  struct coord_answer answer = { 0 };

  answer.reason = reason;
  answer.rows = answer.detail = answer.transaction = "";
  answer.database = call->database;
  coord_deliver_answer (c, call->tag, &answer);
}

static uint64_t
digest_statements (const struct coord_call *call)
{
  XXH64_hash_t digest = 0;

  for (uint32_t i = 0; i < call->n_statements; i++)
    {
      const struct wire_statement *s = &call->statements[i];

      digest = XXH3_64bits_withSeed (s->text, strlen (s->text), digest + 1);
      for (uint32_t a = 0; a < s->n_args; a++)
        digest = s->args[a] ? XXH3_64bits_withSeed (
                     s->args[a], strlen (s->args[a]), digest + 1)
                            : digest + 2;
    }
  /* The ledger stores the digest as a signed 64-bit integer.  */
  return digest >> 1;
}

static void
replace_string (char **field, const char *text)
{
  g_free (*field);
  *field = g_strdup (text);
}

/* Sets the properties that the declaration of the kind gives; an undeclared
   kind gets the strictest rules: a write that must not be repeated.  */
static void
apply_declaration (struct coordinator *c, struct job *job,
                   const struct coord_call *call)
{
  const struct dcl_kind *kind = dcl_find_kind (c->set, job->request->kind);
  struct wire_request *r = job->request;
  struct tok_position min = tok_find_position (&call->token, r->database);
  int64_t deadline_ms = kind ? kind->deadline_ms : DCL_DEADLINE_DEFAULT_MS;

  if (!kind)
    {
      ctr_add (c->options.counters, CTR_UNDECLARED_KIND, 1);
      job->undeclared = true;
    }
  r->read_only = kind && kind->read_only;
  r->max_age_ms = r->read_only ? kind->max_age_ms : 0;
  r->fresh = r->max_age_ms == 0;
  r->use_ledger = (!kind || kind->never_repeat) && r->request_id[0] != '\0';
  job->may_repeat = kind && !kind->never_repeat;
  r->min_term = min.term;
  r->min_position = min.position;
  if (call->deadline_ms > 0 && call->deadline_ms < deadline_ms)
    deadline_ms = call->deadline_ms;
  job->deadline_us = job->arrived_us + deadline_ms * US_PER_MS;
}

/* Parses the id of an interactive transaction:
   vm~database~instance~kind~request id~serial.  */
static bool
parse_transaction (struct job *job, const struct coord_call *call)
{
  char **parts = g_strsplit (call->transaction, "~", 7);
  bool ok = g_strv_length (parts) == 6 && strlen (parts[0]) < sizeof job->vm;

  if (ok)
    {
      g_strlcpy (job->vm, parts[0], sizeof job->vm);
      replace_string (&job->request->database, parts[1]);
      replace_string (&job->request->instance, parts[2]);
      replace_string (&job->request->kind, parts[3]);
      replace_string (&job->request->request_id, parts[4]);
      replace_string (&job->request->transaction, call->transaction);
    }
  g_strfreev (parts);
  return ok;
}

/* RSN_OK when the call can become a job, else the reason why not.  */
static enum rsn
check_call (const struct coordinator *c, const struct coord_call *call,
            int64_t wall_ms)
{
  const struct dcl_database *db;
  const struct dcl_kind *kind;

  if (coord_is_transaction_step (call->op))
    return c->set ? RSN_OK : RSN_NO_CONFIGURATION;
  if (c->draining)
    return RSN_SHUTTING_DOWN;
  if (!c->set)
    return RSN_NO_CONFIGURATION;
  db = dcl_find_database (c->set, call->database);
  if (!db)
    return RSN_UNKNOWN_DATABASE;
  if (db->leaving)
    return RSN_DATABASE_LEAVING;
  if (c->n_jobs >= c->options.requests_max)
    return RSN_TOO_MANY_REQUESTS;
  kind = dcl_find_kind (c->set, call->kind);
  if (call->request_id[0] != '\0' || (kind && kind->never_repeat))
    return rid_check (call->request_id, wall_ms);
  return RSN_OK;
}

static struct job *
new_job (struct coordinator *c, const struct coord_call *call, int64_t now_us)
{
  struct job *job = g_new0 (struct job, 1);

  job->tag = call->tag;
  job->arrived_us = now_us;
  job->rotation = c->rotation++;
  job->request = wire_request_new ();
  job->request->id = ++c->next_id;
  job->request->op = call->op;
  replace_string (&job->request->database, call->database);
  replace_string (&job->request->kind, call->kind);
  replace_string (&job->request->request_id, call->request_id);
  cds_list_add_tail (&job->link, &c->jobs);
  g_hash_table_insert (c->by_id, &job->request->id, job);
  c->n_jobs++;
  return job;
}

void
coord_submit (struct coordinator *c, const struct coord_call *call,
              int64_t now_us, int64_t wall_ms)
{
  enum rsn reason = check_call (c, call, wall_ms);
  struct job *job;

  if (reason != RSN_OK)
    {
      refuse (c, call, reason);
      return;
    }
  job = new_job (c, call, now_us);
  if (coord_is_transaction_step (call->op) && !parse_transaction (job, call))
    {
      job->deadline_us = now_us;
      coord_finish_job (c, job, RSN_TRANSACTION_UNKNOWN, NULL, now_us);
      return;
    }
  wire_request_set_statements (job->request, call->statements,
                               call->n_statements);
  apply_declaration (c, job, call);
  job->request->digest = digest_statements (call);
  c->retry_tokens = MIN (c->retry_tokens + RETRY_TOKENS_PER_REQUEST,
                         COORD_RETRY_TOKENS_MAX);
  coord_start_attempt (c, job, now_us);
}
