/* Shared by the files of the failover on the session path: sessionfailover.c
   (suspicion, votes and claims ahead of need), presumedprimary.c (who leads),
   failoverdecision.c (decisions without state), groupmembers.c (who counts),
   promotion.c (from the claim to the new primary) and openclaim.c (what a
   promotion leaves to be done).  */
#ifndef CB_SESSIONFAILOVERINT_H
#define CB_SESSIONFAILOVERINT_H

#include "candidate.h"
#include "sessionfailover.h"

/* Interval of the requests to instances that have not replied yet.  */
#define STATUS_INTERVAL_US 40000
/* How long another proxy with a new claim has to promote.  */
#define OTHER_CLAIM_GRACE_US 1800000
/* A replica is told to pause again after this time, as its pause may have been
   ended.  */
#define PAUSE_REPEAT_US 80000
/* The report of a paused replica counts for this time, which allows for a few
   refusals as busy.  */
#define PAUSE_REPORT_MAX_AGE_US 400000
/* Wait per rank before a proxy acts, so that usually only one claims.  */
#define RANK_STEP_US 100000
/* Pause before the next attempt after a failed one.  */
#define RETRY_PAUSE_US 300000

enum sfo_state
{
  SFO_MONITORING,
  SFO_POLLING_PEERS,
  SFO_COLLECTING, /* waits for the status of the instances */
  SFO_CLAIMING_AHEAD,
  SFO_CLAIMING,
  SFO_STEPPING_DOWN,
  SFO_PAUSING, /* waits until the replicas receive nothing any more */
  /* Waits until the target, which is the primary, has been confirmed since the
     claim.  */
  SFO_RECONFIRMING,
  SFO_PROMOTING,
  SFO_PROMOTE_RETRY,
  SFO_CONFIRMING, /* waits until the promoted instance is confirmed primary */
  SFO_RESUMING    /* waits until the replicas receive again */
};

/* The failover state of one service.  */
struct sfo_service
{
  struct sfo *sfo;
  struct svc *svc;
  enum sfo_state state;
  int64_t state_since_us;
  int64_t act_after_us;       /* no poll or replacement before */
  int64_t turn_wait_since_us; /* start of the wait by rank, 0 = none */
  int64_t last_command_us;
  int64_t resuming_since_us; /* the replicas are being resumed, 0 = not */
  char *primary_id;          /* the last one confirmed or registered */
  /* The instance that the newest promotion is for, while it may lead though it
     was not confirmed here since; NULL = none.  */
  char *promoted_id;
  int64_t promoted_since_us;
  char *leader_id;    /* the same, also after it was confirmed */
  uint32_t next_term; /* the promotion of LEADER_ID began at least this one */
  /* The primary that the attempt replaces, NULL = unknown.  */
  char *replaced_id;
  int64_t attempt_since_us;
  uint32_t pause_term;          /* of the pauses of the attempt */
  char *target_id;              /* the replica to promote */
  struct logpos known_position; /* of the primary when SFO_COLLECTING began */
  uint64_t claim_revision;      /* 0 = no claim known */
  char *claim_target;           /* that the claim names, NULL = none */
  char *claim_members;     /* that the claim lists, as text; NULL = none */
  char *requested_members; /* the same, of the last claim requested here */
  /* A promotion of this instance got no reply, or its claim belongs to a proxy
     that may have ordered it: it may still be carried out.  NULL = none.  Only
     where commits wait for replicas.  */
  char *unsettled_id;
  bool claim_is_lost;       /* the store came back without the newest claim */
  int64_t promote_claim_us; /* when a claim to promote was last learned of */
  uint64_t suspicion_claim; /* CLAIM_REVISION when the suspicion arose */
  char *holder;             /* proxy that took the claim, NULL = unknown */
  int64_t holder_gone_since_us; /* 0 = the holder is a known voter */
  int64_t claim_ahead_after_us; /* no claim is taken ahead of need before */
  uint64_t token;               /* fencing token of the promotion, 0 = none */
  int64_t claim_requested_us;   /* the last one */
  int64_t token_requested_us;   /* the one that gave TOKEN */
  int64_t claim_won_us;         /* the same, when it was granted */
  uint32_t attempts;            /* promotion calls with TOKEN */
  struct sfo_votes votes;
  GHashTable *voted; /* names of the proxies in VOTES */
  const char *cause; /* of the failover, for the log */
  bool planned;      /* the primary leaves; it steps down first */
};

struct sfo
{
  struct sfo_options o;
  GHashTable *services; /* service -> struct sfo_service * */
};

/* failoverdecision.c */

/* Why the primary is replaced, for the log.  */
const char *sfo_cause_name (const struct sfo_evidence *e);

/* sessionfailover.c */

/* Returns the state of SERVICE, which is added if new.  */
struct sfo_service *sfo_get_service (struct sfo *s, const char *service);
void sfo_set_state (struct sfo_service *sv, enum sfo_state state,
                    int64_t now_us);
/* Ends the attempt; no other begins within PAUSE_US.  */
void sfo_resume_monitoring (struct sfo_service *sv, int64_t pause_us,
                            int64_t now_us);
/* True when this proxy took the current claim.  */
bool sfo_holds_claim (const struct sfo_service *sv);
void sfo_log_decision (struct sfo_service *sv, const char *what,
                       int64_t now_us);
/* Asks the instances for their status.  Where commits need replicas, all must
   have replied since SINCE_US; else those are asked that have an idle
   connection.  */
void sfo_request_status (struct sfo_service *sv, int64_t since_us,
                         int64_t now_us);
