// Promotions on the session path, in virtual time: which replica, what a pause
// and a token are for, whom the failover leaves alone.
#include "otherwriter.h"

#include <gtest/gtest.h>

namespace
{
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
