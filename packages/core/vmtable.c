/* The table of proxies and the homes of instances.  */
#include "vmtable.h"

#include "rendezvous.h"
#include <math.h>
#include <string.h>

/* Added to the score once for the instance's region and once for its data
   centre: more than any hash score, so that proximity decides first.  */
#define PROXIMITY_BONUS 1e12
/* Above this number of proxies each one sees too little of the load to run the
   most urgent statements first; a few homes see enough of it.  */
#define DIRECT_VMS_MAX 24
/* Proxies also use homes when each would have fewer connections than this: two
   for concurrent transactions, and two that are free after a power loss, when
   the instance still counts the connections from before it.  */
#define DIRECT_LINKS_PER_VM_MIN 4
/* Proxies that start together register within this time of one another.  */
#define STABLE_US 300000
/* Assumed for a proxy that doesn't report its capacity, in cores.  */
#define CAPACITY_DEFAULT 0.25

void
vmt_init (struct vmt_table *t, const char *own_name, GHashTable *regions)
{
  t->vms = g_ptr_array_new ();
  t->generation = 1;
  t->own_name = g_strdup (own_name);
  t->regions = regions;
}

static void
free_vm (struct vmt_vm *vm)
{
  g_free (vm->name);
  g_free (vm->address);
  g_free (vm->data_centre);
  g_free (vm);
}

void
vmt_free (struct vmt_table *t)
{
  for (guint i = 0; i < t->vms->len; i++)
    free_vm (g_ptr_array_index (t->vms, i));
  g_ptr_array_free (t->vms, TRUE);
  g_free (t->own_name);
}

void
vmt_remove (struct vmt_table *t, const char *name)
{
  for (guint i = 0; i < t->vms->len; i++)
    {
      struct vmt_vm *vm = g_ptr_array_index (t->vms, i);

      if (strcmp (vm->name, name) != 0)
        continue;
      g_ptr_array_remove_index_fast (t->vms, i);
      free_vm (vm);
      t->generation++;
      return;
    }
}

void
vmt_set (struct vmt_table *t, const char *name, const char *address,
         const char *data_centre, double capacity)
{
  struct vmt_vm *vm = g_new0 (struct vmt_vm, 1);

  vmt_remove (t, name);
  vm->name = g_strdup (name);
  vm->address = g_strdup (address);
  vm->data_centre = g_strdup (data_centre);
  vm->capacity = capacity > 0 ? capacity : CAPACITY_DEFAULT;
  g_ptr_array_add (t->vms, vm);
  t->generation++;
}

void
vmt_await_peers (struct vmt_table *t)
{
  t->incomplete = true;
}

void
vmt_note_first_listing (struct vmt_table *t, bool was_registered,
                        int64_t now_us)
{
  t->first_listed_us = now_us;
  t->unchanged_since_us = now_us;
  t->n_last_seen = t->vms->len;
  if (was_registered)
    t->incomplete = false;
}

bool
vmt_check_complete (struct vmt_table *t, int64_t now_us)
{
  if (!t->incomplete)
    return true;
  if (t->first_listed_us == 0)
    return false;
  if (t->vms->len != t->n_last_seen)
    t->unchanged_since_us = now_us;
  t->n_last_seen = t->vms->len;
  if (now_us - t->unchanged_since_us >= STABLE_US
      || now_us - t->first_listed_us >= VMT_STARTUP_MAX_US)
    t->incomplete = false;
  return !t->incomplete;
}

const struct vmt_vm *
vmt_find (const struct vmt_table *t, const char *name)
{
  for (guint i = 0; name && i < t->vms->len; i++)
    {
      const struct vmt_vm *vm = g_ptr_array_index (t->vms, i);

      if (strcmp (vm->name, name) == 0)
        return vm;
    }
  return NULL;
}

/* Returns the weight of VM as the place of KEY, in proportion to its capacity.
 */
static double
capacity_score (const struct vmt_vm *vm, const char *key)
{
  double share
      = ((double)rdv_weight (key, vm->name) + 1) / 18446744073709551617.0;

  return -vm->capacity / log (share);
}

