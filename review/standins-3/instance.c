/* The sockets of a database instance: one thread a connection, the slots of
   the instance, and the database model of the project's tests.  Each message
   is answered in full and in order.  */
#include "deployment.h"

#include "linecodec.h"
#include "loop.h"

#include <arpa/inet.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define SLOTS 2
#define WORK_US 4000
#define HANDSHAKE_US 12000
#define READ_BYTES 65536
#define ACCEPT_PAUSE_US 5000

struct instance
{
  struct dep *dep;
  uint32_t k;
  int fd;
  GMutex slots_lock;
  GCond slot_free;
  uint32_t running;
  GPtrArray *conns; /* struct conn * */
};

struct conn
{
  struct instance *server;
  int fd;
  struct dbm_conn *db; /* NULL before STARTUP */
  GString *in;
  bool silent; /* answers nothing more: the instance went dark */
};

static void
work (struct instance *i, int64_t for_us)
{
  g_mutex_lock (&i->slots_lock);
  while (i->running >= SLOTS)
    g_cond_wait (&i->slot_free, &i->slots_lock);
  i->running++;
  g_mutex_unlock (&i->slots_lock);
  g_usleep ((gulong)for_us);
  g_mutex_lock (&i->slots_lock);
  i->running--;
  g_cond_signal (&i->slot_free);
  g_mutex_unlock (&i->slots_lock);
}

static bool
send_all (int fd, const GString *out)
{
  for (size_t at = 0; at < out->len;)
    {
      ssize_t n = send (fd, out->str + at, out->len - at, MSG_NOSIGNAL);

      if (n <= 0)
        return false;
      at += (size_t)n;
    }
  return true;
}

static bool
occupies_slot (enum stm_kind kind)
{
  return kind == STM_READ || kind == STM_WRITE || kind == STM_EXECUTE
         || kind == STM_COMMIT;
}

static void
append_ready (GString *out, struct logpos position)
{
  if (lp_is_known (position))
    g_string_append_printf (out, "READY I %u.%lu\r\n", position.term,
                            (unsigned long)position.number);
  else
    g_string_append (out, "READY I -\r\n");
}

/* Answers STARTUP.  Returns false if the connection ends.  */
static bool
start (struct conn *c, const struct codec_caller *m, GString *out)
{
  struct instance *s = c->server;
  struct dep *d = s->dep;
  struct dbm_instance *i = &d->group->instances[s->k];
  const char *code = NULL;

  work (s, HANDSHAKE_US);
  g_mutex_lock (&d->lock);
  if (strcmp (m->database, DEP_SERVICE) != 0
      || g_strcmp0 (m->instance, i->id) != 0)
    code = "MOVED";
  else if (i->n_connections >= i->connections_max)
    code = "MAXCONN";
  else
    {
      c->db = dbm_connect (i);
      append_ready (out, dbm_applied (i, loop_now_us ()));
    }
  g_mutex_unlock (&d->lock);
  if (code)
    g_string_append_printf (out, "ERROR %s -\r\n", code);
  return code == NULL;
}

static size_t
bytes_of_values (const struct dbm_conn *c)
{
  GHashTableIter iter;
  gpointer value;
  size_t n = 0;

  g_hash_table_iter_init (&iter, c->values);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    n += strlen (value);
  return n;
}

/* Notes what the log of I holds, for the check at the end.  The group is
   locked.  */
static void
keep_read (struct dep *d, struct dbm_instance *i, const char *id)
{
  const struct dbm_sender *sender = g_hash_table_lookup (d->senders, id);
  struct dep_read *r;

  if (!sender)
    return;
  r = g_new0 (struct dep_read, 1);
  r->id = g_strdup (id);
  r->instance = i;
  r->first_byte_us = sender->first_byte_us;
  r->log = g_ptr_array_copy (i->log, NULL, NULL);
  g_ptr_array_add (d->reads, r);
}

static void
run (struct conn *c, const struct codec_caller *m, GString *out)
{
  struct dep *d = c->server->dep;
  struct stm_result result;
  const struct codec *codec = lin_codec ();
  bool is_work = occupies_slot (m->statement.kind);
  bool reads = m->statement.kind == STM_READ;
  char row[200];
  char *large = NULL;

  if (is_work)
    work (c->server, WORK_US);
  g_mutex_lock (&d->lock);
  dbm_run (c->db, m->min_position, &m->statement, &result, loop_now_us ());
  if (result.status)
    {
      const struct stm_status *t = result.status;

      g_snprintf (row, sizeof row, "DATAROW %s %u %u.%lu %u 0 0 %u\r\n",
                  t->primary ? "primary" : "replica", t->term,
                  MAX (t->received.term, 1), (unsigned long)t->received.number,
                  t->term, c->db->instance->n_connections);
      result.rows = row;
      result.rows_len = strlen (row);
    }
  else if (reads && result.ok && d->o.row_bytes > 0)
    {
      large = g_malloc (d->o.row_bytes + 11);
      memcpy (large, "DATAROW ", 8);
      memset (large + 8, 'r', d->o.row_bytes);
      memcpy (large + 8 + d->o.row_bytes, "\r\n", 3);
      result.rows = large;
      result.rows_len = d->o.row_bytes + 10;
    }
  codec->ops->write_result (codec, out, &result);
  if (d->o.keeps_reads && reads && result.ok)
    keep_read (d, c->db->instance, m->statement.id);
  if (is_work && m->statement.id)
    {
      d->runs++;
      if (d->runs <= 400 || !result.ok)
        dep_note (d, "%s ran %s (kind %d, %u session values of %zu bytes): %s",
                  c->db->instance->id, m->statement.id, m->statement.kind,
                  g_hash_table_size (c->db->values), bytes_of_values (c->db),
                  result.ok ? "success" : sqc_name (result.code));
    }
  g_mutex_unlock (&d->lock);
  g_free (large);
}

