/* mm_owner: the upstreams that this instance owns, and the queue of tasks
   that wait for free capacity there.

   The owner of an upstream is the one instance that may start tasks there.
   A kept job is a durable job: it is stored before its caller is told that
   it is accepted, and is run to its end whatever instance dies.  Its home is
   the instance that stores and runs it.  A run is one start of a task; its
   end is the outcome.  */
#ifndef MM_OWNER_H
#define MM_OWNER_H

#include "config.h"
#include "mm_search_result.h"
#include "mm_exec.h"
#include "mm_handover_plan.h"
#include "mm_residuals.h"
#include "mm_suspects.h"
#include "mm_upstream_kinds.h"

typedef struct mm_owner mm_owner;
typedef struct mm_work mm_work; /* a task that was submitted to an owner */

/* The outcome of a task.  */
typedef struct
{
  mm_end how;           /* how its last run ended */
  const char *upstream; /* where it ran last, or NULL */
  /* Its run number there.  Of a task that was not run: of its start, which
     that upstream has rejected; 0: it was returned for another reason.  */
  uint32_t run;
  mm_time_ms ran_ms; /* from the order to start to the end, 0: not run */
  const char *why;   /* what showed the end, for logs */
  const char *owner; /* the peer that ran it, NULL: this instance */
} mm_work_result;

/* Called once with the outcome of a task, unless the task is cancelled.  */
typedef void (*mm_work_done) (void *ctx, const mm_work_result *r);
/* Called at most once, when capacity is set aside for a reservation.  */
typedef void (*mm_work_offered) (void *ctx);

/* Capacity and load of one service on the upstreams of one owner.  */
typedef struct
{
  uint32_t places;  /* capacity, in tasks of average size */
  uint32_t free;    /* places that are free */
  uint32_t task_ms; /* average time that a task needs a place until it is
                       done, unsuccessful runs included, 0: unknown */
  uint32_t waiting; /* tasks that wait for free capacity */
  /* Waiting tasks that do not yield, by priority; the last level counts all
     beyond it.  */
  uint32_t waiting_by_priority[MM_PRIORITY_LEVELS];
  /* Of @waiting and its level 0: tasks of any priority that were sent to a
     peer since its report.  */
  uint32_t waiting_unseen;
  mm_residuals residuals; /* free capacity of the upstreams */
  /* Tasks of each priority started in the last second, and the shortest time
     that any of them waited since the submission of its job.  The last level
     covers all beyond it.  All 0 without overload control.  */
  uint32_t starts_per_s[MM_PRIORITY_LEVELS];
  uint32_t least_wait_ms[MM_PRIORITY_LEVELS];
} mm_capacity_report;

/* Number of waiting tasks that go before a new task of this priority: those
   of the same or a more urgent one.  */
uint32_t mm_capacity_waiting_ahead (const mm_capacity_report *r,
                                    uint32_t priority);

/* Totals over all services, for metrics.  */
typedef struct
{
  uint32_t upstreams;          /* owned upstreams */
  uint32_t runs;               /* runs that use capacity */
  uint32_t in_doubt;           /* of these, whose starts got no answer */
  mm_capacity_report capacity; /* sums of places, free and waiting */
} mm_owner_gauges;

/* A run that another owner started and left at an upstream.  */
typedef struct
{
  const char *upstream;
  mm_task_id task;
  uint32_t run;   /* its run number there */
  uint64_t fence; /* fencing token of the owner that found it */
} mm_found_run;

/* Callbacks through which the previous and the next owner of an upstream
   transfer the runs there.  */
typedef struct
{
  /* A run of a previous owner was found; requests it from the other owners. */
  void (*found) (void *ctx, const mm_found_run *r);
  /* A transferred task is cancelled; @transfer is from mm_owner_transfer(). */
  void (*cancel) (void *ctx, void *transfer);
  void *ctx;
} mm_owner_transfer_port;

/* Creates an owner without upstreams; @port is copied.  Free with
   mm_owner_destroy().  */
mm_owner *mm_owner_create (const mm_exec_port *port);
/* Sets the bandwidth of the uplink on which orders are sent, in Mbit/s, 0: no
   limit.  */
void mm_owner_set_uplink_mbps (mm_owner *o, double mbps);
/* Sets whether start rates and queueing delays are measured for the reports.
 */
void mm_owner_set_overload_control (mm_owner *o, bool on);
/* Records other data that was sent on the same uplink.  */
void mm_owner_record_sent (mm_owner *o, size_t bytes);
/* Sets how the age of the upstream list is read; @v is copied.  */
void mm_owner_set_list_age (mm_owner *o, const mm_exec_list_age *v);
/* Sets where lost upstreams and the tasks there are recorded; @s must outlive
   the owner.  */
