/* Where log lines go: a descriptor that is never waited for.  */
#ifndef CB_LOGSINK_H
#define CB_LOGSINK_H

#include <stdbool.h>
#include <stddef.h>

/* Writes one line, at most PIPE_BUF bytes of it, to the descriptor *ARG.
   False when it would have to wait, or failed: the line is dropped.  */
bool lgs_write (void *arg, const char *line, size_t len);

#endif
