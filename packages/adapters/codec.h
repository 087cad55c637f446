/* The wire between callers, proxy and upstreams, as the session pooler sees
   it: lines in, typed messages out.  Implemented for each wire.  */
#ifndef CB_CODEC_H
#define CB_CODEC_H

#include "dir.h"
#include "statement.h"
#include <glib.h>

/* Longest message accepted from either side, in bytes.  */
#define CODEC_MESSAGE_MAX (1024 * 1024)

enum codec_caller_kind
{
  CODEC_START,     /* a session with DATABASE begins */
  CODEC_STATEMENT, /* STATEMENT */
  CODEC_TERMINATE,       /* the session ends */
  CODEC_INVALID        /* not of this wire */
};

/* A caller's message; its texts point into the line.  */
struct codec_caller
{
  enum codec_caller_kind kind;
  const char *database;
  struct stm statement;
  /* Of another proxy only.  */
  const char *instance; /* that it wants to reach; DATABASE is its service */
  struct lp min_position;      /* the statement's */
};

enum codec_upstream_kind
{
  CODEC_ROW,
  CODEC_DONE,  /* SIGNATURE */
  CODEC_ERROR, /* CODE, TEXT */
  CODEC_READY, /* STATE, POSITION */
  CODEC_MALFORMED /* not of this wire */
};

/* An upstream's message; its texts point into the line.  */
struct codec_upstream
{
  enum codec_upstream_kind kind;
  const char *signature;
  enum sqc code;
  const char *text;
  enum stm_state state;
  struct lp position;
};

struct codec;

struct codec_ops
{
  /* LINE has no line end, is NUL-terminated, and is changed.  */
  void (*read_caller) (const struct codec *codec, char *line, size_t len,
                       struct codec_caller *out);
  /* The same from another proxy, which speaks as to an upstream.  */
  void (*read_relay) (const struct codec *codec, char *line, size_t len,
                      struct codec_caller *out);
  void (*read_upstream) (const struct codec *codec, char *line, size_t len,
                         struct codec_upstream *out);
  /* Reads the rows of a status answer; false when they are none.  */
  bool (*read_status) (const struct codec *codec, const char *rows, size_t len,
                       struct stm_status *out);
  /* To an upstream.  */
  void (*write_start) (const struct codec *codec, GString *out,
                       const struct dir_instance *instance);
  /* TO_HOME: through another proxy, which is also told the urgency.  */
  void (*write_statement) (const struct codec *codec, GString *out,
                           bool to_home, struct lp after,
                           const struct stm *statement);
  /* To a caller.  */
  void (*write_end) (const struct codec *codec, GString *out,
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
