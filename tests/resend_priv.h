/* resend_priv: what the parts of the resend_fixture share.  */
#ifndef RESEND_PRIV_H
#define RESEND_PRIV_H

#include "resend_fixture.h"

#include "config.h"
#include "mm_reservation_set.h"

#include <string.h>

#define DELAY_MS 1 /* of a message between instances without faults */
#define NO_FAKE_TIMEOUT_MS 600000 /* timeouts are simulated here */

typedef struct job job;
typedef struct submission submission;
typedef struct link link;

typedef struct
{
  sim *s;
  int index;
  mm_owner *owner;
  bool dead;
  mm_time_ms frozen_until_ms; /* 0: runs */
  bool freeze_counted;        /* its clock counts the freeze */
  mm_time_ms clock_lag_ms;    /* its clock behind the simulated time */
  mm_time_ms last_loop_ms;    /* by its clock */
  mm_time_ms wait_ms;         /* when its last wait began, by its clock */
  mm_time_ms handled_ms;      /* the same of the wait before that */
  mm_time_ms read_every_ms;   /* 0: at once */
  int blind;                  /* next iterations that read nothing */
  bool timers_due;            /* in this iteration */
  int stage;                  /* next step of this iteration */
  int freeze_stage;           /* freezes before this step, 0: it does not */
  mm_time_ms freeze_ms;       /* and for this long */
  GList *submissions;
  mm_time_ms connect_tried_ms[SIM_INSTANCES];
  sim_path paths[SIM_UPSTREAMS];
  sim_link_path link_paths[SIM_INSTANCES];
} instance;

/* A job as its caller sees it.  */
struct job
{
  int index;
  mm_time_ms run_ms;
  submission *current;     /* what the caller waits for, or NULL */
  mm_time_ms resend_ms;    /* when it is sent again, 0: not */
  int resend_at, owner_at; /* -1: any */
  bool done;
};

typedef struct sent_run sent_run;

/* A job at an instance.  */
struct submission
{
  instance *at;
  job *job;
  int owner;               /* that the task is dispatched to, -1: any */
  bool caller_left;        /* not read by the instance yet */
  int unread;              /* iterations until the request is read, 0: it is */
  mm_work *work;           /* dispatched to this instance */
  sent_run *sent;          /* dispatched to another instance */
  mm_reservation_set *set; /* late binding: the reservations, or NULL */
  mm_time_ms retry_ms;     /* next dispatch, by the instance's clock */
};

typedef enum
{
  MSG_HEARTBEAT,
  MSG_RUN,
  MSG_CANCEL,
  MSG_RESERVE,
  MSG_OFFER,
  MSG_ACCEPT,
  MSG_FOUND,
  MSG_ENDED,
  MSG_CLOSE
} message_kind;

typedef struct
{
  message_kind kind;
  mm_time_ms delivery_ms;
  uint64_t number;         /* RUN, CANCEL, RESERVE, OFFER, ACCEPT, ENDED */
  mm_task_request request; /* RUN, RESERVE, ACCEPT: its strings are copies */
  mm_found_run found;      /* FOUND, except the upstream */
  char upstream[16];       /* FOUND, ENDED */
  mm_end how;              /* ENDED */
  uint32_t run;            /* ENDED */
  /* HEARTBEAT: when it was sent by the clock of the sender, and what the
     sender knows of the last one that it received.  */
  mm_time_ms sent_ms, echo_ms, echo_age_ms;
  mm_time_ms silent_ms; /* HEARTBEAT */
} message;

/* One end of a link; end 0 opened it and sends tasks.  */
typedef struct
{
  instance *at;
  bool open;
  GQueue *inbox;
  mm_time_ms received_ms, heartbeat_ms; /* by the clock of @at */
  /* The last heartbeat received: when it was sent, by the other end's clock,
     and when it was received.  */
  mm_time_ms echo_ms, echo_received_ms;
} link_end;

struct link
{
  link_end end[2];
  bool connected;                  /* end 0 has received a heartbeat */
  mm_time_ms heard_ms, awaited_ms; /* as in mm_mesh */
  uint64_t last_number;
  GHashTable *sent;     /* number -> sent_run */
  GHashTable *received; /* number -> received_run */
};

