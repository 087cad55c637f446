/* Reads libpq results: an instance's status, and rows as callers get them.  */
#ifndef CB_PGROWS_H
#define CB_PGROWS_H

#include "quorum.h"

#include <jansson.h>
#include <libpq-fe.h>

/* The results of a transaction's statements so far.  */
struct pgr_results
{
  json_t *results; /* array of {columns, rows, affected}, NULL when empty */
  int64_t n_rows;
  int64_t n_bytes;
  int64_t rows_max;
  int64_t bytes_max;
};

/* Adds a statement's result; false when the answer outgrows its limit.  */
bool pgr_add_result (struct pgr_results *r, const PGresult *res);
/* The results as JSON, freed with free(); NULL when empty.  */
char *pgr_to_json (const struct pgr_results *r);
/* Empties R but keeps its limits.  */
void pgr_clear (struct pgr_results *r);
/* Reads a status row; false when it is none.  */
bool pgr_read_status (const PGresult *res, struct qrm_status *out);
/* Reads the same values as one text, separated by blanks.  */
bool pgr_read_status_line (const PGresult *res, struct qrm_status *out);

#endif
