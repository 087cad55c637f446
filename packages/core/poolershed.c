/* Refusing and putting off what waits under load: core/overload.h decides.  */
#include "poolerint.h"

/* The flow of statements to where S waits to go, NULL when there is no such
   place at present.  */
static struct ovl_flow *
flow_for (const struct ses *s)
{
  struct svc *svc = s->work.svc;
  struct ovl_flow *best = NULL;

  if (s->relay_instance)
    {
      struct svc_instance *i = svc_find (svc, s->relay_instance);

      return i ? &i->flow : NULL;
    }
  if (plr_compute_need (s).leader)
    return svc->leader ? &svc->leader->flow : NULL;
  for (guint n = 0; n < svc->instances->len; n++)
    {
      struct svc_instance *i = g_ptr_array_index (svc->instances, n);

      if (!best || i->flow.started_us > best->started_us)
        best = &i->flow;
    }
  return best;
}

/* Fills in what of the queue is ahead of S.  */
static void
look_ahead (const struct ses *s, struct ovl_queue *q, int64_t now_us)
{
  for (const GList *l = s->work.svc->waiting.head; l && l->data != s;
       l = l->next)
    {
      const struct ses *ahead = l->data;

      q->n_ahead++;
      if (ahead->rank == s->rank && q->oldest_us == 0)
        q->oldest_us = now_us - ahead->arrived_us;
    }
}

/* Lets S go after those that can still be in time, once it can't.  */
static void
put_off (struct ses *s, int64_t now_us)
{
  if (s->rank >= OVL_OVERDUE || now_us - s->arrived_us < s->max_wait_us)
    return;
  plr_dequeue (s);
  s->rank += OVL_OVERDUE;
  plr_enqueue (s);
}

void
plr_shed (struct plr *p, struct ses *s, bool entering, int64_t now_us)
{
  struct ovl_flow *flow;
  struct ovl_queue q = { .rank = s->rank, .entering = entering };

  if (s->max_wait_us == 0)
    return; /* it waits for its timeout */
  flow = flow_for (s);
  if (!flow)
    return;
  q.flow = flow;
  /* Only newcomers are judged by it.  */
  if (entering)
    look_ahead (s, &q, now_us);
  if (!ovl_is_hopeless (&q, s->max_wait_us, now_us - s->arrived_us, now_us))
    {
      put_off (s, now_us);
      return;
    }
  ovl_note_refused (flow, s->rank, entering, now_us);
  if (!entering)
    look_ahead (s, &q, now_us);
  EV (p->options.log, now_us, EV_OVERLOAD,
      EV_TEXT ("id", s->statement.id ? s->statement.id : "-"),
      EV_TEXT ("service", s->work.svc->name),
      EV_TEXT ("instance", s->relay_instance ? s->relay_instance : ""),
      EV_INT ("rank", s->rank), EV_INT ("ahead", q.n_ahead),
      EV_INT ("gap_us", q.flow->gap_us), EV_INT ("oldest_us", q.oldest_us),
      EV_INT ("patience_us", s->max_wait_us),
      EV_INT ("waited_us", now_us - s->arrived_us));
  if (s->relay_instance)
    plr_relay_refuse (p, s, SQC_OVERLOADED, now_us);
  else
    plr_refuse (p, s, RFS_OVERLOADED, SQC_BUSY, now_us);
}
