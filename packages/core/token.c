/* Session tokens.  */
#include "token.h"

#include "packcheck.h"
#include <msgpack.h>
#include <sodium.h>
#include <string.h>

#define TOKEN_VERSION 1
#define MAC_BYTES crypto_auth_hmacsha256_BYTES
#define BASE64 sodium_base64_VARIANT_URLSAFE_NO_PADDING

G_STATIC_ASSERT (TOK_KEY_BYTES == crypto_auth_hmacsha256_KEYBYTES);

static bool
is_authentic (const unsigned char *raw, size_t len,
              const struct tok_keys *keys)
{
  const unsigned char *body = raw + MAC_BYTES;
  size_t body_len = len - MAC_BYTES;

  return crypto_auth_hmacsha256_verify (raw, body, body_len, keys->current)
             == 0
         || crypto_auth_hmacsha256_verify (raw, body, body_len, keys->previous)
                == 0;
}

static bool
unpack_position (const msgpack_object *o, struct tok_position *entry)
{
  const msgpack_object *f;

  if (o->type != MSGPACK_OBJECT_ARRAY || o->via.array.size != 3)
    return false;
  f = o->via.array.ptr;
  if (f[0].type != MSGPACK_OBJECT_STR || f[0].via.str.size > DCL_NAME_MAX
      || f[1].type != MSGPACK_OBJECT_POSITIVE_INTEGER
      || f[2].type != MSGPACK_OBJECT_POSITIVE_INTEGER)
    return false;
  if (f[0].via.str.size > 0)
    memcpy (entry->database, f[0].via.str.ptr, f[0].via.str.size);
  entry->database[f[0].via.str.size] = '\0';
  entry->term = f[1].via.u64;
  entry->position = f[2].via.u64;
  return true;
}

static bool
unpack_token (const msgpack_object *o, struct tok *out)
{
  const msgpack_object *f;

  if (o->type != MSGPACK_OBJECT_ARRAY || o->via.array.size != 2)
    return false;
  f = o->via.array.ptr;
  if (f[0].type != MSGPACK_OBJECT_POSITIVE_INTEGER
      || f[0].via.u64 != TOKEN_VERSION || f[1].type != MSGPACK_OBJECT_ARRAY
      || f[1].via.array.size > TOK_POSITIONS_MAX)
    return false;
  for (uint32_t i = 0; i < f[1].via.array.size; i++)
    if (!unpack_position (&f[1].via.array.ptr[i], &out->positions[out->n++]))
      return false;
  return true;
}

enum rsn
tok_decode (const char *text, const struct tok_keys *keys, struct tok *out)
{
  unsigned char raw[TOK_TEXT_MAX];
  size_t text_len = strlen (text);
  size_t len = 0;
  msgpack_unpacked unpacked;
  size_t offset = 0;
  enum rsn reason = RSN_TOKEN_MALFORMED;

  memset (out, 0, sizeof *out);
  if (text_len == 0)
    return RSN_OK;
  if (text_len > TOK_TEXT_MAX)
    return RSN_TOKEN_TOO_LARGE;
  if (sodium_base642bin (raw, sizeof raw, text, text_len, NULL, &len, NULL,
                         BASE64)
          != 0
      || len <= MAC_BYTES)
    return RSN_TOKEN_MALFORMED;
  if (!is_authentic (raw, len, keys))
    return RSN_TOKEN_FORGED;
  if (!pkc_check_lengths ((const char *)raw + MAC_BYTES, len - MAC_BYTES))
    return RSN_TOKEN_MALFORMED;
  msgpack_unpacked_init (&unpacked);
  if (msgpack_unpack_next (&unpacked, (const char *)raw + MAC_BYTES,
                           len - MAC_BYTES, &offset)
          == MSGPACK_UNPACK_SUCCESS
      && offset == len - MAC_BYTES && unpack_token (&unpacked.data, out))
    reason = RSN_OK;
  msgpack_unpacked_destroy (&unpacked);
  if (reason != RSN_OK)
    memset (out, 0, sizeof *out);
  return reason;
}

char *
tok_encode (const struct tok *token, const struct tok_keys *keys)
{
  msgpack_sbuffer body;
  msgpack_packer pk;
  unsigned char *raw;
  size_t text_max;
  char *text;

  msgpack_sbuffer_init (&body);
  msgpack_packer_init (&pk, &body, msgpack_sbuffer_write);
  msgpack_pack_array (&pk, 2);
  msgpack_pack_uint64 (&pk, TOKEN_VERSION);
  msgpack_pack_array (&pk, token->n);
  for (uint32_t i = 0; i < token->n; i++)
    {
      const struct tok_position *m = &token->positions[i];

      msgpack_pack_array (&pk, 3);
      msgpack_pack_str_with_body (&pk, m->database, strlen (m->database));
      msgpack_pack_uint64 (&pk, m->term);
      msgpack_pack_uint64 (&pk, m->position);
    }
  raw = g_malloc (MAC_BYTES + body.size);
  memcpy (raw + MAC_BYTES, body.data, body.size);
  crypto_auth_hmacsha256 (raw, raw + MAC_BYTES, body.size, keys->current);
  text_max = sodium_base64_encoded_len (MAC_BYTES + body.size, BASE64);
  text = g_malloc (text_max);
  sodium_bin2base64 (text, text_max, raw, MAC_BYTES + body.size, BASE64);
  g_free (raw);
  msgpack_sbuffer_destroy (&body);
  return text;
}

struct tok_position
tok_find_position (const struct tok *token, const char *database)
{
  struct tok_position none = { 0 };

  for (uint32_t i = 0; i < token->n; i++)
    if (strcmp (token->positions[i].database, database) == 0)
      return token->positions[i];
  return none;
}

bool
tok_raise_position (struct tok *token, const char *database, uint64_t term,
                    uint64_t position)
{
  struct tok_position *m = NULL;

  for (uint32_t i = 0; i < token->n && !m; i++)
    if (strcmp (token->positions[i].database, database) == 0)
      m = &token->positions[i];
  if (!m)
    {
      if (token->n == TOK_POSITIONS_MAX)
        return false;
      m = &token->positions[token->n++];
      g_strlcpy (m->database, database, sizeof m->database);
    }
  /* Confirmed positions grow with the term, so the maxima of the two can be
     taken independently.  */
  if (term > m->term)
    m->term = term;
  if (position > m->position)
    m->position = position;
  return true;
}
