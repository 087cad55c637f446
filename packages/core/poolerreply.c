/* Replies of upstreams: results, errors and retries of statements, and lost
   connections.  */
#include "poolerint.h"

#include "backoff.h"

/* Retries of one statement before its error is returned to the caller.  */
#define TRIES_MAX 40
/* Retries of a read that ran and failed.  */
#define FAILED_TRIES_MAX 3
/* Wait after an instance refused a statement as busy: about half the execution
   time of one statement.  */
#define BUSY_WAIT_US 4000
#define BUSY_WAIT_MAX_US 40000
/* After this many tries a statement refused by an overloaded home is not
   retried on another instance.  */
#define OVERLOADED_TRIES_MAX 2
/* How long a replica that lacked a position gets no statement that requires
   it; doubled each time until it has caught up.  */
static const struct bko_range behind_backoff = { 60000, 960000 };
/* Delay of the retry of a statement that the instance refused because it is
   not the primary.  */
#define NOT_PRIMARY_WAIT_US 10000
/* First and longest wait before the next connection to an instance after one
   failed to open.  */
static const struct bko_range open_backoff = { 50000, 800000 };
/* Pause before the next connection to an instance that is at its connection
   limit: it has room again when another proxy closes an idle connection.  */
#define LIMIT_BACKOFF_US 200000
/* The same, shorter, when this proxy has no connection to the instance.  */
#define NO_LINK_BACKOFF_US 60000

static const char *
kind_name (const struct ses *s)
{
  static const char *const names[]
      = { "read_fresh", "read_bounded", "read_own" };

  if (s->statement.kind == STM_COMMIT)
    return "commit";
  return s->writes ? "write" : names[s->work.reads];
}

static void
send_reply (struct plr *p, struct ses *s, const struct stm_result *result,
            int64_t now_us)
{
  s->state = result->state;
  ses_clear_statement (s, now_us);
  plr_reply (p, s, result);
}

void
plr_leave_queues (struct plr *p, struct ses *s)
{
  plr_leave_held (p, s);
  if (s->stage == SES_WAITING)
    g_queue_unlink (&s->work.svc->waiting, &s->waiting_node);
  if (s->stage != SES_IDLE)
    g_queue_unlink (&p->active, &s->active_node);
  s->stage = SES_IDLE;
}

void
plr_clear_work (struct ses *s)
{
  s->work = (struct ses_work){ 0 };
}

/* Logs a success: each one later than its objective with the parts of its
   time, the others as a sample.  */
static void
log_success (struct plr *p, const struct ses *s,
             const struct stm_result *result, int64_t now_us)
{
  int64_t took_us = now_us - s->arrived_us;
  bool late = s->work.objective_us > 0 && took_us > s->work.objective_us;

  EV (p->options.log, now_us, late ? EV_LATE : EV_SERVED,
      EV_TEXT ("id", s->statement.id), EV_TEXT ("database", s->database),
      EV_TEXT ("kind", kind_name (s)), EV_TEXT ("account", s->account),
      EV_TEXT ("instance", s->link->instance->entry->id),
      EV_TEXT ("through", s->link->home ? s->link->home : ""),
      EV_INT ("term", result->position.term),
      EV_INT ("position", (int64_t)result->position.number),
      EV_INT ("tries", s->tries), EV_INT ("took_us", took_us),
      EV_INT ("queued_us", s->sent_us - s->arrived_us),
      EV_INT ("upstream_us", now_us - s->sent_us),
      EV_INT ("usual_us", s->link->instance->exec_us));
}

