/* mm_owner_priv: declarations shared by the source files of mm_owner.  */
#ifndef MM_OWNER_PRIV_H
#define MM_OWNER_PRIV_H

#include "mm_owner.h"
#include "mm_breaker.h"
#include "mm_handover_plan.h"
#include "mm_overload.h"
#include "mm_start_order.h"

/* An upstream that this instance owns.  */
typedef struct
{
  mm_owner *owner;
  mm_exec *exec;           /* the session with the upstream */
  uint64_t assigned_fence; /* the fencing token that this owner was assigned;
                              the session may have raised its own */
  mm_breaker breaker;
  bool handing_over; /* a handover to another owner is under way */
  /* Of the handover, with transferred runs; else MM_HANDOVER_WAIT_RUNS.  */
  mm_handover_step step;
  bool waits_for_runs;      /* the handover has waited for the runs */
  mm_time_ms last_start_ms; /* tasks were started until then, 0: they are */
  /* Assigned to another owner while runs that it can adopt go on here.  */
  bool lingering;
  mm_time_ms fenced_ms;   /* when another owner's token was seen, 0: never */
  bool released;          /* the next owner may have it: nothing is started */
  bool removed;           /* no longer owned; its session is being closed */
  uint32_t n_suspects;    /* suspected poison tasks that run there */
  mm_resources set_aside; /* for the offers of reservations */
  uint32_t n_set_aside;   /* number of these offers */
} mm_owned_upstream;

/* A task that is to be offered to its submitter before it starts.  Not part of
   the mm_work of other tasks.  */
typedef struct
{
  uint32_t copies;         /* owners at which the task has reservations */
  mm_work_offered offered; /* NULL once it was called */
  void *ctx;               /* for @offered */
  mm_time_ms end_ms; /* returned then unless accepted, 0: not offered yet */
  /* Where capacity is set aside; NULL while it waits in the queue.  */
  mm_owned_upstream *set_aside_at;
} mm_owner_reservation;

/* A task that was submitted to the owner.  An orphan is a task that runs at an
   upstream which this instance no longer owns.  */
struct mm_work
{
  mm_owner *owner;
  mm_task_request request; /* its strings are copies */
  mm_time_ms start_by_ms;  /* returned as not run after this time */
  mm_time_ms due_ms;       /* decides the order among equal priorities */
  mm_time_ms accepted_ms;  /* when it was submitted here */
  mm_time_ms waited_ms;    /* time spent in queues before that */
  uint64_t arrival;        /* rises with each task that is submitted */
  /* Where the task runs or is being stopped; NULL while it waits.  */
  mm_owned_upstream *running_on;
  char *orphaned_on;       /* orphans: the upstream that is no longer owned */
  uint32_t run;            /* orphans: run number there */
  uint64_t orphaned_fence; /* orphans: fencing token held there */
  mm_time_ms ran_ms;       /* orphans: run time until @orphaned_ms */
  mm_time_ms orphaned_ms;  /* orphans: when the upstream was given up */
  mm_end listed_end;       /* not adopted: how its run ended, if listed */
  /* The handle under which the upstream's next owner runs the task, or NULL:
     not transferred.  */
  void *transfer;
  mm_owner_reservation *reservation; /* NULL: not, or accepted */
  bool cancelled; /* the submitter waits no longer: @done is not called */
  uint32_t rejected_run; /* its run whose start was rejected, 0: none */
  mm_work_done done;
  void *ctx; /* for @done */
};

