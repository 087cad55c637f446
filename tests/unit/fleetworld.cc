// Simulation of many session poolers on virtual time.
#include "fleetworld.h"

#include <algorithm>
#include <cstring>

namespace
{

template <typename P>
FleetVm *
VmOf (P *port)
{
  return reinterpret_cast<FleetPort<P> *> (port)->vm;
}

// A copy of a statement's outcome, which stays valid after the call that
// delivered it.
struct FleetOutcome
{
  struct stm_result result;
  std::string signature;
  struct stm_status status;
};

std::shared_ptr<FleetOutcome>
CopyOutcome (const struct stm_result *result)
{
  auto outcome = std::make_shared<FleetOutcome> ();

  outcome->result = *result;
  outcome->signature = result->signature ? result->signature : "";
  if (result->signature)
    outcome->result.signature = outcome->signature.c_str ();
  outcome->result.detail = nullptr;
  outcome->result.rows = nullptr;
  outcome->result.rows_len = 0;
  if (result->status)
    {
      outcome->status = *result->status;
      outcome->result.status = &outcome->status;
    }
  return outcome;
}

// Occupies the first free slot of I for FOR_US and returns when that ends.
int64_t
OccupySlot (FleetWorld *w, FleetInstance *i, int64_t for_us)
{
  int64_t *slot = std::min_element (i->slots_us, i->slots_us + 2);

  *slot = std::max (*slot, w->now_us) + for_us;
  i->worked_us += for_us;
  return *slot;
}

// Returns how long a statement runs.  Its id is the name of its database,
// which begins with the consistency of the reads.
int64_t
ExecTime (const FleetWorld *w, enum stm_kind kind, const std::string &id)
{
  if (kind == STM_COMMIT)
    return w->o.commit_us;
  switch (id.empty () ? ' ' : id[0])
    {
    case 'b':
      return w->o.bounded_us;
    case 'o':
      return w->o.own_us;
    default:
      return w->o.fresh_us;
    }
}

void
RunNext (FleetRelay *r)
{
  FleetVm *home = r->home;

  if (r->busy || r->queue.empty () || !r->session)
    return;
  auto sent = r->queue.front ();
  r->queue.pop_front ();
  r->busy = true;
  plr_set_min_position (r->session, sent->after);
  plr_run_statement (home->pooler, r->session, &sent->statement,
                     home->world->now_us);
}

void
OnReply (struct plr_port *port, void *data, const struct stm_result *result)
{
  FleetVm *vm = VmOf (port);
  FleetWorld *w = vm->world;
  FleetTag *tag = (FleetTag *)data;

  if (tag->caller)
    {
      OnCallerReply (tag->caller, result);
      return;
    }
  FleetRelay *r = tag->relay;
  FleetLink *l = r->link;
  auto outcome = CopyOutcome (result);
  r->busy = false;
  w->At (vm, 0, [r] { RunNext (r); });
  w->At (l->vm, w->o.round_trip_us / 2, [l, outcome, w] {
    if (l->open)
      plr_link_replied (l->vm->pooler, l->link, &outcome->result, w->now_us);
  });
}

void
OnClose (struct plr_port *port, void *data)
{
  FleetVm *vm = VmOf (port);
  FleetWorld *w = vm->world;
  FleetTag *tag = (FleetTag *)data;
  struct ses **session
      = tag->caller ? &tag->caller->session : &tag->relay->session;
  struct ses *s = *session;

  *session = nullptr;
  if (s)
    plr_close_session (vm->pooler, s, w->now_us);
  if (tag->caller)
    return;
  FleetLink *l = tag->relay->link;
  w->At (l->vm, w->o.round_trip_us / 2, [l, w] {
    if (l->open)
      plr_link_lost (l->vm->pooler, l->link, false, w->now_us);
  });
}

const struct plr_port_ops callers_ops = { OnReply, OnClose };

void
OpenDirectly (FleetLink *l)
{
  FleetWorld *w = l->vm->world;
  FleetInstance *i = l->instance;
  int64_t done_us;

  if ((int64_t)i->model->n_connections + i->lingering >= w->o.connections_max)
    {
      w->refused_full++;
      w->At (l->vm, w->o.round_trip_us / 2, [l, w] {
        if (l->open)
          plr_link_refused (l->vm->pooler, l->link, SQC_CONNECTION_LIMIT,
                            w->now_us);
      });
      return;
    }
  l->conn = dbm_connect (i->model);
  done_us = OccupySlot (w, i, w->o.handshake_us);
  w->At (l->vm, done_us - w->now_us + w->o.round_trip_us / 2, [l, w] {
    if (l->open)
      plr_link_opened (l->vm->pooler, l->link,
                       dbm_applied (l->instance->model, w->now_us), w->now_us);
  });
}

void
OpenAtHome (FleetLink *l)
{
  FleetWorld *w = l->vm->world;
  FleetVm *home = l->home;
  auto relay = std::make_unique<FleetRelay> ();
  auto tag = std::make_unique<FleetTag> ();

  if (!home->up || !plr_check_peers_complete (home->pooler, w->now_us))
    {
      w->At (l->vm, w->o.round_trip_us / 2, [l, w] {
        if (l->open)
          plr_link_lost (l->vm->pooler, l->link, true, w->now_us);
      });
      return;
    }
  relay->home = home;
  relay->link = l;
  tag->caller = nullptr;
  tag->relay = relay.get ();
  relay->session
      = plr_open_relay (home->pooler, tag.get (), l->link->instance->svc->name,
                        l->instance->model->id, w->now_us);
  l->relay = relay.get ();
  bool accepted = relay->session != nullptr;
  home->relays.push_back (std::move (relay));
  home->tags.push_back (std::move (tag));
  w->At (l->vm, w->o.round_trip_us / 2, [l, w, accepted] {
    if (!l->open)
      return;
    if (accepted)
      plr_link_opened (l->vm->pooler, l->link, LP_NONE, w->now_us);
    else
      plr_link_refused (l->vm->pooler, l->link, SQC_NO_DATABASE, w->now_us);
  });
}

void *
UpOpen (struct ul_port *port, struct ul *link,
        const struct dir_instance *instance, const char *home)
{
  FleetVm *vm = VmOf (port);
  FleetWorld *w = vm->world;
  auto l = std::make_unique<FleetLink> ();
  FleetLink *raw = l.get ();

  l->vm = vm;
  l->link = link;
  for (auto &i : w->instances)
    if (strcmp (i->model->id, instance->id) == 0)
      l->instance = i.get ();
  if (home)
    l->home = w->vms[(size_t)atoi (home)].get ();
  vm->links.push_back (std::move (l));
  w->At (vm, w->o.round_trip_us, [raw] {
    if (!raw->open)
      return;
    if (raw->home)
      OpenAtHome (raw);
    else
      OpenDirectly (raw);
  });
  return raw;
}

void
RunDirectly (FleetLink *l, const std::shared_ptr<FleetStatement> &sent)
{
  FleetWorld *w = l->vm->world;
  struct stm_result result;
  enum stm_kind kind = sent->statement.kind;
  bool work = kind == STM_READ || kind == STM_WRITE || kind == STM_COMMIT;

  if (!l->conn)
    return;
  int64_t done_us
      = work ? OccupySlot (w, l->instance, ExecTime (w, kind, sent->id))
             : w->now_us;
  dbm_run (l->conn, sent->after, &sent->statement, &result, w->now_us);
  done_us = std::max (done_us, l->last_us);
  l->last_us = done_us;
  auto outcome = CopyOutcome (&result);
  w->At (l->vm, done_us - w->now_us + w->o.round_trip_us / 2, [l, outcome, w] {
    if (l->open)
      plr_link_replied (l->vm->pooler, l->link, &outcome->result, w->now_us);
  });
}

void
UpSend (struct ul_port *port, void *handle, struct logpos after,
        const struct stm *statement)
{
  FleetVm *vm = VmOf (port);
  FleetWorld *w = vm->world;
  FleetLink *l = (FleetLink *)handle;
  auto sent = std::make_shared<FleetStatement> ();

  sent->statement = *statement;
  sent->after = after;
  sent->id = statement->id ? statement->id : "";
  sent->name = statement->name ? statement->name : "";
  sent->args = statement->args ? statement->args : "";
  sent->statement.id = statement->id ? sent->id.c_str () : nullptr;
  sent->statement.name = statement->name ? sent->name.c_str () : nullptr;
  sent->statement.args = statement->args ? sent->args.c_str () : nullptr;
  if (!l->home)
    w->At (vm, w->o.round_trip_us / 2, [l, sent] { RunDirectly (l, sent); });
  else
    w->At (l->home, w->o.round_trip_us / 2, [l, sent] {
      if (!l->relay)
        return;
      l->relay->queue.push_back (sent);
      RunNext (l->relay);
    });
}

void
UpClose (struct ul_port *port, void *handle)
{
  FleetVm *vm = VmOf (port);
  FleetWorld *w = vm->world;
  FleetLink *l = (FleetLink *)handle;

  l->open = false;
  if (l->conn)
    dbm_disconnect (l->conn);
  l->conn = nullptr;
  if (!l->relay)
    return;
  FleetRelay *r = l->relay;
  w->At (l->home, w->o.round_trip_us / 2, [r, w] {
    struct ses *s = r->session;

    r->session = nullptr;
    if (s)
      plr_close_session (r->home->pooler, s, w->now_us);
  });
}

const struct ul_port_ops upstreams_ops = { UpOpen, UpSend, UpClose };

void
Claim (struct sfo_port *port, const struct sfo_claim_request *request)
{
  FleetVm *vm = VmOf (port);
  FleetWorld *w = vm->world;
  std::string name = request->service;
  std::string target = request->target ? request->target : "";

  w->At (vm, 10000, [vm, w, name, target] {
    uint64_t token = 1000 + ++w->serial;
    struct sfo_claim claim
        = { name.c_str (), vm->name.c_str (), token,
            target.empty () ? nullptr : target.c_str (), nullptr };

    for (auto &other : w->vms)
      if (other->up && other.get () != vm)
        sfo_note_claim (other->sfo, &claim, w->now_us);
    sfo_complete_claim (vm->sfo, name.c_str (), token, true, w->now_us);
  });
}

void
Promote (struct sfo_port *port, const char *service, const char *instance,
         uint64_t token)
{
  FleetVm *vm = VmOf (port);
  FleetWorld *w = vm->world;
  std::string name = service, id = instance;

  w->promotions++;
  w->At (vm, 1000000, [vm, w, name, id, token] {
    bool done = false;

    for (struct dbm *g : w->groups)
      if (dbm_find (g, id.c_str ()))
        done = dbm_promote (g, id.c_str (), token, w->now_us);
    sfo_complete_promotion (vm->sfo, name.c_str (),
                            done ? SFO_PROMOTED : SFO_PROMOTE_REFUSED,
                            w->now_us);
  });
}

void
RequestVotes (struct sfo_port *port, const char *service, const char *instance,
              GHashTable *voters)
{
  FleetVm *vm = VmOf (port);
  FleetWorld *w = vm->world;
  std::string name = service, id = instance;

  for (auto &other : w->vms)
    {
      FleetVm *voter = other.get ();

      if (voter == vm || !g_hash_table_contains (voters, voter->name.c_str ()))
        continue;
      w->messages++;
      w->At (voter, w->o.round_trip_us / 2, [vm, voter, w, name, id] {
        enum sfo_vote vote = sfo_cast_vote (voter->sfo, name.c_str (),
                                            id.c_str (), w->now_us);

        w->messages++;
        w->At (vm, w->o.round_trip_us / 2, [vm, voter, w, name, id, vote] {
          sfo_add_vote (vm->sfo, name.c_str (), id.c_str (),
                        voter->name.c_str (), vote, w->now_us);
        });
      });
    }
}

const struct sfo_port_ops failover_ops = { Claim, Promote, RequestVotes };

void
OnYieldRequest (void *arg, const char *service, const char *instance,
                const struct vmt_homes *homes)
{
  FleetVm *vm = (FleetVm *)arg;
  FleetWorld *w = vm->world;
  std::string name = service, id = instance;

  for (auto &other : w->vms)
    {
      FleetVm *to = other.get ();
      bool requested = !homes || vmt_is_home (homes, to->name.c_str ());

      if (to == vm || !requested)
        continue;
      w->messages++;
      w->At (to, w->o.round_trip_us / 2, [to, w, name, id] {
        plr_yield_link (to->pooler, name.c_str (), id.c_str (), w->now_us);
      });
    }
}

void
Tick (FleetVm *vm)
{
  FleetWorld *w = vm->world;

  plr_tick (vm->pooler, w->now_us);
  sfo_tick (vm->sfo, w->names, w->now_us);
  w->At (vm, PLR_TICK_US, [vm] { Tick (vm); });
}

const char *
DataCentre (int index)
{
  static const char *const names[] = { "a1", "a2", "b1", "b2", "c1", "c2" };

  return names[index % 6];
}

void
Configure (FleetVm *vm)
{
  FleetWorld *w = vm->world;
  struct dir_config *c = dir_config_new (1);
  static const struct
  {
    const char *prefix;
    enum dir_read_consistency reads;
    int64_t max_age_us, objective_us, timeout_us;
    int32_t priority;
  } kinds[]
      = { { "fresh", DIR_READ_PRIMARY, 0, 300000, 800000, 1 },
          { "bounded", DIR_READ_BOUNDED_STALE, 1500000, 600000, 1500000, 2 },
          { "own", DIR_READ_YOUR_WRITES, 2500000, 500000, 800000, 2 } };

  for (int n = 0; n < w->o.services; n++)
    {
      struct dir_service *s = g_new0 (struct dir_service, 1);

      s->name = g_strdup_printf ("s%d", n);
      s->connections_max = w->o.connections_max;
      dir_config_add_service (c, s);
      for (const auto &k : kinds)
        {
          struct dir_route *r = g_new0 (struct dir_route, 1);

          r->database = g_strdup_printf ("%s%d", k.prefix, n);
          r->service = g_strdup_printf ("s%d", n);
          r->reads = k.reads;
          r->max_age_us = k.max_age_us;
          r->timeout_us = k.timeout_us;
          r->objective_us = k.objective_us;
          r->priority = k.priority;
          dir_config_add_route (c, r);
        }
    }
  plr_configure (vm->pooler, c, w->now_us);
}

void
ListInstances (FleetVm *vm)
{
  FleetWorld *w = vm->world;

  for (size_t n = 0; n < w->instances.size (); n++)
    {
      struct dbm_instance *i = w->instances[n]->model;
      struct dir_instance d = {};
      std::string service = "s" + std::to_string (n / 3);

      d.id = i->id;
      d.service = (char *)service.c_str ();
      d.host = (char *)"10.0.0.1";
      d.port = (uint16_t)(5000 + n);
      d.data_centre = (char *)DataCentre ((int)(n % 3) * 2);
      d.slots = 2;
      d.reports_primary = i->primary;
      plr_register_instance (vm->pooler, &d, w->now_us);
    }
}

void
ListVms (FleetVm *vm)
{
  FleetWorld *w = vm->world;

  for (auto &other : w->vms)
    plr_set_vm (vm->pooler, other->name.c_str (),
                (std::to_string (other->index) + ":1").c_str (),
                DataCentre (other->index), 0.12);
}
} // namespace

