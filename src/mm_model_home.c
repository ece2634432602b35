/* mm_model_home: the instances that accept jobs in the model and dispatch
   their tasks.  */
#include "mm_model_priv.h"

#include "mm_admission.h"

#include <math.h>

/* Takes a task that was sent to a neighbour from its known capacity, until the
   next report.  */
static void
take_known_capacity (mm_capacity_report *r, int64_t cpu_milli)
{
  mm_residuals_take (&r->residuals, cpu_milli);
  if (r->free > 0)
    r->free--;
  else
    {
      r->waiting++;
      r->waiting_by_priority[0]++;
    }
}

/* Returns whether a task of that size fits into one of the capacities.  */
static bool
any_fits (const mm_residuals *r, int64_t cpu_milli)
{
  for (uint32_t i = 0; i < r->n; i++)
    if (r->sizes[i] * r->unit_milli >= cpu_milli)
      return true;
  return false;
}

/* Fills @out with what @n knows of itself and its neighbours.  Returns the
   number of entries.  */
static size_t
list_owners (const model *m, instance *n, mm_dispatch_candidate *out)
{
  out[0] = (mm_dispatch_candidate){ .near = MM_NEAR_SELF,
                                    .capacity = *mm_model_report_of (m, n) };
  size_t count = 1;
  for (guint i = 0; i < n->neighbours->len; i++)
    {
      const neighbour *x = n->neighbours->pdata[i];
      out[count++]
          = (mm_dispatch_candidate){ .near = x->of->datacentre == n->datacentre
                                                 ? MM_NEAR_DATACENTRE
                                                 : MM_NEAR_FAR,
                                     .capacity = x->known };
    }
  return count;
}

static void
end_job (const model *m, job *j)
{
  j->over = true;
  for (uint32_t i = 0; i < j->n_tasks; i++)
    if (j->tasks[i].at)
      mm_model_leave_queue (m, j->tasks[i].at, &j->tasks[i]);
}

/* Sends a task to an owner.  */
static void
dispatch (model *m, task *t)
{
  instance *home = t->job->home;
  mm_dispatch_candidate c[MM_FLEET_MAX_OWNERS];
  size_t n = list_owners (m, home, c);
  for (size_t i = 0; i < n; i++)
    {
      instance *owner
          = i ? ((neighbour *)home->neighbours->pdata[i - 1])->of : home;
      /* Without capacities, the comparisons are fast and have the same
         results.  */
      if (!any_fits (&c[i].capacity.residuals, t->cpu_milli))
        c[i].capacity.residuals.n = 0;
      c[i].returned_task = owner == t->returned_by;
      c[i].capacity.waiting = mm_capacity_waiting_ahead (
          &c[i].capacity, (uint32_t)m->load->kinds[t->job->kind].priority);
    }
  int best = mm_dispatch_choose (c, n, t->cpu_milli, m->load->rule);
  double wait_ms = MIN (m->load->owner_wait_ms,
                        MAX (t->job->latest_start_ms - m->now_ms, 1));
  if (best < 0)
    {
      mm_model_push_event (m, (event){ .at_ms = m->now_ms + MM_EXEC_TICK_MS,
                                       .kind = EVENT_RETURN,
                                       .task = t });
      return;
    }
  m->results[t->job->kind].handed++;
  t->at = home;
  double delay_ms = 0;
  if (best > 0)
    {
      neighbour *x = home->neighbours->pdata[best - 1];
      t->at = x->of;
      take_known_capacity (&x->known, t->cpu_milli);
      delay_ms = m->load->link_ms;
    }
  t->start_by_ms = m->now_ms + delay_ms + wait_ms;
  mm_model_push_event (m, (event){ .at_ms = m->now_ms + delay_ms,
                                   .kind = EVENT_HANDED,
                                   .task = t,
                                   .instance = t->at });
}

/* A task is back at its home without a start.  */
void
mm_model_on_return (model *m, task *t)
{
  job *j = t->job;
  if (j->over)
    return;
  if (m->now_ms < j->latest_start_ms)
    {
      dispatch (m, t);
      return;
    }
  m->results[j->kind].given_up++;
  end_job (m, j);
}

/* Returns the known load for a job, as mm_fleet_load() does.  */
static mm_load
known_load (const model *m, instance *home, const job *j)
{
  mm_dispatch_candidate c[MM_FLEET_MAX_OWNERS];
  size_t n = list_owners (m, home, c);
  mm_load load = { .mean_task_ms = (mm_time_ms)home->mean_task_ms };
  double known_places = 0, run_ms_sum = 0;
  for (size_t i = 0; i < n; i++)
    {
      const mm_capacity_report *r = &c[i].capacity;
      load.places += r->places;
      load.free
          += mm_dispatch_count_fits (r, j->tasks[0].cpu_milli, m->load->rule);
      load.waiting += mm_capacity_waiting_ahead (
          r, (uint32_t)m->load->kinds[j->kind].priority);
      known_places += r->task_ms ? r->places : 0;
      run_ms_sum += (double)r->places * r->task_ms;
    }
  if (known_places > 0)
    load.mean_task_ms
        = MAX (load.mean_task_ms, (mm_time_ms)(run_ms_sum / known_places));
  return load;
}

