// Promotions on the session path, in virtual time: which replica, what a pause
// and a token are for, whom the failover leaves alone.
#include "poolworld.h"

#include <gtest/gtest.h>

namespace
{
// A caller of another proxy, which writes all the time while it reaches the
// primary.  Its commits count as acknowledged if the primary says so.
class OtherWriter
{
public:
  OtherWriter (PoolWorld *w, int64_t every_us) : w_ (w), every_us_ (every_us)
  {
    w->At (every_us, [this] { Write (); });
  }

private:
  void
  Write ()
  {
    struct dbm_instance *primary = dbm_primary (w_->group);
    std::string id = "other" + std::to_string (n_++);
    struct dbm_sender sender = {};
    struct stm s = {};
    struct stm_result result;

    w_->At (every_us_, [this] { Write (); });
    if (!primary || w_->refused[primary->id])
      return;
    sender.first_byte_us = w_->now_us;
    sender.max_age_us = -1;
    w_->senders[id] = sender;
    w_->sender_names[id] = "other";
    s.kind = STM_WRITE;
    s.id = id.c_str ();
    s.args = "b 1";
    struct dbm_conn *c = dbm_connect (primary);
    dbm_run (c, LP_NONE, &s, &result, w_->now_us);
    if (result.ok && !c->unacknowledged)
      dbm_report_committed (w_->group, id.c_str (), w_->now_us);
    dbm_disconnect (c);
  }

