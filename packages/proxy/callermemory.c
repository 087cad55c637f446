/* The budget for the memory that callers take.  */
#include "callermemory.h"

void
cmm_init (struct cmm_budget *b, size_t max_bytes)
{
  b->max_bytes = max_bytes;
  b->bytes = 0;
  b->holders = g_ptr_array_new ();
}

void
cmm_free (struct cmm_budget *b)
{
  g_ptr_array_free (b->holders, TRUE);
}

void
cmm_set (struct cmm_budget *b, struct cmm_holder *holder, size_t bytes)
{
  if (holder->bytes == 0 && bytes > 0)
    g_ptr_array_add (b->holders, holder);
  else if (holder->bytes > 0 && bytes == 0)
    g_ptr_array_remove_fast (b->holders, holder);
  b->bytes = b->bytes - holder->bytes + bytes;
  holder->bytes = bytes;
}

struct cmm_holder *
cmm_find_excess (const struct cmm_budget *b)
{
  struct cmm_holder *largest = NULL;

  if (b->bytes <= b->max_bytes)
    return NULL;
  for (guint n = 0; n < b->holders->len; n++)
    {
      struct cmm_holder *h = g_ptr_array_index (b->holders, n);

      if (!largest || h->bytes > largest->bytes)
        largest = h;
    }
  return largest;
}
