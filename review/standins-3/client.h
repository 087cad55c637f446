/* A client on a blocking connection, which sends one message at a time and
   notes in the record what it sent and what it was answered.  */
#ifndef CB_CLIENT_H
#define CB_CLIENT_H

#include "deployment.h"

enum cli_outcome
{
  CLI_OK,
  CLI_ERROR,  /* with a code */
  CLI_CLOSED, /* the connection ended */
  CLI_SILENT  /* no answer in time */
};

struct cli_answer
{
  enum cli_outcome outcome;
  char code[24];
  char state; /* I, T or E */
  char signature[96];
  size_t row_bytes;
};

struct cli
{
  struct dep *dep;
  const struct dep_vm *vm;
  char name[32];
  int fd; /* -1 = closed */
  int64_t max_age_us;
  bool quiet; /* leaves the record to its owner */
  uint32_t sent;
  GHashTable *values; /* acknowledged session values */
  GString *in;
};

/* Connects to V and starts a session on DATABASE.  Returns NULL when that
   fails.  MAX_AGE_US: maxStalenessMs of its route, 0 for fresh reads.  */
struct cli *cli_open (struct dep *d, const struct dep_vm *v, const char *name,
                      const char *database, int64_t max_age_us, bool quiet);
/* Ends the session and frees C.  */
void cli_close (struct cli *c);
/* Sends TEXT under a new id and waits up to WAIT_MS for the answer.  */
struct cli_answer cli_query (struct cli *c, const char *text, int wait_ms);
/* Sets session value NAME to BYTES bytes.  */
struct cli_answer cli_set (struct cli *c, const char *name, size_t bytes,
                           int wait_ms);
const char *cli_describe (const struct cli_answer *a);

#endif
