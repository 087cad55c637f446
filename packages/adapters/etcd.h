/* Client of the platform's key-value store, which speaks the etcd v3 JSON
   gateway protocol; built on libcurl.  Calls block, and each thread needs a
   client of its own.  */
#ifndef CB_ETCD_H
#define CB_ETCD_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#define ETCD_ERROR etcd_error_quark ()

enum etcd_error
{
  ETCD_ERROR_UNREACHABLE, /* no reply or a 5xx status; it is unknown whether
                             the store has carried out the request */
  ETCD_ERROR_REPLY        /* status other than 200, or not JSON */
};

/* The strings are borrowed and must outlive the client.  */
struct etcd_options
{
  const char *const *endpoints; /* "http://ip:port", NULL-terminated */
  int64_t timeout_ms;           /* of one request */
  const char *ca_file;          /* NULL: the system's CA certificates */
  const char *token_file; /* holds the bearer token, read for every request;
                             NULL: none is sent */
};

/* A key with its value.  */
struct etcd_kv
{
  char *key;
  char *value;
  size_t len;
  int64_t mod_revision;
};

/* A compare-and-swap: PUTS and DELETES are applied if KEY is still at
   MOD_REVISION (0: does not exist).  */
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
/* Reads KEY, or all keys that start with KEY if PREFIX is true.  Returns an
   array of struct etcd_kv *, which the caller frees together with its items by
   g_ptr_array_free, or NULL on error.  */
GPtrArray *etcd_range (struct etcd *e, const char *key, bool prefix,
                       GError **error);
/* Attempts CAS and sets *SUCCEEDED to whether the comparison held.  Returns
   false on error; the changes may or may not have been applied then.  */
bool etcd_txn (struct etcd *e, const struct etcd_cas *cas, bool *succeeded,
               GError **error);
/* Watches KEY until the connection ends or STOP returns true.  Calls CHANGED
   once when the watch is established and again for each change.  */
void etcd_watch (struct etcd *e, const char *key, void (*changed) (void *arg),
                 bool (*stop) (void *arg), void *arg);

#endif
