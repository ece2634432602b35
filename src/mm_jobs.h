/* mm_jobs: jobs of this instance's callers, from submission to answer.  */
#ifndef MM_JOBS_H
#define MM_JOBS_H

#include "mm_fleet.h"
#include "mm_routes.h"
#include "mm_submission.h"

typedef struct mm_jobs mm_jobs;
typedef struct mm_caller mm_caller; /* who waits for a job's answer */

typedef enum
{
  MM_ANSWER_COMPLETED, /* every task is done */
  MM_ANSWER_FAILED,    /* a task failed in every attempt */
  MM_ANSWER_CANCELLED, /* by its caller */
  MM_ANSWER_REFUSED,   /* nothing of it ran, nor will: come back later */
  MM_ANSWER_GIVEN_UP,  /* some of it ran, the rest found no room in time */
  MM_ANSWER_UNKNOWN    /* a task is out of sight: send it again */
} mm_answer_kind;

typedef struct
{
  mm_answer_kind kind;
  const char *why;
  uint32_t retry_after_s; /* 0: not said */
  const bool *done;       /* of each task, in order; NULL: none */
} mm_answer;

typedef void (*mm_answer_cb) (void *ctx, const mm_answer *a);

mm_jobs *mm_jobs_create (mm_fleet *fleet);
void mm_jobs_destroy (mm_jobs *j);
/* Takes @s.  NULL: @on_answer was called already.  */
mm_caller *mm_jobs_submit (mm_jobs *j, mm_submission *s, const mm_route *route,
                           mm_time_ms caller_timeout_ms,
                           mm_answer_cb on_answer, void *ctx);
void mm_jobs_caller_left (mm_jobs *j, mm_caller *c); /* not answered */
bool mm_jobs_running (const mm_jobs *j, const char *job_id);
bool mm_jobs_cancel (mm_jobs *j, const char *job_id); /* false: unknown */
/* Tell every caller that its job is out of sight.  */
void mm_jobs_abandon (mm_jobs *j, const char *why);
void mm_jobs_tick (mm_jobs *j); /* each MM_EXEC_TICK_MS */
uint32_t mm_jobs_count (const mm_jobs *j);

#endif /* MM_JOBS_H */
