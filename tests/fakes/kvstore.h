/* Fake of the platform's key-value store and of its promotion call, over HTTP:
   leases, transactions, watches, compaction of the history, and faults.
   Requests are handled on CivetWeb's threads.  */
#ifndef CB_KVSTORE_H
#define CB_KVSTORE_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

enum kvs_fault
{
  KVS_UP,
  KVS_BUSY,       /* replies 503 and does nothing */
  KVS_SILENT,     /* does nothing and replies 503, later than clients
                     wait */
  KVS_LOSE_REPLY, /* carries writes out and sends no reply */
  KVS_SLOW,       /* handles requests late */
  KVS_FAULTS
};

/* Carries out a promotion and returns the HTTP status.  Called on any
   thread.  */
typedef int kvs_promote_fn (void *arg, const char *service,
                            const char *instance, uint64_t token);

struct kvs;

/* Starts the server; NULL if LISTEN (host:port) can't be bound.  */
struct kvs *kvs_new (const char *listen, kvs_promote_fn *promote, void *arg);
void kvs_free (struct kvs *s);
/* Limits one page of a listing to ITEMS.  */
void kvs_set_page_size (struct kvs *s, uint32_t items);
void kvs_set_fault (struct kvs *s, enum kvs_fault fault);
/* Drops the history of changes; a watch that starts before it gets status
   410.  */
void kvs_compact (struct kvs *s);
/* Copies what the store holds.  */
void kvs_copy (struct kvs *s);
/* Returns to the copy, under the next era: what was written since is gone, all
   leases too, and revisions are given out again.  */
void kvs_restore_copy (struct kvs *s);
/* Returns true if KEY is present.  */
bool kvs_has (struct kvs *s, const char *key);
/* Sets KEY to VALUE, or removes it if VALUE is NULL, as the operator or an
   instance would.  */
void kvs_put (struct kvs *s, const char *key, const char *value);

#endif
