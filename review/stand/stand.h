/* Stand-ins for the review cases: the platform's store with its promotion
   call, database instances, clients, and proxies as separate processes.  All
   listen on loopback addresses.  Every call ends the case with exit code 2 if
   the case can't run.  */
#ifndef REVIEW_STAND_H
#define REVIEW_STAND_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <sys/types.h>

#define ST_ID_MAX 64
#define ST_TEXT_MAX 4096

/* Exit codes of a case.  */
#define ST_HELD 0
#define ST_BROKEN 1
#define ST_NOT_RUN 2

int64_t st_now_ms (void);
void st_sleep_until_ms (int64_t at_ms);
/* Whether the disruption is wanted: TROUBLE is not 0.  */
bool st_trouble (void);
/* Opens record.txt in the folder of the case and chooses addresses.  */
void st_init (int argc, char **argv);
/* Writes a line with the time since st_init to record.txt.  */
void st_record (const char *format, ...)
    __attribute__ ((format (printf, 1, 2)));
/* Ends all processes started, and the case.  */
void st_finish (int code) __attribute__ ((noreturn));

/* What an instance does with a statement that reads, writes or commits.  */
struct st_plan
{
  int work_ms;
};

struct st_instance;

/* Called before INSTANCE runs TEXT with client statement ID; fills PLAN in.
   Calls are serialized.  */
typedef void st_plan_fn (const char *instance, const char *id,
                         const char *text, struct st_plan *plan);

struct st_options
{
  const char *service;
  const char *host; /* name of the database */
  const char *type; /* of the route */
  int timeout_ms;
  int objective_ms;
  int max_conns;
  int slots;
  int instances; /* the first is the primary */
  st_plan_fn *plan;
  int sync_replicas;
  bool ignores_fences; /* requireFence is false */
};

/* Starts the store and the instances, and writes their entries and the first
   configuration.  */
void st_start_platform (const struct st_options *options);
/* The number of the proxy that took the newest claim, and its revision; -1
   while there is none.  */
int st_claim_holder (int64_t *claim_revision);
/* The store doesn't answer proxy N any more, and takes nothing from it.  */
void st_cut_store (int n);
/* The number of promotion calls with a lower token than one seen before.  */
int st_count_lower_tokens (void);
/* Instance N receives no commits from now on.  */
void st_set_deaf (int n);
/* Instance N crashes: it listens no more, and its connections end.  */
void st_crash_instance (int n);
/* The number of commits that a client was told of (see st_note_acknowledged)
   and that were not in the log of an instance when it was promoted.  */
int st_count_lost_commits (void);
/* The client was told that the write ID is committed.  */
void st_note_acknowledged (const char *id);
/* Writes a newer configuration, which differs in its version only.  */
void st_change_config (void);

/* Starts proxy number N and waits until its readiness address answers 200.  */
void st_start_proxy (int n);
/* Sets the figure of bounds.graceS in the settings of proxy N, in the file of
   a running one too.  */
void st_set_grace (int n, const char *seconds);
/* Starts proxy N again, and once more each time that it ends, as the platform
   does, until UNTIL_MS.  Returns whether it became ready.  */
bool st_supervise_proxy (int n, int64_t until_ms);
pid_t st_proxy_pid (int n);
/* Sends SIGKILL to proxy N and waits for its end.  */
void st_kill_proxy (int n);

struct st_client
{
  int fd;
  char *in;
  size_t len;
  size_t size;
};

struct st_answer
{
  bool complete; /* READY was received */
  bool ended;    /* the connection ended before that */
  bool ok;
  char end[256]; /* the COMPLETE or ERROR line */
  char state;
  size_t rows;
  size_t bytes; /* received for this answer */
};

/* Connects to proxy N and starts a session.  */
void st_connect (struct st_client *c, int n);
/* The same; returns false if that fails.  */
bool st_try_connect (struct st_client *c, int n);
void st_disconnect (struct st_client *c);
/* Sends LINE as it is.  */
void st_send (struct st_client *c, const char *line, size_t len);
void st_query (struct st_client *c, const char *id, const char *text);
/* Waits for an answer until UNTIL_MS.  */
void st_answer (struct st_client *c, int64_t until_ms, struct st_answer *a);

#endif
