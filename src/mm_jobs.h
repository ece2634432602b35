/* mm_jobs: jobs whose callers wait at this instance, from submission to
   answer.  */
#ifndef MM_JOBS_H
#define MM_JOBS_H

#include "mm_budget.h"
#include "mm_fleet.h"
#include "mm_routes.h"
#include "mm_submission.h"

typedef struct mm_jobs mm_jobs;
typedef struct mm_caller mm_caller; /* a caller waiting for a job's answer */

typedef enum
{
  MM_ANSWER_COMPLETED, /* every task is done */
  MM_ANSWER_FAILED,    /* a task failed in every attempt */
  MM_ANSWER_CANCELLED, /* cancelled by its caller */
  MM_ANSWER_REFUSED,  /* no task ran or will run; the caller may retry later */
  MM_ANSWER_GIVEN_UP, /* tasks may have run, but not all can end in time */
  MM_ANSWER_UNKNOWN   /* a task is in doubt; the caller should send the job
                         again */
} mm_answer_kind;

/* The answer to a job; valid only during the callback that gets it.  */
typedef struct
{
  mm_answer_kind kind;
  const char *why;        /* reason, "" when the job is completed */
  uint32_t retry_after_s; /* 0: not given in the answer */
  const bool *done;       /* whether each task is done, in the job's order;
                             NULL: no task is done */
} mm_answer;

typedef void (*mm_job_answered) (void *ctx, const mm_answer *a);

mm_jobs *mm_jobs_create (mm_fleet *fleet); /* @fleet must outlive it */
void mm_jobs_destroy (mm_jobs *j);
/* Accepts or refuses a job; takes ownership of @s.  Returns the caller's
   handle, or NULL when @answered has been called already.  */
mm_caller *mm_jobs_submit (mm_jobs *j, mm_submission *s, const mm_route *route,
                           mm_time_ms caller_timeout_ms,
                           mm_job_answered answered, void *ctx);
/* Frees @c, whose connection closed before it was answered.  The job's tasks
   are stopped when no other caller waits for it.  */
void mm_jobs_caller_left (mm_jobs *j, mm_caller *c);
/* Returns whether a job of this id is not answered yet.  */
bool mm_jobs_running (const mm_jobs *j, const char *job_id);
/* Stops a job and answers its callers that it was cancelled.  Returns false
   when no such job runs here.  */
bool mm_jobs_cancel (mm_jobs *j, const char *job_id);
/* Ends all jobs and answers their callers that the outcome is unknown; @why is
   the reason given.  */
void mm_jobs_abandon (mm_jobs *j, const char *why);
/* Sets the memory that the jobs may take, NULL: no limit.  Further jobs are
   refused.  */
void mm_jobs_set_budget (mm_jobs *j, mm_budget *budget);
/* Sets whether waiting jobs that can only be late are shed, see
   mm_shedding.h.  Off at first.  */
void mm_jobs_set_shedding (mm_jobs *j, bool on);
/* What load shedding does at present.  */
typedef struct
{
  bool on;
  uint32_t yielding; /* jobs that yield to those that can be on time */
  uint32_t deferred; /* jobs with returned tasks, undecided while others of
                        their tasks may have started */
} mm_jobs_shedding_state;
mm_jobs_shedding_state mm_jobs_measure_shedding (const mm_jobs *j);
void mm_jobs_tick (mm_jobs *j);            /* called every MM_EXEC_TICK_MS */
uint32_t mm_jobs_count (const mm_jobs *j); /* jobs not answered yet */

#endif /* MM_JOBS_H */
