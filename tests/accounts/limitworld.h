// A fleet of proxies that share the limits of accounts, on virtual time: the
// directory with its delays and outages, the messages between proxies, and
// faults of both.
#ifndef CB_LIMITWORLD_H
#define CB_LIMITWORLD_H

#include <glib.h>
extern "C"
{
#include "accountlimits.h"
#include "rendezvous.h"
}
#include "virtualtime.h"
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <vector>

struct LimitWorld;

struct LimitProxy
{
  struct lim_port port;
  LimitWorld *world;
  std::string name;
  struct lim *limits = nullptr; // NULL while its process does not run
  uint64_t incarnation = 0;
  bool reaches_store = true;
  uint64_t era = 0; // of the directory, as of its last call
  int side = 0;     // proxies of different sides do not reach each other
  std::set<std::string> view;
  std::deque<std::function<bool ()> > held; // operations that wait
};

struct LimitOptions
{
  int proxies = 12;
  double rate_per_s = 60;
  double burst = 60;
  struct qgr_terms terms = { 5000000, 0.1, 20 };
  int64_t patience_us = 80000;   // of an operation, for the limit
  int64_t message_us = 9000;     // one way between proxies
  int64_t directory_us = 300000; // until a change of the directory is seen
};

struct LimitWorld : VirtualTime
{
  LimitOptions o;
  std::mt19937_64 random;
  struct acc_table *accounts;
  const struct acc_account *account;
  std::vector<std::unique_ptr<LimitProxy> > proxies;
  std::map<std::string, int64_t> entries; // directory: name -> end of its TTL
  bool store_up = true;
  uint64_t era = 0; // rises when the directory loses entries
  std::vector<int64_t> admitted_us;
  uint64_t asked = 0, refused = 0, unreachable = 0;

  LimitWorld (uint64_t seed, const LimitOptions &options);
  ~LimitWorld ();
  void StartProxy (LimitProxy *p, bool founding);
  // Ends the process; its entry stays until its TTL ends.
  void StopProxy (LimitProxy *p);
  // One operation arrives at P.
  void Ask (LimitProxy *p);
  // Operations arrive at random proxies, RATE per second, for FOR_US.
  void Load (double rate, int64_t for_us);
  void SetLimit (double rate_per_s, double burst);
  // The largest number of operations admitted in any window after FROM_US.
  size_t MostInWindow (int64_t from_us = 0) const;
  double Bound () const;

private:
  void Renew (LimitProxy *p, uint64_t incarnation);
  void RefreshViews ();
  bool Decide (LimitProxy *p, bool again, int64_t asked_us);
  std::vector<struct acc_table *> old_accounts;
};

#endif
