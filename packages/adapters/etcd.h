/* The platform's key-value service by the etcd v3 JSON gateway, on libcurl.
   Blocking calls; one client a thread.  */
#ifndef CB_ETCD_H
#define CB_ETCD_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#define ETCD_ERROR etcd_error_quark ()

enum etcd_error
{
  ETCD_ERROR_UNREACHABLE, /* nothing can be concluded */
  ETCD_ERROR_REPLY       /* the service answered something unusable */
};

struct etcd_options
{
  const char *const *endpoints; /* "http://ip:port", NULL-terminated */
  int64_t timeout_ms;
  const char *ca_file;    /* NULL: system's */
  const char *token_file; /* bearer token, NULL: none */
};

/* One key's value.  */
struct etcd_kv
{
  char *key;
  char *value;
  size_t len;
  int64_t mod_revision;
};

/* A compare-and-swap: PUTS and DELETES happen if KEY still has MOD_REVISION
   (0: does not exist).  */
struct etcd_cas
{
  const char *key;
  int64_t mod_revision;
  uint32_t n_puts;
  const struct etcd_kv *puts;
  uint32_t n_deletes;
  const char *const *deletes; /* keys */
};

struct etcd;

GQuark etcd_error_quark (void);
struct etcd *etcd_new (const struct etcd_options *options);
void etcd_free (struct etcd *e);
/* Reads KEY, or all keys that start with it when PREFIX.  The caller frees the
   array, whose items free themselves.  NULL on error.  */
GPtrArray *etcd_range (struct etcd *e, const char *key, bool prefix,
                       GError **error);
/* Tries SWAP; *DONE tells whether the comparison held.  False on error: then
   the swap may or may not have happened.  */
bool etcd_txn (struct etcd *e, const struct etcd_cas *swap, bool *done,
               GError **error);
/* Watches KEY until the connection ends or STOP returns true; calls CHANGED
   once at the start and for each change.  */
void etcd_watch (struct etcd *e, const char *key, void (*changed) (void *arg),
                 bool (*stop) (void *arg), void *arg);

#endif
