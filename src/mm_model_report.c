/* mm_model_report: capacity reports of owners in the model.  */
#include "mm_model_priv.h"

#include <math.h>

static void
update_residuals (instance *n)
{
  int64_t residuals[4096];
  size_t n_residuals = 0;
  for (guint i = 0; i < n->upstreams->len; i++)
    if (n->candidates[i].allowed && n_residuals < G_N_ELEMENTS (residuals))
      residuals[n_residuals++] = n->candidates[i].free_capacity.cpu_milli;
  mm_residuals_fill (&n->residuals, residuals, n_residuals);
  n->residuals_valid = true;
}

/* Sets the capacity in a report.  */
static void
report_capacity (const model *m, instance *n, mm_capacity_report *r)
{
  double cpu = n->average_cpu_milli > 0 ? n->average_cpu_milli
                                        : m->load->upstream_cpu_milli;
  double capacity = 0;
  for (guint i = 0; i < n->upstreams->len; i++)
    {
      const upstream *u = n->upstreams->pdata[i];
      if (!n->candidates[i].allowed)
        continue;
      capacity += (double)u->cpu_milli;
      if (m->load->rule == MM_DISPATCH_MOST_FREE)
        r->places += (uint32_t)((double)u->cpu_milli / cpu);
      r->free += (uint32_t)((double)u->free_milli / cpu);
    }
  if (m->load->rule != MM_DISPATCH_MOST_FREE)
    r->places = (uint32_t)(capacity / cpu);
  if (!n->residuals_valid)
    update_residuals (n);
  r->residuals = n->residuals;
}

/* Returns what an owner reports, as mm_owner_report() does.  */
const mm_capacity_report *
mm_model_report_of (const model *m, instance *n)
{
  if (n->report_valid)
    return &n->report;
  mm_capacity_report r = { .task_ms = (uint32_t)n->average_place_ms };
  report_capacity (m, n, &r);
  r.waiting = (uint32_t)lround (n->waiting_yielding);
  for (size_t i = 0; i < MM_PRIORITY_LEVELS; i++)
    {
      r.waiting_by_priority[i] = (uint32_t)lround (n->waiting_by_priority[i]);
      r.waiting += r.waiting_by_priority[i];
    }
  if (m->load->overload_control)
    mm_model_report_starts (m, n, &r);
  n->report = r;
  n->report_valid = true;
  return &n->report;
}

/* Sends a report to the instances linked to this one.  */
void
mm_model_on_report (model *m, instance *n)
{
  n->report_valid &= !m->load->overload_control;
  for (guint i = 0; i < n->readers->len; i++)
    {
      neighbour *reader = n->readers->pdata[i];
      reader->known = *mm_model_report_of (m, n);
      reader->known_ms = m->now_ms;
      reader->unseen_copies = 0;
    }
  mm_model_push_event (m, (event){ .at_ms = m->now_ms + m->load->report_ms,
                                   .kind = EVENT_REPORT,
                                   .instance = n });
}
