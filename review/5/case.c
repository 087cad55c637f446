/* The settings files of all proxies change: graceS becomes 6.5.  Later a
   configuration is acknowledged, all proxies are killed, and the platform
   starts them again with the settings in effect.  */
#include "load.h"

#include <signal.h>

#define PROXIES 2
#define SESSIONS 8
#define HUP_AT_MS 3000
#define FAULT_AT_MS 8000
#define DOWN_MS 1000
#define RECOVERY_MS 12000
#define MEASURE_MS 8000
#define PAUSE_MS 200
#define DEADLINE_MS 3000

int
main (int argc, char **argv)
{
  const struct st_options options = {
    "svc0", "db0", "bounded_stale", 1500, 600, 16, 2, 3, NULL, 0, false
  };
  int64_t start_ms;
  int64_t back_ms;
  int before;
  int before_served;
  int after;
  int after_served;

  st_init (argc, argv);
  st_start_platform (&options);
  for (int n = 0; n < PROXIES; n++)
    st_start_proxy (n);
  start_ms = st_now_ms ();
  load_start (SESSIONS, PROXIES, PAUSE_MS, DEADLINE_MS);
  st_sleep_until_ms (start_ms + HUP_AT_MS);
  for (int n = 0; st_trouble () && n < PROXIES; n++)
    {
      st_set_grace (n, "6.5");
      kill (st_proxy_pid (n), SIGHUP);
      st_record ("proxy %d: SIGHUP", n);
    }
  st_sleep_until_ms (start_ms + FAULT_AT_MS);
  back_ms = load_kill_all (PROXIES, DOWN_MS,
                           start_ms + FAULT_AT_MS + DOWN_MS + RECOVERY_MS
                               + MEASURE_MS);
  st_sleep_until_ms (back_ms + RECOVERY_MS + MEASURE_MS);
  load_stop ();
  before = load_count (start_ms, start_ms + FAULT_AT_MS - 500, &before_served);
  after = load_count (back_ms + RECOVERY_MS,
                      back_ms + RECOVERY_MS + MEASURE_MS, &after_served);
  st_record ("before the fault %d of %d requests were served", before_served,
             before);
  st_record ("later than %d ms after the machines are back %d of %d were",
             RECOVERY_MS, after_served, after);
  if (before_served * 4 < before || after == 0)
    st_finish (ST_NOT_RUN);
  st_finish (after_served * 4 < after ? ST_BROKEN : ST_HELD);
}
