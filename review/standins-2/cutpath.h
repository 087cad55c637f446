/* Forwards connections to an instance, except those of one process while the
   path between the two is cut.  */
#ifndef REVIEW_CUTPATH_H
#define REVIEW_CUTPATH_H

#include "stream.h"

#include <sys/types.h>

struct cpt;

/* Forwards connections at LISTEN (host:port) to 127.0.0.1:PORT.  NULL if
   LISTEN can't be bound.  */
struct cpt *cpt_new (struct loop *loop, struct stream_set *streams,
                     const char *listen, uint16_t port);
/* Discards what passes between the instance and process PID from now on,
   0 = none.  Connections stay open.  */
void cpt_cut (struct cpt *c, pid_t pid);

#endif
