/* mm_exec_priv: types and functions shared by the mm_exec_*.c files.  */
#ifndef MM_EXEC_PRIV_H
#define MM_EXEC_PRIV_H

#include "mm_exec.h"
#include "mm_rto.h"

/* What is known of a run.  */
typedef enum
{
  RUN_ORDERED,  /* start sent, call still open */
  RUN_IN_DOUBT, /* the start got no answer: it may run */
  RUN_RUNNING   /* confirmed by the upstream */
} mm_exec_phase;

/* One run of a task, from its start order to its end.  */
typedef struct
{
  mm_exec *exec;
  mm_task_id id;
  uint32_t number; /* distinguishes the runs of one task */
  mm_resources resources;
  void *work; /* the owner's handle, NULL once reported or detached */
  mm_exec_phase phase;
  bool foreign; /* started by an earlier owner, not adopted */
  bool adopted; /* was foreign: its start time is inexact */
  bool kept;    /* of a kept job: its end waits for acknowledgement */
  /* Set by the owner, or because the start had no answer, the task is stalled
     or the run was not adopted.  */
  bool stop_wanted;
  mm_time_ms stop_wanted_ms; /* when stop_wanted was set */
  bool stop_by_owner;        /* ends as MM_END_STOPPED, not MM_END_NOT_RUN */
  mm_time_ms end_by_ms; /* leases are not renewed beyond this time, 0: that
                           follows from awaited_ms */
  const mm_time_ms *awaited_ms; /* mm_task_request.awaited_ms, or NULL */
  bool start_in_flight;         /* a start order has no answer yet */
  mm_time_ms in_doubt_ms;       /* when its start was given up, 0: never */
  /* When the last call was sent whose answer showed that it runs, 0: none.  */
  mm_time_ms confirmed_ms;
  /* An answer has shown that the known incarnation has carried out its start,
     not a later one.  */
  bool located;
  /* A later incarnation than the known one has answered its start.  */
  bool started_later;
  /* Incarnation with whose loss it was reported as unlocated, 0: none.  */
  int64_t reported_born_ms;
  uint32_t other_run; /* number of the other run that was logged last */
  /* The start was sent once more, as it got no answer and the run was not
     listed.  */
  bool sent_again;
  bool stop_in_flight; /* a stop order has no answer yet */
  /* Event numbers (mm_exec.last_event).  */
  uint64_t running_event;       /* first confirmed as running, 0: never */
  uint64_t stop_answered_event; /* stop order was answered, 0: not yet */
  mm_time_ms ordered_ms;  /* start ordered; foreign: found; adopted: started */
  mm_time_ms sent_ms;     /* when the last start order was sent, 0: not by this
                             session */
  mm_time_ms estimate_ms; /* declared run time of the task */
  int32_t percent;        /* last reported progress, negative: not reported */
  mm_time_ms progress_ms; /* when the percentage last changed */
  char *payload;          /* kept to send the start again */
  bool ended; /* not in mm_exec.runs any more; freed once no call is open */
} mm_exec_run;

struct mm_exec
{
  int refs;    /* one for the owner, one for each open call */
  bool closed; /* destroyed by its owner; open calls are still answered */
  mm_upstream_info *info; /* latest list entry of the upstream */
  int64_t born_ms; /* mm_upstream_info.born_ms of the newest incarnation that
                      is known, 0: unknown */
  uint64_t born_event; /* event number at which it became known, 0: at first */
  uint64_t fence;      /* our fencing token there */
  mm_exec_port port;   /* calls to the upstream */
  mm_exec_events ev;   /* notifications to the owner */
  GHashTable *runs;    /* mm_task_id -> run */
  mm_resources used;   /* sum over all runs */
  uint32_t n_foreign;  /* number of foreign runs */
  bool runs_known;  /* a hold has listed the runs; false again after a loss */
  bool more_ends;   /* the newest list of ends was only its first page */
  bool fence_known; /* the upstream knows our fencing token, and a hold with
                       that token has listed the runs */
  bool lost;        /* reported as lost, and not as back yet */
  bool suspect;     /* the last call got no answer or a bad one */
  bool stops_due;   /* stops are sent again at the next tick */
  bool suspended;   /* nothing is sent */
  bool fenced;      /* another instance owns the upstream */
  bool replaced;    /* another incarnation is at the address */
  int holds_in_flight; /* holds that have no answer yet */
  /* When the last hold without a wait was sent, 0: it is answered or timed
     out.  */
  mm_time_ms query_sent_ms;
  /* Number of the last event.  Calls, answers and confirmations of runs are
     numbered, which shows which of them came first.  */
  uint64_t last_event;
  mm_time_ms start_sent_ms; /* when the last start was sent, 0: none */
  mm_time_ms hold_sent_ms;  /* when the last hold was sent, 0: none */
  /* Event number at which the newest hold with processed lists was sent.  */
  uint64_t processed_hold_event;
  mm_time_ms processed_hold_ms; /* when that hold was sent, 0: none */
  /* When the known incarnation last answered a hold or a start, 0: never, or
     the last answer was late.  */
  mm_time_ms known_alive_ms;
  uint32_t acks_postponed;   /* holds in a row that left out a new number */
  mm_time_ms hold_failed_ms; /* the last hold failed then, 0: it did not */
  mm_time_ms unresponsive_since_ms; /* first of the holds that failed in a
                                       row, valid if hold_failed_ms is set */
  mm_time_ms leases_expire_ms;      /* all leases end by then on our clock */
  mm_time_ms lease_limit_ms;        /* mm_exec_update_lease_limit() */
  bool lease_limited;          /* logged: leases are too short for new runs */
  mm_time_ms unacked_since_ms; /* when the first unacknowledged end was seen,
                                  0: none */
  uint64_t seen_seq;           /* sequence number of the newest end seen */
  uint64_t acked_seq;     /* newest end whose acknowledgement was answered */
  GArray *unacked;        /* mm_unacked_end, which homes still need */
  GArray *ended;          /* mm_exec_ended_run, oldest first */
  uint32_t holds_failed;  /* consecutively */
  mm_rto rto;             /* timeout of the calls to this upstream */
  mm_exec_common *common; /* shared with the owner's other sessions */
  mm_time_ms last_unanswered_ms; /* last call without an answer, 0: none */
  bool clock_known; /* an answer has stated the upstream's clock */
  /* Upstream's clock minus ours: the largest value seen lately.  */
  mm_time_ms clock_offset_ms;
  mm_time_ms clock_offset_set_ms; /* when that offset was seen */
  double slowness;                /* average of run time / estimate */
};

