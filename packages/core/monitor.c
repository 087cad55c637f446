/* Monitors one database group.  */
#include "monitor.h"

#include <string.h>

#define RETRY_BASE_US 150000
/* Interval of status queries to one instance during fast polling: the time
   since mon_poll_fast was last called divided by FAST_POLL_DIVISOR, within
   these limits.  */
#define FAST_POLL_MIN_US 300
#define FAST_POLL_MAX_US 20000
#define FAST_POLL_DIVISOR 8

static const enum up_op_kind command_kinds[] = { [FO_CMD_NONE] = UP_STATUS,
                                                 [FO_CMD_FENCE] = UP_FENCE,
                                                 [FO_CMD_PROMOTE] = UP_PROMOTE,
                                                 [FO_CMD_FOLLOW] = UP_FOLLOW };

void
mon_init (struct mon *m, const struct mon_options *options,
          const struct dcl_database *database, int64_t now_us)
{
  memset (m, 0, sizeof *m);
  m->options = *options;
  m->database = database;
  qrm_init (&m->q, database->n_instances);
  fo_init (&m->fo, now_us);
  for (uint32_t i = 0; i < database->n_instances; i++)
    m->ctl[i].sent_us = INT64_MIN / 2;
}

void
mon_close (struct mon *m)
{
  for (uint32_t i = 0; i < m->database->n_instances; i++)
    if (m->ctl[i].state != MON_CLOSED)
      {
        m->options.up->ops->close (m->options.up, m->ctl[i].conn);
        m->ctl[i].state = MON_CLOSED;
      }
}

static void
open_ctl (struct mon *m, uint32_t i, int64_t now_us)
{
  struct mon_ctl *c = &m->ctl[i];

  c->state = MON_OPENING;
  c->conn = ++*m->options.last_conn_id;
  c->state_since_us = now_us;
  m->options.up->ops->open (m->options.up, c->conn,
                            &m->database->instances[i]);
}

/* Marks the connection as closed; a command in flight on it has failed.  */
static void
fail_ctl (struct mon *m, uint32_t i, int64_t now_us, double jitter)
{
  struct mon_ctl *c = &m->ctl[i];
  enum fo_command command = c->state == MON_BUSY ? c->command : FO_CMD_NONE;

  c->state = MON_CLOSED;
  c->command = FO_CMD_NONE;
  c->retry_at_us
      = now_us + RETRY_BASE_US + (int64_t)(jitter * (double)RETRY_BASE_US);
  if (command != FO_CMD_NONE)
    fo_reply (&m->fo, &m->q, i, command, NULL, now_us);
}

static void
exec_ctl (struct mon *m, uint32_t i, enum fo_command command, int64_t now_us)
{
  struct mon_ctl *c = &m->ctl[i];
  struct up_op op = { 0 };

  c->state = MON_BUSY;
  c->state_since_us = now_us;
  c->sent_us = now_us;
  c->command = command;
  c->kind = command_kinds[command];
  op.kind = c->kind;
  op.timeout_ms = m->options.probe_timeout_ms;
  if (command != FO_CMD_NONE)
    op.term = fo_command_term (&m->fo, command);
  op.target = command == FO_CMD_FOLLOW
                  ? m->database->instances[m->fo.follow_target].name
                  : m->options.failover_coordinator;
  ctr_add (m->options.counters,
           command == FO_CMD_FENCE ? CTR_FENCES : CTR_STATUS_ASKED, 1);
  m->options.up->ops->exec (m->options.up, c->conn, &op);
}

static int64_t
fast_poll_interval_us (const struct mon *m, int64_t now_us)
{
  int64_t waited_us = now_us - m->fast_since_us;

  return CLAMP (waited_us / FAST_POLL_DIVISOR, FAST_POLL_MIN_US,
                FAST_POLL_MAX_US);
}

/* Sends the command or status query that is due on an idle control
   connection.  */
static void
exec_due (struct mon *m, uint32_t i, int64_t now_us)
{
  struct mon_ctl *c = &m->ctl[i];
  enum fo_command command = m->fo.commands[i];
  int64_t age_us = now_us - c->sent_us;

  if (c->state != MON_IDLE)
    return;
  if (command != FO_CMD_NONE)
    {
      m->fo.commands[i] = FO_CMD_NONE;
      exec_ctl (m, i, command, now_us);
    }
  else if ((m->fast_since_us > 0
            && age_us >= fast_poll_interval_us (m, now_us))
           || age_us >= m->options.poll_interval_ms * 1000)
    exec_ctl (m, i, FO_CMD_NONE, now_us);
}

