/* mm_model_overload: what overload control measures in the model.  */
#include "mm_model_priv.h"

#define SLOT_MS ((double)MM_OVERLOAD_WINDOW_MS / WINDOW_SLOTS)

void
mm_model_record_start (model *m, instance *n, const task *t)
{
  start_window *w = &n->windows[mm_model_priority_level (m, t)];
  int64_t number = (int64_t)(m->now_ms / SLOT_MS);
  int i = (int)(number % WINDOW_SLOTS);
  double wait_ms = m->now_ms - t->job->submitted_ms;
  if (w->slot[i] != number)
    {
      w->slot[i] = number;
      w->starts[i] = 0;
      w->least_wait_ms[i] = wait_ms;
    }
  w->starts[i]++;
  w->least_wait_ms[i] = MIN (w->least_wait_ms[i], wait_ms);
}

void
mm_model_report_starts (const model *m, const instance *n,
                        mm_capacity_report *r)
{
  int64_t number = (int64_t)(m->now_ms / SLOT_MS);
  for (size_t p = 0; p < MM_PRIORITY_LEVELS; p++)
    {
      const start_window *w = &n->windows[p];
      uint32_t starts = 0;
      double least_ms = G_MAXDOUBLE;
      for (size_t i = 0; i < WINDOW_SLOTS; i++)
        if (w->starts[i] > 0 && w->slot[i] > number - WINDOW_SLOTS)
          {
            starts += w->starts[i];
            least_ms = MIN (least_ms, w->least_wait_ms[i]);
          }
      r->starts_per_s[p] = starts * 1000 / MM_OVERLOAD_WINDOW_MS;
      r->least_wait_ms[p] = starts ? (uint32_t)least_ms : 0;
    }
}

/* Returns the least wait of a priority, weighted by the owners' places.  An
   owner at which tasks wait and none has started counts as beyond any target;
   one without waiting tasks and starts says nothing.  */
static double
least_wait_ms (const model *m, const mm_dispatch_candidate *c, size_t n,
               size_t level)
{
  double sum = 0, places = 0;
  for (size_t i = 0; i < n; i++)
    {
      const mm_capacity_report *r = &c[i].capacity;
      bool any = r->starts_per_s[level] > 0;
      if (!any && r->waiting_by_priority[level] == 0)
        continue;
      places += r->places;
      sum += r->places
             * (any ? r->least_wait_ms[level]
                    : 2 * m->load->overload_target_ms);
    }
  return places > 0 ? sum / places : 0;
}

static void
update_overload (const model *m, overload *o, double wait_ms)
{
  double target_ms = m->load->overload_target_ms;
  bool other = o->on ? wait_ms < target_ms / 2 : wait_ms > target_ms;
  if (!other || !o->is_other)
    o->other_since_ms = m->now_ms;
  o->is_other = other;
  if (!other || m->now_ms - o->other_since_ms < MM_OVERLOAD_WINDOW_MS)
    return;
  o->on = !o->on;
  o->since_ms = m->now_ms;
  o->is_other = false;
}

void
mm_model_update_overloads (model *m, instance *n)
{
  mm_dispatch_candidate c[MM_FLEET_MAX_OWNERS];
  size_t count = mm_model_list_owners (m, n, c);
  for (size_t p = 0; p < MM_PRIORITY_LEVELS; p++)
    update_overload (m, &n->overloads[p], least_wait_ms (m, c, count, p));
}

void
mm_model_fill_measured (const model *m, const instance *home, uint32_t level,
                        mm_load *load)
{
  const overload *o = &home->overloads[level];
  load->measured = true;
  load->overloaded_for_ms
      = o->on ? MAX ((mm_time_ms)(m->now_ms - o->since_ms), 1) : 0;
}
