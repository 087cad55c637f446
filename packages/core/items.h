/* What this proxy holds of the platform's store: the newest revision of each
   item, removed ones included, so that nothing older is taken again from
   whatever source it comes: a watch, a listing or another proxy.  */
#ifndef CB_ITEMS_H
#define CB_ITEMS_H

#include "gossip.h"

struct itm_cache;

/* An item that a listing lacked.  */
typedef void itm_gone_fn (void *arg, const char *key);

struct itm_cache *itm_new (void);
void itm_free (struct itm_cache *c);
/* Remembers ITEM.  False when it is no news about its key.  */
bool itm_learn (struct itm_cache *c, const struct gsp_item *item);
/* All changes up to REVISION were learned.  */
void itm_note_complete (struct itm_cache *c, uint64_t revision);
/* Up to where that is so, 0 = nowhere.  */
uint64_t itm_complete_to (const struct itm_cache *c);
/* Items present whose keys begin with PREFIX.  */
uint32_t itm_count (const struct itm_cache *c, const char *prefix);
/* True when KEY is present.  */
bool itm_has (const struct itm_cache *c, const char *key);

/* All is about to be listed anew, by a store that stands at AT_REVISION; what
   came and went since the last change that was learned stays unknown.  */
void itm_note_relisting (struct itm_cache *c, uint64_t at_revision);
/* A listing under PREFIX that began when the store stood at AT_REVISION; each
   key of it is noted, then it ends.  Items held under the prefix that are no
   newer and were not listed are removed: GONE is told of each.  */
void itm_begin_listing (struct itm_cache *c, const char *prefix,
                        uint64_t at_revision);
void itm_note_listed (struct itm_cache *c, const char *key);
void itm_end_listing (struct itm_cache *c, itm_gone_fn *gone, void *arg);

/* Fills MESSAGE in with the items newer than REVISION, oldest first, as many
   as it takes, and says from where to where they are complete.  */
void itm_give_news (const struct itm_cache *c, uint64_t revision,
                    struct gsp_message *message);

/* An item that was news.  */
typedef void itm_news_fn (void *arg, const struct gsp_item *item);

/* Takes what another proxy gave.  False when that doesn't follow on what is
   known here: it may lack the removal of what this proxy learned since, and no
   other news would ever tell of it.  */
bool itm_take_news (struct itm_cache *c, const struct gsp_message *message,
                    itm_news_fn *news, void *arg);

#endif
