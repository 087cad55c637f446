// The item cache, the table of proxies, and many session poolers together.
#include "fleetworld.h"
#include "poolworld.h"

#include <algorithm>
#include <gtest/gtest.h>
#include <numeric>
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
CollectRemoved (void *arg, const char *key)
{
  ((std::set<std::string> *)arg)->insert (key);
}

// The cache accepts no revision older than the one it has, so that a removed
// item doesn't come back from a source that missed its removal.
TEST (Items, OlderRevisionsAreIgnored)
{
  struct
  {
    const char *what;
    struct gsp_item item;
    bool accepted;
  } const steps[] = {
    { "first", Item ("a", "1", 5), true },
    { "again", Item ("a", "1", 5), false },
    { "older", Item ("a", "0", 4), false },
    { "newer", Item ("a", "2", 8), true },
    { "removed", Item ("a", nullptr, 9), true },
    { "back from a proxy that missed the removal", Item ("a", "2", 8), false },
    { "written again", Item ("a", "3", 10), true },
  };
  struct itm_cache *c = itm_new ();

  for (const auto &s : steps)
    EXPECT_EQ (itm_update (c, &s.item), s.accepted) << s.what;
  itm_free (c);
}

// After the store's history was lost, items that were removed meanwhile show
// only by their absence from a new listing.
TEST (Items, AListingRemovesItemsThatItLacks)
{
  struct
  {
    const char *what;
    const char *key;
    uint64_t revision;
    bool listed;
    bool removed;
  } const cases[] = {
    { "still present", "vm/a", 5, true, false },
    { "removed", "vm/b", 6, false, true },
    { "of another prefix", "servers/a", 4, false, false },
    { "received after the listing began", "vm/c", 21, false, false },
  };
  struct itm_cache *c = itm_new ();
  std::set<std::string> removed;

  for (const auto &k : cases)
    {
      struct gsp_item item = Item (k.key, "x", k.revision);

      itm_update (c, &item);
    }
  itm_begin_prefix_listing (c, "vm/", 20);
  for (const auto &k : cases)
    if (k.listed)
      itm_add_listed (c, k.key);
  itm_end_prefix_listing (c, CollectRemoved, &removed);
  for (const auto &k : cases)
    {
      EXPECT_EQ (removed.count (k.key) > 0, k.removed) << k.what;
      EXPECT_EQ (itm_has (c, k.key), !k.removed) << k.what;
    }
  // The old revision from a proxy that missed the removal restores the item
  // neither here nor in the deltas sent to others.
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

// The table of proxies is complete once its own entry was found or no more
// proxies register, and at the latest after VMT_STARTUP_MAX_US.
TEST (Fleet, TableIsCompleteOnceNoMoreProxiesRegister)
{
  struct
  {
    const char *what;
    bool awaits;
    bool was_registered;
    int64_t interval_us; // between registrations of other proxies
    int n;               // number of these registrations
    int64_t complete_min_us, complete_max_us;
  } const cases[] = {
    { "not awaited", false, false, 0, 0, 0, 0 },
    { "its own entry outlived its process", true, true, 0, 0, 0, 0 },
    { "alone", true, false, 0, 0, 200000, 400000 },
    { "300 start with it", true, false, 2000, 300, 800000, 1100000 },
    { "registrations don't end", true, false, 100000, 100, 1400000, 1600000 },
  };
  for (const auto &c : cases)
    {
      struct vmt_table t = {};
      GHashTable *regions = g_hash_table_new (g_str_hash, g_str_equal);
      int64_t complete_us = -1;

      vmt_init (&t, "vm-0", regions);
      if (c.awaits)
        {
          vmt_await_peers (&t);
          EXPECT_FALSE (vmt_check_complete (&t, 100)) << c.what;
          vmt_note_first_listing (&t, c.was_registered, 1000000);
        }
      for (int64_t us = 0; complete_us < 0 && us < 3000000; us += 20000)
        {
          for (int n = 0; n < c.n; n++)
            if (n * c.interval_us <= us)
              {
                std::string name = "vm-" + std::to_string (n);

                if (!vmt_find (&t, name.c_str ()))
                  vmt_set (&t, name.c_str (), "10.0.0.1:1", "a", 0.1);
              }
          if (vmt_check_complete (&t, 1000000 + us))
            complete_us = us;
        }
      EXPECT_GE (complete_us, c.complete_min_us) << c.what;
      EXPECT_LE (complete_us, c.complete_max_us) << c.what;
      vmt_free (&t);
      g_hash_table_destroy (regions);
    }
}

// A proxy that starts among many opens no connection to an instance before its
// table of proxies is complete, and then only its share, through homes.
// Without the wait it would take itself for one of a few and connect to every
// instance directly.
TEST (Fleet, AStartingProxyWaitsForTheTableOfProxies)
{
  PoolWorld w (31);
  size_t opened_before;

  plr_await_peers (w.pooler);
  opened_before = w.ups.size ();
  w.Run (300000);
  EXPECT_EQ (w.ups.size (), opened_before);
  plr_note_first_listing (w.pooler, false, w.now_us);
  for (int n = 0; n < 300; n++)
    plr_set_vm (w.pooler, ("vm-" + std::to_string (n)).c_str (), "10.0.0.9:1",
                "b", 0.1);
  w.Run (200000);
  EXPECT_EQ (w.ups.size (), opened_before) << "others may still register";
  w.Run (1000000);
  EXPECT_TRUE (plr_check_peers_complete (w.pooler, w.now_us));
  EXPECT_GT (w.ups.size (), opened_before);
  for (size_t n = opened_before; n < w.ups.size (); n++)
    EXPECT_TRUE (w.ups[n]->via_home) << "this proxy is no home";
}

// Proxies lose power and start again while the instances still count the
// connections of the former processes against their limits.  Service must
// recover in time, without promotions and without a flood of messages or
// refused connections.
TEST (Fleet, ServiceRecoversAfterAPowerLoss)
{
  const int64_t kRecoveryMaxUs = 8000000;
  const double kServedShare = 0.9;
  struct
  {
    const char *what;
    int vms;
    int services;
    double rate;
    int every;           // every Nth proxy loses power
    int data_centre;     // only proxies of this one, from 0; -1: of any
    int64_t interval_us; // between the losses, 0: all at once
  } const cases[] = {
    { "all of 9", 9, 3, 300, 1, -1, 0 },
    { "all of 60", 60, 6, 600, 1, -1, 0 },
    { "all of 300", 300, 6, 600, 1, -1, 0 },
    { "half of 300", 300, 6, 600, 2, -1, 0 },
    { "100 of 300", 300, 6, 600, 3, -1, 0 },
    { "one data centre of 300", 300, 6, 600, 1, 0, 0 },
    { "all of 300, one after the other", 300, 6, 600, 1, -1, 20000 },
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
      int64_t delay_us = 0;
      for (auto &vm : w.vms)
        {
          FleetVm *victim = vm.get ();

          if (vm->index % c.every != 0
              || (c.data_centre >= 0 && vm->index % 6 != c.data_centre))
            continue;
          w.At (delay_us, [&w, victim] { w.LosePower (victim); });
          w.At (delay_us + 1400000 + (int64_t)(w.random () % 300000),
                [&w, victim] { w.Start (victim); });
          delay_us += c.interval_us;
        }
      w.Run (delay_us + 1400000);
      int64_t restarted_us = w.now_us;
      w.Run (11000000);
      int64_t recovered_us = w.ServedFrom (restarted_us, kServedShare);
      EXPECT_EQ (w.ServedFrom (before_us, kServedShare), before_us) << c.what;
      EXPECT_GE (recovered_us, 0) << c.what;
      EXPECT_LE (recovered_us - restarted_us, kRecoveryMaxUs) << c.what;
      EXPECT_EQ (w.promotions, 0u) << c.what;
      // Homes wait for each other's connections, and no other proxy connects.
      EXPECT_LE (w.messages, 100u * w.instances.size ()) << c.what;
      EXPECT_LE (w.refused_full - refused, 20u * w.instances.size ())
          << c.what;
    }
}

// Both replicas of one service lag beyond every allowed age, so that its
// primary gets more load than it can serve.  It must be used to capacity, what
// it admits must be in time, and the other services must not suffer.
TEST (Fleet, APrimaryWithLaggingReplicasIsUsedToCapacity)
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
      FleetCounts before = w.counts[0];
      int64_t worked_us = w.instances[0]->worked_us;
      w.Run (8000000);
      FleetCounts t = w.counts[0];
      double utilisation
          = (double)(w.instances[0]->worked_us - worked_us) / 16e6;
      // No statement is refused while a slot is free, nor because of the load
      // of another service.
      EXPECT_GE (utilisation, 0.97) << vms;
      EXPECT_EQ (w.counts[1].refused, 0u) << vms;
      EXPECT_EQ (w.counts[2].refused, 0u) << vms;
      // Admitted statements are served in time.
      EXPECT_LE ((double)(t.late - before.late),
                 0.1 * (double)(t.in_time - before.in_time))
          << vms;
      EXPECT_GT (t.refused, before.refused) << vms;
    }
}

