/* mm_home: the kept jobs of one partition, at the instance that is their
   home.  */
#ifndef MM_HOME_H
#define MM_HOME_H

#include "mm_kept.h"

typedef struct mm_home mm_home;

/* Callbacks to the creator of a home.  */
typedef struct
{
  /* These ends are stored: the owners may acknowledge them to the upstreams,
     which then forget them.  */
  void (*stored) (void *ctx, const GArray *acks /* mm_end_ack */);
  /* The outcome of a job that failed or was cancelled is stored.  Some of its
     tasks may not have ended; no home will request their ends.  */
  void (*ended) (void *ctx, const char *job_id);
  /* Another instance has become the home: the store has refused a record of
     @h, which must be destroyed, but not during this call.  */
  void (*fenced) (void *ctx, mm_home *h);
  void *ctx;
} mm_home_events;

/* Opens a home and reads the stored jobs.  @epoch: the fencing token of the
   partition; the store then refuses records with a lower one.  @store and @ev
   are copied, @fleet must outlive the home.  */
mm_home *mm_home_create (const mm_store_port *store, mm_fleet *fleet,
                         uint32_t partition, uint64_t epoch,
                         const mm_home_events *ev);
/* Sets the memory that the jobs may take, NULL: no limit.  Further jobs are
   refused; those that are stored are taken all the same.  */
void mm_home_set_budget (mm_home *h, mm_budget *budget);
/* Stops the tasks that run, and answers the waiting requests.  Ends that are
   not stored yet stay listed at the upstreams.  */
void mm_home_destroy (mm_home *h);

/* Sets the generation since which no other instance can have held the
   partition.  If it rises, another may have been the home in between: no task
   starts until the store has confirmed that none has changed a job.  */
void mm_home_set_held_since (mm_home *h, uint64_t generation);
/* Whether the state of the jobs here is current as far as this instance
   knows: no check of mm_home_set_held_since() is under way or has failed.  */
bool mm_home_current (const mm_home *h);

/* Requests about a job of the partition.  The answer is MM_KEPT_MOVING until
   the stored jobs have been read.  */

/* Accepts a new job, or refuses it; takes @rec.  @answered is called once the
   job is stored, or at once if it is refused or already stored.  */
void mm_home_submit (mm_home *h, mm_job_record *rec, mm_kept_answered answered,
                     void *ctx);
/* Sets @out to the job's state as this instance knows it.  */
void mm_home_state (mm_home *h, const char *job_id, mm_kept_answer *out);
/* Whether the record that is stored of a job that goes on has this task as
   done: its ends are of no use any more.  */
bool mm_home_has_stored_done (const mm_home *h, const mm_task_id *task);
/* Answers with the job's state; with MM_KEPT_NO_JOB only once the store has
   confirmed that this instance is still the home.  */
void mm_home_confirm_state (mm_home *h, const char *job_id,
                            mm_kept_answered answered, void *ctx);
/* Cancels a job that has not ended; answers once the outcome is stored, or at
   once with MM_KEPT_BUSY if the store does not answer.  */
void mm_home_cancel (mm_home *h, const char *job_id, mm_kept_answered answered,
                     void *ctx);

/* Number of accepted jobs of a queue that have not started.  */
uint32_t mm_home_pending (const mm_home *h, const char *queue);
/* Call each MM_EXEC_TICK_MS.  Tasks may be dispatched until @start_until_ms;
   0: not at all.  */
void mm_home_tick (mm_home *h, mm_time_ms start_until_ms);
/* Whether no task is at an owner and no record waits to be stored.  */
bool mm_home_idle (const mm_home *h);
/* Number of jobs that have not ended.  */
uint32_t mm_home_open_jobs (const mm_home *h);
/* Adds copies of the tasks that have been in doubt for MM_KEPT_LEASE_EXPIRY_MS
   to a mm_task_set.  */
void mm_home_in_doubt (const mm_home *h, GHashTable *tasks);
/* Records the end of a run that a search has found; @owner: the peer that
   reported it, NULL for this instance.  */
void mm_home_record_end (mm_home *h, const mm_found_end *e, const char *owner);
/* No run of @tasks is left anywhere: they are no longer in doubt.  */
void mm_home_clear_in_doubt (mm_home *h, GHashTable *tasks);

#endif /* MM_HOME_H */
