/* Parses scenario files, runs them in the simulated world and checks what they
   expect.  The format is described in scenario.h.  */
#include "scenario.h"

#include "fault.h"
#include "history.h"
#include "yamldoc.h"

#include <string.h>

#define STEPS_MAX 256
/* Time for the simulated fleet to start before the first step.  */
#define STARTUP_US 5000000
/* Time for outstanding calls to complete after the last step.  */
#define DRAIN_US 8000000

static const char *const file_keys[]
    = { "version", "deployment", "seed", "callers", "steps", "expect", NULL };
static const char *const step_keys[]
    = { "at", "do", "n", "vm", "key", "value", "as", "kind", "session", NULL };
static const char *const expect_keys[]
    = { "call", "outcome", "reason", "value", "write_gap_below_ms", NULL };
static const char *const deployments[] = { "imena", "suva", NULL };

enum step_kind
{
  STEP_FAULT,
  STEP_WRITE,
  STEP_READ,
  STEP_CHECK
};

struct step
{
  enum step_kind kind;
  const struct fault *fault;
  int64_t at_ms;
  int64_t n;
  uint32_t vm;
  char *key;
  char *value;
  char *as;
  char *read_kind;
  char *session;
};

struct expectation
{
  int32_t line;
  char *call;
  char *outcome;
  char *reason;
  char *value;
  int64_t write_gap_below_ms; /* 0: not stated */
};

struct scenario
{
  char *file;
  int32_t deployment;
  uint64_t seed;
  uint32_t callers;
  uint32_t n_steps;
  struct step steps[STEPS_MAX];
  uint32_t n_expectations;
  struct expectation expectations[STEPS_MAX];
};

static void
parse_step_kind (struct yml_doc *doc, yml_node *node, struct step *step)
{
  char *what = yml_dup_string (doc, node, "step", "do", true);

  if (!what)
    return;
  if (strcmp (what, "write") == 0)
    step->kind = STEP_WRITE;
  else if (strcmp (what, "read") == 0)
    step->kind = STEP_READ;
  else if (strcmp (what, "check") == 0)
    step->kind = STEP_CHECK;
  else
    step->fault = fault_find (what);
  if (step->kind == STEP_FAULT && !step->fault)
    fnd_add (doc->findings, doc->file, yml_line (node),
             "step: do: \"%.32s\" is neither a fault in "
             "tests/fakes/fault.c nor write, read or check",
             what);
  g_free (what);
}

static void
parse_step (struct yml_doc *doc, yml_node *node, struct scenario *s)
{
  struct step *step = &s->steps[s->n_steps];
  bool call;

  if (!yml_check_map (doc, node, "step", step_keys))
    return;
  parse_step_kind (doc, node, step);
  call = step->kind == STEP_WRITE || step->kind == STEP_READ;
  step->at_ms = yml_get_int (doc, node, "step", "at", 0, 3600000, 0);
  step->n = yml_get_int (doc, node, "step", "n", 0, 100, 0);
  step->vm = (uint32_t)yml_get_int (doc, node, "step", "vm", 0, 5, 0);
  step->key = yml_dup_string (doc, node, "step", "key", call);
  step->value
      = yml_dup_string (doc, node, "step", "value", step->kind == STEP_WRITE);
  step->as = yml_dup_string (doc, node, "step", "as", false);
  step->read_kind = yml_dup_string (doc, node, "step", "kind", false);
  step->session = yml_dup_string (doc, node, "step", "session", false);
  if (s->n_steps > 0 && step->at_ms < step[-1].at_ms)
    fnd_add (doc->findings, doc->file, yml_line (node),
             "step: at must not be less than that of the previous step");
  s->n_steps++;
}

static void
parse_expect (struct yml_doc *doc, yml_node *node, struct scenario *s)
{
  struct expectation *e = &s->expectations[s->n_expectations];

  if (!yml_check_map (doc, node, "expect", expect_keys))
    return;
  e->line = yml_line (node);
  e->call = yml_dup_string (doc, node, "expect", "call", false);
  e->outcome = yml_dup_string (doc, node, "expect", "outcome", false);
  e->reason = yml_dup_string (doc, node, "expect", "reason", false);
  e->value = yml_dup_string (doc, node, "expect", "value", false);
  e->write_gap_below_ms
      = yml_get_int (doc, node, "expect", "write_gap_below_ms", 1, 600000, 0);
  s->n_expectations++;
}

