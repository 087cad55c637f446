/* Membership on the HTTP path.  */
#include "member.h"

#include "rendezvous.h"
#include "units.h"
#include <string.h>

/* Number of heartbeats that carry a changed record, per doubling of the
   fleet's size.  */
#define SENDS_FACTOR 1
/* One round in so many, on average, also sends a heartbeat to a dead VM, so
   that two halves of a fleet find each other again after a partition.  */
#define PROBE_DEAD_ROUNDS 4

void
mbr_init (struct mbr *m, const struct mbr_options *options)
{
  memset (m, 0, sizeof *m);
  m->options = *options;
  m->self = options->self;
  m->vms = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, g_free);
  m->ring = g_ptr_array_new ();
  m->random = g_rand_new_with_seed ((guint32)options->seed);
  m->ring_dirty = true;
  m->centres = g_hash_table_new_full (g_str_hash, g_str_equal, g_free,
                                      (GDestroyNotify)g_ptr_array_unref);
  m->centres_epoch = UINT64_MAX;
}

void
mbr_free (struct mbr *m)
{
  g_hash_table_destroy (m->centres);
  g_hash_table_destroy (m->vms);
  g_ptr_array_free (m->ring, TRUE);
  g_rand_free (m->random);
}

static bool
is_usable (const struct mbr_vm *v)
{
  return !v->candidate
         && (v->vm.state == VM_ALIVE || v->vm.state == VM_SUSPECT);
}

static int32_t
compare_ring (gconstpointer a, gconstpointer b)
{
  const struct mbr_vm *x = *(struct mbr_vm *const *)a;
  const struct mbr_vm *y = *(struct mbr_vm *const *)b;
  uint64_t wx = rdv_weight ("ring", x->vm.id);
  uint64_t wy = rdv_weight ("ring", y->vm.id);

  return wx < wy ? -1 : wx > wy ? 1 : strcmp (x->vm.id, y->vm.id);
}

/* Index of the first ring member at or after this VM's own position.  */
static uint32_t
own_ring_index (const struct mbr *m)
{
  uint64_t own = rdv_weight ("ring", m->self.id);
  uint32_t low = 0;
  uint32_t high = m->ring->len;

  while (low < high)
    {
      uint32_t middle = low + (high - low) / 2;
      const struct mbr_vm *v = g_ptr_array_index (m->ring, middle);

      if (rdv_weight ("ring", v->vm.id) < own)
        low = middle + 1;
      else
        high = middle;
    }
  return low;
}

static struct mbr_vm *
ring_at (const struct mbr *m, int64_t index)
{
  int64_t n = m->ring->len;

  return g_ptr_array_index (m->ring, (uint32_t)(((index % n) + n) % n));
}

static void
rebuild_ring (struct mbr *m, int64_t now_us)
{
  GHashTableIter iter;
  gpointer value;
  int64_t own;

  g_ptr_array_set_size (m->ring, 0);
  g_hash_table_iter_init (&iter, m->vms);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    if (((struct mbr_vm *)value)->vm.state != VM_DEAD)
      g_ptr_array_add (m->ring, value);
  g_ptr_array_sort (m->ring, compare_ring);
  m->ring_dirty = false;
  own = own_ring_index (m);
  for (uint32_t i = 0; i < m->ring->len; i++)
    {
      struct mbr_vm *v = g_ptr_array_index (m->ring, i);
      bool observed = false;

      for (int64_t k = 1; k <= MBR_OBSERVERS && k <= (int64_t)m->ring->len;
           k++)
        observed |= ring_at (m, own - k) == v;
      /* A newly observed VM gets the full time for its first heartbeat.  */
      if (observed && !v->observed)
        v->last_heard_us = now_us;
      v->observed = observed;
    }
}

static int32_t
sends_per_change (const struct mbr *m)
{
  int32_t doublings = 1;

  for (uint32_t n = g_hash_table_size (m->vms) + 1; n > 1; n /= 2)
    doublings++;
  return SENDS_FACTOR * doublings;
}

static void
mark_changed (struct mbr *m, struct mbr_vm *v, int64_t now_us)
{
  v->changed_us = now_us;
  v->sends_left = sends_per_change (m);
  m->epoch++;
  m->ring_dirty = true;
}

