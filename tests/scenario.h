/* Scenario files: YAML that scripts faults and requests in virtual time
   against the real decision code, and states the expected outcomes.

   deployment: imena | suva
   seed: N
   callers: N                  number of callers of a background workload
                               that sends to any proxy (default 0)
   steps:
     - {at: MS, do: FAULT, n: N}            a fault of tests/fakes/fault.c
     - {at: MS, do: write, vm: K, key: K, value: V, as: NAME}
     - {at: MS, do: read, vm: K, kind: KIND, key: K, session: NAME, as: NAME}
     - {at: MS, do: check}                  reports violations of the
                                             guarantees seen so far
   expect:
     - {call: NAME, outcome: done, reason: R, value: V}
     - {write_gap_below_ms: MS}
   Times count from the moment the simulated fleet has started.  */
#ifndef SCENARIO_H
#define SCENARIO_H

#include "finding.h"
#include <stddef.h>

struct scenario;

/* Parses TEXT.  On errors, adds them to FINDINGS and returns NULL.  FILE names
   the source in findings.  */
struct scenario *scn_parse (const char *file, const char *text, size_t len,
                            struct fnd_list *findings);
void scn_free (struct scenario *s);
/* Runs the scenario.  Returns the trace, one line per event, freed by the
   caller.  Unmet expectations and violated guarantees are added to
   FINDINGS.  */
char *scn_run (const struct scenario *s, struct fnd_list *findings);

#endif
