/* Typed access to a YAML document on libyaml; every mistake becomes a finding
   with its line.  */
#ifndef CB_YAMLDOC_H
#define CB_YAMLDOC_H

#include "finding.h"
#include <stdbool.h>
#include <stddef.h>
#include <yaml.h>

/* Largest document accepted, in bytes: the store's largest value.  */
#define YML_BYTES_MAX (1024 * 1024)

/* A parsed document.  File and findings are borrowed and must outlive it.  */
struct yml_doc
{
  yaml_document_t document;
  const char *file;
  struct fnd_list *findings;
};

typedef yaml_node_t yml_node;

/* Parses LEN bytes of TEXT.  On failure adds a finding and returns false;
   then DOC needs no free.  */
bool yml_parse (struct yml_doc *doc, const char *file, const char *text,
               size_t len, struct fnd_list *findings);
void yml_free (struct yml_doc *doc);
yml_node *yml_root (struct yml_doc *doc);

int32_t yml_line (const yml_node *node);
/* Checks that NODE is a mapping with only the NULL-terminated KEYS, each at
   most once.  WHERE names the object in findings.  */
bool yml_check_map (struct yml_doc *doc, yml_node *node, const char *where,
                    const char *const *keys);
/* The value of KEY, or NULL.  NODE must be a mapping.  */
yml_node *yml_get (struct yml_doc *doc, yml_node *node, const char *key);
/* Number of items; adds a finding and gives 0 when NODE is no sequence.  NULL
   counts as empty.  */
uint32_t yml_count (struct yml_doc *doc, yml_node *node, const char *where);
yml_node *yml_item (struct yml_doc *doc, yml_node *node, uint32_t index);

/* The text of scalar KEY, a new string; NULL with a finding when REQUIRED and
   absent, or not a scalar.  */
char *yml_dup_string (struct yml_doc *doc, yml_node *map, const char *where,
                      const char *key, bool required);
/* An integer within [MIN, MAX]; FALLBACK when absent, and with a finding when
   malformed or out of range.  */
int64_t yml_get_int (struct yml_doc *doc, yml_node *map, const char *where,
                     const char *key, int64_t min, int64_t max,
                     int64_t fallback);
/* Index of KEY's text in the NULL-terminated CHOICES, FALLBACK when absent;
   FALLBACK with a finding when it is none of them.  */
int32_t yml_get_choice (struct yml_doc *doc, yml_node *map, const char *where,
                        const char *key, const char *const *choices,
                        int32_t fallback);

#endif
