/* What the files of the stand-ins share: util.c (record, addresses), store.c
   (the store and the platform's promotion call), instance.c (database
   instances) and proxy.c (proxies and clients).  */
#ifndef REVIEW_STANDINT_H
#define REVIEW_STANDINT_H

#include "stand.h"

#include <pthread.h>
#include <stdio.h>

#define PROGRAM "target/packages/proxy/cassiabayd"
#define ITEMS_MAX 256
#define EVENTS_MAX 4096
#define COMMITS_MAX 8192
#define INSTANCES_MAX 4
#define PROXIES_MAX 16
#define CONNECTIONS_MAX 512
#define FIRST_COMMIT 100
#define REPLICA_LAG_MS 20
#define PROMOTE_MS 600
/* A page of a listing ends with the item that exceeds it.  */
#define PAGE_MAX_BYTES 1000000
#define LINE_MAX_BYTES (1024 * 1024 + 16)

struct item
{
  char key[200];
  char *value; /* base64, NULL = free or removed */
  int64_t revision;
  int64_t created;
  int64_t lease;
};

struct event
{
  char key[200];
  char *value; /* NULL = removed */
  int64_t revision;
};

struct lease
{
  int64_t id;
  int64_t ttl_ms;
  int64_t ends_ms;
};

struct instance
{
  char id[ST_ID_MAX];
  int fd;
  uint16_t port;
  bool primary;
  bool crashed;
  bool deaf;
  int received; /* commits in its log */
  int busy;     /* slots in use */
  int fds[CONNECTIONS_MAX];
  int n_fds;
};

struct commit
{
  char id[ST_ID_MAX];
  int64_t at_ms;
  bool acknowledged;
};

/* A connection and the number of its listener.  */
struct accepted
{
  int fd;
  int index;
};

/* Guards what follows.  */
extern pthread_mutex_t lock;
extern char directory[128];
extern int net_a;
extern int net_b;
extern uint16_t base_port;
extern uint16_t store_ports[PROXIES_MAX]; /* one for each proxy */
extern uint16_t cloud_port;
extern struct st_options o;
extern struct instance instances[INSTANCES_MAX];
extern int term;
extern struct commit commits[COMMITS_MAX];
extern int n_commits;
extern int n_lost;
extern pid_t pids[PROXIES_MAX];

/* util.c */
void give_up (const char *what);
void start_thread (void *(*run) (void *), void *arg);
int listen_loopback (uint16_t *port);

/* store.c */
void *run_leases (void *unused);
void put (const char *key, const char *text);
void set_entry (int n);
bool write_all (int fd, const char *data, size_t len);
void *serve_http (void *arg);
void start_listener (int fd, void *(*serve) (void *), int index);

#endif
