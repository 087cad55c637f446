/* Runs each scenario file twice, to check that runs are deterministic: the two
   traces must be identical byte for byte.
   Usage: run-scenarios [--trace] FILE...  */
#include "scenario.h"

#include <glib.h>
#include <sodium.h>
#include <stdbool.h>
#include <stdio.h>
#include <string.h>

static bool
run_file (const char *path, bool print_trace)
{
  struct fnd_list findings;
  struct scenario *s = NULL;
  char *text = NULL;
  char *first = NULL;
  char *second = NULL;
  char *report;
  gsize len;
  bool ok;

  fnd_init (&findings);
  if (g_file_get_contents (path, &text, &len, NULL))
    s = scn_parse (path, text, len, &findings);
  else
    fnd_add (&findings, path, 0, "cannot read the file");
  if (s)
    {
      struct fnd_list second_findings;

      first = scn_run (s, &findings);
      fnd_init (&second_findings);
      second = scn_run (s, &second_findings);
      fnd_free (&second_findings);
      if (strcmp (first, second) != 0)
        fnd_add (&findings, path, 0, "two runs produced different traces");
      if (print_trace)
        fputs (first, stdout);
      scn_free (s);
    }
  ok = fnd_count (&findings) == 0;
  report = fnd_format (&findings);
  printf ("%s %s\n%s", ok ? "ok    " : "FAILED", path, report);
  g_free (report);
  g_free (first);
  g_free (second);
  g_free (text);
  fnd_free (&findings);
  return ok;
}

int
main (int argc, char **argv)
{
  bool print_trace = argc > 1 && strcmp (argv[1], "--trace") == 0;
  int passed = 0;
  int failed = 0;

  if (sodium_init () < 0)
    return 1;
  for (int i = print_trace ? 2 : 1; i < argc; i++)
    if (run_file (argv[i], print_trace))
      passed++;
    else
      failed++;
  printf ("%d passed, %d failed\n", passed, failed);
  return failed > 0 || passed == 0;
}
