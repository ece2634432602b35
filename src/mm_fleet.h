/* mm_fleet: dispatches tasks to owners of upstreams.

   Each upstream has one owner, the instance that alone may start tasks there.
   This instance is one of the owners.  */
#ifndef MM_FLEET_H
#define MM_FLEET_H

#include "mm_admission.h"
#include "mm_mesh.h"
#include "mm_owner_finder.h"
#include "mm_overload_state.h"
#include "mm_returns.h"
#include "mm_submission.h"

typedef struct mm_fleet mm_fleet;
/* A dispatched task, until its @done is called or it is cancelled.  */
typedef struct mm_dispatched_task mm_dispatched_task;

/* @owner: the upstreams that this instance owns.  @datacentre: the data
   centre of this instance.  @owner and @mesh must outlive the returned object.
   Free with mm_fleet_destroy().  */
mm_fleet *mm_fleet_create (mm_owner *owner, mm_mesh *mesh,
                           const char *datacentre);
void mm_fleet_destroy (mm_fleet *f);
/* Sets the record of tasks that may crash upstreams; @s must outlive the
   fleet.  */
void mm_fleet_set_suspects (mm_fleet *f, mm_suspects *s);
/* Returns what to do with a task that may be a poison task: a task that
   crashes upstreams.  */
mm_suspect_action mm_fleet_suspect_action (const mm_fleet *f,
                                           const mm_task_id *task);
/* Sets the evacuations, which tell whether a service without capacity has any
   to come; @e must outlive the fleet.  */
void mm_fleet_set_evacuations (mm_fleet *f, const mm_evacuations *e);
/* Sets what finds owners for tasks that no linked owner can run; must outlive
   the fleet.  NULL: nothing does.  */
void mm_fleet_set_finder (mm_fleet *f, mm_owner_finder *finder);
/* Counts and logs a task that is given up as a poison task, which makes its
   job fail; the log lists the upstreams that crashed.  */
void mm_fleet_record_given_up (const mm_fleet *f, const mm_task_id *task);
/* Sets whether the start rates and queueing delays that the owners measure are
   used.  @target_ms: least wait above which a priority is overloaded.  */
void mm_fleet_set_overload_control (mm_fleet *f, bool on,
                                    mm_time_ms target_ms);
/* Returns which priorities are overloaded, NULL: overload control is off.  */
const mm_overload_state *mm_fleet_overload (const mm_fleet *f);
/* Records the number of tasks of a job that arrived.  */
void mm_fleet_record_job (mm_fleet *f, const char *service, uint32_t priority,
                          uint32_t tasks);
/* Returns the load of a service over this instance and all connected peers.
   Waiting tasks are counted only if they go before a job of this priority.
   Free places are those for tasks of @cpu_milli thousandths of a core.  */
mm_load mm_fleet_load (const mm_fleet *f, const char *service,
                       uint32_t priority, int64_t cpu_milli);
/* Returns whether it is certain that no upstream of the service may run some
   step of the job: it requires a label or more capacity than any has.  */
bool mm_fleet_excludes (const mm_fleet *f, const char *service,
                        const mm_submission *s);
/* Dispatches a task to this instance or to a connected peer.  @returns: the
   owners that have returned it, or NULL.  Returns a handle that is valid until
   @done, or NULL when none of the owners that suit the task reports any
   capacity for the service.  */
mm_dispatched_task *mm_fleet_submit (mm_fleet *f, const mm_task_request *t,
                                     const mm_returns *returns,
                                     mm_work_done done, void *ctx);
/* Sets whether tasks for which no owner reports free capacity, or that were
   returned, reserve at up to @reservations owners; off at first.  */
void mm_fleet_set_late_binding (mm_fleet *f, bool on, uint32_t reservations);
/* Returns whether a dispatched task may have started: false while it only has
   reservations.  */
bool mm_fleet_may_have_started (const mm_dispatched_task *t);
/* Returns the number of tasks that only have reservations.  */
uint32_t mm_fleet_count_reserving (const mm_fleet *f);
/* Updates which priorities are overloaded, for the services of which the load
   was asked for, and ends reservations without an offer.  Call each
   MM_EXEC_TICK_MS.  */
void mm_fleet_tick (mm_fleet *f);
/* Cancels a dispatched task and frees its handle; @done is not called.  */
void mm_fleet_cancel (mm_fleet *f, mm_dispatched_task *t);

#endif /* MM_FLEET_H */
