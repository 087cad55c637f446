/* Internals of the pooler, shared by its files: pooler.c (sessions and
   statements), poolerdir.c (configuration and instances), poolerdispatch.c
   (choice of an instance, sending), poolerrelay.c (statements of other
   proxies), poolerreply.c (replies, retries and lost connections),
   poolershed.c (load shedding) and poolerwatch.c (probes, time limits and idle
   connections).  */
#ifndef CB_POOLERINT_H
#define CB_POOLERINT_H

#include "place.h"
#include "pooler.h"

struct plr
{
  struct plr_options options;
  struct dir_config *config;
  GHashTable *services; /* name -> struct svc * */
  struct ses_prepared_table *prepared_table;
  GQueue sessions;         /* struct ses * */
  GQueue active;           /* of these, those with a statement under way */
  GPtrArray *closed_links; /* closed links to free, struct ul * */
  struct vmt_table vms;
  struct ovl_kinds request_kinds;
  GHashTable *failed_homes; /* name -> int64_t *, excluded until then */
  bool directory_reachable;
  enum plr_drain drain;
  struct lim *limits;
  struct lim_counts limits_counted; /* that the counters hold already */
  struct usg_set *usage;
  GQueue held;                         /* struct ses *, in stage SES_HELD */
  plr_request_yield_fn *request_yield; /* NULL: no proxy to request from */
  void *request_yield_arg;
};

/* poolerdispatch.c */

/* Determines what the statement of S requires of an instance.  When no
   leadership check reaches far enough back to give a minimum position, or when
   replicas lacked that position, only the primary qualifies.  */
struct plc_need plr_compute_need (const struct ses *s);
/* Chooses an instance for the statement of S and sends it, or leaves it in the
   queue.  */
void plr_dispatch (struct plr *p, struct ses *s, int64_t now_us);
/* Sends the next request for the statement of S, its BEGIN or the statement
   itself, on the connection that S holds.  */
void plr_send (struct plr *p, struct ses *s, int64_t now_us);
/* Sets the session values and prepares the statement of S on the connection
   that S holds, where they differ.  Returns the statement with the name it has
   on the upstream; its texts are borrowed from S.  */
struct stm plr_sync_link (struct ses *s, int64_t now_us);
/* Dispatches the waiting statements of S, in queue order.  */
void plr_dispatch_waiting (struct plr *p, struct svc *s, int64_t now_us);
/* Starts opening a connection to I, directly or through a home, for ACCOUNT
   (NULL: the last one that used one, or this proxy itself).  */
struct ul *plr_open_link (struct plr *p, struct svc_instance *i,
                          const char *account, int64_t now_us);
/* Carries out CHOICE, to open or replace a connection, for ACCOUNT.  */
void plr_open_for_account (struct plr *p, const struct plc_choice *choice,
                           const char *account, int64_t now_us);
/* Recomputes the homes and connection limits of the instances of S if the set
   of proxies has changed.  */
void plr_update_homes (struct plr *p, struct svc *s);
/* Records that the home that LINK goes through failed, so that it is not used
   for a while.  No effect on a direct link.  */
void plr_note_home_failed (struct plr *p, const struct ul *link,
                           int64_t now_us);
/* Returns true if this proxy has more connections to I than its share.  */
bool plr_has_surplus (const struct svc_instance *i);
/* Takes the connection from S; replies to S that are still due on it are
   discarded.  */
void plr_release_link (struct plr *p, struct ses *s, int64_t now_us);
/* Makes LINK available to waiting statements if no session holds it and no
   reply is due; rolls back a transaction left open on it first, or closes it
   if it is of no further use.  */
void plr_recycle_link (struct plr *p, struct ul *link, int64_t now_us);
/* Sends a probe on LINK: a leadership check (plain BEGIN) if PRIMARY, else a
   liveness probe.  Neither waits for a slot of the instance.  */
void plr_probe_link (struct plr *p, struct ul *link, bool primary,
                     int64_t now_us);

/* pooleraccount.c */

void plr_init_accounts (struct plr *p);
void plr_free_accounts (struct plr *p);
/* Records the key that the caller of S sent, may be NULL.  */
void plr_set_key (struct ses *s, const char *key);
/* Returns false if the caller of S may not use its database (any more).  */
bool plr_is_allowed (const struct plr *p, const struct ses *s);
/* Sets the account of S for work on route R.  Returns false if its caller may
   not use it.  */
bool plr_assign_account (struct plr *p, struct ses *s,
                         const struct dir_route *r);
/* Work of S that counts for the limit of its account follows shortly.  */
void plr_expect_work (struct plr *p, const struct ses *s, int64_t now_us);
/* Returns true if the limit of its account admits the statement of S.  Else
   the statement is held until this is decided, or was refused.  */
bool plr_admit (struct plr *p, struct ses *s, int64_t now_us);
/* Brings the counters of requests and grants up to date.  */
void plr_count_limits (struct plr *p);
/* Takes S out of the queue of held statements, if it is there.  */
void plr_leave_held (struct plr *p, struct ses *s);

/* poolershed.c */

/* Refuses the waiting statement of S when the load is too high to serve it
   within its maximum wait, and moves it behind the statements that can still
   be in time when it is late because of an outage.  ENTERING: it has just
   joined the queue.  */
