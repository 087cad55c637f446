/* Who reads the store.  In a data centre of many proxies a few watch its
   changes and feed the others, so that the calls to the store don't grow with
   the fleet and a change reaches everybody within moments.  A proxy that is
   fed no more, or by one that lost the store itself, watches for itself until
   it is.

   A feeder says how long ago it last heard from the store; with the time since
   that was received, it bounds how old the fed proxy's knowledge is.  No
   clocks are compared.  */
#ifndef CB_FEED_H
#define CB_FEED_H

#include "vmtable.h"

/* Feeders of one data centre: enough that losing one is no gap.  */
#define FED_FEEDERS 2

struct fed_options
{
  const struct vmt_table *vms; /* borrowed */
  const char *vm;
  const char *data_centre;
  int64_t stale_us; /* knowledge of this age is not relied on */
};

struct fed;

/* Sends what is newer than REVISION to VM.  */
typedef void fed_send_fn (void *arg, const char *vm, uint64_t revision);

struct fed *fed_new (const struct fed_options *options);
void fed_free (struct fed *f);

/* True when this proxy watches the store for others, or because they are so
   few that each does.  */
bool fed_is_feeder (struct fed *f);
/* True when others depend on this one.  */
bool fed_feeds_others (struct fed *f);
/* True while another proxy keeps this one current.  */
bool fed_is_fed (struct fed *f, int64_t now_us);
/* The feeder to ask for news now, NULL when none is due.  Borrowed.  */
const char *fed_next_question (struct fed *f, int64_t now_us);
/* A feeder answered: it heard from the store AGE_US ago; negative: it is no
   source at present.  */
void fed_note_answer (struct fed *f, int64_t age_us, int64_t now_us);

/* VM asked for news and knows everything up to REVISION.  It is sent further
   news until it has not asked for a while.  */
void fed_note_question (struct fed *f, const char *vm, uint64_t revision,
                        int64_t now_us);
/* Everything up to REVISION is known here: sends it to those that were sent
   less.  */
void fed_push (struct fed *f, uint64_t revision, fed_send_fn *send, void *arg,
               int64_t now_us);

#endif