/* A run that has ended a short time ago.  */
typedef struct
{
  mm_task_id task;
  uint32_t number;
  bool failed;         /* it failed, and was known before */
  mm_time_ms ended_ms; /* when its end was first listed */
} mm_exec_ended_run;

/* A call to the upstream that is still open.  */
typedef struct
{
  mm_exec *exec;
  const char *what;    /* name of the call in logs */
  mm_exec_run *run;    /* NULL for a hold; may be freed once this call is
                          overdue */
  mm_task_id task;     /* copied from @run */
  uint32_t number;     /* copied from @run */
  uint64_t sent_event; /* event number at which it was sent */
  uint64_t fence;      /* fencing token that it carries */
  uint64_t acked_seq;  /* ends that a hold acknowledged: up to this number */
  mm_time_ms sent_ms;  /* when it was sent */
  mm_time_ms wait_ms;  /* time for which a hold may wait for an end */
} mm_exec_call;

/* Ends a run: frees its capacity and notifies the owner.  The struct itself is
   freed once none of the run's calls is open any more.  */
void mm_exec_finish_run (mm_exec_run *r, mm_end how, const char *why);
void mm_exec_send_stop (mm_exec_run *r,
                        bool new_connection); /* unless one is open */
void mm_exec_set_running (mm_exec_run *r);    /* the upstream confirmed it */
void mm_exec_become_usable (mm_exec *x);      /* after an answer */

/* Stops placing tasks on the upstream after a call that failed.  @what: the
   call, for the log.  */
void mm_exec_become_suspect (mm_exec *x, const char *what, mm_call_verdict v);
/* Ends the session because another owner has taken over.  That owner may stop
   the runs, so they are reported as in doubt, except @refused (or NULL): the
   run whose start was refused did not run.  */
void mm_exec_become_fenced (mm_exec *x, mm_exec_run *refused);
void mm_exec_on_replaced (mm_exec *x); /* another incarnation answered */
/* Drops a reference; the last one frees the session.  */
void mm_exec_unref (mm_exec *x);

/* Records that a run is to end.  @by_owner: its owner waits for it no more. */
void mm_exec_want_stop (mm_exec_run *r, bool by_owner);

/* Sends the start order of a run.  */
void mm_exec_send_start (mm_exec_run *r);
/* Notifies the owner once more if the session is fenced.  A start that was
   open when another owner took over has started the run, or may have, and only
   the new owner can report the end of that run.  */
void mm_exec_notify_if_fenced (mm_exec *x);

/* mm_exec_doubt.c */
/* Returns whether a start order may be sent again.  */
bool mm_exec_may_send_again (const mm_exec *x);
/* Asks the upstream for its runs, as a start of @r got no answer.  */
void mm_exec_query_run (mm_exec_run *r);
/* Handles a run whose start got no answer and that the upstream does not list:
   sends the start again, once, or stops the run.  */
void mm_exec_resolve_unlisted (mm_exec_run *r);
/* Processes the refusal of a start that was sent again.  It does not tell
   whether the first order was carried out, or will be, so the task must not be
   reported as not run.  */
void mm_exec_second_start_refused (const mm_exec_call *c, mm_call_verdict v);

/* mm_exec_lease.c */
/* Renews the leases; returns their end on the upstream's clock, 0: a run there
   has to end, and they are not renewed any more.  */
