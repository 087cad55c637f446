// Connections that belong to accounts: the plan, and what many accounts on few
// connections get from it.
#include <glib.h>
extern "C"
{
#include "linkplan.h"
}
#include "virtualtime.h"
#include <algorithm>
#include <cmath>
#include <deque>
#include <gtest/gtest.h>
#include <random>
#include <string>
#include <vector>

namespace
{
const int64_t kNowUs = 10000000;

TEST (LinkPlan, ChoosesByAccountAndIdleTime)
{
  const int64_t recent_us = kNowUs - 1000;
  const int64_t old_us = kNowUs - 500000;
  struct
  {
    const char *what;
    std::vector<struct lpl_link> links;
    uint32_t max;
    int64_t waited_us;
    enum lpl_action action;
    uint32_t link;
  } const cases[] = {
    { "none open", {}, 4, 0, LPL_OPEN, 0 },
    { "own idle ones, the last one used",
      { { "a", LPL_IDLE, old_us }, { "a", LPL_IDLE, recent_us } },
      4,
      0,
      LPL_USE,
      1 },
    { "only another account's",
      { { "b", LPL_IDLE, old_us } },
      4,
      0,
      LPL_OPEN,
      0 },
    { "one is being opened", { { "a", LPL_OPENING, 0 } }, 4, 0, LPL_WAIT, 0 },
    { "full, the longest idle gives way",
      { { "b", LPL_IDLE, recent_us }, { "c", LPL_IDLE, old_us } },
      2,
      0,
      LPL_REPLACE,
      1 },
    { "full, just used", { { "b", LPL_IDLE, recent_us } }, 1, 0, LPL_WAIT, 0 },
    { "full, just used, waited long",
      { { "b", LPL_IDLE, recent_us } },
      1,
      60000,
      LPL_REPLACE,
      0 },
    { "full and busy", { { "b", LPL_BUSY, 0 } }, 1, 900000, LPL_WAIT, 0 },
    { "the account's part is used up",
      { { "a", LPL_BUSY, 0 }, { "a", LPL_BUSY, 0 }, { "a", LPL_BUSY, 0 } },
      4,
      0,
      LPL_WAIT,
      0 },
    { "no connections allowed", {}, 0, 900000, LPL_WAIT, 0 },
  };

  for (const auto &c : cases)
    {
      struct lpl_demand demand = { "a", c.waited_us, c.max };
      struct lpl_choice got = lpl_choose (&demand, c.links.data (),
                                          (uint32_t)c.links.size (), kNowUs);
      EXPECT_EQ (got.action, c.action) << c.what;
      bool names_link = got.action == LPL_USE || got.action == LPL_REPLACE;
      EXPECT_EQ (names_link ? got.link : 0, c.link) << c.what;
    }
}

// One home of an instance: its connections, and the slots that statements and
// handshakes take.
struct LinkWorld : VirtualTime
{
  struct Link
  {
    std::string account;
    enum lpl_state state;
    int64_t idle_since_us;
  };
  struct Statement
  {
    int account;
    int64_t arrived_us;
  };

  static constexpr int64_t kHandshakeUs = 12000;
  static constexpr int64_t kWorkUs = 9000;
  uint32_t links_max;
  uint32_t slots = 2;
  uint32_t busy_slots = 0;
  std::deque<std::function<void ()> > slot_queue;
  std::vector<Link> links;
  std::deque<Statement> waiting;
  std::vector<int64_t> waits_us;
  std::vector<std::vector<int64_t> > took_us; // by account
  uint64_t opened = 0;
  uint64_t served = 0;

  LinkWorld (uint32_t max, int accounts) : links_max (max), took_us (accounts)
  {
  }

  // Runs FN after WORK_US in a slot.
  void
  InSlot (int64_t work_us, std::function<void ()> fn)
  {
    auto run = [this, work_us, fn] {
      busy_slots++;
      At (work_us, [this, fn] {
        busy_slots--;
        fn ();
        if (!slot_queue.empty () && busy_slots < slots)
          {
            auto next = slot_queue.front ();
            slot_queue.pop_front ();
            next ();
          }
      });
    };
    if (busy_slots < slots)
      run ();
    else
      slot_queue.push_back (run);
  }

  Link *
  FindOpening (const std::string &account)
  {
    for (Link &l : links)
      if (l.account == account && l.state == LPL_OPENING)
        return &l;
    return nullptr;
  }

  void
  Open (const std::string &account)
  {
    opened++;
    links.push_back ({ account, LPL_OPENING, 0 });
    InSlot (kHandshakeUs, [this, account] {
      Link *l = FindOpening (account);
      l->state = LPL_IDLE;
      l->idle_since_us = now_us;
      Dispatch ();
    });
  }

