// Distribution of store updates through feeders: load on the store, and how
// soon every proxy has a change.
#include <glib.h>
#include <gtest/gtest.h>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>
extern "C"
{
#include "feed.h"
#include "items.h"
}

namespace
{
const int64_t kStaleUs = 3000000;
const int64_t kStepUs = 20000;
const int64_t kRequestAnyPeerUs = 500000;
const int64_t kWatchUs = 1500000; // a watch returns by then, changed or not

// Simulates a store with its history, the proxies of one data centre and the
// messages between them, in steps of virtual time.
struct FeedWorld
{
  struct Change
  {
    std::string key;
    bool removed;
  };
  struct Message
  {
    int64_t due_us;
    int from, to;
    bool is_request;
    struct gsp_message m;
  };
  struct Proxy
  {
    bool up = true;            // its process runs
    bool store_denied = false; // the store refuses its calls
    struct vmt_table vms;
    struct fed *feed = nullptr;
    struct itm_cache *items = nullptr;
    int64_t watched_us = 0;
    uint64_t calls = 0, messages = 0;
    uint64_t seen_revision = 0;
  };
  GHashTable *regions = g_hash_table_new (g_str_hash, g_str_equal);
  std::vector<Change> history; // element N has revision N + 1
  std::vector<std::unique_ptr<Proxy> > proxies;
  std::vector<Message> queue;
  std::mt19937_64 random;
  double loss = 0; // share of the messages that is lost
  int64_t now_us = 1000000;

