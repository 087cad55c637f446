/* Probes of instances, time limits, and closing of idle connections.  */
#include "poolerint.h"

#include <string.h>

/* A service that no session has used for this time is not watched.  */
#define WATCH_AFTER_USE_US 10000000
/* Age at which a leadership check is repeated: half of the smallest maximum
   age of reads, less a few round trips.  */
#define CONFIRM_EVERY_US 400000
/* Age of the last leadership check after which another instance may be
   primary: several checks have had no reply.  */
#define CONFIRMATION_LAPSE_US 1600000
/* Pause between probes for an unknown primary: a few round trips.  */
#define SEEK_EVERY_US 50000
/* For this time only the primary named by the directory is probed, before all
   instances are: enough for a new connection and one request.  */
#define SEEK_REGISTERED_US 200000
/* An instance that has requests to reply to and was silent for this time gets
   a liveness probe, which needs no slot.  */
#define SILENCE_US 250000
/* An instance that has not replied to a probe for this time is unresponsive.
   It allows for several losses of a packet on the longest link.  */
#define UNRESPONSIVE_US 700000
/* The same while a connection is being opened, as its handshake may queue for
   a slot.  */
#define UNRESPONSIVE_OPEN_US 1000000
/* Statements that wait are logged once in PRESSURE_EVERY_US, if the first in
   the queue has waited for PRESSURE_WAIT_US.  */
#define PRESSURE_EVERY_US 1000000
#define PRESSURE_WAIT_US 100000
/* How long a relay path through another proxy is used before the direct link
   is tried again.  */
#define RELAY_PATH_US 4000000
/* A reply that takes this many times the mean is taken as lost.  The factor is
   beyond the longest statements: their times have a tail of several times the
   mean.  */
#define LOST_FACTOR 10
#define LOST_MIN_US 200000
/* The limit is doubled with each reply that one statement gave up, because the
   estimate of the execution time may be too low; at most so often.  */
#define LOST_DOUBLINGS_MAX 4
/* Idle time after which connections above the share are closed.  */
#define SURPLUS_IDLE_US 500000
/* The same within the share; one connection to the primary is kept.  */
#define SPARE_IDLE_US 2000000
/* The same for a direct connection that belongs to an account.  */
#define ACCOUNT_IDLE_US 30000000
/* The same above the share.  */
#define ACCOUNT_SURPLUS_IDLE_US 2000000
/* Interval of the requests to other proxies to close a connection.  */
#define YIELD_REQUEST_EVERY_US 100000
/* An instance without a directory entry is removed after this time.  */
#define REMOVE_MISSING_US 20000000
/* The smoothed execution time of an unused instance decays to this initial
   estimate, by 1/EXEC_DECAY of the difference a tick, so that the instance is
   tried again.  */
#define EXEC_INITIAL_US 15000
#define EXEC_DECAY 32

void
plr_close_links (struct plr *p, struct svc_instance *i, bool all,
                 int64_t now_us)
{
  for (guint n = i->links->len; n > 0; n--)
    {
      struct ul *link;

      /* Closing a link may have closed or opened others.  */
      if (n > i->links->len)
        continue;
      link = g_ptr_array_index (i->links, n - 1);
      if (all || !link->session)
        plr_close_link (p, link, now_us);
    }
}

/* Retries reads outside a transaction that wait for I's reply.  */
static void
retry_reads (struct plr *p, struct svc_instance *i, int64_t now_us)
{
  GList *next;

  for (GList *l = p->active.head; l; l = next)
    {
      struct ses *s = l->data;

      next = l->next;
      if (s->link && s->link->instance == i && !s->writes && !s->relay_instance
          && !s->work.transaction)
        plr_retry (p, s, RETRY_INSTANCE_UNRESPONSIVE, 0, now_us);
    }
}

