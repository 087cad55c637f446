/* Case 8: a promotion that the platform carries out late, after the failover
   that ordered it was given up.  */
#include "deployment.h"

#include <stdlib.h>
#include <string.h>

/* Instance 0 is the primary.  It is silent for this time: long enough that a
   failover begins, short enough that it is back when the failover ends.  */
#define DARK_AT_US 4000000
#define DARK_FOR_US 2500000
/* The platform is in trouble for this time from the first promotion call on:
   it leaves that call unanswered and carries it out later, and turns further
   ones away.  */
#define TROUBLE_FOR_US 2000000
#define CARRIED_OUT_AFTER_US 8000000
#define NO_ANSWER_US 3000000
#define RUN_US 22000000

struct late_call
{
  bool pending;
  bool done;
  int64_t due_us;
  uint64_t token;
  char instance[32];
};

static struct wld *world;
static struct late_call late;
static int64_t trouble_since_us;

static int
promote (const char *instance, uint64_t token)
{
  bool good;

  g_mutex_lock (&world->lock);
  good = dbm_promote (world->db, instance, token, loop_now_us ());
  g_mutex_unlock (&world->lock);
  return good ? 200 : 409;
}

static int
on_promote (void *arg, const char *service, const char *instance,
            uint64_t token)
{
  bool trouble = getenv ("TROUBLE") && strcmp (getenv ("TROUBLE"), "0") != 0;
  int status = 503;

  (void)arg;
  (void)service;
  if (trouble && trouble_since_us == 0)
    {
      trouble_since_us = loop_now_us ();
      late.token = token;
      g_strlcpy (late.instance, instance, sizeof late.instance);
      late.due_us = loop_now_us () + CARRIED_OUT_AFTER_US;
      late.pending = true;
      wld_record (world, "platform promote %s token %lu: no answer", instance,
                  (unsigned long)token);
      g_usleep (NO_ANSWER_US);
      return 503;
    }
  if (!trouble || loop_now_us () - trouble_since_us > TROUBLE_FOR_US)
    status = promote (instance, token);
  wld_record (world, "platform promote %s token %lu: %d", instance,
              (unsigned long)token, status);
  return status;
}

static void
record_logs (void)
{
  for (uint32_t k = 0; k < WLD_INSTANCES; k++)
    {
      const struct dbm_instance *i = &world->db->instances[k];
      struct logpos p = dbm_received (i);

      wld_record (world, "instance %s: %s, received %u.%lu", i->id,
                  i->primary ? "primary" : "replica", p.term,
                  (unsigned long)p.number);
    }
}

static void
carry_out_late_call (void)
{
  int status;

  if (!late.pending || late.done || loop_now_us () < late.due_us)
    return;
  late.done = true;
  record_logs ();
  status = promote (late.instance, late.token);
  wld_record (world, "platform carries out the late promote %s token %lu: %d",
              late.instance, (unsigned long)late.token, status);
  record_logs ();
}

static void
set_dark (bool dark)
{
  struct lsv *primary = world->servers[0];

  wld_record (world, "the primary %s", dark ? "is silent" : "is back");
  /* It comes back without its former connections.  */
  if (!dark)
    lsv_crash (primary);
  lsv_faults (primary)->unresponsive = dark;
}

int
main (int argc, char **argv)
{
  struct wld_options o = { 0 };
  bool trouble = getenv ("TROUBLE") && strcmp (getenv ("TROUBLE"), "0") != 0;
  bool dark = false;
  int64_t begin_us;

  if (argc != 4)
    return 2;
  o.program = argv[1];
  o.dir = argv[2];
  o.record = fopen (argv[3], "w");
  o.n_proxies = 3;
  o.n_callers = 12;
  o.pause_us = 40000;
  o.memory_mb = 260;
  o.fds_max = 4200;
  o.sync_replicas = 1;
  o.far_delay_us = 20000;
  o.promote = on_promote;
  if (!o.record)
    return 2;
  world = wld_new (&o);
  wld_await_ready (world);
  wld_start_callers (world);
  begin_us = wld_now_us (world);
  while (wld_now_us (world) - begin_us < RUN_US)
    {
      int64_t t_us = wld_now_us (world) - begin_us;
      bool now_dark
          = trouble && t_us >= DARK_AT_US && t_us < DARK_AT_US + DARK_FOR_US;

      if (now_dark != dark)
        set_dark (now_dark);
      dark = now_dark;
      wld_step (world);
      carry_out_late_call ();
    }
  wld_stop (world);
  if (world->db->violations > 0)
    {
      wld_record (world, "LOST: %s", world->db->first_violation);
      printf ("LOST: %s\n", world->db->first_violation);
      return 1;
    }
  wld_record (world, "held: %u of %u statements succeeded", world->n_ok,
              world->n_sent);
  printf ("held: %u of %u statements succeeded%s\n", world->n_ok,
          world->n_sent, trouble && !late.done ? "; no late call" : "");
  return world->n_ok > 100 && (!trouble || late.done) ? 0 : 2;
}