FleetWorld::FleetWorld (uint64_t seed, const FleetOptions &options)
    : o (options), random (seed)
{
  regions = g_hash_table_new (g_str_hash, g_str_equal);
  for (int n = 0; n < 6; n++)
    g_hash_table_insert (regions, (gpointer)DataCentre (n),
                         (gpointer)(n < 2   ? "a"
                                    : n < 4 ? "b"
                                            : "c"));
  names = g_hash_table_new (g_str_hash, g_str_equal);
  for (int n = 0; n < o.services; n++)
    {
      struct dbm *g
          = dbm_new (("i" + std::to_string (n)).c_str (), 3, nullptr, nullptr);

      groups.push_back (g);
      for (uint32_t k = 0; k < g->n; k++)
        {
          g->instances[k].connections_max = (uint32_t)o.connections_max;
          g->instances[k].lag_us = 50000;
          instances.push_back (std::make_unique<FleetInstance> ());
          instances.back ()->model = &g->instances[k];
        }
    }
  for (int n = 0; n < o.vms; n++)
    {
      auto vm = std::make_unique<FleetVm> ();

      vm->world = this;
      vm->index = n;
      vm->name = "vm-" + std::to_string (n);
      vm->callers_port = { { &callers_ops }, vm.get () };
      vm->upstreams_port = { { &upstreams_ops }, vm.get () };
      vm->failover_port = { { &failover_ops }, vm.get () };
      vms.push_back (std::move (vm));
      g_hash_table_add (names, (gpointer)vms.back ()->name.c_str ());
    }
}

