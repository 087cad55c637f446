// A session pooler on virtual time.
#include "poolworld.h"

#include <algorithm>
#include <cstring>
#include <gtest/gtest.h>

namespace
{
// How long a statement waits at a home that cannot pass it on.
const int64_t kHomeWaitUs = 500000;

// Each port is the first member of its WorldPort.
template <typename P>
PoolWorld *
WorldOf (P *port)
{
  return reinterpret_cast<WorldPort<P> *> (port)->world;
}

// Tells the model what the caller may conclude from a result: its writes are
// acknowledged, or guaranteed not to be applied.
void
ReportOutcome (Caller *c, const struct stm_result *result, bool commit,
               bool single_write)
{
  PoolWorld *w = c->world;

  if (result->ok && (commit || single_write))
    {
      if (single_write)
        dbm_report_committed (w->group, c->id.c_str (), w->now_us);
      for (const auto &id : c->writes)
        dbm_report_committed (w->group, id.c_str (), w->now_us);
      if (single_write || !c->writes.empty ())
        c->own_position = result->position;
    }
  if (!result->ok && sqc_is_not_applied (result->code))
    {
      if (single_write)
        dbm_report_not_committed (w->group, c->id.c_str ());
      for (const auto &id : c->writes)
        dbm_report_not_committed (w->group, id.c_str ());
    }
}

void
OnReply (struct plr_port *port, void *tag, const struct stm_result *result)
{
  PoolWorld *w = WorldOf (port);
  Caller *c = (Caller *)tag;

  if (!c->busy)
    dbm_record_violation (w->group, "session %s got a second reply",
                          c->name.c_str ());
  c->busy = false;
  c->last = result->ok ? "ok" : sqc_name (result->code);
  c->state = result->state;
  if (result->ok && result->signature
      && !g_str_has_suffix (result->signature, c->id.c_str ()))
    dbm_record_violation (w->group, "statement %s got the reply %s",
                          c->id.c_str (), result->signature);
  if (result->ok)
    c->oks++;
  else
    c->codes[c->last]++;
  ReportOutcome (c, result, c->commit_sent,
                 c->write_sent && !c->in_transaction);
  if (c->commit_sent || result->state != STM_OPEN)
    {
      c->writes.clear ();
      c->in_transaction = false;
    }
}

void
OnCloseSession (struct plr_port *port, void *tag)
{
  PoolWorld *w = WorldOf (port);
  Caller *c = (Caller *)tag;
  struct ses *session = c->session;

  c->session = nullptr;
  if (session)
    plr_close_session (w->pooler, session, w->now_us);
}

const struct plr_port_ops callers_ops = { OnReply, OnCloseSession };

void
FinishOpening (PoolWorld *w, UpConn *u)
{
  // No instance of the model: nothing replies at this address.
  if (!u->open || !u->instance)
    return;
  if (w->IsUnresponsive (u))
    return;
  if (w->refused[u->instance->id] && u->via_home)
    {
      u->open = false;
      plr_link_refused (w->pooler, u->link, SQC_NO_DATABASE, w->now_us);
      return;
    }
  if (w->refused[u->instance->id])
    {
      u->open = false;
      plr_link_lost (w->pooler, u->link, true, w->now_us);
      return;
    }
  if (u->instance->n_connections >= u->instance->connections_max)
    {
      u->open = false;
      plr_link_refused (w->pooler, u->link, SQC_CONNECTION_LIMIT, w->now_us);
      return;
    }
  u->conn = dbm_connect (u->instance);
  if (!plr_link_opened (w->pooler, u->link,
                        dbm_applied (u->instance, w->now_us), w->now_us))
    w->closed_on_open++;
}

void *
UpOpen (struct ul_port *port, struct ul *link,
        const struct dir_instance *instance, const char *home)
{
  PoolWorld *w = WorldOf (port);
  auto u = std::make_unique<UpConn> ();
  UpConn *raw = u.get ();

  u->world = w;
  u->via_home = home != nullptr;
  u->link = link;
  u->instance = dbm_find (w->group, instance->id);
  w->ups.push_back (std::move (u));
  w->At (3 * w->faults.round_trip_us, [w, raw] { FinishOpening (w, raw); });
  return raw;
}

void
DeliverReply (PoolWorld *w, UpConn *u, struct stm_result result,
              std::string signature, const struct stm_status &status)
{
  if (!u->open || w->IsUnresponsive (u))
    return;
  if (result.signature)
    result.signature = signature.c_str ();
  if (result.status)
    result.status = &status;
  plr_link_replied (w->pooler, u->link, &result, w->now_us);
}

void
BreakLink (PoolWorld *w, UpConn *u)
{
  if (!u->open)
    return;
  plr_link_lost (w->pooler, u->link, false, w->now_us);
}

struct SentStatement
{
  struct stm statement;
  std::string id, name, args;
  struct logpos after;
};

// The reply of a home that could not pass the statement on to its instance.
void
RefuseAtHome (PoolWorld *w, UpConn *u, enum sqc code, int64_t after_us)
{
  struct stm_result result = {};

  result.code = code;
  w->At (after_us + w->faults.round_trip_us / 2, [w, u, result] {
    if (u->open)
      plr_link_replied (w->pooler, u->link, &result, w->now_us);
  });
}

void
RunAtInstance (PoolWorld *w, UpConn *u,
               const std::shared_ptr<SentStatement> &sent)
{
  struct stm_result result;
  struct stm s = sent->statement;
  bool asks_status = s.kind == STM_STATUS || s.kind == STM_PAUSE;
  bool needs_slot = s.kind == STM_READ || s.kind == STM_WRITE
                    || s.kind == STM_EXECUTE || s.kind == STM_COMMIT;

  if (!u->conn)
    return;
  if (u->via_home && w->homes_refuse && w->unresponsive[u->instance->id]
      && s.urgency.rank > 0)
    RefuseAtHome (w, u, SQC_BUSY, kHomeWaitUs);
  if (w->IsUnresponsive (u))
    return;
  s.id = sent->statement.id ? sent->id.c_str () : nullptr;
  s.name = sent->statement.name ? sent->name.c_str () : nullptr;
  s.args = sent->statement.args ? sent->args.c_str () : nullptr;
  if (u->via_home && w->overloaded_home_of == u->instance->id
      && (needs_slot || s.kind == STM_BEGIN || s.kind == STM_BEGIN_READ))
    {
      RefuseAtHome (w, u, SQC_OVERLOADED, 0);
      return;
    }
  int64_t done_us = needs_slot ? w->DoneAt (u->instance, sent->id) : w->now_us;
  if (done_us < 0 || (needs_slot && w->Chance (w->faults.busy))
      || (asks_status
          && (w->status_refused[u->instance->id]
              || w->Chance (w->faults.status_busy))))
    {
      done_us = w->now_us;
      memset (&result, 0, sizeof result);
      result.code = SQC_BUSY;
      result.state = u->conn->state;
      result.position = dbm_applied (u->instance, w->now_us);
    }
  else
    dbm_run (u->conn, sent->after, &s, &result, w->now_us);
  if (u->conn->unacknowledged)
    u->silent = true;
  if (needs_slot && w->Chance (w->faults.lose_reply))
    u->silent = true;
  if (u->silent)
    return;
  int64_t at_us = std::max (done_us, u->last_reply_us);
  u->last_reply_us = at_us;
  int64_t delay_us = at_us - w->now_us + w->faults.round_trip_us / 2;
  if (needs_slot && w->Chance (w->faults.break_conn))
    {
      w->At (delay_us, [w, u] { BreakLink (w, u); });
      return;
    }
  std::string signature = result.signature ? result.signature : "";
  // The model reuses the row.
  struct stm_status status = {};
  if (result.status)
    status = *result.status;
  w->At (delay_us, [w, u, result, signature, status] {
    DeliverReply (w, u, result, signature, status);
  });
}

void
UpSend (struct ul_port *port, void *handle, struct logpos after,
        const struct stm *statement)
{
  PoolWorld *w = WorldOf (port);
  UpConn *u = (UpConn *)handle;
  auto sent = std::make_shared<SentStatement> ();

  sent->statement = *statement;
  sent->id = statement->id ? statement->id : "";
  sent->name = statement->name ? statement->name : "";
  sent->args = statement->args ? statement->args : "";
  sent->after = after;
  w->At (w->faults.round_trip_us / 2,
         [w, u, sent] { RunAtInstance (w, u, sent); });
}

void
UpClose (struct ul_port *port, void *handle)
{
  PoolWorld *w = WorldOf (port);
  UpConn *u = (UpConn *)handle;

  u->open = false;
  w->At (w->faults.round_trip_us / 2, [u] {
    if (u->conn)
      dbm_disconnect (u->conn);
    u->conn = nullptr;
  });
}

const struct ul_port_ops ups_ops = { UpOpen, UpSend, UpClose };

void
Claim (struct sfo_port *port, const struct sfo_claim_request *request)
{
  PoolWorld *w = WorldOf (port);
  std::string name = request->service;
  std::string target = request->target ? request->target : "";
  uint64_t known = request->known;
  std::vector<std::string> members;

  for (guint n = 0; request->members && n < request->members->len; n++)
    members.push_back (
        ((struct dir_instance *)g_ptr_array_index (request->members, n))->id);
  w->claims++;
  if (w->claim_hook)
    {
      w->claim_hook (request);
      return;
    }
  if (w->store_silent)
    return;
  w->At (w->claim_takes_us, [w, name, target, known, members] {
    // The claim is taken only if nobody else has taken it meanwhile.
    uint64_t token
        = w->store_up && known == w->claim_revision ? ++w->revision : 0;

    if (token > 0)
      {
        w->claim_revision = token;
        w->claim_target = target;
        w->claim_members = members;
        w->claim_vm = w->vm;
      }
    else if (w->store_up)
      TellClaim (w, "vm-2");
    sfo_complete_claim (w->sfo, name.c_str (), token, w->store_up, w->now_us);
  });
}

// Carries out a promotion and reports its result to the proxy unless it is
// LATE, in which case the proxy no longer waits for it.
void
CarryOutPromotion (PoolWorld *w, const std::string &service,
                   const std::string &id, uint64_t token, bool late)
{
  bool dead = w->unresponsive[id] || w->refused[id];
  bool done = !dead && !w->promotions_fail
              && dbm_promote (w->group, id.c_str (), token, w->now_us);

  if (!late)
    sfo_complete_promotion (w->sfo, service.c_str (),
                            done ? SFO_PROMOTED : SFO_PROMOTE_REFUSED,
                            w->now_us);
}

void
Promote (struct sfo_port *port, const char *service, const char *instance,
         uint64_t token)
{
  PoolWorld *w = WorldOf (port);
  std::string name = service;
  std::string id = instance;

  w->promoted.push_back (id);
  if (w->promote_hook)
    {
      w->promote_hook (id, token);
      return;
    }
  // The platform sees the token when the call is made.
  dbm_note_token (w->group, token);
  if (w->now_us < w->promotions_rejected_until_us)
    {
      w->At (5000, [w, name] {
        sfo_complete_promotion (w->sfo, name.c_str (), SFO_PROMOTE_REJECTED,
                                w->now_us);
      });
      return;
    }
  if (w->next_promotion_late_us > 0)
    {
      w->At (w->next_promotion_late_us, [w, name, id, token] {
        CarryOutPromotion (w, name, id, token, true);
      });
      w->next_promotion_late_us = 0;
      w->promotions_rejected_until_us = w->now_us + 2000000;
      w->At (800000, [w, name] {
        sfo_complete_promotion (w->sfo, name.c_str (), SFO_PROMOTE_LOST,
                                w->now_us);
      });
      return;
    }
  if (w->promotions_lost_after_us > 0)
    {
      w->At (w->promotions_lost_after_us, [w, name] {
        sfo_complete_promotion (w->sfo, name.c_str (), SFO_PROMOTE_LOST,
                                w->now_us);
      });
      return;
    }
  w->At (150000, [w, name, id, token] {
    CarryOutPromotion (w, name, id, token, false);
  });
}

void
RequestVotes (struct sfo_port *port, const char *service, const char *instance,
              GHashTable *voters)
{
  PoolWorld *w = WorldOf (port);
  std::string name = service;
  std::string id = instance;

  w->vote_requests += g_hash_table_size (voters);
  if (w->votes_hook)
    {
      w->votes_hook (id);
      return;
    }
  w->At (20000, [w, name, id] {
    for (uint32_t n = 0; n < w->votes_reached; n++)
      sfo_add_vote (w->sfo, name.c_str (), id.c_str (),
                    ("vm-" + std::to_string (2 + n)).c_str (),
                    SFO_VOTE_REACHED, w->now_us);
    for (uint32_t n = 0; n < w->votes_missed; n++)
      sfo_add_vote (w->sfo, name.c_str (), id.c_str (),
                    ("vm-" + std::to_string (102 + n)).c_str (),
                    SFO_VOTE_MISSED, w->now_us);
  });
}

const struct sfo_port_ops sfo_ops = { Claim, Promote, RequestVotes };

bool
FindSender (void *arg, const char *id, struct dbm_sender *sender)
{
  PoolWorld *w = (PoolWorld *)arg;
  auto found = w->senders.find (id);

  if (found == w->senders.end ())
    return false;
  *sender = found->second;
  sender->session = w->sender_names[id].c_str ();
  return true;
}

bool
RecordLogLine (void *arg, const char *line, size_t len)
{
  ((PoolWorld *)arg)->log_lines.emplace_back (line, len);
  return true;
}

struct dir_route *
Route (const char *database, enum dir_read_consistency reads,
       int64_t max_age_us)
{
  struct dir_route *r = g_new0 (struct dir_route, 1);

  r->database = g_strdup (database);
  r->service = g_strdup ("stock");
  r->reads = reads;
  r->max_age_us = max_age_us;
  return r;
}
} // namespace

