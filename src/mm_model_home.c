/* mm_model_home: the instances that accept jobs in the model and dispatch
   their tasks.  */
#include "mm_model_priv.h"

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
      /* At level 0, as the priority of these tasks is not known.  */
      r->waiting++;
      r->waiting_by_priority[0]++;
      r->waiting_unseen++;
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

size_t
mm_model_list_owners (const model *m, instance *n, mm_dispatch_candidate *out)
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

void
mm_model_answer (model *m, job *j, size_t outcome)
{
  mm_model_result *r = &m->results[j->kind];
  double held_ms = m->now_ms - j->submitted_ms;
  j->over = true;
  j->outcome = outcome;
  if (outcome == offsetof (mm_model_outcomes, rejected))
    r->rejected_held_ms += held_ms;
  if (outcome == offsetof (mm_model_outcomes, given_up))
    r->given_up_held_ms += held_ms;
  for (uint32_t i = 0; i < j->n_tasks; i++)
    {
      task *t = &j->tasks[i];
      mm_model_cancel_reservations (m, t, NULL);
      if (!t->bound || t->bound->state != WORK_WAITING)
        continue;
      mm_model_cancel_waiting (m, t->bound);
      t->bound = NULL;
    }
}

bool
mm_model_may_have_started (const job *j)
{
  for (uint32_t i = 0; i < j->n_tasks; i++)
    if (j->tasks[i].started || j->tasks[i].bound)
      return true;
  return false;
}

/* Sets what the choice of an owner for @t depends on.  */
static void
prepare_candidates (const model *m, const task *t, mm_dispatch_candidate *c,
                    size_t n)
{
  const instance *home = t->job->home;
  for (size_t i = 0; i < n; i++)
    {
      const instance *owner
          = i ? ((neighbour *)home->neighbours->pdata[i - 1])->of : home;
      /* Without residual capacities, the comparisons are faster and have the
         same results.  */
      if (!any_fits (&c[i].capacity.residuals, t->cpu_milli))
        c[i].capacity.residuals.n = 0;
      c[i].returned_task = owner == t->returned_by;
      c[i].capacity.waiting = mm_capacity_waiting_ahead (
          &c[i].capacity, (uint32_t)m->load->kinds[t->job->kind].priority);
    }
}

/* Returns whether a task reserves instead of being sent to the owner @best,
   the best choice.  */
static bool
binds_late (const model *m, const task *t, const mm_dispatch_candidate *best)
{
  if (!m->load->late_binding)
    return false;
  return t->returned_by || best->capacity.waiting > 0
         || best->capacity.residuals.n == 0;
}

/* Sends a task to the owner with that index in the list of owners.  */
static void
send_run (model *m, task *t, int index)
{
  instance *home = t->job->home;
  double wait_ms = MIN (m->load->owner_wait_ms,
                        MAX (t->job->latest_start_ms - m->now_ms, 1));
  neighbour *x = index ? home->neighbours->pdata[index - 1] : NULL;
  if (x)
    take_known_capacity (&x->known, t->cpu_milli);
  m->results[t->job->kind].handed++;
  t->bound = mm_model_work_new (m, t, x ? x->of : home);
  double arrival_ms = m->now_ms + mm_model_link_ms (m, t->bound);
  t->bound->start_by_ms = arrival_ms + wait_ms;
  mm_model_hand (m, t->bound, arrival_ms);
}

void
mm_model_dispatch (model *m, task *t)
{
  mm_dispatch_candidate c[MM_FLEET_MAX_OWNERS];
  size_t n = mm_model_list_owners (m, t->job->home, c);
  prepare_candidates (m, t, c, n);
  int best = mm_dispatch_choose (c, n, t->cpu_milli, m->load->rule);
  if (best < 0)
    mm_model_push_event (m, (event){ .at_ms = m->now_ms + MM_EXEC_TICK_MS,
                                     .kind = EVENT_AGAIN,
                                     .task = t });
  else if (binds_late (m, t, &c[best]))
    mm_model_reserve (m, t, c, n);
  else
    send_run (m, t, best);
}

/* A task without an owner is dispatched, or its job is given up.  */
void
mm_model_on_again (model *m, task *t)
{
  job *j = t->job;
  if (j->over)
    return;
  if (m->now_ms < j->latest_start_ms)
    mm_model_dispatch (m, t);
  else
    mm_model_answer (m, j, offsetof (mm_model_outcomes, given_up));
}

