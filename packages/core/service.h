/* What one proxy knows about a service, which is one database group of a
   primary and its replicas: the instances and their load, which of them is
   primary, and the positions of its log over time.

   Consistency guarantees rest only on the instances' own replies.  Each is
   recorded with the local time at which its request was sent, so that it
   describes a moment after that time.  Wall clocks and what other proxies
   believe are not used.  */
#ifndef CB_SERVICE_H
#define CB_SERVICE_H

#include "dir.h"
#include "overload.h"
#include "statement.h"
#include "vmtable.h"

/* The largest max_age in use, divided by SVC_SAMPLE_GAP_US, must fit.  */
#define SVC_SAMPLES 96
/* Of samples closer together than this only the newest is kept.  */
#define SVC_SAMPLE_GAP_US 50000

struct svc;

/* No limit on the statements that run at once.  */
#define SVC_RUNNING_UNLIMITED UINT32_MAX

/* Limits of this proxy at one instance.  */
struct svc_limits
{
  uint32_t max_running; /* above it no further statement is started */
  uint32_t fair_share;  /* connections that may stay open */
  uint32_t max_links;   /* connections allowed for a short while */
};

/* What an instance last said of its log.  The times are when the request was
   sent, 0 = never.  */
struct svc_report
{
  int64_t at_us;           /* the status, or the reply to any command */
  int64_t paused_us;       /* a pause that is in force */
  struct logpos paused_at; /* received when it was paused */
  int64_t resumed_us;      /* a resume */
  bool refuses_pause;      /* it does not know the command */
  bool primary;            /* its role */
  uint32_t term;           /* the newest that it has seen */
  struct logpos received;  /* may be ahead of what readers see */
};

/* A command that waits for an idle link.  */
struct svc_command
{
  enum stm_kind kind;
  uint32_t term;
  bool wanted;
  int64_t until_us; /* links are kept for it until then */
};

struct svc_instance
{
  struct svc *svc;
  struct dir_instance *entry; /* owned */
  int64_t missing_since_us;   /* its entry is gone since, 0 = registered */
  int64_t draining_since_us;  /* its entry says draining since, 0 = not */
  struct vmt_homes homes;     /* proxies that hold connections to it */
  char *last_account;         /* of the last direct link, NULL = none */
  char *relay_peer;           /* a peer that reaches it, NULL = none known */
  int64_t relay_until_us;     /* RELAY_PEER is used until then */
  struct svc_limits limits;   /* of this proxy, computed from HOMES */
  GPtrArray *links;           /* struct ul *, owned by the pooler */
  uint32_t n_opening;
  uint32_t n_in_use;     /* links with a statement or transaction */
  int64_t open_after_us; /* no connection is opened before */
  int64_t open_backoff_us;
  bool yield_next_link; /* closes the next idle link, for another proxy */
  /* Since when it refuses connections at its limit while this proxy has
     none, 0 = it does not.  */
  int64_t out_of_links_since_us;
  int64_t yield_requested_us; /* others were last requested to close one */
  int64_t heard_us;           /* last byte or accepted connection from it */
  int64_t refused_since_us;   /* it refuses connections since, 0 = not */
  /* Since when a probe is unanswered, 0 = none is.  A probe is a request that
     needs no slot, or a new connection.  */
  int64_t probe_sent_us;
  bool unresponsive;     /* nothing was heard for too long after a probe */
  int64_t round_trip_us; /* smoothed, of requests that need no slot */
  int64_t exec_us;       /* smoothed, of statements, without the round trip */
  int64_t busy_until_us; /* it refused statements for overload */
  struct ovl_throughput throughput; /* of the queue of statements for it */
  struct logpos behind_position;    /* it had not reached this position ... */
  int64_t behind_until_us;          /* ... and is not used for it before */
  int64_t behind_backoff_us;        /* that wait, 0 = it does not lag */
  struct logpos position;           /* the highest it has reported */
  struct svc_report report;         /* of its log, from its status */
  struct svc_command command;       /* to be sent on the next idle link */
  int64_t ineligible_until_us; /* not promoted before: a promotion failed */
  int64_t confirmed_us;   /* the last leadership check it passed was sent */
  int64_t not_primary_us; /* it last reported that it is not primary */
};

