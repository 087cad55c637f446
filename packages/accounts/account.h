/* Client accounts and the keys by which callers identify themselves.

   Keys are held only as digests: a digest identifies a key but cannot be used
   in its place, so it may be cached and passed to other proxies.  */
#ifndef CB_ACCOUNT_H
#define CB_ACCOUNT_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#define ACC_DIGEST_BYTES 32
#define ACC_DIGEST_TEXT_LEN (2 * ACC_DIGEST_BYTES)
/* Name told to instances for callers without an account, which only public
   routes admit.  */
#define ACC_ANONYMOUS "cassiabay"

#define ACC_UNLIMITED (-1.0)

/* The digest of a caller's key.  */
struct acc_digest
{
  uint8_t bytes[ACC_DIGEST_BYTES];
};

/* Limit of one account over all proxies.  */
struct acc_limit
{
  double rate_per_s; /* operations; ACC_UNLIMITED = no limit */
  double burst;      /* operations above the rate */
};

struct acc_account
{
  char *name;
  struct acc_limit limit;
};

/* The accounts of one configuration.  Immutable once built.  */
struct acc_table;

/* Computes the digest of KEY, which is the same in every process.  */
void acc_digest_key (const char *key, struct acc_digest *out);
/* Converts between a digest and its hexadecimal text.  */
void acc_format_digest (const struct acc_digest *digest,
                        char text[ACC_DIGEST_TEXT_LEN + 1]);
bool acc_parse_digest (const char *text, struct acc_digest *out);

struct acc_table *acc_table_new (void);
/* T may be NULL.  */
void acc_table_free (struct acc_table *t);
/* Adds an account.  Returns NULL if NAME exists already.  */
const struct acc_account *acc_table_add (struct acc_table *t, const char *name,
                                         const struct acc_limit *limit);
/* Adds a key of ACCOUNT.  Returns the account that holds it already, else
   NULL.  */
const struct acc_account *acc_table_add_key (struct acc_table *t,
                                             const struct acc_account *account,
                                             const struct acc_digest *digest);
/* Returns the account that holds the key with DIGEST, or NULL.  The time taken
   does not depend on how much of a digest matches.  */
const struct acc_account *acc_table_find (const struct acc_table *t,
                                          const struct acc_digest *digest);
/* Returns the account called NAME, or NULL.  T may be NULL.  */
const struct acc_account *acc_table_find_name (const struct acc_table *t,
                                               const char *name);
uint32_t acc_table_count (const struct acc_table *t);

#endif
