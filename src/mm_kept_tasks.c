/* mm_kept_tasks: dispatches the tasks of a kept job to owners, and tracks for
   each task whether it waits, is at an owner, is in doubt or is done.  */
#include "mm_kept_tasks.h"

#include "config.h"
#include "mm_event.h"
#include "mm_metrics.h"
#include "mm_steps.h"

#include <string.h>

typedef enum
{
  TASK_BLOCKED,    /* its step may not start yet */
  TASK_WAITING,    /* to be dispatched */
  TASK_DISPATCHED, /* at an owner */
  TASK_IN_DOUBT,   /* not known whether it runs, has ended or never started */
  TASK_DONE
} task_state;

typedef struct
{
  mm_kept_tasks *kept_tasks;
  mm_task_id id;
  task_state state;
  bool ready;                   /* its step may start */
  mm_dispatched_task *handle;   /* TASK_DISPATCHED: the request to the owner */
  mm_time_ms dispatched_ms;     /* when it was last dispatched */
  mm_time_ms in_doubt_since_ms; /* TASK_IN_DOUBT */
  char *avoid_upstream;         /* upstream of the last failure, or NULL */
  mm_returns *returns; /* owners that returned it unstarted, NULL: none */
  bool isolated;       /* at an owner as a task that may crash upstreams */
  uint32_t n_rejected; /* starts that were rejected since it last ran */
  mm_time_ms not_before_ms; /* after a rejected start: next dispatch */
} task;

struct mm_kept_tasks
{
  mm_fleet *fleet;
  mm_job_record *rec;
  mm_kept_tasks_events ev;
  mm_steps *steps;
  task *tasks;
  uint32_t n_tasks;          /* number of all tasks of the job */
  uint32_t n_in_doubt;       /* number of tasks that are TASK_IN_DOUBT */
  uint32_t n_dispatched;     /* number of tasks that are TASK_DISPATCHED */
  uint32_t n_isolated;       /* number of dispatched tasks that are isolated */
  mm_time_ms start_until_ms; /* tasks may be started until then */
  bool started;              /* a task is known to have been started */
  bool finished;             /* the end of the job was reported */
  mm_time_ms latest_start_ms; /* latest start with which the job can end within
                                 its objective */
  GArray *acks;               /* mm_end_ack, until mm_kept_tasks_take_acks() */
};

/* The step of task @number may start.  A task in doubt stays in doubt.  */
static void
set_task_ready (void *ctx, uint32_t number)
{
  task *t = &((mm_kept_tasks *)ctx)->tasks[number];
  t->ready = true;
  if (t->state == TASK_BLOCKED)
    t->state = TASK_WAITING;
}

static bool dispatch_waiting (mm_kept_tasks *k);

static void
set_in_doubt (task *t)
{
  t->state = TASK_IN_DOUBT;
  t->in_doubt_since_ms = mm_clock_now_ms ();
  t->kept_tasks->n_in_doubt++;
}

mm_kept_tasks *
mm_kept_tasks_create (mm_fleet *fleet, mm_job_record *rec, bool taken_over,
                      const mm_kept_tasks_events *ev)
{
  mm_kept_tasks *k = g_new0 (mm_kept_tasks, 1);
  k->fleet = fleet;
  k->rec = rec;
  k->ev = *ev;
  k->steps = mm_steps_create (rec->submission);
  k->n_tasks = mm_submission_tasks (rec->submission);
  k->tasks = g_new0 (task, (size_t)k->n_tasks + 1);
  k->acks = g_array_new (FALSE, FALSE, sizeof (mm_end_ack));
  k->latest_start_ms = mm_clock_now_ms () + rec->objective_ms
                       - mm_submission_chain_ms (rec->submission);
  k->started = taken_over && rec->phase == MM_JOB_RUNNING;
  for (uint32_t i = 0; i < k->n_tasks; i++)
    {
      task *t = &k->tasks[i];
      t->kept_tasks = k;
      t->id = mm_steps_task_id (k->steps, i);
      if (!rec->progress[i].done)
        continue;
      t->state = TASK_DONE;
      mm_steps_task_done (k->steps, i);
    }
  mm_steps_start_ready (k->steps, set_task_ready, k);
  /* Tasks of steps that are not ready are in doubt too: the earlier home may
     have started them after ends that it did not store before it ended.  */
  for (uint32_t i = 0; taken_over && i < k->n_tasks; i++)
    if (k->tasks[i].state != TASK_DONE)
      set_in_doubt (&k->tasks[i]);
  return k;
}

