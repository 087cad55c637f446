/* libFuzzer targets for all parsers of external input.  The environment
   variable FUZZ_TARGET selects one: decl, settings, access, json, token, wire,
   manifest, lines, relay, upstream, records, site, gossip.  */
#include "access.h"
#include "callerjson.h"
#include "gossip.h"
#include "linecodec.h"
#include "manifest.h"
#include "platsettings.h"
#include "records.h"
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
  g_free (fnd_format (&findings));
  fnd_free (&findings);
}

static void
fuzz_settings (const char *text, size_t len)
{
  struct fnd_list findings;

  fnd_init (&findings);
  settings_free (settings_parse ("s.yaml", text, len, &findings));
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

/* Decodes each input twice: as a token, and as the payload of a token with a
   valid signature, so that the code after the signature check is reached.  */
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
    g_free (mnf_format (&m));
  mnf_clear (&m);
}

/* Calls FN for each line of TEXT, terminated by NUL as in the stream code.  */
static void
for_each_line (const char *text, size_t len,
               void (*fn) (char *line, size_t len))
{
  size_t start = 0;

  for (size_t i = 0; i <= len; i++)
    if (i == len || text[i] == '\n')
      {
        char *line = g_malloc (i - start + 1);

        memcpy (line, text + start, i - start);
        line[i - start] = '\0';
        fn (line, i - start);
        g_free (line);
        start = i + 1;
      }
}

static void
fuzz_caller_line (char *line, size_t len)
{
  struct codec_caller m;
  struct logpos nowhere = { 0 };
  GString *out = g_string_new (NULL);

  lin_codec ()->ops->read_caller (lin_codec (), line, len, &m);
  if (m.kind == CODEC_STATEMENT && m.statement.kind != STM_MALFORMED)
    lin_codec ()->ops->write_statement (lin_codec (), out, false, nowhere,
                                        &m.statement);
  g_string_free (out, TRUE);
}

static void
fuzz_relay_line (char *line, size_t len)
{
  struct codec_caller m;

  lin_codec ()->ops->read_relay (lin_codec (), line, len, &m);
}

static void
fuzz_upstream_line (char *line, size_t len)
{
  struct codec_upstream m;
  struct stm_status status;

  lin_codec ()->ops->read_status (lin_codec (), line, len, &status);
  lin_codec ()->ops->read_upstream (lin_codec (), line, len, &m);
}

static void
fuzz_lines (const char *text, size_t len)
{
  for_each_line (text, len, fuzz_caller_line);
}

static void
fuzz_relay (const char *text, size_t len)
{
  for_each_line (text, len, fuzz_relay_line);
}

static void
fuzz_upstream (const char *text, size_t len)
{
  for_each_line (text, len, fuzz_upstream_line);
}

static void
fuzz_records (const char *text, size_t len)
{
  char *why;

  dir_config_free (rec_decode_config (text, len, NULL, &why));
  g_free (why);
  dir_instance_free (rec_decode_instance ("i-1", text, len, &why));
  g_free (why);
}

static void
fuzz_site (const char *text, size_t len)
{
  struct fnd_list findings;

  fnd_init (&findings);
  pset_free (pset_parse ("s.yaml", text, len, &findings));
  fnd_free (&findings);
}

static void
fuzz_gossip (const char *text, size_t len)
{
  struct gsp_message m;

  if (gsp_decode (text, len, &m))
    gsp_clear (&m);
}

static const struct
{
  const char *name;
  void (*run) (const char *text, size_t len);
} targets[] = { { "decl", fuzz_decl },         { "settings", fuzz_settings },
                { "access", fuzz_access },     { "json", fuzz_json },
                { "token", fuzz_token },       { "wire", fuzz_wire },
                { "manifest", fuzz_manifest }, { "lines", fuzz_lines },
                { "relay", fuzz_relay },       { "upstream", fuzz_upstream },
                { "records", fuzz_records },   { "site", fuzz_site },
                { "gossip", fuzz_gossip } };

int
LLVMFuzzerTestOneInput (const uint8_t *data, size_t size)
{
  for (size_t i = 0; i < G_N_ELEMENTS (targets); i++)
    if (strcmp (targets[i].name, target) == 0)
      targets[i].run ((const char *)data, size);
  return 0;
}
