/* Control commands of the fake database groups: faults and dumps.  */
#include "upstreamint.h"

#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

/* Resets all connections to I, as happens when a process dies.  */
static void
reset_conns (struct instance *i)
{
  struct linger now = { 1, 0 };

  for (uint32_t k = 0; k < server.conns->len; k++)
    {
      struct conn *c = g_ptr_array_index (server.conns, k);

      if (c->instance != i || c->closed)
        continue;
      setsockopt (c->source.fd, SOL_SOCKET, SO_LINGER, &now, sizeof now);
      ups_close_conn (c);
    }
}

static void
kill_instance (struct instance *i)
{
  grp_kill (&i->group->model, i->index);
  reset_conns (i);
  if (i->listener.fn)
    {
      loop_remove (&server.loop, &i->listener);
      close (i->listener.fd);
    }
}

static void
silence_conns (struct instance *i)
{
  for (uint32_t k = 0; k < server.conns->len; k++)
    {
      struct conn *c = g_ptr_array_index (server.conns, k);

      if (c->instance == i)
        c->silent = true;
    }
}

static void
dump_entries (const struct grp_instance *inst, json_t *out)
{
  for (uint32_t k = 0; k < inst->log->len; k++)
    {
      const struct grp_entry *e = g_ptr_array_index (inst->log, k);
      json_t *writes = json_array ();

      for (uint32_t w = 0; w < e->n; w++)
        json_array_append_new (writes, json_pack ("[s, s?]", e->writes[w].key,
                                                  e->writes[w].value));
      json_array_append_new (out, json_pack ("{s:I, s:o}", "term",
                                             (json_int_t)e->term, "writes",
                                             writes));
    }
}

static char *
dump (struct instance *i)
{
  struct grp_instance *inst = ups_model_of (i);
  json_t *log = json_array ();
  json_t *root;
  char *text;
  char *copy;

  dump_entries (inst, log);
  root
      = json_pack ("{s:s, s:i, s:I, s:I, s:o}", "name", i->name, "role",
                   (int)inst->role, "term", (json_int_t)inst->term,
                   "granted_term", (json_int_t)inst->granted_term, "log", log);
  text = json_dumps (root, JSON_COMPACT);
  copy = g_strdup_printf ("%s\n", text);
  free (text);
  json_decref (root);
  return copy;
}

static void
set_service (const char *value)
{
  server.service_us = atoll (value);
}

/* Runs the control line "COMMAND INSTANCE [NUMBER]" and returns the reply,
   which the caller frees.  Commands: kill, restart, pause, resume, isolate,
   heal, lag (in ms), silence, lose (the replies of the next n commits),
   lose_before (the connections of the next n commits, before they run), role,
   dump.  The command service has the service time in us in the place of
   INSTANCE and is handled by ups_on_control.  */
static char *
run_control_command (struct instance *i, const char *command, int64_t number)
{
  struct grp_instance *inst = ups_model_of (i);

  if (strcmp (command, "kill") == 0)
    kill_instance (i);
  else if (strcmp (command, "restart") == 0)
    {
      grp_restart (&i->group->model, i->index, server.now_us);
      ups_listen (i);
    }
  else if (strcmp (command, "pause") == 0)
    inst->paused = true;
  else if (strcmp (command, "resume") == 0)
    inst->paused = false;
  else if (strcmp (command, "isolate") == 0)
    inst->isolated = i->cut = true;
  else if (strcmp (command, "heal") == 0)
    inst->isolated = i->cut = false;
  else if (strcmp (command, "lag") == 0)
    inst->lag_us = number * 1000;
  else if (strcmp (command, "silence") == 0)
    silence_conns (i);
  else if (strcmp (command, "lose") == 0)
    i->lose_commit_replies = number;
  else if (strcmp (command, "lose_before") == 0)
    i->lose_before_commit = number;
  else if (strcmp (command, "dump") == 0)
    return dump (i);
  else if (strcmp (command, "role") == 0)
    return g_strdup_printf ("%d %lu %u\n", (int)inst->role, inst->term,
                            inst->log->len);
  else
    return g_strdup ("unknown command\n");
  return g_strdup ("ok\n");
}

static struct instance *
find_instance (const char *name)
{
  for (uint32_t k = 0; k < server.instances->len; k++)
    {
      struct instance *i = g_ptr_array_index (server.instances, k);

      if (strcmp (i->name, name) == 0)
        return i;
    }
  return NULL;
}

/* Each control connection carries one line, which is handled at once.  */
void
ups_on_control (void *arg, uint32_t events)
{
  char line[256] = "";
  char command[32] = "";
  char name[64] = "";
  long long number = 0;
  struct instance *i;
  char *reply;
  size_t sent = 0;
  int fd = accept (server.control.fd, NULL, NULL);

  (void)arg;
  (void)events;
  if (fd < 0)
    return;
  if (recv (fd, line, sizeof line - 1, 0) > 0
      && sscanf (line, "%31s %63s %lld", command, name, &number) >= 2)
    {
      i = find_instance (name);
      if (strcmp (command, "service") == 0)
        set_service (name);
      reply = i ? run_control_command (i, command, number) : g_strdup ("ok\n");
      while (sent < strlen (reply))
        {
          ssize_t n
              = send (fd, reply + sent, strlen (reply) - sent, MSG_NOSIGNAL);

          if (n <= 0)
            break;
          sent += (size_t)n;
        }
      g_free (reply);
    }
  close (fd);
}
