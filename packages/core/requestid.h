/* Identifiers of requests that must not run twice: UUID version 7 (RFC 9562),
   whose first 48 bits are a Unix time in milliseconds.  They sort by time, and
   one that is older than the ledger's retention can be recognised without the
   ledger.  The ledger is the table in each database of the request ids that
   have run or are void.  */
#ifndef CB_REQUESTID_H
#define CB_REQUESTID_H

#include "reason.h"

/* Text length of a UUID.  */
#define RID_LEN 36
/* Ledger rows are kept this long, counted from the time in the identifier.  */
#define RID_RETENTION_MS (24LL * 3600 * 1000)
/* An identifier is refused from this long before its ledger row may be
   deleted, and when its time is more than this in the future.  Clock errors up
   to this size are tolerated.  */
#define RID_CLOCK_MARGIN_MS (3600LL * 1000)

/* Milliseconds since the Unix epoch, or -1 when TEXT is not a UUIDv7.  */
int64_t rid_time_ms (const char *text);
/* RSN_OK, or why the identifier is refused at the Unix time WALL_MS.  */
enum rsn rid_check (const char *text, int64_t wall_ms);
/* Formats the lowest identifier whose ledger row is still kept at WALL_MS.  */
void rid_retention_cutoff (int64_t wall_ms, char out[RID_LEN + 1]);
/* Formats an identifier from a time and 74 bits of RANDOM.  */
void rid_format (int64_t time_ms, const uint64_t random[2],
                 char out[RID_LEN + 1]);

#endif
