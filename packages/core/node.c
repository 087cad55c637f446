/* One proxy on the HTTP path.  */
#include "node.h"

#include "units.h"
#include <jansson.h>
#include <string.h>

/* Proxies in each data centre that watch the store.  */
#define WATCHERS_PER_CENTRE 2
/* After a membership change, home roles are evaluated at most once in this
   time.  */
#define ROLES_INTERVAL_US (200 * US_PER_MS)
#define TICK_BUSY_US 1000
#define TICK_IDLE_US 25000
/* Ids of recent request messages that are kept to drop duplicates.  */
#define RECENT_IDS_MAX 4096
/* The message ids of one run of a proxy start at its first incarnation,
   shifted left by this many bits, so that no two runs share an id.  */
#define MESSAGE_ID_BITS 22
/* A proxy without configuration reads the store itself after this time, plus
   a random delay of up to the same length.  */
#define BOOTSTRAP_READ_US (1500 * US_PER_MS)
/* A manifest read that is not answered within this time is abandoned.  */
#define STORE_TIMEOUT_US (5000 * US_PER_MS)

/* The two preferred homes of one instance.  */
struct home_pair
{
  uint64_t epoch; /* of the membership they were picked from */
  const char *vm[2];
};

struct node
{
  struct node_options options;
  struct mbr members;
  struct cfs confsync;
  struct brk breaker;
  struct home *home;
  struct coordinator *coordinator;
  struct dcl_set *set;
  GQueue local_replies;   /* struct wire_reply * */
  GHashTable *homes;      /* instance -> struct home_pair * */
  GHashTable *recent_ids; /* "vm id" of handled request messages */
  GQueue recent_order;    /* the same keys, oldest first */
  uint64_t roles_epoch;   /* membership epoch of the current home roles */
  int64_t roles_due_us;   /* next evaluation of home roles at the earliest */
  bool watching;
  bool manifest_changed;    /* the watch reported a change not read yet */
  int64_t read_started_us;  /* of the manifest read in flight, 0 = none */
  int64_t reconcile_due_us; /* next full read */
  int64_t bootstrap_due_us; /* next own read while without configuration */
  GRand *random;
  int64_t event_us; /* time of the event being handled */
  bool leaving;
  bool draining;
};

static double
random_fraction (struct node *n)
{
  return g_rand_double (n->random);
}

static const char *
region_of_centre (const struct node *n, const char *centre)
{
  return n->set ? dcl_find_region (n->set, centre) : "";
}

/* The two preferred homes of an instance, cached until the membership
   changes.  */
static const struct home_pair *
find_homes (struct node *n, const struct dcl_instance *instance)
{
  struct home_pair *pair = g_hash_table_lookup (n->homes, instance->name);

  if (pair && pair->epoch == n->members.epoch)
    return pair;
  if (!pair)
    {
      pair = g_new0 (struct home_pair, 1);
      g_hash_table_insert (n->homes, g_strdup (instance->name), pair);
    }
  for (uint32_t rank = 0; rank < 2; rank++)
    pair->vm[rank]
        = mbr_pick (&n->members, instance->name, instance->data_centre,
                    region_of_centre (n, instance->data_centre), rank);
  pair->epoch = n->members.epoch;
  return pair;
}

static enum home_role
choose_home_role (void *arg, const struct dcl_database *database, uint32_t i)
{
  struct node *n = arg;
  const struct dcl_instance *instance = &database->instances[i];
  const struct home_pair *pair;

  if (n->leaving)
    return HOME_NONE;
  /* Most instances are in other data centres; skip the rendezvous hashing
     for them when their own data centre has two proxies for the homes.  */
  if (strcmp (instance->data_centre, n->members.self.data_centre) != 0
      && mbr_count_in_centre (&n->members, instance->data_centre) >= 2)
    return HOME_NONE;
  pair = find_homes (n, instance);
  if (pair->vm[0] && strcmp (pair->vm[0], n->members.self.id) == 0)
    return HOME_ACTIVE;
  if (pair->vm[1] && strcmp (pair->vm[1], n->members.self.id) == 0)
    return HOME_STANDBY;
  return HOME_NONE;
}

