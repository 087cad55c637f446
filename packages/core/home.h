/* Home of database instances.  The home of an instance is the proxy that owns
   the connection pool of the instance, and the execution slots on it, for all
   proxies; the others forward their requests to it.  It schedules them and
   returns a result only once the group has confirmed it.

   Runs on one thread; time is an argument.  A request given to home_submit
   gets exactly one reply, through the reply function.  */
#ifndef CB_HOME_H
#define CB_HOME_H

#include "admit.h"
#include "connpool.h"
#include "monitor.h"

/* This proxy's role for an instance.  */
enum home_role
{
  HOME_NONE,
  HOME_STANDBY, /* opens connections only when it gets requests */
  HOME_ACTIVE   /* keeps connections open and monitors the group */
};

typedef void home_reply_fn (void *arg, const char *from,
                            struct wire_reply *reply);
/* Returns the role of this proxy for instance number INSTANCE of DATABASE.  */
typedef enum home_role home_role_fn (void *arg,
                                     const struct dcl_database *database,
                                     uint32_t instance);

/* Each switch breaks one guarantee.  Tests set them to show that the history
   checker detects it.  */
struct home_unsafe
{
  bool lost_is_not_run; /* a lost result counts as not run */
  bool no_age_check;    /* replicas serve reads at any age */
  bool no_token_check;  /* read-your-writes positions are ignored */
  bool unfenced;        /* promotes without a majority's grants */
};

struct home_options
{
  struct up_port *up;
  struct ctr_set *counters;
  const char *vm;
  uint64_t incarnation;
  const struct qrm_rule *rule;
  home_reply_fn *reply;
  home_role_fn *role;
  void *arg;     /* passed to REPLY and ROLE */
  uint64_t seed; /* of jitter */
  int32_t queue_max;
  int64_t status_interval_ms;
  int64_t probe_timeout_ms;
  int64_t silence_ms; /* an op without a result for so long has failed */
  int64_t transaction_idle_ms;
  int64_t transaction_max_ms;
  bool no_admission; /* without admission control; for measurement only */
  struct home_unsafe unsafe;
};

struct home;

struct home *home_new (const struct home_options *options);
void home_free (struct home *h);
/* Applies the declarations in force.  SET is borrowed until the next call.  */
void home_set_databases (struct home *h, const struct dcl_set *set,
                         int64_t now_us);
/* Determines the role for each instance again, after the membership
   changed.  */
void home_update_roles (struct home *h, int64_t now_us);
/* Takes a reference to REQUEST.  FROM names the peer to reply to, "" for
   this process.  */
void home_submit (struct home *h, const char *from,
                  struct wire_request *request, int64_t now_us);
void home_tick (struct home *h, int64_t now_us, int64_t wall_ms);
/* Fills VIEW with what this proxy knows of the group; it goes with each reply.
   All zero when the group is not monitored.  */
void home_fill_view (const struct home *h, const char *database,
                     struct wire_view *view, int64_t now_us);
/* Refuses new interactive transactions; all other work goes on.  */
void home_drain (struct home *h);
/* Number of requests in flight and of open interactive transactions.  */
uint32_t home_count_busy (const struct home *h);
/* Number of instances this proxy is the active home of.  */
uint32_t home_count_active (const struct home *h);
/* Appends the state of each monitored group, as JSON.  */
void home_write_status (const struct home *h, GString *out, int64_t now_us);

/* Memory of one group, in bytes, for capacity planning.  */
size_t home_group_bytes (void);

/* Events of the upstream port (upport.h).  */
void home_opened (struct home *h, uint64_t conn, bool ok, int64_t now_us);
void home_closed (struct home *h, uint64_t conn, int64_t now_us);
void home_done (struct home *h, uint64_t conn, const struct up_result *result,
                int64_t now_us);

#endif
