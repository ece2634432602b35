/* mm_search_result: what an owner knows of tasks in doubt.  */
#ifndef MM_CENSUS_H
#define MM_CENSUS_H

#include "mm_task.h"

/* The end of a run that a search for tasks in doubt has found.  */
typedef struct
{
  mm_task_id task;
  mm_end how;
  uint32_t mark; /* mm_run_mark() of the run */
} mm_found_end;

/* Identifies one run among the runs of a task.  */
uint32_t mm_run_mark (const char *upstream, uint32_t run);

/* What an owner knows of the tasks that are searched for.  */
typedef struct
{
  /* Upstreams on which none of the tasks runs, as uint64_t hashes
     (mm_upstream_mark()).  */
  GArray *clear;
  GArray *ends;     /* mm_found_end: ends that are not acknowledged yet */
  uint32_t present; /* number of the tasks that are queued or running */
} mm_census;

uint64_t mm_upstream_mark (const char *upstream);
mm_census mm_census_new (void);
void mm_census_clear (mm_census *result); /* frees the arrays, not @result */

#endif /* MM_CENSUS_H */
