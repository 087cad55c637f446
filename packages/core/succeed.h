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
#ifndef CB_SUCCEED_H
#define CB_SUCCEED_H

#include "pooler.h"

/* What is known of a service's primary, each as an age in microseconds.  */
struct suc_evidence
{
  bool known;            /* a primary was proved, or is listed */
  bool proved;           /* it leads by a proof that still holds */
  bool listed;           /* in the directory, or lapsed with the store */
  bool lapsed;           /* the directory lost it a moment ago */
  bool draining;         /* it leaves as planned */
  bool denied;           /* it answers, and says that it doesn't lead */
  bool unresponsive;     /* it doesn't answer */
  int64_t refused_us;    /* connections are refused for so long */
  int64_t leaderless_us; /* nobody is proved for so long */
  uint32_t candidates;   /* replicas that answer and may be promoted */
};

enum suc_verdict
{
  SUC_KEEP,
  SUC_ASK,    /* this proxy can't reach it: what do the peers see? */
  SUC_REPLACE /* without asking */
};

enum suc_vote
{
  SUC_VOTE_REACHED,
  SUC_VOTE_MISSED,
  SUC_VOTE_UNKNOWN
};

/* How a promotion call ended.  */
enum suc_promoted
{
  SUC_PROMOTED,
  SUC_PROMOTE_REFUSED, /* outdated token, or the instance doesn't run */
  SUC_PROMOTE_LOST     /* no answer: it may still be carried out */
};

struct suc_port;

struct suc_port_ops
{
  /* Ends in suc_claimed.  KNOWN is the revision that the claim stands at.  */
  void (*claim) (struct suc_port *port, const char *service, uint64_t known,
                 const char *instance);
  /* Ends in suc_promoted.  */
  void (*promote) (struct suc_port *port, const char *service,
                   const char *instance, uint64_t token);
  /* Asks JUDGES, a set of names, whether they reach INSTANCE; ends in any
     number of suc_voted.  */
  void (*ask) (struct suc_port *port, const char *service,
               const char *instance, GHashTable *judges);
};

struct suc_port
{
  const struct suc_port_ops *ops;
};

struct suc_options
{
  struct plr *pooler;
  struct suc_port *port;
  struct ctr_set *counters;
  struct ev_log *log;
  const char *vm;
};

struct suc;

struct suc *suc_new (const struct suc_options *options);
void suc_free (struct suc *s);
/* Due every SUC_TICK_US.  VMS is the set of proxies known.  */
#define SUC_TICK_US 40000
void suc_tick (struct suc *s, GHashTable *vms, int64_t now_us);
/* The claim on SERVICE stands at REVISION, taken by VM.  */
struct suc_claim
{
  const char *service;
  const char *vm;
  uint64_t revision;
  bool acts; /* to promote at once; else taken in calm */
};

void suc_note_claim (struct suc *s, const struct suc_claim *claim,
                     int64_t now_us);
/* TOKEN is 0 when the claim was not won; SETTLED: the store did answer.  */
void suc_claimed (struct suc *s, const char *service, uint64_t token,
                  bool settled, int64_t now_us);
void suc_promoted (struct suc *s, const char *service, enum suc_promoted end,
                   int64_t now_us);
/* VM answered an ask.  One that reaches the instance is gone through until
   this proxy reaches it again.  */
void suc_voted (struct suc *s, const char *service, const char *instance,
                const char *vm, enum suc_vote vote, int64_t now_us);
/* The vote of this proxy, for a peer that asks.  */
enum suc_vote suc_vote_on (struct suc *s, const char *service,
                           const char *instance, int64_t now_us);

/* The decisions, for tests.  */
enum suc_verdict suc_judge (const struct suc_evidence *e);
/* The votes on a primary, this proxy's doubt included.  */
struct suc_votes
{
  uint32_t reached;
  uint32_t missed;
  uint32_t voted;   /* of any kind */
  uint32_t proxies; /* that judge the service */
};

/* True when they speak for replacing it.  */
bool suc_count_votes (const struct suc_votes *v);
/* The replica to promote, NULL when there is none.  */
struct svc_instance *suc_choose (const struct svc *s,
                                 const struct svc_instance *primary,
                                 int64_t now_us);

#endif
