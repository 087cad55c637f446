/* Clients for cases that end with a final fault.  */
#include "load.h"

#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <unistd.h>

#define REQUESTS_MAX 100000
#define SESSIONS_MAX 64
#define PROXIES_MAX 16

struct request
{
  int64_t sent_ms;
  bool served;
};

struct restart
{
  int n;
  int64_t until_ms;
};

static struct request requests[REQUESTS_MAX];
static int n_requests;
static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;
static volatile bool stopping;
static pthread_t sessions[SESSIONS_MAX];
static int n_sessions;
static int n_proxies;
static int pause_between_ms;
static int deadline_of_request_ms;

static void
note (int64_t sent_ms, bool served)
{
  pthread_mutex_lock (&lock);
  if (n_requests < REQUESTS_MAX)
    requests[n_requests++] = (struct request){ sent_ms, served };
  pthread_mutex_unlock (&lock);
}

static void *
run_session (void *arg)
{
  int index = (int)(intptr_t)arg;
  int count = 0;

  while (!stopping)
    {
      struct st_client c;
      struct st_answer a = { .complete = true };
      int64_t sent_ms = st_now_ms ();

      if (!st_try_connect (&c, index % n_proxies))
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
          st_answer (&c, sent_ms + deadline_of_request_ms, &a);
          st_record ("client %d: %s: %s \"%s\" after %ld ms", index, id,
                     a.complete ? "answered" : "no answer", a.end,
                     (long)(st_now_ms () - sent_ms));
          note (sent_ms, a.complete && a.ok);
          usleep ((useconds_t)pause_between_ms * 1000);
        }
      st_disconnect (&c);
    }
  return NULL;
}

void
load_start (int n, int proxies, int pause_ms, int deadline_ms)
{
  n_proxies = proxies;
  pause_between_ms = pause_ms;
  deadline_of_request_ms = deadline_ms;
  for (n_sessions = 0; n_sessions < n; n_sessions++)
    pthread_create (&sessions[n_sessions], NULL, run_session,
                    (void *)(intptr_t)n_sessions);
}

void
load_stop (void)
{
  stopping = true;
  for (int n = 0; n < n_sessions; n++)
    pthread_join (sessions[n], NULL);
}

int
load_count (int64_t from_ms, int64_t to_ms, int *served)
{
  int sent = 0;

  *served = 0;
  pthread_mutex_lock (&lock);
  for (int n = 0; n < n_requests; n++)
    if (requests[n].sent_ms >= from_ms && requests[n].sent_ms < to_ms)
      {
        sent++;
        *served += requests[n].served;
      }
  pthread_mutex_unlock (&lock);
  return sent;
}

static void *
run_restart (void *arg)
{
  struct restart *r = arg;

  st_supervise_proxy (r->n, r->until_ms);
  /* The proxy ends with the thread that started it.  */
  for (;;)
    pause ();
  return NULL;
}

int64_t
load_kill_all (int proxies, int down_ms, int64_t until_ms)
{
  static struct restart restarts[PROXIES_MAX];
  int64_t fault_ms;

  st_change_config ();
  fault_ms = st_now_ms ();
  for (int n = 0; n < proxies; n++)
    {
      st_record ("proxy %d: SIGKILL", n);
      st_kill_proxy (n);
    }
  st_sleep_until_ms (fault_ms + down_ms);
  for (int n = 0; n < proxies; n++)
    {
      pthread_t thread;

      restarts[n] = (struct restart){ n, until_ms };
      pthread_create (&thread, NULL, run_restart, &restarts[n]);
      pthread_detach (thread);
    }
  st_record ("all machines are back");
  return fault_ms + down_ms;
}