static void
parse_list (struct yml_doc *doc, const char *key, struct scenario *s,
            void (*parse) (struct yml_doc *, yml_node *, struct scenario *))
{
  yml_node *list = yml_get (doc, yml_root (doc), key);
  uint32_t n = yml_count (doc, list, key);

  if (n > STEPS_MAX)
    fnd_add (doc->findings, doc->file, yml_line (list), "%s: at most %d items",
             key, STEPS_MAX);
  for (uint32_t i = 0; i < MIN (n, STEPS_MAX); i++)
    parse (doc, yml_item (doc, list, i), s);
}

struct scenario *
scn_parse (const char *file, const char *text, size_t len,
           struct fnd_list *findings)
{
  uint32_t before = fnd_count (findings);
  struct scenario *s;
  struct yml_doc doc;
  yml_node *root;

  if (!yml_parse (&doc, file, text, len, findings))
    return NULL;
  root = yml_root (&doc);
  s = g_new0 (struct scenario, 1);
  s->file = g_strdup (file);
  yml_check_map (&doc, root, "scenario", file_keys);
  s->deployment
      = yml_get_choice (&doc, root, "scenario", "deployment", deployments, 0);
  s->seed = (uint64_t)yml_get_int (&doc, root, "scenario", "seed", 1,
                                   UINT32_MAX, 1);
  s->callers = (uint32_t)yml_get_int (&doc, root, "scenario", "callers", 0,
                                      HISTORY_CALLERS_MAX, 0);
  parse_list (&doc, "steps", s, parse_step);
  parse_list (&doc, "expect", s, parse_expect);
  yml_free (&doc);
  if (fnd_count (findings) == before)
    return s;
  scn_free (s);
  return NULL;
}

void
scn_free (struct scenario *s)
{
  for (uint32_t i = 0; i < s->n_steps; i++)
    {
      g_free (s->steps[i].key);
      g_free (s->steps[i].value);
      g_free (s->steps[i].as);
      g_free (s->steps[i].read_kind);
      g_free (s->steps[i].session);
    }
  for (uint32_t i = 0; i < s->n_expectations; i++)
    {
      g_free (s->expectations[i].call);
      g_free (s->expectations[i].outcome);
      g_free (s->expectations[i].reason);
      g_free (s->expectations[i].value);
    }
  g_free (s->file);
  g_free (s);
}

/* State of a run.  */
struct run
{
  const struct scenario *s;
  struct world *w;
  struct history h;
  GHashTable *calls; /* name -> struct world_call * */
  GString *trace;
  struct fnd_list *findings;
};

static void
send_request (struct run *r, const struct step *step)
{
  struct world_call *from
      = step->session ? g_hash_table_lookup (r->calls, step->session) : NULL;
  const struct tok *token = from ? &from->token : NULL;
  char *id = world_request_id (r->w);
  struct world_call *call;

  if (!world_node_is_running (r->w, step->vm))
    g_string_append_printf (r->trace, "vm%u is down\n", step->vm);
  else if (step->kind == STEP_WRITE)
    {
      call = world_call (r->w, step->vm, WIRE_RUN, 0, "order", id, token,
                         "UPDATE orders SET value = $2 WHERE key = $1",
                         step->key, step->value);
      if (step->as)
        g_hash_table_insert (r->calls, step->as, call);
    }
  else
    {
      call = world_call (r->w, step->vm, WIRE_RUN, 0,
                         step->read_kind ? step->read_kind : "lookup", "",
                         token, "SELECT key, value FROM orders WHERE key = $1",
                         step->key, NULL);
      if (step->as)
        g_hash_table_insert (r->calls, step->as, call);
    }
  g_free (id);
}

static void
run_until (struct run *r, int64_t us)
{
  int64_t left_us = us - world_now (r->w);

  if (left_us <= 0)
    return;
  if (r->s->callers > 0)
    history_run (&r->h, left_us);
  else
    world_run (r->w, left_us);
}

