/* Connections to upstream instances.  */
#include "uplink.h"

#include <string.h>
#include <xxhash.h>

struct ul *
ul_new (struct ul_port *port, struct svc_instance *instance,
        const struct vmt_vm *home, const char *account, int64_t now_us)
{
  struct ul *link = g_new0 (struct ul, 1);

  link->port = port;
  link->instance = instance;
  link->phase = UL_OPENING;
  link->requests = g_array_new (FALSE, TRUE, sizeof (struct ul_request));
  link->opened_us = now_us;
  link->idle_since_us = now_us;
  g_ptr_array_add (instance->links, link);
  link->home = home ? g_strdup (home->name) : NULL;
  link->account = home ? NULL : g_strdup (account);
  link->handle = port->ops->open (port, link, instance->entry,
                                  home ? home->address : NULL);
  return link;
}

void
ul_close (struct ul *link)
{
  if (link->closed)
    return;
  link->closed = true;
  link->retiring = true;
  link->port->ops->close (link->port, link->handle);
  g_ptr_array_remove_fast (link->instance->links, link);
}

void
ul_free (struct ul *link)
{
  ul_close (link);
  g_array_free (link->requests, TRUE);
  g_free (link->home);
  g_free (link->account);
  if (link->values)
    g_hash_table_destroy (link->values);
  if (link->prepared)
    g_hash_table_destroy (link->prepared);
  g_free (link);
}

void
ul_send (struct ul *link, enum ul_purpose purpose, struct logpos after,
         const struct stm *statement, void *session, int64_t now_us)
{
  struct ul_request request = { 0 };

  request.purpose = purpose;
  request.confirms_primary
      = purpose == UL_BEGIN && statement->kind == STM_BEGIN;
  request.sent_us = now_us;
  request.session = session;
  g_array_append_val (link->requests, request);
  link->port->ops->send (link->port, link->handle, after, statement);
}

bool
ul_take_request (struct ul *link, struct ul_request *out)
{
  if (link->requests->len == 0)
    return false;
  *out = g_array_index (link->requests, struct ul_request, 0);
  g_array_remove_index (link->requests, 0);
  return true;
}

void
ul_detach_session (struct ul *link, const void *session)
{
  for (guint i = 0; i < link->requests->len; i++)
    {
      struct ul_request *request
          = &g_array_index (link->requests, struct ul_request, i);

      if (request->session == session)
        request->session = NULL;
    }
  if (link->session == session)
    link->session = NULL;
}

bool
ul_is_idle (const struct ul *link)
{
  return link->phase == UL_OPEN && !link->session && !link->retiring
         && link->requests->len == 0 && link->state == STM_IDLE;
}

int64_t
ul_oldest_request_us (const struct ul *link)
{
  if (link->requests->len == 0)
    return 0;
  return g_array_index (link->requests, struct ul_request, 0).sent_us;
}

uint64_t
ul_value_digest (const char *name, const char *value)
{
  uint64_t seed = XXH3_64bits (name, strlen (name));

  return XXH3_64bits_withSeed (value, strlen (value), seed);
}

static void
reset (struct ul *link, int64_t now_us)
{
  struct stm s = { .kind = STM_RESET };

  ul_send (link, UL_SETUP, LP_NONE, &s, NULL, now_us);
  if (link->values)
    g_hash_table_remove_all (link->values);
  link->values_digest = 0;
  ul_clear_prepared (link);
}

/* Returns true if the link has a session value that VALUES doesn't
   contain.  */
static bool
has_foreign_value (const struct ul *link, GHashTable *values)
{
  GHashTableIter iter;
  gpointer name;

  if (!link->values)
    return false;
  if (!values)
    return g_hash_table_size (link->values) > 0;
  g_hash_table_iter_init (&iter, link->values);
  while (g_hash_table_iter_next (&iter, &name, NULL))
    if (!g_hash_table_contains (values, name))
      return true;
  return false;
}

static void
set_value (struct ul *link, const char *name, const char *value,
           int64_t now_us)
{
  struct stm s = { .kind = STM_SET, .name = name, .args = value };

  ul_send (link, UL_SETUP, LP_NONE, &s, NULL, now_us);
  if (!link->values)
    link->values
        = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  g_hash_table_replace (link->values, g_strdup (name), g_strdup (value));
}

void
ul_sync_values (struct ul *link, GHashTable *values, uint64_t digest,
                int64_t now_us)
{
  GHashTableIter iter;
  gpointer name;
  gpointer value;

  if (link->prepared && g_hash_table_size (link->prepared) >= UL_PREPARED_MAX)
    reset (link, now_us);
  if (link->values_digest == digest)
    return;
  if (has_foreign_value (link, values))
    reset (link, now_us);
  if (values)
    {
      g_hash_table_iter_init (&iter, values);
      while (g_hash_table_iter_next (&iter, &name, &value))
        {
          const char *held
              = link->values ? g_hash_table_lookup (link->values, name) : NULL;

          if (!held || strcmp (held, value) != 0)
            set_value (link, name, value, now_us);
        }
    }
  link->values_digest = digest;
}

void
ul_sync_prepared (struct ul *link, uint32_t id, const char *name, bool writes,
                  const char *text, int64_t now_us)
{
  struct stm s = { .kind = writes ? STM_PREPARE_WRITE : STM_PREPARE_READ,
                   .name = name,
                   .args = text };

  if (!link->prepared)
    link->prepared = g_hash_table_new (NULL, NULL);
  if (!g_hash_table_add (link->prepared, GUINT_TO_POINTER (id)))
    return;
  ul_send (link, UL_SETUP, LP_NONE, &s, NULL, now_us);
}

void
ul_clear_prepared (struct ul *link)
{
  if (link->prepared)
    g_hash_table_remove_all (link->prepared);
}
