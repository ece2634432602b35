/* mm_fleet: dispatches each task to the owner that mm_dispatch chooses.  */
#include "mm_fleet.h"

#include "config.h"
#include "mm_event.h"
#include "mm_metrics.h"
#include "mm_dispatch.h"

#include <string.h>

struct mm_fleet
{
  mm_owner *owner;
  mm_mesh *mesh;
  char *datacentre;
  double mean_task_ms;   /* moving average of run times */
  bool any_declared;     /* a declared run time was recorded */
  bool any_ended;        /* a task has ended: declared run times are ignored */
  mm_suspects *suspects; /* NULL: crashes are not tracked */
  const mm_evacuations *evacuations; /* NULL: there are none */
  mm_overload_state *overload;       /* NULL: overload control is off */
};

struct mm_dispatched_task
{
  mm_fleet *fleet;
  mm_work *work;          /* dispatched to this instance; else NULL */
  mm_remote_task *remote; /* dispatched to a peer; else NULL */
  mm_work_done done;
  void *ctx;
};

mm_fleet *
mm_fleet_create (mm_owner *owner, mm_mesh *mesh, const char *datacentre)
{
  mm_fleet *f = g_new0 (mm_fleet, 1);
  f->owner = owner;
  f->mesh = mesh;
  f->datacentre = g_strdup (datacentre);
  f->mean_task_ms = MM_TASK_ESTIMATE_MS;
  return f;
}

void
mm_fleet_destroy (mm_fleet *f)
{
  if (!f)
    return;
  g_free (f->datacentre);
  mm_overload_state_destroy (f->overload);
  g_free (f);
}

void
mm_fleet_set_suspects (mm_fleet *f, mm_suspects *s)
{
  f->suspects = s;
}

void
mm_fleet_set_evacuations (mm_fleet *f, const mm_evacuations *e)
{
  f->evacuations = e;
}

void
mm_fleet_set_overload_control (mm_fleet *f, bool on, mm_time_ms target_ms)
{
  mm_overload_state_destroy (f->overload);
  f->overload = on ? mm_overload_state_create (target_ms) : NULL;
}

const mm_overload_state *
mm_fleet_overload (const mm_fleet *f)
{
  return f->overload;
}

mm_suspect_action
mm_fleet_suspect_action (const mm_fleet *f, const mm_task_id *task)
{
  return mm_suspects_decide (f->suspects, task);
}

void
mm_fleet_record_given_up (const mm_fleet *f, const mm_task_id *task)
{
  char *upstreams = mm_suspects_crashed_names (f->suspects, task);
  mm_metrics_count (MM_CT_TASKS_GIVEN_UP);
  mm_log_event (MM_EV_TASK_GIVEN_UP, MM_TASK (task),
                MM_INT (mm_suspects_count_crashes (f->suspects, task)),
                MM_TEXT (upstreams));
  g_free (upstreams);
}

/* Fills @out, an array of MM_FLEET_MAX_OWNERS entries, with the capacity
   reports of this instance, always first, and of its connected peers.  Returns
   the number of entries filled.  */
static size_t
list_owners (const mm_fleet *f, const char *service,
             mm_mesh_peer_capacity *out)
{
  out[0].name = NULL; /* this instance */
  out[0].age_ms = 0;
  out[0].datacentre = f->datacentre;
  out[0].capacity = mm_owner_report (f->owner, service);
  return 1
         + mm_mesh_peer_capacities (f->mesh, service, out + 1,
                                    MM_FLEET_MAX_OWNERS - 1);
}

/* Returns whether a service for which no capacity is reported has none because
   of evacuations: each data centre is evacuated, or its instances are
   connected and thus report that they have none.  */
static bool
is_evacuated (const mm_fleet *f)
{
  if (!mm_evacuations_any (f->evacuations))
    return false;
  const char *const *all = mm_evacuations_all (f->evacuations);
  for (size_t i = 0; all[i]; i++)
    if (!mm_evacuations_contain (f->evacuations, all[i])
        && strcmp (all[i], f->datacentre) != 0
        && mm_mesh_presence_in (f->mesh, all[i]).connected == 0)
      return false;
  return true;
}

