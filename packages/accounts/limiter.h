/* The limits of accounts at one proxy: admits operations with the grants that
   it requests from the grantors (grantor.h) of the account.

   The proxy keeps state only for accounts whose callers use it.  A statement
   of an account without a grant waits for one round trip.  When one grantor
   refuses or does not reply, the next one is asked; when none of them can
   grant, the statement is refused at once until one may.

   Decides without sockets and clocks.  */
#ifndef CB_LIMITER_H
#define CB_LIMITER_H

#include "grantor.h"

/* A grantor that has not replied for this time does not count as reachable:
   several round trips of the longest link.  */
#define QLM_REPLY_TIMEOUT_US 150000

enum qlm_verdict
{
  QLM_ADMIT,
  QLM_WAIT,       /* decide again after a reply, or when qlm_tick says so */
  QLM_OVER_LIMIT, /* both parts of the limit are used up */
  QLM_UNREACHABLE /* no grantor replies, so the limit cannot be checked */
};

/* A request to the grantor of PART of the limit of ACCOUNT.  */
struct qlm_request
{
  const char *account;
  uint32_t part;
  uint64_t serial; /* returned with the reply */
  uint32_t needed; /* see struct qgr_request */
  uint32_t wanted;
};

struct qlm_port;

struct qlm_port_ops
{
  /* Sends REQUEST.  The reply may be delivered with qlm_granted before this
     returns.  */
  void (*request) (struct qlm_port *port, const struct qlm_request *request);
};

struct qlm_port
{
  const struct qlm_port_ops *ops;
};

struct qlm;

/* OWN is the name of this proxy, which spreads the proxies over the parts.  */
struct qlm *qlm_new (struct qlm_port *port, const char *own);
void qlm_free (struct qlm *q);
/* Decides on one operation of ACCOUNT; AGAIN: its last verdict was to wait.
   It waits for replies while PATIENCE_US is positive, or longer if no grantor
   has refused yet.  Unless it is admitted or waits, sets *WAIT_US to the time
   after which another try may succeed.  */
enum qlm_verdict qlm_take (struct qlm *q, const char *account, bool again,
                           int64_t patience_us, int64_t now_us,
                           int64_t *wait_us);
/* An operation of ACCOUNT that waited will not be decided again.  */
void qlm_forget (struct qlm *q, const char *account);
/* An operation of ACCOUNT will follow shortly: requests a grant for it.  */
void qlm_expect (struct qlm *q, const char *account, int64_t now_us);
/* The reply to the request with SERIAL for PART.  The operations of ACCOUNT
   that wait must be decided again.  */
void qlm_granted (struct qlm *q, const char *account, uint32_t part,
                  uint64_t serial, const struct qgr_reply *reply,
                  int64_t now_us);
/* The grantor of PART is known not to reply at present; a reply to the request
   with SERIAL is still welcome.  */
void qlm_unreachable (struct qlm *q, const char *account, uint32_t part,
                      uint64_t serial, int64_t now_us);
/* Gives up requests without a reply, and forgets unused accounts.  Returns
   true when operations that wait must be decided again.  To be called at least
   every 20 ms.  */
bool qlm_tick (struct qlm *q, int64_t now_us);

#endif
