/* Parsing and validation of the declarations.  */
#include "decl.h"

#include "yamldoc.h"
#include <string.h>

#define SLOTS_MAX 1000
#define CONNECTIONS_MAX 10000
/* Upper limit of max_age_ms: a read may be stale by at most a day.  */
#define AGE_MAX_MS (24LL * 3600 * 1000)
#define DEADLINE_MAX_MS (10LL * 60 * 1000)

static const char *const file_keys[]
    = { "version", "data_centres", "databases", "reads", "requests", NULL };
static const char *const centre_keys[] = { "name", "region", NULL };
static const char *const database_keys[]
    = { "name", "state", "slots", "connections", "instances", NULL };
static const char *const instance_keys[]
    = { "name", "address", "data_centre", NULL };
static const char *const read_keys[]
    = { "kind", "max_age_ms", "deadline_ms", NULL };
static const char *const request_keys[]
    = { "kind", "deadline_ms", "repeat", NULL };
static const char *const state_choices[] = { "serving", "leaving", NULL };
static const char *const repeat_choices[] = { "allowed", "never", NULL };

/* A position in a declaration file.  */
struct source_position
{
  const char *file;
  int32_t line;
};

/* State of one dcl_parse.  */
struct parse_state
{
  struct yml_doc *doc; /* the file being parsed */
  struct dcl_set *set;
  struct fnd_list *findings;
  /* "class name" -> struct source_position * of the first declaration, which
     the finding about a duplicate names.  */
  GHashTable *declared;
  GPtrArray *centre_references; /* struct centre_reference * */
};

/* A reference to a data centre.  Checked when all files are parsed, as the
   declaration may follow in a later file.  */
struct centre_reference
{
  char *where; /* the object that refers to it, for findings */
  char *centre;
  struct source_position position;
};

static void
free_centre_reference (gpointer data)
{
  struct centre_reference *r = data;

  g_free (r->where);
  g_free (r->centre);
  g_free (r);
}

void
dcl_free_database (struct dcl_database *db)
{
  if (!db)
    return;
  for (uint32_t i = 0; i < db->n_instances; i++)
    {
      g_free (db->instances[i].name);
      g_free (db->instances[i].host);
      g_free (db->instances[i].data_centre);
    }
  g_free (db->name);
  g_free (db);
}

static void
free_database (gpointer data)
{
  dcl_free_database (data);
}

struct dcl_database *
dcl_copy_database (const struct dcl_database *db)
{
  struct dcl_database *copy = g_memdup2 (db, sizeof *db);

  copy->name = g_strdup (db->name);
  for (uint32_t i = 0; i < db->n_instances; i++)
    {
      copy->instances[i].name = g_strdup (db->instances[i].name);
      copy->instances[i].host = g_strdup (db->instances[i].host);
      copy->instances[i].data_centre = g_strdup (db->instances[i].data_centre);
    }
  return copy;
}

bool
dcl_instances_equal (const struct dcl_database *a,
                     const struct dcl_database *b)
{
  if (a->n_instances != b->n_instances)
    return false;
  for (uint32_t i = 0; i < a->n_instances; i++)
    {
      const struct dcl_instance *x = &a->instances[i];
      const struct dcl_instance *y = &b->instances[i];

      if (strcmp (x->name, y->name) != 0 || strcmp (x->host, y->host) != 0
          || x->port != y->port
          || strcmp (x->data_centre, y->data_centre) != 0)
        return false;
    }
  return true;
}

static void
free_kind (gpointer data)
{
  struct dcl_kind *kind = data;

  g_free (kind->name);
  g_free (kind);
}

static void
free_centre (gpointer data)
{
  struct dcl_data_centre *centre = data;

  g_free (centre->name);
  g_free (centre->region);
  g_free (centre);
}

bool
dcl_is_name (const char *text)
{
  size_t len = strlen (text);

  if (len == 0 || len > DCL_NAME_MAX)
    return false;
  for (size_t i = 0; i < len; i++)
    if (!g_ascii_isalnum (text[i]) && !strchr ("-_.", text[i]))
      return false;
  return true;
}

