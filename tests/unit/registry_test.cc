// The registry against the fake of the platform's store, over HTTP on
// loopback.
#include <glib.h>
extern "C"
{
#include "kvstore.h"
#include "registryint.h"
#include "storepos.h"
}
#include <gtest/gtest.h>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace
{
const char kListen[] = "127.0.0.1:19471";
const char kUrl[] = "http://127.0.0.1:19471";
// Longest wait for the registry, far beyond what it takes.
const int64_t kWaitUs = 20000000;

std::string
Instance (const std::string &more = "")
{
  return "{\"service\":\"s\",\"address\":\"10.1.0.9:80\",\"zone\":\"z\","
         "\"slots\":2,\"state\":\"ready\",\"dbRole\":\"replica\",\"seq\":4,"
         "\"born\":1700"
         + more + "}";
}

// A registry, its event loop and what it reported.
struct World
{
  struct loop loop;
  struct kvs *store;
  bool owns_store;
  struct http_client *client;
  struct vmt_table vms;
  struct fed *feed;
  struct registry *registry;
  struct ctr_set *counters;
  GHashTable *regions;
  std::set<std::string> instances;
  std::map<std::string, uint64_t> claims;     // service -> position
  std::map<std::string, std::string> targets; // of the claims, "-" = none
  std::map<std::string, std::string> members; // the instances that they tell
  std::map<std::string, uint64_t> won;        // service -> token, 0 = not won
  bool loaded = false;
  int resets = 0;

  // Starts a store, unless it reads one that runs.
  explicit World (uint32_t page_size, struct kvs *running = nullptr);
  ~World ();
  // Runs the loop until DONE; false after kWaitUs.
  template <typename F> bool RunUntil (F done);
};

void
OnInstance (void *arg, struct dir_instance *i)
{
  ((World *)arg)->instances.insert (i->id);
  dir_instance_free (i);
}

void
OnInstanceGone (void *arg, const char *id)
{
  ((World *)arg)->instances.erase (id);
}

std::string
Describe (const struct dir_instance *i)
{
  return std::string (i->id) + " " + i->service + " " + i->host + ":"
         + std::to_string (i->port) + " " + i->data_centre + " "
         + std::to_string (i->started_ms) + " " + std::to_string (i->slots)
         + (i->reports_primary ? " primary\n" : " replica\n");
}

struct registry_sink
Sink (World *w)
{
  struct registry_sink s = {};

  s.config = [] (void *, struct dir_config *c) { dir_config_free (c); };
  s.instance = OnInstance;
  s.instance_gone = OnInstanceGone;
  s.loaded = [] (void *arg, bool) { ((World *)arg)->loaded = true; };
  s.reachable = [] (void *, bool) {};
  s.vm = [] (void *, const struct cluster_vm *) {};
  s.vm_gone = [] (void *, const char *) {};
  s.renewed = [] (void *, int64_t) {};
  s.store_reset = [] (void *arg) { ((World *)arg)->resets++; };
  s.entry_lost = [] (void *) {};
  s.claim = [] (void *arg, const struct sfo_claim *c) {
    World *world = (World *)arg;

    world->claims[c->service] = c->revision;
    world->targets[c->service] = c->target ? c->target : "-";
    world->members[c->service] = "";
    for (guint n = 0; c->members && n < c->members->len; n++)
      world->members[c->service] += Describe (
          (const struct dir_instance *)g_ptr_array_index (c->members, n));
  };
  s.claim_result = [] (void *arg, const char *service, uint64_t token, bool) {
    ((World *)arg)->won[service] = token;
  };
  s.arg = w;
  return s;
}

World::World (uint32_t page_size, struct kvs *running)
{
  struct registry_options o = {};
  struct fed_options fo = {};

  counters = g_new0 (struct ctr_set, 1);
  regions = g_hash_table_new (g_str_hash, g_str_equal);
  EXPECT_TRUE (loop_init (&loop));
  owns_store = !running;
  store = running ? running : kvs_new (kListen, nullptr, nullptr);
  EXPECT_NE (store, nullptr);
  kvs_set_page_size (store, page_size);
  client = hcl_new (&loop);
  vmt_init (&vms, "vm-1", regions);
  fo.vms = &vms;
  fo.vm = "vm-1";
  fo.data_centre = "a";
  fo.stale_us = 1500000;
  feed = fed_new (&fo);
  o.client = client;
  o.sink = Sink (this);
  o.counters = counters;
  o.store_url = kUrl;
  o.feed = feed;
  o.self.name = "vm-1";
  o.self.address = "127.0.0.1:1";
  o.self.relay_address = "127.0.0.1:2";
  o.self.data_centre = "a";
  o.config_ms = 3000;
  registry = registry_new (&o, loop_now_us ());
}

World::~World ()
{
  hcl_free (client);
  registry_free (registry);
  fed_free (feed);
  vmt_free (&vms);
  if (owns_store)
    kvs_free (store);
  loop_free (&loop);
  g_hash_table_destroy (regions);
  g_free (counters);
}

template <typename F>
bool
World::RunUntil (F done)
{
  int64_t end_us = loop_now_us () + kWaitUs;

  while (!done () && loop_now_us () < end_us)
    {
      loop_run (&loop, 2000);
      hcl_turn (client, loop_now_us ());
      registry_turn (registry, loop_now_us ());
    }
  return done ();
}

// Values that another writer may leave under a key of instances.
std::vector<std::string>
UnusableValues ()
{
  const std::string good = Instance ();
  std::string port = Instance ();
  std::vector<std::string> values
      = { "",
          "{",
          "null",
          "[]",
          "7",
          "\"x\"",
          "\xff\xfe",
          std::string (100000, '['),
          std::string (100000, '{'),
          std::string (5000, '[') + std::string (5000, ']'),
          "{\"a\":" + std::string (100000, '[') };
  std::string deep = "{\"service\":";
  for (int n = 0; n < 3000; n++)
    deep += "{\"service\":";
  values.push_back (deep + "1" + std::string (3001, '}'));
  for (const char *number :
       { "1e400", "-1e400", "99999999999999999999", "1e999999999" })
    for (const char *field : { "slots", "seq", "born", "coldLeftMs" })
      values.push_back (
          Instance (std::string (",\"") + field + "\":" + number));
  for (const char *address :
       { "10.1.0.9:0", "10.1.0.9:65536", "10.1.0.9:99999", "10.1.0.9:-1",
         "10.1.0.9:99999999999999999999", "10.1.0.9:80x",
         "10.1.0.9:", "10.1.0.9", ":80", "", "[::1:80", "10.1.0.9: 80" })
    {
      std::string text = good;
      text.replace (text.find ("10.1.0.9:80"), 11, address);
      values.push_back (text);
    }
  for (const char *service : { "s\\r\\nQUERY - STEPDOWN 9", "s t", "\\u0000",
                               "s\\u0000", "\\u007f", "\\u0001" })
    {
      std::string text = good;
      text.replace (text.find ("\"s\""), 3,
                    std::string ("\"") + service + "\"");
      values.push_back (text);
    }
  return values;
}

// Keys that another writer may choose: bytes that a query, JSON or the wire
// protocol gives a meaning.
const char *const kUnusualKeys[]
    = { "servers/",         "servers/a b",       "servers/a%41",
        "servers/a%",       "servers/a&after=z", "servers/a+b",
        "servers/a#b",      "servers/a?b=c",     "servers/a/b/../c",
        "servers/\"q\\",    "servers/a\tb",      "servers/a\r\nGET /",
        "servers/\x01",     "servers/\x7f",      "servers/\xc3\xa4",
        "servers/a;b,c=d:e" };

// Guards against machines that end, or stop to follow the list, after another
// writer left an entry that cannot be used: deeply nested, with a number too
// large, a port out of range, or a key that has a meaning in a query.  Each is
// at the end of a page once.
TEST (Registry, UnusableEntriesStopNeitherTheListingNorTheWatch)
{
  for (uint32_t page_size : { 1, 3, 500 })
    {
      World w (page_size);
      std::vector<std::string> values = UnusableValues ();
      std::set<std::string> good;

      for (size_t n = 0; n < values.size (); n++)
        {
          std::string id = "i-" + std::to_string (100 + n);
          kvs_put (w.store, ("servers/" + id + "-unusable").c_str (),
                   values[n].c_str ());
          kvs_put (w.store, ("servers/" + id).c_str (), Instance ().c_str ());
          good.insert (id);
        }
      for (const char *key : kUnusualKeys)
        kvs_put (w.store, key, "{}");
      EXPECT_TRUE (w.RunUntil ([&] { return w.loaded; })) << page_size;
      EXPECT_EQ (w.instances, good) << page_size;

      // The same by the watch, with a good one last.
      for (size_t n = 0; n < values.size (); n++)
        kvs_put (
            w.store,
            ("servers/j-" + std::to_string (100 + n) + "-unusable").c_str (),
            values[n].c_str ());
      for (const char *key : kUnusualKeys)
        kvs_put (w.store, key, "[]");
      kvs_put (w.store, "servers/last", Instance ().c_str ());
      good.insert ("last");
      EXPECT_TRUE (w.RunUntil ([&] { return w.instances.count ("last") > 0; }))
          << page_size;
      EXPECT_EQ (w.instances, good) << page_size;
    }
}

// An id that is no word would be a line of its own to the instance.
TEST (Registry, IdsThatAreNoWordsNameNoInstance)
{
  World w (500);

  for (const char *key : kUnusualKeys)
    kvs_put (w.store, key, Instance ().c_str ());
  kvs_put (w.store, "servers/last", Instance ().c_str ());
  EXPECT_TRUE (w.RunUntil ([&] { return w.loaded; }));
  for (const std::string &id : w.instances)
    for (char c : id)
      EXPECT_TRUE ((unsigned char)c > ' ' && c != '\x7f') << id;
  EXPECT_EQ (w.instances.count ("last"), 1u);
  EXPECT_EQ (w.instances.count (""), 0u);
}

// A NUL byte would end the key or value early and make it that of another
// item.
TEST (Registry, TextWithANulByteIsNoItem)
{
  World w (500);
  const std::string text
      = "{\"key\":\"servers/i-1\\u0000x\",\"value\":\"e30=\",\"revision\":7}";
  json_t *item
      = json_loadb (text.data (), text.size (), JSON_ALLOW_NUL, nullptr);

  ASSERT_NE (item, nullptr);
  w.instances.insert ("i-1");
  registry_apply_item (w.registry, item);
  EXPECT_EQ (w.instances.count ("i-1"), 1u);
  json_decref (item);
}
// Guards against revisions that are compared across a return of the store from
// a copy: they go back and are given out again, so that new entries looked
// older than what the proxy knew, and a fencing token fell.
TEST (Registry, AStoreThatComesBackFromACopyIsListedAnew)
{
  World w (500);

  kvs_put (w.store, "servers/i-1", Instance ().c_str ());
  ASSERT_TRUE (w.RunUntil ([&w] { return w.loaded; }));
  kvs_copy (w.store);
  // What comes after the copy is lost: an instance, a claim, the own entry.
  kvs_put (w.store, "servers/i-2", Instance ().c_str ());
  struct sfo_claim_request request = { "s", 0, nullptr, nullptr };
  registry_claim (w.registry, &request);
  ASSERT_TRUE (w.RunUntil (
      [&w] { return w.instances.count ("i-2") > 0 && w.won["s"] > 0; }));
  uint64_t first_token = w.won["s"];
  for (int era = 2; era <= 3; era++)
    {
      kvs_restore_copy (w.store);
      kvs_put (w.store, "servers/i-3", Instance ().c_str ());
      ASSERT_TRUE (w.RunUntil ([&w] {
        return w.instances.count ("i-3") > 0 && w.instances.count ("i-2") == 0;
      })) << era;
      EXPECT_EQ (w.resets, era - 1);
      EXPECT_EQ (w.instances.count ("i-1"), 1u);
      // The own entry is written again, once.
      ASSERT_TRUE (w.RunUntil ([&w] {
        return kvs_has (w.store, "cassiabay/vm/vm-1");
      })) << era;
      // A later claim has a higher token, though its revision is lower.
      w.won["s"] = 0;
      request.known = first_token;
      registry_claim (w.registry, &request);
      ASSERT_TRUE (w.RunUntil ([&w] { return w.won["s"] > 0; })) << era;
      EXPECT_GT (w.won["s"], first_token);
      first_token = w.won["s"];
      kvs_put (w.store, "servers/i-3", nullptr);
      ASSERT_TRUE (
          w.RunUntil ([&w] { return w.instances.count ("i-3") == 0; }));
    }
}

// Guards against the loss of what a claim tells: its target and the instances
// of the service, which other proxies and the next processes rely on.  What
// another writer put there must not stop them.
TEST (Registry, AClaimTellsItsTargetAndTheInstances)
{
  World w (500);
  struct dir_instance d = {};
  GPtrArray *members = g_ptr_array_new ();
  struct sfo_claim_request request = { "s", 0, "i-1", members };

  d.id = (char *)"i-1";
  d.service = (char *)"s";
  d.host = (char *)"10.1.0.9";
  d.port = 80;
  d.data_centre = (char *)"z";
  d.started_ms = INT64_C (1700000000123);
  d.slots = 3;
  d.reports_primary = true;
  g_ptr_array_add (members, &d);
  ASSERT_TRUE (w.RunUntil ([&w] { return w.loaded; }));
  registry_claim (w.registry, &request);
  ASSERT_TRUE (w.RunUntil ([&w] { return w.won["s"] > 0; }));
  World other (500, w.store);
  ASSERT_TRUE (other.RunUntil ([&other] { return other.loaded; }));
  EXPECT_EQ (other.claims["s"], w.won["s"]);
  EXPECT_EQ (other.targets["s"], "i-1");
  EXPECT_EQ (other.members["s"],
             "i-1 s 10.1.0.9:80 z 1700000000123 3 primary\n");
  // Taken anew without a target.
  request = { "s", w.won["s"], nullptr, members };
  w.won["s"] = 0;
  registry_claim (w.registry, &request);
  ASSERT_TRUE (w.RunUntil ([&w] { return w.won["s"] > 0; }));
  ASSERT_TRUE (other.RunUntil (
      [&w, &other] { return other.claims["s"] == w.won["s"]; }));
  EXPECT_EQ (other.targets["s"], "-");
  for (const char *odd : { "7", "{}", "[7, null, {}]",
                           "[{\"id\":\"a b\",\"address\":\"10.1.0.9:80\"},"
                           "{\"id\":\"x\",\"address\":\"10.1.0.9:99999\","
                           "\"data_centre\":\"z\"}]" })
    {
      std::string value
          = std::string ("{\"vm\":\"vm-9\",\"instance\":\"\",\"members\":")
            + odd + "}";
      uint64_t before = other.claims["s"];
      kvs_put (w.store, "cassiabay/claim/s", value.c_str ());
      ASSERT_TRUE (other.RunUntil ([&other, before] {
        return other.claims["s"] > before;
      })) << odd;
      EXPECT_EQ (other.members["s"], "") << odd;
    }
  g_ptr_array_free (members, TRUE);
}

TEST (Registry, PositionsOrderErasBeforeRevisions)
{
  struct
  {
    uint64_t era, revision;
  } const ascending[]
      = { { 0, 1 }, { 0, 900 }, { 1, 1 }, { 1, 2 }, { 1, STP_REVISION_MAX },
          { 2, 1 }, { 300, 7 } };
  uint64_t last = 0;

  for (const auto &p : ascending)
    {
      uint64_t position = stp_pack (p.era, p.revision);
      EXPECT_GT (position, last);
      EXPECT_EQ (stp_era (position), p.era);
      EXPECT_EQ (stp_revision (position), p.revision);
      EXPECT_LT (position, UINT64_C (1) << 53);
      last = position;
    }
  EXPECT_EQ (stp_pack (5, 0), 0u);
}
} // namespace
