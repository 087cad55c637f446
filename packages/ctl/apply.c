/* Reads and changes the operators' configuration files.

   Each apply has a random id, which the new manifest records.  When the reply
   to a compare-and-swap is lost, the next read of the manifest shows by this
   id whether the change took effect.  */
#include "apply.h"

#include <sodium.h>
#include <string.h>
#include <time.h>

/* Compare-and-swap attempts of one apply before it gives up.  */
#define ATTEMPTS_MAX 20
#define RETRY_DELAY_MS 200

void
apply_free_file (gpointer data)
{
  struct dcl_file *file = data;

  g_free (file->name);
  g_free (file->text);
  g_free (file);
}

struct dcl_file *
apply_load_file (const char *path, GError **error)
{
  struct dcl_file *file = g_new0 (struct dcl_file, 1);
  gsize len;

  file->name = g_path_get_basename (path);
  if (!g_file_get_contents (path, &file->text, &len, error))
    goto fail;
  file->len = len;
  if (dcl_is_name (file->name))
    return file;
  g_set_error (error, g_quark_from_static_string ("apply"), 1,
               "%s: a file name has 1 to %d letters, digits, \"-\", \"_\" or "
               "\".\"",
               path, DCL_NAME_MAX);
fail:
  apply_free_file (file);
  return NULL;
}

void
apply_clear (struct stored_config *stored)
{
  mnf_clear (&stored->manifest);
  if (stored->files)
    g_ptr_array_free (stored->files, TRUE);
  stored->files = NULL;
}

/* Reads the contents of the file that ENTRY names and adds it to FILES.  */
static bool
read_blob (struct etcd *etcd, const struct mnf_file *entry, GPtrArray *files,
           GError **error)
{
  char *key = g_strconcat (MNF_BLOB_PREFIX, entry->hash, NULL);
  GPtrArray *kvs = etcd_range (etcd, key, false, error);
  struct dcl_file *file;
  bool ok = false;

  if (kvs && kvs->len == 1)
    {
      struct etcd_kv *kv = g_ptr_array_index (kvs, 0);

      file = g_new0 (struct dcl_file, 1);
      file->name = g_strdup (entry->name);
      file->text = g_steal_pointer (&kv->value);
      file->len = kv->len;
      g_ptr_array_add (files, file);
      ok = true;
    }
  else if (kvs)
    g_set_error (error, ETCD_ERROR, ETCD_ERROR_REPLY,
                 "store: file \"%s\" changed while it was read", entry->name);
  if (kvs)
    g_ptr_array_free (kvs, TRUE);
  g_free (key);
  return ok;
}

bool
apply_read (struct etcd *etcd, struct stored_config *out, GError **error)
{
  GPtrArray *kvs = etcd_range (etcd, MNF_KEY, false, error);
  bool ok = kvs != NULL;

  memset (out, 0, sizeof *out);
  out->files = g_ptr_array_new_with_free_func (apply_free_file);
  if (kvs && kvs->len > 0)
    {
      struct etcd_kv *kv = g_ptr_array_index (kvs, 0);

      out->mod_revision = kv->mod_revision;
      ok = mnf_parse (kv->value, kv->len, &out->manifest);
      if (!ok)
        g_set_error (error, ETCD_ERROR, ETCD_ERROR_REPLY,
                     "store: the value of %s is not a manifest", MNF_KEY);
      for (uint32_t i = 0; ok && i < out->manifest.n_files; i++)
        ok = read_blob (etcd, &out->manifest.files[i], out->files, error);
    }
  if (kvs)
    g_ptr_array_free (kvs, TRUE);
  if (!ok)
    apply_clear (out);
  return ok;
}

static const struct dcl_file *
find_file (const GPtrArray *files, const char *name)
{
  for (uint32_t i = 0; i < files->len; i++)
    {
      const struct dcl_file *f = g_ptr_array_index (files, i);

      if (g_strcmp0 (f->name, name) == 0)
        return f;
    }
  return NULL;
}

static bool
is_removed (const struct apply_request *request, const char *name)
{
  return request->removes && g_strv_contains (request->removes, name);
}

