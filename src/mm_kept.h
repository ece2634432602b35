/* mm_kept: durable jobs, stored before their callers are told that they are
   accepted, and run to their end whatever instance dies.

   Each job has one home at a time: the instance that owns the job's partition
   in the group MM_JOBS_GROUP.  Any instance takes a caller's request and
   forwards it to the home.  The home writes with the generation at which it
   was assigned the partition as its epoch, so that the store refuses records
   of earlier homes.  */
#ifndef MM_KEPT_H
#define MM_KEPT_H

#include "mm_catalog.h"
#include "mm_kept_wire.h"
#include "mm_predecessors.h"

typedef struct mm_kept mm_kept;

typedef void (*mm_kept_answered) (void *ctx, const mm_kept_answer *a);

/* Dependencies of mm_kept; the pointers must outlive it.  */
typedef struct
{
  mm_store_port store;
  mm_mesh *mesh;
  mm_fleet *fleet;
  mm_owner *owner;
  const mm_catalog *catalog;
  mm_predecessors *predecessors;
  const char *member;    /* member name of this instance in groups; copied */
  uint32_t n_partitions; /* number of partitions of kept jobs */
} mm_kept_deps;

mm_kept *mm_kept_create (const mm_kept_deps *p);
void mm_kept_destroy (mm_kept *k);
/* @answered is called exactly once, possibly before the function returns.  */
void mm_kept_submit (mm_kept *k, mm_submission *s /* taken */,
                     const mm_route *route, mm_kept_answered answered,
                     void *ctx);
void mm_kept_state (mm_kept *k, const char *job_id, mm_kept_answered answered,
                    void *ctx);
void mm_kept_cancel (mm_kept *k, const char *job_id, mm_kept_answered answered,
                     void *ctx);
/* Counts the accepted jobs of a queue that have not started, at all homes.  */
void mm_kept_pending (mm_kept *k, const char *queue, mm_kept_answered answered,
                      void *ctx);
/* Call each MM_EXEC_TICK_MS.  @list_fresh: the catalog names every upstream
   that may run a task.  */
void mm_kept_tick (mm_kept *k, bool list_fresh);
/* Whether tasks are in doubt, so that the complete list of upstreams is
   needed to search for them.  */
bool mm_kept_needs_upstream_list (const mm_kept *k);
/* Hands all partitions over once no task runs, at the latest after
   MM_HANDOVER_MS.  */
void mm_kept_leave (mm_kept *k);
bool mm_kept_left (const mm_kept *k);
/* Number of unfinished jobs of the homes here.  */
uint32_t mm_kept_open_jobs (const mm_kept *k);

#endif /* MM_KEPT_H */
