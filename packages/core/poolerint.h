/* Internals of the pooler, shared by its parts: pooler.c (sessions and
   statements), pooldir.c (configuration and instances), poolwatch.c (probes
   and time limits), poolrelay.c (statements of other proxies), poolend.c
   (answers and losses), poolrun.c (placing and sending), poolshed.c (refusing
   under load).  */
#ifndef CB_POOLERINT_H
#define CB_POOLERINT_H

#include "place.h"
#include "pooler.h"

struct plr
{
  struct plr_options o;
  struct dir_config *config;
  GHashTable *services; /* name -> struct svc * */
  struct ses_shapes *shapes;
  GQueue sessions;    /* struct ses * */
  GQueue active;      /* those with a statement under way */
  GPtrArray *dropped; /* links to free, struct ul * */
  struct vmt_table vms;
  struct ovl_kinds kinds;
  GHashTable *failed_homes; /* name -> int64_t *, not used before */
  bool directory_reachable;
  enum plr_drain drain;
  plr_yield_fn *starved; /* NULL: nobody to ask */
  void *starved_arg;
};

/* poolrun.c */

/* What the work of S needs.  Without a proof that reaches far enough back, or
   when copies lack the position, only the primary will do.  */
struct plc_need plr_need_of (const struct ses *s);
/* Looks for a place for the statement of S and sends it, or lets it wait.  */
void plr_start (struct plr *p, struct ses *s, int64_t now_us);
/* Sends the statement of S on the connection it holds.  */
void plr_send (struct plr *p, struct ses *s, int64_t now_us);
/* Brings values and prepared statements of the connection that S holds up to
   date; gives its statement as the upstream knows it.  */
struct stm plr_sync_link (struct ses *s, int64_t now_us);
/* Tries every waiting statement of a service again.  */
void plr_pump (struct plr *p, struct svc *s, int64_t now_us);
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
void plr_release (struct plr *p, struct ses *s, int64_t now_us);
/* Gives a connection that nobody holds to the next user, or cleans it.  */
void plr_settle (struct plr *p, struct ul *link, int64_t now_us);
/* Asks the instance whether it leads (or lives), free of queues.  */
void plr_probe (struct plr *p, struct ul *link, bool lead, int64_t now_us);

/* poolshed.c */

/* Refuses the statement of S, which waits, when it can't be served in time for
   the load, and puts it off when it is late for an outage.  ENTERING: it has
   just come to the queue.  */
void plr_shed (struct plr *p, struct ses *s, bool entering, int64_t now_us);

/* poolend.c */

/* Answers the statement of S with a success.  */
void plr_succeed (struct plr *p, struct ses *s, struct stm_end *end,
                  int64_t now_us);
/* Answers the statement of S with an error, as CODE.  */
void plr_refuse (struct plr *p, struct ses *s, enum rfs why, enum sqc code,
                 int64_t now_us);
/* Lets the statement of S be tried again from DELAY_US on.  */
void plr_retry (struct plr *p, struct ses *s, enum rsn_retry why,
                int64_t delay_us, int64_t now_us);
/* Everything under way on LINK is lost; closes it.  The memory is freed by
   plr_free_dropped, so that callers may still look at it.  */
void plr_drop_link (struct plr *p, struct ul *link, int64_t now_us);
/* Frees the links that were dropped; the last act of every event.  */
void plr_free_dropped (struct plr *p);
/* The statement of S got no answer in time.  */
void plr_expire (struct plr *p, struct ses *s, int64_t now_us);
/* The answer to the statement of S, which may run again or can be taken back,
   is lost: its connection is given up.  */
void plr_answer_lost (struct plr *p, struct ses *s, int64_t now_us);
void plr_note_leader (struct plr *p, struct svc_instance *i, int64_t asked_us,
                      struct lp position, int64_t now_us);
void plr_note_denied (struct plr *p, struct svc_instance *i, int64_t now_us);

/* pooldir.c */

/* Frees I, which is no more; nothing refers to it afterwards.  */
void plr_forget_instance (struct plr *p, struct svc_instance *i,
                          int64_t now_us);

/* poolrelay.c */

/* Sends the statement of a relay session, or lets it wait.  */
void plr_start_relay (struct plr *p, struct ses *s, int64_t now_us);
/* Takes a statement of a relay session.  */
void plr_relay_statement (struct plr *p, struct ses *s,
                          const struct stm *statement, int64_t now_us);
/* The upstream's answer for a relay session.  */
void plr_relay_answer (struct plr *p, struct ses *s, const struct stm_end *end,
                       int64_t now_us);
/* What a relay session waited for can't be had: nothing was sent.  */
void plr_relay_refuse (struct plr *p, struct ses *s, enum sqc code,
                       int64_t now_us);

/* poolwatch.c */

/* Makes sure that a proof of the primary of S is being asked for.  */
void plr_seek_proof (struct plr *p, struct svc *s, int64_t now_us);
/* Drops the connections of I; ALL: also those in use.  */
void plr_drop_links (struct plr *p, struct svc_instance *i, bool all,
                     int64_t now_us);
/* pooler.c */

struct svc *plr_service (struct plr *p, const char *name);
/* Hands END to the caller; S may be gone afterwards.  */
void plr_answer (struct plr *p, struct ses *s, const struct stm_end *end);
/* Makes STATEMENT the one under way and looks for a place for it.  */
void plr_take (struct plr *p, struct ses *s, const struct stm *statement,
               bool writes, int64_t now_us);
/* Takes the statement of S out of all queues.  */
void plr_leave_queues (struct plr *p, struct ses *s);
/* Ends the transaction or lone statement of S.  */
void plr_end_work (struct ses *s);
/* True when the statement of S may run on another instance than the one it
   was sent to.  */
bool plr_may_go_elsewhere (const struct ses *s, int64_t now_us);
/* Puts S into the queue for a connection, takes it out again, and takes it out
   to be sent on LINK.  */
void plr_wait (struct ses *s);
void plr_stop_waiting (struct ses *s);
void plr_hold (struct ses *s, struct ul *link, int64_t now_us);

#endif
