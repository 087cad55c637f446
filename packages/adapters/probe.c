/* HTTP endpoints for readiness and metrics.  */
#include "probe.h"

#include <civetweb.h>
#include <string.h>

/* Two listeners, each of which usually has one client at a time.  */
#define THREAD_COUNT "2"
#define REQUEST_TIMEOUT_MS "2000"

struct probe
{
  struct mg_context *context;
  struct ctr_set *counters;
  const struct ev_log *log;
  struct usg_set *usage;
  _Atomic bool ready;
};

static int
on_ready (struct mg_connection *connection, void *arg)
{
  struct probe *p = arg;
  bool ready = atomic_load (&p->ready);

  mg_printf (connection,
             "HTTP/1.1 %s\r\nContent-Length: 0\r\nConnection: close\r\n\r\n",
             ready ? "200 OK" : "503 Service Unavailable");
  return ready ? 200 : 503;
}

static int
on_metrics (struct mg_connection *connection, void *arg)
{
  struct probe *p = arg;
  GString *text = g_string_new (NULL);

  ctr_write_metrics (p->counters, text);
  ev_write_metrics (p->log, text);
  if (p->usage)
    usg_write_metrics (p->usage, text);
  mg_printf (connection,
             "HTTP/1.1 200 OK\r\nContent-Type: text/plain; version=0.0.4\r\n"
             "Content-Length: %zu\r\nConnection: close\r\n\r\n",
             text->len);
  mg_write (connection, text->str, text->len);
  g_string_free (text, TRUE);
  return 200;
}

static int
on_civetweb_log (const struct mg_connection *connection, const char *message)
{
  (void)connection;
  g_warning ("%s", message);
  return 1;
}

struct probe *
probe_new (const struct probe_options *options, GError **error)
{
  struct probe *p = g_new0 (struct probe, 1);
  char *ports
      = g_strdup_printf ("%s,%s", options->listen, options->metrics_listen);
  const char *settings[] = { "listening_ports",
                             ports,
                             "num_threads",
                             THREAD_COUNT,
                             "request_timeout_ms",
                             REQUEST_TIMEOUT_MS,
                             "enable_keep_alive",
                             "no",
                             NULL };
  struct mg_callbacks callbacks;

  memset (&callbacks, 0, sizeof callbacks);
  callbacks.log_message = on_civetweb_log;
  p->counters = options->counters;
  p->log = options->log;
  p->usage = options->usage;
  p->context = mg_start (&callbacks, p, settings);
  if (p->context)
    {
      mg_set_request_handler (p->context, options->ready_path, on_ready, p);
      mg_set_request_handler (p->context, options->metrics_path, on_metrics,
                              p);
    }
  else
    {
      g_set_error (error, G_FILE_ERROR, G_FILE_ERROR_FAILED,
                   "cannot listen on %s", ports);
      g_free (p);
      p = NULL;
    }
  g_free (ports);
  return p;
}

void
probe_free (struct probe *p)
{
  if (!p)
    return;
  mg_stop (p->context);
  g_free (p);
}

void
probe_set_ready (struct probe *p, bool ready)
{
  atomic_store (&p->ready, ready);
}
