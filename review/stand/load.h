/* Clients that read one after the other, for cases that end with a final
   fault, and the share of their requests that is served.  */
#ifndef REVIEW_LOAD_H
#define REVIEW_LOAD_H

#include "stand.h"

/* Starts N sessions, spread over PROXIES proxies.  Each sends a read every
   PAUSE_MS and connects again when its connection ends; an attempt to connect
   that fails counts as a request that is not served.  A request may take
   DEADLINE_MS.  */
void load_start (int n, int proxies, int pause_ms, int deadline_ms);
/* Stops the sessions and waits for them.  */
void load_stop (void);
/* The number of requests sent from FROM_MS on and before TO_MS; sets SERVED to
   those that were answered with success.  */
int load_count (int64_t from_ms, int64_t to_ms, int *served);
/* Kills all PROXIES proxies right after a configuration is acknowledged, and
   has the platform start them DOWN_MS later and after each further end, until
   UNTIL_MS.  Returns the time of that start.  */
int64_t load_kill_all (int proxies, int down_ms, int64_t until_ms);

#endif
