/* Session tokens: the term and log position a caller has written to in each
   database, authenticated with HMAC-SHA-256 (libsodium), base64url text.  */
#ifndef CB_TOKEN_H
#define CB_TOKEN_H

#include "decl.h"
#include "reason.h"

/* Longest token text accepted, in bytes; it travels in a header.  */
#define TOK_TEXT_MAX 4096
/* Databases one token can carry.  A caller that writes to more is refused, see
   tok_raise_position.  */
#define TOK_POSITIONS_MAX 32
#define TOK_KEY_BYTES 32

/* Read-your-writes floor in one database.  */
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

/* Signing key and the previous one, which is still accepted, so that keys can
   be changed while callers hold tokens.  */
struct tok_keys
{
  unsigned char current[TOK_KEY_BYTES];
  unsigned char previous[TOK_KEY_BYTES];
};

/* Decodes TEXT; "" is the empty token.  RSN_OK, or why it was refused.  */
enum rsn tok_decode (const char *text, const struct tok_keys *keys,
                     struct tok *out);
/* The token as text.  The caller frees it.  */
char *tok_encode (const struct tok *token, const struct tok_keys *keys);
/* The floor for DATABASE; all zero when the caller wrote nothing there.  */
struct tok_position tok_find_position (const struct tok *token,
                                       const char *database);
/* Raises the floor of DATABASE to (TERM, POSITION); a lower pair is ignored.
   Returns false when the token is full.  */
bool tok_raise_position (struct tok *token, const char *database,
                         uint64_t term, uint64_t position);

#endif
