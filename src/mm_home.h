/* mm_home: the kept jobs of one partition, at the instance that is their
   home.  */
#ifndef MM_HOME_H
#define MM_HOME_H

#include "mm_kept.h"

typedef struct mm_home mm_home;

typedef struct
{
  /* These ends are stored: the owners may acknowledge them to the upstreams,
     which then forget them.  */
  void (*stored) (void *ctx, const GArray *acks /* mm_end_ack */);
  /* The outcome of a job that ended before all of its tasks had is stored: no
     home will request the ends of its tasks any more.  */
  void (*ended) (void *ctx, const char *job_id);
  /* Another instance has become the home; @h must be destroyed.  */
  void (*fenced) (void *ctx, mm_home *h);
  void *ctx;
} mm_home_events;

/* @epoch: the generation at which this instance was assigned the partition;
   the store refuses records of homes with a lower one.  */
mm_home *mm_home_create (const mm_store_port *store, mm_fleet *fleet,
                         uint32_t partition, uint64_t epoch,
                         const mm_home_events *ev);
/* Stops tasks that run; ends that are not stored yet stay listed
   at the upstreams.  */
void mm_home_destroy (mm_home *h);
uint64_t mm_home_epoch (const mm_home *h);
/* Accepts a new job.  Takes @rec.  */
void mm_home_submit (mm_home *h, mm_job_record *rec, mm_kept_answered answered,
                     void *ctx);
/* The job's state as this instance knows it.  */
void mm_home_state (mm_home *h, const char *job_id, mm_kept_answer *out);
/* The same, but "no such job" is answered only once the store has confirmed
   that this instance is still the home.  */
void mm_home_confirm_state (mm_home *h, const char *job_id,
                            mm_kept_answered answered, void *ctx);
void mm_home_cancel (mm_home *h, const char *job_id, mm_kept_answered answered,
                     void *ctx);
/* Number of accepted jobs of a queue that have not started.  */
uint32_t mm_home_pending (const mm_home *h, const char *queue);
/* Call each MM_EXEC_TICK_MS.  @may_start: tasks may be dispatched.  */
void mm_home_tick (mm_home *h, bool may_start);
bool mm_home_idle (const mm_home *h); /* nothing runs or waits to be stored */
uint32_t mm_home_open_jobs (const mm_home *h);
/* Adds copies of the tasks in doubt to a mm_task_set.  */
void mm_home_in_doubt (const mm_home *h, GHashTable *tasks);
/* Records the end of a run that a search has found; @owner: the peer that
   reported it, NULL for this instance.  */
void mm_home_record_end (mm_home *h, const mm_found_end *e, const char *owner);
/* No run of @tasks is left anywhere: they are no longer in doubt.  */
void mm_home_clear_in_doubt (mm_home *h, GHashTable *tasks);

#endif /* MM_HOME_H */
