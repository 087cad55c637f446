/* What one proxy knows about a database group: its instances, who leads, how
   far the log stood when, and how loaded each instance is.

   Everything that a promise rests on comes from the instances' own answers,
   each with the local time its question was sent: an answer speaks of a moment
   after that time.  No wall clock and no belief of another proxy is used.  */
#ifndef CB_SVC_H
#define CB_SVC_H

#include "dir.h"
#include "overload.h"
#include "vmtable.h"
#include "stm.h"

/* The largest age asked for divided by the gap fits into the ring.  */
#define SVC_SAMPLES 96
/* Samples closer together than this replace one another.  */
#define SVC_SAMPLE_GAP_US 50000

struct svc;

/* No limit to the statements that run at once.  */
#define SVC_RUNNING_ANY UINT32_MAX

/* How many connections this VM may have to one instance.  */
struct svc_limits
{
  uint32_t running; /* statements sent there at once by new work */
  uint32_t share;   /* kept open */
  uint32_t most;    /* for a short while */
};

/* One instance.  */
struct svc_instance
{
  struct svc *svc;
  struct dir_instance *entry; /* owned */
  int64_t missing_since_us;   /* the directory lost it then, 0 = listed */
  int64_t draining_since_us;  /* it was first listed as draining, 0 = not */
  struct vmt_homes homes;     /* who holds connections to it */
  char *helper;               /* proxy that reaches it, NULL = none known */
  int64_t detour_until_us;    /* goes through the helper until then */
  struct svc_limits limits;   /* of this proxy, by the homes */
  GPtrArray *links;           /* struct ul *, owned by the pooler */
  uint32_t n_opening;
  uint32_t n_in_use;     /* links with a statement or transaction */
  int64_t open_after_us; /* no new connection before */
  int64_t open_backoff_us;
  bool yielding;          /* gives the next resting connection back */
  int64_t starved_us;     /* full, while this proxy has no connection */
  int64_t yield_asked_us; /* others were last asked for one */
  int64_t heard_us;       /* last byte or accepted connection */
  int64_t refused_us;     /* connections are refused since, 0 = not */
  int64_t question_us;    /* sent then, free of queues, unanswered; 0 = none */
  bool unresponsive;      /* nothing was heard for too long after a question */
  int64_t round_trip_us;  /* smoothed, of questions free of queues */
  int64_t work_us;        /* smoothed, of statements, without the round trip */
  int64_t busy_until_us;  /* it shed load */
  struct ovl_flow flow;   /* of statements that waited for it */
  struct lp behind;       /* it lacked this position ... */
  int64_t behind_until_us; /* ... and isn't asked for it before */
  int64_t behind_wait_us;  /* that wait, 0 = it is abreast */
  struct lp position;      /* highest it has shown */
  struct lp received;      /* by its status, for the choice of a successor */
  uint32_t status_term;    /* its term by the same */
  int64_t unfit_until_us;  /* its promotion failed */
  int64_t led_us;          /* question of the last proof that it leads */
  int64_t denied_us;       /* when it last said that it doesn't lead */
};

/* At ASKED_US everything acknowledged so far stood at or below POSITION.  */
struct svc_sample
{
  int64_t asked_us;
  struct lp position;
};

struct svc
{
  char *name;
  int32_t connections_max;
  GPtrArray *instances;        /* struct svc_instance * */
  struct svc_instance *leader; /* by the newest proof, NULL = unknown */
  int64_t leaderless_us;       /* since then; 0 while a leader is known */
  struct svc_sample samples[SVC_SAMPLES]; /* oldest first */
  uint32_t n_samples;
  GQueue waiting;             /* struct ses *, by rank and arrival */
  GHashTable *judges;         /* names, see plr_judges; NULL: all proxies */
  uint64_t judges_generation; /* of the proxies, when they were chosen */
  int64_t wanted_us;          /* last time a session used it */
  int64_t probed_us;          /* last question for the lead */
  int64_t pressure_us;        /* waiting was logged then */
  int64_t leave_us; /* an instance that leaves may lead on for so long */
};

struct svc *svc_new (const char *name);
/* Frees the instances, which must have no links left.  */
void svc_free (struct svc *s);
struct svc_instance *svc_find (const struct svc *s, const char *id);
struct svc_instance *svc_add (struct svc *s, const struct dir_instance *entry);
/* Removes and frees INSTANCE, which must have no links left nor lead.  */
void svc_remove (struct svc *s, struct svc_instance *instance);

/* INSTANCE led at some moment after ASKED_US, with its log at POSITION.
   Returns true when this changed who leads.  */
bool svc_note_lead (struct svc_instance *instance, int64_t asked_us,
                    struct lp position);
/* Nobody is known to lead any more.  */
void svc_lose_leader (struct svc *s, int64_t now_us);
/* INSTANCE said that it doesn't lead.  Returns true when it was thought to. */
bool svc_note_denied (struct svc_instance *instance, int64_t now_us);
/* INSTANCE showed POSITION.  */
void svc_note_position (struct svc_instance *instance, struct lp position);
/* A question free of queues, sent at ASKED_US, was answered.  */
void svc_note_round_trip (struct svc_instance *instance, int64_t asked_us,
                          int64_t now_us);
/* A statement took TOOK_US from its sending to its answer.  */
void svc_note_work (struct svc_instance *instance, int64_t took_us);

/* The lowest position that a copy must hold to show everything acknowledged
   up to SINCE_US.  False when no proof reaches that far.  */
bool svc_floor_since (const struct svc *s, int64_t since_us, struct lp *floor);
/* The question time of the newest proof, 0 = none.  */
int64_t svc_proved_us (const struct svc *s);

/* Where to send what needs the primary: the proved one, else the one that the
   directory calls primary, whose answer will prove or deny it.  NULL when
   neither is known.  */
struct svc_instance *svc_presumed_leader (const struct svc *s, int64_t now_us);

/* True when new work may be sent to INSTANCE: it is listed, not draining and
   not unresponsive.  */
bool svc_is_usable (const struct svc_instance *instance, int64_t now_us);
/* True when INSTANCE leaves but may still lead until its successor does.  */
bool svc_may_lead_on (const struct svc_instance *instance, int64_t now_us);
/* True while the directory's loss of INSTANCE may be one of the store.  */
bool svc_is_lapsed (const struct svc_instance *instance, int64_t now_us);

#endif
