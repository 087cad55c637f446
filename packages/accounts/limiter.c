/* The limits of accounts at one proxy.  */
#include "limiter.h"

#include <math.h>
#include <string.h>

/* How long a grantor that did not reply is not asked again; doubled each
   time.  */
#define UNREACHABLE_MIN_US 200000
#define UNREACHABLE_MAX_US 800000
/* Grants are requested ahead for this time of the usual demand.  */
#define AHEAD_S 0.1
#define AHEAD_MAX 32
/* Shortest wait told to a caller.  */
#define RETRY_MIN_US 20000
/* Time over which the demand is averaged.  */
#define DEMAND_S 1.0
/* An account that was not used for this time is forgotten.  */
#define IDLE_US 30000000
#define US_PER_S 1e6

struct part
{
  uint64_t last_serial;    /* of the last request, 0 = none */
  bool pending;            /* operations are held for its reply */
  int64_t sent_us;         /* when it was sent */
  uint32_t needed;         /* operations that it asked for at least */
  int64_t closed_until_us; /* it is not asked before */
  int64_t unreachable_us;  /* the last wait for one that did not reply, 0 = it
                              replies */
};

struct account
{
  char *name;
  uint32_t tokens;
  int64_t valid_until_us;
  uint32_t n_waiting; /* operations whose last verdict was to wait */
  struct part parts[QGR_PARTS];
  uint32_t preferred; /* part that is asked first: the last one to grant */
  double demand;      /* operations in the last DEMAND_S, decaying */
  int64_t used_us;
};

struct qlm
{
  struct qlm_port *port;
  char *own;
  GHashTable *accounts; /* name -> struct account * */
  uint64_t last_serial;
};

static void
free_account (gpointer data)
{
  struct account *a = data;

  g_free (a->name);
  g_free (a);
}

struct qlm *
qlm_new (struct qlm_port *port, const char *own)
{
  struct qlm *q = g_new0 (struct qlm, 1);

  q->port = port;
  q->own = g_strdup (own);
  q->accounts
      = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, free_account);
  return q;
}

void
qlm_free (struct qlm *q)
{
  if (!q)
    return;
  g_hash_table_destroy (q->accounts);
  g_free (q->own);
  g_free (q);
}

static struct account *
get_account (struct qlm *q, const char *name, int64_t now_us)
{
  struct account *a = g_hash_table_lookup (q->accounts, name);

  if (!a)
    {
      a = g_new0 (struct account, 1);
      a->name = g_strdup (name);
      a->preferred = (g_str_hash (q->own) ^ g_str_hash (name)) % QGR_PARTS;
      g_hash_table_insert (q->accounts, a->name, a);
    }
  a->used_us = now_us;
  return a;
}

static void
note_demand (struct account *a, int64_t last_us, int64_t now_us)
{
  double gap_s = (double)(now_us - last_us) / US_PER_S;

  a->demand = a->demand * exp (-gap_s / DEMAND_S) + 1;
}

static uint32_t
count_ahead (const struct account *a)
{
  return MIN ((uint32_t)(a->demand * AHEAD_S / DEMAND_S), AHEAD_MAX);
}

static void
send_request (struct qlm *q, struct account *a, uint32_t part, uint32_t needed,
              int64_t now_us)
{
  struct qlm_request r = { a->name, part, ++q->last_serial, needed, 0 };

  r.wanted = MAX (needed + count_ahead (a), 1);
  a->parts[part].last_serial = r.serial;
  a->parts[part].pending = true;
  a->parts[part].sent_us = now_us;
  a->parts[part].needed = needed;
  q->port->ops->request (q->port, &r);
}

static bool
is_open (const struct part *p, int64_t now_us)
{
  return now_us >= p->closed_until_us;
}

/* Asks the first grantor that is open, beginning with the preferred one. Those
   that did not reply are asked beside it.  */
static void
request_grant (struct qlm *q, struct account *a, uint32_t needed,
               int64_t now_us)
{
  bool asked = false;

  for (uint32_t k = 0; k < QGR_PARTS; k++)
    {
      uint32_t n = (a->preferred + k) % QGR_PARTS;
      struct part *p = &a->parts[n];

      if (!is_open (p, now_us) || (asked && p->unreachable_us == 0))
        continue;
      if (p->unreachable_us == 0)
        asked = true;
      if (!p->pending)
        send_request (q, a, n, needed, now_us);
    }
}

static bool
has_pending (const struct account *a)
{
  for (uint32_t n = 0; n < QGR_PARTS; n++)
    if (a->parts[n].pending)
      return true;
  return false;
}

/* Returns true if a grantor has refused operations of A for now.  */
static bool
has_closed (const struct account *a, int64_t now_us)
{
  for (uint32_t n = 0; n < QGR_PARTS; n++)
    if (a->parts[n].unreachable_us == 0 && !is_open (&a->parts[n], now_us))
      return true;
  return false;
}

static bool
take_token (struct account *a, int64_t now_us)
{
  if (now_us >= a->valid_until_us)
    a->tokens = 0;
  if (a->tokens == 0)
    return false;
  a->tokens--;
  return true;
}

