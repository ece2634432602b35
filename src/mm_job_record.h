/* mm_job_record: a kept job as it lies in the store.  */
#ifndef MM_JOB_RECORD_H
#define MM_JOB_RECORD_H

#include "mm_routes.h"
#include "mm_submission.h"

typedef enum
{
  MM_JOB_QUEUED,    /* accepted, no task has begun */
  MM_JOB_RUNNING,   /* some task has begun */
  MM_JOB_COMPLETED, /* every task is done */
  MM_JOB_FAILED,    /* a task failed in every attempt */
  MM_JOB_CANCELLED  /* by its caller */
} mm_job_phase;
#define MM_JOB_PHASE_COUNT (MM_JOB_CANCELLED + 1)

const char *mm_job_phase_name (mm_job_phase p); /* "queued", ... */
bool mm_job_phase_over (mm_job_phase p);        /* nothing of it runs */

#define MM_JOB_MAX_FAILURES                                                   \
  8u /* failed runs of a task that are told apart                             \
      */

/* What is known of one task.  */
typedef struct
{
  bool done;
  uint32_t n_failures;
  uint32_t failures[MM_JOB_MAX_FAILURES]; /* mm_run_mark() of each run */
} mm_task_progress;

typedef struct
{
  mm_job_phase phase;
  char *queue;
  char *service;
  uint32_t priority;
  uint32_t attempts;
  mm_time_ms objective_ms;    /* of the whole job */
  mm_submission *s;           /* NULL once it is over */
  mm_task_progress *progress; /* of each task, NULL once it is over */
} mm_job_record;

mm_job_record *mm_job_record_new (mm_submission *s,
                                  const mm_route *route); /* takes @s */
void mm_job_record_free (mm_job_record *r);
void mm_job_record_close (mm_job_record *r, mm_job_phase p); /* it is over */
GBytes *mm_job_record_pack (const mm_job_record *r);
mm_job_record *mm_job_record_unpack (const void *data, size_t len,
                                     GError **error);
/* A run has failed; heard of twice, it counts once.  @mark: mm_run_mark(). */
void mm_task_progress_fail (mm_task_progress *p, uint32_t mark);

#endif /* MM_JOB_RECORD_H */
