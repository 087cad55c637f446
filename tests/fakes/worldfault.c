/* Faults of the world.  */
#include "worldint.h"

void
world_kill_node (struct world *w, uint32_t k)
{
  struct host *h = &w->hosts[k];
  struct world_call *call;
  GHashTableIter iter;
  gpointer value;
  GPtrArray *pipes;

  if (!h->node)
    return;
  node_free (h->node);
  h->node = NULL;
  h->watching = false;
  pipes = g_ptr_array_new ();
  g_hash_table_iter_init (&iter, h->pipes);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    g_ptr_array_add (pipes, value);
  for (uint32_t i = 0; i < pipes->len; i++)
    wld_drop_pipe (g_ptr_array_index (pipes, i));
  g_ptr_array_free (pipes, TRUE);
  while ((call = g_queue_pop_head (&h->calls)) != NULL)
    call->orphaned = true;
  for (uint32_t i = 0; i < w->options.n_nodes; i++)
    if (w->hosts[i].node
        && !wld_is_cut (w, wld_centre_of (i), wld_centre_of (k)))
      wld_schedule (&w->hosts[i], EVENT_LINK_LOST,
                    wld_distance_us (w, wld_centre_of (i), wld_centre_of (k)))
          ->from
          = k;
}

bool
world_node_lives (const struct world *w, uint32_t k)
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

/* Each live pipe to an instance gets FN.  */
static void
for_each_pipe (struct world *w, uint32_t g, uint32_t i,
               void (*fn) (struct pipe *))
{
  for (uint32_t k = 0; k < w->options.n_nodes; k++)
    {
      GHashTableIter iter;
      gpointer value;

      g_hash_table_iter_init (&iter, w->hosts[k].pipes);
      while (g_hash_table_iter_next (&iter, NULL, &value))
        {
          struct pipe *p = value;

          if (p->group == g && p->instance == i)
            fn (p);
        }
    }
}

static void
reset_pipe (struct pipe *p)
{
  if (wld_passes (p))
    wld_schedule_pipe (p, EVENT_CLOSED, wld_pipe_delay_us (p));
}

static void
silence_pipe (struct pipe *p)
{
  p->silent = true;
}

void
world_kill_instance (struct world *w, uint32_t g, uint32_t i)
{
  for_each_pipe (w, g, i, reset_pipe);
  grp_kill (&w->groups[g], i);
}

void
world_restart_instance (struct world *w, uint32_t g, uint32_t i)
{
  grp_restart (&w->groups[g], i, w->now_us);
}

void
world_silence (struct world *w, uint32_t g, uint32_t i)
{
  for_each_pipe (w, g, i, silence_pipe);
}

void
world_lose_answer (struct world *w, uint32_t g, uint32_t i, bool after)
{
  if (after)
    w->lose_after[g][i] = true;
  else
    w->lose_before[g][i] = true;
}

void
world_disturb_links (struct world *w, bool on)
{
  w->disturbed = on;
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
