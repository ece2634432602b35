/* mm_admission: decides on arrival whether a job is accepted or refused.  */
#ifndef MM_ADMISSION_H
#define MM_ADMISSION_H

#include "masticmill.h"

/* Load and capacity of a service, as known to this instance.  */
typedef struct
{
  uint32_t places;         /* capacity, in tasks of average size */
  uint32_t free;           /* places that are free */
  uint32_t waiting;        /* tasks that are queued ahead of the job */
  mm_time_ms mean_task_ms; /* mean time for which a task uses its place */
  mm_time_ms age_ms;       /* age of the oldest report included */
  /* Of the job's own priority; 0 without overload control.  */
  bool measured;            /* tasks wait for want of capacity, which is
                               @starts_per_s */
  uint32_t waiting_same;    /* tasks that wait */
  uint32_t starts_per_s;    /* tasks started in the last second */
  uint32_t least_tasks;     /* a job counts as at least so many tasks */
  mm_time_ms least_wait_ms; /* of the tasks started lately, or, if none was, of
                               the one that waits longest */
  mm_time_ms overloaded_for_ms; /* since the overload began, 0: none */
  bool evacuated; /* there are no places, as data centres are evacuated */
} mm_load;

/* The decision on a job.  */
typedef struct
{
  bool accept;            /* whether the job is accepted */
  bool overload;          /* refused because of the measured start rate only */
  mm_time_ms wait_ms;     /* expected wait until its last task starts */
  uint32_t retry_after_s; /* when a refused caller should retry */
  const char *why;        /* reason of a refusal */
} mm_admission;

/* Reason of the refusal of a job that no upstream of its service can run.  */
extern const char mm_admission_no_such_upstream[];

/* How long a job can wait for free capacity and still meet its objective,
   which is @stretch * @chain_ms + @slo_ms after its submission.  @chain_ms:
   declared run time of its longest chain of steps.  */
mm_time_ms mm_admission_slack_ms (double stretch, mm_time_ms slo_ms,
                                  mm_time_ms chain_ms);
/* How long after its submission a job's answer is of use to the caller:
   MM_LATE_FACTOR times the objective.  The parameters are those of
   mm_admission_slack_ms().  */
mm_time_ms mm_admission_useful_ms (double stretch, mm_time_ms slo_ms,
                                   mm_time_ms chain_ms);
/* How long a job can wait and still be answered while the answer, though late,
   is of use.  The parameters are those of mm_admission_slack_ms().  */
mm_time_ms mm_admission_limit_ms (double stretch, mm_time_ms slo_ms,
                                  mm_time_ms chain_ms);
/* Like mm_admission_limit_ms(), for an objective that is already computed. */
mm_time_ms mm_admission_limit_of_objective_ms (mm_time_ms objective_ms,
                                               mm_time_ms chain_ms);
/* Returns how long the last of @tasks tasks that are ready to start is
   expected to wait.  */
mm_time_ms mm_admission_expected_wait_ms (const mm_load *load, uint32_t tasks);
/* Returns the Retry-After of a refused job, in seconds.  @wait_ms: from
   mm_admission_expected_wait_ms().  @job_id: decides the jitter.  */
uint32_t mm_admission_retry_after_s (const mm_load *load, mm_time_ms wait_ms,
                                     const char *job_id);
/* Accepts or refuses a job of which @tasks tasks are ready to start.
   @slack_ms: from mm_admission_slack_ms().  */
mm_admission mm_admission_decide (const mm_load *load, uint32_t tasks,
                                  mm_time_ms slack_ms);

#endif /* MM_ADMISSION_H */
