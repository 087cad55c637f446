/* Stand-ins of a small deployment for the cases of the review: the store, one
   database group of three instances and an idle one, proxy processes and
   callers, all on loopback addresses and the real clock.  The store and the
   instances are the project's own fakes; added are the network delay of one
   replica and a path of its own for each proxy to the store.  */
#ifndef REVIEW_DEPLOYMENT_H
#define REVIEW_DEPLOYMENT_H

#include "cutpath.h"
#include "dbmodel.h"
#include "faultproxy.h"
#include "kvstore.h"
#include "linecodec.h"
#include "lineserver.h"

#include <stdio.h>
#include <sys/types.h>

#define WLD_INSTANCES 3
#define WLD_PROXIES_MAX 4
#define WLD_CALLERS_MAX 64
#define WLD_SERVICE "ledger"
/* A second database group, which has no callers.  */
#define WLD_OTHER_SERVICE "archive"

struct wld;

/* A proxy process, started as the deploy file says.  */
struct wld_proxy
{
  char name[24];
  char ip[24];
  char *settings;
  char *log;
  struct fpx *store; /* its own path to the store */
  uint16_t store_port;
  bool store_resets; /* its connections to the store are reset */
  pid_t pid;
  bool ended; /* it ended by itself */
  int status; /* as from waitpid, if it ended */
};

/* An ordinary caller: one session that sends one statement at a time.  */
struct wld_caller
{
  struct wld *w;
  struct wld_proxy *proxy;
  struct stream *stream; /* NULL between connections */
  uint32_t index;
  bool started;
  bool busy;
  bool failed;
  enum sqc code;
  int64_t next_us;
  int64_t sent_us;
  char id[32];
  uint32_t n_ok;
};

struct wld_options
{
  const char *dir;     /* for settings and logs */
  const char *program; /* as in the deploy file */
  FILE *record;
  uint32_t n_proxies;
  uint32_t n_callers;
  int64_t pause_us; /* of a caller between two statements */
  bool reads;       /* callers read instead of writing */
  uint32_t memory_mb;
  uint32_t fds_max;
  uint32_t sync_replicas;
  int64_t far_delay_us;    /* network delay to instance 1, 0 = none */
  uint32_t row_bytes;      /* length of the row of a read, 0 = none */
  kvs_promote_fn *promote; /* NULL: carried out at once */
};

struct wld
{
  struct wld_options o;
  struct loop loop;
  struct stream_set streams;
  GMutex lock; /* guards DB: promotions arrive on other threads */
  struct kvs *store;
  uint16_t store_port; /* also of the promotion call */
  uint16_t callers_port;
  struct dbm *db;
  struct lsv *servers[WLD_INSTANCES];
  /* Index of an instance whose entry is neither written nor kept, -1 = none.
   */
  int32_t unlisted;
  bool far_is_deaf; /* instance 1 receives nothing */
  struct dbm *other_db;
  struct lsv *other_servers[WLD_INSTANCES];
  uint16_t other_ports[WLD_INSTANCES];
  uint16_t ports[WLD_INSTANCES]; /* in the directory */
  struct cpt *paths[WLD_INSTANCES];
  struct wld_proxy proxies[WLD_PROXIES_MAX];
  struct wld_caller callers[WLD_CALLERS_MAX];
  int64_t start_us;
  int64_t directory_due_us;
  uint32_t n_sent;
  uint32_t n_ok;
};

/* Starts everything but the callers.  Exits with status 2 if it can't.  */
struct wld *wld_new (const struct wld_options *options);
/* Lets the callers connect.  */
void wld_start_callers (struct wld *w);
/* Runs the event loop once; at most 2 ms.  */
void wld_step (struct wld *w);
/* Microseconds since the start.  */
int64_t wld_now_us (const struct wld *w);
/* Writes a line with the time to the record.  */
void wld_record (struct wld *w, const char *format, ...) G_GNUC_PRINTF (2, 3);
/* Returns true when every proxy answers its readiness probe with 200.  */
bool wld_is_ready (struct wld *w);
/* Runs until all proxies are ready.  Exits with status 2 if they aren't.  */
void wld_await_ready (struct wld *w);
/* Returns the proxy that holds the claim on the service: the one that wrote to
   the store under a condition last.  NULL if there is none.  */
struct wld_proxy *wld_find_holder (struct wld *w);
/* Kills all proxies and starts them again after a short delay.  */
void wld_restart_proxies (struct wld *w);
/* Resident memory of a process in KB, 0 if it has ended.  */
uint64_t wld_memory_kb (pid_t pid);
/* Ends all proxies that were started.  */
void wld_stop (struct wld *w);

#endif
