/* A proxy gets SIGTERM.  An idle session, still open, sends a write 3.4 s
   later, which the instance answers 2.3 s after that: 5.7 s after SIGTERM,
   inside the grace period of 6 s and inside the route's timeout of 3 s.  */
#include "stand.h"

#include <signal.h>
#include <string.h>

#define SEND_AFTER_MS 3400
#define WORK_MS 2300

static void
plan (const char *instance, const char *id, const char *text,
      struct st_plan *p)
{
  (void)instance;
  (void)text;
  if (strcmp (id, "q2") == 0)
    p->work_ms = WORK_MS;
}

int
main (int argc, char **argv)
{
  const struct st_options options
      = { "svc0", "db0", "primary", 3000, 1200, 55, 5, 3, plan, 0, false };
  struct st_client c;
  struct st_answer a;
  int64_t stop_ms;

  st_init (argc, argv);
  st_start_platform (&options);
  st_start_proxy (0);
  st_connect (&c, 0);
  st_query (&c, "q1", "WRITE 1a4 lepu");
  st_answer (&c, st_now_ms () + 5000, &a);
  if (!a.complete || !a.ok)
    st_finish (ST_NOT_RUN);
  stop_ms = st_now_ms ();
  if (st_trouble ())
    {
      kill (st_proxy_pid (0), SIGTERM);
      st_record ("proxy 0: SIGTERM");
    }
  st_sleep_until_ms (stop_ms + SEND_AFTER_MS);
  st_query (&c, "q2", "WRITE 1a4 huno");
  st_answer (&c, st_now_ms () + 6000, &a);
  st_record ("client: q2 %s%s, \"%s\", %ld ms after SIGTERM",
             a.complete ? "answered" : "not answered",
             a.ended ? ", the connection ended" : "", a.end,
             (long)(st_now_ms () - stop_ms));
  st_sleep_until_ms (stop_ms + SEND_AFTER_MS + WORK_MS + 300);
  st_finish (a.complete ? ST_HELD : ST_BROKEN);
}
