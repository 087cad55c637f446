/* Watches one database group over a control connection to each instance: asks
   for their status, keeps the proofs (quorum.h) and delivers the commands of
   the failover machine.  */
#ifndef CB_MONITOR_H
#define CB_MONITOR_H

#include "failover.h"
#include "upport.h"

struct mon_options
{
  struct up_port *up;
  struct ctr_set *counters;
  uint64_t *last_conn_id;
  const char *coordinator;  /* names this process run: VM and incarnation */
  int64_t poll_interval_ms; /* between status questions without demand */
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
  int64_t state_since_us; /* start of the state */
  int64_t retry_at_us;    /* no opening before */
  int64_t sent_us;        /* latest status question */
  enum up_kind kind;      /* running op */
  enum fo_command command;
};

struct mon
{
  struct mon_options options;
  const struct dcl_database *database; /* borrowed */
  struct qrm q;
  struct fo fo;
  struct mon_ctl ctl[DCL_INSTANCES_MAX];
  bool
      coordinates; /* this proxy is a home of the group and may fail it over */
  int64_t fast_since_us; /* proofs of a moment not before this are wanted; 0 =
                            no */
};

void mon_init (struct mon *m, const struct mon_options *options,
               const struct dcl_database *database, int64_t now_us);
void mon_close (struct mon *m);
void mon_tick (struct mon *m, const struct fo_local *place, int64_t now_us);
/* Somebody waits for fresh proofs: asks every idle instance now and again
   until mon_poll_normal is called.  */
void mon_poll_fast (struct mon *m, int64_t now_us);
void mon_poll_normal (struct mon *m);
/* Takes a status seen on a data connection.  */
void mon_note_status (struct mon *m, uint32_t instance, int64_t asked_us,
                      int64_t heard_us, const struct qrm_status *status);
/* Port events; false when CONN is not of this monitor.  */
bool mon_opened (struct mon *m, uint64_t conn, bool ok, int64_t now_us,
                 double jitter);
bool mon_closed (struct mon *m, uint64_t conn, int64_t now_us, double jitter);
bool mon_done (struct mon *m, uint64_t conn, const struct up_result *result,
               int64_t now_us, double jitter);

#endif
