/* mm_fleet: dispatches each task to the owner that mm_dispatch chooses.  */
#include "mm_fleet.h"

#include "config.h"
#include "mm_event.h"
#include "mm_metrics.h"
#include "mm_dispatch.h"
#include "mm_reservation.h"
#include "mm_reservation_set.h"

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
  mm_owner_finder *finder;           /* NULL: there is none */
  bool late_binding;                 /* see mm_fleet_set_late_binding() */
  uint32_t reservations;             /* owners that a task reserves at */
  GQueue *reserving;                 /* mm_dispatched_task that have a @set */
  GQueue *expiring;            /* the same, taken out by mm_fleet_tick() */
  mm_overload_state *overload; /* NULL: overload control is off */
};

struct mm_dispatched_task
{
  mm_fleet *fleet;
  mm_work *work;           /* dispatched to this instance; else NULL */
  mm_remote_task *remote;  /* dispatched to a peer; else NULL */
  mm_reservation_set *set; /* late binding; else NULL */
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
  f->reserving = g_queue_new ();
  f->expiring = g_queue_new ();
  return f;
}

void
mm_fleet_destroy (mm_fleet *f)
{
  if (!f)
    return;
  g_queue_free (f->reserving);
  g_queue_free (f->expiring);
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
mm_fleet_set_finder (mm_fleet *f, mm_owner_finder *finder)
{
  f->finder = finder;
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
  out[0].kinds = NULL;
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
  load->least_wait_ms = mm_overload_figures_wait_ms (&sum);
  load->least_tasks
      = mm_overload_state_least_tasks (f->overload, service, priority);
  if (mm_overload_state_is_on (f->overload, service, priority))
    load->overloaded_for_ms
        = now - mm_overload_state_since_ms (f->overload, service, priority);
}

static void
tick_overload (mm_fleet *f)
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

/* Frees the handle of a dispatch that has ended or is cancelled.  */
static void
free_dispatched (mm_dispatched_task *t)
{
  if (t->set)
    {
      g_queue_remove (t->fleet->reserving, t);
      g_queue_remove (t->fleet->expiring, t);
      mm_reservation_set_destroy (t->set);
    }
  g_free (t);
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
  free_dispatched (t);
}

void
mm_fleet_set_late_binding (mm_fleet *f, bool on, uint32_t reservations)
{
  f->late_binding = on;
  f->reservations = MIN (reservations, MM_RESERVATIONS_MAX);
}

/* ---- reservations (mm_reservation_port) --------------------------------- */

static void *
port_reserve (void *ctx, const char *owner, const mm_task_request *t,
              uint32_t copies, mm_work_offered offered, mm_work_done done,
              void *done_ctx)
{
  mm_fleet *f = ctx;
  if (!owner)
    return mm_owner_reserve (f->owner, t, copies, offered, done, done_ctx);
  return mm_mesh_reserve (f->mesh, owner, t, copies, offered, done, done_ctx);
}

static void
port_accept (void *ctx, const char *owner, void *handle, const char *payload)
{
  mm_fleet *f = ctx;
  if (!owner)
    mm_owner_accept (f->owner, handle, payload);
  else
    mm_mesh_accept (f->mesh, handle, payload);
}

static void
port_cancel (void *ctx, const char *owner, void *handle)
{
  mm_fleet *f = ctx;
  if (!owner)
    mm_owner_cancel (f->owner, handle);
  else
    mm_mesh_cancel (f->mesh, handle);
}

/* Returns whether a task may reserve.  Tasks of kept jobs and isolated ones
   are bound at once: their homes track at which owner they may be.  */
static bool
may_reserve (const mm_fleet *f, const mm_task_request *t)
{
  return f->late_binding && !t->kept && !t->isolated && !t->running_at;
}

/* Returns whether a task reserves instead of being sent to the owner @best,
   the best choice.  */
static bool
binds_late (const mm_fleet *f, const mm_task_request *t,
            const mm_returns *returns, const mm_dispatch_candidate *best)
{
  if (!may_reserve (f, t))
    return false;
  /* Tasks that wait ahead take the free capacity that a report still
     shows.  */
  return returns || best->capacity.waiting > 0
         || mm_dispatch_count_fits (&best->capacity, t->resources.cpu_milli,
                                    MM_DISPATCH_RULE)
                == 0;
}

/* Reserves for a task at several owners.  Returns NULL when none of them is
   connected.  */
static mm_dispatched_task *
reserve (mm_fleet *f, const mm_task_request *t,
         const mm_mesh_peer_capacity *owners,
         const mm_dispatch_candidate *choices, size_t n, mm_work_done done,
         void *ctx)
{
  size_t chosen[MM_RESERVATIONS_MAX];
  const char *names[MM_RESERVATIONS_MAX];
  size_t n_chosen
      = mm_reservation_choose (choices, n, f->reservations, chosen);
  if (n_chosen == 0)
    return NULL;
  for (size_t i = 0; i < n_chosen; i++)
    names[i] = owners[chosen[i]].name;
  mm_task_request r = *t;
  r.start_within_ms = t->useful_within_ms
                          ? MIN (t->useful_within_ms, MM_RESERVATION_MS)
                          : MM_RESERVATION_MS;
  const mm_mesh_peer_capacity *nearest = &owners[chosen[0]];
  mm_log_event (MM_EV_TASK_RESERVED, MM_TASK (&t->id), MM_INT (n_chosen),
                MM_TEXT (nearest->name ? nearest->name : "self"),
                MM_INT (nearest->capacity.free),
                MM_INT (nearest->capacity.waiting), MM_INT (nearest->age_ms),
                MM_INT (t->attempt));
  mm_dispatched_task *handle = g_new0 (mm_dispatched_task, 1);
  handle->fleet = f;
  handle->done = done;
  handle->ctx = ctx;
  mm_reservation_port port = { .reserve = port_reserve,
                               .accept = port_accept,
                               .cancel = port_cancel,
                               .ctx = f };
  handle->set = mm_reservation_set_create (&port, &r, names, n_chosen, on_done,
                                           handle);
  if (!handle->set)
    {
      g_free (handle);
      return NULL;
    }
  mm_metrics_count (MM_CT_TASKS_HANDED);
  g_queue_push_tail (f->reserving, handle);
  return handle;
}

/* Returns whether an owner has upstreams that may run the task, or is not
   known to have none.  */
static bool
suits (const mm_fleet *f, const mm_mesh_peer_capacity *owner,
       const mm_task_request *t)
{
  if (!owner->name)
    return mm_owner_suits (f->owner, t);
  return !owner->kinds || mm_upstream_kinds_any_suits (owner->kinds, t);
}

/* Returns whether a linked owner suits the task, or may do so.  */
static bool
any_owner_suits (const mm_fleet *f, const mm_task_request *t)
{
  if (mm_owner_suits (f->owner, t))
    return true;
  mm_mesh_peer_capacity peers[MM_FLEET_MAX_OWNERS];
  size_t n = mm_mesh_peer_capacities (f->mesh, t->service, peers,
                                      MM_FLEET_MAX_OWNERS);
  for (size_t i = 0; i < n; i++)
    if (suits (f, &peers[i], t))
      return true;
  return false;
}

bool
mm_fleet_excludes (const mm_fleet *f, const char *service,
                   const mm_submission *s)
{
  for (uint32_t i = 0; f->finder && i < s->n_steps; i++)
    {
      mm_task_request t = { .service = service,
                            .label = s->steps[i].label,
                            .resources = s->steps[i].resources };
      if (s->steps[i].count > 0 && !any_owner_suits (f, &t)
          && mm_owner_finder_excludes (f->finder, &t))
        return true;
    }
  return false;
}

/* Returns whether the task can use only some upstreams of its service.  Of the
   others it is not checked which owners suit them: for each dispatch that
   would cost a thin instance more than it can save.  */
static bool
needs_a_kind (const mm_task_request *t)
{
  return t->label || t->resources.gpus > 0;
}

/* Returns whether a return of the task shows that the owner's free capacity is
   of no use to it.  Most returns only mean that a report was out of date.  But
   reports do not tell labels and GPUs apart, and a task of a kept job waits
   longer for a start than a report is old.  */
static bool
is_selective (const mm_task_request *t)
{
  return t->kept || needs_a_kind (t);
}

/* Returns whether owners that are not linked may be able to run the task: no
   linked one is, or those with its label return it.  @best: index of the
   chosen owner, -1: none.  */
static bool
needs_more_owners (const mm_task_request *t, const mm_dispatch_candidate *c,
                   int best)
{
  return needs_a_kind (t) && (best < 0 || c[best].n_misfits > 0);
}

/**
 * mm_fleet_submit() - dispatch a task to this instance or a connected peer.
 * @f: the fleet.
 * @t: the task; copied.
 * @returns: the owners that have returned the task since it waits, or NULL.
 * @done: called once, after this function has returned, unless the task is
 *        cancelled first.
 * @ctx: for @done.
 *
 * The task waits at the owner if no capacity is free there.  With late binding
 * it reserves at several owners instead, see mm_fleet_set_late_binding().
 *
 * Return: a handle valid until @done, or NULL when no owner that suits the
 * task, this instance or a connected peer, reports any capacity for the
 * service, free or in use.
 */
mm_dispatched_task *
mm_fleet_submit (mm_fleet *f, const mm_task_request *t,
                 const mm_returns *returns, mm_work_done done, void *ctx)
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
      choices[i].unsuited = needs_a_kind (t) && !suits (f, &owners[i], t);
      choices[i].returned_task = mm_returns_last_by (returns, owners[i].name);
      choices[i].n_misfits
          = is_selective (t) ? mm_returns_count (returns, owners[i].name) : 0;
      choices[i].capacity = owners[i].capacity;
      /* All waiting tasks go before one that yields.  */
      if (!t->yields)
        choices[i].capacity.waiting
            = mm_capacity_waiting_ahead (&owners[i].capacity, t->priority);
    }
  int best = mm_dispatch_choose (choices, n, t->resources.cpu_milli,
                                 MM_DISPATCH_RULE);
  if (f->finder && needs_more_owners (t, choices, best))
    mm_owner_finder_find (f->finder, t);
  if (best < 0)
    return NULL;
  if (binds_late (f, t, returns, &choices[best]))
    return reserve (f, t, owners, choices, n, done, ctx);
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
  /* A task that does not fit waits in several queues rather than in one.  */
  mm_task_request r = *t;
  if (may_reserve (f, t))
    r.start_within_ms = 0;
  if (best == 0)
    handle->work = mm_owner_submit (f->owner, t, on_done, handle);
  else
    handle->remote
        = mm_mesh_submit (f->mesh, owners[best].name, &r, on_done, handle);
  return handle;
}

