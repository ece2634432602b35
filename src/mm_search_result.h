/* mm_search_result: what an owner knows of tasks in doubt.  */
#ifndef MM_SEARCH_RESULT_H
#define MM_SEARCH_RESULT_H

#include "mm_task.h"

/* The end of a run that a search for tasks in doubt has found.  */
typedef struct
{
  mm_task_id task;
  mm_end how;        /* how the run ended */
  uint32_t run_hash; /* mm_run_hash() of the run */
} mm_found_end;

/* Returns a hash that identifies one run among the runs of a task.  @run: its
   run number at the upstream.  */
uint32_t mm_run_hash (const char *upstream, uint32_t run);

/* What an owner knows of the tasks that are searched for.  */
typedef struct
{
  /* Upstreams on which none of the tasks runs, as uint64_t hashes
     (mm_upstream_hash()).  */
  GArray *clear_upstreams;
  GArray *ends;     /* mm_found_end: ends that are not acknowledged yet */
  uint32_t present; /* number of the tasks that are queued or running */
} mm_search_result;

/* Returns a hash of the name of an upstream.  */
uint64_t mm_upstream_hash (const char *upstream);
mm_search_result mm_search_result_init (void); /* empty */
/* Frees the arrays, not @result.  */
void mm_search_result_clear (mm_search_result *result);

#endif /* MM_SEARCH_RESULT_H */
