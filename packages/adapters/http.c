/* HTTP listeners for callers and operators.  */
#include "http.h"

#include "callerjson.h"
#include <civetweb.h>
#include <pthread.h>
#include <stdio.h>
#include <string.h>

#define SESSION_HEADER "Cassiabay-Session"
/* Names the caller in recorded traces; it has no other effect.  */
#define CALLER_HEADER "Cassiabay-Caller"
/* Threads of the operators' listener.  */
#define OPERATOR_THREADS "4"
#define TRANSACTIONS_URI "/v1/transactions"

struct http
{
  struct http_options options;
  struct mg_context *callers;
  struct mg_context *operators;
  _Atomic int32_t active_requests;
  _Atomic bool closing; /* answers carry "Connection: close" */
};

/* A request waiting for the engine thread; on the stack of its handler.  */
struct exchange
{
  struct mail mail;
  struct http *http;
  struct coord_call call;
  pthread_mutex_t lock;
  pthread_cond_t done;
  bool answered; /* guarded by LOCK */
  enum rsn reason;
  char *body;
  char *database;
  uint64_t term;
  uint64_t position;
};

static void
init_exchange (struct exchange *x, struct http *h)
{
  memset (x, 0, sizeof *x);
  x->http = h;
  pthread_mutex_init (&x->lock, NULL);
  pthread_cond_init (&x->done, NULL);
}

static void
clear_exchange (struct exchange *x)
{
  pthread_mutex_destroy (&x->lock);
  pthread_cond_destroy (&x->done);
  g_free (x->body);
  g_free (x->database);
}

static void
signal_done (struct exchange *x)
{
  pthread_mutex_lock (&x->lock);
  x->answered = true;
  /* Signalled under the lock: once the lock is released the waiter may return
     and X, on its stack, is gone.  */
  pthread_cond_signal (&x->done);
  pthread_mutex_unlock (&x->lock);
}

static void
run_on_engine (struct exchange *x)
{
  mailbox_push (x->http->options.mailbox, &x->mail);
  pthread_mutex_lock (&x->lock);
  while (!x->answered)
    pthread_cond_wait (&x->done, &x->lock);
  pthread_mutex_unlock (&x->lock);
}

void
http_answer (void *arg, void *tag, const struct coord_answer *answer)
{
  struct exchange *x = tag;

  (void)arg;
  x->reason = answer->reason;
  x->body = cjs_format_answer (answer);
  x->database = g_strdup (answer->database);
  x->term = answer->term;
  x->position = answer->position;
  if (rsn_outcome_of (answer->reason) == RSN_UNKNOWN)
    g_message ("request %s on database %s: outcome unknown, %s",
               x->call.request_id, answer->database,
               rsn_name (answer->reason));
  signal_done (x);
}

static void
submit_call (struct mail *mail, void *engine)
{
  struct exchange *x = (struct exchange *)mail;

  (void)engine;
  x->call.tag = x;
  node_submit (*x->http->options.node, &x->call, loop_now_us (),
               loop_wall_ms ());
}

static void
send_json (struct http *h, struct mg_connection *conn, enum rsn reason,
           const char *session, const char *body)
{
  int32_t retry_after_s = rsn_retry_after_s (reason);
  GString *out = g_string_new (NULL);

  g_string_append_printf (
      out,
      "HTTP/1.1 %d %s\r\nContent-Type: application/json"
      "\r\nContent-Length: %zu\r\n",
      rsn_http_status (reason),
      mg_get_response_code_text (conn, rsn_http_status (reason)),
      strlen (body));
  if (session && session[0] != '\0')
    g_string_append_printf (out, SESSION_HEADER ": %s\r\n", session);
  if (atomic_load (&h->closing))
    g_string_append (out, "Connection: close\r\n");
  if (retry_after_s > 0)
    g_string_append_printf (out, "Retry-After: %d\r\n", retry_after_s);
  g_string_append_printf (out, "\r\n%s", body);
  mg_write (conn, out->str, out->len);
  g_string_free (out, TRUE);
}

static void
send_refusal (struct http *h, struct mg_connection *conn, enum rsn reason,
              const char *session, const char *detail)
{
  struct coord_answer answer = { 0 };
  char *body;

  ctr_count_reason (h->options.counters, reason);
  answer.reason = reason;
  answer.detail = detail;
  body = cjs_format_answer (&answer);
  send_json (h, conn, reason, session, body);
  g_free (body);
}

