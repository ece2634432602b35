/* mm_admission: refuses a job on arrival when it would finish too late.

   Protects against bursts beyond the capacity of the upstreams.  Tasks that
   wait longer than their job's slack use capacity that other jobs need to
   be on time, and their callers wait in vain.  A refusal on arrival costs
   the caller no time and states when to retry.  */
#include "mm_admission.h"

#include "config.h"

#include <math.h>
#include <string.h>
#include <xxhash.h>

const char mm_admission_no_such_upstream[]
    = "no upstream has the label or the capacity";

/**
 * mm_admission_slack_ms() - time for which a job may wait and be on time.
 * @stretch: factor of the objective on @chain_ms.
 * @slo_ms: constant part of the objective.
 * @chain_ms: declared run time of the job's longest chain of steps.
 *
 * The objective is that the job ends @stretch * @chain_ms + @slo_ms after its
 * submission.
 *
 * Return: how long the job can wait for free capacity and still meet its
 * objective: the objective less the run time of the chain, and less
 * MM_OVERHEAD_MS for the calls to the upstream.
 */
mm_time_ms
mm_admission_slack_ms (double stretch, mm_time_ms slo_ms, mm_time_ms chain_ms)
{
  double slack = (stretch - 1.0) * (double)chain_ms + (double)slo_ms;
  return MAX ((mm_time_ms)slack - MM_OVERHEAD_MS, 0);
}

mm_time_ms
mm_admission_useful_ms (double stretch, mm_time_ms slo_ms, mm_time_ms chain_ms)
{
  return (mm_time_ms)(MM_LATE_FACTOR
                      * (stretch * (double)chain_ms + (double)slo_ms));
}

/**
 * mm_admission_limit_ms() - how long an accepted job may wait.
 * @stretch: factor of the objective on @chain_ms.
 * @slo_ms: constant part of the objective.
 * @chain_ms: declared run time of the job's longest chain of steps.
 *
 * An answer, though late, is of use to the caller until MM_LATE_FACTOR times
 * the objective has passed since the job was submitted.
 *
 * Return: the longest wait after which such an answer is still possible.
 */
mm_time_ms
mm_admission_limit_ms (double stretch, mm_time_ms slo_ms, mm_time_ms chain_ms)
{
  double objective = stretch * (double)chain_ms + (double)slo_ms;
  return mm_admission_limit_of_objective_ms ((mm_time_ms)objective, chain_ms);
}

mm_time_ms
mm_admission_limit_of_objective_ms (mm_time_ms objective_ms,
                                    mm_time_ms chain_ms)
{
  double limit = MM_LATE_FACTOR * (double)objective_ms - (double)chain_ms;
  return MAX ((mm_time_ms)limit - MM_OVERHEAD_MS, 0);
}

/* Returns the wait of a job's last task as estimated from the mean run time.
   It assumes that places become free at an even rate over a task's run time.
   The shortfall is the number of tasks that do not fit on arrival; the last
   of them starts after about shortfall / places run times.  */
static mm_time_ms
wait_by_run_time_ms (const mm_load *load, uint32_t tasks)
{
  if (load->places == 0)
    return MM_NO_OWNER_WAIT_MS;
  double shortfall = (double)load->waiting + tasks - load->free;
  return (mm_time_ms)ceil (shortfall * (double)load->mean_task_ms
                           / (double)load->places);
}

/* Returns the wait of a job's last task as measured: the tasks of its priority
   that wait and its own ones that do not fit, at the rate at which tasks of
   that priority start.  Higher priorities have had their share of the capacity
   already.  0: the rate says nothing, as none of them waits and places are
   free, or nothing was started for a time in which tasks that run may just not
   have ended.  */
static mm_time_ms
measured_wait_ms (const mm_load *load, uint32_t tasks)
{
  if (!load->waiting_same && (load->free || !load->starts_per_s))
    return 0;
  if (!load->starts_per_s)
    return load->least_wait_ms > MM_NO_START_FACTOR * load->mean_task_ms
               ? MM_NO_CAPACITY_WAIT_MS
               : 0;
  uint64_t ahead
      = (uint64_t)load->waiting_same + (tasks - MIN (tasks, load->free));
  return (mm_time_ms)MIN (ahead * 1000 / load->starts_per_s,
                          MM_NO_CAPACITY_WAIT_MS);
}