void plr_shed (struct plr *p, struct ses *s, bool entering, int64_t now_us);

/* poolerreply.c */

/* Completes the statement of S with a success.  Changes RESULT's state.  */
void plr_complete (struct plr *p, struct ses *s, struct stm_result *result,
                   int64_t now_us);
/* Completes the statement of S with error CODE, for reason WHY.  */
void plr_refuse (struct plr *p, struct ses *s, enum rfs why, enum sqc code,
                 int64_t now_us);
/* The same with the error message DETAIL.  */
void plr_refuse_with (struct plr *p, struct ses *s, enum rfs why,
                      enum sqc code, const char *detail, int64_t now_us);
/* Releases the connection of S and dispatches its statement again, not before
   DELAY_US from now.  */
void plr_retry (struct plr *p, struct ses *s, enum rsn_retry why,
                int64_t delay_us, int64_t now_us);
/* Closes LINK; a session that holds it loses its statement or transaction.
   LINK is freed only by plr_free_closed_links, so that callers may still read
   it.  */
void plr_close_link (struct plr *p, struct ul *link, int64_t now_us);
/* Frees the closed links; to be called last in the handling of every
   event.  */
void plr_free_closed_links (struct plr *p);
/* Ends the statement of S, whose time limit has passed, with an error.  */
void plr_time_out (struct plr *p, struct ses *s, int64_t now_us);
/* Ends the statement of S since the process ends.  */
void plr_stop_statement (struct plr *p, struct ses *s, int64_t now_us);
/* The reply to the statement of S is taken as lost: closes the connection, and
   retries the statement or aborts its transaction.  Not for writes and commits
   whose effect cannot be undone.  */
void plr_reply_lost (struct plr *p, struct ses *s, int64_t now_us);
/* Records a leadership check: I, to which it was sent at SENT_US, was primary
   with its log at POSITION.  */
void plr_note_primary (struct plr *p, struct svc_instance *i, int64_t sent_us,
                       struct logpos position, int64_t now_us);
/* Records that I said it is not the primary, and searches for the primary if
   it was thought to be I.  */
void plr_note_not_primary (struct plr *p, struct svc_instance *i,
                           int64_t now_us);

/* poolerdir.c */

/* Closes all connections to I and frees it.  */
void plr_remove_instance (struct plr *p, struct svc_instance *i,
                          int64_t now_us);

/* poolerrelay.c */

/* Sends the statement of relay session S, or leaves it in the queue.  */
void plr_dispatch_relay (struct plr *p, struct ses *s, int64_t now_us);
/* Runs STATEMENT of relay session S.  */
void plr_run_relay_statement (struct plr *p, struct ses *s,
                              const struct stm *statement, int64_t now_us);
/* Passes the upstream's RESULT on to relay session S.  */
void plr_relay_reply (struct plr *p, struct ses *s,
                      const struct stm_result *result, int64_t now_us);
/* Ends the waiting statement of relay session S with CODE; nothing was sent to
   the instance.  */
void plr_relay_refuse (struct plr *p, struct ses *s, enum sqc code,
                       int64_t now_us);

/* poolerwatch.c */

/* Closes the connections to I; ALL: also those held by a session.  */
void plr_close_links (struct plr *p, struct svc_instance *i, bool all,
                      int64_t now_us);

/* poolercommand.c */

/* Sends the command that waits for LINK's instance, if any, on LINK, which is
   idle.  Returns true if it was sent.  */
bool plr_send_command (struct plr *p, struct ul *link, int64_t now_us);
/* Records RESULT, the reply of I to REQUEST, a status query or command.  */
void plr_note_status (struct svc_instance *i, const struct ul_request *request,
                      const struct stm_result *result);
/* Returns true if a request for PURPOSE awaits the reply of I.  */
bool plr_is_under_way (const struct svc_instance *i, enum ul_purpose purpose);

/* pooler.c */

/* Returns the service called NAME, which is added if new.  */
struct svc *plr_get_service (struct plr *p, const char *name);
/* Sends RESULT to the caller.  S may have been freed on return.  */
void plr_reply (struct plr *p, struct ses *s, const struct stm_result *result);
/* Makes STATEMENT the one under way in S, and starts it as soon as the limit
   of its account admits it.  */
void plr_accept_statement (struct plr *p, struct ses *s,
                           const struct stm *statement, bool writes,
                           int64_t now_us);
/* Ranks the statement under way in S and dispatches it.  */
void plr_start_statement (struct plr *p, struct ses *s, int64_t now_us);
/* Removes S from the queue that it is in and from the list of active
   sessions.  */
void plr_leave_queues (struct plr *p, struct ses *s);
/* Clears the state of the transaction or single statement of S.  */
void plr_clear_work (struct ses *s);
/* Returns true if an instance other than the one that the statement of S was
   sent to may run it.  */
bool plr_has_alternative (const struct ses *s, int64_t now_us);
/* Inserts S into the queue of its service, by rank and wait deadline.  */
void plr_enqueue (struct ses *s);
void plr_dequeue (struct ses *s);
/* Removes S from the queue and gives it LINK.  */
void plr_assign_link (struct ses *s, struct ul *link, int64_t now_us);

#endif
