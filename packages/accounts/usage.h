/* Counts of operations by client account, for the metrics.  Any thread may
   call these functions.  */
#ifndef CB_USAGE_H
#define CB_USAGE_H

#include <glib.h>
#include <stdint.h>

/* Accounts with series of their own in the metrics, the largest ones; the
   others are added up.  */
#define USG_SERIES_MAX 20

enum usg
{
#define U(sym, name) USG_##sym,
#include "usage.def"
#undef U
  USG_COUNT
};

struct usg_set;

struct usg_set *usg_new (void);
void usg_free (struct usg_set *u);
/* Counts one operation of ACCOUNT.  */
void usg_count (struct usg_set *u, const char *account, enum usg what);
uint64_t usg_get (struct usg_set *u, const char *account, enum usg what);
/* Appends the series of the largest accounts, and of the rest as "other", to
   OUT in the Prometheus text format.  */
void usg_write_metrics (struct usg_set *u, GString *out);

#endif
