/* Load shedding: refuses waiting statements, or moves them back in the queue,
   as overload.h decides.  */
#include "poolerint.h"

/* Returns the service rate of the instance that S waits for, or NULL when
   there is none at present.  When S can run on any instance, this is the one
   that a statement was last dispatched to.  */
static struct ovl_throughput *
find_service_rate (const struct ses *s)
{
  struct svc *svc = s->work.svc;
  struct ovl_throughput *best = NULL;

  if (s->relay_instance)
    {
      struct svc_instance *i = svc_find (svc, s->relay_instance);

      return i ? &i->throughput : NULL;
    }
  if (plr_compute_need (s).primary_only)
    return svc->primary ? &svc->primary->throughput : NULL;
  for (guint n = 0; n < svc->instances->len; n++)
    {
      struct svc_instance *i = g_ptr_array_index (svc->instances, n);

      if (!best || i->throughput.last_start_us > best->last_start_us)
        best = &i->throughput;
    }
  return best;
}

/* Sets in Q the number of statements queued before S, and how long the first
   one of the same rank has waited.  */
static void
measure_ahead (const struct ses *s, struct ovl_queue *q, int64_t now_us)
{
  for (const GList *l = s->work.svc->waiting.head; l && l->data != s;
       l = l->next)
    {
      const struct ses *ahead = l->data;

      q->n_ahead++;
      if (ahead->rank == s->rank && q->oldest_wait_us == 0)
        q->oldest_wait_us = now_us - ahead->arrived_us;
    }
}

/* Moves S behind the statements that can still be in time, once it has waited
   for its maximum wait.  */
static void
demote_overdue (struct ses *s, int64_t now_us)
{
  if (s->rank >= OVL_OVERDUE_RANK || now_us - s->arrived_us < s->max_wait_us)
    return;
  plr_dequeue (s);
  s->rank += OVL_OVERDUE_RANK;
  plr_enqueue (s);
}

void
plr_shed (struct plr *p, struct ses *s, bool entering, int64_t now_us)
{
  struct ovl_throughput *rate;
  struct ovl_queue q = { .rank = s->rank, .is_new = entering };

  if (s->max_wait_us == 0)
    return; /* it waits until its timeout */
  rate = find_service_rate (s);
  if (!rate)
    return;
  q.throughput = rate;
  /* Only the decision on new statements uses it.  */
  if (entering)
    measure_ahead (s, &q, now_us);
  if (!ovl_should_shed (&q, s->max_wait_us, now_us - s->arrived_us, now_us))
    {
      demote_overdue (s, now_us);
      return;
    }
  ovl_note_refused (rate, s->rank, entering, now_us);
  if (!entering)
    measure_ahead (s, &q, now_us);
  EV (p->options.log, now_us, EV_OVERLOAD,
      EV_TEXT ("id", s->statement.id ? s->statement.id : "-"),
      EV_TEXT ("service", s->work.svc->name),
      EV_TEXT ("instance", s->relay_instance ? s->relay_instance : ""),
      EV_INT ("rank", s->rank), EV_INT ("ahead", q.n_ahead),
      EV_INT ("gap_us", q.throughput->gap_us),
      EV_INT ("oldest_us", q.oldest_wait_us),
      EV_INT ("patience_us", s->max_wait_us),
      EV_INT ("waited_us", now_us - s->arrived_us));
  if (s->relay_instance)
    plr_relay_refuse (p, s, SQC_OVERLOADED, now_us);
  else
    plr_refuse (p, s, RFS_OVERLOADED, SQC_BUSY, now_us);
}