void
plr_complete (struct plr *p, struct ses *s, struct stm_result *result,
              int64_t now_us)
{
  bool commit = s->statement.kind == STM_COMMIT;
  bool ends = commit || !s->work.transaction;

  ctr_add (p->options.counters, CTR_STATEMENTS_OK, 1);
  ctr_observe_latency (p->options.counters, kind_name (s),
                       now_us - s->arrived_us);
  ctr_observe_latency (p->options.counters, "queue_wait",
                       s->sent_us - s->arrived_us);
  ctr_observe_latency (p->options.counters, "upstream", now_us - s->sent_us);
  log_success (p, s, result, now_us);
  if (ends && (s->writes || s->work.wrote))
    {
      s->last_commit = result->position;
      s->last_commit_svc = s->work.svc;
    }
  s->work.wrote |= s->writes;
  s->work.replied = true;
  result->state = ends ? STM_IDLE : STM_OPEN;
  plr_leave_queues (p, s);
  if (ends)
    {
      plr_release_link (p, s, now_us);
      plr_clear_work (s);
    }
  send_reply (p, s, result, now_us);
}

void
plr_refuse (struct plr *p, struct ses *s, enum rfs why, enum sqc code,
            int64_t now_us)
{
  plr_refuse_with (p, s, why, code, rfs_text (why), now_us);
}

void
plr_refuse_with (struct plr *p, struct ses *s, enum rfs why, enum sqc code,
                 const char *detail, int64_t now_us)
{
  struct stm_result result = { 0 };
  bool ends = !s->work.transaction || s->statement.kind == STM_COMMIT;

  ctr_count_refusal (p->options.counters, why);
  ctr_observe_latency (p->options.counters, "refused", now_us - s->arrived_us);
  EV (p->options.log, now_us, EV_REFUSED, EV_TEXT ("id", s->statement.id),
      EV_TEXT ("database", s->database), EV_TEXT ("why", rfs_name (why)),
      EV_TEXT ("code", sqc_name (code)), EV_TEXT ("kind", kind_name (s)),
      EV_TEXT ("account", s->account),
      EV_TEXT ("instance", s->link    ? s->link->instance->entry->id
                           : s->avoid ? s->avoid->entry->id
                                      : ""),
      EV_INT ("tries", s->tries), EV_INT ("waited_us", now_us - s->arrived_us),
      EV_INT ("sent_us", s->sent_us > 0 ? now_us - s->sent_us : -1));
  result.code = code;
  result.detail = detail;
  result.state = ends ? STM_IDLE : STM_FAILED;
  plr_leave_queues (p, s);
  plr_release_link (p, s, now_us);
  plr_clear_work (s);
  send_reply (p, s, &result, now_us);
}

void
plr_retry (struct plr *p, struct ses *s, enum rsn_retry why, int64_t delay_us,
           int64_t now_us)
{
  ctr_count_retry (p->options.counters, why);
  EV (p->options.log, now_us, EV_RETRY, EV_TEXT ("id", s->statement.id),
      EV_TEXT ("why", rsn_retry_name (why)), EV_TEXT ("kind", kind_name (s)),
      EV_TEXT ("instance", s->link ? s->link->instance->entry->id : ""),
      EV_INT ("tries", s->tries),
      EV_INT ("waited_us", now_us - s->arrived_us));
  s->tries++;
  if (s->link)
    s->avoid = s->link->instance;
  s->retry_after_us = now_us + delay_us;
  s->awaits_begin = false;
  s->work.begun = false;
  plr_release_link (p, s, now_us);
  plr_dispatch (p, s, now_us);
}

/* Returns true while the caller has seen no result of the transaction, so that
   it can be restarted on another instance.  Always for a single statement with
   tries left.  */
static bool
can_restart (const struct ses *s)
{
  if (s->tries >= TRIES_MAX)
    return false;
  if (s->work.transaction)
    return !s->work.replied && s->statement.kind != STM_COMMIT;
  return true;
}

/* Ends the transaction or single read of S with SQC_ABORTED: nothing of it is
   committed, whatever the reason.  */
static void
abort_transaction (struct plr *p, struct ses *s, enum rfs why, int64_t now_us)
{
  plr_refuse (p, s, why, SQC_ABORTED, now_us);
}

