/* Model of a database group for tests: instances with terms and logs,
   asynchronous replication with settable lag, and the faults a group can have.
   One thread; time is an argument.  */
#ifndef FAKE_GROUP_H
#define FAKE_GROUP_H

#include "quorum.h"

/* One written row; VALUE NULL deletes it.  */
struct grp_write
{
  char *key; /* table and key, separated by a slash */
  char *value;
};

/* A log entry, shared by the instances that hold it.  */
struct grp_entry
{
  int32_t refs;
  uint64_t term;
  int64_t born_us;
  uint32_t n;
  struct grp_write *writes;
};

struct grp_instance
{
  enum qrm_role role;
  uint64_t granted_term;
  char granted_to[128];
  uint64_t term;
  uint64_t term_start;
  uint32_t source;    /* instance followed */
  bool matched;       /* its log is known to match its source's */
  GPtrArray *log;     /* struct grp_entry * */
  GHashTable *data;   /* key -> value, the log applied */
  int64_t contact_us; /* when it last heard its source */
  int64_t lag_us;
  bool down;     /* the process is dead */
  bool paused;   /* it runs nothing, but its sockets stay */
  bool isolated; /* cut off from its siblings */
};

struct grp
{
  uint32_t n;
  int64_t delay_us; /* one way between instances */
  struct grp_instance instances[DCL_INSTANCES_MAX];
};

enum grp_op_kind
{
  GRP_SET,
  GRP_INSERT, /* fails when the key exists */
  GRP_ADD,    /* adds to a number; a missing one is 0 */
  GRP_DELETE_BELOW
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
  uint64_t guard_term; /* 0: not guarded */
  GPtrArray *ops;      /* struct grp_op * */
};

void grp_init (struct grp *g, uint32_t n, int64_t delay_us);
void grp_free (struct grp *g);
/* Replicates what is due.  */
void grp_tick (struct grp *g, int64_t now_us);
void grp_status (const struct grp *g, uint32_t i, int64_t now_us,
                 struct qrm_status *out);
/* False when refused.  */
bool grp_fence (struct grp *g, uint32_t i, uint64_t term, const char *driver);
bool grp_promote (struct grp *g, uint32_t i, uint64_t term, const char *driver,
                  int64_t now_us);
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
/* Commits and resets the session.  NULL when done, else an SQLSTATE: nothing
   was written then.  */
const char *grp_commit (struct grp_session *s, int64_t now_us);

#endif