static void
mark_unresponsive (struct plr *p, struct svc_instance *i, int64_t now_us)
{
  if (!i->unresponsive)
    EV (p->options.log, now_us, EV_INSTANCE_UNRESPONSIVE,
        EV_TEXT ("service", i->svc->name), EV_TEXT ("instance", i->entry->id),
        EV_INT ("asked_us", now_us - i->probe_sent_us),
        EV_INT ("heard_us", now_us - i->heard_us),
        EV_INT ("links", i->links->len));
  i->unresponsive = true;
  for (guint n = 0; n < i->links->len; n++)
    {
      const struct ul *link = g_ptr_array_index (i->links, n);

      if (link->requests->len > 0 || link->phase == UL_OPENING)
        plr_note_home_failed (p, link, now_us);
    }
  retry_reads (p, i, now_us);
  plr_close_links (p, i, false, now_us);
  i->probe_sent_us = 0;
  i->open_after_us = now_us + SILENCE_US;
  if (i->svc->primary == i)
    svc_clear_primary (i->svc, now_us);
}

/* Sends a probe to I, which needs no slot.  If no connection is idle, opens
   one; for a leadership check (PRIMARY) only if there is none at all.  */
static void
probe_instance (struct plr *p, struct svc_instance *i, bool primary,
                int64_t now_us)
{
  struct ul *link = plc_idle_link (i);

  if (link)
    plr_probe_link (p, link, primary, now_us);
  else if (i->n_opening == 0 && now_us >= i->open_after_us
           && (!primary || i->links->len == 0))
    plr_open_link (p, i, NULL, now_us);
}

static bool
has_overdue_reply (const struct svc_instance *i, int64_t now_us)
{
  for (guint n = 0; n < i->links->len; n++)
    {
      const struct ul *link = g_ptr_array_index (i->links, n);
      int64_t sent_us = ul_oldest_request_us (link);

      if (sent_us > 0 && now_us - MAX (sent_us, i->heard_us) > SILENCE_US)
        return true;
    }
  return false;
}

static void
watch_responsiveness (struct plr *p, struct svc_instance *i, int64_t now_us)
{
  int64_t limit_us = i->n_opening > 0 ? UNRESPONSIVE_OPEN_US : UNRESPONSIVE_US;

  if (i->probe_sent_us > 0 && now_us - i->probe_sent_us > limit_us)
    mark_unresponsive (p, i, now_us);
  else if (i->probe_sent_us == 0 && !i->unresponsive
           && has_overdue_reply (i, now_us))
    probe_instance (p, i, false, now_us);
  else if ((i->unresponsive || i->refused_since_us > 0) && i->n_opening == 0
           && i->missing_since_us == 0 && now_us >= i->open_after_us)
    plr_open_link (p, i, NULL, now_us);
}

/* Closes connections that went silent while the instance replies on others:
   those that do not finish opening, and those that no session holds and on
   which a reply is overdue.  */
static void
close_silent_links (struct plr *p, struct svc_instance *i, int64_t now_us)
{
  for (guint n = i->links->len; n > 0; n--)
    {
      struct ul *link;
      int64_t sent_us;

      if (n > i->links->len)
        continue;
      link = g_ptr_array_index (i->links, n - 1);
      sent_us = link->phase == UL_OPENING ? link->opened_us
                                          : ul_oldest_request_us (link);
      if (link->session || sent_us == 0 || now_us < link->late_until_us
          || now_us - sent_us < UNRESPONSIVE_OPEN_US)
        continue;
      ctr_add (p->options.counters, CTR_CONNECTION_SILENT, 1);
      plr_close_link (p, link, now_us);
    }
}

/* Returns true if LINK was idle so long that its place at the instance is
   better left to other proxies: a short time above the share, a longer one
   within it.  The last link to the primary is kept.  */
static bool
is_spare (const struct ul *link, int64_t now_us)
{
  const struct svc_instance *i = link->instance;
  int64_t idle_us = now_us - link->idle_since_us;

  if (!ul_is_idle (link))
    return false;
  if (i->svc->by_account && link->home)
    return idle_us >= SPARE_IDLE_US;
  if (i->svc->by_account)
    return idle_us >= (plr_has_surplus (i) ? ACCOUNT_SURPLUS_IDLE_US
                                           : ACCOUNT_IDLE_US);
  if (plr_has_surplus (i))
    return idle_us >= SURPLUS_IDLE_US;
  if (i->links->len > 1)
    return idle_us >= SPARE_IDLE_US;
  return i->svc->primary && i->svc->primary != i && idle_us >= SPARE_IDLE_US;
}

