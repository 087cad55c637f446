/* Spreads the configuration.  */
#include "spread.h"

#include "units.h"
#include <string.h>

void
spr_init (struct spr *s, const struct spr_options *options)
{
  memset (s, 0, sizeof *s);
  s->options = *options;
  s->blobs = g_hash_table_new_full (g_str_hash, g_str_equal, g_free,
                                    (GDestroyNotify)g_bytes_unref);
}

static void
drop_wanted (struct spr *s)
{
  mnf_clear (&s->wanted);
  g_clear_pointer (&s->wanted_text, g_free);
}

void
spr_free (struct spr *s)
{
  drop_wanted (s);
  g_hash_table_destroy (s->blobs);
  g_free (s->manifest);
  g_free (s->rejection);
}

static bool
is_newer (const struct spr *s, uint64_t revision)
{
  return revision > s->revision || s->options.unsafe_any_revision;
}

static void
send_pull (struct spr *s, const char *to, uint32_t n, char **hashes,
           int64_t now_us)
{
  struct wire_pull pull = { n, hashes };

  s->pull_us = now_us;
  s->options.pull (s->options.arg, to, &pull);
}

/* Asks for the files of the wanted manifest that are missing; false when none
   is.  */
static bool
pull_missing (struct spr *s, int64_t now_us)
{
  char *hashes[SPR_PULL_MAX];
  uint32_t n = 0;

  for (uint32_t i = 0; i < s->wanted.n_files && n < SPR_PULL_MAX; i++)
    if (!g_hash_table_contains (s->blobs, s->wanted.files[i].hash))
      hashes[n++] = s->wanted.files[i].hash;
  if (n == 0)
    return false;
  send_pull (s, s->source, n, hashes, now_us);
  return true;
}

static struct dcl_set *
parse_wanted (struct spr *s, struct fnd_list *findings)
{
  struct dcl_file *files = g_new0 (struct dcl_file, s->wanted.n_files + 1);
  struct dcl_set *set;

  for (uint32_t i = 0; i < s->wanted.n_files; i++)
    {
      GBytes *blob = g_hash_table_lookup (s->blobs, s->wanted.files[i].hash);
      gsize len;

      files[i].name = s->wanted.files[i].name;
      files[i].text = (char *)g_bytes_get_data (blob, &len);
      files[i].len = len;
    }
  set = dcl_parse (files, s->wanted.n_files, findings);
  g_free (files);
  return set;
}

static gboolean
is_unwanted (gpointer key, gpointer value, gpointer data)
{
  const struct mnf *m = data;

  (void)value;
  for (uint32_t i = 0; i < m->n_files; i++)
    if (strcmp (m->files[i].hash, key) == 0)
      return FALSE;
  return TRUE;
}

static void
adopt_wanted (struct spr *s)
{
  struct fnd_list findings;
  struct dcl_set *set;
  uint64_t revision = s->wanted.revision;

  fnd_init (&findings);
  set = parse_wanted (s, &findings);
  g_clear_pointer (&s->rejection, g_free);
  if (set)
    {
      s->revision = revision;
      g_free (s->manifest);
      s->manifest = g_steal_pointer (&s->wanted_text);
      g_hash_table_foreach_remove (s->blobs, is_unwanted, &s->wanted);
      ctr_add (s->options.counters, CTR_CONFIG_ADOPTED, 1);
      s->options.adopt (s->options.arg, set, revision);
    }
  else
    {
      /* Written by a newer version or damaged: what is in force stays.  */
      s->rejected = revision;
      s->rejection = fnd_format (&findings);
      ctr_add (s->options.counters, CTR_CONFIG_REJECTED, 1);
    }
  fnd_free (&findings);
  drop_wanted (s);
}

static void
take_manifest (struct spr *s, const char *source, const char *text)
{
  struct mnf m;

  if (!mnf_parse (text, strlen (text), &m))
    {
      ctr_add (s->options.counters, CTR_CONFIG_REJECTED, 1);
      return;
    }
  s->heard = MAX (s->heard, m.revision);
  if (!is_newer (s, m.revision) || m.revision <= s->rejected
      || (s->wanted.revision >= m.revision && !s->options.unsafe_any_revision))
    {
      if (m.revision < s->revision)
        ctr_add (s->options.counters, CTR_CONFIG_STALE, 1);
      mnf_clear (&m);
      return;
    }
  drop_wanted (s);
  s->wanted = m;
  s->wanted_text = g_strdup (text);
  g_strlcpy (s->source, source, sizeof s->source);
}

/* Takes a file only under the hash of its own content.  */
static void
take_blob (struct spr *s, const struct wire_blob *blob)
{
  char hash[MNF_HASH_LEN + 1];

  mnf_hash (blob->text ? blob->text : "", blob->len, hash);
  if (strcmp (hash, blob->hash) != 0)
    return;
  g_hash_table_replace (s->blobs, g_strdup (hash),
                        g_bytes_new (blob->text, blob->len));
}

void
spr_take (struct spr *s, const char *source, const struct wire_files *files,
          int64_t now_us)
{
  s->pull_us = 0;
  if (files->manifest && files->manifest[0] != '\0')
    take_manifest (s, source, files->manifest);
  if (s->wanted.revision == 0)
    return;
  for (uint32_t i = 0; i < files->n; i++)
    take_blob (s, &files->blobs[i]);
  if (!pull_missing (s, now_us))
    adopt_wanted (s);
}

void
spr_hear (struct spr *s, const char *vm, uint64_t revision, int64_t now_us)
{
  if (revision <= s->revision || revision <= s->rejected
      || revision < s->heard)
    return;
  s->heard = revision;
  g_strlcpy (s->heard_from, vm, sizeof s->heard_from);
  if (s->pull_us == 0 && revision > s->wanted.revision)
    send_pull (s, vm, 0, NULL, now_us);
}

void
spr_tick (struct spr *s, int64_t now_us)
{
  if (s->pull_us == 0 || now_us - s->pull_us < SPR_PULL_TIMEOUT_MS * US_PER_MS)
    return;
  /* No answer: drop the half-done manifest and ask whoever told us last.  */
  s->pull_us = 0;
  drop_wanted (s);
  if (s->heard > s->revision && s->heard > s->rejected
      && s->heard_from[0] != '\0')
    send_pull (s, s->heard_from, 0, NULL, now_us);
}

bool
spr_answer (struct spr *s, const struct wire_pull *pull,
            struct wire_files *answer)
{
  size_t bytes = 0;

  memset (answer, 0, sizeof *answer);
  if (s->revision == 0)
    return false;
  answer->revision = s->revision;
  answer->manifest = g_strdup (pull->n == 0 ? s->manifest : "");
  answer->blobs = g_new0 (struct wire_blob, pull->n + 1);
  for (uint32_t i = 0; i < pull->n && bytes < SPR_ANSWER_BYTES; i++)
    {
      GBytes *blob = g_hash_table_lookup (s->blobs, pull->hashes[i]);
      struct wire_blob *out = &answer->blobs[answer->n];
      gsize len;

      if (!blob)
        continue;
      out->text = (char *)g_bytes_get_data (blob, &len);
      out->len = len;
      out->hash = pull->hashes[i];
      bytes += len;
      answer->n++;
    }
  return true;
}

void
spr_free_answer (struct wire_files *answer)
{
  g_free (answer->blobs);
  g_free (answer->manifest);
}