void
mm_fleet_record_job (mm_fleet *f, const char *service, uint32_t priority,
                     uint32_t tasks)
{
  if (f->overload)
    mm_overload_state_record_job (f->overload, service, priority, tasks);
}

/* Sums up what @owners report of a priority.  */
static mm_overload_figures
sum_figures (const mm_mesh_peer_capacity *owners, size_t n, uint32_t priority)
{
  mm_overload_figures sum = { 0 };
  for (size_t i = 0; i < n; i++)
    mm_overload_figures_add (&sum, &owners[i].capacity, priority,
                             owners[i].age_ms);
  return sum;
}

/* Fills what overload control knows of a priority.  */
static void
fill_overload (const mm_fleet *f, const char *service, uint32_t priority,
               const mm_mesh_peer_capacity *owners, size_t n, mm_load *load)
{
  mm_time_ms now = mm_clock_now_ms ();
  mm_overload_figures sum = sum_figures (owners, n, priority);
  mm_overload_state_update (f->overload, service, priority, &sum, now);
  load->measured = mm_overload_state_is_short (f->overload, service, priority);
  load->waiting_same = sum.waiting;
  load->starts_per_s = sum.starts_per_s;
  load->least_tasks
      = mm_overload_state_least_tasks (f->overload, service, priority);
  if (mm_overload_state_is_on (f->overload, service, priority))
    load->overloaded_for_ms
        = now - mm_overload_state_since_ms (f->overload, service, priority);
}

void
mm_fleet_tick (mm_fleet *f)
{
  if (!f->overload)
    return;
  mm_mesh_peer_capacity owners[MM_FLEET_MAX_OWNERS];
  GList *services = mm_overload_state_services (f->overload);
  for (GList *l = services; l; l = l->next)
    {
      size_t n = list_owners (f, l->data, owners);
      for (uint32_t i = 0; i < MM_PRIORITY_LEVELS; i++)
        {
          mm_overload_figures sum = sum_figures (owners, n, i);
          mm_overload_state_update (f->overload, l->data, i, &sum,
                                    mm_clock_now_ms ());
        }
    }
  g_list_free (services);
}

mm_load
mm_fleet_load (const mm_fleet *f, const char *service, uint32_t priority,
               int64_t cpu_milli)
{
  mm_mesh_peer_capacity owners[MM_FLEET_MAX_OWNERS];
  size_t n = list_owners (f, service, owners);
  mm_load load = { .mean_task_ms = (mm_time_ms)f->mean_task_ms };
  /* Over the owners that report how long a task uses its place.  */
  double known_places = 0, run_ms_sum = 0;
  for (size_t i = 0; i < n; i++)
    {
      load.places += owners[i].capacity.places;
      load.free += mm_dispatch_count_fits (&owners[i].capacity, cpu_milli,
                                           MM_DISPATCH_RULE);
      load.waiting
          += mm_capacity_waiting_ahead (&owners[i].capacity, priority);
      load.age_ms = MAX (load.age_ms, owners[i].age_ms);
      if (owners[i].capacity.task_ms && owners[i].capacity.places)
        {
          known_places += owners[i].capacity.places;
          run_ms_sum += (double)owners[i].capacity.places
                        * owners[i].capacity.task_ms;
        }
    }
  load.evacuated = load.places == 0 && is_evacuated (f);
  /* The mean of this instance covers only runs that were done, while the
     owners' reports include the time used by other runs.  */
  if (MM_WITH_COST && known_places > 0)
    load.mean_task_ms
        = MAX (load.mean_task_ms, (mm_time_ms)(run_ms_sum / known_places));
  if (f->overload)
    fill_overload (f, service, priority, owners, n, &load);
  return load;
}

/* Updates the moving average of run times.  */
static void
record_run_time (mm_fleet *f, mm_time_ms run_ms)
{
  f->mean_task_ms += MM_MEAN_TASK_GAIN * ((double)run_ms - f->mean_task_ms);
}