/* Closes idle connections.  Few are kept, because an instance still counts the
   connections of a VM for several seconds after that lost power.  */
static void
trim_links (struct plr *p, struct svc_instance *i, int64_t now_us)
{
  for (guint n = i->links->len; n > 0; n--)
    {
      struct ul *link = g_ptr_array_index (i->links, n - 1);

      if (!is_spare (link, now_us))
        continue;
      ctr_add (p->options.counters, CTR_LINKS_TRIMMED, 1);
      plr_close_link (p, link, now_us);
    }
}

/* Requests a connection from the other proxies when I refuses more connections
   and this proxy has none.  */
static void
request_yield (struct plr *p, struct svc_instance *i, int64_t now_us)
{
  if (i->out_of_links_since_us == 0 || !p->request_yield
      || now_us - i->yield_requested_us < YIELD_REQUEST_EVERY_US)
    return;
  i->yield_requested_us = now_us;
  p->request_yield (p->request_yield_arg, i->svc->name, i->entry->id,
                    i->homes.direct ? NULL : &i->homes);
}

void
plr_set_request_yield (struct plr *p, plr_request_yield_fn *request, void *arg)
{
  p->request_yield = request;
  p->request_yield_arg = arg;
}

void
plr_set_relay_path (struct plr *p, const char *service, const char *instance,
                    const char *vm, int64_t now_us)
{
  struct svc_instance *i = plr_find_instance (p, service, instance);

  if (!i || !(i->unresponsive || i->refused_since_us > 0)
      || now_us < i->relay_until_us)
    return;
  EV (p->options.log, now_us, EV_INSTANCE, EV_TEXT ("service", service),
      EV_TEXT ("instance", instance), EV_TEXT ("what", "detour"),
      EV_TEXT ("through", vm));
  g_free (i->relay_peer);
  i->relay_peer = g_strdup (vm);
  i->relay_until_us = now_us + RELAY_PATH_US;
  i->open_after_us = now_us;
  i->refused_since_us = 0;
}

void
plr_yield_link (struct plr *p, const char *service, const char *instance,
                int64_t now_us)
{
  struct svc_instance *i = plr_find_instance (p, service, instance);
  struct ul *link = i ? plc_idle_link (i) : NULL;

  if (!i || !plr_has_surplus (i))
    return;
  ctr_add (p->options.counters, CTR_LINKS_YIELDED, 1);
  i->open_after_us = MAX (i->open_after_us, now_us + SURPLUS_IDLE_US);
  i->yield_next_link = link == NULL;
  if (link)
    plr_close_link (p, link, now_us);
}

/* Lets the execution time of an unused instance decay.  */
static void
decay_exec_time (struct svc_instance *i)
{
  if (i->n_in_use == 0)
    i->exec_us += (EXEC_INITIAL_US - i->exec_us) / EXEC_DECAY;
}

/* Closes the connections to an instance that must not get new work; those that
   a session holds are closed once it releases them.  Those to an instance with
   a command to be sent stay open.  */
static void
close_unusable (struct plr *p, struct svc_instance *i, int64_t now_us)
{
  if (i->unresponsive || svc_is_usable (i, now_us)
      || now_us < i->command.until_us
      || (i->svc->primary == i && svc_may_stay_primary (i, now_us)))
    return;
  plr_close_links (p, i, false, now_us);
}

/* Sends a probe to every instance of S without one under way.  */
static void
probe_all_instances (struct plr *p, struct svc *s, bool primary,
                     int64_t now_us)
{
  for (guint n = 0; n < s->instances->len; n++)
    {
      struct svc_instance *i = g_ptr_array_index (s->instances, n);

      if (i->probe_sent_us == 0 && !i->unresponsive
          && (i->missing_since_us == 0 || svc_lapsed_recently (i, now_us)))
        probe_instance (p, i, primary, now_us);
    }
}

