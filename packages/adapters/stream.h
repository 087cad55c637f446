/* Buffered TCP streams on the event loop.  What is written during one turn of
   the loop leaves in one call at its end.  */
#ifndef CB_STREAM_H
#define CB_STREAM_H

#include "loop.h"

#include <glib.h>
#include <stddef.h>

/* Unread output beyond this ends a stream: its peer doesn't read.  */
#define STREAM_OUTPUT_MAX_BYTES (8 * 1024 * 1024)

struct stream;

/* Streams of one loop.  */
struct stream_set
{
  struct loop *loop;
  GPtrArray *dirty; /* with output to send at the end of the turn */
  GPtrArray *dead;  /* freed at the end of the turn */
};

struct stream_ops
{
  /* Bytes arrived; returns how many were used.  The rest is kept and given
     again, together with what follows.  DATA may be changed.  */
  size_t (*data) (void *arg, char *data, size_t len);
  void (*connected) (void *arg);
  /* The stream ended; REFUSED: nobody listens there.  It is closed already. */
  void (*closed) (void *arg, bool refused);
};

/* Limits on a peer that went silent.  */
struct stream_options
{
  const struct stream_ops *ops;
  void *arg;
  int32_t user_timeout_ms; /* sent data not acknowledged for so long */
  int32_t keepalive_s;     /* idle time between probes, 0 = none */
};

void stream_set_init (struct stream_set *set, struct loop *loop);
void stream_set_free (struct stream_set *set);
/* Sends what was written and frees what was closed.  */
void stream_set_flush (struct stream_set *set);

/* Takes over the connected descriptor FD.  */
struct stream *stream_new (struct stream_set *set, int fd,
                           const struct stream_options *options);
/* Starts connecting; a failure is reported by CLOSED, never from here.  */
struct stream *stream_connect (struct stream_set *set, const char *host,
                               uint16_t port,
                               const struct stream_options *options);
/* The buffer that output is appended to; marks the stream for sending.  */
GString *stream_output (struct stream *s);
/* Gives the bytes kept back to the owner again.  */
void stream_resume (struct stream *s);
/* Takes a line, which is NUL-terminated and without its end.  False: no
   further one is to be given.  */
typedef bool stream_line_fn (void *arg, char *line, size_t len);
/* Gives the whole lines of DATA to TAKE, and the bytes that they made up in
   USED.  Returns false when TAKE did.  */
bool stream_split_lines (char *data, size_t len, stream_line_fn *take, void *arg,
                       size_t *used);
/* Closes without an event.  PENDING output is sent first when FLUSH.  */
void stream_close (struct stream *s, bool flush);

/* A listening descriptor for "host:port", or -1 with a message.  */
int stream_listen (const char *address, GError **error);

#endif
