/* A client sends one message, a write whose data has a bare LF in it, followed
   by what would be a message of its own.  Only CR LF ends a message.  The
   instance must run the write with its data unchanged, or nothing.  */
#include "stand.h"

#include <stdio.h>
#include <string.h>

int
main (int argc, char **argv)
{
  const struct st_options options
      = { "svc0", "db0", "primary", 800, 300, 16, 2, 3, NULL };
  const char *data = st_trouble ()
                         ? "lepu\nQUERY 00000000000000bb WRITE 2b5 paid"
                         : "lepu QUERY 00000000000000bb WRITE 2b5 paid";
  char line[256];
  char sent[200];
  char text[ST_TEXT_MAX];
  struct st_client c;
  struct st_answer a;
  bool broken = false;

  st_init (argc, argv);
  st_start_platform (&options);
  st_start_proxy (0);
  st_connect (&c, 0, NULL);
  snprintf (sent, sizeof sent, "WRITE 1a4 %s", data);
  snprintf (line, sizeof line, "QUERY 00000000000000aa %s\r\n", sent);
  st_record ("client: sends one message of %zu bytes, id 00000000000000aa: "
             "\"%s\"",
             strlen (line), sent);
  st_send (&c, line, strlen (line));
  st_answer (&c, st_now_ms () + 3000, &a);
  st_record ("client: first answer: %s \"%s\"",
             a.complete ? "complete" : "none", a.end);
  st_answer (&c, st_now_ms () + 1500, &a);
  st_record ("client: second answer: %s \"%s\"",
             a.complete ? "complete" : "none", a.end);
  if (st_has_run ("00000000000000aa", text, sizeof text)
      && strcmp (text, sent) != 0)
    {
      st_record ("00000000000000aa ran with changed text: \"%s\"", text);
      broken = true;
    }
  if (st_has_run ("00000000000000bb", text, sizeof text))
    {
      st_record ("00000000000000bb ran, which no client sent: \"%s\"", text);
      broken = true;
    }
  st_finish (broken ? ST_BROKEN : ST_HELD);
}
