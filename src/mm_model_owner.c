/* mm_model_owner: owners of upstreams in the model: their queues and
   reports.  */
#include "mm_model_priv.h"

bool
mm_model_is_lost (const model *m, const upstream *u)
{
  return m->datacentre_lost && u->datacentre == 0;
}

void
mm_model_update_upstream (const model *m, const upstream *u)
{
  mm_placement_candidate *c = &u->owner->candidates[u->index];
  c->allowed = !mm_model_is_lost (m, u);
  c->slowness = u->known_slowness;
  c->free_capacity = (mm_resources){ .cpu_milli = u->free_milli, .mem_mb = 1 };
  u->owner->report_valid = false;
  u->owner->residuals_valid = false;
}

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
      if (!n->candidates[i].allowed)
        continue;
      capacity += m->load->upstream_cpu_milli;
      if (m->load->rule == MM_DISPATCH_MOST_FREE)
        r->places += (uint32_t)(m->load->upstream_cpu_milli / cpu);
      r->free += (uint32_t)((double)n->candidates[i].free_capacity.cpu_milli
                            / cpu);
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
  mm_capacity_report r = { .waiting = n->waiting->len,
                           .task_ms = (uint32_t)n->average_place_ms };
  report_capacity (m, n, &r);
  for (size_t i = 0; i < MM_PRIORITY_LEVELS; i++)
    r.waiting_by_priority[i] = n->waiting_by_priority[i];
  n->report = r;
  n->report_valid = true;
  return &n->report;
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
  mm_resources need = { .cpu_milli = t->cpu_milli };
  int best = mm_placement_choose (n->candidates, n->upstreams->len, &need);
  if (best < 0)
    return false;
  mm_model_result *r = &m->results[t->job->kind];
  t->on = n->upstreams->pdata[best];
  t->on->free_milli -= t->cpu_milli;
  mm_model_update_upstream (m, t->on);
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

/* Returns the index in the queue of @t, or at which it is inserted.  */
static guint
find_turn (const model *m, const instance *n, const task *t)
{
  guint from = 0, to = n->waiting->len;
  while (from < to)
    {
      guint middle = from + (to - from) / 2;
      if (goes_before (m, n->waiting->pdata[middle], t))
        from = middle + 1;
      else
        to = middle;
    }
  return from;
}

static void
enqueue (const model *m, instance *n, task *t)
{
  g_ptr_array_insert (n->waiting, (gint)find_turn (m, n, t), t);
  t->waiting = true;
  n->waiting_by_priority[mm_model_priority_level (m, t)]++;
  n->report_valid = false;
}

/* Removes the task at that index from the queue.  */
static void
remove_waiting (const model *m, instance *n, guint i)
{
  task *t = n->waiting->pdata[i];
  t->waiting = false;
  g_ptr_array_remove_index (n->waiting, i);
  n->waiting_by_priority[mm_model_priority_level (m, t)]--;
  n->report_valid = false;
}

/* Returns the largest free capacity at one upstream.  */
static int64_t
largest_free_milli (const instance *n)
{
  int64_t largest = -1;
  for (guint i = 0; i < n->upstreams->len; i++)
    if (n->candidates[i].allowed)
      largest = MAX (largest, n->candidates[i].free_capacity.cpu_milli);
  return largest;
}

/* Starts the waiting tasks that fit.  */
void
mm_model_start_waiting (model *m, instance *n)
{
  if (n->waiting->len == 0)
    return;
  uint32_t misses = 0;
  int64_t largest_milli = largest_free_milli (n);
  for (guint i = 0; i < n->waiting->len && misses < MM_OWNER_MAX_MISSES;)
    {
      task *t = n->waiting->pdata[i];
      if (t->cpu_milli <= largest_milli && start_task (m, n, t))
        {
          remove_waiting (m, n, i);
          largest_milli = largest_free_milli (n);
        }
      else
        {
          misses++;
          i++;
        }
    }
}

void
mm_model_leave_queue (const model *m, instance *n, task *t)
{
  if (t->waiting)
    remove_waiting (m, n, find_turn (m, n, t));
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
  mm_model_leave_queue (m, n, t);
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
  for (guint i = 0; i < n->readers->len; i++)
    {
      neighbour *reader = n->readers->pdata[i];
      reader->known = *mm_model_report_of (m, n);
    }
  mm_model_push_event (m, (event){ .at_ms = m->now_ms + m->load->report_ms,
                                   .kind = EVENT_REPORT,
                                   .instance = n });
}
