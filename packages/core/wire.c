/* Encoder and decoder of the messages between proxies.  */
#include "wire.h"

#include "packcheck.h"
#include <msgpack.h>
#include <string.h>

/* Reads the items of a msgpack array in order.  A missing item or one of the
   wrong type sets FAILED; all later reads then return empty values.  */
struct cursor
{
  const msgpack_object *at;
  uint32_t left;
  bool failed;
};

struct wire_request *
wire_request_new (void)
{
  struct wire_request *r = g_new0 (struct wire_request, 1);

  r->refs = 1;
  r->database = g_strdup ("");
  r->instance = g_strdup ("");
  r->kind = g_strdup ("");
  r->request_id = g_strdup ("");
  r->transaction = g_strdup ("");
  return r;
}

struct wire_request *
wire_request_ref (struct wire_request *request)
{
  request->refs++;
  return request;
}

static void
free_statement (struct wire_statement *s)
{
  for (uint32_t i = 0; i < s->n_args; i++)
    g_free (s->args[i]);
  g_free (s->args);
  g_free (s->text);
}

void
wire_request_unref (struct wire_request *request)
{
  if (!request || --request->refs > 0)
    return;
  for (uint32_t i = 0; i < request->n_statements; i++)
    free_statement (&request->statements[i]);
  g_free (request->statements);
  g_free (request->database);
  g_free (request->instance);
  g_free (request->kind);
  g_free (request->request_id);
  g_free (request->transaction);
  g_free (request);
}

static void
alloc_statements (struct wire_request *request, uint32_t n)
{
  request->n_statements = n;
  request->statements = g_new0 (struct wire_statement, n);
}

void
wire_request_set_statements (struct wire_request *request,
                             const struct wire_statement *statements,
                             uint32_t n)
{
  alloc_statements (request, n);
  for (uint32_t i = 0; i < n; i++)
    {
      const struct wire_statement *from = &statements[i];
      struct wire_statement *to = &request->statements[i];

      to->text = g_strdup (from->text);
      to->n_args = from->n_args;
      to->args = g_new0 (char *, from->n_args + 1);
      for (uint32_t a = 0; a < from->n_args; a++)
        to->args[a] = g_strdup (from->args[a]);
    }
}

struct wire_request *
wire_request_clone (const struct wire_request *request)
{
  struct wire_request *copy = g_memdup2 (request, sizeof *request);

  copy->refs = 1;
  copy->database = g_strdup (request->database);
  copy->instance = g_strdup (request->instance);
  copy->kind = g_strdup (request->kind);
  copy->request_id = g_strdup (request->request_id);
  copy->transaction = g_strdup (request->transaction);
  wire_request_set_statements (copy, request->statements,
                               request->n_statements);
  return copy;
}

void
wire_reply_clear (struct wire_reply *reply)
{
  g_free (reply->rows);
  g_free (reply->detail);
  g_free (reply->transaction);
  memset (reply, 0, sizeof *reply);
}

static void
pack_text (msgpack_packer *pk, const char *text)
{
  size_t len = text ? strlen (text) : 0;

  msgpack_pack_str (pk, len);
  msgpack_pack_str_body (pk, text ? text : "", len);
}

static void
pack_bool (msgpack_packer *pk, bool value)
{
  if (value)
    msgpack_pack_true (pk);
  else
    msgpack_pack_false (pk);
}

static void
begin_message (msgpack_sbuffer *buf, msgpack_packer *pk, enum wire_type type,
               uint32_t n_items)
{
  msgpack_sbuffer_init (buf);
  msgpack_packer_init (pk, buf, msgpack_sbuffer_write);
  msgpack_pack_array (pk, n_items + 2);
  msgpack_pack_uint32 (pk, WIRE_VERSION);
  msgpack_pack_uint32 (pk, type);
}

static char *
end_message (msgpack_sbuffer *buf, size_t *len)
{
  char *copy = g_memdup2 (buf->data, buf->size);

  *len = buf->size;
  msgpack_sbuffer_destroy (buf);
  return copy;
}

static void
pack_statement (msgpack_packer *pk, const struct wire_statement *s)
{
  msgpack_pack_array (pk, 2);
  pack_text (pk, s->text);
  msgpack_pack_array (pk, s->n_args);
  for (uint32_t i = 0; i < s->n_args; i++)
    if (s->args[i])
      pack_text (pk, s->args[i]);
    else
      msgpack_pack_nil (pk);
}

