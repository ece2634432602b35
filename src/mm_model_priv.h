/* mm_model_priv: types and functions shared by the mm_model*.c files.  */
#ifndef MM_MODEL_PRIV_H
#define MM_MODEL_PRIV_H

#include "mm_admission.h"
#include "mm_model.h"
#include "mm_overload.h"
#include "mm_overload_state.h"
#include "mm_placement.h"

typedef struct model model;
typedef struct job job;
typedef struct task task;
typedef struct instance instance;

typedef struct
{
  instance *owner;
  uint32_t index; /* in @owner->upstreams */
  int datacentre;
  int64_t cpu_milli;
  int64_t free_milli;
  double slowness;       /* run times, relative to the declared ones */
  double known_slowness; /* as the owner has measured it */
} upstream;

typedef enum
{
  WORK_SENT,    /* on its way to the owner */
  WORK_WAITING, /* in the owner's queue */
  WORK_OFFERED, /* capacity is set aside for it */
  WORK_ENDED    /* returned by the owner, on its way to the home */
} work_state;

/* A task at an owner, or a reservation for it.  */
typedef struct
{
  task *task;
  instance *owner;
  uint64_t generation; /* changes when the entry is used for another task */
  work_state state;
  bool is_reservation; /* and not accepted */
  bool yields;
  uint32_t copies; /* owners at which the task waits */
  double start_by_ms;
  uint64_t arrival;
  upstream *on; /* where capacity is set aside */
  double offered_ms;
} work;

struct task
{
  job *job;
  int64_t cpu_milli;
  double run_ms;      /* on an upstream that is not slow */
  double estimate_ms; /* declared */
  work *bound;        /* at the only owner that may start it */
  work *reservations[MM_RESERVATIONS_MAX];
  uint32_t n_reservations;
  uint32_t round; /* of reservations */
  bool started;
  upstream *on;
  double started_ms;
  instance *returned_by;
};

struct job
{
  int kind;
  instance *home;
  int64_t datacentre; /* of its caller */
  double submitted_ms;
  double objective_ms;
  double on_time_start_ms; /* latest start that meets the objective */
  double latest_start_ms;  /* a later one is of no use */
  uint32_t n_tasks, n_left;
  bool over;
  bool yields;
  double used_milli_ms; /* by its tasks that ended */
  size_t outcome;       /* offset in mm_model_outcomes */
  task *tasks;
};

/* What an instance knows of another one.  */
typedef struct
{
  instance *of;
  mm_capacity_report known; /* last report, less the tasks sent since */
  double known_ms;          /* when that was reported */
  double unseen_copies;     /* part of a waiting task, not yet in @known */
} neighbour;

struct instance
{
  int index;
  int datacentre;
  GPtrArray *upstreams; /* owned */
  GPtrArray *waiting;   /* work, in the order of the queue */
  uint32_t n_yielding;  /* of these, the last ones */
  uint32_t starts_since_yielding;
  double waiting_by_priority[MM_PRIORITY_LEVELS]; /* without yielding ones */
  double waiting_yielding;
  uint32_t n_waiting[MM_PRIORITY_LEVELS]; /* without yielding ones */
  mm_overload *starts;                    /* NULL: no overload control */
  mm_overload_state *overloads;
  GPtrArray *open;                    /* job, of which no task may have run */
  mm_placement_candidate *candidates; /* of each of @upstreams */
  mm_capacity_report report;          /* of itself, if @report_valid */
  bool report_valid;
  mm_residuals residuals; /* of @upstreams, if @residuals_valid */
  bool residuals_valid;
  GPtrArray *neighbours; /* neighbour */
  GPtrArray *readers;    /* neighbour of other instances that stands for it */
  double average_cpu_milli;
  double average_place_ms;
  double mean_task_ms;
  bool any_ended;
};

typedef enum
{
  EVENT_JOB,       /* the next job of a kind arrives */
  EVENT_HANDED,    /* a task or a reservation arrives at an owner */
  EVENT_EXPIRE,    /* a task has waited long enough at an owner */
  EVENT_RETURN,    /* a task that has not run arrives back at its home */
  EVENT_AGAIN,     /* a task is dispatched again */
  EVENT_RENEW,     /* no offer came in time */
  EVENT_OFFER,     /* an offer arrives at the home */
  EVENT_ACCEPT,    /* its acceptance arrives at the owner */
  EVENT_CANCEL,    /* a cancellation arrives at the owner */
  EVENT_OFFER_END, /* an offer was not answered in time */
  EVENT_END,       /* a run ends */
  EVENT_REPORT,    /* an owner reports */
  EVENT_TICK       /* an instance looks at its open jobs */
} event_kind;

typedef struct
{
  double at_ms;
  uint64_t number; /* order of events at the same time */
  event_kind kind;
  int job_kind;
  uint64_t generation; /* of @work, or round of reservations of @task */
  work *work;
  task *task;
  instance *instance;
} event;

struct model
{
  const mm_model_load *load;
  mm_model_result *results;
  GRand *random;
  GArray *heap; /* event, a binary heap */
  uint64_t n_events, n_arrivals;
  double now_ms;
  bool datacentre_lost; /* the first data centre takes no tasks now */
  GPtrArray *instances, *upstreams, *jobs;
  GPtrArray *works, *free_works; /* work */
  double busy_milli_ms;          /* capacity in use, summed over time */
};

