/* Rendezvous (highest random weight) hashing, based on xxHash.  */
#ifndef CB_RENDEZVOUS_H
#define CB_RENDEZVOUS_H

#include <stdbool.h>
#include <stdint.h>

/* Weight of CANDIDATE for KEY; the highest weight is chosen.  */
uint64_t rdv_weight (const char *key, const char *candidate);
/* Stores the indexes of the K candidates of the highest weights for KEY, or of
   all N if there are fewer, in PICKED, the highest first.  Returns their
   number.  Takes O(n * k) time.  */
uint32_t rdv_pick (const char *key, const char *const *candidates, uint32_t n,
                   uint32_t *picked, uint32_t k);

#endif