char *
wire_encode_request (const struct wire_request *r, size_t *len)
{
  msgpack_sbuffer buf;
  msgpack_packer pk;

  begin_message (&buf, &pk, WIRE_REQUEST, 16);
  msgpack_pack_uint64 (&pk, r->id);
  msgpack_pack_uint32 (&pk, r->op);
  pack_text (&pk, r->database);
  pack_text (&pk, r->instance);
  pack_text (&pk, r->kind);
  pack_text (&pk, r->request_id);
  pack_text (&pk, r->transaction);
  pack_bool (&pk, r->read_only);
  pack_bool (&pk, r->use_ledger);
  pack_bool (&pk, r->fresh);
  msgpack_pack_int64 (&pk, r->max_age_ms);
  msgpack_pack_int64 (&pk, r->deadline_ms);
  msgpack_pack_uint64 (&pk, r->min_term);
  msgpack_pack_uint64 (&pk, r->min_position);
  msgpack_pack_uint64 (&pk, r->digest);
  msgpack_pack_array (&pk, r->n_statements);
  for (uint32_t i = 0; i < r->n_statements; i++)
    pack_statement (&pk, &r->statements[i]);
  return end_message (&buf, len);
}

static void
pack_view (msgpack_packer *pk, const struct wire_view *v)
{
  msgpack_pack_array (pk, 3);
  msgpack_pack_uint64 (pk, v->term);
  pack_text (pk, v->primary);
  msgpack_pack_array (pk, v->n);
  for (uint32_t i = 0; i < v->n; i++)
    {
      msgpack_pack_array (pk, 3);
      pack_text (pk, v->instances[i].name);
      msgpack_pack_int64 (pk, v->instances[i].age_ms);
      msgpack_pack_int64 (pk, v->instances[i].wait_ms);
    }
}

char *
wire_encode_reply (const struct wire_reply *r, size_t *len)
{
  msgpack_sbuffer buf;
  msgpack_packer pk;

  begin_message (&buf, &pk, WIRE_REPLY, 9);
  msgpack_pack_uint64 (&pk, r->id);
  pack_text (&pk, rsn_name (r->reason));
  msgpack_pack_uint64 (&pk, r->term);
  msgpack_pack_uint64 (&pk, r->position);
  pack_bool (&pk, r->from_primary);
  pack_text (&pk, r->rows);
  pack_text (&pk, r->detail);
  pack_text (&pk, r->transaction);
  pack_view (&pk, &r->view);
  return end_message (&buf, len);
}

static void
pack_vm (msgpack_packer *pk, const struct wire_vm *vm)
{
  msgpack_pack_array (pk, 8);
  pack_text (pk, vm->id);
  pack_text (pk, vm->data_centre);
  pack_text (pk, vm->region);
  pack_text (pk, vm->peer_address);
  pack_text (pk, vm->admin_address);
  msgpack_pack_uint64 (pk, vm->incarnation);
  msgpack_pack_uint32 (pk, vm->state);
  pack_text (pk, vm->suspected_by);
}

char *
wire_encode_heartbeat (const struct wire_heartbeat *beat, size_t *len)
{
  msgpack_sbuffer buf;
  msgpack_packer pk;

  begin_message (&buf, &pk, WIRE_HEARTBEAT, 3);
  pack_vm (&pk, &beat->self);
  msgpack_pack_uint64 (&pk, beat->revision);
  msgpack_pack_array (&pk, beat->n);
  for (uint32_t i = 0; i < beat->n; i++)
    pack_vm (&pk, &beat->members[i]);
  return end_message (&buf, len);
}

char *
wire_encode_pull (const struct wire_pull *pull, size_t *len)
{
  msgpack_sbuffer buf;
  msgpack_packer pk;

  begin_message (&buf, &pk, WIRE_PULL, 1);
  msgpack_pack_array (&pk, pull->n);
  for (uint32_t i = 0; i < pull->n; i++)
    pack_text (&pk, pull->hashes[i]);
  return end_message (&buf, len);
}

