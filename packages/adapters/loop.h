/* Event loop of the engine thread, on epoll.  Only loop_wake and the clocks
   may be called from other threads.  */
#ifndef CB_LOOP_H
#define CB_LOOP_H

#include <stdbool.h>
#include <stdint.h>

typedef void loop_fn (void *arg, uint32_t events);

/* A watched descriptor.  Embedded in its owner, which also owns the
   descriptor.  */
struct loop_source
{
  int fd;
  uint32_t events; /* epoll events watched for */
  loop_fn *fn;
  void *arg;
};

struct loop
{
  int epoll_fd;
  int wake_fd;
};

/* Returns false when a descriptor cannot be created.  */
bool loop_init (struct loop *loop);
void loop_free (struct loop *loop);
/* Starts watching SOURCE for epoll EVENTS, or changes the events watched for.
 */
void loop_watch (struct loop *loop, struct loop_source *source,
                 uint32_t events);
/* Stops watching SOURCE; its handler is not called again, even for events that
   have already been fetched, for which SOURCE must stay allocated until the
   current loop_run returns.  */
void loop_remove (struct loop *loop, struct loop_source *source);
/* Waits up to TIMEOUT_US for events and calls their handlers.  */
void loop_run (struct loop *loop, int64_t timeout_us);
/* Ends the wait of loop_run.  May be called from any thread.  */
void loop_wake (struct loop *loop);
/* Returns monotonic time in microseconds, including time during which the VM
   is suspended.  */
int64_t loop_now_us (void);
/* Returns wall-clock time in milliseconds since the epoch.  */
int64_t loop_wall_ms (void);

#endif
