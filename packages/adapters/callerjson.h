/* The JSON that callers send and get; docs/CALLERS.md has the format.  */
#ifndef CB_CALLERJSON_H
#define CB_CALLERJSON_H

#include "entry.h"

/* A parsed body.  Owns its texts; CALL borrows them.  */
struct caller_body
{
  char *database;
  char *kind;
  char *request_id;
  int64_t deadline_ms;
  uint32_t n_statements;
  struct wire_statement *statements;
};

/* Parses LEN bytes of TEXT for OP.  RSN_OK, or why it is refused with *DETAIL
   set to a new text.  An empty body is an empty object.  */
enum rsn cjs_parse (enum wire_op op, const char *text, size_t len,
                    struct caller_body *out, char **detail);
void cjs_clear (struct caller_body *body);
/* The answer as JSON, freed by the caller.  */
char *cjs_format_answer (const struct ent_answer *answer);

#endif
