/* Log writer for GLib's structured logging: writes each record as one line of
   text or JSON to standard error.  */
#ifndef CB_LOGGING_H
#define CB_LOGGING_H

#include <stdbool.h>
#include <stdint.h>

/* Installs the log writer.  Must be called once.  LEVEL: 0 warning, 1 message,
   2 info, 3 debug.  VM is borrowed for the life of the process.  */
void log_init (const char *vm, bool json, int32_t level);

#endif
