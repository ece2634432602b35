/* mm_census: what owners say of tasks that their home lost sight of.  */
#ifndef MM_CENSUS_H
#define MM_CENSUS_H

#include "mm_task.h"

/* The end of a run that a search for lost tasks has found.  */
typedef struct
{
  mm_task_id task;
  mm_end how;
  uint32_t mark; /* mm_run_mark() of the run */
} mm_found_end;

/* Tells runs of one task apart.  */
uint32_t mm_run_mark (const char *upstream, uint32_t run);

/* What an owner can say of lost tasks.  */
typedef struct
{
  GArray *clear;    /* uint64_t mm_upstream_mark(): none of them runs there */
  GArray *ends;     /* mm_found_end */
  uint32_t present; /* of them: waiting for room, or running */
} mm_census;

uint64_t mm_upstream_mark (const char *upstream);
mm_census mm_census_new (void);
void mm_census_clear (mm_census *c); /* frees what it holds */

#endif /* MM_CENSUS_H */
