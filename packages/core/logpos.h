/* A position in a database group's log: the term of the primary that wrote
   the entry and the entry's number.  */
#ifndef CB_LOGPOS_H
#define CB_LOGPOS_H

#include <stdbool.h>
#include <stdint.h>

/* TERM 0 means that the position is unknown.  */
struct logpos
{
  uint32_t term;
  uint64_t number;
};

/* The unknown position.  */
#define LP_NONE ((struct logpos){ 0, 0 })

static inline bool
lp_is_known (struct logpos p)
{
  return p.term > 0;
}

/* Orders by term, then by number.  A log that reaches a higher position does
   not always contain the lower one: a promotion may have rolled it back.  */
static inline int
lp_compare (struct logpos a, struct logpos b)
{
  if (a.term != b.term)
    return a.term < b.term ? -1 : 1;
  if (a.number != b.number)
    return a.number < b.number ? -1 : 1;
  return 0;
}

static inline struct logpos
lp_max (struct logpos a, struct logpos b)
{
  return lp_compare (a, b) < 0 ? b : a;
}

#endif
