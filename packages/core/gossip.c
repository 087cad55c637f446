/* Encoding and decoding of messages between session poolers.  */
#include "gossip.h"

#include "packcheck.h"
#include <msgpack.h>
#include <string.h>

#define VERSION 1
/* Fields: version, kind, service, instance, vote, revision, items, base
   revision, age.  The last two were added later and may be missing.  */
#define FIELDS 9
#define FIELDS_MIN 7
#define ITEM_FIELDS 3
/* Added to the messages about limits: account, part, serial, needed, wanted,
   granted, wait.  */
#define LIMIT_FIELDS 7

static int
write_bytes (void *data, const char *buffer, size_t len)
{
  g_byte_array_append (data, (const guint8 *)buffer, (guint)len);
  return 0;
}

static void
pack_text (msgpack_packer *pk, const char *text)
{
  if (text)
    msgpack_pack_str_with_body (pk, text, strlen (text));
  else
    msgpack_pack_nil (pk);
}

static bool
has_limit (enum gsp_kind kind)
{
  return kind == GSP_LIMIT_REQUEST || kind == GSP_LIMIT_GRANT;
}

static void
pack_limit (msgpack_packer *pk, const struct gsp_limit *l)
{
  pack_text (pk, l->account);
  msgpack_pack_uint64 (pk, l->part);
  msgpack_pack_uint64 (pk, l->serial);
  msgpack_pack_uint64 (pk, l->needed);
  msgpack_pack_uint64 (pk, l->wanted);
  msgpack_pack_uint64 (pk, l->granted);
  msgpack_pack_uint64 (pk, l->wait_ms);
}

void
gsp_encode (const struct gsp_message *m, GByteArray *out)
{
  msgpack_packer pk;

  msgpack_packer_init (&pk, out, write_bytes);
  msgpack_pack_array (&pk, FIELDS + (has_limit (m->kind) ? LIMIT_FIELDS : 0));
  msgpack_pack_uint64 (&pk, VERSION);
  msgpack_pack_uint64 (&pk, (uint64_t)m->kind);
  pack_text (&pk, m->service);
  pack_text (&pk, m->instance);
  msgpack_pack_uint64 (&pk, m->vote);
  msgpack_pack_uint64 (&pk, m->revision);
  msgpack_pack_array (&pk, m->n_items);
  for (uint32_t i = 0; i < m->n_items; i++)
    {
      msgpack_pack_array (&pk, ITEM_FIELDS);
      pack_text (&pk, m->items[i].key);
      pack_text (&pk, m->items[i].value);
      msgpack_pack_uint64 (&pk, m->items[i].revision);
    }
  msgpack_pack_uint64 (&pk, m->base_revision);
  msgpack_pack_uint64 (&pk, m->age_ms);
  if (has_limit (m->kind))
    pack_limit (&pk, &m->limit);
}

static bool
read_text (const msgpack_object *o, char **out)
{
  *out = NULL;
  if (o->type == MSGPACK_OBJECT_NIL)
    return true;
  if (o->type != MSGPACK_OBJECT_STR || o->via.str.size > GSP_TEXT_MAX)
    return false;
  /* msgpack may give no pointer for an empty string.  */
  if (o->via.str.size == 0)
    {
      *out = g_strdup ("");
      return true;
    }
  if (memchr (o->via.str.ptr, '\0', o->via.str.size))
    return false;
  *out = g_strndup (o->via.str.ptr, o->via.str.size);
  return true;
}

static bool
read_number (const msgpack_object *o, uint64_t *out)
{
  if (o->type != MSGPACK_OBJECT_POSITIVE_INTEGER)
    return false;
  *out = o->via.u64;
  return true;
}

static bool
read_item (const msgpack_object *o, struct gsp_item *item)
{
  const msgpack_object *f;

  if (o->type != MSGPACK_OBJECT_ARRAY || o->via.array.size < ITEM_FIELDS)
    return false;
  f = o->via.array.ptr;
  return read_text (&f[0], &item->key) && item->key
         && read_text (&f[1], &item->value)
         && read_number (&f[2], &item->revision);
}

static bool
read_items (const msgpack_object *o, struct gsp_message *out)
{
  if (o->type != MSGPACK_OBJECT_ARRAY || o->via.array.size > GSP_ITEMS_MAX)
    return false;
  out->items = g_new0 (struct gsp_item, o->via.array.size + 1);
  for (uint32_t i = 0; i < o->via.array.size; i++)
    {
      out->n_items = i + 1;
      if (!read_item (&o->via.array.ptr[i], &out->items[i]))
        return false;
    }
  return true;
}

static bool
read_number32 (const msgpack_object *o, uint32_t *out)
{
  uint64_t n;

  if (!read_number (o, &n) || n > UINT32_MAX)
    return false;
  *out = (uint32_t)n;
  return true;
}

static bool
read_limit (const msgpack_object *f, struct gsp_limit *out)
{
  return read_text (&f[0], &out->account) && out->account
         && read_number32 (&f[1], &out->part)
         && read_number (&f[2], &out->serial)
         && read_number32 (&f[3], &out->needed)
         && read_number32 (&f[4], &out->wanted)
         && read_number32 (&f[5], &out->granted)
         && read_number (&f[6], &out->wait_ms);
}

static bool
read_message (const msgpack_object *o, struct gsp_message *out)
{
  const msgpack_object *f;
  uint64_t version;
  uint64_t kind;
  uint64_t vote;

  if (o->type != MSGPACK_OBJECT_ARRAY || o->via.array.size < FIELDS_MIN)
    return false;
  f = o->via.array.ptr;
  if (!read_number (&f[0], &version) || version != VERSION
      || !read_number (&f[1], &kind) || kind == 0 || kind >= GSP_KIND_END
      || !read_text (&f[2], &out->service)
      || !read_text (&f[3], &out->instance) || !read_number (&f[4], &vote)
      || !read_number (&f[5], &out->revision))
    return false;
  out->kind = (enum gsp_kind)kind;
  out->vote = (uint32_t)MIN (vote, UINT32_MAX);
  if (out->kind <= GSP_YIELD && (!out->service || !out->instance))
    return false;
  out->base_revision = UINT64_MAX;
  out->age_ms = GSP_AGE_UNKNOWN;
  if (o->via.array.size >= FIELDS
      && (!read_number (&f[7], &out->base_revision)
          || !read_number (&f[8], &out->age_ms)))
    return false;
  if (has_limit (out->kind)
      && (o->via.array.size < FIELDS + LIMIT_FIELDS
          || !read_limit (f + FIELDS, &out->limit)))
    return false;
  return read_items (&f[6], out);
}

bool
gsp_decode (const char *data, size_t len, struct gsp_message *out)
{
  msgpack_unpacked unpacked;
  size_t offset = 0;
  bool valid = false;

  memset (out, 0, sizeof *out);
  if (!pkc_check_lengths (data, len))
    return false;
  msgpack_unpacked_init (&unpacked);
  if (msgpack_unpack_next (&unpacked, data, len, &offset)
      == MSGPACK_UNPACK_SUCCESS)
    valid = read_message (&unpacked.data, out);
  msgpack_unpacked_destroy (&unpacked);
  if (!valid)
    gsp_clear (out);
  return valid;
}

void
gsp_clear (struct gsp_message *m)
{
  for (uint32_t i = 0; i < m->n_items; i++)
    {
      g_free (m->items[i].key);
      g_free (m->items[i].value);
    }
  g_free (m->limit.account);
  g_free (m->items);
  g_free (m->service);
  g_free (m->instance);
  memset (m, 0, sizeof *m);
}
