/* mm_run_table: the runs of one upstream, as the upstream itself keeps
   them.  What stand-ins and tests are made of.

   It starts whatever it is told (unless it guards its capacity), keeps
   leases and the highest fencing token, and lists ends until they are
   acknowledged.  The caller tells the time.  */
#ifndef MM_RUN_TABLE_H
#define MM_RUN_TABLE_H

#include "mm_exec.h"

typedef struct mm_run_table mm_run_table;

typedef struct
{
  bool fails;           /* each task fails soon */
  bool hangs;           /* no task ends by itself */
  bool refuses;         /* unhealthy: starts are refused */
  int64_t slow_percent; /* of the usual run time; 0 is 100 */
} mm_run_mode;

/* A run that is over.  */
typedef struct
{
  mm_task_id task;
  uint32_t number;
  mm_time_ms started_ms;
  mm_time_ms ended_ms;
  mm_end how;
} mm_run_past;

/* What must not happen, counted.  */
typedef struct
{
  uint32_t starts;
  uint32_t over_capacity; /* a start brought it over its room */
} mm_run_counts;

mm_run_table *mm_run_table_create (const mm_resources *capacity, bool guards,
                                   mm_time_ms max_lease_ms);
void mm_run_table_destroy (mm_run_table *t);
void mm_run_table_set_mode (mm_run_table *t, mm_run_mode mode);
/* What runs goes on, also beyond a smaller capacity.  */
void mm_run_table_set_capacity (mm_run_table *t, const mm_resources *capacity);
mm_call_verdict mm_run_table_start (mm_run_table *t, const mm_order *o,
                                    const mm_resources *need,
                                    mm_time_ms run_ms, mm_time_ms now_ms);
mm_call_verdict mm_run_table_stop (mm_run_table *t, const mm_order *o,
                                   mm_time_ms now_ms);
mm_call_verdict mm_run_table_hold (mm_run_table *t, const mm_hold *h,
                                   mm_time_ms now_ms);
void mm_run_table_step (mm_run_table *t, mm_time_ms now_ms); /* ends due */
void mm_run_table_clear (mm_run_table *t); /* a crash: all is gone */
size_t mm_run_table_running (const mm_run_table *t);
size_t mm_run_table_ended (const mm_run_table *t); /* not acknowledged */
bool mm_run_table_runs (const mm_run_table *t, const mm_task_id *task);
/* Both lists; the arrays are the table's, valid until its next call.  */
void mm_run_table_list (mm_run_table *t, mm_hold_result *out,
                        mm_time_ms now_ms);
/* All runs that are over, the oldest first.  */
const mm_run_past *mm_run_table_past (const mm_run_table *t, size_t *n);
mm_run_counts mm_run_table_counts (const mm_run_table *t);

#endif /* MM_RUN_TABLE_H */