mm_time_ms mm_exec_lease_deadline (mm_exec *x);
/* Computes until when leases may be renewed.  A lease covers all runs on the
   upstream, so the run that has to end first decides.  */
void mm_exec_update_lease_limit (mm_exec *x);
/* Fixes until when the lease of a run may be renewed, as its submitter waits
   no longer.  */
void mm_exec_fix_lease_limit (mm_exec_run *r);
/* Returns whether a run that is started now can have a lease that is long
   enough.  */
bool mm_exec_can_lease (const mm_exec *x);

/* mm_exec_hold.c */
/* Sends a hold that waits at the upstream for an end, for @wait_ms at most.
   The leases are renewed if @renew is set and the upstream's clock is known.
   Does nothing if the session is fenced or the upstream was replaced.  */
void mm_exec_send_hold (mm_exec *x, mm_time_ms wait_ms, bool renew);

/* Sends the next hold if it can acknowledge ends now, as the known incarnation
   has just answered a start.  */
void mm_exec_hold_after_start (mm_exec *x);

/* mm_exec_call.c */
/* Creates the record of a call that is sent now.  @r: NULL for a hold.  @what:
   the call, for the log; not copied.  */
mm_exec_call *mm_exec_call_open (mm_exec *x, mm_exec_run *r, const char *what);
/* Frees a call.  A call that timed out (@overdue) stays open for a while
   instead: its callback is called once more, with the late answer or without
   any.  */
void mm_exec_call_close (mm_exec_call *c, bool overdue);
/* Whether a call was refused only because the session's fencing token has been
   raised since it was sent.  */
bool mm_exec_call_outdated (const mm_exec_call *c, mm_call_verdict v);
/* Processes the final result of a call that had timed out.  A late answer
   shows that no message was lost.  What was done after the timeout is not
   undone, but the upstream is no longer suspect because of this call, and the
   timeouts of the next calls become longer.  */
void mm_exec_call_late (mm_exec_call *c, const mm_call_result *res);
/* Returns the timeout of the next call: that of this upstream, or the lower
   bound for all upstreams, whichever is longer, plus the time until the data
   that waits at the uplink is sent.  */
mm_time_ms mm_exec_timeout_ms (const mm_exec *x);
/* Updates the timeout of the next calls from the time that this call took, or
   from the lack of an answer.  The time of a hold that waited for an end says
   nothing about the network and is left out.  */
void mm_exec_record_time (mm_exec *x, const mm_exec_call *c,
                          mm_call_verdict v);
/* Updates the estimate of the upstream's clock from the answer to @c.  */
void mm_exec_update_clock (mm_exec *x, const mm_exec_call *c,
                           const mm_call_result *res);
/* Returns whether the clock in the answer to @c is that of the known
   incarnation.  The clock of a later one is behind, as it starts anew.  */
bool mm_exec_clock_agrees (const mm_exec *x, const mm_exec_call *c,
                           const mm_call_result *res);
/* Returns how far the upstream's clock is ahead of ours at least, however slow
   it has been since it was last read.  */
mm_time_ms mm_exec_clock_offset_ms (const mm_exec *x, mm_time_ms now);

/* mm_exec_incarnation.c */
/* Processes that the upstream was started at @born_ms, 0: unknown.  Another
   start than was known is a restart under the same name: the runs are lost,
   and the fencing token is raised.  The time may be earlier, as the upstream's
   time of day can jump.  */
void mm_exec_set_incarnation (mm_exec *x, int64_t born_ms);
/* Whether a call was sent before the newest incarnation was known: an earlier
   one may have answered it.  */
bool mm_exec_call_precedes_incarnation (const mm_exec_call *c);

/* mm_exec_state.c */
/* Reports the upstream as lost with the runs of the known incarnation.
   @crashed: another one has answered or is listed.  */
void mm_exec_report_loss (mm_exec *x, bool crashed);

/* mm_exec_log.c */
/* The reason for the end of a run that the upstream lists.  */
#define MM_WHY_LISTED "listed"
/* Logs the start of a run, once its order is sent.  */
void mm_exec_log_started (const mm_exec_run *r, mm_time_ms waited_ms);
/* Logs what became of a start that got no answer, or none that started it.  */
void mm_exec_log_resolved (const mm_exec_run *r, const char *how);
void mm_exec_log_stopped (const mm_exec_run *r, const char *why);
/* Logs that a run is taken for ended, or is left to another owner, with the
   age of what shows that.  Does nothing for the ordinary end of a run: a
   listed one of a task that is still wanted.  */
void mm_exec_log_over (const mm_exec_run *r, mm_end how, const char *why);
/* Logs that the upstream lists the task of @r under another number, @number,
   as @state.  Does nothing if @r is NULL or has that number.  */
void mm_exec_log_other_run (mm_exec_run *r, uint32_t number,
                            const char *state);

/* mm_exec_lists.c */
/* Updates the session's runs from the lists in the answer to a hold.  */
void mm_exec_process_lists (mm_exec *x, const mm_exec_call *c,
                            const mm_hold_result *res);

#endif /* MM_EXEC_PRIV_H */
