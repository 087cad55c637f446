/* Fake database instance: serves the model of dbmodel.h on a socket with the
   line protocol, with a service time and faults.  */
#ifndef CB_LINESERVER_H
#define CB_LINESERVER_H

#include "codec.h"
#include "dbmodel.h"
#include "stream.h"

/* Faults of an instance; probabilities are per mille.  */
struct lsv_faults
{
  bool unresponsive;    /* reads nothing and sends nothing */
  uint32_t lose_reply;  /* the reply and all later ones are not sent */
  uint32_t break_reply; /* the connection is closed in the middle of it */
  uint32_t busy;        /* rejects the statement as busy */
};

struct lsv_options
{
  struct loop *loop;
  struct stream_set *streams;
  const struct codec *codec;
  struct dbm_instance *instance;
  const char *service;
  const char *listen; /* host:port */
  int64_t work_us;    /* service time of a statement that reads, writes or
                         commits */
};

struct lsv;

/* Starts listening; NULL with ERROR set if the address can't be bound.  */
struct lsv *lsv_new (const struct lsv_options *options, GError **error);
void lsv_free (struct lsv *s);
struct lsv_faults *lsv_faults (struct lsv *s);
/* Closes all connections.  */
void lsv_crash (struct lsv *s);
/* Sends the replies that are due; call it in each turn of the event loop.  */
void lsv_turn (struct lsv *s, int64_t now_us);

#endif
