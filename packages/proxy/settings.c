/* Reads the settings by a table that names the section, key, type, limits and
   default of each.  */
#include "settings.h"

#include "yamldoc.h"
#include <stddef.h>
#include <string.h>

enum field_type
{
  FIELD_TEXT,
  FIELD_REQUIRED, /* a text without a default */
  FIELD_ADDRESS,  /* host:port, required */
  FIELD_INT,
  FIELD_CHOICE
};

/* One setting.  SECTION is "" for the top level; OFFSET is that of its member
   in struct settings.  */
struct field
{
  const char *section;
  const char *key;
  enum field_type type;
  size_t offset;
  int64_t min;
  int64_t max;
  int64_t default_int;
  const char *default_text;
  const char *const *choices;
};

static const char *const formats[] = { "text", "json", NULL };
static const char *const levels[]
    = { "warning", "message", "info", "debug", NULL };
static const char *const experiments[] = { "none",
                                           "reads_primary",
                                           "round_robin",
                                           "no_admission",
                                           "unlimited_retries",
                                           "ack_primary",
                                           NULL };

#define MEMBER(member) offsetof (struct settings, member)
#define TEXT(section, key, member, default_text)                              \
  {                                                                           \
    section, key, FIELD_TEXT, MEMBER (member), 0, 0, 0, default_text, NULL    \
  }
#define REQUIRED(section, key, type, member)                                  \
  {                                                                           \
    section, key, type, MEMBER (member), 0, 0, 0, NULL, NULL                  \
  }
#define INT(section, key, member, min, max, default_int)                      \
  {                                                                           \
    section, key, FIELD_INT, MEMBER (member), min, max, default_int, NULL,    \
        NULL                                                                  \
  }
#define CHOICE(section, key, member, choices)                                 \
  {                                                                           \
    section, key, FIELD_CHOICE, MEMBER (member), 0, 0, 0, NULL, choices       \
  }

static const struct field fields[] = {
  REQUIRED ("", "vm", FIELD_REQUIRED, vm),
  REQUIRED ("", "data_centre", FIELD_REQUIRED, data_centre),
  REQUIRED ("", "region", FIELD_REQUIRED, region),
  REQUIRED ("callers", "listen", FIELD_ADDRESS, callers_listen),
  TEXT ("callers", "tls_file", callers_tls_file, NULL),
  TEXT ("callers", "client_ca_file", callers_client_ca_file, NULL),
  TEXT ("callers", "access_file", callers_access_file, NULL),
  INT ("callers", "threads", callers_threads, 1, 20000, 256),
  INT ("callers", "body_max_bytes", callers_body_max_bytes, 1024, 8388608,
       262144),
  INT ("callers", "idle_ms", callers_idle_ms, 100, 3600000, 600000),
  INT ("callers", "read_ms", callers_read_ms, 100, 60000, 5000),
  INT ("callers", "requests_max", callers_requests_max, 1, 100000, 4096),
  REQUIRED ("operators", "listen", FIELD_ADDRESS, operators_listen),
  REQUIRED ("peers", "listen", FIELD_ADDRESS, peers_listen),
  TEXT ("peers", "public_key_file", peers_public_key_file, NULL),
  TEXT ("peers", "secret_key_file", peers_secret_key_file, NULL),
  TEXT ("store", "ca_file", store_ca_file, NULL),
  TEXT ("store", "token_file", store_token_file, NULL),
  INT ("store", "timeout_ms", store_timeout_ms, 50, 60000, 2000),
  INT ("store", "reconcile_ms", store_reconcile_ms, 1000, 3600000, 10000),
  TEXT ("upstream", "user", upstream_user, "cassiabay"),
  TEXT ("upstream", "database", upstream_database, "cassiabay"),
  TEXT ("upstream", "password_file", upstream_password_file, NULL),
  TEXT ("upstream", "sslmode", upstream_sslmode, "prefer"),
  INT ("upstream", "status_interval_ms", upstream_status_interval_ms, 10, 1000,
       400),
  INT ("upstream", "probe_timeout_ms", upstream_probe_timeout_ms, 50, 10000,
       800),
  INT ("upstream", "silence_ms", upstream_silence_ms, 50, 60000, 800),
  INT ("upstream", "queue_max", upstream_queue_max, 1, 10000, 128),
  INT ("upstream", "rows_max", upstream_rows_max, 1, 1000000, 10000),
  INT ("upstream", "answer_max_bytes", upstream_answer_max_bytes, 1024,
       4194304, 1048576),
  INT ("upstream", "transaction_idle_ms", upstream_transaction_idle_ms, 100,
       600000, 5000),
  INT ("upstream", "transaction_max_ms", upstream_transaction_max_ms, 100,
       3600000, 30000),
  REQUIRED ("session", "key_file", FIELD_REQUIRED, session_key_file),
  INT ("shutdown", "notice_ms", shutdown_notice_ms, 0, 60000, 1000),
  INT ("shutdown", "drain_ms", shutdown_drain_ms, 100, 600000, 30000),
  CHOICE ("log", "format", log_format, formats),
  CHOICE ("log", "level", log_level, levels),
  TEXT ("trace", "record_file", record_file, NULL),
  CHOICE ("experiment", "policy", experiment, experiments),
  INT ("experiment", "peer_delay_ms", peer_delay_ms, 0, 1000, 0),
};

