/* The directory as the pooler takes it in: configuration and instances.  */
#include "poolerint.h"

#include <string.h>

/* Round trips assumed before one was measured.  */
#define NEAR_US 1000
#define REGION_US 3000
#define FAR_US 20000

typedef void visit_fn (struct plr *p, struct svc_instance *i, const void *data,
                       int64_t now_us);

static int64_t
first_round_trip_us (const struct plr *p, const char *data_centre)
{
  const char *own_region;
  const char *region;

  if (strcmp (data_centre, p->o.data_centre) == 0)
    return NEAR_US;
  own_region = g_hash_table_lookup (p->o.regions, p->o.data_centre);
  region = g_hash_table_lookup (p->o.regions, data_centre);
  if (own_region && region && strcmp (own_region, region) == 0)
    return REGION_US;
  return FAR_US;
}

bool
plr_configure (struct plr *p, struct dir_config *config, int64_t now_us)
{
  GHashTableIter iter;
  gpointer value;

  if (config->version <= plr_version (p))
    {
      ctr_add (p->o.counters, CTR_CONFIG_STALE, 1);
      dir_config_free (config);
      return false;
    }
  EV (p->o.log, now_us, EV_CONFIG,
      EV_INT ("version", (int64_t)config->version),
      EV_INT ("before", (int64_t)plr_version (p)),
      EV_INT ("routes", g_hash_table_size (config->routes)),
      EV_INT ("services", g_hash_table_size (config->services)));
  ctr_add (p->o.counters, CTR_CONFIG_ADOPTED, 1);
  dir_config_free (p->config);
  p->config = config;
  g_hash_table_iter_init (&iter, config->services);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const struct dir_service *d = value;
      struct svc *s = plr_service (p, d->name);

      /* A new one is looked at before its first caller comes.  */
      if (s->connections_max == 0)
        s->wanted_us = now_us;
      if (s->connections_max != d->connections_max)
        p->vms.generation++;
      s->connections_max = d->connections_max;
    }
  return true;
}

static void
log_instance (struct plr *p, const struct dir_instance *d, const char *what,
              int64_t now_us)
{
  EV (p->o.log, now_us, EV_INSTANCE, EV_TEXT ("service", d->service),
      EV_TEXT ("instance", d->id), EV_TEXT ("what", what),
      EV_TEXT ("role", d->reports_primary ? "primary" : "replica"),
      EV_TEXT ("state", d->draining ? "draining" : "ready"));
}

void
plr_forget_instance (struct plr *p, struct svc_instance *i, int64_t now_us)
{
  struct svc *s = i->svc;

  /* Out of the choice first: what it loses is tried again at once.  */
  i->unresponsive = true;
  if (s->leader == i)
    svc_lose_leader (s, now_us);
  plr_drop_links (p, i, true, now_us);
  for (GList *l = p->sessions.head; l; l = l->next)
    {
      struct ses *session = l->data;

      if (session->avoid == i)
        session->avoid = NULL;
    }
  plr_free_dropped (p);
  svc_remove (s, i);
  s->judges_generation = 0;
}

/* A first listing, or the same id at another place: a new process.  */
static struct svc_instance *
renew_instance (struct plr *p, struct svc *s, const struct dir_instance *d,
                int64_t now_us)
{
  struct svc_instance *i = svc_find (s, d->id);

  if (i && dir_instance_is_same (i->entry, d))
    return i;
  if (i)
    plr_forget_instance (p, i, now_us);
  i = svc_add (s, d);
  s->judges_generation = 0;
  i->round_trip_us = first_round_trip_us (p, d->data_centre);
  log_instance (p, d, "listed", now_us);
  return i;
}

void
plr_list_instance (struct plr *p, const struct dir_instance *instance,
                   int64_t now_us)
{
  struct svc *s = plr_service (p, instance->service);
  struct svc_instance *i = renew_instance (p, s, instance, now_us);
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
  if (!s->leader && instance->reports_primary)
    s->probed_us = 0;
  if (changed)
    plr_pump (p, s, now_us);
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
plr_unlist_instance (struct plr *p, const char *id, int64_t now_us)
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

/* The time of missing counts from the return of the directory.  */
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
plr_directory_state (struct plr *p, bool reachable, int64_t now_us)
{
  if (reachable == p->directory_reachable && reachable)
    return;
  p->directory_reachable = reachable;
  for_each_instance (p, restart_missing, NULL, now_us);
}
