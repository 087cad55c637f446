/* The engine runs the proxy of the HTTP path: it connects the node, which
   holds the logic, to the adapters for HTTP, PostgreSQL, peers and the store,
   and runs the event loop on the calling thread.  */
#ifndef CB_ENGINE_H
#define CB_ENGINE_H

#include "settings.h"

/* Runs until the drain that follows SIGTERM or SIGINT has ended.  SETTINGS is
   borrowed.  Returns false when the proxy could not start; the reason is
   logged.  */
bool engine_run (const struct settings *settings);

#endif
