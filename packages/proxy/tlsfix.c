/* CivetWeb 1.15 looks up SSL_get_peer_certificate, which OpenSSL 3 has renamed
   to SSL_get1_peer_certificate, and calls the null pointer it gets on each TLS
   connection.  This definition of dlsym stands before the C library's for the
   whole process and answers that one look-up with the new name.  */
#include <dlfcn.h>
#include <stddef.h>
#include <string.h>

/* The sanitizers have a dlsym of their own.  */
#if !defined(__SANITIZE_ADDRESS__) && !defined(__SANITIZE_THREAD__)

#define OLD_NAME "SSL_get_peer_certificate"
#define NEW_NAME "SSL_get1_peer_certificate"
/* The version of dlsym since it moved into libc itself.  */
#define DLSYM_VERSION "GLIBC_2.34"

typedef void *dlsym_fn (void *handle, const char *name);

__attribute__ ((visibility ("default"))) void *
dlsym (void *handle, const char *name)
{
  dlsym_fn *next = (dlsym_fn *)dlvsym (RTLD_NEXT, "dlsym", DLSYM_VERSION);
  void *found = next ? next (handle, name) : NULL;

  if (!found && next && strcmp (name, OLD_NAME) == 0)
    found = next (handle, NEW_NAME);
  return found;
}

#endif
