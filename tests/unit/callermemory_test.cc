// The budget for the memory of callers, without a network.  The load that it
// answers: callers that hold large messages beside many with small ones.
#include <glib.h>
extern "C"
{
#include "callermemory.h"
}
#include <gtest/gtest.h>
#include <vector>

namespace
{
// Guards against a small caller that is closed for what others take.
TEST (CallerMemory, TheLargestHolderIsNamedWhileTheBudgetIsExceeded)
{
  struct
  {
    const char *what;
    std::vector<size_t> bytes;
    int largest; // -1 = none
  } const cases[] = {
    { "nobody takes any", { 0, 0, 0 }, -1 },
    { "just within", { 50, 30, 20 }, -1 },
    { "one takes most", { 10, 90, 10 }, 1 },
    { "many small ones and a large one", { 20, 20, 20, 20, 21 }, 4 },
  };
  for (const auto &c : cases)
    {
      struct cmm_budget b;
      std::vector<struct cmm_holder> holders (c.bytes.size ());

      cmm_init (&b, 100);
      for (size_t n = 0; n < holders.size (); n++)
        {
          // What it held before does not count.
          cmm_set (&b, &holders[n], 1000);
          cmm_set (&b, &holders[n], c.bytes[n]);
        }
      EXPECT_EQ (cmm_find_excess (&b),
                 c.largest < 0 ? nullptr : &holders[c.largest])
          << c.what;
      for (auto &h : holders)
        cmm_set (&b, &h, 0);
      EXPECT_EQ (b.bytes, 0u) << c.what;
      EXPECT_EQ (b.holders->len, 0u) << c.what;
      cmm_free (&b);
    }
}
} // namespace
