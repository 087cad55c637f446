/* The directory: which databases are routed where, and which upstream
   instances exist.  Decoded by an adapter, read by the session pooler.  */
#ifndef CB_DIR_H
#define CB_DIR_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/* What a route's reads must see.  */
enum dir_reads
{
  DIR_READS_FRESH,   /* every acknowledged commit */
  DIR_READS_BOUNDED, /* commits older than the allowed age */
  DIR_READS_OWN      /* the same, and the session's own commits */
};

/* A database as callers name it.  */
struct dir_route
{
  char *database;
  char *service;
  enum dir_reads reads;
  int64_t max_age_us;   /* for all but DIR_READS_FRESH */
  int64_t timeout_us;   /* of one statement */
  int64_t objective_us; /* latency aimed at, for a whole operation */
  int32_t priority;     /* 0 goes first */
};

/* A database group: one primary and its replicas.  */
struct dir_service
{
  char *name;
  int32_t connections_max; /* that one instance accepts from all VMs */
};

/* One version of the operators' configuration.  Immutable once built.  */
struct dir_config
{
  uint64_t version;
  GHashTable *routes;   /* database -> struct dir_route * */
  GHashTable *services; /* name -> struct dir_service * */
  int64_t transaction_idle_us;
};

/* One upstream instance as the directory lists it.  */
struct dir_instance
{
  char *id;
  char *service;
  char *host; /* an IP number */
  uint16_t port;
  char *data_centre;
  int64_t started_ms; /* start of the process by its own clock; tells one process
                      from the next under the same id */
  int32_t slots;
  bool draining;
  bool reports_primary; /* by its own account, may be outdated */
};

struct dir_config *dir_config_new (uint64_t version);
/* Takes ROUTE; the last one of a database counts.  */
void dir_config_add_route (struct dir_config *c, struct dir_route *route);
void dir_config_add_service (struct dir_config *c,
                             struct dir_service *service);
void dir_config_free (struct dir_config *c);
/* NULL when DATABASE has no route.  */
const struct dir_route *dir_find_route (const struct dir_config *c,
                                        const char *database);
const struct dir_service *dir_find_service (const struct dir_config *c,
                                            const char *name);

struct dir_instance *dir_instance_copy (const struct dir_instance *i);
void dir_instance_free (struct dir_instance *i);
/* True when both stand for the same process at the same place.  */
bool dir_instance_is_same (const struct dir_instance *a,
                              const struct dir_instance *b);

#endif