static struct mbr_vm *
add_vm (struct mbr *m, const struct wire_vm *vm, int64_t now_us)
{
  struct mbr_vm *v = g_new0 (struct mbr_vm, 1);

  v->vm = *vm;
  g_hash_table_insert (m->vms, v->vm.id, v);
  mark_changed (m, v, now_us);
  return v;
}

static struct mbr_vm *
find_vm (const struct mbr *m, const char *id)
{
  return g_hash_table_lookup (m->vms, id);
}

const struct mbr_vm *
mbr_find (const struct mbr *m, const char *vm)
{
  return find_vm (m, vm);
}

static void
set_state (struct mbr *m, struct mbr_vm *v, enum wire_vm_state state,
           int64_t now_us)
{
  if (v->vm.state == state)
    return;
  v->vm.state = state;
  mark_changed (m, v, now_us);
}

static void
clear_suspicion (struct mbr *m, struct mbr_vm *v, int64_t now_us)
{
  if (v->vm.state != VM_SUSPECT)
    return;
  v->n_suspectors = 0;
  v->vm.suspected_by[0] = '\0';
  set_state (m, v, VM_ALIVE, now_us);
}

/* Number of observers that must suspect a VM: no more than there are besides
   the VM itself and this one, but at least one.  */
static uint32_t
needed_suspectors (const struct mbr *m)
{
  return MAX (1, MIN (MBR_DEAD_OBSERVERS, m->ring->len - 1));
}

static void
add_suspector (struct mbr *m, struct mbr_vm *v, const char *by, int64_t now_us)
{
  for (uint32_t i = 0; i < v->n_suspectors; i++)
    if (strcmp (v->suspectors[i], by) == 0)
      return;
  if (v->n_suspectors < MBR_OBSERVERS)
    g_strlcpy (v->suspectors[v->n_suspectors++], by, sizeof v->suspectors[0]);
  if (v->vm.state == VM_ALIVE)
    {
      v->suspected_us = now_us;
      g_strlcpy (v->vm.suspected_by, by, sizeof v->vm.suspected_by);
      ctr_add (m->options.counters, CTR_PEERS_SUSPECTED, 1);
      set_state (m, v, VM_SUSPECT, now_us);
    }
  if (v->vm.state == VM_SUSPECT && v->n_suspectors >= needed_suspectors (m))
    set_state (m, v, VM_DEAD, now_us);
}

void
mbr_add_candidate (struct mbr *m, const struct wire_vm *vm, int64_t now_us)
{
  struct mbr_vm *v;

  if (strcmp (vm->id, m->self.id) == 0)
    return;
  v = find_vm (m, vm->id);
  if (!v)
    {
      v = add_vm (m, vm, now_us);
      v->last_heard_us = now_us;
      v->candidate = true;
      return;
    }
  if (vm->state == VM_LEAVING && v->vm.state == VM_ALIVE)
    set_state (m, v, VM_LEAVING, now_us);
}

/* A record says that this VM is suspect or dead: a higher incarnation refutes
   it.  */
static void
refute (struct mbr *m, const struct wire_vm *vm)
{
  if (vm->incarnation >= m->self.incarnation
      && (vm->state == VM_SUSPECT || vm->state == VM_DEAD))
    m->self.incarnation = vm->incarnation + 1;
}

/* Merges a record that a peer's heartbeat carried.  */
static void
merge_record (struct mbr *m, const struct wire_vm *vm, int64_t now_us)
{
  struct mbr_vm *v;

  if (strcmp (vm->id, m->self.id) == 0)
    {
      refute (m, vm);
      return;
    }
  v = find_vm (m, vm->id);
  if (!v)
    {
      v = add_vm (m, vm, now_us);
      v->last_heard_us = now_us;
      return;
    }
  if (vm->incarnation < v->vm.incarnation)
    return;
  if (vm->incarnation > v->vm.incarnation)
    {
      v->vm = *vm;
      v->candidate = false;
      v->n_suspectors = 0;
      v->last_heard_us = MAX (v->last_heard_us,
                              now_us - MBR_SUSPECT_AFTER_MS * US_PER_MS / 2);
      mark_changed (m, v, now_us);
      return;
    }
  if (vm->state == VM_SUSPECT
      && now_us - v->last_heard_us > MBR_SUSPECT_AFTER_MS * US_PER_MS / 2)
    add_suspector (m, v, vm->suspected_by, now_us);
  else if (vm->state == VM_DEAD
           && now_us - v->last_heard_us > MBR_SUSPECT_AFTER_MS * US_PER_MS / 2)
    set_state (m, v, VM_DEAD, now_us);
  else if (vm->state == VM_LEAVING && v->vm.state != VM_DEAD)
    set_state (m, v, VM_LEAVING, now_us);
}