static const char *const root_keys[]
    = { "version", "vm",       "data_centre", "region",     "callers",
        "peers",   "store",    "operators",   "upstream",   "session",
        "log",     "shutdown", "trace",       "experiment", NULL };
static const char *const seed_keys[]
    = { "vm", "data_centre", "region", "peer", "admin", NULL };

static void *
get_member (struct settings *s, const struct field *f)
{
  return (char *)s + f->offset;
}

static void
check_address (struct yml_doc *doc, yml_node *map, const struct field *f,
               const char *where, const char *address)
{
  char *host;
  uint16_t port;

  if (!address)
    return;
  if (dcl_split_address (address, &host, &port))
    g_free (host);
  else
    fnd_add (doc->findings, doc->file, yml_line (map),
             "%s: %s \"%.64s\" must be an IP number and a port, like "
             "127.0.0.1:8080",
             where, f->key, address);
}

static void
read_field (struct yml_doc *doc, yml_node *map, const struct field *f,
            struct settings *s)
{
  const char *where = f->section[0] ? f->section : "settings";
  char **text = get_member (s, f);
  bool required = f->type == FIELD_REQUIRED || f->type == FIELD_ADDRESS;

  switch (f->type)
    {
    case FIELD_INT:
      *(int64_t *)get_member (s, f) = yml_get_int (
          doc, map, where, f->key, f->min, f->max, f->default_int);
      break;
    case FIELD_CHOICE:
      *(int32_t *)get_member (s, f)
          = yml_get_choice (doc, map, where, f->key, f->choices, 0);
      break;
    case FIELD_TEXT:
    case FIELD_REQUIRED:
    case FIELD_ADDRESS:
      *text = yml_dup_string (doc, map, where, f->key, required);
      if (f->type == FIELD_ADDRESS)
        check_address (doc, map, f, where, *text);
      if (!*text)
        *text = g_strdup (f->default_text);
      break;
    }
}

/* Reports the keys of SECTION that are neither in the table nor EXTRA.  */
static void
check_section (struct yml_doc *doc, yml_node *map, const char *section,
               const char *extra)
{
  const char *keys[G_N_ELEMENTS (fields) + 2];
  uint32_t n = 0;

  for (uint32_t i = 0; i < G_N_ELEMENTS (fields); i++)
    if (strcmp (fields[i].section, section) == 0)
      keys[n++] = fields[i].key;
  if (extra)
    keys[n++] = extra;
  keys[n] = NULL;
  yml_check_map (doc, map, section, keys);
}

static void
read_seed (struct yml_doc *doc, yml_node *node, struct settings *s)
{
  struct wire_vm *vm = &s->seeds[s->n_seeds].vm;
  struct
  {
    const char *key;
    char *out;
    size_t size;
  } const texts[] = {
    { "vm", vm->id, sizeof vm->id },
    { "data_centre", vm->data_centre, sizeof vm->data_centre },
    { "region", vm->region, sizeof vm->region },
    { "peer", vm->peer_address, sizeof vm->peer_address },
    { "admin", vm->admin_address, sizeof vm->admin_address },
  };

  if (!yml_check_map (doc, node, "seed", seed_keys))
    return;
  for (uint32_t i = 0; i < G_N_ELEMENTS (texts); i++)
    {
      char *text = yml_dup_string (doc, node, "seed", texts[i].key, true);

      if (text)
        g_strlcpy (texts[i].out, text, texts[i].size);
      g_free (text);
    }
  s->n_seeds++;
}

