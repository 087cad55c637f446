/* Succession: finds out that a primary must be replaced, agrees with the other
   proxies who acts, and has the best replica promoted.

   Nobody reports a dead primary.  A proxy that can't reach it asks its peers,
   since one broken link is no reason.  Where homes hold the connections only
   they judge: a doubt concerns a few proxies, however many there are.  The
   right to act is a claim in the
   platform's store, taken by compare-and-swap; its revision is the fencing
   token of the promotion, so it rises with each claim and two proxies never
   share one.  The claim stands until another proxy takes it, and no lease has
   to be renewed.  In calm the first proxy by rank takes the claim on each
   service, so that one is there that can promote while the store is away.  */
#ifndef CB_SESSIONFAILOVER_H
#define CB_SESSIONFAILOVER_H

#include "pooler.h"

/* What is known of a service's primary, each as an age in microseconds.  */
struct sfo_evidence
{
  bool known;                /* a primary was proved, or is listed */
  bool confirmed;            /* it leads by a proof that still holds */
  bool registered;           /* in the directory, or lapsed with the store */
  bool lapsed;               /* the directory lost it a moment ago */
  bool draining;             /* it leaves as planned */
  bool not_primary;          /* it answers, and says that it doesn't lead */
  bool unresponsive;         /* it doesn't answer */
  int64_t refused_for_us;    /* connections are refused for so long */
  int64_t no_primary_for_us; /* nobody is proved for so long */
  uint32_t candidates;       /* replicas that answer and may be promoted */
};

enum sfo_decision
{
  SFO_KEEP,
  SFO_POLL_PEERS, /* this proxy can't reach it: what do the peers see? */
  SFO_REPLACE     /* without asking */
};

enum sfo_vote
{
  SFO_VOTE_REACHED,
  SFO_VOTE_MISSED,
  SFO_VOTE_UNKNOWN
};

/* How a promotion call ended.  */
enum sfo_promote_result
{
  SFO_PROMOTED,
  SFO_PROMOTE_REFUSED, /* outdated token, or the instance doesn't run */
  SFO_PROMOTE_LOST     /* no answer: it may still be carried out */
};

struct sfo_port;

struct sfo_port_ops
{
  /* Ends in sfo_claim_result.  KNOWN is the revision that the claim stands at.
   */
  void (*claim) (struct sfo_port *port, const char *service, uint64_t known,
                 const char *instance);
  /* Ends in sfo_promote_result.  */
  void (*promote) (struct sfo_port *port, const char *service,
                   const char *instance, uint64_t token);
  /* Asks JUDGES, a set of names, whether they reach INSTANCE; ends in any
     number of sfo_add_vote.  */
  void (*request_votes) (struct sfo_port *port, const char *service,
                         const char *instance, GHashTable *judges);
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
  const char *vm;
};

struct sfo;

struct sfo *sfo_new (const struct sfo_options *options);
void sfo_free (struct sfo *s);
/* Due every SFO_TICK_US.  VMS is the set of proxies known.  */
#define SFO_TICK_US 40000
void sfo_tick (struct sfo *s, GHashTable *vms, int64_t now_us);
/* The claim on SERVICE stands at REVISION, taken by VM.  */
struct sfo_claim
{
  const char *service;
  const char *vm;
  uint64_t revision;
  bool promotes; /* to promote at once; else taken in calm */
};

void sfo_note_claim (struct sfo *s, const struct sfo_claim *claim,
                     int64_t now_us);
/* TOKEN is 0 when the claim was not won; SETTLED: the store did answer.  */
void sfo_claim_result (struct sfo *s, const char *service, uint64_t token,
                       bool settled, int64_t now_us);
void sfo_promote_result (struct sfo *s, const char *service,
                         enum sfo_promote_result end, int64_t now_us);
/* VM answered an ask.  One that reaches the instance is gone through until
   this proxy reaches it again.  */
void sfo_add_vote (struct sfo *s, const char *service, const char *instance,
                   const char *vm, enum sfo_vote vote, int64_t now_us);
/* The vote of this proxy, for a peer that asks.  */
enum sfo_vote sfo_cast_vote (struct sfo *s, const char *service,
                             const char *instance, int64_t now_us);

/* The decisions, for tests.  */
enum sfo_decision sfo_evaluate (const struct sfo_evidence *e);
/* The votes on a primary, this proxy's doubt included.  */
struct sfo_votes
{
  uint32_t reached;
  uint32_t missed;
  uint32_t cast;   /* of any kind */
  uint32_t voters; /* that judge the service */
};

/* True when they speak for replacing it.  */
bool sfo_votes_suffice (const struct sfo_votes *v);
/* The replica to promote, NULL when there is none.  */
struct svc_instance *sfo_choose_candidate (const struct svc *s,
                                           const struct svc_instance *primary,
                                           int64_t now_us);

#endif
