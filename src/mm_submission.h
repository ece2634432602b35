/* mm_submission: a job as submitted by its caller.  */
#ifndef MM_SUBMISSION_H
#define MM_SUBMISSION_H

#include "mm_task.h"

/* A step of a job: tasks with the same needs and dependencies.  */
typedef struct
{
  uint32_t count;         /* number of tasks */
  mm_resources resources; /* resources of each task */
  mm_time_ms estimate_ms; /* declared run time of each task */
  uint32_t *depends_on;   /* indexes of the steps that must be done before this
                             one; all are earlier */
  uint32_t n_dependencies; /* length of depends_on */
  char *payload;           /* overrides the payload of the job; or NULL */
  bool once;               /* a task that may have run is not run again */
  char *label;             /* label that an upstream must carry; or NULL */
  char *data_label;     /* label of upstreams near the step's data; or NULL */
  bool gang;            /* all tasks start together, or none does */
  bool until_cancelled; /* tasks run until they are cancelled */
  bool fills_unused_capacity; /* tasks use only capacity that other tasks leave
                                 unused */
  uint32_t max_per_upstream;  /* most tasks on one upstream; 0: no limit */
} mm_step;

/* A job.  */
typedef struct
{
  char id[MM_JOB_ID_MAX + 1];
  char *payload;    /* of each task whose step has none; opaque */
  bool best_effort; /* answered when the job has ended; nothing is stored */
  bool repeats;     /* the job runs again at set times */
  mm_step *steps;   /* each depends on earlier steps only */
  uint32_t n_steps;
} mm_submission;

/* Frees @s and its fields; @s may be NULL.  */
void mm_submission_free (mm_submission *s);
/* Number of tasks in all steps.  */
uint32_t mm_submission_tasks (const mm_submission *s);
/* Number of tasks whose step depends on no other step.  */
uint32_t mm_submission_first_tasks (const mm_submission *s);
/* Size of the largest task that depends on no other, in thousandths of a
   core.  */
int64_t mm_submission_largest_cpu_milli (const mm_submission *s);
/* Memory that the job holds until it has ended, in bytes, about: the job
   itself, and its tasks wherever they wait or run.  */
uint64_t mm_submission_bytes (const mm_submission *s);
/* Returns why this kind of job is not served, or NULL when it is served.  */
const char *mm_submission_unsupported_reason (const mm_submission *s);
/* Sum of the declared run times along the longest chain of dependent steps:
   the time that the job takes at least, if the run times are as declared.  */
mm_time_ms mm_submission_chain_ms (const mm_submission *s);

#endif /* MM_SUBMISSION_H */
