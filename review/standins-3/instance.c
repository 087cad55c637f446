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

struct instance
{
  struct dep *dep;
  uint32_t k;
  int fd;
  GMutex slots_lock;
  GCond slot_free;
  uint32_t running;
};

struct conn
{
  struct instance *server;
  int fd;
  struct dbm_conn *db; /* NULL before STARTUP */
  GString *in;
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
  GString *out = g_string_new (NULL);
  bool goes_on = false;

  codec->ops->read_relay (codec, line, len, &m);
  if (m.kind == CODEC_START && !c->db)
    goes_on = start (c, &m, out);
  else if (m.kind == CODEC_STATEMENT && c->db)
    {
      run (c, &m, out);
      goes_on = true;
    }
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
  close (c->fd);
  g_mutex_lock (&c->server->dep->lock);
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
        continue;
      c = g_new0 (struct conn, 1);
      c->server = i;
      c->fd = fd;
      g_thread_unref (g_thread_new ("conn", serve_conn, c));
    }
  return NULL;
}

void
ins_serve (struct dep *d, uint32_t k)
{
  struct instance *i = g_new0 (struct instance, 1);
  struct sockaddr_in a
      = { .sin_family = AF_INET, .sin_port = htons (d->instance_ports[k]) };
  int on = 1;

  i->dep = d;
  i->k = k;
  i->fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  inet_pton (AF_INET, "127.0.0.1", &a.sin_addr);
  setsockopt (i->fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  if (bind (i->fd, (struct sockaddr *)&a, sizeof a) != 0
      || listen (i->fd, 128) != 0)
    dep_give_up (d, "an instance can't listen");
  g_thread_unref (g_thread_new ("accept", accept_conns, i));
}