void
mm_kept_tasks_destroy (mm_kept_tasks *k)
{
  if (!k)
    return;
  for (uint32_t i = 0; i < k->n_tasks; i++)
    {
      if (k->tasks[i].handle)
        mm_fleet_cancel (k->fleet, k->tasks[i].handle);
      g_free (k->tasks[i].avoid_upstream);
      mm_returns_clear (&k->tasks[i].returns);
    }
  mm_steps_destroy (k->steps);
  g_array_free (k->acks, TRUE);
  g_free (k->tasks);
  g_free (k);
}

/* Reports the end of the job once.  @k may have been freed on return.  */
static void
finish (mm_kept_tasks *k, mm_job_phase phase)
{
  if (k->finished)
    return;
  k->finished = true;
  k->ev.finished (k->ev.ctx, phase);
}

/* Records that the end of a run is to be acknowledged once it is stored.
   @owner: the peer that reported it, NULL for this instance.  */
static void
add_ack (mm_kept_tasks *k, const mm_task_id *id, uint32_t run_hash,
         const char *owner)
{
  mm_end_ack ack = { .task = *id, .run_hash = run_hash };
  g_strlcpy (ack.owner, owner ? owner : "", sizeof ack.owner);
  g_array_append_val (k->acks, ack);
}

/* Records the task as done and starts what can start now.  Ends the job after
   its last task; the mm_kept_tasks may have been freed on return.  */
static void
on_task_succeeded (task *t)
{
  mm_kept_tasks *k = t->kept_tasks;
  uint32_t number = (uint32_t)(t - k->tasks);
  t->state = TASK_DONE;
  k->rec->progress[number].done = true;
  mm_steps_task_done (k->steps, number);
  if (mm_steps_all_done (k->steps))
    {
      finish (k, MM_JOB_COMPLETED);
      return;
    }
  mm_steps_start_ready (k->steps, set_task_ready, k);
  if (dispatch_waiting (k))
    k->ev.progress (k->ev.ctx);
}

/* Whether the task must not be started again once it may have run.  */
static bool
runs_once (const task *t)
{
  return t->kept_tasks->rec->submission->steps[t->id.step].once;
}

/* Records a failed run of the task.  @next_state is the state of the task if
   the job goes on.  The mm_kept_tasks may have been freed on return.  */
static void
on_task_failed (task *t, uint32_t run_hash, task_state next_state)
{
  mm_kept_tasks *k = t->kept_tasks;
  mm_task_progress *p = &k->rec->progress[t - k->tasks];
  mm_task_progress_add_failure (p, run_hash);
  t->state = next_state;
  if (p->n_failures >= k->rec->attempts || runs_once (t))
    finish (k, MM_JOB_FAILED);
  else
    k->ev.progress (k->ev.ctx);
}

static void
set_avoid_upstream (task *t, const char *upstream)
{
  g_free (t->avoid_upstream);
  t->avoid_upstream = g_strdup (upstream);
}

/* Handles a task that an owner returned unstarted; @owner: NULL for this
   instance.  When the same owner returns it again, no other owner seems to
   have free capacity for it, and at this owner maybe only the upstream to
   avoid has: the task may run there.  */
static void
on_returned (task *t, const char *owner)
{
  if (mm_returns_add (&t->returns, owner) > 1)
    g_clear_pointer (&t->avoid_upstream, g_free);
  t->state = TASK_WAITING;
}

/* The start of the task was rejected.  It may be rejected everywhere, and for
   as long as the configuration stays, so the pause doubles each time.  */
static void
on_rejected (task *t, const char *upstream)
{
  mm_time_ms pause_ms = MM_REJECTED_PAUSE_MS
                        << MIN (t->n_rejected, MM_REJECTED_MAX_DOUBLINGS);
  t->n_rejected++;
  t->not_before_ms = mm_clock_now_ms () + pause_ms;
  set_avoid_upstream (t, upstream);
}

/* Describes for the log what follows after a run has ended as @how.  The end
   is not in the record yet, so a failure of this run is added.  */
