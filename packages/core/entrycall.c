/* Callers' requests: what is refused at the door, and what the declaration of
   their kind makes of the others.  */
#include "entryint.h"

#include "units.h"
#include <string.h>
#include <xxhash.h>

/* Each request earns this share of a retry.  */
#define RETRY_EARN 0.1

/* An answer to a call that never became a job.  */
static void
refuse (struct entry *e, const struct ent_call *call, enum rsn reason)
{
  struct ent_answer answer = { 0 };

  answer.reason = reason;
  answer.rows = answer.detail = answer.transaction = "";
  answer.database = call->database;
  ent_give_answer (e, call->tag, &answer);
}

static uint64_t
digest_of (const struct ent_call *call)
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
  /* The ledger stores it as a signed 64-bit number.  */
  return digest >> 1;
}

static void
replace (char **field, const char *text)
{
  g_free (*field);
  *field = g_strdup (text);
}

/* Sets what the declaration of the kind says; an undeclared kind gets the
   strictest rules.  */
static void
apply_kind (struct entry *e, struct job *job, const struct ent_call *call)
{
  const struct dcl_kind *kind = dcl_find_kind (e->set, job->request->kind);
  struct wire_request *r = job->request;
  struct tok_mark floor = tok_find (&call->token, r->database);
  int64_t deadline_ms = kind ? kind->deadline_ms : DCL_DEADLINE_DEFAULT_MS;

  if (!kind)
    {
      ctr_add (e->options.counters, CTR_UNDECLARED_KIND, 1);
      job->undeclared = true;
    }
  r->read_only = kind && kind->read_only;
  r->max_age_ms = r->read_only ? kind->max_age_ms : 0;
  r->fresh = r->max_age_ms == 0;
  r->use_ledger = (!kind || kind->never_repeat) && r->request_id[0] != '\0';
  job->may_repeat = kind && !kind->never_repeat;
  r->min_term = floor.term;
  r->min_position = floor.position;
  if (call->deadline_ms > 0 && call->deadline_ms < deadline_ms)
    deadline_ms = call->deadline_ms;
  job->deadline_us = job->arrived_us + deadline_ms * US_PER_MS;
}

/* A conversation's id: vm~database~instance~kind~request id~serial.  */
static bool
apply_transaction (struct job *job, const struct ent_call *call)
{
  char **parts = g_strsplit (call->transaction, "~", 7);
  bool ok = g_strv_length (parts) == 6 && strlen (parts[0]) < sizeof job->vm;

  if (ok)
    {
      g_strlcpy (job->vm, parts[0], sizeof job->vm);
      replace (&job->request->database, parts[1]);
      replace (&job->request->instance, parts[2]);
      replace (&job->request->kind, parts[3]);
      replace (&job->request->request_id, parts[4]);
      replace (&job->request->transaction, call->transaction);
    }
  g_strfreev (parts);
  return ok;
}

/* Why the call cannot become a job, RSN_OK when it can.  */
static enum rsn
check_call (const struct entry *e, const struct ent_call *call,
            int64_t wall_ms)
{
  const struct dcl_database *db;
  const struct dcl_kind *kind;

  if (ent_is_step (call->op))
    return e->set ? RSN_OK : RSN_NO_CONFIGURATION;
  if (e->draining)
    return RSN_SHUTTING_DOWN;
  if (!e->set)
    return RSN_NO_CONFIGURATION;
  db = dcl_find_database (e->set, call->database);
  if (!db)
    return RSN_UNKNOWN_DATABASE;
  if (db->leaving)
    return RSN_DATABASE_LEAVING;
  if (e->n_jobs >= e->options.jobs_max)
    return RSN_TOO_MANY_REQUESTS;
  kind = dcl_find_kind (e->set, call->kind);
  if (call->request_id[0] != '\0' || (kind && kind->never_repeat))
    return rid_check (call->request_id, wall_ms);
  return RSN_OK;
}

static struct job *
new_job (struct entry *e, const struct ent_call *call, int64_t now_us)
{
  struct job *job = g_new0 (struct job, 1);

  job->tag = call->tag;
  job->arrived_us = now_us;
  job->turn = e->turn++;
  job->request = wire_request_new ();
  job->request->id = ++e->next_id;
  job->request->op = call->op;
  replace (&job->request->database, call->database);
  replace (&job->request->kind, call->kind);
  replace (&job->request->request_id, call->request_id);
  cds_list_add_tail (&job->link, &e->jobs);
  g_hash_table_insert (e->by_id, &job->request->id, job);
  e->n_jobs++;
  return job;
}

void
ent_submit (struct entry *e, const struct ent_call *call, int64_t now_us,
            int64_t wall_ms)
{
  enum rsn reason = check_call (e, call, wall_ms);
  struct job *job;

  if (reason != RSN_OK)
    {
      refuse (e, call, reason);
      return;
    }
  job = new_job (e, call, now_us);
  if (ent_is_step (call->op) && !apply_transaction (job, call))
    {
      job->deadline_us = now_us;
      ent_finish (e, job, RSN_TRANSACTION_UNKNOWN, NULL, now_us);
      return;
    }
  wire_request_set_statements (job->request, call->statements,
                               call->n_statements);
  apply_kind (e, job, call);
  job->request->digest = digest_of (call);
  e->retry_tokens = MIN (e->retry_tokens + RETRY_EARN, ENT_RETRY_TOKENS_MAX);
  ent_attempt (e, job, now_us);
}
