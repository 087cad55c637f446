/* The declared configuration of the simulation and its revisions in the
   store.  */
#include "worldint.h"

#include <string.h>

const char *const wld_default_kinds
    = "version: 1\n"
      "reads:\n"
      "  - {kind: lookup, max_age_ms: 2000}\n"
      "  - {kind: fresh, max_age_ms: 0}\n"
      "requests:\n"
      "  - {kind: lookup, deadline_ms: 2000}\n"
      "  - {kind: fresh, deadline_ms: 4000}\n"
      "  - {kind: order, deadline_ms: 5000, repeat: never}\n"
      "  - {kind: tally, deadline_ms: 5000, repeat: allowed}\n";

static void
put_blob (struct world *w, struct mnf *m, const char *name, const char *text)
{
  char hash[MNF_HASH_LEN + 1];

  mnf_hash (text, strlen (text), hash);
  mnf_set_file (m, name, hash);
  g_hash_table_replace (w->blobs, g_strdup (hash), g_strdup (text));
}

void
world_apply (struct world *w, const char *kinds)
{
  struct mnf m = { 0 };

  m.revision = ++w->revision;
  put_blob (w, &m, "databases.yaml", w->databases);
  put_blob (w, &m, "kinds.yaml", kinds);
  g_free (w->old_manifest);
  w->old_manifest = w->manifest;
  w->manifest = mnf_format (&m);
  mnf_clear (&m);
  for (uint32_t k = 0; k < w->options.n_nodes; k++)
    if (w->hosts[k].node && w->hosts[k].watching && !w->store_down
        && !w->cut[wld_centre_of (k)])
      node_on_store_changed (w->hosts[k].node, w->now_us);
}

void
world_apply_changed_kinds (struct world *w, int64_t n)
{
  char *kinds = g_strdup_printf ("%s# change %ld\n", wld_default_kinds, n);

  world_apply (w, kinds);
  g_free (kinds);
}

void
world_set_database_leaving (struct world *w, uint32_t g)
{
  char *from = g_strdup_printf ("name: db%u\n", g);
  char *to = g_strdup_printf ("name: db%u\n    state: leaving\n", g);
  char **parts = g_strsplit (w->databases, from, 2);

  g_free (w->databases);
  w->databases = g_strjoinv (to, parts);
  world_apply (w, wld_default_kinds);
  g_strfreev (parts);
  g_free (from);
  g_free (to);
}

uint32_t
world_n_nodes (const struct world *w)
{
  return w->options.n_nodes;
}

uint32_t
world_revision_regressions (const struct world *w)
{
  return w->revision_regressions;
}

uint64_t
world_revision (const struct world *w)
{
  return w->revision;
}

void
wld_write_databases (struct world *w)
{
  GString *out = g_string_new ("version: 1\ndata_centres:\n");

  for (uint32_t c = 0; c < CENTRES; c++)
    g_string_append_printf (out, "  - {name: dc%u, region: region%u}\n", c, c);
  g_string_append (out, "databases:\n");
  for (uint32_t g = 0; g < w->options.n_groups; g++)
    {
      g_string_append_printf (out,
                              "  - name: db%u\n    slots: %d\n"
                              "    connections: %d\n    instances:\n",
                              g, w->options.slots, w->options.connections);
      for (uint32_t i = 0; i < w->options.n_instances; i++)
        g_string_append_printf (out,
                                "      - {name: db%u-%u, address: "
                                "'10.0.%u.%u:5432', data_centre: dc%u}\n",
                                g, i, g, i, i);
    }
  w->databases = g_string_free (out, FALSE);
}