/* Reads the whole body.  Returns RSN_BODY_TOO_LARGE when it exceeds the
   limit.  */
static enum rsn
read_body (struct http *h, struct mg_connection *conn, GString *out)
{
  char chunk[4096];
  int n;

  while ((n = mg_read (conn, chunk, sizeof chunk)) > 0)
    {
      if (out->len + (size_t)n > (size_t)h->options.body_max_bytes)
        return RSN_BODY_TOO_LARGE;
      g_string_append_len (out, chunk, n);
    }
  return n < 0 ? RSN_BAD_REQUEST : RSN_OK;
}

/* Returns the database of a call.  For a call in an interactive transaction
   it is the second part of the transaction id, whose parts are separated by
   "~".  */
static char *
get_call_database (const struct coord_call *call)
{
  char **parts;
  char *name;

  if (call->transaction[0] == '\0')
    return g_strdup (call->database);
  parts = g_strsplit (call->transaction, "~", 3);
  name = g_strdup (parts[0] && parts[1] ? parts[1] : "");
  g_strfreev (parts);
  return name;
}

static enum rsn
check_access (struct http *h, struct mg_connection *conn,
              const struct coord_call *call)
{
  const struct mg_request_info *info = mg_get_request_info (conn);
  const char *header = mg_get_header (conn, "Authorization");
  const char *token = NULL;
  const char *subject = info->client_cert ? info->client_cert->subject : NULL;
  char *database = get_call_database (call);
  enum rsn reason = RSN_OK;
  struct access *access;

  if (header && g_str_has_prefix (header, "Bearer "))
    token = header + strlen ("Bearer ");
  rcu_cell_enter (h->options.access);
  access = rcu_cell_get (h->options.access);
  if (access)
    reason = access_check (access, token, subject, database);
  rcu_cell_leave (h->options.access);
  g_free (database);
  return reason;
}

/* Refuses a call when its session token is full and has no entry for the
   database: the position of a write could not be recorded, so the caller might
   not read its own write.  */
static enum rsn
check_token_room (const struct coord_call *call)
{
  if (call->token.n == TOK_POSITIONS_MAX && call->op == WIRE_RUN
      && tok_find_position (&call->token, call->database).term == 0)
    return RSN_TOKEN_TOO_LARGE;
  return RSN_OK;
}

static void
record_call (struct http *h, struct mg_connection *conn,
             const struct exchange *x, const char *body, int64_t received_us)
{
  const struct mg_request_info *info = mg_get_request_info (conn);
  const char *caller = mg_get_header (conn, CALLER_HEADER);
  struct trace_record record = { 0 };

  record.took_us = loop_now_us () - received_us;
  record.at_ms = loop_wall_ms () - record.took_us / 1000;
  record.caller = caller ? caller : "";
  record.path = info->local_uri;
  record.body = body;
  record.answer = x->body;
  trace_write (h->options.trace, &record);
}

static void
run_call (struct http *h, struct mg_connection *conn, struct exchange *x,
          const char *request)
{
  int64_t received_us = loop_now_us ();
  const char *text = mg_get_header (conn, SESSION_HEADER);
  enum rsn reason
      = tok_decode (text ? text : "", &h->options.keys, &x->call.token);
  char *session;

  if (reason == RSN_OK)
    reason = check_access (h, conn, &x->call);
  if (reason == RSN_OK)
    reason = check_token_room (&x->call);
  if (reason != RSN_OK)
    {
      send_refusal (h, conn, reason, NULL, NULL);
      return;
    }
  x->mail.fn = submit_call;
  run_on_engine (x);
  if (h->options.trace)
    record_call (h, conn, x, request, received_us);
  if (x->term > 0)
    tok_raise_position (&x->call.token, x->database, x->term, x->position);
  session = tok_encode (&x->call.token, &h->options.keys);
  send_json (h, conn, x->reason, session, x->body);
  g_free (session);
}

/* Serves a call of kind OP.  TRANSACTION is the id of the interactive
   transaction it belongs to, or "".  */
