/* libFuzzer targets for everything that parses input.  FUZZ_TARGET picks one:
   decl, settings, access, json, token, wire, manifest.  */
#include "access.h"
#include "callerjson.h"
#include "manifest.h"
#include "settings.h"
#include "wire.h"

#include <sodium.h>
#include <string.h>

int LLVMFuzzerInitialize (int *argc, char ***argv);
int LLVMFuzzerTestOneInput (const uint8_t *data, size_t size);

static const char *target;

int
LLVMFuzzerInitialize (int *argc, char ***argv)
{
  (void)argc;
  (void)argv;
  target = g_getenv ("FUZZ_TARGET");
  if (!target)
    target = "decl";
  return sodium_init () < 0;
}

static void
fuzz_decl (const char *text, size_t len)
{
  struct dcl_file files[2]
      = { { "a.yaml", (char *)text, len / 2 },
          { "b.yaml", (char *)text + len / 2, len - len / 2 } };
  struct fnd_list findings;

  fnd_init (&findings);
  dcl_free (dcl_parse (files, 2, &findings));
  files[0].len = len;
  dcl_free (dcl_parse (files, 1, &findings));
  g_free (fnd_text (&findings));
  fnd_free (&findings);
}

static void
fuzz_settings (const char *text, size_t len)
{
  struct fnd_list findings;

  fnd_init (&findings);
  set_free (set_parse ("s.yaml", text, len, &findings));
  fnd_free (&findings);
}

static void
fuzz_access (const char *text, size_t len)
{
  struct fnd_list findings;
  struct access *a;

  fnd_init (&findings);
  a = access_parse ("a.yaml", text, len, &findings);
  if (a)
    access_check (a, "token", "C=X,CN=shop", "bins");
  access_free (a);
  fnd_free (&findings);
}

static void
fuzz_json (const char *text, size_t len)
{
  for (enum wire_op op = WIRE_RUN; op < WIRE_OP_END; op++)
    {
      struct caller_body body;
      char *detail = NULL;

      cjs_parse (op, text, len, &body, &detail);
      cjs_clear (&body);
      g_free (detail);
    }
}

/* Half of the inputs carry a right signature, so that the decoder behind it is
   reached.  */
static void
fuzz_token (const char *text, size_t len)
{
  struct tok_keys keys = { { 1 }, { 2 } };
  unsigned char raw[TOK_TEXT_MAX + 64];
  char encoded[2 * TOK_TEXT_MAX];
  struct tok out;
  char *plain = g_strndup (text, len);

  tok_decode (plain, &keys, &out);
  g_free (plain);
  len = MIN (len, TOK_TEXT_MAX / 2);
  crypto_auth_hmacsha256 (raw, (const unsigned char *)text, len, keys.current);
  memcpy (raw + crypto_auth_hmacsha256_BYTES, text, len);
  sodium_bin2base64 (encoded, sizeof encoded, raw,
                     crypto_auth_hmacsha256_BYTES + len,
                     sodium_base64_VARIANT_URLSAFE_NO_PADDING);
  if (tok_decode (encoded, &keys, &out) == RSN_OK)
    g_free (tok_encode (&out, &keys));
}

static void
fuzz_wire (const char *text, size_t len)
{
  struct wire_message message;
  size_t out_len;

  if (!wire_decode (text, len, &message))
    return;
  if (message.type == WIRE_REQUEST)
    g_free (wire_encode_request (message.u.request, &out_len));
  wire_message_clear (&message);
}

static void
fuzz_manifest (const char *text, size_t len)
{
  struct mnf m;

  if (mnf_parse (text, len, &m))
    g_free (mnf_write (&m));
  mnf_clear (&m);
}

static const struct
{
  const char *name;
  void (*run) (const char *text, size_t len);
} targets[] = { { "decl", fuzz_decl },        { "settings", fuzz_settings },
                { "access", fuzz_access },    { "json", fuzz_json },
                { "token", fuzz_token },      { "wire", fuzz_wire },
                { "manifest", fuzz_manifest } };

int
LLVMFuzzerTestOneInput (const uint8_t *data, size_t size)
{
  for (size_t i = 0; i < G_N_ELEMENTS (targets); i++)
    if (strcmp (targets[i].name, target) == 0)
      targets[i].run ((const char *)data, size);
  return 0;
}
