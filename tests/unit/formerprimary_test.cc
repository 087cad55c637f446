// Failovers by a proxy that has missed a promotion: whom it takes as primary,
// and that it does not bring back commits that the promotion rolled back.
#include "poolworld.h"

#include <gtest/gtest.h>

namespace
{
// Callers read for N tenths of a second.
void
Read (PoolWorld *w, int n)
{
  for (; n > 0; n--)
    {
      w->Send (w->Open ("own"), STM_READ, nullptr, "a");
      w->Run (100000);
    }
}

// Another proxy promotes i-1 while this one still reaches i-0, which commits
// on until then.  I-0 keeps these commits, and i-1 those that follow.
void
PromoteElsewhere (PoolWorld *w, Caller *x, bool claim_known)
{
  if (claim_known)
    NoteClaim (w, "vm-2", 50);
  w->Run (300000);
  for (uint32_t k = 0; k < 3; k++)
    w->group->instances[k].isolated = true;
  for (int n = 0; n < 3; n++)
    EXPECT_EQ (w->Execute (x, STM_WRITE, nullptr, "a 1"), "ok");
  dbm_promote (w->group, "i-1", 50, w->now_us);
}

// Guards against the return of commits that a promotion rolled back: a proxy
// that had missed it promoted the former primary, whose log ends in the term
// before, over the new one.
TEST (FormerPrimary, IsNotPromotedOverANewTerm)
{
  struct
  {
    const char *what;
    bool claim_known;
    bool confirmed;       // this proxy saw i-1 lead
    bool commits;         // i-1 had committed by then
    bool entries_current; // the directory names i-1
    bool entry_lapses;    // that of i-1
  } const cases[] = {
    { "the new primary was seen", false, true, true, true, true },
    { "it was seen before it had committed", true, true, false, true, false },
    { "only its claim was seen", true, false, false, true, false },
    { "the same, and the directory is outdated", true, false, false, false,
      false },
    { "the same, and its entry lapses", true, false, false, false, true },
  };
  for (const auto &c : cases)
    {
      PoolWorld w (73);
      Caller *x = w.Open ("fresh");
      EXPECT_EQ (w.Execute (x, STM_WRITE, nullptr, "a 1"), "ok") << c.what;
      w.Execute (w.Open ("bounded"), STM_READ, nullptr, "a");
      w.Run (500000);
      PromoteElsewhere (&w, x, c.claim_known);
      if (c.entries_current)
        for (uint32_t k = 0; k < 3; k++)
          w.Register (&w.group->instances[k]);
      std::string result = "ok";
      if (c.confirmed)
        result
            = w.Execute (x, c.commits ? STM_WRITE : STM_READ, nullptr, "a 2");
      EXPECT_EQ (result, "ok") << c.what;
      w.unresponsive["i-1"] = w.unresponsive["i-2"] = true;
      if (c.entry_lapses)
        w.Lapse (&w.group->instances[1]);
      Read (&w, 70);
      EXPECT_TRUE (w.promoted.empty ()) << c.what;
      // A replica that follows the new primary may take over.
      w.group->instances[2].isolated = false;
      struct dbm_conn *conn = dbm_connect (&w.group->instances[1]);
      struct stm s = {};
      struct stm_result reply;
      struct dbm_sender sender = {};
      sender.first_byte_us = w.now_us;
      sender.max_age_us = -1;
      w.senders["elsewhere"] = sender;
      s.kind = STM_WRITE;
      s.id = "elsewhere";
      s.args = "b 1";
      dbm_run (conn, LP_NONE, &s, &reply, w.now_us);
      EXPECT_TRUE (reply.ok);
      dbm_disconnect (conn);
      w.unresponsive["i-2"] = false;
      Read (&w, 25);
      ASSERT_EQ (w.promoted.size (), 1u) << c.what;
      EXPECT_EQ (w.promoted[0], "i-2") << c.what;
    }
}

// With nobody left that follows the new primary, an older log is better than
// none for ever.
TEST (FormerPrimary, IsPromotedWhenNoNewerLogIsLeft)
{
  PoolWorld w (74);
  Caller *x = w.Open ("fresh");
  EXPECT_EQ (w.Execute (x, STM_WRITE, nullptr, "a 1"), "ok");
  w.Execute (w.Open ("bounded"), STM_READ, nullptr, "a");
  w.Run (500000);
  PromoteElsewhere (&w, x, true);
  EXPECT_EQ (w.Execute (x, STM_WRITE, nullptr, "a 2"), "ok");
  w.unresponsive["i-1"] = w.unresponsive["i-2"] = true;
  Read (&w, 200);
  ASSERT_FALSE (w.promoted.empty ());
  EXPECT_EQ (w.promoted[0], "i-0");
}

// The primary to be judged is the one that the directory names now, not the
// one that this proxy saw lead last: the peers that reach it spare it.
TEST (FormerPrimary, IsNotJudgedInPlaceOfTheOneThatTheDirectoryNames)
{
  PoolWorld w (75);
  Caller *x = w.Open ("fresh");
  EXPECT_EQ (w.Execute (x, STM_WRITE, nullptr, "a 1"), "ok");
  w.Execute (w.Open ("bounded"), STM_READ, nullptr, "a");
  w.Run (500000);
  w.votes_missed = 0;
  w.votes_reached = 4;
  w.unresponsive["i-1"] = true;
  dbm_promote (w.group, "i-1", 50, w.now_us);
  for (uint32_t k = 0; k < 3; k++)
    w.Register (&w.group->instances[k]);
  w.Lapse (&w.group->instances[0]);
  Read (&w, 60);
  EXPECT_TRUE (w.promoted.empty ());
}

// Guards against votes of one proxy that count several times: replies to
// earlier requests arrive beside the one to the last, and made a majority.
TEST (FormerPrimary, EachProxyHasOneVote)
{
  for (uint32_t voters : { 1u, 4u })
    {
      PoolWorld w (76);
      for (const char *vm : { "vm-2", "vm-3", "vm-4", "vm-5", "vm-6" })
        g_hash_table_add (w.vms, (gpointer)vm);
      w.votes_hook = [&w, voters] (const std::string &id) {
        for (uint32_t n = 0; n < 4; n++)
          sfo_add_vote (w.sfo, "stock", id.c_str (),
                        ("vm-" + std::to_string (2 + n % voters)).c_str (),
                        SFO_VOTE_MISSED, w.now_us);
      };
      EXPECT_EQ (w.Execute (w.Open ("fresh"), STM_WRITE, nullptr, "a 1"),
                 "ok");
      w.Execute (w.Open ("bounded"), STM_READ, nullptr, "a");
      w.unresponsive["i-0"] = true;
      Read (&w, 40);
      EXPECT_EQ (w.promoted.empty (), voters == 1) << voters;
    }
}

// Guards against a promotion that rests on votes and reports of seconds ago:
// the store granted the claim late, and meanwhile the primary was back.
TEST (FormerPrimary, IsNotReplacedByALateClaim)
{
  for (int64_t takes_us : { 100000, 2500000 })
    {
      PoolWorld w (77);
      EXPECT_EQ (w.Execute (w.Open ("fresh"), STM_WRITE, nullptr, "a 1"),
                 "ok");
      w.Execute (w.Open ("bounded"), STM_READ, nullptr, "a");
      w.Run (500000);
      // Another proxy holds the claim, so this one needs a new one.
      NoteClaim (&w, "vm-2", 50, false);
      w.claim_takes_us = takes_us;
      w.unresponsive["i-0"] = true;
      w.At (2500000, [&w] { w.unresponsive["i-0"] = false; });
      Read (&w, 60);
      EXPECT_EQ (w.promoted.size (), takes_us < 1000000 ? 1u : 0u) << takes_us;
      ExpectNoBreach (w);
    }
}
} // namespace
