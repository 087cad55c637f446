/* Rendezvous hashing.  */
#include "rendezvous.h"

#include <string.h>
#include <xxhash.h>

uint64_t
rdv_weight (const char *key, const char *candidate)
{
  uint64_t seed = XXH3_64bits (key, strlen (key));

  return XXH3_64bits_withSeed (candidate, strlen (candidate), seed);
}

uint32_t
rdv_pick (const char *key, const char *const *candidates, uint32_t n,
          uint32_t *picked, uint32_t k)
{
  uint32_t count = 0;

  for (uint32_t i = 0; i < n; i++)
    {
      uint64_t w = rdv_weight (key, candidates[i]);
      uint32_t at = count;

      while (at > 0 && rdv_weight (key, candidates[picked[at - 1]]) < w)
        at--;
      if (at >= k)
        continue;
      if (count < k)
        count++;
      memmove (&picked[at + 1], &picked[at],
               (count - at - 1) * sizeof picked[0]);
      picked[at] = i;
    }
  return count;
}