static const char *
choose_home (void *arg, const struct dcl_database *database, uint32_t i,
             uint32_t preference)
{
  struct node *n = arg;

  return find_homes (n, &database->instances[i])->vm[preference];
}

static bool
is_alive (void *arg, const char *vm)
{
  struct node *n = arg;

  return mbr_is_usable (&n->members, vm);
}

/* Sends an encoded message to VM, as a reply if REPLY, and frees it.  CONTROL
   counts it as control traffic.  */
static void
send_message (struct node *n, const char *vm, bool reply, bool control,
              char *data, size_t len)
{
  const struct mbr_vm *v = mbr_find (&n->members, vm);

  if (reply || v)
    {
      ctr_add (n->options.counters, CTR_PEER_BYTES_SENT, len);
      if (control)
        ctr_add (n->options.counters, CTR_CONTROL_BYTES_SENT, len);
      n->options.peers->ops->send (
          n->options.peers, vm, reply ? NULL : v->vm.peer_address, data, len);
    }
  g_free (data);
}

static struct wire_reply *
copy_reply (const struct wire_reply *reply)
{
  struct wire_reply *copy = g_memdup2 (reply, sizeof *reply);

  copy->rows = g_strdup (reply->rows ? reply->rows : "");
  copy->detail = g_strdup (reply->detail ? reply->detail : "");
  copy->transaction = g_strdup (reply->transaction ? reply->transaction : "");
  return copy;
}

/* Takes a reply of this proxy's home module.  Local replies are queued, since
   the home is still inside the call that produced them.  */
static void
on_home_reply (void *arg, const char *from, struct wire_reply *reply)
{
  struct node *n = arg;
  size_t len;
  char *data;

  if (from[0] == '\0')
    {
      g_queue_push_tail (&n->local_replies, copy_reply (reply));
      return;
    }
  data = wire_encode_reply (reply, &len);
  send_message (n, from, true, false, data, len);
}

static void
deliver_local_replies (struct node *n, int64_t now_us)
{
  struct wire_reply *reply;

  while ((reply = g_queue_pop_head (&n->local_replies)) != NULL)
    {
      coord_on_reply (n->coordinator, reply, now_us);
      wire_reply_clear (reply);
      g_free (reply);
    }
}

static void
on_coordinator_send (void *arg, const char *vm, struct wire_request *request)
{
  struct node *n = arg;
  size_t len;
  char *data;

  if (strcmp (vm, n->members.self.id) == 0)
    {
      home_submit (n->home, "", request, n->event_us);
      return;
    }
  ctr_add (n->options.counters, CTR_FORWARDED, 1);
  data = wire_encode_request (request, &len);
  send_message (n, vm, false, false, data, len);
}

static void
on_pull (void *arg, const char *to, const struct wire_pull *pull)
{
  struct node *n = arg;
  size_t len;
  char *data;

  if (to[0] != '\0')
    {
      data = wire_encode_pull (pull, &len);
      send_message (n, to, false, true, data, len);
      return;
    }
  /* The store returns one file per read.  */
  for (uint32_t i = 0; i < pull->n; i++)
    {
      ctr_add (n->options.counters, CTR_STORE_CALLS, 1);
      n->options.store->ops->read (n->options.store, STORE_BLOB,
                                   pull->hashes[i]);
    }
}

static void
on_configuration (void *arg, struct dcl_set *set, uint64_t revision)
{
  struct node *n = arg;
  struct dcl_set *old = n->set;

  n->set = set;
  g_hash_table_remove_all (n->homes);
  home_set_databases (n->home, set, n->event_us);
  coord_set_databases (n->coordinator, set);
  n->options.publish (n->options.arg, set, revision);
  dcl_free (old);
}

