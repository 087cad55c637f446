/* cassiabayd, the proxy.  Reads the settings and runs the engine (the HTTP
   path), or the platform's session pooler with --platform, until a signal asks
   for a graceful shutdown.  */
#include "engine.h"
#include "logging.h"
#include "platform.h"
#include "settings.h"

#include <curl/curl.h>
#include <getopt.h>
#include <sodium.h>
#include <stdio.h>
#include <stdlib.h>

#define EXIT_USAGE 2
#define VERSION "0.1.0"

static const struct option options[]
    = { { "config", required_argument, NULL, 'c' },
        { "check", no_argument, NULL, 'k' },
        { "platform", no_argument, NULL, 'p' },
        { "help", no_argument, NULL, 'h' },
        { "version", no_argument, NULL, 'V' },
        { NULL, 0, NULL, 0 } };

static void
print_help (FILE *out)
{
  fputs (
      "Usage: cassiabayd --config FILE [--check]\n"
      "       cassiabayd --platform [--config FILE] [--check]\n"
      "Database proxy with session consistency.\n"
      "\n"
      "  --config FILE  settings (YAML); see docs/OPERATORS.md\n"
      "  --platform     run as the platform's session pooler; its settings\n"
      "                 file is the one that the platform names\n"
      "  --check        validate the settings and stop\n"
      "  --help         this text\n"
      "  --version      the version\n"
      "\n"
      "Exit status: 0 after a graceful stop, 1 when it could not start,\n"
      "2 for a wrong command line or wrong settings.\n",
      out);
}

/* Returns NULL when FILE cannot be read or is invalid; the reasons are printed
   on standard error.  */
static struct settings *
load_settings (const char *file)
{
  struct fnd_list findings;
  struct settings *s = NULL;
  GError *error = NULL;
  char *text = NULL;
  char *report;
  gsize len;

  fnd_init (&findings);
  if (g_file_get_contents (file, &text, &len, &error))
    s = settings_parse (file, text, len, &findings);
  else
    fprintf (stderr, "cassiabayd: %s\n", error->message);
  report = fnd_format (&findings);
  fputs (report, stderr);
  g_free (report);
  g_free (text);
  g_clear_error (&error);
  fnd_free (&findings);
  return s;
}

int
main (int argc, char **argv)
{
  const char *file = NULL;
  bool check = false;
  bool platform = false;
  struct settings *s;
  int option;
  int status;

  while ((option = getopt_long (argc, argv, "c:kphV", options, NULL)) != -1)
    switch (option)
      {
      case 'c':
        file = optarg;
        break;
      case 'k':
        check = true;
        break;
      case 'p':
        platform = true;
        break;
      case 'h':
        print_help (stdout);
        return EXIT_SUCCESS;
      case 'V':
        puts ("cassiabayd " VERSION);
        return EXIT_SUCCESS;
      default:
        print_help (stderr);
        return EXIT_USAGE;
      }
  if ((!file && !platform) || optind != argc)
    {
      print_help (stderr);
      return EXIT_USAGE;
    }
  if (sodium_init () < 0 || curl_global_init (CURL_GLOBAL_DEFAULT) != 0)
    return EXIT_FAILURE;
  if (platform)
    return platform_run (file, check);
  s = load_settings (file);
  if (!s)
    return EXIT_USAGE;
  if (check)
    {
      printf ("%s: valid\n", file);
      settings_free (s);
      return EXIT_SUCCESS;
    }
  log_init (s->vm, s->log_format == 1, s->log_level);
  status = engine_run (s) ? EXIT_SUCCESS : EXIT_FAILURE;
  settings_free (s);
  return status;
}
