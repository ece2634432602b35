/* mm_read_barrier: confirms that a kept job does not exist, by storing a
   record.

   A kept job is a durable job: stored before its caller is told that it is
   accepted, and run to its end whatever instance dies.  The home of a
   partition stores and runs the partition's kept jobs.

   A former home may not know yet that there is a new home, nor which jobs the
   new home has accepted, so it cannot simply answer that a job is unknown.
   But the store refuses records of a former home.  If an instance does not
   know a job, and the store accepts a record that the instance sent after the
   request arrived, then the instance is the home and the job does not
   exist.  */
#ifndef MM_READ_BARRIER_H
#define MM_READ_BARRIER_H

#include "mm_job_log.h"
#include "mm_kept.h"

typedef struct mm_read_barrier mm_read_barrier;

/* @log: the partition's log, which stores the records; must outlive all calls
   but mm_read_barrier_destroy().  */
mm_read_barrier *mm_read_barrier_create (mm_job_log *log);
/* Answers all requests with MM_KEPT_MOVING.  Must be called after the log is
   closed, as the log calls back into the barrier when it closes.  */
void mm_read_barrier_destroy (mm_read_barrier *barrier);
/* Confirms that a job that this home does not know does not exist.  Calls
   @answered once: with MM_KEPT_NO_JOB, with MM_KEPT_MOVING when this instance
   may not be the home any more, or with MM_KEPT_BUSY when the store does not
   answer within MM_KEPT_STORE_TIMEOUT_MS.  */
void mm_read_barrier_request (mm_read_barrier *barrier,
                              mm_kept_answered answered, void *ctx);
/* Answers requests whose time is up, and sends a record when one is due.  Must
   be called every MM_EXEC_TICK_MS.  */
void mm_read_barrier_tick (mm_read_barrier *barrier);

#endif /* MM_READ_BARRIER_H */
