/* mm_absence: is a kept job that is asked for truly not here?

   An instance that was a job's home until a moment ago may not know that it is
   not any more, nor what its successor has accepted.  The store refuses its
   records: what a home does not know of does not exist once the store has
   taken a record of it that was sent after the question came.  */
#ifndef MM_ABSENCE_H
#define MM_ABSENCE_H

#include "mm_job_log.h"
#include "mm_kept.h"

typedef struct mm_absence mm_absence;

mm_absence *mm_absence_create (mm_job_log *log); /* must outlive its use */
void mm_absence_destroy (mm_absence *a);         /* after the log's close */
/* Answered once: NO_JOB, MOVING when this is not the home any more, or BUSY
   when the store does not say in time.  */
void mm_absence_ask (mm_absence *a, const char *job_id, mm_kept_answered told,
                     void *ctx);
void mm_absence_tick (mm_absence *a); /* each MM_EXEC_TICK_MS */

#endif /* MM_ABSENCE_H */
