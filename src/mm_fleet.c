/* mm_fleet: hand tasks to the owner that mm_spread chooses.  */
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
  double mean_task_ms;
  bool seen_any;         /* a task was handed out */
  bool seen_end;         /* it is observed; until then as declared */
  mm_suspects *suspects; /* NULL: not followed */
};

struct mm_ticket
{
  mm_fleet *fleet;
  mm_work *work;     /* here, or */
  mm_remote *remote; /* at a peer */
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
  f->mean_task_ms = MM_GUESS_TASK_MS;
  return f;
}

void
mm_fleet_destroy (mm_fleet *f)
{
  if (!f)
    return;
  g_free (f->datacentre);
  g_free (f);
}

void
mm_fleet_set_suspects (mm_fleet *f, mm_suspects *s)
{
  f->suspects = s;
}

mm_suspect_action
mm_fleet_decide (const mm_fleet *f, const mm_task_id *task)
{
  return mm_suspects_decide (f->suspects, task);
}

void
mm_fleet_note_given_up (const mm_fleet *f, const mm_task_id *task)
{
  char *upstreams = mm_suspects_crashed_names (f->suspects, task);
  mm_metrics_count (MM_CT_TASKS_GIVEN_UP);
  mm_log_event (MM_EV_TASK_GIVEN_UP, MM_TASK (task),
                MM_INT (mm_suspects_count_crashes (f->suspects, task)),
                MM_TEXT (upstreams));
  g_free (upstreams);
}

static size_t
places (const mm_fleet *f, const char *service, mm_mesh_place *out)
{
  out[0].name = NULL;
  out[0].age_ms = 0;
  out[0].datacentre = f->datacentre;
  out[0].room = mm_owner_report (f->owner, service);
  return 1 + mm_mesh_places (f->mesh, service, out + 1, MM_FLEET_MAX - 1);
}

mm_load
mm_fleet_load (const mm_fleet *f, const char *service, uint32_t priority)
{
  mm_mesh_place p[MM_FLEET_MAX];
  size_t n = places (f, service, p);
  mm_load load = { .mean_task_ms = (mm_time_ms)f->mean_task_ms };
  double known = 0, cost = 0;
  for (size_t i = 0; i < n; i++)
    {
      load.places += p[i].room.places;
      load.free += p[i].room.free;
      load.waiting += mm_capacity_waiting_ahead (&p[i].room, priority);
      load.age_ms = MAX (load.age_ms, p[i].age_ms);
      if (p[i].room.task_ms && p[i].room.places)
        {
          known += p[i].room.places;
          cost += (double)p[i].room.places * p[i].room.task_ms;
        }
    }
  if (MM_WITH_COST && known > 0)
    load.mean_task_ms = MAX (load.mean_task_ms, (mm_time_ms)(cost / known));
  return load;
}

static void
note_run_time (mm_fleet *f, mm_time_ms run_ms)
{
  f->mean_task_ms += MM_MEAN_TASK_GAIN * ((double)run_ms - f->mean_task_ms);
}

/* A newcomer has seen no task end.  A fixed guess would be far too long for a
   queue of short tasks, and jobs with time to spare would be refused; what the
   tasks declare is nearer.  */
static void
note_declared (mm_fleet *f, mm_time_ms run_ms)
{
  if (f->seen_end || run_ms <= 0)
    return;
  if (!f->seen_any)
    f->mean_task_ms = (double)run_ms;
  f->seen_any = true;
  note_run_time (f, run_ms);
}

static void
on_done (void *ctx, const mm_work_result *r)
{
  mm_ticket *t = ctx;
  /* The run alone: with the wait in it, a queue would look longer the
     longer it was, and jobs that fit would be refused.  */
  if (r->how == MM_END_DONE)
    {
      t->fleet->seen_end = true;
      note_run_time (t->fleet, r->ran_ms);
    }
  t->done (t->ctx, r);
  g_free (t);
}

/**
 * mm_fleet_submit() - hand a task to an owner.
 * @f: the fleet.
 * @t: the task.
 * @returned_by: the owner that has just given it back, "": this instance; or
 *             NULL.
 * @done: called once, later, unless it is cancelled before.
 * @ctx: for @done.
 *
 * Return: a ticket valid until @done, or NULL when no owner has a place.
 */
mm_ticket *
mm_fleet_submit (mm_fleet *f, const mm_task_request *t,
                 const char *returned_by, mm_work_done done, void *ctx)
{
  note_declared (f, t->estimate_ms);
  mm_mesh_place p[MM_FLEET_MAX];
  mm_dispatch_candidate c[MM_FLEET_MAX];
  size_t n = places (f, t->service, p);
  for (size_t i = 0; i < n; i++)
    {
      bool here = strcmp (p[i].datacentre, f->datacentre) == 0;
      c[i].near = i == 0 ? MM_NEAR_SELF
                  : here ? MM_NEAR_DATACENTRE
                         : MM_NEAR_FAR;
      c[i].returned_by
          = returned_by
            && strcmp (p[i].name ? p[i].name : "", returned_by) == 0;
      c[i].room = p[i].room;
      c[i].room.waiting = mm_capacity_waiting_ahead (&p[i].room, t->priority);
    }
  int best = mm_dispatch_choose (c, n);
  if (best < 0)
    return NULL;
  mm_ticket *k = g_new0 (mm_ticket, 1);
  k->fleet = f;
  k->done = done;
  k->ctx = ctx;
  mm_metrics_count (MM_CT_TASKS_HANDED);
  mm_log_event (MM_EV_TASK_HANDED, MM_TASK (&t->id),
                MM_TEXT (best ? p[best].name : "self"),
                MM_INT (p[best].room.free), MM_INT (p[best].room.waiting),
                MM_INT (p[best].age_ms), MM_INT (t->attempt));
  if (best == 0)
    k->work = mm_owner_submit (f->owner, t, on_done, k);
  else
    k->remote = mm_mesh_submit (f->mesh, p[best].name, t, on_done, k);
  return k;
}

void
mm_fleet_cancel (mm_fleet *f, mm_ticket *t)
{
  if (t->work)
    mm_owner_cancel (f->owner, t->work);
  else
    mm_mesh_cancel (f->mesh, t->remote);
  g_free (t);
}