static int64_t
busy_wait_us (const struct ses *s)
{
  int64_t wait_us = BUSY_WAIT_US * (1 + s->tries);

  return MIN (wait_us, BUSY_WAIT_MAX_US);
}

/* Retries, or refuses, a statement that the instance did not run.  */
static void
retry_not_run (struct plr *p, struct ses *s, enum sqc code, int64_t now_us)
{
  struct svc_instance *i = s->link->instance;

  switch (code)
    {
    case SQC_BUSY:
      i->busy_until_us = now_us + BUSY_WAIT_US;
      plr_retry (p, s, RETRY_UPSTREAM_BUSY,
                 s->tries % 3 == 2 ? busy_wait_us (s) : 0, now_us);
      break;
    case SQC_OVERLOADED:
      /* The home cannot serve it in time, but another instance may.  */
      if (s->tries < OVERLOADED_TRIES_MAX && plr_has_alternative (s, now_us))
        plr_retry (p, s, RETRY_OVERLOADED_INSTANCE, 0, now_us);
      else
        plr_refuse (p, s, RFS_OVERLOADED, SQC_BUSY, now_us);
      break;
    case SQC_BEHIND:
      s->tries_behind++;
      plr_retry (p, s, RETRY_COPY_BEHIND, 0, now_us);
      break;
    case SQC_READ_ONLY:
      plr_note_not_primary (p, i, now_us);
      plr_retry (p, s, RETRY_LEAD_LOST, NOT_PRIMARY_WAIT_US, now_us);
      break;
    default:
      ul_clear_prepared (s->link);
      plr_retry (p, s, RETRY_STATEMENT_FORGOTTEN, BUSY_WAIT_US, now_us);
      break;
    }
}

static bool
is_not_run (enum sqc code)
{
  return code == SQC_BUSY || code == SQC_OVERLOADED || code == SQC_BEHIND
         || code == SQC_READ_ONLY || code == SQC_NO_STATEMENT;
}

static enum rfs
refusal_of (enum sqc code)
{
  if (code == SQC_READ_ONLY)
    return RFS_LEAD_LOST;
  return is_not_run (code) ? RFS_UPSTREAM_REFUSED : RFS_UPSTREAM_FAILED;
}

/* Handles an error in a transaction that cannot be restarted.  */
static void
fail_in_transaction (struct plr *p, struct ses *s, enum sqc code,
                     int64_t now_us)
{
  if (code == SQC_READ_ONLY)
    plr_note_not_primary (p, s->link->instance, now_us);
  if (code == SQC_BUSY && s->link->state == STM_OPEN && s->tries < TRIES_MAX)
    {
      /* The transaction is still open; only this statement was refused.  */
      s->tries++;
      s->retry_after_us = now_us + busy_wait_us (s);
      return;
    }
  if (s->statement.kind == STM_COMMIT && !is_not_run (code) && s->work.wrote)
    plr_refuse (p, s, refusal_of (code), code, now_us);
  else
    abort_transaction (p, s, refusal_of (code), now_us);
}

static void
fail_statement (struct plr *p, struct ses *s, enum sqc code, int64_t now_us)
{
  bool single_read = !s->work.transaction && !s->writes;

  if (s->work.transaction && !can_restart (s))
    fail_in_transaction (p, s, code, now_us);
  else if (is_not_run (code) && can_restart (s))
    retry_not_run (p, s, code, now_us);
  else if (single_read && s->tries < FAILED_TRIES_MAX)
    plr_retry (p, s, RETRY_READ_FAILED, 0, now_us);
  else if (s->work.transaction || single_read)
    abort_transaction (p, s, refusal_of (code), now_us);
  else
    plr_refuse (p, s, refusal_of (code), code, now_us);
}

void
plr_note_primary (struct plr *p, struct svc_instance *i, int64_t sent_us,
                  struct logpos position, int64_t now_us)
{
  bool first = i->svc->n_samples == 0;