void
mbr_note_heartbeat (struct mbr *m, const struct wire_heartbeat *beat,
                    int64_t now_us)
{
  struct mbr_vm *v;

  ctr_add (m->options.counters, CTR_HEARTBEATS_HEARD, 1);
  if (strcmp (beat->self.id, m->self.id) == 0)
    return;
  v = find_vm (m, beat->self.id);
  if (!v)
    v = add_vm (m, &beat->self, now_us);
  /* A late heartbeat of an earlier process of this VM.  */
  if (beat->self.incarnation < v->vm.incarnation)
    return;
  v->last_heard_us = now_us;
  v->revision = MAX (v->revision, beat->revision);
  if (beat->self.incarnation > v->vm.incarnation
      || v->vm.state != beat->self.state)
    {
      v->vm = beat->self;
      v->candidate = false;
      v->n_suspectors = 0;
      mark_changed (m, v, now_us);
    }
  for (uint32_t i = 0; i < beat->n; i++)
    merge_record (m, &beat->members[i], now_us);
}

void
mbr_note_alive (struct mbr *m, const char *vm, int64_t now_us)
{
  struct mbr_vm *v = find_vm (m, vm);

  if (!v)
    return;
  v->last_heard_us = now_us;
  clear_suspicion (m, v, now_us);
}

void
mbr_link_lost (struct mbr *m, const char *vm, int64_t now_us)
{
  struct mbr_vm *v = find_vm (m, vm);

  if (v && is_usable (v)
      && now_us - v->last_heard_us > MBR_HEARTBEAT_MS * US_PER_MS)
    add_suspector (m, v, m->self.id, now_us);
}

static void
tick_vm (struct mbr *m, struct mbr_vm *v, int64_t now_us)
{
  int64_t silent_us = now_us - v->last_heard_us;

  if (v->vm.state == VM_DEAD)
    return;
  if (v->observed && silent_us > MBR_SUSPECT_AFTER_MS * US_PER_MS)
    {
      if (v->vm.state == VM_LEAVING)
        set_state (m, v, VM_DEAD, now_us);
      else
        add_suspector (m, v, m->self.id, now_us);
    }
  else if (v->vm.state == VM_SUSPECT
           && now_us - v->suspected_us > MBR_SUSPICION_TTL_MS * US_PER_MS)
    clear_suspicion (m, v, now_us);
}

bool
mbr_tick (struct mbr *m, int64_t now_us)
{
  GHashTableIter iter;
  gpointer value;

  if (now_us < m->next_heartbeat_us)
    return false;
  /* Random within 10% of the period, so that VMs do not send in step.  */
  m->next_heartbeat_us
      = now_us + MBR_HEARTBEAT_MS * US_PER_MS * 9 / 10
        + g_rand_int_range (m->random, 0, MBR_HEARTBEAT_MS * US_PER_MS / 5);
  if (m->ring_dirty)
    rebuild_ring (m, now_us);
  g_hash_table_iter_init (&iter, m->vms);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      struct mbr_vm *v = value;

      tick_vm (m, v, now_us);
      if (v->vm.state == VM_DEAD
          && now_us - v->changed_us > MBR_FORGET_MS * US_PER_MS)
        {
          g_hash_table_iter_remove (&iter);
          m->epoch++;
        }
    }
  if (m->ring_dirty)
    rebuild_ring (m, now_us);
  return true;
}

/* Adds V to the targets unless it is there.  */
static uint32_t
add_target (const struct mbr_vm **targets, uint32_t n, uint32_t max,
            const struct mbr_vm *v)
{
  for (uint32_t i = 0; i < n; i++)
    if (targets[i] == v)
      return n;
  if (n < max)
    targets[n++] = v;
  return n;
}

