/* Typed access to a YAML document, based on libyaml.  Each error in the
   document is reported as a finding with its line.  */
#ifndef CB_YAMLDOC_H
#define CB_YAMLDOC_H

#include "finding.h"
#include <stdbool.h>
#include <stddef.h>
#include <yaml.h>

/* Maximum size of a document, in bytes: the store accepts no larger value.  */
#define YML_BYTES_MAX (1024 * 1024)

/* A parsed document.  FILE and FINDINGS are borrowed and must outlive it.  */
struct yml_doc
{
  yaml_document_t document;
  const char *file;
  struct fnd_list *findings;
};

typedef yaml_node_t yml_node;

/* Parses LEN bytes of TEXT from file FILE.  On failure adds a finding and
   returns false; then DOC needs no yml_free.  */
bool yml_parse (struct yml_doc *doc, const char *file, const char *text,
                size_t len, struct fnd_list *findings);
void yml_free (struct yml_doc *doc);
yml_node *yml_root (struct yml_doc *doc);

/* Returns the line of NODE, 1-based; 0 when NODE is NULL.  */
int32_t yml_line (const yml_node *node);
/* Checks that NODE is a mapping whose keys are all in the NULL-terminated KEYS
   and occur at most once.  Here and below, WHERE names the object in
   findings.  */
bool yml_check_map (struct yml_doc *doc, yml_node *node, const char *where,
                    const char *const *keys);
/* Returns the value of KEY.  Returns NULL when it is absent or NODE is no
   mapping.  */
yml_node *yml_get (struct yml_doc *doc, yml_node *node, const char *key);
/* Returns the number of items of sequence NODE, 0 when NODE is NULL.  Adds a
   finding and returns 0 when NODE is no sequence.  */
uint32_t yml_count (struct yml_doc *doc, yml_node *node, const char *where);
/* Returns item INDEX of sequence NODE; INDEX must be less than its count.  */
yml_node *yml_item (struct yml_doc *doc, yml_node *node, uint32_t index);

/* Returns the text of scalar KEY of MAP as a new string.  Returns NULL when it
   is absent, with a finding if REQUIRED; NULL with a finding when it is not a
   scalar, is empty or contains a NUL.  */
char *yml_dup_string (struct yml_doc *doc, yml_node *map, const char *where,
                      const char *key, bool required);
/* Returns KEY of MAP as an integer within [MIN, MAX]; FALLBACK when absent;
   FALLBACK with a finding when malformed or out of range.  */
int64_t yml_get_int (struct yml_doc *doc, yml_node *map, const char *where,
                     const char *key, int64_t min, int64_t max,
                     int64_t fallback);
/* The same for a number that may have a fraction.  */
double yml_get_number (struct yml_doc *doc, yml_node *map, const char *where,
                       const char *key, double min, double max,
                       double fallback);
/* Returns the index of KEY's text in the NULL-terminated CHOICES; FALLBACK
   when absent; FALLBACK with a finding when it is none of them.  */
int32_t yml_get_choice (struct yml_doc *doc, yml_node *map, const char *where,
                        const char *key, const char *const *choices,
                        int32_t fallback);

#endif
