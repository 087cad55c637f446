/* Connections that belong to an account.

   Each connection to an instance is opened in the name of one account and
   serves only that one.  There may be more accounts than connections, and
   opening one takes time of the instance.  Given the connections of one
   instance at one proxy, this module says on which one a statement runs, when
   another one is opened, and which idle one gives way to it.

   Decides without sockets and clocks.  Answers a load of many small accounts
   and a few large ones on fewer connections than accounts.  */
#ifndef CB_LINKPLAN_H
#define CB_LINKPLAN_H

#include <stdbool.h>
#include <stdint.h>

enum lpl_state
{
  LPL_OPENING,
  LPL_IDLE,
  LPL_BUSY
};

struct lpl_link
{
  const char *account;
  enum lpl_state state;
  int64_t idle_since_us; /* if idle */
};

/* What a statement needs of the connections.  */
struct lpl_demand
{
  const char *account;
  int64_t waited_us;  /* the statement has waited so long */
  uint32_t links_max; /* of this proxy at the instance */
};

enum lpl_action
{
  LPL_USE,     /* run the statement on LINK */
  LPL_OPEN,    /* open a connection for the account */
  LPL_REPLACE, /* close LINK and open one for the account instead */
  LPL_WAIT
};

struct lpl_choice
{
  enum lpl_action action;
  uint32_t link; /* index */
};

struct lpl_choice lpl_choose (const struct lpl_demand *demand,
                              const struct lpl_link *links, uint32_t n_links,
                              int64_t now_us);

#endif