struct mm_owner
{
  mm_exec_port port;           /* calls to upstreams */
  mm_exec_common common;       /* shared by the sessions */
  GHashTable *owned_upstreams; /* upstream name -> mm_owned_upstream */
  GQueue *waiting;             /* mm_work, in the order of mm_start_key */
  GQueue *offers;              /* mm_work for which capacity is set aside */
  mm_start_turns start_turns;  /* decides the turns of yielding tasks */
  GHashTable *active;          /* mm_task_id -> mm_work that has a run here */
  GHashTable *orphans;         /* mm_task_id -> mm_work that run at an upstream
                                  that is no longer owned */
  GHashTable *transferred; /* set of mm_work that run under another owner */
  GList *unadopted;        /* mm_work whose run could not be taken over */
  GHashTable *in_doubt;    /* mm_task_id -> mm_time_ms: may run elsewhere until
                              then */
  mm_owner_transfer_port transfer_port; /* callbacks that transfer runs */
  mm_owner_gained gained;               /* NULL: not set */
  void *gained_ctx;                     /* argument of @gained */
  mm_suspects *suspects; /* NULL: suspected tasks are not recorded */
  mm_overload *overload; /* NULL: overload control is off */
  GHashTable *evacuated; /* data centre -> mm_owner_evacuation.c */
  /* Upstream name -> uint64_t: fencing token of the last session, where that
     had raised the token which its owner was assigned.  */
  GHashTable *raised_fences;
  uint64_t last_arrival;      /* arrival number of the last task */
  mm_time_ms input_read_ms;   /* mm_owner_set_input_read(), 0: not set */
  mm_time_ms handover_end_ms; /* all handovers have ended by then */
  double average_run_ms;      /* average declared run time, for reports */
  double average_cpu_milli;   /* average declared cpu of a task, for reports */
  double average_place_ms;    /* average time for which a run used its place,
                                 done or not */
  double done_share;          /* share of the runs that ended as done, 0..1 */
  bool transfer_runs;         /* handovers do not wait for the runs */
  bool confirmed;   /* membership is confirmed: no other instance can own
                       the upstreams owned here */
  bool starting;    /* mm_owner_start_waiting() is running */
  bool start_again; /* it was called while it was running */
  bool destroyed;   /* mm_owner_destroy() is running: start nothing */
};

/* mm_owner.c */
/* Creates a task that was submitted here; it is not queued.  */
mm_work *mm_owner_create_work (mm_owner *o, const mm_task_request *t,
                               mm_work_done done, void *ctx);
/* Counts a task in the average size of the tasks submitted here.  */
void mm_owner_record_size (mm_owner *o, const mm_task_request *t);
void mm_owner_enqueue (mm_owner *o, mm_work *w);
/* Starts waiting tasks that fit, and sets capacity aside for reservations.  */
void mm_owner_start_waiting (mm_owner *o);
/* Returns whether @w may start at @owned and fits there.  */
bool mm_owner_accepts (mm_owned_upstream *owned, const mm_work *w,
                       mm_time_ms now);
/* Starts a task, which is in no queue, on an upstream that accepts it.  */
void mm_owner_start (mm_owner *o, mm_owned_upstream *owned, mm_work *w,
                     mm_time_ms now);

/* mm_owner_reserve.c */
/* The capacity at an upstream that is neither used nor set aside.  */
mm_resources mm_owner_free_capacity (const mm_owned_upstream *owned);
/* Runs there, and offers for which capacity is set aside.  */
size_t mm_owner_count_used_slots (const mm_owned_upstream *owned);
/* Sets capacity aside for a reservation, which is in no queue.  */
void mm_owner_set_aside (mm_owner *o, mm_owned_upstream *owned, mm_work *w,
                         mm_time_ms now);
/* Calls @offered of the reservations for which capacity was set aside.  */
void mm_owner_send_offers (mm_owner *o);
/* Queues the reservations again whose upstreams do not accept their tasks any
   more.  */
void mm_owner_check_offers (mm_owner *o);
/* Queues the reservations again for which capacity is set aside at @owned.  */
void mm_owner_drop_offers (mm_owner *o, const mm_owned_upstream *owned,
                           const char *why);
/* Ends the offers that were not accepted in time, and checks the others.  */
void mm_owner_tick_offers (mm_owner *o, mm_time_ms now);
/* Frees the capacity that is set aside for @w.  Returns whether there was
   any.  */
bool mm_owner_free_offer (mm_owner *o, mm_work *w);
/* Number of tasks as which a waiting one counts in reports.  */
double mm_owner_waiting_weight (const mm_work *w);

/* mm_owner_fence.c */
/* Remembers the fencing token of a session that ends, if it is higher than the
   one that was assigned.  The upstream refuses lower tokens.  */
void mm_owner_keep_raised_fence (const mm_owned_upstream *owned);
/* Returns the fencing token for a new session with an upstream: @assigned, or
   a higher one that the last session here has used.  */
uint64_t mm_owner_session_fence (mm_owner *o, const char *upstream,
                                 uint64_t assigned);

/* mm_owner_adopt.c */
/* Detaches all tasks that run at @owned, which is no longer owned here.  Tasks
   that cannot be transferred are reported with the reason @why.  */
void mm_owner_orphan_all (mm_owner *o, mm_owned_upstream *owned,
                          const char *why);
/* Event of the session with an upstream that is no longer owned
   (mm_exec_events): reports the end of the run @run to the submitter of its
   task, if that is an orphan, or was transferred.  */
void mm_owner_on_detached_ended (void *ctx, mm_exec *x, const mm_task_id *task,
                                 uint32_t run, mm_end how);