static void
run_step (struct run *r, const struct step *step)
{
  switch (step->kind)
    {
    case STEP_FAULT:
      step->fault->run (r->w, step->n);
      g_string_append_printf (r->trace, "%ld %s %ld\n", step->at_ms,
                              step->fault->name, step->n);
      break;
    case STEP_WRITE:
    case STEP_READ:
      send_request (r, step);
      break;
    case STEP_CHECK:
      if (r->h.violations->len > 0)
        fnd_add (r->findings, r->s->file, 0, "%s", r->h.violations->str);
      break;
    }
}

static void
check_text (struct run *r, const struct expectation *e, const char *what,
            const char *expected, const char *got)
{
  if (expected && g_strcmp0 (expected, got) != 0)
    fnd_add (r->findings, r->s->file, e->line,
             "call \"%s\": %s is \"%s\", expected \"%s\"", e->call, what,
             got ? got : "", expected);
}

/* The first string in the rows of the reply to CALL (the scenario reads one
   row with the columns key and value), "" when there is none.  */
static char *
value_from_reply (const struct world_call *call)
{
  char **parts = g_strsplit (call->rows ? call->rows : "", "\"", 3);
  char *value = g_strdup (parts[0] && parts[1] ? parts[1] : "");

  g_strfreev (parts);
  return value;
}

static void
check_expectation (struct run *r, const struct expectation *e)
{
  struct world_call *call
      = e->call ? g_hash_table_lookup (r->calls, e->call) : NULL;
  int64_t gap_ms = history_write_gap_us (&r->h) / 1000;
  char *value;

  if (e->write_gap_below_ms > 0 && gap_ms >= e->write_gap_below_ms)
    fnd_add (r->findings, r->s->file, e->line,
             "the write gap is %ld ms, expected below %ld", gap_ms,
             e->write_gap_below_ms);
  if (!e->call)
    return;
  if (!call || call->n_replies == 0)
    {
      fnd_add (r->findings, r->s->file, e->line, "call \"%s\": no reply",
               e->call);
      return;
    }
  check_text (r, e, "outcome", e->outcome,
              rsn_outcome_name (rsn_outcome_of (call->reason)));
  check_text (r, e, "reason", e->reason, rsn_name (call->reason));
  value = value_from_reply (call);
  check_text (r, e, "value", e->value, value);
  g_free (value);
}

static void
append_calls_to_trace (struct run *r)
{
  GPtrArray *calls = world_calls (r->w);

  for (uint32_t i = 0; i < calls->len; i++)
    {
      const struct world_call *c = g_ptr_array_index (calls, i);

      g_string_append_printf (
          r->trace, "%ld vm%u %s %s %s -> %ld %s %s\n", c->sent_us, c->node,
          c->database, c->kind, c->key ? c->key : "", c->replied_us,
          c->n_replies ? rsn_name (c->reason) : "no_answer",
          c->rows ? c->rows : "");
    }
}

char *
scn_run (const struct scenario *s, struct fnd_list *findings)
{
  struct world_options o;
  struct run r = { 0 };
  int64_t start_us;
  const char *violations;

  world_set_deployment (&o, s->deployment == 1, s->seed);
  r.s = s;
  r.w = world_new (&o);
  r.calls = g_hash_table_new (g_str_hash, g_str_equal);
  r.trace = g_string_new (NULL);
  r.findings = findings;
  world_run (r.w, STARTUP_US);
  history_init (&r.h, r.w, s->callers);
  start_us = world_now (r.w);
  for (uint32_t i = 0; i < s->n_steps; i++)
    {
      run_until (&r, start_us + s->steps[i].at_ms * 1000);
      run_step (&r, &s->steps[i]);
    }
  run_until (&r, world_now (r.w) + DRAIN_US);
  violations = history_check (&r.h);
  if (violations[0] != '\0')
    fnd_add (findings, s->file, 0, "%s", violations);
  for (uint32_t i = 0; i < s->n_expectations; i++)
    check_expectation (&r, &s->expectations[i]);
  append_calls_to_trace (&r);
  history_free (&r.h);
  g_hash_table_destroy (r.calls);
  world_free (r.w);
  return g_string_free (r.trace, FALSE);
}
