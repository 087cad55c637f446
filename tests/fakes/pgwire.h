/* Messages of the PostgreSQL v3 protocol, as the stand-in server writes and
   reads them.  */
#ifndef FAKE_PGWIRE_H
#define FAKE_PGWIRE_H

#include "minisql.h"

/* pgw_begin_message starts a message and pgw_end_message, given what it
   returned, sets the length.  */
void pgw_put_u32 (GByteArray *out, uint32_t value);
void pgw_put_u16 (GByteArray *out, uint32_t value);
void pgw_put_text (GByteArray *out, const char *text);
guint pgw_begin_message (GByteArray *out, char type);
void pgw_end_message (GByteArray *out, guint at);
void pgw_put_empty (GByteArray *out, char type);
void pgw_put_error (GByteArray *out, const char *state, const char *message);
void pgw_put_columns (GByteArray *out, const struct sql_result *r);
void pgw_put_row (GByteArray *out, const struct sql_result *r, char **row);
uint32_t pgw_read_u32 (const guint8 *data);
uint32_t pgw_read_u16 (const guint8 *data);

#endif