static void
read_seeds (struct yml_doc *doc, yml_node *root, struct settings *s)
{
  yml_node *list = yml_get (doc, yml_get (doc, root, "peers"), "seeds");
  uint32_t n = yml_count (doc, list, "peers: seeds");

  if (n > SETTINGS_SEEDS_MAX)
    fnd_add (doc->findings, doc->file, yml_line (list),
             "peers: seeds may have at most %d items; the others are found by "
             "heartbeats",
             SETTINGS_SEEDS_MAX);
  for (uint32_t i = 0; i < MIN (n, SETTINGS_SEEDS_MAX); i++)
    read_seed (doc, yml_item (doc, list, i), s);
}

static void
read_endpoints (struct yml_doc *doc, yml_node *root, struct settings *s)
{
  yml_node *store = yml_get (doc, root, "store");
  yml_node *list = yml_get (doc, store, "endpoints");
  uint32_t n = yml_count (doc, list, "store: endpoints");

  if (n < 1 || n > SETTINGS_ENDPOINTS_MAX)
    fnd_add (doc->findings, doc->file, yml_line (store ? store : root),
             "store: endpoints must list 1 to %d addresses, like "
             "http://127.0.0.1:2379",
             SETTINGS_ENDPOINTS_MAX);
  for (uint32_t i = 0; i < MIN (n, SETTINGS_ENDPOINTS_MAX); i++)
    {
      yml_node *item = yml_item (doc, list, i);

      if (item->type == YAML_SCALAR_NODE)
        s->endpoints[i] = g_strdup ((char *)item->data.scalar.value);
    }
}

static void
read_root (struct yml_doc *doc, yml_node *root, struct settings *s)
{
  static const struct
  {
    const char *name;
    const char *extra;
  } sections[] = { { "callers", NULL },  { "operators", NULL },
                   { "peers", "seeds" }, { "store", "endpoints" },
                   { "upstream", NULL }, { "session", NULL },
                   { "shutdown", NULL }, { "log", NULL },
                   { "trace", NULL },    { "experiment", NULL } };

  yml_check_map (doc, root, "settings", root_keys);
  yml_get_int (doc, root, "settings", "version", 1, 1, 1);
  for (uint32_t i = 0; i < G_N_ELEMENTS (sections); i++)
    {
      yml_node *map = yml_get (doc, root, sections[i].name);

      if (map)
        check_section (doc, map, sections[i].name, sections[i].extra);
    }
  for (uint32_t i = 0; i < G_N_ELEMENTS (fields); i++)
    {
      const char *section = fields[i].section;
      yml_node *map = section[0] ? yml_get (doc, root, section) : root;

      read_field (doc, map, &fields[i], s);
    }
  if (!s->peers_public_key_file != !s->peers_secret_key_file)
    fnd_add (doc->findings, doc->file, yml_line (root),
             "peers: give both public_key_file and secret_key_file, or "
             "neither");
  if (s->vm && !dcl_is_name (s->vm))
    fnd_add (doc->findings, doc->file, yml_line (root),
             "settings: vm must be a name of letters, digits, \"-\", \"_\" "
             "or \".\"");
  read_seeds (doc, root, s);
  read_endpoints (doc, root, s);
}

struct settings *
settings_parse (const char *file, const char *text, size_t len,
                struct fnd_list *findings)
{
  uint32_t before = fnd_count (findings);
  struct settings *s;
  struct yml_doc doc;

  if (!yml_parse (&doc, file, text, len, findings))
    return NULL;
  s = g_new0 (struct settings, 1);
  read_root (&doc, yml_root (&doc), s);
  yml_free (&doc);
  if (fnd_count (findings) == before)
    return s;
  settings_free (s);
  return NULL;
}

void
settings_free (struct settings *s)
{
  if (!s)
    return;
  for (uint32_t i = 0; i < G_N_ELEMENTS (fields); i++)
    if (fields[i].type != FIELD_INT && fields[i].type != FIELD_CHOICE)
      g_free (*(char **)get_member (s, &fields[i]));
  for (uint32_t i = 0; i < SETTINGS_ENDPOINTS_MAX; i++)
    g_free (s->endpoints[i]);
  g_free (s);
}
