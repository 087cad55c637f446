/* Two forms of one course of events at a database without sync replicas.  Its
   replicas receive nothing for a while, and the primary crashes and comes back
   with its log some seconds later.  Meanwhile others lead newer terms, and are
   dark when it returns.  The log of the first term must not be promoted then:
   a commit that the reads of the newer terms lacked would be there again.

   "terms": the other two instances lead one after the other.
   "restart": one leads, both go dark, and proxies are killed.  */
#include "client.h"

#include "loop.h"

#include <stdio.h>
#include <string.h>

#define VMS 9
#define MEMORY_MB 260
#define CONNECTIONS 16
#define WRITERS 3
#define READERS 6
#define WAIT_MS 2500
#define READER_PAUSE_US 20000
#define WRITER_PAUSE_US 120000
#define KILLED 5
/* How long an instance is away, the replicas receive nothing before the crash,
   a new primary leads, and until proxies are killed.  */
#define AWAY_S 7.0
#define DEAF_S 2.5
#define LEAD_S 1.2
#define KILL_AFTER_S 0.6

static gint stopping;
static gint served;

struct worker
{
  struct dep *dep;
  uint32_t number;
  bool writes;
};

/* Runs one statement after the other, on a new session whenever one ends.  */
static gpointer
work (gpointer arg)
{
  struct worker *w = arg;
  const struct dep_vm *v = &w->dep->vms[w->number % VMS];
  struct cli *c = NULL;

  for (uint32_t n = 0; !g_atomic_int_get (&stopping); n++)
    {
      char name[32];
      char id[48];
      struct cli_answer a;

      g_snprintf (name, sizeof name, "%s-%u-%u",
                  w->writes ? "writer" : "reader", w->number, n);
      g_usleep (w->writes ? WRITER_PAUSE_US : READER_PAUSE_US);
      if (!c)
        c = cli_open (w->dep, v, name, DEP_FRESH, 0, true);
      if (!c)
        continue;
      a = cli_query (c, w->writes ? "WRITE a1 data" : "READ a1", WAIT_MS);
      g_snprintf (id, sizeof id, "%s.%u", c->name, c->sent);
      if (a.outcome == CLI_OK)
        g_atomic_int_inc (&served);
      if (a.outcome == CLI_OK && w->writes)
        {
          g_mutex_lock (&w->dep->lock);
          dbm_report_committed (w->dep->group, id, loop_now_us ());
          g_mutex_unlock (&w->dep->lock);
        }
      if (a.outcome != CLI_OK && a.outcome != CLI_ERROR)
        {
          cli_close (c);
          c = NULL;
        }
    }
  return NULL;
}

static void
start_workers (struct dep *d)
{
  for (uint32_t n = 0; n < WRITERS + READERS; n++)
    {
      struct worker *w = g_new0 (struct worker, 1);

      w->dep = d;
      w->number = n;
      w->writes = n < WRITERS;
      g_thread_unref (g_thread_new ("client", work, w));
    }
}

static void
sleep_s (double seconds)
{
  g_usleep ((gulong)(seconds * 1000000));
}

/* The replicas receive nothing, or receive again.  */
static void
set_deaf (struct dep *d, bool deaf)
{
  g_mutex_lock (&d->lock);
  for (uint32_t k = 0; k < DEP_INSTANCES; k++)
    if (!d->group->instances[k].primary && d->states[k] == INS_UP)
      d->group->instances[k].isolated = deaf;
  g_mutex_unlock (&d->lock);
  dep_note (d, deaf ? "the replicas receive nothing" : "they receive again");
}

/* Takes the primary away; it keeps its log.  Returns its number.  */
static uint32_t
stop_primary (struct dep *d, enum ins_state state)
{
  struct dbm_instance *i;

  g_mutex_lock (&d->lock);
  i = dbm_primary (d->group);
  i->isolated = true;
  dep_note (d, "%s leads with %u.%lu", i->id, dbm_received (i).term,
            (unsigned long)dbm_received (i).number);
  g_mutex_unlock (&d->lock);
  ins_set_state (d, i->index, state);
  return i->index;
}

/* Waits until N promotions were carried out.  */
static void
await_promotion (struct dep *d, uint32_t n)
{
  for (int k = 0; k < 100 && d->promotions < n; k++)
    sleep_s (0.05);
  if (d->promotions < n)
    dep_give_up (d, "no replica was promoted");
}

/* Waits until AWAY_S after SINCE_US.  */
static void
await_return (int64_t since_us)
{
  int64_t left_us = since_us + (int64_t)(AWAY_S * 1000000) - loop_now_us ();

  if (left_us > 0)
    g_usleep ((gulong)left_us);
}

/* The instances that are up take over the log of the primary, if it is up.  */
static void
rejoin (struct dep *d)
{
  struct dbm_instance *primary;

  g_mutex_lock (&d->lock);
  primary = dbm_primary (d->group);
  for (uint32_t k = 0; k < DEP_INSTANCES; k++)
    {
      struct dbm_instance *i = &d->group->instances[k];

      if (d->states[k] != INS_UP || d->states[primary->index] != INS_UP)
        continue;
      i->isolated = false;
      if (i == primary)
        continue;
      g_ptr_array_set_size (i->log, 0);
      for (guint n = 0; n < primary->log->len; n++)
        g_ptr_array_add (i->log, g_ptr_array_index (primary->log, n));
    }
  g_mutex_unlock (&d->lock);
}

