/* Operators' declarations: databases, reads, requests.  A set of files is
   parsed and validated as a whole.  */
#ifndef CB_DECL_H
#define CB_DECL_H

#include "finding.h"
#include <stdbool.h>
#include <stddef.h>

/* Instances of one database group.  */
#define DCL_INSTANCES_MAX 7
#define DCL_NAME_MAX 63
#define DCL_DEADLINE_DEFAULT_MS 2000

struct dcl_instance
{
  char *name;
  char *host; /* an IP number */
  uint16_t port;
  char *data_centre;
};

struct dcl_database
{
  char *name;
  bool leaving;
  int32_t slots;       /* statements an instance runs at once */
  int32_t connections; /* connections an instance accepts from the system */
  uint32_t n_instances;
  struct dcl_instance instances[DCL_INSTANCES_MAX];
};

/* A kind of request.  */
struct dcl_kind
{
  char *name;
  bool read_only;          /* runs in a read-only transaction */
  int64_t max_age_ms; /* allowed staleness of a read, 0 = fresh */
  int64_t deadline_ms;
  bool never_repeat;
};

struct dcl_data_centre
{
  char *name;
  char *region;
};

/* A file as it stands in the store.  Text is not NUL-terminated by contract;
   LEN counts.  */
struct dcl_file
{
  char *name;
  char *text;
  size_t len;
};

/* All declarations in force.  Immutable once parsed; owns all it holds.  */
struct dcl_set
{
  GPtrArray *databases; /* struct dcl_database *, by order of the files */
  GHashTable *by_name;  /* name -> struct dcl_database * */
  GHashTable *kinds;    /* name -> struct dcl_kind * */
  GHashTable *data_centres;  /* name -> struct dcl_data_centre * */
};

/* Parses and cross-checks N files.  Returns NULL and adds findings when any
   is wrong.  The caller frees the set.  */
struct dcl_set *dcl_parse (const struct dcl_file *files, uint32_t n,
                           struct fnd_list *findings);
void dcl_free (struct dcl_set *set);
const struct dcl_database *dcl_find_database (const struct dcl_set *set,
                                              const char *name);
/* A deep copy; freed with dcl_free_database.  */
struct dcl_database *dcl_copy_database (const struct dcl_database *db);
void dcl_free_database (struct dcl_database *db);
/* True when both list the same instances at the same places.  */
bool dcl_instances_equal (const struct dcl_database *a,
                         const struct dcl_database *b);
/* The declared kind, or NULL.  */
const struct dcl_kind *dcl_find_kind (const struct dcl_set *set,
                                      const char *name);
/* Region of a data centre, "" when not declared.  */
const char *dcl_find_region (const struct dcl_set *set, const char *centre);
/* Splits "host:port" with a numeric IP address; false when malformed.  The
   caller frees *HOST.  */
bool dcl_split_address (const char *address, char **host, uint16_t *port);
bool dcl_is_name (const char *text);

#endif
