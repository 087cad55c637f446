/* Compares a run's answers with the groups' logs.  */
#include "stats.h"

#include "decl.h"
#include <arpa/inet.h>
#include <jansson.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define LEDGER_PREFIX "cassiabay.ledger/"

/* Sends one control line and reads the whole answer; NULL on failure.  */
static char *
ask (const char *control, const char *command)
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

/* Counts in COUNTS the ledger rows "done" of LOG by request id.  */
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

/* The dump of each group's primary of the highest term.  */
static GHashTable *
dump_primaries (const char *control, char **instances)
{
  GHashTable *best = g_hash_table_new_full (g_str_hash, g_str_equal, g_free,
                                            (GDestroyNotify)json_decref);

  for (uint32_t i = 0; instances[i]; i++)
    {
      char *command = g_strdup_printf ("dump %s", instances[i]);
      char *text = ask (control, command);
      json_t *root = text ? json_loads (text, 0, NULL) : NULL;
      char *group = group_of (instances[i]);
      json_t *known = g_hash_table_lookup (best, group);

      if (root && json_integer_value (json_object_get (root, "role")) == 2
          && (!known
              || json_integer_value (json_object_get (root, "term"))
                     > json_integer_value (json_object_get (known, "term"))))
        g_hash_table_replace (best, g_strdup (group), json_incref (root));
      json_decref (root);
      g_free (group);
      g_free (text);
      g_free (command);
    }
  return best;
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
