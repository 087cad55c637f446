/* The faults that scenarios, pair tests and the explorer inject, by name.  One
   table serves all three.  */
#ifndef FAKE_FAULT_H
#define FAKE_FAULT_H

#include "world.h"

/* A fault; N selects a group, node or data centre, or is a length in ms.  */
struct fault
{
  const char *name;
  void (*run) (struct world *w, int64_t n);
  bool draws;     /* the explorer may draw it */
  uint32_t n_max; /* it draws N below this */
};

/* The table; ends with a NULL name.  */
extern const struct fault fault_table[];

const struct fault *fault_find (const char *name);
/* Undoes every fault: instances and nodes run, links and store work.  */
void fault_heal_all (struct world *w);

#endif
