/* mm_kept_tasks: the tasks of one kept job that has not ended, at its home.

   Unlike a job whose caller waits (mm_jobs), a kept job has no deadline: it
   goes on until every task is done or one has failed in every attempt.  A task
   is in doubt when it is not known whether it runs, has ended or never
   started.  It is not started again before the owners of all upstreams have
   answered that it does not run there.

   A run is one start of a task.  */
#ifndef MM_KEPT_TASKS_H
#define MM_KEPT_TASKS_H

#include "mm_fleet.h"
#include "mm_job_record.h"

typedef struct mm_kept_tasks mm_kept_tasks;

/* Callbacks to the home.  */
typedef struct
{
  /* The record has changed, or ends wait to be acknowledged: the record is to
     be stored.  */
  void (*progress) (void *ctx);
  /* The job has completed or failed; called once.  The callback may destroy
     the mm_kept_tasks.  */
  void (*finished) (void *ctx, mm_job_phase phase);
  void *ctx;
} mm_kept_tasks_events;

/* The end of a run that is to be acknowledged to the owner that reported it,
   once a record is stored that includes the end.  */
typedef struct
{
  mm_task_id task;
  uint32_t run_hash; /* mm_run_hash() */
  char owner[96];    /* peer that reported the end, "": this instance */
} mm_end_ack;

/* @rec must outlive the returned object, which updates the progress there.
   @taken_over: the job was accepted by an earlier home, so every task that is
   not done is in doubt.  */
mm_kept_tasks *mm_kept_tasks_create (mm_fleet *fleet, mm_job_record *rec,
                                     bool taken_over,
                                     const mm_kept_tasks_events *ev);
/* Stops the tasks that run, and frees the object.  */
void mm_kept_tasks_destroy (mm_kept_tasks *k);
/* Dispatches the waiting tasks.  Call each MM_EXEC_TICK_MS.  No task is
   dispatched from @start_until_ms on, also between ticks.  */
void mm_kept_tasks_tick (mm_kept_tasks *k, mm_time_ms start_until_ms);
/* Whether every task is done according to the record.  */
bool mm_kept_tasks_all_done (const mm_kept_tasks *k);
/* Whether this task of the job is done according to the record.  */
bool mm_kept_tasks_is_done (const mm_kept_tasks *k, const mm_task_id *task);
/* Whether any task is known to have been started.  */
bool mm_kept_tasks_started (const mm_kept_tasks *k);
/* Number of tasks that are at owners, waiting or running.  */
uint32_t mm_kept_tasks_n_dispatched (const mm_kept_tasks *k);
/* Adds copies of the tasks that have been in doubt for MM_KEPT_LEASE_EXPIRY_MS
   to a mm_task_set.  */
void mm_kept_tasks_in_doubt (const mm_kept_tasks *k, GHashTable *tasks);
/* Number of tasks in doubt, however long they have been so.  */
uint32_t mm_kept_tasks_n_in_doubt (const mm_kept_tasks *k);
/* Records the end of a run of a task in doubt that a search has found.
   @owner: the peer that reported it, NULL for this instance.  */
void mm_kept_tasks_record_end (mm_kept_tasks *k, const mm_found_end *e,
                               const char *owner);
/* No run of @tasks is left anywhere: those of them that are in doubt may be
   started again.  A task that runs only once makes the job fail instead.  */
void mm_kept_tasks_clear_in_doubt (mm_kept_tasks *k, GHashTable *tasks);
/* Returns an array of mm_end_ack for the ends that were recorded since the
   last call; the caller frees it.  */
GArray *mm_kept_tasks_take_acks (mm_kept_tasks *k);

#endif /* MM_KEPT_TASKS_H */
