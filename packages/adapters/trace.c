/* Recording of callers' requests.  */
#include "trace.h"

#include <glib.h>
#include <jansson.h>
#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>

struct trace
{
  FILE *out;
  pthread_mutex_t lock; /* guards OUT */
};

struct trace *
trace_open (const char *file)
{
  FILE *out = fopen (file, "a");
  struct trace *t;

  if (!out)
    return NULL;
  t = g_new0 (struct trace, 1);
  t->out = out;
  pthread_mutex_init (&t->lock, NULL);
  return t;
}

void
trace_close (struct trace *t)
{
  if (!t)
    return;
  fclose (t->out);
  pthread_mutex_destroy (&t->lock);
  g_free (t);
}

void
trace_write (struct trace *t, const struct trace_record *record)
{
  json_t *body;
  json_t *answer;
  json_t *line;
  char *text;

  if (!t)
    return;
  body = json_loads (record->body, 0, NULL);
  answer = json_loads (record->answer, 0, NULL);
  line = json_pack ("{s:I, s:I, s:s, s:s, s:o*, s:o*}", "at_ms",
                    (json_int_t)record->at_ms, "took_us",
                    (json_int_t)record->took_us, "caller", record->caller,
                    "path", record->path, "body", body, "answer", answer);
  text = line ? json_dumps (line, JSON_COMPACT) : NULL;
  if (text)
    {
      pthread_mutex_lock (&t->lock);
      fprintf (t->out, "%s\n", text);
      fflush (t->out);
      pthread_mutex_unlock (&t->lock);
    }
  free (text);
  json_decref (line);
}
