/* One connection to an upstream instance: what was asked on it and not yet
   answered, and which session values and prepared statements it holds.  */
#ifndef CB_UPLINK_H
#define CB_UPLINK_H

#include "svc.h"

/* Statements prepared on one connection before it is reset.  */
#define UL_PREPARED_MAX 200

enum ul_phase
{
  UL_OPENING,
  UL_OPEN
};

/* Why a question was sent.  */
enum ul_purpose
{
  UL_SETUP, /* values and prepared statements */
  UL_BEGIN,
  UL_STATEMENT,
  UL_END, /* rolls back */
  /* From here on answered by the instance's account of itself.  */
  UL_STATUS,
  UL_STEP_DOWN
};

/* A question that waits for its answer.  */
struct ul_question
{
  enum ul_purpose purpose;
  bool proves_lead; /* a plain BEGIN: only a primary accepts it */
  int64_t asked_us;
  void *session; /* NULL once nobody waits for the answer */
};

struct ul;

/* Sends for the core; the adapter knows the wire.  */
struct ul_port;

struct ul_port_ops
{
  /* Starts connecting LINK, directly or through the proxy at HOME (host:port,
     NULL: directly); returns the adapter's handle.  */
  void *(*open) (struct ul_port *port, struct ul *link,
                 const struct dir_instance *instance, const char *home);
  /* Queues STATEMENT, to run only where the log holds AFTER when that is
     known.  */
  void (*send) (struct ul_port *port, void *handle, struct lp after,
                const struct stm *statement);
  /* Closes at once; no event follows.  */
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
  char *home; /* proxy that it goes through, NULL = directly */
  enum ul_phase phase;
  GArray *questions;    /* struct ul_question, oldest first */
  enum stm_state state; /* by the last answer */
  void *session;        /* that holds it, NULL = nobody */
  bool ending;          /* a roll-back was sent and nobody holds it */
  bool doomed;          /* closed once it has nothing left to answer */
  bool closed;          /* see ul_close */
  GHashTable *values;   /* name -> value, as set */
  uint64_t values_sum;  /* of the values, see ul_value_sum */
  GHashTable *prepared; /* ids of prepared statements */
  int64_t opened_us;    /* when opening began */
  int64_t idle_since_us;
};

struct ul *ul_new (struct ul_port *port, struct svc_instance *instance,
                   const struct vmt_vm *home, int64_t now_us);
/* Closes the connection and takes it from its instance; LINK itself lives
   on until ul_free.  */
void ul_close (struct ul *link);
void ul_free (struct ul *link);
/* Sends STATEMENT and remembers the question.  */
void ul_ask (struct ul *link, enum ul_purpose purpose, struct lp after,
             const struct stm *statement, void *session, int64_t now_us);
/* Takes the oldest question.  False when none is open, which breaks the
   protocol.  */
bool ul_take_question (struct ul *link, struct ul_question *out);
/* Forgets SESSION: answers to it are dropped.  */
void ul_detach (struct ul *link, const void *session);
/* True when the link can be given to any session.  */
bool ul_is_idle (const struct ul *link);
/* When the oldest open question was sent, 0 = none.  */
int64_t ul_oldest_us (const struct ul *link);

/* Order-independent digest of one value; the digest of a set is the sum.  */
uint64_t ul_value_sum (const char *name, const char *value);
/* Makes the link's values equal to VALUES (may be NULL) with digest SUM.  */
void ul_sync_values (struct ul *link, GHashTable *values, uint64_t sum,
                     int64_t now_us);
/* Makes sure that statement ID is prepared under NAME.  */
void ul_sync_prepared (struct ul *link, uint32_t id, const char *name,
                       bool writes, const char *shape, int64_t now_us);
/* The instance doesn't know prepared statements that it should.  */
void ul_forget_prepared (struct ul *link);

#endif