static void
tick_ctl (struct mon *m, uint32_t i, int64_t now_us, double jitter)
{
  struct mon_ctl *c = &m->ctl[i];
  int64_t limit_us = m->options.probe_timeout_ms * 1000;

  if ((c->state == MON_OPENING || c->state == MON_BUSY)
      && now_us - c->state_since_us > limit_us)
    {
      ctr_add (m->options.counters, CTR_CONNECTION_SILENT, 1);
      m->options.up->ops->close (m->options.up, c->conn);
      fail_ctl (m, i, now_us, jitter);
    }
  if (c->state == MON_CLOSED && now_us >= c->retry_at_us)
    open_ctl (m, i, now_us);
  exec_due (m, i, now_us);
}

void
mon_tick (struct mon *m, const struct fo_local *local, int64_t now_us)
{
  uint64_t attempts = m->fo.attempts;
  uint64_t promotions = m->fo.promotions;

  if (m->coordinates_failover)
    fo_tick (&m->fo, &m->q, local, now_us);
  for (uint32_t i = 0; i < m->database->n_instances; i++)
    tick_ctl (m, i, now_us, local->jitter);
  ctr_add (m->options.counters, CTR_FAILOVER_ATTEMPTS,
           m->fo.attempts - attempts);
  ctr_add (m->options.counters, CTR_PROMOTIONS, m->fo.promotions - promotions);
}

void
mon_poll_fast (struct mon *m, int64_t now_us)
{
  m->fast_since_us = now_us;
  for (uint32_t i = 0; i < m->database->n_instances; i++)
    exec_due (m, i, now_us);
}

void
mon_poll_normal (struct mon *m)
{
  m->fast_since_us = 0;
}

void
mon_note_status (struct mon *m, uint32_t instance, int64_t sent_us,
                 int64_t received_us, const struct qrm_status *status)
{
  qrm_note_status (&m->q, instance, sent_us, received_us, status);
}

static uint32_t
find_ctl (const struct mon *m, uint64_t conn)
{
  for (uint32_t i = 0; i < m->database->n_instances; i++)
    if (m->ctl[i].state != MON_CLOSED && m->ctl[i].conn == conn)
      return i;
  return QRM_NONE;
}

bool
mon_opened (struct mon *m, uint64_t conn, bool ok, int64_t now_us,
            double jitter)
{
  uint32_t i = find_ctl (m, conn);

  if (i == QRM_NONE)
    return false;
  if (!ok)
    {
      fail_ctl (m, i, now_us, jitter);
      return true;
    }
  m->ctl[i].state = MON_IDLE;
  m->ctl[i].state_since_us = now_us;
  m->ctl[i].sent_us = INT64_MIN / 2;
  exec_due (m, i, now_us);
  return true;
}

bool
mon_closed (struct mon *m, uint64_t conn, int64_t now_us, double jitter)
{
  uint32_t i = find_ctl (m, conn);

  if (i == QRM_NONE)
    return false;
  fail_ctl (m, i, now_us, jitter);
  return true;
}

bool
mon_done (struct mon *m, uint64_t conn, const struct up_result *result,
          int64_t now_us, double jitter)
{
  uint32_t i = find_ctl (m, conn);
  struct mon_ctl *c;
  enum fo_command command;
  uint64_t promotions = m->fo.promotions;

  if (i == QRM_NONE)
    return false;
  if (result->outcome == UP_LOST || result->outcome == UP_NOT_COMMITTED)
    {
      fail_ctl (m, i, now_us, jitter);
      return true;
    }
  c = &m->ctl[i];
  command = c->command;
  c->state = MON_IDLE;
  c->state_since_us = now_us;
  c->command = FO_CMD_NONE;
  if (result->has_status)
    qrm_note_status (&m->q, i, c->sent_us, now_us, &result->status);
  if (command != FO_CMD_NONE)
    fo_reply (&m->fo, &m->q, i, command,
              result->outcome == UP_OK ? &result->status : NULL, now_us);
  ctr_add (m->options.counters, CTR_PROMOTIONS, m->fo.promotions - promotions);
  exec_due (m, i, now_us);
  return true;
}
