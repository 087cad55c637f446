/* The session pooler: callers' sessions on one side, a scarce set of upstream
   connections on the other.  It decides where each statement runs, tries again
   what may be tried again, and answers every statement exactly once.

   One thread; time is an argument.  */
#ifndef CB_POOLER_H
#define CB_POOLER_H

#include "event.h"
#include "reason.h"
#include "session.h"

struct plr_port;

struct plr_port_ops
{
  /* The end of the statement that the session behind TAG waits for.  */
  void (*answer) (struct plr_port *port, void *tag, const struct stm_end *end);
  /* Ends a session that waits for nothing, once its answers are sent.  The
     adapter reports it closed later.  */
  void (*hang_up) (struct plr_port *port, void *tag);
};

struct plr_port
{
  const struct plr_port_ops *ops;
};

struct plr_options
{
  struct plr_port *callers;
  struct ul_port *upstreams;
  struct ctr_set *counters;
  struct ev_log *log; /* NULL: no log */
  const char *vm;
  const char *data_centre;
  GHashTable *regions; /* data centre -> region, borrowed */
  int64_t leave_us;    /* a leaving primary may lead on for so long */
};

/* Asks the other proxies that hold connections to INSTANCE, which are HOLDERS
   or all when it is NULL, to give one back where they have more than their
   share.  */
typedef void plr_yield_fn (void *arg, const char *service,
                           const char *instance,
                           const struct vmt_homes *holders);

struct plr;

struct plr *plr_new (const struct plr_options *options);
void plr_free (struct plr *p);

/* Directory.  */

/* Takes CONFIG and puts it in force, or frees it when it is not newer.
   Returns whether it is in force.  */
bool plr_configure (struct plr *p, struct dir_config *config, int64_t now_us);
/* Version in force, 0 before the first.  */
uint64_t plr_version (const struct plr *p);
/* INSTANCE is listed, perhaps changed.  */
void plr_list_instance (struct plr *p, const struct dir_instance *instance,
                        int64_t now_us);
/* The directory lost the instance.  */
void plr_unlist_instance (struct plr *p, const char *id, int64_t now_us);
/* Whether the directory can be trusted to be current.  While it can't,
   missing instances stay in use.  */
void plr_directory_state (struct plr *p, bool reachable, int64_t now_us);
/* Proxies that share the upstreams' connections, this one included.  See
   vmt_set.  */
void plr_set_vm (struct plr *p, const char *name, const char *address,
                 const char *data_centre, double capacity);
void plr_remove_vm (struct plr *p, const char *name);
/* Until the proxies are known nothing is opened: a proxy that takes itself for
   one of a few would connect to every instance, and so would all others that
   start with it.  See vmt_await_peers.  */
void plr_await_vms (struct plr *p);
void plr_vms_listed (struct plr *p, bool again, int64_t now_us);
bool plr_knows_vms (struct plr *p, int64_t now_us);
/* The proxies known.  */
const struct vmt_table *plr_vms (const struct plr *p);

/* Connections.  */

void plr_on_starved (struct plr *p, plr_yield_fn *ask, void *arg);
/* VM reaches INSTANCE: while this proxy doesn't, it goes through VM.  */
void plr_detour (struct plr *p, const char *service, const char *instance,
                 const char *vm, int64_t now_us);
/* Another proxy has no connection to INSTANCE: gives one back as soon as it
   rests, if this proxy has more than its share.  */
void plr_yield (struct plr *p, const char *service, const char *instance,
                int64_t now_us);

/* Sessions.  */

/* NULL when the database has no route.  */
struct ses *plr_open_session (struct plr *p, void *tag, const char *database,
                              int64_t now_us);
/* A session of another proxy that reaches INSTANCE through this one; its
   statements are passed on as they are.  NULL when this proxy is no home of
   the instance or can't reach it.  */
struct ses *plr_open_relay (struct plr *p, void *tag, const char *service,
                            const char *instance, int64_t now_us);
/* The position that the next statement of a relay session asks for.  */
void plr_relay_after (struct ses *s, struct lp after);
/* One statement at a time; the answer may come before this returns.  */
void plr_statement (struct plr *p, struct ses *s, const struct stm *statement,
                    int64_t now_us);
/* The caller is gone.  Frees S.  */
void plr_close_session (struct plr *p, struct ses *s, int64_t now_us);

/* Upstream events.  */
/* False when LINK is of no use any more and was freed.  */
bool plr_link_opened (struct plr *p, struct ul *link, struct lp position,
                      int64_t now_us);
/* The instance refused the connection with CODE.  Frees LINK.  */
void plr_link_refused (struct plr *p, struct ul *link, enum sqc code,
                       int64_t now_us);
/* The connection broke or could not be made; REFUSED: nobody listens there.
   Frees LINK.  */
void plr_link_lost (struct plr *p, struct ul *link, bool refused,
                    int64_t now_us);
void plr_link_answer (struct plr *p, struct ul *link,
                      const struct stm_end *end, int64_t now_us);

/* Time limits, probes and idle connections; due every PLR_TICK_US.  */
#define PLR_TICK_US 20000
void plr_tick (struct plr *p, int64_t now_us);

/* How far a graceful shutdown has come.  */
enum plr_drain
{
  PLR_DRAIN_NONE,
  /* A session is ended together with its next answer: its caller can't have
     sent the next statement yet, which a close in between might cut.  */
  PLR_DRAIN_ANSWERED,
  PLR_DRAIN_RESTING, /* sessions that still rest are ended too */
  PLR_DRAIN_ALL      /* and open transactions */
};

void plr_drain (struct plr *p, enum plr_drain drain, int64_t now_us);
uint32_t plr_count_sessions (const struct plr *p);
/* Sessions with a statement or transaction under way.  */
uint32_t plr_count_busy (const struct plr *p);

/* For the succession: the groups known.  */
GHashTable *plr_services (struct plr *p);
/* The proxies that judge the primary of S together, a set of names: those that
   hold connections to its instances, so that their number follows the group
   and not the fleet.  NULL: all proxies.  Borrowed until the proxies
   change.  */
GHashTable *plr_judges (struct plr *p, struct svc *s);
/* Asks every usable instance of S for its status.  */
void plr_ask_status (struct plr *p, struct svc *s, int64_t now_us);
/* Makes sure that the primary of S is being looked for.  */
void plr_seek_leader (struct plr *p, struct svc *s, int64_t now_us);
/* Makes sure that the replicas of S are heard, for the choice of a successor.
 */
void plr_seek_candidates (struct plr *p, struct svc *s, int64_t now_us);
/* NULL when the service or the instance is unknown.  */
struct svc_instance *plr_find_instance (const struct plr *p,
                                        const char *service, const char *id);
/* Tells the primary to lead no more.  False when no connection is free.  */
bool plr_step_down (struct svc_instance *i, int64_t now_us);

#endif
