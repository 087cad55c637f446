/* A service with syncReplicas 1.  One replica receives nothing for 0.4 s,
   while the other one receives all commits; then the primary crashes.  A few
   clients read and write all the time.  */
#include "stand.h"

#include <pthread.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

#define PROXIES 3
#define READERS 3
#define WRITERS 6
#define READ_MS 22
#define WRITE_MS 5
#define DEAF_AT_MS 6000
#define DEAF_FOR_MS 400
#define END_AT_MS 14000

static volatile bool stopping;

static void
plan (const char *instance, const char *id, const char *text,
      struct st_plan *p)
{
  (void)instance;
  (void)id;
  p->work_ms = strncmp (text, "READ", 4) == 0 ? READ_MS : WRITE_MS;
}

static void *
run_client (void *arg)
{
  int index = (int)(intptr_t)arg;
  bool writes = index < WRITERS;
  int count = 0;

  while (!stopping)
    {
      struct st_client c;
      struct st_answer a = { .complete = true };

      if (!st_try_connect (&c, index % PROXIES))
        {
          usleep (100000);
          continue;
        }
      while (!stopping && a.complete)
        {
          char id[ST_ID_MAX];

          snprintf (id, sizeof id, "%c%d.%d", writes ? 'w' : 'r', index,
                    count++);
          st_query (&c, id, writes ? "WRITE 1a4 lepu" : "READ 1a4");
          st_answer (&c, st_now_ms () + 5000, &a);
          if (writes && a.complete && a.ok)
            st_note_acknowledged (id);
          st_record ("client %d: %s: \"%s\"", index, id, a.end);
          usleep (writes ? 20000 : 1000);
        }
      st_disconnect (&c);
    }
  return NULL;
}

int
main (int argc, char **argv)
{
  const struct st_options options = {
    "svc0", "db0", "bounded_stale", 1500, 600, 16, 2, 3, plan, 1, false
  };
  pthread_t threads[READERS + WRITERS];
  int64_t start_ms;

  st_init (argc, argv);
  st_start_platform (&options);
  for (int n = 0; n < PROXIES; n++)
    st_start_proxy (n);
  start_ms = st_now_ms ();
  for (int n = 0; n < READERS + WRITERS; n++)
    pthread_create (&threads[n], NULL, run_client, (void *)(intptr_t)n);
  st_sleep_until_ms (start_ms + DEAF_AT_MS);
  if (st_trouble ())
    st_set_deaf (1);
  st_sleep_until_ms (start_ms + DEAF_AT_MS + DEAF_FOR_MS);
  if (st_trouble ())
    st_crash_instance (0);
  st_sleep_until_ms (start_ms + END_AT_MS);
  stopping = true;
  for (int n = 0; n < READERS + WRITERS; n++)
    pthread_join (threads[n], NULL);
  st_record ("%d acknowledged commits were not in the log of the promoted "
             "instance",
             st_count_lost_commits ());
  st_finish (st_count_lost_commits () > 0 ? ST_BROKEN : ST_HELD);
}
