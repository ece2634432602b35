/* mm_jobs_shedding: decides on waiting jobs that can no longer be on time.

   A job is decided on only while it is certain that none of its tasks has
   started.  A task dispatched with RUN may start at any moment, so the
   decision is deferred until the task is returned.  Tasks of the job that are
   returned before it wait here if the decision could be to shed the job;
   otherwise the tasks of a job would be returned and dispatched in turns, and
   the job would be held until its limit.  */
#include "mm_jobs_priv.h"

#include "config.h"
#include "mm_event.h"
#include "mm_metrics.h"
#include "mm_shedding.h"

#include <string.h>

/* Whether tasks of a job have started.  */
typedef enum
{
  STARTED_NONE,    /* certainly none */
  STARTED_UNKNOWN, /* a task was dispatched with RUN a moment ago */
  STARTED_LIKELY   /* a task has started, or most likely has */
} started;

/* The load that jobs of a service and priority meet, computed once a tick.  */
typedef struct
{
  char *service;
  uint32_t priority;
  mm_time_ms at_ms; /* when computed */
  mm_load load;
  mm_time_ms wait_ms; /* expected wait */
  /* Smallest size of a task that is ready, of the jobs that were decided on
     since @at_ms.  */
  int64_t least_cpu_milli;
} known_load;

static void
known_load_free (gpointer p)
{
  g_free (((known_load *)p)->service);
  g_free (p);
}

void
mm_jobs_shedding_destroy (mm_jobs *j)
{
  g_list_free_full (j->known_loads, known_load_free);
}

void
mm_jobs_set_shedding (mm_jobs *j, bool on)
{
  j->shedding = on;
}

/* Returns whether a task may have run before.  One that waits for a verdict
   ran on an upstream that was lost, maybe when the job was sent to another
   instance.  */
static bool
may_have_run_before (const task *t)
{
  return t->may_have_run || t->wait == WAIT_VERDICT;
}

bool
mm_jobs_may_have_run (const job *b)
{
  for (uint32_t i = 0; i < b->n_tasks; i++)
    {
      const task *t = &b->tasks[i];
      if (may_have_run_before (t)
          || (t->handle && mm_fleet_may_have_started (t->handle)))
        return true;
    }
  return false;
}

static started
started_of (const job *b, mm_time_ms now)
{
  started s = STARTED_NONE;
  for (uint32_t i = 0; i < b->n_tasks; i++)
    {
      const task *t = &b->tasks[i];
      if (may_have_run_before (t))
        return STARTED_LIKELY;
      if (!t->handle || !mm_fleet_may_have_started (t->handle))
        continue;
      if (now - t->dispatched_ms >= MM_SHEDDING_DEFER_MS)
        return STARTED_LIKELY;
      s = STARTED_UNKNOWN;
    }
  return s;
}

static known_load *
find_load (mm_jobs *j, const char *service, uint32_t priority)
{
  for (GList *l = j->known_loads; l; l = l->next)
    {
      known_load *k = l->data;
      if (k->priority == priority && strcmp (k->service, service) == 0)
        return k;
    }
  known_load *k = g_new0 (known_load, 1);
  k->service = g_strdup (service);
  k->priority = priority;
  k->at_ms = -MM_EXEC_TICK_MS;
  k->least_cpu_milli = G_MAXINT64;
  j->known_loads = g_list_prepend (j->known_loads, k);
  return k;
}

/* Returns the load that @b meets.  All jobs of a priority get the same, so
   that large jobs are not shed more often than small ones: capacity counts as
   free if the smallest of their tasks fits.  The tasks of @b that wait at
   owners are counted in the load; one more is added, since those that wait
   here are not.  */
static const known_load *
load_of (const job *b, mm_time_ms now)
{
  int64_t cpu_milli = mm_submission_largest_cpu_milli (b->submission);
  known_load *k = find_load (b->jobs, b->service, b->priority);
  cpu_milli = MIN (cpu_milli, k->least_cpu_milli);
  k->least_cpu_milli = cpu_milli;
  if (now - k->at_ms < MM_EXEC_TICK_MS)
    return k;
  k->load = mm_fleet_load (b->jobs->fleet, b->service, b->priority, cpu_milli);
  k->wait_ms = mm_admission_expected_wait_ms (&k->load, 1);
  k->at_ms = now;
  k->least_cpu_milli = G_MAXINT64;
  return k;
}

/* Without an owner in reach no wait is known: the capacity is most likely
   being handed over, and back within a tick or two.  */
static mm_shedding_verdict
decide (const job *b, const known_load *k, mm_time_ms now)
{
  mm_shedding_job in = { .now_ms = now,
                         .on_time_start_ms = b->on_time_start_ms,
                         .latest_start_ms = b->latest_start_ms,
                         .expected_wait_ms = k->load.places ? k->wait_ms : 0 };
  return mm_shedding_decide (&in);
}

