/* Answers of upstreams and what they mean for the session; losses.  */
#include "poolerint.h"

#include "backoff.h"

/* Tries of one statement before its error is passed on.  */
#define TRIES_MAX 40
/* Tries of a read that ran and failed.  */
#define FAILED_TRIES 3
/* Wait after an instance shed load: about half of one statement.  */
#define BUSY_WAIT_US 4000
#define BUSY_WAIT_MAX_US 40000
/* After so many tries a read whose copy's home is overloaded is refused.  */
#define OVERLOADED_TRIES 2
/* A copy that lacked a position is not asked for it again before; twice as
   long each time until it is abreast again.  */
static const struct bko_range behind_wait = { 60000, 960000 };
/* Wait before a statement that met no primary looks again.  */
#define LEAD_WAIT_US 10000
/* First and longest wait before the next connection to an instance that
   refused one.  */
static const struct bko_range open_backoff = { 50000, 800000 };
/* A full instance frees a connection when another proxy trims one.  */
#define LIMIT_BACKOFF_US 200000
/* One that this proxy has no connection to at all is tried again sooner.  */
#define STARVED_BACKOFF_US 60000

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
finish (struct plr *p, struct ses *s, const struct stm_end *end,
        int64_t now_us)
{
  s->state = end->state;
  ses_rest (s, now_us);
  plr_answer (p, s, end);
}

void
plr_leave_queues (struct plr *p, struct ses *s)
{
  if (s->stage == SES_WAITING)
    g_queue_unlink (&s->work.svc->waiting, &s->waiting);
  if (s->stage != SES_RESTING)
    g_queue_unlink (&p->active, &s->active);
  s->stage = SES_RESTING;
}

void
plr_end_work (struct ses *s)
{
  s->work = (struct ses_work){ 0 };
}

/* Samples successes, and tells each late one with where its time went.  */
static void
log_success (struct plr *p, const struct ses *s, const struct stm_end *end,
             int64_t now_us)
{
  int64_t took_us = now_us - s->arrived_us;
  bool late = s->work.objective_us > 0 && took_us > s->work.objective_us;

  EV (p->o.log, now_us, late ? EV_LATE : EV_SERVED,
      EV_TEXT ("id", s->statement.id), EV_TEXT ("database", s->database),
      EV_TEXT ("kind", kind_name (s)),
      EV_TEXT ("instance", s->link->instance->entry->id),
      EV_TEXT ("through", s->link->home ? s->link->home : ""),
      EV_INT ("term", end->position.term),
      EV_INT ("position", (int64_t)end->position.number),
      EV_INT ("tries", s->tries), EV_INT ("took_us", took_us),
      EV_INT ("queued_us", s->sent_us - s->arrived_us),
      EV_INT ("upstream_us", now_us - s->sent_us),
      EV_INT ("usual_us", s->link->instance->work_us));
}

void
plr_succeed (struct plr *p, struct ses *s, struct stm_end *end, int64_t now_us)
{
  bool commit = s->statement.kind == STM_COMMIT;
  bool ends = commit || !s->work.transaction;

  ctr_add (p->o.counters, CTR_STATEMENTS_OK, 1);
  ctr_observe (p->o.counters, kind_name (s), now_us - s->arrived_us);
  ctr_observe (p->o.counters, "queue_wait", s->sent_us - s->arrived_us);
  ctr_observe (p->o.counters, "upstream", now_us - s->sent_us);
  log_success (p, s, end, now_us);
  if (ends && (s->writes || s->work.wrote))
    {
      s->last_commit = end->position;
      s->wrote_in = s->work.svc;
    }
  s->work.wrote |= s->writes;
  s->work.replied = true;
  end->state = ends ? STM_IDLE : STM_OPEN;
  plr_leave_queues (p, s);
  if (ends)
    {
      plr_release (p, s, now_us);
      plr_end_work (s);
    }
  finish (p, s, end, now_us);
}

