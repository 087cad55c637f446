/* Parses the JSON bodies of callers' requests and formats those of answers.
   The format is described in docs/CALLERS.md.  */
#ifndef CB_CALLERJSON_H
#define CB_CALLERJSON_H

#include "coordinator.h"

/* A parsed request body.  Owns its strings, which a struct coord_call made
   from it borrows.  */
struct caller_body
{
  char *database;
  char *kind;
  char *request_id;
  int64_t deadline_ms;
  uint32_t n_statements;
  struct wire_statement *statements;
};

/* Parses the LEN bytes of TEXT as the body of a request for OP; an empty body
   counts as an empty object.  Returns RSN_OK, or the reason for refusal with
   *DETAIL set to a message that the caller frees.  OUT must be cleared with
   cjs_clear in both cases.  */
enum rsn cjs_parse (enum wire_op op, const char *text, size_t len,
                    struct caller_body *out, char **detail);
void cjs_clear (struct caller_body *body);
/* Returns the answer as JSON, which the caller frees.  */
char *cjs_format_answer (const struct coord_answer *answer);

#endif
