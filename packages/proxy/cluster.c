/* Connects this proxy's failover module, directory feed (feed.h) and session
   pooler to the other proxies.  */
#include "cluster.h"

#include <string.h>

#define US_PER_MS 1000
/* Longest wait for the next operation of an account that a peer may ask for.
 */
#define LIMIT_WAIT_MAX_MS 10000

struct cluster
{
  struct cluster_options options;
  struct sfo_port port;
  struct lim_port limit_port;
  struct sfo *sfo;
  struct lim *limits; /* of the pooler */
  struct fed *feed;
  struct peers *peers;
  GHashTable *vms; /* name -> address for peers, this proxy included */
  int64_t tick_us; /* when cluster_tick is due again */
};

static struct cluster *
get_cluster (struct sfo_port *port)
{
  return (struct cluster *)((char *)port - offsetof (struct cluster, port));
}

/* Sends M to VM.  ADDRESS is NULL for a reply, which goes back over the link
   that VM opened.  */
static void
send_to (struct cluster *c, const char *vm, const char *address,
         const struct gsp_message *m)
{
  GByteArray *out = g_byte_array_new ();
  struct peer_port *port = peers_port (c->peers);

  gsp_encode (m, out);
  ctr_add (c->options.counters, CTR_PEER_BYTES_SENT, out->len);
  port->ops->send (port, vm, address, (const char *)out->data, out->len);
  g_byte_array_free (out, TRUE);
}

static void
on_claim (struct sfo_port *port, const struct sfo_claim_request *request)
{
  struct cluster *c = get_cluster (port);

  c->options.sink.claim (c->options.sink.arg, request);
}

static void
on_promote (struct sfo_port *port, const char *service, const char *instance,
            uint64_t token)
{
  struct cluster *c = get_cluster (port);

  c->options.sink.promote (c->options.sink.arg, service, instance, token);
}

/* Sends M to VM unless it is unknown or this proxy itself.  */
static void
send_to_peer (struct cluster *c, const char *vm, const struct gsp_message *m)
{
  const char *address = g_hash_table_lookup (c->vms, vm);

  if (address && strcmp (vm, c->options.vm) != 0)
    send_to (c, vm, address, m);
}

/* Sends M to every peer whose name is a key of VMS.  */
static void
send_to_peers (struct cluster *c, GHashTable *vms, const struct gsp_message *m)
{
  GHashTableIter iter;
  gpointer vm;

  g_hash_table_iter_init (&iter, vms);
  while (g_hash_table_iter_next (&iter, &vm, NULL))
    send_to_peer (c, vm, m);
}

/* Returns a message that borrows SERVICE and INSTANCE.  */
static struct gsp_message
make_message (enum gsp_kind kind, const char *service, const char *instance)
{
  struct gsp_message m = { 0 };

  m.kind = kind;
  m.service = (char *)service;
  m.instance = (char *)instance;
  return m;
}

static void
on_request_votes (struct sfo_port *port, const char *service,
                  const char *instance, GHashTable *voters)
{
  struct gsp_message m = make_message (GSP_VOTE_REQUEST, service, instance);

  send_to_peers (get_cluster (port), voters, &m);
}

/* Asks the peers that may hold connections to INSTANCE to close one: HOLDERS,
   or all peers when HOLDERS is NULL.  */
static void
on_out_of_connections (void *arg, const char *service, const char *instance,
                       const struct vmt_homes *holders)
{
  struct cluster *c = arg;
  struct gsp_message m = make_message (GSP_YIELD, service, instance);

  if (!holders)
    send_to_peers (c, c->vms, &m);
  for (uint32_t k = 0; holders && k < holders->n; k++)
    send_to_peer (c, holders->vms[k]->name, &m);
}

static struct cluster *
get_cluster_of_limits (struct lim_port *port)
{
  return (struct cluster *)((char *)port
                            - offsetof (struct cluster, limit_port));
}

/* Requests operations of an account from VM.  */
static void
on_limit_request (struct lim_port *port, const char *vm,
                  const struct qlm_request *request)
{
  struct gsp_message m = make_message (GSP_LIMIT_REQUEST, NULL, NULL);

  m.limit.account = (char *)request->account;
  m.limit.part = request->part;
  m.limit.serial = request->serial;
  m.limit.needed = request->needed;
  m.limit.wanted = request->wanted;
  send_to_peer (get_cluster_of_limits (port), vm, &m);
}

static const struct lim_port_ops limit_port_ops = { on_limit_request };

