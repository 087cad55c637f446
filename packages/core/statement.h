/* Statements of a session and their results, independent of the wire
   format.  */
#ifndef CB_STATEMENT_H
#define CB_STATEMENT_H

#include "logpos.h"
#include <stddef.h>

enum stm_kind
{
  STM_BEGIN,
  STM_BEGIN_READ,
  STM_COMMIT,
  STM_ROLLBACK,
  STM_READ,
  STM_WRITE,
  STM_SET,
  STM_PREPARE_READ,
  STM_PREPARE_WRITE,
  STM_EXECUTE,
  STM_DEALLOCATE,
  STM_MALFORMED,
  /* Sent by proxies only.  */
  STM_RESET,     /* drops values and prepared statements */
  STM_STATUS,    /* queries role, term, position and load */
  STM_STEP_DOWN, /* a primary of a term below TERM becomes a replica */
  STM_PAUSE,     /* with a TERM above the newest: a replica stops receiving */
  STM_RESUME     /* a paused replica receives again */
};

/* How a statement is queued for a connection.  */
struct stm_urgency
{
  uint32_t rank;        /* the lowest is served first */
  uint32_t max_wait_ms; /* 0 = no limit but the timeout */
  uint32_t kind;        /* id of its request kind, see ovl_kind; 0 = none */
};

/* One statement.  ID is NULL if the proxy itself sends it.  NAME is the name
   of the session value or prepared statement.  ARGS is the rest of the text as
   the caller wrote it (item, item and data, value, or text to prepare), NULL
   when there is none.  The texts are borrowed.  */
struct stm
{
  enum stm_kind kind;
  const char *id;
  const char *name;
  const char *args;
  uint32_t term; /* of STM_STEP_DOWN and STM_PAUSE */
  struct stm_urgency urgency;
  const char *account; /* whose connections it may run on, NULL = any */
};

/* An instance's reply to STM_STATUS and to the commands after it.  */
struct stm_status
{
  bool primary;
  uint32_t term;
  struct logpos received; /* may be ahead of what readers see */
  int64_t lag_ms;
  int32_t busy;
  int32_t connections;
};

/* Error codes of statements.  */
enum sqc
{
#define Q(sym, name, not_applied) SQC_##sym,
#include "sqlcode.def"
#undef Q
  SQC_COUNT
};

/* The code's name in logs and metrics.  */
const char *sqc_name (enum sqc code);
/* Returns true if the code guarantees that nothing of the attempt was applied:
   it did not run or was rolled back.  */
bool sqc_is_not_applied (enum sqc code);

/* A session's transaction state.  */
enum stm_state
{
  STM_IDLE,
  STM_OPEN,  /* in a transaction */
  STM_FAILED /* the transaction failed; only its end is accepted */
};

/* The result of one statement.  ROWS are complete messages as the upstream
   sent them.  All texts are borrowed for the duration of the call.  */
struct stm_result
{
  bool ok;
  enum sqc code;         /* unless OK */
  const char *detail;    /* of an error, or NULL */
  const char *signature; /* the instance's, of a success; NULL if the
                            proxy produced the result */
  const char *rows;
  size_t rows_len;
  enum stm_state state;
  struct logpos position;
  const struct stm_status *status; /* reply to STM_STATUS and the commands
                                      after it, else NULL */
};

#endif
