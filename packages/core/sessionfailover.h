/* Failover on the session path: detects that the primary of a service must be
   replaced, agrees with the other proxies on who acts, and has the best
   replica promoted.

   No component reports a failed primary.  A proxy that cannot reach it polls
   its peers, because one broken link does not justify a failover.  Where homes
   hold the connections to a service, only they vote, so that a suspicion
   involves a few proxies, whatever the size of the fleet.

   The right to promote is a claim in the platform's store, taken by
   compare-and-swap.  The revision of the claim is the fencing token of the
   promotion: it rises with each claim, and no two proxies share one.  A claim
   stands until another proxy takes it; there is no lease to renew.  In normal
   operation the first proxy by rank takes the claim on each service ahead of
   need, so that one proxy can promote while the store is unavailable.

   Where commits wait for replicas, a claim to promote stays open until its
   holder knows that no promotion of before can be carried out any more and has
   resumed the replicas; it then takes the claim anew, ahead of need.  An open
   claim whose holder is gone is taken over.  See
   docs/design/promotions.md.  */
#ifndef CB_SESSIONFAILOVER_H
#define CB_SESSIONFAILOVER_H

#include "pooler.h"

/* What this proxy knows of a service's primary; durations in microseconds.  */
struct sfo_evidence
{
  bool known;             /* a primary was confirmed, or is registered */
  bool confirmed;         /* its last leadership check is still valid */
  bool registered;        /* in the directory, or its entry has just lapsed */
  bool lapsed;            /* its directory entry is gone, recently or not */
  bool draining;          /* it leaves as planned */
  bool not_primary;       /* it replies, and reports that it is not primary */
  bool unresponsive;      /* it does not reply */
  int64_t refused_for_us; /* it has refused connections for this long */
  int64_t no_primary_for_us; /* no primary has been confirmed for this long */
  uint32_t candidates;       /* replicas that reply and may be promoted */
};

enum sfo_decision
{
  SFO_KEEP,
  SFO_POLL_PEERS, /* this proxy cannot reach the primary: collect votes */
  SFO_REPLACE     /* without a vote */
};

/* Whether a proxy reaches the primary.  */
enum sfo_vote
{
  SFO_VOTE_REACHED,
  SFO_VOTE_MISSED,
  SFO_VOTE_UNKNOWN
};

/* The result of a promotion call.  */
enum sfo_promote_result
{
  SFO_PROMOTED,
  SFO_PROMOTE_REFUSED,  /* outdated token, or the instance does not run */
  SFO_PROMOTE_REJECTED, /* the platform did nothing; it may do so later */
  SFO_PROMOTE_LOST      /* no reply: it may still be carried out */
};

/* A request to take the claim on SERVICE if its revision is still KNOWN.  */
struct sfo_claim_request
{
  const char *service;
  uint64_t known;           /* 0 = there is none */
  const char *target;       /* as in struct sfo_claim */
  const GPtrArray *members; /* the same */
};

struct sfo_port;

struct sfo_port_ops
{
  /* Takes a claim; REQUEST is borrowed for the call.  Completes with
     sfo_complete_claim.  */
  void (*claim) (struct sfo_port *port,
                 const struct sfo_claim_request *request);
  /* Completes with sfo_complete_promotion.  */
  void (*promote) (struct sfo_port *port, const char *service,
                   const char *instance, uint64_t token);
  /* Asks VOTERS, a set of names, whether they reach INSTANCE.  Each reply is
     passed to sfo_add_vote; any number of them may arrive.  */
  void (*request_votes) (struct sfo_port *port, const char *service,
                         const char *instance, GHashTable *voters);
};

struct sfo_port
{
  const struct sfo_port_ops *ops;
};

struct sfo_options
{
  struct plr *pooler;
  struct sfo_port *port;
  struct ctr_set *counters;
  struct ev_log *log;
  const char *vm; /* name of this proxy */
  /* The platform refuses a promotion whose token is lower than one it has
     seen.  If it does not, a token is used only while no other proxy can have
     a newer one.  */
  bool tokens_are_checked;
};

struct sfo;

struct sfo *sfo_new (const struct sfo_options *options);
void sfo_free (struct sfo *s);
/* Changes struct sfo_options.tokens_are_checked.  */
void sfo_set_tokens_checked (struct sfo *s, bool checked);
#define SFO_TICK_US 40000
/* Advances the failover of every service; to be called every SFO_TICK_US.  VMS
   is the set of known proxies, which vote on a service without homes.  */
void sfo_tick (struct sfo *s, GHashTable *vms, int64_t now_us);

/* The claim on SERVICE has REVISION and was taken by VM.  */
struct sfo_claim
{
  const char *service;
  const char *vm;
  uint64_t revision;
  const char *target; /* to be promoted at once; NULL: taken ahead of need */
  /* struct dir_instance *: the instances of SERVICE that its holder knew,
     where commits wait for replicas; NULL = not listed.  */
  const GPtrArray *members;
};

/* Records a claim that this proxy learned of.  */
void sfo_note_claim (struct sfo *s, const struct sfo_claim *claim,
                     int64_t now_us);
/* The store came back from a copy: the claims in it may be older than those
   that are known, which are lost.  */
void sfo_note_store_reset (struct sfo *s);
/* The result of sfo_port_ops.claim.  TOKEN is 0 when the claim was not won.
   ANSWERED is true when the store replied.  */
void sfo_complete_claim (struct sfo *s, const char *service, uint64_t token,
                         bool answered, int64_t now_us);
/* The result of sfo_port_ops.promote.  */
void sfo_complete_promotion (struct sfo *s, const char *service,
                             enum sfo_promote_result result, int64_t now_us);
/* VM replied to a request for votes.  If it reaches INSTANCE, this proxy uses
   VM as relay path until it reaches the instance directly again.  */
void sfo_add_vote (struct sfo *s, const char *service, const char *instance,
                   const char *vm, enum sfo_vote vote, int64_t now_us);
/* The vote of this proxy, for a peer that requests it.  */
enum sfo_vote sfo_cast_vote (struct sfo *s, const char *service,
                             const char *instance, int64_t now_us);

/* The decision functions, exported for tests.  */
enum sfo_decision sfo_evaluate (const struct sfo_evidence *e);
/* The votes on a primary, including the one of this proxy, which is always
   MISSED.  */
struct sfo_votes
{
  uint32_t reached;
  uint32_t missed;
  uint32_t cast;   /* of any kind */
  uint32_t voters; /* proxies that vote on the service */
};

/* True when the votes justify replacing the primary.  */
bool sfo_votes_suffice (const struct sfo_votes *v);

#endif
