// Simulates many session poolers (a fleet) on virtual time, in front of groups
// of the database model whose connections are scarce: a handshake takes a
// slot, and the connections of a proxy that lost power count for seconds.  The
// poolers of the homes and of the proxies that forward through them are the
// real code.
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
  // Execution time of a statement, by the consistency of its database.
  int64_t fresh_us = 4500, bounded_us = 22000, own_us = 14000;
  int64_t commit_us = 1500;
  // Share of the calls that are transactions, and what these consist of.
  double transactions = 0;
  int statements = 4; // before the COMMIT
  int64_t pause_us = 40000;
  // How often a caller repeats a refused call, and how long it waits before.
  int retries = 0;
  int64_t retry_after_us = 100000;
  int64_t handshake_us = 12000;
  int64_t linger_us = 3000000; // a lost connection counts for this long
  int64_t round_trip_us = 4000;
  // How a proxy starts: it lists the proxies before or after the instances.
  bool lists_vms_first = true;
  int64_t vm_listing_us = 80000;
};

// An instance: its slots, each with the time from which it is free, and its
// connections.
struct FleetInstance
{
  struct dbm_instance *model;
  int64_t slots_us[2] = { 0, 0 };
  int64_t worked_us = 0; // execution time, summed over all slots
  int64_t lingering = 0; // connections of lost processes that still count
};

// A connection of a proxy to an instance, directly or through a home.
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

// The session at a home for the link of another proxy.  It runs one statement
// at a time.
struct FleetRelay
{
  FleetVm *home;
  FleetLink *link;
  struct ses *session = nullptr;
  bool busy = false;
  std::deque<std::shared_ptr<FleetStatement> > queue;
};

// Counts of calls to one service by their outcome.
struct FleetCounts
{
  uint64_t sent = 0, in_time = 0, late = 0, refused = 0;
};

// The kinds of calls, by the consistency of their reads.
enum FleetKind
{
  FLEET_FRESH,
  FLEET_BOUNDED,
  FLEET_OWN,
  FLEET_KINDS
};

// What a caller asks for.
struct FleetCall
{
  FleetKind kind;
  int service;
  bool writes = false;
  bool transaction = false;
};

// A caller that runs one statement or transaction.
struct FleetCaller
{
  FleetVm *vm;
  FleetCall call;
  std::string database;
  struct FleetTag *tag = nullptr;
  struct ses *session = nullptr;
  int64_t sent_us = 0;
  int64_t attempt_us = 0; // start of the present attempt
  int64_t paused_us = 0;  // of the transaction, in all
  int64_t ended_us = 0;
  int statements_left = 0; // of the transaction, the COMMIT included
  int retries_left = 0;
  bool ok = false;
};

// Identifies the owner of a session: a caller or a relay.
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
  FleetPort<struct ul_port> upstreams_port;
  FleetPort<struct sfo_port> failover_port;
  std::vector<std::unique_ptr<FleetLink> > links;
  std::vector<std::unique_ptr<FleetRelay> > relays;
  std::vector<std::unique_ptr<FleetTag> > tags; // of the relays
  // Counts its processes; events of former processes are dropped.
  uint64_t incarnation = 0;
};

struct FleetWorld : VirtualTime
{
  FleetOptions o;
  GHashTable *regions;
  GHashTable *names;
  std::vector<struct dbm *> groups;
  std::vector<std::unique_ptr<FleetInstance> > instances;
  std::vector<std::unique_ptr<FleetVm> > vms;
  std::vector<std::unique_ptr<FleetCaller> > callers;
  std::vector<std::unique_ptr<FleetTag> > tags; // of the callers
  std::mt19937_64 random;
  uint64_t refused_full = 0; // connections refused at an instance's limit
  uint64_t messages = 0;     // between proxies, for votes and connections
  uint64_t promotions = 0;
  // Calls, and those served in time, per tenth of a second of their arrival.
  std::vector<uint64_t> sent, in_time;
  std::vector<FleetCounts> counts; // by service
  FleetCounts kinds[FLEET_KINDS];
  // Attempts refused, and those of them that were refused at once.
  uint64_t refusals = 0, early_refusals = 0;

  FleetWorld (uint64_t seed, const FleetOptions &options);
  ~FleetWorld ();
  using VirtualTime::At;
  // Schedules FN like VirtualTime::At, but drops it once the process of VM has
  // ended.
  void At (FleetVm *vm, int64_t delay_us, std::function<void ()> fn);
  void Start (FleetVm *vm);
  // Ends the process of VM without closing anything: instances count its
  // connections for linger_us more.
  void LosePower (FleetVm *vm);
  // Makes CALL from a new caller to a random proxy.
  void Call (const FleetCall &call);
  // Average slot time of a call.
  double MeanWorkUs () const;
  // Schedules callers for FOR_US from now on, RATE per second on average.
  void Load (double rate, int64_t for_us);
  // Returns the first time from FROM_US on after which, for a second, at least
  // the share SHARE of the calls was served in time; -1 if there is none.
  int64_t ServedFrom (int64_t from_us, double share) const;
};

// C's statement ended with RESULT: sends the next one, or ends the attempt.
void OnCallerReply (FleetCaller *c, const struct stm_result *result);

#endif
