/* mm_shedding: decides on waiting jobs that are expected to be late.

   Under overload, jobs that can only be late use capacity that others need to
   be on time, and jobs that will not be served hold their callers.  */
#ifndef MM_SHEDDING_H
#define MM_SHEDDING_H

#include "masticmill.h"

typedef enum
{
  MM_SHEDDING_KEEP,  /* no change */
  MM_SHEDDING_YIELD, /* its tasks go behind those that can be on time */
  MM_SHEDDING_REJECT /* refused now: it has not run and will not run */
} mm_shedding_verdict;

/* A job of which no task may have started.  */
typedef struct
{
  mm_time_ms now_ms;
  mm_time_ms on_time_start_ms; /* latest start that meets the objective */
  mm_time_ms latest_start_ms;  /* latest start that is of use to the caller */
  mm_time_ms expected_wait_ms; /* until its last task can start */
} mm_shedding_job;

mm_shedding_verdict mm_shedding_decide (const mm_shedding_job *j);
/* Returns the name of a verdict, such as "keep".  */
const char *mm_shedding_name (mm_shedding_verdict v);

#endif /* MM_SHEDDING_H */
