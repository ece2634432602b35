/* mm_jobs_priv: declarations shared by the source files of mm_jobs.  */
#ifndef MM_JOBS_PRIV_H
#define MM_JOBS_PRIV_H

#include "mm_jobs.h"
#include "mm_steps.h"

typedef struct job job;

/* What a task that is not dispatched waits for.  */
typedef enum
{
  WAIT_NONE,    /* it does not wait to be dispatched */
  WAIT_OWNER,   /* at the last dispatch, neither this instance nor a connected
                   peer reported any capacity for the service, free or in use */
  WAIT_VERDICT, /* it is suspect, and may not run for now */
  WAIT_SHED,    /* returned; the decision on its job is deferred */
  WAIT_COUNT
} task_wait;

/* A task of a job.  */
typedef struct
{
  job *job;
  mm_task_id id;
  /* Its dispatch to an owner, NULL: not dispatched.  */
  mm_dispatched_task *handle;
  uint32_t n_failures;      /* runs that failed */
  uint32_t n_rejected;      /* starts that were rejected */
  mm_time_ms ready_ms;      /* since when it waits for capacity */
  mm_time_ms dispatched_ms; /* when last dispatched */
  char *avoid_upstream;     /* where the last unsuccessful run was; or NULL */
  mm_returns *returns;      /* owners that returned the task unstarted since it
                               waits, NULL: none */
  task_wait wait;
  bool isolated; /* dispatched as a suspect task that runs isolated */
  mm_time_ms redispatch_ms; /* next dispatch of a task in doubt, else 0 */
  bool done;                /* a run has ended successfully */
  bool may_have_run;        /* a dispatch ended other than as not run */
} task;

/* A job that is not answered yet.  */
struct job
{
  mm_jobs *jobs;
  mm_submission *submission;
  char *service;     /* service whose upstreams run its tasks */
  char *queue;       /* name of its queue */
  uint32_t priority; /* 0 is served first */
  uint32_t attempts; /* failed runs of a task after which the job fails */
  mm_time_ms submitted_ms;
  mm_time_ms deadline_ms;      /* when the caller stops waiting */
  mm_time_ms on_time_start_ms; /* latest start that meets the objective */
  mm_time_ms latest_start_ms;  /* a task that starts later is too late */
  task *tasks;
  uint32_t n_tasks;
  mm_steps *steps;
  uint64_t bytes;  /* taken from the budget */
  bool dispatched; /* a task was dispatched and may have started */
  bool yields;     /* its tasks are dispatched with mm_task_request.yields */
  uint32_t n_waiting[WAIT_COUNT]; /* tasks by their @wait */
  uint32_t n_in_doubt;            /* tasks with @redispatch_ms set */
  uint32_t n_isolated;            /* tasks with @isolated set */
  GList *callers;                 /* mm_caller: all get the answer */
};

struct mm_caller
{
  job *job;
  mm_job_answered answered;
  void *ctx;
};

struct mm_jobs
{
  mm_fleet *fleet;
  GHashTable *by_id;       /* job id -> job */
  GHashTable *caller_wait; /* queue -> mm_caller_wait */
  mm_budget *budget;       /* of memory, or NULL */
  bool shedding;           /* waiting jobs are shed */
  GList *known_loads;      /* known_load of mm_jobs_shedding.c */
};

/* mm_jobs.c */
/* Sends the same answer to every caller of the job, then frees the job.  */
void mm_jobs_answer (job *b, mm_answer_kind kind, const char *why,
                     uint32_t retry_after_s);
/* Ends a job that cannot be finished in time, and frees it.  */
void mm_jobs_give_up (job *b, const char *why);
void mm_jobs_set_wait (task *t, task_wait wait);
/* Dispatches again the tasks of a job that wait for the same.  */
void mm_jobs_dispatch_waiting (job *b, task_wait wait);

/* mm_jobs_shedding.c */
/* Returns whether a task of the job may have started.  Once it returns false,
   the job can be answered as not run: answering it cancels the reservations
   that are left.  */
bool mm_jobs_may_have_run (const job *b);
/* Decides on every job of which no task may have started; frees those that
   are rejected.  */
void mm_jobs_shed (mm_jobs *j, mm_time_ms now);
/* Handles a task that was returned as not run: it is dispatched again, or
   waits for the decision on its job, or the job is rejected and freed.  */
void mm_jobs_shed_returned (task *t, mm_time_ms now);
void mm_jobs_shedding_destroy (mm_jobs *j); /* frees the state kept here */

#endif /* MM_JOBS_PRIV_H */
