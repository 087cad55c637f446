/* The granting side of account limits.

   The limit of an account is divided into QGR_PARTS equal parts.  Each part
   has one grantor, a proxy chosen by hashing, which keeps a token bucket and
   grants operations from it to the other proxies on request.  The buckets are
   dimensioned so that all grants of all parts together stay within the bound
   of any window, including the time for which a grant stays valid.

   A grantor keeps its buckets in memory only.  A new one starts with an empty
   bucket, so its grants and those of the one before it together are never more
   than one bucket would have given.  Two proxies may both take themselves for
   the grantor for a while, when one cannot reach the directory; then each uses
   only its share of the part, and the shares add up to one.

   Decides without sockets and clocks.  Answers a load in which one account
   sends many times its limit through all proxies.  */
#ifndef CB_GRANTOR_H
#define CB_GRANTOR_H

#include "account.h"

/* Enough that the loss of a third of the proxies leaves most of each limit. */
#define QGR_PARTS 4
/* How long a proxy may use a grant, from when it sent the request.  */
#define QGR_VALID_US 200000

/* How exactly limits are kept: in any window an account may have at most
   (rate * window + burst) * (1 + overage) + slack operations.  */
struct qgr_terms
{
  int64_t window_us;
  double overage;
  double slack; /* operations */
};

struct qgr_options
{
  struct qgr_terms terms;
  /* How long the directory keeps the entry of a proxy that it does not hear
     from.  Others may take over when it has ended.  */
  int64_t entry_ttl_us;
};

/* What a proxy knows of its own role as the grantor of one part.  */
struct qgr_standing
{
  bool chosen;             /* it is the grantor by its view of the fleet ... */
  int64_t chosen_since_us; /* ... since then; 0 = since before its start */
  int64_t confirmed_us;    /* the last renewal of its entry that succeeded was
                              sent then */
  /* It was the grantor, its entry has ended and was written again: another one
     may have taken over.  CONFIRMED_US is of the entry that ended.  */
  bool retained;
};

struct qgr_request
{
  const char *account;
  uint32_t part;
  struct acc_limit limit;
  uint32_t needed; /* operations that wait */
  uint32_t wanted; /* NEEDED and those expected while the grant is valid */
};

struct qgr_reply
{
  uint32_t granted; /* operations */
  int64_t wait_us;  /* until another one can be granted, if too few were */
};

struct qgr;

struct qgr *qgr_new (const struct qgr_options *options, int64_t now_us);
void qgr_free (struct qgr *g);
void qgr_set_terms (struct qgr *g, const struct qgr_terms *terms);
/* Grants operations of REQUEST, or none.  */
void qgr_grant (struct qgr *g, const struct qgr_request *request,
                const struct qgr_standing *standing, int64_t now_us,
                struct qgr_reply *reply);
/* For this long after a change of the fleet its grantors use only a share of
   their parts; the caller keeps departures in mind for as long.  */
int64_t qgr_takeover_us (const struct qgr *g);
/* Frees the buckets that were not used for a long time.  */
void qgr_trim (struct qgr *g, int64_t now_us);

#endif