  if (svc_note_primary (i, sent_us, position))
    {
      ctr_add (p->options.counters, CTR_LEADER_CHANGES, 1);
      EV (p->options.log, now_us, EV_LEADER, EV_TEXT ("service", i->svc->name),
          EV_TEXT ("instance", i->entry->id), EV_TEXT ("what", "proved"),
          EV_INT ("term", position.term),
          EV_INT ("position", (int64_t)position.number));
      first = true;
    }
  if (first)
    plr_dispatch_waiting (p, i->svc, now_us);
}

void
plr_note_not_primary (struct plr *p, struct svc_instance *i, int64_t now_us)
{
  if (!svc_note_not_primary (i, now_us))
    return;
  EV (p->options.log, now_us, EV_LEADER, EV_TEXT ("service", i->svc->name),
      EV_TEXT ("instance", i->entry->id), EV_TEXT ("what", "denied"));
  plr_seek_primary (p, i->svc, now_us);
}

/* Records that I lacks the position that S requires.  */
static void
note_behind (struct svc_instance *i, const struct ses *s, int64_t now_us)
{
  struct logpos min_position = { 0 };

  if (!svc_min_position_since (i->svc, s->work.arrived_us - s->work.max_age_us,
                               &min_position))
    return;
  i->behind_position = min_position;
  i->behind_backoff_us = bko_next (behind_backoff, i->behind_backoff_us);
  i->behind_until_us = now_us + i->behind_backoff_us;
}

/* Records what the reply to a BEGIN shows about the instance.  */
static void
note_begin (struct plr *p, struct ul *link, const struct ul_request *request,
            const struct stm_result *result, int64_t now_us)
{
  struct svc_instance *i = link->instance;

  svc_note_round_trip (i, request->sent_us, now_us);
  if (result->ok && request->confirms_primary)
    plr_note_primary (p, i, request->sent_us, result->position, now_us);
  else if (!result->ok && request->confirms_primary
           && result->code == SQC_READ_ONLY)
    plr_note_not_primary (p, i, now_us);
}

static void
on_begin (struct plr *p, struct ul *link, const struct ul_request *request,
          const struct stm_result *result, int64_t now_us)
{
  struct svc_instance *i = link->instance;
  struct ses *s = request->session;

  note_begin (p, link, request, result, now_us);
  if (!s || !s->awaits_begin)
    return;
  s->awaits_begin = false;
  if (!result->ok && result->code == SQC_BEHIND)
    note_behind (i, s, now_us);
  if (result->ok)
    plr_send (p, s, now_us);
  else
    fail_statement (p, s, result->code, now_us);
}

/* Records how long the statement of REQUEST took.  */
static void
note_exec_time (struct plr *p, const struct ul *link,
                const struct ul_request *request, int64_t now_us)
{
  struct svc_instance *i = link->instance;
  const struct ses *s = request->session;
  int64_t took_us = now_us - request->sent_us;
  int64_t excess_us = took_us - i->round_trip_us - i->exec_us;

  svc_note_exec_time (i, took_us);
  /* Through a home, it includes a wait that depends on the rank itself.  */
  if (s && s->work.kind_known && !link->home)
    ovl_note_exec_time (&p->request_kinds, s->work.request_kind, excess_us);
}

static void
on_statement (struct plr *p, struct ul *link, const struct ul_request *request,
              const struct stm_result *result, int64_t now_us)
{
  struct svc_instance *i = link->instance;
  struct ses *s = request->session;
  struct stm_result out = *result;

  if (result->ok)
    note_exec_time (p, link, request, now_us);
  if (!s)
    return;
  if (result->ok)
    {
      i->behind_backoff_us = 0;
      if (s->writes && !s->work.transaction)
        plr_note_primary (p, i, request->sent_us, result->position, now_us);
      plr_complete (p, s, &out, now_us);
      return;
    }
  if (result->code == SQC_BEHIND)
    note_behind (i, s, now_us);
  fail_statement (p, s, result->code, now_us);
}

