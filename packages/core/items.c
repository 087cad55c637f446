/* Items of the platform's store.  */
#include "items.h"

struct itm_cache
{
  GHashTable *items; /* key -> struct gsp_item *, the newest of each */
  uint64_t newest;   /* revision of any item */
  char *prefix;      /* of the listing under way */
  uint64_t listed_at;
  GHashTable *listed; /* its keys */
};

static void
free_item (gpointer data)
{
  struct gsp_item *item = data;

  g_free (item->key);
  g_free (item->value);
  g_free (item);
}

static struct gsp_item *
copy_item (const struct gsp_item *item)
{
  struct gsp_item *copy = g_new0 (struct gsp_item, 1);

  copy->key = g_strdup (item->key);
  copy->value = g_strdup (item->value);
  copy->revision = item->revision;
  return copy;
}

struct itm_cache *
itm_new (void)
{
  struct itm_cache *c = g_new0 (struct itm_cache, 1);

  c->items = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, free_item);
  c->listed = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  return c;
}

void
itm_free (struct itm_cache *c)
{
  if (!c)
    return;
  g_hash_table_destroy (c->items);
  g_hash_table_destroy (c->listed);
  g_free (c->prefix);
  g_free (c);
}

bool
itm_learn (struct itm_cache *c, const struct gsp_item *item)
{
  const struct gsp_item *known = g_hash_table_lookup (c->items, item->key);
  struct gsp_item *copy;

  if (known && known->revision >= item->revision)
    return false;
  copy = copy_item (item);
  g_hash_table_replace (c->items, copy->key, copy);
  c->newest = MAX (c->newest, item->revision);
  return true;
}

uint64_t
itm_newest (const struct itm_cache *c)
{
  return c->newest;
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
itm_begin_listing (struct itm_cache *c, const char *prefix,
                   uint64_t at_revision)
{
  g_free (c->prefix);
  c->prefix = g_strdup (prefix);
  c->listed_at = at_revision;
  g_hash_table_remove_all (c->listed);
}

void
itm_note_listed (struct itm_cache *c, const char *key)
{
  g_hash_table_add (c->listed, g_strdup (key));
}

void
itm_end_listing (struct itm_cache *c, itm_gone_fn *gone, void *arg)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, c->items);
  while (c->prefix && g_hash_table_iter_next (&iter, NULL, &value))
    {
      struct gsp_item *item = value;

      if (!item->value || item->revision > c->listed_at
          || !g_str_has_prefix (item->key, c->prefix)
          || g_hash_table_contains (c->listed, item->key))
        continue;
      g_clear_pointer (&item->value, g_free);
      item->revision = c->listed_at;
      gone (arg, item->key);
    }
  g_hash_table_remove_all (c->listed);
}

void
itm_collect (const struct itm_cache *c, uint64_t revision,
             struct gsp_message *message)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, c->items);
  while (message->n_items < GSP_ITEMS_MAX
         && g_hash_table_iter_next (&iter, NULL, &value))
    {
      const struct gsp_item *known = value;
      struct gsp_item *copy = &message->items[message->n_items];

      if (known->revision <= revision)
        continue;
      copy->key = g_strdup (known->key);
      copy->value = g_strdup (known->value);
      copy->revision = known->revision;
      message->n_items++;
    }
}
