/* Failover of one database group on the HTTP path: decides whether the primary
   is lost and, if so, fences a majority, chooses and promotes a new primary
   and makes the other instances follow it.  (The session
   path has a failover of its own, the module succeed.)  A state machine on the
   reported statuses (quorum.h), with time as an argument; it sends nothing
   itself but leaves commands that its owner (monitor.h) takes and sends.  The
   proxy that runs a failover is the failover coordinator.

   Safety rests on the terms alone: an instance grants a term once, and once a
   majority is fenced to a term, no older primary can reach a majority.  Rank
   and jitter only keep competing failover coordinators apart in time.  */
#ifndef CB_FAILOVER_H
#define CB_FAILOVER_H

#include "quorum.h"

/* An instance counts as reachable when it replied within this time.  */
#define FO_DETECT_MS 1200
/* A replica that has heard nothing from its primary for this time is
   disconnected from it: 25 round trips of the longest link in use (40 ms).  */
#define FO_SOURCE_SILENT_MS 1000
/* A primary that still replicates but that its home proxy in its own data
   centre cannot query is replaced after this time.  */
#define FO_HOME_SILENT_MS 3500
/* A minority that granted a later term can follow the primary again only under
   a still later one.  The home of the primary starts a failover to such a term
   after this time.  */
#define FO_RAISE_TERM_MS 3000
/* Time given to another failover coordinator to finish after a new highest
   term was seen.  */
#define FO_COMPETITOR_MS 1000
#define FO_FENCE_TIMEOUT_MS 1200
#define FO_RANK_STEP_MS 300
#define FO_JITTER_MS 100
/* A group that has changed its primary FO_FLAP_CHANGES times within the window
   waits before it changes it again: FO_DAMP_BASE_MS, doubled for each further
   change, up to FO_DAMP_MAX_MS.  */
#define FO_FLAP_CHANGES 3
#define FO_FLAP_WINDOW_MS 120000
#define FO_DAMP_BASE_MS 5000
#define FO_DAMP_MAX_MS 60000

enum fo_decision
{
  FO_HEALTHY,
  FO_WAIT,         /* no healthy primary confirmed, but no reason to act */
  FO_PRIMARY_LOST, /* the primary has lost its majority */
  FO_NO_MAJORITY   /* this proxy reaches no majority and can do nothing */
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

/* This proxy's relation to the group.  */
struct fo_local
{
  uint32_t rank;      /* among the group's home proxies; 0 acts first */
  uint32_t home_mask; /* bit mask of the instances this proxy is home of */
  double jitter;      /* random, in [0, 1) */
};

struct fo
{
  enum fo_state state;
  uint64_t term;         /* of the failover under way */
  uint32_t granted_mask; /* bit mask of instances that granted TERM */
  struct qrm_status grants[DCL_INSTANCES_MAX];
  uint32_t target;    /* instance being promoted */
  int64_t started_us; /* when this proxy began to watch the group */
  int64_t state_since_us;
  int64_t lost_since_us; /* when the loss was first found, 0 = not lost */
  int64_t act_at_us;     /* when to start fencing because of it */
  uint64_t highest_term;
  int64_t highest_term_seen_us; /* when HIGHEST_TERM was first seen */
  int64_t
      primary_changes_us[FO_FLAP_CHANGES + 4]; /* latest changes of primary */
  uint32_t n_primary_changes;
  uint64_t latest_primary_term;
  int64_t next_repair_us; /* of instances that do not follow the primary */
  uint64_t follow_term;   /* arguments of FO_CMD_FOLLOW */
  uint32_t follow_target;
  enum fo_command commands[DCL_INSTANCES_MAX]; /* taken by the owner */
  uint64_t attempts;
  uint64_t promotions;
  bool unfenced; /* test only: promotes on the first grant */
};

void fo_init (struct fo *f, int64_t now_us);
/* Decides on the health of the primary; HOME_MASK as in struct fo_local.  */
enum fo_decision fo_evaluate (const struct fo *f, const struct qrm *q,
                              uint32_t home_mask, int64_t now_us);
/* Advances the state machine; fills F->commands.  */
void fo_tick (struct fo *f, const struct qrm *q, const struct fo_local *local,
              int64_t now_us);
/* Takes the result of a command.  STATUS is the instance's reply, NULL when it
   refused or could not be reached.  */
void fo_reply (struct fo *f, const struct qrm *q, uint32_t instance,
               enum fo_command command, const struct qrm_status *status,
               int64_t now_us);
/* The term that COMMAND carries.  */
uint64_t fo_command_term (const struct fo *f, enum fo_command command);

#endif
