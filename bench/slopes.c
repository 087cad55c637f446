/* Measures the cost per VM, database and link from which docs/CAPACITY.md is
   computed, with the production code of packages/core and the production peer
   links.  Prints name=value lines.  */
#include "decl.h"
#include "home.h"
#include "member.h"
#include "peers.h"

#include <malloc.h>
#include <sodium.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>
#include <unistd.h>

/* Size of the fleet that is planned for in two years.  */
#define NODES 4900
#define CENTRES 9
#define DATABASES 5200
#define INSTANCES 3
#define LINK_PORT 29990

static int64_t
cpu_time_us (void)
{
  struct timespec ts;

  clock_gettime (CLOCK_PROCESS_CPUTIME_ID, &ts);
  return (int64_t)ts.tv_sec * 1000000 + ts.tv_nsec / 1000;
}

static double
heap_kb (void)
{
  return (double)mallinfo2 ().uordblks / 1024.0;
}

static double
rss_kb (void)
{
  long pages = 0;
  FILE *f = fopen ("/proc/self/statm", "r");

  if (f)
    {
      if (fscanf (f, "%*s %ld", &pages) != 1)
        pages = 0;
      fclose (f);
    }
  return (double)pages * (double)sysconf (_SC_PAGESIZE) / 1024.0;
}

static void
make_vm (uint32_t k, struct wire_vm *vm)
{
  memset (vm, 0, sizeof *vm);
  snprintf (vm->id, sizeof vm->id, "vm-%u", k);
  snprintf (vm->data_centre, sizeof vm->data_centre, "dc-%u", k % CENTRES);
  snprintf (vm->region, sizeof vm->region, "region-%u", k % CENTRES % 4);
  snprintf (vm->peer_address, sizeof vm->peer_address, "10.%u.%u.1:7000",
            k / 250, k % 250);
  snprintf (vm->admin_address, sizeof vm->admin_address, "10.%u.%u.1:8081",
            k / 250, k % 250);
  vm->incarnation = 1;
}

static struct ctr_set counters;

/* Fills M with the membership of N VMs as seen by VM SELF, after a heartbeat
   from each.  */
static void
fill_members (struct mbr *m, uint32_t self, uint32_t n, int64_t now_us)
{
  struct mbr_options o = { 0 };
  struct wire_heartbeat beat = { 0 };

  make_vm (self, &o.self);
  o.counters = &counters;
  o.seed = self + 1;
  mbr_init (m, &o);
  for (uint32_t k = 0; k < n; k++)
    if (k != self)
      {
        make_vm (k, &beat.self);
        mbr_note_heartbeat (m, &beat, now_us);
      }
  /* All VMs know each other, so no membership update is left to send.  */
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, m->vms);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    ((struct mbr_vm *)value)->sends_left = 0;
}

static void
measure_members (void)
{
  struct mbr m;
  double before = heap_kb ();
  struct wire_heartbeat beat;
  const struct mbr_vm *targets[8];
  int64_t start;
  size_t len = 0;
  uint32_t n = 0;
  const int rounds = 2000;

  fill_members (&m, 0, NODES, 1000000);
  mbr_tick (&m, 1000000);
  printf ("members.heap_kb_per_vm=%.3f\n", (heap_kb () - before) / NODES);
  start = cpu_time_us ();
  for (int i = 0; i < rounds; i++)
    {
      char *data;

      mbr_tick (&m, 1000000 + i);
      n = mbr_prepare_heartbeat (&m, 7, &beat, targets, 8, 1000000);
      data = wire_encode_heartbeat (&beat, &len);
      g_free (data);
    }
  printf ("members.round_us=%.1f\n",
          (double)(cpu_time_us () - start) / rounds);
  printf ("members.targets=%u\nmembers.heartbeat_bytes=%zu\n", n, len);
  start = cpu_time_us ();
  for (int i = 0; i < rounds; i++)
    {
      struct wire_message message;
      char *data = wire_encode_heartbeat (&beat, &len);

      if (wire_decode (data, len, &message))
        {
          mbr_note_heartbeat (&m, message.u.heartbeat, 1000000);
          wire_message_clear (&message);
        }
      g_free (data);
    }
  printf ("members.hear_us=%.1f\n", (double)(cpu_time_us () - start) / rounds);
  start = cpu_time_us ();
  for (int i = 0; i < 20; i++)
    {
      m.next_heartbeat_us = 0;
      mbr_tick (&m, 2000000);
      m.ring_dirty = true;
    }
  printf ("members.change_us=%.1f\n", (double)(cpu_time_us () - start) / 20);
  start = cpu_time_us ();
  for (uint32_t i = 0; i < DATABASES * INSTANCES / CENTRES; i++)
    {
      char key[32];

      snprintf (key, sizeof key, "instance-%u", i);
      mbr_pick (&m, key, "dc-0", "region-0", 0);
      mbr_pick (&m, key, "dc-0", "region-0", 1);
    }
  printf ("members.roles_ms=%.1f\n",
          (double)(cpu_time_us () - start) / 1000.0);
  mbr_free (&m);
}

