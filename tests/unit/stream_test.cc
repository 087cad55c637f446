// Tests of buffered streams, on a pair of sockets.
#include <glib.h>
extern "C"
{
#include "stream.h"
}
#include <gtest/gtest.h>
#include <string>
#include <sys/socket.h>
#include <unistd.h>
#include <vector>

namespace
{
size_t
IgnoreData (void *, char *, size_t len)
{
  return len;
}

void
IgnoreConnected (void *)
{
}

void
IgnoreClosed (void *, bool)
{
}

// Guards against answers that a planned stop cuts off: the process ended while
// a closed stream still had output that its peer had not read.
TEST (Stream, ClosedStreamLingersUntilItsOutputIsSent)
{
  static const struct stream_ops ops
      = { IgnoreData, IgnoreConnected, IgnoreClosed };
  const struct stream_options options = { &ops, nullptr, 0, 0 };
  const size_t kBytes = 3000000;
  struct loop loop;
  struct stream_set set;
  int fds[2];
  std::vector<char> buffer (65536);
  size_t received = 0;
  ssize_t n = 0;

  ASSERT_TRUE (loop_init (&loop));
  stream_set_init (&set, &loop);
  ASSERT_EQ (socketpair (AF_UNIX, SOCK_STREAM | SOCK_NONBLOCK, 0, fds), 0);
  struct stream *s = stream_new (&set, fds[0], &options);
  g_string_append (stream_output (s), std::string (kBytes, 'x').c_str ());
  EXPECT_EQ (stream_set_count_lingering (&set), 0u);
  stream_close (s, true);
  EXPECT_EQ (stream_set_count_lingering (&set), 1u);
  // Once none lingers, all is in the peer's socket.
  while (stream_set_count_lingering (&set) > 0)
    {
      stream_set_flush (&set);
      n = read (fds[1], buffer.data (), buffer.size ());
      ASSERT_GT (n, 0);
      received += (size_t)n;
      loop_run (&loop, 0);
    }
  stream_set_flush (&set);
  while ((n = read (fds[1], buffer.data (), buffer.size ())) > 0)
    received += (size_t)n;
  EXPECT_EQ (n, 0) << "the stream is not closed";
  EXPECT_EQ (received, kBytes);
  stream_set_free (&set);
  close (fds[1]);
  loop_free (&loop);
}
} // namespace
