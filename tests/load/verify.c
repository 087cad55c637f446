/* Checks the replies of a load run against the logs of the database groups. */
#include "stats.h"

#include "decl.h"
#include <arpa/inet.h>
#include <jansson.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define LEDGER_PREFIX "cassiabay.ledger/"

/* Sends one command to the control port and reads the reply until the
   connection is closed.  NULL on failure; freed by the caller.  */
static char *
send_control_command (const char *control, const char *command)
{
  struct sockaddr_in sa = { 0 };
  GString *out = NULL;
  char chunk[65536];
  uint16_t port;
  char *host;
  ssize_t n;
  int fd;

  if (!dcl_split_address (control, &host, &port))
    return NULL;
  fd = socket (AF_INET, SOCK_STREAM, 0);
  sa.sin_family = AF_INET;
  sa.sin_port = htons (port);
  inet_pton (AF_INET, host, &sa.sin_addr);
  g_free (host);
  if (connect (fd, (struct sockaddr *)&sa, sizeof sa) == 0
      && send (fd, command, strlen (command), 0) > 0)
    {
      out = g_string_new (NULL);
      while ((n = recv (fd, chunk, sizeof chunk, 0)) > 0)
        g_string_append_len (out, chunk, n);
    }
  close (fd);
  return out ? g_string_free (out, FALSE) : NULL;
}

/* The group of an instance: its name up to the last dash.  */
static char *
group_of (const char *instance)
{
  const char *dash = strrchr (instance, '-');

  return g_strndup (instance,
                    dash ? (gsize)(dash - instance) : strlen (instance));
}

/* Adds to COUNTS, by request id, the ledger rows in LOG whose value starts
   with "done".  */
static void
count_rows (json_t *log, GHashTable *counts)
{
  size_t i;
  json_t *entry;

  json_array_foreach (log, i, entry)
    {
      json_t *writes = json_object_get (entry, "writes");

      for (size_t k = 0; k < json_array_size (writes); k++)
        {
          json_t *write = json_array_get (writes, k);
          const char *key = json_string_value (json_array_get (write, 0));
          const char *value = json_string_value (json_array_get (write, 1));
          gpointer id;

          if (!key || !value || !g_str_has_prefix (key, LEDGER_PREFIX)
              || !g_str_has_prefix (value, "done"))
            continue;
          id = (gpointer)(key + strlen (LEDGER_PREFIX));
          g_hash_table_replace (
              counts, g_strdup (id),
              GINT_TO_POINTER (
                  GPOINTER_TO_INT (g_hash_table_lookup (counts, id)) + 1));
        }
    }
}

/* The dump of each group's primary, by group name.  Of several instances that
   claim to be primary, the one with the highest term is taken.  */
static GHashTable *
dump_primaries (const char *control, char **instances)
{
  GHashTable *dumps = g_hash_table_new_full (g_str_hash, g_str_equal, g_free,
                                             (GDestroyNotify)json_decref);

  for (uint32_t i = 0; instances[i]; i++)
    {
      char *command = g_strdup_printf ("dump %s", instances[i]);
      char *text = send_control_command (control, command);
      json_t *root = text ? json_loads (text, 0, NULL) : NULL;
      char *group = group_of (instances[i]);
      json_t *current = g_hash_table_lookup (dumps, group);

      if (root && json_integer_value (json_object_get (root, "role")) == 2
          && (!current
              || json_integer_value (json_object_get (root, "term"))
                     > json_integer_value (json_object_get (current, "term"))))
        g_hash_table_replace (dumps, g_strdup (group), json_incref (root));
      json_decref (root);
      g_free (group);
      g_free (text);
      g_free (command);
    }
  return dumps;
}

bool
verify_run (const struct stats *s, const char *control, char **instances,
            struct verify_result *out)
{
  GHashTable *primaries = dump_primaries (control, instances);
  GHashTable *counts
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  GHashTableIter iter;
  gpointer value;
  bool ok = g_hash_table_size (primaries) > 0;

  memset (out, 0, sizeof *out);
  g_hash_table_iter_init (&iter, primaries);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    count_rows (json_object_get (value, "log"), counts);
  for (uint32_t i = 0; i < s->records->len; i++)
    {
      const struct stats_record *r
          = &g_array_index (s->records, struct stats_record, i);
      int32_t n = GPOINTER_TO_INT (g_hash_table_lookup (counts, r->id));

      if (!r->write)
        continue;
      out->checked++;
      out->lost += r->outcome == STATS_DONE && n == 0;
      out->wrong += r->outcome == STATS_NOT_RUN && n > 0;
      out->doubled += n > 1;
    }
  g_hash_table_destroy (primaries);
  g_hash_table_destroy (counts);
  return ok;
}