/* Returns how many tasks of that size fit at all upstreams together.  */
static uint32_t
count_all_fits (const model *m, int64_t cpu_milli)
{
  uint32_t fits = 0;
  for (guint i = 0; i < m->upstreams->len; i++)
    {
      const upstream *u = m->upstreams->pdata[i];
      if (!mm_model_is_lost (m, u))
        fits += (uint32_t)(MAX (u->free_milli, 0) / cpu_milli);
    }
  return fits;
}

/* Draws a job of a kind.  */
static job *
job_draw (model *m, int kind)
{
  const mm_model_kind *k = &m->load->kinds[kind];
  job *j = g_new0 (job, 1);
  g_ptr_array_add (m->jobs, j);
  j->kind = kind;
  j->home = m->instances->pdata[g_rand_int_range (m->random, 0,
                                                  (gint32)m->instances->len)];
  j->submitted_ms = m->now_ms;
  double width = round (mm_model_spread_around (m, k->width, 0.4));
  j->n_tasks = j->n_left = (uint32_t)MAX (width, 1);
  j->tasks = g_new0 (task, j->n_tasks);
  double longest_ms = 0, declared_ms = 0;
  double cpu = mm_model_spread_around (m, k->cpu_milli, k->cpu_spread);
  cpu = CLAMP (cpu, 1, m->load->upstream_cpu_milli);
  for (uint32_t i = 0; i < j->n_tasks; i++)
    {
      task *t = &j->tasks[i];
      t->job = j;
      t->cpu_milli = (int64_t)cpu;
      double run_ms = mm_model_spread_around (m, k->run_ms, k->run_spread);
      t->run_ms = MAX (run_ms, 1);
      t->estimate_ms
          = t->run_ms
            * (1 + k->estimate_error * g_rand_double_range (m->random, -1, 1));
      longest_ms = MAX (longest_ms, t->run_ms);
      declared_ms = MAX (declared_ms, t->estimate_ms);
    }
  j->objective_ms = m->load->stretch * longest_ms + m->load->slo_ms;
  j->on_time_start_ms = m->now_ms
                        + (double)mm_admission_slack_ms (
                            m->load->stretch, (mm_time_ms)m->load->slo_ms,
                            (mm_time_ms)declared_ms);
  j->latest_start_ms = m->now_ms
                       + (double)mm_admission_limit_ms (
                           m->load->stretch, (mm_time_ms)m->load->slo_ms,
                           (mm_time_ms)declared_ms);
  return j;
}

/* A job arrives, and the next one of its kind is scheduled.  */
void
mm_model_on_job (model *m, int kind)
{
  const mm_model_kind *k = &m->load->kinds[kind];
  double next_ms = m->now_ms + mm_model_next_interval_ms (m, k);
  if (next_ms < m->load->length_s * 1000)
    mm_model_push_event (
        m, (event){ .at_ms = next_ms, .kind = EVENT_JOB, .job_kind = kind });
  mm_model_result *r = &m->results[kind];
  job *j = job_draw (m, kind);
  r->jobs++;
  if (!j->home->any_ended && j->home->mean_task_ms == MM_TASK_ESTIMATE_MS)
    j->home->mean_task_ms = j->tasks[0].estimate_ms;
  mm_load load = known_load (m, j->home, j);
  mm_admission a = mm_admission_decide (
      &load, j->n_tasks, (mm_time_ms)(j->on_time_start_ms - m->now_ms));
  if (!a.accept)
    {
      r->refused++;
      r->refused_though_free
          += count_all_fits (m, j->tasks[0].cpu_milli) >= j->n_tasks;
      j->over = true;
      return;
    }
  for (uint32_t i = 0; i < j->n_tasks; i++)
    dispatch (m, &j->tasks[i]);
}

/* A run has ended.  */
void
mm_model_on_end (model *m, task *t)
{
  job *j = t->job;
  instance *n = t->on->owner;
  double ran_ms = m->now_ms - t->started_ms;
  t->on->free_milli += t->cpu_milli;
  if (m->now_ms < m->load->length_s * 1000)
    m->busy_milli_ms += ran_ms * (double)t->cpu_milli;
  t->on->known_slowness
      += MM_SLOWNESS_GAIN * (ran_ms / t->estimate_ms - t->on->known_slowness);
  mm_model_update_average (&n->average_place_ms, ran_ms, MM_AVERAGE_GAIN);
  j->home->any_ended = true;
  j->home->mean_task_ms
      += MM_MEAN_TASK_GAIN * (ran_ms - j->home->mean_task_ms);
  mm_model_update_upstream (m, t->on);
  mm_model_start_waiting (m, n);
  if (--j->n_left > 0 || j->over)
    return;
  j->over = true;
  double took_ms = m->now_ms - j->submitted_ms;
  mm_model_result *r = &m->results[j->kind];
  if (took_ms <= j->objective_ms)
    r->on_time++;
  else if (took_ms <= MM_LATE_FACTOR * j->objective_ms)
    r->late++;
  else
    r->given_up++;
}
