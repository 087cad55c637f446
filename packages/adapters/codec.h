/* Interface of the session pooler to a wire protocol between callers, proxies
   and upstreams.  A codec parses lines into typed messages and formats
   messages for output; there is one implementation for each protocol.  */
#ifndef CB_CODEC_H
#define CB_CODEC_H

#include "dir.h"
#include "statement.h"
#include <glib.h>

/* Longest message accepted from either side, in bytes.  */
#define CODEC_MESSAGE_MAX (1024 * 1024)

enum codec_caller_kind
{
  CODEC_START,     /* a session with DATABASE begins, of the caller with KEY */
  CODEC_STATEMENT, /* STATEMENT */
  CODEC_TERMINATE, /* the session ends */
  CODEC_INVALID    /* not a message of this protocol */
};

/* A caller's message.  Its strings point into the line parsed.  */
struct codec_caller
{
  enum codec_caller_kind kind;
  const char *database;
  const char *key; /* by which the caller identifies itself, or NULL; from a
                      proxy: the account whose connections it asks for */
  struct stm statement;
  /* Set only in messages of another proxy.  */
  const char *instance; /* the instance to reach; DATABASE is its service */
  struct logpos min_position; /* that the statement requires */
};

enum codec_upstream_kind
{
  CODEC_ROW,
  CODEC_DONE,     /* SIGNATURE */
  CODEC_ERROR,    /* CODE, TEXT */
  CODEC_READY,    /* STATE, POSITION */
  CODEC_MALFORMED /* not a message of this protocol */
};

/* An upstream's message.  Its strings point into the line parsed.  The fields
   set are those named at the kind.  */
struct codec_upstream
{
  enum codec_upstream_kind kind;
  const char *signature;
  enum sqc code;
  const char *text;
  enum stm_state state;
  struct logpos position;
};

struct codec;

struct codec_ops
{
  /* The read functions take a NUL-terminated LINE without its line end, and
     modify it.  */
  void (*read_caller) (const struct codec *codec, char *line, size_t len,
                       struct codec_caller *out);
  /* As read_caller, for a line from another proxy, which sends what it would
     send to an upstream.  */
  void (*read_relay) (const struct codec *codec, char *line, size_t len,
                      struct codec_caller *out);
  void (*read_upstream) (const struct codec *codec, char *line, size_t len,
                         struct codec_upstream *out);
  /* Parses the rows of a status reply.  Returns false when they are not valid.
   */
  bool (*read_status) (const struct codec *codec, const char *rows, size_t len,
                       struct stm_status *out);
  /* Messages to an upstream.  */
  /* ACCOUNT is the client account in whose name the session begins, NULL = the
     proxy itself.  */
  void (*write_start) (const struct codec *codec, GString *out,
                       const struct dir_instance *instance,
                       const char *account);
  /* TO_HOME: the statement goes to the home of the instance, another proxy
     that forwards it and is also sent its urgency.  */
  void (*write_statement) (const struct codec *codec, GString *out,
                           bool to_home, struct logpos min_position,
                           const struct stm *statement);
  /* Messages to a caller.  */
  void (*write_result) (const struct codec *codec, GString *out,
                        const struct stm_result *end);
  void (*write_started) (const struct codec *codec, GString *out);
  void (*write_refused) (const struct codec *codec, GString *out,
                         enum sqc code, const char *text);
};

struct codec
{
  const struct codec_ops *ops;
};

#endif
