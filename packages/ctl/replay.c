/* Replays a recorded trace.  Each caller in it has a thread of its own, which
   keeps the caller's session token and sends its requests in order, at their
   recorded times, to each proxy in turn.  */
#include "replay.h"

#include "requestid.h"

#include <curl/curl.h>
#include <jansson.h>
#include <pthread.h>
#include <sodium.h>
#include <stdatomic.h>
#include <string.h>
#include <time.h>

#define REQUEST_TIMEOUT_MS 20000L
#define CALLERS_MAX 256
/* Longest session token, with its terminating NUL.  */
#define SESSION_BYTES_MAX 4200

/* One line of the trace.  */
struct line
{
  int32_t number;
  int64_t at_ms; /* since the first line */
  json_t *body;
  const char *path;
  json_t *answer;   /* the one the trace states, NULL if none; borrowed */
  char *request_id; /* of the replay; NULL when the request has none */
};

/* The lines of one caller and the state of its thread.  */
struct caller
{
  struct replay *replay;
  char *name;
  GPtrArray *lines; /* struct line * */
  pthread_t thread;
  CURL *curl;
  char session[SESSION_BYTES_MAX];
  GString *answer; /* body of the last answer */
  uint32_t n_sent; /* counts requests, to choose the target */
};

struct replay
{
  const struct replay_options *options;
  struct replay_result *result;
  struct fnd_list *findings;
  pthread_mutex_t lock; /* guards RESULT and FINDINGS */
  GHashTable *callers;  /* name -> struct caller * */
  GPtrArray *roots;     /* json_t *, which own the JSON of the lines */
  int64_t start_us;     /* monotonic */
};

static void
free_line (gpointer data)
{
  struct line *l = data;

  g_free (l->request_id);
  g_free (l);
}

static void
free_caller (gpointer data)
{
  struct caller *c = data;

  g_ptr_array_free (c->lines, TRUE);
  g_free (c->name);
  g_free (c);
}

/* Returns the caller NAME, which is created if needed; NULL when there are too
   many.  */
static struct caller *
get_caller (struct replay *r, const char *name)
{
  struct caller *c = g_hash_table_lookup (r->callers, name);

  if (c || g_hash_table_size (r->callers) == CALLERS_MAX)
    return c;
  c = g_new0 (struct caller, 1);
  c->replay = r;
  c->name = g_strdup (name);
  c->lines = g_ptr_array_new_with_free_func (free_line);
  g_hash_table_insert (r->callers, c->name, c);
  return c;
}

/* Gives the request a new id.  A request id contains the time of its creation,
   so that those in an old trace are past the ledger's retention and would be
   refused.  */
static void
renew_request_id (struct line *l)
{
  uint64_t bits[2];
  char id[RID_LEN + 1];

  if (!json_is_string (json_object_get (l->body, "request_id")))
    return;
  randombytes_buf (bits, sizeof bits);
  rid_format (g_get_real_time () / 1000, bits, id);
  json_object_set_new (l->body, "request_id", json_string (id));
  l->request_id = g_strdup (id);
}

/* Parses one line of the trace and adds it to its caller's lines.  *FIRST_MS
   is the time of the first line, negative before it.  Returns false when the
   line is malformed.  */
static bool
load_line (struct replay *r, const char *text, int32_t number,
           int64_t *first_ms)
{
  json_t *root = json_loads (text, JSON_REJECT_DUPLICATES, NULL);
  json_int_t at_ms;
  const char *name;
  const char *path;
  json_t *body;
  struct caller *c;
  struct line *l;

  if (!root
      || json_unpack (root, "{s:I, s:s, s:s, s:o}", "at_ms", &at_ms, "caller",
                      &name, "path", &path, "body", &body)
             != 0
      || !json_is_object (body))
    {
      fnd_add (r->findings, r->options->file, number,
               "each line needs at_ms, caller, path and body");
      json_decref (root);
      return false;
    }
  g_ptr_array_add (r->roots, root);
  if (*first_ms < 0)
    *first_ms = at_ms;
  /* Requests of interactive transactions name transactions of proxies that no
     longer run, so that only requests complete in themselves can be
     replayed.  */
  if (strcmp (path, "/v1/run") != 0
      || (r->options->until_ms > 0
          && at_ms - *first_ms > r->options->until_ms))
    return true;
  c = get_caller (r, name);
  if (!c)
    return true;
  l = g_new0 (struct line, 1);
  l->number = number;
  l->at_ms = at_ms - *first_ms;
  l->body = body;
  l->path = path;
  l->answer = json_object_get (root, "answer");
  g_ptr_array_add (c->lines, l);
  return true;
}

