/* Distribution of store updates between the proxies of a data centre.

   In a data centre of many proxies a few of them, the feeders, watch the store
   and send its updates to the others, their subscribers.  So the number of
   calls to the store doesn't grow with the number of proxies, and a change
   still reaches every proxy within moments.  A subscriber that no longer gets
   replies, or gets them from a feeder that has lost the store itself, watches
   the store on its own until a feeder keeps it current again.

   A feeder reports how long ago it last heard from the store.  That age plus
   the time since the report was received is an upper bound for the age of the
   subscriber's data, so no clocks of different machines are compared.  */
#ifndef CB_FEED_H
#define CB_FEED_H

#include "vmtable.h"

/* Feeders of one data centre: enough that losing one leaves no gap.  */
#define FED_FEEDERS_MAX 2

struct fed_options
{
  const struct vmt_table *vms; /* borrowed */
  const char *vm;              /* name of this proxy */
  const char *data_centre;     /* of this proxy */
  int64_t stale_us;            /* data of this age is not relied on */
};

struct fed;

/* Sends the items newer than REVISION to the proxy VM.  */
typedef void fed_send_fn (void *arg, const char *vm, uint64_t revision);

struct fed *fed_new (const struct fed_options *options);
void fed_free (struct fed *f);
/* Changes struct fed_options.stale_us.  */
void fed_set_stale (struct fed *f, int64_t stale_us);

/* Returns true if this proxy watches the store: either as a feeder, or because
   its data centre has so few proxies that each one does.  */
bool fed_is_feeder (struct fed *f);
/* Returns true if this proxy is a feeder that other proxies depend on.  */
bool fed_serves_others (struct fed *f);
/* Returns true while a feeder keeps this proxy current.  */
bool fed_is_current (struct fed *f, int64_t now_us);
/* Returns the name of the feeder to request updates from now, or NULL if no
   request is due.  Borrowed from the table of proxies.  */
const char *fed_next_request (struct fed *f, int64_t now_us);
/* Records updates received from a feeder, requested or pushed, that last heard
   from the store AGE_US ago.  A negative age means that the sender doesn't
   watch the store at present; such updates don't make this proxy current.  */
void fed_note_reply (struct fed *f, int64_t age_us, int64_t now_us);

/* Records that VM requested updates and has everything up to REVISION.  It is
   sent further updates until it has sent no request for some seconds.  */
void fed_note_subscriber (struct fed *f, const char *vm, uint64_t revision,
                          int64_t now_us);
/* Everything up to REVISION is known here: calls SEND for each subscriber that
   was sent less.  */
void fed_push (struct fed *f, uint64_t revision, fed_send_fn *send, void *arg,
               int64_t now_us);

#endif
