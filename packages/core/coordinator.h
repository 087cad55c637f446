/* The entry proxy's side: takes a caller's request, sends attempts to home
   proxies and answers once, with an outcome that holds.

   One thread; time is an argument.  */
#ifndef CB_COORDINATOR_H
#define CB_COORDINATOR_H

#include "requestid.h"
#include "route.h"
#include "token.h"

/* A caller's request as parsed; borrowed during coord_submit.  */
struct coord_call
{
  enum wire_op op;
  const char *database;
  const char *kind;
  const char *request_id; /* "" when none */
  const char *transaction;
  int64_t deadline_ms; /* 0: the kind's own */
  struct tok token;
  uint32_t n_statements;
  const struct wire_statement *statements;
  void *tag; /* given back with the answer */
};

struct coord_answer
{
  enum rsn reason;
  const char *rows;        /* JSON array, "" when none */
  const char *detail;      /* "" when none */
  const char *transaction; /* of a conversation just opened, else "" */
  const char *database;
  uint64_t term; /* new floor in DATABASE, 0 = unchanged */
  uint64_t position;
  bool from_replica;
};

typedef void coord_answer_fn (void *arg, void *tag,
                              const struct coord_answer *answer);
/* Sends REQUEST to VM, which may be this one.  */
typedef void coord_send_fn (void *arg, const char *vm,
                            struct wire_request *request);
/* The home of an instance, by preference; NULL when no VM is known.  */
typedef const char *coord_home_fn (void *arg,
                                   const struct dcl_database *database,
                                   uint32_t instance, uint32_t preference);
typedef bool coord_alive_fn (void *arg, const char *vm);

struct coord_options
{
  coord_answer_fn *answer;
  coord_send_fn *send;
  coord_home_fn *pick_home;
  coord_alive_fn *is_alive;
  void *arg;        /* of send, home and alive */
  void *answer_arg; /* of answer */
  struct ctr_set *counters;
  const char *data_centre;
  const char *region;
  uint64_t first_id;     /* attempts are numbered from here */
  uint32_t requests_max; /* requests in flight */
  enum rte_policy policy;
  bool unlimited_retries; /* for measurement only */
  bool unsafe_not_run;    /* test only: a lost answer is called not run */
};

struct coordinator;

struct coordinator *coord_new (const struct coord_options *options);
void coord_free (struct coordinator *c);
/* Takes the declarations in force; they must live until the next call.  */
void coord_set_databases (struct coordinator *c, const struct dcl_set *set);
/* Answers exactly once, perhaps before it returns.  WALL_MS is used for the
   age of request ids alone.  */
void coord_submit (struct coordinator *c, const struct coord_call *call,
                   int64_t now_us, int64_t wall_ms);
void coord_on_reply (struct coordinator *c, const struct wire_reply *reply,
                     int64_t now_us);
/* The link to VM broke: what was in flight on it is lost.  */
void coord_on_peer_lost (struct coordinator *c, const char *vm,
                         int64_t now_us);
/* Membership changed: what is in flight at a VM that no longer lives is
   lost.  */
void coord_check_peers (struct coordinator *c, int64_t now_us);
void coord_tick (struct coordinator *c, int64_t now_us);
/* Refuses new work from now on.  */
void coord_drain (struct coordinator *c);
/* Answers everything in flight now, as at its deadline.  */
void coord_abort (struct coordinator *c, int64_t now_us);
uint32_t coord_count_in_flight (const struct coordinator *c);

#endif
