// A fleet of proxies that share the limits of accounts.
#include "limitworld.h"

#include <algorithm>

namespace
{
const int64_t kEntryTtlUs = 8000000;
const int64_t kRenewUs = 2500000;
const int64_t kTickUs = 20000;

LimitProxy *
ProxyOf (struct lim_port *port)
{
  // The port is the first member.
  return reinterpret_cast<LimitProxy *> (port);
}

bool
Reaches (const LimitProxy *a, const LimitProxy *b)
{
  return a->limits && b->limits && a->side == b->side;
}

void
DecideHeld (LimitProxy *p)
{
  for (size_t n = p->held.size (); n > 0; n--)
    {
      auto decide = p->held.front ();
      p->held.pop_front ();
      if (!decide ())
        p->held.push_back (decide);
    }
}

void
Deliver (LimitWorld *w, LimitProxy *from, LimitProxy *to,
         struct qlm_request request, const std::string &account)
{
  struct qgr_reply reply;
  uint64_t incarnation = from->incarnation;

  if (!Reaches (from, to))
    return;
  request.account = account.c_str ();
  lim_grant (to->limits, &request, w->now_us, &reply);
  w->At (w->o.message_us, [w, from, to, request, reply, account, incarnation] {
    if (Reaches (to, from) && from->incarnation == incarnation)
      lim_granted (from->limits, to->name.c_str (), account.c_str (),
                   request.part, request.serial, &reply, w->now_us);
  });
}

void
OnRequest (struct lim_port *port, const char *vm,
           const struct qlm_request *request)
{
  LimitProxy *from = ProxyOf (port);
  LimitWorld *w = from->world;
  struct qlm_request copy = *request;
  std::string account = request->account;

  for (auto &to : w->proxies)
    if (to->name == vm)
      {
        LimitProxy *target = to.get ();
        w->At (w->o.message_us, [w, from, target, copy, account] {
          Deliver (w, from, target, copy, account);
        });
      }
}

const struct lim_port_ops ops = { OnRequest };
} // namespace

LimitWorld::LimitWorld (uint64_t seed, const LimitOptions &options)
    : o (options), random (seed)
{
  accounts = nullptr;
  SetLimit (o.rate_per_s, o.burst);
  for (int n = 0; n < o.proxies; n++)
    {
      proxies.push_back (std::make_unique<LimitProxy> ());
      LimitProxy *p = proxies.back ().get ();
      p->port.ops = &ops;
      p->world = this;
      p->name = "vm-" + std::to_string (n);
      entries[p->name] = now_us + kEntryTtlUs;
    }
  for (auto &p : proxies)
    StartProxy (p.get (), true);
  for (int64_t t = 0; t < 200000000; t += kTickUs)
    At (t, [this] {
      if (store_up)
        RefreshViews ();
      for (auto &p : proxies)
        if (p->limits && lim_tick (p->limits, now_us))
          DecideHeld (p.get ());
    });
}

LimitWorld::~LimitWorld ()
{
  while (!events.empty ())
    events.pop ();
  for (auto &p : proxies)
    lim_free (p->limits);
  acc_table_free (accounts);
  for (auto *t : old_accounts)
    acc_table_free (t);
}

void
LimitWorld::SetLimit (double rate_per_s, double burst)
{
  struct acc_limit limit = { rate_per_s, burst };

  if (accounts)
    old_accounts.push_back (accounts);
  o.rate_per_s = rate_per_s;
  o.burst = burst;
  accounts = acc_table_new ();
  account = acc_table_add (accounts, "acme", &limit);
  for (auto &p : proxies)
    if (p->limits)
      lim_set_accounts (p->limits, accounts);
}