static void
log_decision (const job *b, const known_load *k, mm_shedding_verdict v,
              mm_time_ms now)
{
  mm_log_event (
      MM_EV_JOB_SHED, MM_TEXT (b->submission->id), MM_TEXT (b->queue),
      MM_TEXT (mm_shedding_name (v)), MM_INT (now - b->submitted_ms),
      MM_INT (b->on_time_start_ms - now), MM_INT (b->latest_start_ms - now),
      MM_INT (k->wait_ms), MM_INT (k->load.overloaded_for_ms),
      MM_INT (k->load.places), MM_INT (k->load.waiting),
      MM_INT (k->load.age_ms + (now - k->at_ms)));
}

/* Answers a job of which no task has started as refused, and frees it.  The
   callers may retry when a new job could be accepted.  */
static void
reject (job *b, const known_load *k, mm_time_ms now)
{
  uint32_t retry_after_s
      = mm_admission_retry_after_s (&k->load, k->wait_ms, b->submission->id);
  mm_metrics_count (MM_CT_JOBS_SHED_REJECT);
  mm_metrics_time (MM_HG_SHED_WAIT, now - b->submitted_ms);
  log_decision (b, k, MM_SHEDDING_REJECT, now);
  const char *why = k->wait_ms > b->latest_start_ms - now
                        ? "no capacity is expected in time"
                        : "would come too late, and others wait";
  mm_jobs_answer (b, MM_ANSWER_REFUSED, why, retry_after_s);
}

/* Withdraws the reservations of a job of which no task has started; its tasks
   are to be dispatched again.  */
static void
withdraw (job *b)
{
  for (uint32_t i = 0; i < b->n_tasks; i++)
    {
      task *t = &b->tasks[i];
      if (!t->handle)
        continue;
      mm_fleet_cancel (b->jobs->fleet, g_steal_pointer (&t->handle));
      b->n_isolated -= t->isolated;
      t->isolated = false;
      mm_jobs_set_wait (t, WAIT_SHED);
    }
}

/* Sets whether the job's tasks yield from their next dispatch on.  */
static void
set_yields (job *b, bool yields, const known_load *k, mm_time_ms now)
{
  if (b->yields == yields)
    return;
  b->yields = yields;
  if (yields)
    mm_metrics_count (MM_CT_JOBS_SHED_YIELD);
  log_decision (b, k, yields ? MM_SHEDDING_YIELD : MM_SHEDDING_KEEP, now);
}

/* Dispatches the returned tasks of a job with a started task, in their former
   turn: what it has run would be lost.  */
static void
go_on (job *b, mm_time_ms now)
{
  if (b->yields)
    set_yields (b, false, load_of (b, now), now);
  if (b->n_waiting[WAIT_SHED] && now >= b->latest_start_ms)
    mm_jobs_give_up (b, "no room in time");
  else
    mm_jobs_dispatch_waiting (b, WAIT_SHED);
}

/* Dispatches the returned tasks of a job that may have started, unless it
   would be shed if it has not.  */
static void
go_on_or_defer (job *b, mm_time_ms now)
{
  if (!b->n_waiting[WAIT_SHED])
    return;
  mm_shedding_verdict v = decide (b, load_of (b, now), now);
  if (v == MM_SHEDDING_KEEP || (v == MM_SHEDDING_YIELD && b->yields))
    mm_jobs_dispatch_waiting (b, WAIT_SHED);
}

/* Decides on a job; frees it if it is rejected or given up.  */
static void
decide_on (job *b, mm_time_ms now)
{
  const known_load *k;
  mm_shedding_verdict v;
  switch (started_of (b, now))
    {
    case STARTED_LIKELY:
      go_on (b, now);
      break;
    case STARTED_UNKNOWN:
      go_on_or_defer (b, now);
      break;
    case STARTED_NONE:
      k = load_of (b, now);
      v = decide (b, k, now);
      if (v == MM_SHEDDING_REJECT)
        {
          reject (b, k, now);
          break;
        }
      /* Reservations that were made before do not yield.  */
      if (v == MM_SHEDDING_YIELD && !b->yields)
        withdraw (b);
      set_yields (b, v == MM_SHEDDING_YIELD, k, now);
      mm_jobs_dispatch_waiting (b, WAIT_SHED);
      break;
    }
}

void
mm_jobs_shed (mm_jobs *j, mm_time_ms now)
{
  GList *jobs = g_hash_table_get_values (j->by_id);
  for (GList *l = jobs; l; l = l->next)
    decide_on (l->data, now);
  g_list_free (jobs);
}

void
mm_jobs_shed_returned (task *t, mm_time_ms now)
{
  mm_jobs_set_wait (t, WAIT_SHED);
  decide_on (t->job, now);
}

mm_jobs_shedding_state
mm_jobs_measure_shedding (const mm_jobs *j)
{
  mm_jobs_shedding_state s = { .on = j->shedding };
  GHashTableIter it;
  gpointer v;
  g_hash_table_iter_init (&it, j->by_id);
  while (g_hash_table_iter_next (&it, NULL, &v))
    {
      const job *b = v;
      s.yielding += b->yields;
      s.deferred += b->n_waiting[WAIT_SHED] > 0;
    }
  return s;
}
