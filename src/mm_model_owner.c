/* mm_model_owner: owners of upstreams in the model: their queues and
   reports.  */
#include "mm_model_priv.h"

#include "mm_placement.h"

bool
mm_model_is_lost (const model *m, const upstream *u)
{
  double second = m->now_ms / 1000;
  return m->load->lost_for_s > 0 && u->datacentre == 0
         && second >= m->load->lost_from_s
         && second < m->load->lost_from_s + m->load->lost_for_s;
}

/* Returns what an owner reports, as mm_owner_report() does.  */
mm_capacity_report
mm_model_report_of (const model *m, const instance *n)
{
  mm_capacity_report r = { 0 };
  int64_t residuals[4096];
  size_t n_residuals = 0;
  double cpu = n->average_cpu_milli > 0 ? n->average_cpu_milli
                                        : m->load->upstream_cpu_milli;
  double capacity = 0;
  for (guint i = 0; i < n->upstreams->len; i++)
    {
      const upstream *u = n->upstreams->pdata[i];
      if (mm_model_is_lost (m, u))
        continue;
      capacity += m->load->upstream_cpu_milli;
      if (m->load->rule == MM_DISPATCH_MOST_FREE)
        r.places += (uint32_t)(m->load->upstream_cpu_milli / cpu);
      r.free += (uint32_t)((double)u->free_milli / cpu);
      if (n_residuals < G_N_ELEMENTS (residuals))
        residuals[n_residuals++] = u->free_milli;
    }
  if (m->load->rule != MM_DISPATCH_MOST_FREE)
    r.places = (uint32_t)(capacity / cpu);
  mm_residuals_fill (&r.residuals, residuals, n_residuals);
  r.task_ms = (uint32_t)n->average_place_ms;
  for (guint i = 0; i < n->waiting->len; i++)
    {
      const task *t = n->waiting->pdata[i];
      int64_t priority = m->load->kinds[t->job->kind].priority;
      r.waiting++;
      r.waiting_by_priority[MIN (priority, MM_PRIORITY_LEVELS - 1)]++;
    }
  return r;
}

void
mm_model_update_average (double *average, double value, double gain)
{
  *average = *average > 0 ? *average + gain * (value - *average) : value;
}

/* Starts a task at the upstream that mm_placement chooses.  Returns false when
   it fits nowhere.  */
static bool
start_task (model *m, instance *n, task *t)
{
  guint n_upstreams = n->upstreams->len;
  mm_placement_candidate *c = g_new0 (mm_placement_candidate, n_upstreams);
  for (guint i = 0; i < n_upstreams; i++)
    {
      const upstream *u = n->upstreams->pdata[i];
      c[i].allowed = !mm_model_is_lost (m, u);
      c[i].slowness = u->known_slowness;
      c[i].free_capacity
          = (mm_resources){ .cpu_milli = u->free_milli, .mem_mb = 1 };
    }
  mm_resources need = { .cpu_milli = t->cpu_milli };
  int best = mm_placement_choose (c, n_upstreams, &need);
  g_free (c);
  if (best < 0)
    return false;
  mm_model_result *r = &m->results[t->job->kind];
  t->on = n->upstreams->pdata[best];
  t->on->free_milli -= t->cpu_milli;
  t->started_ms = m->now_ms;
  r->started++;
  r->wait_ms += m->now_ms - t->job->submitted_ms;
  mm_model_push_event (
      m, (event){ .at_ms = m->now_ms + t->run_ms * t->on->slowness,
                  .kind = EVENT_END,
                  .task = t });
  return true;
}

/* Returns whether @a goes before @b in an owner's queue, as in mm_owner.  */
static bool
goes_before (const model *m, const task *a, const task *b)
{
  int64_t pa = m->load->kinds[a->job->kind].priority;
  int64_t pb = m->load->kinds[b->job->kind].priority;
  if (pa != pb)
    return pa < pb;
  if (a->job->on_time_start_ms != b->job->on_time_start_ms)
    return a->job->on_time_start_ms < b->job->on_time_start_ms;
  return a->arrival < b->arrival;
}

static void
enqueue (model *m, instance *n, task *t)
{
  guint i = 0;
  while (i < n->waiting->len && goes_before (m, n->waiting->pdata[i], t))
    i++;
  g_ptr_array_insert (n->waiting, (gint)i, t);
  t->waiting = true;
}

/* Starts the waiting tasks that fit.  */
void
mm_model_start_waiting (model *m, instance *n)
{
  uint32_t misses = 0;
  for (guint i = 0; i < n->waiting->len && misses < MM_OWNER_MAX_MISSES;)
    {
      task *t = n->waiting->pdata[i];
      if (start_task (m, n, t))
        {
          t->waiting = false;
          g_ptr_array_remove_index (n->waiting, i);
        }
      else
        {
          misses++;
          i++;
        }
    }
}

void
mm_model_leave_queue (instance *n, task *t)
{
  if (t->waiting)
    g_ptr_array_remove (n->waiting, t);
  t->waiting = false;
}

/* A task has arrived at an owner.  */
void
mm_model_on_handed (model *m, instance *n, task *t)
{
  if (t->job->over)
    return;
  t->accepted_ms = m->now_ms;
  t->arrival = ++m->n_arrivals;
  mm_model_update_average (&n->average_cpu_milli, (double)t->cpu_milli,
                           MM_AVERAGE_GAIN);
  enqueue (m, n, t);
  mm_model_start_waiting (m, n);
  if (t->waiting)
    mm_model_push_event (m, (event){ .at_ms = t->start_by_ms,
                                     .kind = EVENT_EXPIRE,
                                     .task = t,
                                     .instance = n });
}

/* A task has waited long enough at an owner.  */
void
mm_model_on_expire (model *m, instance *n, task *t)
{
  if (!t->waiting || t->at != n || t->start_by_ms > m->now_ms)
    return;
  mm_model_leave_queue (n, t);
  m->results[t->job->kind].returned++;
  t->returned_by = n;
  mm_model_push_event (
      m,
      (event){ .at_ms = m->now_ms + (n == t->job->home ? 0 : m->load->link_ms),
               .kind = EVENT_RETURN,
               .task = t });
}

/* Sends a report to the instances linked to this one.  */
void
mm_model_on_report (model *m, instance *n)
{
  mm_capacity_report r = mm_model_report_of (m, n);
  for (guint i = 0; i < n->readers->len; i++)
    {
      neighbour *reader = n->readers->pdata[i];
      reader->report = r;
      g_array_set_size (reader->unseen, 0);
    }
  mm_model_push_event (m, (event){ .at_ms = m->now_ms + m->load->report_ms,
                                   .kind = EVENT_REPORT,
                                   .instance = n });
}
