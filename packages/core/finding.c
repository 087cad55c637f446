/* Collection and formatting of findings.  */
#include "finding.h"

/* Maximum number of findings in a list: a malicious file must not produce an
   unbounded report.  */
#define FND_MAX 200

static void
free_finding (gpointer data)
{
  struct fnd *f = data;

  g_free (f->file);
  g_free (f->message);
  g_free (f);
}

void
fnd_init (struct fnd_list *list)
{
  list->items = g_ptr_array_new_with_free_func (free_finding);
}

void
fnd_free (struct fnd_list *list)
{
  g_ptr_array_free (list->items, TRUE);
  list->items = NULL;
}

void
fnd_add (struct fnd_list *list, const char *file, int32_t line,
         const char *format, ...)
{
  struct fnd *f;
  va_list ap;

  if (list->items->len >= FND_MAX)
    return;
  f = g_new0 (struct fnd, 1);
  f->file = g_strdup (file);
  f->line = line;
  va_start (ap, format);
  f->message = g_strdup_vprintf (format, ap);
  va_end (ap);
  g_ptr_array_add (list->items, f);
}

uint32_t
fnd_count (const struct fnd_list *list)
{
  return list->items->len;
}

char *
fnd_format (const struct fnd_list *list)
{
  GString *out = g_string_new (NULL);

  for (uint32_t i = 0; i < list->items->len; i++)
    {
      const struct fnd *f = g_ptr_array_index (list->items, i);

      if (f->line > 0)
        g_string_append_printf (out, "%s (%s:%d)\n", f->message, f->file,
                                f->line);
      else
        g_string_append_printf (out, "%s (%s)\n", f->message, f->file);
    }
  return g_string_free (out, FALSE);
}
