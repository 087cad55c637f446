/* Membership: which VMs of the system live.  Each VM sends heartbeats to a
   bounded number of others, chosen on a hash ring, whatever the size of the
   fleet; changes spread with the heartbeats.  A VM is passed over when several
   of its observers no longer hear it; the platform's lagging list and the
   settings only name candidates.  */
#ifndef CB_MEMBER_H
#define CB_MEMBER_H

#include "wire.h"

#define MBR_HEARTBEAT_MS 500
/* Ring successors that observe a VM, and random targets besides, which carry
   changes across the fleet.  */
#define MBR_OBSERVERS 3
#define MBR_RANDOM_TARGETS 1
/* An observer suspects a VM after this silence.  */
#define MBR_SUSPECT_AFTER_MS 1800
/* Observers that must agree before a VM counts as dead.  */
#define MBR_DEAD_OBSERVERS 2
/* A suspicion that is not shared holds this long.  */
#define MBR_SUSPICION_TTL_MS 6000
/* A dead VM is forgotten after this time.  */
#define MBR_FORGET_MS 600000
/* Changes carried by one heartbeat.  */
#define MBR_GOSSIP_MAX 12

struct mbr_vm
{
  struct wire_vm vm;
  char suspectors[MBR_OBSERVERS][DCL_NAME_MAX + 1]; /* who suspects it */
  uint32_t n_suspectors;
  int64_t suspected_us;
  int64_t last_heard_us; /* directly; 0 = never */
  int64_t changed_us;
  uint64_t revision;  /* configuration it last told */
  int32_t sends_left; /* times its record is still to be spread */
  bool observed;      /* it sends us heartbeats by the ring */
  bool candidate;     /* only named so far: not used before it, or a peer that
                       heard it, tells that it lives */
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
  GPtrArray *ring;     /* struct mbr_vm *, the living by ring position */
  GHashTable *centres; /* data centre -> GPtrArray of usable struct wire_vm *,
                          this VM among them */
  uint64_t centres_epoch;
  uint64_t epoch; /* grows when the set of usable VMs changes */
  bool ring_dirty;
  int64_t next_heartbeat_us;
  GRand *random;
};

void mbr_init (struct mbr *m, const struct mbr_options *options);
void mbr_free (struct mbr *m);
/* Names a candidate from settings or the platform's list.  A known VM is left
   as it is, but a leaving mark is taken.  */
void mbr_add_candidate (struct mbr *m, const struct wire_vm *vm,
                        int64_t now_us);
/* Takes a heartbeat.  */
void mbr_note_heartbeat (struct mbr *m, const struct wire_heartbeat *beat,
                         int64_t now_us);
/* Any other message from VM shows that it lives.  */
void mbr_note_alive (struct mbr *m, const char *vm, int64_t now_us);
/* The link to VM broke.  */
void mbr_link_lost (struct mbr *m, const char *vm, int64_t now_us);
/* Suspects the silent; true when heartbeats are due now.  */
bool mbr_tick (struct mbr *m, int64_t now_us);
/* Fills BEAT and the up to MAX targets of a round of heartbeats; returns the
   number of targets, whose records stay owned by M.  */
uint32_t mbr_prepare_heartbeat (struct mbr *m, uint64_t revision,
                                struct wire_heartbeat *beat,
                                const struct mbr_vm **targets, uint32_t max,
                                int64_t now_us);
void mbr_leave (struct mbr *m, int64_t now_us);

const struct mbr_vm *mbr_find (const struct mbr *m, const char *vm);
/* True when VM may be given work: it lives, or is this VM.  */
bool mbr_is_usable (const struct mbr *m, const char *vm);
uint32_t mbr_count_alive (const struct mbr *m);
/* The RANK-th best usable VM for KEY: in data centre CENTRE if one lives
   there, else in REGION, else anywhere.  NULL when there are fewer.  */
const char *mbr_pick (struct mbr *m, const char *key, const char *centre,
                      const char *region, uint32_t rank);
/* Number of usable VMs in a data centre.  */
uint32_t mbr_count_in (struct mbr *m, const char *centre);
/* True when this VM is among the best COUNT of its own data centre for KEY. */
bool mbr_is_among_best (const struct mbr *m, const char *key, uint32_t count);
void mbr_write_status (const struct mbr *m, GString *out, int64_t now_us);

#endif
