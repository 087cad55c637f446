/* Configuration and instances, as the directory reports them.  */
#include "poolerint.h"

#include <string.h>

/* Initial estimates of the round trip, until one is measured.  */
#define ROUND_TRIP_LOCAL_US 1000
#define ROUND_TRIP_REGION_US 3000
#define ROUND_TRIP_REMOTE_US 20000

typedef void visit_fn (struct plr *p, struct svc_instance *i, const void *data,
                       int64_t now_us);

static int64_t
initial_round_trip_us (const struct plr *p, const char *data_centre)
{
  const char *own_region;
  const char *region;

  if (strcmp (data_centre, p->options.data_centre) == 0)
    return ROUND_TRIP_LOCAL_US;
  own_region
      = g_hash_table_lookup (p->options.regions, p->options.data_centre);
  region = g_hash_table_lookup (p->options.regions, data_centre);
  if (own_region && region && strcmp (own_region, region) == 0)
    return ROUND_TRIP_REGION_US;
  return ROUND_TRIP_REMOTE_US;
}

bool
plr_configure (struct plr *p, struct dir_config *config, int64_t now_us)
{
  GHashTableIter iter;
  gpointer value;

  if (config->version <= plr_config_version (p))
    {
      ctr_add (p->options.counters, CTR_CONFIG_STALE, 1);
      dir_config_free (config);
      return false;
    }
  EV (p->options.log, now_us, EV_CONFIG,
      EV_INT ("version", (int64_t)config->version),
      EV_INT ("before", (int64_t)plr_config_version (p)),
      EV_INT ("routes", g_hash_table_size (config->routes)),
      EV_INT ("services", g_hash_table_size (config->services)),
      EV_INT ("accounts",
              config->accounts ? acc_table_count (config->accounts) : 0));
  ctr_add (p->options.counters, CTR_CONFIG_ADOPTED, 1);
  lim_set_accounts (p->limits, config->accounts);
  dir_config_free (p->config);
  p->config = config;
  g_hash_table_iter_init (&iter, config->services);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const struct dir_service *d = value;
      struct svc *s = plr_get_service (p, d->name);

      /* Probe a new service before its first caller connects.  */
      if (s->connections_max == 0)
        s->last_used_us = now_us;
      if (s->connections_max != d->connections_max)
        p->vms.generation++;
      s->connections_max = d->connections_max;
      s->sync_replicas = d->sync_replicas;
      if (s->by_account != (config->accounts != NULL))
        p->vms.generation++;
      s->by_account = config->accounts != NULL;
    }
  return true;
}

static void
log_instance (struct plr *p, const struct dir_instance *d, const char *what,
              int64_t now_us)
{
  EV (p->options.log, now_us, EV_INSTANCE, EV_TEXT ("service", d->service),
      EV_TEXT ("instance", d->id), EV_TEXT ("what", what),
      EV_TEXT ("role", d->reports_primary ? "primary" : "replica"),
      EV_TEXT ("state", d->draining ? "draining" : "ready"));
}

void
plr_remove_instance (struct plr *p, struct svc_instance *i, int64_t now_us)
{
  struct svc *s = i->svc;

  /* Exclude it first: the statements that it loses are retried at once.  */
  i->unresponsive = true;
  if (s->primary == i)
    svc_clear_primary (s, now_us);
  plr_close_links (p, i, true, now_us);
  for (GList *l = p->sessions.head; l; l = l->next)
    {
      struct ses *session = l->data;

      if (session->avoid == i)
        session->avoid = NULL;
    }
  plr_free_closed_links (p);
  svc_remove (s, i);
  s->voters_generation = 0;
}

/* Returns the instance of entry D, which is added when its id is new.  The
   same id with another address or start time is a new process, so the old
   instance is removed.  */
static struct svc_instance *
find_or_add_instance (struct plr *p, struct svc *s,
                      const struct dir_instance *d, int64_t now_us)
{
  struct svc_instance *i = svc_find (s, d->id);

  if (i && dir_instance_is_same (i->entry, d))
    return i;
  if (i)
    plr_remove_instance (p, i, now_us);
  i = svc_add (s, d);
  s->voters_generation = 0;
  i->round_trip_us = initial_round_trip_us (p, d->data_centre);
  log_instance (p, d, "listed", now_us);
  return i;
}

void
plr_register_instance (struct plr *p, const struct dir_instance *instance,
                       int64_t now_us)
{
  struct svc *s = plr_get_service (p, instance->service);
  struct svc_instance *i = find_or_add_instance (p, s, instance, now_us);
  bool changed = i->entry->draining != instance->draining
                 || i->entry->reports_primary != instance->reports_primary
                 || i->missing_since_us > 0;

  i->missing_since_us = 0;
  if (changed)
    log_instance (p, instance, "changed", now_us);
  dir_instance_free (i->entry);
  i->entry = dir_instance_copy (instance);
  if (!instance->draining)
    i->draining_since_us = 0;
  else if (i->draining_since_us == 0)
    i->draining_since_us = now_us;
  if (!s->primary && instance->reports_primary)
    s->last_probe_us = 0;
  if (changed)
    plr_dispatch_waiting (p, s, now_us);
}

void
plr_remember_instance (struct plr *p, const struct dir_instance *entry,
                       int64_t now_us)
{
  struct svc *s = plr_get_service (p, entry->service);
  struct svc_instance *i;

  if (svc_find (s, entry->id))
    return;
  i = find_or_add_instance (p, s, entry, now_us);
  svc_note_lapsed (i, now_us);
  log_instance (p, entry, "remembered", now_us);
}

static void
mark_missing (struct plr *p, struct svc_instance *i, int64_t now_us)
{
  if (i->missing_since_us > 0)
    return;
  i->missing_since_us = now_us;
  log_instance (p, i->entry, "missing", now_us);
}

void
plr_unregister_instance (struct plr *p, const char *id, int64_t now_us)
{
  GHashTableIter iter;
  gpointer service;

  g_hash_table_iter_init (&iter, p->services);
  while (g_hash_table_iter_next (&iter, NULL, &service))
    {
      struct svc_instance *i = svc_find (service, id);

      if (i)
        mark_missing (p, i, now_us);
    }
}

/* Calls VISIT for every instance of every service.  */
static void
for_each_instance (struct plr *p, visit_fn *visit, const void *data,
                   int64_t now_us)
{
  GHashTableIter iter;
  gpointer service;

  g_hash_table_iter_init (&iter, p->services);
  while (g_hash_table_iter_next (&iter, NULL, &service))
    {
      struct svc *s = service;

      for (guint n = 0; n < s->instances->len; n++)
        visit (p, g_ptr_array_index (s->instances, n), data, now_us);
    }
}

/* Restarts the time that I has been missing.  This is done while the directory
   is unreachable, so that the time counts from its return.  */
static void
restart_missing (struct plr *p, struct svc_instance *i, const void *unused,
                 int64_t now_us)
{
  (void)p;
  (void)unused;
  if (i->missing_since_us > 0)
    i->missing_since_us = now_us;
}

void
plr_set_directory_reachable (struct plr *p, bool reachable, int64_t now_us)
{
  if (reachable == p->directory_reachable && reachable)
    return;
  p->directory_reachable = reachable;
  for_each_instance (p, restart_missing, NULL, now_us);
}
