/* Monitors one database group over a control connection to each instance:
   polls their status, keeps what the replies confirm (quorum.h) and sends the
   commands of the failover state machine (failover.h).  */
#ifndef CB_MONITOR_H
#define CB_MONITOR_H

#include "failover.h"
#include "upport.h"

struct mon_options
{
  struct up_port *up;
  struct ctr_set *counters;
  uint64_t *last_conn_id;
  /* Name of this process as failover coordinator: VM and incarnation.  */
  const char *failover_coordinator;
  int64_t poll_interval_ms; /* between status queries at the normal rate */
  int64_t probe_timeout_ms;
};

enum mon_ctl_state
{
  MON_CLOSED,
  MON_OPENING,
  MON_IDLE,
  MON_BUSY
};

/* The control connection to one instance.  */
struct mon_ctl
{
  enum mon_ctl_state state;
  uint64_t conn;
  int64_t state_since_us;
  int64_t retry_at_us;  /* not opened again before */
  int64_t sent_us;      /* when the latest status query or command was sent */
  enum up_op_kind kind; /* running op */
  enum fo_command command;
};

struct mon
{
  struct mon_options options;
  const struct dcl_database *database; /* borrowed */
  struct qrm q;
  struct fo fo;
  struct mon_ctl ctl[DCL_INSTANCES_MAX];
  bool coordinates_failover; /* as home of an instance, may run failovers */
  int64_t fast_since_us; /* latest call of mon_poll_fast, 0 = normal rate */
};

void mon_init (struct mon *m, const struct mon_options *options,
               const struct dcl_database *database, int64_t now_us);
/* Closes all control connections.  */
void mon_close (struct mon *m);
void mon_tick (struct mon *m, const struct fo_local *local, int64_t now_us);
/* Starts fast polling, because an op waits for its result to be confirmed:
   queries every idle instance at once and then at short intervals, until
   mon_poll_normal is called.  */
void mon_poll_fast (struct mon *m, int64_t now_us);
void mon_poll_normal (struct mon *m);
/* Takes a status reported on a data connection.  */
void mon_note_status (struct mon *m, uint32_t instance, int64_t sent_us,
                      int64_t received_us, const struct qrm_status *status);
/* Events of the upstream port (upport.h); false when CONN is not of this
   monitor.  */
bool mon_opened (struct mon *m, uint64_t conn, bool ok, int64_t now_us,
                 double jitter);
bool mon_closed (struct mon *m, uint64_t conn, int64_t now_us, double jitter);
bool mon_done (struct mon *m, uint64_t conn, const struct up_result *result,
               int64_t now_us, double jitter);

#endif