void
plr_refuse (struct plr *p, struct ses *s, enum rfs why, enum sqc code,
            int64_t now_us)
{
  struct stm_end end = { 0 };
  bool over = !s->work.transaction || s->statement.kind == STM_COMMIT;

  ctr_count_refusal (p->o.counters, why);
  ctr_observe (p->o.counters, "refused", now_us - s->arrived_us);
  EV (p->o.log, now_us, EV_REFUSED, EV_TEXT ("id", s->statement.id),
      EV_TEXT ("database", s->database), EV_TEXT ("why", rfs_name (why)),
      EV_TEXT ("code", sqc_name (code)), EV_TEXT ("kind", kind_name (s)),
      EV_TEXT ("instance", s->link    ? s->link->instance->entry->id
                           : s->avoid ? s->avoid->entry->id
                                      : ""),
      EV_INT ("tries", s->tries), EV_INT ("waited_us", now_us - s->arrived_us),
      EV_INT ("sent_us", s->sent_us > 0 ? now_us - s->sent_us : -1));
  end.code = code;
  end.text = rfs_text (why);
  end.state = over ? STM_IDLE : STM_BROKEN;
  plr_leave_queues (p, s);
  plr_release (p, s, now_us);
  plr_end_work (s);
  finish (p, s, &end, now_us);
}

void
plr_retry (struct plr *p, struct ses *s, enum rsn_retry why, int64_t delay_us,
           int64_t now_us)
{
  ctr_count_retry (p->o.counters, why);
  EV (p->o.log, now_us, EV_RETRY, EV_TEXT ("id", s->statement.id),
      EV_TEXT ("why", rsn_retry_text (why)), EV_TEXT ("kind", kind_name (s)),
      EV_TEXT ("instance", s->link ? s->link->instance->entry->id : ""),
      EV_INT ("tries", s->tries),
      EV_INT ("waited_us", now_us - s->arrived_us));
  s->tries++;
  if (s->link)
    s->avoid = s->link->instance;
  s->retry_us = now_us + delay_us;
  s->proving = false;
  s->work.begun = false;
  plr_release (p, s, now_us);
  plr_start (p, s, now_us);
}

/* True while the caller has seen nothing of what the upstream did, so that the
   work can start again elsewhere.  */
static bool
can_restart (const struct ses *s)
{
  if (s->tries >= TRIES_MAX)
    return false;
  if (s->work.transaction)
    return !s->work.replied && s->statement.kind != STM_COMMIT;
  return true;
}

/* The transaction of S is over, without a COMMIT having been sent: nothing of
   it is kept, whatever the reason.  */
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

/* The instance did not run the statement.  */
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
      /* A home can't place it in time; another copy may.  */
      if (s->tries < OVERLOADED_TRIES && plr_may_go_elsewhere (s, now_us))
        plr_retry (p, s, RETRY_OVERLOADED_INSTANCE, 0, now_us);
      else
        plr_refuse (p, s, RFS_OVERLOADED, SQC_BUSY, now_us);
      break;
    case SQC_BEHIND:
      s->tries_behind++;
      plr_retry (p, s, RETRY_COPY_BEHIND, 0, now_us);
      break;
    case SQC_READ_ONLY:
      plr_note_denied (p, i, now_us);
      plr_retry (p, s, RETRY_LEAD_LOST, LEAD_WAIT_US, now_us);
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

