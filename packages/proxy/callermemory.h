/* The memory that callers take for input that is not processed yet and for the
   statements under way, against one budget for all of them.  */
#ifndef CB_CALLERMEMORY_H
#define CB_CALLERMEMORY_H

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>

/* What one caller takes.  */
struct cmm_holder
{
  void *owner;
  size_t bytes;
};

/* A budget and who draws on it.  */
struct cmm_budget
{
  size_t max_bytes;
  size_t bytes;       /* of all holders */
  GPtrArray *holders; /* struct cmm_holder *, borrowed; those that take any */
};

void cmm_init (struct cmm_budget *b, size_t max_bytes);
void cmm_free (struct cmm_budget *b);
/* HOLDER takes BYTES from now on; 0 before it is freed.  */
void cmm_set (struct cmm_budget *b, struct cmm_holder *holder, size_t bytes);
/* Returns the holder that takes the most while the budget is exceeded, else
   NULL.  */
struct cmm_holder *cmm_find_excess (const struct cmm_budget *b);

#endif