static const struct mbr_vm *
random_dead (struct mbr *m)
{
  GHashTableIter iter;
  gpointer value;
  const struct mbr_vm *found = NULL;
  int32_t seen = 0;

  g_hash_table_iter_init (&iter, m->vms);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    if (((struct mbr_vm *)value)->vm.state == VM_DEAD
        && g_rand_int_range (m->random, 0, ++seen) == 0)
      found = value;
  return found;
}

static void
fill_records (struct mbr *m, struct wire_heartbeat *beat)
{
  GHashTableIter iter;
  gpointer value;

  /* Changed records go out in the order of the hash table, each sends_left
     times; after that a record counts as known to all.  */
  g_hash_table_iter_init (&iter, m->vms);
  while (beat->n < MBR_GOSSIP_MAX
         && g_hash_table_iter_next (&iter, NULL, &value))
    {
      struct mbr_vm *v = value;

      if (v->sends_left <= 0 || v->candidate)
        continue;
      v->sends_left--;
      beat->members[beat->n++] = v->vm;
    }
  /* One more record, chosen at random, repairs what a peer has missed.  */
  if (m->ring->len > 0)
    {
      const struct mbr_vm *v
          = ring_at (m, g_rand_int_range (m->random, 0, (gint32)m->ring->len));

      if (!v->candidate)
        beat->members[beat->n++] = v->vm;
    }
}

uint32_t
mbr_prepare_heartbeat (struct mbr *m, uint64_t revision,
                       struct wire_heartbeat *beat,
                       const struct mbr_vm **targets, uint32_t max,
                       int64_t now_us)
{
  uint32_t n = 0;
  int64_t own;
  const struct mbr_vm *dead;

  memset (beat, 0, sizeof *beat);
  beat->self = m->self;
  beat->revision = revision;
  if (m->ring_dirty)
    rebuild_ring (m, now_us);
  own = own_ring_index (m);
  for (int64_t k = 0; k < MBR_OBSERVERS && k < (int64_t)m->ring->len; k++)
    n = add_target (targets, n, max, ring_at (m, own + k));
  for (int32_t k = 0; k < MBR_RANDOM_TARGETS && m->ring->len > 0; k++)
    n = add_target (
        targets, n, max,
        ring_at (m, g_rand_int_range (m->random, 0, (gint32)m->ring->len)));
  if (g_rand_int_range (m->random, 0, PROBE_DEAD_ROUNDS) == 0)
    {
      dead = random_dead (m);
      if (dead)
        {
          n = add_target (targets, n, max, dead);
          /* It learns that it is considered dead, and refutes that.  */
          beat->members[beat->n++] = dead->vm;
        }
    }
  fill_records (m, beat);
  ctr_add (m->options.counters, CTR_HEARTBEATS_SENT, n);
  return n;
}

void
mbr_leave (struct mbr *m, int64_t now_us)
{
  m->self.state = VM_LEAVING;
  m->self.incarnation++;
  m->epoch++;
  m->next_heartbeat_us = now_us;
}

bool
mbr_is_usable (const struct mbr *m, const char *vm)
{
  const struct mbr_vm *v;

  if (strcmp (vm, m->self.id) == 0)
    return true;
  v = find_vm (m, vm);
  return v && !v->candidate && v->vm.state != VM_DEAD;
}

uint32_t
mbr_count_alive (const struct mbr *m)
{
  GHashTableIter iter;
  gpointer value;
  uint32_t n = 1;

  g_hash_table_iter_init (&iter, m->vms);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    n += is_usable (value);
  return n;
}

/* Locality of a VM: 2 same data centre, 1 same region, 0 elsewhere.  */
static int32_t
locality (const struct wire_vm *vm, const char *centre, const char *region)
{
  if (strcmp (vm->data_centre, centre) == 0)
    return 2;
  return strcmp (vm->region, region) == 0;
}

/* The two VMs that rank first so far.  */
struct top_two
{
  const char *id[2];
  int32_t near[2];
  uint64_t weight[2];
};

