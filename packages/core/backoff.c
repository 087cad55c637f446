/* Exponential backoff.  */
#include "backoff.h"

#include <glib.h>

int64_t
bko_next (struct bko_range range, int64_t last_us)
{
  return CLAMP (2 * last_us, range.min_us, range.max_us);
}
