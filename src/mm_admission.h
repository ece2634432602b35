/* mm_admission: whether a job is taken or refused at once.  */
#ifndef MM_ADMISSION_H
#define MM_ADMISSION_H

#include "masticmill.h"

/* What an instance knows of the room for a service.  */
typedef struct
{
  uint32_t places;         /* tasks of the usual size that fit in all */
  uint32_t free;           /* that fit now */
  uint32_t waiting;        /* tasks that wait already */
  mm_time_ms mean_task_ms; /* observed run time */
  mm_time_ms age_ms;       /* of the oldest report in it */
} mm_load;

typedef struct
{
  bool take;
  mm_time_ms wait_ms;     /* expected until its last task starts */
  uint32_t retry_after_s; /* when refused */
} mm_admission;

/* Time a job can wait and still meet its objective.  */
mm_time_ms mm_admission_slack_ms (double stretch, mm_time_ms slo_ms,
                                  mm_time_ms chain_ms);
/* How long after it was handed in an answer is of use.  */
mm_time_ms mm_admission_useful_ms (double stretch, mm_time_ms slo_ms,
                                   mm_time_ms chain_ms);
/* Time a job can wait, until it is too late even for a late answer.  */
mm_time_ms mm_admission_limit_ms (double stretch, mm_time_ms slo_ms,
                                  mm_time_ms chain_ms);
/* The same, of an objective that is worked out.  */
mm_time_ms mm_admission_limit_of (mm_time_ms objective_ms,
                                  mm_time_ms chain_ms);
mm_admission mm_admission_decide (const mm_load *load, uint32_t tasks,
                                  mm_time_ms slack_ms);

#endif /* MM_ADMISSION_H */
