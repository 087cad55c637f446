// A process of the proxy on loopback.
#include "proxyprocess.h"

#include <arpa/inet.h>
#include <csignal>
#include <glib.h>
#include <gtest/gtest.h>
#include <netinet/in.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

const char kProxyStore[] = "127.0.0.1:19481";

namespace
{
const uint16_t kFirstPort = 19482;
// Longest wait for a process to serve, far beyond what it takes.
const int kConnectTries = 2000;
const unsigned int kPauseUs = 10000;
} // namespace

const char kProxyConfig[]
    = "{\"version\":1,\"services\":[{\"name\":\"s\",\"maxConns\":4,"
      "\"syncReplicas\":0}],\"routes\":[{\"name\":\"r\",\"host\":\"db\","
      "\"type\":\"primary\",\"timeoutMs\":800,\"latencySloMs\":500,"
      "\"priority\":1,\"service\":\"s\"}],\"limits\":{\"txIdleMs\":60000}}";

ProxyProcess::ProxyProcess (int index, const std::string &dir)
    : ip ("127.0.1." + std::to_string (index + 1)),
      settings (dir + "/" + std::to_string (index) + ".yaml")
{
}

ProxyProcess::~ProxyProcess ()
{
  if (fd >= 0)
    close (fd);
  if (pid > 0)
    {
      kill (pid, SIGKILL);
      waitpid (pid, nullptr, 0);
    }
  unlink (settings.c_str ());
}

void
ProxyProcess::WriteSettings (const std::string &grace_s,
                             const std::string &limits)
{
  std::string at = ip + ":";
  std::string text
      = "node: \"" + ip + "\"\nzone: \"a\"\nip: \"" + ip
        + "\"\nlisten:\n  frontend: \"" + at + std::to_string (kFirstPort)
        + "\"\n  readiness: \"" + at + std::to_string (kFirstPort + 1)
        + "\"\ninternalPorts:\n  - " + std::to_string (kFirstPort + 2)
        + "\n  - " + std::to_string (kFirstPort + 9)
        + (limits.empty () ? "" : "\nlimits:\n" + limits)
        + "\nbounds:\n  graceS: " + grace_s + "\nplatform:\n  address: \""
        + kProxyStore + "\"\ncloudApi:\n  address: \"" + kProxyStore + "\"\n";

  ASSERT_TRUE (g_file_set_contents (settings.c_str (), text.data (),
                                    (gssize)text.size (), nullptr));
}

void
ProxyProcess::Start ()
{
  const char *program = g_getenv ("CASSIABAYD");

  ASSERT_NE (program, nullptr);
  pid = fork ();
  if (pid != 0)
    return;
  prctl (PR_SET_PDEATHSIG, SIGKILL);
  setenv ("CASSIABAY_SETTINGS", settings.c_str (), 1);
  if (!freopen ("/dev/null", "w", stdout))
    _exit (126);
  execl (program, program, "--platform", (char *)nullptr);
  _exit (127);
}

namespace
{
// Sends TEXT and reads until a line that begins with END is complete.
bool
Ask (int fd, const std::string &text, const std::string &end)
{
  std::string got;
  char buffer[512];
  ssize_t n;

  if (write (fd, text.data (), text.size ()) != (ssize_t)text.size ())
    return false;
  while (got.find (end) == std::string::npos || got.back () != '\n')
    {
      n = read (fd, buffer, sizeof buffer);
      if (n <= 0)
        return false;
      got.append (buffer, (size_t)n);
    }
  return true;
}

} // namespace

int
ProxyProcess::Connect ()
{
  struct sockaddr_in to = {};
  int s = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

  to.sin_family = AF_INET;
  to.sin_port = htons (kFirstPort);
  inet_pton (AF_INET, ip.c_str (), &to.sin_addr);
  if (connect (s, (struct sockaddr *)&to, sizeof to) == 0)
    return s;
  close (s);
  return -1;
}

bool
ProxyProcess::Begin ()
{
  for (int n = 0; n < kConnectTries; n++)
    {
      fd = Connect ();
      if (fd >= 0 && Ask (fd, "STARTUP db u\r\n", "READY I"))
        return Ask (fd, "QUERY 1 BEGIN\r\n", "READY T");
      if (fd >= 0)
        close (fd);
      fd = -1;
      usleep (kPauseUs);
    }
  return false;
}

int
RefusePromotion (void *, const char *, const char *, uint64_t)
{
  return 409;
}
