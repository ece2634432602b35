/* mm_kept: durable jobs, stored before their callers are told that they are
   accepted, and run to their end even if instances crash.

   A job belongs to the partition that its id is hashed to.  The instance that
   owns the partition in the group MM_JOBS_GROUP is the job's home.  Any
   instance takes a caller's request and forwards it to the home.  The home
   writes its records under an epoch: the generation of the group at which the
   instance was assigned the partition.  The store refuses records with a lower
   epoch than the highest that it has seen, so an earlier home cannot overwrite
   those of its successor.  */
#ifndef MM_KEPT_H
#define MM_KEPT_H

#include "mm_budget.h"
#include "mm_catalog.h"
#include "mm_kept_wire.h"
#include "mm_predecessors.h"

typedef struct mm_kept mm_kept;

/* Receives the answer to a request; @a is valid only during the call.  */
typedef void (*mm_kept_answered) (void *ctx, const mm_kept_answer *a);

/* Dependencies of mm_kept; the pointers must outlive it.  */
typedef struct
{
  mm_store_port store;
  mm_mesh *mesh;             /* links to the other instances */
  mm_fleet *fleet;           /* dispatches tasks to the owners of upstreams */
  mm_owner *owner;           /* the upstreams that this instance owns */
  const mm_catalog *catalog; /* the upstream list */
  mm_budget *budget;         /* memory that jobs may take; NULL: no limit */
  mm_predecessors *predecessors; /* removes previous incarnations of this
                                    instance from the group */
  const char *member;    /* member name of this instance in groups; copied */
  uint32_t n_partitions; /* number of partitions of kept jobs */
} mm_kept_deps;

mm_kept *mm_kept_create (const mm_kept_deps *p); /* @p is copied */
/* Answers the requests that wait for their home, and closes all homes.  */
void mm_kept_destroy (mm_kept *k);

/* Requests of callers.  @answered is called exactly once, possibly before the
   function returns.  */

/* Accepts a job: the answer is MM_KEPT_OK once its record is stored.  A job
   that is submitted again under the same id is not run again.  */
void mm_kept_submit (mm_kept *k, mm_submission *s /* taken */,
                     const mm_route *route, mm_kept_answered answered,
                     void *ctx);
/* Answers with the phase of a job, or with MM_KEPT_NO_JOB.  */
void mm_kept_state (mm_kept *k, const char *job_id, mm_kept_answered answered,
                    void *ctx);
/* Cancels a job that has not ended.  Answers with the job's phase once the
   outcome is stored, or with MM_KEPT_NO_JOB.  */
void mm_kept_cancel (mm_kept *k, const char *job_id, mm_kept_answered answered,
                     void *ctx);
/* Counts the accepted jobs of a queue that have not started, at all homes; the
   answer is MM_KEPT_BUSY when the count of a home is missing.  */
void mm_kept_pending (mm_kept *k, const char *queue, mm_kept_answered answered,
                      void *ctx);

/* Call each MM_EXEC_TICK_MS.  @list_fresh: the catalog names every upstream
   that may run a task.  */
void mm_kept_tick (mm_kept *k, bool list_fresh);
/* Whether tasks in doubt can be searched for now, for which the complete
   upstream list is needed.  */
bool mm_kept_needs_upstream_list (const mm_kept *k);
/* Stops starting tasks, and leaves the group once no task of a kept job runs
   here, at the latest after MM_HANDOVER_MS.  */
void mm_kept_leave (mm_kept *k);
/* Makes the next tick ask the store for the partitions of kept jobs.  */
void mm_kept_poll_now (mm_kept *k);
/* Whether the group has been left, so that all partitions are handed over.  */
bool mm_kept_left (const mm_kept *k);
/* Number of jobs that have not ended and whose home is this instance.  */
uint32_t mm_kept_open_jobs (const mm_kept *k);

#endif /* MM_KEPT_H */
