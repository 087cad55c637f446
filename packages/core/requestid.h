/* Request identifiers of requests that may not be repeated: UUID version 7
   (RFC 9562), whose first 48 bits are a Unix time in milliseconds.  They sort
   by time, and an identifier older than the ledger's retention is
   recognisable by itself.  */
#ifndef CB_REQUESTID_H
#define CB_REQUESTID_H

#include "reason.h"

/* Text length of a UUID.  */
#define RID_LEN 36
/* Ledger rows are kept this long, counted from the identifier's own time.  */
#define RID_RETENTION_MS (24LL * 3600 * 1000)
/* Identifiers are refused this much before their row may be deleted, and when
   this far in the future; it bounds the clock error that is tolerated.  */
#define RID_CLOCK_MARGIN_MS (3600LL * 1000)

/* Milliseconds since the epoch, or -1 when TEXT is no UUIDv7.  */
int64_t rid_time_ms (const char *text);
/* RSN_OK, or why the identifier is refused at WALL_MS.  */
enum rsn rid_check (const char *text, int64_t wall_ms);
/* The identifier below which ledger rows may be deleted at WALL_MS.  */
void rid_retention_cutoff (int64_t wall_ms, char out[RID_LEN + 1]);
/* Formats an identifier from a time and 74 bits taken from RANDOM.  */
void rid_format (int64_t time_ms, const uint64_t random[2],
                 char out[RID_LEN + 1]);

#endif
