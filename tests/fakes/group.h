/* Model of a database group for tests of the HTTP path: instances with terms
   and logs, asynchronous replication with a settable lag, and faults.  Not
   thread-safe; time is an argument.  */
#ifndef FAKE_GROUP_H
#define FAKE_GROUP_H

#include "quorum.h"

/* A write of one row; a NULL VALUE deletes it.  */
struct grp_write
{
  char *key; /* table and key, separated by a slash */
  char *value;
};

/* A log entry, shared by the instances that hold it.  */
struct grp_entry
{
  int32_t refs; /* logs that hold it */
  uint64_t term;
  int64_t created_us; /* when the primary appended it */
  uint32_t n;
  struct grp_write *writes;
};

struct grp_instance
{
  enum qrm_role role;
  uint64_t granted_term; /* highest term it was fenced for or follows */
  char granted_to[128];  /* failover coordinator that fenced it */
  uint64_t term;
  uint64_t term_start;     /* log length when the term began */
  uint32_t source;         /* instance that it replicates from */
  bool log_matched;        /* its log is a prefix of its source's */
  GPtrArray *log;          /* struct grp_entry * */
  GHashTable *data;        /* key -> value, result of the log */
  int64_t last_contact_us; /* when it last had contact with its source */
  int64_t lag_us;          /* added to the replication delay */
  bool down;               /* the process is dead */
  bool paused;             /* runs nothing, but its sockets stay open */
  bool isolated;           /* cut off from the other instances */
};

struct grp
{
  uint32_t n;
  int64_t delay_us; /* one-way latency between instances */
  struct grp_instance instances[DCL_INSTANCES_MAX];
};

enum grp_op_kind
{
  GRP_SET,
  GRP_INSERT,      /* fails when the key exists */
  GRP_ADD,         /* adds to a number; a missing one counts as 0 */
  GRP_DELETE_BELOW /* deletes the table's keys that sort before the key */
};

struct grp_op
{
  enum grp_op_kind kind;
  char *key;
  char *value;
};

/* A connection's transaction.  */
struct grp_session
{
  struct grp *group;
  uint32_t instance;
  bool open;
  bool read_only;
  bool failed;
  uint64_t guard_term; /* term that the guard has checked, 0 if none */
  GPtrArray *ops;      /* struct grp_op * */
};

void grp_init (struct grp *g, uint32_t n, int64_t delay_us);
void grp_free (struct grp *g);
/* Replicates the log entries whose delay has passed.  */
void grp_tick (struct grp *g, int64_t now_us);
void grp_status (const struct grp *g, uint32_t i, int64_t now_us,
                 struct qrm_status *out);
/* Steps of a failover.  Fencing grants TERM to FAILOVER_COORDINATOR and stops
   the instance's writes; promoting needs that grant.  Each returns false when
   the instance refuses: the term is outdated or granted to another one.  */
bool grp_fence (struct grp *g, uint32_t i, uint64_t term,
                const char *failover_coordinator);
bool grp_promote (struct grp *g, uint32_t i, uint64_t term,
                  const char *failover_coordinator, int64_t now_us);
bool grp_follow (struct grp *g, uint32_t i, uint64_t term, uint32_t source,
                 int64_t now_us);
void grp_kill (struct grp *g, uint32_t i);
void grp_restart (struct grp *g, uint32_t i, int64_t now_us);
const char *grp_read (const struct grp *g, uint32_t i, const char *key);

void grp_session_init (struct grp_session *s, struct grp *g, uint32_t i);
void grp_session_reset (struct grp_session *s);
void grp_session_free (struct grp_session *s);
void grp_session_add (struct grp_session *s, enum grp_op_kind kind,
                      const char *key, const char *value);
/* Commits and resets the session.  Returns NULL on success, else an SQLSTATE,
   and then nothing was written.  */
const char *grp_commit (struct grp_session *s, int64_t now_us);

#endif
