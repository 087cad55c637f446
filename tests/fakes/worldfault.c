/* Faults of the simulation.  */
#include "worldint.h"

void
world_kill_node (struct world *w, uint32_t k)
{
  struct host *h = &w->hosts[k];
  struct world_call *call;
  GHashTableIter iter;
  gpointer value;
  GPtrArray *conns;

  if (!h->node)
    return;
  node_free (h->node);
  h->node = NULL;
  h->watching = false;
  conns = g_ptr_array_new ();
  g_hash_table_iter_init (&iter, h->conns);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    g_ptr_array_add (conns, value);
  for (uint32_t i = 0; i < conns->len; i++)
    wld_close_conn (g_ptr_array_index (conns, i));
  g_ptr_array_free (conns, TRUE);
  while ((call = g_queue_pop_head (&h->calls)) != NULL)
    call->orphaned = true;
  for (uint32_t i = 0; i < w->options.n_nodes; i++)
    if (w->hosts[i].node
        && !wld_is_partitioned (w, wld_centre_of (i), wld_centre_of (k)))
      wld_schedule (&w->hosts[i], EVENT_LINK_LOST,
                    wld_latency_us (w, wld_centre_of (i), wld_centre_of (k)))
          ->from
          = k;
}

bool
world_node_is_running (const struct world *w, uint32_t k)
{
  return w->hosts[k].node != NULL;
}

void
world_pause_node (struct world *w, uint32_t k, bool paused)
{
  w->hosts[k].paused = paused;
}

void
world_cut_centre (struct world *w, uint32_t centre, bool cut)
{
  w->cut[centre] = cut;
  for (uint32_t g = 0; g < w->options.n_groups; g++)
    w->groups[g].instances[centre].isolated = cut;
}

/* Calls FN for each open connection to instance I of group G.  */
static void
for_each_conn (struct world *w, uint32_t g, uint32_t i,
               void (*fn) (struct conn *))
{
  for (uint32_t k = 0; k < w->options.n_nodes; k++)
    {
      GHashTableIter iter;
      gpointer value;

      g_hash_table_iter_init (&iter, w->hosts[k].conns);
      while (g_hash_table_iter_next (&iter, NULL, &value))
        {
          struct conn *conn = value;

          if (conn->group == g && conn->instance == i)
            fn (conn);
        }
    }
}

static void
reset_conn (struct conn *conn)
{
  if (wld_conn_is_connected (conn))
    wld_schedule_conn (conn, EVENT_CLOSED, wld_conn_latency_us (conn));
}

static void
silence_conn (struct conn *conn)
{
  conn->silent = true;
}

void
world_kill_instance (struct world *w, uint32_t g, uint32_t i)
{
  for_each_conn (w, g, i, reset_conn);
  grp_kill (&w->groups[g], i);
}

void
world_restart_instance (struct world *w, uint32_t g, uint32_t i)
{
  grp_restart (&w->groups[g], i, w->now_us);
}

void
world_silence_connections (struct world *w, uint32_t g, uint32_t i)
{
  for_each_conn (w, g, i, silence_conn);
}

void
world_lose_commit (struct world *w, uint32_t g, uint32_t i, bool after)
{
  if (after)
    w->lose_after_commit[g][i] = true;
  else
    w->lose_before_commit[g][i] = true;
}

void
world_disturb_links (struct world *w, bool on)
{
  w->links_disturbed = on;
}

void
world_store_down (struct world *w, bool down)
{
  w->store_down = down;
}

void
world_store_slow (struct world *w, int64_t us)
{
  w->store_slow_us = us;
}

void
world_store_stale (struct world *w, bool on)
{
  w->store_stale = on;
}
