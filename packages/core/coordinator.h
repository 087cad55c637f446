/* Request coordinator of the proxy that a caller is connected to: takes the
   caller's request, sends attempts at it to the home proxies of the instances
   and answers once.  An answer says that the request ran or that it did not
   only when this is certain.

   Runs on one thread; the time is an argument.  */
#ifndef CB_COORDINATOR_H
#define CB_COORDINATOR_H

#include "requestid.h"
#include "route.h"
#include "token.h"

/* A caller's request as parsed; coord_submit borrows it for the call.  */
struct coord_call
{
  enum wire_op op;
  const char *database;
  const char *kind;
  const char *request_id; /* "" when none */
  const char *transaction;
  int64_t deadline_ms; /* 0 = the deadline declared for the kind */
  struct tok token;
  uint32_t n_statements;
  const struct wire_statement *statements;
  void *tag; /* passed back with the answer */
};

/* The answer to a caller.  */
struct coord_answer
{
  enum rsn reason;
  const char *rows;        /* JSON array, "" when none */
  const char *detail;      /* "" when none */
  const char *transaction; /* id of the interactive transaction just opened,
                              else "" */
  const char *database;
  /* New minimum position in DATABASE; TERM 0 = unchanged.  */
  uint64_t term;
  uint64_t position;
  bool from_replica;
};

typedef void coord_answer_fn (void *arg, void *tag,
                              const struct coord_answer *answer);
/* Sends REQUEST to VM, which may be this proxy itself.  */
typedef void coord_send_fn (void *arg, const char *vm,
                            struct wire_request *request);
/* Returns the home of an instance, for PREFERENCE 0 the first choice and for 1
   the second; NULL when no VM is known.  */
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
  void *arg;        /* of send, pick_home and is_alive */
  void *answer_arg; /* of answer */
  struct ctr_set *counters;
  const char *data_centre;
  const char *region;
  uint64_t first_id;     /* attempts are numbered from here */
  uint32_t requests_max; /* requests in flight */
  enum rte_policy policy;
  bool unlimited_retries;      /* for measurement only */
  bool unsafe_lost_is_not_run; /* test only: a lost write counts as not run */
};

struct coordinator;

struct coordinator *coord_new (const struct coord_options *options);
void coord_free (struct coordinator *c);
/* Sets the declarations in force, which must live until the next call.  */
void coord_set_databases (struct coordinator *c, const struct dcl_set *set);
/* Starts a request, which is answered exactly once, possibly before this
   function returns.  WALL_MS is used only for the age of request ids.  */
void coord_submit (struct coordinator *c, const struct coord_call *call,
                   int64_t now_us, int64_t wall_ms);
/* Takes a home's reply to an attempt.  */
void coord_on_reply (struct coordinator *c, const struct wire_reply *reply,
                     int64_t now_us);
/* The link to VM broke: the attempts in flight at VM are lost.  */
void coord_on_peer_lost (struct coordinator *c, const char *vm,
                         int64_t now_us);
/* The membership changed: the attempts in flight at VMs that are no longer
   alive are lost.  */
void coord_check_peers (struct coordinator *c, int64_t now_us);
void coord_tick (struct coordinator *c, int64_t now_us);
/* Refuses new requests from now on.  */
void coord_drain (struct coordinator *c);
/* Answers everything in flight, as if its deadline had passed.  */
void coord_abort (struct coordinator *c, int64_t now_us);
/* Number of requests in flight.  */
uint32_t coord_count_in_flight (const struct coordinator *c);

#endif