/* Handles one line.  Returns false if the connection ends.  */
static bool
handle_line (struct conn *c, char *line, size_t len)
{
  const struct codec *codec = lin_codec ();
  struct codec_caller m;
  GString *out;
  bool goes_on = false;

  if (c->silent || c->server->dep->states[c->server->k] != INS_UP)
    return true;
  out = g_string_new (NULL);
  codec->ops->read_relay (codec, line, len, &m);
  if (m.kind == CODEC_START && !c->db)
    goes_on = start (c, &m, out);
  else if (m.kind == CODEC_STATEMENT && c->db)
    {
      run (c, &m, out);
      goes_on = true;
    }
  if (c->silent)
    g_string_truncate (out, 0);
  goes_on = send_all (c->fd, out) && goes_on;
  g_string_free (out, TRUE);
  return goes_on;
}

/* Handles the complete lines of C's input.  */
static bool
handle_input (struct conn *c)
{
  size_t at = 0;
  char *end;

  while ((end = memmem (c->in->str + at, c->in->len - at, "\r\n", 2)))
    {
      char *line = c->in->str + at;

      *end = '\0';
      at = (size_t)(end - c->in->str) + 2;
      if (!handle_line (c, line, (size_t)(end - line)))
        return false;
    }
  g_string_erase (c->in, 0, (gssize)at);
  return true;
}

static gpointer
serve_conn (gpointer arg)
{
  struct conn *c = arg;
  char *buffer = g_malloc (READ_BYTES);
  ssize_t n;

  c->in = g_string_new (NULL);
  while ((n = recv (c->fd, buffer, READ_BYTES, 0)) > 0)
    {
      g_string_append_len (c->in, buffer, n);
      if (!handle_input (c))
        break;
    }
  g_mutex_lock (&c->server->dep->lock);
  g_ptr_array_remove_fast (c->server->conns, c);
  close (c->fd);
  if (c->db)
    dbm_disconnect (c->db);
  g_mutex_unlock (&c->server->dep->lock);
  g_string_free (c->in, TRUE);
  g_free (buffer);
  g_free (c);
  return NULL;
}

static gpointer
accept_conns (gpointer arg)
{
  struct instance *i = arg;

  for (;;)
    {
      struct conn *c;
      int fd = accept4 (i->fd, NULL, NULL, SOCK_CLOEXEC);

      if (fd < 0)
        {
          g_usleep (ACCEPT_PAUSE_US);
          continue;
        }
      c = g_new0 (struct conn, 1);
      c->server = i;
      c->fd = fd;
      g_mutex_lock (&i->dep->lock);
      c->silent = i->dep->states[i->k] != INS_UP;
      g_ptr_array_add (i->conns, c);
      g_mutex_unlock (&i->dep->lock);
      g_thread_unref (g_thread_new ("conn", serve_conn, c));
    }
  return NULL;
}

static bool
open_port (struct instance *i)
{
  struct sockaddr_in a = { .sin_family = AF_INET,
                           .sin_port = htons (i->dep->instance_ports[i->k]) };
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  int on = 1;
  bool ok;

  inet_pton (AF_INET, "127.0.0.1", &a.sin_addr);
  setsockopt (fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  ok = bind (fd, (struct sockaddr *)&a, sizeof a) == 0
       && listen (fd, 128) == 0;
  if (ok)
    i->fd = fd;
  else
    close (fd);
  return ok;
}

void
ins_set_state (struct dep *d, uint32_t k, enum ins_state state)
{
  static const char *const names[] = { "is back", "crashes", "goes dark" };
  struct instance *i = d->servers[k];
  int port = i->fd;

  dep_note (d, "%s %s", d->group->instances[k].id, names[state]);
  g_mutex_lock (&d->lock);
  if (state == INS_UP && d->states[k] == INS_DOWN)
    d->born_ms[k]++;
  d->states[k] = state;
  d->changes += state == INS_UP ? 1 : 0;
  d->silent_since_us[k] = state == INS_UP ? 0 : loop_now_us ();
  for (guint n = 0; n < i->conns->len; n++)
    {
      struct conn *c = g_ptr_array_index (i->conns, n);

      c->silent = true;
      if (state != INS_DARK)
        shutdown (c->fd, SHUT_RDWR);
    }
  g_mutex_unlock (&d->lock);
  if (state == INS_DOWN)
    {
      i->fd = -1;
      shutdown (port, SHUT_RDWR);
      close (port);
    }
  else if (i->fd < 0 && !open_port (i))
    dep_give_up (d, "an instance can't listen again");
}

void
ins_serve (struct dep *d, uint32_t k)
{
  struct instance *i = g_new0 (struct instance, 1);

  i->dep = d;
  i->k = k;
  i->conns = g_ptr_array_new ();
  d->servers[k] = i;
  if (!open_port (i))
    dep_give_up (d, "an instance can't listen");
  g_thread_unref (g_thread_new ("accept", accept_conns, i));
}