char *
wire_encode_files (const struct wire_files *files, size_t *len)
{
  msgpack_sbuffer buf;
  msgpack_packer pk;

  begin_message (&buf, &pk, WIRE_FILES, 3);
  msgpack_pack_uint64 (&pk, files->revision);
  pack_text (&pk, files->manifest);
  msgpack_pack_array (&pk, files->n);
  for (uint32_t i = 0; i < files->n; i++)
    {
      msgpack_pack_array (&pk, 2);
      pack_text (&pk, files->blobs[i].hash);
      msgpack_pack_bin_with_body (&pk, files->blobs[i].text,
                                  files->blobs[i].len);
    }
  return end_message (&buf, len);
}

static const msgpack_object *
read_item (struct cursor *c, msgpack_object_type type)
{
  if (c->failed || c->left == 0 || c->at->type != type)
    {
      c->failed = true;
      return NULL;
    }
  c->left--;
  return c->at++;
}

static uint64_t
read_uint (struct cursor *c)
{
  const msgpack_object *o = read_item (c, MSGPACK_OBJECT_POSITIVE_INTEGER);

  return o ? o->via.u64 : 0;
}

static int64_t
read_int (struct cursor *c)
{
  const msgpack_object *o;

  if (!c->failed && c->left > 0
      && c->at->type == MSGPACK_OBJECT_NEGATIVE_INTEGER)
    {
      o = read_item (c, MSGPACK_OBJECT_NEGATIVE_INTEGER);
      return o->via.i64;
    }
  o = read_item (c, MSGPACK_OBJECT_POSITIVE_INTEGER);
  return o ? (int64_t)MIN (o->via.u64, (uint64_t)INT64_MAX) : 0;
}

static bool
read_bool (struct cursor *c)
{
  const msgpack_object *o = read_item (c, MSGPACK_OBJECT_BOOLEAN);

  return o && o->via.boolean;
}

/* Returns a new string.  A string with an embedded NUL is malformed.  */
static char *
read_text (struct cursor *c)
{
  const msgpack_object *o = read_item (c, MSGPACK_OBJECT_STR);

  if (!o)
    return g_strdup ("");
  if (o->via.str.size > 0 && memchr (o->via.str.ptr, '\0', o->via.str.size))
    c->failed = true;
  return g_strndup (o->via.str.ptr, o->via.str.size);
}

static void
read_text_into (struct cursor *c, char *out, size_t size)
{
  const msgpack_object *o = read_item (c, MSGPACK_OBJECT_STR);

  out[0] = '\0';
  if (!o)
    return;
  if (o->via.str.size >= size
      || (o->via.str.size > 0
          && memchr (o->via.str.ptr, '\0', o->via.str.size)))
    {
      c->failed = true;
      return;
    }
  if (o->via.str.size > 0)
    memcpy (out, o->via.str.ptr, o->via.str.size);
  out[o->via.str.size] = '\0';
}

/* Returns a cursor over an array item, which may have at most MAX entries.  */
static struct cursor
read_array (struct cursor *c, uint32_t max)
{
  const msgpack_object *o = read_item (c, MSGPACK_OBJECT_ARRAY);
  struct cursor inner = { 0 };

  if (!o || o->via.array.size > max)
    {
      c->failed = true;
      inner.failed = true;
      return inner;
    }
  inner.at = o->via.array.ptr;
  inner.left = o->via.array.size;
  return inner;
}

/* Reads a string into *FIELD in place of the old value, which is freed.  */
static void
read_text_field (struct cursor *c, char **field)
{
  g_free (*field);
  *field = read_text (c);
}

static void
read_statement (struct cursor *c, struct wire_statement *s)
{
  struct cursor item = read_array (c, UINT32_MAX);
  struct cursor args;

  s->text = read_text (&item);
  args = read_array (&item, WIRE_ARGS_MAX);
  s->n_args = args.left;
  s->args = g_new0 (char *, s->n_args + 1);
  for (uint32_t i = 0; i < s->n_args; i++)
    if (args.left > 0 && args.at->type == MSGPACK_OBJECT_NIL)
      read_item (&args, MSGPACK_OBJECT_NIL);
    else
      s->args[i] = read_text (&args);
  c->failed |= item.failed || args.failed;
}