static void
note_heard (struct plr *p, struct svc_instance *i, int64_t now_us)
{
  i->heard_us = now_us;
  i->probe_sent_us = 0;
  i->refused_since_us = 0;
  if (!i->unresponsive)
    return;
  i->unresponsive = false;
  EV (p->options.log, now_us, EV_INSTANCE_BACK,
      EV_TEXT ("service", i->svc->name), EV_TEXT ("instance", i->entry->id));
}

/* Returns true if RESULT, the reply to the oldest request on LINK, shows that
   the instance is up.  A home replies itself to setup requests and rollbacks,
   and when it refuses a request; such replies carry no position of the log.
   Those of an instance lack it only while its log is empty.  */
static bool
comes_from_instance (const struct ul *link, const struct stm_result *result)
{
  enum ul_purpose purpose;

  if (!link->home || lp_is_known (result->position))
    return true;
  if (!result->ok || link->requests->len == 0)
    return false;
  purpose = g_array_index (link->requests, struct ul_request, 0).purpose;
  return purpose != UL_SETUP && purpose != UL_ROLLBACK;
}

static void
handle_reply (struct plr *p, struct ul *link, const struct stm_result *result,
              int64_t now_us)
{
  struct ul_request request;

  if (comes_from_instance (link, result))
    note_heard (p, link->instance, now_us);
  if (!ul_take_request (link, &request))
    {
      EV (p->options.log, now_us, EV_BAD_INPUT, EV_TEXT ("from", "upstream"),
          EV_TEXT ("instance", link->instance->entry->id),
          EV_TEXT ("what", "an answer to no question"));
      plr_close_link (p, link, now_us);
      return;
    }
  link->state = result->state;
  if (lp_is_known (result->position))
    svc_note_position (link->instance, result->position);
  if (request.session && ((struct ses *)request.session)->relay_instance)
    {
      if (request.purpose == UL_BEGIN && request.confirms_primary)
        note_begin (p, link, &request, result, now_us);
      if (request.purpose == UL_STATEMENT && result->ok)
        note_exec_time (p, link, &request, now_us);
      plr_relay_reply (p, request.session, result, now_us);
      plr_recycle_link (p, link, now_us);
      return;
    }
  switch (request.purpose)
    {
    case UL_SETUP:
      /* The session values were not set as the session requires.  */
      if (!result->ok)
        {
          plr_close_link (p, link, now_us);
          return;
        }
      break;
    case UL_BEGIN:
      on_begin (p, link, &request, result, now_us);
      break;
    case UL_STATEMENT:
      on_statement (p, link, &request, result, now_us);
      break;
    case UL_STATUS:
    case UL_PAUSE:
    case UL_RESUME:
      plr_note_status (link->instance, &request, result);
      break;
    case UL_STEP_DOWN:
      plr_note_status (link->instance, &request, result);
      if (result->ok)
        plr_note_not_primary (p, link->instance, now_us);
      break;
    case UL_ROLLBACK:
      break;
    }
  plr_recycle_link (p, link, now_us);
}

void
plr_link_replied (struct plr *p, struct ul *link,
                  const struct stm_result *result, int64_t now_us)
{
  handle_reply (p, link, result, now_us);
  plr_free_closed_links (p);
}

bool
plr_link_opened (struct plr *p, struct ul *link, struct logpos position,
                 int64_t now_us)
{
  struct svc_instance *i = link->instance;
  bool kept;

  link->phase = UL_OPEN;
  i->n_opening--;
  i->out_of_links_since_us = 0;
  i->open_backoff_us = 0;
  /* A connection accepted by a home does not show that the instance is up.  */
  if (!link->home)
    note_heard (p, i, now_us);
  else if (i->unresponsive || i->refused_since_us > 0)
    plr_probe_link (p, link, false, now_us);
  if (lp_is_known (position))
    svc_note_position (i, position);
  plr_recycle_link (p, link, now_us);
  kept = !link->closed;
  plr_free_closed_links (p);
  return kept;
}

