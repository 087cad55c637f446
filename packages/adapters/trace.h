/* Records callers' requests and their answers, one JSON line each;
   docs/TRACES.md has the format.  */
#ifndef CB_TRACE_H
#define CB_TRACE_H

#include <stdint.h>

struct trace;

/* One finished call.  BODY and ANSWER are JSON texts.  */
struct trace_record
{
  int64_t at_ms; /* wall clock, when it came */
  int64_t took_us;
  const char *caller; /* "" when not known */
  const char *path;
  const char *body;
  const char *answer;
};

/* Appends to FILE; NULL when it cannot be opened.  */
struct trace *trace_open (const char *file);
void trace_close (struct trace *t);
/* From any thread.  T may be NULL: nothing is recorded.  */
void trace_write (struct trace *t, const struct trace_record *record);

#endif
