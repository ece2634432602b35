/* mm_read_barrier: confirms with a stored record that a kept job does not
   exist.

   A kept job is a durable job: stored before its caller is told that it is
   accepted, and run to its end whatever instance dies.  The home of a
   partition stores and runs the partition's kept jobs.

   An instance that was a job's home until a moment ago may not know yet that
   it no longer is, nor which jobs the new home has accepted.  The store
   refuses records of a former home.  So a job that the home does not know
   does not exist once the store has accepted a record that the home sent
   after the request arrived.  */
#ifndef MM_READ_BARRIER_H
#define MM_READ_BARRIER_H

#include "mm_job_log.h"
#include "mm_kept.h"

typedef struct mm_read_barrier mm_read_barrier;

/* @log must outlive the returned object's use.  */
mm_read_barrier *mm_read_barrier_create (mm_job_log *log);
/* Must be called after the log is closed.  */
void mm_read_barrier_destroy (mm_read_barrier *barrier);
/* Calls @answered once: with NO_JOB, with MOVING when this instance is not
   the home any more, or with BUSY when the store does not answer in time.  */
void mm_read_barrier_request (mm_read_barrier *barrier, const char *job_id,
                              mm_kept_answered answered, void *ctx);
/* Must be called every MM_EXEC_TICK_MS.  */
void mm_read_barrier_tick (mm_read_barrier *barrier);

#endif /* MM_READ_BARRIER_H */
