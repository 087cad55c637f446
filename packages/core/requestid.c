/* UUID version 7 request identifiers.  */
#include "requestid.h"

#include <stdio.h>
#include <string.h>

static bool
is_uuid7 (const char *text)
{
  if (strlen (text) != RID_LEN)
    return false;
  for (int32_t i = 0; i < RID_LEN; i++)
    {
      bool dash = i == 8 || i == 13 || i == 18 || i == 23;
      /* Lower case only, since the ledger compares identifiers as text.  */
      if (dash ? text[i] != '-'
               : !(g_ascii_isdigit (text[i])
                   || (text[i] >= 'a' && text[i] <= 'f')))
        return false;
    }
  return text[14] == '7' && strchr ("89ab", text[19]) != NULL;
}

int64_t
rid_time_ms (const char *text)
{
  char hex[13];

  if (!is_uuid7 (text))
    return -1;
  memcpy (hex, text, 8);
  memcpy (hex + 8, text + 9, 4);
  hex[12] = '\0';
  return (int64_t)g_ascii_strtoull (hex, NULL, 16);
}

enum rsn
rid_check (const char *text, int64_t wall_ms)
{
  int64_t time_ms;

  if (!text || text[0] == '\0')
    return RSN_REQUEST_ID_MISSING;
  time_ms = rid_time_ms (text);
  if (time_ms < 0 || time_ms > wall_ms + RID_CLOCK_MARGIN_MS)
    return RSN_REQUEST_ID_MALFORMED;
  if (time_ms < wall_ms - RID_RETENTION_MS + RID_CLOCK_MARGIN_MS)
    return RSN_REQUEST_ID_EXPIRED;
  return RSN_OK;
}

void
rid_format (int64_t time_ms, const uint64_t random[2], char out[RID_LEN + 1])
{
  snprintf (out, RID_LEN + 1, "%08x-%04x-7%03x-%04x-%012lx",
            (uint32_t)(time_ms >> 16), (uint32_t)(time_ms & 0xffff),
            (uint32_t)(random[0] & 0xfff),
            (uint32_t)(0x8000 | ((random[0] >> 12) & 0x3fff)),
            random[1] & 0xffffffffffffUL);
}

void
rid_retention_cutoff (int64_t wall_ms, char out[RID_LEN + 1])
{
  const uint64_t zero[2] = { 0, 0 };

  rid_format (wall_ms - RID_RETENTION_MS, zero, out);
}