/* mm_model_events.c */
void mm_model_push_event (model *m, event e); /* sets its number */
/* Pushes an event of @w, which is dropped if @w has another task by then.  */
void mm_model_push_work_event (model *m, event_kind kind, work *w,
                               double at_ms);
bool mm_model_has_event_before (model *m, double at_ms);
event mm_model_pop_event (model *m); /* the earliest one */

/* mm_model_draw.c: random numbers.  */
/* Returns the time until the next job of a kind arrives.  */
double mm_model_next_interval_ms (model *m, const mm_model_kind *k);
/* Draws a job of a kind; @m owns it.  */
job *mm_model_draw_job (model *m, int kind);
/* Draws the speed and the size of an upstream.  */
void mm_model_draw_upstream (model *m, upstream *u);

/* mm_model_work.c */
work *mm_model_work_new (model *m, task *t, instance *owner);
void mm_model_work_free (model *m, work *w);
/* Returns the level in capacity reports of a task's priority.  */
uint32_t mm_model_priority_level (const model *m, const task *t);
/* Returns the delay of a message between an owner and the home of its work. */
double mm_model_link_ms (const model *m, const work *w);

/* mm_model_owner.c */
/* Returns whether the upstream is in the data centre that takes no tasks at
   the moment.  */
bool mm_model_is_lost (const model *m, const upstream *u);
/* Updates the candidate that stands for an upstream, and the report.  */
void mm_model_update_upstream (const model *m, const upstream *u);
void mm_model_start_waiting (model *m, instance *n);
/* Removes waiting work from the queue of its owner and frees it.  */
void mm_model_cancel_waiting (model *m, work *w);
void mm_model_update_average (double *average, double value, double gain);
/* Starts a task at @w->on, where capacity is set aside, and frees @w.  */
void mm_model_start (model *m, work *w);
void mm_model_enqueue (model *m, work *w);
void mm_model_on_handed (model *m, work *w);
/* Hands work to its owner: at once at its home, so that the next task of the
   job finds the capacity in use, else after the delay of the link.  */
void mm_model_hand (model *m, work *w, double arrival_ms);
void mm_model_on_expire (model *m, work *w);

/* mm_model_offers.c: offers at owners.  */
void mm_model_offer (model *m, work *w); /* @w->on is set */
void mm_model_on_accept (model *m, work *w);
void mm_model_on_cancel (model *m, work *w);
void mm_model_on_offer_end (model *m, work *w);

/* mm_model_report.c */
const mm_capacity_report *mm_model_report_of (const model *m, instance *n);
void mm_model_on_report (model *m, instance *n);

/* mm_model_home.c */
/* Fills @out with what @n knows of itself and its neighbours.  Returns the
   number of entries.  */
size_t mm_model_list_owners (const model *m, instance *n,
                             mm_dispatch_candidate *out);
/* Returns the known load for a task of that size and kind, as mm_fleet_load()
   does.  */
mm_load mm_model_known_load (const model *m, instance *home, int kind,
                             int64_t cpu_milli);
/* Answers a job; @outcome is an offset in mm_model_outcomes.  */
void mm_model_answer (model *m, job *j, size_t outcome);
/* Returns whether a task of the job has started or may start without another
   decision of its home.  */
bool mm_model_may_have_started (const job *j);
void mm_model_dispatch (model *m, task *t);
void mm_model_on_job (model *m, int kind);
void mm_model_on_return (model *m, work *w);
void mm_model_on_again (model *m, task *t);
void mm_model_on_end (model *m, task *t);

/* mm_model_reserve.c: reservations at homes.  */
/* Reserves for a task at some of the owners @c, which are in the order of
   mm_model_list_owners().  */
void mm_model_reserve (model *m, task *t, const mm_dispatch_candidate *c,
                       size_t n);
/* Cancels all reservations of a task but @kept.  */
void mm_model_cancel_reservations (model *m, task *t, const work *kept);
/* Removes a reservation that has ended.  Returns whether it was one of the
   task's present reservations.  */
bool mm_model_forget_reservation (task *t, const work *w);
void mm_model_on_offer (model *m, work *w);
void mm_model_on_renew (model *m, task *t);

/* mm_model_overload.c: what the overload control measures.  */
void mm_model_record_start (const model *m, instance *n, const task *t);
void mm_model_report_starts (const model *m, const instance *n,
                             mm_capacity_report *r);
void mm_model_record_job (const model *m, const job *j);
/* Updates what @n knows about overloads.  */
void mm_model_update_overloads (const model *m, instance *n);
/* Returns whether @n knows of an overload of the priority.  */
bool mm_model_is_overloaded (const instance *n, uint32_t level);
/* Fills the fields of @load that overload control uses from the list of
   owners @c.  */
void mm_model_fill_measured (const model *m, instance *home,
                             const mm_dispatch_candidate *c, size_t n,
                             uint32_t level, mm_load *load);

/* mm_model_shed.c */
void mm_model_on_tick (model *m, instance *n);

/* mm_model_result.c */
/* Sums up what became of the jobs.  */
void mm_model_sum_up (model *m);

#endif /* MM_MODEL_PRIV_H */
