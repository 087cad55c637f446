/* Which instances a service has, where commits wait for replicas.

   A replica whose directory entry is gone may be the only one that holds an
   acknowledged commit.  The claim lists all instances, so that a proxy that
   starts knows of it too.  */
#include "sessionfailoverint.h"

#include <string.h>

static gint
compare_ids (gconstpointer a, gconstpointer b)
{
  const struct dir_instance *x = *(struct dir_instance *const *)a;
  const struct dir_instance *y = *(struct dir_instance *const *)b;

  return strcmp (x->id, y->id);
}

GPtrArray *
sfo_list_members (const struct sfo_service *sv)
{
  GPtrArray *members;

  if (sv->svc->sync_replicas == 0)
    return NULL;
  members = g_ptr_array_new ();
  for (guint n = 0; n < sv->svc->instances->len; n++)
    {
      struct svc_instance *i = g_ptr_array_index (sv->svc->instances, n);

      if (!cnd_is_succeeded (sv->svc, i))
        g_ptr_array_add (members, i->entry);
    }
  g_ptr_array_sort (members, compare_ids);
  return members;
}

/* Returns MEMBERS as text that is equal if they are; NULL for NULL.  */
static char *
format_members (const GPtrArray *members)
{
  GString *text;

  if (!members)
    return NULL;
  text = g_string_new (NULL);
  for (guint n = 0; n < members->len; n++)
    {
      const struct dir_instance *i = g_ptr_array_index (members, n);

      g_string_append_printf (text, "%s %s:%u %" G_GINT64_FORMAT " %d\n",
                              i->id, i->host, i->port, i->started_ms,
                              i->reports_primary);
    }
  return g_string_free (text, FALSE);
}

void
sfo_note_requested_members (struct sfo_service *sv, const GPtrArray *members)
{
  g_free (sv->requested_members);
  sv->requested_members = format_members (members);
}

void
sfo_note_members (struct sfo_service *sv, const GPtrArray *members,
                  int64_t now_us)
{
  g_free (sv->claim_members);
  sv->claim_members = format_members (members);
  for (guint n = 0; members && n < members->len; n++)
    plr_remember_instance (sv->sfo->o.pooler, g_ptr_array_index (members, n),
                           now_us);
}

bool
sfo_are_members_outdated (const struct sfo_service *sv)
{
  GPtrArray *members = sfo_list_members (sv);
  char *text = format_members (members);
  bool outdated = members && g_strcmp0 (text, sv->claim_members) != 0;

  g_free (text);
  if (members)
    g_ptr_array_free (members, TRUE);
  return outdated;
}
