/* Synchronises the configuration between store and proxies.  */
#include "confsync.h"

#include "units.h"
#include <string.h>

void
cfs_init (struct cfs *s, const struct cfs_options *options)
{
  memset (s, 0, sizeof *s);
  s->options = *options;
  s->blobs = g_hash_table_new_full (g_str_hash, g_str_equal, g_free,
                                    (GDestroyNotify)g_bytes_unref);
}

static void
drop_pending (struct cfs *s)
{
  mnf_clear (&s->pending);
  g_clear_pointer (&s->pending_text, g_free);
}

void
cfs_free (struct cfs *s)
{
  drop_pending (s);
  g_hash_table_destroy (s->blobs);
  g_free (s->manifest);
  g_free (s->rejection);
}

static bool
is_newer (const struct cfs *s, uint64_t revision)
{
  return revision > s->revision || s->options.unsafe_any_revision;
}

static void
send_pull (struct cfs *s, const char *to, uint32_t n, char **hashes,
           int64_t now_us)
{
  struct wire_pull pull = { n, hashes };

  s->pull_sent_us = now_us;
  s->options.pull (s->options.arg, to, &pull);
}

/* Pulls the files of the pending manifest that are missing; false when none
   is.  */
static bool
pull_missing (struct cfs *s, int64_t now_us)
{
  char *hashes[CFS_PULL_MAX];
  uint32_t n = 0;

  for (uint32_t i = 0; i < s->pending.n_files && n < CFS_PULL_MAX; i++)
    if (!g_hash_table_contains (s->blobs, s->pending.files[i].hash))
      hashes[n++] = s->pending.files[i].hash;
  if (n == 0)
    return false;
  send_pull (s, s->pending_source, n, hashes, now_us);
  return true;
}

static struct dcl_set *
parse_pending (struct cfs *s, struct fnd_list *findings)
{
  struct dcl_file *files = g_new0 (struct dcl_file, s->pending.n_files + 1);
  struct dcl_set *set;

  for (uint32_t i = 0; i < s->pending.n_files; i++)
    {
      GBytes *blob = g_hash_table_lookup (s->blobs, s->pending.files[i].hash);
      gsize len;

      files[i].name = s->pending.files[i].name;
      files[i].text = (char *)g_bytes_get_data (blob, &len);
      files[i].len = len;
    }
  set = dcl_parse (files, s->pending.n_files, findings);
  g_free (files);
  return set;
}

static gboolean
is_unreferenced (gpointer key, gpointer value, gpointer data)
{
  const struct mnf *m = data;

  (void)value;
  for (uint32_t i = 0; i < m->n_files; i++)
    if (strcmp (m->files[i].hash, key) == 0)
      return FALSE;
  return TRUE;
}

static void
apply_pending (struct cfs *s)
{
  struct fnd_list findings;
  struct dcl_set *set;
  uint64_t revision = s->pending.revision;

  fnd_init (&findings);
  set = parse_pending (s, &findings);
  g_clear_pointer (&s->rejection, g_free);
  if (set)
    {
      s->revision = revision;
      g_free (s->manifest);
      s->manifest = g_steal_pointer (&s->pending_text);
      g_hash_table_foreach_remove (s->blobs, is_unreferenced, &s->pending);
      ctr_add (s->options.counters, CTR_CONFIG_ADOPTED, 1);
      s->options.apply (s->options.arg, set, revision);
    }
  else
    {
      /* Written for a newer version, or damaged: the configuration in force
         stays.  */
      s->rejected_revision = revision;
      s->rejection = fnd_format (&findings);
      ctr_add (s->options.counters, CTR_CONFIG_REJECTED, 1);
    }
  fnd_free (&findings);
  drop_pending (s);
}

static void
receive_manifest (struct cfs *s, const char *source, const char *text)
{
  struct mnf m;

  if (!mnf_parse (text, strlen (text), &m))
    {
      ctr_add (s->options.counters, CTR_CONFIG_REJECTED, 1);
      return;
    }
  s->newest_revision_heard = MAX (s->newest_revision_heard, m.revision);
  if (!is_newer (s, m.revision) || m.revision <= s->rejected_revision
      || (s->pending.revision >= m.revision
          && !s->options.unsafe_any_revision))
    {
      if (m.revision < s->revision)
        ctr_add (s->options.counters, CTR_CONFIG_STALE, 1);
      mnf_clear (&m);
      return;
    }
  drop_pending (s);
  s->pending = m;
  s->pending_text = g_strdup (text);
  g_strlcpy (s->pending_source, source, sizeof s->pending_source);
}

/* Stores a file if its content has the hash that it was sent under.  */
static void
receive_blob (struct cfs *s, const struct wire_blob *blob)
{
  char hash[MNF_HASH_LEN + 1];

  mnf_hash (blob->text ? blob->text : "", blob->len, hash);
  if (strcmp (hash, blob->hash) != 0)
    return;
  g_hash_table_replace (s->blobs, g_strdup (hash),
                        g_bytes_new (blob->text, blob->len));
}

void
cfs_receive (struct cfs *s, const char *source, const struct wire_files *files,
             int64_t now_us)
{
  s->pull_sent_us = 0;
  if (files->manifest && files->manifest[0] != '\0')
    receive_manifest (s, source, files->manifest);
  if (s->pending.revision == 0)
    return;
  for (uint32_t i = 0; i < files->n; i++)
    receive_blob (s, &files->blobs[i]);
  if (!pull_missing (s, now_us))
    apply_pending (s);
}

void
cfs_note_revision (struct cfs *s, const char *vm, uint64_t revision,
                   int64_t now_us)
{
  if (revision <= s->revision || revision <= s->rejected_revision
      || revision < s->newest_revision_heard)
    return;
  s->newest_revision_heard = revision;
  g_strlcpy (s->newest_heard_from, vm, sizeof s->newest_heard_from);
  if (s->pull_sent_us == 0 && revision > s->pending.revision)
    send_pull (s, vm, 0, NULL, now_us);
}

void
cfs_tick (struct cfs *s, int64_t now_us)
{
  if (s->pull_sent_us == 0
      || now_us - s->pull_sent_us < CFS_PULL_TIMEOUT_MS * US_PER_MS)
    return;
  /* No reply: drop the incomplete manifest and pull from the peer that last
     reported the newest revision.  */
  s->pull_sent_us = 0;
  drop_pending (s);
  if (s->newest_revision_heard > s->revision
      && s->newest_revision_heard > s->rejected_revision
      && s->newest_heard_from[0] != '\0')
    send_pull (s, s->newest_heard_from, 0, NULL, now_us);
}

bool
cfs_build_reply (struct cfs *s, const struct wire_pull *pull,
                 struct wire_files *reply)
{
  size_t bytes = 0;

  memset (reply, 0, sizeof *reply);
  if (s->revision == 0)
    return false;
  reply->revision = s->revision;
  reply->manifest = g_strdup (pull->n == 0 ? s->manifest : "");
  reply->blobs = g_new0 (struct wire_blob, pull->n + 1);
  for (uint32_t i = 0; i < pull->n && bytes < CFS_REPLY_BYTES; i++)
    {
      GBytes *blob = g_hash_table_lookup (s->blobs, pull->hashes[i]);
      struct wire_blob *out = &reply->blobs[reply->n];
      gsize len;

      if (!blob)
        continue;
      out->text = (char *)g_bytes_get_data (blob, &len);
      out->len = len;
      out->hash = pull->hashes[i];
      bytes += len;
      reply->n++;
    }
  return true;
}

void
cfs_free_reply (struct wire_files *reply)
{
  g_free (reply->blobs);
  g_free (reply->manifest);
}
