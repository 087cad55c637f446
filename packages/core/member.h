/* Membership on the HTTP path: which VMs of the fleet are alive.  Each VM
   sends heartbeats to a bounded number of others, chosen on a hash ring,
   whatever the size of the fleet; the heartbeats also carry membership changes
   (gossip).  A VM is excluded when several of its observers receive no
   heartbeats from it.  The platform's list of VMs, which lags, and the
   settings only name candidates.  */
#ifndef CB_MEMBER_H
#define CB_MEMBER_H

#include "wire.h"

#define MBR_HEARTBEAT_MS 500
/* Heartbeat targets of a VM: the ring successors that observe it, and random
   VMs, which carry changes across the fleet.  */
#define MBR_OBSERVERS 3
#define MBR_RANDOM_TARGETS 1
/* An observer suspects a VM after this silence.  */
#define MBR_SUSPECT_AFTER_MS 1800
/* Observers that must suspect a VM before it counts as dead.  */
#define MBR_DEAD_OBSERVERS 2
/* A suspicion that too few observers share is dropped after this time.  */
#define MBR_SUSPICION_TTL_MS 6000
/* A dead VM is removed after this time.  */
#define MBR_FORGET_MS 600000
/* Changes carried by one heartbeat.  */
#define MBR_GOSSIP_MAX 12

struct mbr_vm
{
  struct wire_vm vm;
  char suspectors[MBR_OBSERVERS]
                 [DCL_NAME_MAX + 1]; /* observers that suspect it */
  uint32_t n_suspectors;
  int64_t suspected_us;
  int64_t last_heard_us; /* its latest direct message, or the start of the
                            observation; 0 = never */
  int64_t changed_us;
  uint64_t revision;  /* of the configuration, as it last reported */
  int32_t sends_left; /* heartbeats that still have to carry its record */
  bool observed;      /* this VM is one of its observers on the ring */
  bool candidate; /* only named by the settings or the platform: not used until
                     a heartbeat or a peer's record shows that it is alive */
};

struct mbr_options
{
  struct wire_vm self;
  struct ctr_set *counters;
  uint64_t seed;
};

struct mbr
{
  struct mbr_options options;
  struct wire_vm self;
  GHashTable *vms;     /* id -> struct mbr_vm *, this VM not among them */
  GPtrArray *ring;     /* struct mbr_vm *, not dead, by ring position */
  GHashTable *centres; /* data centre -> GPtrArray of usable struct wire_vm *,
                          this VM among them */
  uint64_t centres_epoch;
  uint64_t epoch; /* incremented when the set of usable VMs may have changed */
  bool ring_dirty;
  int64_t next_heartbeat_us;
  GRand *random;
};

void mbr_init (struct mbr *m, const struct mbr_options *options);
void mbr_free (struct mbr *m);
/* Adds a candidate from the settings or the platform's list.  Of a VM that is
   known already only the state leaving is taken over.  */
void mbr_add_candidate (struct mbr *m, const struct wire_vm *vm,
                        int64_t now_us);
/* Takes a heartbeat and the records it carries.  */
void mbr_note_heartbeat (struct mbr *m, const struct wire_heartbeat *beat,
                         int64_t now_us);
/* VM sent another message, which shows that it is alive.  */
void mbr_note_alive (struct mbr *m, const char *vm, int64_t now_us);
/* The link to VM failed.  */
void mbr_link_lost (struct mbr *m, const char *vm, int64_t now_us);
/* Suspects VMs whose heartbeats are overdue; true when heartbeats are to be
   sent now.  */
bool mbr_tick (struct mbr *m, int64_t now_us);
/* Fills BEAT, the heartbeat to send now, and TARGETS, its up to MAX receivers,
   whose records stay owned by M; returns their number.  */
uint32_t mbr_prepare_heartbeat (struct mbr *m, uint64_t revision,
                                struct wire_heartbeat *beat,
                                const struct mbr_vm **targets, uint32_t max,
                                int64_t now_us);
/* Announces that this VM is leaving; heartbeats are due at once.  */
void mbr_leave (struct mbr *m, int64_t now_us);

const struct mbr_vm *mbr_find (const struct mbr *m, const char *vm);
/* True when VM may get requests: it is this VM, or is not dead and more than a
   candidate.  */
bool mbr_is_usable (const struct mbr *m, const char *vm);
uint32_t mbr_count_alive (const struct mbr *m);
/* The usable VM that ranks first (RANK 0) or second (RANK 1) for KEY by
   rendezvous hashing.  VMs in data centre CENTRE rank before others in REGION,
   and those before the rest.  The first when there is no second, NULL when
   there is none.  */
const char *mbr_pick (struct mbr *m, const char *key, const char *centre,
                      const char *region, uint32_t rank);
/* Number of usable VMs in a data centre.  */
uint32_t mbr_count_in_centre (struct mbr *m, const char *centre);
/* True when this VM is alive and among the first COUNT of its own data centre
   for KEY.  */
bool mbr_is_among_best (const struct mbr *m, const char *key, uint32_t count);
void mbr_write_status (const struct mbr *m, GString *out, int64_t now_us);

#endif
