/* A crowd of clients that send reads ahead on their connections and do not
   read the answers.  No process may exceed its memory: the platform kills one
   that does, with the sessions of all its clients.  */
#include "client.h"

#include "loop.h"

#include <arpa/inet.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define VMS 9
#define MEMORY_MB 260
#define CONNECTIONS 16
#define ROW_BYTES 500000
#define CROWD 48
#define READS 20
#define OTHERS 5
#define WAIT_MS 6000
#define CROWD_WAIT_US 20000000
#define RECEIVE_BYTES 4096

/* Opens a connection to V that sends its session's start and READS reads.  */
static int
open_member (struct dep *d, const struct dep_vm *v, uint32_t number)
{
  struct sockaddr_in a
      = { .sin_family = AF_INET, .sin_port = htons (d->base) };
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  int bytes = RECEIVE_BYTES;
  GString *text = g_string_new ("STARTUP " DEP_BOUNDED " crowd\r\n");

  inet_pton (AF_INET, v->ip, &a.sin_addr);
  setsockopt (fd, SOL_SOCKET, SO_RCVBUF, &bytes, sizeof bytes);
  for (uint32_t k = 0; k < READS; k++)
    {
      char *id = g_strdup_printf ("crowd-%u.%u", number, k);
      struct dbm_sender *s = g_new0 (struct dbm_sender, 1);

      s->session = "crowd";
      s->first_byte_us = loop_now_us ();
      s->max_age_us = 1500000;
      g_string_append_printf (text, "QUERY %s READ a1\r\n", id);
      g_mutex_lock (&d->lock);
      g_hash_table_replace (d->senders, id, s);
      g_mutex_unlock (&d->lock);
    }
  if (connect (fd, (struct sockaddr *)&a, sizeof a) != 0
      || send (fd, text->str, text->len, MSG_NOSIGNAL) != (ssize_t)text->len)
    dep_give_up (d, "the crowd can't connect");
  g_string_free (text, TRUE);
  return fd;
}

static uint32_t
serve_others (struct cli **others)
{
  uint32_t n = 0;

  for (uint32_t k = 0; k < OTHERS; k++)
    {
      struct cli_answer a = cli_query (others[k], "READ a1", WAIT_MS);

      n += a.outcome == CLI_OK || a.outcome == CLI_ERROR;
    }
  return n;
}

int
main (int argc, char **argv)
{
  struct dep_options o = { .n_vms = VMS,
                           .memory_mb = MEMORY_MB,
                           .connections = CONNECTIONS,
                           .row_bytes = ROW_BYTES,
                           .trouble = dep_has_trouble () };
  struct cli *others[OTHERS];
  struct dep *d;
  char result[256];
  uint32_t answered;
  long peak_kb = 0;

  if (argc < 2)
    return 2;
  o.record = argv[1];
  d = dep_start (&o);
  dep_enforce_memory (d);
  for (uint32_t k = 0; k < OTHERS; k++)
    {
      char name[16];

      g_snprintf (name, sizeof name, "other-%u", k);
      others[k] = cli_open (d, &d->vms[0], name, DEP_BOUNDED, 1500000, false);
      if (!others[k])
        dep_give_up (d, "a client has no session");
    }
  if (serve_others (others) < OTHERS)
    dep_give_up (d, "the other clients are not served before");
  if (o.trouble)
    {
      dep_note (d, "%d clients send %d reads each and read no answer", CROWD,
                READS);
      for (uint32_t n = 0; n < CROWD; n++)
        open_member (d, &d->vms[0], n);
      for (int64_t until_us = loop_now_us () + CROWD_WAIT_US;
           loop_now_us () < until_us && dep_count_killed (d) == 0;)
        {
          peak_kb = dep_peak_kb (&d->vms[0]);
          g_usleep (100000);
        }
      dep_note (d, "%s: %ld KB", d->vms[0].name, peak_kb);
    }
  answered = serve_others (others);
  g_snprintf (result, sizeof result,
              "%u processes killed for their memory; %u of %d other clients "
              "were answered afterwards",
              dep_count_killed (d), answered, OTHERS);
  dep_finish (d, dep_count_killed (d) > 0, result);
}
