/* The engine: wires the node to its adapters and runs it on this thread.  */
#ifndef CB_ENGINE_H
#define CB_ENGINE_H

#include "settings.h"

/* Runs until SIGTERM or SIGINT and the drain that follows.  False when it
   could not start.  */
bool engine_run (const struct settings *settings);

#endif
