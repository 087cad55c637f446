// Replies that take longer than expected: a sound but slow instance stays in
// use, and a statement ends at the time limit of its route.
#include "poolworld.h"

#include <gtest/gtest.h>

namespace
{
const int kSessions = 4;
const int64_t kPauseUs = 20000;
// A read may wait so long for a leadership check before its first try.
const int64_t kFirstTryUs = 100000;

// Lets the sessions read one after the other for RUN_US.
void
ReadFor (PoolWorld *w, const std::vector<Caller *> &callers, int64_t run_us)
{
  int64_t end_us = w->now_us + run_us;

  while (w->now_us < end_us)
    {
      for (Caller *c : callers)
        if (!c->busy)
          w->Send (c, STM_READ, nullptr, "a");
      w->Run (kPauseUs);
    }
}

// Guards against a reply that was taken as lost only because the estimate of
// the execution time, which starts low in a new process, was learnt from
// replies in time alone: a database of slow reads was never served again.
TEST (LateReply, SlowReadsAreServedAfterAStart)
{
  struct
  {
    int64_t work_us;
    int64_t timeout_us;
    int64_t settle_us; // time in which the execution time is learnt
  } const cases[] = {
    { 60000, 3000000, 2000000 },   { 300000, 800000, 2000000 },
    { 300000, 3000000, 2000000 },  { 700000, 3000000, 4000000 },
    { 2000000, 3000000, 8000000 },
  };
  for (const auto &k : cases)
    {
      PoolWorld w (1);
      std::vector<Caller *> callers;
      int oks = 0;
      int errors = 0;

      w.timeout_us = k.timeout_us;
      w.Configure (2);
      w.faults.work_us = k.work_us;
      for (int n = 0; n < kSessions; n++)
        callers.push_back (w.Open ("bounded"));
      ReadFor (&w, callers, k.settle_us);
      for (Caller *c : callers)
        {
          c->oks = 0;
          c->codes.clear ();
        }
      ReadFor (&w, callers, 10000000);
      for (Caller *c : callers)
        {
          oks += c->oks;
          for (const auto &code : c->codes)
            errors += code.second;
        }
      EXPECT_GT (oks, 0) << k.work_us;
      EXPECT_EQ (errors, 0) << k.work_us;
      ExpectNoBreach (w);
    }
}

// Guards against a time limit that each retry started anew: a read ended after
// three times the limit of its route.
TEST (LateReply, RetriesShareTheTimeLimitOfTheRoute)
{
  const int64_t limits_us[] = { 800000, 1500000, 3000000 };

  for (int64_t limit_us : limits_us)
    {
      PoolWorld w (2);
      Caller *c;
      int64_t sent_us;

      w.timeout_us = limit_us;
      w.Configure (2);
      c = w.Open ("bounded");
      EXPECT_EQ (w.Execute (c, STM_READ, nullptr, "a"), "ok");
      // No read is answered; probes are, so that the instances count as up.
      w.faults.lose_reply = 1;
      sent_us = w.now_us;
      EXPECT_EQ (w.Execute (c, STM_READ, nullptr, "a", 20 * limit_us),
                 "aborted");
      EXPECT_LE (w.now_us - sent_us, limit_us + kFirstTryUs + 2 * PLR_TICK_US);
      ExpectNoBreach (w);
    }
}
} // namespace
