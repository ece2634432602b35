/* fake_upstreams: simulated upstreams in memory, on a clock that the test
   advances.

   They behave like upstreams of the platform: they carry out every start
   order, enforce leases, check fencing tokens and list ends until these are
   acknowledged.  At a test's request they lose orders, carry them out seconds
   late, become unresponsive, fail tasks or restart.  They count violations
   such as a task that runs twice at one time.  */
#ifndef FAKE_UPSTREAMS_H
#define FAKE_UPSTREAMS_H

#include "mm_owner.h"

typedef struct fakes fakes;
typedef struct fake fake;

/* Faults of a fake upstream.  */
typedef struct
{
  uint32_t lose_starts; /* number of next starts that get no answer */
  uint32_t lose_stops;  /* number of next stops that are lost */
  uint32_t lose_holds;  /* number of next holds that are lost */
  mm_time_ms
      late_start_ms; /* lost starts are carried out after this, 0: never */
  mm_time_ms
      delivery_delay_ms; /* added to the delivery time, as on a full link */
  mm_time_ms
      start_answer_delay_ms;  /* added to the time of answers to starts */
  bool refuses_connections;   /* calls fail at once: its process is dead */
  bool unresponsive;          /* no call arrives, none is answered */
  bool loses_answers;         /* all calls arrive, none is answered */
  bool fails_tasks;           /* each task fails after 5 ms */
  bool unhealthy;             /* refuses starts */
  bool hangs;                 /* tasks never end */
  size_t max_ends_per_answer; /* maximum ends in one answer, 0: no limit */
} fake_mode;

fakes *fakes_create (void); /* replaces the source of mm_clock_now_ms() */
void fakes_destroy (fakes *f);
mm_exec_port fakes_port (fakes *f);
fake *fakes_add (fakes *f, const char *name, int64_t cpu_milli);
fake_mode *fake_mode_of (fake *x);
void fake_restart (fake *x); /* another incarnation at that address */
const mm_upstream_info *fake_info (const fake *x);
/* These two change the upstream's entry in the upstream list.  */
void fake_set_draining (fake *x, bool draining);
void fake_set_listed_cpu (fake *x, int64_t cpu_milli);
/* Changes the real capacity, beyond which a start counts as over_capacity.  */
void fake_set_cpu (fake *x, int64_t cpu_milli);
size_t fake_running (const fake *x);
uint32_t fake_starts (const fake *x);
size_t fake_unacked_ends (const fake *x); /* ends that are not acknowledged */
/* Starts a run as another owner does.  Call this before the first hold or
   order of the owner under test.  */
void fake_start_foreign (fake *x, const char *job, uint64_t fence,
                         int64_t cpu_milli, mm_time_ms run_ms);
/* Advances the clock by @ms and delivers calls and answers; ticks @o unless it
   is NULL.  */
void fakes_run (fakes *f, mm_owner *o, mm_time_ms ms);
mm_time_ms fakes_now (const fakes *f);

/* A request whose payload gives a fake the cpu and the run time of the
   task.  The payload is valid until the next call.  */
mm_task_request fakes_task (const char *job, uint32_t index, int64_t cpu_milli,
                            mm_time_ms run_ms);

typedef struct
{
  uint32_t starts;
  uint32_t over_capacity; /* starts beyond an upstream's capacity */
  uint32_t double_runs;   /* starts of a task that ran on another upstream */
  uint32_t holds;
  uint32_t calls;
} fakes_counts;
fakes_counts fakes_count (const fakes *f);

#endif /* FAKE_UPSTREAMS_H */