static struct home *
make_home (struct node *n)
{
  const struct node_options *o = &n->options;
  struct home_options h = { 0 };

  h.up = o->up;
  h.counters = o->counters;
  h.vm = o->self.id;
  h.incarnation = o->self.incarnation;
  h.rule = o->rule ? o->rule : &qrm_rule_majority;
  h.reply = on_home_reply;
  h.role = choose_home_role;
  h.arg = n;
  h.seed = o->seed + 1;
  h.queue_max = o->queue_max;
  h.status_interval_ms = o->status_interval_ms;
  h.probe_timeout_ms = o->probe_timeout_ms;
  h.silence_ms = o->silence_ms;
  h.transaction_idle_ms = o->transaction_idle_ms;
  h.transaction_max_ms = o->transaction_max_ms;
  h.no_admission = o->no_admission;
  h.unsafe = o->unsafe;
  return home_new (&h);
}

static struct coordinator *
make_coordinator (struct node *n)
{
  const struct node_options *o = &n->options;
  struct coord_options c = { 0 };

  c.answer = o->answer;
  c.send = on_coordinator_send;
  c.pick_home = choose_home;
  c.is_alive = is_alive;
  c.counters = o->counters;
  c.data_centre = o->self.data_centre;
  c.region = o->self.region;
  c.first_id = o->self.incarnation << MESSAGE_ID_BITS;
  c.requests_max = o->requests_max;
  c.policy = o->policy;
  c.unlimited_retries = o->unlimited_retries;
  c.unsafe_lost_is_not_run = o->unsafe.lost_is_not_run;
  c.answer_arg = o->arg;
  c.arg = n;
  return coord_new (&c);
}

struct node *
node_new (const struct node_options *options, int64_t now_us)
{
  struct node *n = g_new0 (struct node, 1);
  struct mbr_options m = { options->self, options->counters, options->seed };
  struct cfs_options s = { 0 };

  n->options = *options;
  n->random = g_rand_new_with_seed ((guint32)options->seed + 2);
  g_queue_init (&n->local_replies);
  g_queue_init (&n->recent_order);
  n->homes = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  n->recent_ids
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  mbr_init (&n->members, &m);
  s.apply = on_configuration;
  s.pull = on_pull;
  s.arg = n;
  s.counters = options->counters;
  s.unsafe_any_revision = options->unsafe_any_revision;
  cfs_init (&n->confsync, &s);
  brk_init (&n->breaker, now_us);
  n->home = make_home (n);
  n->coordinator = make_coordinator (n);
  n->bootstrap_due_us
      = now_us + BOOTSTRAP_READ_US
        + (int64_t)(random_fraction (n) * (double)BOOTSTRAP_READ_US);
  return n;
}

void
node_free (struct node *n)
{
  struct wire_reply *reply;

  if (!n)
    return;
  while ((reply = g_queue_pop_head (&n->local_replies)) != NULL)
    {
      wire_reply_clear (reply);
      g_free (reply);
    }
  coord_free (n->coordinator);
  home_free (n->home);
  cfs_free (&n->confsync);
  mbr_free (&n->members);
  g_hash_table_destroy (n->homes);
  g_hash_table_destroy (n->recent_ids);
  g_queue_clear (&n->recent_order);
  g_rand_free (n->random);
  dcl_free (n->set);
  g_free (n);
}

void
node_add_vm (struct node *n, const struct wire_vm *vm, int64_t now_us)
{
  mbr_add_candidate (&n->members, vm, now_us);
}

void
node_submit (struct node *n, const struct coord_call *call, int64_t now_us,
             int64_t wall_ms)
{
  n->event_us = now_us;
  coord_submit (n->coordinator, call, now_us, wall_ms);
  deliver_local_replies (n, now_us);
}

/* Starts one read of ITEM if the circuit breaker allows it.  */
static bool
read_store (struct node *n, enum store_item item, int64_t now_us)
{
  if (!brk_allow (&n->breaker, now_us))
    {
      ctr_add (n->options.counters, CTR_STORE_BLOCKED, 1);
      return false;
    }
  ctr_add (n->options.counters, CTR_STORE_CALLS, 1);
  n->options.store->ops->read (n->options.store, item, NULL);
  return true;
}

