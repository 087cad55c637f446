/* Clients whose session values are larger than 16 KiB in all, beside a crowd
   that fills the memory which the proxies keep for session values.  Every SET
   of the clients was acknowledged; each of their statements must run with
   these values.  */
#include "client.h"

#include <stdio.h>
#include <string.h>

#define VMS 9
#define MEMORY_MB 260
#define CONNECTIONS 16
#define VALUES 8
#define VALUE_BYTES 6000
#define CROWD_VALUE_BYTES 950000
#define CROWD_MAX 80
#define ROUNDS 3
#define WAIT_MS 5000
/* For statements that still run after their client was answered.  */
#define LAST_RUNS_US 500000

static struct cli *clients[VMS];

/* Opens sessions with one value each until the proxy refuses one.  A client
   closes its session when SET fails.  */
static uint32_t
fill (struct dep *d, struct dep_vm *v, size_t bytes)
{
  uint32_t n = 0;

  for (; n < CROWD_MAX; n++)
    {
      char *name = g_strdup_printf ("crowd-%s-%zu-%u", v->name, bytes, n);
      struct cli *c = cli_open (d, v, name, DEP_FRESH, 0, true);
      struct cli_answer a = { .outcome = CLI_CLOSED };

      g_free (name);
      if (c)
        a = cli_set (c, "context", bytes, WAIT_MS);
      if (a.outcome != CLI_OK)
        {
          cli_close (c);
          break;
        }
    }
  dep_note (d, "%s: %u more sessions with a value of %zu bytes", v->name, n,
            bytes);
  return n;
}

static void
set_values (struct dep *d)
{
  for (uint32_t n = 0; n < VMS; n++)
    {
      char *name = g_strdup_printf ("client-%u", n);

      clients[n] = cli_open (d, &d->vms[n], name, DEP_FRESH, 0, false);
      g_free (name);
      if (!clients[n])
        dep_give_up (d, "a client has no session");
      for (int k = 0; k < VALUES; k++)
        {
          char value[16];

          g_snprintf (value, sizeof value, "v%d", k);
          if (cli_set (clients[n], value, VALUE_BYTES, WAIT_MS).outcome
              != CLI_OK)
            dep_give_up (d, "a SET of a client was refused");
        }
    }
}

int
main (int argc, char **argv)
{
  struct dep_options o = { .n_vms = VMS,
                           .memory_mb = MEMORY_MB,
                           .connections = CONNECTIONS,
                           .trouble = dep_has_trouble () };
  struct dep *d;
  char result[480];
  uint32_t served = 0;

  if (argc < 2)
    return 2;
  o.record = argv[1];
  d = dep_start (&o);
  set_values (d);
  for (uint32_t n = 0; o.trouble && n < VMS; n++)
    {
      fill (d, &d->vms[n], CROWD_VALUE_BYTES);
      fill (d, &d->vms[n], CROWD_VALUE_BYTES / 20);
    }
  for (int round = 0; round < ROUNDS; round++)
    for (uint32_t n = 0; n < VMS; n++)
      if (clients[n])
        {
          struct cli_answer a = cli_query (
              clients[n], round % 2 ? "READ a1" : "WRITE a1 data", WAIT_MS);

          served += a.outcome == CLI_OK;
          if (a.outcome == CLI_CLOSED || a.outcome == CLI_SILENT)
            clients[n] = NULL;
        }
  g_usleep (LAST_RUNS_US);
  g_mutex_lock (&d->lock);
  g_snprintf (result, sizeof result,
              "%u statements ran, %u served; %u deviations from the session "
              "values that were acknowledged, first: %s",
              d->runs, served, d->group->violations,
              d->group->violations ? d->group->first_violation : "none");
  g_mutex_unlock (&d->lock);
  if (!o.trouble && served < ROUNDS * VMS)
    dep_give_up (d, "statements were not served without trouble");
  dep_finish (d, d->group->violations > 0, result);
}
