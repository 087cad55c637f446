/* The directory of routes, services and instances.  */
#include "dir.h"

#include <string.h>

static void
free_route (gpointer data)
{
  struct dir_route *r = data;

  g_free (r->database);
  g_free (r->service);
  g_free (r);
}

static void
free_service (gpointer data)
{
  struct dir_service *s = data;

  g_free (s->name);
  g_free (s);
}

struct dir_config *
dir_config_new (uint64_t version)
{
  struct dir_config *c = g_new0 (struct dir_config, 1);

  c->version = version;
  c->routes
      = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, free_route);
  c->services
      = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, free_service);
  return c;
}

void
dir_config_add_route (struct dir_config *c, struct dir_route *route)
{
  g_hash_table_replace (c->routes, route->database, route);
}

void
dir_config_add_service (struct dir_config *c, struct dir_service *service)
{
  g_hash_table_replace (c->services, service->name, service);
}

void
dir_config_free (struct dir_config *c)
{
  if (!c)
    return;
  g_hash_table_destroy (c->routes);
  g_hash_table_destroy (c->services);
  acc_table_free (c->accounts);
  g_free (c);
}

const struct dir_route *
dir_find_route (const struct dir_config *c, const char *database)
{
  return c ? g_hash_table_lookup (c->routes, database) : NULL;
}

const struct dir_service *
dir_find_service (const struct dir_config *c, const char *name)
{
  return c ? g_hash_table_lookup (c->services, name) : NULL;
}

struct dir_instance *
dir_instance_copy (const struct dir_instance *i)
{
  struct dir_instance *copy = g_memdup2 (i, sizeof *i);

  copy->id = g_strdup (i->id);
  copy->service = g_strdup (i->service);
  copy->host = g_strdup (i->host);
  copy->data_centre = g_strdup (i->data_centre);
  return copy;
}

void
dir_instance_free (struct dir_instance *i)
{
  if (!i)
    return;
  g_free (i->id);
  g_free (i->service);
  g_free (i->host);
  g_free (i->data_centre);
  g_free (i);
}

bool
dir_instance_is_same (const struct dir_instance *a,
                      const struct dir_instance *b)
{
  return strcmp (a->id, b->id) == 0 && strcmp (a->service, b->service) == 0
         && strcmp (a->host, b->host) == 0 && a->port == b->port
         && a->started_ms == b->started_ms;
}
