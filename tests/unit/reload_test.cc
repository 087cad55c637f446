// Two processes of the proxy, of which one gets another settings file while it
// runs.  They use the fake of the platform's store, on loopback.
#include <glib.h>
extern "C"
{
#include "kvstore.h"
}
#include "proxyprocess.h"

#include <csignal>
#include <gtest/gtest.h>
#include <sys/wait.h>
#include <unistd.h>

namespace
{
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
      struct kvs *store = kvs_new (kProxyStore, RefusePromotion, nullptr);
      ASSERT_NE (store, nullptr);
      kvs_put (store, "op/config", kProxyConfig);
      {
        ProxyProcess proxies[] = { { 0, dir }, { 1, dir } };

        for (int n = 0; n < 2; n++)
          {
            proxies[n].WriteSettings (c.before[n]);
            proxies[n].Start ();
          }
        for (ProxyProcess &p : proxies)
          ASSERT_TRUE (p.Begin ()) << c.what;
        proxies[0].WriteSettings (c.after);
        kill (proxies[0].pid, SIGHUP);
        for (ProxyProcess &p : proxies)
          kill (p.pid, SIGTERM);
        pid_t first = waitpid (-1, nullptr, 0);
        EXPECT_EQ (first, proxies[c.first_to_end].pid) << c.what;
        for (ProxyProcess &p : proxies)
          if (p.pid == first)
            p.pid = 0;
      }
      kvs_free (store);
      rmdir (dir);
      g_free (dir);
    }
}
} // namespace
