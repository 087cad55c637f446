// Client accounts: keys, their decoding and their way through the wire, and
// the counts of operations.
#include <glib.h>
extern "C"
{
#include "account.h"
#include "linecodec.h"
#include "records.h"
#include "usage.h"
}
#include <algorithm>
#include <cstring>
#include <gtest/gtest.h>
#include <string>

namespace
{
const char kConfig[]
    = "{\"version\":7,\"routes\":[{\"name\":\"r\",\"host\":\"db\",\"type\":"
      "\"primary\",\"service\":\"s\"},{\"name\":\"p\",\"host\":\"open\","
      "\"type\":\"primary\",\"service\":\"s\",\"public\":true}],"
      "\"services\":[{\"name\":\"s\",\"maxConns\":16}],\"tenants\":[%s]}";

std::string
ConfigWith (const std::string &accounts)
{
  std::string text = kConfig;

  return text.replace (text.find ("%s"), 2, accounts);
}

struct acc_digest
DigestOf (const char *key)
{
  struct acc_digest d;

  acc_digest_key (key, &d);
  return d;
}

TEST (Accounts, KeysNameTheirAccount)
{
  struct acc_limit limit = { 10, 10 };
  struct acc_table *t = acc_table_new ();
  const struct acc_account *a = acc_table_add (t, "acme", &limit);
  const struct acc_account *b = acc_table_add (t, "bolt", &limit);
  struct acc_digest k1 = DigestOf ("k1");
  struct acc_digest k2 = DigestOf ("k2");
  struct acc_digest k3 = DigestOf ("k3");

  EXPECT_EQ (acc_table_add (t, "acme", &limit), nullptr);
  EXPECT_EQ (acc_table_add_key (t, a, &k1), nullptr);
  EXPECT_EQ (acc_table_add_key (t, a, &k2), nullptr);
  EXPECT_EQ (acc_table_add_key (t, b, &k2), a);
  EXPECT_EQ (acc_table_find (t, &k1), a);
  EXPECT_EQ (acc_table_find (t, &k2), a);
  EXPECT_EQ (acc_table_find (t, &k3), nullptr);
  EXPECT_EQ (acc_table_find_name (t, "bolt"), b);
  EXPECT_EQ (acc_table_find_name (nullptr, "bolt"), nullptr);
  EXPECT_EQ (acc_table_count (t), 2u);
  acc_table_free (t);
}

TEST (Accounts, ADigestIsNoKey)
{
  // Guards against a digest that was seen between proxies and is used as a
  // key.
  char text[ACC_DIGEST_TEXT_LEN + 1];
  struct acc_digest d = DigestOf ("secret");
  struct acc_digest parsed;
  struct acc_digest again;

  acc_format_digest (&d, text);
  ASSERT_TRUE (acc_parse_digest (text, &parsed));
  EXPECT_EQ (memcmp (&parsed, &d, sizeof d), 0);
  again = DigestOf (text);
  EXPECT_NE (memcmp (&again, &d, sizeof d), 0);
  EXPECT_FALSE (acc_parse_digest ("abc", &parsed));
  EXPECT_FALSE (acc_parse_digest ("zz", &parsed));
}

TEST (Accounts, ConfigurationsAreDecoded)
{
  struct
  {
    const char *accounts;
    const char *key;     // which is looked up
    const char *account; // that holds it, NULL = none
    double rate_per_s;
    double burst;
    uint32_t findings;
  } const cases[] = {
    { "{\"name\":\"a\",\"apiKeys\":[\"k\"],\"ratePerS\":8,\"burst\":4}", "k",
      "a", 8, 4, 0 },
    { "{\"name\":\"a\",\"apiKeys\":[\"k\"],\"ratePerS\":1.5}", "k", "a", 1.5,
      0, 0 },
    { "{\"name\":\"a\",\"apiKeys\":[\"k\"]}", "k", "a", ACC_UNLIMITED, 0, 0 },
    { "{\"name\":\"a\",\"apiKeys\":[\"k\"],\"ratePerS\":0}", "k", "a", 0, 0,
      0 },
    { "{\"name\":\"a\",\"apiKeys\":[\"k\"],\"ratePerS\":\"8\"}", "k", "a",
      ACC_UNLIMITED, 0, 1 },
    { "{\"name\":\"a\",\"apiKeys\":[\"k\"],\"burst\":-1}", "k", "a",
      ACC_UNLIMITED, 0, 1 },
    { "{\"name\":\"a\",\"apiKeys\":[]}", "k", nullptr, 0, 0, 1 },
    { "{\"name\":\"a\"}", "k", nullptr, 0, 0, 1 },
    { "{\"name\":\"a\",\"apiKeys\":[7,null,\"\",\"k\"]}", "k", "a",
      ACC_UNLIMITED, 0, 0 },
    { "{\"name\":\"a b\",\"apiKeys\":[\"k\"]}", "k", nullptr, 0, 0, 1 },
    { "{\"apiKeys\":[\"k\"]}", "k", nullptr, 0, 0, 1 },
    { "{\"name\":\"a\",\"apiKeys\":[\"k\"]},{\"name\":\"b\",\"apiKeys\":"
      "[\"k\"]}",
      "k", "a", ACC_UNLIMITED, 0, 1 },
    { "{\"name\":\"a\",\"apiKeys\":[\"k\"]},{\"name\":\"a\",\"apiKeys\":"
      "[\"l\"]}",
      "l", nullptr, 0, 0, 1 },
    { "7,null", "k", nullptr, 0, 0, 2 },
    { "", "k", nullptr, 0, 0, 0 },
  };

  for (const auto &c : cases)
    {
      std::string text = ConfigWith (c.accounts);
      GPtrArray *findings = g_ptr_array_new_with_free_func (g_free);
      char *why;
      struct dir_config *config
          = rec_decode_config (text.data (), text.size (), findings, &why);
      ASSERT_NE (config, nullptr) << c.accounts;
      ASSERT_NE (config->accounts, nullptr);
      struct acc_digest d = DigestOf (c.key);
      const struct acc_account *a = acc_table_find (config->accounts, &d);
      EXPECT_STREQ (a ? a->name : nullptr, c.account) << c.accounts;
      if (a && c.account)
        {
          EXPECT_EQ (a->limit.rate_per_s, c.rate_per_s) << c.accounts;
          EXPECT_EQ (a->limit.burst, c.burst) << c.accounts;
        }
      EXPECT_EQ (findings->len, c.findings) << c.accounts;
      EXPECT_FALSE (dir_find_route (config, "db")->is_public);
      EXPECT_TRUE (dir_find_route (config, "open")->is_public);
      dir_config_free (config);
      g_ptr_array_free (findings, TRUE);
    }
}

TEST (Accounts, KeysAreHiddenBeforeTheyArePassedOn)
{
  std::string text = ConfigWith (
      "{\"name\":\"a\",\"apiKeys\":[\"kexample1\",\"kexample2\"],"
      "\"ratePerS\":8}");
  char *hidden = rec_hide_keys (text.data (), text.size ());
  struct acc_digest d = DigestOf ("kexample2");
  char *why;

  ASSERT_NE (hidden, nullptr);
  EXPECT_EQ (strstr (hidden, "kexample"), nullptr);
  struct dir_config *config
      = rec_decode_config (hidden, strlen (hidden), nullptr, &why);
  ASSERT_NE (config, nullptr);
  const struct acc_account *a = acc_table_find (config->accounts, &d);
  ASSERT_NE (a, nullptr);
  EXPECT_EQ (a->limit.rate_per_s, 8);
  // Nothing is left to hide, and text that can't be parsed isn't passed on.
  EXPECT_EQ (rec_hide_keys (hidden, strlen (hidden)), nullptr);
  char *broken = rec_hide_keys ("{\"apiKeys\":[\"k\"", 15);
  EXPECT_STREQ (broken, "");
  free (broken);
  free (hidden);
  dir_config_free (config);
}

TEST (Accounts, MetricsHaveABoundedNumberOfSeries)
{
  struct usg_set *u = usg_new ();
  GString *out = g_string_new (nullptr);

  for (int n = 0; n < 100; n++)
    for (int k = 0; k <= n; k++)
      usg_count (u, ("a" + std::to_string (n)).c_str (), USG_ADMITTED);
  usg_count (u, "with\"quote", USG_OVER_LIMIT);
  usg_write_metrics (u, out);
  std::string text = out->str;
  EXPECT_NE (text.find ("account=\"a99\",outcome=\"admitted\"} 100\n"),
             std::string::npos);
  EXPECT_EQ (text.find ("account=\"a5\""), std::string::npos);
  EXPECT_NE (text.find ("account=\"other\",outcome=\"over_limit\"} 1\n"),
             std::string::npos);
  EXPECT_EQ (std::count (text.begin (), text.end (), '\n'),
             (USG_SERIES_MAX + 1) * USG_COUNT);
  EXPECT_EQ (usg_get (u, "a7", USG_ADMITTED), 8u);
  g_string_free (out, TRUE);
  usg_free (u);
}

TEST (Accounts, StatementsCarryTheirAccountToTheHome)
{
  // The line that one proxy writes and the other reads.
  const struct codec *codec = lin_codec ();
  const char *const accounts[] = { nullptr, "acme", "with:colon" };

  for (const char *account : accounts)
    {
      GString *out = g_string_new (nullptr);
      struct stm s = {};
      struct codec_caller m;

      s.kind = STM_READ;
      s.id = "q1";
      s.args = "a";
      s.urgency.rank = 3;
      s.account = account;
      codec->ops->write_statement (codec, out, true, LP_NONE, &s);
      g_string_truncate (out, out->len - 2);
      codec->ops->read_relay (codec, out->str, out->len, &m);
      EXPECT_EQ (m.kind, CODEC_STATEMENT);
      EXPECT_STREQ (m.statement.account, account);
      EXPECT_EQ (m.statement.urgency.rank, 3u);
      EXPECT_STREQ (m.statement.args, "a");
      g_string_free (out, TRUE);
    }
}

TEST (Accounts, TheInstanceIsToldTheAccountAndNeverTheKey)
{
  const struct codec *codec = lin_codec ();
  struct dir_instance i = {};
  struct codec_caller m;
  char line[] = "STARTUP db secretkey";
  GString *out = g_string_new (nullptr);

  codec->ops->read_caller (codec, line, strlen (line), &m);
  EXPECT_EQ (m.kind, CODEC_START);
  EXPECT_STREQ (m.key, "secretkey");
  i.service = (char *)"s";
  i.id = (char *)"i-1";
  codec->ops->write_start (codec, out, &i, "acme");
  EXPECT_STREQ (out->str, "STARTUP s acme i-1\r\n");
  g_string_truncate (out, 0);
  codec->ops->write_start (codec, out, &i, nullptr);
  EXPECT_STREQ (out->str, "STARTUP s " ACC_ANONYMOUS " i-1\r\n");
  g_string_free (out, TRUE);
}
} // namespace