bool
dcl_split_address (const char *address, char **host, uint16_t *port)
{
  const char *colon = strrchr (address, ':');
  char *ip;
  guint64 number;

  if (!colon
      || !g_ascii_string_to_unsigned (colon + 1, 10, 1, 65535, &number, NULL))
    return false;
  if (address[0] == '[' && colon > address + 1 && colon[-1] == ']')
    ip = g_strndup (address + 1, (gsize)(colon - address - 2));
  else
    ip = g_strndup (address, (gsize)(colon - address));
  if (!g_hostname_is_ip_address (ip))
    {
      g_free (ip);
      return false;
    }
  *host = ip;
  *port = (uint16_t)number;
  return true;
}

/* Reads key KEY of MAP as a name, which must be unique among the names of
   CLASS_NAME, and records it as declared.  Returns a new string, or NULL with
   a finding.  */
static char *
read_unique_name (struct parse_state *p, yml_node *map, const char *class_name,
                  const char *key)
{
  char *name = yml_dup_string (p->doc, map, class_name, key, true);
  char *id;
  struct source_position *first;

  if (!name)
    return NULL;
  if (!dcl_is_name (name))
    {
      fnd_add (p->findings, p->doc->file, yml_line (map),
               "%s \"%.64s\": a name has 1 to %d letters, digits, \"-\", "
               "\"_\" or \".\"",
               class_name, name, DCL_NAME_MAX);
      g_free (name);
      return NULL;
    }
  id = g_strdup_printf ("%s %s", class_name, name);
  first = g_hash_table_lookup (p->declared, id);
  if (first)
    {
      fnd_add (p->findings, p->doc->file, yml_line (map),
               "%s \"%s\": already declared at %s:%d; remove one", class_name,
               name, first->file, first->line);
      g_free (id);
      g_free (name);
      return NULL;
    }
  first = g_new0 (struct source_position, 1);
  first->file = p->doc->file;
  first->line = yml_line (map);
  g_hash_table_insert (p->declared, id, first);
  return name;
}

static void
parse_centre (struct parse_state *p, yml_node *node)
{
  struct dcl_data_centre *centre;
  char *name;

  if (!yml_check_map (p->doc, node, "data centre", centre_keys))
    return;
  name = read_unique_name (p, node, "data centre", "name");
  if (!name)
    return;
  centre = g_new0 (struct dcl_data_centre, 1);
  centre->name = name;
  centre->region
      = yml_dup_string (p->doc, node, "data centre", "region", true);
  g_hash_table_insert (p->set->data_centres, centre->name, centre);
}

static bool
parse_instance (struct parse_state *p, yml_node *node, const char *where,
                struct dcl_instance *instance)
{
  char *address;
  struct centre_reference *reference;

  if (!yml_check_map (p->doc, node, where, instance_keys))
    return false;
  instance->name = read_unique_name (p, node, "instance", "name");
  instance->data_centre
      = yml_dup_string (p->doc, node, where, "data_centre", true);
  address = yml_dup_string (p->doc, node, where, "address", true);
  if (address
      && !dcl_split_address (address, &instance->host, &instance->port))
    fnd_add (p->findings, p->doc->file, yml_line (node),
             "%s: address \"%.64s\" must be an IP address and a port, like "
             "10.0.0.5:5432",
             where, address);
  g_free (address);
  if (instance->data_centre)
    {
      reference = g_new0 (struct centre_reference, 1);
      reference->where = g_strdup (where);
      reference->centre = g_strdup (instance->data_centre);
      reference->position.file = p->doc->file;
      reference->position.line = yml_line (node);
      g_ptr_array_add (p->centre_references, reference);
    }
  return true;
}

static void
parse_instances (struct parse_state *p, yml_node *map, const char *where,
                 struct dcl_database *db)
{
  yml_node *list = yml_get (p->doc, map, "instances");
  uint32_t n = yml_count (p->doc, list, where);

