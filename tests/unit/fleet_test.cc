// What proxies know of one another and of the store's items.
#include "fleetworld.h"
#include "poolworld.h"

#include <gtest/gtest.h>
#include <set>
extern "C"
{
#include "items.h"
}

namespace
{
struct gsp_item
Item (const char *key, const char *value, uint64_t revision)
{
  return { (char *)key, (char *)value, revision };
}

void
NoteGone (void *arg, const char *key)
{
  ((std::set<std::string> *)arg)->insert (key);
}

// Whatever the source, nothing older than what is known comes back.
TEST (Items, NothingOlderIsTaken)
{
  struct
  {
    const char *what;
    struct gsp_item item;
    bool news;
  } const steps[] = {
    { "first", Item ("a", "1", 5), true },
    { "again", Item ("a", "1", 5), false },
    { "older", Item ("a", "0", 4), false },
    { "newer", Item ("a", "2", 8), true },
    { "removed", Item ("a", nullptr, 9), true },
    { "back from a proxy that missed the removal", Item ("a", "2", 8), false },
    { "written anew", Item ("a", "3", 10), true },
  };
  struct itm_cache *c = itm_new ();

  for (const auto &s : steps)
    EXPECT_EQ (itm_update (c, &s.item), s.news) << s.what;
  itm_free (c);
}

// The history was lost: what vanished meanwhile shows by its absence.
TEST (Items, AListingRemovesWhatItLacks)
{
  struct
  {
    const char *what;
    const char *key;
    uint64_t revision;
    bool listed;
    bool gone;
  } const cases[] = {
    { "still there", "vm/a", 5, true, false },
    { "vanished", "vm/b", 6, false, true },
    { "of another prefix", "servers/a", 4, false, false },
    { "learned of after the listing began", "vm/c", 21, false, false },
  };
  struct itm_cache *c = itm_new ();
  std::set<std::string> gone;

  for (const auto &k : cases)
    {
      struct gsp_item item = Item (k.key, "x", k.revision);

      itm_update (c, &item);
    }
  itm_begin_prefix_listing (c, "vm/", 20);
  for (const auto &k : cases)
    if (k.listed)
      itm_add_listed (c, k.key);
  itm_end_prefix_listing (c, NoteGone, &gone);
  for (const auto &k : cases)
    {
      EXPECT_EQ (gone.count (k.key) > 0, k.gone) << k.what;
      EXPECT_EQ (itm_has (c, k.key), !k.gone) << k.what;
    }
  // A proxy that missed the removal doesn't bring it back, here or elsewhere.
  struct gsp_item old = Item ("vm/b", "x", 6);
  EXPECT_FALSE (itm_update (c, &old));
  struct gsp_message m = {};
  m.items = g_new0 (struct gsp_item, GSP_ITEMS_MAX);
  itm_fill_delta (c, 0, &m);
  for (uint32_t i = 0; i < m.n_items; i++)
    if (std::string (m.items[i].key) == "vm/b")
      {
        EXPECT_EQ (m.items[i].value, nullptr);
      }
  gsp_clear (&m);
  itm_free (c);
}

// When a proxy knows enough of the others to act on it.
TEST (Fleet, KnownOnceNoMoreCome)
{
  struct
  {
    const char *what;
    bool awaits;
    bool again;
    int64_t each_us; // another proxy is listed so often ...
    int n;           // ... so many times
    int64_t known_least_us, known_most_us;
  } const cases[] = {
    { "not awaited", false, false, 0, 0, 0, 0 },
    { "its own entry outlived it", true, true, 0, 0, 0, 0 },
    { "alone", true, false, 0, 0, 200000, 400000 },
    { "300 start with it", true, false, 2000, 300, 800000, 1100000 },
    { "they come without end", true, false, 100000, 100, 1400000, 1600000 },
  };
  for (const auto &c : cases)
    {
      struct vmt_table t = {};
      GHashTable *regions = g_hash_table_new (g_str_hash, g_str_equal);
      int64_t known_us = -1;

      vmt_init (&t, "vm-0", regions);
      if (c.awaits)
        {
          vmt_await_peers (&t);
          EXPECT_FALSE (vmt_check_complete (&t, 100)) << c.what;
          vmt_note_first_listing (&t, c.again, 1000000);
        }
      for (int64_t us = 0; known_us < 0 && us < 3000000; us += 20000)
        {
          for (int n = 0; n < c.n; n++)
            if (n * c.each_us <= us)
              {
                std::string name = "vm-" + std::to_string (n);

                if (!vmt_find (&t, name.c_str ()))
                  vmt_set (&t, name.c_str (), "10.0.0.1:1", "a", 0.1);
              }
          if (vmt_check_complete (&t, 1000000 + us))
            known_us = us;
        }
      EXPECT_GE (known_us, c.known_least_us) << c.what;
      EXPECT_LE (known_us, c.known_most_us) << c.what;
      vmt_free (&t);
      g_hash_table_destroy (regions);
    }
}

// A proxy that starts among many opens nothing to an instance before it knows
// them, and then only what its share is.
TEST (Fleet, AColdProxyOpensNothingBeforeItKnowsTheOthers)
{
  PoolWorld w (31);
  size_t opened_before;

  plr_await_vms (w.pooler);
  opened_before = w.ups.size ();
  w.Run (300000);
  EXPECT_EQ (w.ups.size (), opened_before);
  plr_vms_listed (w.pooler, false, w.now_us);
  for (int n = 0; n < 300; n++)
    plr_set_vm (w.pooler, ("vm-" + std::to_string (n)).c_str (), "10.0.0.9:1",
                "b", 0.1);
  w.Run (200000);
  EXPECT_EQ (w.ups.size (), opened_before) << "others may still come";
  w.Run (1000000);
  EXPECT_TRUE (plr_knows_vms (w.pooler, w.now_us));
  EXPECT_GT (w.ups.size (), opened_before);
  for (size_t n = opened_before; n < w.ups.size (); n++)
    EXPECT_TRUE (w.ups[n]->via_home) << "this proxy is no home";
}

// Proxies lose power and start again, before instances that still count the
// connections of the former processes.
TEST (Fleet, AFleetThatLostPowerServesAgain)
{
  const int64_t kServedWithinUs = 8000000;
  const double kServedPart = 0.9;
  struct
  {
    const char *what;
    int vms;
    int services;
    double rate;
    int every;        // one in so many is hit ...
    int data_centre;  // ... or all of this one, from 0; -1: of any
    int64_t apart_us; // one after the other, 0: at once
  } const cases[] = {
    { "all of 9", 9, 3, 300, 1, -1, 0 },
    { "all of 60", 60, 6, 600, 1, -1, 0 },
    { "all of 300", 300, 6, 600, 1, -1, 0 },
    { "half of 300", 300, 6, 600, 2, -1, 0 },
    { "100 of 300", 300, 6, 600, 3, -1, 0 },
    { "a data centre of 300", 300, 6, 600, 1, 0, 0 },
    { "all of 300 in turn", 300, 6, 600, 1, -1, 20000 },
  };
  for (const auto &c : cases)
    {
      FleetOptions o;
      o.vms = c.vms;
      o.services = c.services;
      o.connections_max = c.vms < 10 ? 40 : 88;
      FleetWorld w (51, o);

      for (auto &vm : w.vms)
        w.Start (vm.get ());
      w.Run (2000000);
      w.Load (c.rate, 20000000);
      w.Run (3000000);
      int64_t before_us = w.now_us - 2000000;
      uint64_t refused = w.refused_full;
      int64_t at_us = 0;
      for (auto &vm : w.vms)
        {
          FleetVm *victim = vm.get ();

          if (vm->index % c.every != 0
              || (c.data_centre >= 0 && vm->index % 6 != c.data_centre))
            continue;
          w.At (at_us, [&w, victim] { w.LosePower (victim); });
          w.At (at_us + 1400000 + (int64_t)(w.random () % 300000),
                [&w, victim] { w.Start (victim); });
          at_us += c.apart_us;
        }
      w.Run (at_us + 1400000);
      int64_t back_us = w.now_us;
      w.Run (11000000);
      int64_t served_us = w.ServedFrom (back_us, kServedPart);
      EXPECT_EQ (w.ServedFrom (before_us, kServedPart), before_us) << c.what;
      EXPECT_GE (served_us, 0) << c.what;
      EXPECT_LE (served_us - back_us, kServedWithinUs) << c.what;
      EXPECT_EQ (w.promotions, 0u) << c.what;
      // Homes wait for one another's connections, and nobody else connects.
      EXPECT_LE (w.messages, 100u * w.instances.size ()) << c.what;
      EXPECT_LE (w.refused_full - refused, 20u * w.instances.size ())
          << c.what;
    }
}

// Both replicas of one service lag beyond every allowed age, so that more
// falls on its primary than it can serve.
TEST (Fleet, APrimaryWhoseReplicasLagIsKeptBusy)
{
  for (int vms : { 9, 60, 300 })
    {
      FleetOptions o;
      o.vms = vms;
      o.services = 3;
      o.connections_max = vms < 10 ? 40 : 88;
      FleetWorld w (61, o);

      for (auto &vm : w.vms)
        w.Start (vm.get ());
      w.Run (2000000);
      w.Load (630, 16000000);
      w.Run (3000000);
      for (uint32_t k = 1; k < 3; k++)
        w.groups[0]->instances[k].lag_us = 60000000;
      w.Run (4000000);
      FleetTally before = w.tallies[0];
      int64_t worked_us = w.instances[0]->worked_us;
      w.Run (8000000);
      FleetTally t = w.tallies[0];
      double busy = (double)(w.instances[0]->worked_us - worked_us) / 16e6;
      // Nothing is refused while a slot is free, nor for another's load.
      EXPECT_GE (busy, 0.97) << vms;
      EXPECT_EQ (w.tallies[1].refused, 0u) << vms;
      EXPECT_EQ (w.tallies[2].refused, 0u) << vms;
      // What is taken is served in time.
      EXPECT_LE ((double)(t.late - before.late),
                 0.1 * (double)(t.in_time - before.in_time))
          << vms;
      EXPECT_GT (t.refused, before.refused) << vms;
    }
}

// Callers come all at once to a fleet that has rested, where no proxy knows
// how far any primary stands: the first reads of each fall on replicas too.
TEST (Fleet, TheFirstSecondAfterARestIsServedInTime)
{
  const double kServedPart = 0.95;
  const int64_t kTenthUs = 100000;

  for (int vms : { 9, 60, 300 })
    {
      FleetOptions o;
      o.vms = vms;
      o.connections_max = vms < 10 ? 40 : 88;
      FleetWorld w (71, o);

      for (auto &vm : w.vms)
        w.Start (vm.get ());
      w.Run (13000000);
      size_t first = (size_t)(w.now_us / kTenthUs);
      w.Load (1260, 5000000);
      w.Run (9000000);
      for (size_t k = first; k < first + 10; k++)
        EXPECT_GE ((double)w.in_time[k], kServedPart * (double)w.sent[k])
            << vms << " VMs, tenth " << k - first;
    }
}
} // namespace
