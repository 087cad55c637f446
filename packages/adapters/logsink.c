/* Non-blocking output of log lines.  */
#include "logsink.h"

#include <limits.h>
#include <poll.h>
#include <unistd.h>

bool
lgs_write (void *arg, const char *line, size_t len)
{
  const int *fd = arg;
  struct pollfd p = { .fd = *fd, .events = POLLOUT };

  /* A pipe that polls writable accepts PIPE_BUF bytes without blocking.  */
  if (len > PIPE_BUF || poll (&p, 1, 0) != 1 || !(p.revents & POLLOUT))
    return false;
  return write (*fd, line, len) == (ssize_t)len;
}
