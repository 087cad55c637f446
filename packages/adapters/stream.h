/* Buffered TCP streams on the event loop.  Output written during one iteration
   of the loop is sent by one system call at its end.  */
#ifndef CB_STREAM_H
#define CB_STREAM_H

#include "loop.h"

#include <glib.h>
#include <stddef.h>

/* A stream with more unsent output than this, in bytes, is closed: its peer
   does not read.  */
#define STREAM_OUTPUT_MAX_BYTES (8 * 1024 * 1024)

struct stream;

/* Streams of one loop.  */
struct stream_set
{
  struct loop *loop;
  GPtrArray *dirty; /* streams with output or a failure to handle at the end
                       of the iteration */
  uint32_t n_lingering; /* closed by their owner, with output to send */
  GPtrArray *dead;      /* closed streams, freed at the end of the iteration */
};

struct stream_ops
{
  /* Input arrived.  Returns the number of bytes consumed; the rest is kept and
     passed again in front of further input.  DATA may be modified.  */
  size_t (*data) (void *arg, char *data, size_t len);
  void (*connected) (void *arg);
  /* The stream has failed or the peer has closed it; it is closed already.
     REFUSED: the connect failed because nothing listens at the address.  */
  void (*closed) (void *arg, bool refused);
};

/* Callbacks, and time limits after which a silent peer fails the stream.  */
struct stream_options
{
  const struct stream_ops *ops;
  void *arg;
  int32_t user_timeout_ms; /* for sent data to be acknowledged, 0 = none */
  int32_t keepalive_s;     /* idle time between probes, 0 = none */
};

void stream_set_init (struct stream_set *set, struct loop *loop);
void stream_set_free (struct stream_set *set);
/* Sends pending output and frees closed streams; called at the end of each
   iteration of the loop.  */
void stream_set_flush (struct stream_set *set);

/* Returns the number of streams that were closed and still have output to
   send.  */
uint32_t stream_set_count_lingering (const struct stream_set *set);

/* Creates a stream on the connected descriptor FD, which it then owns.  */
struct stream *stream_new (struct stream_set *set, int fd,
                           const struct stream_options *options);
/* Starts connecting to HOST, an IPv4 address.  A failure is reported by CLOSED
   later, never within this call.  */
struct stream *stream_connect (struct stream_set *set, const char *host,
                               uint16_t port,
                               const struct stream_options *options);
/* Returns the buffer to append output to, and marks the stream for sending.
 */
GString *stream_output (struct stream *s);
/* Passes unconsumed input to the owner again.  */
void stream_resume (struct stream *s);
/* Receives a line, NUL-terminated and without its line end.  Returns false to
   stop.  */
typedef bool stream_line_fn (void *arg, char *line, size_t len);
/* Calls FN for each complete line of DATA, which ends in CR LF, and sets USED
   to the number of bytes of the lines passed.  Returns false when FN did.  */
bool stream_split_lines (char *data, size_t len, stream_line_fn *fn, void *arg,
                         size_t *used);
/* Closes the stream without calling CLOSED.  If FLUSH is true, pending output
   is sent first.  */
void stream_close (struct stream *s, bool flush);

/* Returns a descriptor listening on "host:port", or -1 with ERROR set.  HOST
   is an IPv4 address.  */
int stream_listen (const char *address, GError **error);

#endif
