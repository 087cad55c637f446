/* Reads and changes the operators' configuration files in the store.  A
   manifest lists the files in force by the hash of their contents.  All
   changes go through one compare-and-swap of the manifest, so that an apply
   takes effect as a whole or not at all.  */
#ifndef CB_APPLY_H
#define CB_APPLY_H

#include "etcd.h"
#include "manifest.h"

/* The configuration in force in the store.  Owns its members; freed with
   apply_clear.  */
struct stored_config
{
  struct mnf manifest;  /* revision 0: nothing was ever applied */
  int64_t mod_revision; /* the store's, of the manifest; 0: none yet */
  GPtrArray *files;     /* struct dcl_file *, in the manifest's order */
};

enum apply_result
{
  APPLY_DONE,
  APPLY_UNCHANGED,
  APPLY_INVALID,  /* the findings give the reasons */
  APPLY_CONFLICT, /* another operator changed one of the same files */
  APPLY_UNKNOWN   /* the store did not answer, so that the change may or may
                     not have taken effect, or too many attempts lost to
                     concurrent changes */
};

struct apply_request
{
  GPtrArray *files;           /* struct dcl_file *, to add or replace */
  const char *const *removes; /* names of files to remove, NULL-terminated */
  int64_t max_wait_ms;        /* how long reads of the store are retried */
};

/* Reads a file from disk and names it by its last path component.  Returns
   NULL and sets ERROR when it cannot be read or its name is invalid.  Freed
   with apply_free_file.  */
struct dcl_file *apply_load_file (const char *path, GError **error);
void apply_free_file (gpointer file);
/* Reads the configuration in force.  Returns false and sets ERROR when the
   store cannot be read; OUT is then cleared.  */
bool apply_read (struct etcd *etcd, struct stored_config *out, GError **error);
void apply_clear (struct stored_config *stored);
/* Validates the configuration that would result from REQUEST.  Adds to
   FINDINGS what is wrong with it.  */
bool apply_check (const struct stored_config *stored,
                  const struct apply_request *request,
                  struct fnd_list *findings);
/* Applies the whole request or nothing.  *REVISION is the revision in force
   after APPLY_DONE and APPLY_UNCHANGED.  *DETAIL describes a conflict or the
   failure to reach the store and is freed by the caller.  */
enum apply_result apply_run (struct etcd *etcd,
                             const struct apply_request *request,
                             struct fnd_list *findings, uint64_t *revision,
                             char **detail);

#endif
