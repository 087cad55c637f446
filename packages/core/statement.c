/* Names and properties of error codes.  */
#include "statement.h"

struct code_row
{
  const char *name;
  bool not_applied;
};

static const struct code_row codes[] = {
#define Q(sym, name, not_applied) { name, not_applied },
#include "sqlcode.def"
#undef Q
};

const char *
sqc_name (enum sqc code)
{
  return codes[code].name;
}

bool
sqc_is_not_applied (enum sqc code)
{
  return codes[code].not_applied;
}
