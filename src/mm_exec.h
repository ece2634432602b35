/* mm_exec: the session of an owner with one upstream.

   An upstream carries out every start order, whether the task fits or not,
   so exactly one instance at a time may order starts there.  The session
   carries that instance's fencing token, renews the leases of the runs, and
   accounts for the capacity that is used by runs, unanswered start orders
   and runs that are being stopped.  */
#ifndef MM_EXEC_H
#define MM_EXEC_H

#include "mm_evacuations.h"
#include "mm_rto.h"
#include "mm_uplink.h"
#include "mm_upstream_info.h"

/* Outcome of a call to an upstream.  */
typedef enum
{
  MM_CALL_OK,
  MM_CALL_FENCED,      /* the upstream has seen a higher fencing token */
  MM_CALL_OLD_RUN,     /* a run with this or a higher number has ended */
  MM_CALL_LATE,        /* the deadline had passed on arrival */
  MM_CALL_NO_CAPACITY, /* the upstream checks its capacity and is full */
  MM_CALL_BAD,         /* rejected for another reason: nothing was done */
  MM_CALL_REFUSED,     /* unhealthy upstream: nothing was done */
  MM_CALL_GONE,        /* another incarnation is at that address */
  MM_CALL_NO_ANSWER,   /* may have been carried out, or may still be */
  MM_CALL_NOT_SENT     /* no connection: it cannot have arrived */
} mm_call_verdict;

const char *mm_call_verdict_name (mm_call_verdict v); /* such as "ok" */

/* Result of a call to an upstream.  */
typedef struct
{
  mm_call_verdict verdict;
  const char *reason;  /* why the call was rejected, NULL: not stated; valid
                          during the callback */
  mm_time_ms clock_ms; /* the upstream's clock, -1: not in the answer */
  bool overdue;        /* no answer yet: the callback is called once more */
  bool was_overdue; /* this is the second callback, after one with @overdue */
  mm_time_ms unsent_ms;  /* from the call until it was sent, -1: it was not */
  mm_time_ms overrun_ms; /* how late this process noticed that the answer is
                            overdue */
} mm_call_result;

/* A running task in the answer to a hold.  */
typedef struct
{
  mm_task_id task;
  uint32_t run;
  int32_t percent; /* of the task done so far, negative: not reported */
} mm_listed_run;

/* The end of a run in the answer to a hold.  */
typedef struct
{
  uint64_t seq; /* sequence number; increases within an incarnation */
  mm_task_id task;
  uint32_t run;
  mm_end how;
} mm_listed_end;

/* Result of a hold.  */
typedef struct
{
  mm_call_result call;
  const mm_listed_run *running;
  size_t n_running;
  const mm_listed_end *ended;
  size_t n_ended;
  bool more_ended; /* not all ends fitted into the answer */
  int64_t born_ms; /* mm_upstream_info.born_ms of the incarnation that answers,
                      0: not stated */
} mm_hold_result;

/* An order to start or stop one run.  */
typedef struct
{
  const mm_task_id *task;
  uint32_t run;
  const char *payload;    /* of the task; NULL for a stop */
  uint64_t fence;         /* fencing token of the session */
  mm_time_ms deadline_ms; /* a start is void after this time of the upstream's
                             clock; 0 for a stop */
  bool new_connection;    /* use a new connection */
  mm_time_ms timeout_ms;  /* how long to wait for the answer */
} mm_order;

/* A call that renews the leases of all runs and lists runs and ends.  */
typedef struct
{
  uint64_t fence;         /* fencing token of the session */
  uint64_t acked_seq;     /* the upstream may forget ends up to this one */
  mm_time_ms deadline_ms; /* new end of all leases on the upstream's clock,
                             0: do not renew */
  mm_time_ms wait_ms;     /* wait this long for an end before answering */
  bool new_connection;    /* use a new connection */
  mm_time_ms timeout_ms;  /* how long to wait for the answer */
} mm_hold;

/* An end that the upstream lists until it is acknowledged.  */
typedef struct
{
  mm_task_id task;
  uint32_t run;
  mm_end how;
  uint64_t seq;             /* sequence number in the upstream's list */
  mm_time_ms first_seen_ms; /* when this instance first saw it */
  bool foreign;             /* the run was started by an earlier owner */
} mm_unacked_end;

typedef void (*mm_call_done) (const mm_call_result *res, void *ctx);
typedef void (*mm_hold_done) (const mm_hold_result *res, void *ctx);

/* How a session reaches its upstream.  Callbacks are never called before
   the function that started the call has returned.  */
typedef struct
{
  void (*start) (void *ctx, const mm_upstream_info *u, const mm_order *o,
                 mm_call_done done, void *done_ctx);
  void (*stop) (void *ctx, const mm_upstream_info *u, const mm_order *o,
                mm_call_done done, void *done_ctx);
  void (*hold) (void *ctx, const mm_upstream_info *u, const mm_hold *h,
                mm_hold_done done, void *done_ctx);
  void *ctx;
} mm_exec_port;

