/* Access control: which callers may use which databases.  Callers are known by
   the hash of a bearer token or by the common name of a client certificate.
   Loaded from a YAML file and immutable afterwards.  */
#ifndef CB_ACCESS_H
#define CB_ACCESS_H

#include "finding.h"
#include "reason.h"

struct access;

/* Parses the LEN bytes of TEXT.  FILE is named in findings.  Returns NULL and
   adds to FINDINGS when the text is not valid.  */
struct access *access_parse (const char *file, const char *text, size_t len,
                             struct fnd_list *findings);
void access_free (struct access *a);
/* Returns RSN_OK when the caller identified by the bearer TOKEN or by the
   certificate SUBJECT (NULL: not given) may use DATABASE, RSN_FORBIDDEN when a
   known caller may not, and RSN_UNAUTHENTICATED when no caller matches.  */
enum rsn access_check (const struct access *a, const char *token,
                       const char *subject, const char *database);

#endif
