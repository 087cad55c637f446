/* Queue of work that other threads pass to the engine thread: a lock-free
   stack that the engine thread empties in order of arrival.  */
#ifndef CB_MAILBOX_H
#define CB_MAILBOX_H

#include "loop.h"

#include <stdatomic.h>

/* A message, embedded in the object passed.  FN runs on the engine thread and
   owns the object from then on.  */
struct mail
{
  struct mail *next;
  void (*fn) (struct mail *mail, void *engine);
};

struct mailbox
{
  _Atomic (struct mail *) head; /* the newest message */
  struct loop *loop;
};

void mailbox_init (struct mailbox *box, struct loop *loop);
/* Adds MAIL.  May be called from any thread.  */
void mailbox_push (struct mailbox *box, struct mail *mail);
/* Runs all messages in order of arrival, with ENGINE as argument.  Called on
   the engine thread.  */
void mailbox_drain (struct mailbox *box, void *engine);

#endif
