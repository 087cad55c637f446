/* Typed access to a YAML document, based on libyaml.  */
#include "yamldoc.h"

#include <string.h>

static const char *
scalar_text (const yml_node *node)
{
  return (const char *)node->data.scalar.value;
}

/* Limits that no hand-written document reaches.  */
#define DEPTH_MAX 64
#define ALIASES_MAX 1000

/* Checks nesting depth and number of aliases on the event stream, before the
   document is loaded: deep nesting makes loading slow, and aliases let a small
   text expand to a large document.  Returns what exceeds its limit, or NULL.
   Invalid YAML is not reported here but when the document is loaded.  */
static const char *
find_exceeded_limit (const char *text, size_t len)
{
  yaml_parser_t parser;
  yaml_event_t event;
  uint32_t depth = 0;
  uint32_t aliases = 0;
  bool more = true;
  const char *exceeded = NULL;

  if (!yaml_parser_initialize (&parser))
    return "out of memory";
  yaml_parser_set_input_string (&parser, (const unsigned char *)text, len);
  while (more && !exceeded && yaml_parser_parse (&parser, &event))
    {
      yaml_event_type_t type = event.type;

      more = type != YAML_STREAM_END_EVENT;
      if (type == YAML_SEQUENCE_START_EVENT
          || type == YAML_MAPPING_START_EVENT)
        depth++;
      if (type == YAML_SEQUENCE_END_EVENT || type == YAML_MAPPING_END_EVENT)
        depth--;
      aliases += type == YAML_ALIAS_EVENT ? 1 : 0;
      if (depth > DEPTH_MAX)
        exceeded = "nested too deeply";
      else if (aliases > ALIASES_MAX)
        exceeded = "too many aliases";
      yaml_event_delete (&event);
    }
  yaml_parser_delete (&parser);
  return exceeded;
}

bool
yml_parse (struct yml_doc *doc, const char *file, const char *text, size_t len,
           struct fnd_list *findings)
{
  yaml_parser_t parser;
  const char *error;
  bool ok = false;

  doc->file = file;
  doc->findings = findings;
  if (len > YML_BYTES_MAX)
    {
      fnd_add (findings, file, 0,
               "the file has %zu bytes; at most %d are accepted, split it",
               len, YML_BYTES_MAX);
      return false;
    }
  error = find_exceeded_limit (text, len);
  if (error || !yaml_parser_initialize (&parser))
    {
      fnd_add (findings, file, 0, "%s", error ? error : "out of memory");
      return false;
    }
  yaml_parser_set_input_string (&parser, (const unsigned char *)text, len);
  if (!yaml_parser_load (&parser, &doc->document))
    fnd_add (findings, file, (int32_t)parser.problem_mark.line + 1,
             "not YAML: %s", parser.problem ? parser.problem : "unreadable");
  else if (!yaml_document_get_root_node (&doc->document))
    {
      fnd_add (findings, file, 0, "the file is empty; start with version: 1");
      yaml_document_delete (&doc->document);
    }
  else
    ok = true;
  yaml_parser_delete (&parser);
  return ok;
}

void
yml_free (struct yml_doc *doc)
{
  yaml_document_delete (&doc->document);
}

yml_node *
yml_root (struct yml_doc *doc)
{
  return yaml_document_get_root_node (&doc->document);
}

int32_t
yml_line (const yml_node *node)
{
  return node ? (int32_t)node->start_mark.line + 1 : 0;
}

static bool
is_known_key (const char *key, const char *const *keys)
{
  for (; *keys; keys++)
    if (strcmp (key, *keys) == 0)
      return true;
  return false;
}

static void
check_key (struct yml_doc *doc, yml_node *map, yaml_node_pair_t *pair,
           const char *where, const char *const *keys)
{
  yml_node *key = yaml_document_get_node (&doc->document, pair->key);

  if (!key || key->type != YAML_SCALAR_NODE)
    {
      fnd_add (doc->findings, doc->file, yml_line (map),
               "%s: keys must be scalars", where);
      return;
    }
  if (!is_known_key (scalar_text (key), keys))
    {
      char *list = g_strjoinv (", ", (char **)keys);

      fnd_add (doc->findings, doc->file, yml_line (key),
               "%s: unknown key \"%.64s\"; use one of %s", where,
               scalar_text (key), list);
      g_free (list);
    }
  for (yaml_node_pair_t *p = map->data.mapping.pairs.start; p < pair; p++)
    {
      yml_node *other = yaml_document_get_node (&doc->document, p->key);

      if (other && other->type == YAML_SCALAR_NODE
          && strcmp (scalar_text (other), scalar_text (key)) == 0)
        {
          fnd_add (doc->findings, doc->file, yml_line (key),
                   "%s: duplicate key \"%.64s\"; remove one", where,
                   scalar_text (key));
          return;
        }
    }
}

