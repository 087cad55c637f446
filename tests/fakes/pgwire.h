/* Encoding and decoding of PostgreSQL v3 protocol messages for the fake
   server.  */
#ifndef FAKE_PGWIRE_H
#define FAKE_PGWIRE_H

#include "minisql.h"

/* pgw_begin_message starts a message and returns the offset of its length
   field, which pgw_end_message fills in.  */
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
