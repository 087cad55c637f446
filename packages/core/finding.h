/* Findings: the errors in an operator's input, each with its file and line.
   Validation goes on after an error, so that all are reported together.  */
#ifndef CB_FINDING_H
#define CB_FINDING_H

#include <glib.h>
#include <stdint.h>

struct fnd
{
  char *file;
  int32_t line; /* 1-based; 0 when no line applies */
  char *message;
};

/* A list of findings, which it owns.  */
struct fnd_list
{
  GPtrArray *items; /* struct fnd * */
};

void fnd_init (struct fnd_list *list);
void fnd_free (struct fnd_list *list);
/* Adds a finding; copies FILE.  Ignored when the list is full.  */
void fnd_add (struct fnd_list *list, const char *file, int32_t line,
              const char *format, ...) G_GNUC_PRINTF (4, 5);
uint32_t fnd_count (const struct fnd_list *list);
/* Returns the findings as text, one on each line: `message (file:line)`.  The
   caller frees the text with g_free.  */
char *fnd_format (const struct fnd_list *list);

#endif
