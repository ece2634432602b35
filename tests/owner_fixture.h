/* owner_fixture: an owner with simulated upstreams in memory, for tests.  */
#ifndef OWNER_FIXTURE_H
#define OWNER_FIXTURE_H

#include "fake_upstreams.h"

#define UPSTREAM_CPU_MILLI 32000 /* two tasks of TASK_CPU_MILLI fit */
#define TASK_CPU_MILLI 14000

/* What was reported for a task that was submitted to the owner.  */
typedef struct
{
  mm_work *work;    /* NULL once the task has ended */
  uint32_t answers; /* how often an end was reported */
  mm_end how;
  mm_time_ms ended_ms; /* when the end was reported */
  char upstream[32];   /* where the task ran last, or "" */
} outcome;

typedef struct
{
  fakes *upstreams;
  mm_owner *owner;
} fixture;

fixture fixture_create (void);
fake *fixture_add (fixture *fx,
                   const char *name); /* owned at once by @fx->owner */
void fixture_run (fixture *fx, mm_time_ms ms);
void fixture_destroy (fixture *fx);
void on_done (void *ctx, const mm_work_result *res); /* @ctx: outcome */
/* Submits a task of TASK_CPU_MILLI.  */
void submit (fixture *fx, outcome *r, const char *job, uint32_t index,
             mm_time_ms run_ms);
/* Asserts that no upstream was over its capacity and that no task ran twice at
   the same time.  */
void assert_invariants (fixture *fx);

#endif /* OWNER_FIXTURE_H */
