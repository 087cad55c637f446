/* Client accounts of sessions: who a caller is, and whether the limit of its
   account admits its work.  */
#include "poolerint.h"

#include "rendezvous.h"

/* The part of its maximum wait that a statement may wait for the limit of its
   account; the rest is for the connection.  */
#define PATIENCE_DIVISOR 2
/* Longest text of a refusal with the time to wait, in bytes.  */
#define REFUSAL_TEXT_MAX 160

static bool
are_accounts_used (const struct plr *p)
{
  return p->options.accounts.required
         || (p->config && p->config->accounts != NULL);
}

static const struct acc_account *
find_account (const struct plr *p, const struct ses *s)
{
  if (!s->has_key || !p->config || !p->config->accounts)
    return NULL;
  return acc_table_find (p->config->accounts, &s->key);
}

void
plr_set_key (struct ses *s, const char *key)
{
  if (!key)
    return;
  acc_digest_key (key, &s->key);
  s->has_key = true;
}

/* Returns true if the caller of S may use route R.  */
static bool
may_use (const struct plr *p, const struct ses *s, const struct dir_route *r)
{
  return !are_accounts_used (p) || r->is_public || find_account (p, s);
}

bool
plr_is_allowed (const struct plr *p, const struct ses *s)
{
  const struct dir_route *r;

  if (!are_accounts_used (p))
    return true;
  r = dir_find_route (p->config, s->database);
  return !r || may_use (p, s, r);
}

bool
plr_assign_account (struct plr *p, struct ses *s, const struct dir_route *r)
{
  const struct acc_account *account = find_account (p, s);

  if (!may_use (p, s, r))
    return false;
  if (account)
    ses_set_account (s, account->name);
  else
    ses_set_account (s, are_accounts_used (p) ? ACC_ANONYMOUS : NULL);
  return true;
}

static const struct acc_account *
limited_account (const struct plr *p, const struct ses *s)
{
  if (s->relay_instance || s->work.admitted || !s->account || !p->config)
    return NULL;
  return acc_table_find_name (p->config->accounts, s->account);
}

void
plr_expect_work (struct plr *p, const struct ses *s, int64_t now_us)
{
  const struct acc_account *account = limited_account (p, s);

  if (account)
    lim_expect (p->limits, account, now_us);
}

static void
refuse_over_limit (struct plr *p, struct ses *s,
                   const struct acc_account *account, enum qlm_verdict verdict,
                   int64_t wait_us, int64_t now_us)
{
  bool over = verdict == QLM_OVER_LIMIT;
  enum rfs why = over ? RFS_OVER_LIMIT : RFS_LIMIT_UNREACHABLE;
  char text[REFUSAL_TEXT_MAX];

  EV (p->options.log, now_us, EV_OVER_LIMIT, EV_TEXT ("id", s->statement.id),
      EV_TEXT ("account", account->name), EV_TEXT ("why", rfs_name (why)),
      EV_INT ("rate_per_s", (int64_t)account->limit.rate_per_s),
      EV_INT ("burst", (int64_t)account->limit.burst),
      EV_INT ("version", (int64_t)plr_config_version (p)),
      EV_INT ("retry_after_us", wait_us));
  usg_count (p->usage, account->name,
             over ? USG_OVER_LIMIT : USG_LIMIT_UNREACHABLE);
  g_snprintf (text, sizeof text, "%s; retry after %" G_GINT64_FORMAT " ms",
              rfs_text (why), MAX (wait_us / 1000, 1));
  plr_refuse_with (p, s, why, SQC_BUSY, text, now_us);
}

/* Moves S, which has a statement, into or out of the queue of held ones.  */
static void
set_held (struct plr *p, struct ses *s, bool held)
{
  if (held == (s->stage == SES_HELD))
    return;
  if (held)
    g_queue_push_tail_link (&p->held, &s->waiting_node);
  else
    g_queue_unlink (&p->held, &s->waiting_node);
  s->stage = held ? SES_HELD : SES_SENT;
}

/* Decides whether the account of S admits its statement.  Returns true if it
   does; else the statement is held, or was refused.  */
static bool
decide (struct plr *p, struct ses *s, const struct acc_account *account,
        int64_t now_us)
{
  int64_t wait_us = 0;
  bool again = s->stage == SES_HELD;
  int64_t patience_us
      = ovl_max_wait_us (&p->request_kinds, s->work.request_kind)
            / PATIENCE_DIVISOR
        - (now_us - s->arrived_us);
  enum qlm_verdict verdict
      = lim_take (p->limits, account, again, patience_us, now_us, &wait_us);

  set_held (p, s, verdict == QLM_WAIT);
  if (verdict == QLM_ADMIT)
    {
      s->work.admitted = true;
      usg_count (p->usage, account->name, USG_ADMITTED);
      return true;
    }
  if (verdict != QLM_WAIT)
    refuse_over_limit (p, s, account, verdict, wait_us, now_us);
  return false;
}

bool
plr_admit (struct plr *p, struct ses *s, int64_t now_us)
{
  const struct acc_account *account = limited_account (p, s);

  return !account || decide (p, s, account, now_us);
}

void
plr_leave_held (struct plr *p, struct ses *s)
{
  if (s->stage != SES_HELD)
    return;
  set_held (p, s, false);
  lim_forget (p->limits, s->account);
}

/* Decides again on the held statement of S, whose account may be gone.  */
static void
decide_again (struct plr *p, struct ses *s, int64_t now_us)
{
  const struct acc_account *account = limited_account (p, s);

  if (!account)
    plr_leave_held (p, s);
  if (!account || decide (p, s, account, now_us))
    plr_start_statement (p, s, now_us);
}

void
plr_decide_held (struct plr *p, const char *account, int64_t now_us)
{
  /* A decision may end other sessions, or hold new ones at the tail.  */
  for (guint n = p->held.length; n > 0 && p->held.head; n--)
    {
      struct ses *s = p->held.head->data;

      g_queue_unlink (&p->held, &s->waiting_node);
      g_queue_push_tail_link (&p->held, &s->waiting_node);
      if (!account || g_strcmp0 (s->account, account) == 0)
        decide_again (p, s, now_us);
    }
}

void
plr_count_limits (struct plr *p)
{
  const struct lim_counts *now = lim_get_counts (p->limits);
  const struct lim_counts *before = &p->limits_counted;

  ctr_add (p->options.counters, CTR_LIMIT_REQUESTS,
           now->requests - before->requests);
  ctr_add (p->options.counters, CTR_LIMIT_GRANTS,
           now->grants - before->grants);
  ctr_add (p->options.counters, CTR_LIMIT_DENIED,
           now->denied - before->denied);
  p->limits_counted = *now;
}

struct lim *
plr_limits (struct plr *p)
{
  return p->limits;
}

struct usg_set *
plr_usage (struct plr *p)
{
  return p->usage;
}

void
plr_init_accounts (struct plr *p)
{
  struct lim_options o
      = { p->options.vm, rdv_weight, p->options.accounts.terms,
          p->options.accounts.entry_ttl_us };

  g_queue_init (&p->held);
  p->limits = lim_new (&o, p->options.accounts.started_us);
  p->usage = usg_new ();
}

void
plr_free_accounts (struct plr *p)
{
  lim_free (p->limits);
  usg_free (p->usage);
}
