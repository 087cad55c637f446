/* Reads of one database take 60 ms each, and after some seconds 300 ms, well
   inside the route's timeout of 3 s and its objective of 1.2 s; they are
   served.  Then a configuration is acknowledged, all proxies are killed, and
   they start again 1 s later.  */
#include "stand.h"

#include <pthread.h>
#include <signal.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

#define PROXIES 2
#define SESSIONS 16
#define LIGHT_MS 60
#define HEAVY_MS 300
#define HEAVY_AFTER_MS 5000
#define FAULT_AT_MS 16000
#define BEFORE_FROM_MS 10000
#define RECOVERY_MS 12000
#define MEASURE_MS 15000
#define DEADLINE_MS 12000

static volatile bool is_heavy;
static volatile bool stopping;

/* A request and its outcome.  */
struct request
{
  int64_t sent_ms;
  bool served;
};

static struct request requests[100000];
static int n_requests;
static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;

static void
plan (const char *instance, const char *id, const char *text,
      struct st_plan *p)
{
  (void)instance;
  (void)id;
  (void)text;
  p->work_ms = is_heavy ? HEAVY_MS : LIGHT_MS;
}

/* One client: a session that reads, and connects again when it is closed.  */
static void *
run_client (void *arg)
{
  int index = (int)(intptr_t)arg;
  int count = 0;

  while (!stopping)
    {
      struct st_client c;
      struct st_answer a = { .complete = true };

      if (!st_try_connect (&c, index % PROXIES, NULL))
        {
          usleep (200000);
          continue;
        }
      while (!stopping && a.complete)
        {
          char id[ST_ID_MAX];
          int64_t sent_ms = st_now_ms ();

          snprintf (id, sizeof id, "c%d.%d", index, count++);
          st_query (&c, id, "READ 1a4");
          st_answer (&c, sent_ms + DEADLINE_MS, &a);
          st_record ("client %d: %s: %s \"%s\" after %ld ms", index, id,
                     a.complete ? "answered" : "no answer", a.end,
                     (long)(st_now_ms () - sent_ms));
          pthread_mutex_lock (&lock);
          requests[n_requests].sent_ms = sent_ms;
          requests[n_requests++].served = a.complete && a.ok;
          pthread_mutex_unlock (&lock);
          usleep (20000);
        }
      st_disconnect (&c);
    }
  return NULL;
}

/* The percentage of the requests sent between FROM_MS and TO_MS that were
   served.  */
static int
served_percent (int64_t from_ms, int64_t to_ms)
{
  int sent = 0;
  int served = 0;

  pthread_mutex_lock (&lock);
  for (int n = 0; n < n_requests; n++)
    if (requests[n].sent_ms >= from_ms && requests[n].sent_ms < to_ms)
      {
        sent++;
        served += requests[n].served;
      }
  pthread_mutex_unlock (&lock);
  st_record ("of %d requests %d were served", sent, served);
  return sent > 0 ? 100 * served / sent : -1;
}

int
main (int argc, char **argv)
{
  const struct st_options options
      = { "svc0", "db0", "bounded_stale", 3000, 1200, 55, 5, 3, plan };
  pthread_t threads[SESSIONS];
  int64_t start_ms;
  int64_t back_ms;
  int before;
  int after;

  st_init (argc, argv);
  st_start_platform (&options);
  for (int n = 0; n < PROXIES; n++)
    st_start_proxy (n);
  start_ms = st_now_ms ();
  for (int n = 0; n < SESSIONS; n++)
    pthread_create (&threads[n], NULL, run_client, (void *)(intptr_t)n);
  st_sleep_until_ms (start_ms + HEAVY_AFTER_MS);
  is_heavy = true;
  st_record ("reads take %d ms from now on", HEAVY_MS);
  st_sleep_until_ms (start_ms + FAULT_AT_MS);
  st_change_config ();
  for (int n = 0; st_trouble () && n < PROXIES; n++)
    {
      st_record ("proxy %d: SIGKILL", n);
      st_kill_proxy (n);
    }
  st_sleep_until_ms (start_ms + FAULT_AT_MS + 1000);
  for (int n = 0; st_trouble () && n < PROXIES; n++)
    st_start_proxy (n);
  back_ms = st_now_ms ();
  st_record ("all proxies are back");
  st_sleep_until_ms (back_ms + RECOVERY_MS + MEASURE_MS);
  stopping = true;
  for (int n = 0; n < SESSIONS; n++)
    pthread_join (threads[n], NULL);
  st_record ("before the fault:");
  before = served_percent (start_ms + BEFORE_FROM_MS,
                           start_ms + FAULT_AT_MS - 1000);
  st_record ("later than %d ms after the proxies are back:", RECOVERY_MS);
  after = served_percent (back_ms + RECOVERY_MS, back_ms + RECOVERY_MS
                                                     + MEASURE_MS);
  if (before < 25 || after < 0)
    st_finish (ST_NOT_RUN);
  st_finish (after < 25 ? ST_BROKEN : ST_HELD);
}