bool
yml_check_map (struct yml_doc *doc, yml_node *node, const char *where,
               const char *const *keys)
{
  uint32_t before = fnd_count (doc->findings);
  yaml_node_pair_t *pair;

  if (!node || node->type != YAML_MAPPING_NODE)
    {
      fnd_add (doc->findings, doc->file, yml_line (node),
               "%s: must be a mapping of keys to values", where);
      return false;
    }
  for (pair = node->data.mapping.pairs.start;
       pair < node->data.mapping.pairs.top; pair++)
    check_key (doc, node, pair, where, keys);
  return fnd_count (doc->findings) == before;
}

yml_node *
yml_get (struct yml_doc *doc, yml_node *node, const char *key)
{
  yaml_node_pair_t *pair;

  if (!node || node->type != YAML_MAPPING_NODE)
    return NULL;
  for (pair = node->data.mapping.pairs.start;
       pair < node->data.mapping.pairs.top; pair++)
    {
      yml_node *k = yaml_document_get_node (&doc->document, pair->key);

      if (k && k->type == YAML_SCALAR_NODE
          && strcmp (scalar_text (k), key) == 0)
        return yaml_document_get_node (&doc->document, pair->value);
    }
  return NULL;
}

uint32_t
yml_count (struct yml_doc *doc, yml_node *node, const char *where)
{
  if (!node)
    return 0;
  if (node->type != YAML_SEQUENCE_NODE)
    {
      fnd_add (doc->findings, doc->file, yml_line (node),
               "%s: must be a list; start each item with \"-\"", where);
      return 0;
    }
  return (uint32_t)(node->data.sequence.items.top
                    - node->data.sequence.items.start);
}

yml_node *
yml_item (struct yml_doc *doc, yml_node *node, uint32_t index)
{
  return yaml_document_get_node (&doc->document,
                                 node->data.sequence.items.start[index]);
}

char *
yml_dup_string (struct yml_doc *doc, yml_node *map, const char *where,
                const char *key, bool required)
{
  yml_node *node = yml_get (doc, map, key);

  if (!node)
    {
      if (required)
        fnd_add (doc->findings, doc->file, yml_line (map),
                 "%s: %s is missing; add it", where, key);
      return NULL;
    }
  if (node->type != YAML_SCALAR_NODE || node->data.scalar.length == 0
      || strlen (scalar_text (node)) != node->data.scalar.length)
    {
      fnd_add (doc->findings, doc->file, yml_line (node),
               "%s: %s must be a non-empty string", where, key);
      return NULL;
    }
  return g_strdup (scalar_text (node));
}

int64_t
yml_get_int (struct yml_doc *doc, yml_node *map, const char *where,
             const char *key, int64_t min, int64_t max, int64_t fallback)
{
  yml_node *node = yml_get (doc, map, key);
  gint64 value;

  if (!node)
    return fallback;
  if (node->type == YAML_SCALAR_NODE
      && g_ascii_string_to_signed (scalar_text (node), 10, min, max, &value,
                                   NULL))
    return value;
  if (min == 1)
    fnd_add (doc->findings, doc->file, yml_line (node),
             "%s: %s must be positive, at most %ld", where, key, max);
  else
    fnd_add (doc->findings, doc->file, yml_line (node),
             "%s: %s must be a whole number from %ld to %ld", where, key, min,
             max);
  return fallback;
}

double
yml_get_number (struct yml_doc *doc, yml_node *map, const char *where,
                const char *key, double min, double max, double fallback)
{
  yml_node *node = yml_get (doc, map, key);
  char *end = NULL;
  double value;

  if (!node)
    return fallback;
  if (node->type == YAML_SCALAR_NODE && node->data.scalar.length > 0)
    {
      value = g_ascii_strtod (scalar_text (node), &end);
      /* Not a number is in no range.  */
      if (*end == '\0' && value >= min && value <= max)
        return value;
    }
  fnd_add (doc->findings, doc->file, yml_line (node),
           "%s: %s must be a number from %g to %g", where, key, min, max);
  return fallback;
}

int32_t
yml_get_choice (struct yml_doc *doc, yml_node *map, const char *where,
                const char *key, const char *const *choices, int32_t fallback)
{
  yml_node *node = yml_get (doc, map, key);
  char *list;

  if (!node)
    return fallback;
  if (node->type == YAML_SCALAR_NODE)
    for (int32_t i = 0; choices[i]; i++)
      if (strcmp (scalar_text (node), choices[i]) == 0)
        return i;
  list = g_strjoinv (" or ", (char **)choices);
  fnd_add (doc->findings, doc->file, yml_line (node), "%s: %s must be %s",
           where, key, list);
  g_free (list);
  return fallback;
}
