// Overload control: what callers get under more load than the slots can serve.
#include "poolworld.h"

#include <gtest/gtest.h>

namespace
{
// Requests of three kinds, as in the example deployment imena, while both
// replicas lag beyond every allowed age, so that all statements go to the two
// slots of the primary.
struct LaggingLoad
{
  struct Kind
  {
    const char *database;
    int64_t every_us;
    int64_t objective_us;
    int sent = 0, in_time = 0, refused = 0;
    // Refusals of requests sent once the load counts as sustained, and the sum
    // of their response times.
    int shed = 0;
    int64_t shed_after_us = 0;
  } kinds[3] = { { "fresh", 22000, 300000 },
                 { "bounded", 22000, 600000 },
                 { "own", 4800, 500000 } };

  int64_t start_us = 0;

  void
  Play (PoolWorld &w, int64_t for_us)
  {
    w.faults.slots = 2;
    w.faults.slot_queue = 16;
    w.work_us = { { "fresh", 4500 }, { "bounded", 22000 }, { "own", 14000 } };
    Caller *writer = w.Open ("fresh");
    EXPECT_EQ (w.Execute (writer, STM_WRITE, nullptr, "a 1"), "ok");
    for (uint32_t k = 1; k < w.group->n; k++)
      w.group->instances[k].lag_us = 60000000;
    for (int64_t t = 0; t < 3000000; t += 50000)
      {
        w.Execute (writer, STM_WRITE, nullptr, "a 1");
        w.Run (50000);
      }
    start_us = w.now_us;
    for (Kind &k : kinds)
      for (int64_t t = 0; t < for_us; t += k.every_us)
        w.At (t, [this, &w, &k] { Call (w, k); });
    w.Run (for_us + 3000000);
  }

  void
  Call (PoolWorld &w, Kind &k)
  {
    Caller *c = w.Open (k.database);

    k.sent++;
    w.Send (c, STM_READ, nullptr, "a");
    CountOutcome (w, k, c, w.now_us);
  }

