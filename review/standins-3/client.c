/* A client on a blocking connection.  */
#include "client.h"

#include "loop.h"

#include <arpa/inet.h>
#include <poll.h>
#include <stdio.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define START_MS 2000
#define SHOWN_BYTES 48

const char *
cli_describe (const struct cli_answer *a)
{
  static char text[64];

  switch (a->outcome)
    {
    case CLI_OK:
      return "success";
    case CLI_ERROR:
      g_snprintf (text, sizeof text, "ERROR %s", a->code);
      return text;
    case CLI_CLOSED:
      return "connection ended";
    case CLI_SILENT:
      break;
    }
  return "no answer";
}

/* Receives a line without its end into LINE, to be freed.  */
static enum cli_outcome
receive_line (struct cli *c, int64_t until_us, char **line)
{
  char buffer[65536];

  for (;;)
    {
      char *end = memmem (c->in->str, c->in->len, "\r\n", 2);
      struct pollfd p = { .fd = c->fd, .events = POLLIN };
      int64_t left_ms = (until_us - loop_now_us ()) / 1000;
      ssize_t n;

      if (end)
        {
          size_t len = (size_t)(end - c->in->str);

          *line = g_strndup (c->in->str, len);
          g_string_erase (c->in, 0, (gssize)len + 2);
          return CLI_OK;
        }
      if (left_ms <= 0 || poll (&p, 1, (int)left_ms) <= 0)
        return CLI_SILENT;
      n = recv (c->fd, buffer, sizeof buffer, 0);
      if (n <= 0)
        return CLI_CLOSED;
      g_string_append_len (c->in, buffer, n);
    }
}

/* Receives up to and including READY, or the ERROR that refuses a session.  */
static struct cli_answer
receive_answer (struct cli *c, int wait_ms, bool starting)
{
  struct cli_answer a = { .outcome = CLI_OK };
  int64_t until_us = loop_now_us () + (int64_t)wait_ms * 1000;
  bool ready = false;

  while (!ready)
    {
      char *line = NULL;
      enum cli_outcome got = receive_line (c, until_us, &line);

      if (got != CLI_OK)
        {
          a.outcome = got;
          return a;
        }
      if (g_str_has_prefix (line, "DATAROW"))
        a.row_bytes += strlen (line);
      else if (g_str_has_prefix (line, "COMPLETE "))
        g_strlcpy (a.signature, line + 9, sizeof a.signature);
      else if (g_str_has_prefix (line, "ERROR "))
        {
          a.outcome = CLI_ERROR;
          sscanf (line, "ERROR %23s", a.code);
          ready = starting;
        }
      else if (g_str_has_prefix (line, "READY "))
        {
          a.state = line[6];
          ready = true;
        }
      g_free (line);
    }
  return a;
}

static bool
send_text (struct cli *c, const char *text, size_t len)
{
  while (len > 0)
    {
      ssize_t n = send (c->fd, text, len, MSG_NOSIGNAL);

      if (n <= 0)
        return false;
      text += n;
      len -= (size_t)n;
    }
  return true;
}

struct cli *
cli_open (struct dep *d, const struct dep_vm *v, const char *name,
          const char *database, int64_t max_age_us, bool quiet)
{
  struct sockaddr_in a
      = { .sin_family = AF_INET, .sin_port = htons (d->base) };
  struct cli *c = g_new0 (struct cli, 1);
  char *text = g_strdup_printf ("STARTUP %s %s\r\n", database, name);
  struct cli_answer answer = { .outcome = CLI_CLOSED };

  c->dep = d;
  c->vm = v;
  g_strlcpy (c->name, name, sizeof c->name);
  c->max_age_us = max_age_us;
  c->quiet = quiet;
  c->values = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  c->in = g_string_new (NULL);
  c->fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  inet_pton (AF_INET, v->ip, &a.sin_addr);
  if (connect (c->fd, (struct sockaddr *)&a, sizeof a) == 0
      && send_text (c, text, strlen (text)))
    answer = receive_answer (c, START_MS, true);
  if (!quiet || answer.outcome != CLI_OK)
    dep_note (d, "%s at %s: STARTUP %s: %s", name, v->name, database,
              cli_describe (&answer));
  g_free (text);
  if (answer.outcome == CLI_OK)
    return c;
  cli_close (c);
  return NULL;
}

void
cli_close (struct cli *c)
{
  if (!c)
    return;
  close (c->fd);
  g_string_free (c->in, TRUE);
  g_free (c);
}

/* Lets the database model know who sends statement ID.  The values are copied,
   since they are those at this moment.  */
static void
register_sender (struct cli *c, const char *id)
{
  struct dbm_sender *s = g_new0 (struct dbm_sender, 1);
  GHashTableIter iter;
  gpointer name;
  gpointer value;

  s->session = c->name;
  s->values = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  g_hash_table_iter_init (&iter, c->values);
  while (g_hash_table_iter_next (&iter, &name, &value))
    g_hash_table_insert (s->values, g_strdup (name), g_strdup (value));
  s->first_byte_us = loop_now_us ();
  s->max_age_us = c->max_age_us;
  g_mutex_lock (&c->dep->lock);
  g_hash_table_replace (c->dep->senders, g_strdup (id), s);
  g_mutex_unlock (&c->dep->lock);
}

struct cli_answer
cli_query (struct cli *c, const char *text, int wait_ms)
{
  char *id = g_strdup_printf ("%s.%u", c->name, ++c->sent);
  char *message = g_strdup_printf ("QUERY %s %s\r\n", id, text);
  struct cli_answer a = { .outcome = CLI_CLOSED };
  bool runs
      = g_str_has_prefix (text, "READ ") || g_str_has_prefix (text, "WRITE ");

  if (runs)
    register_sender (c, id);
  if (!c->quiet)
    dep_note (c->dep, "%s sends %s %.*s%s (%zu bytes)", c->name, id,
              SHOWN_BYTES, text, strlen (text) > SHOWN_BYTES ? ".." : "",
              strlen (message));
  if (send_text (c, message, strlen (message)))
    a = receive_answer (c, wait_ms, false);
  if (!c->quiet || (a.outcome != CLI_OK && a.outcome != CLI_ERROR))
    dep_note (c->dep, "%s is answered %s: %s", c->name, id, cli_describe (&a));
  g_free (message);
  g_free (id);
  return a;
}

struct cli_answer
cli_set (struct cli *c, const char *name, size_t bytes, int wait_ms)
{
  char *value = g_strnfill (bytes, 'v');
  char *text = g_strdup_printf ("SET %s %s", name, value);
  struct cli_answer a = cli_query (c, text, wait_ms);

  if (a.outcome == CLI_OK)
    g_hash_table_replace (c->values, g_strdup (name), value);
  else
    g_free (value);
  g_free (text);
  return a;
}