  FeedWorld (int n, uint64_t seed) : random (seed)
  {
    Change ("op/config");
    for (int i = 0; i < n; i++)
      proxies.push_back (std::make_unique<Proxy> ());
    for (int i = 0; i < n; i++)
      Start (i);
  }
  ~FeedWorld ()
  {
    for (auto &p : proxies)
      Stop (p.get ());
    for (auto &m : queue)
      gsp_clear (&m.m);
    g_hash_table_destroy (regions);
  }
  static std::string
  Name (int i)
  {
    return "vm-" + std::to_string (i);
  }
  void
  Change (const std::string &key, bool removed = false)
  {
    history.push_back ({ key, removed });
  }
  void
  Stop (Proxy *p)
  {
    if (!p->feed)
      return;
    fed_free (p->feed);
    itm_free (p->items);
    vmt_free (&p->vms);
    p->feed = nullptr;
    p->up = false;
  }
  void
  Start (int i)
  {
    Proxy *p = proxies[i].get ();
    struct fed_options o = {};

    p->up = true;
    p->watched_us = 0;
    vmt_init (&p->vms, "own", regions);
    for (size_t k = 0; k < proxies.size (); k++)
      vmt_set (&p->vms, Name ((int)k).c_str (), "10.0.0.1:1", "a",
               k < 3 ? 0.5 : 0.12);
    names.push_back (std::make_unique<std::string> (Name (i)));
    o.vms = &p->vms;
    o.vm = names.back ()->c_str ();
    o.data_centre = "a";
    o.stale_us = kStaleUs;
    p->feed = fed_new (&o);
    p->items = itm_new ();
    List (p);
  }
  std::vector<std::unique_ptr<std::string> > names;
  static void
  IgnoreRemoved (void *, const char *)
  {
  }
  static void
  IgnoreUpdated (void *, const struct gsp_item *)
  {
  }
  // Lists all items of the store.
  void
  List (Proxy *p)
  {
    std::map<std::string, uint64_t> present;

    p->calls += 3;
    itm_begin_full_listing (p->items, history.size ());
    itm_begin_prefix_listing (p->items, "", history.size ());
    for (size_t r = 0; r < history.size (); r++)
      if (history[r].removed)
        present.erase (history[r].key);
      else
        present[history[r].key] = r + 1;
    for (auto &k : present)
      {
        struct gsp_item item
            = { (char *)k.first.c_str (), (char *)"x", k.second };

        itm_add_listed (p->items, k.first.c_str ());
        itm_update (p->items, &item);
      }
    itm_end_prefix_listing (p->items, IgnoreRemoved, nullptr);
    itm_set_complete (p->items, history.size ());
    p->watched_us = now_us;
  }
  // Completes a watch that has waited long enough or has changes to return.
  void
  Watch (Proxy *p)
  {
    uint64_t from = itm_complete_revision (p->items);

    if (p->store_denied
        || (from == history.size () && now_us - p->watched_us < kWatchUs))
      return;
    p->calls++;
    for (size_t r = from; r < history.size (); r++)
      {
        struct gsp_item item
            = { (char *)history[r].key.c_str (),
                history[r].removed ? nullptr : (char *)"x", r + 1 };

        itm_update (p->items, &item);
      }
    itm_set_complete (p->items, history.size ());
    p->watched_us = now_us;
  }
  void
  Send (int from, int to, bool is_request, struct gsp_message m)
  {
    proxies[from]->messages++;
    if (std::uniform_real_distribution<> (0, 1) (random) < loss)
      gsp_clear (&m);
    else
      queue.push_back ({ now_us + 2000, from, to, is_request, m });
  }
  void
  SendItems (int from, int to, uint64_t revision)
  {
    Proxy *p = proxies[from].get ();
    struct gsp_message m = {};

    m.items = g_new0 (struct gsp_item, GSP_ITEMS_MAX);
    itm_fill_delta (p->items, revision, &m);
    m.age_ms = fed_is_feeder (p->feed) && p->watched_us > 0
                   ? (uint64_t)(now_us - p->watched_us) / 1000
                   : GSP_AGE_UNKNOWN;
    Send (from, to, false, m);
  }
  struct PushContext
  {
    FeedWorld *w;
    int from;
  };
  static void
  Push (void *arg, const char *vm, uint64_t revision)
  {
    PushContext *p = (PushContext *)arg;

    p->w->SendItems (p->from, atoi (vm + 3), revision);
  }
  void
  Receive (Message &m)
  {
    Proxy *p = proxies[m.to].get ();

    if (!p->up)
      return;
    if (m.is_request)
      {
        fed_note_subscriber (p->feed, Name (m.from).c_str (), m.m.revision,
                             now_us);
        SendItems (m.to, m.from, m.m.revision);
        return;
      }
    if (!itm_apply_delta (p->items, &m.m, IgnoreUpdated, nullptr))
      return;
    fed_note_reply (p->feed,
                    m.m.age_ms < GSP_AGE_UNKNOWN ? (int64_t)m.m.age_ms * 1000
                                                 : -1,
                    now_us);
  }
  void
  Step ()
  {
    std::vector<Message> due;

    now_us += kStepUs;
    due.swap (queue);
    for (auto &m : due)
      {
        Receive (m);
        gsp_clear (&m.m);
      }
    for (size_t i = 0; i < proxies.size (); i++)
      {
        Proxy *p = proxies[i].get ();
        PushContext push = { this, (int)i };
        struct gsp_message m = {};
        const char *feeder;

        if (!p->up)
          continue;
        feeder = fed_next_request (p->feed, now_us);
        m.revision = itm_complete_revision (p->items);
        if (feeder)
          Send ((int)i, atoi (feeder + 3), true, m);
        // No feeder serves this proxy and the store refuses its calls: it
        // requests updates from a random peer.
        if (p->store_denied && fed_is_feeder (p->feed)
            && now_us % kRequestAnyPeerUs < kStepUs)
          Send ((int)i, (int)(random () % proxies.size ()), true, m);
        fed_push (p->feed, itm_complete_revision (p->items), Push, &push,
                  now_us);
        if (!fed_is_current (p->feed, now_us)
            && now_us - p->watched_us > 300000)
          Watch (p);
      }
  }
  void
  Run (int64_t for_us)
  {
    for (int64_t end_us = now_us + for_us; now_us < end_us;)
      Step ();
  }
  bool
  AllComplete (uint64_t revision)
  {
    for (auto &p : proxies)
      if (p->up && itm_complete_revision (p->items) < revision)
        return false;
    return true;
  }
  int
  Feeders ()
  {
    int n = 0;

    for (auto &p : proxies)
      n += p->up && fed_is_feeder (p->feed) ? 1 : 0;
    return n;
  }
  // Returns the time until every proxy has the latest change, or -1 if that
  // takes longer than LIMIT_US.
  int64_t
  UntilAllCurrent (int64_t limit_us)
  {
    int64_t start_us = now_us;

    while (!AllComplete (history.size ()))
      {
        if (now_us - start_us > limit_us)
          return -1;
        Step ();
      }
    return now_us - start_us;
  }
};

// Guards against calls to the store, and messages between proxies, that grow
// with the number of proxies.
TEST (Feed, StoreCallsDoNotGrowWithTheNumberOfProxies)
{
  struct
  {
    int proxies;
    int feeders;
    uint64_t calls_max;    // of all proxies in 10 s without changes
    uint64_t messages_max; // of one proxy that is no feeder
  } const cases[] = {
    { 3, 3, 3 * 8, 0 },         { 10, 2, 2 * 8 + 10, 30 },
    { 50, 2, 2 * 8 + 10, 30 },  { 100, 2, 2 * 8 + 10, 30 },
    { 300, 2, 2 * 8 + 10, 30 },
  };
  for (const auto &c : cases)
    {
      FeedWorld w (c.proxies, 1);

      EXPECT_EQ (w.Feeders (), c.feeders) << c.proxies;
      w.Run (3000000);
      for (auto &p : w.proxies)
        p->calls = p->messages = 0;
      w.Run (10000000);
      uint64_t calls = 0;
      for (auto &p : w.proxies)
        {
          calls += p->calls;
          if (!fed_is_feeder (p->feed))
            {
              EXPECT_LE (p->messages, c.messages_max) << c.proxies;
            }
        }
      EXPECT_LE (calls, c.calls_max) << c.proxies;
      w.Change ("op/config");
      EXPECT_GE (w.UntilAllCurrent (300000), 0) << c.proxies;
    }
}

// A change reaches every proxy within half of the time allowed for a
// configuration change plus a margin, even when feeders die or lose the store
// or messages are lost.
TEST (Feed, AChangeReachesEveryProxyInTime)
{
  const int64_t kInTimeUs = kStaleUs + 2000000;
  struct
  {
    const char *what;
    int lost_feeders;
    bool dies; // otherwise the store refuses its calls
    double loss;
  } const cases[] = {
    { "no fault", 0, false, 0 },
    { "one feeder dies", 1, true, 0 },
    { "both feeders die", 2, true, 0 },
    { "the store refuses one feeder", 1, false, 0 },
    { "the store refuses both feeders", 2, false, 0 },
    { "messages are lost", 0, false, 0.3 },
    { "messages are lost and a feeder dies", 1, true, 0.3 },
  };
  for (const auto &c : cases)
    for (uint64_t seed = 1; seed <= 10; seed++)
      {
        FeedWorld w (30, seed);
        int lost = 0;

        w.loss = c.loss;
        w.Run (5000000 + (int64_t)(w.random () % 2000000));
        std::vector<FeedWorld::Proxy *> affected;
        for (auto &p : w.proxies)
          if (lost < c.lost_feeders && fed_is_feeder (p->feed))
            {
              lost++;
              affected.push_back (p.get ());
              if (c.dies)
                w.Stop (p.get ());
              else
                p->store_denied = true;
            }
        w.Run ((int64_t)(w.random () % 1000000));
        w.Change ("op/config");
        uint64_t changed = w.history.size ();
        int64_t start_us = w.now_us;
        bool all = false;
        while (!all && w.now_us - start_us < kInTimeUs)
          {
            w.Step ();
            all = true;
            for (auto &p : w.proxies)
              all &= !p->up || p->store_denied
                     || itm_complete_revision (p->items) >= changed;
          }
        EXPECT_TRUE (all) << c.what << ", seed " << seed;
      }
}

// A proxy whose calls the store refuses gets changes from the other proxies,
// whether the data centre has feeders or not.
TEST (Feed, AProxyRefusedByTheStoreIsUpdatedByOthers)
{
  for (int n : { 2, 5, 30 })
    for (int which : { 0, n - 1 })
      {
        FeedWorld w (n, 3);

        w.Run (2000000);
        w.proxies[which]->store_denied = true;
        w.Run (1000000);
        w.Change ("op/config");
        EXPECT_GE (w.UntilAllCurrent (4000000), 0)
            << n << " proxies, " << which;
      }
}

// Guards against removed items that reappear: a feeder that was restarted, cut
// off or had to list the store again missed their removal, and sends them to
// proxies that had removed them.
TEST (Feed, RemovedItemsDoNotReappear)
{
  std::vector<uint64_t> seeds = { 309, 1546 }; // both failed in the past

  for (uint64_t seed = 1; seed <= 100; seed++)
    seeds.push_back (seed);
  for (uint64_t seed : seeds)
    {
      FeedWorld w (20, seed);

      w.loss = 0.1;
      for (int round = 0; round < 60; round++)
        {
          std::string key = "servers/" + std::to_string (w.random () % 5);
          int i = (int)(w.random () % 4);
          FeedWorld::Proxy *p = w.proxies[i].get ();

          switch (w.random () % 5)
            {
            case 0:
              w.Change (key);
              break;
            case 1:
              w.Change (key, true);
              break;
            case 2: // a new process, which knows no earlier removals
              w.Stop (p);
              w.Start (i);
              break;
            case 3: // the history was lost: list all items again
              w.List (p);
              break;
            case 4:
              p->store_denied = !p->store_denied;
              break;
            }
          w.Run ((int64_t)(w.random () % 300000));
        }
      for (auto &p : w.proxies)
        p->store_denied = false;
      w.loss = 0;
      w.Run (6000000);
      std::map<std::string, bool> present;
      for (auto &c : w.history)
        present[c.key] = !c.removed;
      for (size_t n = 0; n < w.proxies.size (); n++)
        for (auto &k : present)
          EXPECT_EQ (itm_has (w.proxies[n]->items, k.first.c_str ()), k.second)
              << k.first << " at " << n << ", seed " << seed;
    }
}

// Items that exceed the limit of one message arrive in several, none missing,
// also where the limit would split the items of one revision.
TEST (Feed, ManyItemsArriveInSeveralMessages)
{
  struct itm_cache *from = itm_new ();
  struct itm_cache *to = itm_new ();
  const int kItems = 2 * GSP_ITEMS_MAX + 10;

  itm_begin_full_listing (from, 1);
  for (int n = 0; n < kItems; n++)
    {
      std::string key = "vm/" + std::to_string (n);
      // Two items of each revision, in an order unrelated to the keys.
      struct gsp_item item = { (char *)key.c_str (), (char *)"x",
                               (uint64_t)(2 + (n * 7 % kItems) / 2) };

      itm_update (from, &item);
    }
  itm_set_complete (from, 10000);
  itm_set_complete (to, 1);
  for (int part = 0; part < 4; part++)
    {
      struct gsp_message m = {};

      m.items = g_new0 (struct gsp_item, GSP_ITEMS_MAX);
      itm_fill_delta (from, itm_complete_revision (to), &m);
      EXPECT_TRUE (
          itm_apply_delta (to, &m, FeedWorld::IgnoreUpdated, nullptr));
      gsp_clear (&m);
    }
  EXPECT_EQ (itm_complete_revision (to), 10000u);
  EXPECT_EQ (itm_count (to, "vm/"), (uint32_t)kItems);
  itm_free (from);
  itm_free (to);
}

// The age limit follows the settings file: data that is too old under the
// changed limit is not relied on.
TEST (Feed, AChangedAgeLimitIsInForceAtOnce)
{
  GHashTable *regions = g_hash_table_new (g_str_hash, g_str_equal);
  struct vmt_table vms;
  struct fed_options o = {};

  vmt_init (&vms, "own", regions);
  for (int n = 0; n < 20; n++)
    vmt_set (&vms, ("vm-" + std::to_string (n)).c_str (), "10.0.0.1:1", "a",
             0.5);
  vmt_set (&vms, "own", "10.0.0.2:1", "a", 0.1);
  o.vms = &vms;
  o.vm = "own";
  o.data_centre = "a";
  o.stale_us = kStaleUs;
  struct fed *f = fed_new (&o);
  ASSERT_FALSE (fed_is_feeder (f));
  fed_note_reply (f, 0, kStaleUs);
  EXPECT_TRUE (fed_is_current (f, kStaleUs + kStaleUs / 2));
  fed_set_stale (f, kStaleUs / 4);
  EXPECT_FALSE (fed_is_current (f, kStaleUs + kStaleUs / 2));
  EXPECT_TRUE (fed_is_current (f, kStaleUs + kStaleUs / 8));
  fed_free (f);
  vmt_free (&vms);
  g_hash_table_destroy (regions);
}
} // namespace
