/* Generates random fault schedules from seeds, runs each in the simulated
   world and checks the history of its calls.

   explore FIRST COUNT runs the seeds FIRST to FIRST+COUNT-1.  For a failing
   seed, prints a schedule reduced to the steps that are needed to fail.  */
#include "fault.h"
#include "history.h"

#include <sodium.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define STEPS_MAX 10
#define PAUSE_MIN_US 100000
#define PAUSE_MAX_US 2500000

struct step
{
  const struct fault *fault;
  int64_t n;
  int64_t pause_us;
  bool dropped;
};

struct schedule
{
  uint64_t seed;
  uint32_t n;
  struct step steps[STEPS_MAX];
};

static uint32_t
count_faults (void)
{
  uint32_t n = 0;

  while (fault_table[n].name)
    n++;
  return n;
}

static void
generate_schedule (struct schedule *s, uint64_t seed)
{
  GRand *random = g_rand_new_with_seed ((guint32)(seed ^ 0x9e3779b9U));
  uint32_t faults = count_faults ();

  memset (s, 0, sizeof *s);
  s->seed = seed;
  s->n = (uint32_t)g_rand_int_range (random, 1, STEPS_MAX + 1);
  for (uint32_t i = 0; i < s->n; i++)
    {
      struct step *step = &s->steps[i];

      step->fault = &fault_table[g_rand_int_range (random, 0, (gint32)faults)];
      step->n = g_rand_int_range (random, 0, (gint32)step->fault->n_limit);
      /* One third of the faults coincide with the next.  */
      step->pause_us
          = g_rand_int_range (random, 0, 3) == 0
                ? 0
                : g_rand_int_range (random, PAUSE_MIN_US, PAUSE_MAX_US);
    }
  g_rand_free (random);
}

/* Runs the schedule.  Returns the violations as text, "" when there is none,
   freed by the caller, and in DONE the number of calls that were done.  */
static char *
run_schedule (const struct schedule *s, uint32_t *done)
{
  struct world_options o;
  struct history h;
  struct world *w;
  char *violations;

  world_set_deployment (&o, s->seed % 2 == 1, s->seed);
  w = world_new (&o);
  world_run (w, 4000000);
  history_init (&h, w, 12);
  history_run (&h, 500000);
  for (uint32_t i = 0; i < s->n; i++)
    if (!s->steps[i].dropped)
      {
        s->steps[i].fault->run (w, s->steps[i].n);
        history_run (&h, s->steps[i].pause_us);
      }
  fault_heal_all (w);
  history_run (&h, 8000000);
  violations = g_strdup (history_check (&h));
  /* All faults are healed, so every group must have a primary again.  A run in
     which no call was done fails too.  */
  if (h.done == 0)
    {
      g_free (violations);
      violations = g_strdup ("no call was done during the whole run\n");
    }
  *done = h.done;
  history_free (&h);
  world_free (w);
  return violations;
}

/* Drops, one after the other, each step without which the schedule still
   fails.  */
static void
reduce_schedule (struct schedule *s)
{
  uint32_t done;
  char *violations;

  for (uint32_t i = 0; i < s->n; i++)
    {
      s->steps[i].dropped = true;
      violations = run_schedule (s, &done);
      if (violations[0] == '\0')
        s->steps[i].dropped = false;
      g_free (violations);
    }
}

static void
print_schedule (const struct schedule *s)
{
  for (uint32_t i = 0; i < s->n; i++)
    if (!s->steps[i].dropped)
      printf ("  %s %ld, then %ld ms\n", s->steps[i].fault->name,
              s->steps[i].n, s->steps[i].pause_us / 1000);
}

int
main (int argc, char **argv)
{
  uint64_t first = argc > 1 ? strtoull (argv[1], NULL, 10) : 1;
  uint64_t count = argc > 2 ? strtoull (argv[2], NULL, 10) : 100;
  uint64_t failed = 0;
  uint64_t total_done = 0;
  struct schedule s;
  uint32_t done;

  if (sodium_init () < 0)
    return 1;
  for (uint64_t seed = first; seed < first + count; seed++)
    {
      char *violations;

      generate_schedule (&s, seed);
      violations = run_schedule (&s, &done);
      total_done += done;
      if (violations[0] != '\0')
        {
          failed++;
          printf ("seed %lu:\n", seed);
          reduce_schedule (&s);
          print_schedule (&s);
          g_free (violations);
          violations = run_schedule (&s, &done);
          printf ("%s", violations);
          fflush (stdout);
        }
      g_free (violations);
    }
  printf ("schedules=%lu failed=%lu requests_done=%lu\n", count, failed,
          total_done);
  return failed > 0;
}