/* VMs that propagate a configuration revision to each other with the
   production membership code.  */
struct fleet
{
  uint32_t n;
  struct mbr *nodes;
  uint64_t *revision;
  int64_t *due_us; /* end of the pull in progress, 0 = none */
  GHashTable *index;
};

#define PROPAGATION_STEP_US 10000
#define PROPAGATION_PULL_US 200000
#define PROPAGATION_LIMIT_US 60000000

static void
fleet_init (struct fleet *f, uint32_t n, int64_t now_us)
{
  f->n = n;
  f->nodes = g_new0 (struct mbr, n);
  f->revision = g_new0 (uint64_t, n);
  f->due_us = g_new0 (int64_t, n);
  f->index = g_hash_table_new (g_str_hash, g_str_equal);
  for (uint32_t k = 0; k < n; k++)
    {
      fill_members (&f->nodes[k], k, n, now_us);
      g_hash_table_insert (f->index, f->nodes[k].self.id,
                           GUINT_TO_POINTER (k));
      f->revision[k] = k < 2 * CENTRES ? 2 : 1;
    }
}

static void
fleet_free (struct fleet *f)
{
  for (uint32_t k = 0; k < f->n; k++)
    mbr_free (&f->nodes[k]);
  g_hash_table_destroy (f->index);
  g_free (f->nodes);
  g_free (f->revision);
  g_free (f->due_us);
}

static void
send_round (struct fleet *f, uint32_t k, int64_t now_us)
{
  struct wire_heartbeat beat;
  const struct mbr_vm *targets[8];
  uint32_t count = mbr_prepare_heartbeat (&f->nodes[k], f->revision[k], &beat,
                                          targets, 8, now_us);

  for (uint32_t t = 0; t < count; t++)
    {
      uint32_t to = GPOINTER_TO_UINT (
          g_hash_table_lookup (f->index, targets[t]->vm.id));

      mbr_note_heartbeat (&f->nodes[to], &beat, now_us);
      if (beat.revision == 2 && f->revision[to] == 1 && f->due_us[to] == 0)
        f->due_us[to] = now_us + PROPAGATION_PULL_US;
    }
}

/* Measures the time until all N VMs have a revision that at first only the
   watchers of the store (two in each data centre) have.  */
static void
measure_propagation (uint32_t n)
{
  int64_t start_us = 1000000;
  int64_t now_us = start_us;
  uint32_t updated = 0;
  struct fleet f;

  fleet_init (&f, n, now_us);
  while (updated < n && now_us - start_us < PROPAGATION_LIMIT_US)
    {
      now_us += PROPAGATION_STEP_US;
      updated = 0;
      for (uint32_t k = 0; k < n; k++)
        {
          if (f.due_us[k] > 0 && f.due_us[k] <= now_us)
            f.revision[k] = 2;
          updated += f.revision[k] == 2;
          if (mbr_tick (&f.nodes[k], now_us))
            send_round (&f, k, now_us);
        }
    }
  printf ("spread.%u.seconds=%.2f\n", n, (double)(now_us - start_us) / 1e6);
  fleet_free (&f);
}

/* Measures parsing of declaration files with 20 databases each, as one team
   maintains.  */