static void
rank_vm (struct top_two *top, const char *key, const struct wire_vm *vm,
         const char *centre, const char *region)
{
  int32_t near = locality (vm, centre, region);
  uint64_t weight;
  int32_t at = 2;

  if (top->id[1] && near < top->near[1])
    return;
  weight = rdv_weight (key, vm->id);
  while (at > 0
         && (!top->id[at - 1] || near > top->near[at - 1]
             || (near == top->near[at - 1] && weight > top->weight[at - 1])))
    at--;
  if (at == 2)
    return;
  if (at == 0)
    {
      top->id[1] = top->id[0];
      top->near[1] = top->near[0];
      top->weight[1] = top->weight[0];
    }
  top->id[at] = vm->id;
  top->near[at] = near;
  top->weight[at] = weight;
}

static void
index_vm (struct mbr *m, const struct wire_vm *vm)
{
  GPtrArray *list = g_hash_table_lookup (m->centres, vm->data_centre);

  if (!list)
    {
      list = g_ptr_array_new ();
      g_hash_table_insert (m->centres, g_strdup (vm->data_centre), list);
    }
  g_ptr_array_add (list, (gpointer)vm);
}

/* The usable VMs of a data centre, NULL when there are none.  */
static GPtrArray *
usable_in_centre (struct mbr *m, const char *centre)
{
  GHashTableIter iter;
  gpointer value;

  if (m->centres_epoch != m->epoch)
    {
      g_hash_table_remove_all (m->centres);
      if (m->self.state == VM_ALIVE)
        index_vm (m, &m->self);
      g_hash_table_iter_init (&iter, m->vms);
      while (g_hash_table_iter_next (&iter, NULL, &value))
        if (is_usable (value))
          index_vm (m, &((struct mbr_vm *)value)->vm);
      m->centres_epoch = m->epoch;
    }
  return g_hash_table_lookup (m->centres, centre);
}

uint32_t
mbr_count_in_centre (struct mbr *m, const char *centre)
{
  GPtrArray *list = usable_in_centre (m, centre);

  return list ? list->len : 0;
}

static void
rank_list (struct top_two *top, const char *key, GPtrArray *list,
           const char *centre, const char *region)
{
  for (uint32_t i = 0; i < list->len; i++)
    rank_vm (top, key, g_ptr_array_index (list, i), centre, region);
}

const char *
mbr_pick (struct mbr *m, const char *key, const char *centre,
          const char *region, uint32_t rank)
{
  struct top_two top = { { NULL, NULL }, { 0, 0 }, { 0, 0 } };
  GPtrArray *local = usable_in_centre (m, centre);
  GHashTableIter iter;
  gpointer value;

  if (local)
    rank_list (&top, key, local, centre, region);
  /* Other data centres are used only when CENTRE has fewer than two VMs.  */
  if (!top.id[1])
    {
      g_hash_table_iter_init (&iter, m->centres);
      while (g_hash_table_iter_next (&iter, NULL, &value))
        if (value != local)
          rank_list (&top, key, value, centre, region);
    }
  return rank < 2 && top.id[rank] ? top.id[rank] : top.id[0];
}

bool
mbr_is_among_best (const struct mbr *m, const char *key, uint32_t count)
{
  uint64_t own = rdv_weight (key, m->self.id);
  GHashTableIter iter;
  gpointer value;
  uint32_t better = 0;

  if (m->self.state != VM_ALIVE)
    return false;
  g_hash_table_iter_init (&iter, m->vms);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const struct mbr_vm *v = value;

      better += is_usable (v)
                && strcmp (v->vm.data_centre, m->self.data_centre) == 0
                && rdv_weight (key, v->vm.id) > own;
    }
  return better < count;
}

void
mbr_write_status (const struct mbr *m, GString *out, int64_t now_us)
{
  static const char *const states[]
      = { "alive", "suspect", "leaving", "dead" };
  GHashTableIter iter;
  gpointer value;
  const char *comma = "";

  g_string_append_c (out, '[');
  g_hash_table_iter_init (&iter, m->vms);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const struct mbr_vm *v = value;

      g_string_append_printf (
          out,
          "%s{\"vm\":\"%s\",\"data_centre\":\"%s\",\"state\":\"%s\","
          "\"incarnation\":%lu,\"revision\":%lu,\"heard_ms\":%ld,"
          "\"admin\":\"%s\"}",
          comma, v->vm.id, v->vm.data_centre, states[v->vm.state],
          v->vm.incarnation, v->revision,
          (now_us - v->last_heard_us) / US_PER_MS, v->vm.admin_address);
      comma = ",";
    }
  g_string_append_c (out, ']');
}
