/* Output of log lines to a descriptor without ever blocking.  */
#ifndef CB_LOGSINK_H
#define CB_LOGSINK_H

#include <stdbool.h>
#include <stddef.h>

/* Writes one line of at most PIPE_BUF bytes to the descriptor *ARG, an int.
   Returns false when the line is longer, the write would block, or it fails;
   the line is dropped then.  */
bool lgs_write (void *arg, const char *line, size_t len);

#endif
