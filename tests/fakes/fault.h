/* Table of the faults, by name, that scenarios, tests of fault pairs and the
   explorer of random schedules inject into a simulation.  */
#ifndef FAKE_FAULT_H
#define FAKE_FAULT_H

#include "world.h"

/* A fault.  N selects a group, a node or a data centre; for apply it selects
   a variant of the kinds file.  */
struct fault
{
  const char *name;
  void (*run) (struct world *w, int64_t n);
  bool explorable;  /* the explorer may choose it */
  uint32_t n_limit; /* the explorer chooses N below this */
};

/* Ends with an entry whose name is NULL.  */
extern const struct fault fault_table[];

const struct fault *fault_find (const char *name);
/* Clears every fault: all instances and nodes run, links and store work.  */
void fault_heal_all (struct world *w);

#endif
