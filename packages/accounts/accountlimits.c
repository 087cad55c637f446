/* The limits of client accounts over all proxies.  */
#include "accountlimits.h"

#include <string.h>

#define TRIM_EVERY_US 10000000

struct lim
{
  struct lim_port *port; /* NULL = no other proxy can be reached */
  struct qlm_port limiter_port;
  struct qlm *limiter;
  struct qgr *grantor;
  struct qgs *fleet;
  GHashTable *unanswered; /* VM -> int64_t *, when the first request was sent
                             to it that it has not replied to */
  const struct acc_table *accounts;
  struct lim_counts counts;
  char *own;
  int64_t now_us; /* of the call under way */
  int64_t trimmed_us;
};

static struct lim *
get_limits (struct qlm_port *port)
{
  return (struct lim *)((char *)port - offsetof (struct lim, limiter_port));
}

/* Returns true if VM has not replied to a request for a while.  Notes that it
   is sent one now.  */
static bool
is_silent (struct lim *l, const char *vm)
{
  int64_t *since_us = g_hash_table_lookup (l->unanswered, vm);

  if (since_us)
    return l->now_us - *since_us >= QLM_REPLY_TIMEOUT_US;
  since_us = g_new (int64_t, 1);
  *since_us = l->now_us;
  g_hash_table_insert (l->unanswered, g_strdup (vm), since_us);
  return false;
}

/* Sends a request to the grantor VM.  One that did not reply to others,
   perhaps about other accounts, is not waited for.  */
static void
send_request (struct lim *l, const char *vm, const struct qlm_request *request)
{
  bool silent = is_silent (l, vm);

  l->port->ops->request (l->port, vm, request);
  if (silent)
    qlm_unreachable (l->limiter, request->account, request->part,
                     request->serial, l->now_us);
}

static void
on_request (struct qlm_port *port, const struct qlm_request *request)
{
  struct lim *l = get_limits (port);
  const char *vm
      = qgs_find (l->fleet, request->account, request->part, l->now_us);
  struct qgr_reply reply;

  l->counts.requests++;
  if (vm && strcmp (vm, l->own) == 0)
    {
      lim_grant (l, request, l->now_us, &reply);
      qlm_granted (l->limiter, request->account, request->part,
                   request->serial, &reply, l->now_us);
    }
  else if (vm && l->port)
    send_request (l, vm, request);
}

static const struct qlm_port_ops limiter_port_ops = { on_request };

struct lim *
lim_new (const struct lim_options *options, int64_t now_us)
{
  struct lim *l = g_new0 (struct lim, 1);
  struct qgr_options grantor = { options->terms, options->entry_ttl_us };
  struct qgs_options fleet
      = { options->own, options->weight, options->entry_ttl_us, 0 };

  l->own = g_strdup (options->own);
  l->limiter_port.ops = &limiter_port_ops;
  l->limiter = qlm_new (&l->limiter_port, options->own);
  l->grantor = qgr_new (&grantor, now_us);
  fleet.takeover_us = qgr_takeover_us (l->grantor);
  l->fleet = qgs_new (&fleet);
  l->unanswered
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  return l;
}

void
lim_free (struct lim *l)
{
  if (!l)
    return;
  qlm_free (l->limiter);
  qgr_free (l->grantor);
  qgs_free (l->fleet);
  g_hash_table_destroy (l->unanswered);
  g_free (l->own);
  g_free (l);
}

void
lim_set_port (struct lim *l, struct lim_port *port)
{
  l->port = port;
}

void
lim_set_terms (struct lim *l, const struct qgr_terms *terms)
{
  qgr_set_terms (l->grantor, terms);
}

void
lim_set_accounts (struct lim *l, const struct acc_table *accounts)
{
  l->accounts = accounts;
}

struct qgs *
lim_fleet (struct lim *l)
{
  return l->fleet;
}

static bool
is_limited (const struct acc_account *account)
{
  return account && account->limit.rate_per_s >= 0;
}

enum qlm_verdict
lim_take (struct lim *l, const struct acc_account *account, bool again,
          int64_t patience_us, int64_t now_us, int64_t *wait_us)
{
  if (!is_limited (account))
    return QLM_ADMIT;
  l->now_us = now_us;
  return qlm_take (l->limiter, account->name, again, patience_us, now_us,
                   wait_us);
}

void
lim_forget (struct lim *l, const char *account)
{
  qlm_forget (l->limiter, account);
}

void
lim_expect (struct lim *l, const struct acc_account *account, int64_t now_us)
{
  if (!is_limited (account))
    return;
  l->now_us = now_us;
  qlm_expect (l->limiter, account->name, now_us);
}

void
lim_grant (struct lim *l, const struct qlm_request *request, int64_t now_us,
           struct qgr_reply *reply)
{
  const struct acc_account *account
      = acc_table_find_name (l->accounts, request->account);
  struct qgr_standing standing;
  struct qgr_request r = { 0 };

  memset (reply, 0, sizeof *reply);
  if (is_limited (account) && request->part < QGR_PARTS)
    {
      standing
          = qgs_standing (l->fleet, request->account, request->part, now_us);
      r.account = request->account;
      r.part = request->part;
      r.limit = account->limit;
      r.needed = request->needed;
      r.wanted = request->wanted;
      qgr_grant (l->grantor, &r, &standing, now_us, reply);
    }
  l->counts.grants += reply->granted;
  l->counts.denied += reply->granted == 0 ? 1 : 0;
}

void
lim_granted (struct lim *l, const char *vm, const char *account, uint32_t part,
             uint64_t serial, const struct qgr_reply *reply, int64_t now_us)
{
  g_hash_table_remove (l->unanswered, vm);
  l->now_us = now_us;
  qlm_granted (l->limiter, account, part, serial, reply, now_us);
}

bool
lim_tick (struct lim *l, int64_t now_us)
{
  l->now_us = now_us;
  if (now_us - l->trimmed_us >= TRIM_EVERY_US)
    {
      l->trimmed_us = now_us;
      qgr_trim (l->grantor, now_us);
    }
  return qlm_tick (l->limiter, now_us);
}

const struct lim_counts *
lim_get_counts (const struct lim *l)
{
  return &l->counts;
}