static bool
load (struct replay *r)
{
  char *text = NULL;
  char **lines;
  int64_t first_ms = -1;
  bool ok = true;

  if (!g_file_get_contents (r->options->file, &text, NULL, NULL))
    {
      fnd_add (r->findings, r->options->file, 0, "the file cannot be read");
      return false;
    }
  lines = g_strsplit (text, "\n", -1);
  for (int32_t i = 0; lines[i]; i++)
    if (lines[i][0] != '\0')
      ok &= load_line (r, lines[i], i + 1, &first_ms);
  g_strfreev (lines);
  g_free (text);
  return ok;
}

static size_t
on_body (char *data, size_t size, size_t n, void *arg)
{
  g_string_append_len (arg, data, (gssize)(size * n));
  return size * n;
}

/* Keeps the session token of the answer for the caller's next request.  */
static size_t
on_header (char *data, size_t size, size_t n, void *arg)
{
  static const char name[] = "Cassiabay-Session: ";
  struct caller *c = arg;
  size_t prefix = sizeof name - 1;
  size_t len = size * n;

  if (len > prefix && len - prefix < SESSION_BYTES_MAX
      && g_ascii_strncasecmp (data, name, prefix) == 0)
    {
      memcpy (c->session, data + prefix, len - prefix);
      c->session[len - prefix] = '\0';
      g_strchomp (c->session);
    }
  return len;
}

/* Sends the request of L to the next proxy in turn.  Returns the parsed
   answer, NULL when there is none or it is not JSON.  */
static json_t *
send_line (struct caller *c, const struct line *l)
{
  const char *const *targets = c->replay->options->targets;
  uint32_t n = g_strv_length ((char **)targets);
  char *url
      = g_strdup_printf ("http://%s%s", targets[c->n_sent++ % n], l->path);
  char *session = g_strdup_printf ("Cassiabay-Session: %s", c->session);
  char *name = g_strdup_printf ("Cassiabay-Caller: %s", c->name);
  struct curl_slist *headers = curl_slist_append (NULL, session);
  char *body = json_dumps (l->body, JSON_COMPACT);
  json_t *answer;

  headers = curl_slist_append (headers, name);
  g_string_truncate (c->answer, 0);
  curl_easy_setopt (c->curl, CURLOPT_URL, url);
  curl_easy_setopt (c->curl, CURLOPT_HTTPHEADER, headers);
  curl_easy_setopt (c->curl, CURLOPT_COPYPOSTFIELDS, body);
  curl_easy_perform (c->curl);
  answer = json_loadb (c->answer->str, c->answer->len, 0, NULL);
  curl_slist_free_all (headers);
  free (body);
  g_free (name);
  g_free (session);
  g_free (url);
  return answer;
}

/* Returns the rows of the first result of ANSWER, NULL when it has none.  */
static json_t *
get_rows (json_t *answer)
{
  return json_object_get (
      json_array_get (json_object_get (answer, "results"), 0), "rows");
}

/* Compares only what the trace states of the answer.  */
static bool
matches_trace (const struct line *l, json_t *got)
{
  json_t *outcome = json_object_get (l->answer, "outcome");
  json_t *rows = get_rows (l->answer);

  if (!got)
    return false;
  if (outcome && !json_equal (outcome, json_object_get (got, "outcome")))
    return false;
  return !rows || json_equal (rows, get_rows (got));
}