void mm_owner_set_suspects (mm_owner *o, mm_suspects *s);
/* Frees the owner and its tasks; calls no @done.  */
void mm_owner_destroy (mm_owner *o);
/* Starts to own an upstream, or cancels a handover of it that has begun; @u is
   copied.  @fence: this instance's fencing token there.  */
void mm_owner_add_upstream (mm_owner *o, const mm_upstream_info *u,
                            uint64_t fence);
/* Raises this instance's fencing token at an upstream that it owns to @fence,
   if that is higher.  The runs there go on.  */
void mm_owner_raise_fence (mm_owner *o, const char *upstream, uint64_t fence);
/* Applies a changed list entry of an upstream, whoever owns it.  Starts no
   tasks: more changes from the same answer of the store may follow, and new
   capacity is used at the next tick.  */
void mm_owner_update_upstream (mm_owner *o, const mm_upstream_info *u);
/* Stops owning an upstream at once.  */
void mm_owner_remove_upstream (mm_owner *o, const char *upstream);
/* Begins a handover of an upstream.  It waits for the longest task that runs
   on any upstream being handed over, which takes up to 1 s.  Tasks that end
   before the longest one may still start: they do not delay the handover, and
   keeping the upstreams idle would take half of a data centre's capacity away
   for that time at each restart.  With transferred runs, tasks are started as
   before until mm_owner_set_handover_step().  */
void mm_owner_begin_handover (mm_owner *o, const char *upstream);
/* Sets whether handovers leave runs to the next owner of the upstream.  */
void mm_owner_set_transfer_runs (mm_owner *o, bool transfer_runs);
/* Adds the state of an upstream that is being handed over to @f.  */
void mm_owner_add_handover_facts (const mm_owner *o, const char *upstream,
                                  mm_handover_facts *f);
/* Sets what the handover of an upstream does next.  Without transferred runs
   this does nothing.  */
void mm_owner_set_handover_step (mm_owner *o, const char *upstream,
                                 mm_handover_step step);
/* Returns how many tasks have runs here, or runs that were left to the next
   owners of their upstreams.  Their ends are still to be reported.  */
uint32_t mm_owner_count_unreported (const mm_owner *o);
/* The next owner may have the upstream.  Nothing is started there any more;
   the leases of the runs that go on are renewed until the next owner has found
   them.  */
void mm_owner_set_released (mm_owner *o, const char *upstream);
/* Cancels a handover; nothing may have been given to the next owner.  */
void mm_owner_cancel_handover (mm_owner *o, const char *upstream);
/* Returns whether another owner's fencing token was seen there.  */
bool mm_owner_fenced (const mm_owner *o, const char *upstream);
/* Names of the owned upstreams; free the list, not the names.  */
GList *mm_owner_upstream_names (const mm_owner *o);
/* Returns whether the upstream can be released: it is being handed over and
   nothing runs there, or it is not owned.  */
bool mm_owner_idle (const mm_owner *o, const char *upstream);
/* Queues a task until there is free capacity; @t is copied.  Returns a handle
   that is valid until @done, which is called after this function has
   returned.  */
mm_work *mm_owner_submit (mm_owner *o, const mm_task_request *t,
                          mm_work_done done, void *ctx);
/* Queues a reservation for a task; @t is copied, and its payload is not used.
   @copies: owners at which the task has reservations.  @offered: called when
   capacity is set aside, for MM_OFFER_MS, possibly during this call.  Nothing
   starts before mm_owner_accept().  @done is called after this function has
   returned.  */
mm_work *mm_owner_reserve (mm_owner *o, const mm_task_request *t,
                           uint32_t copies, mm_work_offered offered,
                           mm_work_done done, void *ctx);
/* Binds the task of a reservation to this owner: it is started on the capacity
   set aside, or waits like a submitted task if there is none any more.  */
void mm_owner_accept (mm_owner *o, mm_work *w, const char *payload);
/* Cancels a task like mm_owner_cancel(); capacity that was set aside for it is
   used at once.  */
void mm_owner_withdraw (mm_owner *o, mm_work *w);
/* Reservations that wait in the queue, and offers that are not accepted.  */
typedef struct
{
  uint32_t waiting;
  uint32_t offers;
} mm_owner_reservations;
mm_owner_reservations mm_owner_count_reservations (const mm_owner *o);
/* Returns a task as not run, during this call, if it still waits.  */
void mm_owner_return_waiting (mm_owner *o, mm_work *w);
/* Cancels a task; its @done is not called, and the handle @w is not valid
   after this call.  */
void mm_owner_cancel (mm_owner *o, mm_work *w);
/* Acknowledges the end of a kept job's run, which is stored now.  @hash:
   mm_run_hash() of the run.  */
void mm_owner_acknowledge_end (mm_owner *o, const mm_task_id *task,
                               uint32_t hash);
