/* The proxy's cache of the platform's store: the newest known revision of each
   item.  Removed items are kept as well, so that an older revision is never
   accepted again, whether it comes from a watch, a listing or another
   proxy.  */
#ifndef CB_ITEMS_H
#define CB_ITEMS_H

#include "gossip.h"

struct itm_cache;

/* Called for each item that is removed because a listing lacks it.  */
typedef void itm_removed_fn (void *arg, const char *key);

struct itm_cache *itm_new (void);
void itm_free (struct itm_cache *c);
/* Stores a copy of ITEM.  Returns false if the cache already has this revision
   of the key or a newer one.  */
bool itm_update (struct itm_cache *c, const struct gsp_item *item);
/* Records that all changes up to REVISION are in the cache.  */
void itm_set_complete (struct itm_cache *c, uint64_t revision);
/* Returns the revision up to which the cache is complete, 0 = none.  */
uint64_t itm_complete_revision (const struct itm_cache *c);
/* Returns the number of present items whose keys begin with PREFIX.  */
uint32_t itm_count (const struct itm_cache *c, const char *prefix);
/* Returns true if KEY is present.  */
bool itm_has (const struct itm_cache *c, const char *key);

/* Starts a listing of all items at a time when the store is at AT_REVISION.
   Items that were both created and removed since the cache was last complete
   stay unknown.  */
void itm_begin_full_listing (struct itm_cache *c, uint64_t at_revision);
/* Starts the listing of one PREFIX, which the store began at AT_REVISION.
   itm_add_listed is called for each key of it.  The end of the listing removes
   the cached items under the prefix that are not newer than AT_REVISION and
   were not listed, and calls REMOVED for each.  */
void itm_begin_prefix_listing (struct itm_cache *c, const char *prefix,
                               uint64_t at_revision);
void itm_add_listed (struct itm_cache *c, const char *key);
void itm_end_prefix_listing (struct itm_cache *c, itm_removed_fn *removed,
                             void *arg);

/* Fills MESSAGE with the items newer than REVISION, oldest first, up to the
   limit of a message, and with the range of revisions for which they are
   complete.  MESSAGE must have room for GSP_ITEMS_MAX items.  */
void itm_fill_delta (const struct itm_cache *c, uint64_t revision,
                     struct gsp_message *message);

/* Called for each item that is newer than the cached one.  */
typedef void itm_updated_fn (void *arg, const struct gsp_item *item);

/* Applies a delta received from another proxy.  Returns false if the delta
   doesn't start where this cache is complete: it may then lack the removal of
   an item that this cache still has, and no later delta would contain that
   removal.  */
bool itm_apply_delta (struct itm_cache *c, const struct gsp_message *message,
                      itm_updated_fn *updated, void *arg);

#endif
