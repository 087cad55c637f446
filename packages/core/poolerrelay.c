/* Relay sessions: statements of other proxies, forwarded unchanged to one
   instance that this proxy holds connections to.  The other proxy is
   responsible for retries, time limits and consistency.  This one keeps the
   values, prepared statements and transactions of each session apart and
   shares the connections between the sessions.  */
#include "poolerint.h"

/* Longest wait of a statement for a connection; then the proxy that sent it
   decides again.  */
#define RELAY_WAIT_US 500000

struct ses *
plr_open_relay (struct plr *p, void *tag, const char *service,
                const char *instance, int64_t now_us)
{
  struct svc_instance *i = plr_find_instance (p, service, instance);
  struct ses *s;

  if (!i)
    return NULL;
  plr_update_homes (p, i->svc);
  if (i->unresponsive || i->refused_since_us > 0
      || !(i->homes.direct || i->homes.includes_own))
    return NULL;
  s = ses_new (tag, service, now_us);
  s->relay_instance = g_strdup (instance);
  g_queue_push_tail_link (&p->sessions, &s->node);
  return s;
}

void
plr_set_min_position (struct ses *s, struct logpos min_position)
{
  s->min_position = min_position;
}

static struct svc_instance *
find_target (const struct plr *p, const struct ses *s)
{
  return plr_find_instance (p, s->database, s->relay_instance);
}

static void
close_session (struct plr *p, struct ses *s)
{
  p->options.callers->ops->close_session (p->options.callers, s->tag);
}

/* Replies without the instance.  */
static void
reply_local (struct plr *p, struct ses *s, bool ok, enum sqc code,
             int64_t now_us)
{
  struct stm_result result = { .ok = ok, .code = code };

  plr_leave_queues (p, s);
  result.state = s->state;
  ses_clear_statement (s, now_us);
  plr_reply (p, s, &result);
}

void
plr_relay_refuse (struct plr *p, struct ses *s, enum sqc code, int64_t now_us)
{
  ctr_add (p->options.counters, CTR_RELAY_REFUSED, 1);
  reply_local (p, s, false, code, now_us);
}

static enum ul_purpose
purpose_of (enum stm_kind kind)
{
  switch (kind)
    {
    case STM_BEGIN:
    case STM_BEGIN_READ:
      return UL_BEGIN;
    case STM_ROLLBACK:
      return UL_ROLLBACK;
    case STM_STATUS:
      return UL_STATUS;
    case STM_STEP_DOWN:
      return UL_STEP_DOWN;
    case STM_PAUSE:
      return UL_PAUSE;
    case STM_RESUME:
      return UL_RESUME;
    default:
      return UL_STATEMENT;
    }
}

static void
send_relay (struct plr *p, struct ses *s, int64_t now_us)
{
  struct stm out = plr_sync_link (s, now_us);

  ctr_add (p->options.counters, CTR_RELAYED, 1);
  s->stage = SES_SENT;
  s->sent_us = now_us;
  ul_send (s->link, purpose_of (out.kind), s->min_position, &out, s, now_us);
}

/* Chooses the connection for the statement of S.  The other proxy's own
   requests have no account and run on any of them.  */
static struct plc_choice
choose_link (const struct ses *s, struct svc_instance *i, int64_t now_us)
{
  bool needs_slot = s->rank > 0;

  if (!i->svc->by_account || !s->account)
    return plc_choose_at (i, needs_slot, now_us);
  return plc_choose_account_link (i, s->account, now_us - s->arrived_us,
                                  needs_slot, now_us);
}

void
plr_dispatch_relay (struct plr *p, struct ses *s, int64_t now_us)
{
  struct svc_instance *i = find_target (p, s);
  struct plc_choice choice;
  bool entering = s->stage != SES_WAITING;

  if (s->link)
    {
      send_relay (p, s, now_us);
      return;
    }
  plr_enqueue (s);
  if (!i || i->unresponsive)
    return; /* until the instance is back, or RELAY_WAIT_US */
  choice = choose_link (s, i, now_us);
  if (choice.decision == PLC_REPLACE
      || (choice.decision == PLC_OPEN && s->account))
    plr_open_for_account (p, &choice, s->account, now_us);
  else if (choice.decision == PLC_OPEN && i->n_opening < 2)
    plr_open_link (p, i, NULL, now_us);
  if (choice.decision != PLC_USE)
    {
      if (entering)
        plr_shed (p, s, true, now_us);
      return;
    }
  plr_assign_link (s, choice.link, now_us);
  send_relay (p, s, now_us);
}

/* Ranks the statement of S.  If its kind is known, this proxy decides: as a
   home it has run more statements of each kind than the proxy that sent it. */
static void
set_rank (struct plr *p, struct ses *s, const struct stm_urgency *urgency)
{
  const struct ovl_kinds *kinds = &p->request_kinds;
  bool overdue = urgency->rank >= OVL_OVERDUE_RANK;

  s->rank = urgency->rank;
  /* The proxy's own requests, of rank 0, have no kind.  */
  s->work.kind_known
      = urgency->rank > 0
        && ovl_find_kind_id (kinds, urgency->kind, &s->work.request_kind);
  if (s->work.kind_known)
    s->rank = ovl_rank (kinds, s->work.request_kind)
              + (overdue ? OVL_OVERDUE_RANK : 0);
}

void
plr_run_relay_statement (struct plr *p, struct ses *s,
                         const struct stm *statement, int64_t now_us)
{
  struct svc_instance *i = find_target (p, s);
  struct stm_result result;

  if (!i || (i->unresponsive && !s->link))
    {
      close_session (p, s);
      return;
    }
  if (statement->kind == STM_RESET)
    {
      ses_reset (s, p->prepared_table);
      reply_local (p, s, true, SQC_FAILED, now_us);
    }
  else if (statement->kind == STM_MALFORMED)
    reply_local (p, s, false, SQC_MALFORMED, now_us);
  else if (statement->kind == STM_ROLLBACK && !s->link)
    {
      s->state = STM_IDLE;
      reply_local (p, s, true, SQC_FAILED, now_us);
    }
  else if (ses_run_local (s, p->prepared_table, statement, &result))
    reply_local (p, s, result.ok, result.code, now_us);
  else if (statement->kind == STM_EXECUTE && !ses_find_prepared (s, statement))
    reply_local (p, s, false, SQC_NO_STATEMENT, now_us);
  else
    {
      s->work.svc = i->svc;
      s->work.timeout_us = RELAY_WAIT_US;
      set_rank (p, s, &statement->urgency);
      s->max_wait_us = (int64_t)statement->urgency.max_wait_ms * 1000;
      ses_set_account (s, statement->account);
      plr_accept_statement (p, s, statement, false, now_us);
    }
}

void
plr_relay_reply (struct plr *p, struct ses *s, const struct stm_result *result,
                 int64_t now_us)
{
  plr_leave_queues (p, s);
  s->state = result->state;
  if (result->state == STM_IDLE)
    plr_release_link (p, s, now_us);
  else if (s->link)
    /* S keeps its connection, but no statement runs on it now, so that another
       one may start.  */
    plr_dispatch_waiting (p, s->link->instance->svc, now_us);
  ses_clear_statement (s, now_us);
  plr_reply (p, s, result);
}
