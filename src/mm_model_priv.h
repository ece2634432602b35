/* mm_model_priv: types and functions shared by the mm_model*.c files.  */
#ifndef MM_MODEL_PRIV_H
#define MM_MODEL_PRIV_H

#include "mm_model.h"
#include "mm_placement.h"

typedef struct model model;
typedef struct job job;
typedef struct instance instance;

typedef struct
{
  instance *owner;
  uint32_t index; /* in @owner->upstreams */
  int datacentre;
  int64_t free_milli;
  double slowness;       /* run times, relative to the declared ones */
  double known_slowness; /* as the owner has measured it */
} upstream;

typedef struct
{
  job *job;
  int64_t cpu_milli;
  double run_ms;      /* on an upstream that is not slow */
  double estimate_ms; /* declared */
  instance *at;       /* owner in whose queue it waits */
  double accepted_ms; /* by that owner */
  double start_by_ms; /* returned then */
  bool waiting;
  upstream *on;
  double started_ms;
  instance *returned_by;
  uint64_t arrival;
} task;

struct job
{
  int kind;
  instance *home;
  double submitted_ms;
  double objective_ms;
  double on_time_start_ms; /* latest start that meets the objective */
  double latest_start_ms;  /* a later one is of no use */
  uint32_t n_tasks, n_left;
  bool over;
  task *tasks;
};

/* What an instance knows of another one.  */
typedef struct
{
  instance *of;
  mm_capacity_report known; /* last report, less the tasks sent since */
} neighbour;

struct instance
{
  int index;
  int datacentre;
  GPtrArray *upstreams; /* owned */
  GPtrArray *waiting;   /* task, in the order of the queue */
  uint32_t waiting_by_priority[MM_PRIORITY_LEVELS];
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
  EVENT_JOB,    /* the next job of a kind arrives */
  EVENT_HANDED, /* a task arrives at an owner */
  EVENT_EXPIRE, /* a task has waited long enough at an owner */
  EVENT_RETURN, /* a task arrives back at its home */
  EVENT_END,    /* a run ends */
  EVENT_REPORT  /* an owner reports */
} event_kind;

typedef struct
{
  double at_ms;
  uint64_t number; /* order of events at the same time */
  event_kind kind;
  int job_kind;
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
  double busy_milli_ms; /* capacity in use, summed over time */
};

/* mm_model_events.c */
void mm_model_push_event (model *m, event e); /* sets its number */
bool mm_model_has_event_before (model *m, double at_ms);
event mm_model_pop_event (model *m); /* the earliest one */

/* mm_model.c */
/* Returns a value of a log-normal distribution with this mean and relative
   standard deviation.  */
double mm_model_spread_around (model *m, double mean, double spread);
/* Returns the time until the next job of a kind arrives.  */
double mm_model_next_interval_ms (model *m, const mm_model_kind *k);

/* Returns the level in capacity reports of a task's priority.  */
uint32_t mm_model_priority_level (const model *m, const task *t);

/* mm_model_owner.c */
/* Returns whether the upstream is in the data centre that takes no tasks at
   the moment.  */
bool mm_model_is_lost (const model *m, const upstream *u);
const mm_capacity_report *mm_model_report_of (const model *m, instance *n);
/* Updates the candidate that stands for an upstream, and the report.  */
void mm_model_update_upstream (const model *m, const upstream *u);
void mm_model_start_waiting (model *m, instance *n);
void mm_model_leave_queue (const model *m, instance *n, task *t);
void mm_model_update_average (double *average, double value, double gain);
void mm_model_on_handed (model *m, instance *n, task *t);
void mm_model_on_expire (model *m, instance *n, task *t);
void mm_model_on_report (model *m, instance *n);

/* mm_model_home.c */
void mm_model_on_job (model *m, int kind);
void mm_model_on_return (model *m, task *t);
void mm_model_on_end (model *m, task *t);

#endif /* MM_MODEL_PRIV_H */
