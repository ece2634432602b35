/* mm_admission: refuse at once what would come too late.

   Answers the load of a burst over what the upstreams hold: tasks that
   wait longer than their job's slack take room from jobs that could
   still be on time, and their callers wait for nothing.  A refusal at
   arrival costs its caller no time and says when to come back.  */
#include "mm_admission.h"

#include "config.h"

#include <math.h>

/**
 * mm_admission_slack_ms() - time to spare.
 * @stretch: objective over the longest chain of work.
 * @slo_ms: added to that.
 * @chain_ms: the longest chain, as declared.
 *
 * Return: how long a job can wait for room and meet its objective, less
 * the way to the upstream and back.
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
 * mm_admission_limit_ms() - how long a job that was taken may wait.
 * @stretch: objective over the longest chain of work.
 * @slo_ms: added to that.
 * @chain_ms: the longest chain, as declared.
 *
 * An answer up to MM_LATE_FACTOR objectives after the job came is of use
 * to its caller.  Return: the wait that still allows for that.
 */
mm_time_ms
mm_admission_limit_ms (double stretch, mm_time_ms slo_ms, mm_time_ms chain_ms)
{
  double objective = stretch * (double)chain_ms + (double)slo_ms;
  return mm_admission_limit_of ((mm_time_ms)objective, chain_ms);
}

mm_time_ms
mm_admission_limit_of (mm_time_ms objective_ms, mm_time_ms chain_ms)
{
  double limit = MM_LATE_FACTOR * (double)objective_ms - (double)chain_ms;
  return MAX ((mm_time_ms)limit - MM_OVERHEAD_MS, 0);
}

/**
 * mm_admission_decide() - take a job or refuse it.
 * @load: the room for its service, as far as known.
 * @tasks: tasks that would start at once.
 * @slack_ms: from mm_admission_slack_ms().
 *
 * Places come free one by one, evenly over a task's run time: the last of
 * the tasks that find no room now starts after about shortfall / places
 * run times.
 */
mm_admission
mm_admission_decide (const mm_load *load, uint32_t tasks, mm_time_ms slack_ms)
{
  mm_admission a = { .take = true };
  uint64_t ahead = (uint64_t)load->waiting + tasks;
  if (ahead <= load->free || !MM_WITH_ADMISSION)
    return a;
  if (load->places == 0)
    {
      /* Upstreams that change hands are in nobody's sight for a moment.  */
      a.wait_ms = MM_OWNER_GAP_MS;
      a.take = a.wait_ms <= slack_ms;
      a.retry_after_s = MM_RETRY_AFTER_NO_ROOM_S;
      return a;
    }
  double shortfall = (double)(ahead - load->free);
  a.wait_ms = (mm_time_ms)ceil (shortfall * (double)load->mean_task_ms
                                / (double)load->places);
  a.take = a.wait_ms <= slack_ms;
  a.retry_after_s = (uint32_t)(1 + a.wait_ms / 1000);
  return a;
}
