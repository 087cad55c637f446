/* The session pooler multiplexes callers' sessions onto a limited number of
   upstream connections.  It chooses the instance for each statement, retries
   where that is safe, and replies to every statement exactly once.

   Single-threaded; the caller passes the current time (NOW_US, monotonic
   microseconds) to every function that needs it.  */
#ifndef CB_POOLER_H
#define CB_POOLER_H

#include "accountlimits.h"
#include "event.h"
#include "reason.h"
#include "session.h"
#include "usage.h"

struct plr_port;

struct plr_port_ops
{
  /* Delivers the result of the statement that the session with TAG waits
     for.  */
  void (*reply) (struct plr_port *port, void *tag,
                 const struct stm_result *result);
  /* Asks the adapter to close an idle session after its pending replies are
     sent.  The adapter confirms with plr_close_session.  */
  void (*close_session) (struct plr_port *port, void *tag);
};

struct plr_port
{
  const struct plr_port_ops *ops;
};

/* Client accounts, see packages/accounts.  */
struct plr_account_options
{
  bool required; /* callers need an account whatever the configuration says */
  struct qgr_terms terms;
  int64_t entry_ttl_us; /* see struct qgr_options */
  int64_t started_us;   /* start of this process */
};

struct plr_options
{
  struct plr_port *callers;
  struct ul_port *upstreams;
  struct ctr_set *counters;
  struct ev_log *log;      /* NULL: no log */
  const char *vm;          /* name of this proxy */
  const char *data_centre; /* of this proxy */
  GHashTable *regions;     /* data centre -> region, borrowed */
  int64_t drain_grace_us;  /* how long a draining primary stays in use */
  struct plr_account_options accounts;
};

/* Requests the other proxies that hold connections to INSTANCE (HOLDERS, or
   all proxies when NULL) to close one each, if they have more than their
   share.  */
typedef void plr_request_yield_fn (void *arg, const char *service,
                                   const char *instance,
                                   const struct vmt_homes *holders);

struct plr;

struct plr *plr_new (const struct plr_options *options);
void plr_free (struct plr *p);

/* Directory.  */

/* Takes ownership of CONFIG.  Applies it if its version is newer than the
   current one, else frees it.  Returns whether it was applied.  */
bool plr_configure (struct plr *p, struct dir_config *config, int64_t now_us);
/* Returns true if the configuration in force has SERVICE.  */
bool plr_is_configured (const struct plr *p, const char *service);
/* Version of the configuration in force, 0 before the first.  */
uint64_t plr_config_version (const struct plr *p);
/* Changes struct plr_options.drain_grace_us.  */
void plr_set_drain_grace (struct plr *p, int64_t drain_grace_us);
/* Adds INSTANCE, or updates its directory entry.  INSTANCE is copied.  */
void plr_register_instance (struct plr *p, const struct dir_instance *instance,
                            int64_t now_us);
/* The directory entry of instance ID is gone.  */
void plr_unregister_instance (struct plr *p, const char *id, int64_t now_us);
/* Reports whether the directory's store is reachable.  While it is not, the
   directory may be out of date and missing instances stay in use.  */
void plr_set_directory_reachable (struct plr *p, bool reachable,
                                  int64_t now_us);
/* Adds or updates a proxy (this one included) that shares the upstream
   connections; see vmt_set.  */
void plr_set_vm (struct plr *p, const char *name, const char *address,
                 const char *data_centre, double capacity);
void plr_remove_vm (struct plr *p, const char *name);
/* Delays all upstream connections until the set of proxies is complete: a
   proxy that has seen only a few others would connect to every instance
   directly, and so would all proxies that start at the same time.  See
   vmt_await_peers.
 */
void plr_await_peers (struct plr *p);
/* The set of proxies was read from the directory for the first time.
   WAS_REGISTERED: it already held this proxy's entry, from before a restart.
   See vmt_note_first_listing.  */
void plr_note_first_listing (struct plr *p, bool was_registered,
                             int64_t now_us);
/* Returns true once the set of proxies is complete; see vmt_check_complete. */
bool plr_check_peers_complete (struct plr *p, int64_t now_us);
/* The known proxies.  */
const struct vmt_table *plr_vms (const struct plr *p);

/* Connections.  */

/* Sets REQUEST, the function called with ARG when this proxy is out of
   connections to an instance.  */
void plr_set_request_yield (struct plr *p, plr_request_yield_fn *request,
                            void *arg);
/* VM reaches INSTANCE.  If this proxy does not, it relays statements for the
   instance through VM for a limited time.  */
void plr_set_relay_path (struct plr *p, const char *service,
                         const char *instance, const char *vm, int64_t now_us);
/* Another proxy is out of connections to INSTANCE: closes one as soon as it
   is idle, if this proxy has more than its share.  */
void plr_yield_link (struct plr *p, const char *service, const char *instance,
                     int64_t now_us);

/* Sessions.  */

/* Opens the session of a caller that identifies itself by KEY (may be NULL).
   Returns NULL and sets *CODE when DATABASE has no route or is not open to
   this caller.  */
struct ses *plr_open_session (struct plr *p, void *tag, const char *database,
                              const char *key, int64_t now_us, enum sqc *code);
/* Opens a relay session, in which another proxy reaches INSTANCE through this
   one; its statements are forwarded unchanged.  Returns NULL when this proxy
   is not a home of the instance or cannot reach it.  */
