/* Admission control of one instance: a bounded queue in front of its slots.  A
   slot is the right to run one request.  The kinds of requests get fair shares
   of the slot time; within a kind the earliest deadline goes first.  */
#ifndef CB_ADMIT_H
#define CB_ADMIT_H

#include "decl.h"
#include "reason.h"

#define ADM_KINDS_MAX 16

/* A queued request; embedded in the object queued, which the queue does not
   own.  */
struct adm_item
{
  struct adm_item *next;
  int64_t deadline_us;
  uint32_t kind; /* set by adm_push */
};

struct adm_kind
{
  char name[DCL_NAME_MAX + 1];
  struct adm_item *head; /* sorted by deadline, earliest first */
  int32_t queued;
  int64_t charged_us; /* slot time charged; the kind with the least is next */
  int64_t service_us; /* moving average of the slot time of a request */
};

struct adm_options
{
  int32_t slots;
  int32_t queue_max; /* requests waiting, all kinds */
  bool unlimited;    /* no refusals, no slot limit; for measurement only */
};

struct adm
{
  struct adm_options options;
  int32_t running;
  int32_t queued;
  uint32_t n_kinds;
  struct adm_kind kinds[ADM_KINDS_MAX];
};

void adm_init (struct adm *a, const struct adm_options *options);
/* Queues ITEM, whose deadline is set.  RSN_OK, or why it is refused.  */
enum rsn adm_push (struct adm *a, struct adm_item *item, const char *kind,
                   int64_t now_us);
/* Takes the next item to run from the queue; NULL when no slot is free or the
   queue is empty.  */
struct adm_item *adm_pop (struct adm *a);
/* Removes ITEM from the queue; false when it is not queued.  */
bool adm_remove (struct adm *a, struct adm_item *item);
/* Frees the slot of a popped ITEM that held it for SERVICE_US.  */
void adm_finish (struct adm *a, const struct adm_item *item,
                 int64_t service_us);
/* Moving average of the slot time of ITEM's kind, in microseconds.  */
int64_t adm_service_us (const struct adm *a, const struct adm_item *item);
/* Expected waiting plus slot time of one more request of KIND, in
   microseconds.  */
int64_t adm_estimate_us (const struct adm *a, const char *kind);

#endif
