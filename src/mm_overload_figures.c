/* mm_overload_figures: sums of the owners' reports of starts and waits.  */
#include "mm_overload_figures.h"

#include "config.h"

/**
 * mm_overload_figures_add() - add an owner's report.
 * @f: the sums.
 * @r: the report.
 * @priority: the priority; those beyond the last level share its figures.
 * @age_ms: age of the report.
 *
 * Left out are reports older than MM_OVERLOAD_REPORT_TTL_MS, and owners that
 * started no task of the priority and where none waits.  An owner that does
 * not measure, as overload control is off there, reports no wait for its
 * waiting tasks and is left out too: its starts are not known.
 */
void
mm_overload_figures_add (mm_overload_figures *f, const mm_capacity_report *r,
                         uint32_t priority, mm_time_ms age_ms)
{
  uint32_t level = MIN (priority, MM_PRIORITY_LEVELS - 1);
  if (age_ms > MM_OVERLOAD_REPORT_TTL_MS
      || (!r->starts_per_s[level] && !r->least_wait_ms[level]))
    return;
  uint32_t waiting = r->waiting_by_priority[level];
  /* Tasks sent since the report are counted at level 0 whatever their
     priority.  */
  if (level == 0)
    waiting -= MIN (waiting, r->waiting_unseen);
  uint32_t weight = MAX (r->places, 1);
  f->waiting += waiting;
  f->starts_per_s += r->starts_per_s[level];
  f->places += weight;
  f->owners++;
  f->wait_sum += (double)r->least_wait_ms[level] * weight;
  f->age_ms = MAX (f->age_ms, age_ms);
}

mm_time_ms
mm_overload_figures_wait_ms (const mm_overload_figures *f)
{
  return f->places ? (mm_time_ms)(f->wait_sum / f->places) : 0;
}

/**
 * mm_overload_figures_short() - tell whether a priority lacks capacity.
 * @f: sums over the owners.
 * @target_ms: least wait above which capacity is short.
 *
 * Without a standing queue, the start rate is the rate at which tasks arrive.
 * It says nothing on the capacity then: in a queue with one job a second, each
 * job would be refused.  A wait of few tasks may be that of one job; it counts
 * once it is as long as a window.
 *
 * Return: whether the least wait is above @target_ms, and known from at least
 * MM_OVERLOAD_MIN_STARTS starts or a wait of a whole window.
 */
bool
mm_overload_figures_short (const mm_overload_figures *f, mm_time_ms target_ms)
{
  mm_time_ms wait_ms = mm_overload_figures_wait_ms (f);
  uint64_t starts = (uint64_t)f->starts_per_s * MM_OVERLOAD_WINDOW_MS / 1000;
  return wait_ms > target_ms
         && (starts >= MM_OVERLOAD_MIN_STARTS
             || wait_ms >= MM_OVERLOAD_WINDOW_MS);
}
