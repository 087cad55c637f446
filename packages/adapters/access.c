/* Access control for callers.  */
#include "access.h"

#include "manifest.h"
#include "yamldoc.h"
#include <sodium.h>
#include <string.h>

static const char *const file_keys[] = { "version", "callers", NULL };
static const char *const caller_keys[]
    = { "name", "token_hash", "certificate_name", "databases", NULL };

struct caller
{
  char *name;
  char *token_hash;
  char *certificate_name;
  GPtrArray *databases; /* names; "*" stands for all */
};

struct access
{
  GPtrArray *callers;
};

static void
free_caller (gpointer data)
{
  struct caller *c = data;

  g_free (c->name);
  g_free (c->token_hash);
  g_free (c->certificate_name);
  g_ptr_array_free (c->databases, TRUE);
  g_free (c);
}

static void
parse_caller (struct yml_doc *doc, yml_node *node, struct access *a)
{
  struct caller *c;
  yml_node *list;
  uint32_t n;

  if (!yml_check_map (doc, node, "caller", caller_keys))
    return;
  c = g_new0 (struct caller, 1);
  c->databases = g_ptr_array_new_with_free_func (g_free);
  c->name = yml_dup_string (doc, node, "caller", "name", true);
  c->token_hash = yml_dup_string (doc, node, "caller", "token_hash", false);
  c->certificate_name
      = yml_dup_string (doc, node, "caller", "certificate_name", false);
  g_ptr_array_add (a->callers, c);
  if (c->token_hash && strlen (c->token_hash) != MNF_HASH_LEN)
    fnd_add (doc->findings, doc->file, yml_line (node),
             "caller \"%s\": token_hash must have %d hexadecimal digits; make "
             "it with cassiabay hash-token",
             c->name ? c->name : "", MNF_HASH_LEN);
  if (!c->token_hash && !c->certificate_name)
    fnd_add (doc->findings, doc->file, yml_line (node),
             "caller \"%s\": give a token_hash or a certificate_name",
             c->name ? c->name : "");
  list = yml_get (doc, node, "databases");
  n = yml_count (doc, list, "databases");
  for (uint32_t i = 0; i < n; i++)
    {
      yml_node *item = yml_item (doc, list, i);

      if (item->type == YAML_SCALAR_NODE)
        g_ptr_array_add (c->databases,
                         g_strdup ((char *)item->data.scalar.value));
    }
}

struct access *
access_parse (const char *file, const char *text, size_t len,
              struct fnd_list *findings)
{
  uint32_t before = fnd_count (findings);
  struct yml_doc doc;
  struct access *a;
  yml_node *list;
  uint32_t n;

  if (!yml_parse (&doc, file, text, len, findings))
    return NULL;
  a = g_new0 (struct access, 1);
  a->callers = g_ptr_array_new_with_free_func (free_caller);
  yml_check_map (&doc, yml_root (&doc), "file", file_keys);
  list = yml_get (&doc, yml_root (&doc), "callers");
  n = yml_count (&doc, list, "callers");
  for (uint32_t i = 0; i < n; i++)
    parse_caller (&doc, yml_item (&doc, list, i), a);
  yml_free (&doc);
  if (fnd_count (findings) == before)
    return a;
  access_free (a);
  return NULL;
}

void
access_free (struct access *a)
{
  if (!a)
    return;
  g_ptr_array_free (a->callers, TRUE);
  g_free (a);
}

static bool
may_use_database (const struct caller *c, const char *database)
{
  for (uint32_t i = 0; i < c->databases->len; i++)
    {
      const char *name = g_ptr_array_index (c->databases, i);

      if (strcmp (name, "*") == 0 || strcmp (name, database) == 0)
        return true;
    }
  return false;
}

/* Returns true when SUBJECT, a distinguished name, contains CN=NAME.  */
static bool
has_common_name (const char *subject, const char *name)
{
  char *wanted = g_strdup_printf ("CN=%s", name);
  char **parts = g_strsplit_set (subject, ",/", -1);
  bool found = false;

  for (uint32_t i = 0; parts[i] && !found; i++)
    found = strcmp (g_strstrip (parts[i]), wanted) == 0;
  g_strfreev (parts);
  g_free (wanted);
  return found;
}

enum rsn
access_check (const struct access *a, const char *token, const char *subject,
              const char *database)
{
  char hash[MNF_HASH_LEN + 1] = "";
  bool known = false;

  if (token)
    mnf_hash (token, strlen (token), hash);
  for (uint32_t i = 0; i < a->callers->len; i++)
    {
      const struct caller *c = g_ptr_array_index (a->callers, i);
      bool match = token && c->token_hash
                   && sodium_memcmp (hash, c->token_hash, MNF_HASH_LEN) == 0;

      match |= subject && c->certificate_name
               && has_common_name (subject, c->certificate_name);
      known |= match;
      if (match && may_use_database (c, database))
        return RSN_OK;
    }
  return known ? RSN_FORBIDDEN : RSN_UNAUTHENTICATED;
}
