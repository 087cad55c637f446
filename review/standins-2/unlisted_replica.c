/* Case 9: proxies that start while a replica's entry is away.  The replica
   counts for the commits of the primary, but no proxy knows of it.  */
#include "deployment.h"

#include <stdlib.h>
#include <string.h>

/* The near replica (index 2) is partitioned from the store, and only from it.
   Its entry goes after three heartbeats of 1.2 s without a sign of it, and is
   back with the first heartbeat after the cut.  */
#define STORE_CUT_AT_US 4000000
#define STORE_CUT_FOR_US 5000000
#define HEARTBEAT_US 1200000
#define ENTRY_GONE_AT_US (STORE_CUT_AT_US + 3 * HEARTBEAT_US)
#define ENTRY_BACK_AT_US (STORE_CUT_AT_US + STORE_CUT_FOR_US + HEARTBEAT_US)
#define RESTART_AT_US (ENTRY_GONE_AT_US + 20000)
/* From so long after the proxies are ready again the other replica receives
   nothing, and then the primary crashes meanwhile.  */
#define DEAF_AFTER_US 200000
#define CRASH_AFTER_US 600000
#define DEAF_FOR_US 3000000
#define CRASH_FOR_US 5000000
#define RUN_US 18000000

static struct wld *world;

static void
set_entry (bool listed)
{
  struct dbm_instance *i = &world->db->instances[2];
  char *key = g_strconcat ("servers/", i->id, NULL);

  if (listed == (world->unlisted < 0))
    {
      g_free (key);
      return;
    }
  world->unlisted = listed ? -1 : 2;
  if (!listed)
    kvs_put (world->store, key, NULL);
  wld_record (world, "the entry of %s %s", i->id,
              listed ? "is back" : "has lapsed");
  g_free (key);
}

static void
set_deaf (bool on)
{
  if (world->far_is_deaf == on)
    return;
  world->far_is_deaf = on;
  wld_record (world, "instance %s %s", world->db->instances[1].id,
              on ? "receives nothing" : "receives again");
}

int
main (int argc, char **argv)
{
  struct wld_options o = { 0 };
  bool trouble = getenv ("TROUBLE") && strcmp (getenv ("TROUBLE"), "0") != 0;
  bool restarted = false;
  bool crashed = false;
  int64_t ready_us = 0;
  int64_t crash_us = 0;
  int64_t begin_us;

  if (argc != 4)
    return 2;
  o.program = argv[1];
  o.dir = argv[2];
  o.record = fopen (argv[3], "w");
  o.n_proxies = 4;
  o.n_callers = 12;
  o.pause_us = 40000;
  o.memory_mb = 260;
  o.fds_max = 4200;
  o.sync_replicas = 1;
  o.far_delay_us = 20000;
  if (!o.record)
    return 2;
  world = wld_new (&o);
  wld_await_ready (world);
  wld_start_callers (world);
  begin_us = wld_now_us (world);
  while (wld_now_us (world) - begin_us < RUN_US)
    {
      int64_t t_us = wld_now_us (world) - begin_us;

      if (trouble)
        set_entry (t_us < ENTRY_GONE_AT_US || t_us >= ENTRY_BACK_AT_US);
      if (trouble && !restarted && t_us >= RESTART_AT_US)
        {
          restarted = true;
          wld_restart_proxies (world);
        }
      if (restarted && ready_us == 0 && wld_is_ready (world))
        {
          ready_us = t_us;
          wld_record (world, "all proxies are ready again");
        }
      set_deaf (ready_us > 0 && t_us >= ready_us + DEAF_AFTER_US
                && t_us < ready_us + DEAF_AFTER_US + DEAF_FOR_US);
      if (ready_us > 0 && crash_us == 0 && t_us >= ready_us + CRASH_AFTER_US)
        {
          crash_us = t_us;
          crashed = true;
          wld_record (world, "the primary crashes");
          lsv_crash (world->servers[0]);
          lsv_faults (world->servers[0])->unresponsive = true;
        }
      if (crashed && t_us >= crash_us + CRASH_FOR_US)
        {
          crashed = false;
          wld_record (world, "the primary is back");
          lsv_crash (world->servers[0]);
          lsv_faults (world->servers[0])->unresponsive = false;
        }
      wld_step (world);
    }
  wld_stop (world);
  if (world->db->violations > 0)
    {
      wld_record (world, "LOST: %s", world->db->first_violation);
      printf ("LOST: %s\n", world->db->first_violation);
      return 1;
    }
  wld_record (world, "held: %u of %u statements succeeded, %u promotions",
              world->n_ok, world->n_sent, world->db->promotions);
  printf ("held: %u of %u statements succeeded, %u promotions\n", world->n_ok,
          world->n_sent, world->db->promotions);
  return world->n_ok > 100 ? 0 : 2;
}
