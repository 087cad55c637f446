/* Converts libpq results.  */
#include "pgrows.h"

#include <glib.h>
#include <stdio.h>
#include <string.h>

static uint64_t
get_uint (const PGresult *res, const char *name)
{
  int column = PQfnumber (res, name);

  return column < 0 ? 0
                    : g_ascii_strtoull (PQgetvalue (res, 0, column), NULL, 10);
}

static enum qrm_role
parse_role (const char *text)
{
  if (strcmp (text, "primary") == 0)
    return QRM_PRIMARY;
  return strcmp (text, "replica") == 0 ? QRM_REPLICA : QRM_FENCED;
}

bool
pgr_read_status_line (const PGresult *res, struct qrm_status *out)
{
  char role[16];

  if (PQntuples (res) != 1
      || sscanf (PQgetvalue (res, 0, 0), "%15s %lu %lu %lu %lu %lu %ld", role,
                 &out->granted_term, &out->term, &out->term_start,
                 &out->last_term, &out->position, &out->source_silent_ms)
             != 7)
    return false;
  out->role = parse_role (role);
  return true;
}

bool
pgr_read_status (const PGresult *res, struct qrm_status *out)
{
  int column = PQfnumber (res, "role");

  if (PQntuples (res) != 1 || column < 0)
    return false;
  out->role = parse_role (PQgetvalue (res, 0, column));
  out->granted_term = get_uint (res, "granted_term");
  out->term = get_uint (res, "term");
  out->term_start = get_uint (res, "term_start");
  out->last_term = get_uint (res, "last_term");
  out->position = get_uint (res, "position");
  out->source_silent_ms = (int64_t)get_uint (res, "source_silent_ms");
  return true;
}

/* Returns a value as a JSON string or null and counts its bytes.  Text that is
   not valid UTF-8 is made valid first.  */
static json_t *
value_to_json (struct pgr_results *r, const PGresult *res, int row, int column)
{
  const char *text = PQgetvalue (res, row, column);
  size_t len = (size_t)PQgetlength (res, row, column);
  json_t *value;
  char *valid;

  if (PQgetisnull (res, row, column))
    return json_null ();
  r->n_bytes += (int64_t)len;
  value = json_stringn (text, len);
  if (value)
    return value;
  valid = g_utf8_make_valid (text, (gssize)len);
  value = json_string (valid);
  g_free (valid);
  return value;
}

bool
pgr_add_result (struct pgr_results *r, const PGresult *res)
{
  json_t *columns = json_array ();
  json_t *rows = json_array ();
  bool fits = true;

  r->n_rows += PQntuples (res);
  for (int k = 0; k < PQnfields (res); k++)
    json_array_append_new (columns, json_string (PQfname (res, k)));
  for (int i = 0; i < PQntuples (res) && fits; i++)
    {
      json_t *row = json_array ();

      for (int k = 0; k < PQnfields (res); k++)
        json_array_append_new (row, value_to_json (r, res, i, k));
      json_array_append_new (rows, row);
      fits = r->n_rows <= r->rows_max && r->n_bytes <= r->bytes_max;
    }
  if (!r->results)
    r->results = json_array ();
  json_array_append_new (
      r->results, json_pack ("{s:o, s:o, s:I}", "columns", columns, "rows",
                             rows, "affected",
                             (json_int_t)g_ascii_strtoll (
                                 PQcmdTuples ((PGresult *)res), NULL, 10)));
  return fits;
}

char *
pgr_to_json (const struct pgr_results *r)
{
  return r->results ? json_dumps (r->results, JSON_COMPACT) : NULL;
}

void
pgr_clear (struct pgr_results *r)
{
  json_decref (r->results);
  r->results = NULL;
  r->n_rows = r->n_bytes = 0;
}