PoolWorld::PoolWorld (uint64_t seed, uint32_t n_instances, PoolWorld *first,
                      const char *name)
    : vm (name), random (seed)
{
  callers_port = { { &callers_ops }, this };
  ups_port = { { &ups_ops }, this };
  failover_port = { { &sfo_ops }, this };
  counters = g_new0 (struct ctr_set, 1);
  ev_init (&log, vm.c_str (), RecordLogLine, this);
  regions = g_hash_table_new (g_str_hash, g_str_equal);
  vms = g_hash_table_new (g_str_hash, g_str_equal);
  g_hash_table_add (vms, (gpointer)vm.c_str ());
  senders_of = first ? first : this;
  group = first ? first->group : dbm_new ("i", n_instances, FindSender, this);
  StartProxy ();
  std::function<void ()> *tick = new std::function<void ()>;
  *tick = [this, tick] {
    plr_tick (pooler, now_us);
    sfo_tick (sfo, vms, now_us);
    At (PLR_TICK_US, *tick);
  };
  At (0, *tick);
  tick_ = tick;
}

void
PoolWorld::StartProxy ()
{
  struct plr_options o = {};
  struct sfo_options so = {};

  o.callers = &callers_port.port;
  o.upstreams = &ups_port.port;
  o.counters = counters;
  o.log = &log;
  o.vm = vm.c_str ();
  o.data_centre = "a";
  o.regions = regions;
  o.drain_grace_us = 5000000;
  o.accounts.terms = { 5000000, 0.1, 20 };
  o.accounts.entry_ttl_us = 8000000;
  pooler = plr_new (&o);
  so.pooler = pooler;
  so.port = &failover_port.port;
  so.counters = counters;
  so.log = &log;
  so.vm = vm.c_str ();
  so.tokens_are_checked = true;
  sfo = sfo_new (&so);
  if (claim_revision > 0)
    TellClaim (this, claim_vm.c_str ());
  Configure (config_version);
  for (uint32_t k = 0; k < group->n; k++)
    if (!lapsed[group->instances[k].id])
      Register (&group->instances[k], group->instances[k].draining);
}