/* Grants operations of an account to FROM.  */
static void
on_limit_requested (struct cluster *c, const char *from,
                    const struct gsp_limit *limit, int64_t now_us)
{
  struct gsp_message grant = make_message (GSP_LIMIT_GRANT, NULL, NULL);
  const struct qlm_request request
      = { limit->account, limit->part, limit->serial, limit->needed,
          limit->wanted };
  struct qgr_reply reply;

  lim_grant (c->limits, &request, now_us, &reply);
  grant.limit = *limit;
  grant.limit.granted = reply.granted;
  grant.limit.wait_ms = (uint64_t)reply.wait_us / US_PER_MS;
  send_to (c, from, NULL, &grant);
}

static void
on_limit_granted (struct cluster *c, const char *from,
                  const struct gsp_limit *limit, int64_t now_us)
{
  struct qgr_reply reply = { 0 };

  reply.granted = limit->granted;
  reply.wait_us = (int64_t)MIN (limit->wait_ms, LIMIT_WAIT_MAX_MS) * US_PER_MS;
  lim_granted (c->limits, from, limit->account, limit->part, limit->serial,
               &reply, now_us);
  plr_decide_held (c->options.pooler, limit->account, now_us);
}

static const struct sfo_port_ops failover_port_ops
    = { on_claim, on_promote, on_request_votes };

static void
on_vote_requested (struct cluster *c, const char *from,
                   const struct gsp_message *m, int64_t now_us)
{
  struct gsp_message vote = { 0 };

  vote.kind = GSP_VOTE;
  vote.service = m->service;
  vote.instance = m->instance;
  vote.vote
      = (uint32_t)sfo_cast_vote (c->sfo, m->service, m->instance, now_us);
  send_to (c, from, NULL, &vote);
}

/* Sends VM the directory items newer than REVISION, on the link that VM
   opened.  */
static void
send_updates (void *arg, const char *vm, uint64_t revision)
{
  struct cluster *c = arg;
  struct gsp_message items = { 0 };

  items.kind = GSP_DELTA;
  items.items = g_new0 (struct gsp_item, GSP_ITEMS_MAX);
  c->options.sink.collect_updates (c->options.sink.arg, revision, &items);
  send_to (c, vm, NULL, &items);
  gsp_clear (&items);
}

static void
on_updates_requested (struct cluster *c, const char *from, uint64_t revision,
                      int64_t now_us)
{
  fed_note_subscriber (c->feed, from, revision, now_us);
  send_updates (c, from, revision);
}

/* Applies the items of M.  Records their age only if they follow on the items
   known here, without a gap.  */
static void
on_updates (struct cluster *c, const struct gsp_message *m, int64_t now_us)
{
  int64_t age_us
      = m->age_ms < GSP_AGE_UNKNOWN ? (int64_t)m->age_ms * 1000 : -1;

  if (c->options.sink.apply_updates (c->options.sink.arg, m))
    fed_note_reply (c->feed, age_us, now_us);
}

/* Requests from VM all items newer than the revision up to which this proxy
   knows them all.  */
static void
request_updates_from (struct cluster *c, const char *vm)
{
  struct gsp_message m = { 0 };

  m.kind = GSP_DELTA_REQUEST;
  m.revision = c->options.sink.known_revision (c->options.sink.arg);
  send_to_peer (c, vm, &m);
}

/* Requests updates from a feeder when the next request is due.  */
static void
request_updates_if_due (struct cluster *c, int64_t now_us)
{
  const char *vm = fed_next_request (c->feed, now_us);

  if (vm)
    request_updates_from (c, vm);
}

static void
on_message (void *arg, const char *from, const char *data, size_t len)
{
  struct cluster *c = arg;
  struct gsp_message m;
  int64_t now_us = loop_now_us ();

  if (!gsp_decode (data, len, &m))
    {
      ctr_add (c->options.counters, CTR_MALFORMED_MESSAGE, 1);
      EV (c->options.log, now_us, EV_BAD_INPUT, EV_TEXT ("from", "peer"),
          EV_TEXT ("peer", from), EV_INT ("bytes", (int64_t)len));
      return;
    }
  switch (m.kind)
    {
    case GSP_VOTE_REQUEST:
      on_vote_requested (c, from, &m, now_us);
      break;
    case GSP_VOTE:
      if (m.vote <= SFO_VOTE_UNKNOWN)
        sfo_add_vote (c->sfo, m.service, m.instance, from,
                      (enum sfo_vote)m.vote, now_us);
      break;
    case GSP_YIELD:
      plr_yield_link (c->options.pooler, m.service, m.instance, now_us);
      break;
    case GSP_DELTA_REQUEST:
      on_updates_requested (c, from, m.revision, now_us);
      break;
    case GSP_DELTA:
      on_updates (c, &m, now_us);
      break;
    case GSP_LIMIT_REQUEST:
      on_limit_requested (c, from, &m.limit, now_us);
      break;
    case GSP_LIMIT_GRANT:
      on_limit_granted (c, from, &m.limit, now_us);
      break;
    case GSP_OLD_DELTA_REQUEST:
    case GSP_OLD_DELTA:
    case GSP_KIND_END:
      break;
    }
  gsp_clear (&m);
}

