// A process of the proxy beside callers that do not behave: it lives, stays
// within its memory and descriptors, and serves an ordinary caller afterwards.
#include <glib.h>
extern "C"
{
#include "kvstore.h"
}
#include "proxyprocess.h"

#include <cerrno>
#include <dirent.h>
#include <fcntl.h>
#include <fstream>
#include <gtest/gtest.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>
#include <vector>

namespace
{
// Below the message limit of 1 MiB.
const size_t kMessageBytes = 900000;
const int kMemoryMb = 96;
const int kDescriptors = 400;
// The crowd sends until nothing is taken any more for so many rounds.
const int kIdleRounds = 200;
const unsigned int kRoundUs = 5000;

// One connection of the crowd, which sends TEXT and reads no replies.
struct Member
{
  int fd;
  std::string text;
  size_t sent = 0;
};

long
PeakKb (pid_t pid)
{
  std::ifstream status ("/proc/" + std::to_string (pid) + "/status");
  std::string word;
  long kb = -1;

  while (status >> word)
    if (word == "VmHWM:")
      status >> kb;
  return kb;
}

int
CountDescriptors (pid_t pid)
{
  DIR *d = opendir (("/proc/" + std::to_string (pid) + "/fd").c_str ());
  int n = 0;

  while (d && readdir (d))
    n++;
  if (d)
    closedir (d);
  return n;
}

// Sends what is possible.  Returns true if anything was taken.
bool
Send (Member *m)
{
  if (m->fd < 0 || m->sent == m->text.size ())
    return false;
  ssize_t n = send (m->fd, m->text.data () + m->sent,
                    m->text.size () - m->sent, MSG_NOSIGNAL | MSG_DONTWAIT);
  if (n > 0)
    {
      m->sent += (size_t)n;
      return true;
    }
  if (errno == EAGAIN)
    return false;
  close (m->fd);
  m->fd = -1;
  return false;
}

// Guards against callers that take a process above its memory, upon which the
// platform kills it, or that keep all others out: nothing limited the unread
// input of all connections together, the texts that sessions keep, or how long
// a connection may take to start a session.
TEST (Crowd, ProcessKeepsItsLimitsAndServesOthers)
{
  const std::string filler (kMessageBytes, 'x');
  const std::string start = "STARTUP db c\r\n";
  std::string prepared = start, values = start;
  for (int n = 0; n < 60; n++)
    {
      std::string k = std::to_string (n);
      prepared
          += "QUERY p" + k + " PARSE s" + k + " READ " + k + filler + "\r\n";
      values += "QUERY v" + k + " SET v" + k + " " + filler + "\r\n";
    }
  const struct
  {
    const char *what;
    int members;
    std::string text;
  } cases[] = {
    { "statements that are half sent", 120,
      start + "QUERY h WRITE a " + filler },
    { "statements that wait", 120,
      start + "QUERY h WRITE a " + filler + "\r\n" },
    { "statements sent ahead of one that waits", 120,
      start + "QUERY h WRITE a b\r\nQUERY i WRITE a " + filler },
    { "one caller that prepares many", 1, prepared },
    { "one caller with many values", 1, values },
    { "connections that do not start a session", 500, "STARTUP d" },
  };
  for (const auto &c : cases)
    {
      char *dir = g_dir_make_tmp ("crowd-XXXXXX", nullptr);
      struct kvs *store = kvs_new (kProxyStore, RefusePromotion, nullptr);
      ASSERT_NE (store, nullptr);
      kvs_put (store, "op/config", kProxyConfig);
      {
        ProxyProcess p (0, dir);
        std::vector<Member> crowd;
        int idle = 0;

        p.WriteSettings ("6",
                         "  memoryMb: " + std::to_string (kMemoryMb)
                             + "\n  maxFds: " + std::to_string (kDescriptors));
        p.Start ();
        ASSERT_TRUE (p.Begin ()) << c.what;
        for (int n = 0; n < c.members; n++)
          crowd.push_back ({ p.Connect (), c.text });
        while (idle < kIdleRounds)
          {
            bool taken = false;

            for (auto &m : crowd)
              taken |= Send (&m);
            idle = taken ? 0 : idle + 1;
            usleep (kRoundUs);
          }
        EXPECT_EQ (waitpid (p.pid, nullptr, WNOHANG), 0) << c.what;
        EXPECT_LT (PeakKb (p.pid), kMemoryMb * 1024L) << c.what;
        EXPECT_GT (PeakKb (p.pid), 0) << c.what;
        EXPECT_LT (CountDescriptors (p.pid), kDescriptors) << c.what;
        // The first session stays open.
        int first = p.fd;
        EXPECT_TRUE (p.Begin ()) << c.what;
        close (first);
        for (auto &m : crowd)
          if (m.fd >= 0)
            close (m.fd);
      }
      kvs_free (store);
      rmdir (dir);
      g_free (dir);
    }
}
} // namespace
