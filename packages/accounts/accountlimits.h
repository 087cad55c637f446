/* The limits of client accounts over all proxies: ties together the choice of
   the grantors (grantorset.h), the grants that this proxy gives (grantor.h)
   and those that it uses (limiter.h).

   Single-threaded; the caller passes the current time.  */
#ifndef CB_ACCOUNTLIMITS_H
#define CB_ACCOUNTLIMITS_H

#include "grantorset.h"
#include "limiter.h"

struct lim_port;

struct lim_port_ops
{
  /* Sends REQUEST to proxy VM.  */
  void (*request) (struct lim_port *port, const char *vm,
                   const struct qlm_request *request);
};

struct lim_port
{
  const struct lim_port_ops *ops;
};

struct lim_options
{
  const char *own; /* name of this proxy */
  qgs_weight_fn *weight;
  struct qgr_terms terms;
  int64_t entry_ttl_us; /* see struct qgr_options */
};

/* Counts since the start.  */
struct lim_counts
{
  uint64_t requests; /* that this proxy sent, also to itself */
  uint64_t grants;   /* operations that it granted */
  uint64_t denied;   /* requests that got none */
};

struct lim;

struct lim *lim_new (const struct lim_options *options, int64_t now_us);
void lim_free (struct lim *l);
/* PORT is borrowed.  */
void lim_set_port (struct lim *l, struct lim_port *port);
void lim_set_terms (struct lim *l, const struct qgr_terms *terms);
/* The accounts in force, borrowed; NULL = none.  */
void lim_set_accounts (struct lim *l, const struct acc_table *accounts);
/* The fleet; also tells this module of changes, see grantorset.h.  */
struct qgs *lim_fleet (struct lim *l);
/* Decides on one operation of ACCOUNT, see qlm_take.  */
enum qlm_verdict lim_take (struct lim *l, const struct acc_account *account,
                           bool again, int64_t patience_us, int64_t now_us,
                           int64_t *wait_us);
/* An operation of ACCOUNT that waited will not be decided again.  */
void lim_forget (struct lim *l, const char *account);
/* See qlm_expect.  */
void lim_expect (struct lim *l, const struct acc_account *account,
                 int64_t now_us);
/* Handles REQUEST of another proxy, or of this one.  */
void lim_grant (struct lim *l, const struct qlm_request *request,
                int64_t now_us, struct qgr_reply *reply);
/* Handles the reply of proxy VM.  The operations of ACCOUNT that wait
   must be decided again.  */
void lim_granted (struct lim *l, const char *vm, const char *account,
                  uint32_t part, uint64_t serial,
                  const struct qgr_reply *reply, int64_t now_us);
/* See qlm_tick.  Returns true when operations that wait must be decided
   again.  */
bool lim_tick (struct lim *l, int64_t now_us);
const struct lim_counts *lim_get_counts (const struct lim *l);

#endif
