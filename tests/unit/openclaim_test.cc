// Promotions where commits wait for replicas, in virtual time: what a proxy
// knows of the claim, the replicas and the primary is older than what it does.
#include "otherwriter.h"

#include <gtest/gtest.h>

namespace
{
// Guards against a promotion that the platform carries out seconds after the
// call, which got no reply: the failover was given up and the replicas were
// resumed, so that the promoted one lacked commits acknowledged since.
TEST (SessionFailover, LatePromotionKeepsAcknowledgedCommits)
{
  struct
  {
    const char *what;
    bool own;        // this proxy ordered it, else one that has ended
    int64_t dark_us; // how long the primary does not reply
    int64_t cut_us;  // how long i-1 does not reply from then on
  } const cases[] = {
    { "the primary is back when the platform serves again", true, 2500000, 0 },
    { "the primary is back long after", true, 9000000, 0 },
    { "the proxy that ordered it has ended", false, 0, 0 },
    { "and the instance it is for does not reply for a while", false, 0,
      5000000 },
    { "the instance it is for does not reply either", true, 2500000, 3000000 },
  };
  for (const auto &c : cases)
    {
      PoolWorld w (67);
      w.group->sync_replicas = 1;
      w.Configure (2);
      OtherWriter other (&w, 7000);
      Caller *x = w.Open ("fresh");
      EXPECT_EQ (w.Execute (x, STM_WRITE, nullptr, "a 1"), "ok") << c.what;
      w.Execute (w.Open ("bounded"), STM_READ, nullptr, "a");
      w.Run (500000);
      int64_t begin_us = w.now_us;
      if (c.own)
        {
          w.next_promotion_late_us = 8000000;
          w.unresponsive["i-0"] = true;
          w.At (c.dark_us, [&w] { w.unresponsive["i-0"] = false; });
        }
      else
        {
          NoteClaim (&w, "vm-2", 1000);
          w.group->instances[1].paused = w.group->instances[2].paused = true;
          w.At (8000000,
                [&w] { dbm_promote (w.group, "i-1", 1000, w.now_us); });
        }
      w.At (1500000, [&w, &c] { w.unresponsive["i-1"] = c.cut_us > 0; });
      w.At (1500000 + c.cut_us, [&w] { w.unresponsive["i-1"] = false; });
      while (w.now_us < begin_us + 14000000)
        {
          // What the promoted replica would lack shows as it is behind.
          if (w.now_us - begin_us > 7000000 && w.now_us - begin_us < 9500000)
            w.group->instances[1].isolated = !w.group->instances[1].primary;
          else
            w.group->instances[1].isolated = false;
          w.Send (w.Open ("own"), STM_READ, nullptr, "a");
          w.Run (50000);
        }
      EXPECT_EQ (w.group->violations, 0u)
          << c.what << w.group->first_violation;
      EXPECT_EQ (w.claim_target, "") << c.what;
      EXPECT_FALSE (w.group->instances[2].paused) << c.what;
      EXPECT_EQ (w.Execute (w.Open ("fresh"), STM_WRITE, nullptr, "a 2"), "ok")
          << c.what;
    }
}

// Guards against a promotion that is forgotten with its claim: the store comes
// back from a copy of before, and the claim that it has says that nothing is
// under way.
TEST (SessionFailover, PromotionIsSettledThoughTheStoreLostItsClaim)
{
  for (bool own : { true, false })
    {
      PoolWorld w (72);
      w.group->sync_replicas = 1;
      w.Configure (2);
      OtherWriter other (&w, 7000);
      EXPECT_EQ (w.Execute (w.Open ("fresh"), STM_WRITE, nullptr, "a 1"),
                 "ok");
      w.Execute (w.Open ("bounded"), STM_READ, nullptr, "a");
      w.Run (500000);
      int64_t begin_us = w.now_us;
      if (own)
        {
          w.next_promotion_late_us = 8000000;
          w.unresponsive["i-0"] = true;
          w.At (2500000, [&w] { w.unresponsive["i-0"] = false; });
        }
      else
        {
          NoteClaim (&w, "vm-2", 1000);
          w.group->instances[1].paused = w.group->instances[2].paused = true;
          w.At (8000000,
                [&w] { dbm_promote (w.group, "i-1", 1000, w.now_us); });
        }
      w.At (2400000, [&w] {
        // The claim ahead of need that the copy has, with a higher position.
        sfo_note_store_reset (w.sfo);
        NoteClaim (&w, "vm-3", 5000, false);
      });
      w.At (7500000, [&w, own] {
        EXPECT_FALSE (w.group->instances[2].paused) << own;
        EXPECT_TRUE (w.group->instances[1].primary) << own;
      });
      while (w.now_us < begin_us + 14000000)
        {
          w.group->instances[1].isolated = w.now_us - begin_us > 7000000
                                           && w.now_us - begin_us < 9500000
                                           && !w.group->instances[1].primary;
          w.Send (w.Open ("own"), STM_READ, nullptr, "a");
          w.Run (50000);
        }
      EXPECT_EQ (w.claim_target, "") << own;
      EXPECT_FALSE (w.group->instances[2].paused) << own;
      EXPECT_EQ (w.Execute (w.Open ("fresh"), STM_WRITE, nullptr, "a 2"), "ok")
          << own;
      ExpectNoBreach (w);
    }
}

// Guards against a promotion that rests on reports of before another one: a
// proxy that waited for the pause of a replica went on when another proxy had
// a replica promoted meanwhile, took the new primary's report of before for
// the one of a primary that has stepped down, and promoted the former primary.
TEST (SessionFailover, PromotionByAnotherProxyEndsTheAttempt)
{
  struct
  {
    const char *what;
    bool planned;       // the primary drains, else it crashes
    int64_t promote_us; // from the step-down to the promotion
    bool silent_new;    // the new primary does not reply to this proxy
  } const cases[] = {
    { "a planned replacement", true, 560000, false },
    { "the same, at once", true, 20000, false },
    { "the same, and the new primary does not reply", true, 560000, true },
    { "the primary crashed", false, 0, false },
  };
  for (const auto &c : cases)
    for (int64_t elsewhere_us = 20000; elsewhere_us < 1600000;
         elsewhere_us += 20000)
      {
        PoolWorld w (68);
        w.group->sync_replicas = 1;
        w.Configure (2);
        NoteClaim (&w, "vm-2", 50, false);
        OtherWriter other (&w, 7000);
        Caller *x = w.Open ("fresh");
        EXPECT_EQ (w.Execute (x, STM_WRITE, nullptr, "a 1"), "ok");
        w.Execute (w.Open ("bounded"), STM_READ, nullptr, "a");
        w.Run (500000);
        w.unresponsive["i-2"] = true;
        if (c.planned)
          w.Register (&w.group->instances[0], true);
        else
          Crash (&w, "i-0");
        // It was ordered with the claim of before, so its token is older.
        w.At (elsewhere_us, [&w, &c] {
          if (c.planned)
            w.group->instances[0].primary = false;
        });
        w.At (elsewhere_us + c.promote_us, [&w, &c] {
          w.unresponsive["i-1"] = c.silent_new;
          dbm_promote (w.group, "i-1", 50, w.now_us);
        });
        for (int n = 0; n < 300; n++)
          {
            // The proxy learns soon who leads.
            if (!x->busy)
              w.Send (x, STM_WRITE, nullptr, "a 2");
            w.Run (10000);
          }
        EXPECT_EQ (w.group->violations, 0u)
            << c.what << elsewhere_us << w.group->first_violation;
      }
}

// Guards against two proxies that act at the same time: the holder of a claim
// promoted with it while the store turned it away, though another proxy had
// claimed since.
TEST (SessionFailover, HeldClaimIsNotUsedWhereCommitsWait)
{
  for (bool planned : { true, false })
    for (bool silent : { true, false })
      {
        PoolWorld w (69);
        w.group->sync_replicas = 1;
        w.Configure (2);
        EXPECT_EQ (w.Execute (w.Open ("fresh"), STM_WRITE, nullptr, "a 1"),
                   "ok");
        w.Execute (w.Open ("bounded"), STM_READ, nullptr, "a");
        w.Run (500000);
        EXPECT_EQ (w.claims, 1u);
        w.store_up = false;
        w.store_silent = silent;
        if (planned)
          w.Register (&w.group->instances[0], true);
        else
          Crash (&w, "i-0");
        auto play = [&w] {
          for (int n = 0; n < 60; n++)
            {
              w.Send (w.Open ("own"), STM_READ, nullptr, "a");
              w.Run (100000);
            }
        };
        play ();
        EXPECT_TRUE (w.promoted.empty ()) << planned << silent;
        EXPECT_EQ (w.group->instances[0].primary, true) << planned << silent;
        w.store_up = true;
        w.store_silent = false;
        play ();
        EXPECT_EQ (w.promoted.size (), 1u) << planned << silent;
        ExpectNoBreach (w);
      }
}

// Guards against a pause under a primary that leads: the proxy that took the
// claim anew, to resume the replicas, paused them first, each time while one
// of them did not reply.
TEST (SessionFailover, RenewedClaimPausesNoReplica)
{
  PoolWorld w (79);
  w.group->sync_replicas = 1;
  w.Configure (2);
  Caller *x = w.Open ("fresh");
  EXPECT_EQ (w.Execute (x, STM_WRITE, nullptr, "a 1"), "ok");
  w.Execute (w.Open ("bounded"), STM_READ, nullptr, "a");
  w.Run (500000);
  Crash (&w, "i-0");
  for (int n = 0; n < 40 && w.group->instances[0].primary; n++)
    {
      w.Send (w.Open ("own"), STM_READ, nullptr, "a");
      w.Run (100000);
    }
  ASSERT_EQ (w.promoted.size (), 1u);
  uint32_t claims = w.claims;
  uint64_t pauses = w.Counter (CTR_PAUSES);
  for (int n = 0; n < 140; n++)
    {
      w.Send (w.Open ("own"), STM_READ, nullptr, "a");
      w.Run (100000);
    }
  EXPECT_GT (w.claims, claims + 2);
  EXPECT_EQ (w.claim_target, "");
  EXPECT_EQ (w.Counter (CTR_PAUSES), pauses);
  EXPECT_EQ (w.Execute (w.Open ("fresh"), STM_WRITE, nullptr, "a 2"), "ok");
}

// Guards against a primary that leads and can't commit: it is to leave, could
// not be told to step down, and the replicas were paused though one of them
// did not reply, so that none was promoted.
TEST (SessionFailover, LeavingPrimaryCommitsWhileNoneCanReplaceIt)
{
  PoolWorld w (80);
  w.group->sync_replicas = 1;
  w.Configure (2);
  Caller *x = w.Open ("fresh");
  EXPECT_EQ (w.Execute (x, STM_WRITE, nullptr, "a 1"), "ok");
  w.Execute (w.Open ("bounded"), STM_READ, nullptr, "a");
  w.Run (500000);
  // Without its status it is not told to step down.
  w.status_refused["i-0"] = true;
  w.refused["i-2"] = w.group->instances[2].isolated = true;
  w.Register (&w.group->instances[0], true);
  int oks = 0;
  for (int n = 0; n < 100; n++)
    {
      oks += w.Execute (x, STM_WRITE, nullptr, "a 2") == "ok" ? 1 : 0;
      w.Run (30000);
    }
  EXPECT_EQ (oks, 100);
  EXPECT_TRUE (w.promoted.empty ());
  ExpectNoBreach (w);
}

// Guards against a pause that is taken to be in force though it has ended: a
// replica that receives again, because another proxy resumed it or it has
// started anew, is paused once more before its report counts.
TEST (SessionFailover, EndedPauseDoesNotCount)
{
  for (bool restarts : { false, true })
    {
      PoolWorld w (70);
      w.group->sync_replicas = 1;
      w.Configure (2);
      OtherWriter other (&w, 7000);
      EXPECT_EQ (w.Execute (w.Open ("fresh"), STM_WRITE, nullptr, "a 1"),
                 "ok");
      for (int n = 0; n < 20; n++)
        w.Execute (w.Open ("bounded"), STM_READ, nullptr, "a");
      // The primary goes on for others, and i-1 is slow to pause.
      w.unresponsive["i-0"] = true;
      w.group->instances[1].pauses_to_fail = 6;
      bool ended = false;
      for (int n = 0; n < 800; n++)
        {
          if (n % 10 == 0)
            w.Send (w.Open ("own"), STM_READ, nullptr, "a");
          w.Run (5000);
          struct dbm_instance *near = &w.group->instances[2];
          if (ended || !near->paused)
            continue;
          ended = true;
          near->paused = false;
          for (auto &u : w.ups)
            if (restarts && u->open && u->instance == near)
              {
                u->open = false;
                plr_link_lost (w.pooler, u->link, false, w.now_us);
              }
        }
      EXPECT_TRUE (ended) << restarts;
      EXPECT_FALSE (w.promoted.empty ()) << restarts;
      ExpectNoBreach (w);
    }
}

// Guards against a replica that no proxy knows of: its entry was away while
// the proxies started, and the other replica was promoted, which lacked
// commits that only this one had received.
TEST (SessionFailover, ReplicaWithoutAnEntryCountsAfterARestart)
{
  struct
  {
    const char *what;
    bool joins_late;     // i-2 has its first entry a while after the start
    int64_t silent_us;   // i-2 does not reply for so long after the crash
    int64_t gone_us;     // from the lapse of the entry to the restart
    bool primary_lapses; // the primary's entry too
    bool restarts_twice;
    bool ends; // i-2 has left for good
  } const cases[] = {
    { "an entry that has just lapsed", false, 0, 20000, false, false, false },
    { "one that is away for a while", false, 0, 3000000, false, false, false },
    { "a replica that joined later", true, 0, 20000, false, false, false },
    { "a replica that is silent", false, 3000000, 20000, false, false, false },
    { "two restarts", false, 0, 20000, false, true, false },
    { "the entry of the primary lapses too", false, 0, 20000, true, false,
      false },
    { "a replica that has left", false, 0, 20000, false, false, true },
  };
  for (const auto &c : cases)
    {
      PoolWorld w (71);
      struct dbm_instance *away = &w.group->instances[2];
      w.group->sync_replicas = 1;
      if (c.joins_late)
        {
          w.lapsed[away->id] = true;
          w.RestartProxy ();
        }
      w.Configure (2);
      auto play = [&w] (int64_t us) {
        Caller *x = w.Open ("fresh");
        for (int64_t end_us = w.now_us + us; w.now_us < end_us;)
          {
            if (!x->busy)
              w.Send (x, STM_WRITE, nullptr, "a 1");
            w.Run (10000);
          }
      };
      play (2000000);
      w.Register (away);
      play (3000000);
      if (c.ends)
        w.refused[away->id] = away->isolated = true;
      w.Lapse (away);
      play (c.gone_us);
      for (int n = 0; n < 1 + c.restarts_twice; n++)
        {
          w.RestartProxy ();
          play (1000000);
        }
      if (!c.ends)
        w.group->instances[1].isolated = true;
      play (500000);
      if (c.primary_lapses)
        w.Lapse (&w.group->instances[0]);
      Crash (&w, "i-0");
      w.unresponsive[away->id] = c.silent_us > 0;
      w.At (c.silent_us, [&w, away] { w.unresponsive[away->id] = false; });
      play (c.ends ? 25000000 : 8000000);
      ASSERT_EQ (w.promoted.size (), 1u) << c.what;
      EXPECT_EQ (w.promoted[0], c.ends ? "i-1" : "i-2") << c.what;
      EXPECT_EQ (w.group->violations, 0u)
          << c.what << w.group->first_violation;
    }
}
} // namespace
