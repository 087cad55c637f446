/* Messages between proxies, in msgpack.  A message is an array whose first
   items are the protocol version and the type; receivers ignore items beyond
   those they know, so that versions can run side by side.  */
#ifndef CB_WIRE_H
#define CB_WIRE_H

#include "decl.h"
#include "reason.h"
#include <stddef.h>

#define WIRE_VERSION 1
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
  WIRE_RUN,     /* one request as one transaction */
  WIRE_RESOLVE, /* look up, or void, a request id in the ledger */
  WIRE_BEGIN,   /* open a conversation */
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

/* A piece of work for the home proxy of INSTANCE.  Reference counted, by one
   thread; owns its strings.  */
struct wire_request
{
  int32_t refs;
  uint64_t id; /* never used again by the sender, across its runs */
  enum wire_op op;
  char *database;
  char *instance;
  char *kind;
  char *request_id;  /* "" when the caller gave none */
  char *transaction; /* "" outside conversations */
  bool read_only;         /* runs read-only */
  bool use_ledger;       /* may not repeat */
  bool fresh;        /* must not be stale at all */
  int64_t max_age_ms;
  int64_t deadline_ms; /* time left when sent */
  uint64_t min_term;   /* read-your-writes floor */
  uint64_t min_position;
  uint64_t digest; /* of the statements; detects a reused request id */
  uint32_t n_statements;
  struct wire_statement *statements;
};

/* What the replying proxy has proved about the group; travels on each reply
   so that it costs no message of its own.  */
struct wire_view_instance
{
  char name[DCL_NAME_MAX + 1];
  int64_t age_ms;  /* INT64_MAX when unproved */
  int64_t wait_ms; /* estimated queueing, where the sender is its home */
};

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
  uint64_t term; /* of the acknowledged write */
  uint64_t position;
  bool from_primary;
  char *rows;        /* JSON array of results, "" when none */
  char *detail;      /* for people, "" when none */
  char *transaction; /* of a conversation just opened, "" otherwise */
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

/* A VM as the members tell each other of it.  */
struct wire_vm
{
  char id[DCL_NAME_MAX + 1];
  char data_centre[DCL_NAME_MAX + 1];
  char region[DCL_NAME_MAX + 1];
  char peer_address[64];
  char admin_address[64];
  uint64_t incarnation;
  enum wire_vm_state state;
  char suspected_by[DCL_NAME_MAX + 1]; /* with VM_SUSPECT */
};

struct wire_heartbeat
{
  struct wire_vm self;
  uint64_t revision;
  uint32_t n;
  struct wire_vm members[WIRE_MEMBERS_MAX];
};

/* Asks for the manifest (n = 0) or for files by content hash.  */
struct wire_pull
{
  uint32_t n;
  char **hashes;
};

/* The answer: the manifest text, or file contents.  */
struct wire_blob
{
  char *hash;
  char *text;
  size_t len;
};

struct wire_files
{
  uint64_t revision;
  char *manifest; /* "" in an answer to a pull by hash */
  uint32_t n;
  struct wire_blob *blobs;
};

/* A decoded message; TYPE says which member is set.  Owns it.  */
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
/* Gives REQUEST copies of N statements; it must have none.  */
void wire_request_set_statements (struct wire_request *request,
                                  const struct wire_statement *statements,
                                  uint32_t n);
/* A deep copy with one reference.  */
struct wire_request *wire_request_clone (const struct wire_request *request);
void wire_reply_clear (struct wire_reply *reply);

/* Encoders return a new buffer that the caller frees; *LEN gets its size.  */
char *wire_encode_request (const struct wire_request *request, size_t *len);
char *wire_encode_reply (const struct wire_reply *reply, size_t *len);
char *wire_encode_heartbeat (const struct wire_heartbeat *beat, size_t *len);
char *wire_encode_pull (const struct wire_pull *pull, size_t *len);
char *wire_encode_files (const struct wire_files *files, size_t *len);

/* Decodes LEN bytes of DATA, which may be hostile.  False when malformed; then
   OUT holds nothing.  */
bool wire_decode (const char *data, size_t len, struct wire_message *out);
void wire_message_clear (struct wire_message *message);

#endif