static void
delay_opening (struct svc_instance *i, int64_t now_us)
{
  i->open_backoff_us = bko_next (open_backoff, i->open_backoff_us);
  i->open_after_us = now_us + i->open_backoff_us;
}

void
plr_link_refused (struct plr *p, struct ul *link, enum sqc code,
                  int64_t now_us)
{
  struct svc_instance *i = link->instance;

  EV (p->options.log, now_us, EV_LINK_REFUSED,
      EV_TEXT ("instance", i->entry->id), EV_TEXT ("code", sqc_name (code)),
      EV_INT ("links", i->links->len));
  ctr_add (p->options.counters, CTR_CONNECTION_FAILED, 1);
  if (link->home)
    {
      /* The home cannot reach the instance or is no longer its home.  */
      plr_note_home_failed (p, link, now_us);
      if (i->refused_since_us == 0)
        i->refused_since_us = now_us;
    }
  else
    note_heard (p, i, now_us);
  if (code != SQC_CONNECTION_LIMIT)
    delay_opening (i, now_us);
  else if (i->links->len > 1)
    i->open_after_us = now_us + LIMIT_BACKOFF_US;
  else
    {
      i->open_after_us = now_us + NO_LINK_BACKOFF_US;
      if (i->out_of_links_since_us == 0)
        i->out_of_links_since_us = now_us;
    }
  /* Another process listens on this address: the registered one is gone.  */
  if (code == SQC_WRONG_INSTANCE && i->refused_since_us == 0)
    i->refused_since_us = now_us;
  plr_close_link (p, link, now_us);
  plr_free_closed_links (p);
}

void
plr_link_lost (struct plr *p, struct ul *link, bool refused, int64_t now_us)
{
  struct svc_instance *i = link->instance;

  EV (p->options.log, now_us,
      link->phase == UL_OPEN ? EV_LINK_LOST : EV_LINK_REFUSED,
      EV_TEXT ("instance", i->entry->id),
      EV_TEXT ("code", refused ? "refused" : "broken"),
      EV_INT ("questions", link->requests->len));
  if (link->phase == UL_OPENING)
    {
      ctr_add (p->options.counters, CTR_CONNECTION_FAILED, 1);
      delay_opening (i, now_us);
    }
  if (link->home)
    plr_note_home_failed (p, link, now_us);
  else if (refused && i->refused_since_us == 0)
    i->refused_since_us = now_us;
  if (refused)
    i->probe_sent_us = 0;
  /* If the instance has started again, it is not paused any more.  */
  i->report.paused_us = 0;
  plr_close_link (p, link, now_us);
  plr_free_closed_links (p);
}

/* Ends or retries the work of S, whose connection is lost.  */
static void
handle_lost_link (struct plr *p, struct ses *s, int64_t now_us)
{
  bool sent = s->stage == SES_SENT && !s->awaits_begin;

  if (s->relay_instance)
    {
      /* The proxy that sent it decides what to do.  */
      plr_release_link (p, s, now_us);
      p->options.callers->ops->close_session (p->options.callers, s->tag);
    }
  else if (s->stage == SES_IDLE)
    {
      /* Between two statements: the next one gets the error.  */
      s->work.link_lost = true;
      plr_release_link (p, s, now_us);
    }
  else if (s->work.transaction && can_restart (s))
    plr_retry (p, s, RETRY_CONNECTION_LOST, 0, now_us);
  else if (s->work.transaction)
    {
      bool unknown = s->statement.kind == STM_COMMIT && sent && s->work.wrote;

      plr_refuse (p, s, unknown ? RFS_LINK_LOST_IN_COMMIT : RFS_LINK_LOST,
                  unknown ? SQC_UNKNOWN : SQC_ABORTED, now_us);
    }
  else if (s->writes && sent)
    plr_refuse (p, s, RFS_LINK_LOST_IN_WRITE, SQC_UNKNOWN, now_us);
  else
    plr_retry (p, s, RETRY_CONNECTION_LOST, 0, now_us);
}

