/* A caller's session: its values, prepared statements and transaction, and the
   statement that it waits for.  The pooler decides where statements run.  */
#ifndef CB_SESSION_H
#define CB_SESSION_H

#include "uplink.h"

/* Bounds that protect the proxy's memory from one session.  */
#define SES_VALUES_MAX 64
#define SES_PREPARED_MAX 256

/* Prepared shapes of all sessions, shared by what they say.  */
struct ses_shapes;

struct ses_shapes *ses_shapes_new (void);
void ses_shapes_free (struct ses_shapes *shapes);

/* A shape, with the name that it has on upstream connections.  Counted by the
   sessions that hold it; ids are never used again.  */
struct ses_shape
{
  uint32_t id;
  uint32_t holders;
  bool writes;
  char *text;
  char upstream_name[16];
  char *key;
};

enum ses_stage
{
  SES_RESTING, /* no statement under way */
  SES_WAITING, /* for a connection */
  SES_SENT     /* for the upstream */
};

/* The transaction or lone statement under way.  */
struct ses_work
{
  bool transaction;
  bool read_only;
  bool begun;         /* BEGIN was sent on the link */
  bool wrote;         /* a write was accepted in it */
  bool idle_end;      /* it was ended for resting too long */
  bool lost;          /* its connection broke between two statements */
  bool replied;       /* the caller saw a statement of it succeed */
  int64_t arrived_us; /* first byte of it was read before */
  struct svc *svc;    /* NULL until its route is looked up */
  enum dir_read_consistency reads;
  int64_t max_age_us;
  int64_t timeout_us;
  int64_t objective_us;
  uint32_t kind; /* of request, see ovl_find_kind */
};

struct ses
{
  void *tag; /* the adapter's */
  char *database;
  char *relay_to;  /* instance that another proxy reaches, NULL = a caller's */
  struct lp after; /* of its next statement */
  enum stm_state state;
  GHashTable *values; /* NULL until one is set */
  uint64_t values_sum;
  GHashTable *prepared; /* name -> struct ses_shape *; NULL until used */
  struct ses_work work;
  struct ul *link;      /* held for the transaction or statement */
  struct svc *wrote_in; /* where LAST_COMMIT counts */
  struct lp last_commit;
  /* The statement under way.  */
  enum ses_stage stage;
  struct stm statement; /* its texts live in TEXT */
  char *text;
  bool writes;
  bool proving; /* waits for BEGIN's answer before it is sent */
  bool wrapped; /* runs in a transaction of the proxy's own */
  int64_t arrived_us;
  int64_t sent_us;
  int64_t retry_us; /* not tried before */
  uint32_t rank;    /* in the queue */
  int64_t patience_us;
  uint32_t tries;
  uint32_t tries_behind; /* of these, copies that lacked the position */
  const struct svc_instance *avoid; /* lost or refused the last try */
  int64_t rested_us;                /* since when no statement is under way */
  GList node;                       /* in the pooler's list of sessions */
  GList active;                     /* in its list of those under way */
  GList waiting;                    /* in the service's queue */
};

struct ses *ses_new (void *tag, const char *database, int64_t now_us);
void ses_free (struct ses *s, struct ses_shapes *shapes);

/* Copies STATEMENT as the one under way.  */
void ses_take (struct ses *s, const struct stm *statement, int64_t now_us);
/* Forgets it.  */
void ses_rest (struct ses *s, int64_t now_us);

/* Drops values and prepared statements.  */
void ses_reset (struct ses *s, struct ses_shapes *shapes);
/* Answers SET, PREPARE and FORGET from the session alone.  True when it was
   one of these; END then holds the answer.  */
bool ses_run_local (struct ses *s, struct ses_shapes *shapes,
                    const struct stm *statement, struct stm_end *end);
/* The shape that STATEMENT executes, NULL when its name is not prepared.  */
const struct ses_shape *ses_shape_of (const struct ses *s,
                                      const struct stm *statement);

#endif
