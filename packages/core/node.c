/* One proxy put together.  */
#include "node.h"

#include "units.h"
#include <jansson.h>
#include <string.h>

/* Watchers of the store in each data centre.  */
#define WATCHERS 2
/* Roles follow membership changes in batches of this length.  */
#define ROLES_INTERVAL_US (200 * US_PER_MS)
#define TICK_BUSY_US 1000
#define TICK_IDLE_US 25000
/* Request messages remembered, to drop repeated ones.  */
#define RECENT_MAX 4096
/* Request ids of one run of a proxy start at its first incarnation, shifted by
   so many bits: no two runs share an id.  */
#define RUN_ID_BITS 22
/* A VM without configuration asks the store itself after this time, plus up
   to as much again.  */
#define COLD_READ_US (1500 * US_PER_MS)
/* A store read without an answer is given up after this time.  */
#define STORE_TIMEOUT_US (5000 * US_PER_MS)

struct home_pair
{
  uint64_t epoch;
  const char *vm[2];
};

struct node
{
  struct node_options options;
  struct mbr members;
  struct spr spread;
  struct brk breaker;
  struct home *home;
  struct entry *entry;
  struct dcl_set *set;
  GQueue local_replies; /* struct wire_reply * */
  GHashTable *homes;    /* instance -> struct home_pair * */
  GHashTable *recent;   /* "vm id" of handled requests */
  GQueue recent_order;
  uint64_t roles_epoch;
  int64_t roles_us;
  bool watching;
  bool dirty;           /* the watch saw a change not read yet */
  int64_t reading_us;   /* a manifest read under way since, 0 = none */
  int64_t reconcile_us; /* next full read */
  int64_t cold_us;      /* first own read of a VM without configuration */
  GRand *random;
  int64_t event_us; /* time of the event under way */
  bool leaving;
  bool draining;
};

static double
jitter (struct node *n)
{
  return g_rand_double (n->random);
}

static const char *
region_of (const struct node *n, const char *centre)
{
  return n->set ? dcl_find_region (n->set, centre) : "";
}

/* The two preferred homes of an instance, cached until membership
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
                    region_of (n, instance->data_centre), rank);
  pair->epoch = n->members.epoch;
  return pair;
}

static enum home_role
choose_role (void *arg, const struct dcl_database *database, uint32_t i)
{
  struct node *n = arg;
  const struct dcl_instance *instance = &database->instances[i];
  const struct home_pair *pair;

  if (n->leaving)
    return HOME_NONE;
  /* Most instances are elsewhere: no hashing for them.  */
  if (strcmp (instance->data_centre, n->members.self.data_centre) != 0
      && mbr_count_in (&n->members, instance->data_centre) >= 2)
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

