/* mm_model_overload: overload control in the model.  */
#include "mm_model_priv.h"

/* All kinds of job use the same upstreams.  */
#define SERVICE "model"

void
mm_model_record_start (const model *m, instance *n, const task *t)
{
  if (m->load->overload_control)
    mm_overload_record_start (
        n->starts, SERVICE, mm_model_priority_level (m, t),
        (mm_time_ms)(m->now_ms - t->job->submitted_ms), (mm_time_ms)m->now_ms);
}

void
mm_model_report_starts (const model *m, const instance *n,
                        mm_capacity_report *r)
{
  mm_time_ms oldest_wait_ms[MM_PRIORITY_LEVELS] = { 0 };
  guint first = 0;
  for (size_t p = 0; p < MM_PRIORITY_LEVELS; p++)
    {
      if (n->n_waiting[p] == 0)
        continue;
      /* The first one in the queue is among those that wait longest.  At least
         1 ms, as 0 stands for no waiting task.  */
      const work *w = n->waiting->pdata[first];
      mm_time_ms wait_ms
          = (mm_time_ms)(m->now_ms - w->task->job->submitted_ms);
      oldest_wait_ms[p] = MAX (wait_ms, 1);
      first += n->n_waiting[p];
    }
  mm_overload_fill_report (n->starts, SERVICE, oldest_wait_ms,
                           (mm_time_ms)m->now_ms, r);
}

/* Updates the state of a priority from the reports known to @n, and returns
   their sums.  */
static mm_overload_figures
update_level (const model *m, instance *n, const mm_dispatch_candidate *c,
              size_t count, uint32_t level)
{
  mm_overload_figures sum = { 0 };
  for (size_t i = 0; i < count; i++)
    {
      double at_ms = i ? ((neighbour *)n->neighbours->pdata[i - 1])->known_ms
                       : m->now_ms;
      mm_overload_figures_add (&sum, &c[i].capacity, level,
                               (mm_time_ms)(m->now_ms - at_ms));
    }
  mm_overload_state_update (n->overloads, SERVICE, level, &sum,
                            (mm_time_ms)m->now_ms);
  return sum;
}

void
mm_model_update_overloads (const model *m, instance *n)
{
  mm_dispatch_candidate c[MM_FLEET_MAX_OWNERS];
  size_t count = mm_model_list_owners (m, n, c);
  for (uint32_t p = 0; p < MM_PRIORITY_LEVELS; p++)
    update_level (m, n, c, count, p);
}

void
mm_model_record_job (const model *m, const job *j)
{
  if (m->load->overload_control)
    mm_overload_state_record_job (j->home->overloads, SERVICE,
                                  mm_model_priority_level (m, &j->tasks[0]),
                                  j->n_tasks);
}

bool
mm_model_is_overloaded (const instance *n, uint32_t level)
{
  return mm_overload_state_is_on (n->overloads, SERVICE, level);
}

void
mm_model_fill_measured (const model *m, instance *home,
                        const mm_dispatch_candidate *c, size_t n,
                        uint32_t level, mm_load *load)
{
  mm_overload_figures sum = update_level (m, home, c, n, level);
  const mm_overload_state *s = home->overloads;
  load->measured = mm_overload_state_is_short (s, SERVICE, level);
  load->waiting_same = sum.waiting;
  load->starts_per_s = sum.starts_per_s;
  load->least_wait_ms = mm_overload_figures_wait_ms (&sum);
  load->least_tasks = mm_overload_state_least_tasks (s, SERVICE, level);
  if (mm_overload_state_is_on (s, SERVICE, level))
    load->overloaded_for_ms = (mm_time_ms)m->now_ms
                              - mm_overload_state_since_ms (s, SERVICE, level);
}
