/* Cache of the platform's store.  */
#include "items.h"

struct itm_cache
{
  GHashTable *items; /* key -> struct gsp_item *, the newest of each */
  uint64_t complete; /* all changes up to this revision are in the cache */
  /* All removals after COVERED_FROM are known, except those of items that were
     both created and removed between GAP_FROM and GAP_TO.  */
  uint64_t covered_from;
  uint64_t gap_from;
  uint64_t gap_to;
  /* The listing in progress: its prefix, the store's revision at its start and
     the keys so far.  */
  char *prefix;
  uint64_t listed_revision;
  GHashTable *listed_keys;
};

static void
free_item (gpointer data)
{
  struct gsp_item *item = data;

  g_free (item->key);
  g_free (item->value);
  g_free (item);
}

static void
copy_item (struct gsp_item *copy, const struct gsp_item *item)
{
  copy->key = g_strdup (item->key);
  copy->value = g_strdup (item->value);
  copy->revision = item->revision;
}

struct itm_cache *
itm_new (void)
{
  struct itm_cache *c = g_new0 (struct itm_cache, 1);

  c->items = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, free_item);
  c->listed_keys
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  return c;
}

void
itm_free (struct itm_cache *c)
{
  if (!c)
    return;
  g_hash_table_destroy (c->items);
  g_hash_table_destroy (c->listed_keys);
  g_free (c->prefix);
  g_free (c);
}

bool
itm_update (struct itm_cache *c, const struct gsp_item *item)
{
  const struct gsp_item *known = g_hash_table_lookup (c->items, item->key);
  struct gsp_item *copy;

  if (known && known->revision >= item->revision)
    return false;
  copy = g_new0 (struct gsp_item, 1);
  copy_item (copy, item);
  g_hash_table_replace (c->items, copy->key, copy);
  return true;
}

void
itm_set_complete (struct itm_cache *c, uint64_t revision)
{
  c->complete = MAX (c->complete, revision);
}

uint64_t
itm_complete_revision (const struct itm_cache *c)
{
  return c->complete;
}

/* Returns true if all removals since REVISION are known, so that the items
   newer than REVISION bring a proxy that is complete up to it up to date.  */
static bool
covers (const struct itm_cache *c, uint64_t revision)
{
  return c->complete > 0 && revision >= c->covered_from
         && !(revision > c->gap_from && revision < c->gap_to);
}

uint32_t
itm_count (const struct itm_cache *c, const char *prefix)
{
  uint32_t n = 0;
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, c->items);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const struct gsp_item *item = value;

      n += item->value && g_str_has_prefix (item->key, prefix) ? 1 : 0;
    }
  return n;
}

bool
itm_has (const struct itm_cache *c, const char *key)
{
  const struct gsp_item *item = g_hash_table_lookup (c->items, key);

  return item && item->value;
}

void
itm_begin_full_listing (struct itm_cache *c, uint64_t at_revision)
{
  if (c->complete == 0)
    {
      c->covered_from = at_revision;
      return;
    }
  if (c->gap_to > 0 && c->gap_from != c->complete)
    c->covered_from = c->gap_to;
  c->gap_from = c->complete;
  c->gap_to = at_revision;
}

void
itm_begin_prefix_listing (struct itm_cache *c, const char *prefix,
                          uint64_t at_revision)
{
  g_free (c->prefix);
  c->prefix = g_strdup (prefix);
  c->listed_revision = at_revision;
  g_hash_table_remove_all (c->listed_keys);
}

void
itm_add_listed (struct itm_cache *c, const char *key)
{
  g_hash_table_add (c->listed_keys, g_strdup (key));
}

void
itm_end_prefix_listing (struct itm_cache *c, itm_removed_fn *removed,
                        void *arg)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, c->items);
  while (c->prefix && g_hash_table_iter_next (&iter, NULL, &value))
    {
      struct gsp_item *item = value;

      if (!item->value || item->revision > c->listed_revision
          || !g_str_has_prefix (item->key, c->prefix)
          || g_hash_table_contains (c->listed_keys, item->key))
        continue;
      g_clear_pointer (&item->value, g_free);
      item->revision = c->listed_revision;
      removed (arg, item->key);
    }
  g_hash_table_remove_all (c->listed_keys);
}

static gint
compare_revisions (gconstpointer a, gconstpointer b)
{
  const struct gsp_item *x = *(struct gsp_item *const *)a;
  const struct gsp_item *y = *(struct gsp_item *const *)b;

  return x->revision < y->revision ? -1 : x->revision > y->revision;
}

/* Returns the items newer than REVISION, oldest first.  The items are
   borrowed.  */
static GPtrArray *
newer_than (const struct itm_cache *c, uint64_t revision)
{
  GPtrArray *newer = g_ptr_array_new ();
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, c->items);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    if (((struct gsp_item *)value)->revision > revision)
      g_ptr_array_add (newer, value);
  g_ptr_array_sort (newer, compare_revisions);
  return newer;
}

void
itm_fill_delta (const struct itm_cache *c, uint64_t revision,
                struct gsp_message *message)
{
  GPtrArray *newer = newer_than (c, revision);
  uint64_t complete = c->complete;
  guint n = newer->len;

  if (n > GSP_ITEMS_MAX)
    {
      const struct gsp_item *first_excluded
          = g_ptr_array_index (newer, GSP_ITEMS_MAX);

      /* All changes of one revision go into the same message.  */
      for (n = GSP_ITEMS_MAX; n > 0; n--)
        {
          const struct gsp_item *last = g_ptr_array_index (newer, n - 1);

          complete = last->revision;
          if (last->revision < first_excluded->revision)
            break;
        }
    }
  for (guint i = 0; i < n; i++)
    copy_item (&message->items[message->n_items++],
               g_ptr_array_index (newer, i));
  g_ptr_array_free (newer, TRUE);
  message->base_revision = covers (c, revision) ? revision : UINT64_MAX;
  message->revision = complete;
}

bool
itm_apply_delta (struct itm_cache *c, const struct gsp_message *message,
                 itm_updated_fn *updated, void *arg)
{
  /* Ignore a message that is no newer than the cache: its items may have been
     removed since, which a listing that never contained them doesn't show.  */
  if (message->revision <= c->complete)
    return true;
  if (message->base_revision != c->complete)
    return false;
  for (uint32_t i = 0; i < message->n_items; i++)
    if (itm_update (c, &message->items[i]))
      updated (arg, &message->items[i]);
  itm_set_complete (c, message->revision);
  return true;
}
