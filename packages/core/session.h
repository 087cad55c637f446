/* A caller's session: its session values, prepared statements and transaction,
   and the statement under way.  The pooler decides where statements run.  */
#ifndef CB_SESSION_H
#define CB_SESSION_H

#include "uplink.h"

/* Limits of one session's use of the proxy's memory.  */
#define SES_VALUES_MAX 64
#define SES_PREPARED_MAX 256
/* Texts that a session may keep while the memory for them is used up.  */
#define SES_KEPT_SMALL_BYTES (16 * 1024)

/* The prepared statements of all sessions; equal ones are shared.  */
struct ses_prepared_table;

struct ses_prepared_table *ses_prepared_table_new (void);
/* Limits the memory for the prepared statements and the session values of all
   sessions.  Above it only sessions that use little may add some.  */
void ses_prepared_table_set_max (struct ses_prepared_table *table,
                                 size_t max_bytes);
void ses_prepared_table_free (struct ses_prepared_table *table);

/* A prepared statement.  It is counted by the sessions that use it; ids are
   never reused, so that upstream connections can be compared by id.  */
struct ses_prepared
{
  uint32_t id;
  uint32_t refcount;
  bool writes;
  char *text;
  char upstream_name[16]; /* its name on upstream connections */
  char *key;              /* in the table */
};

enum ses_stage
{
  SES_IDLE,    /* no statement under way */
  SES_HELD,    /* waits until the limit of its account admits it */
  SES_WAITING, /* queued for a connection */
  SES_SENT     /* waits for the upstream's reply */
};

/* The transaction, or statement outside one, under way.  */
struct ses_work
{
  bool transaction;
  bool read_only;
  bool begun;         /* BEGIN was sent on the link */
  bool wrote;         /* a write was accepted in it */
  bool idle_timeout;  /* it was ended because it was idle too long */
  bool link_lost;     /* its connection was lost between statements */
  bool replied;       /* a statement of it was reported as succeeded */
  bool admitted;      /* the limit of its account admitted it */
  int64_t arrived_us; /* taken right after its first byte was read */
  struct svc *svc;    /* NULL until the route is looked up */
  enum dir_read_consistency reads;
  int64_t max_age_us;
  int64_t timeout_us;
  int64_t objective_us;
  bool kind_known;       /* REQUEST_KIND is valid */
  uint32_t request_kind; /* see ovl_find_kind */
};

struct ses
{
  void *tag;            /* opaque, owned by the adapter */
  char *database;       /* of a relay session: the service */
  char *relay_instance; /* NULL = not a relay session */
  bool has_key;         /* KEY is valid: the caller sent one */
  struct acc_digest key;
  char *account; /* of the work under way, or the last one; NULL = none */
  struct logpos min_position; /* required for its next statement */
  enum stm_state state;
  GHashTable *values;     /* name -> value, NULL until one is set */
  uint64_t values_digest; /* their digest, see ul_value_digest */
  GHashTable *prepared;   /* name -> struct ses_prepared *, NULL until used */
  size_t kept_bytes;      /* of the texts of VALUES and PREPARED */
  struct ses_work work;
  struct ul *link; /* held for the transaction or statement, else NULL */
  struct svc *last_commit_svc; /* whose log LAST_COMMIT refers to */
  struct logpos last_commit;
  /* The statement under way.  */
  enum ses_stage stage;
  struct stm statement; /* its texts point into TEXT */
  char *text;
  bool writes;
  bool awaits_begin;      /* sent once the reply to BEGIN has come */
  bool proxy_transaction; /* runs in a transaction that the proxy opened */
  int64_t arrived_us;
  int64_t sent_us;        /* of the last try */
  int64_t first_sent_us;  /* of the first try, 0 = not sent yet */
  int64_t retry_after_us; /* earliest time of the next try */
  uint32_t rank;          /* in the queue, lowest first; see ovl_rank */
  int64_t max_wait_us;    /* in the queue, 0 = no limit but the timeout */
  uint32_t tries;
  uint32_t tries_lost;   /* of these, given up because the reply was overdue */
  uint32_t tries_behind; /* of these, on replicas that lacked the position */
  const struct svc_instance *avoid; /* failed the last try */
  int64_t idle_since_us;            /* when the last statement ended */
  GList node;                       /* in plr.sessions */
  GList active_node;                /* in plr.active */
  GList waiting_node;               /* in svc.waiting or plr.held */
};

struct ses *ses_new (void *tag, const char *database, int64_t now_us);
void ses_free (struct ses *s, struct ses_prepared_table *table);

/* Copies STATEMENT as the one under way and resets its retry state.  */
void ses_set_statement (struct ses *s, const struct stm *statement,
                        int64_t now_us);
/* Sets the account, which is copied.  */
void ses_set_account (struct ses *s, const char *account);
/* Ends the statement under way; S becomes idle.  */
void ses_clear_statement (struct ses *s, int64_t now_us);

/* Drops the session values and prepared statements.  */
void ses_reset (struct ses *s, struct ses_prepared_table *table);
/* Runs SET, PREPARE and DEALLOCATE, which need no upstream.  Returns true if
   STATEMENT is one of these, with its outcome in RESULT.  */
bool ses_run_local (struct ses *s, struct ses_prepared_table *table,
                    const struct stm *statement, struct stm_result *result);
/* Returns the prepared statement that STATEMENT executes, NULL when its name
   is not prepared.  */
const struct ses_prepared *ses_find_prepared (const struct ses *s,
                                              const struct stm *statement);

#endif
