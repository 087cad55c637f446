/* Rendezvous (highest random weight) hashing, on xxHash.  */
#ifndef CB_RENDEZVOUS_H
#define CB_RENDEZVOUS_H

#include <stdbool.h>
#include <stdint.h>

/* Weight of CANDIDATE for KEY; the highest weight wins.  */
uint64_t rdv_weight (const char *key, const char *candidate);
/* Picks the up to K best of N candidates for KEY, best first, into PICKED
   (indexes).  Returns how many were picked.  O(n * k).  */
uint32_t rdv_pick (const char *key, const char *const *candidates, uint32_t n,
                   uint32_t *picked, uint32_t k);

#endif
