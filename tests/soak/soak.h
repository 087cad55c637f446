/* State of a soak test, shared by soak.c (processes, faults, main loop) and
   callers.c (simulated client accounts).  */
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
  VM_RUNNING,
  VM_STOPPING, /* has received SIGTERM or SIGKILL */
  VM_DOWN
};

/* A proxy process.  Times are as from loop_now_us ().  */
struct vm
{
  uint32_t index;
  char name[16];
  char ip[24];
  char *settings;
  char *log;
  uint16_t store_port; /* port of its own connection to the store, where
                          faults are injected */
  pid_t pid;
  enum vm_state state;
  int64_t restart_at_us;
  int64_t stop_deadline_us;
  int64_t resume_at_us; /* suspended (SIGSTOP) until then, 0 = not */
};

/* A database group and its instances.  */
struct group
{
  char name[16];
  struct dbm *db;
  struct lsv *servers[SOAK_INSTANCES];
  uint16_t ports[SOAK_INSTANCES];
  char *entries[SOAK_INSTANCES]; /* directory entry as last written, NULL =
                                    none */
  int64_t last_heartbeat_us[SOAK_INSTANCES];
};

/* What a deployment may choose.  */
struct deployment
{
  uint32_t sync_replicas;
  bool requires_fence;
  bool late_promotions; /* calls may be carried out seconds later */
  const char *grace_s;  /* a number in seconds */
};

struct soak
{
  struct loop loop;
  struct stream_set streams;
  GMutex lock; /* guards the database models: promotions arrive on other
                  threads */
  struct kvs *store;
  struct group groups[SOAK_GROUPS];
  struct vm vms[SOAK_VMS_MAX];
  uint32_t n_vms;
  GPtrArray *links;    /* struct fpx *, to the store and the instances */
  GHashTable *senders; /* statement id -> struct dbm_sender * */
  GRand *random;
  GRand *platform_random; /* of the promotion calls */
  GArray *late;           /* struct late_promotion, not carried out yet */
  struct deployment deployment;
  const char *program;
  uint16_t base;            /* first port */
  uint32_t version;         /* of the configuration in the store */
  int64_t directory_due_us; /* next update of the directory entries */
  int64_t start_us;
  int64_t next_fault_us;
  int64_t heal_us; /* all faults are healed then */
  uint32_t statements_sent;
  uint32_t succeeded;
  uint32_t not_applied; /* failed, reported as not applied */
  uint32_t unknown;     /* failed, outcome unknown */
  uint32_t closes;      /* connections closed by a proxy */
  uint32_t failures;
  bool demo;          /* one fault, with a line of progress per second */
  int64_t printed_us; /* demo: time of the latest line */
  uint32_t printed_succeeded; /* demo: value of SUCCEEDED in that line */
};

/* Looks up who sent statement ID.  Called by the database models.  */
bool soak_sender (void *arg, const char *id, struct dbm_sender *out);
/* Records a failure of the run.  */
void soak_fail (const char *format, ...) G_GNUC_PRINTF (1, 2);

/* Sets up the callers; they connect when callers_turn () is run.  */
void callers_start (struct soak *s);
/* Lets each caller connect or send its next statement when it is due, and
   fails for statements that were not answered in time.  */
void callers_turn (struct soak *s, int64_t now_us);
/* Called after the run: fails for each caller that has had no successful
   statement since all faults were healed.  */
void callers_check_recovery (struct soak *s);

#endif