void
mm_fleet_cancel (mm_fleet *f, mm_dispatched_task *t)
{
  if (t->work)
    mm_owner_cancel (f->owner, t->work);
  else if (t->remote)
    mm_mesh_cancel (f->mesh, t->remote);
  free_dispatched (t);
}

bool
mm_fleet_may_have_started (const mm_dispatched_task *t)
{
  return !t->set || mm_reservation_set_accepted (t->set);
}

uint32_t
mm_fleet_count_reserving (const mm_fleet *f)
{
  uint32_t n = 0;
  for (GList *l = f->reserving->head; l; l = l->next)
    n += !mm_fleet_may_have_started (l->data);
  return n;
}

/* The due tasks are taken out first, because the callback of one of them may
   cancel others and dispatch it again.  */
static void
tick_reservations (mm_fleet *f)
{
  mm_time_ms now = mm_clock_now_ms ();
  GList *next;
  for (GList *l = f->reserving->head; l; l = next)
    {
      next = l->next;
      if (!mm_reservation_set_is_due (((mm_dispatched_task *)l->data)->set,
                                      now))
        continue;
      g_queue_unlink (f->reserving, l);
      g_queue_push_tail_link (f->expiring, l);
    }
  mm_dispatched_task *t;
  while ((t = g_queue_pop_head (f->expiring)))
    /* A callback may have freed capacity that was offered to this one.  */
    if (mm_reservation_set_is_due (t->set, now))
      mm_reservation_set_expire (t->set);
    else
      g_queue_push_tail (f->reserving, t);
}

void
mm_fleet_tick (mm_fleet *f)
{
  tick_overload (f);
  tick_reservations (f);
}