  PoolWorld *w_;
  int64_t every_us_;
  int n_ = 0;
};

// The primary's process ends.
void
Crash (PoolWorld *w, const char *id)
{
  w->refused[id] = true;
  for (auto &u : w->ups)
    if (u->open && id == std::string (u->instance->id))
      {
        u->open = false;
        plr_link_lost (w->pooler, u->link, true, w->now_us);
      }
}

// Every EVERY_US another of the two replicas receives nothing, so that neither
// has all commits for long.
void
AlternateIsolation (PoolWorld *w, int64_t every_us, uint32_t next)
{
  w->group->instances[1].isolated = next == 1;
  w->group->instances[2].isolated = next == 2;
  w->At (every_us,
         [w, every_us, next] { AlternateIsolation (w, every_us, 3 - next); });
}

// Guards against the loss of commits that a replica has received, where the
// service waits for one: sync_replicas was not read, and the replica that
// happened to serve reads was promoted whatever it lacked.
TEST (SessionFailover, PromotionKeepsAcknowledgedCommits)
{
  struct
  {
    const char *what;
    void (*prepare) (PoolWorld *w); // before the primary is lost
    void (*fault) (PoolWorld *w);
    size_t promotions; // within six seconds, at least
  } const cases[] = {
    { "the first replica received nothing before the crash",
      [] (PoolWorld *w) { w->group->instances[1].isolated = true; },
      [] (PoolWorld *w) { Crash (w, "i-0"); }, 1 },
    { "the second replica received nothing before the crash",
      [] (PoolWorld *w) { w->group->instances[2].isolated = true; },
      [] (PoolWorld *w) { Crash (w, "i-0"); }, 1 },
    { "the same, and the other one applies late",
      [] (PoolWorld *w) {
        w->group->instances[2].isolated = true;
        w->group->instances[1].lag_us = 1000000;
      },
      [] (PoolWorld *w) { Crash (w, "i-0"); }, 1 },
    { "the same, and status queries are often refused as busy",
      [] (PoolWorld *w) {
        w->group->instances[1].isolated = true;
        w->faults.status_busy = 0.8;
      },
      [] (PoolWorld *w) { Crash (w, "i-0"); }, 1 },
    { "the replica that has all commits is cut off for two seconds",
      [] (PoolWorld *w) { w->group->instances[1].isolated = true; },
      [] (PoolWorld *w) {
        Crash (w, "i-0");
        w->unresponsive["i-2"] = true;
        w->At (2000000, [w] { w->unresponsive["i-2"] = false; });
      },
      1 },
    { "the replica that has all commits restarts",
      [] (PoolWorld *w) { w->group->instances[1].isolated = true; },
      [] (PoolWorld *w) {
        Crash (w, "i-0");
        Crash (w, "i-2");
        w->At (2000000, [w] { w->refused["i-2"] = false; });
      },
      1 },
    { "the replica that has all commits never returns",
      [] (PoolWorld *w) { w->group->instances[1].isolated = true; },
      [] (PoolWorld *w) {
        Crash (w, "i-0");
        Crash (w, "i-2");
      },
      0 },
    { "the replica that has all commits drains",
      [] (PoolWorld *w) {
        w->group->instances[1].isolated = true;
        w->Register (&w->group->instances[2], true);
      },
      [] (PoolWorld *w) {
        Crash (w, "i-0");
        w->At (2000000, [w] { w->group->instances[1].isolated = false; });
      },
      2 },
    { "the primary is cut off from this proxy only, and goes on",
      [] (PoolWorld *w) { AlternateIsolation (w, 50000, 1); },
      [] (PoolWorld *w) { w->unresponsive["i-0"] = true; }, 1 },
    { "the same, and no instance knows how to pause",
      [] (PoolWorld *w) {
        w->group->instances[1].isolated = true;
        for (uint32_t k = 0; k < 3; k++)
          w->group->instances[k].knows_pause = false;
      },
      [] (PoolWorld *w) { w->unresponsive["i-0"] = true; }, 1 },
    { "the primary drains while a replica receives nothing",
      [] (PoolWorld *w) { w->group->instances[1].isolated = true; },
      [] (PoolWorld *w) { w->Register (&w->group->instances[0], true); }, 1 },
    { "the primary's entry is gone while neither replica has all for long",
      [] (PoolWorld *w) { AlternateIsolation (w, 70000, 2); },
      [] (PoolWorld *w) {
        plr_unregister_instance (w->pooler, "i-0", w->now_us);
      },
      1 },
  };
  for (const auto &c : cases)
    for (int readers : { 0, 1, 6 })
      {
        PoolWorld w (60);
        w.group->sync_replicas = 1;
        w.Configure (2);
        OtherWriter other (&w, 7000);
        Caller *x = w.Open ("fresh");
        std::vector<Caller *> reading;

        EXPECT_EQ (w.Execute (x, STM_WRITE, nullptr, "a 1"), "ok") << c.what;
        for (int n = 0; n < readers; n++)
          reading.push_back (w.Open ("bounded"));
        auto play = [&] (int64_t until_us) {
          while (w.now_us < until_us)
            {
              for (Caller *r : reading)
                if (!r->busy)
                  w.Send (r, STM_READ, nullptr, "a");
              if (!x->busy)
                w.Send (x, STM_WRITE, nullptr, "a 2");
              w.Run (10000);
            }
        };
        play (2000000);
        c.prepare (&w);
        play (2400000);
        c.fault (&w);
        play (8400000);
        EXPECT_GE (w.promoted.size (), c.promotions) << c.what << readers;
        if (c.promotions == 0)
          {
            EXPECT_EQ (w.promoted.size (), 0u) << c.what << readers;
          }
        EXPECT_EQ (w.group->violations, 0u)
            << c.what << readers << w.group->first_violation;
        for (uint32_t k = 0; k < 3; k++)
          w.group->instances[k].isolated = false;
        std::string result
            = w.Execute (w.Open ("fresh"), STM_WRITE, nullptr, "a 3");
        EXPECT_EQ (result == "ok", c.promotions > 0) << c.what << readers;
      }
}

// Replicas that were paused for a promotion that failed, here or at a proxy
// that ended, are resumed: else no commit would be acknowledged any more.
TEST (SessionFailover, PausedReplicasAreResumed)
{
  for (bool own : { true, false })
    {
      PoolWorld w (61);
      w.group->sync_replicas = 1;
      w.Configure (2);
      Caller *x = w.Open ("fresh");
      EXPECT_EQ (w.Execute (x, STM_WRITE, nullptr, "a 1"), "ok");
      Caller *r = w.Open ("bounded");
      for (int n = 0; n < 20; n++)
        w.Execute (r, STM_READ, nullptr, "a");
      if (own)
        {
          w.promotions_fail = true;
          w.unresponsive["i-0"] = true;
          for (int n = 0; n < 20; n++)
            {
              w.Send (w.Open ("own"), STM_READ, nullptr, "a");
              w.Run (100000);
            }
          EXPECT_FALSE (w.promoted.empty ());
          w.unresponsive["i-0"] = false;
        }
      else
        {
          NoteClaim (&w, "vm-2", 1000);
          w.group->instances[1].paused = w.group->instances[2].paused = true;
        }
      EXPECT_TRUE (w.group->instances[1].paused) << own;
      EXPECT_TRUE (w.group->instances[2].paused) << own;
      for (int n = 0; n < 60; n++)
        {
          w.Send (w.Open ("own"), STM_READ, nullptr, "a");
          w.Run (100000);
        }
      EXPECT_FALSE (w.group->instances[1].paused) << own;
      EXPECT_FALSE (w.group->instances[2].paused) << own;
      EXPECT_EQ (w.Execute (w.Open ("fresh"), STM_WRITE, nullptr, "a 2"), "ok")
          << own;
      ExpectNoBreach (w);
    }
}

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

// Another proxy takes the claim and promotes REPLICA, and this one does not
// hear of it.
void
PromoteElsewhere (PoolWorld *w, const char *replica)
{
  uint64_t token = w->claim_revision = ++w->revision;

  w->claim_target = replica;
  dbm_note_token (w->group, token);
  dbm_promote (w->group, replica, token, w->now_us);
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

// Guards against a promotion with an outdated claim: where the platform does
// not check tokens, a proxy that was cut off from the store promoted with the
// claim of before, after another one with a newer claim.
TEST (SessionFailover, OutdatedTokenIsNotUsedWhereNoneIsChecked)
{
  struct
  {
    const char *what;
    void (*fault) (PoolWorld *w); // with the loss of the primary
    int64_t elsewhere_us;         // another proxy promotes so much later
    size_t promotions;            // by this proxy, if tokens are checked
    size_t unchecked;             // the same, if they are not
  } const cases[] = {
    { "the store answers", [] (PoolWorld *) {}, 0, 1, 1 },
    { "the store is silent", [] (PoolWorld *w) { w->store_silent = true; },
      300000, 1, 0 },
    { "the store refuses", [] (PoolWorld *w) { w->store_up = false; }, 300000,
      1, 0 },
    { "the replies to the promotions are lost, late",
      [] (PoolWorld *w) { w->promotions_lost_after_us = 800000; }, 2600000, 4,
      2 },
  };
  for (bool checked : { true, false })
    for (const auto &c : cases)
      {
        PoolWorld w (62);
        w.group->ignores_fences = !checked;
        sfo_set_tokens_checked (w.sfo, checked);
        Caller *x = w.Open ("fresh");
        EXPECT_EQ (w.Execute (x, STM_WRITE, nullptr, "a 1"), "ok");
        for (int n = 0; n < 20; n++)
          w.Execute (w.Open ("bounded"), STM_READ, nullptr, "a");
        w.Run (500000);
        c.fault (&w);
        Crash (&w, "i-0");
        if (c.elsewhere_us > 0)
          w.At (c.elsewhere_us, [&w] { PromoteElsewhere (&w, "i-2"); });
        for (int n = 0; n < 35; n++)
          {
            w.Send (w.Open ("own"), STM_READ, nullptr, "a");
            w.Run (100000);
          }
        EXPECT_EQ (w.promoted.size (), checked ? c.promotions : c.unchecked)
            << c.what << checked;
        EXPECT_EQ (w.group->violations, 0u)
            << c.what << checked << w.group->first_violation;
      }
}

// The same fault where the process is paused between its claim and the
// promotion: another proxy has claimed and promoted meanwhile.
TEST (SessionFailover, TokenExpiresWhileTheProcessIsPaused)
{
  for (int64_t paused_us : { 0, 3000000 })
    {
      PoolWorld w (63);
      w.group->ignores_fences = true;
      sfo_set_tokens_checked (w.sfo, false);
      Caller *x = w.Open ("fresh");
      EXPECT_EQ (w.Execute (x, STM_WRITE, nullptr, "a 1"), "ok");
      for (int n = 0; n < 20; n++)
        w.Execute (w.Open ("bounded"), STM_READ, nullptr, "a");
      plr_request_status (
          w.pooler,
          (struct svc *)g_hash_table_lookup (plr_services (w.pooler), "stock"),
          w.now_us);
      w.Run (100000);
      // The primary steps down after the claim, and no replica catches up.
      w.group->instances[1].isolated = w.group->instances[2].isolated = true;
      EXPECT_EQ (w.Execute (x, STM_WRITE, nullptr, "a 2"), "ok");
      w.Register (&w.group->instances[0], true);
      for (int n = 0; n < 400 && w.group->instances[0].primary; n++)
        w.Run (5000);
      ASSERT_FALSE (w.group->instances[0].primary);
      ASSERT_TRUE (w.promoted.empty ());
      if (paused_us > 0)
        {
          w.now_us += paused_us;
          PromoteElsewhere (&w, "i-2");
        }
      w.Run (500000);
      EXPECT_EQ (w.promoted.size (), paused_us > 0 ? 0u : 1u);
      EXPECT_EQ (w.group->violations, 0u) << w.group->first_violation;
    }
}

// Guards against connections to the address in an entry of another writer: its
// service is none of the configuration, but was given a failover, which looked
// for its primary.
TEST (SessionFailover, OnlyConfiguredServicesAreWatched)
{
  PoolWorld w (64);
  struct dir_instance d = {};

  d.id = (char *)"foreign";
  d.service = (char *)"foreign";
  d.host = (char *)"10.0.0.7";
  d.port = 80;
  d.data_centre = (char *)"a";
  d.slots = 1;
  plr_register_instance (w.pooler, &d, w.now_us);
  for (int n = 0; n < 60; n++)
    {
      w.Send (w.Open ("fresh"), STM_READ, nullptr, "a");
      w.Run (100000);
    }
  for (const auto &u : w.ups)
    EXPECT_NE (u->instance, nullptr);
  EXPECT_TRUE (w.promoted.empty ());
}

// An error that may pass does not say that an instance cannot pause: it is
// told again, and no promotion is ordered before.
TEST (SessionFailover, FailedPauseIsRepeated)
{
  PoolWorld w (65);
  w.group->sync_replicas = 1;
  w.Configure (2);
  EXPECT_EQ (w.Execute (w.Open ("fresh"), STM_WRITE, nullptr, "a 1"), "ok");
  w.Execute (w.Open ("bounded"), STM_READ, nullptr, "a");
  w.group->instances[1].pauses_to_fail = 2;
  w.group->instances[2].pauses_to_fail = 1;
  w.unresponsive["i-0"] = true;
  for (int n = 0; n < 600 && w.promoted.empty (); n++)
    {
      w.Send (w.Open ("own"), STM_READ, nullptr, "a");
      w.Run (5000);
    }
  EXPECT_EQ (w.promoted.size (), 1u);
  EXPECT_TRUE (w.group->instances[1].paused);
  EXPECT_TRUE (w.group->instances[2].paused);
  ExpectNoBreach (w);
}

// The time that a draining primary stays in use follows the settings file, for
// services known before the change and after.
TEST (SessionFailover, AChangedDrainGraceIsInForceAtOnce)
{
  PoolWorld w (66);
  struct svc *s
      = (struct svc *)g_hash_table_lookup (plr_services (w.pooler), "stock");
  struct svc_instance *primary = svc_find (s, "i-0");

  w.Register (&w.group->instances[0], true);
  int64_t since_us = primary->draining_since_us;
  EXPECT_TRUE (svc_may_stay_primary (primary, since_us + 2000000));
  plr_set_drain_grace (w.pooler, 1000000);
  EXPECT_FALSE (svc_may_stay_primary (primary, since_us + 2000000));
  EXPECT_TRUE (svc_may_stay_primary (primary, since_us + 500000));
  struct dir_instance d = {};
  d.id = (char *)"new";
  d.service = (char *)"new";
  d.host = (char *)"10.0.0.9";
  d.data_centre = (char *)"a";
  plr_register_instance (w.pooler, &d, w.now_us);
  s = (struct svc *)g_hash_table_lookup (plr_services (w.pooler), "new");
  ASSERT_NE (s, nullptr);
  EXPECT_EQ (s->drain_grace_us, 1000000);
}
} // namespace
