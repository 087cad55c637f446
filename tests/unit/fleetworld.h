// A fleet of session poolers on virtual time, before groups of the database
// model whose connections are scarce: a handshake takes a slot, and the
// connections of a proxy that lost power count for seconds.  Homes and the
// proxies that go through them are all real.
#ifndef CB_FLEETWORLD_H
#define CB_FLEETWORLD_H

#include <glib.h>
extern "C"
{
#include "dbmodel.h"
#include "pooler.h"
#include "sessionfailover.h"
}
#include "virtualtime.h"
#include <deque>
#include <functional>
#include <memory>
#include <queue>
#include <random>
#include <string>
#include <vector>

struct FleetWorld;
struct FleetVm;

struct FleetOptions
{
  int vms = 300;
  int services = 6;
  int connections_max = 88;
  // Of a statement on each kind of database.
  int64_t fresh_us = 4500, bounded_us = 22000, own_us = 14000;
  int64_t handshake_us = 12000;
  int64_t linger_us = 3000000; // a lost connection counts for so long
  int64_t round_trip_us = 4000;
  // How a proxy starts.
  bool lists_vms_first = true; // or after the instances
  int64_t vm_listing_us = 80000;
};

// Slots of an instance, each free from then on, and its connections.
struct FleetInstance
{
  struct dbm_instance *model;
  int64_t slots_us[2] = { 0, 0 };
  int64_t worked_us = 0; // of all slots
  int64_t lingering = 0;
};

// One connection of a proxy, to an instance or to a home.
struct FleetLink
{
  FleetVm *vm;
  struct ul *link;
  FleetInstance *instance;
  struct dbm_conn *conn = nullptr;
  FleetVm *home = nullptr;
  struct FleetRelay *relay = nullptr;
  bool open = true;
  int64_t last_us = 0;
};

struct FleetStatement
{
  struct stm statement;
  struct logpos after;
  std::string id, name, args;
};

// The session at a home for one link; statements come one at a time.
struct FleetRelay
{
  FleetVm *home;
  FleetLink *link;
  struct ses *session = nullptr;
  bool busy = false;
  std::deque<std::shared_ptr<FleetStatement> > queue;
};

// What callers of one service got.
struct FleetTally
{
  uint64_t sent = 0, in_time = 0, late = 0, refused = 0;
};

// A caller with one statement.
struct FleetCaller
{
  FleetVm *vm;
  struct ses *session = nullptr;
  int64_t sent_us = 0;
  int64_t ended_us = 0;
  bool ok = false;
};

// Tags of sessions: a caller's or a relay's.
struct FleetTag
{
  FleetCaller *caller;
  FleetRelay *relay;
};

template <typename P> struct FleetPort
{
  P port;
  FleetVm *vm;
};

struct FleetVm
{
  FleetWorld *world;
  int index;
  std::string name;
  bool up = false;
  struct plr *pooler = nullptr;
  struct sfo *sfo = nullptr;
  struct ctr_set *counters = nullptr;
  FleetPort<struct plr_port> callers_port;
  FleetPort<struct ul_port> ups_port;
  FleetPort<struct sfo_port> duty_port;
  std::vector<std::unique_ptr<FleetLink> > links;
  std::vector<std::unique_ptr<FleetRelay> > relays;
  std::vector<std::unique_ptr<FleetCaller> > callers;
  std::vector<std::unique_ptr<FleetTag> > tags;
  uint64_t life = 0; // of its process; events of former ones are void
};

struct FleetWorld : VirtualTime
{
  FleetOptions o;
  GHashTable *regions;
  GHashTable *names;
  std::vector<struct dbm *> groups;
  std::vector<std::unique_ptr<FleetInstance> > instances;
  std::vector<std::unique_ptr<FleetVm> > vms;
  std::mt19937_64 random;
  // What the fleet did.
  uint64_t refused_full = 0; // connections beyond an instance's limit
  uint64_t messages = 0;     // between proxies, for votes and connections
  uint64_t promotions = 0;
  std::vector<uint64_t> sent, in_time; // a tenth of a second each
  std::vector<FleetTally> tallies;     // by service

  FleetWorld (uint64_t seed, const FleetOptions &options);
  ~FleetWorld ();
  using VirtualTime::At;
  // The same, void once the process of VM ends.
  void At (FleetVm *vm, int64_t delay_us, std::function<void ()> fn);
  void Start (FleetVm *vm);
  // Its process ends without a word; connections linger at instances.
  void LosePower (FleetVm *vm);
  // A caller's lone statement at some proxy.
  void Call (const char *database, int service, enum stm_kind kind,
             int64_t objective_us);
  // Callers arrive, RATE a second, for so long from now on.
  void Load (double rate, int64_t for_us);
  // The first time from FROM_US on at which the share PART of the calls that
  // came in the second after it was answered in time; negative: never.
  int64_t ServedFrom (int64_t from_us, double part) const;
};

#endif
