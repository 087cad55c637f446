// Tests of the platform's line codec and store records, and of parts
// that the session pooler uses: event log, YAML and gossip parsers, limits of
// connections and choice of homes.
#include "text.h"

#include <glib.h>
extern "C"
{
#include "event.h"
#include "gossip.h"
#include "linecodec.h"
#include "logsink.h"
#include "place.h"
#include "records.h"
#include "stream.h"
#include "yamldoc.h"
}
#include <csignal>
#include <gtest/gtest.h>
#include <string>
#include <unistd.h>
#include <vector>

namespace
{
struct codec_caller
ReadCaller (std::string &line)
{
  struct codec_caller m;
  lin_codec ()->ops->read_caller (lin_codec (), line.data (), line.size (),
                                  &m);
  return m;
}

std::string
Text (const char *text)
{
  return text ? text : "(none)";
}

TEST (LineCodec, CallerStatements)
{
  struct
  {
    const char *line;
    enum stm_kind kind;
    const char *name;
    const char *args;
  } const cases[] = {
    { "QUERY i BEGIN", STM_BEGIN, "(none)", "(none)" },
    { "QUERY i BEGIN READ", STM_BEGIN_READ, "(none)", "(none)" },
    { "QUERY i BEGIN WRITE", STM_MALFORMED, "(none)", "(none)" },
    { "QUERY i COMMIT", STM_COMMIT, "(none)", "(none)" },
    { "QUERY i COMMIT now", STM_MALFORMED, "(none)", "now" },
    { "QUERY i ROLLBACK", STM_ROLLBACK, "(none)", "(none)" },
    { "QUERY i READ 1a4", STM_READ, "(none)", "1a4" },
    { "QUERY i READ", STM_MALFORMED, "(none)", "(none)" },
    { "QUERY i WRITE 1a4 two  blanks ", STM_WRITE, "(none)",
      "1a4 two  blanks " },
    { "QUERY i SET zone north east", STM_SET, "zone", "north east" },
    { "QUERY i SET zone", STM_MALFORMED, "zone", "(none)" },
    { "QUERY i PARSE s1 READ q2", STM_PREPARE_READ, "s1", "q2" },
    { "QUERY i PARSE s1 WRITE q2 x", STM_PREPARE_WRITE, "s1", "q2 x" },
    { "QUERY i PARSE s1 BOTH q2", STM_MALFORMED, "s1", "q2" },
    { "QUERY i EXECUTE s1 1a4 data", STM_EXECUTE, "s1", "1a4 data" },
    { "QUERY i CLOSE s1", STM_DEALLOCATE, "s1", "(none)" },
    { "QUERY i DISCARD", STM_MALFORMED, "(none)", "(none)" },
    { "QUERY i STATUS", STM_MALFORMED, "(none)", "(none)" },
    { "QUERY i STEPDOWN 9", STM_MALFORMED, "(none)", "(none)" },
    { "QUERY i AFTER 3.1 READ a", STM_MALFORMED, "(none)", "(none)" },
    { "QUERY i", STM_MALFORMED, "(none)", "(none)" },
    { "QUERY", STM_MALFORMED, "(none)", "(none)" },
    { "QUERY  READ a", STM_MALFORMED, "(none)", "(none)" },
    { "QUERY i WRITE 1a4 two\nlines", STM_MALFORMED, "(none)", "(none)" },
    { "QUERY i WRITE 1a4 two\rlines", STM_MALFORMED, "(none)", "(none)" },
    { "QUERY i SET zone a\nb", STM_MALFORMED, "(none)", "(none)" },
    { "QUERY i EXECUTE s1 1a4 d\n", STM_MALFORMED, "(none)", "(none)" },
    { "QUERY i PARSE s1 WRITE q2\rx", STM_MALFORMED, "(none)", "(none)" },
  };
  for (const auto &c : cases)
    {
      std::string line = c.line;
      struct codec_caller m = ReadCaller (line);
      EXPECT_EQ (m.kind, CODEC_STATEMENT) << c.line;
      EXPECT_EQ (m.statement.kind, c.kind) << c.line;
      EXPECT_EQ (Text (m.statement.name), c.name) << c.line;
      EXPECT_EQ (Text (m.statement.args), c.args) << c.line;
    }
}

TEST (LineCodec, OtherCallerMessages)
{
  struct
  {
    std::string line;
    enum codec_caller_kind kind;
  } const cases[] = {
    { "STARTUP db u1", CODEC_START },
    { "STARTUP db", CODEC_START },
    { "STARTUP", CODEC_INVALID },
    { "STARTUP ", CODEC_INVALID },
    { "TERMINATE", CODEC_TERMINATE },
    { "", CODEC_INVALID },
    { "HELLO x", CODEC_INVALID },
    { std::string ("QUERY i\0x", 9), CODEC_INVALID },
    { "\xff\xfe", CODEC_INVALID },
    { "STARTUP db\nQUERY", CODEC_INVALID },
    { "STARTUP d\rb u1", CODEC_INVALID },
    { "QUERY i\nj READ a", CODEC_INVALID },
    { "\nTERMINATE", CODEC_INVALID },
  };
  for (auto c : cases)
    EXPECT_EQ (ReadCaller (c.line).kind, c.kind) << c.line;
}

// Guards against data of a write that runs as a statement of its own: a line
// feed alone ended the message, and what followed was read as the next one.
TEST (LineCodec, OnlyCrLfEndsAMessage)
{
  static const struct
  {
    const char *input;
    std::vector<std::string> lines;
    size_t used;
  } cases[] = {
    { "QUERY 1 WRITE a x\nQUERY 2 WRITE b y\r\n",
      { "QUERY 1 WRITE a x\nQUERY 2 WRITE b y" },
      37 },
    { "QUERY 1 WRITE a x\rQUERY 2 WRITE b y\r\n",
      { "QUERY 1 WRITE a x\rQUERY 2 WRITE b y" },
      37 },
    { "QUERY 1 WRITE a x\n\r\n", { "QUERY 1 WRITE a x\n" }, 20 },
    { "QUERY 1 WRITE a x\r\r\n", { "QUERY 1 WRITE a x\r" }, 20 },
    { "\r\n", { "" }, 2 },
    { "\n\r\na\r\n", { "\n", "a" }, 6 },
    { "a\r\nb\n", { "a" }, 3 },
    { "a\r", {}, 0 },
    { "a\n", {}, 0 },
    { "\n", {}, 0 },
    { "", {}, 0 },
  };
  for (const auto &c : cases)
    {
      std::string data = c.input;
      std::vector<std::string> found;
      size_t used = 0;
      auto note = [] (void *arg, char *line, size_t len) {
        ((std::vector<std::string> *)arg)->emplace_back (line, len);
        return true;
      };

      EXPECT_TRUE (stream_split_lines (data.data (), data.size (), note,
                                       &found, &used));
      EXPECT_EQ (found, c.lines) << c.input;
      EXPECT_EQ (used, c.used) << c.input;
      // None of the lines with a break in it is a statement to run.
      for (std::string line : found)
        if (line.find_first_of ("\r\n") != std::string::npos)
          {
            EXPECT_EQ (ReadCaller (line).statement.kind == STM_MALFORMED
                           || ReadCaller (line).kind == CODEC_INVALID,
                       true)
                << line;
          }
    }
}

TEST (LineCodec, UpstreamMessages)
{
  struct
  {
    const char *line;
    enum codec_upstream_kind kind;
    enum sqc code;
    enum stm_state state;
    uint32_t term;
    uint64_t number;
  } const cases[] = {
    { "DATAROW a b c", CODEC_ROW, SQC_BUSY, STM_IDLE, 0, 0 },
    { "COMPLETE 7.1f3", CODEC_DONE, SQC_BUSY, STM_IDLE, 0, 0 },
    { "COMPLETE", CODEC_MALFORMED, SQC_BUSY, STM_IDLE, 0, 0 },
    { "ERROR LAGGING i-7", CODEC_ERROR, SQC_BEHIND, STM_IDLE, 0, 0 },
    { "ERROR NEWCODE what", CODEC_ERROR, SQC_FAILED, STM_IDLE, 0, 0 },
    { "ERROR READONLY", CODEC_ERROR, SQC_READ_ONLY, STM_IDLE, 0, 0 },
    { "READY I 3.1209", CODEC_READY, SQC_BUSY, STM_IDLE, 3, 1209 },
    { "READY T -", CODEC_READY, SQC_BUSY, STM_OPEN, 0, 0 },
    { "READY E 0.7", CODEC_READY, SQC_BUSY, STM_FAILED, 0, 0 },
    { "READY I 3.", CODEC_READY, SQC_BUSY, STM_IDLE, 0, 0 },
    { "READY I 99999999999.1", CODEC_READY, SQC_BUSY, STM_IDLE, 0, 0 },
    { "READY I 1.99999999999999999999", CODEC_READY, SQC_BUSY, STM_IDLE, 0,
      0 },
    { "READY X 1.1", CODEC_MALFORMED, SQC_BUSY, STM_IDLE, 0, 0 },
    { "COMPLETE 7.1f3\nREADY I -", CODEC_MALFORMED, SQC_BUSY, STM_IDLE, 0, 0 },
    { "ERROR BUSY a\rb", CODEC_MALFORMED, SQC_BUSY, STM_IDLE, 0, 0 },
    { "DATAROW a\nb", CODEC_ROW, SQC_BUSY, STM_IDLE, 0, 0 },
    { "READY", CODEC_MALFORMED, SQC_BUSY, STM_IDLE, 0, 0 },
    { "HTTP/1.1 200 OK", CODEC_MALFORMED, SQC_BUSY, STM_IDLE, 0, 0 },
  };
  for (const auto &c : cases)
    {
      std::string line = c.line;
      struct codec_upstream m;
      lin_codec ()->ops->read_upstream (lin_codec (), line.data (),
                                        line.size (), &m);
      EXPECT_EQ (m.kind, c.kind) << c.line;
      EXPECT_EQ (m.state, c.state) << c.line;
      EXPECT_EQ (m.position.term, c.term) << c.line;
      EXPECT_EQ (m.position.number, c.number) << c.line;
      if (m.kind == CODEC_ERROR)
        {
          EXPECT_EQ (m.code, c.code) << c.line;
        }
    }
}

TEST (LineCodec, StatementsRoundTrip)
{
  static const char *const lines[] = {
    "QUERY 5c READ 1a4",          "QUERY 5c WRITE 1a4  two blanks ",
    "QUERY 5c EXECUTE s1 1a4 xk", "QUERY 5c COMMIT",
    "QUERY 5c SET a b c",         "QUERY 5c PARSE s1 WRITE q2c",
    "QUERY 5c BEGIN READ",        "QUERY 5c ROLLBACK",
  };
  struct logpos no_position = {};
  for (const char *text : lines)
    {
      std::string line = text;
      struct codec_caller m = ReadCaller (line);
      GString *out = g_string_new (NULL);
      lin_codec ()->ops->write_statement (lin_codec (), out, false,
                                          no_position, &m.statement);
      EXPECT_EQ (std::string (out->str), std::string (text) + "\r\n");
      g_string_free (out, TRUE);
    }
  struct stm read = {};
  read.kind = STM_READ;
  read.id = "5c";
  read.args = "1a4";
  GString *out = g_string_new (NULL);
  lin_codec ()->ops->write_statement (lin_codec (), out, false, { 3, 1207 },
                                      &read);
  EXPECT_STREQ (out->str, "QUERY 5c AFTER 3.1207 READ 1a4\r\n");
  g_string_free (out, TRUE);
}

TEST (LineCodec, StatementsToAHomeCarryUrgency)
{
  struct stm read = {};
  read.kind = STM_READ;
  read.args = "1a4";
  read.urgency = { 18, 250, 0x5f3 };
  GString *out = g_string_new (NULL);
  lin_codec ()->ops->write_statement (lin_codec (), out, true, { 3, 1207 },
                                      &read);
  EXPECT_STREQ (out->str,
                "QUERY - WITHIN 250 18:5f3 AFTER 3.1207 READ 1a4\r\n");
  struct codec_caller m;
  lin_codec ()->ops->read_relay (lin_codec (), out->str, out->len - 2, &m);
  g_string_free (out, TRUE);
  static const struct
  {
    const char *line;
    enum stm_kind kind;
    uint32_t max_wait_ms;
    uint32_t rank;
    uint32_t kind_id;
  } cases[] = {
    { "QUERY - WITHIN 250 18:5f3 READ 1a4", STM_READ, 250, 18, 0x5f3 },
    { "QUERY - WITHIN 250 18: READ 1a4", STM_READ, 250, 18, 0 },
    { "QUERY - WITHIN 250 18 AFTER 3.1 READ 1a4", STM_READ, 250, 18, 0 },
    { "QUERY - WITHIN 0 0 BEGIN", STM_BEGIN, 0, 0, 0 },
    { "QUERY - BEGIN", STM_BEGIN, 0, 0, 0 },
    { "QUERY - WITHIN 250", STM_MALFORMED, 0, 0, 0 },
    { "QUERY - WITHIN 250 18", STM_MALFORMED, 250, 18, 0 },
    { "QUERY - WITHIN", STM_MALFORMED, 0, 0, 0 },
  };
  for (const auto &c : cases)
    {
      std::string line = c.line;
      lin_codec ()->ops->read_relay (lin_codec (), &line[0], line.size (), &m);
      EXPECT_EQ (m.statement.kind, c.kind) << c.line;
      EXPECT_EQ (m.statement.urgency.max_wait_ms, c.max_wait_ms) << c.line;
      EXPECT_EQ (m.statement.urgency.rank, c.rank) << c.line;
      EXPECT_EQ (m.statement.urgency.kind, c.kind_id) << c.line;
    }
}

TEST (LineCodec, StatusRows)
{
  struct
  {
    const char *rows;
    bool good;
    bool primary;
    uint64_t number;
  } const cases[] = {
    { "DATAROW replica 3 3.1209 0 12 2 17\r\n", true, false, 1209 },
    { "DATAROW primary 3 3.1209 0 0 2 17\r\n", true, true, 1209 },
    // The log of a new database is empty, which is a state to report too.
    { "DATAROW replica 3 - 0 12 2 17\r\n", true, false, 0 },
    { "DATAROW replica 3 3. 0 12 2 17\r\n", false, false, 0 },
    { "DATAROW replica 3 x 0 12 2 17\r\n", false, false, 0 },
    { "DATAROW other 3 3.1209 0 12 2 17\r\n", false, false, 1209 },
    { "DATAROW replica\r\n", false, false, 0 },
    { "", false, false, 0 },
  };
  for (const auto &c : cases)
    {
      struct stm_status s;
      EXPECT_EQ (lin_codec ()->ops->read_status (lin_codec (), c.rows,
                                                 strlen (c.rows), &s),
                 c.good)
          << c.rows;
      EXPECT_EQ (s.received.number, c.number) << c.rows;
      EXPECT_EQ (s.primary, c.primary) << c.rows;
    }
}

const char kInstance[]
    = "{\"service\":\"s\",\"address\":\"10.1.0.9:80\",\"zone\":\"z\","
      "\"slots\":2,\"state\":\"ready\",\"dbRole\":\"replica\",\"seq\":4,"
      "\"born\":1700}";

TEST (Records, DecodeInstance)
{
  struct
  {
    std::string text;
    bool good;
  } const cases[] = {
    { kInstance, true },
    { Replace (kInstance, "\"seq\":4", "\"seq\":\"new\",\"more\":[1]"), true },
    { Replace (kInstance, "ready", "draining"), true },
    { Replace (kInstance, "ready", "leaving"), false },
    { Replace (kInstance, "\"ready\"", "7"), false },
    { Replace (kInstance, "replica", "witness"), false },
    { Replace (kInstance, "10.1.0.9:80", "10.1.0.9"), false },
    { Replace (kInstance, "10.1.0.9:80", "host:80"), false },
    { Replace (kInstance, "10.1.0.9:80", "10.1.0.9:99999"), false },
    { Replace (kInstance, "\"service\":\"s\",", ""), false },
    { Replace (kInstance, "\"zone\":\"z\",", ""), false },
    { "", false },
    { "{", false },
    { "[]", false },
    { "\xff\x01", false },
    { "null", false },
  };
  for (const auto &c : cases)
    {
      char *why;
      struct dir_instance *i
          = rec_decode_instance ("i-1", c.text.data (), c.text.size (), &why);
      EXPECT_EQ (i != NULL, c.good) << c.text;
      EXPECT_EQ (why == NULL, c.good) << c.text;
      if (i)
        {
          EXPECT_STREQ (i->id, "i-1");
          EXPECT_EQ (i->started_ms, 1700);
          EXPECT_EQ (i->port, 80);
        }
      dir_instance_free (i);
      g_free (why);
    }
}

const char kConfig[]
    = "{\"version\":7,\"routes\":[{\"name\":\"r\",\"host\":\"db\",\"type\":"
      "\"read_your_writes\",\"timeoutMs\":800,\"latencySloMs\":500,"
      "\"priority\":2,\"service\":\"s\",\"maxStalenessMs\":2500}],"
      "\"services\":[{\"name\":\"s\",\"maxConns\":16,\"syncReplicas\":0}],"
      "\"limits\":{\"txIdleMs\":3000}}";

TEST (Records, DecodeConfig)
{
  struct
  {
    std::string text;
    bool good;
  } const cases[] = {
    { kConfig, true },
    { Replace (kConfig, "\"limits\"", "\"news\":{},\"limits\""), true },
    { Replace (kConfig, "\"version\":7", "\"version\":0"), false },
    { Replace (kConfig, "\"version\":7", "\"version\":\"7\""), false },
    { Replace (kConfig, "read_your_writes", "any"), false },
    { Replace (kConfig, "\"host\":\"db\",", ""), false },
    { Replace (kConfig, "\"name\":\"s\"", "\"name\":\"\""), false },
    { "", false },
    { "{}", false },
    { std::string (kConfig).substr (0, 100), false },
  };
  for (const auto &c : cases)
    {
      char *why;
      struct dir_config *config
          = rec_decode_config (c.text.data (), c.text.size (), nullptr, &why);
      EXPECT_EQ (config != NULL, c.good) << c.text;
      g_free (why);
      if (config)
        {
          const struct dir_route *r = dir_find_route (config, "db");
          ASSERT_NE (r, nullptr);
          EXPECT_EQ (r->reads, DIR_READ_YOUR_WRITES);
          EXPECT_EQ (r->max_age_us, 2500000);
          EXPECT_EQ (r->timeout_us, 800000);
          EXPECT_EQ (config->transaction_idle_us, 3000000);
          EXPECT_EQ (dir_find_service (config, "s")->connections_max, 16);
        }
      dir_config_free (config);
    }
}

std::vector<std::string> lines;

bool
CaptureLine (void *arg, const char *line, size_t len)
{
  lines.emplace_back (line, len);
  return arg == nullptr;
}

TEST (Event, LinesAreRateLimitedAndEscaped)
{
  struct ev_log log;
  lines.clear ();
  ev_init (&log, "vm-1", CaptureLine, nullptr);
  EV (&log, 5000000, EV_REFUSED, EV_TEXT ("id", "a\"b\\\n\x01\xff"),
      EV_INT ("age_us", -7));
  ASSERT_EQ (lines.size (), 1u);
  EXPECT_EQ (lines[0],
             "{\"t_ms\":5000,\"vm\":\"vm-1\",\"event\":\"refused\","
             "\"id\":\"a\\\"b\\\\\\u000a\\u0001?\",\"age_us\":-7}\n");
  for (int n = 0; n < 10000; n++)
    EV (&log, 6000000, EV_REFUSED, EV_INT ("n", n));
  EXPECT_LT (lines.size (), 100u);
  EXPECT_EQ (log.counts[EV_REFUSED], 10001u);
  size_t before = lines.size ();
  EV (&log, 7000000, EV_REFUSED, EV_INT ("n", 1));
  ASSERT_EQ (lines.size (), before + 2);
  EXPECT_NE (lines[before].find ("\"log_dropped\",\"of\":\"refused\""),
             std::string::npos);
}

TEST (Event, LinesRefusedByTheSinkAreCounted)
{
  struct ev_log log;
  int full = 0;
  ev_init (&log, "vm-1", CaptureLine, &full);
  EV (&log, 5000000, EV_START, EV_INT ("n", 1));
  EXPECT_EQ (log.dropped, 1u);
}

// The log goes to a pipe that nobody reads: lines are dropped and counted, and
// the writer doesn't block.
TEST (Event, UnreadPipeDoesNotBlock)
{
  struct ev_log log;
  int fds[2];
  ASSERT_EQ (pipe (fds), 0);
  ev_init (&log, "vm-1", lgs_write, &fds[1]);
  std::string id (1000000, 'x');
  for (int n = 0; n < 3000; n++)
    EV (&log, 1000000LL * n, EV_REFUSED, EV_TEXT ("id", id.c_str ()));
  EXPECT_GT (log.dropped, 1000u);
  EXPECT_EQ (log.counts[EV_REFUSED], 3000u);
  close (fds[0]);
  close (fds[1]);
}

TEST (Yaml, NestingAndAliasesAreBounded)
{
  struct
  {
    std::string text;
    bool good;
  } const cases[] = {
    { std::string (200000, '['), false },
    { std::string (100, '[') + std::string (100, ']'), false },
    { std::string (20, '[') + std::string (20, ']'), true },
    { "a: &x [1]\nb: *x\n", true },
    { "a: &x [1]\nb: [" +
          [] {
            std::string many;
            for (int n = 0; n < 5000; n++)
              many += "*x, ";
            return many;
          }()
          + "1]\n",
      false },
  };
  for (const auto &c : cases)
    {
      struct fnd_list findings;
      struct yml_doc doc;
      fnd_init (&findings);
      bool good = yml_parse (&doc, "f.yaml", c.text.data (), c.text.size (),
                             &findings);
      EXPECT_EQ (good, c.good) << c.text.substr (0, 40);
      EXPECT_EQ (fnd_count (&findings), c.good ? 0u : 1u);
      if (good)
        yml_free (&doc);
      fnd_free (&findings);
    }
}

TEST (Gossip, RoundTripAndInvalidMessages)
{
  struct gsp_message m = {};
  struct gsp_item items[2]
      = { { (char *)"k", (char *)"v", 7 }, { (char *)"gone", NULL, 9 } };
  m.kind = GSP_DELTA;
  m.n_items = 2;
  m.items = items;
  GByteArray *out = g_byte_array_new ();
  gsp_encode (&m, out);
  struct gsp_message back;
  ASSERT_TRUE (gsp_decode ((char *)out->data, out->len, &back));
  ASSERT_EQ (back.n_items, 2u);
  EXPECT_STREQ (back.items[0].value, "v");
  EXPECT_EQ (back.items[1].value, nullptr);
  EXPECT_EQ (back.items[1].revision, 9u);
  gsp_clear (&back);
  for (guint len = 0; len < out->len; len++)
    EXPECT_FALSE (gsp_decode ((char *)out->data, len, &back)) << len;
  out->data[2] = 99;
  EXPECT_FALSE (gsp_decode ((char *)out->data, out->len, &back));
  EXPECT_FALSE (gsp_decode ("\xff\xff", 2, &back));
  // Found by the fuzzer: a message with an empty service name.
  EXPECT_TRUE (gsp_decode ("\x97\x01\x01\xa0\xa1i\x00\x07\x90", 9, &back));
  gsp_clear (&back);
  g_byte_array_free (out, TRUE);
}

TEST (Place, ConnectionLimits)
{
  struct
  {
    int32_t max;
    uint32_t vms;
    struct vmt_homes homes; // generation, direct, includes this proxy, n
    uint32_t share;
    uint32_t most;
    uint32_t running; // on an instance with three slots
  } const cases[] = {
    { 16, 9, { 1, true, false, 0, {} }, 1, 3, 3 },
    { 55, 7, { 1, true, false, 0, {} }, 7, 15, 3 },
    { 16, 1, { 1, true, false, 0, {} }, 16, 16, 9 },
    { 1, 1, { 1, true, false, 0, {} }, 1, 2, 9 },
    { 0, 0, { 1, true, false, 0, {} }, 1, 2, 9 },
    { 32, 59, { 1, false, true, 4, {} }, 4, 6, 3 },
    { 16, 59, { 1, false, true, 2, {} }, 4, 6, 4 },
    { 32, 59, { 1, false, false, 4, {} }, 1, 8, SVC_RUNNING_UNLIMITED },
  };
  struct dir_instance entry = {};
  entry.slots = 3;
  for (const auto &c : cases)
    {
      struct svc_instance i = {};
      i.entry = &entry;
      i.homes = c.homes;
      struct svc_limits l = plc_limits_for (&i, c.max, c.vms);
      EXPECT_EQ (l.max_running, c.running) << c.max << " " << c.vms;
      EXPECT_EQ (l.fair_share, c.share) << c.max << " " << c.vms;
      EXPECT_EQ (l.max_links, c.most) << c.max << " " << c.vms;
      // A quarter is left to the homes that take over after a power loss.
      if (c.homes.includes_own)
        {
          EXPECT_LE (c.homes.n * l.max_links * 4, (uint32_t)c.max * 3);
        }
    }
}

// Homes are proxies of the instance's data centre, chosen by capacity, and
// removing a proxy moves only the homes that it held.
TEST (VmTable, HomesAreNearWeightedAndStable)
{
  GHashTable *regions = g_hash_table_new (g_str_hash, g_str_equal);
  struct vmt_table t;
  struct vmt_homes h;
  struct dir_instance i = {};

  i.id = (char *)"i-1";
  i.data_centre = (char *)"dc0";
  for (const char *dc : { "dc0", "dc1", "dc2" })
    g_hash_table_insert (regions, (gpointer)dc,
                         (gpointer)(strcmp (dc, "dc2") == 0 ? "r2" : "r1"));
  vmt_init (&t, "vm-0", regions);
  for (int n = 0; n < 9; n++)
    vmt_set (&t, ("vm-" + std::to_string (n)).c_str (), "10.0.0.1:1",
             ("dc" + std::to_string (n % 3)).c_str (), 0.25);
  static const struct
  {
    int32_t connections_max;
    bool direct;
  } limits[] = { { 55, true }, { 36, true }, { 35, false }, { 16, false } };
  for (const auto &l : limits)
    {
      vmt_choose_homes (&t, &i, l.connections_max, &h);
      EXPECT_EQ (h.direct, l.direct) << l.connections_max;
      EXPECT_GE (h.n, l.direct ? 0u : 2u);
    }
  for (int n = 9; n < 25; n++)
    vmt_set (&t, ("vm-" + std::to_string (n)).c_str (), "10.0.0.1:1",
             ("dc" + std::to_string (n % 3)).c_str (), 0.25);
  vmt_choose_homes (&t, &i, 176, &h);
  EXPECT_FALSE (h.direct)
      << "too many proxies to keep statements in order without homes";
  for (int n = 9; n < 60; n++)
    vmt_set (&t, ("vm-" + std::to_string (n)).c_str (), "10.0.0.1:1",
             ("dc" + std::to_string (n % 3)).c_str (), n % 2 ? 0.12 : 0.5);
  int weak = 0;
  int moved = 0;
  for (int k = 0; k < 200; k++)
    {
      std::string id = "i-" + std::to_string (k);
      i.id = id.data ();
      vmt_choose_homes (&t, &i, 32, &h);
      ASSERT_FALSE (h.direct);
      ASSERT_EQ (h.n, 4u);
      for (uint32_t n = 0; n < h.n; n++)
        {
          EXPECT_STREQ (h.vms[n]->data_centre, "dc0");
          weak += h.vms[n]->capacity < 0.2 ? 1 : 0;
        }
      struct vmt_vm gone = *h.vms[1];
      std::string name = gone.name;
      std::string first = h.vms[0]->name;
      std::string third = h.vms[2]->name;
      vmt_remove (&t, name.c_str ());
      vmt_choose_homes (&t, &i, 32, &h);
      moved += first != h.vms[0]->name || third != h.vms[1]->name ? 1 : 0;
      vmt_set (&t, name.c_str (), "10.0.0.1:1", "dc0",
               atoi (name.c_str () + 3) < 9   ? 0.25
               : atoi (name.c_str () + 3) % 2 ? 0.12
                                              : 0.5);
    }
  EXPECT_EQ (moved, 0) << "removing a proxy moves only its own homes";
  EXPECT_LT (weak, 200) << "of 800 homes, chosen by capacity";
  vmt_free (&t);
  g_hash_table_destroy (regions);
}

TEST (LineCodec, StatementsFromPeers)
{
  struct
  {
    const char *line;
    enum stm_kind kind;
    uint32_t term;
    uint64_t after;
  } const cases[] = {
    { "QUERY - BEGIN", STM_BEGIN, 0, 0 },
    { "QUERY - AFTER 3.7 BEGIN READ", STM_BEGIN_READ, 0, 7 },
    { "QUERY i AFTER 3.7 READ 1a4", STM_READ, 0, 7 },
    { "QUERY - DISCARD", STM_RESET, 0, 0 },
    { "QUERY - STATUS", STM_STATUS, 0, 0 },
    { "QUERY - STEPDOWN 4", STM_STEP_DOWN, 4, 0 },
    { "QUERY - AFTER", STM_MALFORMED, 0, 0 },
    { "QUERY -", STM_MALFORMED, 0, 0 },
  };
  for (const auto &c : cases)
    {
      std::string line = c.line;
      struct codec_caller m;
      lin_codec ()->ops->read_relay (lin_codec (), line.data (), line.size (),
                                     &m);
      EXPECT_EQ (m.kind, CODEC_STATEMENT) << c.line;
      EXPECT_EQ (m.statement.kind, c.kind) << c.line;
      EXPECT_EQ (m.statement.term, c.term) << c.line;
      EXPECT_EQ (m.min_position.number, c.after) << c.line;
    }
  std::string start = "STARTUP s cassiabay i-1";
  struct codec_caller m;
  lin_codec ()->ops->read_relay (lin_codec (), start.data (), start.size (),
                                 &m);
  EXPECT_EQ (m.kind, CODEC_START);
  EXPECT_STREQ (m.instance, "i-1");
}
} // namespace