/* Starts a round of probes for S unless the last one is too recent, in which
   case it returns false.  */
static bool
begin_seek (struct svc *s, int64_t now_us)
{
  if (now_us - s->last_probe_us < SEEK_EVERY_US)
    return false;
  s->last_probe_us = now_us;
  return true;
}

void
plr_seek_primary (struct plr *p, struct svc *s, int64_t now_us)
{
  struct svc_instance *presumed;

  if (!begin_seek (s, now_us))
    return;
  if (s->no_primary_since_us == 0)
    s->no_primary_since_us = now_us;
  presumed = svc_presumed_primary (s, now_us);
  if (!presumed || now_us - s->no_primary_since_us >= SEEK_REGISTERED_US)
    probe_all_instances (p, s, true, now_us);
  else if (presumed->probe_sent_us == 0)
    probe_instance (p, presumed, true, now_us);
}

void
plr_seek_confirmation (struct plr *p, struct svc *s, int64_t now_us)
{
  if (!s->primary)
    plr_seek_primary (p, s, now_us);
  else if (begin_seek (s, now_us))
    probe_instance (p, s->primary, true, now_us);
}

void
plr_seek_candidates (struct plr *p, struct svc *s, int64_t now_us)
{
  if (begin_seek (s, now_us))
    probe_all_instances (p, s, false, now_us);
}

static void
watch_primary (struct plr *p, struct svc *s, int64_t now_us)
{
  if (s->primary && now_us - svc_confirmed_us (s) > CONFIRMATION_LAPSE_US)
    {
      EV (p->options.log, now_us, EV_LEADER, EV_TEXT ("service", s->name),
          EV_TEXT ("instance", s->primary->entry->id),
          EV_TEXT ("what", "not proved any more"),
          EV_INT ("proof_us", now_us - svc_confirmed_us (s)));
      svc_clear_primary (s, now_us);
    }
  if (!s->primary)
    plr_seek_primary (p, s, now_us);
  else if (now_us - svc_confirmed_us (s) > CONFIRM_EVERY_US
           && now_us - s->last_probe_us > CONFIRM_EVERY_US / 2)
    {
      s->last_probe_us = now_us;
      probe_instance (p, s->primary, true, now_us);
    }
}

static void
watch_instance (struct plr *p, struct svc_instance *i, int64_t now_us)
{
  watch_responsiveness (p, i, now_us);
  close_unusable (p, i, now_us);
  close_silent_links (p, i, now_us);
  trim_links (p, i, now_us);
  request_yield (p, i, now_us);
  decay_exec_time (i);
}

/* Logs the state of the instances at intervals while statements wait.  */
static void
log_pressure (struct plr *p, struct svc *s, int64_t now_us)
{
  const struct ses *oldest = s->waiting.head ? s->waiting.head->data : NULL;

  if (!oldest || now_us - s->pressure_logged_us < PRESSURE_EVERY_US
      || now_us - oldest->arrived_us < PRESSURE_WAIT_US)
    return;
  s->pressure_logged_us = now_us;
  for (guint n = 0; n < s->instances->len; n++)
    {
      const struct svc_instance *i = g_ptr_array_index (s->instances, n);

      EV (p->options.log, now_us, EV_PRESSURE, EV_TEXT ("service", s->name),
          EV_TEXT ("instance", i->entry->id),
          EV_TEXT ("leads", s->primary == i ? "yes" : "no"),
          EV_INT ("waiting", g_queue_get_length (&s->waiting)),
          EV_INT ("waited_us", now_us - oldest->arrived_us),
          EV_INT ("links", i->links->len), EV_INT ("opening", i->n_opening),
          EV_INT ("in_use", i->n_in_use), EV_INT ("work_us", i->exec_us),
          EV_INT ("round_trip_us", i->round_trip_us),
          EV_INT ("open_in_us", MAX (i->open_after_us - now_us, 0)),
          EV_INT ("unresponsive", i->unresponsive),
          EV_INT ("proof_us",
                  i->confirmed_us > 0 ? now_us - i->confirmed_us : -1));
    }
}

