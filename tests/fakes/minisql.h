/* Interpreter for the few SQL statements that the fake database supports.  */
#ifndef FAKE_MINISQL_H
#define FAKE_MINISQL_H

#include "group.h"

#define SQL_COLUMNS_MAX 8

struct sql_result
{
  const char *state; /* SQLSTATE, NULL on success */
  const char *message;
  char tag[32]; /* command tag */
  uint32_t n_columns;
  const char *columns[SQL_COLUMNS_MAX];
  GPtrArray *rows;    /* char ** with N_COLUMNS entries, NULL = SQL NULL */
  bool service;       /* occupies a slot for the service time */
  int64_t service_us; /* set by SELECT work($1), else 0 */
};

/* Runs one statement in the session S.  NAMES are the names of the group's
   instances, which follow refers to.  Clear OUT with sql_clear.  */
void sql_run (struct grp_session *s, const char *const *names, const char *sql,
              const char *const *args, uint32_t n_args, int64_t now_us,
              struct sql_result *out);
void sql_clear (struct sql_result *result);
/* True when the statement occupies a slot: it is neither a function of the
   schema cassiabay nor a transaction command.  */
bool sql_needs_slot (const char *sql);

#endif