/* Compares the answer GOT with the trace and counts the result.  */
static void
check_answer (struct caller *c, const struct line *l, json_t *got)
{
  struct replay *r = c->replay;
  char *text = got ? json_dumps (got, JSON_COMPACT) : NULL;

  pthread_mutex_lock (&r->lock);
  r->result->calls++;
  if (matches_trace (l, got))
    r->result->as_stated++;
  else
    {
      r->result->differing++;
      fnd_add (r->findings, r->options->file, l->number,
               "the answer is not as stated: %.200s", text ? text : "none");
    }
  pthread_mutex_unlock (&r->lock);
  free (text);
}

/* Sends a completed request that has a request id again, to the next proxy.
   Since it must not be executed twice, the answer must be the same as the
   first.  */
static void
check_repeat (struct caller *c, const struct line *l, json_t *first)
{
  struct replay *r = c->replay;
  json_t *second;

  if (!l->request_id
      || g_strcmp0 (json_string_value (json_object_get (first, "outcome")),
                    "done")
             != 0)
    return;
  second = send_line (c, l);
  pthread_mutex_lock (&r->lock);
  r->result->repeated++;
  if (!json_equal (json_object_get (first, "outcome"),
                   json_object_get (second, "outcome"))
      || !json_equal (json_object_get (first, "results"),
                      json_object_get (second, "results")))
    {
      r->result->broken++;
      fnd_add (r->findings, r->options->file, l->number,
               "the repeated request got a different answer");
    }
  pthread_mutex_unlock (&r->lock);
  json_decref (second);
}

/* Sleeps until the time AT_MS of the trace, scaled by the speed.  */
static void
wait_until (const struct replay *r, int64_t at_ms)
{
  int64_t due_us
      = r->start_us + (int64_t)((double)at_ms * 1000.0 / r->options->speed);
  struct timespec ts = { due_us / 1000000, due_us % 1000000 * 1000 };

  clock_nanosleep (CLOCK_MONOTONIC, TIMER_ABSTIME, &ts, NULL);
}

static void *
run_caller (void *arg)
{
  struct caller *c = arg;

  c->curl = curl_easy_init ();
  c->answer = g_string_new (NULL);
  curl_easy_setopt (c->curl, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt (c->curl, CURLOPT_PROXY, "");
  curl_easy_setopt (c->curl, CURLOPT_TIMEOUT_MS, REQUEST_TIMEOUT_MS);
  curl_easy_setopt (c->curl, CURLOPT_WRITEFUNCTION, on_body);
  curl_easy_setopt (c->curl, CURLOPT_WRITEDATA, c->answer);
  curl_easy_setopt (c->curl, CURLOPT_HEADERFUNCTION, on_header);
  curl_easy_setopt (c->curl, CURLOPT_HEADERDATA, c);
  for (uint32_t i = 0; i < c->lines->len; i++)
    {
      struct line *l = g_ptr_array_index (c->lines, i);
      json_t *got;

      wait_until (c->replay, l->at_ms);
      renew_request_id (l);
      got = send_line (c, l);
      check_answer (c, l, got);
      check_repeat (c, l, got);
      json_decref (got);
    }
  g_string_free (c->answer, TRUE);
  curl_easy_cleanup (c->curl);
  return NULL;
}

bool
replay_run (const struct replay_options *options, struct replay_result *result,
            struct fnd_list *findings)
{
  struct replay r = { 0 };
  GHashTableIter iter;
  gpointer value;
  bool ok;

  r.options = options;
  r.result = result;
  r.findings = findings;
  r.callers
      = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, free_caller);
  r.roots = g_ptr_array_new_with_free_func ((GDestroyNotify)json_decref);
  pthread_mutex_init (&r.lock, NULL);
  ok = load (&r);
  r.start_us = g_get_monotonic_time ();
  g_hash_table_iter_init (&iter, r.callers);
  while (ok && g_hash_table_iter_next (&iter, NULL, &value))
    pthread_create (&((struct caller *)value)->thread, NULL, run_caller,
                    value);
  g_hash_table_iter_init (&iter, r.callers);
  while (ok && g_hash_table_iter_next (&iter, NULL, &value))
    pthread_join (((struct caller *)value)->thread, NULL);
  g_hash_table_destroy (r.callers);
  g_ptr_array_free (r.roots, TRUE);
  pthread_mutex_destroy (&r.lock);
  return ok;
}