/* Updates the mean run time from a task's declared run time, as long as no
   task dispatched by this instance has ended.  A fixed estimate would be far
   too long for a queue of short tasks: an instance that has just joined would
   refuse jobs that still have enough time.  Declared times are closer.  */
static void
record_declared_run_time (mm_fleet *f, mm_time_ms run_ms)
{
  if (f->any_ended || run_ms <= 0)
    return;
  if (!f->any_declared)
    f->mean_task_ms = (double)run_ms;
  f->any_declared = true;
  record_run_time (f, run_ms);
}

static void
on_done (void *ctx, const mm_work_result *r)
{
  mm_dispatched_task *t = ctx;
  /* Records the run time without the wait in the owner's queue.  With the
     wait, the estimated length of a queue would grow with the queue itself,
     and jobs that fit would be refused.  */
  if (r->how == MM_END_DONE)
    {
      t->fleet->any_ended = true;
      record_run_time (t->fleet, r->ran_ms);
    }
  t->done (t->ctx, r);
  g_free (t);
}

/**
 * mm_fleet_submit() - dispatch a task to this instance or a connected peer.
 * @f: the fleet.
 * @t: the task; copied.
 * @returned_by: the owner that has just returned the task without running it,
 *               "" for this instance, or NULL.
 * @done: called once, after this function has returned, unless the task is
 *        cancelled first.
 * @ctx: for @done.
 *
 * The task waits at the owner if no capacity is free there.
 *
 * Return: a handle valid until @done, or NULL when neither this instance nor a
 * connected peer reports any capacity for the service, free or in use.
 */
mm_dispatched_task *
mm_fleet_submit (mm_fleet *f, const mm_task_request *t,
                 const char *returned_by, mm_work_done done, void *ctx)
{
  record_declared_run_time (f, t->estimate_ms);
  mm_mesh_peer_capacity owners[MM_FLEET_MAX_OWNERS];
  mm_dispatch_candidate choices[MM_FLEET_MAX_OWNERS];
  size_t n = list_owners (f, t->service, owners);
  for (size_t i = 0; i < n; i++)
    {
      bool same_datacentre = strcmp (owners[i].datacentre, f->datacentre) == 0;
      choices[i].near = i == 0            ? MM_NEAR_SELF
                        : same_datacentre ? MM_NEAR_DATACENTRE
                                          : MM_NEAR_FAR;
      choices[i].returned_task
          = returned_by
            && strcmp (owners[i].name ? owners[i].name : "", returned_by) == 0;
      choices[i].capacity = owners[i].capacity;
      choices[i].capacity.waiting
          = mm_capacity_waiting_ahead (&owners[i].capacity, t->priority);
    }
  int best = mm_dispatch_choose (choices, n, t->resources.cpu_milli,
                                 MM_DISPATCH_RULE);
  if (best < 0)
    return NULL;
  mm_dispatched_task *handle = g_new0 (mm_dispatched_task, 1);
  handle->fleet = f;
  handle->done = done;
  handle->ctx = ctx;
  mm_metrics_count (MM_CT_TASKS_HANDED);
  mm_log_event (MM_EV_TASK_HANDED, MM_TASK (&t->id),
                MM_TEXT (best ? owners[best].name : "self"),
                MM_INT (owners[best].capacity.free),
                MM_INT (owners[best].capacity.waiting),
                MM_INT (owners[best].age_ms), MM_INT (t->attempt));
  if (best == 0)
    handle->work = mm_owner_submit (f->owner, t, on_done, handle);
  else
    handle->remote
        = mm_mesh_submit (f->mesh, owners[best].name, t, on_done, handle);
  return handle;
}

void
mm_fleet_cancel (mm_fleet *f, mm_dispatched_task *t)
{
  if (t->work)
    mm_owner_cancel (f->owner, t->work);
  else
    mm_mesh_cancel (f->mesh, t->remote);
  g_free (t);
}