/* Sends an encoded message and frees it.  */
static void
send_message (struct node *n, const char *vm, bool answer, bool control,
              char *data, size_t len)
{
  const struct mbr_vm *v = mbr_find (&n->members, vm);

  if (answer || v)
    {
      ctr_add (n->options.counters, CTR_PEER_BYTES_SENT, len);
      if (control)
        ctr_add (n->options.counters, CTR_CONTROL_BYTES_SENT, len);
      n->options.peers->ops->send (
          n->options.peers, vm, answer ? NULL : v->vm.peer_address, data, len);
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

/* A home's answer.  Local ones are queued: the home is still at work.  */
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
deliver_local (struct node *n, int64_t now_us)
{
  struct wire_reply *reply;

  while ((reply = g_queue_pop_head (&n->local_replies)) != NULL)
    {
      ent_reply (n->entry, reply, now_us);
      wire_reply_clear (reply);
      g_free (reply);
    }
}

static void
on_entry_send (void *arg, const char *vm, struct wire_request *request)
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
  /* Files come from the store one value at a time.  */
  for (uint32_t i = 0; i < pull->n; i++)
    {
      ctr_add (n->options.counters, CTR_STORE_CALLS, 1);
      n->options.store->ops->read (n->options.store, STORE_BLOB,
                                   pull->hashes[i]);
    }
}

static void
on_adopt (void *arg, struct dcl_set *set, uint64_t revision)
{
  struct node *n = arg;
  struct dcl_set *old = n->set;

  n->set = set;
  g_hash_table_remove_all (n->homes);
  home_set_databases (n->home, set, n->event_us);
  ent_set_databases (n->entry, set);
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
  h.role = choose_role;
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

static struct entry *
make_entry (struct node *n)
{
  const struct node_options *o = &n->options;
  struct ent_options e = { 0 };

  e.answer = o->answer;
  e.send = on_entry_send;
  e.home = choose_home;
  e.alive = is_alive;
  e.counters = o->counters;
  e.data_centre = o->self.data_centre;
  e.region = o->self.region;
  e.first_id = o->self.incarnation << RUN_ID_BITS;
  e.jobs_max = o->jobs_max;
  e.policy = o->policy;
  e.unlimited_retries = o->unlimited_retries;
  e.unsafe_not_run = o->unsafe.no_tombstone;
  e.answer_arg = o->arg;
  e.arg = n;
  return ent_new (&e);
}

struct node *
node_new (const struct node_options *options, int64_t now_us)
{
  struct node *n = g_new0 (struct node, 1);
  struct mbr_options m = { options->self, options->counters, options->seed };
  struct spr_options s = { 0 };

  n->options = *options;
  n->random = g_rand_new_with_seed ((guint32)options->seed + 2);
  g_queue_init (&n->local_replies);
  g_queue_init (&n->recent_order);
  n->homes = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  n->recent = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  mbr_init (&n->members, &m);
  s.adopt = on_adopt;
  s.pull = on_pull;
  s.arg = n;
  s.counters = options->counters;
  s.unsafe_any_revision = options->unsafe_any_revision;
  spr_init (&n->spread, &s);
  brk_init (&n->breaker, now_us);
  n->home = make_home (n);
  n->entry = make_entry (n);
  n->cold_us
      = now_us + COLD_READ_US + (int64_t)(jitter (n) * (double)COLD_READ_US);
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
  ent_free (n->entry);
  home_free (n->home);
  spr_free (&n->spread);
  mbr_free (&n->members);
  g_hash_table_destroy (n->homes);
  g_hash_table_destroy (n->recent);
  g_queue_clear (&n->recent_order);
  g_rand_free (n->random);
  dcl_free (n->set);
  g_free (n);
}

void
node_introduce (struct node *n, const struct wire_vm *vm, int64_t now_us)
{
  mbr_introduce (&n->members, vm, now_us);
}

void
node_submit (struct node *n, const struct ent_call *call, int64_t now_us,
             int64_t wall_ms)
{
  n->event_us = now_us;
  ent_submit (n->entry, call, now_us, wall_ms);
  deliver_local (n, now_us);
}

/* One read of WHAT, if the circuit breaker lets it pass.  */
static bool
read_store (struct node *n, enum store_what what, int64_t now_us)
{
  if (!brk_allow (&n->breaker, now_us))
    {
      ctr_add (n->options.counters, CTR_STORE_BLOCKED, 1);
      return false;
    }
  ctr_add (n->options.counters, CTR_STORE_CALLS, 1);
  n->options.store->ops->read (n->options.store, what, NULL);
  return true;
}

/* The two watchers of the data centre follow the store; a VM that found no
   peer to give it the configuration reads it once itself.  */
static void
tick_store (struct node *n, int64_t now_us)
{
  bool chosen
      = !n->leaving && mbr_is_chosen (&n->members, "watcher", WATCHERS);
  bool cold = n->spread.revision == 0 && now_us >= n->cold_us;

  if (chosen != n->watching)
    {
      n->watching = chosen;
      n->reconcile_us = now_us;
      n->options.store->ops->watch (n->options.store, chosen);
    }
  if (n->reading_us != 0 && now_us - n->reading_us < STORE_TIMEOUT_US)
    return;
  if (!(chosen && (n->dirty || now_us >= n->reconcile_us)) && !cold)
    return;
  if (!read_store (n, STORE_MANIFEST, now_us))
    return;
  n->reading_us = now_us;
  if (now_us >= n->reconcile_us)
    {
      n->reconcile_us = now_us + n->options.reconcile_ms * US_PER_MS;
      read_store (n, STORE_VMS, now_us);
    }
  n->dirty = false;
  n->cold_us = now_us + COLD_READ_US;
}

static void
send_heartbeats (struct node *n, int64_t now_us)
{
  struct wire_heartbeat beat;
  const struct mbr_vm *targets[MBR_OBSERVERS + MBR_RANDOM + 1];
  uint32_t count = mbr_round (&n->members, n->spread.revision, &beat, targets,
                              G_N_ELEMENTS (targets), now_us);
  size_t len;
  char *data;

  for (uint32_t i = 0; i < count; i++)
    {
      data = wire_encode_heartbeat (&beat, &len);
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
  else if (n->dirty || n->spread.revision == 0)
    tick_store (n, now_us);
  if (n->members.epoch != n->roles_epoch && now_us >= n->roles_us)
    {
      n->roles_epoch = n->members.epoch;
      n->roles_us = now_us + ROLES_INTERVAL_US;
      home_update_roles (n->home, now_us);
      ent_check_peers (n->entry, now_us);
    }
  spr_tick (&n->spread, now_us);
  home_tick (n->home, now_us, wall_ms);
  deliver_local (n, now_us);
  ent_tick (n->entry, now_us);
  deliver_local (n, now_us);
}

int64_t
node_next_tick_us (const struct node *n, int64_t now_us)
{
  bool busy = ent_busy (n->entry) > 0 || home_busy (n->home) > 0;

  return now_us + (busy ? TICK_BUSY_US : TICK_IDLE_US);
}

void
node_on_opened (struct node *n, uint64_t conn, bool ok, int64_t now_us)
{
  n->event_us = now_us;
  home_opened (n->home, conn, ok, now_us);
  deliver_local (n, now_us);
}

void
node_on_closed (struct node *n, uint64_t conn, int64_t now_us)
{
  n->event_us = now_us;
  home_closed (n->home, conn, now_us);
  deliver_local (n, now_us);
}

void
node_on_done (struct node *n, uint64_t conn, const struct up_result *result,
              int64_t now_us)
{
  n->event_us = now_us;
  home_done (n->home, conn, result, now_us);
  deliver_local (n, now_us);
}

/* True when request ID of FROM was handled before.  */
static bool
is_repeated (struct node *n, const char *from, uint64_t id)
{
  char *key = g_strdup_printf ("%s %lu", from, id);

  if (!g_hash_table_add (n->recent, key))
    return true;
  g_queue_push_tail (&n->recent_order, key);
  if (g_queue_get_length (&n->recent_order) > RECENT_MAX)
    g_hash_table_remove (n->recent, g_queue_pop_head (&n->recent_order));
  return false;
}

static void
on_peer_pull (struct node *n, const char *from, const struct wire_pull *pull)
{
  struct wire_files answer;
  size_t len;
  char *data;

  if (!spr_answer (&n->spread, pull, &answer))
    return;
  data = wire_encode_files (&answer, &len);
  spr_free_answer (&answer);
  send_message (n, from, true, true, data, len);
}

static void
dispatch (struct node *n, const char *from, const struct wire_message *m,
          int64_t now_us)
{
  switch (m->type)
    {
    case WIRE_REQUEST:
      if (is_repeated (n, from, m->u.request->id))
        ctr_add (n->options.counters, CTR_DUPLICATE_MESSAGE, 1);
      else
        home_submit (n->home, from, m->u.request, now_us);
      break;
    case WIRE_REPLY:
      ent_reply (n->entry, m->u.reply, now_us);
      break;
    case WIRE_HEARTBEAT:
      mbr_hear (&n->members, m->u.heartbeat, now_us);
      spr_hear (&n->spread, m->u.heartbeat->self.id, m->u.heartbeat->revision,
                now_us);
      break;
    case WIRE_PULL:
      on_peer_pull (n, from, m->u.pull);
      break;
    case WIRE_FILES:
      spr_take (&n->spread, from, m->u.files, now_us);
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
    mbr_touch (&n->members, from, now_us);
  dispatch (n, from, &message, now_us);
  wire_message_clear (&message);
  deliver_local (n, now_us);
}

void
node_on_peer_lost (struct node *n, const char *vm, int64_t now_us)
{
  n->event_us = now_us;
  mbr_link_lost (&n->members, vm, now_us);
  ent_peer_lost (n->entry, vm, now_us);
  deliver_local (n, now_us);
}

/* One entry of the platform's list: {"id", "data_centre", "region", "peer",
   "admin", "state": "live"|"leaving"}.  */
static void
take_platform_vm (struct node *n, json_t *item, int64_t now_us)
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
  mbr_introduce (&n->members, &vm, now_us);
}

static void
take_platform_list (struct node *n, const char *text, size_t len,
                    int64_t now_us)
{
  json_t *root = json_loadb (text, len, 0, NULL);
  size_t i;
  json_t *item;

  json_array_foreach (root, i, item)
    take_platform_vm (n, item, now_us);
  json_decref (root);
}

void
node_on_store (struct node *n, enum store_what what, const char *hash,
               const char *text, size_t len, int64_t now_us)
{
  struct wire_files files = { 0 };
  struct wire_blob blob = { (char *)hash, (char *)text, len };
  char *copy;

  n->event_us = now_us;
  brk_report (&n->breaker, text != NULL, now_us, jitter (n));
  if (what == STORE_MANIFEST)
    n->reading_us = 0;
  if (!text)
    {
      ctr_add (n->options.counters, CTR_STORE_ERRORS, 1);
      n->dirty |= what == STORE_MANIFEST && n->watching;
      return;
    }
  if (what == STORE_VMS)
    take_platform_list (n, text, len, now_us);
  else if (what == STORE_BLOB)
    {
      files.n = 1;
      files.blobs = &blob;
      spr_take (&n->spread, "", &files, now_us);
    }
  else if (len > 0)
    {
      copy = g_strndup (text, len);
      files.manifest = copy;
      spr_take (&n->spread, "", &files, now_us);
      g_free (copy);
    }
  deliver_local (n, now_us);
}

void
node_on_watch (struct node *n, int64_t now_us)
{
  (void)now_us;
  n->dirty = true;
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
  ent_drain (n->entry);
  home_drain (n->home);
}

void
node_abort (struct node *n, int64_t now_us)
{
  ent_abort (n->entry, now_us);
}

uint32_t
node_busy (const struct node *n)
{
  return ent_busy (n->entry) + home_busy (n->home);
}

enum rsn
node_ready (const struct node *n)
{
  if (n->leaving || n->draining)
    return RSN_SHUTTING_DOWN;
  if (n->spread.revision == 0)
    return RSN_NO_CONFIGURATION;
  return RSN_OK;
}

uint64_t
node_revision (const struct node *n)
{
  return n->spread.revision;
}

void
node_write_status (const struct node *n, GString *out, int64_t now_us)
{
  char *rejection
      = n->spread.rejection ? g_strescape (n->spread.rejection, "") : NULL;

  g_string_append_printf (
      out,
      "{\"vm\":\"%s\",\"data_centre\":\"%s\",\"incarnation\":%lu,"
      "\"revision\":%lu,\"newest_revision_heard\":%lu,"
      "\"rejected_revision\":%lu,\"rejection\":\"%s\",\"ready\":\"%s\","
      "\"watcher\":%s,\"store_circuit\":\"%s\",\"active_homes\":%u,"
      "\"busy\":%u,\"databases\":",
      n->members.self.id, n->members.self.data_centre,
      n->members.self.incarnation, n->spread.revision,
      MAX (n->spread.heard, n->spread.revision), n->spread.rejected,
      rejection ? rejection : "", rsn_text (node_ready (n)),
      n->watching ? "true" : "false",
      brk_is_open (&n->breaker, now_us) ? "open" : "closed",
      home_count_active (n->home), node_busy (n));
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
