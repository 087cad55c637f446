/* The directory: which service each database is routed to, and which upstream
   instances exist.  An adapter decodes it, the session pooler reads it.  */
#ifndef CB_DIR_H
#define CB_DIR_H

#include "account.h"
#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/* Which commits the reads of a route must see.  */
enum dir_read_consistency
{
  DIR_READ_PRIMARY,       /* every acknowledged commit */
  DIR_READ_BOUNDED_STALE, /* every commit older than the allowed age */
  DIR_READ_YOUR_WRITES    /* those, and every commit of the session itself */
};

/* A database under the name that callers use.  */
struct dir_route
{
  char *database;
  char *service;
  enum dir_read_consistency reads;
  int64_t max_age_us;   /* allowed age, unused with DIR_READ_PRIMARY */
  int64_t timeout_us;   /* of one statement */
  int64_t objective_us; /* latency objective of a whole operation */
  int32_t priority;     /* 0 is the most urgent */
  bool is_public;       /* callers need no account */
};

/* A database group: one primary and its replicas.  */
struct dir_service
{
  char *name;
  int32_t connections_max; /* limit of one instance, for all VMs together */
  /* Number of replicas that must have received a commit before the primary
     acknowledges it.  */
  int32_t sync_replicas;
};

/* One version of the operators' configuration.  Immutable once built.  */
struct dir_config
{
  uint64_t version;
  GHashTable *routes;   /* database -> struct dir_route * */
  GHashTable *services; /* name -> struct dir_service * */
  int64_t transaction_idle_us;
  struct acc_table *accounts; /* NULL = callers need no accounts */
};

/* The directory entry of one upstream instance.  */
struct dir_instance
{
  char *id;
  char *service;
  char *host; /* an IP address */
  uint16_t port;
  char *data_centre;
  int64_t started_ms; /* start of the process by its own clock; distinguishes
                         successive processes with the same id */
  int32_t slots;      /* statements that it runs at the same time */
  bool draining;
  bool reports_primary; /* role that it reported, may be outdated */
};

struct dir_config *dir_config_new (uint64_t version);
/* Takes ownership of ROUTE, which replaces an earlier one of its database.  */
void dir_config_add_route (struct dir_config *c, struct dir_route *route);
/* Takes ownership of SERVICE, which replaces an earlier one of its name.  */
void dir_config_add_service (struct dir_config *c,
                             struct dir_service *service);
void dir_config_free (struct dir_config *c);
/* Returns NULL if C is NULL or DATABASE has no route.  */
const struct dir_route *dir_find_route (const struct dir_config *c,
                                        const char *database);
/* Returns NULL if C is NULL or has no service NAME.  */
const struct dir_service *dir_find_service (const struct dir_config *c,
                                            const char *name);

struct dir_instance *dir_instance_copy (const struct dir_instance *i);
void dir_instance_free (struct dir_instance *i);
/* Returns true if both entries describe the same process at the same
   address.  */
bool dir_instance_is_same (const struct dir_instance *a,
                           const struct dir_instance *b);

#endif
