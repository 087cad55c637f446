/* The store port: runs the blocking calls of etcd.h on two threads of its own
   and hands the results to the engine.  */
#ifndef CB_STORECLIENT_H
#define CB_STORECLIENT_H

#include "etcd.h"
#include "mailbox.h"
#include "node.h"

struct storeclient;

/* MAILBOX's engine argument must be a struct node **.  */
struct storeclient *storeclient_new (const struct etcd_options *options,
                                 struct mailbox *mailbox,
                                 struct node *const *node);
/* Stops the threads; a call under way is waited for.  */
void storeclient_free (struct storeclient *s);
struct store_port *storeclient_port (struct storeclient *s);

#endif