/* Sets *WAIT_US to the time until a part opens and returns the verdict.  */
static enum qlm_verdict
refuse (const struct account *a, int64_t now_us, int64_t *wait_us)
{
  enum qlm_verdict verdict = QLM_UNREACHABLE;
  int64_t until_us = INT64_MAX;

  for (uint32_t n = 0; n < QGR_PARTS; n++)
    {
      until_us = MIN (until_us, a->parts[n].closed_until_us);
      if (a->parts[n].unreachable_us == 0)
        verdict = QLM_OVER_LIMIT;
    }
  *wait_us = MAX (until_us - now_us, RETRY_MIN_US);
  return verdict;
}

/* Decides on one of the operations that wait.  */
static enum qlm_verdict
decide_waiting (struct qlm *q, struct account *a, int64_t patience_us,
                int64_t now_us, int64_t *wait_us)
{
  if (take_token (a, now_us))
    return QLM_ADMIT;
  /* This proxy may be the grantor of a part and close it at once.  */
  for (uint32_t n = 0; n < QGR_PARTS && !has_pending (a); n++)
    {
      request_grant (q, a, a->n_waiting, now_us);
      if (take_token (a, now_us))
        return QLM_ADMIT;
    }
  if (has_pending (a) && (patience_us > 0 || !has_closed (a, now_us)))
    return QLM_WAIT;
  return refuse (a, now_us, wait_us);
}

enum qlm_verdict
qlm_take (struct qlm *q, const char *account, bool again, int64_t patience_us,
          int64_t now_us, int64_t *wait_us)
{
  struct account *a = g_hash_table_lookup (q->accounts, account);
  int64_t last_us = a ? a->used_us : now_us;
  enum qlm_verdict verdict;

  a = get_account (q, account, now_us);
  if (!again)
    note_demand (a, last_us, now_us);
  if (!again || a->n_waiting == 0)
    a->n_waiting++;
  verdict = decide_waiting (q, a, patience_us, now_us, wait_us);
  if (verdict != QLM_WAIT)
    a->n_waiting--;
  if (verdict == QLM_ADMIT && a->tokens == 0 && count_ahead (a) > 0
      && !has_pending (a))
    request_grant (q, a, 0, now_us);
  return verdict;
}

void
qlm_forget (struct qlm *q, const char *account)
{
  struct account *a = g_hash_table_lookup (q->accounts, account);

  if (a && a->n_waiting > 0)
    a->n_waiting--;
}

void
qlm_expect (struct qlm *q, const char *account, int64_t now_us)
{
  struct account *a = get_account (q, account, now_us);

  if ((a->tokens == 0 || now_us >= a->valid_until_us) && !has_pending (a))
    request_grant (q, a, 0, now_us);
}

/* Adds a grant to the tokens at hand; all of them are valid until the earlier
   end of both.  */
static void
add_tokens (struct account *a, uint32_t granted, int64_t sent_us,
            int64_t now_us)
{
  int64_t until_us = sent_us + QGR_VALID_US;

  if (now_us >= a->valid_until_us)
    a->tokens = 0;
  if (now_us >= until_us || granted == 0)
    return;
  a->valid_until_us
      = a->tokens > 0 ? MIN (a->valid_until_us, until_us) : until_us;
  a->tokens += granted;
}

void
qlm_granted (struct qlm *q, const char *account, uint32_t part,
             uint64_t serial, const struct qgr_reply *reply, int64_t now_us)
{
  struct account *a = g_hash_table_lookup (q->accounts, account);
  struct part *p;

  if (!a || part >= QGR_PARTS || a->parts[part].last_serial != serial)
    return;
  p = &a->parts[part];
  p->last_serial = 0;
  p->pending = false;
  p->unreachable_us = 0;
  p->closed_until_us = 0;
  if (reply->granted < p->needed)
    p->closed_until_us = now_us + reply->wait_us;
  if (reply->granted > 0)
    a->preferred = part;
  add_tokens (a, reply->granted, p->sent_us, now_us);
}

static void
close_unreachable (struct part *p, int64_t now_us)
{
  p->pending = false;
  p->unreachable_us
      = CLAMP (2 * p->unreachable_us, UNREACHABLE_MIN_US, UNREACHABLE_MAX_US);
  p->closed_until_us = now_us + p->unreachable_us;
}

/* Gives up the request to P if its reply is overdue.  */
static void
give_up_request (struct part *p, int64_t now_us)
{
  if (p->pending && now_us - p->sent_us >= QLM_REPLY_TIMEOUT_US)
    close_unreachable (p, now_us);
}

void
qlm_unreachable (struct qlm *q, const char *account, uint32_t part,
                 uint64_t serial, int64_t now_us)
{
  struct account *a = g_hash_table_lookup (q->accounts, account);

  if (a && a->parts[part].pending && a->parts[part].last_serial == serial)
    close_unreachable (&a->parts[part], now_us);
}

bool
qlm_tick (struct qlm *q, int64_t now_us)
{
  GHashTableIter iter;
  gpointer value;
  bool decide = false;

  g_hash_table_iter_init (&iter, q->accounts);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      struct account *a = value;

      for (uint32_t n = 0; n < QGR_PARTS; n++)
        give_up_request (&a->parts[n], now_us);
      decide |= a->n_waiting > 0 && !has_pending (a);
      if (now_us - a->used_us > IDLE_US && !has_pending (a)
          && a->n_waiting == 0)
        g_hash_table_iter_remove (&iter);
    }
  return decide;
}
