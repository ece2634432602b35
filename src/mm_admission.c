/* mm_admission: refuses a job on arrival when it would finish too late.

   Protects against bursts beyond the capacity of the upstreams.  Tasks that
   wait longer than their job's slack use capacity that other jobs need to
   be on time, and their callers wait in vain.  A refusal on arrival costs
   the caller no time and states when to retry.  */
#include "mm_admission.h"

#include "config.h"

#include <math.h>

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

/**
 * mm_admission_expected_wait_ms() - estimate the wait of a job's last task.
 * @load: known load and capacity of the job's service.
 * @tasks: number of tasks of the job that are ready to start.
 *
 * Assumes that places become free at an even rate over a task's run time.
 * The shortfall is the number of tasks that do not fit on arrival; the last
 * of them starts after about shortfall / places run times.
 *
 * Return: the wait in ms; MM_NO_OWNER_WAIT_MS while no owner reports capacity,
 * as none does during a handover.
 */
mm_time_ms
mm_admission_expected_wait_ms (const mm_load *load, uint32_t tasks)
{
  uint64_t ahead = (uint64_t)load->waiting + tasks;
  if (ahead <= load->free)
    return 0;
  if (load->places == 0)
    return MM_NO_OWNER_WAIT_MS;
  double shortfall = (double)(ahead - load->free);
  return (mm_time_ms)ceil (shortfall * (double)load->mean_task_ms
                           / (double)load->places);
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
  a.retry_after_s = load->places == 0 ? MM_RETRY_AFTER_NO_CAPACITY_S
                                      : (uint32_t)(1 + a.wait_ms / 1000);
  return a;
}
