/* Work handed to the engine thread from others: a lock-free stack that the
   engine empties in order of arrival.  */
#ifndef CB_MAILBOX_H
#define CB_MAILBOX_H

#include "loop.h"

#include <stdatomic.h>

/* Embedded in what is handed over.  FN runs on the engine thread and owns the
   object from then on.  */
struct mail
{
  struct mail *next;
  void (*fn) (struct mail *mail, void *engine);
};

struct mailbox
{
  _Atomic (struct mail *) head;
  struct loop *loop;
};

void mailbox_init (struct mailbox *box, struct loop *loop);
/* From any thread.  */
void mailbox_push (struct mailbox *box, struct mail *mail);
/* On the engine thread.  */
void mailbox_drain (struct mailbox *box, void *engine);

#endif
