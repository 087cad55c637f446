/* The manifest: the names and content hashes of the declaration files in force
   at a revision.  It is the only part of the configuration in the store that
   is updated by compare-and-swap; file contents are stored under their hash
   and are immutable.  */
#ifndef CB_MANIFEST_H
#define CB_MANIFEST_H

#include "decl.h"

/* Keys and key prefixes in the store.  */
#define MNF_KEY "/cassiabay/manifest"
#define MNF_BLOB_PREFIX "/cassiabay/blobs/"
#define MNF_VM_PREFIX "/platform/vms/"
/* Maximum number of files, and of apply ids, in one manifest.  */
#define MNF_FILES_MAX 8192
#define MNF_APPLIES_MAX 64
/* Lengths without the terminating NUL.  */
#define MNF_HASH_LEN 64
#define MNF_APPLY_ID_LEN 32

struct mnf_file
{
  char name[DCL_NAME_MAX + 1];
  char hash[MNF_HASH_LEN + 1]; /* hexadecimal */
};

/* Owns its arrays.  */
struct mnf
{
  uint64_t revision;
  uint32_t n_files;
  struct mnf_file *files;
  uint32_t n_applies;
  /* Ids of the latest `cassiabay apply` runs, newest last.  A run that retries
     recognises by its id that its earlier attempt took effect.  */
  char (*applies)[MNF_APPLY_ID_LEN + 1];
};

/* Parses LEN bytes of untrusted TEXT.  Returns false when malformed; otherwise
   OUT is freed with mnf_clear.  */
bool mnf_parse (const char *text, size_t len, struct mnf *out);
/* Returns the manifest as JSON, which the caller frees with g_free.  */
char *mnf_format (const struct mnf *m);
void mnf_clear (struct mnf *m);
/* Stores the hash of a file's content in hexadecimal (BLAKE2b, 256 bits) in
   OUT.  */
void mnf_hash (const char *text, size_t len, char out[MNF_HASH_LEN + 1]);
/* Returns the file, or NULL.  */
const struct mnf_file *mnf_find_file (const struct mnf *m, const char *name);
/* Sets the hash of file NAME, adding the file if it is new.  */
void mnf_set_file (struct mnf *m, const char *name, const char *hash);
bool mnf_has_apply (const struct mnf *m, const char *apply_id);
/* Adds APPLY_ID; drops the oldest id when there are MNF_APPLIES_MAX.  */
void mnf_add_apply (struct mnf *m, const char *apply_id);

#endif
