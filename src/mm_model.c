/* mm_model: simulates the arrival of jobs, the dispatch of their tasks to
   owners and their runs at upstreams.  */
#include "mm_model.h"

#include "mm_admission.h"
#include "mm_placement.h"

#include <math.h>
#include <string.h>

typedef struct model model;
typedef struct job job;
typedef struct instance instance;

typedef struct
{
  instance *owner;
  int datacentre;
  int64_t free_milli;
  double slowness;       /* run times, relative to the declared ones */
  double known_slowness; /* as the owner has measured it */
} upstream;

typedef struct
{
  job *job;
  int64_t cpu_milli;
  double run_ms;      /* on an upstream that is not slow */
  double estimate_ms; /* declared */
  instance *at;       /* owner in whose queue it waits */
  double accepted_ms; /* by that owner */
  double start_by_ms; /* returned then */
  bool waiting;
  upstream *on;
  double started_ms;
  instance *returned_by;
  uint64_t arrival;
} task;

struct job
{
  int kind;
  instance *home;
  double submitted_ms;
  double objective_ms;
  double on_time_start_ms; /* latest start that meets the objective */
  double latest_start_ms;  /* a later one is of no use */
  uint32_t n_tasks, n_left;
  bool over;
  task *tasks;
};

/* A report that an instance has of another one.  */
typedef struct
{
  instance *of;
  mm_capacity_report report;
  GArray *unseen; /* int64_t: cpu of the tasks sent since the last report */
} neighbour;

struct instance
{
  int index;
  int datacentre;
  GPtrArray *upstreams;  /* owned */
  GPtrArray *waiting;    /* task, in the order of the queue */
  GPtrArray *neighbours; /* neighbour */
  GPtrArray *readers;    /* neighbour of other instances that stands for it */
  double average_cpu_milli;
  double average_place_ms;
  double mean_task_ms;
  bool any_ended;
};

typedef enum
{
  EVENT_JOB,    /* the next job of a kind arrives */
  EVENT_HANDED, /* a task arrives at an owner */
  EVENT_EXPIRE, /* a task has waited long enough at an owner */
  EVENT_RETURN, /* a task arrives back at its home */
  EVENT_END,    /* a run ends */
  EVENT_REPORT  /* an owner reports */
} event_kind;

typedef struct
{
  double at_ms;
  uint64_t number; /* order of events at the same time */
  event_kind kind;
  int job_kind;
  task *task;
  instance *instance;
} event;

struct model
{
  const mm_model_load *load;
  mm_model_result *results;
  GRand *random;
  GArray *heap; /* event, a binary heap */
  uint64_t n_events, n_arrivals;
  double now_ms;
  GPtrArray *instances, *upstreams, *jobs;
  double busy_milli_ms; /* capacity in use, summed over time */
};

/* ---- events ----------------------------------------------------------- */

static bool
is_earlier (const event *a, const event *b)
{
  return a->at_ms != b->at_ms ? a->at_ms < b->at_ms : a->number < b->number;
}

static event *
event_at (model *m, guint i)
{
  return &g_array_index (m->heap, event, i);
}

static void
swap_events (model *m, guint i, guint k)
{
  event e = *event_at (m, i);
  *event_at (m, i) = *event_at (m, k);
  *event_at (m, k) = e;
}

static void
push_event (model *m, event e)
{
  e.number = m->n_events++;
  g_array_append_val (m->heap, e);
  for (guint i = m->heap->len - 1; i > 0; i = (i - 1) / 2)
    {
      if (!is_earlier (event_at (m, i), event_at (m, (i - 1) / 2)))
        break;
      swap_events (m, i, (i - 1) / 2);
    }
}

static event
pop_event (model *m)
{
  event first = *event_at (m, 0);
  *event_at (m, 0) = *event_at (m, m->heap->len - 1);
  g_array_set_size (m->heap, m->heap->len - 1);
  for (guint i = 0, child = 1; child < m->heap->len; child = 2 * i + 1)
    {
      if (child + 1 < m->heap->len
          && is_earlier (event_at (m, child + 1), event_at (m, child)))
        child++;
      if (!is_earlier (event_at (m, child), event_at (m, i)))
        break;
      swap_events (m, i, child);
      i = child;
    }
  return first;
}

/* ---- random numbers --------------------------------------------------- */

/* Returns a value of a log-normal distribution with this mean and relative
   standard deviation.  */
static double
spread_around (model *m, double mean, double spread)
{
  double u = 1 - g_rand_double (m->random), v = g_rand_double (m->random);
  double normal = sqrt (-2 * log (u)) * cos (2 * G_PI * v);
  double variance = log (1 + spread * spread);
  return mean * exp (normal * sqrt (variance) - variance / 2);
}

