/* Log writer.  Its configuration is global, as GLib's writer function is, and
   is set once before other threads start.  */
#include "logging.h"

#include <glib.h>
#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

static const char *vm_name;
static bool use_json;
static GLogLevelFlags enabled_levels;

static const char *
get_level_name (GLogLevelFlags level)
{
  if (level & (G_LOG_LEVEL_ERROR | G_LOG_LEVEL_CRITICAL))
    return "error";
  if (level & G_LOG_LEVEL_WARNING)
    return "warning";
  if (level & G_LOG_LEVEL_MESSAGE)
    return "message";
  return level & G_LOG_LEVEL_INFO ? "info" : "debug";
}

static const char *
find_message (const GLogField *fields, gsize n)
{
  for (gsize i = 0; i < n; i++)
    if (strcmp (fields[i].key, "MESSAGE") == 0)
      return fields[i].value;
  return "";
}

static void
write_json (const char *time, GLogLevelFlags level, const char *message)
{
  json_t *record
      = json_pack ("{s:s, s:s, s:s, s:s}", "time", time, "level",
                   get_level_name (level), "vm", vm_name, "message", message);
  char *text = record ? json_dumps (record, JSON_COMPACT) : NULL;

  fprintf (stderr, "%s\n", text ? text : "{}");
  free (text);
  json_decref (record);
}

static GLogWriterOutput
write_record (GLogLevelFlags level, const GLogField *fields, gsize n,
              gpointer data)
{
  GDateTime *now;
  char *time;

  (void)data;
  if ((level & enabled_levels) == 0)
    return G_LOG_WRITER_HANDLED;
  now = g_date_time_new_now_utc ();
  time = g_date_time_format_iso8601 (now);
  if (use_json)
    write_json (time, level, find_message (fields, n));
  else
    fprintf (stderr, "%s %s %s: %s\n", time, vm_name, get_level_name (level),
             find_message (fields, n));
  g_free (time);
  g_date_time_unref (now);
  return G_LOG_WRITER_HANDLED;
}

void
log_init (const char *vm, bool json, int32_t level)
{
  static const GLogLevelFlags added[]
      = { 0, G_LOG_LEVEL_MESSAGE, G_LOG_LEVEL_INFO, G_LOG_LEVEL_DEBUG };

  vm_name = vm;
  use_json = json;
  enabled_levels
      = G_LOG_LEVEL_ERROR | G_LOG_LEVEL_CRITICAL | G_LOG_LEVEL_WARNING;
  for (int32_t i = 1; i <= MIN (level, 3); i++)
    enabled_levels |= added[i];
  g_log_set_writer_func (write_record, NULL, NULL);
}
