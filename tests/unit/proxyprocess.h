// A process of the proxy on loopback, beside the fake of the platform's store,
// and one session of a caller.
#ifndef CB_PROXYPROCESS_H
#define CB_PROXYPROCESS_H

#include <cstdint>
#include <string>
#include <sys/types.h>

extern const char kProxyStore[];
// A configuration with one database, called db.
extern const char kProxyConfig[];

struct ProxyProcess
{
  std::string ip;
  std::string settings; // path of the file
  pid_t pid = 0;
  int fd = -1;

  ProxyProcess (int index, const std::string &dir);
  ~ProxyProcess ();
  // LIMITS: lines of the section of that name, may be empty.
  void WriteSettings (const std::string &grace_s,
                      const std::string &limits = "");
  void Start ();
  // Returns a new connection to the address for callers, -1 if it is refused.
  int Connect ();
  // Opens a session and begins a transaction.
  bool Begin ();
};

// Promotions are not expected.
int RefusePromotion (void *, const char *, const char *, uint64_t);

#endif
