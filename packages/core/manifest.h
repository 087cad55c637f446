/* The manifest: which files, by content hash, are in force at a revision.  It
   is the one value in the store that changes by compare-and-swap; file
   contents stand under their hash and never change.  */
#ifndef CB_MANIFEST_H
#define CB_MANIFEST_H

#include "decl.h"

/* Keys in the store.  */
#define MNF_KEY "/cassiabay/manifest"
#define MNF_BLOB_PREFIX "/cassiabay/blobs/"
#define MNF_VM_PREFIX "/platform/vms/"
/* Files and remembered applies of one manifest.  */
#define MNF_FILES_MAX 8192
#define MNF_APPLIES_MAX 64
#define MNF_HASH_LEN 64
#define MNF_APPLY_ID_LEN 32

struct mnf_file
{
  char name[DCL_NAME_MAX + 1];
  char hash[MNF_HASH_LEN + 1];
};

/* Owns its arrays.  */
struct mnf
{
  uint64_t revision;
  uint32_t n_files;
  struct mnf_file *files;
  uint32_t n_applies; /* ids of the latest applies, newest last */
  char (*applies)[MNF_APPLY_ID_LEN + 1];
};

/* Parses LEN bytes of TEXT, which may be hostile; false when malformed.  */
bool mnf_parse (const char *text, size_t len, struct mnf *out);
/* The text of a manifest, freed by the caller.  */
char *mnf_format (const struct mnf *m);
void mnf_clear (struct mnf *m);
/* Hash of a file's content in hexadecimal (BLAKE2b, 256 bits).  */
void mnf_hash (const char *text, size_t len, char out[MNF_HASH_LEN + 1]);
const struct mnf_file *mnf_find_file (const struct mnf *m, const char *name);
/* Sets the hash of file NAME, adding it when new.  */
void mnf_set_file (struct mnf *m, const char *name, const char *hash);
bool mnf_has_apply (const struct mnf *m, const char *apply_id);
void mnf_add_apply (struct mnf *m, const char *apply_id);

#endif
