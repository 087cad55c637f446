/* PostgreSQL v3 protocol messages.  */
#include "pgwire.h"

#include <arpa/inet.h>
#include <string.h>

void
pgw_put_u32 (GByteArray *out, uint32_t value)
{
  uint32_t n = htonl (value);

  g_byte_array_append (out, (guint8 *)&n, 4);
}

void
pgw_put_u16 (GByteArray *out, uint32_t value)
{
  uint16_t n = htons ((uint16_t)value);

  g_byte_array_append (out, (guint8 *)&n, 2);
}

void
pgw_put_text (GByteArray *out, const char *text)
{
  g_byte_array_append (out, (const guint8 *)text, (guint)strlen (text) + 1);
}

guint
pgw_begin_message (GByteArray *out, char type)
{
  guint at = out->len + 1;

  g_byte_array_append (out, (guint8 *)&type, 1);
  pgw_put_u32 (out, 0);
  return at;
}

void
pgw_end_message (GByteArray *out, guint at)
{
  uint32_t n = htonl (out->len - at);

  memcpy (out->data + at, &n, 4);
}

void
pgw_put_empty (GByteArray *out, char type)
{
  pgw_end_message (out, pgw_begin_message (out, type));
}

void
pgw_put_error (GByteArray *out, const char *state, const char *message)
{
  guint at = pgw_begin_message (out, 'E');

  pgw_put_text (out, "SERROR");
  g_byte_array_append (out, (guint8 *)"C", 1);
  pgw_put_text (out, state);
  g_byte_array_append (out, (guint8 *)"M", 1);
  pgw_put_text (out, message);
  g_byte_array_append (out, (guint8 *)"", 1);
  pgw_end_message (out, at);
}

void
pgw_put_columns (GByteArray *out, const struct sql_result *r)
{
  guint at;

  if (r->n_columns == 0)
    {
      pgw_put_empty (out, 'n');
      return;
    }
  at = pgw_begin_message (out, 'T');
  pgw_put_u16 (out, r->n_columns);
  for (uint32_t i = 0; i < r->n_columns; i++)
    {
      pgw_put_text (out, r->columns[i]);
      pgw_put_u32 (out, 0);
      pgw_put_u16 (out, 0);
      pgw_put_u32 (out, 25);
      pgw_put_u16 (out, 0xffff);
      pgw_put_u32 (out, 0xffffffff);
      pgw_put_u16 (out, 0);
    }
  pgw_end_message (out, at);
}

void
pgw_put_row (GByteArray *out, const struct sql_result *r, char **row)
{
  guint at = pgw_begin_message (out, 'D');

  pgw_put_u16 (out, r->n_columns);
  for (uint32_t i = 0; i < r->n_columns; i++)
    if (!row[i])
      pgw_put_u32 (out, 0xffffffff);
    else
      {
        pgw_put_u32 (out, (uint32_t)strlen (row[i]));
        g_byte_array_append (out, (guint8 *)row[i], (guint)strlen (row[i]));
      }
  pgw_end_message (out, at);
}

uint32_t
pgw_read_u32 (const guint8 *data)
{
  uint32_t n;

  memcpy (&n, data, 4);
  return ntohl (n);
}

uint32_t
pgw_read_u16 (const guint8 *data)
{
  uint16_t n;

  memcpy (&n, data, 2);
  return ntohs (n);
}
