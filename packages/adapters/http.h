/* HTTP listeners on CivetWeb: one for callers, one for operators.  A handler
   thread reads the request, passes it to the engine thread and waits for the
   answer.  */
#ifndef CB_HTTP_H
#define CB_HTTP_H

#include "access.h"
#include "mailbox.h"
#include "node.h"
#include "rcu.h"
#include "trace.h"

struct http_options
{
  const char *callers_listen;
  const char *operators_listen;
  const char *tls_file; /* PEM with certificate and key, NULL: no TLS */
  const char
      *client_ca_file;    /* requests client certificates; NULL: does not */
  int32_t caller_threads; /* connections served concurrently */
  int32_t body_max_bytes;
  int32_t
      keep_alive_timeout_ms; /* maximum idle time of a kept-alive connection */
  int32_t request_timeout_ms; /* limit for reading a request */
  struct tok_keys keys;
  struct mailbox *mailbox;
  struct node *const *node; /* used on the engine thread only */
  struct ctr_set *counters;
  struct rcu_cell *access; /* struct access *, NULL: no checks */
  struct trace *trace;     /* NULL: calls are not recorded */
};

struct http;

/* Starts both listeners.  Returns NULL and sets ERROR when one cannot be
   bound.  */
struct http *http_new (const struct http_options *options, GError **error);
/* Closes the listeners after the requests in progress have been answered.  */
void http_free (struct http *h);
/* Delivers an answer to the waiting handler thread (a coord_answer_fn, called
   on the engine thread).  TAG is the tag of the call.  */
void http_answer (void *arg, void *tag, const struct coord_answer *answer);
/* Adds "Connection: close" to all further answers, so that no idle kept-alive
   connections are left when the listener closes.  */
void http_disable_keep_alive (struct http *h);
/* Returns the number of caller requests between reading and answering.  */
int32_t http_active_requests (struct http *h);

#endif
