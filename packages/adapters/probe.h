/* HTTP endpoints for the platform: the readiness check and the metrics.  They
   are served on CivetWeb's threads.  */
#ifndef CB_PROBE_H
#define CB_PROBE_H

#include "event.h"
#include "usage.h"

struct probe_options
{
  const char *listen;         /* host:port of the readiness check */
  const char *metrics_listen; /* host:port of the metrics */
  const char *ready_path;     /* answers 200 or 503 */
  const char *metrics_path;
  struct ctr_set *counters;
  const struct ev_log *log;
  struct usg_set *usage; /* NULL = no accounts are counted */
};

struct probe;

/* Starts the listeners; the state is not ready until it is set.  Returns NULL
   and sets ERROR when an address cannot be bound.  */
struct probe *probe_new (const struct probe_options *options, GError **error);
void probe_free (struct probe *p);
/* Sets the state that the readiness check reports.  May be called from any
   thread.  */
void probe_set_ready (struct probe *p, bool ready);

#endif