// The calls per second that two slots can complete in an ideal order, in which
// the shortest calls of each priority go first, of RATE calls per second.
double
IdealRate (const FleetWorld &w, double rate)
{
  const FleetOptions &o = w.o;
  const struct
  {
    double share;
    double work_us; // of one statement
    bool transaction;
  } order[] = {
    { 0.15, (double)o.fresh_us, false }, { 0.15, (double)o.fresh_us, true },
    { 0.7, (double)o.own_us, false },    { 0.15, (double)o.bounded_us, false },
    { 0.7, (double)o.own_us, true },     { 0.15, (double)o.bounded_us, true }
  };
  double slots_us = 2e6;
  double served = 0;

  for (const auto &k : order)
    {
      double calls = rate * k.share
                     * (k.transaction ? o.transactions : 1 - o.transactions);
      double each_us = k.transaction
                           ? o.statements * k.work_us + (double)o.commit_us
                           : k.work_us;
      double part = std::min (1.0, slots_us / (calls * each_us));

      served += part * calls;
      slots_us -= part * calls * each_us;
    }
  return served;
}

// A primary gets more load than its slots can serve for 20 seconds, as both
// replicas lag, from callers that hold transactions open and repeat refused
// calls.  What is served in time must come near to what an ideal order over
// the same slots would give, the rest must be refused at once, and all must be
// served again when the replicas have caught up.
TEST (Fleet, OverloadedPrimaryServesNearlyAsMuchAsAnIdealOrder)
{
  const double kOfIdealMin = 0.95;
  const double kUsedMin = 0.97;
  const double kEarlyRefusalsMin = 0.9; // within 50 ms
  const double kServedAfterwards = 0.97;
  const int64_t kRecoveryMaxUs = 1000000;
  const int64_t kLoadUs = 20000000;
  const int64_t kAfterUs = 3000000;
  const int64_t kAllAttemptsUs = 12000000;
  const int64_t kBucketUs = 100000;
  const struct
  {
    int vms, connections;
    double load; // in parts of what the slots can serve
  } cases[] = { { 9, 16, 1.3 }, { 9, 16, 2 }, { 60, 24, 1.3 }, { 60, 24, 2 } };

  for (const auto &c : cases)
    {
      FleetOptions o;
      o.vms = c.vms;
      o.services = 1;
      o.connections_max = c.connections;
      o.fresh_us = 3000;
      o.bounded_us = 15000;
      o.own_us = 9000;
      o.transactions = 0.15;
      o.retries = 2;
      FleetWorld w (81, o);
      double rate = c.load * 2e6 / w.MeanWorkUs ();

      for (auto &vm : w.vms)
        w.Start (vm.get ());
      w.Run (2000000);
      for (uint32_t k = 1; k < 3; k++)
        w.groups[0]->instances[k].lag_us = 60000000;
      w.Load (rate, kLoadUs + kAfterUs);
      int64_t worked_us = w.instances[0]->worked_us;
      int64_t started_us = w.now_us;
      w.Run (kLoadUs);
      int64_t caught_up_us = w.now_us;
      for (uint32_t k = 1; k < 3; k++)
        w.groups[0]->instances[k].lag_us = 50000;
      double used = (double)(w.instances[0]->worked_us - worked_us)
                    / (2 * (double)kLoadUs);
      double early = (double)w.early_refusals / (double)w.refusals;
      w.Run (kAfterUs + kAllAttemptsUs);
      double in_time = std::accumulate (
          w.in_time.begin () + started_us / kBucketUs,
          w.in_time.begin () + caught_up_us / kBucketUs, 0.0);
      double ideal = IdealRate (w, rate) * (double)kLoadUs / 1e6;
      EXPECT_GE (in_time, kOfIdealMin * ideal) << c.vms << " VMs, " << c.load;
      EXPECT_GE (early, kEarlyRefusalsMin) << c.vms << " VMs, " << c.load;
      int64_t served_us = w.ServedFrom (caught_up_us, kServedAfterwards);
      EXPECT_GE (served_us, 0) << c.vms << " VMs, " << c.load;
      EXPECT_LE (served_us - caught_up_us, kRecoveryMaxUs)
          << c.vms << " VMs, " << c.load;
      EXPECT_GE (used, kUsedMin) << c.vms << " VMs, " << c.load;
      EXPECT_EQ (w.promotions, 0u);
    }
}

// All callers arrive at once after an idle period, when no proxy knows the log
// position of any primary: the first reads of each service must go to replicas
// too to be served in time.
TEST (Fleet, TheFirstSecondAfterAnIdlePeriodIsServedInTime)
{
  const double kServedShare = 0.95;
  const int64_t kBucketUs = 100000;

  for (int vms : { 9, 60, 300 })
    {
      FleetOptions o;
      o.vms = vms;
      o.connections_max = vms < 10 ? 40 : 88;
      FleetWorld w (71, o);

      for (auto &vm : w.vms)
        w.Start (vm.get ());
      w.Run (13000000);
      size_t first = (size_t)(w.now_us / kBucketUs);
      w.Load (1260, 5000000);
      w.Run (9000000);
      for (size_t k = first; k < first + 10; k++)
        EXPECT_GE ((double)w.in_time[k], kServedShare * (double)w.sent[k])
            << vms << " VMs, tenth " << k - first;
    }
}
} // namespace
