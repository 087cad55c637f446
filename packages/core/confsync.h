/* Synchronises the configuration between store and proxies: learns of newer
   revisions from the store or from peers' heartbeats, pulls the manifest and
   the files that differ, validates the whole and puts it in force.  The
   revision in force never decreases.  */
#ifndef CB_CONFSYNC_H
#define CB_CONFSYNC_H

#include "manifest.h"
#include "reason.h"
#include "wire.h"

/* A pull without a reply is given up after this time and sent to the peer that
   last reported the newest revision.  */
#define CFS_PULL_TIMEOUT_MS 1500
/* A reply to a pull takes no further file once it holds this many bytes of
   file contents.  */
#define CFS_REPLY_BYTES (2 * 1024 * 1024)
/* Limit of file hashes in one pull.  */
#define CFS_PULL_MAX 256

/* Puts SET, which then belongs to the receiver, in force.  */
typedef void cfs_apply_fn (void *arg, struct dcl_set *set, uint64_t revision);
/* Sends PULL, which is borrowed, to a peer or, if TO is "", to the store.  */
typedef void cfs_pull_fn (void *arg, const char *to,
                          const struct wire_pull *pull);

struct cfs_options
{
  cfs_apply_fn *apply;
  cfs_pull_fn *pull;
  void *arg;
  struct ctr_set *counters;
  bool unsafe_any_revision; /* test only: accepts older revisions too */
};

struct cfs
{
  struct cfs_options options;
  uint64_t revision;  /* in force, 0 = none */
  char *manifest;     /* text of the manifest in force */
  GHashTable *blobs;  /* hash -> GBytes * */
  struct mnf pending; /* its files are being pulled; revision 0 = none */
  char *pending_text;
  char pending_source[DCL_NAME_MAX + 1]; /* sender of the pending
                                           manifest, "" = the store */
  uint64_t newest_revision_heard;        /* from peers or manifests */
  char newest_heard_from[DCL_NAME_MAX + 1];
  int64_t pull_sent_us;       /* latest pull without a reply, 0 = none */
  uint64_t rejected_revision; /* revision that did not validate */
  char *rejection;            /* findings of its validation */
};

void cfs_init (struct cfs *s, const struct cfs_options *options);
void cfs_free (struct cfs *s);
/* The peer VM reported that it has REVISION in force; pulls it if newer.  */
void cfs_note_revision (struct cfs *s, const char *vm, uint64_t revision,
                        int64_t now_us);
/* Takes a manifest and files from SOURCE ("" = the store), and puts the
   configuration in force once it is complete.  */
void cfs_receive (struct cfs *s, const char *source,
                  const struct wire_files *files, int64_t now_us);
/* Gives up a pull that got no reply in time.  */
void cfs_tick (struct cfs *s, int64_t now_us);
/* Fills REPLY, the reply to PULL, from the configuration in force; the caller
   frees it with cfs_free_reply.  False when no configuration is in force.  */
bool cfs_build_reply (struct cfs *s, const struct wire_pull *pull,
                      struct wire_files *reply);
void cfs_free_reply (struct wire_files *reply);

#endif