  if (n < 1 || n > DCL_INSTANCES_MAX)
    {
      fnd_add (p->findings, p->doc->file, yml_line (list ? list : map),
               "%s: instances must list 1 to %d instances", where,
               DCL_INSTANCES_MAX);
      return;
    }
  for (uint32_t i = 0; i < n; i++)
    if (parse_instance (p, yml_item (p->doc, list, i), where,
                        &db->instances[db->n_instances]))
      db->n_instances++;
}

static void
parse_database (struct parse_state *p, yml_node *node)
{
  struct dcl_database *db;
  char *where;
  char *name;

  if (!yml_check_map (p->doc, node, "database", database_keys))
    return;
  name = read_unique_name (p, node, "database", "name");
  if (!name)
    return;
  where = g_strdup_printf ("database \"%s\"", name);
  db = g_new0 (struct dcl_database, 1);
  db->name = name;
  db->leaving
      = yml_get_choice (p->doc, node, where, "state", state_choices, 0) == 1;
  db->slots
      = (int32_t)yml_get_int (p->doc, node, where, "slots", 1, SLOTS_MAX, 2);
  db->connections = (int32_t)yml_get_int (p->doc, node, where, "connections",
                                          1, CONNECTIONS_MAX, 16);
  parse_instances (p, node, where, db);
  if (db->connections < db->slots + (int32_t)db->n_instances)
    fnd_add (p->findings, p->doc->file, yml_line (node),
             "%s: connections must be at least slots + instances (%d): each "
             "home proxy reserves one for control",
             where, db->slots + (int32_t)db->n_instances);
  g_ptr_array_add (p->set->databases, db);
  g_hash_table_insert (p->set->by_name, db->name, db);
  g_free (where);
}

/* Returns the kind NAME, adding it if needed: `reads` and `requests` may both
   declare the same kind.  Takes ownership of NAME.  */
static struct dcl_kind *
get_or_add_kind (struct parse_state *p, char *name)
{
  struct dcl_kind *kind = g_hash_table_lookup (p->set->kinds, name);

  if (kind)
    {
      g_free (name);
      return kind;
    }
  kind = g_new0 (struct dcl_kind, 1);
  kind->name = name;
  kind->deadline_ms = DCL_DEADLINE_DEFAULT_MS;
  g_hash_table_insert (p->set->kinds, kind->name, kind);
  return kind;
}

static void
check_read_repeat (struct parse_state *p, yml_node *node,
                   struct dcl_kind *kind)
{
  if (kind->read_only && kind->never_repeat)
    fnd_add (p->findings, p->doc->file, yml_line (node),
             "kind \"%s\": a read cannot have repeat: never; remove it from "
             "reads or from requests",
             kind->name);
}

static void
parse_read (struct parse_state *p, yml_node *node)
{
  struct dcl_kind *kind;
  char *where;
  char *name;

  if (!yml_check_map (p->doc, node, "read", read_keys))
    return;
  name = read_unique_name (p, node, "read", "kind");
  if (!name)
    return;
  where = g_strdup_printf ("read \"%s\"", name);
  kind = get_or_add_kind (p, name);
  kind->read_only = true;
  kind->max_age_ms
      = yml_get_int (p->doc, node, where, "max_age_ms", 0, AGE_MAX_MS, 0);
  kind->deadline_ms = yml_get_int (p->doc, node, where, "deadline_ms", 1,
                                   DEADLINE_MAX_MS, kind->deadline_ms);
  check_read_repeat (p, node, kind);
  g_free (where);
}

static void
parse_request (struct parse_state *p, yml_node *node)
{
  struct dcl_kind *kind;
  char *where;
  char *name;

  if (!yml_check_map (p->doc, node, "request", request_keys))
    return;
  name = read_unique_name (p, node, "request", "kind");
  if (!name)
    return;
  where = g_strdup_printf ("request \"%s\"", name);
  kind = get_or_add_kind (p, name);
  kind->deadline_ms = yml_get_int (p->doc, node, where, "deadline_ms", 1,
                                   DEADLINE_MAX_MS, kind->deadline_ms);
  kind->never_repeat
      = yml_get_choice (p->doc, node, where, "repeat", repeat_choices, 1) == 1;
  if (kind->read_only && !yml_get (p->doc, node, "repeat"))
    kind->never_repeat = false;
  check_read_repeat (p, node, kind);
  g_free (where);
}