/* Everything acknowledged before SENT_US is at or below POSITION.  */
struct svc_sample
{
  int64_t sent_us;
  struct logpos position;
};

struct svc
{
  char *name;
  int32_t connections_max;
  int32_t sync_replicas;        /* see struct dir_service */
  bool by_account;              /* each connection belongs to one account */
  GPtrArray *instances;         /* struct svc_instance * */
  struct svc_instance *primary; /* the confirmed one, NULL = unknown */
  int64_t no_primary_since_us;  /* 0 while one is confirmed */
  /* The last promotion that is known began a term of at least TERM_FLOOR, and
     the promoted instance held LEAD_START then, if that is known.  */
  uint32_t term_floor;
  struct logpos lead_start;
  struct svc_sample samples[SVC_SAMPLES]; /* oldest first */
  uint32_t n_samples;
  GQueue waiting;             /* struct ses *, by rank and arrival */
  GHashTable *voters;         /* names, see plr_voters; NULL: all proxies */
  uint64_t voters_generation; /* of the proxies that VOTERS is chosen from */
  int64_t last_used_us;       /* by a session; 0 = never, nor configured */
  int64_t last_probe_us;      /* to find or confirm the primary */
  int64_t pressure_logged_us; /* the waiting statements were last logged */
  int64_t drain_grace_us;     /* a draining primary stays in use so long */
};

struct svc *svc_new (const char *name);
/* Frees the instances, which must have no links left.  */
void svc_free (struct svc *s);
struct svc_instance *svc_find (const struct svc *s, const char *id);
struct svc_instance *svc_add (struct svc *s, const struct dir_instance *entry);
/* Removes and frees INSTANCE, which must have no links left and must not be
   the primary.  */
void svc_remove (struct svc *s, struct svc_instance *instance);

/* INSTANCE was primary at some moment after SENT_US, with its log at POSITION.
   Returns true when this changes the confirmed primary.  */
bool svc_note_primary (struct svc_instance *instance, int64_t sent_us,
                       struct logpos position);
/* No instance is confirmed as primary any more.  */
void svc_clear_primary (struct svc *s, int64_t now_us);
/* INSTANCE reported that it is not primary.  Returns true when it was the
   confirmed one.  */
bool svc_note_not_primary (struct svc_instance *instance, int64_t now_us);
/* INSTANCE reported POSITION.  */
void svc_note_position (struct svc_instance *instance, struct logpos position);
/* A request that needs no slot, sent at SENT_US, got its reply.  */
void svc_note_round_trip (struct svc_instance *instance, int64_t sent_us,
                          int64_t now_us);
/* A statement took TOOK_US from when it was sent to its reply.  */
void svc_note_exec_time (struct svc_instance *instance, int64_t took_us);

/* Sets MIN_POSITION to the lowest position at which an instance shows
   everything acknowledged up to SINCE_US.  False when no leadership check sent
   at or after SINCE_US gave a position.  */
bool svc_min_position_since (const struct svc *s, int64_t since_us,
                             struct logpos *min_position);
/* When the last leadership check that the primary passed was sent, 0 = no
   primary is confirmed.  */
int64_t svc_confirmed_us (const struct svc *s);

/* Where to send what needs the primary: the confirmed one, else the one that
   the directory names, whose reply will confirm it or not.  NULL when neither
   is known.  */
struct svc_instance *svc_presumed_primary (const struct svc *s,
                                           int64_t now_us);

/* True when new statements may be sent to INSTANCE: it is registered or its
   entry has just lapsed, and it is neither draining nor unresponsive.  */
bool svc_is_usable (const struct svc_instance *instance, int64_t now_us);
/* True when INSTANCE is responsive and has not been draining or without an
   entry for longer than DRAIN_GRACE_US, so that it may stay primary until the
   new one takes over.  */
bool svc_may_stay_primary (const struct svc_instance *instance,
                           int64_t now_us);
/* The entry of INSTANCE lapsed some time ago, it is not known when.  */
void svc_note_lapsed (struct svc_instance *instance, int64_t now_us);
/* True when the entry of INSTANCE lapsed a short while ago, which may be due
   to an outage of the store rather than of the instance.  */
bool svc_lapsed_recently (const struct svc_instance *instance, int64_t now_us);

#endif
