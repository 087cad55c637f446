/* The few statements that the stand-in database understands.  */
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
  bool service;       /* takes a slot and service time */
  int64_t service_us; /* asked for by SELECT work($1) */
};

/* Runs one statement.  NAMES are the instances' names, for follow.  */
void sql_run (struct grp_session *s, const char *const *names, const char *sql,
              const char *const *args, uint32_t n_args, int64_t now_us,
              struct sql_result *out);
void sql_clear (struct sql_result *result);
/* True when the statement takes a slot.  */
bool sql_needs_slot (const char *sql);

#endif
