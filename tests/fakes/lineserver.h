/* A database instance on a socket: the model behind the line protocol, with
   time for its work and the ways in which it fails.  */
#ifndef CB_LINESERVER_H
#define CB_LINESERVER_H

#include "codec.h"
#include "dbmodel.h"
#include "stream.h"

/* Faults of one instance; chances in parts of a thousand.  */
struct lsv_faults
{
  bool unresponsive;     /* reads and answers nothing */
  uint32_t lose_answer;  /* the answer never comes */
  uint32_t break_answer; /* the connection breaks in the middle of it */
  uint32_t busy;         /* sheds the statement */
};

struct lsv_options
{
  struct loop *loop;
  struct stream_set *streams;
  const struct codec *codec;
  struct dbm_instance *instance;
  const char *service;
  const char *listen; /* host:port */
  int64_t work_us;
};

struct lsv;

/* NULL with a message when the address can't be bound.  */
struct lsv *lsv_new (const struct lsv_options *options, GError **error);
void lsv_free (struct lsv *s);
struct lsv_faults *lsv_faults (struct lsv *s);
/* Breaks all connections.  */
void lsv_crash (struct lsv *s);
/* Sends what is due; call each turn.  */
void lsv_turn (struct lsv *s, int64_t now_us);

#endif
