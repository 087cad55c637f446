/* Failover of one database group: judges whether its primary is lost and, if
   so, drives fencing, the choice of the new primary, its promotion and the
   repair of the others.  A state machine on proofs (quorum.h), with time as an
   argument; it sends nothing itself but leaves commands for its owner.

   Safety rests on the terms alone: an instance grants a term once, and a
   majority fenced to a term bars every older primary from a majority.  Rank
   and jitter only keep rivals apart.  */
#ifndef CB_FAILOVER_H
#define CB_FAILOVER_H

#include "quorum.h"

/* An instance counts as reachable when heard within this time.  */
#define FO_DETECT_MS 1200
/* A replica has lost its primary after this silence: 25 round trips of the
   longest link in use (40 ms).  */
#define FO_SOURCE_SILENT_MS 1000
/* A primary that its own data centre's home cannot query, although replicas
   hear it, is given up after this time.  */
#define FO_HOME_SILENT_MS 3500
/* A minority that promised to a later term can follow the primary again only
   under a still later one; the primary's home starts it after this time.  */
#define FO_RAISE_TERM_MS 3000
/* Time a rival driver is given to finish.  */
#define FO_COMPETITOR_MS 1000
#define FO_FENCE_TIMEOUT_MS 1200
#define FO_RANK_STEP_MS 300
#define FO_JITTER_MS 100
/* A group that changed its primary this often within the window is damped:
   each further change waits twice as long, up to FO_DAMP_MAX_MS.  */
#define FO_FLAP_CHANGES 3
#define FO_FLAP_WINDOW_MS 120000
#define FO_DAMP_BASE_MS 5000
#define FO_DAMP_MAX_MS 60000

enum fo_decision
{
  FO_HEALTHY,
  FO_WAIT,         /* not healthy for us, but no reason to act */
  FO_PRIMARY_LOST, /* the primary has lost its majority */
  FO_NO_MAJORITY   /* we cannot reach a majority: nothing can be done here */
};

enum fo_state
{
  FO_WATCH,
  FO_FENCE,
  FO_PROMOTE
};

enum fo_command
{
  FO_CMD_NONE,
  FO_CMD_FENCE,
  FO_CMD_PROMOTE,
  FO_CMD_FOLLOW
};

/* How this proxy stands to the group.  */
struct fo_local
{
  uint32_t rank;      /* among the group's home proxies; 0 acts first */
  uint32_t home_mask; /* bit mask of the instances this proxy is home of */
  double jitter;      /* random, in [0, 1) */
};

struct fo
{
  enum fo_state state;
  uint64_t term;         /* being driven */
  uint32_t granted_mask; /* bit mask of instances that granted TERM */
  struct qrm_status grants[DCL_INSTANCES_MAX];
  uint32_t target;        /* being promoted */
  int64_t started_us;     /* of watching */
  int64_t state_since_us; /* start of the state */
  int64_t lost_since_us;  /* when the loss was first judged, 0 = not lost */
  int64_t act_at_us;      /* when to act on it */
  uint64_t highest_term;
  int64_t highest_term_seen_us; /* when HIGHEST_TERM was first seen */
  int64_t
      primary_changes_us[FO_FLAP_CHANGES + 4]; /* latest changes of primary */
  uint32_t n_primary_changes;
  uint64_t latest_primary_term;
  int64_t next_repair_us; /* next repair of followers */
  uint64_t follow_term;   /* what FO_CMD_FOLLOW says */
  uint32_t follow_target;
  enum fo_command commands[DCL_INSTANCES_MAX]; /* taken by the owner */
  uint64_t attempts;
  uint64_t promotions;
  bool unfenced; /* test only: promotes without a majority's grant */
};

void fo_init (struct fo *f, int64_t now_us);
enum fo_decision fo_evaluate (const struct fo *f, const struct qrm *q,
                              uint32_t owned, int64_t now_us);
/* Advances the machine; fills F->commands.  */
void fo_tick (struct fo *f, const struct qrm *q, const struct fo_local *place,
              int64_t now_us);
/* The end of a command.  STATUS is the instance's answer, NULL when it refused
   or could not be reached.  */
void fo_reply (struct fo *f, const struct qrm *q, uint32_t instance,
               enum fo_command command, const struct qrm_status *status,
               int64_t now_us);
/* The term that COMMAND carries.  */
uint64_t fo_command_term (const struct fo *f, enum fo_command command);

#endif
