/* Implements the store port of node.h.  Runs the blocking calls of etcd.h on
   two threads of its own, one for reads and one for the watch, and delivers
   the results to the engine thread through its mailbox.  */
#ifndef CB_STORECLIENT_H
#define CB_STORECLIENT_H

#include "etcd.h"
#include "mailbox.h"
#include "node.h"

struct storeclient;

/* Starts the threads.  Results go to *NODE, which is read on the engine thread
   only.  */
struct storeclient *storeclient_new (const struct etcd_options *options,
                                     struct mailbox *mailbox,
                                     struct node *const *node);
/* Stops the threads; waits for a call in progress.  */
void storeclient_free (struct storeclient *s);
struct store_port *storeclient_port (struct storeclient *s);

#endif