static struct wire_request *
read_request (struct cursor *c)
{
  struct wire_request *r = wire_request_new ();
  struct cursor list;
  uint64_t op;

  r->id = read_uint (c);
  op = read_uint (c);
  r->op = (enum wire_op)MIN (op, (uint64_t)WIRE_OP_END);
  c->failed |= r->op == WIRE_OP_END;
  read_text_field (c, &r->database);
  read_text_field (c, &r->instance);
  read_text_field (c, &r->kind);
  read_text_field (c, &r->request_id);
  read_text_field (c, &r->transaction);
  r->read_only = read_bool (c);
  r->use_ledger = read_bool (c);
  r->fresh = read_bool (c);
  r->max_age_ms = read_int (c);
  r->deadline_ms = read_int (c);
  r->min_term = read_uint (c);
  r->min_position = read_uint (c);
  r->digest = read_uint (c);
  list = read_array (c, WIRE_STATEMENTS_MAX);
  alloc_statements (r, list.left);
  for (uint32_t i = 0; i < r->n_statements; i++)
    read_statement (&list, &r->statements[i]);
  c->failed |= list.failed;
  return r;
}

/* A reason text that is not known here comes from a newer proxy.  It does not
   tell whether the request ran, so it is read as a lost answer.  */
static enum rsn
read_reason (struct cursor *c)
{
  char text[64];

  read_text_into (c, text, sizeof text);
  for (int32_t i = 0; i < RSN_COUNT; i++)
    if (strcmp (text, rsn_name ((enum rsn)i)) == 0)
      return (enum rsn)i;
  return RSN_ANSWER_LOST;
}

static void
read_view (struct cursor *c, struct wire_view *v)
{
  struct cursor view = read_array (c, UINT32_MAX);
  struct cursor list;

  v->term = read_uint (&view);
  read_text_into (&view, v->primary, sizeof v->primary);
  list = read_array (&view, DCL_INSTANCES_MAX);
  v->n = list.left;
  for (uint32_t i = 0; i < v->n; i++)
    {
      struct cursor item = read_array (&list, UINT32_MAX);

      read_text_into (&item, v->instances[i].name,
                      sizeof v->instances[i].name);
      v->instances[i].age_ms = read_int (&item);
      v->instances[i].wait_ms = read_int (&item);
      list.failed |= item.failed;
    }
  c->failed |= view.failed || list.failed;
}

static struct wire_reply *
read_reply (struct cursor *c)
{
  struct wire_reply *r = g_new0 (struct wire_reply, 1);

  r->id = read_uint (c);
  r->reason = read_reason (c);
  r->term = read_uint (c);
  r->position = read_uint (c);
  r->from_primary = read_bool (c);
  r->rows = read_text (c);
  r->detail = read_text (c);
  r->transaction = read_text (c);
  read_view (c, &r->view);
  return r;
}

static void
read_vm (struct cursor *c, struct wire_vm *vm)
{
  struct cursor item = read_array (c, UINT32_MAX);
  uint64_t state;

  read_text_into (&item, vm->id, sizeof vm->id);
  read_text_into (&item, vm->data_centre, sizeof vm->data_centre);
  read_text_into (&item, vm->region, sizeof vm->region);
  read_text_into (&item, vm->peer_address, sizeof vm->peer_address);
  read_text_into (&item, vm->admin_address, sizeof vm->admin_address);
  vm->incarnation = read_uint (&item);
  state = read_uint (&item);
  vm->state = (enum wire_vm_state)MIN (state, (uint64_t)VM_STATE_END);
  read_text_into (&item, vm->suspected_by, sizeof vm->suspected_by);
  c->failed |= item.failed || vm->state == VM_STATE_END || vm->id[0] == '\0';
}

static struct wire_heartbeat *
read_heartbeat (struct cursor *c)
{
  struct wire_heartbeat *beat = g_new0 (struct wire_heartbeat, 1);
  struct cursor list;

  read_vm (c, &beat->self);
  beat->revision = read_uint (c);
  list = read_array (c, WIRE_MEMBERS_MAX);
  beat->n = list.left;
  for (uint32_t i = 0; i < beat->n; i++)
    read_vm (&list, &beat->members[i]);
  c->failed |= list.failed;
  return beat;
}