/* An error within a transaction that the caller has seen a part of.  */
static void
fail_in_transaction (struct plr *p, struct ses *s, enum sqc code,
                     int64_t now_us)
{
  if (code == SQC_READ_ONLY)
    plr_note_denied (p, s->link->instance, now_us);
  if (code == SQC_BUSY && s->link->state == STM_OPEN && s->tries < TRIES_MAX)
    {
      /* The transaction is still open: only this statement was shed.  */
      s->tries++;
      s->retry_us = now_us + busy_wait_us (s);
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
  bool lone_read = !s->work.transaction && !s->writes;

  if (s->work.transaction && !can_restart (s))
    fail_in_transaction (p, s, code, now_us);
  else if (is_not_run (code) && can_restart (s))
    retry_not_run (p, s, code, now_us);
  else if (lone_read && s->tries < FAILED_TRIES)
    plr_retry (p, s, RETRY_READ_FAILED, 0, now_us);
  else if (s->work.transaction || lone_read)
    abort_transaction (p, s, refusal_of (code), now_us);
  else
    plr_refuse (p, s, refusal_of (code), code, now_us);
}

void
plr_note_leader (struct plr *p, struct svc_instance *i, int64_t asked_us,
                 struct lp position, int64_t now_us)
{
  bool first = i->svc->n_samples == 0;

  if (svc_note_lead (i, asked_us, position))
    {
      ctr_add (p->o.counters, CTR_LEADER_CHANGES, 1);
      EV (p->o.log, now_us, EV_LEADER, EV_TEXT ("service", i->svc->name),
          EV_TEXT ("instance", i->entry->id), EV_TEXT ("what", "proved"),
          EV_INT ("term", position.term),
          EV_INT ("position", (int64_t)position.number));
      first = true;
    }
  if (first)
    plr_pump (p, i->svc, now_us);
}

void
plr_note_denied (struct plr *p, struct svc_instance *i, int64_t now_us)
{
  if (!svc_note_denied (i, now_us))
    return;
  EV (p->o.log, now_us, EV_LEADER, EV_TEXT ("service", i->svc->name),
      EV_TEXT ("instance", i->entry->id), EV_TEXT ("what", "denied"));
  plr_seek_leader (p, i->svc, now_us);
}

/* I lacks what S must see.  */
static void
note_behind (struct svc_instance *i, const struct ses *s, int64_t now_us)
{
  struct lp floor = { 0 };

  if (!svc_floor_since (i->svc, s->work.arrived_us - s->work.max_age_us,
                        &floor))
    return;
  i->behind = floor;
  i->behind_wait_us = bko_next (behind_wait, i->behind_wait_us);
  i->behind_until_us = now_us + i->behind_wait_us;
}

/* What the answer to a BEGIN says of the instance.  */
static void
note_begin (struct plr *p, struct ul *link, const struct ul_request *q,
            const struct stm_end *end, int64_t now_us)
{
  struct svc_instance *i = link->instance;

  svc_note_round_trip (i, q->sent_us, now_us);
  if (end->ok && q->confirms_primary)
    plr_note_leader (p, i, q->sent_us, end->position, now_us);
  else if (!end->ok && q->confirms_primary && end->code == SQC_READ_ONLY)
    plr_note_denied (p, i, now_us);
}

static void
on_begin (struct plr *p, struct ul *link, const struct ul_request *q,
          const struct stm_end *end, int64_t now_us)
{
  struct svc_instance *i = link->instance;
  struct ses *s = q->session;

  note_begin (p, link, q, end, now_us);
  if (!s || !s->proving)
    return;
  s->proving = false;
  if (!end->ok && end->code == SQC_BEHIND)
    note_behind (i, s, now_us);
  if (end->ok)
    plr_send (p, s, now_us);
  else
    fail_statement (p, s, end->code, now_us);
}

static void
on_statement (struct plr *p, struct ul *link, const struct ul_request *q,
              const struct stm_end *end, int64_t now_us)
{
  struct svc_instance *i = link->instance;
  struct ses *s = q->session;
  struct stm_end out = *end;
  int64_t usual_us = i->round_trip_us + i->work_us;

  if (end->ok)
    svc_note_work (i, now_us - q->sent_us);
  if (!s)
    return;
  if (end->ok)
    {
      i->behind_wait_us = 0;
      ovl_note_work (&p->kinds, s->work.kind, now_us - q->sent_us - usual_us);
      if (s->writes && !s->work.transaction)
        plr_note_leader (p, i, q->sent_us, end->position, now_us);
      plr_succeed (p, s, &out, now_us);
      return;
    }
  if (end->code == SQC_BEHIND)
    note_behind (i, s, now_us);
  fail_statement (p, s, end->code, now_us);
}

static void
on_status (struct ul *link, const struct stm_end *end)
{
  struct svc_instance *i = link->instance;

  if (!end->ok || !end->status)
    return;
  i->received = end->status->received;
  i->status_term = MAX (i->status_term, end->status->term);
}

static void
note_heard (struct plr *p, struct svc_instance *i, int64_t now_us)
{
  i->heard_us = now_us;
  i->question_us = 0;
  i->refused_us = 0;
  if (!i->unresponsive)
    return;
  i->unresponsive = false;
  EV (p->o.log, now_us, EV_INSTANCE_BACK, EV_TEXT ("service", i->svc->name),
      EV_TEXT ("instance", i->entry->id));
}

static void
take_answer (struct plr *p, struct ul *link, const struct stm_end *end,
             int64_t now_us)
{
  struct ul_request q;

  /* A home answers setups itself; the rest comes from the instance.  */
  if (!link->home
      || (link->requests->len > 0
          && g_array_index (link->requests, struct ul_request, 0).purpose
                 != UL_SETUP))
    note_heard (p, link->instance, now_us);
  if (!ul_take_request (link, &q))
    {
      EV (p->o.log, now_us, EV_BAD_INPUT, EV_TEXT ("from", "upstream"),
          EV_TEXT ("instance", link->instance->entry->id),
          EV_TEXT ("what", "an answer to no question"));
      plr_drop_link (p, link, now_us);
      return;
    }
  link->state = end->state;
  if (lp_is_known (end->position))
    svc_note_position (link->instance, end->position);
  if (q.session && ((struct ses *)q.session)->relay_to)
    {
      if (q.purpose == UL_BEGIN && q.confirms_primary)
        note_begin (p, link, &q, end, now_us);
      plr_relay_answer (p, q.session, end, now_us);
      plr_settle (p, link, now_us);
      return;
    }
  switch (q.purpose)
    {
    case UL_SETUP:
      /* The values are not those the session was promised.  */
      if (!end->ok)
        {
          plr_drop_link (p, link, now_us);
          return;
        }
      break;
    case UL_BEGIN:
      on_begin (p, link, &q, end, now_us);
      break;
    case UL_STATEMENT:
      on_statement (p, link, &q, end, now_us);
      break;
    case UL_STATUS:
      on_status (link, end);
      break;
    case UL_STEP_DOWN:
      on_status (link, end);
      if (end->ok)
        plr_note_denied (p, link->instance, now_us);
      break;
    case UL_ROLLBACK:
      break;
    }
  plr_settle (p, link, now_us);
}

void
plr_link_answer (struct plr *p, struct ul *link, const struct stm_end *end,
                 int64_t now_us)
{
  take_answer (p, link, end, now_us);
  plr_free_dropped (p);
}

bool
plr_link_opened (struct plr *p, struct ul *link, struct lp position,
                 int64_t now_us)
{
  struct svc_instance *i = link->instance;
  bool stays;

  link->phase = UL_OPEN;
  i->n_opening--;
  i->starved_us = 0;
  i->open_backoff_us = 0;
  /* A home's greeting says nothing of the instance.  */
  if (!link->home)
    note_heard (p, i, now_us);
  else if (i->unresponsive || i->refused_us > 0)
    plr_probe (p, link, false, now_us);
  if (lp_is_known (position))
    svc_note_position (i, position);
  plr_settle (p, link, now_us);
  stays = !link->closed;
  plr_free_dropped (p);
  return stays;
}

static void
back_off (struct svc_instance *i, int64_t now_us)
{
  i->open_backoff_us = bko_next (open_backoff, i->open_backoff_us);
  i->open_after_us = now_us + i->open_backoff_us;
}

void
plr_link_refused (struct plr *p, struct ul *link, enum sqc code,
                  int64_t now_us)
{
  struct svc_instance *i = link->instance;

  EV (p->o.log, now_us, EV_LINK_REFUSED, EV_TEXT ("instance", i->entry->id),
      EV_TEXT ("code", sqc_name (code)), EV_INT ("links", i->links->len));
  ctr_add (p->o.counters, CTR_CONNECTION_FAILED, 1);
  if (link->home)
    {
      /* The home can't reach the instance, or is no home of it any more.  */
      plr_note_home_failed (p, link, now_us);
      if (i->refused_us == 0)
        i->refused_us = now_us;
    }
  else
    note_heard (p, i, now_us);
  if (code != SQC_CONNECTION_LIMIT)
    back_off (i, now_us);
  else if (i->links->len > 1)
    i->open_after_us = now_us + LIMIT_BACKOFF_US;
  else
    {
      i->open_after_us = now_us + STARVED_BACKOFF_US;
      if (i->starved_us == 0)
        i->starved_us = now_us;
    }
  /* Another process answers at this address: the listed one is gone.  */
  if (code == SQC_WRONG_INSTANCE && i->refused_us == 0)
    i->refused_us = now_us;
  plr_drop_link (p, link, now_us);
  plr_free_dropped (p);
}

void
plr_link_lost (struct plr *p, struct ul *link, bool refused, int64_t now_us)
{
  struct svc_instance *i = link->instance;

  EV (p->o.log, now_us,
      link->phase == UL_OPEN ? EV_LINK_LOST : EV_LINK_REFUSED,
      EV_TEXT ("instance", i->entry->id),
      EV_TEXT ("code", refused ? "refused" : "broken"),
      EV_INT ("questions", link->requests->len));
  if (link->phase == UL_OPENING)
    {
      ctr_add (p->o.counters, CTR_CONNECTION_FAILED, 1);
      back_off (i, now_us);
    }
  if (link->home)
    plr_note_home_failed (p, link, now_us);
  else if (refused && i->refused_us == 0)
    i->refused_us = now_us;
  if (refused)
    i->question_us = 0;
  plr_drop_link (p, link, now_us);
  plr_free_dropped (p);
}

/* The connection that S holds is gone.  */
static void
lose (struct plr *p, struct ses *s, int64_t now_us)
{
  bool sent = s->stage == SES_SENT && !s->proving;

  if (s->relay_to)
    {
      /* Its proxy knows best what a lost connection means.  */
      plr_release (p, s, now_us);
      p->o.callers->ops->hang_up (p->o.callers, s->tag);
    }
  else if (s->stage == SES_RESTING)
    {
      /* Between two statements: the next one hears of it.  */
      s->work.lost = true;
      plr_release (p, s, now_us);
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
plr_drop_link (struct plr *p, struct ul *link, int64_t now_us)
{
  struct svc_instance *i = link->instance;
  struct ses *s = link->session;

  if (link->closed)
    return;
  if (link->phase == UL_OPENING)
    i->n_opening--;
  /* Out of the way first: nobody may be placed on it again.  */
  ul_close (link);
  g_ptr_array_add (p->dropped, link);
  if (s)
    lose (p, s, now_us);
}

void
plr_free_dropped (struct plr *p)
{
  while (p->dropped->len > 0)
    {
      ul_free (g_ptr_array_index (p->dropped, p->dropped->len - 1));
      g_ptr_array_set_size (p->dropped, (gint)p->dropped->len - 1);
    }
}

void
plr_answer_lost (struct plr *p, struct ses *s, int64_t now_us)
{
  struct ul *link = s->link;

  link->retiring = true;
  if (can_restart (s))
    plr_retry (p, s, RETRY_ANSWER_LOST, 0, now_us);
  else
    abort_transaction (p, s, RFS_ANSWER_LOST, now_us);
  plr_drop_link (p, link, now_us);
}

void
plr_expire (struct plr *p, struct ses *s, int64_t now_us)
{
  struct ul *link = s->link;
  bool read = !s->work.transaction && !s->writes;
  bool kept_open = s->statement.kind == STM_COMMIT && s->work.wrote;

  if (!link)
    {
      plr_refuse (p, s,
                  s->work.svc->leader ? RFS_QUEUE_TIMEOUT : RFS_NO_PRIMARY,
                  SQC_BUSY, now_us);
      return;
    }
  /* Its answer may still come: the connection is of no more use.  */
  link->retiring = true;
  link->instance->n_in_use--;
  ul_detach_session (link, s);
  s->link = NULL;
  s->avoid = link->instance;
  if (read || (s->work.transaction && !kept_open) || s->proving)
    plr_refuse (p, s, RFS_UPSTREAM_TIMEOUT, SQC_ABORTED, now_us);
  else
    plr_refuse (p, s, RFS_UPSTREAM_TIMEOUT, SQC_TIMEOUT, now_us);
  plr_drop_link (p, link, now_us);
}