struct ses *plr_open_relay (struct plr *p, void *tag, const char *service,
                            const char *instance, int64_t now_us);
/* Sets the log position that the instance must have reached for the next
   statement of a relay session.  */
void plr_set_min_position (struct ses *s, struct logpos min_position);
/* Runs STATEMENT.  A session has at most one statement under way; the reply
   may be delivered before this returns.  */
void plr_run_statement (struct plr *p, struct ses *s,
                        const struct stm *statement, int64_t now_us);
/* Closes the session when its caller has disconnected.  Frees S.  */
void plr_close_session (struct plr *p, struct ses *s, int64_t now_us);

/* Upstream events.  */

/* LINK is open; POSITION is the instance's log position, if known.  Returns
   false when LINK is no longer needed and was freed.  */
bool plr_link_opened (struct plr *p, struct ul *link, struct logpos position,
                      int64_t now_us);
/* The instance refused the connection with CODE.  Frees LINK.  */
void plr_link_refused (struct plr *p, struct ul *link, enum sqc code,
                       int64_t now_us);
/* The connection broke or could not be established; REFUSED: nothing listens
   on the address.  Frees LINK.  */
void plr_link_lost (struct plr *p, struct ul *link, bool refused,
                    int64_t now_us);
/* The upstream's reply to the oldest request on LINK.  */
void plr_link_replied (struct plr *p, struct ul *link,
                       const struct stm_result *result, int64_t now_us);

#define PLR_TICK_US 20000
/* Enforces time limits, sends probes and closes idle connections; must be
   called every PLR_TICK_US.  */
void plr_tick (struct plr *p, int64_t now_us);

/* Stages of a graceful shutdown.  */
enum plr_drain
{
  PLR_DRAIN_NONE,
  /* Sessions are closed after their next reply outside a transaction: at that
     moment the caller cannot have sent another statement, which a close at any
     other time might cut off.  */
  PLR_DRAIN_AFTER_REPLY,
  PLR_DRAIN_IDLE, /* idle sessions are closed at once */
  PLR_DRAIN_ALL,  /* idle transactions are aborted and relay sessions closed */
  /* Statements under way are ended with what is known of them, and no further
     one is accepted: the process ends before their replies.  */
  PLR_DRAIN_END
};

/* Enters stage DRAIN.  */
void plr_drain (struct plr *p, enum plr_drain drain, int64_t now_us);
uint32_t plr_count_sessions (const struct plr *p);
/* Sessions with a statement or transaction under way.  */
uint32_t plr_count_busy (const struct plr *p);

/* Client accounts.  */

/* The limits of the accounts.  The owner of P sets their port, and tells them
   of changes of the fleet.  */
struct lim *plr_limits (struct plr *p);
/* Decides again on the statements of ACCOUNT that wait for its limit; NULL: of
   all accounts.  */
void plr_decide_held (struct plr *p, const char *account, int64_t now_us);
/* Counts of operations by account, valid as long as P.  */
struct usg_set *plr_usage (struct plr *p);

/* For the failover on the session path.  */

/* The known services, by name (struct svc *).  */
GHashTable *plr_services (struct plr *p);
/* The names of the proxies that vote on whether the primary of S failed.
   These are the proxies that hold connections to its instances, so that the
   number of voters depends on the size of the group and not of the fleet.
   NULL: all proxies.  Valid until the set of proxies changes.  */
GHashTable *plr_voters (struct plr *p, struct svc *s);
/* Sends a status query to every usable instance of S that has an idle
   connection.  */
void plr_request_status (struct plr *p, struct svc *s, int64_t now_us);
/* Adds the instance of ENTRY, which another proxy knew, unless it is known
   here.  Until it is registered it gets no statements of callers.  */
void plr_remember_instance (struct plr *p, const struct dir_instance *entry,
                            int64_t now_us);
/* Limits the memory for what the sessions of all callers keep.  */
void plr_set_session_memory (struct plr *p, size_t max_bytes);
/* A command to the instances of a service.  */
struct plr_command
{
  enum stm_kind kind;                /* STM_STATUS, STM_PAUSE or STM_RESUME */
  uint32_t term;                     /* of STM_PAUSE */
  const struct svc_instance *except; /* gets none, may be NULL */
  int64_t since_us; /* a reply to one sent at or after it is good */
};

/* Sends COMMAND to the instances of S that have not replied to one yet, and
   opens the connections it needs, also to draining instances.  One that does
   not know how to pause is asked for its status instead.  Returns true when
   all have replied.  */
bool plr_command_instances (struct plr *p, struct svc *s,
                            const struct plr_command *command, int64_t now_us);
/* Starts or continues the search for the primary of S.  */
void plr_seek_primary (struct plr *p, struct svc *s, int64_t now_us);
/* Makes sure that a leadership check of S, or the search for its primary, is
   under way.  */
void plr_seek_confirmation (struct plr *p, struct svc *s, int64_t now_us);
/* Probes all instances of S, so that their replies are recent when a replica
   is chosen for promotion.  */
void plr_seek_candidates (struct plr *p, struct svc *s, int64_t now_us);
/* Returns NULL when the service or the instance is unknown.  */
struct svc_instance *plr_find_instance (const struct plr *p,
                                        const char *service, const char *id);
/* Tells primary I to become a replica.  Returns false when no connection is
   idle or no status has been received from it yet.  */
bool plr_request_step_down (struct svc_instance *i, int64_t now_us);

#endif