/* Sets the data centres whose upstreams get no new tasks; @e must outlive the
   owner.  Without it there are none.  */
void mm_owner_set_evacuations (mm_owner *o, const mm_evacuations *e);
/* What goes on at the owned upstreams of a data centre.  */
typedef struct
{
  uint32_t upstreams;
  uint32_t runs;
  uint32_t open_starts; /* start orders that are not answered yet */
} mm_owner_datacentre;
mm_owner_datacentre mm_owner_measure_datacentre (const mm_owner *o,
                                                 const char *datacentre);
/* Sets whether this instance's membership is confirmed, so that no other
   instance can own its upstreams.  */
void mm_owner_set_confirmed (mm_owner *o, bool confirmed);
/* Sets until when this instance has read all that arrived, such as the end of
   a caller's connection.  Its own callers are known to have waited until then.
   If it is never called, they are taken to wait until their tasks are
   cancelled.  */
void mm_owner_set_input_read (mm_owner *o, mm_time_ms until_ms);
/* Returns the time that was last set, the present if none was.  */
mm_time_ms mm_owner_input_read_ms (const mm_owner *o);
/* Searches here for @tasks, a set of mm_task_id, which are in doubt at their
   home, and adds the result to @out.  */
void mm_owner_search (const mm_owner *o, GHashTable *tasks,
                      mm_search_result *out);
/* Adds copies of the ids of jobs for which ends of a previous owner's runs are
   held until their homes request them.  */
void mm_owner_foreign_jobs (const mm_owner *o, GHashTable *ids);
/* Adds copies of the ids of these jobs, and of those for which any end is held
   for MM_UNACKED_END_OVERDUE_MS: its acknowledgement may be lost.  */
void mm_owner_overdue_jobs (const mm_owner *o, GHashTable *ids);
/* Adds copies of the tasks of a job whose ends are held to a mm_task_set.  */
void mm_owner_held_tasks (const mm_owner *o, const char *job_id,
                          GHashTable *tasks);
/* Acknowledges all ends of @tasks, a set of mm_task_id: they are stored as
   done.  */
void mm_owner_acknowledge_tasks (mm_owner *o, GHashTable *tasks);
/* Drops the ends of a job that no home will request: it is not a kept job, or
   its outcome is stored.  */
void mm_owner_forget_job (mm_owner *o, const char *job_id);
/* Sets the callbacks that transfer runs; @callbacks is copied.  */
void mm_owner_set_transfer_port (mm_owner *o,
                                 const mm_owner_transfer_port *callbacks);
/* Called when an upstream has answered for the first time, or again after it
   was lost: from then on its capacity is in the reports.  */
typedef void (*mm_owner_gained) (void *ctx);
void mm_owner_set_gained (mm_owner *o, mm_owner_gained gained, void *ctx);
/* Claims a run that the upstream's next owner has found.  If its task was
   submitted here, fills @t with the request that the next owner take the run
   over, and returns the task for mm_owner_transfer().  Returns NULL if the
   task is not from here, or if the fencing token of the owner that found the
   run is not higher than the one held here.  */
mm_work *mm_owner_claim (mm_owner *o, const mm_found_run *r,
                         mm_task_request *t);
/* Records that a claimed task was dispatched to the next owner; @transfer is
   its handle there, NULL when it could not be dispatched.  Its end is to be
   reported with mm_owner_transferred_end().  */
void mm_owner_transfer (mm_owner *o, mm_work *w, void *transfer);
/* Time since the callers of this instance, and those of all transferred tasks,
   were last known to wait.  */
mm_time_ms mm_owner_silent_ms (const mm_owner *o);
/* Reports the end of a transferred task, @work, to its submitter.  */
void mm_owner_transferred_end (void *work, const mm_work_result *r);
void mm_owner_tick (mm_owner *o); /* call each MM_EXEC_TICK_MS */
/* Capacity and load of a service here, in tasks of the average size of those
   submitted recently.  */
mm_capacity_report mm_owner_report (const mm_owner *o, const char *service);
/* Returns whether an upstream here may run the task, now or once it has free
   capacity.  */
bool mm_owner_suits (const mm_owner *o, const mm_task_request *t);
/* Returns the kinds of the upstreams that may get new tasks here; free with
   mm_upstream_kinds_destroy().  */
mm_upstream_kinds *mm_owner_kinds (const mm_owner *o);
/* Computes the totals over all services.  */
mm_owner_gauges mm_owner_measure (const mm_owner *o);
/* Distinct services of the owned upstreams, those of upstreams in service
   first; free the list, not the names.  */
GList *mm_owner_services (const mm_owner *o);
/* Returns the state as JSON, for operators; free with free().  */
char *mm_owner_dump (const mm_owner *o);

#endif /* MM_OWNER_H */