static void
watch_service (struct plr *p, struct svc *s, int64_t now_us)
{
  if (s->last_used_us == 0 || now_us - s->last_used_us > WATCH_AFTER_USE_US)
    return;
  plr_update_homes (p, s);
  for (guint n = s->instances->len; n > 0; n--)
    {
      struct svc_instance *i = g_ptr_array_index (s->instances, n - 1);

      watch_instance (p, i, now_us);
      if (i->missing_since_us > 0 && i->links->len == 0
          && now_us - i->missing_since_us > REMOVE_MISSING_US)
        plr_remove_instance (p, i, now_us);
    }
  watch_primary (p, s, now_us);
  plr_dispatch_waiting (p, s, now_us);
  log_pressure (p, s, now_us);
}

/* Returns true if the reply to the statement of S is taken as lost: it is
   overdue while the instance has replied to others.  Never for a write outside
   a transaction or a COMMIT, which cannot be undone.  */
static bool
is_reply_lost (const struct ses *s, int64_t now_us)
{
  const struct svc_instance *i = s->link->instance;
  int64_t usual_us = i->round_trip_us + LOST_FACTOR * i->exec_us;
  int64_t limit_us = MAX (usual_us, LOST_MIN_US)
                     << MIN (s->tries_lost, LOST_DOUBLINGS_MAX);

  /* It may have waited in the queue of the home first.  */
  if (s->link->home)
    limit_us += s->max_wait_us;

  if (s->statement.kind == STM_COMMIT || (s->writes && !s->work.transaction)
      || s->link->requests->len == 0)
    return false;
  return now_us - s->sent_us > limit_us && i->heard_us > s->sent_us;
}

static void
watch_statement (struct plr *p, struct ses *s, int64_t now_us)
{
  bool sent = s->stage == SES_SENT && s->link;
  int64_t since_us = sent ? s->first_sent_us : s->arrived_us;

  if (s->relay_instance)
    {
      /* Once it is sent, the other proxy enforces the time limit.  */
      if (!sent && now_us - since_us > s->work.timeout_us)
        plr_relay_refuse (p, s, SQC_BUSY, now_us);
      else if (s->stage == SES_WAITING)
        plr_shed (p, s, false, now_us);
    }
  else if (now_us - since_us > s->work.timeout_us)
    plr_time_out (p, s, now_us);
  else if (s->stage == SES_WAITING)
    plr_shed (p, s, false, now_us);
  else if (sent && is_reply_lost (s, now_us))
    plr_reply_lost (p, s, now_us);
  else if (sent && s->retry_after_us > 0 && now_us >= s->retry_after_us)
    {
      s->retry_after_us = 0;
      plr_send (p, s, now_us);
    }
}

/* Ends transactions that are idle too long, as each holds one of the limited
   connections.  */
static void
end_idle_transactions (struct plr *p, int64_t now_us)
{
  int64_t limit_us = p->config ? p->config->transaction_idle_us : 0;

  for (GList *l = p->sessions.head; limit_us > 0 && l; l = l->next)
    {
      struct ses *s = l->data;

      if (s->stage != SES_IDLE || !s->link || s->relay_instance
          || now_us - s->idle_since_us < limit_us)
        continue;
      s->work.link_lost = true;
      s->work.idle_timeout = true;
      plr_release_link (p, s, now_us);
    }
}

void
plr_tick (struct plr *p, int64_t now_us)
{
  GHashTableIter iter;
  gpointer service;
  GList *next;

  for (GList *l = p->active.head; l; l = next)
    {
      next = l->next;
      watch_statement (p, l->data, now_us);
    }
  if (lim_tick (p->limits, now_us))
    plr_decide_held (p, NULL, now_us);
  plr_count_limits (p);
  end_idle_transactions (p, now_us);
  g_hash_table_iter_init (&iter, p->services);
  while (vmt_check_complete (&p->vms, now_us)
         && g_hash_table_iter_next (&iter, NULL, &service))
    watch_service (p, service, now_us);
  plr_free_closed_links (p);
}
