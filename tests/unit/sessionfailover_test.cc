// Failover on the session path, in virtual time.
#include "poolworld.h"

#include <gtest/gtest.h>

namespace
{
TEST (SessionFailover, Decisions)
{
  struct
  {
    const char *what;
    struct sfo_evidence e;
    enum sfo_decision decision;
  } const cases[] = {
    // known confirmed registered lapsed draining not_primary unresponsive
    // refused_for_us no_primary_for_us candidates
    { "a healthy primary",
      { true, true, true, false, false, false, false, 0, 0, 2 },
      SFO_KEEP },
    { "unresponsive for this proxy",
      { true, false, true, false, false, false, true, 0, 900000, 2 },
      SFO_POLL_PEERS },
    { "unresponsive, and no replica replies either: this proxy is cut off",
      { true, false, true, false, false, false, true, 0, 900000, 0 },
      SFO_KEEP },
    { "connections refused briefly, as during a restart",
      { true, true, true, false, false, false, false, 100000, 0, 2 },
      SFO_KEEP },
    { "connections refused for longer",
      { true, true, true, false, false, false, false, 300000, 0, 2 },
      SFO_POLL_PEERS },
    { "unregistered, though it still replies",
      { true, true, false, false, false, false, false, 0, 0, 2 },
      SFO_REPLACE },
    { "unresponsive, and its entry has just lapsed",
      { true, false, true, true, false, false, true, 0, 900000, 2 },
      SFO_REPLACE },
    { "its entry has just lapsed, and no check has succeeded for long",
      { true, false, true, true, false, false, false, 0, 1300000, 2 },
      SFO_REPLACE },
    { "its entry has just lapsed, and no check has succeeded for a moment",
      { true, false, true, true, false, false, false, 0, 900000, 2 },
      SFO_KEEP },
    { "registered, and no check has succeeded for long",
      { true, false, true, false, false, false, false, 0, 1300000, 2 },
      SFO_KEEP },
    { "its entry has just lapsed, which may be the store's fault",
      { true, true, true, true, false, false, false, 0, 0, 2 },
      SFO_KEEP },
    { "draining",
      { true, true, true, false, true, false, false, 0, 0, 2 },
      SFO_REPLACE },
    { "draining, and no replica can take over",
      { true, true, true, false, true, false, false, 0, 0, 0 },
      SFO_KEEP },
    { "not primary any more, a promotion may be under way",
      { true, false, true, false, false, true, false, 0, 500000, 2 },
      SFO_KEEP },
    { "no primary for longer than a promotion takes",
      { true, false, true, false, false, true, false, 0, 1300000, 2 },
      SFO_REPLACE },
    { "no primary known, shortly after the start",
      { false, false, false, false, false, false, false, 0, 1000000, 2 },
      SFO_KEEP },
    { "no primary known for long",
      { false, false, false, false, false, false, false, 0, 3000000, 2 },
      SFO_REPLACE },
  };
  for (const auto &c : cases)
    EXPECT_EQ (sfo_evaluate (&c.e), c.decision) << c.what;
}

TEST (SessionFailover, Votes)
{
  struct
  {
    struct sfo_votes
        v; // reached, missed (this proxy's included), cast, voters
    bool replace;
  } const cases[] = {
    { { 0, 1, 1, 1 }, true }, // the only proxy
    { { 0, 9, 9, 9 }, true },  { { 0, 5, 5, 9 }, true },
    { { 0, 2, 2, 9 }, false }, // the smaller side of a partition
    { { 0, 4, 4, 8 }, false }, { { 8, 1, 9, 9 }, false },
    { { 1, 1, 2, 2 }, false }, { { 7, 2, 9, 9 }, false },
    { { 6, 3, 9, 9 }, true },  { { 4, 5, 9, 9 }, true },
    { { 0, 2, 6, 9 }, true }, // four voted "unknown"
  };
  for (const auto &c : cases)
    EXPECT_EQ (sfo_votes_suffice (&c.v), c.replace)
        << c.v.reached << " " << c.v.missed << " " << c.v.cast;
}

// Which faults lead to a promotion, and what callers get afterwards.
TEST (SessionFailover, PrimaryIsReplaced)
{
  struct
  {
    const char *what;
    void (*fault) (PoolWorld *w);
    size_t promotions;
    const char *result; // of a write three seconds later
  } const cases[] = {
    { "unresponsive for this proxy and its peers",
      [] (PoolWorld *w) { w->unresponsive["i-0"] = true; }, 1, "ok" },
    { "unresponsive for this proxy alone",
      [] (PoolWorld *w) {
        w->unresponsive["i-0"] = true;
        w->votes_missed = 0;
        w->votes_reached = 4;
      },
      0, "busy" },
    { "connections refused",
      [] (PoolWorld *w) {
        w->refused["i-0"] = true;
        for (auto &u : w->ups)
          if (u->open && u->instance->index == 0)
            plr_link_lost (w->pooler, u->link, false, w->now_us),
                u->open = false;
      },
      1, "ok" },
    { "draining",
      [] (PoolWorld *w) { w->Register (&w->group->instances[0], true); }, 1,
      "ok" },
    { "unregistered",
      [] (PoolWorld *w) {
        plr_unregister_instance (w->pooler, "i-0", w->now_us);
      },
      1, "ok" },
    { "unresponsive while the store is unavailable: uses the claim taken "
      "ahead",
      [] (PoolWorld *w) {
        w->unresponsive["i-0"] = true;
        w->store_up = false;
      },
      1, "ok" },
    { "the same, but another proxy holds the claim",
      [] (PoolWorld *w) {
        g_hash_table_add (w->vms, (gpointer) "vm-2");
        NoteClaim (w, "vm-2", 50);
        w->unresponsive["i-0"] = true;
        w->store_up = false;
      },
      0, "busy" },
  };
  for (const auto &c : cases)
    {
      PoolWorld w (20);
      Caller *x = w.Open ("fresh");
      EXPECT_EQ (w.Execute (x, STM_WRITE, nullptr, "a 1"), "ok") << c.what;
      Caller *warm = w.Open ("bounded");
      for (int n = 0; n < 20; n++)
        w.Execute (warm, STM_READ, nullptr, "a");
      w.Run (100000);
      c.fault (&w);
      for (int n = 0; n < 30; n++)
        {
          w.Send (w.Open ("own"), STM_READ, nullptr, "a");
          w.Run (100000);
        }
      EXPECT_EQ (w.promoted.size (), c.promotions) << c.what;
      EXPECT_EQ (w.Execute (x, STM_WRITE, nullptr, "a 2"), c.result) << c.what;
      EXPECT_EQ (w.group->violations, 0u)
          << c.what << w.group->first_violation;
    }
}

TEST (SessionFailover, PrimaryThatPeersReachIsUsedThroughThem)
{
  PoolWorld w (24);
  Caller *x = w.Open ("fresh");
  plr_set_vm (w.pooler, "vm-1", "10.0.1.1:1", "a", 0.25);
  plr_set_vm (w.pooler, "vm-2", "10.0.1.2:1", "a", 0.25);
  EXPECT_EQ (w.Execute (x, STM_WRITE, nullptr, "a 1"), "ok");
  Caller *warm = w.Open ("bounded");
  for (int n = 0; n < 20; n++)
    w.Execute (warm, STM_READ, nullptr, "a");
  w.unresponsive["i-0"] = true;
  w.homes_reach = true;
  w.votes_missed = 0;
  w.votes_reached = 4;
  for (int n = 0; n < 20; n++)
    {
      w.Send (w.Open ("own"), STM_READ, nullptr, "a");
      w.Run (100000);
    }
  EXPECT_EQ (w.promoted.size (), 0u);
  EXPECT_EQ (w.Execute (x, STM_WRITE, nullptr, "a 2"), "ok");
  // The direct link is used again once it has recovered.
  w.unresponsive.clear ();
  w.Run (6000000);
  EXPECT_EQ (w.Execute (x, STM_WRITE, nullptr, "a 3"), "ok");
  ExpectNoBreach (w);
}

TEST (SessionFailover, MostAdvancedReplicaIsChosen)
{
  PoolWorld w (21, 5);
  Caller *x = w.Open ("fresh");
  w.Execute (x, STM_WRITE, nullptr, "a 1");
  for (uint32_t k : { 1u, 2u, 4u })
    w.group->instances[k].isolated = true;
  w.Execute (x, STM_WRITE, nullptr, "a 2");
  Caller *warm = w.Open ("bounded");
  for (int n = 0; n < 20; n++)
    w.Execute (warm, STM_READ, nullptr, "a");
  w.unresponsive["i-0"] = true;
  for (int n = 0; n < 30; n++)
    {
      w.Send (w.Open ("own"), STM_READ, nullptr, "a");
      w.Run (100000);
    }
  ASSERT_EQ (w.promoted.size (), 1u);
  EXPECT_EQ (w.promoted[0], "i-3");
  EXPECT_EQ (w.group->rolled_back, 0u);
  ExpectNoBreach (w);
}

TEST (SessionFailover, DrainingPrimaryLosesNoCommit)
{
  PoolWorld w (22);
  Caller *x = w.Open ("fresh");
  for (int n = 0; n < 5; n++)
    w.Execute (x, STM_WRITE, nullptr, "a 1");
  w.Register (&w.group->instances[0], true);
  int served = 0;
  for (int n = 0; n < 30; n++)
    {
      served += w.Execute (x, STM_WRITE, nullptr, "a 2") == "ok" ? 1 : 0;
      w.Run (50000);
    }
  EXPECT_EQ (served, 30);
  EXPECT_EQ (w.promoted.size (), 1u);
  EXPECT_EQ (w.group->rolled_back, 0u);
  ExpectNoBreach (w);
}

TEST (SessionFailover, ClaimOfAnotherProxyIsRespectedForItsGracePeriod)
{
  PoolWorld w (23);
  Caller *x = w.Open ("fresh");
  w.Execute (x, STM_WRITE, nullptr, "a 1");
  w.Run (200000);
  w.unresponsive["i-0"] = true;
  NoteClaim (&w, "vm-2", 50);
  uint32_t claims_ahead = w.claims;
  for (int n = 0; n < 15; n++)
    {
      w.Send (w.Open ("own"), STM_READ, nullptr, "a");
      w.Run (100000);
    }
  EXPECT_EQ (w.claims, claims_ahead);
  for (int n = 0; n < 15; n++)
    {
      w.Send (w.Open ("own"), STM_READ, nullptr, "a");
      w.Run (100000);
    }
  EXPECT_EQ (w.claims, claims_ahead + 1);
  EXPECT_EQ (w.promoted.size (), 1u);
}

// Guards against a second promotion half a second after the first: another
// proxy claimed while this one waited for the status of the instances, and
// this one took the new claim for the old one and claimed on top of it.
TEST (SessionFailover, ClaimMadeDuringTheSurveyIsRespected)
{
  PoolWorld w (30);
  Caller *x = w.Open ("fresh");
  w.Execute (x, STM_WRITE, nullptr, "a 1");
  NoteClaim (&w, "vm-2", 50);
  w.Execute (w.Open ("bounded"), STM_READ, nullptr, "a");
  w.Run (2000000);
  uint32_t claims_ahead = w.claims;
  w.Register (&w.group->instances[0], true);
  // As rank one, the proxy acts 100 ms later and waits 100 ms for the status.
  w.Run (150000);
  NoteClaim (&w, "vm-2", 60);
  w.Run (1000000);
  EXPECT_EQ (w.claims, claims_ahead);
  EXPECT_TRUE (w.promoted.empty ());
}

// The same fault when the other proxy claims while this one polls its peers: a
// second promotion was ordered half a second after the first.
TEST (SessionFailover, ClaimMadeWhilePeersArePolledIsRespected)
{
  PoolWorld w (31);
  Caller *x = w.Open ("fresh");
  bool vote_requested = false;

  w.Execute (x, STM_WRITE, nullptr, "a 1");
  w.Execute (w.Open ("bounded"), STM_READ, nullptr, "a");
  w.Run (2000000);
  // With enough voters the proxy waits for the votes.
  for (const char *vm : { "vm-2", "vm-3", "vm-4", "vm-5", "vm-6" })
    g_hash_table_add (w.vms, (gpointer)vm);
  uint32_t claims_ahead = w.claims;
  w.unresponsive["i-0"] = true;
  for (int n = 0; n < 250; n++)
    {
      if (n % 5 == 0)
        w.Send (w.Open ("own"), STM_READ, nullptr, "a");
      w.Run (20000);
      if (!vote_requested && w.vote_requests > 0)
        {
          vote_requested = true;
          NoteClaim (&w, "vm-2", 60);
          w.Run (1000000);
          break;
        }
    }
  EXPECT_TRUE (vote_requested);
  EXPECT_EQ (w.claims, claims_ahead);
  EXPECT_TRUE (w.promoted.empty ());
}

// A claim that another proxy takes ahead of need says nothing about a primary
// that fails at the same moment, and nobody promotes by it: it must not delay
// the failover.
TEST (SessionFailover, ClaimTakenAheadOfNeedDelaysNobody)
{
  for (bool promotes : { false, true })
    {
      PoolWorld w (32);
      Caller *x = w.Open ("fresh");
      w.Execute (x, STM_WRITE, nullptr, "a 1");
      w.Execute (w.Open ("bounded"), STM_READ, nullptr, "a");
      w.Run (1000000);
      w.unresponsive["i-0"] = true;
      for (int n = 0; n < 22; n++)
        {
          if (n == 7)
            NoteClaim (&w, "vm-2", 1000, promotes);
          w.Send (w.Open ("own"), STM_READ, nullptr, "a");
          w.Run (100000);
        }
      EXPECT_EQ (w.promoted.size (), promotes ? 0u : 1u) << promotes;
    }
}

TEST (SessionFailover, OneProxyHoldsEachClaimInNormalOperation)
{
  static const struct
  {
    const char *what;
    const char *holder; // NULL: nobody
    bool known;         // the holder is among the proxies known
    uint32_t claims;    // in ten seconds of normal operation
  } cases[] = {
    { "nobody holds it", nullptr, false, 1 },
    { "a proxy that runs", "vm-2", true, 0 },
    { "a proxy that is gone", "vm-2", false, 1 },
    { "this proxy, before a restart", "vm-1", true, 0 },
  };
  for (const auto &c : cases)
    {
      PoolWorld w (24);
      w.revision = 100;
      if (c.holder)
        NoteClaim (&w, c.holder, 50, false);
      if (c.known)
        g_hash_table_add (w.vms, (gpointer)c.holder);
      Caller *x = w.Open ("fresh");
      for (int n = 0; n < 100; n++)
        {
          w.Execute (x, STM_READ, nullptr, "a");
          w.Run (100000);
        }
      EXPECT_EQ (w.claims, c.claims) << c.what;
      EXPECT_TRUE (w.promoted.empty ()) << c.what;
    }
}

// A store that does not reply must not hold up the proxy that has the claim.
TEST (SessionFailover, SilentStoreDelaysTheHolderLittle)
{
  PoolWorld w (25);
  Caller *x = w.Open ("fresh");
  w.Execute (x, STM_WRITE, nullptr, "a 1");
  w.Run (500000);
  w.store_silent = true;
  w.unresponsive["i-0"] = true;
  for (int n = 0; n < 30 && w.promoted.empty (); n++)
    {
      w.Send (w.Open ("own"), STM_READ, nullptr, "a");
      w.Run (100000);
    }
  EXPECT_EQ (w.promoted.size (), 1u);
  ExpectNoBreach (w);
}

// Whatever the number of proxies, only those that hold connections to the
// service vote on its primary, and only the homes of an instance at its
// connection limit are requested to close a connection.
TEST (SessionFailover, OnlyAFewProxiesVote)
{
  struct
  {
    const char *what;
    int others;
    const char *own_data_centre;
    uint32_t requests_min, requests_max;
    size_t promotions;
  } const cases[] = {
    { "alone", 0, "a", 1, 1, 1 },
    { "a few, all connect directly", 3, "a", 4, 4, 1 },
    { "a home among 100", 99, "a", 2, 6, 1 },
    { "a home among 300", 299, "a", 2, 6, 1 },
    { "no home among 300", 299, "z", 0, 0, 0 },
  };
  for (const auto &c : cases)
    {
      PoolWorld w (21);
      std::vector<std::string> names;

      for (int n = 0; n < c.others; n++)
        names.push_back ("other-" + std::to_string (n));
      for (size_t n = 0; n < names.size (); n++)
        {
          const char *where = c.own_data_centre[0] == 'a' && n % 2 ? "c" : "b";

          if (c.own_data_centre[0] == 'z' && n % 2)
            where = "a";
          plr_set_vm (w.pooler, names[n].c_str (), "10.0.0.9:1", where, 0.1);
          g_hash_table_add (w.vms, (gpointer)names[n].c_str ());
        }
      plr_set_vm (w.pooler, "vm-1", "10.0.0.8:1", c.own_data_centre, 0.1);
      w.votes_missed = c.requests_max > 3 ? 5 : 3;
      Caller *x = w.Open ("fresh");
      EXPECT_EQ (w.Execute (x, STM_WRITE, nullptr, "a 1"), "ok") << c.what;
      w.Run (500000);
      w.unresponsive["i-0"] = true;
      for (int n = 0; n < 20; n++)
        {
          w.Send (w.Open ("own"), STM_READ, nullptr, "a");
          w.Run (100000);
        }
      EXPECT_GE (w.vote_requests, c.requests_min) << c.what;
      EXPECT_LE (w.vote_requests, c.requests_max) << c.what;
      EXPECT_EQ (w.promoted.size (), c.promotions) << c.what;
    }
}

// An instance whose log is still empty reports no position.  Its replies that
// come through a home must count as heard all the same, or a primary that
// nobody has written to yet is replaced.
TEST (SessionFailover, PrimaryWithAnEmptyLogIsKeptBehindHomes)
{
  PoolWorld w (48);

  for (int n = 1; n <= 60; n++)
    plr_set_vm (w.pooler, ("vm-" + std::to_string (n)).c_str (), "10.0.1.1:1",
                n == 1 ? "c" : "a", 0.25);
  for (int n = 0; n < 30; n++)
    {
      EXPECT_EQ (w.Execute (w.Open ("fresh"), STM_READ, nullptr, "a"), "ok");
      w.Run (100000);
    }
  EXPECT_EQ (sfo_cast_vote (w.sfo, "stock", "i-0", w.now_us),
             SFO_VOTE_REACHED);
  EXPECT_TRUE (w.promoted.empty ());
  ExpectNoBreach (w);
}

// Guards against a vote for a primary that is gone: a home answers a statement
// itself when it cannot pass it on in time, and that refusal must not count as
// heard from the instance.  The votes spared a dead primary for two seconds.
TEST (SessionFailover, RefusalByAHomeIsNoVoteForThePrimary)
{
  PoolWorld w (47);

  for (int n = 1; n <= 60; n++)
    plr_set_vm (w.pooler, ("vm-" + std::to_string (n)).c_str (), "10.0.1.1:1",
                n == 1 ? "c" : "a", 0.25);
  EXPECT_EQ (w.Execute (w.Open ("fresh"), STM_WRITE, nullptr, "a 1"), "ok");
  EXPECT_EQ (sfo_cast_vote (w.sfo, "stock", "i-0", w.now_us),
             SFO_VOTE_REACHED);
  w.homes_refuse = true;
  w.unresponsive["i-0"] = true;
  for (int n = 0; n < 25; n++)
    {
      w.Send (w.Open ("fresh"), STM_READ, nullptr, "a");
      w.Run (100000);
      // Before that, the instance may have been heard a short while ago.
      if (n < 16)
        continue;
      EXPECT_NE (sfo_cast_vote (w.sfo, "stock", "i-0", w.now_us),
                 SFO_VOTE_REACHED)
          << n;
    }
  ExpectNoBreach (w);
}
} // namespace
