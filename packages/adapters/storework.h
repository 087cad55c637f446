/* The store port: runs the blocking calls of etcd.h on two threads of its own
   and hands the results to the engine.  */
#ifndef CB_STOREWORK_H
#define CB_STOREWORK_H

#include "etcd.h"
#include "mailbox.h"
#include "node.h"

struct storework;

/* MAILBOX's engine argument must be a struct node **.  */
struct storework *storework_new (const struct etcd_options *options,
                                 struct mailbox *mailbox,
                                 struct node *const *node);
/* Stops the threads; a call under way is waited for.  */
void storework_free (struct storework *s);
struct store_port *storework_port (struct storework *s);

#endif
