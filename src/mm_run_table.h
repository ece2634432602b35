/* mm_run_table: the runs of one upstream, as the upstream itself keeps
   them.  Used by the upstream stand-in and by tests.

   The table carries out every start order (unless it enforces its capacity),
   enforces leases, keeps the highest fencing token, and lists ends until they
   are acknowledged.  The caller passes the time in.  */
#ifndef MM_RUN_TABLE_H
#define MM_RUN_TABLE_H

#include "mm_exec.h"

typedef struct mm_run_table mm_run_table;

/* How the upstream treats starts and tasks.  */
typedef struct
{
  bool fails;           /* each task fails after MM_RUN_TABLE_FAIL_MS */
  bool hangs;           /* no task ends by itself */
  bool refuses;         /* unhealthy: starts are refused */
  int64_t slow_percent; /* run time in percent of the requested one, 0: 100 */
} mm_run_mode;

/* A run that has ended.  */
typedef struct
{
  mm_task_id task;
  uint32_t number;
  mm_time_ms started_ms;
  mm_time_ms ended_ms;
  mm_end how;
} mm_ended_run;

/* Counts of starts, and of those that must not happen.  */
typedef struct
{
  uint32_t starts;
  uint32_t over_capacity; /* starts that did not fit the free capacity */
} mm_run_counts;

mm_run_table *mm_run_table_create (const mm_resources *capacity,
                                   bool enforce_capacity,
                                   mm_time_ms max_lease_ms);
void mm_run_table_destroy (mm_run_table *t);
void mm_run_table_set_mode (mm_run_table *t, mm_run_mode mode);
/* Runs go on, also when they exceed a smaller capacity.  */
void mm_run_table_set_capacity (mm_run_table *t, const mm_resources *capacity);
/* Carry out a start order, a stop order or a hold.  Return: the verdict that
   the upstream answers.  */
mm_call_verdict mm_run_table_start (mm_run_table *t, const mm_order *o,
                                    const mm_resources *required,
                                    mm_time_ms run_ms, mm_time_ms now_ms);
mm_call_verdict mm_run_table_stop (mm_run_table *t, const mm_order *o,
                                   mm_time_ms now_ms);
mm_call_verdict mm_run_table_hold (mm_run_table *t, const mm_hold *h,
                                   mm_time_ms now_ms);
/* Ends the runs that are due or whose lease has expired.  */
void mm_run_table_step (mm_run_table *t, mm_time_ms now_ms);
/* Simulates a crash: drops all runs and unacknowledged ends.  */
void mm_run_table_clear (mm_run_table *t);
size_t mm_run_table_running (const mm_run_table *t); /* number of runs */
/* Returns the number of unacknowledged ends.  */
size_t mm_run_table_unacked_ends (const mm_run_table *t);
bool mm_run_table_is_running (const mm_run_table *t, const mm_task_id *task);
/* Fills in the lists of running and ended runs.  The arrays belong to the
   table and are valid until its next call.  */
void mm_run_table_list (mm_run_table *t, mm_hold_result *out,
                        mm_time_ms now_ms);
/* Returns the @n runs that have ended, oldest first.  */
const mm_ended_run *mm_run_table_ended_runs (const mm_run_table *t, size_t *n);
mm_run_counts mm_run_table_counts (const mm_run_table *t);

#endif /* MM_RUN_TABLE_H */
