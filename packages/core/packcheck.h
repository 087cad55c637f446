/* Length check of untrusted input before msgpack-c decodes it.  The library
   allocates memory for the lengths that a message states, however small the
   message is.  */
#ifndef CB_PACKCHECK_H
#define CB_PACKCHECK_H

#include <stdbool.h>
#include <stddef.h>

/* True when the LEN bytes of DATA are exactly one msgpack object, whose stated
   lengths and element counts fit in those bytes.  */
bool pkc_check_lengths (const char *data, size_t len);

#endif
