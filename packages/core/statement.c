/* Outcomes of statements.  */
#include "statement.h"

struct code_row
{
  const char *name;
  bool promise;
};

static const struct code_row codes[] = {
#define Q(sym, name, promise) { name, promise },
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
  return codes[code].promise;
}