/* A task that was sent over a link, of a submission or of an owner.  */
struct sent_run
{
  link *via;
  uint64_t number;
  submission *sub;         /* or NULL */
  mm_work *work;           /* transferred by the owner, or NULL */
  mm_work_done done;       /* reservations, or NULL */
  mm_work_offered offered; /* reservations: not accepted yet, or NULL */
  void *ctx;               /* for @done and @offered */
};

typedef struct
{
  link *via;
  uint64_t number;
  mm_work *work;
} received_run;

typedef enum
{
  CALL_START,
  CALL_STOP,
  CALL_HOLD
} call_kind;

/* A call to an upstream, from its sending to its last callback.  */
typedef struct
{
  instance *from;
  int upstream;
  call_kind kind;
  mm_task_id task;
  char *payload;
  mm_order order;
  mm_hold hold;
  mm_call_done done;
  mm_hold_done hold_done;
  void *ctx;
  mm_time_ms forward_ms; /* when it is handed to the upstream, -1: not */
  mm_time_ms timeout_ms;
  mm_time_ms answer_transit_ms; /* time that its answer takes */
  mm_time_ms answer_due_ms;     /* when a kept result arrives */
  bool answer_lost, overdue;
  bool at_upstream; /* the simulated upstream will call back */
  bool open;        /* the session waits for a callback */
  bool answered;    /* @result is kept for a frozen instance */
  mm_hold_result result;
} call;

struct sim
{
  fakes *fakes;
  mm_exec_port port;
  GRand *rng;
  instance instances[SIM_INSTANCES];
  GList *links;
  GList *calls;
  int n_upstreams;
  fake *upstreams[SIM_UPSTREAMS];
  bool gone[SIM_UPSTREAMS];
  int owner_of[SIM_UPSTREAMS];
  mm_time_ms assign_ms[SIM_UPSTREAMS]; /* 0: no new owner is due */
  int disowned[SIM_UPSTREAMS];         /* previous owner, -1: none */
  mm_time_ms disown_ms[SIM_UPSTREAMS];
  uint64_t fence;
  job jobs[SIM_JOBS];
  bool binds_late, runs_once;
  bool destroyed;          /* sim_destroy() is running: cancels nothing */
  const instance *current; /* whose code runs */
};

/* resend_fixture.c */
const instance *sim_enter (instance *i);
void sim_leave (sim *s, const instance *before);
bool sim_is_awake (const instance *i);
bool sim_chance (sim *s, double share);

/* resend_calls.c */
void sim_call_free_if_unused (call *c);
void sim_call_report (call *c, const mm_hold_result *r);
void sim_port_start (void *ctx, const mm_upstream_info *u, const mm_order *o,
                     mm_call_done done, void *done_ctx);
void sim_port_stop (void *ctx, const mm_upstream_info *u, const mm_order *o,
                    mm_call_done done, void *done_ctx);
void sim_port_hold (void *ctx, const mm_upstream_info *u, const mm_hold *h,
                    mm_hold_done done, void *done_ctx);
void sim_call_step (call *c);
void sim_read_answers (instance *i);

/* resend_links.c */
void sim_message_free (gpointer p);
link *sim_find_connected (const instance *from, const instance *to);
void sim_link_free (link *l);
sent_run *sim_send_run (link *l, const mm_task_request *t);
sent_run *sim_send_reserve (link *l, const mm_task_request *t);
void sim_send_accept (sent_run *r, const char *payload);
void sim_cancel_sent (sent_run *r);
void sim_read_links (instance *i);
void sim_tick_links (instance *i);
void sim_close_links (instance *i);
void sim_free_closed_links (sim *s);
void sim_on_found (void *ctx, const mm_found_run *r);
void sim_on_cancel_transfer (void *ctx, void *transfer);

/* resend_jobs.c */
void sim_on_submission_ended (submission *b, mm_end how);
void sim_caller_retries (sim *s, job *j);
void sim_tick_jobs (instance *i);
void sim_read_callers (instance *i);
void sim_read_requests (instance *i);
void sim_abandon_jobs (instance *i);
void sim_resend_jobs (sim *s);
void sim_free_submissions (instance *i); /* at the end of a test */

#endif /* RESEND_PRIV_H */
