/* Event loop on epoll.  */
#include "loop.h"

#include <errno.h>
#include <string.h>
#include <sys/epoll.h>
#include <sys/eventfd.h>
#include <time.h>
#include <unistd.h>

/* Events fetched by one call of epoll_pwait2.  */
#define EVENTS_MAX 64

bool
loop_init (struct loop *loop)
{
  struct epoll_event ev = { 0 };

  loop->epoll_fd = epoll_create1 (EPOLL_CLOEXEC);
  loop->wake_fd = eventfd (0, EFD_NONBLOCK | EFD_CLOEXEC);
  if (loop->epoll_fd < 0 || loop->wake_fd < 0)
    return false;
  ev.events = EPOLLIN;
  return epoll_ctl (loop->epoll_fd, EPOLL_CTL_ADD, loop->wake_fd, &ev) == 0;
}

void
loop_free (struct loop *loop)
{
  close (loop->wake_fd);
  close (loop->epoll_fd);
}

void
loop_watch (struct loop *loop, struct loop_source *source, uint32_t events)
{
  struct epoll_event ev = { 0 };

  ev.events = events;
  ev.data.ptr = source;
  source->events = events;
  if (epoll_ctl (loop->epoll_fd, EPOLL_CTL_MOD, source->fd, &ev) != 0)
    epoll_ctl (loop->epoll_fd, EPOLL_CTL_ADD, source->fd, &ev);
}

void
loop_remove (struct loop *loop, struct loop_source *source)
{
  epoll_ctl (loop->epoll_fd, EPOLL_CTL_DEL, source->fd, NULL);
  source->fn = NULL;
}

static void
clear_wake (struct loop *loop)
{
  uint64_t count;

  while (read (loop->wake_fd, &count, sizeof count) > 0)
    ;
}

void
loop_run (struct loop *loop, int64_t timeout_us)
{
  struct epoll_event events[EVENTS_MAX];
  struct timespec ts;
  int n;

  if (timeout_us < 0)
    timeout_us = 0;
  ts.tv_sec = timeout_us / 1000000;
  ts.tv_nsec = timeout_us % 1000000 * 1000;
  n = epoll_pwait2 (loop->epoll_fd, events, EVENTS_MAX, &ts, NULL);
  for (int i = 0; i < n; i++)
    {
      struct loop_source *source = events[i].data.ptr;

      if (!source)
        clear_wake (loop);
      /* A handler may have removed a source later in this batch.  */
      else if (source->fn)
        source->fn (source->arg, events[i].events);
    }
}

void
loop_wake (struct loop *loop)
{
  uint64_t one = 1;
  ssize_t ignored = write (loop->wake_fd, &one, sizeof one);

  (void)ignored;
}

int64_t
loop_now_us (void)
{
  struct timespec ts;

  clock_gettime (CLOCK_BOOTTIME, &ts);
  return (int64_t)ts.tv_sec * 1000000 + ts.tv_nsec / 1000;
}

int64_t
loop_wall_ms (void)
{
  struct timespec ts;

  clock_gettime (CLOCK_REALTIME, &ts);
  return (int64_t)ts.tv_sec * 1000 + ts.tv_nsec / 1000000;
}
