/* Messages between proxies, encoded in msgpack.  A message is an array whose
   first two items are the protocol version and the message type.  Receivers
   ignore trailing items that they do not know, so that proxies of different
   releases can run side by side.  */
#ifndef CB_WIRE_H
#define CB_WIRE_H

#include "decl.h"
#include "reason.h"
#include <stddef.h>

#define WIRE_VERSION 1
/* A message that exceeds one of these counts is malformed.  */
#define WIRE_STATEMENTS_MAX 64
#define WIRE_ARGS_MAX 256
#define WIRE_MEMBERS_MAX 64
#define WIRE_BLOBS_MAX 8192

enum wire_type
{
  WIRE_REQUEST = 1,
  WIRE_REPLY,
  WIRE_HEARTBEAT,
  WIRE_PULL,
  WIRE_FILES,
  WIRE_TYPE_END
};

enum wire_op
{
  WIRE_RUN,     /* run all statements as one transaction */
  WIRE_RESOLVE, /* look up a request id in the ledger, or void it there */
  WIRE_BEGIN,   /* open an interactive transaction */
  WIRE_STATEMENT,
  WIRE_COMMIT,
  WIRE_ROLLBACK,
  WIRE_OP_END
};

struct wire_statement
{
  char *text;
  uint32_t n_args;
  char **args; /* NULL entries are SQL NULLs */
};

/* A request to the home proxy of INSTANCE.  Owns its strings.  The reference
   count is not atomic: all references belong to one thread.  */
struct wire_request
{
  int32_t refs;
  uint64_t id; /* unique to the sender, also across its restarts */
  enum wire_op op;
  char *database;
  char *instance;
  char *kind;
  char *request_id;    /* "" when the caller gave none */
  char *transaction;   /* id of the interactive transaction, or "" */
  bool read_only;      /* run in a read-only transaction */
  bool use_ledger;     /* record the request id, to run at most once */
  bool fresh;          /* no staleness is allowed (max_age_ms is 0) */
  int64_t max_age_ms;  /* allowed staleness of a read */
  int64_t deadline_ms; /* time left at the moment of sending */
  /* Minimum term and position that a replica must have reached to answer, for
     read-your-writes.  */
  uint64_t min_term;
  uint64_t min_position;
  uint64_t digest; /* hash of the statements; detects a reused request id */
  uint32_t n_statements;
  struct wire_statement *statements;
};

/* What the replying proxy has confirmed about one instance of the database
   group.  */
struct wire_view_instance
{
  char name[DCL_NAME_MAX + 1];
  int64_t age_ms;  /* upper bound of its staleness; INT64_MAX = unknown */
  int64_t wait_ms; /* estimated queueing time, if the sender is its home */
};

/* What the replying proxy has confirmed about the database group.  Each reply
   carries it, so that it needs no message of its own.  */
struct wire_view
{
  uint64_t term;
  char primary[DCL_NAME_MAX + 1]; /* "" when none is known */
  uint32_t n;
  struct wire_view_instance instances[DCL_INSTANCES_MAX];
};

struct wire_reply
{
  uint64_t id;
  enum rsn reason;
  uint64_t term;     /* of the acknowledged write */
  uint64_t position; /* of the acknowledged write */
  bool from_primary;
  char *rows;        /* JSON array of results, "" when none */
  char *detail;      /* explanation for a human reader, "" when none */
  char *transaction; /* id of a transaction just opened, otherwise "" */
  struct wire_view view;
};

enum wire_vm_state
{
  VM_ALIVE,
  VM_SUSPECT,
  VM_LEAVING,
  VM_DEAD,
  VM_STATE_END
};

/* Membership entry of a VM, as proxies exchange it in heartbeats.  */
struct wire_vm
{
  char id[DCL_NAME_MAX + 1];
  char data_centre[DCL_NAME_MAX + 1];
  char region[DCL_NAME_MAX + 1];
  char peer_address[64];
  char admin_address[64];
  uint64_t incarnation;
  enum wire_vm_state state;
  char suspected_by[DCL_NAME_MAX + 1]; /* set in state VM_SUSPECT */
};

struct wire_heartbeat
{
  struct wire_vm self;
  uint64_t revision; /* configuration revision in force at the sender */
  uint32_t n;
  struct wire_vm members[WIRE_MEMBERS_MAX];
};

/* Requests the manifest (n = 0), or files by their content hash.  */
struct wire_pull
{
  uint32_t n;
  char **hashes;
};

/* A file's content and its hash.  */
struct wire_blob
{
  char *hash;
  char *text;
  size_t len;
};

/* Reply to a pull: the manifest text, or file contents.  */
struct wire_files
{
  uint64_t revision;
  char *manifest; /* "" in the reply to a pull by hash */
  uint32_t n;
  struct wire_blob *blobs;
};

/* A decoded message.  TYPE selects the member of U; the message owns it.  */
struct wire_message
{
  enum wire_type type;
  union
  {
    struct wire_request *request;
    struct wire_reply *reply;
    struct wire_heartbeat *heartbeat;
    struct wire_pull *pull;
    struct wire_files *files;
  } u;
};

struct wire_request *wire_request_new (void);
struct wire_request *wire_request_ref (struct wire_request *request);
void wire_request_unref (struct wire_request *request);
/* Copies N statements into REQUEST, which must have none yet.  */
void wire_request_set_statements (struct wire_request *request,
                                  const struct wire_statement *statements,
                                  uint32_t n);
/* Returns a deep copy with a reference count of one.  */
struct wire_request *wire_request_clone (const struct wire_request *request);
/* Frees the strings of REPLY and zeroes it.  */
void wire_reply_clear (struct wire_reply *reply);

/* Encoders return a new buffer, which the caller frees with g_free, and store
   its size in *LEN.  */
char *wire_encode_request (const struct wire_request *request, size_t *len);
char *wire_encode_reply (const struct wire_reply *reply, size_t *len);
char *wire_encode_heartbeat (const struct wire_heartbeat *beat, size_t *len);
char *wire_encode_pull (const struct wire_pull *pull, size_t *len);
char *wire_encode_files (const struct wire_files *files, size_t *len);

/* Decodes LEN bytes of untrusted DATA.  Returns false when malformed; then OUT
   is empty and needs no clearing.  */
bool wire_decode (const char *data, size_t len, struct wire_message *out);
void wire_message_clear (struct wire_message *message);

#endif