/* The two watchers of each data centre follow the store.  A proxy that got no
   configuration from a peer reads the store itself.  */
static void
tick_store (struct node *n, int64_t now_us)
{
  bool is_watcher
      = !n->leaving
        && mbr_is_among_best (&n->members, "watcher", WATCHERS_PER_CENTRE);
  bool bootstrap = n->confsync.revision == 0 && now_us >= n->bootstrap_due_us;

  if (is_watcher != n->watching)
    {
      n->watching = is_watcher;
      n->reconcile_due_us = now_us;
      n->options.store->ops->watch (n->options.store, is_watcher);
    }
  if (n->read_started_us != 0
      && now_us - n->read_started_us < STORE_TIMEOUT_US)
    return;
  if (!(is_watcher && (n->manifest_changed || now_us >= n->reconcile_due_us))
      && !bootstrap)
    return;
  if (!read_store (n, STORE_MANIFEST, now_us))
    return;
  n->read_started_us = now_us;
  if (now_us >= n->reconcile_due_us)
    {
      n->reconcile_due_us = now_us + n->options.reconcile_ms * US_PER_MS;
      read_store (n, STORE_VMS, now_us);
    }
  n->manifest_changed = false;
  n->bootstrap_due_us = now_us + BOOTSTRAP_READ_US;
}

static void
send_heartbeats (struct node *n, int64_t now_us)
{
  struct wire_heartbeat heartbeat;
  const struct mbr_vm *targets[MBR_OBSERVERS + MBR_RANDOM_TARGETS + 1];
  uint32_t count
      = mbr_prepare_heartbeat (&n->members, n->confsync.revision, &heartbeat,
                               targets, G_N_ELEMENTS (targets), now_us);
  size_t len;
  char *data;

  for (uint32_t i = 0; i < count; i++)
    {
      data = wire_encode_heartbeat (&heartbeat, &len);
      send_message (n, targets[i]->vm.id, false, true, data, len);
    }
}

void
node_tick (struct node *n, int64_t now_us, int64_t wall_ms)
{
  n->event_us = now_us;
  if (mbr_tick (&n->members, now_us))
    {
      send_heartbeats (n, now_us);
      tick_store (n, now_us);
    }
  else if (n->manifest_changed || n->confsync.revision == 0)
    tick_store (n, now_us);
  if (n->members.epoch != n->roles_epoch && now_us >= n->roles_due_us)
    {
      n->roles_epoch = n->members.epoch;
      n->roles_due_us = now_us + ROLES_INTERVAL_US;
      home_update_roles (n->home, now_us);
      coord_check_peers (n->coordinator, now_us);
    }
  cfs_tick (&n->confsync, now_us);
  home_tick (n->home, now_us, wall_ms);
  deliver_local_replies (n, now_us);
  coord_tick (n->coordinator, now_us);
  deliver_local_replies (n, now_us);
}

int64_t
node_next_tick_us (const struct node *n, int64_t now_us)
{
  bool busy = coord_count_in_flight (n->coordinator) > 0
              || home_count_busy (n->home) > 0;

  return now_us + (busy ? TICK_BUSY_US : TICK_IDLE_US);
}

void
node_on_opened (struct node *n, uint64_t conn, bool ok, int64_t now_us)
{
  n->event_us = now_us;
  home_opened (n->home, conn, ok, now_us);
  deliver_local_replies (n, now_us);
}

void
node_on_closed (struct node *n, uint64_t conn, int64_t now_us)
{
  n->event_us = now_us;
  home_closed (n->home, conn, now_us);
  deliver_local_replies (n, now_us);
}

void
node_on_op_done (struct node *n, uint64_t conn, const struct up_result *result,
                 int64_t now_us)
{
  n->event_us = now_us;
  home_done (n->home, conn, result, now_us);
  deliver_local_replies (n, now_us);
}

