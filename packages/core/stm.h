/* Statements of a session and their outcomes, independent of how they are
   written on the wire.  */
#ifndef CB_STM_H
#define CB_STM_H

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
  STM_FORGET,
  STM_MALFORMED,
  /* Asked by the proxy itself.  */
  STM_RESET,    /* drops values and prepared statements */
  STM_STATUS,   /* the instance's account of itself */
  STM_STEP_DOWN /* a primary of a term below TERM becomes a replica */
};

/* How a statement waits for a connection.  */
struct stm_urgency
{
  uint32_t rank;        /* the lowest goes first */
  uint32_t patience_ms; /* refused after waiting so long, 0 = its timeout */
};

/* One statement.  ID is NULL for one of the proxy's own.  NAME is the session
   value, or the prepared statement; ARGS
   is the rest of the text as the caller wrote it (item, item and data, value
   or shape), NULL when there is none.  The texts are borrowed.  */
struct stm
{
  enum stm_kind kind;
  const char *id;
  const char *name;
  const char *args;
  uint32_t term; /* of STM_STEP_DOWN */
  struct stm_urgency urgency;
};

/* An instance's answer to STM_STATUS.  */
struct stm_status
{
  bool primary;
  uint32_t term;
  struct logpos received; /* may be ahead of what it shows to readers */
  int64_t lag_ms;
  int32_t busy;
  int32_t connections;
};

/* Why a statement failed.  */
enum sqc
{
#define Q(sym, name, kept) SQC_##sym,
#include "sqlcode.def"
#undef Q
  SQC_COUNT
};

const char *sqc_name (enum sqc code);
/* True when the code promises that nothing of the caller's attempt is kept. */
bool sqc_is_promise (enum sqc code);

/* A session's transaction state.  */
enum stm_state
{
  STM_IDLE,
  STM_OPEN,  /* in a transaction */
  STM_BROKEN /* the transaction failed and waits for its end */
};

/* The end of one statement.  ROWS are complete messages as the upstream sent
   them.  All texts are borrowed for the call.  */
struct stm_end
{
  bool ok;
  enum sqc code;         /* when not OK */
  const char *text;      /* detail of an error, or NULL */
  const char *signature; /* of a success; NULL for one of our own */
  const char *rows;
  size_t rows_len;
  enum stm_state state;
  struct logpos position;
  const struct stm_status *status; /* of STM_STATUS, else NULL */
};

#endif
