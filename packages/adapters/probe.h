/* Readiness probe and metrics over HTTP, on CivetWeb's threads.  */
#ifndef CB_PROBE_H
#define CB_PROBE_H

#include "event.h"

struct probe_options
{
  const char *listen;         /* host:port of the readiness probe */
  const char *metrics_listen; /* host:port of the metrics */
  const char *ready_path;     /* answers 200 or 503 */
  const char *metrics_path;
  struct ctr_set *counters;
  const struct ev_log *log;
};

struct probe;

/* NULL with a message in ERROR when an address cannot be bound.  Starts out
   not ready.  */
struct probe *probe_new (const struct probe_options *options, GError **error);
void probe_free (struct probe *p);
/* From any thread.  */
void probe_set_ready (struct probe *p, bool ready);

#endif
