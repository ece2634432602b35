/* mm_job_record: the stored form of a kept job.  */
#ifndef MM_JOB_RECORD_H
#define MM_JOB_RECORD_H

#include "mm_routes.h"
#include "mm_submission.h"

typedef enum
{
  MM_JOB_QUEUED,    /* accepted, no task has started */
  MM_JOB_RUNNING,   /* at least one task has started */
  MM_JOB_COMPLETED, /* every task is done */
  MM_JOB_FAILED,    /* a task failed in every attempt */
  MM_JOB_CANCELLED  /* by its caller */
} mm_job_phase;
#define MM_JOB_PHASE_COUNT (MM_JOB_CANCELLED + 1)

const char *mm_job_phase_name (mm_job_phase p); /* "queued", ... */
bool mm_job_phase_ended (mm_job_phase p); /* completed, failed or cancelled */

/* Most failed runs that are recorded for a task.  A recorded run is not
   counted again when it is reported again.  */
#define MM_JOB_MAX_FAILURES 8u

/* The stored progress of one task.  */
typedef struct
{
  bool done;                              /* a run has succeeded */
  uint32_t n_failures;                    /* number of failed runs recorded */
  uint32_t failures[MM_JOB_MAX_FAILURES]; /* mm_run_hash() of failed runs */
} mm_task_progress;

/* The stored state of one job.  */
typedef struct
{
  mm_job_phase phase;
  char *queue;       /* name of the queue */
  char *service;     /* service of the upstreams that run its tasks */
  uint32_t priority; /* 0 is the highest */
  uint32_t attempts; /* failed runs of one task after which the job fails */
  mm_time_ms objective_ms;    /* intended duration of the whole job */
  mm_submission *submission;  /* NULL once the job has ended */
  mm_task_progress *progress; /* of each task, NULL once the job has ended */
} mm_job_record;

/* A record of a new job that was submitted to the queue @route.  Takes @s.  */
mm_job_record *mm_job_record_create (mm_submission *s, const mm_route *route);
void mm_job_record_destroy (mm_job_record *r);
/* The job has ended as @p: drops its submission and progress, as only the
   outcome of an ended job is kept.  */
void mm_job_record_set_outcome (mm_job_record *r, mm_job_phase p);
GBytes *mm_job_record_pack (const mm_job_record *r);
/* Decodes a record that mm_job_record_pack() encoded; returns NULL on
   error.  */
mm_job_record *mm_job_record_unpack (const void *data, size_t len,
                                     GError **error);
/* Records a failed run; the same run counts once, however often it is
   reported.  @run_hash: mm_run_hash().  */
void mm_task_progress_add_failure (mm_task_progress *p, uint32_t run_hash);

#endif /* MM_JOB_RECORD_H */