void
PoolWorld::RestartProxy ()
{
  for (auto &c : callers)
    {
      c->session = nullptr;
      c->busy = false;
      c->in_transaction = false;
    }
  sfo_free (sfo);
  plr_free (pooler);
  for (auto &u : ups)
    u->open = false;
  StartProxy ();
}

void
PoolWorld::Lapse (struct dbm_instance *i)
{
  lapsed[i->id] = true;
  plr_unregister_instance (pooler, i->id, now_us);
}

PoolWorld::~PoolWorld ()
{
  sfo_free (sfo);
  plr_free (pooler);
  while (!events.empty ())
    events.pop ();
  for (auto &u : ups)
    if (u->conn)
      dbm_disconnect (u->conn);
  if (senders_of == this)
    dbm_free (group);
  delete (std::function<void ()> *)tick_;
  g_hash_table_destroy (regions);
  g_hash_table_destroy (vms);
  g_free (counters);
}

bool
PoolWorld::IsUnresponsive (const UpConn *u)
{
  return unresponsive[u->instance->id] && !(u->via_home && homes_reach);
}

int64_t
PoolWorld::DoneAt (const struct dbm_instance *i, const std::string &id)
{
  auto own = work_us.find (sender_databases[id]);
  int64_t takes_us = own == work_us.end () ? faults.work_us : own->second;
  std::vector<int64_t> &free_us = slots_us[i->id];

  if (faults.slots == 0)
    return now_us + takes_us;
  free_us.resize (faults.slots);
  auto slot = std::min_element (free_us.begin (), free_us.end ());
  if (*slot - now_us
      > (int64_t)faults.slot_queue * takes_us / (int64_t)faults.slots)
    return -1;
  *slot = std::max (*slot, now_us) + takes_us;
  return *slot;
}

