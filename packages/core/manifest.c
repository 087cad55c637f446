/* Parsing and formatting of the manifest, and updates of its lists.  */
#include "manifest.h"

#include <jansson.h>
#include <sodium.h>
#include <string.h>

void
mnf_hash (const char *text, size_t len, char out[MNF_HASH_LEN + 1])
{
  unsigned char raw[MNF_HASH_LEN / 2];

  crypto_generichash (raw, sizeof raw, (const unsigned char *)text, len, NULL,
                      0);
  sodium_bin2hex (out, MNF_HASH_LEN + 1, raw, sizeof raw);
}

void
mnf_clear (struct mnf *m)
{
  g_free (m->files);
  g_free (m->applies);
  memset (m, 0, sizeof *m);
}

static bool
parse_files (json_t *list, struct mnf *out)
{
  size_t i;
  json_t *item;

  if (!json_is_array (list) || json_array_size (list) > MNF_FILES_MAX)
    return false;
  out->files = g_new0 (struct mnf_file, json_array_size (list) + 1);
  json_array_foreach (list, i, item)
    {
      const char *name;
      const char *hash;

      if (json_unpack (item, "{s:s, s:s}", "name", &name, "hash", &hash) != 0
          || !dcl_is_name (name) || strlen (hash) != MNF_HASH_LEN)
        return false;
      g_strlcpy (out->files[i].name, name, sizeof out->files[i].name);
      g_strlcpy (out->files[i].hash, hash, sizeof out->files[i].hash);
      out->n_files++;
    }
  return true;
}

static bool
parse_applies (json_t *list, struct mnf *out)
{
  size_t i;
  json_t *item;

  if (!json_is_array (list) || json_array_size (list) > MNF_APPLIES_MAX)
    return false;
  out->applies
      = g_malloc0 ((json_array_size (list) + 1) * sizeof out->applies[0]);
  json_array_foreach (list, i, item)
    {
      const char *id = json_string_value (item);

      if (!id || strlen (id) > MNF_APPLY_ID_LEN)
        return false;
      g_strlcpy (out->applies[i], id, sizeof out->applies[i]);
      out->n_applies++;
    }
  return true;
}

bool
mnf_parse (const char *text, size_t len, struct mnf *out)
{
  json_t *root = json_loadb (text, len, JSON_REJECT_DUPLICATES, NULL);
  json_int_t revision;
  json_t *files;
  json_t *applies;
  bool ok = false;

  memset (out, 0, sizeof *out);
  if (root
      && json_unpack (root, "{s:I, s:o, s:o}", "revision", &revision, "files",
                      &files, "applies", &applies)
             == 0
      && revision > 0 && parse_files (files, out)
      && parse_applies (applies, out))
    {
      out->revision = (uint64_t)revision;
      ok = true;
    }
  if (!ok)
    mnf_clear (out);
  json_decref (root);
  return ok;
}

char *
mnf_format (const struct mnf *m)
{
  json_t *files = json_array ();
  json_t *applies = json_array ();
  json_t *root;
  char *text;
  char *copy;

  for (uint32_t i = 0; i < m->n_files; i++)
    json_array_append_new (files,
                           json_pack ("{s:s, s:s}", "name", m->files[i].name,
                                      "hash", m->files[i].hash));
  for (uint32_t i = 0; i < m->n_applies; i++)
    json_array_append_new (applies, json_string (m->applies[i]));
  root = json_pack ("{s:I, s:o, s:o}", "revision", (json_int_t)m->revision,
                    "files", files, "applies", applies);
  text = json_dumps (root, JSON_COMPACT);
  copy = g_strdup (text);
  free (text);
  json_decref (root);
  return copy;
}

const struct mnf_file *
mnf_find_file (const struct mnf *m, const char *name)
{
  for (uint32_t i = 0; i < m->n_files; i++)
    if (strcmp (m->files[i].name, name) == 0)
      return &m->files[i];
  return NULL;
}

void
mnf_set_file (struct mnf *m, const char *name, const char *hash)
{
  struct mnf_file *f = (struct mnf_file *)mnf_find_file (m, name);

  if (!f)
    {
      m->files = g_renew (struct mnf_file, m->files, m->n_files + 1);
      f = &m->files[m->n_files++];
      g_strlcpy (f->name, name, sizeof f->name);
    }
  g_strlcpy (f->hash, hash, sizeof f->hash);
}

bool
mnf_has_apply (const struct mnf *m, const char *apply_id)
{
  for (uint32_t i = 0; i < m->n_applies; i++)
    if (strcmp (m->applies[i], apply_id) == 0)
      return true;
  return false;
}

void
mnf_add_apply (struct mnf *m, const char *apply_id)
{
  if (m->n_applies == MNF_APPLIES_MAX)
    memmove (m->applies[0], m->applies[1],
             --m->n_applies * sizeof m->applies[0]);
  m->applies
      = g_realloc (m->applies, (m->n_applies + 1) * sizeof m->applies[0]);
  g_strlcpy (m->applies[m->n_applies++], apply_id, sizeof m->applies[0]);
}