/**
 * mm_admission_expected_wait_ms() - estimate the wait of a job's last task.
 * @load: known load and capacity of the job's service.
 * @tasks: number of tasks of the job that are ready to start.
 *
 * The longer of the wait by the mean run time and, if the priority of the job
 * lacks capacity, the wait by the measured start rate.  Jobs of up to
 * @load->least_tasks tasks wait for the same time then, so that small ones are
 * not accepted in place of large ones.
 *
 * Return: the wait in ms; MM_NO_OWNER_WAIT_MS while no owner reports capacity,
 * as none does during a handover; MM_NO_CAPACITY_WAIT_MS while tasks of the
 * priority wait and none starts.
 */
mm_time_ms
mm_admission_expected_wait_ms (const mm_load *load, uint32_t tasks)
{
  uint64_t ahead = (uint64_t)load->waiting + tasks;
  if (ahead <= load->free)
    return 0;
  if (!load->measured)
    return wait_by_run_time_ms (load, tasks);
  uint32_t counted = MAX (tasks, load->least_tasks);
  return MAX (wait_by_run_time_ms (load, counted),
              measured_wait_ms (load, counted));
}

/**
 * mm_admission_retry_after_s() - when the caller of a refused job should
 * retry.
 * @load: known load and capacity of the job's service.
 * @wait_ms: expected wait of the job.
 * @job_id: id of the job.
 *
 * During an overload, the expected wait and the duration of the overload so
 * far, MM_RETRY_AFTER_MAX_S at most, and up to as much again, by a hash of the
 * job id: callers that were refused together do not all retry together.  The
 * longer an overload has lasted, the longer it is likely to go on.
 *
 * Return: the time in seconds, at least 1.
 */
uint32_t
mm_admission_retry_after_s (const mm_load *load, mm_time_ms wait_ms,
                            const char *job_id)
{
  if (load->places == 0)
    return MM_RETRY_AFTER_NO_CAPACITY_S;
  if (!load->overloaded_for_ms)
    return (uint32_t)(1
                      + (load->measured
                             ? MIN (wait_ms / 1000, MM_RETRY_AFTER_MAX_S - 1)
                             : wait_ms / 1000));
  mm_time_ms base_ms = CLAMP (wait_ms + load->overloaded_for_ms, 1000,
                              MM_RETRY_AFTER_MAX_S * 1000);
  mm_time_ms jitter_ms = (mm_time_ms)(XXH3_64bits (job_id, strlen (job_id))
                                      % (uint64_t)(base_ms + 1));
  return (uint32_t)((base_ms + jitter_ms + 999) / 1000);
}

/**
 * mm_admission_decide() - accept or refuse a job.
 * @load: known load and capacity of the job's service.
 * @tasks: number of tasks of the job that are ready to start.
 * @slack_ms: from mm_admission_slack_ms().
 *
 * Return: the decision, with the expected wait.
 */
mm_admission
mm_admission_decide (const mm_load *load, uint32_t tasks, mm_time_ms slack_ms)
{
  mm_admission a = { .accept = true, .why = "would come too late" };
  uint64_t ahead = (uint64_t)load->waiting + tasks;
  if (ahead <= load->free || !MM_WITH_ADMISSION)
    return a;
  if (load->evacuated)
    {
      a.accept = false;
      a.why = "the data centres are evacuated";
      a.retry_after_s = MM_RETRY_AFTER_NO_CAPACITY_S;
      return a;
    }
  a.wait_ms = mm_admission_expected_wait_ms (load, tasks);
  a.accept = a.wait_ms <= slack_ms;
  a.overload = !a.accept && wait_by_run_time_ms (load, tasks) <= slack_ms;
  if (a.overload)
    a.why = "overload: too many jobs of its priority wait";
  a.retry_after_s = mm_admission_retry_after_s (load, a.wait_ms, "");
  return a;
}
