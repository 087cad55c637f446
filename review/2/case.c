/* The settings files of all proxies change: graceS becomes 6.5.  Later a
   configuration is acknowledged, all proxies are killed, and the platform
   starts them again with the settings in effect.  */
#include "stand.h"

#include <pthread.h>
#include <signal.h>
#include <stdio.h>
#include <unistd.h>

#define PROXIES 2
#define SESSIONS 8
#define HUP_AT_MS 3000
#define FAULT_AT_MS 8000
#define RECOVERY_MS 12000
#define MEASURE_MS 8000
#define DEADLINE_MS 3000

static volatile bool stopping;
static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;
static int64_t measure_from_ms = INT64_MAX;
static int before_sent;
static int before_served;
static int after_sent;
static int after_served;

static void
note (int64_t sent_ms, bool served)
{
  pthread_mutex_lock (&lock);
  if (sent_ms >= measure_from_ms)
    {
      after_sent++;
      after_served += served;
    }
  else if (measure_from_ms == INT64_MAX)
    {
      before_sent++;
      before_served += served;
    }
  pthread_mutex_unlock (&lock);
}

/* One client: a session that reads, and connects again when it is closed.  An
   attempt to connect that fails counts as a request that is not served.  */
static void *
run_client (void *arg)
{
  int index = (int)(intptr_t)arg;
  int count = 0;

  while (!stopping)
    {
      struct st_client c;
      struct st_answer a = { .complete = true };
      int64_t sent_ms = st_now_ms ();

      if (!st_try_connect (&c, index % PROXIES, NULL))
        {
          note (sent_ms, false);
          usleep (200000);
          continue;
        }
      while (!stopping && a.complete)
        {
          char id[ST_ID_MAX];

          sent_ms = st_now_ms ();
          snprintf (id, sizeof id, "c%d.%d", index, count++);
          st_query (&c, id, "READ 1a4");
          st_answer (&c, sent_ms + DEADLINE_MS, &a);
          st_record ("client %d: %s: %s \"%s\"", index, id,
                     a.complete ? "answered" : "no answer", a.end);
          note (sent_ms, a.complete && a.ok);
          usleep (200000);
        }
      st_disconnect (&c);
    }
  return NULL;
}

struct restart
{
  int n;
  int64_t until_ms;
};

static void *
run_restart (void *arg)
{
  struct restart *r = arg;

  st_supervise_proxy (r->n, r->until_ms);
  /* The proxy ends with the thread that started it.  */
  st_sleep_until_ms (r->until_ms);
  return NULL;
}

int
main (int argc, char **argv)
{
  const struct st_options options
      = { "svc0", "db0", "bounded_stale", 1500, 600, 16, 2, 3, NULL };
  struct restart restarts[PROXIES];
  pthread_t threads[SESSIONS];
  pthread_t starters[PROXIES];
  int64_t start_ms;
  int64_t back_ms;

  st_init (argc, argv);
  st_start_platform (&options);
  for (int n = 0; n < PROXIES; n++)
    st_start_proxy (n);
  start_ms = st_now_ms ();
  for (int n = 0; n < SESSIONS; n++)
    pthread_create (&threads[n], NULL, run_client, (void *)(intptr_t)n);
  st_sleep_until_ms (start_ms + HUP_AT_MS);
  for (int n = 0; st_trouble () && n < PROXIES; n++)
    {
      st_set_grace (n, "6.5");
      kill (st_proxy_pid (n), SIGHUP);
      st_record ("proxy %d: SIGHUP", n);
    }
  st_sleep_until_ms (start_ms + FAULT_AT_MS);
  st_change_config ();
  for (int n = 0; n < PROXIES; n++)
    {
      st_record ("proxy %d: SIGKILL", n);
      st_kill_proxy (n);
    }
  st_sleep_until_ms (start_ms + FAULT_AT_MS + 1000);
  back_ms = st_now_ms ();
  pthread_mutex_lock (&lock);
  measure_from_ms = back_ms + RECOVERY_MS;
  pthread_mutex_unlock (&lock);
  for (int n = 0; n < PROXIES; n++)
    {
      restarts[n]
          = (struct restart){ n, back_ms + RECOVERY_MS + MEASURE_MS };
      pthread_create (&starters[n], NULL, run_restart, &restarts[n]);
    }
  st_sleep_until_ms (back_ms + RECOVERY_MS + MEASURE_MS);
  stopping = true;
  for (int n = 0; n < SESSIONS; n++)
    pthread_join (threads[n], NULL);
  for (int n = 0; n < PROXIES; n++)
    pthread_join (starters[n], NULL);
  st_record ("before the fault %d of %d requests were served", before_served,
             before_sent);
  st_record ("later than %d ms after the machines are back %d of %d were",
             RECOVERY_MS, after_served, after_sent);
  if (before_served * 4 < before_sent || after_sent == 0)
    st_finish (ST_NOT_RUN);
  st_finish (after_served * 4 < after_sent ? ST_BROKEN : ST_HELD);
}
