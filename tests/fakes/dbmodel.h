/* Model of a database group as the session pooler sees it: one primary,
   replicas that apply its log later, terms, promotions that roll back commits,
   transactions, session values and prepared statements.  Time is an argument,
   so the same model serves tests on virtual time and the fake server
   processes.

   The model checks every statement that it runs: it counts violations of the
   consistency guarantees and keeps the text of the first one.  */
#ifndef CB_DBMODEL_H
#define CB_DBMODEL_H

#include "statement.h"
#include <glib.h>

#define DBM_INSTANCES_MAX 7

struct dbm;

/* A committed write.  */
struct dbm_entry
{
  struct logpos position;
  char *id; /* of the write statement */
  int64_t at_us;
  int64_t acked_us; /* when a caller was told, 0 = not told */
};

struct dbm_instance
{
  struct dbm *group;
  uint32_t index;
  char id[32];
  bool primary;
  bool isolated; /* receives no log entries */
  bool paused;   /* was told to receive none */
  bool knows_pause;
  uint32_t pauses_to_fail; /* number of the next that fail */
  bool draining;
  int64_t lag_us; /* added to the replication delay */
  GPtrArray *log; /* struct dbm_entry *, owned by the group */
  uint32_t n_connections;
  uint32_t connections_max;
};

/* A connection to an instance.  */
struct dbm_conn
{
  struct dbm_instance *instance;
  enum stm_state state;
  bool needs_primary; /* begun by a plain BEGIN: runs on a primary only */
  bool wrote;
  /* The last commit was received by too few replicas: no reply is sent.  */
  bool unacknowledged;
  char *owner;       /* session whose transaction is open, NULL if it is the
                        proxy's own */
  GPtrArray *writes; /* char *, ids of writes not committed yet */
  GHashTable *values;
  GHashTable *prepared; /* name -> "r" (read) or "w" (write) and the text */
};

/* What the test knows about the sender of a statement.  The model checks the
   statement against it.  */
struct dbm_sender
{
  const char *session;
  bool in_transaction;
  GHashTable *values;        /* session values it must run with, may be NULL */
  const char *prepared_text; /* of an EXECUTE: "r" or "w" and the text */
  int64_t first_byte_us;    /* when the statement or its transaction arrived */
  int64_t max_age_us;       /* of a read; -1: no staleness allowed */
  struct logpos own_commit; /* commit that the read must see, if any */
};

/* Looks up the sender of the statement ID; false when no session sent it.  */
typedef bool dbm_find_sender_fn (void *arg, const char *id,
                                 struct dbm_sender *sender);

struct dbm
{
  uint32_t n;
  struct dbm_instance instances[DBM_INSTANCES_MAX];
  GPtrArray *entries; /* struct dbm_entry *, all ever committed */
  uint32_t term;
  /* Number of replicas that must receive a commit before it is acknowledged.
     If positive, a promotion that loses an acknowledged one is a violation. */
  uint32_t sync_replicas;
  uint64_t last_fencing_token;
  bool ignores_fences; /* promotions with a lower token are carried out; to
                          request one is a violation, see dbm_note_token */
  uint32_t promotions;
  uint32_t rolled_back; /* commits lost by promotions */
  dbm_find_sender_fn *find_sender;
  void *arg;
  uint32_t violations;
  char first_violation[320];
};

/* A group of N instances with ids PREFIX-0, PREFIX-1, ...; the first is the
   primary.  Without FIND_SENDER statements aren't checked.  */
struct dbm *dbm_new (const char *prefix, uint32_t n,
                     dbm_find_sender_fn *find_sender, void *arg);
void dbm_free (struct dbm *g);
struct dbm_instance *dbm_find (struct dbm *g, const char *id);
struct dbm_instance *dbm_primary (struct dbm *g);
/* A promotion with TOKEN is requested.  */
void dbm_note_token (struct dbm *g, uint64_t token);
/* Makes instance ID the primary.  False when there is none of that name or
   TOKEN is lower than one seen before.  */
bool dbm_promote (struct dbm *g, const char *id, uint64_t token,
                  int64_t now_us);
/* The position that readers of I see, and the last one that I has
   received.  */
struct logpos dbm_applied (const struct dbm_instance *i, int64_t now_us);
struct logpos dbm_received (const struct dbm_instance *i);

struct dbm_conn *dbm_connect (struct dbm_instance *i);
/* Rolls back an open transaction and frees C.  */
void dbm_disconnect (struct dbm_conn *c);
/* Runs STATEMENT; fails it with SQC_BEHIND where readers of the instance don't
   see the commit AFTER, if one is given.  The strings in RESULT are valid
   until the next call.  */
void dbm_run (struct dbm_conn *c, struct logpos after,
              const struct stm *statement, struct stm_result *result,
              int64_t now_us);
/* Records that the caller was told that the write ID is committed.  */
void dbm_report_committed (struct dbm *g, const char *id, int64_t now_us);
/* Records that the caller was told that the write ID took no effect; a
   violation if it is committed.  */
void dbm_report_not_committed (struct dbm *g, const char *id);
/* Counts a violation; the first one's text is kept.  */
void dbm_record_violation (struct dbm *g, const char *format, ...)
    G_GNUC_PRINTF (2, 3);

#endif