/* Only logs the loss: a vote that does not arrive is not counted.  */
static void
on_peer_lost (void *arg, const char *vm)
{
  struct cluster *c = arg;

  EV (c->options.log, loop_now_us (), EV_PEER, EV_TEXT ("peer", vm),
      EV_TEXT ("what", "link lost"));
}

struct cluster *
cluster_new (const struct cluster_options *options, GError **error)
{
  struct cluster *c = g_new0 (struct cluster, 1);
  struct sfo_options so = { 0 };
  struct peers_options po = { 0 };
  struct fed_options fo = { 0 };

  c->options = *options;
  c->port.ops = &failover_port_ops;
  c->vms = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  so.pooler = options->pooler;
  so.port = &c->port;
  so.counters = options->counters;
  so.log = options->log;
  so.vm = options->vm;
  so.tokens_are_checked = options->tokens_are_checked;
  c->sfo = sfo_new (&so);
  plr_set_request_yield (options->pooler, on_out_of_connections, c);
  c->limits = plr_limits (options->pooler);
  c->limit_port.ops = &limit_port_ops;
  lim_set_port (c->limits, &c->limit_port);
  fo.vms = plr_vms (options->pooler);
  fo.vm = options->vm;
  fo.data_centre = options->data_centre;
  fo.stale_us = options->stale_us;
  c->feed = fed_new (&fo);
  po.loop = options->loop;
  po.sink = (struct peers_sink){ on_message, on_peer_lost, c };
  po.vm = options->vm;
  po.listen = options->listen;
  c->peers = peers_new (&po, error);
  if (c->peers)
    return c;
  cluster_free (c);
  return NULL;
}

void
cluster_free (struct cluster *c)
{
  if (!c)
    return;
  if (c->peers)
    peers_free (c->peers);
  lim_set_port (c->limits, NULL);
  sfo_free (c->sfo);
  fed_free (c->feed);
  g_hash_table_destroy (c->vms);
  g_free (c);
}

struct sfo *
cluster_failover (struct cluster *c)
{
  return c->sfo;
}

struct fed *
cluster_feed (struct cluster *c)
{
  return c->feed;
}

void
cluster_set_vm (struct cluster *c, const struct cluster_vm *vm, int64_t now_us)
{
  qgs_note_listed (lim_fleet (c->limits), vm->name, now_us);
  if (!g_hash_table_contains (c->vms, vm->name))
    EV (c->options.log, now_us, EV_PEER, EV_TEXT ("peer", vm->name),
        EV_TEXT ("what", "listed"));
  g_hash_table_replace (c->vms, g_strdup (vm->name), g_strdup (vm->address));
  plr_set_vm (c->options.pooler, vm->name, vm->relay_address, vm->data_centre,
              vm->capacity);
}

void
cluster_remove_vm (struct cluster *c, const char *name, int64_t now_us)
{
  if (!g_hash_table_remove (c->vms, name))
    return;
  EV (c->options.log, now_us, EV_PEER, EV_TEXT ("peer", name),
      EV_TEXT ("what", "gone"));
  qgs_note_gone (lim_fleet (c->limits), name, now_us);
  plr_remove_vm (c->options.pooler, name);
}

void
cluster_request_updates (struct cluster *c)
{
  guint n = g_hash_table_size (c->vms);
  guint pick = n > 0 ? g_random_int_range (0, (gint32)n) : 0;
  GHashTableIter iter;
  gpointer vm;

  /* Nothing is sent if the proxy picked is this one.  */
  g_hash_table_iter_init (&iter, c->vms);
  for (guint i = 0; g_hash_table_iter_next (&iter, &vm, NULL); i++)
    if (i == pick)
      request_updates_from (c, vm);
}

void
cluster_tick (struct cluster *c, int64_t now_us)
{
  if (now_us < c->tick_us)
    return;
  c->tick_us = now_us + SFO_TICK_US;
  peers_tick (c->peers, now_us);
  request_updates_if_due (c, now_us);
  fed_push (c->feed, c->options.sink.known_revision (c->options.sink.arg),
            send_updates, c, now_us);
  sfo_tick (c->sfo, c->vms, now_us);
}
