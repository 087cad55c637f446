/* Records callers' requests with their answers as lines of JSON.  The format
   is described in docs/TRACES.md.  */
#ifndef CB_TRACE_H
#define CB_TRACE_H

#include <stdint.h>

struct trace;

/* One finished call.  BODY and ANSWER are JSON texts.  */
struct trace_record
{
  int64_t at_ms;      /* wall-clock time of arrival */
  int64_t took_us;    /* from arrival to the answer */
  const char *caller; /* "" when not known */
  const char *path;
  const char *body;
  const char *answer;
};

/* Opens FILE for appending.  Returns NULL when it cannot be opened.  */
struct trace *trace_open (const char *file);
void trace_close (struct trace *t);
/* Writes one record.  May be called from any thread; does nothing when T is
   NULL.  */
void trace_write (struct trace *t, const struct trace_record *record);

#endif
