/* Internals of the pooler, shared by its parts: pooler.c (sessions and
   statements), poolerdir.c (configuration and instances), poolerwatch.c
   (probes and time limits), poolerrelay.c (statements of other proxies),
   poolerreply.c (answers and losses), poolerdispatch.c (placing and sending),
   poolershed.c (refusing under load).  */
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
  GQueue active;           /* those with a statement under way */
  GPtrArray *closed_links; /* links to free, struct ul * */
  struct rly_table vms;
  struct ovl_kinds request_kinds;
  GHashTable *failed_homes; /* name -> int64_t *, not used before */
  bool directory_reachable;
  enum plr_drain drain;
  plr_yield_fn *request_yield; /* NULL: nobody to ask */
  void *request_yield_arg;
};

/* poolerdispatch.c */

/* What the work of S needs.  Without a proof that reaches far enough back, or
   when copies lack the position, only the primary will do.  */
struct plc_need plr_compute_need (const struct ses *s);
/* Looks for a place for the statement of S and sends it, or lets it wait.  */
void plr_dispatch (struct plr *p, struct ses *s, int64_t now_us);
/* Sends the statement of S on the connection it holds.  */
void plr_send (struct plr *p, struct ses *s, int64_t now_us);
/* Brings values and prepared statements of the connection that S holds up to
   date; gives its statement as the upstream knows it.  */
struct stm plr_sync_link (struct ses *s, int64_t now_us);
/* Tries every waiting statement of a service again.  */
void plr_dispatch_waiting (struct plr *p, struct svc *s, int64_t now_us);
/* Opens a connection.  */
struct ul *plr_open_link (struct plr *p, struct svc_instance *i,
                          int64_t now_us);
/* Brings homes and limits of the instances of S up to date.  */
void plr_update_homes (struct plr *p, struct svc *s);
/* The home that LINK goes through failed.  */
void plr_note_home_failed (struct plr *p, const struct ul *link,
                           int64_t now_us);
/* True when this proxy has more connections to I than its share.  */
bool plr_has_surplus (const struct svc_instance *i);
/* Takes the connection from S; what it still owes is dropped.  */
void plr_release_link (struct plr *p, struct ses *s, int64_t now_us);
/* Gives a connection that nobody holds to the next user, or cleans it.  */
void plr_recycle_link (struct plr *p, struct ul *link, int64_t now_us);
/* Asks the instance whether it leads (or lives), free of queues.  */
void plr_probe_link (struct plr *p, struct ul *link, bool lead,
                     int64_t now_us);

/* poolershed.c */

/* Refuses the statement of S, which waits, when it can't be served in time for
   the load, and puts it off when it is late for an outage.  ENTERING: it has
   just come to the queue.  */
void plr_shed (struct plr *p, struct ses *s, bool entering, int64_t now_us);

/* poolerreply.c */

/* Answers the statement of S with a success.  */
void plr_complete (struct plr *p, struct ses *s, struct stm_result *end,
                   int64_t now_us);
/* Answers the statement of S with an error, as CODE.  */
void plr_refuse (struct plr *p, struct ses *s, enum rfs why, enum sqc code,
                 int64_t now_us);
/* Lets the statement of S be tried again from DELAY_US on.  */
void plr_retry (struct plr *p, struct ses *s, enum rsn_retry why,
                int64_t delay_us, int64_t now_us);
/* Everything under way on LINK is lost; closes it.  The memory is freed by
   plr_free_closed_links, so that callers may still look at it.  */
void plr_close_link (struct plr *p, struct ul *link, int64_t now_us);
/* Frees the links that were dropped; the last act of every event.  */
void plr_free_closed_links (struct plr *p);
/* The statement of S got no answer in time.  */
void plr_time_out (struct plr *p, struct ses *s, int64_t now_us);
/* The answer to the statement of S, which may run again or can be taken back,
   is lost: its connection is given up.  */
void plr_reply_lost (struct plr *p, struct ses *s, int64_t now_us);
void plr_note_primary (struct plr *p, struct svc_instance *i, int64_t asked_us,
                       struct lp position, int64_t now_us);
void plr_note_not_primary (struct plr *p, struct svc_instance *i,
                           int64_t now_us);

/* poolerdir.c */

/* Frees I, which is no more; nothing refers to it afterwards.  */
void plr_remove_instance (struct plr *p, struct svc_instance *i,
                          int64_t now_us);

/* poolerrelay.c */

/* Sends the statement of a relay session, or lets it wait.  */
void plr_dispatch_relay (struct plr *p, struct ses *s, int64_t now_us);
/* Takes a statement of a relay session.  */
void plr_relay_statement (struct plr *p, struct ses *s,
                          const struct stm *statement, int64_t now_us);
/* The upstream's answer for a relay session.  */
void plr_relay_reply (struct plr *p, struct ses *s,
                      const struct stm_result *end, int64_t now_us);
/* What a relay session waited for can't be had: nothing was sent.  */
void plr_relay_refuse (struct plr *p, struct ses *s, enum sqc code,
                       int64_t now_us);

/* poolerwatch.c */

/* Makes sure that a proof of the primary of S is being asked for.  */
void plr_seek_confirmation (struct plr *p, struct svc *s, int64_t now_us);
/* Drops the connections of I; ALL: also those in use.  */
void plr_close_links (struct plr *p, struct svc_instance *i, bool all,
                      int64_t now_us);
/* pooler.c */

struct svc *plr_get_service (struct plr *p, const char *name);
/* Hands END to the caller; S may be gone afterwards.  */
void plr_reply (struct plr *p, struct ses *s, const struct stm_result *end);
/* Makes STATEMENT the one under way and looks for a place for it.  */
void plr_accept_statement (struct plr *p, struct ses *s,
                           const struct stm *statement, bool writes,
                           int64_t now_us);
/* Takes the statement of S out of all queues.  */
void plr_leave_queues (struct plr *p, struct ses *s);
/* Ends the transaction or lone statement of S.  */
void plr_clear_work (struct ses *s);
/* True when the statement of S may run on another instance than the one it
   was sent to.  */
bool plr_has_alternative (const struct ses *s, int64_t now_us);
/* Puts S into the queue for a connection, takes it out again, and takes it out
   to be sent on LINK.  */
void plr_enqueue (struct ses *s);
void plr_dequeue (struct ses *s);
void plr_assign_link (struct ses *s, struct ul *link, int64_t now_us);

#endif
