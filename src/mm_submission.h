/* mm_submission: a job as its caller handed it in.  */
#ifndef MM_SUBMISSION_H
#define MM_SUBMISSION_H

#include "mm_task.h"

typedef struct
{
  uint32_t count;    /* tasks */
  mm_resources need; /* of each */
  mm_time_ms estimate_ms;
  uint32_t *after; /* earlier steps that must be done first */
  uint32_t n_after;
  char *payload;             /* instead of the job's, or NULL */
  bool once;                 /* no second run of a task that may have run */
  char *label;               /* upstreams must carry it, or NULL */
  char *data_label;          /* of upstreams near its data, or NULL */
  bool gang;                 /* all tasks at once, or none */
  bool lasting;              /* runs until cancelled */
  bool fills;                /* takes only what others leave */
  uint32_t max_per_upstream; /* 0: no limit */
} mm_step;

typedef struct
{
  char id[MM_JOB_ID_MAX + 1];
  char *payload;
  bool best_effort; /* answered when it has ended; nothing is kept */
  bool repeats;     /* runs again at set times */
  mm_step *steps;
  uint32_t n_steps;
} mm_submission;

void mm_submission_free (mm_submission *s);
uint32_t mm_submission_tasks (const mm_submission *s);       /* in all steps */
uint32_t mm_submission_first_tasks (const mm_submission *s); /* at once */
/* Why this kind of job is not served, or NULL when it is.  */
const char *mm_submission_unsupported (const mm_submission *s);
/* The longest chain of declared run times.  */
mm_time_ms mm_submission_chain_ms (const mm_submission *s);

#endif /* MM_SUBMISSION_H */