void
PoolWorld::Configure (uint64_t version, std::vector<std::string> dropped)
{
  struct dir_config *c = dir_config_new (version);
  config_version = version;
  struct dir_service *s = g_new0 (struct dir_service, 1);
  struct
  {
    const char *database;
    enum dir_read_consistency reads;
    int64_t max_age_us;
    int64_t objective_us;
  } const routes[] = { { "fresh", DIR_READ_PRIMARY, 0, 300000 },
                       { "bounded", DIR_READ_BOUNDED_STALE, 1500000, 600000 },
                       { "own", DIR_READ_YOUR_WRITES, 2500000, 500000 } };

  s->name = g_strdup ("stock");
  s->connections_max = 16;
  s->sync_replicas = (int32_t)group->sync_replicas;
  dir_config_add_service (c, s);
  for (const auto &r : routes)
    if (std::find (dropped.begin (), dropped.end (), r.database)
        == dropped.end ())
      {
        struct dir_route *route = Route (r.database, r.reads, r.max_age_us);

        route->objective_us = objectives ? r.objective_us : 0;
        route->timeout_us = timeout_us;
        dir_config_add_route (c, route);
      }
  c->transaction_idle_us = 3000000;
  plr_configure (pooler, c, now_us);
}

void
PoolWorld::Register (struct dbm_instance *i, bool draining, int64_t born_ms)
{
  struct dir_instance d = Entry (i);

  i->draining = draining;
  lapsed[i->id] = false;
  d.started_ms = born_ms;
  d.draining = draining;
  plr_register_instance (pooler, &d, now_us);
}

