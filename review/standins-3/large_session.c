/* One client with large session values, each message below 1 MiB and each SET
   acknowledged, that then runs a statement.  No process may exceed its memory:
   the platform kills one that does, with the sessions of all its clients.  */
#include "client.h"

#define VMS 9
#define MEMORY_MB 260
#define CONNECTIONS 16
#define VALUES 60
#define VALUE_BYTES 1000000
#define SMALL_VALUE_BYTES 100
#define OTHERS 5
#define STATEMENTS 3
#define WAIT_MS 6000

static void
set_values (struct dep *d, struct cli *c)
{
  size_t bytes = d->o.trouble ? VALUE_BYTES : SMALL_VALUE_BYTES;

  for (int k = 0; k < VALUES; k++)
    {
      char name[16];

      g_snprintf (name, sizeof name, "v%d", k);
      if (cli_set (c, name, bytes, WAIT_MS).outcome != CLI_OK)
        dep_give_up (d, "a SET was refused");
    }
}

/* Runs a read for each of the other clients.  Returns how many got a whole
   answer.  */
static uint32_t
serve_others (struct cli **others)
{
  uint32_t n = 0;

  for (uint32_t k = 0; k < OTHERS; k++)
    {
      struct cli_answer a = cli_query (others[k], "READ a1", WAIT_MS);

      n += a.outcome == CLI_OK || a.outcome == CLI_ERROR;
    }
  return n;
}

int
main (int argc, char **argv)
{
  struct dep_options o = { .n_vms = VMS,
                           .memory_mb = MEMORY_MB,
                           .connections = CONNECTIONS,
                           .trouble = dep_has_trouble () };
  struct cli *others[OTHERS];
  struct cli *large;
  struct dep *d;
  char result[256];
  uint32_t answered;

  if (argc < 2)
    return 2;
  o.record = argv[1];
  d = dep_start (&o);
  dep_enforce_memory (d);
  for (uint32_t k = 0; k < OTHERS; k++)
    {
      char name[16];

      g_snprintf (name, sizeof name, "other-%u", k);
      others[k] = cli_open (d, &d->vms[0], name, DEP_BOUNDED, 1500000, false);
      if (!others[k])
        dep_give_up (d, "a client has no session");
    }
  if (serve_others (others) < OTHERS)
    dep_give_up (d, "the other clients are not served before");
  large = cli_open (d, &d->vms[0], "large", DEP_BOUNDED, 1500000, false);
  if (!large)
    dep_give_up (d, "the client has no session");
  set_values (d, large);
  dep_note (d, "%s: %ld KB", d->vms[0].name, dep_peak_kb (&d->vms[0]));
  for (int k = 0; k < STATEMENTS; k++)
    cli_query (large, "READ a1", WAIT_MS);
  dep_note (d, "%s: %ld KB", d->vms[0].name, dep_peak_kb (&d->vms[0]));
  answered = serve_others (others);
  g_snprintf (result, sizeof result,
              "%u processes killed for their memory; %u of %d other clients "
              "were answered afterwards",
              dep_count_killed (d), answered, OTHERS);
  dep_finish (d, dep_count_killed (d) > 0, result);
}
