// Session tokens: round trips, refusals and modified texts.
#include <gtest/gtest.h>
#include <string>

extern "C"
{
#include "token.h"
}

namespace
{
struct tok_keys
Keys (unsigned char fill)
{
  struct tok_keys keys;
  memset (keys.current, fill, sizeof keys.current);
  memset (keys.previous, fill + 1, sizeof keys.previous);
  return keys;
}

TEST (Token, RoundTripAndRefusals)
{
  struct tok_keys keys = Keys (7);
  struct tok token = {};
  EXPECT_TRUE (tok_raise_position (&token, "bins", 3, 40));
  EXPECT_TRUE (tok_raise_position (&token, "bins", 2, 50));
  char *text = tok_encode (&token, &keys);
  std::string good = text;
  g_free (text);
  std::string forged = good;
  forged[good.size () - 3] = forged[good.size () - 3] == 'A' ? 'B' : 'A';
  struct
  {
    std::string text;
    enum rsn reason;
  } const cases[] = {
    { "", RSN_OK },
    { good, RSN_OK },
    { forged, RSN_TOKEN_FORGED },
    { good.substr (0, 30), RSN_TOKEN_MALFORMED },
    { "!!!", RSN_TOKEN_MALFORMED },
    { std::string (5000, 'A'), RSN_TOKEN_TOO_LARGE },
    { std::string (200, 'A'), RSN_TOKEN_FORGED },
  };
  for (const auto &c : cases)
    {
      struct tok out;
      EXPECT_EQ (tok_decode (c.text.c_str (), &keys, &out), c.reason)
          << c.text;
      EXPECT_EQ (out.n, c.text == good ? 1u : 0u);
    }
  struct tok out;
  tok_decode (good.c_str (), &keys, &out);
  EXPECT_EQ (tok_find_position (&out, "bins").term, 3u);
  EXPECT_EQ (tok_find_position (&out, "bins").position, 50u);
  EXPECT_EQ (tok_find_position (&out, "other").position, 0u);
}

TEST (Token, NoSingleCharacterCanBeChanged)
{
  static const char alphabet[] = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnop"
                                 "qrstuvwxyz0123456789-_";
  struct tok_keys keys = Keys (7);
  struct tok token = {};
  EXPECT_TRUE (tok_raise_position (&token, "bins", 3, 40));
  char *text = tok_encode (&token, &keys);
  const std::string good = text;
  g_free (text);
  for (size_t i = 0; i < good.size (); i++)
    for (const char *c = alphabet; *c; c++)
      {
        std::string altered = good;
        struct tok out;
        altered[i] = *c;
        EXPECT_EQ (tok_decode (altered.c_str (), &keys, &out) == RSN_OK,
                   *c == good[i])
            << i << " " << *c;
      }
}

TEST (Token, PreviousKeyIsAcceptedAndSizeIsBounded)
{
  struct tok_keys old_keys = Keys (1);
  struct tok_keys new_keys = Keys (9);
  memcpy (new_keys.previous, old_keys.current, TOK_KEY_BYTES);
  struct tok token = {};
  for (int i = 0; i < TOK_POSITIONS_MAX; i++)
    EXPECT_TRUE (
        tok_raise_position (&token, std::to_string (i).c_str (), 1, 1));
  EXPECT_FALSE (tok_raise_position (&token, "one-more", 1, 1));
  char *text = tok_encode (&token, &old_keys);
  EXPECT_LE (strlen (text), (size_t)TOK_TEXT_MAX);
  struct tok out;
  EXPECT_EQ (tok_decode (text, &new_keys, &out), RSN_OK);
  EXPECT_EQ (out.n, (uint32_t)TOK_POSITIONS_MAX);
  g_free (text);
}
} // namespace