bool
apply_check (const struct stored_config *stored,
             const struct apply_request *request, struct fnd_list *findings)
{
  uint32_t n = stored->files->len + request->files->len;
  struct dcl_file *all = g_new0 (struct dcl_file, n + 1);
  struct dcl_set *set;
  uint32_t count = 0;

  for (uint32_t i = 0; i < stored->files->len; i++)
    {
      const struct dcl_file *f = g_ptr_array_index (stored->files, i);

      if (!find_file (request->files, f->name)
          && !is_removed (request, f->name))
        all[count++] = *f;
    }
  for (uint32_t i = 0; i < request->files->len; i++)
    all[count++]
        = *(const struct dcl_file *)g_ptr_array_index (request->files, i);
  set = dcl_parse (all, count, findings);
  g_free (all);
  dcl_free (set);
  return set != NULL;
}

/* Sets NEXT to the manifest that results from the request.  Returns false when
   it lists the same files with the same contents as the current one.  */
static bool
build_manifest (const struct stored_config *stored,
                const struct apply_request *request, const char *apply_id,
                struct mnf *next)
{
  const struct mnf *old = &stored->manifest;
  char hash[MNF_HASH_LEN + 1];
  bool changed = false;

  memset (next, 0, sizeof *next);
  next->revision = old->revision + 1;
  for (uint32_t i = 0; i < old->n_files; i++)
    if (is_removed (request, old->files[i].name))
      changed = true;
    else
      mnf_set_file (next, old->files[i].name, old->files[i].hash);
  for (uint32_t i = 0; i < request->files->len; i++)
    {
      const struct dcl_file *f = g_ptr_array_index (request->files, i);
      const struct mnf_file *previous = mnf_find_file (old, f->name);

      mnf_hash (f->text, f->len, hash);
      changed |= !previous || strcmp (previous->hash, hash) != 0;
      mnf_set_file (next, f->name, hash);
    }
  for (uint32_t i = 0; i < old->n_applies; i++)
    mnf_add_apply (next, old->applies[i]);
  mnf_add_apply (next, apply_id);
  return changed;
}

static bool
refers_to_hash (const struct mnf *m, const char *hash)
{
  for (uint32_t i = 0; i < m->n_files; i++)
    if (strcmp (m->files[i].hash, hash) == 0)
      return true;
  return false;
}

/* Writes the request's files and the manifest NEXT in one transaction, which
   succeeds only if the manifest is still the one in STORED, and deletes
   contents that NEXT no longer refers to.  *DONE tells whether it succeeded.
   Returns false when no reply of the store was received.  */
static bool
write_changes (struct etcd *etcd, const struct stored_config *stored,
               const struct apply_request *request, const struct mnf *next,
               bool *done, GError **error)
{
  uint32_t n = request->files->len;
  struct etcd_kv *puts = g_new0 (struct etcd_kv, n + 1);
  GPtrArray *deletes = g_ptr_array_new_with_free_func (g_free);
  struct etcd_cas txn = { 0 };
  char hash[MNF_HASH_LEN + 1];
  bool ok;

  for (uint32_t i = 0; i < n; i++)
    {
      const struct dcl_file *f = g_ptr_array_index (request->files, i);

      mnf_hash (f->text, f->len, hash);
      puts[i].key = g_strconcat (MNF_BLOB_PREFIX, hash, NULL);
      puts[i].value = f->text;
      puts[i].len = f->len;
    }
  puts[n].key = g_strdup (MNF_KEY);
  puts[n].value = mnf_format (next);
  puts[n].len = strlen (puts[n].value);
  for (uint32_t i = 0; i < stored->manifest.n_files; i++)
    if (!refers_to_hash (next, stored->manifest.files[i].hash))
      g_ptr_array_add (
          deletes,
          g_strconcat (MNF_BLOB_PREFIX, stored->manifest.files[i].hash, NULL));
  txn.key = MNF_KEY;
  txn.mod_revision = stored->mod_revision;
  txn.n_puts = n + 1;
  txn.puts = puts;
  txn.n_deletes = deletes->len;
  txn.deletes = (const char *const *)deletes->pdata;
  ok = etcd_txn (etcd, &txn, done, error);
  g_free (puts[n].value);
  for (uint32_t i = 0; i <= n; i++)
    g_free (puts[i].key);
  g_ptr_array_free (deletes, TRUE);
  g_free (puts);
  return ok;
}

/* Returns the name of a file of the request that differs between the two
   manifests, NULL when none does.  */
