/* Session tokens: for each database the term and log position of the caller's
   last write, as base64url text authenticated with HMAC-SHA-256 (libsodium).
   They give read-your-writes consistency.  */
#ifndef CB_TOKEN_H
#define CB_TOKEN_H

#include "decl.h"
#include "reason.h"

/* Longest token text accepted, in bytes.  A token travels in an HTTP
   header.  */
#define TOK_TEXT_MAX 4096
/* Databases that one token can hold.  A write to a further one is refused, see
   tok_raise_position.  */
#define TOK_POSITIONS_MAX 32
#define TOK_KEY_BYTES 32

/* Minimum position for reads from one database.  */
struct tok_position
{
  char database[DCL_NAME_MAX + 1];
  uint64_t term;
  uint64_t position;
};

struct tok
{
  uint32_t n;
  struct tok_position positions[TOK_POSITIONS_MAX];
};

/* The key that signs new tokens, and the previous one, which is still accepted
   so that keys can be rotated while callers hold tokens.  */
struct tok_keys
{
  unsigned char current[TOK_KEY_BYTES];
  unsigned char previous[TOK_KEY_BYTES];
};

/* Decodes TEXT; "" is the empty token.  Returns RSN_OK, or why TEXT is
   refused, and then OUT is empty.  */
enum rsn tok_decode (const char *text, const struct tok_keys *keys,
                     struct tok *out);
/* Returns the token as text, which the caller frees.  */
char *tok_encode (const struct tok *token, const struct tok_keys *keys);
/* The minimum position for DATABASE; all zero when the token has none.  */
struct tok_position tok_find_position (const struct tok *token,
                                       const char *database);
/* Raises the minimum position of DATABASE to TERM and POSITION, each on its
   own and only upwards.  Returns false when the token is full.  */
bool tok_raise_position (struct tok *token, const char *database,
                         uint64_t term, uint64_t position);

#endif
