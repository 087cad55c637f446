/* Pointers published by read-copy-update, on liburcu; no other file uses
   liburcu.  The "bulletproof" flavour is used because its reader threads need
   no registration: CivetWeb creates them.  ThreadSanitizer does not recognise
   liburcu's grace periods, so they are annotated here.  */
#ifndef CB_RCU_H
#define CB_RCU_H

#include <stdatomic.h>
#include <urcu-bp.h>

#if defined(__SANITIZE_THREAD__)
#define RCU_TSAN 1
#elif defined(__has_feature)
#if __has_feature(thread_sanitizer)
#define RCU_TSAN 1
#endif
#endif

#ifdef RCU_TSAN
void __tsan_acquire (void *addr);
void __tsan_release (void *addr);
#else
#define __tsan_acquire(addr) (void)(addr)
#define __tsan_release(addr) (void)(addr)
#endif

/* A published pointer.  Readers may run on any thread.  */
struct rcu_cell
{
  _Atomic (void *) value;
};

/* Enters a read-side critical section: a pointer returned by rcu_cell_get
   stays valid until rcu_cell_leave.  */
static inline void
rcu_cell_enter (struct rcu_cell *cell)
{
  (void)cell;
  urcu_bp_read_lock ();
}

static inline void *
rcu_cell_get (struct rcu_cell *cell)
{
  return atomic_load_explicit (&cell->value, memory_order_acquire);
}

static inline void
rcu_cell_leave (struct rcu_cell *cell)
{
  __tsan_release (cell);
  urcu_bp_read_unlock ();
}

/* Publishes NEXT, waits until no reader uses the old value, and returns that
   for freeing.  Writers must not run concurrently.  */
static inline void *
rcu_cell_replace (struct rcu_cell *cell, void *next)
{
  void *old
      = atomic_exchange_explicit (&cell->value, next, memory_order_acq_rel);

  urcu_bp_synchronize_rcu ();
  __tsan_acquire (cell);
  return old;
}

#endif
