/* The platform doesn't check fences.  The proxy that holds the claim is
   partitioned from the store; then the primary crashes.  */
#include "load.h"

#define PROXIES 3
#define SESSIONS 9
#define CLAIM_WAIT_MS 15000
#define CRASH_AFTER_MS 100
#define END_AFTER_MS 5000
#define PAUSE_MS 20
#define DEADLINE_MS 3000

int
main (int argc, char **argv)
{
  const struct st_options options
      = { "svc0", "db0", "primary", 800, 300, 55, 5, 3, NULL, 0, true };
  int64_t start_ms;
  int64_t cut_ms;
  int64_t revision;
  int holder;

  st_init (argc, argv);
  st_start_platform (&options);
  for (int n = 0; n < PROXIES; n++)
    st_start_proxy (n);
  start_ms = st_now_ms ();
  load_start (SESSIONS, PROXIES, PAUSE_MS, DEADLINE_MS);
  while ((holder = st_claim_holder (&revision)) < 0
         && st_now_ms () < start_ms + CLAIM_WAIT_MS)
    st_sleep_until_ms (st_now_ms () + 50);
  if (holder < 0)
    st_finish (ST_NOT_RUN);
  st_sleep_until_ms (st_now_ms () + 2000);
  cut_ms = st_now_ms ();
  if (st_trouble ())
    st_cut_store (holder);
  st_sleep_until_ms (cut_ms + CRASH_AFTER_MS);
  st_crash_instance (0);
  st_sleep_until_ms (cut_ms + CRASH_AFTER_MS + END_AFTER_MS);
  load_stop ();
  st_record ("%d promotions with a lower token than one seen before",
             st_count_lower_tokens ());
  st_finish (st_count_lower_tokens () > 0 ? ST_BROKEN : ST_HELD);
}