  void
  Use (uint32_t n, const Statement &s)
  {
    std::string account = links[n].account;

    links[n].state = LPL_BUSY;
    InSlot (kWorkUs, [this, account, s] {
      served++;
      took_us[s.account].push_back (now_us - s.arrived_us);
      for (Link &l : links)
        if (l.account == account && l.state == LPL_BUSY)
          {
            l.state = LPL_IDLE;
            l.idle_since_us = now_us;
            break;
          }
      Dispatch ();
    });
  }

  void
  Dispatch ()
  {
    for (size_t n = 0; n < waiting.size ();)
      {
        Statement s = waiting[n];
        std::string account = "a" + std::to_string (s.account);
        std::vector<struct lpl_link> plan;
        for (const Link &l : links)
          plan.push_back ({ l.account.c_str (), l.state, l.idle_since_us });
        struct lpl_demand demand
            = { account.c_str (), now_us - s.arrived_us, links_max };
        struct lpl_choice c = lpl_choose (&demand, plan.data (),
                                          (uint32_t)plan.size (), now_us);
        if (c.action == LPL_REPLACE)
          links.erase (links.begin () + c.link);
        if (c.action == LPL_REPLACE || c.action == LPL_OPEN)
          Open (account);
        if (c.action != LPL_USE)
          {
            n++;
            continue;
          }
        waits_us.push_back (now_us - s.arrived_us);
        waiting.erase (waiting.begin () + (long)n);
        Use (c.link, s);
      }
  }

  void
  Arrive (int account)
  {
    waiting.push_back ({ account, now_us });
    Dispatch ();
  }
};

// Plays accounts of Zipf skew on the connections of one home; account HOT
// sends HOT_FACTOR times its usual.
void
PlayAccounts (LinkWorld *w, int accounts, double skew, double per_s,
              int64_t for_us, int hot, double hot_factor)
{
  std::mt19937_64 random (7);
  double total = 0;

  for (int a = 0; a < accounts; a++)
    total += 1 / std::pow (a + 1, skew);
  for (int a = 0; a < accounts; a++)
    {
      double rate = per_s / total / std::pow (a + 1, skew)
                    * (a == hot ? hot_factor : 1);
      std::exponential_distribution<> gap (rate);
      for (double t = gap (random); t * 1e6 < (double)for_us;
           t += gap (random))
        w->At ((int64_t)(t * 1e6), [w, a] { w->Arrive (a); });
    }
  for (int64_t t = 0; t < for_us + 2000000; t += 20000)
    w->At (t, [w] { w->Dispatch (); });
  w->Run (for_us + 2000000);
}

// The share of the statements of the worst-served tenth of the accounts that
// ended within LIMIT_US.
double
WorstTenth (const LinkWorld &w, int64_t limit_us)
{
  std::vector<double> shares;

  for (const auto &took : w.took_us)
    if (!took.empty ())
      shares.push_back ((double)std::count_if (
                            took.begin (), took.end (),
                            [limit_us] (int64_t us) { return us <= limit_us; })
                        / (double)took.size ());
  std::sort (shares.begin (), shares.end ());
  double sum = 0;
  size_t n = std::max<size_t> (shares.size () / 10, 1);
  for (size_t k = 0; k < n; k++)
    sum += shares[k];
  return sum / (double)n;
}

TEST (LinkPlan, ManyAccountsShareFewConnections)
{
  // The load of one of the two homes of an instance: 44 of 88 accounts on half
  // of 34 connections.  The objective of the callers is 300 ms.
  struct
  {
    const char *what;
    double per_s;
    int hot;
    double hot_factor;
  } const cases[]
      = { { "usual", 15, -1, 1 },
          { "twice as much", 30, -1, 1 },
          { "a large account sends 12 times its usual", 15, 0, 12 },
          { "a small account sends 12 times its usual", 15, 30, 12 } };

  for (const auto &c : cases)
    {
      LinkWorld w (14, 44);
      PlayAccounts (&w, 44, 1.2, c.per_s, 60000000, c.hot, c.hot_factor);
      EXPECT_TRUE (w.waiting.empty ()) << c.what;
      EXPECT_GE (WorstTenth (w, 300000), 0.98) << c.what;
      EXPECT_LT (*std::max_element (w.waits_us.begin (), w.waits_us.end ()),
                 300000)
          << c.what;
      // The accounts outnumber the connections three times, but the large ones
      // keep theirs.
      EXPECT_LT (w.opened * 1000 / w.served, 400u) << c.what;
    }
}

TEST (LinkPlan, AllAccountsAtOnceAfterAPowerLoss)
{
  // Until the instance has noticed the loss, the new home has only a few
  // connections.
  LinkWorld w (3, 44);
  for (int a = 0; a < 44; a++)
    w.At (1000, [&w, a] { w.Arrive (a); });
  for (int64_t t = 0; t < 2000000; t += 5000)
    w.At (t, [&w] { w.Dispatch (); });
  w.Run (2000000);
  EXPECT_TRUE (w.waiting.empty ());
  EXPECT_EQ (w.served, 44u);
}
} // namespace