static void
serve_call (struct http *h, struct mg_connection *conn, enum wire_op op,
            const char *transaction)
{
  GString *text = g_string_new (NULL);
  struct caller_body body = { 0 };
  struct exchange x;
  char *detail = NULL;
  enum rsn reason;

  atomic_fetch_add (&h->active_requests, 1);
  reason = read_body (h, conn, text);
  if (reason == RSN_OK)
    reason = cjs_parse (op, text->str, text->len, &body, &detail);
  if (reason != RSN_OK)
    send_refusal (h, conn, reason, NULL, detail);
  else
    {
      init_exchange (&x, h);
      x.call.op = op;
      x.call.database = body.database;
      x.call.kind = body.kind;
      x.call.request_id = body.request_id;
      x.call.transaction = transaction;
      x.call.deadline_ms = body.deadline_ms;
      x.call.n_statements = body.n_statements;
      x.call.statements = body.statements;
      run_call (h, conn, &x, text->str);
      clear_exchange (&x);
    }
  atomic_fetch_sub (&h->active_requests, 1);
  g_free (detail);
  cjs_clear (&body);
  g_string_free (text, TRUE);
}

static bool
is_post (struct http *h, struct mg_connection *conn)
{
  if (strcmp (mg_get_request_info (conn)->request_method, "POST") == 0)
    return true;
  send_refusal (h, conn, RSN_BAD_REQUEST, NULL, "use POST");
  return false;
}

static int
on_run (struct mg_connection *conn, void *arg)
{
  if (is_post (arg, conn))
    serve_call (arg, conn, WIRE_RUN, "");
  return 1;
}

/* Handles /v1/transactions and
   /v1/transactions/{id}/{statements|commit|rollback}.  */
static int
on_transactions (struct mg_connection *conn, void *arg)
{
  static const struct
  {
    const char *name;
    enum wire_op op;
  } operations[] = { { "statements", WIRE_STATEMENT },
                     { "commit", WIRE_COMMIT },
                     { "rollback", WIRE_ROLLBACK } };
  const char *rest
      = mg_get_request_info (conn)->local_uri + strlen (TRANSACTIONS_URI);
  const char *slash = rest[0] == '/' ? strchr (rest + 1, '/') : NULL;
  char *id;

  if (!is_post (arg, conn))
    return 1;
  if (rest[0] == '\0')
    {
      serve_call (arg, conn, WIRE_BEGIN, "");
      return 1;
    }
  for (uint32_t i = 0; slash && i < G_N_ELEMENTS (operations); i++)
    if (strcmp (slash + 1, operations[i].name) == 0)
      {
        id = g_strndup (rest + 1, (gsize)(slash - rest - 1));
        serve_call (arg, conn, operations[i].op, id);
        g_free (id);
        return 1;
      }
  send_refusal (arg, conn, RSN_TRANSACTION_UNKNOWN, NULL, "no such resource");
  return 1;
}

static void
send_text (struct mg_connection *conn, int status, const char *type,
           const char *text)
{
  mg_printf (conn,
             "HTTP/1.1 %d %s\r\nContent-Type: %s\r\nContent-Length: %zu\r\n"
             "\r\n",
             status, mg_get_response_code_text (conn, status), type,
             strlen (text));
  mg_write (conn, text, strlen (text));
}

static int
on_health (struct mg_connection *conn, void *arg)
{
  (void)arg;
  send_text (conn, 200, "text/plain", "ok\n");
  return 1;
}

static int
on_metrics (struct mg_connection *conn, void *arg)
{
  struct http *h = arg;
  GString *out = g_string_new (NULL);

  ctr_write_metrics (h->options.counters, out);
  send_text (conn, 200, "text/plain; version=0.0.4", out->str);
  g_string_free (out, TRUE);
  return 1;
}

static void
collect_status (struct mail *mail, void *engine)
{
  struct exchange *x = (struct exchange *)mail;
  struct node *node = *x->http->options.node;
  GString *out = g_string_new (NULL);

  (void)engine;
  x->reason = node_check_ready (node);
  node_write_status (node, out, loop_now_us ());
  x->body = g_string_free (out, FALSE);
  signal_done (x);
}

static int
on_status (struct mg_connection *conn, void *arg)
{
  struct exchange x;

  init_exchange (&x, arg);
  x.mail.fn = collect_status;
  run_on_engine (&x);
  send_text (conn, 200, "application/json", x.body);
  clear_exchange (&x);
  return 1;
}

static int
on_ready (struct mg_connection *conn, void *arg)
{
  struct exchange x;
  char *text;

  init_exchange (&x, arg);
  x.mail.fn = collect_status;
  run_on_engine (&x);
  text = g_strdup_printf ("%s\n", rsn_name (x.reason));
  send_text (conn, x.reason == RSN_OK ? 200 : 503, "text/plain", text);
  g_free (text);
  clear_exchange (&x);
  return 1;
}