/* Work is back at its home without a start.  */
void
mm_model_on_return (model *m, work *w)
{
  task *t = w->task;
  bool was_bound = t->bound == w;
  if (was_bound)
    {
      t->bound = NULL;
      t->returned_by = w->owner;
    }
  bool was_last = mm_model_forget_reservation (t, w) && t->n_reservations == 0;
  mm_model_work_free (m, w);
  if (was_bound || was_last)
    {
      t->round++;
      mm_model_on_again (m, t);
    }
}

mm_load
mm_model_known_load (const model *m, instance *home, int kind,
                     int64_t cpu_milli)
{
  mm_dispatch_candidate c[MM_FLEET_MAX_OWNERS];
  size_t n = mm_model_list_owners (m, home, c);
  mm_load load = { .mean_task_ms = (mm_time_ms)home->mean_task_ms };
  uint32_t priority = (uint32_t)m->load->kinds[kind].priority;
  uint32_t level = MIN (priority, MM_PRIORITY_LEVELS - 1);
  double known_places = 0, run_ms_sum = 0;
  for (size_t i = 0; i < n; i++)
    {
      const mm_capacity_report *r = &c[i].capacity;
      load.places += r->places;
      load.free += mm_dispatch_count_fits (r, cpu_milli, m->load->rule);
      load.waiting += mm_capacity_waiting_ahead (r, priority);
      known_places += r->task_ms ? r->places : 0;
      run_ms_sum += (double)r->places * r->task_ms;
    }
  if (known_places > 0)
    load.mean_task_ms
        = MAX (load.mean_task_ms, (mm_time_ms)(run_ms_sum / known_places));
  if (m->load->overload_control)
    mm_model_fill_measured (m, home, c, n, level, &load);
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

/* A job arrives, and the next one of its kind is scheduled.  */
void
mm_model_on_job (model *m, int kind)
{
  const mm_model_kind *k = &m->load->kinds[kind];
  double next_ms = m->now_ms + mm_model_next_interval_ms (m, k);
  if (next_ms < m->load->length_s * 1000)
    mm_model_push_event (
        m, (event){ .at_ms = next_ms, .kind = EVENT_JOB, .job_kind = kind });
  job *j = mm_model_draw_job (m, kind);
  int64_t cpu_milli = j->tasks[0].cpu_milli;
  if (!j->home->any_ended && j->home->mean_task_ms == MM_TASK_ESTIMATE_MS)
    j->home->mean_task_ms = j->tasks[0].estimate_ms;
  mm_load load = mm_model_known_load (m, j->home, kind, cpu_milli);
  mm_model_record_job (m, j);
  mm_admission a = mm_admission_decide (
      &load, j->n_tasks, (mm_time_ms)(j->on_time_start_ms - m->now_ms));
  if (!a.accept)
    {
      m->results[kind].refused_though_free
          += count_all_fits (m, cpu_milli) >= j->n_tasks;
      mm_model_answer (m, j, offsetof (mm_model_outcomes, refused));
      return;
    }
  if (m->load->overload_control)
    g_ptr_array_add (j->home->open, j);
  for (uint32_t i = 0; i < j->n_tasks; i++)
    mm_model_dispatch (m, &j->tasks[i]);
}

/* Returns what became of a job whose last task has just ended.  */
static size_t
outcome_of (const model *m, const job *j)
{
  double took_ms = m->now_ms - j->submitted_ms;
  if (took_ms <= j->objective_ms)
    return offsetof (mm_model_outcomes, on_time);
  return took_ms <= MM_LATE_FACTOR * j->objective_ms
             ? offsetof (mm_model_outcomes, late)
             : offsetof (mm_model_outcomes, given_up);
}

/* Records the capacity that a run has used.  */
static void
record_use (model *m, const task *t)
{
  double milli_ms = (m->now_ms - t->started_ms) * (double)t->cpu_milli;
  if (m->now_ms < m->load->length_s * 1000)
    m->busy_milli_ms += milli_ms;
  m->results[t->job->kind].used_milli_ms += milli_ms;
  t->job->used_milli_ms += milli_ms;
}

/* A run has ended.  */
void
mm_model_on_end (model *m, task *t)
{
  job *j = t->job;
  instance *n = t->on->owner;
  double ran_ms = m->now_ms - t->started_ms;
  t->on->free_milli += t->cpu_milli;
  record_use (m, t);
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
  mm_model_answer (m, j, outcome_of (m, j));
  if (j->outcome == offsetof (mm_model_outcomes, on_time))
    m->results[j->kind].on_time_milli_ms += j->used_milli_ms;
}
