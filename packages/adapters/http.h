/* CivetWeb listeners: one for callers, one for operators.  A handler thread
   reads the request, hands it to the engine thread and waits for the
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
  const char *tls_file;       /* PEM with certificate and key, NULL: no TLS */
  const char *client_ca_file; /* asks for client certificates when set */
  int32_t caller_threads;     /* connections served at once */
  int32_t body_max_bytes;
  int32_t keep_alive_timeout_ms; /* a kept-alive connection may idle */
  int32_t request_timeout_ms; /* a request must be read within this time */
  struct tok_keys keys;
  struct mailbox *mailbox;
  struct node *const *node; /* used on the engine thread only */
  struct ctr_set *counters;
  struct rcu_cell *access; /* struct access *, NULL: all is allowed */
  struct trace *trace;     /* NULL: nothing is recorded */
};

struct http;

struct http *http_new (const struct http_options *options, GError **error);
/* Answers what is being served, then closes.  */
void http_free (struct http *h);
/* The engine's answer function (ent_answer_fn).  */
void http_answer (void *arg, void *tag, const struct ent_answer *answer);
/* From now on each answer tells its caller to use another connection, so that
   none is idle and kept when the listener closes.  */
void http_disable_keep_alive (struct http *h);
/* Requests between reading and answering.  */
int32_t http_active_requests (struct http *h);

#endif