static double
next_interval_ms (model *m, const mm_model_kind *k)
{
  double second = m->now_ms / 1000;
  bool burst = second >= m->load->burst_from_s
               && second < m->load->burst_from_s + m->load->burst_for_s;
  double per_ms = k->per_s * (burst ? k->burst : 1) / 1000;
  return -log (1 - g_rand_double (m->random)) / per_ms;
}

/* ---- owners ----------------------------------------------------------- */

static bool
is_lost (const model *m, const upstream *u)
{
  double second = m->now_ms / 1000;
  return m->load->lost_for_s > 0 && u->datacentre == 0
         && second >= m->load->lost_from_s
         && second < m->load->lost_from_s + m->load->lost_for_s;
}

/* Returns what an owner reports, as mm_owner_report() does.  */
static mm_capacity_report
report_of (const model *m, const instance *n)
{
  mm_capacity_report r = { 0 };
  int64_t rooms[4096];
  size_t n_rooms = 0;
  double cpu = n->average_cpu_milli > 0 ? n->average_cpu_milli
                                        : m->load->upstream_cpu_milli;
  double capacity = 0;
  for (guint i = 0; i < n->upstreams->len; i++)
    {
      const upstream *u = n->upstreams->pdata[i];
      if (is_lost (m, u))
        continue;
      capacity += m->load->upstream_cpu_milli;
      if (m->load->rule == MM_DISPATCH_MOST_FREE)
        r.places += (uint32_t)(m->load->upstream_cpu_milli / cpu);
      r.free += (uint32_t)((double)u->free_milli / cpu);
      if (n_rooms < G_N_ELEMENTS (rooms))
        rooms[n_rooms++] = u->free_milli;
    }
  if (m->load->rule != MM_DISPATCH_MOST_FREE)
    r.places = (uint32_t)(capacity / cpu);
  mm_rooms_fill (&r.rooms, rooms, n_rooms);
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

static void
update_average (double *average, double value, double gain)
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
      c[i].allowed = !is_lost (m, u);
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
  push_event (m, (event){ .at_ms = m->now_ms + t->run_ms * t->on->slowness,
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
static void
start_waiting (model *m, instance *n)
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

static void
leave_queue (instance *n, task *t)
{
  if (t->waiting)
    g_ptr_array_remove (n->waiting, t);
  t->waiting = false;
}

/* A task has arrived at an owner.  */
static void
on_handed (model *m, instance *n, task *t)
{
  if (t->job->over)
    return;
  t->accepted_ms = m->now_ms;
  t->arrival = ++m->n_arrivals;
  update_average (&n->average_cpu_milli, (double)t->cpu_milli,
                  MM_AVERAGE_GAIN);
  enqueue (m, n, t);
  start_waiting (m, n);
  if (t->waiting)
    push_event (m, (event){ .at_ms = t->start_by_ms,
                            .kind = EVENT_EXPIRE,
                            .task = t,
                            .instance = n });
}

/* A task has waited long enough at an owner.  */
static void
on_expire (model *m, instance *n, task *t)
{
  if (!t->waiting || t->at != n || t->start_by_ms > m->now_ms)
    return;
  leave_queue (n, t);
  m->results[t->job->kind].returned++;
  t->returned_by = n;
  push_event (
      m,
      (event){ .at_ms = m->now_ms + (n == t->job->home ? 0 : m->load->link_ms),
               .kind = EVENT_RETURN,
               .task = t });
}

/* Sends a report to the instances linked to this one.  */
static void
on_report (model *m, instance *n)
{
  mm_capacity_report r = report_of (m, n);
  for (guint i = 0; i < n->readers->len; i++)
    {
      neighbour *reader = n->readers->pdata[i];
      reader->report = r;
      g_array_set_size (reader->unseen, 0);
    }
  push_event (m, (event){ .at_ms = m->now_ms + m->load->report_ms,
                          .kind = EVENT_REPORT,
                          .instance = n });
}

/* ---- homes ------------------------------------------------------------ */

/* Returns the capacity of a neighbour as known at its home: the last report,
   less the tasks sent since.  */
static mm_capacity_report
known_capacity (const neighbour *x)
{
  mm_capacity_report r = x->report;
  for (guint i = 0; i < x->unseen->len; i++)
    {
      mm_rooms_take (&r.rooms, g_array_index (x->unseen, int64_t, i));
      if (r.free > 0)
        r.free--;
      else
        {
          r.waiting++;
          r.waiting_by_priority[0]++;
        }
    }
  return r;
}

/* Fills @out with what @n knows of itself and its neighbours.  Returns the
   number of entries.  */
static size_t
list_owners (const model *m, const instance *n, mm_dispatch_candidate *out)
{
  out[0] = (mm_dispatch_candidate){ .near = MM_NEAR_SELF,
                                    .capacity = report_of (m, n) };
  size_t count = 1;
  for (guint i = 0; i < n->neighbours->len; i++)
    {
      const neighbour *x = n->neighbours->pdata[i];
      out[count++]
          = (mm_dispatch_candidate){ .near = x->of->datacentre == n->datacentre
                                                 ? MM_NEAR_DATACENTRE
                                                 : MM_NEAR_FAR,
                                     .capacity = known_capacity (x) };
    }
  return count;
}

static void
end_job (job *j)
{
  j->over = true;
  for (uint32_t i = 0; i < j->n_tasks; i++)
    if (j->tasks[i].at)
      leave_queue (j->tasks[i].at, &j->tasks[i]);
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
      c[i].returned_task = owner == t->returned_by;
      c[i].capacity.waiting = mm_capacity_waiting_ahead (
          &c[i].capacity, (uint32_t)m->load->kinds[t->job->kind].priority);
    }
  int best = mm_dispatch_choose (c, n, t->cpu_milli, m->load->rule);
  double wait_ms = MIN (m->load->owner_wait_ms,
                        MAX (t->job->latest_start_ms - m->now_ms, 1));
  if (best < 0)
    {
      push_event (m, (event){ .at_ms = m->now_ms + MM_EXEC_TICK_MS,
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
      g_array_append_val (x->unseen, t->cpu_milli);
      delay_ms = m->load->link_ms;
    }
  t->start_by_ms = m->now_ms + delay_ms + wait_ms;
  push_event (m, (event){ .at_ms = m->now_ms + delay_ms,
                          .kind = EVENT_HANDED,
                          .task = t,
                          .instance = t->at });
}

/* A task is back at its home without a start.  */
static void
on_return (model *m, task *t)
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
  end_job (j);
}

/* Returns the known load for a job, as mm_fleet_load() does.  */
static mm_load
known_load (const model *m, const instance *home, const job *j)
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
      if (!is_lost (m, u))
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
  double width = round (spread_around (m, k->width, 0.4));
  j->n_tasks = j->n_left = (uint32_t)MAX (width, 1);
  j->tasks = g_new0 (task, j->n_tasks);
  double longest_ms = 0, declared_ms = 0;
  double cpu = spread_around (m, k->cpu_milli, k->cpu_spread);
  cpu = CLAMP (cpu, 1, m->load->upstream_cpu_milli);
  for (uint32_t i = 0; i < j->n_tasks; i++)
    {
      task *t = &j->tasks[i];
      t->job = j;
      t->cpu_milli = (int64_t)cpu;
      double run_ms = spread_around (m, k->run_ms, k->run_spread);
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
static void
on_job (model *m, int kind)
{
  const mm_model_kind *k = &m->load->kinds[kind];
  double next_ms = m->now_ms + next_interval_ms (m, k);
  if (next_ms < m->load->length_s * 1000)
    push_event (
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
      r->refused_with_room
          += count_all_fits (m, j->tasks[0].cpu_milli) >= j->n_tasks;
      j->over = true;
      return;
    }
  for (uint32_t i = 0; i < j->n_tasks; i++)
    dispatch (m, &j->tasks[i]);
}

/* A run has ended.  */
static void
on_end (model *m, task *t)
{
  job *j = t->job;
  instance *n = t->on->owner;
  double ran_ms = m->now_ms - t->started_ms;
  t->on->free_milli += t->cpu_milli;
  if (m->now_ms < m->load->length_s * 1000)
    m->busy_milli_ms += ran_ms * (double)t->cpu_milli;
  t->on->known_slowness
      += MM_SLOWNESS_GAIN * (ran_ms / t->estimate_ms - t->on->known_slowness);
  update_average (&n->average_place_ms, ran_ms, MM_AVERAGE_GAIN);
  j->home->any_ended = true;
  j->home->mean_task_ms
      += MM_MEAN_TASK_GAIN * (ran_ms - j->home->mean_task_ms);
  start_waiting (m, n);
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

/* ---- set-up ----------------------------------------------------------- */

static void
neighbour_free (gpointer p)
{
  neighbour *x = p;
  g_array_free (x->unseen, TRUE);
  g_free (x);
}

static void
instance_free (gpointer p)
{
  instance *n = p;
  g_ptr_array_free (n->upstreams, TRUE);
  g_ptr_array_free (n->waiting, TRUE);
  g_ptr_array_free (n->neighbours, TRUE);
  g_ptr_array_free (n->readers, TRUE);
  g_free (n);
}

static void
job_free (gpointer p)
{
  g_free (((job *)p)->tasks);
  g_free (p);
}

static instance *
instance_new (int index, int datacentre)
{
  instance *n = g_new0 (instance, 1);
  n->index = index;
  n->datacentre = datacentre;
  n->upstreams = g_ptr_array_new ();
  n->waiting = g_ptr_array_new ();
  n->neighbours = g_ptr_array_new_with_free_func (neighbour_free);
  n->readers = g_ptr_array_new ();
  n->mean_task_ms = MM_TASK_ESTIMATE_MS;
  return n;
}

/* Links an instance to @count others, in its own data centre if @near, else in
   the others.  */
static void
link_to_some (model *m, instance *n, bool near, uint32_t count)
{
  guint first
      = (guint)g_rand_int_range (m->random, 0, (gint32)m->instances->len);
  for (guint i = 0; i < m->instances->len && count > 0; i++)
    {
      instance *other = m->instances->pdata[(first + i) % m->instances->len];
      if (other == n || (other->datacentre == n->datacentre) != near)
        continue;
      neighbour *x = g_new0 (neighbour, 1);
      x->of = other;
      x->unseen = g_array_new (FALSE, FALSE, sizeof (int64_t));
      g_ptr_array_add (n->neighbours, x);
      g_ptr_array_add (other->readers, x);
      count--;
    }
}

static void
create_site (model *m)
{
  const mm_model_load *load = m->load;
  int64_t n_instances = load->one_owner ? 1 : load->instances;
  for (int i = 0; i < n_instances; i++)
    g_ptr_array_add (m->instances,
                     instance_new (i, (int)(i % load->datacentres)));
  for (int i = 0; i < load->upstreams; i++)
    {
      upstream *u = g_new0 (upstream, 1);
      u->owner = m->instances->pdata[i % n_instances];
      u->datacentre = (int)(i % load->datacentres);
      u->free_milli = (int64_t)load->upstream_cpu_milli;
      u->known_slowness = 1;
      u->slowness = g_rand_double (m->random) < load->slow_share
                        ? load->slow_factor
                        : 1;
      g_ptr_array_add (m->upstreams, u);
      g_ptr_array_add (u->owner->upstreams, u);
    }
  for (guint i = 0; i < m->instances->len; i++)
    {
      link_to_some (m, m->instances->pdata[i], true, MM_NEIGHBOURS_NEAR);
      link_to_some (m, m->instances->pdata[i], false, MM_NEIGHBOURS_FAR);
      push_event (
          m, (event){ .at_ms = load->report_ms * i / (double)m->instances->len,
                      .kind = EVENT_REPORT,
                      .instance = m->instances->pdata[i] });
    }
}

static void
handle (model *m, const event *e)
{
  switch (e->kind)
    {
    case EVENT_JOB:
      on_job (m, e->job_kind);
      break;
    case EVENT_HANDED:
      on_handed (m, e->instance, e->task);
      break;
    case EVENT_EXPIRE:
      on_expire (m, e->instance, e->task);
      break;
    case EVENT_RETURN:
      on_return (m, e->task);
      break;
    case EVENT_END:
      on_end (m, e->task);
      break;
    case EVENT_REPORT:
      on_report (m, e->instance);
      break;
    }
}

double
mm_model_play (const mm_model_load *load, mm_model_result *results)
{
  memset (results, 0, load->n_kinds * sizeof *results);
  model m = { .load = load, .results = results };
  m.random = g_rand_new_with_seed ((guint32)load->seed);
  m.heap = g_array_new (FALSE, FALSE, sizeof (event));
  m.instances = g_ptr_array_new_with_free_func (instance_free);
  m.upstreams = g_ptr_array_new_with_free_func (g_free);
  m.jobs = g_ptr_array_new_with_free_func (job_free);
  create_site (&m);
  for (size_t i = 0; i < load->n_kinds; i++)
    push_event (&m, (event){ .at_ms = load->report_ms,
                             .kind = EVENT_JOB,
                             .job_kind = (int)i });
  /* Jobs that are still open when the last ones have arrived are played to
     their ends.  */
  double end_ms = load->length_s * 1000 + 10000;
  while (m.heap->len && event_at (&m, 0)->at_ms < end_ms)
    {
      event e = pop_event (&m);
      m.now_ms = e.at_ms;
      handle (&m, &e);
    }
  double capacity = load->upstream_cpu_milli * (double)load->upstreams;
  double used = m.busy_milli_ms / (capacity * load->length_s * 1000);
  g_ptr_array_free (m.jobs, TRUE);
  g_ptr_array_free (m.instances, TRUE);
  g_ptr_array_free (m.upstreams, TRUE);
  g_array_free (m.heap, TRUE);
  g_rand_free (m.random);
  return used;
}
