// The answers of the request coordinator.  The test sends the homes' replies.
#include <gtest/gtest.h>
#include <string>
#include <vector>

extern "C"
{
#include "coordinator.h"
}

namespace
{

const char kOneDatabase[]
    = "data_centres:\n"
      "  - {name: a, region: r}\n"
      "databases:\n"
      "  - name: bins\n"
      "    instances:\n"
      "      - {name: bins-1, address: '127.0.0.1:1', data_centre: a}\n";

// A coordinator with one database; the test sends the homes' replies.
struct CoordinatorBench
{
  struct ctr_set counters = {};
  std::vector<struct wire_request *> sent;
  std::vector<enum rsn> answers;
  struct coordinator *coord;
  struct dcl_set *set;
  int64_t now_us = 0;

  CoordinatorBench ()
  {
    struct coord_options o = {};
    o.answer = [] (void *arg, void *, const struct coord_answer *a) {
      ((CoordinatorBench *)arg)->answers.push_back (a->reason);
    };
    o.send = [] (void *arg, const char *, struct wire_request *r) {
      ((CoordinatorBench *)arg)->sent.push_back (wire_request_ref (r));
    };
    o.pick_home = [] (void *, const struct dcl_database *, uint32_t,
                      uint32_t) { return "vm"; };
    o.is_alive = [] (void *, const char *) { return true; };
    o.arg = o.answer_arg = this;
    o.counters = &counters;
    o.data_centre = o.region = "a";
    o.requests_max = 10;
    coord = coord_new (&o);
    std::string text = std::string ("version: 1\n") + kOneDatabase
                       + "requests:\n  - {kind: again, repeat: allowed}\n"
                         "  - {kind: once}\n";
    struct dcl_file file = { (char *)"f", (char *)text.data (), text.size () };
    struct fnd_list findings;
    fnd_init (&findings);
    set = dcl_parse (&file, 1, &findings);
    fnd_free (&findings);
    coord_set_databases (coord, set);
  }
  ~CoordinatorBench ()
  {
    for (struct wire_request *r : sent)
      wire_request_unref (r);
    coord_free (coord);
    dcl_free (set);
  }
  void
  Submit (const char *kind, const char *id)
  {
    struct wire_statement s = { (char *)"x", 0, nullptr };
    struct coord_call call = {};
    call.op = WIRE_RUN;
    call.database = "bins";
    call.kind = kind;
    call.request_id = id;
    call.transaction = "";
    call.n_statements = 1;
    call.statements = &s;
    coord_submit (coord, &call, 0, 0);
  }
  void
  Reply (enum rsn reason)
  {
    struct wire_reply reply = {};
    reply.id = sent.back ()->id;
    reply.reason = reason;
    coord_on_reply (coord, &reply, now_us);
    // Steps past the pause before the next attempt.
    for (int i = 0; i < 3; i++)
      coord_tick (coord, now_us += 120000);
  }
};

// Guards against an answer that says more than is known: `done` for a request
// that may not have run, or `not run` for one that may have.  Each case lists
// the replies of the homes in order and the answer expected.
TEST (Coordinator, AnswersOnlyWhatIsCertain)
{
  const uint64_t bits[2] = { 1, 2 };
  char id[RID_LEN + 1];
  rid_format (0, bits, id);
  struct
  {
    const char *what;
    const char *kind;
    std::vector<enum rsn> replies;
    enum rsn answer;
  } const cases[] = {
    { "done", "once", { RSN_OK }, RSN_OK },
    { "refused at once", "once", { RSN_QUEUE_FULL }, RSN_QUEUE_FULL },
    // The first attempt may have run, so a refusal of the second must not be
    // reported as not run.  Found by randomised fault injection.
    { "the retry of a write in doubt is refused",
      "again",
      { RSN_ANSWER_LOST, RSN_NO_MAJORITY },
      RSN_ANSWER_LOST },
    { "the ledger shows that the lost attempt ran",
      "once",
      { RSN_ANSWER_LOST, RSN_OK },
      RSN_OK },
    { "the ledger voids the id of the lost attempt",
      "once",
      { RSN_ANSWER_LOST, RSN_REQUEST_VOIDED },
      RSN_REQUEST_VOIDED },
    { "refused ledger lookups leave the outcome open",
      "once",
      { RSN_ANSWER_LOST, RSN_QUEUE_FULL, RSN_NO_MAJORITY, RSN_REQUEST_VOIDED },
      RSN_REQUEST_VOIDED },
    { "the id of a failed statement is voided",
      "once",
      { RSN_SQL_ERROR, RSN_REQUEST_VOIDED },
      RSN_SQL_ERROR },
    { "a statement fails, but an earlier request ran",
      "once",
      { RSN_SQL_ERROR, RSN_OK },
      RSN_OK },
    { "committed but not confirmed",
      "once",
      { RSN_UNCONFIRMED },
      RSN_UNCONFIRMED },
  };
  for (const auto &c : cases)
    {
      CoordinatorBench bench;
      bench.Submit (c.kind, strcmp (c.kind, "once") == 0 ? id : "");
      for (enum rsn reason : c.replies)
        bench.Reply (reason);
      ASSERT_EQ (bench.answers.size (), 1u) << c.what;
      EXPECT_EQ (bench.answers[0], c.answer)
          << c.what << " " << rsn_name (bench.answers[0]);
    }
}

TEST (Coordinator, LateAndUnknownRepliesAreDropped)
{
  CoordinatorBench bench;
  bench.Submit ("again", "");
  uint64_t first = bench.sent.back ()->id;
  bench.Reply (RSN_ANSWER_LOST);
  ASSERT_EQ (bench.sent.size (), 2u);
  struct wire_reply late = {};
  late.id = first;
  late.reason = RSN_OK;
  coord_on_reply (bench.coord, &late, 2000);
  EXPECT_TRUE (bench.answers.empty ());
  EXPECT_EQ (ctr_get (&bench.counters, CTR_LATE_REPLY), 1u);
  bench.Reply (RSN_OK);
  EXPECT_EQ (bench.answers.size (), 1u);
}

} // namespace
