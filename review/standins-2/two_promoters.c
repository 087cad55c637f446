/* Case 7: a planned replacement of the primary, ordered by two proxies at the
   same time, as the store turns one of them away.  */
#include "deployment.h"
#include "rendezvous.h"

#include <stdlib.h>
#include <string.h>

/* The primary is replaced so often; the times count from the start of each
   round.  */
#define ROUNDS 3
#define ROUND_US 16000000
#define RELEASE_AT_US 5000000
#define RELEASED_AT_US 13000000
/* The store turns the holder of the claim away from shortly before the release
   on.  */
#define TURNED_AWAY_AT_US 4000000
#define TURNED_AWAY_FOR_US 7000000
/* The other replica loses its path to one proxy.  */
#define PATH_CUT_AT_US 4800000
#define PATH_CUT_FOR_US 5000000
/* The named instance leads so long after the call.  */
#define PROMOTE_US 300000

struct promotion
{
  int64_t due_us;
  uint64_t token;
  char instance[32];
};

static struct wld *world;
static struct wld_proxy *holder; /* of the claim, at the start of a round */
static struct dbm_instance *leaving;     /* the primary that is replaced */
static struct dbm_instance *other;       /* the replica that isn't to lead */
static GQueue promotions = G_QUEUE_INIT; /* struct promotion *, in order */
static uint64_t fence;

static int
on_promote (void *arg, const char *service, const char *instance,
            uint64_t token)
{
  struct promotion *p;
  bool refused;

  (void)arg;
  (void)service;
  g_mutex_lock (&world->lock);
  refused = token < fence;
  if (!refused)
    {
      fence = token;
      p = g_new0 (struct promotion, 1);
      p->due_us = loop_now_us () + PROMOTE_US;
      p->token = token;
      g_strlcpy (p->instance, instance, sizeof p->instance);
      g_queue_push_tail (&promotions, p);
    }
  g_mutex_unlock (&world->lock);
  wld_record (world, "platform promote %s token %lu: %d", instance,
              (unsigned long)token, refused ? 409 : 200);
  return refused ? 409 : 200;
}

static void
record_logs (void)
{
  for (uint32_t k = 0; k < WLD_INSTANCES; k++)
    {
      const struct dbm_instance *i = &world->db->instances[k];
      struct logpos p = dbm_received (i);

      wld_record (world, "instance %s: %s%s%s, received %u.%lu", i->id,
                  i->primary ? "primary" : "replica",
                  i->draining ? ", draining" : "", i->paused ? ", paused" : "",
                  p.term, (unsigned long)p.number);
    }
}

static void
carry_out_promotions (void)
{
  struct promotion *p;
  bool good;

  g_mutex_lock (&world->lock);
  p = g_queue_peek_head (&promotions);
  if (p && loop_now_us () >= p->due_us)
    {
      g_queue_pop_head (&promotions);
      record_logs ();
      good = dbm_promote (world->db, p->instance, p->token, loop_now_us ());
      wld_record (world, "%s %s", p->instance,
                  good ? "leads" : "does not lead");
      g_free (p);
    }
  g_mutex_unlock (&world->lock);
}

/* Returns the proxy with the highest hash for the service, the holder left
   out: it acts after the holder.  */
static struct wld_proxy *
find_next (const struct wld_proxy *left_out)
{
  struct wld_proxy *best = NULL;

  for (uint32_t n = 0; n < world->o.n_proxies; n++)
    {
      struct wld_proxy *p = &world->proxies[n];

      if (p != left_out
          && (!best
              || rdv_weight (WLD_SERVICE, p->name)
                     > rdv_weight (WLD_SERVICE, best->name)))
        best = p;
    }
  return best;
}

static void
set_turned_away (bool on)
{
  struct wld_proxy *p = holder;

  if (p->store_resets == on)
    return;
  p->store_resets = on;
  wld_record (world, "the store %s %s", on ? "turns away" : "serves again",
              p->name);
}

static void
set_path_cut (bool on)
{
  static bool is_on;
  struct wld_proxy *p = find_next (holder);

  if (is_on == on)
    return;
  is_on = on;
  cpt_cut (world->paths[other->index], on ? p->pid : 0);
  wld_record (world, "the path between %s and %s is %s", p->name, other->id,
              on ? "cut" : "back");
}

/* The proxies promote the first of two replicas that have received as much. */
static void
choose_roles (void)
{
  holder = wld_find_holder (world);
  leaving = dbm_primary (world->db);
  other = &world->db->instances[leaving->index == 2 ? 1 : 2];
}

/* The instance that was replaced ends, and a new one with its log is at its
   address.  */
static void
set_draining (bool on)
{
  if (leaving->draining == on)
    return;
  leaving->draining = on;
  wld_record (world, "%s %s", leaving->id,
              on ? "reports draining" : "has started again");
  if (!on)
    lsv_crash (world->servers[leaving->index]);
}

static bool
is_within (int64_t t_us, int64_t at_us, int64_t for_us)
{
  return t_us >= at_us && t_us < at_us + for_us;
}

int
main (int argc, char **argv)
{
  struct wld_options o = { 0 };
  bool trouble = getenv ("TROUBLE") && strcmp (getenv ("TROUBLE"), "0") != 0;
  bool chosen = false;
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
  o.promote = on_promote;
  if (!o.record)
    return 2;
  world = wld_new (&o);
  wld_await_ready (world);
  wld_start_callers (world);
  begin_us = wld_now_us (world);
  while (wld_now_us (world) - begin_us < ROUNDS * ROUND_US
         && world->db->violations == 0)
    {
      int64_t t_us = (wld_now_us (world) - begin_us) % ROUND_US;

      if (t_us < TURNED_AWAY_AT_US)
        chosen = false;
      else if (!chosen)
        {
          choose_roles ();
          chosen = true;
        }
      if (!chosen || !holder)
        {
          wld_step (world);
          continue;
        }
      /* The release is planned work and happens with TROUBLE=0 too.  */
      set_draining (t_us >= RELEASE_AT_US && t_us < RELEASED_AT_US);
      set_turned_away (
          trouble && is_within (t_us, TURNED_AWAY_AT_US, TURNED_AWAY_FOR_US));
      set_path_cut (trouble
                    && is_within (t_us, PATH_CUT_AT_US, PATH_CUT_FOR_US));
      wld_step (world);
      carry_out_promotions ();
    }
  record_logs ();
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
  return world->n_ok > 100 && world->db->promotions > 0 ? 0 : 2;
}
