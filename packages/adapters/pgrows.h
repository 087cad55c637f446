/* Converts libpq results: an instance's status, and rows to the JSON that
   callers receive.  */
#ifndef CB_PGROWS_H
#define CB_PGROWS_H

#include "quorum.h"

#include <jansson.h>
#include <libpq-fe.h>

/* The results of a transaction's statements so far, with their limits.  */
struct pgr_results
{
  json_t *results; /* array of {columns, rows, affected}, NULL when empty */
  int64_t n_rows;
  int64_t n_bytes;
  int64_t rows_max;
  int64_t bytes_max;
};

/* Adds the result of a statement.  Returns false when the results exceed a
   limit.  */
bool pgr_add_result (struct pgr_results *r, const PGresult *res);
/* Returns the results as JSON, to be freed with free(); NULL when empty.  */
char *pgr_to_json (const struct pgr_results *r);
/* Removes all results; the limits stay.  */
void pgr_clear (struct pgr_results *r);
/* Reads a status row with named columns.  Returns false when RES is not a
   status row.  */
bool pgr_read_status (const PGresult *res, struct qrm_status *out);
/* Reads a status given as one text column with the values separated by
   blanks.  Returns false when RES is not such a row.  */
bool pgr_read_status_line (const PGresult *res, struct qrm_status *out);

#endif
