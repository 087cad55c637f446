/* The home proxy's side: owns the connections and slots of some instances,
   schedules requests on them and answers only what the group has confirmed.

   One thread; time is an argument.  A request given to home_submit gets
   exactly one reply through the reply function.  */
#ifndef CB_HOME_H
#define CB_HOME_H

#include "admit.h"
#include "connpool.h"
#include "monitor.h"

/* This proxy's part for an instance.  */
enum home_role
{
  HOME_NONE,
  HOME_STANDBY, /* opens connections only when asked to work */
  HOME_ACTIVE   /* keeps connections warm and watches the group */
};

typedef void home_reply_fn (void *arg, const char *from,
                            struct wire_reply *reply);
/* The role of this proxy for an instance, and its rank among the group's
   homes.  */
typedef enum home_role home_role_fn (void *arg,
                                     const struct dcl_database *database,
                                     uint32_t instance);

/* Switches that break a promise each; tests set them to show that the checker
   sees it.  */
struct home_unsafe
{
  bool no_tombstone;   /* a lost answer is called not run without proof */
  bool no_age_check;   /* replicas serve whatever they hold */
  bool no_token_check; /* read-your-writes floors are ignored */
  bool unfenced;       /* promotion without a majority's grant */
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
  void *arg;     /* of both functions */
  uint64_t seed; /* of jitter */
  int32_t queue_max;
  int64_t status_interval_ms;
  int64_t probe_timeout_ms;
  int64_t silence_ms; /* an op without an answer for so long is lost */
  int64_t transaction_idle_ms;
  int64_t transaction_max_ms;
  bool no_admission; /* for measurement only */
  struct home_unsafe unsafe;
};

struct home;

struct home *home_new (const struct home_options *options);
void home_free (struct home *h);
/* Takes the declarations in force, which must outlive their use: until the
   next call.  */
void home_set_databases (struct home *h, const struct dcl_set *set,
                         int64_t now_us);
/* Re-asks the role of each instance, after membership changed.  */
void home_update_roles (struct home *h, int64_t now_us);
/* Takes a reference to REQUEST.  FROM names the peer to answer, "" for this
   process.  */
void home_submit (struct home *h, const char *from,
                  struct wire_request *request, int64_t now_us);
void home_tick (struct home *h, int64_t now_us, int64_t wall_ms);
void home_fill_view (const struct home *h, const char *database,
                     struct wire_view *view, int64_t now_us);
/* Stops taking new work; what runs goes on.  */
void home_drain (struct home *h);
/* Requests in flight and open conversations.  */
uint32_t home_count_busy (const struct home *h);
/* Number of instances this proxy is the active home of.  */
uint32_t home_count_active (const struct home *h);
/* Appends what this proxy believes of each group it watches, as JSON.  */
void home_write_status (const struct home *h, GString *out, int64_t now_us);

/* Memory of one watched group, in bytes, for the capacity page.  */
size_t home_group_bytes (void);

/* Port events.  */
void home_opened (struct home *h, uint64_t conn, bool ok, int64_t now_us);
void home_closed (struct home *h, uint64_t conn, int64_t now_us);
void home_done (struct home *h, uint64_t conn, const struct up_result *result,
                int64_t now_us);

#endif