/* True when request message ID of FROM was handled before.  */
static bool
is_duplicate (struct node *n, const char *from, uint64_t id)
{
  char *key = g_strdup_printf ("%s %lu", from, id);

  if (!g_hash_table_add (n->recent_ids, key))
    return true;
  g_queue_push_tail (&n->recent_order, key);
  if (g_queue_get_length (&n->recent_order) > RECENT_IDS_MAX)
    g_hash_table_remove (n->recent_ids, g_queue_pop_head (&n->recent_order));
  return false;
}

static void
reply_to_pull (struct node *n, const char *from, const struct wire_pull *pull)
{
  struct wire_files answer;
  size_t len;
  char *data;

  if (!cfs_build_reply (&n->confsync, pull, &answer))
    return;
  data = wire_encode_files (&answer, &len);
  cfs_free_reply (&answer);
  send_message (n, from, true, true, data, len);
}

static void
dispatch_message (struct node *n, const char *from,
                  const struct wire_message *m, int64_t now_us)
{
  switch (m->type)
    {
    case WIRE_REQUEST:
      if (is_duplicate (n, from, m->u.request->id))
        ctr_add (n->options.counters, CTR_DUPLICATE_MESSAGE, 1);
      else
        home_submit (n->home, from, m->u.request, now_us);
      break;
    case WIRE_REPLY:
      coord_on_reply (n->coordinator, m->u.reply, now_us);
      break;
    case WIRE_HEARTBEAT:
      mbr_note_heartbeat (&n->members, m->u.heartbeat, now_us);
      cfs_note_revision (&n->confsync, m->u.heartbeat->self.id,
                         m->u.heartbeat->revision, now_us);
      break;
    case WIRE_PULL:
      reply_to_pull (n, from, m->u.pull);
      break;
    case WIRE_FILES:
      cfs_receive (&n->confsync, from, m->u.files, now_us);
      break;
    case WIRE_TYPE_END:
      break;
    }
}

void
node_on_message (struct node *n, const char *from, const char *data,
                 size_t len, int64_t now_us)
{
  struct wire_message message;

  n->event_us = now_us;
  if (!wire_decode (data, len, &message))
    {
      ctr_add (n->options.counters, CTR_MALFORMED_MESSAGE, 1);
      return;
    }
  if (message.type != WIRE_HEARTBEAT)
    mbr_note_alive (&n->members, from, now_us);
  dispatch_message (n, from, &message, now_us);
  wire_message_clear (&message);
  deliver_local_replies (n, now_us);
}

void
node_on_peer_lost (struct node *n, const char *vm, int64_t now_us)
{
  n->event_us = now_us;
  mbr_link_lost (&n->members, vm, now_us);
  coord_on_peer_lost (n->coordinator, vm, now_us);
  deliver_local_replies (n, now_us);
}

/* One entry of the platform's list: {"id", "data_centre", "region", "peer",
   "admin", "state": "live"|"leaving"}.  */
static void
add_platform_vm (struct node *n, json_t *item, int64_t now_us)
{
  struct wire_vm vm = { 0 };
  const char *id;
  const char *centre;
  const char *region;
  const char *peer;
  const char *admin;
  const char *state;

  if (json_unpack (item, "{s:s, s:s, s:s, s:s, s:s, s:s}", "id", &id,
                   "data_centre", &centre, "region", &region, "peer", &peer,
                   "admin", &admin, "state", &state)
          != 0
      || !dcl_is_name (id))
    return;
  g_strlcpy (vm.id, id, sizeof vm.id);
  g_strlcpy (vm.data_centre, centre, sizeof vm.data_centre);
  g_strlcpy (vm.region, region, sizeof vm.region);
  g_strlcpy (vm.peer_address, peer, sizeof vm.peer_address);
  g_strlcpy (vm.admin_address, admin, sizeof vm.admin_address);
  vm.state = strcmp (state, "leaving") == 0 ? VM_LEAVING : VM_ALIVE;
  mbr_add_candidate (&n->members, &vm, now_us);
}

