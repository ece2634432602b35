/* mm_model: a load model of the decisions on tasks, to compare ways to decide.

   A seeded simulation of events on one clock.  It calls the modules that
   decide in the product (mm_admission, mm_dispatch, mm_placement,
   mm_reservation, mm_residuals, mm_shedding) on a stated load.  There is no
   network, no store and no process in it, and nothing fails: instances only
   know each other's capacity late, and each upstream may be slower than
   declared.  */
#ifndef MM_MODEL_H
#define MM_MODEL_H

#include "mm_dispatch.h"

#define MM_MODEL_MAX_KINDS 8
#define MM_MODEL_MAX_DATACENTRES 16

/* A kind of job.  Spreads are relative standard deviations.  */
typedef struct
{
  char name[32];
  double per_s;     /* mean arrivals over all instances */
  double width;     /* mean number of tasks, all in parallel */
  double cpu_milli; /* mean size of a task */
  double cpu_spread;
  double run_ms; /* mean run time of a task */
  double run_spread;
  double estimate_error; /* declared run times are off by up to this share */
  double tail_share;     /* share of tasks that take longer than declared */
  double tail_factor;    /* by this factor */
  int64_t priority;
  double burst; /* factor of @per_s during the burst, 1: none */
} mm_model_kind;

/* What is simulated.  */
typedef struct
{
  int64_t seed;
  double length_s; /* jobs arrive for so long */
  int64_t datacentres;
  int64_t instances; /* in all data centres together */
  int64_t upstreams;
  double upstream_cpu_milli;
  double speed_spread; /* speed of the fastest upstreams / the slowest */
  double size_spread;  /* capacity of the largest upstreams / the smallest */
  double slow_share;   /* share of upstreams that are slow */
  double slow_factor;  /* run times there, relative to the declared ones */
  double report_ms;    /* pause between reports of one owner */
  double link_ms;      /* delay of a message between instances */
  double far_link_ms;  /* between data centres, 0: @link_ms */
  double burst_from_s, burst_for_s;
  /* The jobs of each data centre vary by this share of their mean, out of step
     with the other data centres; the first one has its crest after a quarter
     of the period.  */
  double wave, wave_period_s;
  double stretch, slo_ms;         /* objective: stretch * longest run + slo */
  double lost_from_s, lost_for_s; /* the first data centre takes no tasks */
  mm_dispatch_rule rule;
  bool one_owner;       /* one instance knows and owns everything */
  double owner_wait_ms; /* wait at an owner before a task is returned */
  int64_t owner_misses; /* waiting tasks that do not fit and others pass */
  bool late_binding;
  int64_t reservations; /* owners that a task reserves at */
  bool overload_control;
  double overload_target_ms; /* wait above which a priority is overloaded */
  /* Variant: a waiting job is rejected as soon as it is expected to be late.
   */
  bool reject_early;
  size_t n_kinds;
  mm_model_kind kinds[MM_MODEL_MAX_KINDS];
} mm_model_load;

/* What became of some jobs.  */
typedef struct
{
  uint32_t jobs;
  uint32_t on_time;
  uint32_t late;     /* ended, and still of use */
  uint32_t refused;  /* at their submission */
  uint32_t rejected; /* while they waited */
  uint32_t given_up; /* ended too late, or not at all */
} mm_model_outcomes;

/* What became of the jobs of one kind.  */
typedef struct
{
  mm_model_outcomes all;
  mm_model_outcomes largest; /* of the tenth that needs the most capacity */
  mm_model_outcomes datacentres[MM_MODEL_MAX_DATACENTRES]; /* by home */
  uint32_t refused_though_free; /* refused although all of its tasks fitted */
  uint32_t handed;              /* dispatches of tasks to owners */
  uint32_t returned;            /* of these, returned without a start */
  uint32_t reserved;            /* reservations at owners */
  uint32_t offers;              /* of capacity for these */
  uint32_t started;             /* tasks */
  double wait_ms;               /* sum over the tasks that were started */
  double rejected_held_ms;      /* sum over rejected jobs */
  double given_up_held_ms;      /* sum over jobs that were given up */
  double used_milli_ms;         /* capacity used by its tasks */
  double on_time_milli_ms;      /* of this, by jobs that were on time */
  double set_aside_milli_ms;    /* capacity set aside for its tasks */
} mm_model_result;

/* Reads a load from a TOML document; see examples/model.  Returns false with
   @error set.  */
bool mm_model_load_parse (const mm_toml *t, mm_model_load *out,
                          GError **error);
/* Plays the load.  @results: an entry for each kind.  Returns the share of the
   upstreams' capacity that was in use while jobs arrived.  */
double mm_model_play (const mm_model_load *load, mm_model_result *results);

#endif /* MM_MODEL_H */
