/* mm_kept_run: the tasks of one kept job, while it is open at its home.

   Unlike a job whose caller waits (mm_jobs), it has no deadline: it goes on
   until every task is done or one has failed in every attempt.  A task that
   is out of sight is not started again before all upstreams have told what
   they know of it.  */
#ifndef MM_KEPT_RUN_H
#define MM_KEPT_RUN_H

#include "mm_fleet.h"
#include "mm_job_record.h"

typedef struct mm_kept_run mm_kept_run;

typedef struct
{
  void (*progress) (void *ctx); /* the record has news to be stored */
  /* It is over, as completed or failed; the run may be destroyed.  */
  void (*over) (void *ctx, mm_job_phase phase);
  void *ctx;
} mm_kept_run_events;

/* A run's end that is in the record, and whom to tell once it is stored.  */
typedef struct
{
  mm_task_id task;
  uint32_t mark;  /* mm_run_mark() */
  char owner[96]; /* peer that told of it, "" for ourselves */
} mm_end_note;

/* @rec outlives it.  @taken_over: its tasks may be anywhere.  */
mm_kept_run *mm_kept_run_create (mm_fleet *fleet, mm_job_record *rec,
                                 bool taken_over,
                                 const mm_kept_run_events *ev);
void mm_kept_run_destroy (mm_kept_run *r); /* what runs is stopped */
/* Hand out what waits, if this instance may.  */
void mm_kept_run_tick (mm_kept_run *r, bool may_start);
bool mm_kept_run_all_done (const mm_kept_run *r); /* as far as stored */
bool mm_kept_run_begun (const mm_kept_run *r); /* has any task been started? */
uint32_t mm_kept_run_handed (const mm_kept_run *r); /* tasks at owners */
/* Adds copies of the tasks that are out of sight to a mm_task_set.  */
void mm_kept_run_lost (const mm_kept_run *r, GHashTable *tasks);
uint32_t mm_kept_run_n_lost (const mm_kept_run *r);
/* An end that was found of a task out of sight.  */
void mm_kept_run_take_end (mm_kept_run *r, const mm_found_end *e,
                           const char *owner);
/* No run is left of those out of sight that are in @tasks: they may be
   started again.  */
void mm_kept_run_found_all (mm_kept_run *r, GHashTable *tasks);
/* Notes of the ends in the record since the last call; the caller's.  */
GArray *mm_kept_run_take_notes (mm_kept_run *r);

#endif /* MM_KEPT_RUN_H */