/* Sends KIND to all replicas: a pause to all instances but the one to be
   replaced, a resume to all but the confirmed primary.  A pause is repeated,
   as it may have been ended.  Returns true when all have replied to one sent
   since the state was entered.  */
bool sfo_command_replicas (struct sfo_service *sv, enum stm_kind kind,
                           int64_t now_us);
/* Takes the claim in order to promote TARGET.  */
void sfo_request_claim (struct sfo_service *sv,
                        const struct svc_instance *target, int64_t now_us);
/* Calls the store to take the claim; TARGET as in struct sfo_claim.  */
void sfo_send_claim (struct sfo_service *sv, const char *target);
/* Takes the claim without a target: nothing is under way.  */
void sfo_claim_ahead (struct sfo_service *sv, int64_t now_us);
/* Begins to collect the status of the instances in order to promote one of
   them for reason CAUSE.  */
void sfo_start_collecting (struct sfo_service *sv, const char *cause,
                           int64_t now_us);
/* The number of VOTERS that act before this proxy, at most a few.  */
uint32_t sfo_own_rank (const struct sfo *s, const char *service,
                       GHashTable *voters);
/* Begins an attempt to replace PRIMARY, NULL = unknown.  */
void sfo_begin_attempt (struct sfo_service *sv,
                        const struct svc_instance *primary, int64_t now_us);
/* Returns the primary that the attempt replaces, NULL if it is unknown.  */
struct svc_instance *sfo_find_replaced (const struct sfo_service *sv);
/* Returns true if an instance leads that was not primary when the attempt
   began: what was learned before that says nothing any more.  */
bool sfo_is_overtaken (const struct sfo_service *sv);
/* Returns true if the primary that the attempt replaces leads again and no
   promotion may still be carried out.  */
bool sfo_is_back (const struct sfo_service *sv, const struct sfo_evidence *e);
/* The replica to promote as far as the reports since the state was entered
   tell, NULL while they do not suffice or there is none.  PAUSED: only recent
   reports of paused replicas count.  */
struct svc_instance *sfo_choose_target (const struct sfo_service *sv,
                                        bool paused, int64_t now_us);
/* Returns true if the primary, which leaves, can be told to step down.  */
bool sfo_can_step_down (const struct sfo_service *sv);
/* Ends the attempt, as no replica can be promoted at present; another begins
   later.  */
void sfo_hold_promotion (struct sfo_service *sv, int64_t now_us);

/* promotion.c */

/* Returns true if this proxy's claim is so recent that no other proxy acts on
   the service yet.  */
bool sfo_has_recent_claim (const struct sfo_service *sv, int64_t now_us);
/* Calls the platform to promote the target, unless the token is too old.  */
void sfo_order_promotion (struct sfo_service *sv, int64_t now_us);
/* Each advances the failover in the state that it is named after.  */
void sfo_tick_claiming (struct sfo_service *sv, int64_t now_us);
void sfo_tick_pausing (struct sfo_service *sv, const struct sfo_evidence *e,
                       int64_t now_us);
void sfo_tick_reconfirming (struct sfo_service *sv, int64_t now_us);
void sfo_tick_stepping_down (struct sfo_service *sv, int64_t now_us);
void sfo_tick_confirming (struct sfo_service *sv, int64_t now_us);
void sfo_tick_promote_retry (struct sfo_service *sv, int64_t now_us);

/* presumedprimary.c */

/* The instance that is or should be primary: the one that is confirmed, else
   the one that was promoted since, the one that the directory names in place
   of the last one confirmed, or that one.  */
struct svc_instance *sfo_find_primary (struct sfo_service *sv);
/* Notes that instance ID was promoted, as far as this proxy knows.  */
void sfo_note_promoted (struct sfo_service *sv, const char *id,
                        int64_t now_us);
/* Raises the term that logs must have reached once the promotion is known to
   be in effect.  */
void sfo_track_term (struct sfo_service *sv, int64_t now_us);
/* The platform has promoted the target.  */
void sfo_note_carried_out (struct sfo_service *sv, int64_t now_us);

/* groupmembers.c */

/* Returns the instances of the service as a claim lists them, to be freed;
   NULL where commits do not wait for replicas.  The entries are borrowed.  */
GPtrArray *sfo_list_members (const struct sfo_service *sv);
/* Records MEMBERS, which the claim that is being requested lists.  */
void sfo_note_requested_members (struct sfo_service *sv,
                                 const GPtrArray *members);
/* Records MEMBERS, which a claim lists, may be NULL; adds those that are not
   known here.  */
void sfo_note_members (struct sfo_service *sv, const GPtrArray *members,
                       int64_t now_us);
/* Returns true if the claim lists other instances than are known here.  */
bool sfo_are_members_outdated (const struct sfo_service *sv);

/* openclaim.c */

/* Returns true if, on a service whose commits wait for replicas, the claim
   names an instance to promote, or named one before the store lost it:
   replicas may be paused, and the promotion may not have been carried out yet.
 */
bool sfo_is_claim_open (const struct sfo_service *sv);
/* Notes that the promotion of instance ID may still be carried out; NULL: none
   can be any more.  */
void sfo_set_unsettled (struct sfo_service *sv, const char *id);
/* The instance to claim for while a promotion may still be carried out, NULL
   if it is not known yet.  */
struct svc_instance *sfo_choose_unsettled (const struct sfo_service *sv,
                                           int64_t now_us);
/* Works towards closing an open claim while a primary is confirmed.  */
void sfo_tick_open_claim (struct sfo_service *sv, GHashTable *voters,
                          int64_t now_us);
void sfo_tick_resuming (struct sfo_service *sv, const struct sfo_evidence *e,
                        int64_t now_us);

#endif
