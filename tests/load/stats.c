/* Summary, CSV file and latency plot of a load run.  */
#include "stats.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define PLOT_WIDTH 960
#define PLOT_HEIGHT 320
/* Latencies above this are drawn at the top edge.  */
#define PLOT_MAX_MS 1000.0

static int
compare_int64 (gconstpointer a, gconstpointer b)
{
  int64_t x = *(const int64_t *)a;
  int64_t y = *(const int64_t *)b;

  return x < y ? -1 : x > y;
}

static const struct stats_record *
record_at (const struct stats *s, uint32_t i)
{
  return &g_array_index (s->records, struct stats_record, i);
}

static double
percentile_ms (GArray *sorted, double fraction)
{
  uint32_t rank;

  if (sorted->len == 0)
    return 0;
  rank = (uint32_t)((double)(sorted->len - 1) * fraction);
  return (double)g_array_index (sorted, int64_t, rank) / 1000.0;
}

static void
print_reasons (const struct stats *s, int32_t kind, const char *name)
{
  GHashTable *counts = g_hash_table_new (g_str_hash, g_str_equal);
  GHashTableIter iter;
  gpointer key;
  gpointer value;

  for (uint32_t i = 0; i < s->records->len; i++)
    {
      const struct stats_record *r = record_at (s, i);

      if (r->outcome != STATS_DONE && (kind < 0 || r->kind == kind))
        g_hash_table_insert (
            counts, (gpointer)r->reason,
            GINT_TO_POINTER (
                GPOINTER_TO_INT (g_hash_table_lookup (counts, r->reason))
                + 1));
    }
  g_hash_table_iter_init (&iter, counts);
  while (g_hash_table_iter_next (&iter, &key, &value))
    printf ("%s.refused.%s=%d\n", name, (char *)key, GPOINTER_TO_INT (value));
  g_hash_table_destroy (counts);
}

/* Prints the figures of one KIND of request, of all kinds when KIND < 0.  */
static void
print_kind (const struct stats *s, int32_t kind, const char *name,
            double seconds)
{
  GArray *latency = g_array_new (FALSE, FALSE, sizeof (int64_t));
  uint32_t counts[4] = { 0 };
  uint32_t sent = 0;
  uint32_t in_time = 0;
  uint32_t stale = 0;

  for (uint32_t i = 0; i < s->records->len; i++)
    {
      const struct stats_record *r = record_at (s, i);
      int64_t us = r->end_us - r->due_us;

      if (kind >= 0 && r->kind != kind)
        continue;
      sent++;
      counts[r->outcome]++;
      in_time += r->outcome == STATS_DONE && r->in_time;
      stale += r->stale;
      if (r->outcome == STATS_DONE)
        g_array_append_val (latency, us);
    }
  g_array_sort (latency, compare_int64);
  printf ("%s.sent=%u\n%s.done_per_s=%.1f\n%s.in_time=%.4f\n", name, sent,
          name, counts[STATS_DONE] / seconds, name,
          sent ? (double)in_time / sent : 0.0);
  printf ("%s.p50_ms=%.3f\n%s.p99_ms=%.3f\n", name,
          percentile_ms (latency, 0.5), name, percentile_ms (latency, 0.99));
  printf ("%s.not_run=%u\n%s.unknown=%u\n%s.no_answer=%u\n%s.stale=%u\n", name,
          counts[STATS_NOT_RUN], name, counts[STATS_UNKNOWN], name,
          counts[STATS_NO_ANSWER], name, stale);
  print_reasons (s, kind, name);
  g_array_free (latency, TRUE);
}

void
stats_print (const struct stats *s, double seconds)
{
  print_kind (s, -1, "all", seconds);
  for (uint32_t k = 0; k < s->n_kinds; k++)
    print_kind (s, (int32_t)k, s->kinds[k].name, seconds);
  printf ("write_gap_ms=%.1f\n", stats_write_gap_ms (s, seconds));
}

double
stats_write_gap_ms (const struct stats *s, double seconds)
{
  GArray *times = g_array_new (FALSE, FALSE, sizeof (int64_t));
  int64_t last = 0;
  int64_t gap = 0;
  int64_t end = (int64_t)(seconds * 1e6);

  for (uint32_t i = 0; i < s->records->len; i++)
    if (record_at (s, i)->write && record_at (s, i)->outcome == STATS_DONE)
      g_array_append_val (times, record_at (s, i)->end_us);
  g_array_append_val (times, end);
  g_array_sort (times, compare_int64);
  for (uint32_t i = 0; i < times->len; i++)
    {
      int64_t t = g_array_index (times, int64_t, i);

      gap = MAX (gap, MIN (t, end) - last);
      last = t;
    }
  g_array_free (times, TRUE);
  return (double)gap / 1000.0;
}

bool
stats_write_csv (const struct stats *s, const char *file)
{
  static const char *const outcomes[]
      = { "done", "not_run", "unknown", "no_answer" };
  FILE *out = fopen (file, "w");

  if (!out)
    return false;
  fputs ("due_us,end_us,kind,outcome,reason,in_time,id\n", out);
  for (uint32_t i = 0; i < s->records->len; i++)
    {
      const struct stats_record *r = record_at (s, i);

      fprintf (out, "%ld,%ld,%s,%s,%s,%d,%s\n", r->due_us, r->end_us,
               s->kinds[r->kind].name, outcomes[r->outcome], r->reason,
               r->in_time, r->id);
    }
  return fclose (out) == 0;
}

bool
stats_write_svg (const struct stats *s, const char *file, double seconds)
{
  FILE *out = fopen (file, "w");

  if (!out)
    return false;
  fprintf (out,
           "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"%d\" "
           "height=\"%d\"><rect width=\"100%%\" height=\"100%%\" "
           "fill=\"white\"/><text x=\"4\" y=\"14\" font-size=\"12\">latency, "
           "0 to %.0f ms (square root), over %.0f s; blue reads, green "
           "writes, red not done</text>\n",
           PLOT_WIDTH, PLOT_HEIGHT, PLOT_MAX_MS, seconds);
  for (uint32_t i = 0; i < s->records->len; i++)
    {
      const struct stats_record *r = record_at (s, i);
      double ms = MIN ((double)(r->end_us - r->due_us) / 1000.0, PLOT_MAX_MS);
      double fraction = r->outcome == STATS_DONE ? ms / PLOT_MAX_MS : 1.0;
      /* The y axis shows the square root of the latency, which spreads small
         values; it is computed by Newton's method.  */
      double root = fraction > 0 ? fraction : 0;
      const char *colour = r->outcome != STATS_DONE ? "red"
                           : r->write               ? "green"
                                                    : "blue";

      for (int32_t k = 0; k < 12 && root > 0; k++)
        root = (root + fraction / root) / 2;
      fprintf (out, "<circle cx=\"%.1f\" cy=\"%.1f\" r=\"1\" fill=\"%s\"/>\n",
               (double)r->due_us / 1e6 / seconds * PLOT_WIDTH,
               PLOT_HEIGHT - 4 - root * (PLOT_HEIGHT - 24), colour);
    }
  fputs ("</svg>\n", out);
  return fclose (out) == 0;
}
