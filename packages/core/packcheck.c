/* Length check of msgpack input.  */
#include "packcheck.h"

#include <stdint.h>

/* Format of an object whose type byte is in 0xc0 to 0xdf.  */
struct format
{
  uint8_t length_bytes; /* size of the length field */
  uint8_t payload;      /* bytes of fixed size besides the length field */
  uint8_t elements;     /* elements for each unit of the length field; 0 when
                           the length counts bytes */
};

/* Indexed by type byte - 0xc0.  */
static const struct format formats[32] = {
  [0x00] = { 0, 0, 0 },  /* nil */
  [0x02] = { 0, 0, 0 },  /* false */
  [0x03] = { 0, 0, 0 },  /* true */
  [0x04] = { 1, 0, 0 },  /* bin 8 */
  [0x05] = { 2, 0, 0 },  /* bin 16 */
  [0x06] = { 4, 0, 0 },  /* bin 32 */
  [0x07] = { 1, 1, 0 },  /* ext 8 */
  [0x08] = { 2, 1, 0 },  /* ext 16 */
  [0x09] = { 4, 1, 0 },  /* ext 32 */
  [0x0a] = { 0, 4, 0 },  /* float 32 */
  [0x0b] = { 0, 8, 0 },  /* float 64 */
  [0x0c] = { 0, 1, 0 },  /* uint 8 */
  [0x0d] = { 0, 2, 0 },  /* uint 16 */
  [0x0e] = { 0, 4, 0 },  /* uint 32 */
  [0x0f] = { 0, 8, 0 },  /* uint 64 */
  [0x10] = { 0, 1, 0 },  /* int 8 */
  [0x11] = { 0, 2, 0 },  /* int 16 */
  [0x12] = { 0, 4, 0 },  /* int 32 */
  [0x13] = { 0, 8, 0 },  /* int 64 */
  [0x14] = { 0, 2, 0 },  /* fixext 1 */
  [0x15] = { 0, 3, 0 },  /* fixext 2 */
  [0x16] = { 0, 5, 0 },  /* fixext 4 */
  [0x17] = { 0, 9, 0 },  /* fixext 8 */
  [0x18] = { 0, 17, 0 }, /* fixext 16 */
  [0x19] = { 1, 0, 0 },  /* str 8 */
  [0x1a] = { 2, 0, 0 },  /* str 16 */
  [0x1b] = { 4, 0, 0 },  /* str 32 */
  [0x1c] = { 2, 0, 1 },  /* array 16 */
  [0x1d] = { 4, 0, 1 },  /* array 32 */
  [0x1e] = { 2, 0, 2 },  /* map 16 */
  [0x1f] = { 4, 0, 2 },  /* map 32 */
};

/* What follows a type byte: BYTES of the object itself, then ELEMENTS nested
   objects.  */
struct extent
{
  uint64_t bytes;
  uint64_t elements;
};

static struct extent
read_extent (uint8_t type, const uint8_t *rest, size_t left)
{
  struct extent e = { 0, 0 };
  const struct format *f;
  uint64_t length = 0;

  if (type <= 0x7f || type >= 0xe0)
    return e;
  if (type <= 0x8f)
    e.elements = 2U * (type & 0x0f);
  else if (type <= 0x9f)
    e.elements = type & 0x0f;
  else if (type <= 0xbf)
    e.bytes = type & 0x1f;
  else
    {
      f = &formats[type - 0xc0];
      for (uint8_t i = 0; i < f->length_bytes && i < left; i++)
        length = length << 8 | rest[i];
      e.bytes = (uint64_t)f->length_bytes + f->payload
                + (f->elements ? 0 : length);
      e.elements = length * f->elements;
    }
  return e;
}

bool
pkc_check_lengths (const char *data, size_t len)
{
  const uint8_t *at = (const uint8_t *)data;
  uint64_t pending = 1;
  size_t left = len;
  struct extent e;

  while (pending > 0)
    {
      /* Every pending object takes at least one byte.  */
      if (pending > left)
        return false;
      e = read_extent (at[0], at + 1, left - 1);
      at++;
      left--;
      if (e.bytes > left)
        return false;
      at += e.bytes;
      left -= e.bytes;
      pending += e.elements - 1;
    }
  return left == 0;
}
