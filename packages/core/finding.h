/* Findings: everything wrong with operators' input, each with its place,
   collected and reported together.  */
#ifndef CB_FINDING_H
#define CB_FINDING_H

#include <glib.h>
#include <stdint.h>

struct fnd
{
  char *file;
  int32_t line; /* 1-based, 0 where no line applies */
  char *message;
};

/* Owns its findings.  */
struct fnd_list
{
  GPtrArray *items; /* struct fnd * */
};

void fnd_init (struct fnd_list *list);
void fnd_free (struct fnd_list *list);
void fnd_add (struct fnd_list *list, const char *file, int32_t line,
              const char *format, ...) G_GNUC_PRINTF (4, 5);
uint32_t fnd_count (const struct fnd_list *list);
/* One finding a line: `message (file:line)`.  The caller frees the text.  */
char *fnd_format (const struct fnd_list *list);

#endif
