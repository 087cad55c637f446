/* Work-around for CivetWeb 1.15, which looks up SSL_get_peer_certificate by
   dlsym.  OpenSSL 3 has renamed that function to SSL_get1_peer_certificate, so
   that CivetWeb calls a null pointer on each TLS connection.  This definition
   of dlsym overrides the C library's for the whole process and resolves that
   one symbol to its new name.  */
#include <dlfcn.h>
#include <stddef.h>
#include <string.h>

/* Not with the sanitizers, which override dlsym themselves.  */
#if !defined(__SANITIZE_ADDRESS__) && !defined(__SANITIZE_THREAD__)

#define OLD_NAME "SSL_get_peer_certificate"
#define NEW_NAME "SSL_get1_peer_certificate"
/* The symbol version that dlsym has since it moved from libdl into libc.  */
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
