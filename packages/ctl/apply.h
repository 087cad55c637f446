/* Reads and changes the operators' files in the store.  */
#ifndef CB_APPLY_H
#define CB_APPLY_H

#include "etcd.h"
#include "manifest.h"

/* What is in force in the store.  Owns all it holds.  */
struct stored
{
  struct mnf manifest; /* revision 0: nothing was ever applied */
  int64_t mod_revision;
  GPtrArray *files; /* struct dcl_file *, by the manifest's order */
};

enum apply_end
{
  APPLY_DONE,
  APPLY_UNCHANGED,
  APPLY_INVALID,  /* findings say why */
  APPLY_CONFLICT, /* another operator changed one of the same files */
  APPLY_UNKNOWN   /* the store could not be asked whether it took effect */
};

struct apply_request
{
  GPtrArray *files;           /* struct dcl_file *, to be set */
  const char *const *removes; /* names of files to drop, NULL-terminated */
  int64_t patience_ms;        /* how long a silent store is asked again */
};

/* A file read from disk, named by its last path component; NULL with an error.
   Freed with apply_free_file.  */
struct dcl_file *apply_load_file (const char *path, GError **error);
void apply_free_file (gpointer file);
bool apply_read (struct etcd *etcd, struct stored *out, GError **error);
void apply_clear (struct stored *stored);
/* Checks FILES together with what is in force; the findings tell.  */
bool apply_check (const struct stored *stored,
                  const struct apply_request *request,
                  struct fnd_list *findings);
/* Applies all of the request or nothing.  *REVISION is the one in force after
   APPLY_DONE and APPLY_UNCHANGED; *DETAIL, freed by the caller, tells about a
   conflict or an unreachable store.  */
enum apply_end apply_run (struct etcd *etcd,
                          const struct apply_request *request,
                          struct fnd_list *findings, uint64_t *revision,
                          char **detail);

#endif