/* Returns the weighted rendezvous score, raised by the proximity bonus.  */
static double
proximity_score (const struct vmt_table *t, const struct vmt_vm *vm,
                 const struct dir_instance *instance)
{
  double score = capacity_score (vm, instance->id);
  const char *region = g_hash_table_lookup (t->regions, vm->data_centre);
  const char *instance_region
      = g_hash_table_lookup (t->regions, instance->data_centre);

  if (strcmp (vm->data_centre, instance->data_centre) == 0)
    score += PROXIMITY_BONUS;
  if (region && instance_region && strcmp (region, instance_region) == 0)
    score += PROXIMITY_BONUS;
  return score;
}

/* Inserts VM into OUT, which keeps the MAX best VMs in descending order of
   their SCORES.  */
static void
insert_best (struct vmt_homes *out, double *scores, uint32_t max,
             const struct vmt_vm *vm, double score)
{
  uint32_t at = out->n;

  while (at > 0 && scores[at - 1] < score)
    at--;
  if (at >= max)
    return;
  if (out->n < max)
    out->n++;
  for (uint32_t k = out->n - 1; k > at; k--)
    {
      out->vms[k] = out->vms[k - 1];
      scores[k] = scores[k - 1];
    }
  out->vms[at] = vm;
  scores[at] = score;
}

bool
vmt_is_home (const struct vmt_homes *h, const char *name)
{
  for (uint32_t k = 0; k < h->n; k++)
    if (strcmp (h->vms[k]->name, name) == 0)
      return true;
  return false;
}

static bool
may_connect_directly (guint n_vms, int32_t connections_max)
{
  if (n_vms <= 1)
    return true;
  return n_vms <= DIRECT_VMS_MAX
         && (int64_t)n_vms * DIRECT_LINKS_PER_VM_MIN <= connections_max;
}

static void
choose_best (const struct vmt_table *t, const struct dir_instance *instance,
             uint32_t max, struct vmt_homes *out)
{
  double scores[VMT_HOMES_MAX] = { 0 };

  for (guint i = 0; i < t->vms->len; i++)
    {
      const struct vmt_vm *vm = g_ptr_array_index (t->vms, i);

      insert_best (out, scores, max, vm, proximity_score (t, vm, instance));
    }
  out->includes_own = vmt_is_home (out, t->own_name);
}

static uint32_t
count_homes (int32_t connections_max, uint32_t per_home)
{
  return CLAMP ((uint32_t)MAX (connections_max, 0) / per_home, 2,
                VMT_HOMES_MAX);
}

void
vmt_choose_homes (const struct vmt_table *t,
                  const struct dir_instance *instance, int32_t connections_max,
                  struct vmt_homes *out)
{
  memset (out, 0, sizeof *out);
  out->generation = t->generation;
  out->direct = may_connect_directly (t->vms->len, connections_max);
  if (!out->direct)
    choose_best (t, instance,
                 count_homes (connections_max, VMT_LINKS_PER_HOME), out);
}

void
vmt_choose_account_homes (const struct vmt_table *t,
                          const struct dir_instance *instance,
                          int32_t connections_max, struct vmt_homes *out)
{
  memset (out, 0, sizeof *out);
  out->generation = t->generation;
  out->direct = t->vms->len <= 1;
  if (!out->direct)
    choose_best (t, instance,
                 count_homes (connections_max, VMT_ACCOUNT_LINKS_PER_HOME),
                 out);
}

const struct vmt_vm *
vmt_find_account_home (const struct vmt_homes *h, const char *account,
                       vmt_skip_fn *skip, void *arg)
{
  const struct vmt_vm *best = NULL;
  const struct vmt_vm *first = NULL;
  double best_score = 0;
  double first_score = 0;

  for (uint32_t k = 0; k < h->n; k++)
    {
      const struct vmt_vm *vm = h->vms[k];
      double score = capacity_score (vm, account);

      if (!first || score > first_score)
        {
          first = vm;
          first_score = score;
        }
      if (skip (arg, vm) || (best && score <= best_score))
        continue;
      best = vm;
      best_score = score;
    }
  return best ? best : first;
}
