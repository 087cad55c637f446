/* The scenario language: YAML files that script faults and requests on virtual
   time against the real decision code, and state the expected outcomes.

   deployment: imena | suva
   seed: N
   callers: N                  a roaming workload besides (default 0)
   steps:
     - {at: MS, do: FAULT, n: N}            a fault of tests/fakes/fault.c
     - {at: MS, do: write, vm: K, key: K, value: V, as: NAME}
     - {at: MS, do: read, vm: K, kind: KIND, key: K, session: NAME, as: NAME}
     - {at: MS, do: check}     the promises so far
   expect:
     - {call: NAME, outcome: done, reason: R, value: V}
     - {write_gap_below_ms: MS}
   Times count from the end of the fleet's start.  */
#ifndef SCENARIO_H
#define SCENARIO_H

#include "finding.h"
#include <stddef.h>

struct scenario;

/* NULL with findings when the text is wrong.  */
struct scenario *scn_parse (const char *file, const char *text, size_t len,
                            struct fnd_list *findings);
void scn_free (struct scenario *s);
/* Runs it.  Returns the trace, one line an event, freed by the caller; what
   was not as expected is added to FINDINGS.  */
char *scn_run (const struct scenario *s, struct fnd_list *findings);

#endif
