/* A small deployment for the scripts of review/11 to review/15 and
   review/found-3: the store, a database group of three instances, and the
   proxies as separate processes, all on loopback.  The store and the database
   model are the project's own fakes; the instances' sockets are in instance.c.
 */
#ifndef CB_DEPLOYMENT_H
#define CB_DEPLOYMENT_H

#include "dbmodel.h"
#include "kvstore.h"

#include <stdint.h>
#include <sys/types.h>

#define DEP_VMS_MAX 9
#define DEP_INSTANCES 3
#define DEP_SERVICE "ledger"
/* Databases of the three routes.  */
#define DEP_FRESH "orders"   /* primary */
#define DEP_BOUNDED "lookup" /* bounded_stale, 1,500 ms */
#define DEP_OWN "tally"      /* read_your_writes, 2,500 ms */

struct dep_options
{
  const char *record;  /* path of the record */
  uint32_t n_vms;      /* at most DEP_VMS_MAX */
  uint32_t memory_mb;  /* limits.memoryMb of each proxy */
  int32_t connections; /* maxConns of the service */
  uint32_t row_bytes;  /* of the row that a read returns */
  bool keeps_reads;    /* fills struct dep.reads */
  bool trouble;        /* false: TROUBLE=0 */
};

enum ins_state
{
  INS_UP,
  INS_DOWN, /* its port refuses connections */
  INS_DARK  /* it is silent */
};

/* A read that an instance ran with success.  */
struct dep_read
{
  char *id;
  struct dbm_instance *instance;
  int64_t first_byte_us;
  GPtrArray *log; /* struct dbm_entry *: what the instance had then */
};

struct dep_vm
{
  char name[32];
  char ip[24];
  char *log;
  pid_t pid;   /* 0 = not running */
  bool killed; /* since it exceeded its memory */
};

struct dep
{
  struct dep_options o;
  char *directory; /* temporary folder */
  GMutex lock;     /* guards the database group and the senders */
  struct dbm *group;
  GHashTable *senders; /* statement id -> struct dbm_sender * */
  struct kvs *store;
  struct dep_vm vms[DEP_VMS_MAX];
  uint16_t base; /* first port of a proxy */
  uint16_t store_port;
  uint16_t instance_ports[DEP_INSTANCES];
  uint32_t runs; /* statements that instances ran */
  struct instance *servers[DEP_INSTANCES];
  enum ins_state states[DEP_INSTANCES];
  int64_t silent_since_us[DEP_INSTANCES]; /* 0 = it writes its entry */
  int64_t born_ms[DEP_INSTANCES];
  uint32_t promotions;
  uint32_t changes; /* of roles, and returns of instances */
  GPtrArray *reads; /* struct dep_read *, if O.KEEPS_READS */
};

/* Reads the environment variable TROUBLE.  */
bool dep_has_trouble (void);
/* Starts everything and waits until all proxies are ready.  Exits with 2 if
   that fails.  */
struct dep *dep_start (const struct dep_options *options);
/* Ends all processes and removes the temporary folder.  */
void dep_stop (struct dep *d);
/* Appends a line to the record, with the time since the start.  */
void dep_note (struct dep *d, const char *format, ...) G_GNUC_PRINTF (2, 3);
/* Ends the run: notes RESULT, stops the deployment and exits with 1 if BROKEN,
   else with 0.  */
void dep_finish (struct dep *d, bool broken,
                 const char *result) G_GNUC_NORETURN;
/* Notes REASON, stops the deployment and exits with 2.  */
void dep_give_up (struct dep *d, const char *reason) G_GNUC_NORETURN;
/* Highest resident memory of the proxy so far in KB, -1 when it has ended.  */
long dep_peak_kb (const struct dep_vm *v);
/* From now on the platform kills proxies that exceed memoryMb, and doesn't
   start them again.  */
void dep_enforce_memory (struct dep *d);
/* How many it has killed.  */
uint32_t dep_count_killed (struct dep *d);

/* Kills the process of V and starts it again.  */
void dep_restart (struct dep *d, struct dep_vm *v);

/* Sets what instance K answers.  */
void ins_set_state (struct dep *d, uint32_t k, enum ins_state state);
/* instance.c: serves instance K of the group on its port, on threads of its
   own.  */
void ins_serve (struct dep *d, uint32_t k);

#endif
