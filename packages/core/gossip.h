/* Messages between session poolers, encoded in msgpack: votes on the failure
   of a primary, requests to give up connections, and directory items for
   proxies that don't read them from the store.  */
#ifndef CB_GOSSIP_H
#define CB_GOSSIP_H

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* Items of one message; the receiver requests the rest with another one.  */
#define GSP_ITEMS_MAX 256
#define GSP_TEXT_MAX (2 * 1024 * 1024) /* bytes */

enum gsp_kind
{
  /* Requests a vote: whether the receiver reaches INSTANCE of SERVICE.  */
  GSP_VOTE_REQUEST = 1,
  /* The reply: VOTE on that instance.  */
  GSP_VOTE,
  /* Requests the receiver to close a connection to INSTANCE, which is at its
     limit while the sender has no connection to it.  */
  GSP_YIELD,
  /* Deltas of versions whose revisions have no era; they are ignored.  */
  GSP_OLD_DELTA_REQUEST,
  GSP_OLD_DELTA,
  /* Requests operations of an account, and the reply; see struct gsp_limit. */
  GSP_LIMIT_REQUEST,
  GSP_LIMIT_GRANT,
  /* Requests the directory items newer than REVISION.  */
  GSP_DELTA_REQUEST,
  /* All items newer than BASE_REVISION and up to REVISION.  */
  GSP_DELTA,
  GSP_KIND_END
};

/* One item of the directory as stored.  */
struct gsp_item
{
  char *key;
  char *value; /* NULL: removed */
  uint64_t revision;
};

/* Of GSP_LIMIT_REQUEST and GSP_LIMIT_GRANT: operations of one part of the
   limit of an account.  */
struct gsp_limit
{
  char *account; /* owned */
  uint32_t part;
  uint64_t serial; /* of the request */
  uint32_t needed; /* by operations that wait */
  uint32_t wanted; /* those included */
  uint32_t granted;
  uint64_t wait_ms; /* until the next one can be granted */
};

/* A message.  It owns its strings and items.  */
struct gsp_message
{
  enum gsp_kind kind;
  char *service;
  char *instance;
  uint32_t vote;
  uint64_t revision;
  /* Of GSP_DELTA.  A base above REVISION means that the delta is not complete:
     removals may be missing.  */
  uint64_t base_revision;
  /* Time since the sender last heard from the store; GSP_AGE_UNKNOWN: it
     doesn't watch the store at present.  */
  uint64_t age_ms;
  uint32_t n_items;
  struct gsp_item *items;
  struct gsp_limit limit; /* of the kinds that it names, else empty */
};

#define GSP_AGE_UNKNOWN UINT32_MAX

/* Appends the encoded message to OUT.  */
void gsp_encode (const struct gsp_message *m, GByteArray *out);
/* Decodes DATA into OUT, to be freed with gsp_clear.  Returns false, with OUT
   cleared, if DATA is no valid message of this protocol.  */
bool gsp_decode (const char *data, size_t len, struct gsp_message *out);
/* Frees the contents of M and zeroes it.  */
void gsp_clear (struct gsp_message *m);

#endif
