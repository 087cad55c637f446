/* Event loop of the engine thread, on epoll.  */
#ifndef CB_LOOP_H
#define CB_LOOP_H

#include <stdbool.h>
#include <stdint.h>

typedef void loop_fn (void *arg, uint32_t events);

/* A watched descriptor; embedded in its owner, which keeps the descriptor.  */
struct loop_source
{
  int fd;
  uint32_t events;
  loop_fn *fn;
  void *arg;
};

struct loop
{
  int epoll_fd;
  int wake_fd;
};

bool loop_init (struct loop *loop);
void loop_free (struct loop *loop);
/* Watches or re-watches SOURCE for epoll EVENTS.  */
void loop_watch (struct loop *loop, struct loop_source *source, uint32_t events);
void loop_remove (struct loop *loop, struct loop_source *source);
/* Waits up to TIMEOUT_US and runs what is ready.  */
void loop_run (struct loop *loop, int64_t timeout_us);
/* Ends the wait of loop_run; from any thread.  */
void loop_wake (struct loop *loop);
/* Monotonic time in microseconds, counted on while the VM is suspended.  */
int64_t loop_now_us (void);
/* Wall clock in milliseconds since the epoch.  */
int64_t loop_wall_ms (void);

#endif