static const char *
next_action (const task *t, mm_end how)
{
  const mm_kept_tasks *k = t->kept_tasks;
  if (how == MM_END_UNKNOWN)
    return "searching for it";
  if (runs_once (t))
    return "job fails: a task runs only once";
  if (how == MM_END_FAILED
      && k->rec->progress[t - k->tasks].n_failures + 1 >= k->rec->attempts)
    return "job fails: no attempt left";
  return "dispatched again";
}

/* Logs the end of a run that neither succeeded nor was returned unstarted.  */
static void
log_end (const task *t, const mm_work_result *w)
{
  if (w->how == MM_END_DONE || w->how == MM_END_NOT_RUN)
    return;
  mm_log_event (MM_EV_TASK_FAILED, MM_TASK (&t->id), MM_TEXT (w->upstream),
                MM_TEXT (mm_end_name (w->how)),
                MM_INT (mm_clock_now_ms () - t->dispatched_ms),
                MM_TEXT (w->why), MM_TEXT (next_action (t, w->how)),
                MM_INT (w->run));
}

/* Handles the outcome of a dispatched task.  A run that was stopped or lost is
   not counted as a failed attempt.  A task whose outcome is unknown is in
   doubt, and a search decides what becomes of it.  */
static void
on_work_ended (void *ctx, const mm_work_result *w)
{
  task *t = ctx;
  mm_kept_tasks *k = t->kept_tasks;
  uint32_t run_hash = w->upstream ? mm_run_hash (w->upstream, w->run) : 0;
  t->handle = NULL;
  k->n_dispatched--;
  k->n_isolated -= t->isolated;
  t->isolated = false;
  log_end (t, w);
  if (w->how != MM_END_NOT_RUN)
    {
      mm_returns_clear (&t->returns);
      t->n_rejected = 0;
    }
  if (w->how != MM_END_NOT_RUN && w->how != MM_END_UNKNOWN)
    {
      k->started = true;
      add_ack (k, &t->id, run_hash, w->owner);
    }
  switch (w->how)
    {
    case MM_END_DONE:
      on_task_succeeded (t);
      break;
    case MM_END_FAILED:
      set_avoid_upstream (t, w->upstream);
      on_task_failed (t, run_hash, TASK_WAITING);
      break;
    case MM_END_STOPPED:
    case MM_END_LOST:
      set_avoid_upstream (t, w->upstream);
      t->state = TASK_WAITING;
      if (runs_once (t))
        finish (k, MM_JOB_FAILED);
      else
        k->ev.progress (k->ev.ctx);
      break;
    case MM_END_NOT_RUN:
      on_returned (t, w->owner);
      if (w->run)
        on_rejected (t, w->upstream);
      break;
    case MM_END_UNKNOWN:
      set_in_doubt (t);
      mm_metrics_count (MM_CT_KEPT_LOST_SIGHT);
      mm_log_event (MM_EV_KEPT_LOST_SIGHT, MM_TEXT (t->id.job), MM_INT (1),
                    MM_TEXT (w->why));
      break;
    }
}

/* Sends the task to an owner.  */
static void
dispatch (task *t, mm_suspect_action action, mm_time_ms now)
{
  mm_kept_tasks *k = t->kept_tasks;
  const mm_step *step = &k->rec->submission->steps[t->id.step];
  mm_task_request req
      = { .id = t->id,
          .service = k->rec->service,
          .payload
          = step->payload ? step->payload : k->rec->submission->payload,
          .label = step->label,
          .data_label = step->data_label,
          .avoid_upstream = t->avoid_upstream,
          .resources = step->resources,
          .kept = true,
          .isolated = action == MM_SUSPECT_ISOLATE,
          .attempt = k->rec->progress[t - k->tasks].n_failures,
          .priority = k->rec->priority,
          .estimate_ms = step->estimate_ms,
          .due_within_ms = MAX (k->latest_start_ms - now, 0),
          .start_within_ms = MM_KEPT_START_WITHIN_MS };
  t->dispatched_ms = now;
  t->handle = mm_fleet_submit (k->fleet, &req, t->returns, on_work_ended, t);
  if (!t->handle)
    /* Neither this instance nor a connected peer reports any capacity for the
       service, free or in use: retried at the next tick.  */
    return;
  t->state = TASK_DISPATCHED;
  k->n_dispatched++;
  t->isolated = req.isolated;
  k->n_isolated += t->isolated;
}

/* Dispatches the waiting tasks, unless a task of the job is in doubt.  Returns
   false when the job has failed and @k may have been freed.  */