struct dir_instance
PoolWorld::Entry (struct dbm_instance *i)
{
  struct dir_instance d = {};

  d.id = i->id;
  d.service = (char *)"stock";
  d.host = (char *)"10.0.0.1";
  d.port = (uint16_t)(5000 + i->index);
  d.data_centre = (char *)(i->index == 0 ? "a" : "b");
  d.slots = 2;
  d.reports_primary = i->primary;
  return d;
}

Caller *
PoolWorld::Open (const std::string &database, const char *key)
{
  auto c = std::make_unique<Caller> ();

  c->world = this;
  c->name = "s" + std::to_string (callers.size ());
  c->database = database;
  enum sqc code;
  c->session = plr_open_session (pooler, c.get (), database.c_str (), key,
                                 now_us, &code);
  if (!c->session)
    c->last = sqc_name (code);
  callers.push_back (std::move (c));
  return callers.back ().get ();
}

Caller *
PoolWorld::OpenRelay (const char *instance)
{
  auto c = std::make_unique<Caller> ();

  c->world = this;
  c->name = "s" + std::to_string (callers.size ());
  c->database = "stock";
  c->session = plr_open_relay (pooler, c.get (), "stock", instance, now_us);
  callers.push_back (std::move (c));
  return callers.back ().get ();
}