void
plr_close_link (struct plr *p, struct ul *link, int64_t now_us)
{
  struct svc_instance *i = link->instance;
  struct ses *s = link->session;

  if (link->closed)
    return;
  if (link->phase == UL_OPENING)
    i->n_opening--;
  /* Close it first, so that no statement is dispatched on it again.  */
  ul_close (link);
  g_ptr_array_add (p->closed_links, link);
  if (s)
    handle_lost_link (p, s, now_us);
}

void
plr_free_closed_links (struct plr *p)
{
  while (p->closed_links->len > 0)
    {
      ul_free (g_ptr_array_index (p->closed_links, p->closed_links->len - 1));
      g_ptr_array_set_size (p->closed_links, (gint)p->closed_links->len - 1);
    }
}

static bool
awaits_late_reply (const struct svc_instance *i, int64_t now_us)
{
  for (guint n = 0; n < i->links->len; n++)
    {
      const struct ul *link = g_ptr_array_index (i->links, n);

      if (now_us < link->late_until_us)
        return true;
    }
  return false;
}

/* Keeps the link of S open for its late reply until the time limit of the
   statement.  Without it an instance all of whose replies are overdue would
   never show how long it takes.  One link of an instance is enough; a
   transaction is rolled back at once.  */
static void
await_late_reply (const struct ses *s, int64_t now_us)
{
  if (!s->work.transaction && !awaits_late_reply (s->link->instance, now_us))
    s->link->late_until_us = s->sent_us + s->work.timeout_us;
}

void
plr_reply_lost (struct plr *p, struct ses *s, int64_t now_us)
{
  struct ul *link = s->link;

  link->retiring = true;
  s->tries_lost++;
  await_late_reply (s, now_us);
  if (can_restart (s))
    plr_retry (p, s, RETRY_ANSWER_LOST, 0, now_us);
  else
    abort_transaction (p, s, RFS_ANSWER_LOST, now_us);
  if (now_us >= link->late_until_us)
    plr_close_link (p, link, now_us);
}

/* Ends the statement of S, whose reply is not waited for any longer, for
   reason WHY.  UNKNOWN is the code of one whose effect is not known.  */
static void
give_up (struct plr *p, struct ses *s, enum rfs why, enum sqc unknown,
         int64_t now_us)
{
  struct ul *link = s->link;
  bool read = !s->work.transaction && !s->writes;
  bool commit_unknown = s->statement.kind == STM_COMMIT && s->work.wrote;

  /* A late reply may still arrive, so the connection cannot be reused.  */
  link->retiring = true;
  link->instance->n_in_use--;
  ul_detach_session (link, s);
  s->link = NULL;
  s->avoid = link->instance;
  if (read || (s->work.transaction && !commit_unknown) || s->awaits_begin)
    plr_refuse (p, s, why, SQC_ABORTED, now_us);
  else
    plr_refuse (p, s, why, unknown, now_us);
  plr_close_link (p, link, now_us);
}

void
plr_time_out (struct plr *p, struct ses *s, int64_t now_us)
{
  if (s->link)
    give_up (p, s, RFS_UPSTREAM_TIMEOUT, SQC_TIMEOUT, now_us);
  else
    plr_refuse (p, s,
                s->work.svc->primary ? RFS_QUEUE_TIMEOUT : RFS_NO_PRIMARY,
                SQC_BUSY, now_us);
}

void
plr_stop_statement (struct plr *p, struct ses *s, int64_t now_us)
{
  if (s->link)
    give_up (p, s, RFS_STOPPING, SQC_UNKNOWN, now_us);
  else
    plr_refuse (p, s, RFS_STOPPING, SQC_BUSY, now_us);
}