void
LimitWorld::StartProxy (LimitProxy *p, bool founding)
{
  struct lim_options lo
      = { p->name.c_str (), rdv_weight, o.terms, kEntryTtlUs };
  if (!founding && !(store_up && p->reaches_store))
    {
      At (200000, [this, p] {
        if (!p->limits)
          StartProxy (p, false);
      });
      return;
    }
  bool was_listed = entries.count (p->name) && entries[p->name] > now_us;

  p->incarnation++;
  p->era = era;
  p->held.clear ();
  p->view.clear ();
  p->limits = lim_new (&lo, now_us);
  lim_set_port (p->limits, &p->port);
  lim_set_accounts (p->limits, accounts);
  for (const auto &e : entries)
    if (e.second > now_us)
      {
        p->view.insert (e.first);
        qgs_note_listed (lim_fleet (p->limits), e.first.c_str (), now_us);
      }
  qgs_note_first_listing (lim_fleet (p->limits), was_listed, founding, now_us);
  Renew (p, p->incarnation);
}

void
LimitWorld::StopProxy (LimitProxy *p)
{
  lim_free (p->limits);
  p->limits = nullptr;
  p->held.clear ();
}

void
LimitWorld::Renew (LimitProxy *p, uint64_t incarnation)
{
  if (!p->limits || p->incarnation != incarnation)
    return;
  if (p->reaches_store && store_up)
    {
      if (p->era != era)
        qgs_note_directory_reset (lim_fleet (p->limits));
      p->era = era;
      if (entries[p->name] <= now_us)
        qgs_note_entry_lost (lim_fleet (p->limits), now_us);
      entries[p->name] = now_us + kEntryTtlUs;
      qgs_note_renewed (lim_fleet (p->limits), now_us);
    }
  At (kRenewUs, [this, p, incarnation] { Renew (p, incarnation); });
}

// Each proxy that reaches the directory learns of changes after a while.
void
LimitWorld::RefreshViews ()
{
  std::set<std::string> live;

  for (const auto &e : entries)
    if (e.second > now_us)
      live.insert (e.first);
  for (auto &p : proxies)
    {
      LimitProxy *raw = p.get ();
      uint64_t incarnation = p->incarnation;

      if (!p->limits || !p->reaches_store || p->view == live)
        continue;
      At (random () % o.directory_us, [this, raw, incarnation, live] {
        if (!raw->limits || raw->incarnation != incarnation
            || !raw->reaches_store)
          return;
        for (const auto &name : live)
          if (!raw->view.count (name))
            qgs_note_listed (lim_fleet (raw->limits), name.c_str (), now_us);
        for (const auto &name : raw->view)
          if (!live.count (name))
            qgs_note_gone (lim_fleet (raw->limits), name.c_str (), now_us);
        raw->view = live;
      });
    }
}

// Returns false if the operation waits.
bool
LimitWorld::Decide (LimitProxy *p, bool again, int64_t asked_us)
{
  int64_t wait_us = 0;
  int64_t waited_us = now_us - asked_us;
  enum qlm_verdict v = lim_take (p->limits, account, again,
                                 o.patience_us - waited_us, now_us, &wait_us);

  if (v == QLM_ADMIT)
    admitted_us.push_back (now_us);
  refused += v == QLM_OVER_LIMIT;
  unreachable += v == QLM_UNREACHABLE;
  return v != QLM_WAIT;
}

void
LimitWorld::Ask (LimitProxy *p)
{
  if (!p->limits)
    return;
  asked++;
  int64_t asked_us = now_us;
  if (!Decide (p, false, asked_us))
    p->held.push_back (
        [this, p, asked_us] { return Decide (p, true, asked_us); });
}

void
LimitWorld::Load (double rate, int64_t for_us)
{
  std::exponential_distribution<> gap_s (rate);

  for (double t = gap_s (random); t * 1e6 < (double)for_us;
       t += gap_s (random))
    At ((int64_t)(t * 1e6),
        [this] { Ask (proxies[random () % proxies.size ()].get ()); });
}

size_t
LimitWorld::MostInWindow (int64_t from_us) const
{
  size_t most = 0;
  size_t first = 0;

  for (size_t n = 0; n < admitted_us.size (); n++)
    {
      if (admitted_us[n] < from_us)
        continue;
      while (admitted_us[first] < from_us
             || admitted_us[n] - admitted_us[first] > o.terms.window_us)
        first++;
      most = std::max (most, n - first + 1);
    }
  return most;
}

double
LimitWorld::Bound () const
{
  return (o.rate_per_s * (double)o.terms.window_us / 1e6 + o.burst)
             * (1 + o.terms.overage)
         + o.terms.slack;
}