typedef struct mm_exec mm_exec;

/* Notifications from a session to its owner.  */
typedef struct
{
  /* The run @run of the task with the handle @work has ended, @ran_ms after
     its start order; @why says how this was found out.  */
  void (*run_ended) (void *ctx, mm_exec *x, void *work, uint32_t run,
                     mm_end how, mm_time_ms ran_ms, const char *why);
  /* The upstream lists the end of a run of @task that this session started
     and whose work was detached, or reported before.  */
  void (*detached_run_ended) (void *ctx, mm_exec *x, const mm_task_id *task,
                              uint32_t run, mm_end how);
  /* Capacity became free, or the session became usable.  */
  void (*capacity_freed) (void *ctx, mm_exec *x);
  /* The upstream refused a start, or a task there is stalled.  */
  void (*upstream_unhealthy) (void *ctx, mm_exec *x);
  /* The upstream rejected the start of the task with the handle @work for a
     reason that says nothing of its health or capacity.  The end of the run,
     MM_END_NOT_RUN, is reported after this call.  */
  void (*start_rejected) (void *ctx, mm_exec *x, void *work, uint32_t run,
                          const char *reason);
  /* A run that an earlier owner started was found.  Return: true when an
     owner was requested to adopt the run (mm_exec_adopt); false stops the run
     at once.  */
  bool (*foreign_run_found) (void *ctx, mm_exec *x, const mm_task_id *task,
                             uint32_t run);
  /* The upstream has seen another owner's fencing token: this session has
     ended.  */
  void (*fenced) (void *ctx, mm_exec *x);
  /* The upstream is lost with all its runs: it was out of contact for longer
     than any lease, its connections fail, or another incarnation answers
     (@crashed).  The ends of the runs are reported after this call; if only
     its connections fail, once no lease can last any longer.  */
  void (*upstream_lost) (void *ctx, mm_exec *x, bool crashed);
  /* An upstream answers for the first time, or again after it was reported as
     lost by this session.  */
  void (*upstream_back) (void *ctx, mm_exec *x);
  void *ctx;
} mm_exec_events;

/* Age of the upstream list on which starts are decided.  */
typedef struct
{
  /* When the list was last known to be current, 0: never.  NULL: not
     measured.  */
  mm_time_ms (*list_current_ms) (void *ctx);
  void *ctx;
} mm_exec_list_age;

/* State that all sessions of an owner share.  */
typedef struct
{
  mm_rto_floor floor; /* lower bound of the timeouts */
  mm_uplink uplink;   /* the link that carries the orders */
  mm_exec_list_age list_age;
  const mm_evacuations *evacuations; /* NULL: there are none */
} mm_exec_common;

/* Starts a session with an upstream; free with mm_exec_destroy().  @common
   must outlive it, the other arguments are copied.  */
mm_exec *mm_exec_create (const mm_upstream_info *u, uint64_t fence,
                         const mm_exec_port *port, mm_exec_common *common,
                         const mm_exec_events *events);
void mm_exec_destroy (mm_exec *x); /* stops all notifications */
/* Applies a changed list entry of the upstream, which has the same name.  */
void mm_exec_update (mm_exec *x, const mm_upstream_info *u);
void mm_exec_tick (mm_exec *x); /* call each MM_EXEC_TICK_MS */
/* Returns whether starts may be sent: the upstream is in service, it is not
   suspect, it has accepted our fencing token, its last hold was answered, it
   has no foreign runs, whose resources are unknown, and leases there can be
   renewed.  */
bool mm_exec_usable (const mm_exec *x);
/* Returns whether a task may be started: starts may be sent, no lease there
   lasts beyond the time by which the task's run must end, and that time is at
   least MM_LEASE_MIN_MS away.  */
bool mm_exec_accepts (const mm_exec *x, const mm_task_request *t);
/* Returns whether the upstream's capacity counts in reports.  That of a
   suspect upstream, or of one with foreign runs, does: a call without an
   answer makes an upstream suspect for about 100 ms, and jobs would be refused
   if its capacity did not count for that time.  */
bool mm_exec_in_service (const mm_exec *x);
/* Returns whether tasks may be started on the upstream, as far as the platform
   and the operators are concerned: it is not draining, and its data centre is
   not evacuated.  */
bool mm_exec_takes_new_tasks (const mm_exec *x);
bool mm_exec_evacuated (const mm_exec *x); /* its data centre is evacuated */
bool mm_exec_fenced (const mm_exec *x);    /* upstream has another owner */
bool mm_exec_idle (const mm_exec *x);      /* has no runs */
/* The listed capacity without what runs, unanswered start orders and runs that
   are being stopped use; negative when they use more than that.  */
mm_resources mm_exec_free_capacity (const mm_exec *x);
size_t mm_exec_count_runs (const mm_exec *x); /* runs that use its capacity */
/* Tasks whose runs the known incarnation of the upstream has confirmed.
   Return: list of mm_task_id; g_list_free().  */