static const char *
find_conflict (const struct mnf *base, const struct mnf *current,
               const struct apply_request *request)
{
  for (uint32_t i = 0; i < request->files->len; i++)
    {
      const struct dcl_file *f = g_ptr_array_index (request->files, i);
      const struct mnf_file *a = mnf_find_file (base, f->name);
      const struct mnf_file *b = mnf_find_file (current, f->name);

      if (!a != !b || (a && strcmp (a->hash, b->hash) != 0))
        return f->name;
    }
  return NULL;
}

static void
make_apply_id (char out[MNF_APPLY_ID_LEN + 1])
{
  unsigned char raw[MNF_APPLY_ID_LEN / 2];

  randombytes_buf (raw, sizeof raw);
  sodium_bin2hex (out, MNF_APPLY_ID_LEN + 1, raw, sizeof raw);
}

/* Reads the configuration in force and retries for at most MAX_WAIT_MS while
   the store cannot be read.  */
static bool
read_with_retries (struct etcd *etcd, struct stored_config *out,
                   int64_t max_wait_ms, char **detail)
{
  struct timespec pause = { 0, RETRY_DELAY_MS * 1000000L };
  int64_t deadline_us = g_get_monotonic_time () + max_wait_ms * 1000;
  GError *error = NULL;

  while (!apply_read (etcd, out, &error))
    {
      if (g_get_monotonic_time () > deadline_us)
        {
          *detail = g_strdup (error->message);
          g_clear_error (&error);
          return false;
        }
      g_clear_error (&error);
      nanosleep (&pause, NULL);
    }
  return true;
}

/* One apply, over all its attempts.  */
struct apply_state
{
  struct etcd *etcd;
  const struct apply_request *request;
  char id[MNF_APPLY_ID_LEN + 1];
  struct mnf base; /* the manifest as first read */
  bool reply_lost; /* no reply was received to a compare-and-swap */
};

/* Makes one attempt against the configuration in STORED, unless an earlier
   attempt turns out to have succeeded.  Returns true when the apply is
   finished, with *RESULT set.  */
static bool
try_apply (struct apply_state *a, struct stored_config *stored,
           struct fnd_list *findings, enum apply_result *result,
           uint64_t *revision, char **detail)
{
  const char *conflict;
  struct mnf next;
  bool changed;
  bool done = false;

  *revision = stored->manifest.revision;
  if (mnf_has_apply (&stored->manifest, a->id))
    {
      *result = APPLY_DONE;
      return true;
    }
  conflict = find_conflict (&a->base, &stored->manifest, a->request);
  if (conflict)
    {
      *detail = g_strdup_printf (
          "file \"%s\" was changed by another operator in revision %lu; see "
          "cassiabay diff, then apply again",
          conflict, stored->manifest.revision);
      *result = APPLY_CONFLICT;
      return true;
    }
  if (!apply_check (stored, a->request, findings))
    {
      *result = APPLY_INVALID;
      return true;
    }
  changed = build_manifest (stored, a->request, a->id, &next);
  if (!changed && !a->reply_lost)
    {
      mnf_clear (&next);
      *result = APPLY_UNCHANGED;
      return true;
    }
  if (!write_changes (a->etcd, stored, a->request, &next, &done, NULL))
    a->reply_lost = true;
  if (done)
    {
      *revision = next.revision;
      *result = APPLY_DONE;
    }
  mnf_clear (&next);
  return done;
}

enum apply_result
apply_run (struct etcd *etcd, const struct apply_request *request,
           struct fnd_list *findings, uint64_t *revision, char **detail)
{
  struct apply_state a = { 0 };
  struct stored_config stored;
  enum apply_result result = APPLY_UNKNOWN;
  bool finished = false;

  a.etcd = etcd;
  a.request = request;
  make_apply_id (a.id);
  for (int32_t attempt = 0; attempt < ATTEMPTS_MAX && !finished; attempt++)
    {
      if (!read_with_retries (etcd, &stored, request->max_wait_ms, detail))
        break;
      if (attempt == 0)
        {
          a.base = stored.manifest;
          a.base.files = g_memdup2 (stored.manifest.files,
                                    stored.manifest.n_files
                                        * sizeof *stored.manifest.files);
          a.base.applies = NULL;
          a.base.n_applies = 0;
        }
      finished = try_apply (&a, &stored, findings, &result, revision, detail);
      apply_clear (&stored);
    }
  if (!finished && !*detail)
    *detail = g_strdup ("other operators kept changing the configuration; "
                        "try again");
  mnf_clear (&a.base);
  return result;
}
