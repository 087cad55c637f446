/* Commands of the failover to the instances of a service.  */
#include "poolerint.h"

/* How long the connections to an instance are kept for a command.  */
#define COMMAND_KEEP_US 500000

static enum ul_purpose
purpose_of (enum stm_kind kind)
{
  switch (kind)
    {
    case STM_PAUSE:
      return UL_PAUSE;
    case STM_RESUME:
      return UL_RESUME;
    default:
      return UL_STATUS;
    }
}

bool
plr_send_command (struct plr *p, struct ul *link, int64_t now_us)
{
  struct svc_command *c = &link->instance->command;
  struct stm command = { .kind = c->kind, .term = c->term };

  if (!c->wanted || now_us > c->until_us)
    return false;
  c->wanted = false;
  ctr_add (p->options.counters,
           c->kind == STM_PAUSE ? CTR_PAUSES : CTR_STATUS_ASKED, 1);
  ul_send (link, purpose_of (c->kind), LP_NONE, &command, NULL, now_us);
  return true;
}

bool
plr_is_under_way (const struct svc_instance *i, enum ul_purpose purpose)
{
  for (guint n = 0; n < i->links->len; n++)
    {
      const struct ul *link = g_ptr_array_index (i->links, n);

      for (guint r = 0; r < link->requests->len; r++)
        if (g_array_index (link->requests, struct ul_request, r).purpose
            == purpose)
          return true;
    }
  return false;
}

/* Sends a command to I on an idle connection, else on the next one that gets
   idle or is open; opens one if none is.  */
static void
command_instance (struct plr *p, struct svc_instance *i, enum stm_kind kind,
                  uint32_t term, int64_t now_us)
{
  struct svc_command command = { kind, term, true, now_us + COMMAND_KEEP_US };
  struct ul *link = plc_idle_link (i);

  if (plr_is_under_way (i, purpose_of (kind)))
    {
      i->command.until_us = command.until_us;
      return;
    }
  i->command = command;
  if (link)
    plr_send_command (p, link, now_us);
  else if (i->n_opening == 0 && now_us >= i->open_after_us
           && i->links->len < MAX (i->limits.max_links, 1))
    plr_open_link (p, i, NULL, now_us);
}

/* Returns true if I has replied to such a command that was sent at or after
   SINCE_US.  */
static bool
has_replied (const struct svc_instance *i, enum stm_kind kind,
             int64_t since_us)
{
  const struct svc_report *r = &i->report;

  if (kind == STM_PAUSE && !r->refuses_pause)
    return r->paused_us >= since_us;
  return (kind == STM_RESUME ? r->resumed_us : r->at_us) >= since_us;
}

bool
plr_command_instances (struct plr *p, struct svc *s,
                       const struct plr_command *command, int64_t now_us)
{
  bool complete = true;

  for (guint n = 0; n < s->instances->len; n++)
    {
      struct svc_instance *i = g_ptr_array_index (s->instances, n);
      enum stm_kind kind = command->kind;

      if (i == command->except || has_replied (i, kind, command->since_us))
        continue;
      complete = false;
      if (kind == STM_PAUSE && i->report.refuses_pause)
        kind = STM_STATUS;
      command_instance (p, i, kind, command->term, now_us);
    }
  return complete;
}

void
plr_request_status (struct plr *p, struct svc *s, int64_t now_us)
{
  struct stm query = { .kind = STM_STATUS };

  for (guint n = 0; n < s->instances->len; n++)
    {
      struct svc_instance *i = g_ptr_array_index (s->instances, n);
      struct ul *link = svc_is_usable (i, now_us) ? plc_idle_link (i) : NULL;

      if (!link)
        continue;
      ctr_add (p->options.counters, CTR_STATUS_ASKED, 1);
      ul_send (link, UL_STATUS, LP_NONE, &query, NULL, now_us);
    }
}

bool
plr_request_step_down (struct svc_instance *i, int64_t now_us)
{
  struct ul *link = plc_idle_link (i);
  struct stm command = { .kind = STM_STEP_DOWN };

  if (!link || i->report.at_us == 0)
    return false;
  command.term = i->report.term + 1;
  ul_send (link, UL_STEP_DOWN, LP_NONE, &command, NULL, now_us);
  return true;
}

/* Returns true if RESULT, the reply to a command without the status, says that
   the instance does not know it.  Any other error may pass.  */
static bool
is_unknown_command (const struct stm_result *result)
{
  return result->ok || result->code == SQC_MALFORMED;
}

/* Records STATUS, the reply to REQUEST, unless a later request was answered
   first on another link.  */
static void
note_report (struct svc_report *r, const struct ul_request *request,
             const struct stm_status *status)
{
  r->term = MAX (r->term, status->term);
  if (request->sent_us < r->at_us)
    return;
  r->at_us = request->sent_us;
  r->primary = status->primary;
  r->received = status->received;
  /* A paused replica receives nothing: another proxy resumed it, or it has
     started again.  */
  if (lp_compare (r->received, r->paused_at) > 0)
    r->paused_us = 0;
}

/* Records that I was paused.  A resume that awaits its reply may take effect
   after the pause.  */
static void
note_paused (struct svc_instance *i, const struct ul_request *request,
             const struct stm_status *status)
{
  struct svc_report *r = &i->report;

  if (request->sent_us < r->at_us || plr_is_under_way (i, UL_RESUME))
    return;
  r->paused_us = request->sent_us;
  r->paused_at = status->received;
}

void
plr_note_status (struct svc_instance *i, const struct ul_request *request,
                 const struct stm_result *result)
{
  struct svc_report *r = &i->report;

  if (!result->ok || !result->status)
    {
      if (request->purpose == UL_PAUSE && is_unknown_command (result))
        r->refuses_pause = true;
      return;
    }
  note_report (r, request, result->status);
  if (request->purpose == UL_PAUSE)
    note_paused (i, request, result->status);
  if (request->purpose == UL_RESUME)
    {
      r->resumed_us = request->sent_us;
      r->paused_us = 0;
    }
}