/* Attaches a submitted task to its run at @w->request.running_at.  */
void mm_owner_adopt (mm_owner *o, mm_work *w);
/* Reports the ends of orphans whose runs no next owner requested in time, and
   of tasks whose runs this instance could not adopt.  */
void mm_owner_tick_adoption (mm_owner *o, mm_time_ms now);
/* Cancels a task that is orphaned, transferred or not adopted.  Returns
   whether @w was one.  */
bool mm_owner_cancel_transfer (mm_owner *o, mm_work *w);
/* Records that the task may run for the rest of its lease, at an upstream that
   is not owned here.  */
void mm_owner_set_in_doubt (mm_owner *o, const mm_task_id *task);
/* Returns whether the task may have an earlier run that goes on: here, at an
   upstream that is no longer owned here, or found here and not adopted yet. */
bool mm_owner_has_earlier_run (const mm_owner *o, const mm_task_id *task);
/* Frees all tasks that are orphaned, transferred or not adopted.  */
void mm_owner_destroy_transfers (mm_owner *o);
/* Frees a task without a report to its submitter.  */
void mm_owner_free_work (mm_work *w);

/* mm_owner_handover.c */
/* Numbers of upstreams that are being handed over, and of tasks whose runs
   were left to the next owners.  */
typedef struct
{
  uint32_t upstreams;        /* being handed over or released */
  uint32_t waiting_for_runs; /* of these: handed over once the runs ended */
  uint32_t released;         /* of these: nothing is started there any more */
  uint32_t orphans;          /* tasks whose next owner is not known yet */
  uint32_t transferred;      /* tasks that run under the next owner */
} mm_owner_handovers;

mm_owner_handovers mm_owner_measure_handovers (const mm_owner *o);
/* Keeps the session with a released upstream until its next owner has found
   the runs there, or they have ended.  Returns false if it is not to be
   kept.  */
bool mm_owner_linger (mm_owned_upstream *owned);
/* Ends the sessions that are kept for no run any more.  */
void mm_owner_end_lingering (mm_owner *o, mm_time_ms now);
/* Records that the next owner of an upstream has found a run there.  */
void mm_owner_record_found (mm_owned_upstream *owned);
/* Ends a handover; tasks are started as before once the upstream answers.  */
void mm_owner_resume (mm_owned_upstream *owned);
/* Ends the session with an upstream that is no longer owned.  */
void mm_owner_close_session (mm_owned_upstream *owned);

/* mm_owner_evacuation.c */
/* Returns the waiting tasks that can start nowhere here because of
   evacuations, so that they are dispatched elsewhere at once.  */
void mm_owner_return_evacuated (mm_owner *o);
/* Logs which evacuations have come into force.  */
void mm_owner_log_evacuations (mm_owner *o, mm_time_ms now);

/* mm_owner_suspects.c */
/* Adds @by (1 or -1) to the suspects that run at @owned, if @w is one.  */
void mm_owner_count_suspect (mm_owned_upstream *owned, const mm_work *w,
                             int by);
/* Returns whether @w may start at @owned beside the suspects there.  Two
   suspects never run on the same upstream: its crash would not show which of
   them caused it.  */
bool mm_owner_suspect_allowed (const mm_owned_upstream *owned,
                               const mm_work *w);
/* Weight of the runs at @owned that @w should not run beside; lower is better.
   A suspect prefers the upstream with the fewest runs, and all tasks prefer
   upstreams without suspects.  */
uint32_t mm_owner_contention (const mm_owned_upstream *owned,
                              const mm_work *w);
/* Events of the session with an owned upstream (mm_exec_events); @ctx: its
   mm_owned_upstream.  */
void mm_owner_on_upstream_lost (void *ctx, mm_exec *x, bool crashed);
void mm_owner_on_upstream_back (void *ctx, mm_exec *x);

/* mm_owner_report.c */
/* Returns how long a waiting task has waited since it was ready, or
   MM_OVERLOAD_WAIT_UNKNOWN.  */
mm_time_ms mm_owner_wait_ms (const mm_work *w, mm_time_ms now);

/* Reports the task's end to its submitter, unless cancelled, and frees @w.  */
void mm_owner_finish (mm_work *w, mm_end how, const char *upstream,
                      uint32_t run, mm_time_ms ran_ms, const char *why);
/* Returns whether a task of this estimated run time may start at @owned now:
   if it is being handed over, only one that ends before the handover does.  */
bool mm_owner_ends_before_handover (const mm_owned_upstream *owned,
                                    double run_ms, mm_time_ms now);

#endif /* MM_OWNER_PRIV_H */
