/* mm_run_table: the runs of one upstream, as the upstream itself keeps
   them.  Used by the upstream stand-in and by tests.

   The table starts tasks whether they fit or not (unless it enforces its
   capacity), enforces leases, keeps the highest fencing token, and lists ends
   until they are acknowledged.  The caller passes the time in: now_ms is the
   time on the upstream's clock.  */
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

/* A run that has ended.  The times are those that the caller passed in.  */
typedef struct
{
  mm_task_id task;
  uint32_t number; /* run number of the task */
  mm_time_ms started_ms;
  mm_time_ms ended_ms;
  mm_end how;
} mm_ended_run;

/* Counts of starts, and of those that a dispatcher must never order.  */
typedef struct
{
  uint32_t starts;        /* runs that were started */
  uint32_t over_capacity; /* starts that did not fit the free capacity */
} mm_run_counts;

/* Creates a table without runs.  With @enforce_capacity, a start that does not
   fit the free capacity is refused.  An order or a hold extends the lease of
   the runs to @max_lease_ms after its arrival at most.  Return: the table;
   free it with mm_run_table_destroy().  */
mm_run_table *mm_run_table_create (const mm_resources *capacity,
                                   bool enforce_capacity,
                                   mm_time_ms max_lease_ms);
void mm_run_table_destroy (mm_run_table *t);
/* Sets how later starts are treated; runs in progress are not affected.  */
void mm_run_table_set_mode (mm_run_table *t, mm_run_mode mode);
/* Runs go on, also when they exceed a smaller capacity.  */
void mm_run_table_set_capacity (mm_run_table *t, const mm_resources *capacity);
/* Returns whether the start of a run of a task arrives while a run with a
   lower number goes on.  */
bool mm_run_table_would_run_beside (const mm_run_table *t, const mm_order *o,
                                    mm_time_ms now_ms);
/* Carries out an order to start a run of a task that uses @required and takes
   @run_ms.  Return: MM_CALL_OK if the run was started now or is running
   already, otherwise the reason why it was not started.  */
mm_call_verdict mm_run_table_start (mm_run_table *t, const mm_order *o,
                                    const mm_resources *required,
                                    mm_time_ms run_ms, mm_time_ms now_ms);
/* Carries out an order to stop a run.  A run with the number of the order or a
   lower one ends as stopped after MM_RUN_TABLE_STOP_MS at the latest.  A start
   of such a run that arrives after the stop is refused.  Return: MM_CALL_OK,
   or MM_CALL_FENCED if nothing was done.  */
mm_call_verdict mm_run_table_stop (mm_run_table *t, const mm_order *o,
                                   mm_time_ms now_ms);
/* Carries out a hold: its deadline extends the lease of all runs, and the ends
   that it acknowledges are no longer listed.  Return: MM_CALL_OK, or
   MM_CALL_FENCED if nothing was done.  */
mm_call_verdict mm_run_table_hold (mm_run_table *t, const mm_hold *h,
                                   mm_time_ms now_ms);
/* Ends the runs that are due or whose lease has expired.  */
void mm_run_table_step (mm_run_table *t, mm_time_ms now_ms);
/* Simulates a crash: drops all runs and unacknowledged ends.  The fencing
   token, the lease and the run numbers that are refused remain.  */
void mm_run_table_clear (mm_run_table *t);
size_t mm_run_table_run_count (const mm_run_table *t); /* number of runs */
/* Returns the number of unacknowledged ends.  */
size_t mm_run_table_unacked_end_count (const mm_run_table *t);
bool mm_run_table_is_running (const mm_run_table *t, const mm_task_id *task);
/* Fills in the lists of runs and of unacknowledged ends.  The arrays belong to
   the table and are valid until the next call of one of its functions.  */
void mm_run_table_list (mm_run_table *t, mm_hold_result *out,
                        mm_time_ms now_ms);
/* Returns all runs that have ended, oldest first, and sets @n to their number.
   The array belongs to the table and is valid until the next run ends.  */
const mm_ended_run *mm_run_table_ended_runs (const mm_run_table *t, size_t *n);
mm_run_counts mm_run_table_counts (const mm_run_table *t);

#endif /* MM_RUN_TABLE_H */