void
PoolWorld::Send (Caller *c, enum stm_kind kind, const char *name,
                 const char *args)
{
  struct stm s = {};
  struct dbm_sender sender = {};
  bool executes_write = kind == STM_EXECUTE && c->prepared.count (name)
                        && c->prepared[name][0] == 'w';

  c->id = vm + "-q" + std::to_string (serial++);
  s.kind = kind;
  s.id = c->id.c_str ();
  s.name = name;
  s.args = args;
  s.urgency = c->urgency;
  if (kind == STM_BEGIN || kind == STM_BEGIN_READ)
    {
      c->in_transaction = true;
      c->transaction_us = now_us;
      c->transaction_own_position = c->own_position;
    }
  sender.in_transaction = c->in_transaction;
  sender.values = c->values;
  if (kind == STM_EXECUTE && c->prepared.count (name))
    sender.prepared_text = c->prepared[name].c_str ();
  sender.first_byte_us = c->in_transaction ? c->transaction_us : now_us;
  sender.max_age_us = c->database == "fresh"     ? -1
                      : c->database == "bounded" ? 1500000
                                                 : 2500000;
  if (c->database == "own")
    sender.own_commit
        = c->in_transaction ? c->transaction_own_position : c->own_position;
  senders_of->senders[c->id] = sender;
  senders_of->sender_names[c->id] = vm + c->name;
  sender_databases[c->id] = c->database;
  c->write_sent = kind == STM_WRITE || executes_write;
  c->commit_sent = kind == STM_COMMIT;
  if (c->write_sent && c->in_transaction)
    c->writes.push_back (c->id);
  if (kind == STM_SET)
    g_hash_table_replace (c->values, g_strdup (name), g_strdup (args));
  if (kind == STM_PREPARE_READ || kind == STM_PREPARE_WRITE)
    c->prepared[name]
        = std::string (kind == STM_PREPARE_WRITE ? "w" : "r") + args;
  c->busy = true;
  plr_run_statement (pooler, c->session, &s, now_us);
}

std::string
PoolWorld::Execute (Caller *c, enum stm_kind kind, const char *name,
                    const char *args, int64_t limit_us)
{
  int64_t end_us = now_us + limit_us;

  Send (c, kind, name, args);
  while (c->busy && now_us < end_us)
    Run (1000);
  return c->busy ? "no answer" : c->last;
}

bool
PoolWorld::Chance (double p)
{
  return p > 0 && std::uniform_real_distribution<> (0, 1) (random) < p;
}

void
ExpectNoBreach (const PoolWorld &w)
{
  EXPECT_EQ (w.group->violations, 0u) << w.group->first_violation;
}

void
TellClaim (PoolWorld *w, const char *vm)
{
  struct sfo_claim claim = {};

  GPtrArray *members
      = g_ptr_array_new_with_free_func ((GDestroyNotify)dir_instance_free);

  for (const auto &id : w->claim_members)
    {
      struct dir_instance d = w->Entry (dbm_find (w->group, id.c_str ()));

      g_ptr_array_add (members, dir_instance_copy (&d));
    }
  w->claim_vm = vm;
  claim.service = "stock";
  claim.vm = vm;
  claim.revision = w->claim_revision;
  if (!w->claim_target.empty ())
    claim.target = w->claim_target.c_str ();
  if (members->len > 0)
    claim.members = members;
  sfo_note_claim (w->sfo, &claim, w->now_us);
  g_ptr_array_free (members, TRUE);
}

void
NoteClaim (PoolWorld *w, const char *vm, uint64_t revision, bool promotes)
{
  w->claim_revision = revision;
  w->claim_target = promotes ? "i-1" : "";
  w->revision = std::max (w->revision, revision);
  TellClaim (w, vm);
}
