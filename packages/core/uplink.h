/* One connection to an upstream instance, called a link: its outstanding
   requests, and the session values and prepared statements that the instance
   holds for it.  */
#ifndef CB_UPLINK_H
#define CB_UPLINK_H

#include "service.h"

/* Number of statements prepared on one link at which it is reset.  */
#define UL_PREPARED_MAX 200

enum ul_phase
{
  UL_OPENING,
  UL_OPEN
};

/* Why a request was sent.  */
enum ul_purpose
{
  UL_SETUP, /* session values and prepared statements */
  UL_BEGIN,
  UL_STATEMENT,
  UL_ROLLBACK,
  /* The reply to these and all later ones is the instance's status.  */
  UL_STATUS,
  UL_STEP_DOWN,
  UL_PAUSE,
  UL_RESUME
};

/* A request that awaits its reply.  */
struct ul_request
{
  enum ul_purpose purpose;
  bool confirms_primary; /* a plain BEGIN: only a primary accepts it */
  int64_t sent_us;
  void *session; /* NULL if no session awaits the reply (any more) */
};

struct ul;

/* Interface through which the core opens, uses and closes links.  An adapter
   implements it and knows the wire protocol.  */
struct ul_port;

struct ul_port_ops
{
  /* Starts connecting LINK through the proxy at HOME (host:port), or directly
     if HOME is NULL.  Returns the adapter's handle.  */
  void *(*open) (struct ul_port *port, struct ul *link,
                 const struct dir_instance *instance, const char *home);
  /* Queues STATEMENT.  If AFTER is a known position, the instance runs it only
     once its log contains that position.  */
  void (*send) (struct ul_port *port, void *handle, struct logpos after,
                const struct stm *statement);
  /* Closes immediately; no event follows.  */
  void (*close) (struct ul_port *port, void *handle);
};

struct ul_port
{
  const struct ul_port_ops *ops;
};

struct ul
{
  struct ul_port *port;
  void *handle;
  struct svc_instance *instance;
  char *home; /* name of the proxy that forwards to it, NULL = direct link */
  /* The account in whose name it was opened, NULL = this proxy itself.  Only
     for a direct link; one through a home serves all accounts.  */
  char *account;
  enum ul_phase phase;
  GArray *requests;       /* struct ul_request, oldest first */
  enum stm_state state;   /* transaction state in the last reply */
  void *session;          /* session that holds the link, NULL = none */
  bool rolling_back;      /* a ROLLBACK was sent after its session left it */
  bool retiring;          /* to be closed once no request is outstanding */
  bool closed;            /* see ul_close */
  GHashTable *values;     /* session values set on it, name -> value */
  uint64_t values_digest; /* of these values, see ul_value_digest */
  GHashTable *prepared;   /* ids of prepared statements */
  int64_t opened_us;      /* when opening began */
  /* Its session stopped waiting for the reply, which is still awaited until
     then for the time that it took; 0 = not.  */
  int64_t late_until_us;
  int64_t idle_since_us;
};

/* Starts opening a link to INSTANCE, through HOME or directly if that is NULL,
   and adds it to the links of the instance.  ACCOUNT is that of a direct link,
   may be NULL.  */
struct ul *ul_new (struct ul_port *port, struct svc_instance *instance,
                   const struct vmt_vm *home, const char *account,
                   int64_t now_us);
/* Closes the connection and removes it from its instance.  LINK itself stays
   valid until ul_free.  */
void ul_close (struct ul *link);
/* Closes LINK if it is open, and frees it.  */
void ul_free (struct ul *link);
/* Sends STATEMENT and appends it to the outstanding requests.  SESSION awaits
   the reply; it may be NULL.  */
void ul_send (struct ul *link, enum ul_purpose purpose, struct logpos after,
              const struct stm *statement, void *session, int64_t now_us);
/* Removes the oldest outstanding request and stores it in OUT.  Returns false
   if there is none: the reply at hand then violates the protocol.  */
bool ul_take_request (struct ul *link, struct ul_request *out);
/* Detaches SESSION from LINK: replies to its requests are dropped.  */
void ul_detach_session (struct ul *link, const void *session);
/* Returns true if any session may take the link.  */
bool ul_is_idle (const struct ul *link);
/* Returns when the oldest outstanding request was sent, 0 = none.  */
int64_t ul_oldest_request_us (const struct ul *link);

/* Returns the digest of one session value.  The digest of a set of values is
   the sum of theirs, so it doesn't depend on their order.  */
uint64_t ul_value_digest (const char *name, const char *value);
/* Makes the link's session values equal to VALUES (may be NULL), whose digest
   is DIGEST, and resets a link with too many prepared statements.  */
void ul_sync_values (struct ul *link, GHashTable *values, uint64_t digest,
                     int64_t now_us);
/* Ensures that the statement with id ID is prepared as TEXT under NAME.  */
void ul_sync_prepared (struct ul *link, uint32_t id, const char *name,
                       bool writes, const char *text, int64_t now_us);
/* Clears the record of prepared statements: the instance turned out not to
   have one that it should have.  */
void ul_clear_prepared (struct ul *link);

#endif