static void
measure_declarations (void)
{
  const uint32_t per_file = 20;
  const uint32_t n = DATABASES / per_file;
  struct dcl_file *files = g_new0 (struct dcl_file, n + 1);
  struct fnd_list findings;
  struct dcl_set *set;
  double before;
  size_t bytes = 0;
  int64_t start;

  files[n].name = g_strdup ("centres");
  GString *centres = g_string_new ("version: 1\ndata_centres:\n");
  for (uint32_t c = 0; c < CENTRES; c++)
    g_string_append_printf (centres, "  - {name: dc-%u, region: r}\n", c);
  files[n].len = centres->len;
  files[n].text = g_string_free (centres, FALSE);
  for (uint32_t f = 0; f < n; f++)
    {
      GString *out = g_string_new ("version: 1\ndatabases:\n");

      for (uint32_t d = 0; d < per_file; d++)
        {
          g_string_append_printf (out, "  - name: db-%u-%u\n    instances:\n",
                                  f, d);
          for (uint32_t i = 0; i < INSTANCES; i++)
            g_string_append_printf (
                out,
                "      - {name: db-%u-%u-%u, address: '10.0.0.1:5432', "
                "data_centre: dc-%u}\n",
                f, d, i, (d + i) % CENTRES);
        }
      files[f].name = g_strdup_printf ("f-%u", f);
      files[f].len = out->len;
      bytes += out->len;
      files[f].text = g_string_free (out, FALSE);
    }
  fnd_init (&findings);
  before = heap_kb ();
  start = cpu_time_us ();
  set = dcl_parse (files, n + 1, &findings);
  printf ("declarations.parse_ms=%.1f\n",
          (double)(cpu_time_us () - start) / 1000.0);
  printf ("declarations.heap_kb_per_database=%.3f\n",
          (heap_kb () - before) / DATABASES);
  printf ("declarations.file_bytes=%zu\n", bytes / n);
  printf ("declarations.text_kb_per_database=%.3f\n",
          (double)bytes / 1024.0 / DATABASES);
  dcl_free (set);
  fnd_free (&findings);
  for (uint32_t f = 0; f <= n; f++)
    {
      g_free (files[f].name);
      g_free (files[f].text);
    }
  g_free (files);
}

static void
ignore_message (void *arg, const char *from, const char *data, size_t len)
{
  (void)arg;
  (void)from;
  (void)data;
  (void)len;
}

static void
ignore_lost_peer (void *arg, const char *vm)
{
  (void)arg;
  (void)vm;
}

/* Measures the memory of outgoing links.  One receiver with one listener is
   enough, since each link is a connection of its own.  */
static void
measure_links (void)
{
  const uint32_t n = 400;
  struct loop loop;
  struct peers_options o = { 0 };
  struct peers *receiver;
  struct peers *sender;
  char address[32];
  double before;

  loop_init (&loop);
  snprintf (address, sizeof address, "127.0.0.1:%d", LINK_PORT);
  o.loop = &loop;
  o.sink.message = ignore_message;
  o.sink.link_lost = ignore_lost_peer;
  o.vm = "receiver";
  o.listen = address;
  receiver = peers_new (&o, NULL);
  if (!receiver)
    return;
  char other[32];
  snprintf (other, sizeof other, "127.0.0.1:%d", LINK_PORT + 1);
  o.vm = "sender";
  o.listen = other;
  sender = peers_new (&o, NULL);
  before = rss_kb ();
  for (uint32_t k = 0; k < n; k++)
    {
      char vm[16];

      snprintf (vm, sizeof vm, "v%u", k);
      peers_port (sender)->ops->send (peers_port (sender), vm, address, "x",
                                      1);
      loop_run (&loop, 1000);
    }
  for (int i = 0; i < 300; i++)
    {
      loop_run (&loop, 1000);
      peers_tick (receiver, loop_now_us ());
      peers_tick (sender, loop_now_us ());
    }
  /* This process holds both ends of each link, so one end takes half.  */
  printf ("links.rss_kb_per_link=%.1f\n", (rss_kb () - before) / n / 2);
  peers_free (sender);
  peers_free (receiver);
}

int
main (void)
{
  if (sodium_init () < 0)
    return 1;
  measure_members ();
  measure_declarations ();
  printf ("home.group_bytes=%zu\n", home_group_bytes ());
  for (uint32_t n = 100; n <= 1600; n *= 2)
    measure_propagation (n);
  measure_links ();
  return 0;
}
