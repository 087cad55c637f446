// Tests of the platform's settings file.
#include "text.h"

#include <glib.h>
extern "C"
{
#include "platsettings.h"
}
#include <cmath>
#include <cstring>
#include <gtest/gtest.h>
#include <string>

namespace
{
const char kSettings[]
    = "node: \"vm-1\"\nzone: \"a\"\nip: \"10.1.0.8\"\nnews: [1, {x: 2}]\n"
      "zones:\n  a: \"r1\"\n  b: \"r2\"\n"
      "listen:\n  frontend: \"10.1.0.8:8784\"\n  readiness: "
      "\"10.1.0.8:8785\"\n"
      "internalPorts:\n  - 7440\n  - 7455\n"
      "limits:\n  maxFds: 4200\n"
      "bounds:\n  drainMs: 7000\n  graceS: 6\n  configApplyMs: 3000\n"
      "platform:\n  address: \"10.200.1.7:8783\"\n"
      "cloudApi:\n  address: \"10.200.0.160:8783\"\n";

TEST (PlatformSettings, ParseAndFindings)
{
  struct
  {
    std::string text;
    const char *finding; // NULL: valid
  } const cases[] = {
    { kSettings, NULL },
    { Replace (kSettings, "bounds:", "boundz:"), NULL },
    { Replace (kSettings, "graceS: 6", "requireFence: true"), NULL },
    { Replace (kSettings, "graceS: 6", "requireFence: false"), NULL },
    { Replace (kSettings, "node: \"vm-1\"\n", ""), "node" },
    { Replace (kSettings, "platform:", "platfrom:"), "platform" },
    { Replace (kSettings, "- 7440", "- none"), "internalPorts" },
    { "", "empty" },
    { "[", "not YAML" },
    { "- a\n- b\n", "mapping" },
  };
  for (const auto &c : cases)
    {
      struct fnd_list findings;
      fnd_init (&findings);
      struct platform_settings *s = pset_parse ("local.yaml", c.text.data (),
                                                c.text.size (), &findings);
      char *report = fnd_format (&findings);
      EXPECT_EQ (s != NULL, c.finding == NULL) << c.text << report;
      if (c.finding)
        {
          EXPECT_NE (strstr (report, c.finding), nullptr) << report;
        }
      if (s)
        {
          EXPECT_STREQ (s->store_url, "http://10.200.1.7:8783");
          EXPECT_EQ (s->grace_ms, 6000);
          EXPECT_EQ (s->peers_port, 7440);
          EXPECT_EQ (s->require_fence,
                     c.text.find ("requireFence: true") != std::string::npos);
        }
      pset_free (s);
      g_free (report);
      fnd_free (&findings);
    }
}

// One number of the settings.
struct SettingsNumber
{
  const char *section;
  const char *key;
  double unit; // of the field
  double standard;
  double (*field) (const struct platform_settings *s);
};

const SettingsNumber kNumbers[] = {
  { "bounds", "drainMs", 1, 7000,
    [] (const struct platform_settings *s) { return (double)s->drain_ms; } },
  { "bounds", "configApplyMs", 1, 3000,
    [] (const struct platform_settings *s) { return (double)s->config_ms; } },
  { "bounds", "graceS", 1000, 6000,
    [] (const struct platform_settings *s) { return (double)s->grace_ms; } },
  { "limits", "maxFds", 1, 1024,
    [] (const struct platform_settings *s) { return (double)s->fds_max; } },
  { "limits", "memoryMb", 1, 256,
    [] (const struct platform_settings *s) {
      return (double)s->memory_bytes / (1024 * 1024);
    } },
  { "limits", "cpuShare", 1, 0,
    [] (const struct platform_settings *s) { return s->capacity; } },
};

// Parses kSettings with another value of N, and checks that the file is valid,
// that N's field is EXPECTED and that a finding names the key if FINDING.
void
CheckNumber (const SettingsNumber &n, const std::string &value,
             double expected, bool finding)
{
  std::string text = kSettings;
  std::string key = std::string (n.key) + ":";
  struct fnd_list findings;
  size_t at = text.find ("  " + key);

  if (at != std::string::npos)
    text.erase (at, text.find ('\n', at) + 1 - at);
  text
      = Replace (text, std::string (n.section) + ":\n",
                 std::string (n.section) + ":\n  " + key + " " + value + "\n");
  fnd_init (&findings);
  struct platform_settings *s
      = pset_parse ("local.yaml", text.data (), text.size (), &findings);
  char *report = fnd_format (&findings);
  ASSERT_NE (s, nullptr) << text << report;
  EXPECT_DOUBLE_EQ (n.field (s), expected) << key << value;
  EXPECT_EQ (strstr (report, n.key) != nullptr, finding) << text << report;
  EXPECT_EQ (fnd_count (&findings), finding ? 1u : 0u) << report;
  pset_free (s);
  g_free (report);
  fnd_free (&findings);
}

// Guards against a settings file that keeps every process from starting: one
// number with a fraction, or one that can't be read, refused the whole file.
TEST (PlatformSettings, EachNumberMayHaveAFractionOrBeWrong)
{
  static const struct
  {
    const char *value;
    double number;
  } good[] = { { "64", 64 },       { "100.5", 100.5 }, { "64.25", 64.25 },
               { "6.45e1", 64.5 }, { "\"90\"", 90 },   { "999.0", 999 } };
  static const char *const wrong[]
      = { "soon",  "-1",  "-0.5",   "nan",  "inf",  "-inf",
          "1e300", "~",   "null",   "\"\"", "6.5s", "1,000",
          "[]",    "[6]", "{a: 6}", "true", "6 7" };

  for (const auto &n : kNumbers)
    {
      for (const auto &c : good)
        {
          double expected = c.number * n.unit;
          if (n.section == std::string ("bounds")
              || n.key == std::string ("maxFds"))
            expected = std::floor (expected);
          CheckNumber (n, c.value, expected, false);
        }
      for (const char *value : wrong)
        CheckNumber (n, value, n.standard, true);
      CheckNumber (n, std::string (5000, '9'), n.standard, true);
      CheckNumber (n, "0." + std::string (5000, '0'),
                   n.key == std::string ("cpuShare") ? 0 : n.standard,
                   n.key != std::string ("cpuShare"));
    }
}
} // namespace
