/* Unit conversions.  */
#ifndef CB_UNITS_H
#define CB_UNITS_H

#include <stdint.h>

#define US_PER_MS INT64_C (1000)

#endif
