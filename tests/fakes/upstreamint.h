/* Internals shared by fake_upstream.c and upstream_control.c.  */
#ifndef FAKE_UPSTREAMINT_H
#define FAKE_UPSTREAMINT_H

#include "decl.h"
#include "loop.h"
#include "minisql.h"

#define ARGS_MAX 256

struct instance;

/* Data delayed by the network latency, in either direction.  */
struct packet
{
  int64_t due_us;
  GByteArray *bytes;
};

enum conn_phase
{
  PHASE_STARTUP,
  PHASE_OPENING, /* until the time to open a connection has passed */
  PHASE_READY
};

struct conn
{
  struct loop_source source;
  struct instance *instance;
  enum conn_phase phase;
  int64_t ready_us;
  int64_t delay_us; /* one-way latency to the proxy */
  char centre[64];  /* data centre of the proxy */
  GByteArray *in;
  GByteArray *out;
  GQueue arriving; /* struct packet * */
  GQueue leaving;
  struct grp_session session;
  char *sql; /* of the last Parse message, not run yet */
  char *args[ARGS_MAX];
  uint32_t n_args;
  bool skipping; /* after an error: ignores messages until Sync */
  bool has_slot;
  bool waiting;          /* for a slot */
  int64_t busy_until_us; /* when the running statement ends, 0 if none runs */
  bool silent;           /* passes no data any more, yet stays open */
  bool closed;
  bool counted; /* included in n_conns of the instance */
};

struct group
{
  struct grp model;
  const char *names[DCL_INSTANCES_MAX];
  int32_t slots;
  int32_t connections;
};

struct instance
{
  struct loop_source listener;
  struct group *group;
  uint32_t index;
  char *name;
  char *address;
  char *centre;
  int32_t n_conns;
  int32_t running;
  GQueue waiting;              /* struct conn *, for a slot */
  int64_t lose_commit_replies; /* how many next commits lose their reply */
  int64_t lose_before_commit;  /* how many next commits have their
                                  connection closed before they run */
  bool cut;                    /* unreachable from other data centres */
};

struct server
{
  struct loop loop;
  GPtrArray *groups;
  GPtrArray *instances;
  GPtrArray *conns;
  int64_t service_us;
  int64_t open_us;
  int64_t delay_us;
  int64_t now_us;
  struct loop_source control;
};

extern struct server server;

/* fake_upstream.c  */
struct grp_instance *ups_model_of (const struct instance *i);
void ups_close_conn (struct conn *c);
bool ups_listen (struct instance *i);
/* upstream_control.c  */
void ups_on_control (void *arg, uint32_t events);

#endif
