// Unit tests of packages/core, most of them tables of cases.
#include <gtest/gtest.h>
#include <sodium.h>
#include <string>
#include <vector>

extern "C"
{
#include "admit.h"
#include "breaker.h"
#include "confsync.h"
#include "connpool.h"
#include "decl.h"
#include "failover.h"
#include "manifest.h"
#include "packcheck.h"
#include "quorum.h"
#include "rendezvous.h"
#include "requestid.h"
#include "route.h"
#include "wire.h"
}

namespace
{

std::string
FindingsOf (const std::string &text)
{
  struct dcl_file file
      = { (char *)"f.yaml", (char *)text.data (), text.size () };
  struct fnd_list findings;
  fnd_init (&findings);
  dcl_free (dcl_parse (&file, 1, &findings));
  char *report = fnd_format (&findings);
  std::string out = report;
  g_free (report);
  fnd_free (&findings);
  return out;
}

const char kDatabase[]
    = "data_centres:\n"
      "  - {name: a, region: r}\n"
      "databases:\n"
      "  - name: bins\n"
      "    slots: 2\n"
      "    connections: 16\n"
      "    instances:\n"
      "      - {name: bins-1, address: '127.0.0.1:1', data_centre: a}\n";

TEST (Decl, Findings)
{
  struct
  {
    const char *text;
    const char *finding; // "" when the file is valid
  } const cases[] = {
    { "version: 1\n", "" },
    { "version: 2\n", "version must be positive, at most 1 (f.yaml:1)" },
    { "reads: []\n", "version is missing" },
    { "version: 1\nreads:\n  - {kind: k, max_age_ms: -4}\n",
      "read \"k\": max_age_ms must be a whole number" },
    { "version: 1\nreads:\n  - {kind: k, age: 4}\n",
      "read: unknown key \"age\"; use one of kind, max_age_ms, deadline_ms "
      "(f.yaml:3)" },
    { "version: 1\nreads:\n  - {kind: k}\n  - {kind: k}\n",
      "already declared at f.yaml:3" },
    { "version: 1\nreads:\n  - {kind: k}\nrequests:\n"
      "  - {kind: k, repeat: never}\n",
      "a read cannot have repeat: never" },
    { "version: 1\nrequests:\n  - {kind: k, repeat: sometimes}\n",
      "repeat must be allowed or never" },
    { "version: 1\nversion: 1\n", "duplicate key \"version\"; remove one" },
    { "[", "not YAML" },
    { "", "empty" },
    { "version: 1\ndatabases:\n  - name: d\n    instances:\n"
      "      - {name: i, address: 'localhost:1', data_centre: x}\n",
      "must be an IP address" },
    { "version: 1\ndatabases:\n  - name: d\n    instances:\n"
      "      - {name: i, address: '127.0.0.1:1', data_centre: x}\n",
      "data centre \"x\" is not declared" },
    { "version: 1\ndatabases:\n  - name: d\n    slots: 9\n"
      "    connections: 4\n    instances: []\n",
      "instances must list 1 to 7" },
  };
  for (const auto &c : cases)
    {
      std::string found = FindingsOf (c.text);
      if (!*c.finding)
        EXPECT_EQ (found, "") << c.text;
      else
        EXPECT_NE (found.find (c.finding), std::string::npos)
            << c.text << found;
    }
}

TEST (Decl, ReportsSeveralFindingsTogether)
{
  std::string found = FindingsOf ("version: 1\nfoo: 1\nreads:\n"
                                  "  - {kind: 'a b'}\n"
                                  "  - {kind: c, max_age_ms: x}\n");
  EXPECT_EQ (std::count (found.begin (), found.end (), '\n'), 3) << found;
}

TEST (Decl, ParsesReadsAndRequests)
{
  std::string text = std::string ("version: 1\n") + kDatabase
                     + "reads:\n  - {kind: k, max_age_ms: 5}\n"
                       "requests:\n  - {kind: k, deadline_ms: 70}\n"
                       "  - {kind: w}\n";
  struct dcl_file file = { (char *)"f", (char *)text.data (), text.size () };
  struct fnd_list findings;
  fnd_init (&findings);
  struct dcl_set *set = dcl_parse (&file, 1, &findings);
  ASSERT_NE (set, nullptr);
  const struct dcl_kind *k = dcl_find_kind (set, "k");
  EXPECT_TRUE (k->read_only);
  EXPECT_EQ (k->deadline_ms, 70);
  EXPECT_FALSE (k->never_repeat);
  // Without `repeat`, a request must never be repeated.
  EXPECT_TRUE (dcl_find_kind (set, "w")->never_repeat);
  EXPECT_STREQ (dcl_find_region (set, "a"), "r");
  dcl_free (set);
  fnd_free (&findings);
}

TEST (RequestId, Checks)
{
  const int64_t now = 1800000000000;
  const uint64_t bits[2] = { 1, 2 };
  char id[RID_LEN + 1];
  struct
  {
    int64_t time_ms;
    enum rsn reason;
  } const cases[] = {
    { now, RSN_OK },
    { now - RID_RETENTION_MS + RID_CLOCK_MARGIN_MS, RSN_OK },
    { now - RID_RETENTION_MS + RID_CLOCK_MARGIN_MS - 1,
      RSN_REQUEST_ID_EXPIRED },
    { now + RID_CLOCK_MARGIN_MS + 1, RSN_REQUEST_ID_MALFORMED },
  };
  for (const auto &c : cases)
    {
      rid_format (c.time_ms, bits, id);
      EXPECT_EQ (rid_time_ms (id), c.time_ms);
      EXPECT_EQ (rid_check (id, now), c.reason) << id;
    }
  EXPECT_EQ (rid_check ("", now), RSN_REQUEST_ID_MISSING);
  EXPECT_EQ (rid_check ("abc", now), RSN_REQUEST_ID_MALFORMED);
  // An identifier is refused an hour before its ledger row may be deleted.
  rid_retention_cutoff (now, id);
  EXPECT_EQ (rid_check (id, now), RSN_REQUEST_ID_EXPIRED);
}

struct qrm_status
Status (enum qrm_role role, uint64_t granted, uint64_t term, uint64_t start,
        uint64_t position, int64_t silent = 0)
{
  return { role, granted, term, start, term, position, silent };
}

TEST (Quorum, ConfirmsPositionsThatAMajorityHolds)
{
  struct qrm q;
  qrm_init (&q, 3);
  struct qrm_status p = Status (QRM_PRIMARY, 1, 1, 1, 10);
  struct qrm_status r = Status (QRM_REPLICA, 1, 1, 1, 7);
  qrm_note_status (&q, 0, 100, 110, &p);
  EXPECT_FALSE (qrm_rule_majority.write_confirmed (&q, 1, 5));
  qrm_note_status (&q, 1, 200, 210, &r);
  EXPECT_TRUE (qrm_rule_majority.write_confirmed (&q, 1, 7));
  EXPECT_FALSE (qrm_rule_majority.write_confirmed (&q, 1, 8));
  EXPECT_FALSE (qrm_rule_majority.write_confirmed (&q, 2, 7));
  // Leadership is confirmed up to the time at which the older of the two
  // status queries was sent.
  EXPECT_TRUE (qrm_rule_majority.read_confirmed (&q, 100, 1, 7));
  EXPECT_FALSE (qrm_rule_majority.read_confirmed (&q, 101, 1, 7));
}

// Guards against confirming an entry of an older term only because a majority
// holds it.  The new primary of term 3 has replicated an entry of term 1 to a
// majority, but no entry of its own term.  The instance that was primary in
// term 2 could still win term 4 and overwrite the entry of term 1.
TEST (Quorum, EntriesOfOlderTermsNeedAConfirmedEntryOfTheNewTerm)
{
  struct qrm q;
  qrm_init (&q, 3);
  struct qrm_status p = Status (QRM_PRIMARY, 3, 3, 0, 5);
  struct qrm_status r = Status (QRM_REPLICA, 3, 3, 0, 5);
  qrm_note_status (&q, 0, 100, 110, &p);
  qrm_note_status (&q, 1, 100, 110, &r);
  EXPECT_FALSE (qrm_rule_majority.write_confirmed (&q, 3, 5));
  p = Status (QRM_PRIMARY, 3, 3, 6, 6);
  qrm_note_status (&q, 0, 200, 210, &p);
  EXPECT_FALSE (qrm_rule_majority.write_confirmed (&q, 3, 5));
  r = Status (QRM_REPLICA, 3, 3, 6, 6);
  qrm_note_status (&q, 1, 200, 210, &r);
  EXPECT_TRUE (qrm_rule_majority.write_confirmed (&q, 3, 5));
}

TEST (Quorum, FencedAndLaterTermsDoNotCount)
{
  struct qrm q;
  qrm_init (&q, 3);
  struct qrm_status p = Status (QRM_PRIMARY, 1, 1, 1, 10);
  struct qrm_status fenced = Status (QRM_FENCED, 2, 1, 1, 10);
  qrm_note_status (&q, 0, 100, 110, &p);
  qrm_note_status (&q, 1, 100, 110, &fenced);
  EXPECT_EQ (q.primary, QRM_NONE);
  EXPECT_FALSE (qrm_rule_majority.write_confirmed (&q, 1, 1));
}

TEST (Quorum, AgeIsBoundedByThePrimaryPositionWhenTheStatusQueryWasSent)
{
  struct qrm q;
  qrm_init (&q, 3);
  struct qrm_status p = Status (QRM_PRIMARY, 1, 1, 1, 10);
  struct qrm_status r = Status (QRM_REPLICA, 1, 1, 1, 4);
  EXPECT_EQ (qrm_age_us (&q, 1, 100, 500), QRM_AGE_UNKNOWN);
  qrm_note_status (&q, 0, 100000, 100010, &p);
  qrm_note_status (&q, 1, 100000, 100010, &r);
  EXPECT_EQ (qrm_age_us (&q, 1, 9, 100500), QRM_AGE_UNKNOWN);
  EXPECT_EQ (qrm_age_us (&q, 1, 10, 100500), 500);
  EXPECT_EQ (qrm_age_us (&q, 0, 10, 100500), QRM_AGE_UNKNOWN);
  p.position = 20;
  qrm_note_status (&q, 0, 200000, 200010, &p);
  qrm_note_status (&q, 1, 200000, 200010, &r);
  EXPECT_EQ (qrm_age_us (&q, 1, 10, 200500), 100500);
  EXPECT_EQ (qrm_age_us (&q, 1, 20, 200500), 500);
}

TEST (Quorum, SamplesCoverALongTimeInBoundedSpace)
{
  struct qrm q;
  qrm_init (&q, 1);
  struct qrm_status p = Status (QRM_PRIMARY, 1, 1, 1, 1);
  for (int64_t t = 1; t <= 100000; t++)
    {
      p.position = (uint64_t)t;
      qrm_note_status (&q, 0, t * 1000, t * 1000, &p);
    }
  EXPECT_LE (q.n_samples, (uint32_t)QRM_SAMPLES);
  // A replica that lags by half of that time still has a bound for its age,
  // which is at most twice too large.
  int64_t age = qrm_age_us (&q, 1, 50000, 100000000);
  EXPECT_GE (age, 50000000);
  EXPECT_LE (age, 100000000);
}

TEST (Admit, RefusesAndOrders)
{
  struct adm_options o = { 2, 4, false };
  struct adm a;
  struct adm_item items[6] = {};
  adm_init (&a, &o);
  for (int i = 0; i < 6; i++)
    items[i].deadline_us = 1000000 - i;
  EXPECT_EQ (adm_push (&a, &items[0], "x", 0), RSN_OK);
  EXPECT_EQ (adm_push (&a, &items[1], "x", 0), RSN_OK);
  // One kind may take at most half of the queue.
  EXPECT_EQ (adm_push (&a, &items[2], "x", 0), RSN_KIND_QUEUE_FULL);
  EXPECT_EQ (adm_push (&a, &items[3], "y", 0), RSN_OK);
  EXPECT_EQ (adm_push (&a, &items[4], "y", 0), RSN_OK);
  EXPECT_EQ (adm_push (&a, &items[5], "z", 0), RSN_QUEUE_FULL);
  // Kinds take turns; within a kind the earliest deadline goes first.
  EXPECT_EQ (adm_pop (&a), &items[1]);
  EXPECT_EQ (adm_pop (&a), &items[4]);
  EXPECT_EQ (adm_pop (&a), nullptr);
  adm_finish (&a, &items[1], 100);
  EXPECT_NE (adm_pop (&a), nullptr);
}

TEST (Admit, RefusesRequestsThatCannotMeetTheirDeadline)
{
  struct adm_options o = { 1, 100, false };
  struct adm a;
  struct adm_item items[100] = {};
  adm_init (&a, &o);
  int admitted = 0;
  for (int i = 0; i < 40; i++)
    {
      items[i].deadline_us = 20000;
      admitted += adm_push (&a, &items[i], "x", 0) == RSN_OK;
    }
  // At 1 ms each on one slot, about 20 requests fit in 20 ms.
  EXPECT_GE (admitted, 15);
  EXPECT_LE (admitted, 20);
}

TEST (Admit, OneKindCannotStarveAnother)
{
  struct adm_options o = { 1, 100, false };
  struct adm a;
  struct adm_item heavy[40] = {};
  struct adm_item light[10] = {};
  adm_init (&a, &o);
  for (auto &i : heavy)
    {
      i.deadline_us = 1000000;
      adm_push (&a, &i, "heavy", 0);
    }
  for (auto &i : light)
    {
      i.deadline_us = 2000000; // later than those of the heavy kind
      adm_push (&a, &i, "light", 0);
    }
  int light_served = 0;
  for (int n = 0; n < 20; n++)
    {
      struct adm_item *item = adm_pop (&a);
      light_served += item >= light && item < light + 10;
      adm_finish (&a, item, 1000);
    }
  EXPECT_EQ (light_served, 10);
}

TEST (Breaker, OpensAndAllowsOneProbe)
{
  struct brk b;
  brk_init (&b, 0);
  int64_t now = 0;
  for (int i = 0; i < BRK_FAILURES; i++)
    {
      EXPECT_TRUE (brk_allow (&b, now));
      brk_report (&b, false, now, 0.5);
    }
  EXPECT_FALSE (brk_allow (&b, now + 1000));
  now += BRK_OPEN_MIN_MS * 1000;
  EXPECT_TRUE (brk_allow (&b, now));
  // Only one probe call is allowed at a time.
  EXPECT_FALSE (brk_allow (&b, now));
  brk_report (&b, true, now, 0.5);
  EXPECT_TRUE (brk_allow (&b, now));
}

TEST (Rendezvous, RemovingAVmMovesOnlyItsKeys)
{
  std::vector<std::string> names;
  std::vector<const char *> vms;
  for (int i = 0; i < 9; i++)
    names.push_back ("vm-" + std::to_string (i));
  for (const auto &n : names)
    vms.push_back (n.c_str ());
  int moved = 0;
  int lost = 0;
  int moved_mod = 0;
  const int keys = 9000;
  for (int k = 0; k < keys; k++)
    {
      std::string key = "instance-" + std::to_string (k);
      uint32_t with;
      uint32_t without;
      rdv_pick (key.c_str (), vms.data (), 9, &with, 1);
      rdv_pick (key.c_str (), vms.data (), 8, &without, 1);
      lost += with == 8;
      moved += with != without;
      uint64_t hash = rdv_weight ("mod", key.c_str ());
      moved_mod += hash % 9 != hash % 8;
    }
  EXPECT_EQ (moved, lost);
  EXPECT_NEAR (lost, keys / 9, keys / 45);
  // For comparison: hashing modulo the number of VMs moves most keys.
  EXPECT_GT (moved_mod, keys / 2);
}

TEST (Manifest, RoundTripAndMalformedInput)
{
  struct mnf m = {};
  m.revision = 4;
  char hash[MNF_HASH_LEN + 1];
  mnf_hash ("text", 4, hash);
  mnf_set_file (&m, "a.yaml", hash);
  for (int i = 0; i < MNF_APPLIES_MAX + 5; i++)
    mnf_add_apply (&m, std::to_string (i).c_str ());
  char *text = mnf_format (&m);
  struct mnf out;
  ASSERT_TRUE (mnf_parse (text, strlen (text), &out));
  EXPECT_EQ (out.revision, 4u);
  EXPECT_STREQ (mnf_find_file (&out, "a.yaml")->hash, hash);
  EXPECT_TRUE (mnf_has_apply (&out, "68"));
  EXPECT_FALSE (mnf_has_apply (&out, "4"));
  mnf_clear (&out);
  for (const char *bad :
       { "", "{}", "[]", "{\"revision\":0,\"files\":[],\"applies\":[]}",
         "{\"revision\":1,\"files\":[{\"name\":\"/\",\"hash\":\"x\"}],"
         "\"applies\":[]}",
         "{\"revision\":1,\"files\":{},\"applies\":[]}" })
    EXPECT_FALSE (mnf_parse (bad, strlen (bad), &out)) << bad;
  g_free (text);
  mnf_clear (&m);
}

TEST (Wire, RequestRoundTripAndEveryTruncationIsRefused)
{
  struct wire_request *r = wire_request_new ();
  char *args[2] = { (char *)"a", nullptr };
  struct wire_statement s = { (char *)"SELECT $1", 2, args };
  wire_request_set_statements (r, &s, 1);
  r->id = 77;
  r->op = WIRE_BEGIN;
  r->max_age_ms = -1;
  r->deadline_ms = 5;
  size_t len;
  char *data = wire_encode_request (r, &len);
  struct wire_message m;
  ASSERT_TRUE (wire_decode (data, len, &m));
  EXPECT_EQ (m.u.request->id, 77u);
  EXPECT_EQ (m.u.request->max_age_ms, -1);
  EXPECT_STREQ (m.u.request->statements[0].args[0], "a");
  EXPECT_EQ (m.u.request->statements[0].args[1], nullptr);
  wire_message_clear (&m);
  for (size_t n = 0; n < len; n++)
    EXPECT_FALSE (wire_decode (data, n, &m)) << n;
  for (size_t n = 0; n < len; n++)
    {
      data[n] ^= 0x55;
      if (wire_decode (data, len, &m))
        wire_message_clear (&m);
      data[n] ^= 0x55;
    }
  g_free (data);
  wire_request_unref (r);
}

// Found by fuzzing: msgpack-c allocates memory for the length that an array
// states, even when the message is shorter.
TEST (Wire, StatedLengthsAreBoundedByTheMessage)
{
  const std::vector<std::string> cases = {
    std::string ("\xdd\x92\x01\x91\x93\xa4 bins", 11),
    std::string ("\xdc\xff\xff\xdc\xff\xff", 6),
    std::string ("\xdf\xff\xff\xff\xff\x01", 6),
    std::string ("\x92\x01", 2),
    std::string ("\x01\x01", 2),
    std::string ("", 0),
  };
  for (const auto &c : cases)
    EXPECT_FALSE (pkc_check_lengths (c.data (), c.size ()));
  EXPECT_TRUE (pkc_check_lengths ("\x92\x01\xa1x", 4));
}

TEST (Wire, UnknownReasonIsReadAsLostAnswer)
{
  struct wire_reply reply = {};
  reply.reason = RSN_OK;
  size_t len;
  char *data = wire_encode_reply (&reply, &len);
  std::string text (data, len);
  g_free (data);
  size_t at = text.find ("ok");
  text[at] = 'z';
  struct wire_message m;
  ASSERT_TRUE (wire_decode (text.data (), text.size (), &m));
  EXPECT_EQ (m.u.reply->reason, RSN_ANSWER_LOST);
  wire_message_clear (&m);
}

struct dcl_database
ThreeInstances ()
{
  struct dcl_database db = {};
  db.name = (char *)"db";
  db.n_instances = 3;
  db.instances[0].name = (char *)"i0";
  db.instances[1].name = (char *)"i1";
  db.instances[2].name = (char *)"i2";
  return db;
}

TEST (Route, Picks)
{
  struct dcl_database db = ThreeInstances ();
  struct rte_distance far = { { 0, 15, 15 } };
  struct
  {
    const char *what;
    bool read;
    bool fresh;
    uint32_t primary;
    int64_t age_ms[3];
    int64_t wait_ms[3];
    uint32_t refused_mask;
    uint32_t expected;
  } const cases[] = {
    { "a write goes to the primary", false, true, 1, {}, {}, 0, 1 },
    { "a fresh read goes to the primary", true, true, 2, {}, {}, 0, 2 },
    { "a stale read goes to the nearest replica",
      true,
      false,
      1,
      {},
      {},
      0,
      0 },
    { "a replica that is too stale is not chosen",
      true,
      false,
      1,
      { 9000, 0, 0 },
      {},
      0,
      2 },
    { "a replica whose queue outweighs the distance is not chosen",
      true,
      false,
      1,
      {},
      { 60, 0, 0 },
      0,
      2 },
    { "the primary is chosen when all replicas have refused",
      true,
      false,
      1,
      {},
      {},
      5,
      1 },
    { "the primary is chosen over replicas with a long queue",
      true,
      false,
      0,
      {},
      { 0, 190, 190 },
      0,
      0 },
    { "no instance is chosen when all have refused",
      true,
      false,
      1,
      {},
      {},
      7,
      QRM_NONE },
  };
  for (const auto &c : cases)
    {
      struct rte_state state;
      rte_state_init (&state);
      state.primary = c.primary;
      state.received_us = 1000;
      for (int i = 0; i < 3; i++)
        {
          state.age_ms[i] = c.age_ms[i];
          state.wait_ms[i] = c.wait_ms[i];
        }
      struct rte_criteria criteria = { c.read, c.fresh,
                                       2000,   c.refused_mask,
                                       0,      RTE_BOUNDED_STALENESS };
      EXPECT_EQ (rte_pick_instance (&db, &state, &criteria, &far, 2000),
                 c.expected)
          << c.what;
    }
}

// Which status replies make a proxy start a failover.
TEST (Failover, EvaluatesThePrimary)
{
  const int64_t now = 100000000;
  struct
  {
    const char *what;
    int64_t heard_ms[3]; // time since the latest status reply
    struct qrm_status status[3];
    uint32_t home_mask;
    enum fo_decision decision;
  } const cases[] = {
    { "all instances are healthy",
      { 10, 10, 10 },
      { Status (QRM_PRIMARY, 1, 1, 1, 5), Status (QRM_REPLICA, 1, 1, 1, 5),
        Status (QRM_REPLICA, 1, 1, 1, 5) },
      0,
      FO_HEALTHY },
    { "one replica is dead",
      { 10, 10, 9000 },
      { Status (QRM_PRIMARY, 1, 1, 1, 5), Status (QRM_REPLICA, 1, 1, 1, 5),
        Status (QRM_REPLICA, 1, 1, 1, 5) },
      0,
      FO_HEALTHY },
    { "the primary is dead",
      { 2000, 10, 10 },
      { Status (QRM_PRIMARY, 1, 1, 1, 5),
        Status (QRM_REPLICA, 1, 1, 1, 5, 2000),
        Status (QRM_REPLICA, 1, 1, 1, 5, 2000) },
      0,
      FO_PRIMARY_LOST },
    { "only this proxy has lost its link to the primary",
      { 2000, 10, 10 },
      { Status (QRM_PRIMARY, 1, 1, 1, 5),
        Status (QRM_REPLICA, 1, 1, 1, 5, 2000),
        Status (QRM_REPLICA, 1, 1, 1, 5, 20) },
      0,
      FO_WAIT },
    { "this proxy and the primary are cut off from the replicas",
      { 10, 2000, 2000 },
      { Status (QRM_PRIMARY, 1, 1, 1, 5), Status (QRM_REPLICA, 1, 1, 1, 5),
        Status (QRM_REPLICA, 1, 1, 1, 5) },
      0,
      FO_NO_MAJORITY },
    { "a slow primary is not lost",
      { 900, 10, 10 },
      { Status (QRM_PRIMARY, 1, 1, 1, 5),
        Status (QRM_REPLICA, 1, 1, 1, 5, 900),
        Status (QRM_REPLICA, 1, 1, 1, 5, 900) },
      0,
      FO_HEALTHY },
    { "the proxy that ran a failover died after fencing a majority",
      { 10, 10, 10 },
      { Status (QRM_PRIMARY, 1, 1, 1, 5),
        Status (QRM_FENCED, 2, 1, 1, 5, 9000),
        Status (QRM_FENCED, 2, 1, 1, 5, 9000) },
      0,
      FO_PRIMARY_LOST },
    { "the primary answers but its replicas have lost it",
      { 10, 10, 10 },
      { Status (QRM_PRIMARY, 1, 1, 1, 5),
        Status (QRM_REPLICA, 1, 1, 1, 5, 9000),
        Status (QRM_REPLICA, 1, 1, 1, 5, 9000) },
      0,
      FO_PRIMARY_LOST },
    { "the primary replicates but answers no proxy: its own home acts",
      { 9000, 10, 10 },
      { Status (QRM_PRIMARY, 1, 1, 1, 5), Status (QRM_REPLICA, 1, 1, 1, 5),
        Status (QRM_REPLICA, 1, 1, 1, 5) },
      1,
      FO_PRIMARY_LOST },
    { "the primary replicates but answers no proxy: other homes wait",
      { 9000, 10, 10 },
      { Status (QRM_PRIMARY, 1, 1, 1, 5), Status (QRM_REPLICA, 1, 1, 1, 5),
        Status (QRM_REPLICA, 1, 1, 1, 5) },
      2,
      FO_WAIT },
  };
  for (const auto &c : cases)
    {
      struct qrm q;
      struct fo f;
      qrm_init (&q, 3);
      fo_init (&f, 0);
      f.highest_term_seen_us = 0;
      f.highest_term = 1;
      for (uint32_t i = 0; i < 3; i++)
        qrm_note_status (&q, i, now - c.heard_ms[i] * 1000,
                         now - c.heard_ms[i] * 1000, &c.status[i]);
      EXPECT_EQ (fo_evaluate (&f, &q, c.home_mask, now), c.decision) << c.what;
    }
}

TEST (Failover, PromotesTheMostAdvancedLog)
{
  struct
  {
    uint64_t last_term[2];
    uint64_t position[2];
    uint32_t expected;
  } const cases[] = {
    { { 1, 1 }, { 5, 9 }, 2 },
    { { 2, 1 }, { 5, 9 }, 1 }, // the term of the last entry takes precedence
    { { 1, 1 }, { 5, 5 }, 1 },
  };
  for (const auto &c : cases)
    {
      struct qrm q;
      struct fo f;
      qrm_init (&q, 3);
      fo_init (&f, 0);
      f.state = FO_FENCE;
      f.term = 3;
      for (uint32_t i = 1; i < 3; i++)
        {
          struct qrm_status s = Status (QRM_FENCED, 3, 1, 1, 0);
          s.last_term = c.last_term[i - 1];
          s.position = c.position[i - 1];
          fo_reply (&f, &q, i, FO_CMD_FENCE, &s, 1000);
        }
      EXPECT_EQ (f.state, FO_PROMOTE);
      EXPECT_EQ (f.target, c.expected);
    }
}

struct Recorded
{
  std::vector<uint64_t> revisions;
  std::vector<std::string> pulls;
};

void
OnApply (void *arg, struct dcl_set *set, uint64_t revision)
{
  ((Recorded *)arg)->revisions.push_back (revision);
  dcl_free (set);
}

void
OnPull (void *arg, const char *to, const struct wire_pull *pull)
{
  ((Recorded *)arg)
      ->pulls.push_back (std::string (to) + ":" + std::to_string (pull->n));
}

// Delivers revision REVISION, with TEXT as its only file, to S as one reply to
// a pull.
void
ReceiveRevision (struct cfs *s, uint64_t revision, const std::string &text)
{
  struct mnf m = {};
  char hash[MNF_HASH_LEN + 1];
  m.revision = revision;
  mnf_hash (text.data (), text.size (), hash);
  mnf_set_file (&m, "f", hash);
  struct wire_blob blob = { hash, (char *)text.data (), text.size () };
  struct wire_files files = { revision, mnf_format (&m), 1, &blob };
  cfs_receive (s, "peer", &files, 0);
  g_free (files.manifest);
  mnf_clear (&m);
}

TEST (ConfSync, RejectsOlderAndInvalidRevisions)
{
  static struct ctr_set counters;
  Recorded recorded;
  struct cfs_options o = { OnApply, OnPull, &recorded, &counters, false };
  struct cfs s;
  cfs_init (&s, &o);
  ReceiveRevision (&s, 3, "version: 1\n");
  ReceiveRevision (&s, 2, "version: 1\nreads: []\n");
  ReceiveRevision (&s, 3, "version: 1\nrequests: []\n");
  ReceiveRevision (&s, 4, "version: 9\n");
  ReceiveRevision (&s, 5, "version: 1\nreads: []\n");
  EXPECT_EQ (recorded.revisions, (std::vector<uint64_t>{ 3, 5 }));
  cfs_note_revision (&s, "p", 5, 1000);
  cfs_note_revision (&s, "p", 4, 1000);
  EXPECT_TRUE (recorded.pulls.empty ());
  cfs_note_revision (&s, "p", 6, 1000);
  cfs_note_revision (&s, "q", 6, 1000);
  EXPECT_EQ (recorded.pulls, (std::vector<std::string>{ "p:0" }));
  // When the pull is not answered, the next goes to the peer that announced
  // the revision last.
  cfs_tick (&s, (CFS_PULL_TIMEOUT_MS + 2) * 1000);
  EXPECT_EQ (recorded.pulls.back (), "q:0");
  cfs_free (&s);
}

} // namespace

int
main (int argc, char **argv)
{
  testing::InitGoogleTest (&argc, argv);
  if (sodium_init () < 0)
    return 1;
  return RUN_ALL_TESTS ();
}
