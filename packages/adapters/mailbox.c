/* Queue of work for the engine thread.  */
#include "mailbox.h"

#include <stddef.h>

void
mailbox_init (struct mailbox *box, struct loop *loop)
{
  atomic_init (&box->head, NULL);
  box->loop = loop;
}

void
mailbox_push (struct mailbox *box, struct mail *mail)
{
  struct mail *head = atomic_load_explicit (&box->head, memory_order_relaxed);

  do
    mail->next = head;
  while (!atomic_compare_exchange_weak_explicit (
      &box->head, &head, mail, memory_order_release, memory_order_relaxed));
  /* Only the first message of a batch has to wake the engine thread.  */
  if (!head)
    loop_wake (box->loop);
}

void
mailbox_drain (struct mailbox *box, void *engine)
{
  struct mail *newest
      = atomic_exchange_explicit (&box->head, NULL, memory_order_acquire);
  struct mail *oldest = NULL;

  /* Reverse the stack into order of arrival.  */
  while (newest)
    {
      struct mail *next = newest->next;

      newest->next = oldest;
      oldest = newest;
      newest = next;
    }
  while (oldest)
    {
      struct mail *next = oldest->next;

      oldest->fn (oldest, engine);
      oldest = next;
    }
}