/* Instance K is back after it was dark.  */
static void
bring_back (struct dep *d, uint32_t k, int64_t since_us)
{
  await_return (since_us);
  ins_set_state (d, k, INS_UP);
  rejoin (d);
}

static void
play_terms (struct dep *d)
{
  uint32_t away[3];
  int64_t since_us[3];

  set_deaf (d, true);
  sleep_s (DEAF_S);
  since_us[0] = loop_now_us ();
  away[0] = stop_primary (d, INS_DOWN);
  await_promotion (d, 1);
  set_deaf (d, false);
  sleep_s (LEAD_S);
  since_us[1] = loop_now_us ();
  away[1] = stop_primary (d, INS_DARK);
  await_promotion (d, 2);
  sleep_s (LEAD_S);
  since_us[2] = loop_now_us ();
  away[2] = stop_primary (d, INS_DARK);
  await_return (since_us[0]);
  ins_set_state (d, away[0], INS_UP);
  bring_back (d, away[1], since_us[1]);
  bring_back (d, away[2], since_us[2]);
}

static void
play_restart (struct dep *d)
{
  int64_t crashed_us;
  int64_t dark_us;
  uint32_t first;

  set_deaf (d, true);
  sleep_s (DEAF_S);
  crashed_us = loop_now_us ();
  first = stop_primary (d, INS_DOWN);
  await_promotion (d, 1);
  set_deaf (d, false);
  sleep_s (LEAD_S);
  dark_us = loop_now_us ();
  for (uint32_t k = 0; k < DEP_INSTANCES; k++)
    if (k != first)
      {
        d->group->instances[k].isolated = true;
        ins_set_state (d, k, INS_DARK);
      }
  sleep_s (KILL_AFTER_S);
  for (uint32_t n = 0; n < KILLED; n++)
    dep_restart (d, &d->vms[n]);
  await_return (crashed_us);
  ins_set_state (d, first, INS_UP);
  for (uint32_t k = 0; k < DEP_INSTANCES; k++)
    if (k != first)
      bring_back (d, k, dark_us);
}

/* Returns a commit that was acknowledged before the first byte of R, that the
   log of R lacked and that is in the log in the end, or NULL.  */
static const struct dbm_entry *
find_missed (const struct dep_read *r, const GPtrArray *log)
{
  for (guint n = 0; n < log->len; n++)
    {
      const struct dbm_entry *e = g_ptr_array_index (log, n);

      if (e->acked_us > 0 && e->acked_us < r->first_byte_us
          && !g_ptr_array_find (r->log, e, NULL))
        return e;
    }
  return NULL;
}

/* Returns how many acknowledged commits the log LOG lacks.  */
static uint32_t
count_lost (const struct dbm *g, const GPtrArray *log)
{
  uint32_t n = 0;

  for (guint k = 0; k < g->entries->len; k++)
    {
      struct dbm_entry *e = g_ptr_array_index (g->entries, k);

      n += e->acked_us > 0 && !g_ptr_array_find ((GPtrArray *)log, e, NULL);
    }
  return n;
}

static void
judge (struct dep *d)
{
  const GPtrArray *log;
  char result[320];
  uint32_t stale = 0;

  g_mutex_lock (&d->lock);
  log = dbm_primary (d->group)->log;
  for (guint n = 0; n < d->reads->len; n++)
    {
      const struct dep_read *r = g_ptr_array_index (d->reads, n);
      const struct dbm_entry *e = find_missed (r, log);

      if (!e)
        continue;
      if (stale++ < 20)
        dep_note (d, "STALE: read %s at %s, log of %u commits, lacks %u.%lu",
                  r->id, r->instance->id, r->log->len, e->position.term,
                  (unsigned long)e->position.number);
    }
  g_snprintf (result, sizeof result,
              "%u promotions; %u of %u reads lacked a commit; %u acknowledged "
              "commits are not in the log at the end",
              d->promotions, stale, d->reads->len, count_lost (d->group, log));
  g_mutex_unlock (&d->lock);
  dep_finish (d, stale > 0, result);
}

int
main (int argc, char **argv)
{
  struct dep_options o = { .n_vms = VMS,
                           .memory_mb = MEMORY_MB,
                           .connections = CONNECTIONS,
                           .keeps_reads = true,
                           .trouble = dep_has_trouble () };
  struct dep *d;

  if (argc < 3)
    return 2;
  o.record = argv[1];
  d = dep_start (&o);
  start_workers (d);
  sleep_s (4);
  if (!o.trouble)
    sleep_s (AWAY_S);
  else if (strcmp (argv[2], "terms") == 0)
    play_terms (d);
  else
    play_restart (d);
  sleep_s (3);
  g_atomic_int_set (&stopping, 1);
  sleep_s (0.5);
  if (!o.trouble && g_atomic_int_get (&served) < 100)
    dep_give_up (d, "few statements were served without trouble");
  judge (d);
}
