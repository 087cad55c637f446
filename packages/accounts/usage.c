/* Counts of operations by client account.  */
#include "usage.h"

/* Accounts that are counted at all.  Others are counted as one, so that the
   memory is bounded also when names change without end.  */
#define ACCOUNTS_MAX 4096
#define OTHER "other"

struct counts
{
  char *account;
  uint64_t n[USG_COUNT];
};

struct usg_set
{
  GMutex mutex;
  GHashTable *accounts; /* name -> struct counts * */
};

static const char *const outcome_names[USG_COUNT] = {
#define U(sym, name) [USG_##sym] = (name),
#include "usage.def"
#undef U
};

static void
free_counts (gpointer data)
{
  struct counts *c = data;

  g_free (c->account);
  g_free (c);
}

struct usg_set *
usg_new (void)
{
  struct usg_set *u = g_new0 (struct usg_set, 1);

  g_mutex_init (&u->mutex);
  u->accounts
      = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, free_counts);
  return u;
}

void
usg_free (struct usg_set *u)
{
  if (!u)
    return;
  g_hash_table_destroy (u->accounts);
  g_mutex_clear (&u->mutex);
  g_free (u);
}

static struct counts *
get_counts (struct usg_set *u, const char *account)
{
  struct counts *c = g_hash_table_lookup (u->accounts, account);

  if (c)
    return c;
  if (g_hash_table_size (u->accounts) >= ACCOUNTS_MAX)
    account = OTHER;
  c = g_hash_table_lookup (u->accounts, account);
  if (c)
    return c;
  c = g_new0 (struct counts, 1);
  c->account = g_strdup (account);
  g_hash_table_insert (u->accounts, c->account, c);
  return c;
}

void
usg_count (struct usg_set *u, const char *account, enum usg what)
{
  g_mutex_lock (&u->mutex);
  get_counts (u, account)->n[what]++;
  g_mutex_unlock (&u->mutex);
}

uint64_t
usg_get (struct usg_set *u, const char *account, enum usg what)
{
  const struct counts *c;
  uint64_t n = 0;

  g_mutex_lock (&u->mutex);
  c = g_hash_table_lookup (u->accounts, account);
  if (c)
    n = c->n[what];
  g_mutex_unlock (&u->mutex);
  return n;
}

static uint64_t
total_of (const struct counts *c)
{
  uint64_t total = 0;

  for (int i = 0; i < USG_COUNT; i++)
    total += c->n[i];
  return total;
}

static gint
compare_totals (gconstpointer a, gconstpointer b)
{
  uint64_t x = total_of (*(const struct counts *const *)a);
  uint64_t y = total_of (*(const struct counts *const *)b);

  return x < y ? 1 : x > y ? -1 : 0;
}

static void
write_series (const struct counts *c, GString *out)
{
  char *label = g_strescape (c->account, NULL);

  for (int i = 0; i < USG_COUNT; i++)
    g_string_append_printf (
        out,
        "cassiabay_account_operations_total{account=\"%s\",outcome=\"%s\"} "
        "%lu\n",
        label, outcome_names[i], c->n[i]);
  g_free (label);
}

void
usg_write_metrics (struct usg_set *u, GString *out)
{
  struct counts rest = { OTHER, { 0 } };
  GPtrArray *sorted = g_ptr_array_new ();
  GHashTableIter iter;
  gpointer value;

  g_mutex_lock (&u->mutex);
  g_hash_table_iter_init (&iter, u->accounts);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    g_ptr_array_add (sorted, value);
  g_ptr_array_sort (sorted, compare_totals);
  for (guint n = 0; n < sorted->len; n++)
    {
      const struct counts *c = g_ptr_array_index (sorted, n);

      if (n < USG_SERIES_MAX)
        write_series (c, out);
      for (int i = 0; n >= USG_SERIES_MAX && i < USG_COUNT; i++)
        rest.n[i] += c->n[i];
    }
  g_mutex_unlock (&u->mutex);
  if (sorted->len > USG_SERIES_MAX)
    write_series (&rest, out);
  g_ptr_array_free (sorted, TRUE);
}
