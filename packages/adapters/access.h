/* Which caller may use which database: bearer tokens, by hash, and names of
   client certificates, from a YAML file.  Immutable once loaded.  */
#ifndef CB_ACCESS_H
#define CB_ACCESS_H

#include "finding.h"
#include "reason.h"

struct access;

/* NULL with findings when the file is wrong.  */
struct access *access_parse (const char *file, const char *text, size_t len,
                             struct fnd_list *findings);
void access_free (struct access *a);
/* RSN_OK when the caller known by TOKEN (NULL: none) or by the certificate
   subject SUBJECT (NULL: none) may use DATABASE.  */
enum rsn access_check (const struct access *a, const char *token,
                       const char *subject, const char *database);

#endif
