/* mm_kept_run: the tasks of one unfinished kept job at its home.

   Unlike a job whose caller waits (mm_jobs), a kept job has no deadline: it
   runs until every task is done or one has failed in every attempt.  A task in
   doubt is not started again before the owners of all upstreams have answered
   that it does not run there.  */
#ifndef MM_KEPT_RUN_H
#define MM_KEPT_RUN_H

#include "mm_fleet.h"
#include "mm_job_record.h"

typedef struct mm_kept_run mm_kept_run;

typedef struct
{
  /* The record has changed and is to be stored.  */
  void (*progress) (void *ctx);
  /* The job has completed or failed; the run may be destroyed.  */
  void (*finished) (void *ctx, mm_job_phase phase);
  void *ctx;
} mm_kept_run_events;

/* A run whose end is in the record: to be acknowledged to its owner once the
   record is stored.  */
typedef struct
{
  mm_task_id task;
  uint32_t run_hash; /* mm_run_hash() */
  char owner[96];    /* peer that reported the end, "": this instance */
} mm_end_ack;

/* @rec must outlive the run.  @taken_over: the job was started by an earlier
   home, so every task that is not done is in doubt.  */
mm_kept_run *mm_kept_run_create (mm_fleet *fleet, mm_job_record *rec,
                                 bool taken_over,
                                 const mm_kept_run_events *ev);
void mm_kept_run_destroy (mm_kept_run *r); /* stops the tasks that run */
/* Dispatches the waiting tasks if @may_start.  */
void mm_kept_run_tick (mm_kept_run *r, bool may_start);
/* Whether every task is done according to the record.  */
bool mm_kept_run_all_done (const mm_kept_run *r);
/* Whether any task is known to have been started.  */
bool mm_kept_run_started (const mm_kept_run *r);
uint32_t mm_kept_run_n_dispatched (const mm_kept_run *r); /* tasks at owners */
/* Adds copies of the tasks that have been in doubt for MM_KEPT_LEASE_LAPSE_MS
   to a mm_task_set.  */
void mm_kept_run_in_doubt (const mm_kept_run *r, GHashTable *tasks);
uint32_t mm_kept_run_n_in_doubt (const mm_kept_run *r);
/* Records the end of a run of a task in doubt that a search has found.  */
void mm_kept_run_record_end (mm_kept_run *r, const mm_found_end *e,
                             const char *owner);
/* No run of @tasks is left anywhere: those of them that are in doubt may be
   started again.  */
void mm_kept_run_clear_in_doubt (mm_kept_run *r, GHashTable *tasks);
/* Return: mm_end_ack of the ends that were added to the record since the last
   call; freed by the caller.  */
GArray *mm_kept_run_take_acks (mm_kept_run *r);

#endif /* MM_KEPT_RUN_H */
