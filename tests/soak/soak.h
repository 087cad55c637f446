/* State of a soak, shared by its two halves: processes and faults (soak.c),
   callers and what they conclude (callers.c).  */
#ifndef CB_SOAK_H
#define CB_SOAK_H

#include "dbmodel.h"
#include "faultproxy.h"
#include "kvstore.h"
#include "linecodec.h"
#include "lineserver.h"

#define SOAK_GROUPS 2
#define SOAK_INSTANCES 3
#define SOAK_VMS_MAX 40

enum vm_state
{
  VM_RUNS,
  VM_ENDS, /* was told to, or killed */
  VM_DOWN
};

/* A proxy process.  */
struct vm
{
  uint32_t index;
  char name[16];
  char ip[24];
  char *settings;
  char *log;
  uint16_t store_port; /* of its own way to the store */
  pid_t pid;
  enum vm_state state;
  int64_t starts_us;
  int64_t ends_us;
  int64_t resumes_us; /* it is stopped until then, 0 = not */
};

/* A database group and its instances.  */
struct group
{
  char name[16];
  struct dbm *db;
  struct lsv *servers[SOAK_INSTANCES];
  uint16_t ports[SOAK_INSTANCES];
  char *listed[SOAK_INSTANCES]; /* entry in the directory, NULL = none */
  int64_t seen_us[SOAK_INSTANCES];
};

struct soak
{
  struct loop loop;
  struct stream_set streams;
  GMutex lock; /* of the models: promotions come on other threads */
  struct kvs *store;
  struct group groups[SOAK_GROUPS];
  struct vm vms[SOAK_VMS_MAX];
  uint32_t n_vms;
  GPtrArray *links;    /* struct fpx * */
  GHashTable *senders; /* statement id -> struct dbm_sender * */
  GRand *random;
  const char *program;
  uint16_t base; /* first port */
  uint32_t version;
  int64_t beat_us;
  int64_t start_us;
  int64_t fault_us;
  int64_t heal_us;
  uint32_t asked;
  uint32_t oks;
  uint32_t promises;
  uint32_t unknowns;
  uint32_t closes;
  uint32_t failures;
  bool demo; /* one fault, told step by step */
  int64_t told_us;
  uint32_t told_oks;
};

bool soak_sender (void *arg, const char *id, struct dbm_sender *out);
void soak_fail (const char *format, ...) G_GNUC_PRINTF (1, 2);

void callers_start (struct soak *s);
void callers_turn (struct soak *s, int64_t now_us);
/* After the end: everybody must have been served since all was mended.  */
void callers_judge (struct soak *s);

#endif
