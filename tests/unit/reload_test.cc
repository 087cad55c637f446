// Two processes of the proxy, of which one gets another settings file while it
// runs.  They use the fake of the platform's store, on loopback.
#include <glib.h>
extern "C"
{
#include "kvstore.h"
}
#include <arpa/inet.h>
#include <csignal>
#include <gtest/gtest.h>
#include <netinet/in.h>
#include <string>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

namespace
{
const char kStore[] = "127.0.0.1:19481";
const uint16_t kFirstPort = 19482;
// Longest wait for a process to serve, far beyond what it takes.
const int kConnectTries = 2000;
const unsigned int kPauseUs = 10000;

const char kConfig[]
    = "{\"version\":1,\"services\":[{\"name\":\"s\",\"maxConns\":4,"
      "\"syncReplicas\":0}],\"routes\":[{\"name\":\"r\",\"host\":\"db\","
      "\"type\":\"primary\",\"timeoutMs\":800,\"latencySloMs\":500,"
      "\"priority\":1,\"service\":\"s\"}],\"limits\":{\"txIdleMs\":60000}}";

// A process of the proxy and one session of a caller.
struct Proxy
{
  std::string ip;
  std::string settings; // path of the file
  pid_t pid = 0;
  int fd = -1;

  Proxy (int index, const std::string &dir);
  ~Proxy ();
  void WriteSettings (const std::string &grace_s);
  void Start ();
  // Opens a session and begins a transaction.
  bool Begin ();
};

Proxy::Proxy (int index, const std::string &dir)
    : ip ("127.0.1." + std::to_string (index + 1)),
      settings (dir + "/" + std::to_string (index) + ".yaml")
{
}

Proxy::~Proxy ()
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
Proxy::WriteSettings (const std::string &grace_s)
{
  std::string at = ip + ":";
  std::string text
      = "node: \"" + ip + "\"\nzone: \"a\"\nip: \"" + ip
        + "\"\nlisten:\n  frontend: \"" + at + std::to_string (kFirstPort)
        + "\"\n  readiness: \"" + at + std::to_string (kFirstPort + 1)
        + "\"\ninternalPorts:\n  - " + std::to_string (kFirstPort + 2)
        + "\n  - " + std::to_string (kFirstPort + 9)
        + "\nbounds:\n  graceS: " + grace_s + "\nplatform:\n  address: \""
        + kStore + "\"\ncloudApi:\n  address: \"" + kStore + "\"\n";

  ASSERT_TRUE (g_file_set_contents (settings.c_str (), text.data (),
                                    (gssize)text.size (), nullptr));
}

void
Proxy::Start ()
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

bool
Proxy::Begin ()
{
  struct sockaddr_in to = {};

  to.sin_family = AF_INET;
  to.sin_port = htons (kFirstPort);
  inet_pton (AF_INET, ip.c_str (), &to.sin_addr);
  for (int n = 0; n < kConnectTries; n++)
    {
      fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
      if (connect (fd, (struct sockaddr *)&to, sizeof to) == 0
          && Ask (fd, "STARTUP db u\r\n", "READY I"))
        return Ask (fd, "QUERY 1 BEGIN\r\n", "READY T");
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

// Guards against a grace period that is overrun: the limits of a changed file
// were in force only after a restart.  An open transaction keeps each process
// until the end of its grace period, so the one with the shorter period must
// end first.
TEST (Reload, GracePeriodOfAChangedFileIsInForceAtOnce)
{
  struct
  {
    const char *what;
    const char *before[2];
    const char *after; // of the first process
    int first_to_end;
  } const cases[] = {
    { "a shorter one", { "8", "4" }, "1.5", 0 },
    { "a longer one", { "1.5", "4" }, "8", 1 },
  };
  for (const auto &c : cases)
    {
      char *dir = g_dir_make_tmp ("reload-XXXXXX", nullptr);
      struct kvs *store = kvs_new (kStore, RefusePromotion, nullptr);
      ASSERT_NE (store, nullptr);
      kvs_put (store, "op/config", kConfig);
      {
        Proxy proxies[] = { { 0, dir }, { 1, dir } };

        for (int n = 0; n < 2; n++)
          {
            proxies[n].WriteSettings (c.before[n]);
            proxies[n].Start ();
          }
        for (Proxy &p : proxies)
          ASSERT_TRUE (p.Begin ()) << c.what;
        proxies[0].WriteSettings (c.after);
        kill (proxies[0].pid, SIGHUP);
        for (Proxy &p : proxies)
          kill (p.pid, SIGTERM);
        pid_t first = waitpid (-1, nullptr, 0);
        EXPECT_EQ (first, proxies[c.first_to_end].pid) << c.what;
        for (Proxy &p : proxies)
          if (p.pid == first)
            p.pid = 0;
      }
      kvs_free (store);
      rmdir (dir);
      g_free (dir);
    }
}
} // namespace