static void
parse_section (struct parse_state *p, yml_node *root, const char *key,
               void (*parse_item) (struct parse_state *, yml_node *))
{
  yml_node *list = yml_get (p->doc, root, key);
  uint32_t n = yml_count (p->doc, list, key);

  for (uint32_t i = 0; i < n; i++)
    parse_item (p, yml_item (p->doc, list, i));
}

static void
parse_file (struct parse_state *p, const struct dcl_file *file)
{
  struct yml_doc doc;
  yml_node *root;

  if (!yml_parse (&doc, file->name, file->text, file->len, p->findings))
    return;
  p->doc = &doc;
  root = yml_root (&doc);
  yml_check_map (&doc, root, "file", file_keys);
  if (root->type == YAML_MAPPING_NODE)
    {
      if (!yml_get (&doc, root, "version"))
        fnd_add (p->findings, file->name, yml_line (root),
                 "file: version is missing; add version: 1");
      yml_get_int (&doc, root, "file", "version", 1, 1, 1);
      parse_section (p, root, "data_centres", parse_centre);
      parse_section (p, root, "databases", parse_database);
      parse_section (p, root, "reads", parse_read);
      parse_section (p, root, "requests", parse_request);
    }
  p->doc = NULL;
  yml_free (&doc);
}

static void
check_centre_references (struct parse_state *p)
{
  for (uint32_t i = 0; i < p->centre_references->len; i++)
    {
      const struct centre_reference *r
          = g_ptr_array_index (p->centre_references, i);

      if (!g_hash_table_contains (p->set->data_centres, r->centre))
        fnd_add (p->findings, r->position.file, r->position.line,
                 "%s: data centre \"%.64s\" is not declared; add it under "
                 "data_centres",
                 r->where, r->centre);
    }
}

struct dcl_set *
dcl_parse (const struct dcl_file *files, uint32_t n, struct fnd_list *findings)
{
  uint32_t before = fnd_count (findings);
  struct parse_state p = { 0 };

  p.findings = findings;
  p.set = g_new0 (struct dcl_set, 1);
  p.set->databases = g_ptr_array_new_with_free_func (free_database);
  p.set->by_name = g_hash_table_new (g_str_hash, g_str_equal);
  p.set->kinds
      = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, free_kind);
  p.set->data_centres
      = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, free_centre);
  p.declared = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  p.centre_references = g_ptr_array_new_with_free_func (free_centre_reference);
  for (uint32_t i = 0; i < n; i++)
    parse_file (&p, &files[i]);
  check_centre_references (&p);
  g_ptr_array_free (p.centre_references, TRUE);
  g_hash_table_destroy (p.declared);
  if (fnd_count (findings) > before)
    {
      dcl_free (p.set);
      return NULL;
    }
  return p.set;
}

void
dcl_free (struct dcl_set *set)
{
  if (!set)
    return;
  g_hash_table_destroy (set->by_name);
  g_hash_table_destroy (set->kinds);
  g_hash_table_destroy (set->data_centres);
  g_ptr_array_free (set->databases, TRUE);
  g_free (set);
}

const struct dcl_database *
dcl_find_database (const struct dcl_set *set, const char *name)
{
  return g_hash_table_lookup (set->by_name, name);
}

const struct dcl_kind *
dcl_find_kind (const struct dcl_set *set, const char *name)
{
  return g_hash_table_lookup (set->kinds, name);
}

const char *
dcl_find_region (const struct dcl_set *set, const char *centre)
{
  const struct dcl_data_centre *c
      = g_hash_table_lookup (set->data_centres, centre);

  return c && c->region ? c->region : "";
}