static struct wire_pull *
read_pull (struct cursor *c)
{
  struct wire_pull *pull = g_new0 (struct wire_pull, 1);
  struct cursor list = read_array (c, WIRE_BLOBS_MAX);

  pull->n = list.left;
  pull->hashes = g_new0 (char *, pull->n + 1);
  for (uint32_t i = 0; i < pull->n; i++)
    pull->hashes[i] = read_text (&list);
  c->failed |= list.failed;
  return pull;
}

static void
read_blob (struct cursor *c, struct wire_blob *blob)
{
  struct cursor item = read_array (c, UINT32_MAX);
  const msgpack_object *o;

  blob->hash = read_text (&item);
  o = read_item (&item, MSGPACK_OBJECT_BIN);
  if (o)
    {
      blob->len = o->via.bin.size;
      blob->text = g_malloc0 (blob->len + 1);
      if (blob->len > 0)
        memcpy (blob->text, o->via.bin.ptr, blob->len);
    }
  c->failed |= item.failed;
}

static struct wire_files *
read_files (struct cursor *c)
{
  struct wire_files *files = g_new0 (struct wire_files, 1);
  struct cursor list;

  files->revision = read_uint (c);
  files->manifest = read_text (c);
  list = read_array (c, WIRE_BLOBS_MAX);
  files->n = list.left;
  files->blobs = g_new0 (struct wire_blob, files->n + 1);
  for (uint32_t i = 0; i < files->n; i++)
    read_blob (&list, &files->blobs[i]);
  c->failed |= list.failed;
  return files;
}

static bool
read_message (struct cursor *c, struct wire_message *out)
{
  uint64_t version = read_uint (c);
  uint64_t type = read_uint (c);

  if (c->failed || version != WIRE_VERSION || type == 0
      || type >= WIRE_TYPE_END)
    return false;
  out->type = (enum wire_type)type;
  switch (out->type)
    {
    case WIRE_REQUEST:
      out->u.request = read_request (c);
      break;
    case WIRE_REPLY:
      out->u.reply = read_reply (c);
      break;
    case WIRE_HEARTBEAT:
      out->u.heartbeat = read_heartbeat (c);
      break;
    case WIRE_PULL:
      out->u.pull = read_pull (c);
      break;
    case WIRE_FILES:
      out->u.files = read_files (c);
      break;
    case WIRE_TYPE_END:
      return false;
    }
  if (c->failed)
    wire_message_clear (out);
  return !c->failed;
}

bool
wire_decode (const char *data, size_t len, struct wire_message *out)
{
  msgpack_unpacked unpacked;
  size_t offset = 0;
  bool ok = false;

  memset (out, 0, sizeof *out);
  if (!pkc_check_lengths (data, len))
    return false;
  msgpack_unpacked_init (&unpacked);
  if (msgpack_unpack_next (&unpacked, data, len, &offset)
          == MSGPACK_UNPACK_SUCCESS
      && offset == len && unpacked.data.type == MSGPACK_OBJECT_ARRAY)
    {
      struct cursor c = { unpacked.data.via.array.ptr,
                          unpacked.data.via.array.size, false };

      ok = read_message (&c, out);
    }
  msgpack_unpacked_destroy (&unpacked);
  return ok;
}

static void
free_files (struct wire_files *files)
{
  for (uint32_t i = 0; i < files->n; i++)
    {
      g_free (files->blobs[i].hash);
      g_free (files->blobs[i].text);
    }
  g_free (files->blobs);
  g_free (files->manifest);
  g_free (files);
}

static void
free_pull (struct wire_pull *pull)
{
  for (uint32_t i = 0; i < pull->n; i++)
    g_free (pull->hashes[i]);
  g_free (pull->hashes);
  g_free (pull);
}

void
wire_message_clear (struct wire_message *message)
{
  switch (message->type)
    {
    case WIRE_REQUEST:
      wire_request_unref (message->u.request);
      break;
    case WIRE_REPLY:
      wire_reply_clear (message->u.reply);
      g_free (message->u.reply);
      break;
    case WIRE_HEARTBEAT:
      g_free (message->u.heartbeat);
      break;
    case WIRE_PULL:
      free_pull (message->u.pull);
      break;
    case WIRE_FILES:
      free_files (message->u.files);
      break;
    case WIRE_TYPE_END:
      break;
    }
  memset (message, 0, sizeof *message);
}
