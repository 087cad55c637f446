/* Relay sessions: statements of other proxies, passed on as they are to one
   instance that this proxy holds connections to.  Tries, time limits and
   promises are the other proxy's; this one keeps values, prepared statements
   and transactions apart and shares the connections.  */
#include "poolerint.h"

/* A statement waits so long for a connection; then its proxy decides anew.  */
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
  if (i->unresponsive || i->refused_us > 0
      || !(i->homes.direct || i->homes.includes_own))
    return NULL;
  s = ses_new (tag, service, now_us);
  s->relay_to = g_strdup (instance);
  g_queue_push_tail_link (&p->sessions, &s->node);
  return s;
}

void
plr_relay_after (struct ses *s, struct lp after)
{
  s->after = after;
}

static struct svc_instance *
target_of (const struct plr *p, const struct ses *s)
{
  return plr_find_instance (p, s->database, s->relay_to);
}

static void
hang_up (struct plr *p, struct ses *s)
{
  p->o.callers->ops->hang_up (p->o.callers, s->tag);
}

/* Answers without the instance.  */
static void
answer_own (struct plr *p, struct ses *s, bool ok, enum sqc code,
            int64_t now_us)
{
  struct stm_end end = { .ok = ok, .code = code };

  plr_leave_queues (p, s);
  end.state = s->state;
  ses_rest (s, now_us);
  plr_answer (p, s, &end);
}

void
plr_relay_refuse (struct plr *p, struct ses *s, enum sqc code, int64_t now_us)
{
  ctr_add (p->o.counters, CTR_RELAY_REFUSED, 1);
  answer_own (p, s, false, code, now_us);
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
    default:
      return UL_STATEMENT;
    }
}

static void
send_relay (struct plr *p, struct ses *s, int64_t now_us)
{
  struct stm out = plr_sync_link (s, now_us);

  ctr_add (p->o.counters, CTR_RELAYED, 1);
  s->stage = SES_SENT;
  s->sent_us = now_us;
  ul_send (s->link, purpose_of (out.kind), s->after, &out, s, now_us);
}

void
plr_start_relay (struct plr *p, struct ses *s, int64_t now_us)
{
  struct svc_instance *i = target_of (p, s);
  struct plc_choice choice;
  bool entering = s->stage != SES_WAITING;

  if (s->link)
    {
      send_relay (p, s, now_us);
      return;
    }
  plr_wait (s);
  if (!i || i->unresponsive)
    return; /* its time runs out, or the instance comes back */
  choice = plc_choose_at (i, s->rank > 0, now_us);
  if (choice.verdict == PLC_OPEN && i->n_opening < 2)
    plr_open_link (p, i, now_us);
  if (choice.verdict != PLC_USE)
    {
      if (entering)
        plr_shed (p, s, true, now_us);
      return;
    }
  plr_hold (s, choice.link, now_us);
  send_relay (p, s, now_us);
}

void
plr_relay_statement (struct plr *p, struct ses *s, const struct stm *statement,
                     int64_t now_us)
{
  struct svc_instance *i = target_of (p, s);
  struct stm_end end;

  if (!i || (i->unresponsive && !s->link))
    {
      hang_up (p, s);
      return;
    }
  if (statement->kind == STM_RESET)
    {
      ses_reset (s, p->shapes);
      answer_own (p, s, true, SQC_FAILED, now_us);
    }
  else if (statement->kind == STM_MALFORMED)
    answer_own (p, s, false, SQC_MALFORMED, now_us);
  else if (statement->kind == STM_ROLLBACK && !s->link)
    {
      s->state = STM_IDLE;
      answer_own (p, s, true, SQC_FAILED, now_us);
    }
  else if (ses_run_local (s, p->shapes, statement, &end))
    answer_own (p, s, end.ok, end.code, now_us);
  else if (statement->kind == STM_EXECUTE && !ses_shape_of (s, statement))
    answer_own (p, s, false, SQC_NO_STATEMENT, now_us);
  else
    {
      s->work.svc = i->svc;
      s->work.timeout_us = RELAY_WAIT_US;
      s->rank = statement->urgency.rank;
      s->patience_us = (int64_t)statement->urgency.patience_ms * 1000;
      plr_take (p, s, statement, false, now_us);
    }
}

void
plr_relay_answer (struct plr *p, struct ses *s, const struct stm_end *end,
                  int64_t now_us)
{
  plr_leave_queues (p, s);
  s->state = end->state;
  if (end->state == STM_IDLE)
    plr_release (p, s, now_us);
  else if (s->link)
    /* Its connection stays held, but has nothing to do for now.  */
    plr_pump (p, s->link->instance->svc, now_us);
  ses_rest (s, now_us);
  plr_answer (p, s, end);
}
