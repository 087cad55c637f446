/* Bounds check before msgpack-c decodes hostile input: the library allocates
   for the lengths that a message claims, whatever its size.  */
#ifndef CB_PACKCHECK_H
#define CB_PACKCHECK_H

#include <stdbool.h>
#include <stddef.h>

/* True when the LEN bytes of DATA are one msgpack object that holds no more
   elements than bytes.  */
bool pkc_check_lengths (const char *data, size_t len);

#endif
