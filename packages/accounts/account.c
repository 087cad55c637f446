/* Client accounts and their keys.  */
#include "account.h"

#include <sodium.h>
#include <string.h>

G_STATIC_ASSERT (ACC_DIGEST_BYTES == crypto_generichash_BYTES);

/* Domain of the digests, so that the same text hashed elsewhere for another
   purpose gives another digest.  */
static const char digest_domain[] = "cassiabay account key";

struct key_entry
{
  struct acc_digest digest;
  const struct acc_account *account;
};

struct acc_table
{
  GHashTable *names; /* name -> struct acc_account *, owned */
  GHashTable *keys;  /* short hash (guint64 *) -> GArray of struct key_entry */
  /* Key of the short hash, random for each table, so that callers cannot
     choose keys that collide.  */
  uint8_t hash_key[crypto_shorthash_KEYBYTES];
};

void
acc_digest_key (const char *key, struct acc_digest *out)
{
  crypto_generichash (
      out->bytes, sizeof out->bytes, (const unsigned char *)key, strlen (key),
      (const unsigned char *)digest_domain, sizeof digest_domain - 1);
}

void
acc_format_digest (const struct acc_digest *digest,
                   char text[ACC_DIGEST_TEXT_LEN + 1])
{
  sodium_bin2hex (text, ACC_DIGEST_TEXT_LEN + 1, digest->bytes,
                  sizeof digest->bytes);
}

bool
acc_parse_digest (const char *text, struct acc_digest *out)
{
  size_t len = 0;

  return sodium_hex2bin (out->bytes, sizeof out->bytes, text, strlen (text),
                         NULL, &len, NULL)
             == 0
         && len == sizeof out->bytes;
}

static void
free_account (gpointer data)
{
  struct acc_account *account = data;

  g_free (account->name);
  g_free (account);
}

static void
free_entries (gpointer data)
{
  g_array_free (data, TRUE);
}

struct acc_table *
acc_table_new (void)
{
  struct acc_table *t = g_new0 (struct acc_table, 1);

  t->names
      = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, free_account);
  t->keys = g_hash_table_new_full (g_int64_hash, g_int64_equal, g_free,
                                   free_entries);
  crypto_shorthash_keygen (t->hash_key);
  return t;
}

void
acc_table_free (struct acc_table *t)
{
  if (!t)
    return;
  g_hash_table_destroy (t->names);
  g_hash_table_destroy (t->keys);
  g_free (t);
}

const struct acc_account *
acc_table_add (struct acc_table *t, const char *name,
               const struct acc_limit *limit)
{
  struct acc_account *account;

  if (g_hash_table_contains (t->names, name))
    return NULL;
  account = g_new0 (struct acc_account, 1);
  account->name = g_strdup (name);
  account->limit = *limit;
  g_hash_table_insert (t->names, account->name, account);
  return account;
}

static GArray *
find_entries (const struct acc_table *t, const struct acc_digest *digest,
              guint64 *hash)
{
  crypto_shorthash ((unsigned char *)hash, digest->bytes, sizeof digest->bytes,
                    t->hash_key);
  return g_hash_table_lookup (t->keys, hash);
}

const struct acc_account *
acc_table_add_key (struct acc_table *t, const struct acc_account *account,
                   const struct acc_digest *digest)
{
  const struct acc_account *holder = acc_table_find (t, digest);
  struct key_entry entry = { *digest, account };
  guint64 hash;
  GArray *entries;

  if (holder)
    return holder;
  entries = find_entries (t, digest, &hash);
  if (!entries)
    {
      entries = g_array_new (FALSE, FALSE, sizeof entry);
      g_hash_table_insert (t->keys, g_memdup2 (&hash, sizeof hash), entries);
    }
  g_array_append_val (entries, entry);
  return NULL;
}

const struct acc_account *
acc_table_find (const struct acc_table *t, const struct acc_digest *digest)
{
  const struct acc_account *found = NULL;
  guint64 hash;
  const GArray *entries = find_entries (t, digest, &hash);

  for (guint i = 0; entries && i < entries->len; i++)
    {
      const struct key_entry *e
          = &g_array_index (entries, struct key_entry, i);

      if (sodium_memcmp (e->digest.bytes, digest->bytes, sizeof digest->bytes)
          == 0)
        found = e->account;
    }
  return found;
}

const struct acc_account *
acc_table_find_name (const struct acc_table *t, const char *name)
{
  return t ? g_hash_table_lookup (t->names, name) : NULL;
}

uint32_t
acc_table_count (const struct acc_table *t)
{
  return g_hash_table_size (t->names);
}
