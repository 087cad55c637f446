/* Which proxy is the grantor of a part of an account's limit, by this proxy's
   view of the fleet.

   The grantor is chosen by rendezvous hashing among the mature proxies: those
   that have been listed for long enough that every proxy which is connected to
   the directory knows them, and every other one knows that its own entry may
   have ended.  A proxy that is gone stays chosen for the time to live of an
   entry: until then it may not know that its entry has ended, and one that
   returns meanwhile goes on as before.  */
#ifndef CB_GRANTORSET_H
#define CB_GRANTORSET_H

#include "grantor.h"

/* The weight of proxy NAME for KEY; the highest one is chosen.  */
typedef uint64_t qgs_weight_fn (const char *key, const char *name);

struct qgs_options
{
  const char *own; /* name of this proxy */
  qgs_weight_fn *weight;
  int64_t entry_ttl_us; /* see struct qgr_options */
  int64_t takeover_us;  /* see qgr_takeover_us */
};

struct qgs;

struct qgs *qgs_new (const struct qgs_options *options);
void qgs_free (struct qgs *s);
/* Proxy NAME is listed, or is gone.  */
void qgs_note_listed (struct qgs *s, const char *name, int64_t now_us);
void qgs_note_gone (struct qgs *s, const char *name, int64_t now_us);
/* The fleet was listed for the first time: its proxies count as mature.  OWN:
   the listing had an entry of this proxy, written by its former process.
   FOUNDING: the whole fleet starts for the first time.  */
void qgs_note_first_listing (struct qgs *s, bool own, bool founding,
                             int64_t now_us);
/* The renewal of this proxy's entry that was sent at SENT_US succeeded.  */
void qgs_note_renewed (struct qgs *s, int64_t sent_us);
/* This proxy's entry has ended, or may have.  */
void qgs_note_entry_lost (struct qgs *s, int64_t now_us);
/* The directory lost entries ahead of time: it came back from a copy.  */
void qgs_note_directory_reset (struct qgs *s);
/* Returns the grantor of PART of ACCOUNT, NULL when there is none.  Valid
   until the fleet changes.  */
const char *qgs_find (struct qgs *s, const char *account, uint32_t part,
                      int64_t now_us);
/* Returns what this proxy knows of its own role for PART of ACCOUNT.  */
struct qgr_standing qgs_standing (struct qgs *s, const char *account,
                                  uint32_t part, int64_t now_us);

#endif
