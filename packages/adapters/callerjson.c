/* The JSON bodies of requests and answers.  */
#include "callerjson.h"

#include <jansson.h>
#include <string.h>

/* The longest deadline a caller may set.  */
#define DEADLINE_MAX_MS (10 * 60 * 1000)

static enum rsn
refuse (char **detail, enum rsn reason, const char *text)
{
  *detail = g_strdup (text);
  return reason;
}

/* Stores the string KEY in *OUT, "" when it is absent.  Returns false when it
   is not a string, longer than MAX bytes, or contains NUL.  */
static bool
parse_string (json_t *root, const char *key, size_t max, char **out)
{
  json_t *value = json_object_get (root, key);

  *out = g_strdup ("");
  if (!value)
    return true;
  if (!json_is_string (value) || json_string_length (value) > max
      || strlen (json_string_value (value)) != json_string_length (value))
    return false;
  g_free (*out);
  *out = g_strdup (json_string_value (value));
  return true;
}

/* Converts a statement argument to text, whatever its JSON type.  */
static bool
parse_arg (json_t *value, char **out)
{
  if (json_is_null (value))
    *out = NULL;
  else if (json_is_string (value)
           && strlen (json_string_value (value)) == json_string_length (value))
    *out = g_strdup (json_string_value (value));
  else if (json_is_integer (value))
    *out = g_strdup_printf ("%lld", (long long)json_integer_value (value));
  else if (json_is_real (value))
    *out = g_strdup_printf ("%.17g", json_real_value (value));
  else if (json_is_boolean (value))
    *out = g_strdup (json_is_true (value) ? "true" : "false");
  else
    return false;
  return true;
}

static bool
parse_statement (json_t *item, struct wire_statement *out)
{
  json_t *text = json_object_get (item, "text");
  json_t *args = json_object_get (item, "args");
  size_t i;
  json_t *value;

  if (!json_is_string (text)
      || strlen (json_string_value (text)) != json_string_length (text)
      || (args && !json_is_array (args))
      || json_array_size (args) > WIRE_ARGS_MAX)
    return false;
  out->text = g_strdup (json_string_value (text));
  out->args = g_new0 (char *, json_array_size (args) + 1);
  json_array_foreach (args, i, value)
    {
      if (!parse_arg (value, &out->args[i]))
        return false;
      out->n_args++;
    }
  return true;
}

static enum rsn
parse_statements (json_t *root, struct caller_body *out, char **detail)
{
  json_t *list = json_object_get (root, "statements");
  size_t i;
  json_t *item;

  if (!json_is_array (list) || json_array_size (list) == 0)
    return refuse (detail, RSN_BAD_REQUEST,
                   "statements must be a list with at least one item");
  if (json_array_size (list) > WIRE_STATEMENTS_MAX)
    return refuse (detail, RSN_TOO_MANY_STATEMENTS,
                   "statements may have at most 64 items");
  out->statements = g_new0 (struct wire_statement, json_array_size (list));
  json_array_foreach (list, i, item)
    {
      out->n_statements++;
      if (!parse_statement (item, &out->statements[i]))
        return refuse (detail, RSN_BAD_REQUEST,
                       "each statement needs a text and, if any, a list args "
                       "of at most 256 texts, numbers, booleans or nulls");
    }
  return RSN_OK;
}

static enum rsn
parse_deadline (json_t *root, struct caller_body *out, char **detail)
{
  json_t *value = json_object_get (root, "deadline_ms");

  if (!value)
    return RSN_OK;
  if (!json_is_integer (value) || json_integer_value (value) < 1
      || json_integer_value (value) > DEADLINE_MAX_MS)
    return refuse (detail, RSN_BAD_REQUEST,
                   "deadline_ms must be a whole number from 1 to 600000");
  out->deadline_ms = json_integer_value (value);
  return RSN_OK;
}

/* The format has at most four levels of nesting; the depth that is accepted is
   limited by the JSON parser alone.  */
static enum rsn
parse_body (enum wire_op op, json_t *root, struct caller_body *out,
            char **detail)
{
  enum rsn reason;
  bool ok = parse_string (root, "database", DCL_NAME_MAX, &out->database);

  ok &= parse_string (root, "kind", DCL_NAME_MAX, &out->kind);
  ok &= parse_string (root, "request_id", RID_LEN, &out->request_id);
  if (!ok)
    return refuse (detail, RSN_BAD_REQUEST,
                   "database, kind and request_id must be short texts");
  if ((op == WIRE_RUN || op == WIRE_BEGIN) && out->database[0] == '\0')
    return refuse (detail, RSN_BAD_REQUEST, "database is missing");
  reason = parse_deadline (root, out, detail);
  if (reason == RSN_OK && (op == WIRE_RUN || op == WIRE_STATEMENT))
    reason = parse_statements (root, out, detail);
  return reason;
}

enum rsn
cjs_parse (enum wire_op op, const char *text, size_t len,
           struct caller_body *out, char **detail)
{
  json_error_t error = { 0 };
  json_t *root;
  enum rsn reason;

  memset (out, 0, sizeof *out);
  root = len == 0 ? json_object ()
                  : json_loadb (text, len, JSON_REJECT_DUPLICATES, &error);
  if (!root)
    {
      *detail = g_strdup_printf ("not JSON at line %d, column %d: %s",
                                 error.line, error.column, error.text);
      return RSN_BAD_REQUEST;
    }
  if (json_is_object (root))
    reason = parse_body (op, root, out, detail);
  else
    reason = refuse (detail, RSN_BAD_REQUEST, "the body must be an object");
  json_decref (root);
  return reason;
}

void
cjs_clear (struct caller_body *body)
{
  for (uint32_t i = 0; i < body->n_statements; i++)
    {
      for (uint32_t a = 0; a < body->statements[i].n_args; a++)
        g_free (body->statements[i].args[a]);
      g_free (body->statements[i].args);
      g_free (body->statements[i].text);
    }
  g_free (body->statements);
  g_free (body->database);
  g_free (body->kind);
  g_free (body->request_id);
  memset (body, 0, sizeof *body);
}

/* Appends a member; a TEXT that is not valid UTF-8 becomes "".  */
static void
append_string_member (GString *out, const char *key, const char *text)
{
  json_t *value = json_string (text);
  char *quoted = value ? json_dumps (value, JSON_ENCODE_ANY) : NULL;

  g_string_append_printf (out, ",\"%s\":%s", key, quoted ? quoted : "\"\"");
  free (quoted);
  json_decref (value);
}

char *
cjs_format_answer (const struct coord_answer *answer)
{
  GString *out = g_string_new (NULL);

  g_string_append_printf (out, "{\"outcome\":\"%s\",\"reason\":\"%s\"",
                          rsn_outcome_name (rsn_outcome_of (answer->reason)),
                          rsn_name (answer->reason));
  if (answer->detail && answer->detail[0] != '\0')
    append_string_member (out, "detail", answer->detail);
  if (answer->transaction && answer->transaction[0] != '\0')
    append_string_member (out, "transaction", answer->transaction);
  if (answer->rows && answer->rows[0] != '\0')
    g_string_append_printf (out, ",\"results\":%s", answer->rows);
  g_string_append (out, "}\n");
  return g_string_free (out, FALSE);
}