static bool
dispatch_waiting (mm_kept_tasks *k)
{
  mm_time_ms now = mm_clock_now_ms ();
  if (now >= k->start_until_ms || k->finished || k->n_in_doubt)
    return true;
  for (uint32_t i = 0; i < k->n_tasks; i++)
    {
      task *t = &k->tasks[i];
      if (t->state != TASK_WAITING || now < t->not_before_ms)
        continue;
      mm_suspect_action action = mm_fleet_suspect_action (k->fleet, &t->id);
      if (action == MM_SUSPECT_GIVE_UP)
        {
          mm_fleet_record_given_up (k->fleet, &t->id);
          finish (k, MM_JOB_FAILED);
          return false;
        }
      if (mm_suspect_may_run (action, k->n_isolated))
        dispatch (t, action, now);
    }
  return true;
}

void
mm_kept_tasks_tick (mm_kept_tasks *k, mm_time_ms start_until_ms)
{
  k->start_until_ms = start_until_ms;
  dispatch_waiting (k);
}

bool
mm_kept_tasks_all_done (const mm_kept_tasks *k)
{
  return mm_steps_all_done (k->steps);
}

bool
mm_kept_tasks_is_done (const mm_kept_tasks *k, const mm_task_id *task)
{
  int64_t number = mm_steps_task_number (k->steps, task);
  return number >= 0 && k->tasks[number].state == TASK_DONE;
}

bool
mm_kept_tasks_started (const mm_kept_tasks *k)
{
  return k->started;
}

uint32_t
mm_kept_tasks_n_dispatched (const mm_kept_tasks *k)
{
  return k->n_dispatched;
}

uint32_t
mm_kept_tasks_n_in_doubt (const mm_kept_tasks *k)
{
  return k->n_in_doubt;
}

/* An upstream that has left the upstream list has no owner that answers for
   it, but may still run tasks under its last lease.  So a task in doubt is
   searched for only after every such lease must have expired.  */
void
mm_kept_tasks_in_doubt (const mm_kept_tasks *k, GHashTable *tasks)
{
  mm_time_ms before = mm_clock_now_ms () - MM_KEPT_LEASE_EXPIRY_MS;
  for (uint32_t i = 0; i < k->n_tasks; i++)
    if (k->tasks[i].state == TASK_IN_DOUBT
        && k->tasks[i].in_doubt_since_ms <= before)
      g_hash_table_add (tasks,
                        g_memdup2 (&k->tasks[i].id, sizeof k->tasks[i].id));
}

void
mm_kept_tasks_record_end (mm_kept_tasks *k, const mm_found_end *e,
                          const char *owner)
{
  int64_t number = mm_steps_task_number (k->steps, &e->task);
  if (number < 0 || k->finished || k->tasks[number].state != TASK_IN_DOUBT)
    return;
  task *t = &k->tasks[number];
  k->started = true;
  add_ack (k, &t->id, e->run_hash, owner);
  if (e->how == MM_END_DONE)
    {
      k->n_in_doubt--;
      on_task_succeeded (t);
    }
  else if (e->how == MM_END_FAILED)
    /* Another run of the task may be left, so it stays in doubt.  */
    on_task_failed (t, e->run_hash, TASK_IN_DOUBT);
  else
    /* The run was stopped or lost.  The task stays in doubt, and the end is
       acknowledged once the record is stored.  */
    k->ev.progress (k->ev.ctx);
}

void
mm_kept_tasks_clear_in_doubt (mm_kept_tasks *k, GHashTable *tasks)
{
  for (uint32_t i = 0; i < k->n_tasks; i++)
    {
      task *t = &k->tasks[i];
      if (t->state != TASK_IN_DOUBT || !g_hash_table_contains (tasks, &t->id))
        continue;
      t->state = t->ready ? TASK_WAITING : TASK_BLOCKED;
      k->n_in_doubt--;
      /* The task may have run and been stopped: this cannot be determined, so
         a task that runs only once must not run again.  */
      if (runs_once (t))
        {
          finish (k, MM_JOB_FAILED); /* @k may have been freed */
          return;
        }
    }
}

GArray *
mm_kept_tasks_take_acks (mm_kept_tasks *k)
{
  GArray *acks = k->acks;
  k->acks = g_array_new (FALSE, FALSE, sizeof (mm_end_ack));
  return acks;
}