FleetWorld::~FleetWorld ()
{
  for (auto &vm : vms)
    if (vm->up)
      LosePower (vm.get ());
  while (!events.empty ())
    events.pop ();
  for (struct dbm *g : groups)
    dbm_free (g);
  g_hash_table_destroy (regions);
  g_hash_table_destroy (names);
}

void
FleetWorld::At (FleetVm *vm, int64_t delay_us, std::function<void ()> fn)
{
  uint64_t incarnation = vm->incarnation;

  At (delay_us, [vm, incarnation, fn = std::move (fn)] {
    if (vm->up && vm->incarnation == incarnation)
      fn ();
  });
}

void
FleetWorld::Start (FleetVm *vm)
{
  struct plr_options po = {};
  struct sfo_options so = {};

  vm->up = true;
  vm->incarnation++;
  vm->counters = g_new0 (struct ctr_set, 1);
  po.callers = &vm->callers_port.port;
  po.upstreams = &vm->upstreams_port.port;
  po.counters = vm->counters;
  po.vm = vm->name.c_str ();
  po.data_centre = DataCentre (vm->index);
  po.regions = regions;
  po.drain_grace_us = 5000000;
  vm->pooler = plr_new (&po);
  so.pooler = vm->pooler;
  so.port = &vm->failover_port.port;
  so.tokens_are_checked = true;
  so.counters = vm->counters;
  so.vm = vm->name.c_str ();
  vm->sfo = sfo_new (&so);
  plr_set_request_yield (vm->pooler, OnYieldRequest, vm);
  if (o.lists_vms_first)
    {
      plr_await_peers (vm->pooler);
      At (vm, o.vm_listing_us, [vm, this] {
        ListVms (vm);
        plr_note_first_listing (vm->pooler, true, now_us);
      });
    }
  else
    At (vm, o.vm_listing_us, [vm] { ListVms (vm); });
  Configure (vm);
  ListInstances (vm);
  Tick (vm);
}

void
FleetWorld::LosePower (FleetVm *vm)
{
  vm->up = false;
  // The instances don't notice the loss: the connections that the proxy held
  // count for a while longer.
  for (auto &l : vm->links)
    if (l->conn)
      {
        FleetInstance *i = l->instance;

        dbm_disconnect (l->conn);
        l->conn = nullptr;
        i->lingering++;
        At (o.linger_us, [i] { i->lingering--; });
      }
  sfo_free (vm->sfo);
  plr_free (vm->pooler);
  g_free (vm->counters);
  vm->pooler = nullptr;
  vm->sfo = nullptr;
  // Links of other proxies through this one break.
  for (auto &r : vm->relays)
    {
      FleetLink *l = r->link;

      r->session = nullptr;
      if (l->vm != vm && l->vm->up && l->open)
        At (l->vm, o.round_trip_us, [l, this] {
          if (l->open)
            plr_link_lost (l->vm->pooler, l->link, false, now_us);
        });
    }
}