GList *mm_exec_confirmed_tasks (const mm_exec *x);
/* Tasks that may have caused a crash of the upstream although no run of them
   is known: their starts got no answer, or not yet one that shows which
   incarnation runs them, or their runs failed shortly before.
   Return: as above.  */
GList *mm_exec_unconfirmed_tasks (const mm_exec *x);
/* Tasks that ran when the upstream stopped answering, and had started no more
   than MM_SUSPECTS_AFTER_START_MS before.  Return: as above.  */
GList *mm_exec_just_started_tasks (const mm_exec *x);
/* Sends nothing to the upstream from now on, or again.  Nothing may run there
   in between.  Before a task can start, the upstream must answer again.  */
void mm_exec_set_suspended (mm_exec *x, bool suspended);
/* Returns whether the upstream was reported as lost, and not as back yet.  */
bool mm_exec_is_lost (const mm_exec *x);
/* When the first of the holds failed that have failed since the lists were
   last received, 0: none has.  */
mm_time_ms mm_exec_unresponsive_since_ms (const mm_exec *x);
/* When the last start of the current runs was sent, 0: this session started
   none of them.  */
mm_time_ms mm_exec_last_start_ms (const mm_exec *x);
/* Time until the last run ends, estimated from declared run times and the
   slowness of the upstream.  */
mm_time_ms mm_exec_longest_remaining_ms (const mm_exec *x, mm_time_ms now);
/* Number of runs in doubt: their starts got no answer.  */
size_t mm_exec_count_in_doubt (const mm_exec *x);
/* Numbers of runs that a handover has to consider.  */
typedef struct
{
  uint32_t runs;        /* all runs that use capacity */
  uint32_t open_starts; /* as mm_exec_count_open_starts() */
  uint32_t in_doubt;    /* as mm_exec_count_in_doubt() */
  uint32_t foreign;     /* runs of an earlier owner that are not adopted */
  uint32_t kept;        /* runs of kept jobs */
} mm_exec_run_counts;

mm_exec_run_counts mm_exec_count_by_state (const mm_exec *x);
/* Number of start orders that are not answered and not given up yet.  */
size_t mm_exec_count_open_starts (const mm_exec *x);
const mm_upstream_info *mm_exec_info (const mm_exec *x); /* list entry */
/* mm_upstream_info.born_ms of the newest incarnation that is known.  */
int64_t mm_exec_born_ms (const mm_exec *x);
/* Raises our fencing token to @fence; the runs go on.  */
void mm_exec_raise_fence (mm_exec *x, uint64_t fence);
uint64_t mm_exec_fence (const mm_exec *x); /* our fencing token there */
/* Ends the session, if it has not ended, because the next owner of the
   upstream, which has a higher fencing token, found this run of the task
   there.  If the start of that run has no answer yet, the run counts as
   confirmed.  */
void mm_exec_found_by_next (mm_exec *x, const mm_task_id *task, uint32_t run);
/* Orders the start of a task, which must fit the free capacity; the session
   must accept it.  @work is passed to run_ended().  */
void mm_exec_start (mm_exec *x, const mm_task_request *t, void *work);
/* Orders the stop of the run of the task with the handle @work.  The end of
   the run is reported later.  */
void mm_exec_stop (mm_exec *x, void *work);
/* Continues a foreign run as the run of this task.  Return: false when the
   run has ended or is being stopped.  */
bool mm_exec_adopt (mm_exec *x, const mm_task_request *t, void *work);
/* Detaches @work from its run, which is not stopped.  Return: the run's number
   and, in @ran_ms, for how long it ran; 0, with nothing done, while the start
   has no answer yet.  */
uint32_t mm_exec_detach (mm_exec *x, void *work, mm_time_ms *ran_ms);
/* Average ratio of the run times there to the declared ones.  */
double mm_exec_slowness (const mm_exec *x);
/* Ends that are not acknowledged yet; valid until the session changes.  */
const mm_unacked_end *mm_exec_unacked_ends (const mm_exec *x, size_t *n);
/* Acknowledges the end at index @i of mm_exec_unacked_ends(); the last end
   takes its place in the array.  */
void mm_exec_ack_end (mm_exec *x, size_t i);
/* Ends of this job's runs need no acknowledgement from now on.  That includes
   runs that are being stopped and end after this call.  */
void mm_exec_forget_job (mm_exec *x, const char *job_id);
/* Returns whether the runs on the upstream are known: listed by a hold, or
   ended with their leases or with the incarnation.  */
bool mm_exec_runs_confirmed (const mm_exec *x);
/* Returns whether a run of the task was found there and neither adopted nor
   seen to end.  */
bool mm_exec_has_foreign_run (const mm_exec *x, const mm_task_id *task);
/* Number of runs of @tasks, a set of mm_task_id.  */
uint32_t mm_exec_count_runs_of (const mm_exec *x, GHashTable *tasks);

#endif /* MM_EXEC_H */
