/* Declarations: the YAML files in which operators configure data centres,
   databases, and kinds of reads and requests.  All files are parsed and
   validated together, as one set.  */
#ifndef CB_DECL_H
#define CB_DECL_H

#include "finding.h"
#include <stdbool.h>
#include <stddef.h>

/* Maximum number of instances of one database.  */
#define DCL_INSTANCES_MAX 7
#define DCL_NAME_MAX 63
#define DCL_DEADLINE_DEFAULT_MS 2000

struct dcl_instance
{
  char *name;
  char *host; /* numeric IP address */
  uint16_t port;
  char *data_centre;
};

struct dcl_database
{
  char *name;
  bool leaving;        /* being removed: refuses new requests */
  int32_t slots;       /* statements an instance runs at once */
  int32_t connections; /* connections an instance accepts from all proxies */
  uint32_t n_instances;
  struct dcl_instance instances[DCL_INSTANCES_MAX];
};

/* A kind of request.  Callers name the kind with each request.  */
struct dcl_kind
{
  char *name;
  bool read_only;     /* runs in a read-only transaction */
  int64_t max_age_ms; /* allowed staleness of a read, 0 = none */
  int64_t deadline_ms;
  bool never_repeat; /* must run at most once: needs a request id */
};

struct dcl_data_centre
{
  char *name;
  char *region;
};

/* A file as stored.  TEXT need not be NUL-terminated; LEN is its size in
   bytes.  */
struct dcl_file
{
  char *name;
  char *text;
  size_t len;
};

/* A parsed set of declarations.  Immutable once parsed; owns all that it
   refers to.  */
struct dcl_set
{
  GPtrArray *databases; /* struct dcl_database *, in order of declaration */
  GHashTable *by_name;  /* name -> struct dcl_database *, not owned */
  GHashTable *kinds;    /* name -> struct dcl_kind * */
  GHashTable *data_centres; /* name -> struct dcl_data_centre * */
};

/* Parses and cross-checks N files.  Returns a new set, which the caller frees
   with dcl_free, or NULL after adding findings when a file is invalid.  */
struct dcl_set *dcl_parse (const struct dcl_file *files, uint32_t n,
                           struct fnd_list *findings);
void dcl_free (struct dcl_set *set);
/* Returns the database, or NULL.  */
const struct dcl_database *dcl_find_database (const struct dcl_set *set,
                                              const char *name);
/* Returns a deep copy, which the caller frees with dcl_free_database.  */
struct dcl_database *dcl_copy_database (const struct dcl_database *db);
void dcl_free_database (struct dcl_database *db);
/* True when A and B have the same instances, in the same order, with the same
   addresses and data centres.  */
bool dcl_instances_equal (const struct dcl_database *a,
                          const struct dcl_database *b);
/* Returns the kind, or NULL when it is not declared.  */
const struct dcl_kind *dcl_find_kind (const struct dcl_set *set,
                                      const char *name);
/* Returns the region of data centre CENTRE, "" when not declared.  */
const char *dcl_find_region (const struct dcl_set *set, const char *centre);
/* Splits "host:port" or "[host]:port", where host is a numeric IP address.
   Returns false when malformed; otherwise the caller frees *HOST.  */
bool dcl_split_address (const char *address, char **host, uint16_t *port);
/* True when TEXT is valid as a name: 1 to DCL_NAME_MAX letters, digits, "-",
   "_" or ".".  */
bool dcl_is_name (const char *text);

#endif