static void
add_platform_vms (struct node *n, const char *text, size_t len, int64_t now_us)
{
  json_t *root = json_loadb (text, len, 0, NULL);
  size_t i;
  json_t *item;

  json_array_foreach (root, i, item)
    add_platform_vm (n, item, now_us);
  json_decref (root);
}

void
node_on_store_read (struct node *n, enum store_item item, const char *hash,
                    const char *text, size_t len, int64_t now_us)
{
  struct wire_files files = { 0 };
  struct wire_blob blob = { (char *)hash, (char *)text, len };
  char *copy;

  n->event_us = now_us;
  brk_report (&n->breaker, text != NULL, now_us, random_fraction (n));
  if (item == STORE_MANIFEST)
    n->read_started_us = 0;
  if (!text)
    {
      ctr_add (n->options.counters, CTR_STORE_ERRORS, 1);
      n->manifest_changed |= item == STORE_MANIFEST && n->watching;
      return;
    }
  if (item == STORE_VMS)
    add_platform_vms (n, text, len, now_us);
  else if (item == STORE_BLOB)
    {
      files.n = 1;
      files.blobs = &blob;
      cfs_receive (&n->confsync, "", &files, now_us);
    }
  else if (len > 0)
    {
      copy = g_strndup (text, len);
      files.manifest = copy;
      cfs_receive (&n->confsync, "", &files, now_us);
      g_free (copy);
    }
  deliver_local_replies (n, now_us);
}

void
node_on_store_changed (struct node *n, int64_t now_us)
{
  (void)now_us;
  n->manifest_changed = true;
}

void
node_leave (struct node *n, int64_t now_us)
{
  n->leaving = true;
  mbr_leave (&n->members, now_us);
  n->event_us = now_us;
  send_heartbeats (n, now_us);
}

void
node_drain (struct node *n)
{
  n->draining = true;
  coord_drain (n->coordinator);
  home_drain (n->home);
}

void
node_abort (struct node *n, int64_t now_us)
{
  coord_abort (n->coordinator, now_us);
}

uint32_t
node_count_in_flight (const struct node *n)
{
  return coord_count_in_flight (n->coordinator) + home_count_busy (n->home);
}

enum rsn
node_check_ready (const struct node *n)
{
  if (n->leaving || n->draining)
    return RSN_SHUTTING_DOWN;
  if (n->confsync.revision == 0)
    return RSN_NO_CONFIGURATION;
  return RSN_OK;
}

uint64_t
node_revision (const struct node *n)
{
  return n->confsync.revision;
}

void
node_write_status (const struct node *n, GString *out, int64_t now_us)
{
  char *rejection
      = n->confsync.rejection ? g_strescape (n->confsync.rejection, "") : NULL;

  g_string_append_printf (
      out,
      "{\"vm\":\"%s\",\"data_centre\":\"%s\",\"incarnation\":%lu,"
      "\"revision\":%lu,\"newest_revision_heard\":%lu,"
      "\"rejected_revision\":%lu,\"rejection\":\"%s\",\"ready\":\"%s\","
      "\"watcher\":%s,\"store_circuit\":\"%s\",\"active_homes\":%u,"
      "\"busy\":%u,\"databases\":",
      n->members.self.id, n->members.self.data_centre,
      n->members.self.incarnation, n->confsync.revision,
      MAX (n->confsync.newest_revision_heard, n->confsync.revision),
      n->confsync.rejected_revision, rejection ? rejection : "",
      rsn_name (node_check_ready (n)), n->watching ? "true" : "false",
      brk_is_open (&n->breaker, now_us) ? "open" : "closed",
      home_count_active (n->home), node_count_in_flight (n));
  home_write_status (n->home, out, now_us);
  g_string_append (out, ",\"peers\":");
  mbr_write_status (&n->members, out, now_us);
  g_string_append_c (out, '}');
  g_free (rejection);
}

struct mbr *
node_members (struct node *n)
{
  return &n->members;
}