static int
on_civetweb_log (const struct mg_connection *conn, const char *message)
{
  (void)conn;
  g_info ("listener: %s", message);
  return 1;
}

/* Starts a listener.  ARGS is a NULL-terminated list of CivetWeb options, of
   which the second is the address.  */
static struct mg_context *
start_listener (const char **args, struct http *h, GError **error)
{
  struct mg_callbacks callbacks = { 0 };
  struct mg_context *context;

  callbacks.log_message = on_civetweb_log;
  context = mg_start (&callbacks, h, args);
  if (!context)
    g_set_error (error, g_quark_from_static_string ("http"), 1,
                 "cannot listen on %s", args[1]);
  return context;
}

static bool
start_callers (struct http *h, GError **error)
{
  const struct http_options *o = &h->options;
  char *listen
      = g_strdup_printf ("%s%s", o->callers_listen, o->tls_file ? "s" : "");
  char *threads = g_strdup_printf ("%d", o->caller_threads);
  char *idle = g_strdup_printf ("%d", o->keep_alive_timeout_ms);
  char *read = g_strdup_printf ("%d", o->request_timeout_ms);
  GPtrArray *args = g_ptr_array_new ();
  const char *const fixed[]
      = { "listening_ports",          listen, "num_threads",           threads,
          "enable_keep_alive",        "yes",  "keep_alive_timeout_ms", idle,
          "request_timeout_ms",       read,   "tcp_nodelay",           "1",
          "enable_directory_listing", "no" };

  for (uint32_t i = 0; i < G_N_ELEMENTS (fixed); i++)
    g_ptr_array_add (args, (gpointer)fixed[i]);
  if (o->tls_file)
    {
      g_ptr_array_add (args, "ssl_certificate");
      g_ptr_array_add (args, (gpointer)o->tls_file);
      g_ptr_array_add (args, "ssl_protocol_version");
      g_ptr_array_add (args, "4");
      /* Makes CivetWeb reload the certificate when the file has changed.  */
      g_ptr_array_add (args, "ssl_short_trust");
      g_ptr_array_add (args, "yes");
    }
  if (o->tls_file && o->client_ca_file)
    {
      g_ptr_array_add (args, "ssl_verify_peer");
      g_ptr_array_add (args, "optional");
      g_ptr_array_add (args, "ssl_ca_file");
      g_ptr_array_add (args, (gpointer)o->client_ca_file);
    }
  g_ptr_array_add (args, NULL);
  h->callers = start_listener ((const char **)args->pdata, h, error);
  g_ptr_array_free (args, TRUE);
  g_free (listen);
  g_free (threads);
  g_free (idle);
  g_free (read);
  if (!h->callers)
    return false;
  mg_set_request_handler (h->callers, "/v1/run$", on_run, h);
  mg_set_request_handler (h->callers, TRANSACTIONS_URI, on_transactions, h);
  return true;
}

static bool
start_operators (struct http *h, GError **error)
{
  const char *args[] = { "listening_ports",
                         h->options.operators_listen,
                         "num_threads",
                         OPERATOR_THREADS,
                         "tcp_nodelay",
                         "1",
                         NULL };

  h->operators = start_listener (args, h, error);
  if (!h->operators)
    return false;
  mg_set_request_handler (h->operators, "/healthz$", on_health, h);
  mg_set_request_handler (h->operators, "/readyz$", on_ready, h);
  mg_set_request_handler (h->operators, "/metrics$", on_metrics, h);
  mg_set_request_handler (h->operators, "/v1/status$", on_status, h);
  return true;
}

struct http *
http_new (const struct http_options *options, GError **error)
{
  struct http *h = g_new0 (struct http, 1);

  h->options = *options;
  mg_init_library (options->tls_file ? MG_FEATURES_TLS : 0);
  if (!start_operators (h, error) || !start_callers (h, error))
    {
      http_free (h);
      return NULL;
    }
  return h;
}

void
http_free (struct http *h)
{
  if (!h)
    return;
  if (h->callers)
    mg_stop (h->callers);
  if (h->operators)
    mg_stop (h->operators);
  mg_exit_library ();
  g_free (h);
}

void
http_disable_keep_alive (struct http *h)
{
  atomic_store (&h->closing, true);
}

int32_t
http_active_requests (struct http *h)
{
  return atomic_load (&h->active_requests);
}
