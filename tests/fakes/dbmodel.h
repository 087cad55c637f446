/* A database group as the session pooler meets it: one primary, replicas that
   apply later, terms, promotions that roll back, transactions, session values
   and prepared statements.  Time is an argument; the same model serves tests
   on virtual time and the stand-in processes.

   The model judges what it is asked to run: breaches are counted and the first
   is kept as text.  */
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
  char *id; /* of the statement that committed it */
  int64_t at_us;
  int64_t acked_us; /* a caller was told, 0 = not */
};

struct dbm_instance
{
  struct dbm *group;
  uint32_t index;
  char id[32];
  bool primary;
  bool cut; /* receives nothing */
  bool draining;
  int64_t lag_us; /* applies so late */
  GPtrArray *log; /* struct dbm_entry *, owned by the group */
  uint32_t n_connections;
  uint32_t connections_max;
};

/* A connection to an instance.  */
struct dbm_conn
{
  struct dbm_instance *instance;
  enum stm_state state;
  bool plain; /* the transaction needs the lead */
  bool wrote;
  char *owner; /* session whose transaction is open, NULL = the proxy's */
  GPtrArray *writes; /* char *, ids not committed yet */
  GHashTable *values;
  GHashTable *prepared; /* name -> "r" or "w" followed by the shape */
};

/* Who sent a statement, as the test knows it: for the judgement.  */
struct dbm_sender
{
  const char *session;
  bool in_transaction;
  GHashTable *values;    /* that the session was promised, may be NULL */
  const char *shape;     /* of an EXECUTE: "r" or "w" and the shape */
  int64_t first_byte_us; /* of the statement or its transaction */
  int64_t max_age_us;    /* -1: fresh */
  struct logpos own;     /* last commit of the session, if it must be seen */
};

/* Looks up the sender of statement ID; false when nobody sent it.  */
typedef bool dbm_sender_fn (void *arg, const char *id,
                            struct dbm_sender *sender);

struct dbm
{
  uint32_t n;
  struct dbm_instance instances[DBM_INSTANCES_MAX];
  GPtrArray *entries; /* all ever made */
  uint32_t term;
  uint64_t last_token;
  uint32_t promotions;
  uint32_t rolled_back;
  dbm_sender_fn *sender;
  void *arg;
  uint32_t breaches;
  char first_breach[320];
};

struct dbm *dbm_new (const char *prefix, uint32_t n, dbm_sender_fn *sender,
                     void *arg);
void dbm_free (struct dbm *g);
struct dbm_instance *dbm_find (struct dbm *g, const char *id);
struct dbm_instance *dbm_primary (struct dbm *g);
/* True when the promotion was carried out; false when the token is below one
   seen before.  */
bool dbm_promote (struct dbm *g, const char *id, uint64_t token,
                  int64_t now_us);
/* The position that readers of I see, and the last one it has received.  */
struct logpos dbm_applied (const struct dbm_instance *i, int64_t now_us);
struct logpos dbm_received (const struct dbm_instance *i);

struct dbm_conn *dbm_connect (struct dbm_instance *i);
/* Rolls back what is open.  */
void dbm_disconnect (struct dbm_conn *c);
/* Runs STATEMENT.  END's texts live until the next call for the group.  */
void dbm_run (struct dbm_conn *c, struct logpos after,
              const struct stm *statement, struct stm_result *end,
              int64_t now_us);
/* The caller was told that the write of ID committed.  */
void dbm_acknowledged (struct dbm *g, const char *id, int64_t now_us);
/* The caller was told that nothing of ID is kept.  */
void dbm_promised (struct dbm *g, const char *id);
void dbm_breach (struct dbm *g, const char *format, ...) G_GNUC_PRINTF (2, 3);

#endif
