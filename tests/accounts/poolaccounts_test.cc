// Session poolers whose callers belong to accounts: who is admitted, in whose
// name connections are opened, and what happens when a key goes.
#include "poolworld.h"

extern "C"
{
#include "rendezvous.h"
}
#include <gtest/gtest.h>
#include <set>

namespace
{
struct AccountSpec
{
  const char *name;
  std::vector<const char *> keys;
  double rate_per_s = ACC_UNLIMITED;
  double burst = 0;
};

// Puts a configuration with ACCOUNTS in force; "open" is a public route.
void
ConfigureAccounts (PoolWorld &w, uint64_t version,
                   const std::vector<AccountSpec> &accounts,
                   int32_t connections_max = 16)
{
  struct dir_config *c = dir_config_new (version);
  struct dir_service *s = g_new0 (struct dir_service, 1);

  s->name = g_strdup ("stock");
  s->connections_max = connections_max;
  dir_config_add_service (c, s);
  for (const char *database : { "fresh", "own", "open" })
    {
      struct dir_route *r = g_new0 (struct dir_route, 1);
      r->database = g_strdup (database);
      r->service = g_strdup ("stock");
      r->reads = std::string (database) == "own" ? DIR_READ_YOUR_WRITES
                                                 : DIR_READ_PRIMARY;
      r->max_age_us = 2500000;
      r->timeout_us = 800000;
      r->objective_us = 300000;
      r->is_public = std::string (database) == "open";
      dir_config_add_route (c, r);
    }
  c->transaction_idle_us = 3000000;
  c->accounts = acc_table_new ();
  for (const AccountSpec &a : accounts)
    {
      struct acc_limit limit = { a.rate_per_s, a.burst };
      const struct acc_account *account
          = acc_table_add (c->accounts, a.name, &limit);
      for (const char *key : a.keys)
        {
          struct acc_digest digest;
          acc_digest_key (key, &digest);
          acc_table_add_key (c->accounts, account, &digest);
        }
    }
  plr_configure (w.pooler, c, w.now_us);
}

// The accounts in whose name direct links are open.
std::multiset<std::string>
LinkAccounts (const PoolWorld &w)
{
  std::multiset<std::string> names;

  for (const auto &u : w.ups)
    if (u->open && u->conn)
      names.insert (u->link->account ? u->link->account : "");
  return names;
}

TEST (PoolAccounts, OnlyKnownKeysStartASession)
{
  PoolWorld w (1);
  struct
  {
    const char *database;
    const char *key;
    const char *result;
  } const cases[] = {
    { "fresh", "k1", "ok" },         { "fresh", "k2", "ok" },
    { "fresh", "k9", "denied" },     { "fresh", nullptr, "denied" },
    { "fresh", "", "denied" },       { "open", "k1", "ok" },
    { "open", "k9", "ok" },          { "open", nullptr, "ok" },
    { "none", "k1", "no_database" },
  };

  ConfigureAccounts (w, 2, { { "acme", { "k1" } }, { "bolt", { "k2" } } });
  for (const auto &c : cases)
    {
      Caller *caller = w.Open (c.database, c.key);
      std::string result = caller->session
                               ? w.Execute (caller, STM_READ, nullptr, "a")
                               : caller->last;
      EXPECT_EQ (result, c.result)
          << c.database << " " << (c.key ? c.key : "without a key");
    }
  EXPECT_EQ (w.Refusals (RFS_UNKNOWN_KEY), 3u);
  for (const std::string &line : w.log_lines)
    EXPECT_EQ (line.find ("k9"), std::string::npos) << line;
  ExpectNoBreach (w);
}

TEST (PoolAccounts, ConnectionsServeOnlyTheirAccount)
{
  PoolWorld w (2);
  std::vector<AccountSpec> specs
      = { { "a", { "ka" } }, { "b", { "kb" } }, { "c", { "kc" } } };

  ConfigureAccounts (w, 2, specs);
  for (int round = 0; round < 3; round++)
    for (const char *key : { "ka", "kb", "kc" })
      EXPECT_EQ (w.Execute (w.Open ("fresh", key), STM_WRITE, nullptr, "x 1"),
                 "ok");
  std::multiset<std::string> names = LinkAccounts (w);
  EXPECT_EQ (names.count ("a"), 1u);
  EXPECT_EQ (names.count ("b"), 1u);
  EXPECT_EQ (names.count ("c"), 1u);
  EXPECT_EQ (w.Counter (CTR_LINKS_REPLACED), 0u);
  ExpectNoBreach (w);
}

TEST (PoolAccounts, MoreAccountsThanConnectionsAreAllServed)
{
  PoolWorld w (3);
  std::vector<AccountSpec> specs;
  std::vector<std::string> names;
  std::vector<std::string> keys;

  for (int n = 0; n < 12; n++)
    {
      names.push_back ("a" + std::to_string (n));
      keys.push_back ("k" + std::to_string (n));
    }
  for (int n = 0; n < 12; n++)
    specs.push_back ({ names[n].c_str (), { keys[n].c_str () } });
  for (uint32_t k = 0; k < w.group->n; k++)
    w.group->instances[k].connections_max = 4;
  ConfigureAccounts (w, 2, specs, 4);
  std::vector<Caller *> callers;
  for (int n = 0; n < 12; n++)
    callers.push_back (w.Open ("fresh", keys[n].c_str ()));
  for (int round = 0; round < 5; round++)
    {
      for (Caller *c : callers)
        w.Send (c, STM_WRITE, nullptr, "x 1");
      w.Run (700000);
      for (Caller *c : callers)
        EXPECT_EQ (c->last, "ok") << c->name;
    }
  EXPECT_GT (w.Counter (CTR_LINKS_REPLACED), 0u);
  EXPECT_LE (w.group->instances[0].n_connections, 4u);
  ExpectNoBreach (w);
}

TEST (PoolAccounts, AKeyThatGoesIsDeniedFromTheNextStatementOn)
{
  struct
  {
    const char *what;
    bool transaction;
    enum stm_kind next;
    const char *result;
    enum stm_state state;
  } const cases[] = {
    { "a single read", false, STM_READ, "denied", STM_IDLE },
    { "a new transaction", false, STM_BEGIN, "denied", STM_IDLE },
    { "a statement of a transaction", true, STM_WRITE, "denied", STM_FAILED },
    { "a commit", true, STM_COMMIT, "denied", STM_IDLE },
    { "a rollback", true, STM_ROLLBACK, "ok", STM_IDLE },
  };

  for (const auto &c : cases)
    {
      PoolWorld w (4);
      ConfigureAccounts (w, 2, { { "a", { "k1", "k2" } } });
      Caller *caller = w.Open ("fresh", "k1");
      Caller *other = w.Open ("fresh", "k2");
      EXPECT_EQ (w.Execute (caller, STM_READ, nullptr, "x"), "ok");
      if (c.transaction)
        {
          EXPECT_EQ (w.Execute (caller, STM_BEGIN), "ok");
          EXPECT_EQ (w.Execute (caller, STM_WRITE, nullptr, "x 1"), "ok");
        }
      ConfigureAccounts (w, 3, { { "a", { "k2" } } });
      EXPECT_EQ (w.Execute (caller, c.next, nullptr, "x 1"), c.result)
          << c.what;
      EXPECT_EQ (caller->state, c.state) << c.what;
      EXPECT_EQ (w.Execute (other, STM_READ, nullptr, "x"), "ok") << c.what;
      w.Run (100000);
      EXPECT_EQ (w.group->entries->len, 0u) << c.what;
      ExpectNoBreach (w);
    }
}

TEST (PoolAccounts, AStatementSentBeforeItsKeyGoesCompletes)
{
  PoolWorld w (5);
  ConfigureAccounts (w, 2, { { "a", { "k" } } });
  Caller *caller = w.Open ("fresh", "k");
  w.faults.work_us = 100000;
  w.Send (caller, STM_WRITE, nullptr, "x 1");
  w.Run (20000);
  ConfigureAccounts (w, 3, { { "a", {} } });
  w.Run (300000);
  EXPECT_EQ (caller->last, "ok");
  EXPECT_EQ (w.Execute (caller, STM_WRITE, nullptr, "x 2"), "denied");
  ExpectNoBreach (w);
}

// Requests to grantors that do not reply.
void
IgnoreRequest (struct lim_port *, const char *, const struct qlm_request *)
{
}

const struct lim_port_ops silent_ops = { IgnoreRequest };

TEST (PoolAccounts, TheLimitCountsOperationsAndRefusesAtOnce)
{
  PoolWorld w (6);
  ConfigureAccounts (w, 2, { { "a", { "k" }, 10, 10 }, { "b", { "l" } } });
  qgs_note_first_listing (lim_fleet (plr_limits (w.pooler)), false, true,
                          w.now_us);
  qgs_note_renewed (lim_fleet (plr_limits (w.pooler)), w.now_us);
  w.Run (6000000);
  qgs_note_renewed (lim_fleet (plr_limits (w.pooler)), w.now_us);
  Caller *caller = w.Open ("fresh", "k");
  int oks = 0;
  for (int n = 0; n < 60; n++)
    {
      int64_t sent_us = w.now_us;
      std::string result = w.Execute (caller, STM_WRITE, nullptr, "x 1");
      oks += result == "ok";
      if (result == "ok")
        continue;
      EXPECT_EQ (result, "busy");
      // A third of the longest wait for a connection, and one tick.
      EXPECT_LE (w.now_us - sent_us, 75000 + PLR_TICK_US);
    }
  EXPECT_GE (oks, 10);
  // The bound of a window: less than that many were under way together.
  EXPECT_LE (oks, 86);
  EXPECT_EQ (w.Refusals (RFS_OVER_LIMIT), (uint64_t)(60 - oks));
  EXPECT_EQ (usg_get (plr_usage (w.pooler), "a", USG_ADMITTED), (uint64_t)oks);
  w.Run (PLR_TICK_US);
  EXPECT_GE (w.Counter (CTR_LIMIT_REQUESTS), 1u);
  EXPECT_GE (w.Counter (CTR_LIMIT_GRANTS), (uint64_t)oks);
  EXPECT_GE (w.Counter (CTR_LIMIT_DENIED), 1u);
  // A transaction is one operation; one that isn't admitted fails as a whole.
  w.Run (5500000);
  EXPECT_EQ (w.Execute (caller, STM_BEGIN), "ok");
  for (int n = 0; n < 8; n++)
    EXPECT_EQ (w.Execute (caller, STM_WRITE, nullptr, "x 1"), "ok") << n;
  EXPECT_EQ (w.Execute (caller, STM_COMMIT), "ok");
  // Other accounts are not affected.
  EXPECT_EQ (w.Execute (w.Open ("fresh", "l"), STM_WRITE, nullptr, "x 1"),
             "ok");
  ExpectNoBreach (w);
}

TEST (PoolAccounts, WithoutAGrantorStatementsAreRefusedSoon)
{
  PoolWorld w (7);
  struct lim_port port = { &silent_ops };

  ConfigureAccounts (w, 2, { { "a", { "k" }, 10, 10 } });
  lim_set_port (plr_limits (w.pooler), &port);
  qgs_note_listed (lim_fleet (plr_limits (w.pooler)), "vm-2", w.now_us);
  qgs_note_first_listing (lim_fleet (plr_limits (w.pooler)), false, false,
                          w.now_us);
  Caller *caller = w.Open ("fresh", "k");
  int64_t sent_us = w.now_us;
  EXPECT_EQ (w.Execute (caller, STM_READ, nullptr, "x"), "busy");
  EXPECT_LE (w.now_us - sent_us, 400000);
  // From then on at once.
  sent_us = w.now_us;
  EXPECT_EQ (w.Execute (caller, STM_READ, nullptr, "x"), "busy");
  EXPECT_LE (w.now_us - sent_us, 2000);
  EXPECT_EQ (w.Refusals (RFS_LIMIT_UNREACHABLE), 2u);
  // A caller that leaves while its statement is held leaves nothing behind.
  w.Run (2000000);
  w.Send (caller, STM_READ, nullptr, "x");
  plr_close_session (w.pooler, caller->session, w.now_us);
  caller->session = nullptr;
  w.Run (1000000);
  lim_set_port (plr_limits (w.pooler), nullptr);
  ExpectNoBreach (w);
}
} // namespace
