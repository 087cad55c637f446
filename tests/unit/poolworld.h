// Session poolers on virtual time: callers, upstreams of the model and faults,
// all from one seed.
#ifndef CB_POOLWORLD_H
#define CB_POOLWORLD_H

#include <glib.h>
extern "C"
{
#include "dbmodel.h"
#include "pooler.h"
#include "succeed.h"
}
#include "virtualtime.h"
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <string>
#include <vector>

// One connection of the proxy to an instance.
struct UpConn
{
  struct PoolWorld *world;
  struct ul *link;
  struct dbm_instance *instance;
  struct dbm_conn *conn = nullptr;
  uint32_t pending = 0;
  bool open = true; // at the proxy's end
  bool silent = false;
  bool via_home = false; // through another proxy
  int64_t last_us = 0;   // answers leave in order
};

// A caller's session, and what it was told.
struct Caller
{
  struct PoolWorld *world;
  struct ses *session = nullptr;
  std::string name;
  std::string database;
  bool busy = false;
  bool in_transaction = false;
  int64_t first_byte_us = 0;
  int64_t transaction_us = 0;
  std::string id;                            // of the statement under way
  std::vector<std::string> writes;           // of the open transaction
  std::map<std::string, std::string> shapes; // name -> r/w and shape
  GHashTable *values;
  struct logpos own = {};
  struct logpos transaction_own = {};
  struct stm_urgency urgency = {}; // of another proxy's statements
  bool write_sent = false;
  bool commit_sent = false;
  // Outcomes.
  std::string last; // "ok", or the code's name
  enum stm_state state = STM_IDLE;
  int oks = 0;
  std::map<std::string, int> codes;
  Caller ()
  {
    values = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  }
  ~Caller () { g_hash_table_destroy (values); }
};

// Faults that the next statements meet.
struct Faults
{
  double lose_answer = 0; // the answer never comes
  double break_conn = 0;  // the connection breaks instead of the answer
  double busy = 0;        // the instance sheds the statement
  int64_t work_us = 4000;
  int64_t round_trip_us = 2000;
  uint32_t slots = 0;      // of each instance; 0: no statement waits for one
  uint32_t slot_queue = 0; // that may wait for a slot, others are shed
};

// A port of the core's and the world it belongs to.
template <typename P> struct WorldPort
{
  P port;
  struct PoolWorld *world;
};

struct PoolWorld : VirtualTime
{
  WorldPort<struct plr_port> callers_port;
  WorldPort<struct ul_port> ups_port;
  WorldPort<struct suc_port> duty_port;
  struct ctr_set *counters;
  struct ev_log log;
  struct plr *pooler = nullptr;
  struct suc *suc = nullptr;
  struct dbm *group = nullptr;
  GHashTable *regions;
  GHashTable *vms;
  std::mt19937_64 random;
  Faults faults;
  std::map<std::string, int64_t> work_us; // by database, when not the same
  std::map<std::string, std::vector<int64_t> > slots_us; // free from then on
  std::map<std::string, bool> unresponsive; // instance id -> answers nobody
  std::map<std::string, bool> refused; // instance id -> refuses connections
  std::vector<std::unique_ptr<UpConn> > ups;
  std::vector<std::unique_ptr<Caller> > callers;
  std::map<std::string, struct dbm_sender> senders; // by statement id
  std::map<std::string, std::string> sender_names;
  std::map<std::string, std::string> sender_databases;
  std::vector<std::string> log_lines;
  uint64_t revision = 10;
  std::string refuse_at; // instance whose homes are overloaded
  bool store_up = true;
  bool store_silent = false; // claims are not answered
  bool objectives = true;    // the routes have latency objectives
  bool homes_reach
      = false; // other proxies reach what is unresponsive for this one
  uint32_t votes_reached = 0;
  uint32_t votes_missed = 3;
  uint32_t claims = 0;
  uint32_t gone_at_opening = 0; // links freed by the event that opened them
  uint32_t asked = 0;           // proxies that were asked to vote
  std::vector<std::string> promoted;
  void *tick_ = nullptr;

  explicit PoolWorld (uint64_t seed, uint32_t n_instances = 3);
  ~PoolWorld ();
  void Configure (uint64_t version, std::vector<std::string> dropped = {});
  void List (struct dbm_instance *i, bool draining = false,
             int64_t born_ms = 0);
  Caller *Open (const std::string &database);
  // Another proxy's session with an instance.
  Caller *OpenRelay (const char *instance);
  // Sends one statement; the answer arrives in Run.
  void Send (Caller *c, enum stm_kind kind, const char *name = nullptr,
             const char *args = nullptr);
  // Sends one and runs until it is answered, at the longest LIMIT.
  std::string Ask (Caller *c, enum stm_kind kind, const char *name = nullptr,
                   const char *args = nullptr, int64_t limit_us = 10000000);
  bool IsUnresponsive (const UpConn *u);
  // When work that arrives now at I is done; negative when I sheds it.
  int64_t DoneAt (const struct dbm_instance *i, const std::string &id);
  bool Chance (double p);
  uint64_t
  Counter (enum ctr c)
  {
    return ctr_get (counters, c);
  }
  uint64_t
  Refusals (enum rfs r)
  {
    return ((uint64_t *)counters->refusal)[r];
  }
};

// Fails the test when the model saw a promise broken.
void ExpectNoBreach (const PoolWorld &w);

#endif
