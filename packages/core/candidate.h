/* What the instances of a service report of their logs, and what it shows:
   which replica holds every acknowledged commit.

   A service with sync_replicas = K acknowledges a commit once K replicas have
   received it.  Of R replicas, any R - K + 1 include one of these, so that as
   many reports are needed before a replica may be promoted, and the most
   advanced of those that reported must be it.  Without sync replicas a
   promotion may lose commits, and the most advanced replica that replies is
   promoted.  */
#ifndef CB_CANDIDATE_H
#define CB_CANDIDATE_H

#include "service.h"

/* Returns true if the log of I may hold commits that a promotion rolled back:
   it ends in an older term than another one that is known or than the last
   promotion began, and after what the promoted instance held then.  */
bool cnd_is_outdated (const struct svc *s, const struct svc_instance *i);
/* Returns true if S has had no confirmed primary for so long that an instance
   with an outdated log may be promoted.  */
bool cnd_accepts_outdated (const struct svc *s, int64_t now_us);
/* Returns true if I replies and may be promoted; whether its log is outdated
   is not checked.  */
bool cnd_is_candidate (const struct svc_instance *i,
                       const struct svc_instance *primary, int64_t now_us);
/* Returns true if I has left and another instance runs at its address, which
   has taken over its log.  */
bool cnd_is_succeeded (const struct svc *s, const struct svc_instance *i);
/* Returns true if I has replied of late.  */
bool cnd_is_reachable (const struct svc_instance *i, int64_t now_us);
/* Returns the highest position that I is known to hold.  */
struct logpos cnd_highest_position (const struct svc_instance *i);
/* Returns true if PRIMARY was a replica when it replied to a request sent at
   or after SINCE_US: its log holds every acknowledged commit, and no more are
   acknowledged.  */
bool cnd_has_stepped_down (const struct svc_instance *primary,
                           int64_t since_us);
/* Returns true if I can be promoted and replied to a request sent at or after
   SINCE_US; whether its log suffices is not checked.  */
bool cnd_may_lead (const struct svc_instance *i, int64_t since_us,
                   int64_t now_us);
/* Returns the replica that has received the most, of those that replied to a
   request sent at or after SINCE_US and received NEEDED; of several it is
   PREFERRED (may be NULL).  NULL when there is none, or when an instance that
   cannot be promoted has received more.  */
struct svc_instance *cnd_choose_reported (const struct svc *s,
                                          const struct svc_instance *primary,
                                          const struct svc_instance *preferred,
                                          struct logpos needed,
                                          int64_t since_us, int64_t now_us);
/* Returns the replica to promote in place of PRIMARY (NULL = unknown), NULL
   when there is none.  With sync replicas it is one that holds every
   acknowledged commit, as far as the replies to requests sent at or after
   SINCE_US show, PREFERRED (may be NULL) if several do; PAUSED: only the
   replies of replicas that were paused since then count, unless they do not
   know how to.  */
struct svc_instance *cnd_choose (const struct svc *s,
                                 const struct svc_instance *primary,
                                 const struct svc_instance *preferred,
                                 int64_t since_us, bool paused,
                                 int64_t now_us);
/* Returns the newest term in which a log of S is known to end, 0 = none.  */
uint32_t cnd_newest_log_term (const struct svc *s);
/* Returns the newest term that an instance of S has reported.  */
uint32_t cnd_newest_term (const struct svc *s);

#endif
