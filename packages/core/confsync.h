/* Spreads the configuration: learns of newer revisions from the store or from
   peers' heartbeats, pulls the manifest and the files that differ, validates
   the whole and puts it in force.  The revision in force never goes back.  */
#ifndef CB_CONFSYNC_H
#define CB_CONFSYNC_H

#include "manifest.h"
#include "reason.h"
#include "wire.h"

/* A pull that brings nothing is repeated elsewhere after this time.  */
#define CFS_PULL_TIMEOUT_MS 1500
/* Bytes of file contents in one answer to a pull.  */
#define CFS_REPLY_BYTES (2 * 1024 * 1024)
/* File hashes asked for in one pull.  */
#define CFS_PULL_MAX 256

/* Puts SET, which then belongs to the receiver, in force.  */
typedef void cfs_apply_fn (void *arg, struct dcl_set *set, uint64_t revision);
/* Asks a peer; TO is "" for the store.  PULL is borrowed.  */
typedef void cfs_pull_fn (void *arg, const char *to,
                          const struct wire_pull *pull);

struct cfs_options
{
  cfs_apply_fn *adopt;
  cfs_pull_fn *pull;
  void *arg;
  struct ctr_set *counters;
  bool unsafe_any_revision; /* test only: takes older revisions too */
};

struct cfs
{
  struct cfs_options options;
  uint64_t revision;  /* in force, 0 = none */
  char *manifest;     /* its text */
  GHashTable *blobs;  /* hash -> GBytes * */
  struct mnf pending; /* being completed; revision 0 = none */
  char *pending_text;
  char pending_source[DCL_NAME_MAX + 1]; /* where the rest is asked for */
  uint64_t newest_revision_heard;        /* highest revision heard of */
  char newest_heard_from[DCL_NAME_MAX + 1];
  int64_t pull_sent_us;       /* when the latest pull was sent, 0 = none */
  uint64_t rejected_revision; /* revision that did not validate */
  char *rejection;            /* why */
};

void cfs_init (struct cfs *s, const struct cfs_options *options);
void cfs_free (struct cfs *s);
/* A peer has REVISION in force.  */
void cfs_note_revision (struct cfs *s, const char *vm, uint64_t revision,
                        int64_t now_us);
/* Takes a manifest and files from SOURCE ("" = the store).  */
void cfs_receive (struct cfs *s, const char *source,
                  const struct wire_files *files, int64_t now_us);
void cfs_tick (struct cfs *s, int64_t now_us);
/* Answers PULL from what is in force; the caller frees it with
   cfs_free_reply. False when there is nothing to say.  */
bool cfs_build_reply (struct cfs *s, const struct wire_pull *pull,
                      struct wire_files *answer);
void cfs_free_reply (struct wire_files *answer);

#endif
