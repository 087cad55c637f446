// A session pooler on virtual time, with callers, model upstreams (dbmodel.h)
// and injected faults; deterministic for one seed.
#ifndef CB_POOLWORLD_H
#define CB_POOLWORLD_H

#include <glib.h>
extern "C"
{
#include "dbmodel.h"
#include "pooler.h"
#include "sessionfailover.h"
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
  bool open = true;          // on the proxy's side
  bool silent = false;       // its replies are lost
  bool via_home = false;     // through another proxy
  int64_t last_reply_us = 0; // replies stay in order
};

// A caller's session and the results it got.
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
  std::string id;                              // of the statement under way
  std::vector<std::string> writes;             // of the open transaction
  std::map<std::string, std::string> prepared; // name -> r or w, and text
  GHashTable *values;
  struct logpos own_position = {};             // of its last commit
  struct logpos transaction_own_position = {}; // the same when it began
  struct stm_urgency urgency = {}; // of a relay session's statements
  bool write_sent = false;
  bool commit_sent = false;
  // Results.
  std::string last; // result: "ok" or the error code's name
  enum stm_state state = STM_IDLE;
  int oks = 0;
  std::map<std::string, int> codes; // errors by code
  Caller ()
  {
    values = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  }
  ~Caller () { g_hash_table_destroy (values); }
};

// Faults injected into the next statements; probabilities from 0 to 1.
struct Faults
{
  double lose_reply = 0;  // the reply never comes
  double break_conn = 0;  // the connection breaks instead of a reply
  double busy = 0;        // the instance refuses the statement as busy
  double status_busy = 0; // it refuses a status query or pause as busy
  int64_t work_us = 4000;
  int64_t round_trip_us = 2000;
  uint32_t slots = 0;      // of each instance; 0 = unlimited
  uint32_t slot_queue = 0; // may wait for a slot; others get busy
};

// A port of the core with the world that it belongs to.
template <typename P> struct WorldPort
{
  P port;
  struct PoolWorld *world;
};

struct PoolWorld : VirtualTime
{
  std::string vm;        // name of the proxy
  PoolWorld *senders_of; // the world that knows the senders of statements
  WorldPort<struct plr_port> callers_port;
  WorldPort<struct ul_port> ups_port;
  WorldPort<struct sfo_port> failover_port;
  struct ctr_set *counters;
  struct ev_log log;
  struct plr *pooler = nullptr;
  struct sfo *sfo = nullptr;
  struct dbm *group = nullptr;
  GHashTable *regions;
  GHashTable *vms;
  std::mt19937_64 random;
  Faults faults;
  // By database, instead of Faults::work_us.
  std::map<std::string, int64_t> work_us;
  // When each slot becomes free, by instance.
  std::map<std::string, std::vector<int64_t> > slots_us;
  std::map<std::string, bool> unresponsive; // instance id -> does not reply
  std::map<std::string, bool> refused; // instance id -> refuses connections
  std::map<std::string, bool> status_refused; // the same, status queries
  std::vector<std::unique_ptr<UpConn> > ups;
  std::vector<std::unique_ptr<Caller> > callers;
  std::map<std::string, struct dbm_sender> senders; // by statement id
  std::map<std::string, std::string> sender_names;
  std::map<std::string, std::string> sender_databases;
  std::vector<std::string> log_lines;
  uint64_t revision = 10;
  std::string overloaded_home_of; // instance whose homes refuse as overloaded
  bool store_up = true;
  bool store_silent = false; // claims get no reply
  int64_t claim_takes_us = 10000;
  // The claim in the store.
  uint64_t claim_revision = 0;
  std::string claim_target;
  std::string claim_vm;
  std::vector<std::string> claim_members; // ids
  uint64_t config_version = 1;
  std::map<std::string, bool> lapsed; // instance id -> it has no entry
  bool promotions_fail = false;
  // The next promotion gets no reply and is carried out so much later, if
  // positive; the platform rejects others for two seconds.
  int64_t next_promotion_late_us = 0;
  int64_t promotions_rejected_until_us = 0;
  // The reply to a promotion is lost, and the promotion too, if positive.
  int64_t promotions_lost_after_us = 0;
  bool objectives = true;      // the routes have latency objectives
  int64_t timeout_us = 800000; // of a statement, of the routes
  bool homes_reach = false;    // relay paths to unresponsive instances work
  // Homes refuse statements for unresponsive instances once these have waited.
  bool homes_refuse = false;
  uint32_t votes_reached = 0;
  uint32_t votes_missed = 3;
  uint32_t claims = 0;
  uint32_t closed_on_open = 0; // links freed by plr_link_opened
  uint32_t vote_requests = 0;  // proxies that got a vote request
  std::vector<std::string> promoted;
  void *tick_ = nullptr;

  // Replace the store, the platform and the peers, if set.
  std::function<void (const struct sfo_claim_request *)> claim_hook;
  std::function<void (const std::string &id, uint64_t token)> promote_hook;
  std::function<void (const std::string &id)> votes_hook;

  // FIRST: a proxy called NAME in front of the same instances as FIRST, which
  // outlives it.
  explicit PoolWorld (uint64_t seed, uint32_t n_instances = 3,
                      PoolWorld *first = nullptr, const char *name = "vm-1");
  ~PoolWorld ();
  void Configure (uint64_t version, std::vector<std::string> dropped = {});
  // Starts the proxy, which learns what the store holds.
  void StartProxy ();
  // The process of the proxy ends and starts again; its callers are gone.
  void RestartProxy ();
  // Removes the directory entry of I.
  void Lapse (struct dbm_instance *i);
  struct dir_instance Entry (struct dbm_instance *i);
  // Writes or updates the directory entry of I.
  void Register (struct dbm_instance *i, bool draining = false,
                 int64_t born_ms = 0);
  Caller *Open (const std::string &database, const char *key = nullptr);
  // Opens a relay session of another proxy.
  Caller *OpenRelay (const char *instance);
  // Sends one statement; the reply arrives in Run.
  void Send (Caller *c, enum stm_kind kind, const char *name = nullptr,
             const char *args = nullptr);
  // Sends one statement and runs until its reply, at most for LIMIT_US.
  // Returns "ok", the error code or "no answer".
  std::string Execute (Caller *c, enum stm_kind kind,
                       const char *name = nullptr, const char *args = nullptr,
                       int64_t limit_us = 10000000);
  bool IsUnresponsive (const UpConn *u);
  // When a statement that arrives now at I completes; negative when I refuses
  // it as busy.
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

// Tells W that proxy VM took the claim, to promote i-1 at once or ahead of
// need.
void NoteClaim (PoolWorld *w, const char *vm, uint64_t revision,
                bool promotes = true);
// Tells W of the claim in its store, which VM took.
void TellClaim (PoolWorld *w, const char *vm);
// Fails the test when the model recorded a breach of a consistency guarantee.
void ExpectNoBreach (const PoolWorld &w);

#endif
