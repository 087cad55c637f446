/* Log writer for GLib's structured logging: one line a record on standard
   error, text or JSON.  */
#ifndef CB_LOGGING_H
#define CB_LOGGING_H

#include <stdbool.h>
#include <stdint.h>

/* LEVEL: 0 warning, 1 message, 2 info, 3 debug.  VM is borrowed.  */
void log_init (const char *vm, bool json, int32_t level);

#endif
