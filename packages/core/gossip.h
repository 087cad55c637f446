/* Messages between session poolers, in msgpack: votes on primaries, and what
   one knows of the directory that another can't reach.  */
#ifndef CB_GOSSIP_H
#define CB_GOSSIP_H

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* Items of one message; a receiver asks again for the rest.  */
#define GSP_ITEMS_MAX 256
#define GSP_TEXT_MAX (2 * 1024 * 1024)

enum gsp_kind
{
  GSP_ASK = 1, /* do you reach INSTANCE of SERVICE? */
  GSP_VOTE,    /* VOTE on it */
  GSP_YIELD,   /* this proxy has no connection to INSTANCE, which is full */
  GSP_SINCE,   /* which directory items are newer than REVISION? */
  GSP_ITEMS,   /* those newer than BASE, all of them up to REVISION */
  GSP_KIND_END
};

/* One item of the directory, as its store keeps it.  */
struct gsp_item
{
  char *key;
  char *value; /* NULL: removed */
  uint64_t revision;
};

/* Owns its texts and items.  */
struct gsp_message
{
  enum gsp_kind kind;
  char *service;
  char *instance;
  uint32_t vote;
  uint64_t revision;
  uint64_t base;   /* of GSP_ITEMS; above REVISION: not complete */
  uint64_t age_ms; /* since the sender heard from the store; GSP_AGE_UNKNOWN:
                      it doesn't watch it at present */
  uint32_t n_items;
  struct gsp_item *items;
};

#define GSP_AGE_UNKNOWN UINT32_MAX

/* Appends the encoded message to OUT.  */
void gsp_encode (const struct gsp_message *m, GByteArray *out);
/* False when DATA is no message of this protocol.  */
bool gsp_decode (const char *data, size_t len, struct gsp_message *out);
void gsp_clear (struct gsp_message *m);

#endif
