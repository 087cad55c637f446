/* Stand-in of the platform's store and promotion call, over HTTP: leases,
   transactions, watch, lost history, and the ways in which it fails.  Its
   calls run on CivetWeb's threads.  */
#ifndef CB_KVSTORE_H
#define CB_KVSTORE_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

enum kvs_fault
{
  KVS_UP,
  KVS_BUSY,   /* 503, nothing was done */
  KVS_SILENT, /* no answer, nothing was done */
  KVS_LOST,   /* writes are done and not answered */
  KVS_SLOW,
  KVS_FAULTS
};

/* Carries a promotion out; returns the HTTP status.  On any thread.  */
typedef int kvs_promote_fn (void *arg, const char *service,
                            const char *instance, uint64_t token);

struct kvs;

/* NULL when LISTEN (host:port) can't be bound.  */
struct kvs *kvs_new (const char *listen, kvs_promote_fn *promote, void *arg);
void kvs_free (struct kvs *s);
void kvs_set_fault (struct kvs *s, enum kvs_fault fault);
/* Drops the history: watches are told so.  */
void kvs_compact (struct kvs *s);
/* Writes as the operator or an instance does; NULL removes.  */
void kvs_put (struct kvs *s, const char *key, const char *value);

#endif