  // Counts the outcome of the call once it has completed.
  void
  CountOutcome (PoolWorld &w, Kind &k, Caller *c, int64_t sent_us)
  {
    if (c->busy)
      {
        w.At (1000,
              [this, &w, &k, c, sent_us] { CountOutcome (w, k, c, sent_us); });
        return;
      }
    if (c->oks > 0 && w.now_us - sent_us <= k.objective_us)
      k.in_time++;
    if (c->oks == 0)
      k.refused++;
    if (c->oks == 0 && sent_us - start_us >= 2000000)
      {
        k.shed++;
        k.shed_after_us += w.now_us - sent_us;
      }
  }
};

TEST (Pooler, OverloadIsShedEarlyAndTheRestServedInTime)
{
  // Twice as much as the two slots can serve, for eight seconds.
  PoolWorld w (18);
  LaggingLoad load;
  load.Play (w, 8000000);
  const auto &fresh = load.kinds[0], &bounded = load.kinds[1],
             &own = load.kinds[2];
  EXPECT_GE (fresh.in_time, fresh.sent * 95 / 100);
  // At least 85 % of the slots' time goes into replies that are in time.
  EXPECT_GE (fresh.in_time * 4500 + bounded.in_time * 22000
                 + own.in_time * 14000,
             2 * 8000000 * 85 / 100);
  // The longest statements are refused, and early.
  EXPECT_GT (bounded.refused, bounded.sent / 2);
  ASSERT_GT (bounded.shed, 0);
  EXPECT_LT (bounded.shed_after_us / bounded.shed, 150000);
  EXPECT_GT (w.Refusals (RFS_OVERLOADED), 0u);
  ExpectNoBreach (w);
}

// The control for the test above: the same load without load shedding.
TEST (Pooler, WithoutObjectivesAllAreLateUnderOverload)
{
  PoolWorld w (18);
  LaggingLoad load;
  w.objectives = false;
  w.Configure (2);
  load.Play (w, 8000000);
  EXPECT_LT (load.kinds[2].in_time, load.kinds[2].sent * 30 / 100);
  EXPECT_EQ (w.Refusals (RFS_OVERLOADED), 0u);
  ExpectNoBreach (w);
}

// Load shedding must not refuse statements that wait for a primary that is
// unresponsive for a moment.
TEST (Pooler, OutageIsWaitedOutThoughStatementsQueue)
{
  PoolWorld w (19);
  Caller *warm = w.Open ("fresh");
  EXPECT_EQ (w.Execute (warm, STM_READ, nullptr, "a"), "ok");
  w.unresponsive["i-0"] = true;
  w.votes_missed = 0;
  std::vector<Caller *> cs;
  for (int n = 0; n < 8; n++)
    {
      cs.push_back (w.Open ("fresh"));
      w.Send (cs.back (), STM_READ, nullptr, "a");
      w.Run (40000);
    }
  w.Run (300000);
  w.unresponsive["i-0"] = false;
  EXPECT_EQ (w.Refusals (RFS_OVERLOADED), 0u);
  w.Run (900000);
  ExpectNoBreach (w);
}

// A home of the primary among sixty proxies, with more statements than its
// share of the slots can serve.
struct BusyHome
{
  PoolWorld w;
  std::vector<Caller *> waiting;
  explicit BusyHome (uint64_t seed) : w (seed)
  {
    for (int n = 1; n <= 60; n++)
      plr_set_vm (w.pooler, ("vm-" + std::to_string (n)).c_str (),
                  "10.0.1.1:1", n <= 2 ? "a" : "b", 0.25);
    w.Execute (w.Open ("fresh"), STM_WRITE, nullptr, "a 1");
    w.Run (500000);
    w.faults.slots = 2;
    w.faults.slot_queue = 16;
    w.faults.work_us = 20000;
    for (int n = 0; n < 20; n++)
      waiting.push_back (Send ({ 34, 400, 0 }, STM_READ));
    w.Run (65000);
  }
  Caller *
  Send (struct stm_urgency urgency, enum stm_kind kind)
  {
    Caller *c = w.OpenRelay ("i-0");
    EXPECT_NE (c->session, nullptr);
    c->urgency = urgency;
    w.Send (c, kind, nullptr, kind == STM_READ ? "a" : nullptr);
    return c;
  }
  int
  Completed () const
  {
    int n = 0;
    for (const Caller *c : waiting)
      n += c->busy ? 0 : 1;
    return n;
  }
};

// Open transactions hold connections between their statements.  A home that
// had no further ones kept the others waiting while the slots were idle.
TEST (Pooler, OpenTransactionsAtAHomeLeaveConnectionsToOthers)
{
  BusyHome h (32);
  h.w.Run (1000000);
  for (int n = 0; n < 4; n++)
    {
      Caller *c = h.w.OpenRelay ("i-0");

      EXPECT_EQ (h.w.Execute (c, STM_BEGIN_READ), "ok");
      EXPECT_EQ (h.w.Execute (c, STM_READ, nullptr, "a"), "ok");
    }
  Caller *other = h.Send ({ 34, 400, 0 }, STM_READ);
  h.w.Run (100000);
  EXPECT_EQ (other->last, "ok");
  ExpectNoBreach (h.w);
}

TEST (Pooler, AtAHomeUrgentStatementsGoFirst)
{
  BusyHome h (26);
  Caller *urgent = h.Send ({ 17, 400, 0 }, STM_READ);
  int before = h.Completed ();
  while (urgent->busy)
    h.w.Run (1000);
  EXPECT_EQ (urgent->last, "ok");
  // Only the statements already under way got replies before the urgent one.
  EXPECT_LE (h.Completed () - before, 5);
  h.w.Run (1000000);
  EXPECT_EQ (h.Completed (), 20);
  ExpectNoBreach (h.w);
}

// A proxy that runs few statements may think that the longer kind is the
// shorter one, also because the wait at a busy home counts as execution time
// there.  A home that knows the kinds better must not follow it.
TEST (Pooler, AHomeRanksStatementsByWhatItHasMeasured)
{
  struct dir_route bounded = {}, own = {};
  const struct stm_urgency idle = { 40, 400, 0 };
  BusyHome h (33);
  std::vector<Caller *> longer;

  bounded.reads = DIR_READ_BOUNDED_STALE;
  bounded.objective_us = 600000;
  own.reads = DIR_READ_YOUR_WRITES;
  own.objective_us = 500000;
  bounded.timeout_us = own.timeout_us = 800000;
  h.w.Run (1000000);
  // Reads of both kinds that only the primary can serve.
  for (uint32_t k = 1; k < h.w.group->n; k++)
    h.w.group->instances[k].lag_us = 60000000;
  h.w.work_us = { { "bounded", 22000 }, { "own", 9000 } };
  for (int n = 0; n < 200; n++)
    {
      h.w.Execute (h.w.Open ("fresh"), STM_WRITE, nullptr, "a 1");
      h.w.Execute (h.w.Open (n % 2 ? "bounded" : "own"), STM_READ, nullptr,
                   "a");
    }
  // The slots are busy, and the sender ranks the kinds the wrong way round.
  for (int n = 0; n < 6; n++)
    h.Send (idle, STM_READ);
  for (int n = 0; n < 4; n++)
    longer.push_back (
        h.Send ({ 33, 400, ovl_kind_id (&bounded, false) }, STM_READ));
  Caller *shorter = h.Send ({ 34, 400, ovl_kind_id (&own, false) }, STM_READ);
  while (shorter->busy)
    h.w.Run (1000);
  EXPECT_EQ (shorter->last, "ok");
  for (const Caller *c : longer)
    EXPECT_TRUE (c->busy);
  ExpectNoBreach (h.w);
}

// Guards against a false suspicion: when the probes of other proxies waited
// behind the statements, they got their replies after half a second, and those
// proxies suspected the primary to have failed.
TEST (Pooler, AtAHomeProbesOfProxiesNeedNoSlot)
{
  BusyHome h (27);
  Caller *probe = h.Send ({ 0, 0, 0 }, STM_BEGIN);
  h.w.Run (h.w.faults.round_trip_us + 1000);
  EXPECT_EQ (probe->last, "ok");
  ExpectNoBreach (h.w);
}

TEST (Pooler, AHomeRefusesWhatSustainedLoadMakesLate)
{
  BusyHome h (28);
  std::map<std::string, int> results;
  // Three times what two slots can serve.
  for (int n = 0; n < 900; n++)
    {
      h.waiting.push_back (h.Send ({ 34, 200, 0 }, STM_READ));
      h.w.Run (3333);
    }
  // The BEGIN of another proxy carries no request id; it is logged as "-".
  struct stm anonymous = {};
  anonymous.kind = STM_BEGIN;
  anonymous.urgency = { 40, 1, 0 };
  h.w.log_lines.clear ();
  h.w.log.limits[EV_OVERLOAD].written = 0;
  for (int n = 0; n < 5; n++)
    {
      Caller *c = h.w.OpenRelay ("i-0");
      c->busy = true;
      plr_run_statement (h.w.pooler, c->session, &anonymous, h.w.now_us);
    }
  ASSERT_FALSE (h.w.log_lines.empty ());
  EXPECT_NE (
      h.w.log_lines.back ().find ("\"event\":\"overload\",\"id\":\"-\""),
      std::string::npos)
      << h.w.log_lines.back ();
  h.w.Run (1000000);
  for (const Caller *c : h.waiting)
    results[c->last]++;
  EXPECT_GT (results["overloaded"], 300);
  EXPECT_GT (results["ok"], 250);
  EXPECT_EQ (h.Completed (), 920);
  ExpectNoBreach (h.w);
}

TEST (Pooler, StatementRefusedByAHomeIsRetriedElsewhereOrEndsAsBusy)
{
  struct
  {
    const char *database;
    const char *result;
  } const cases[] = { { "fresh", "busy" }, { "bounded", "ok" } };
  for (const auto &c : cases)
    {
      PoolWorld w (29);
      for (int n = 1; n <= 60; n++)
        plr_set_vm (w.pooler, ("vm-" + std::to_string (n)).c_str (),
                    "10.0.1.1:1", n == 1 ? "c" : "a", 0.25);
      EXPECT_EQ (w.Execute (w.Open ("fresh"), STM_WRITE, nullptr, "a 1"),
                 "ok");
      w.Execute (w.Open ("bounded"), STM_READ, nullptr, "a");
      w.Run (300000);
      w.overloaded_home_of = "i-0";
      EXPECT_EQ (w.Execute (w.Open (c.database), STM_READ, nullptr, "a"),
                 c.result)
          << c.database;
      uint64_t elsewhere
          = ((uint64_t *)w.counters->retry)[RETRY_OVERLOADED_INSTANCE];
      EXPECT_EQ (elsewhere, strcmp (c.result, "ok") == 0 ? 1u : 0u);
      ExpectNoBreach (w);
    }
}

TEST (Overload, ShorterKindOfAPriorityGoesFirst)
{
  struct ovl_kinds k = {};
  struct dir_route order = {}, lookup = {}, tally = {};
  order.priority = 1;
  lookup.priority = tally.priority = 2;
  order.reads = DIR_READ_PRIMARY;
  lookup.reads = DIR_READ_BOUNDED_STALE;
  tally.reads = DIR_READ_YOUR_WRITES;
  order.objective_us = 300000;
  lookup.objective_us = 600000;
  tally.objective_us = 500000;
  order.timeout_us = lookup.timeout_us = tally.timeout_us = 800000;
  uint32_t o = ovl_find_kind (&k, &order, false),
           l = ovl_find_kind (&k, &lookup, false),
           t = ovl_find_kind (&k, &tally, false),
           order_transaction = ovl_find_kind (&k, &order, true),
           tally_transaction = ovl_find_kind (&k, &tally, true);
  EXPECT_EQ (ovl_find_kind (&k, &lookup, false), l);
  EXPECT_EQ (ovl_rank (&k, l), ovl_rank (&k, t)) << "nothing measured yet";
  for (int n = 0; n < 200; n++)
    {
      ovl_note_exec_time (&k, o, 70000);
      ovl_note_exec_time (&k, l, 8000);
      ovl_note_exec_time (&k, t, -1000);
    }
  EXPECT_LT (ovl_rank (&k, o), ovl_rank (&k, t)) << "priority goes first";
  EXPECT_LT (ovl_rank (&k, t), ovl_rank (&k, l));
  EXPECT_LT (ovl_rank (&k, l), ovl_rank (&k, tally_transaction));
  EXPECT_LT (ovl_rank (&k, o), ovl_rank (&k, order_transaction));
  EXPECT_LT (ovl_rank (&k, order_transaction), ovl_rank (&k, t))
      << "priority goes first";
  EXPECT_GT (ovl_rank (&k, o), 0u);
  EXPECT_EQ (ovl_max_wait_us (&k, t), 375000);
  EXPECT_EQ (ovl_max_wait_us (&k, tally_transaction), 250000);
}

// Refused statements still count as load: when they did not, shedding emptied
// the queue, which then took in everything for a second.
TEST (Overload, LoadLastsAsLongAsStatementsAreRefused)
{
  struct
  {
    bool refused;
    bool shed;
  } const cases[] = { { true, true }, { false, false } };
  for (const auto &c : cases)
    {
      struct ovl_throughput throughput = {};
      int64_t now_us = 1000000;
      for (int n = 0; n < 150; n++, now_us += 10000)
        ovl_note_start (&throughput, 34, 20, now_us);
      if (c.refused)
        ovl_note_refused (&throughput, 34, true, now_us);
      for (int n = 0; n < 5; n++, now_us += 10000)
        ovl_note_start (&throughput, 34, 0, now_us);
      struct ovl_queue q = { &throughput, 34, true, 60, 10000 };
      EXPECT_EQ (ovl_should_shed (&q, 300000, 0, now_us), c.shed) << c.refused;
    }
}

TEST (Overload, ShouldShed)
{
  struct
  {
    const char *what;
    bool is_new;
    uint32_t n_ahead;
    int64_t gap_us, oldest_wait_us, max_wait_us, waited_us, idle_us,
        backlog_for_us;
    uint32_t starved_rank;
    uint32_t n_lower; // of the last 32 starts
    bool shed;
  } const cases[] = {
    { "an empty queue", true, 0, 10000, 0, 300000, 0, 0, 1500000, 0, 32,
      false },
    { "a short queue", true, 10, 10000, 50000, 300000, 0, 0, 1500000, 0, 0,
      false },
    { "a queue that takes over a third of the budget", true, 11, 10000, 50000,
      300000, 0, 0, 1500000, 0, 0, true },
    { "a long queue", true, 31, 10000, 50000, 300000, 0, 0, 1500000, 0, 0,
      true },
    { "a long queue that was empty a moment ago", true, 31, 10000, 50000,
      300000, 0, 0, 900000, 0, 0, false },
    { "half of the starts go to lower ranks", true, 5, 10000, 50000, 300000, 0,
      0, 1500000, 0, 16, false },
    { "nearly all starts go to lower ranks", true, 3, 10000, 50000, 300000, 0,
      0, 1500000, 0, 31, true },
    { "a short queue whose first has waited long", true, 3, 10000, 151000,
      300000, 0, 0, 1500000, 0, 0, false },
    { "only a new statement is refused for the queue", false, 31, 10000,
      151000, 300000, 10000, 0, 1500000, 0, 0, false },
    { "it has used up its wait budget", false, 0, 10000, 0, 300000, 300000, 0,
      1500000, 0, 0, true },
    { "no statement starts: an outage", false, 31, 10000, 900000, 300000,
      300000, 141000, 1500000, 0, 0, false },
    { "statements start again after an outage", false, 31, 10000, 900000,
      300000, 1600000, 0, 1500000, 0, 0, false },
    { "its rank is starved, and one of it waits already", true, 1, 10000, 1000,
      300000, 0, 0, 1500000, 34, 0, true },
    { "its rank is starved, and none of it waits", true, 0, 10000, 0, 300000,
      0, 0, 1500000, 34, 0, false },
    { "a later rank is starved", true, 1, 10000, 1000, 300000, 0, 0, 1500000,
      35, 0, false },
    { "no objective", true, 31, 10000, 900000, 0, 900000, 0, 1500000, 0, 0,
      false },
  };
  const uint32_t rank = 34;

  for (const auto &c : cases)
    {
      struct ovl_throughput throughput = {};
      struct ovl_queue q
          = { &throughput, rank, c.is_new, c.n_ahead, c.oldest_wait_us };

      throughput.last_start_us = 2000000;
      throughput.steady_since_us = 500000;
      throughput.backlog_since_us = 2000000 - c.backlog_for_us;
      throughput.gap_us = c.gap_us;
      throughput.backlog = true;
      throughput.starved_rank = c.starved_rank;
      throughput.n_starts = OVL_RECENT_MAX;
      for (uint32_t n = 0; n < OVL_RECENT_MAX; n++)
        throughput.recent_ranks[n] = n < c.n_lower ? rank - 1 : rank;
      EXPECT_EQ (ovl_should_shed (&q, c.max_wait_us, c.waited_us,
                                  2000000 + c.idle_us),
                 c.shed)
          << c.what;
    }
}
} // namespace
