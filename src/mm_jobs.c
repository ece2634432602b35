/* mm_jobs: runs the tasks of jobs whose callers wait.  Each task is dispatched
   to at most one owner at a time.

   These jobs are not stored: a job lives as long as the open request of a
   caller.  When the last caller leaves, the job's tasks are stopped, so that
   none of them still runs when the same job is sent to another instance.  */
#include "mm_jobs_priv.h"

#include "config.h"
#include "mm_event.h"
#include "mm_metrics.h"
#include "mm_caller_wait.h"

#include <string.h>

mm_jobs *
mm_jobs_create (mm_fleet *fleet)
{
  mm_jobs *j = g_new0 (mm_jobs, 1);
  j->fleet = fleet;
  j->by_id = g_hash_table_new (g_str_hash, g_str_equal);
  j->caller_wait
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  return j;
}

void
mm_jobs_set_budget (mm_jobs *j, mm_budget *budget)
{
  j->budget = budget;
}

static void
stop_tasks (job *b)
{
  for (uint32_t i = 0; i < b->n_tasks; i++)
    if (b->tasks[i].handle)
      mm_fleet_cancel (b->jobs->fleet, g_steal_pointer (&b->tasks[i].handle));
}

static void
job_free (job *b)
{
  stop_tasks (b);
  mm_budget_give (b->jobs->budget, MM_BUDGET_JOBS, b->bytes);
  g_hash_table_remove (b->jobs->by_id, b->submission->id);
  for (uint32_t i = 0; i < b->n_tasks; i++)
    {
      g_free (b->tasks[i].avoid_upstream);
      mm_returns_clear (&b->tasks[i].returns);
    }
  g_free (b->tasks);
  mm_steps_destroy (b->steps);
  g_free (b->service);
  g_free (b->queue);
  mm_submission_free (b->submission);
  g_list_free_full (b->callers, g_free);
  g_free (b);
}

void
mm_jobs_answer (job *b, mm_answer_kind kind, const char *why,
                uint32_t retry_after_s)
{
  static const struct
  {
    const char *name;
    mm_counter_id counter;
  } kinds[] = {
    [MM_ANSWER_COMPLETED] = { "completed", MM_CT_JOBS_COMPLETED },
    [MM_ANSWER_FAILED] = { "failed", MM_CT_JOBS_FAILED },
    [MM_ANSWER_CANCELLED] = { "cancelled", MM_CT_JOBS_CANCELLED },
    [MM_ANSWER_REFUSED] = { "refused", MM_CT_JOBS_REFUSED_OTHER },
    [MM_ANSWER_GIVEN_UP] = { "given_up", MM_CT_JOBS_GIVEN_UP },
    [MM_ANSWER_UNKNOWN] = { "unknown", MM_CT_JOBS_UNKNOWN },
  };
  bool *done = g_new0 (bool, b->n_tasks);
  for (uint32_t i = 0; i < b->n_tasks; i++)
    done[i] = b->tasks[i].done;
  mm_answer a = {
    .kind = kind, .why = why, .retry_after_s = retry_after_s, .done = done
  };
  mm_time_ms took_ms = mm_clock_now_ms () - b->submitted_ms;
  mm_metrics_count (kinds[kind].counter);
  if (kind == MM_ANSWER_COMPLETED)
    mm_metrics_time (MM_HG_JOB, took_ms);
  mm_log_event (MM_EV_JOB_ANSWERED, MM_TEXT (b->submission->id),
                MM_TEXT (b->queue), MM_TEXT (kinds[kind].name),
                MM_INT (took_ms), MM_TEXT (why));
  stop_tasks (b);
  while (b->callers)
    {
      mm_caller *c = b->callers->data;
      b->callers = g_list_delete_link (b->callers, b->callers);
      c->answered (c->ctx, &a);
      g_free (c);
    }
  g_free (done);
  job_free (b);
}

void
mm_jobs_destroy (mm_jobs *j)
{
  if (!j)
    return;
  GList *jobs = g_hash_table_get_values (j->by_id);
  g_list_free_full (jobs, (GDestroyNotify)job_free);
  g_hash_table_destroy (j->by_id);
  g_hash_table_destroy (j->caller_wait);
  mm_jobs_shedding_destroy (j);
  g_free (j);
}

/* Returns whether a caller whose job ends now may be told that none of its
   tasks has run.  Without load shedding, a job that was dispatched once counts
   as one that may have run.  */
static bool
has_not_run (const job *b)
{
  return b->jobs->shedding ? !mm_jobs_may_have_run (b) : !b->dispatched;
}

void
mm_jobs_give_up (job *b, const char *why)
{
  mm_jobs_answer (b, has_not_run (b) ? MM_ANSWER_REFUSED : MM_ANSWER_GIVEN_UP,
                  why, MM_RETRY_AFTER_NO_CAPACITY_S);
}

/* Ends a job whose starts are rejected.  */
static void
give_up_rejected (job *b)
{
  mm_jobs_answer (
      b, mm_jobs_may_have_run (b) ? MM_ANSWER_GIVEN_UP : MM_ANSWER_REFUSED,
      "upstreams reject its tasks", MM_RETRY_AFTER_NO_CAPACITY_S);
}

static void on_task_ended (void *ctx, const mm_work_result *r);

void
mm_jobs_set_wait (task *t, task_wait wait)
{
  t->job->n_waiting[t->wait]--;
  t->wait = wait;
  t->job->n_waiting[t->wait]++;
}

/* Dispatches a task to an owner, or lets it wait while it is suspect and may
   not run yet.  When neither this instance nor a connected peer reports any
   capacity for the service, the dispatch is repeated at each tick, since
   owners are back within a second or two.  */
static void
dispatch (task *t)
{
  job *b = t->job;
  mm_suspect_action action = mm_fleet_suspect_action (b->jobs->fleet, &t->id);
  if (!mm_suspect_may_run (action, b->n_isolated))
    {
      mm_jobs_set_wait (t, WAIT_VERDICT);
      t->ready_ms = mm_clock_now_ms ();
      return;
    }
  const mm_step *step = &b->submission->steps[t->id.step];
  mm_time_ms now = mm_clock_now_ms ();
  mm_task_request r
      = { .id = t->id,
          .service = b->service,
          .payload = step->payload ? step->payload : b->submission->payload,
          .label = step->label,
          .data_label = step->data_label,
          .avoid_upstream = t->avoid_upstream,
          .resources = step->resources,
          .isolated = action == MM_SUSPECT_ISOLATE,
          .yields = b->yields,
          .attempt = t->n_failures,
          .priority = b->priority,
          .estimate_ms = step->estimate_ms,
          .waited_ms = now - t->ready_ms,
          .due_within_ms = MAX (b->on_time_start_ms - now, 0),
          .useful_within_ms = MAX (b->latest_start_ms - now, 1) };
  /* The task waits in one owner's queue for a short time only and is then
     placed again, since capacity may have become free at another owner.  */
  r.start_within_ms = CLAMP (b->latest_start_ms - now, 1,
                             MM_WITH_SPREAD_ANEW ? MM_OWNER_WAIT_MS
                                                 : MM_MAX_CALLER_TIMEOUT_MS);
  t->dispatched_ms = now;
  t->handle
      = mm_fleet_submit (b->jobs->fleet, &r, t->returns, on_task_ended, t);
  mm_jobs_set_wait (t, t->handle ? WAIT_NONE : WAIT_OWNER);
  t->isolated = t->handle && r.isolated;
  b->n_isolated += t->isolated;
  b->dispatched = b->dispatched || t->handle;
}

static void
start_task (void *ctx, uint32_t number)
{
  task *t = &((job *)ctx)->tasks[number];
  t->ready_ms = mm_clock_now_ms ();
  dispatch (t);
}

/* Handles a task that is done: completes the job after its last task, or else
   dispatches the tasks of the steps that can start now.  */
static void
on_done (task *t)
{
  job *b = t->job;
  t->done = true;
  mm_steps_task_done (b->steps, (uint32_t)(t - b->tasks));
  if (mm_steps_all_done (b->steps))
    mm_jobs_answer (b, MM_ANSWER_COMPLETED, "", 0);
  else
    mm_steps_start_ready (b->steps, start_task, b);
}

static bool
runs_once (const task *t)
{
  return t->job->submission->steps[t->id.step].once;
}

static void
set_avoid_upstream (task *t, const char *upstream)
{
  g_free (t->avoid_upstream);
  t->avoid_upstream = g_strdup (upstream);
}

/* Handles a task that ran and failed: it is dispatched again, to another
   upstream.  The job fails when no attempt is left or the task may run only
   once.  */
static void
on_failed (task *t, const char *upstream)
{
  job *b = t->job;
  set_avoid_upstream (t, upstream);
  t->n_failures++;
  if (t->n_failures >= b->attempts || runs_once (t))
    mm_jobs_answer (b, MM_ANSWER_FAILED, "a task failed in every attempt", 0);
  else
    dispatch (t);
}

/* Returns until when a task that ended as @how may be dispatched again.  */
static mm_time_ms
latest_redispatch_ms (const job *b, mm_end how)
{
  return how == MM_END_NOT_RUN ? b->latest_start_ms : b->deadline_ms;
}

/* Returns whether a task in doubt can run again in time.  Such a task may
   still run: until its owner notices that the link to this instance is gone,
   and then for the rest of its lease.  After MM_IN_DOUBT_MS the earlier run
   has ended for certain, and the task can run again if its caller still waits,
   since a late complete answer is worth more to the caller than none.  */
static bool
may_redispatch (const job *b, mm_time_ms now)
{
  return MM_WITH_RUN_AGAIN && now + MM_IN_DOUBT_MS < b->latest_start_ms;
}

/* Returns a log text: what happens next to a task that ended as @how.  */
static const char *
next_action (const task *t, mm_end how, mm_time_ms now)
{
  const job *b = t->job;
  if (runs_once (t) && how != MM_END_NOT_RUN)
    return "job fails: a task runs only once";
  if (how == MM_END_UNKNOWN)
    return may_redispatch (b, now) ? "dispatched again once its run has ended"
                                   : "caller is asked to send the job again";
  if (how == MM_END_FAILED)
    return t->n_failures + 1 < b->attempts ? "another attempt"
                                           : "job fails: no attempt left";
  if (how == MM_END_NOT_RUN && b->jobs->shedding)
    return "dispatched again, unless its job is shed";
  mm_suspect_action action = mm_fleet_suspect_action (b->jobs->fleet, &t->id);
  if (how == MM_END_LOST && action == MM_SUSPECT_WAIT)
    return "waits: upstreams were lost while running it";
  if (how == MM_END_LOST && action == MM_SUSPECT_POSTPONE)
    return "job is given up: too many upstreams were lost while running it";
  return now < latest_redispatch_ms (b, how) ? "dispatched again"
                                             : "job is given up: too late";
}

static const mm_counter_id end_counters[MM_END_COUNT] = {
  [MM_END_DONE] = MM_CT_TASKS_DONE,
  [MM_END_FAILED] = MM_CT_TASKS_FAILED,
  [MM_END_STOPPED] = MM_CT_TASKS_STOPPED,
  [MM_END_LOST] = MM_CT_TASKS_LOST,
  [MM_END_NOT_RUN] = MM_CT_TASKS_NOT_RUN,
  [MM_END_UNKNOWN] = MM_CT_TASKS_UNKNOWN,
};

static void
log_task_end (const task *t, const mm_work_result *r, mm_time_ms now)
{
  if (r->how == MM_END_NOT_RUN)
    mm_log_event (MM_EV_TASK_RETURNED, MM_TASK (&t->id),
                  MM_INT (now - t->dispatched_ms), MM_TEXT (r->why),
                  MM_TEXT (next_action (t, r->how, now)));
  else if (r->how != MM_END_DONE)
    mm_log_event (MM_EV_TASK_FAILED, MM_TASK (&t->id), MM_TEXT (r->upstream),
                  MM_TEXT (mm_end_name (r->how)),
                  MM_INT (now - t->dispatched_ms), MM_TEXT (r->why),
                  MM_TEXT (next_action (t, r->how, now)), MM_INT (r->run));
}

/* Schedules another dispatch of a task in doubt.  */
static void
schedule_redispatch (task *t, mm_time_ms now)
{
  t->redispatch_ms = now + MM_IN_DOUBT_MS;
  t->job->n_in_doubt++;
}

/* Records that an owner returned the task unstarted; @owner: NULL for this
   instance.  When an owner returns a task with a label again, the upstream to
   avoid may be the only one with that label: the task may run there.  */
static void
on_returned (task *t, const char *owner)
{
  bool again = mm_returns_add (&t->returns, owner) > 1;
  if (again && t->job->submission->steps[t->id.step].label)
    g_clear_pointer (&t->avoid_upstream, g_free);
}

/* Handles the end of a dispatch: the task is done, is dispatched again, or
   ends the job.  The job is freed when it ends.  */
static void
on_task_ended (void *ctx, const mm_work_result *r)
{
  task *t = ctx;
  job *b = t->job;
  mm_end how = r->how;
  mm_time_ms now = mm_clock_now_ms ();
  t->handle = NULL;
  b->n_isolated -= t->isolated;
  t->isolated = false;
  if (how == MM_END_NOT_RUN && r->run)
    t->n_rejected++;
  else if (how == MM_END_NOT_RUN)
    on_returned (t, r->owner);
  else
    {
      mm_returns_clear (&t->returns);
      t->may_have_run = true;
      t->ready_ms = now;
    }
  mm_metrics_count (end_counters[how]);
  log_task_end (t, r, now);
  switch (how)
    {
    case MM_END_DONE:
      on_done (t);
      break;
    case MM_END_FAILED:
      on_failed (t, r->upstream);
      break;
    case MM_END_STOPPED:
    case MM_END_LOST:
      set_avoid_upstream (t, r->upstream);
      if (runs_once (t))
        mm_jobs_answer (b, MM_ANSWER_FAILED,
                        "a task was lost and runs only once", 0);
      else if (now < b->deadline_ms)
        dispatch (t);
      else
        mm_jobs_give_up (b, "a task was lost too late");
      break;
    case MM_END_NOT_RUN:
      if (t->n_rejected >= MM_REJECTED_STARTS)
        give_up_rejected (b);
      else if (b->jobs->shedding)
        mm_jobs_shed_returned (t, now);
      else if (now < b->latest_start_ms)
        dispatch (t);
      else
        mm_jobs_give_up (b, "no room in time");
      break;
    case MM_END_UNKNOWN:
      if (runs_once (t))
        mm_jobs_answer (b, MM_ANSWER_FAILED, "a task is out of sight", 0);
      else if (may_redispatch (b, now))
        schedule_redispatch (t, now);
      else
        mm_jobs_answer (b, MM_ANSWER_UNKNOWN, r->why,
                        MM_RETRY_AFTER_NO_CAPACITY_S);
      break;
    }
}

/* Returns a poison task of the job, one that has crashed so many upstreams
   that it is given up, or NULL.  */
static const task *
find_poison_task (const job *b)
{
  for (uint32_t i = 0; i < b->n_tasks; i++)
    if (!b->tasks[i].done
        && mm_fleet_suspect_action (b->jobs->fleet, &b->tasks[i].id)
               == MM_SUSPECT_GIVE_UP)
      return &b->tasks[i];
  return NULL;
}

/* Fails the job when it has a poison task.  Returns whether the job has failed
   and been freed.  */
static bool
fail_on_poison_task (job *b)
{
  const task *t = find_poison_task (b);
  if (!t)
    return false;
  mm_fleet_record_given_up (b->jobs->fleet, &t->id);
  mm_jobs_answer (b, MM_ANSWER_FAILED, "a task crashes its upstreams", 0);
  return true;
}

/* Creates a job from a submission, which it takes ownership of.  @slack_ms:
   how long the job can wait and still meet its objective.  */
static job *
job_create (mm_jobs *j, mm_submission *s, const mm_route *route,
            mm_time_ms caller_timeout_ms, mm_time_ms slack_ms)
{
  job *b = g_new0 (job, 1);
  mm_time_ms now = mm_clock_now_ms ();
  b->jobs = j;
  b->submission = s;
  b->service = g_strdup (route->service);
  b->queue = g_strdup (route->name);
  b->priority = route->priority;
  b->attempts = MAX (route->attempts, 1);
  b->submitted_ms = now;
  b->deadline_ms = now + caller_timeout_ms;
  b->on_time_start_ms = now + slack_ms;
  b->latest_start_ms = now
                       + mm_admission_limit_ms (route->stretch, route->slo_ms,
                                                mm_submission_chain_ms (s));
  b->latest_start_ms = MIN (b->latest_start_ms, b->deadline_ms);
  b->n_tasks = b->n_waiting[WAIT_NONE] = mm_submission_tasks (s);
  b->tasks = g_new0 (task, b->n_tasks);
  b->steps = mm_steps_create (s);
  for (uint32_t i = 0; i < b->n_tasks; i++)
    {
      b->tasks[i].job = b;
      b->tasks[i].id = mm_steps_task_id (b->steps, i);
    }
  g_hash_table_insert (j->by_id, s->id, b);
  return b;
}

/* Returns whether the caller seems to have sent this job before, so long ago
   that an answer is of no use to it any more.  @chain_ms: declared run time of
   the job's longest chain of steps.  */
static bool
sent_again_too_late (mm_jobs *j, const mm_route *route,
                     mm_time_ms caller_timeout_ms, mm_time_ms chain_ms)
{
  mm_caller_wait *wait = g_hash_table_lookup (j->caller_wait, route->name);
  if (!wait)
    {
      wait = g_new0 (mm_caller_wait, 1);
      g_hash_table_insert (j->caller_wait, g_strdup (route->name), wait);
    }
  return mm_caller_wait_is_too_late (
      wait, caller_timeout_ms,
      mm_admission_useful_ms (route->stretch, route->slo_ms, chain_ms));
}

static mm_caller *
add_caller (job *b, mm_job_answered answered, void *ctx)
{
  mm_caller *c = g_new0 (mm_caller, 1);
  c->job = b;
  c->answered = answered;
  c->ctx = ctx;
  b->callers = g_list_append (b->callers, c);
  return c;
}

/**
 * mm_jobs_submit() - accept a job, or refuse it at once.
 * @j: the jobs of this instance.
 * @s: the job; ownership is taken.
 * @route: the job's queue; needed only during the call.
 * @caller_timeout_ms: how long the caller waits.
 * @answered: called once, unless the caller leaves before.
 * @ctx: for @answered.
 *
 * A job whose id runs here already is not run twice: the caller gets the
 * answer of the running one.
 *
 * Return: the caller's handle, or NULL when @answered has been called
 * already.
 */
mm_caller *
mm_jobs_submit (mm_jobs *j, mm_submission *s, const mm_route *route,
                mm_time_ms caller_timeout_ms, mm_job_answered answered,
                void *ctx)
{
  mm_metrics_count (MM_CT_JOBS_SUBMITTED);
  job *b = g_hash_table_lookup (j->by_id, s->id);
  if (b)
    {
      mm_submission_free (s);
      return add_caller (b, answered, ctx);
    }
  mm_answer refusal = { .kind = MM_ANSWER_REFUSED,
                        .retry_after_s = MM_RETRY_AFTER_NO_CAPACITY_S };
  refusal.why = mm_route_unserved_reason (route, s);
  if (!refusal.why && mm_fleet_excludes (j->fleet, route->service, s))
    refusal.why = mm_admission_no_such_upstream;
  mm_load load = mm_fleet_load (j->fleet, route->service, route->priority,
                                mm_submission_largest_cpu_milli (s));
  mm_time_ms chain_ms = mm_submission_chain_ms (s);
  mm_time_ms start_slack_ms
      = mm_admission_slack_ms (route->stretch, route->slo_ms, chain_ms);
  /* A job that was sent again too late may only use free capacity: it must not
     wait in a queue ahead of jobs whose answers are still of use.  */
  if (MM_WITH_PATIENCE
      && sent_again_too_late (j, route, caller_timeout_ms, chain_ms))
    start_slack_ms = 0;
  uint32_t tasks = mm_submission_first_tasks (s);
  mm_fleet_record_job (j->fleet, route->service, route->priority, tasks);
  mm_admission admission = mm_admission_decide (&load, tasks, start_slack_ms);
  if (!refusal.why && !admission.accept)
    {
      refusal.why = admission.why;
      refusal.retry_after_s
          = mm_admission_retry_after_s (&load, admission.wait_ms, s->id);
    }
  uint64_t bytes = mm_submission_bytes (s);
  bool memory
      = refusal.why || mm_budget_take (j->budget, MM_BUDGET_JOBS, bytes);
  if (!memory)
    refusal.why = "no memory for jobs";
  if (refusal.why)
    {
      mm_metrics_count (!memory              ? MM_CT_JOBS_REFUSED_MEMORY
                        : admission.accept   ? MM_CT_JOBS_REFUSED_KIND
                        : admission.overload ? MM_CT_JOBS_REFUSED_OVERLOAD
                                             : MM_CT_JOBS_REFUSED_LATE);
      if (admission.overload)
        mm_log_event (MM_EV_OVERLOAD_REFUSED, MM_TEXT (s->id),
                      MM_TEXT (route->name), MM_INT (route->priority),
                      MM_INT (load.waiting_same), MM_INT (load.starts_per_s),
                      MM_INT (load.overloaded_for_ms), MM_INT (load.age_ms),
                      MM_INT (admission.wait_ms), MM_INT (start_slack_ms),
                      MM_INT (refusal.retry_after_s));
      mm_log_event (MM_EV_JOB_REFUSED, MM_TEXT (s->id), MM_TEXT (route->name),
                    MM_INT (route->config_version), MM_INT (tasks),
                    MM_INT (load.places), MM_INT (load.free),
                    MM_INT (load.waiting), MM_INT (load.age_ms),
                    MM_INT (admission.wait_ms), MM_INT (start_slack_ms),
                    MM_TEXT (refusal.why));
      answered (ctx, &refusal);
      mm_submission_free (s);
      return NULL;
    }
  mm_log_event (MM_EV_JOB_ACCEPTED, MM_TEXT (s->id), MM_TEXT (route->name),
                MM_INT (route->config_version), MM_INT (tasks),
                MM_INT (load.places), MM_INT (load.free),
                MM_INT (load.waiting), MM_INT (load.age_ms),
                MM_INT (admission.wait_ms), MM_INT (start_slack_ms));
  b = job_create (j, s, route, caller_timeout_ms, start_slack_ms);
  b->bytes = bytes;
  mm_caller *c = add_caller (b, answered, ctx);
  if (b->n_tasks == 0)
    {
      mm_jobs_answer (b, MM_ANSWER_COMPLETED, "", 0);
      return NULL;
    }
  /* A job sent again with a known poison task fails before the task can crash
     more upstreams.  */
  if (fail_on_poison_task (b))
    return NULL;
  mm_steps_start_ready (b->steps, start_task, b);
  return c;
}

void
mm_jobs_caller_left (mm_jobs *j, mm_caller *c)
{
  job *b = c->job;
  b->callers = g_list_remove (b->callers, c);
  g_free (c);
  if (b->callers)
    return;
  mm_metrics_count (MM_CT_JOBS_LEFT);
  mm_log_event (MM_EV_JOB_CALLER_LEFT, MM_TEXT (b->submission->id),
                MM_TEXT (b->queue),
                MM_INT (mm_clock_now_ms () - b->submitted_ms));
  job_free (b);
}

bool
mm_jobs_running (const mm_jobs *j, const char *job_id)
{
  return g_hash_table_contains (j->by_id, job_id);
}

bool
mm_jobs_cancel (mm_jobs *j, const char *job_id)
{
  job *b = g_hash_table_lookup (j->by_id, job_id);
  if (b)
    mm_jobs_answer (b, MM_ANSWER_CANCELLED, "by its caller", 0);
  return b != NULL;
}

/* Gives up the jobs whose callers' time is over.  Only with load shedding,
   callers are told that their job has not run if that is so.  */
static void
give_up_expired (mm_jobs *j, mm_time_ms now)
{
  GList *jobs = g_hash_table_get_values (j->by_id);
  for (GList *l = jobs; l; l = l->next)
    {
      job *b = l->data;
      if (b->deadline_ms >= now)
        continue;
      bool refused = j->shedding && has_not_run (b);
      mm_jobs_answer (b, refused ? MM_ANSWER_REFUSED : MM_ANSWER_GIVEN_UP,
                      "the caller's time is over",
                      MM_RETRY_AFTER_NO_CAPACITY_S);
    }
  g_list_free (jobs);
}

/**
 * mm_jobs_abandon() - end all jobs at once, with their outcome unknown.
 * @j: the jobs of this instance.
 * @why: reason given to the callers.
 *
 * Called when the process has stalled for longer than leases last, and when it
 * is about to exit: callers may have sent their jobs to another instance, or
 * will do so, and therefore no task of them may start here any more.  Tasks
 * may have run, so no caller is answered that its job was refused.
 */
void
mm_jobs_abandon (mm_jobs *j, const char *why)
{
  GList *jobs = g_hash_table_get_values (j->by_id);
  for (GList *l = jobs; l; l = l->next)
    mm_jobs_answer (l->data, MM_ANSWER_UNKNOWN, why,
                    MM_RETRY_AFTER_NO_CAPACITY_S);
  g_list_free (jobs);
}

void
mm_jobs_dispatch_waiting (job *b, task_wait wait)
{
  for (uint32_t i = 0; i < b->n_tasks; i++)
    if (b->tasks[i].wait == wait)
      dispatch (&b->tasks[i]);
}

/* Dispatches again the tasks for whose service no capacity was reported. Gives
   up the job when it is too late for them to start, or when evacuations leave
   the service without capacity, as these last.  */
static void
retry_without_owner (job *b, mm_time_ms now)
{
  if (mm_fleet_load (b->jobs->fleet, b->service, b->priority, 1).evacuated)
    {
      mm_jobs_give_up (b, "the data centres are evacuated");
      return;
    }
  if (now >= b->latest_start_ms)
    {
      mm_jobs_give_up (b, "no owner in reach");
      return;
    }
  mm_jobs_dispatch_waiting (b, WAIT_OWNER);
}

/* Dispatches the tasks in doubt whose earlier runs have ended by now.  */
static void
redispatch_in_doubt (job *b, mm_time_ms now)
{
  for (uint32_t i = 0; i < b->n_tasks; i++)
    {
      task *t = &b->tasks[i];
      if (!t->redispatch_ms || now < t->redispatch_ms)
        continue;
      t->redispatch_ms = 0;
      t->ready_ms = now;
      b->n_in_doubt--;
      dispatch (t);
    }
}

/* Returns whether a task of the job does not run before the crashes of
   upstreams that ran it expire, which is later than any caller waits.  */
static bool
has_postponed_task (const job *b)
{
  for (uint32_t i = 0; i < b->n_tasks; i++)
    if (b->tasks[i].wait == WAIT_VERDICT
        && mm_fleet_suspect_action (b->jobs->fleet, &b->tasks[i].id)
               == MM_SUSPECT_POSTPONE)
      return true;
  return false;
}

/* Dispatches the job's waiting suspects again, if they may run: more may be
   known by now of the upstreams that were lost while running them.  Fails the
   job when one is a poison task.  Gives the job up after its deadline, and
   when a task cannot run before it.  */
static void
retry_suspects (job *b, mm_time_ms now)
{
  if (fail_on_poison_task (b))
    return;
  if (now >= b->deadline_ms || has_postponed_task (b))
    {
      mm_jobs_give_up (b, "upstreams were lost under a task");
      return;
    }
  mm_jobs_dispatch_waiting (b, WAIT_VERDICT);
}

static void
retry_all_suspects (mm_jobs *j, mm_time_ms now)
{
  GList *jobs = g_hash_table_get_values (j->by_id);
  for (GList *l = jobs; l; l = l->next)
    if (((job *)l->data)->n_waiting[WAIT_VERDICT])
      retry_suspects (l->data, now);
  g_list_free (jobs);
}

void
mm_jobs_tick (mm_jobs *j)
{
  mm_time_ms now = mm_clock_now_ms ();
  if (j->shedding)
    mm_jobs_shed (j, now);
  GList *jobs = g_hash_table_get_values (j->by_id);
  for (GList *l = jobs; l; l = l->next)
    {
      job *b = l->data;
      if (b->n_in_doubt)
        redispatch_in_doubt (b, now);
      if (b->n_waiting[WAIT_OWNER])
        retry_without_owner (b, now);
    }
  g_list_free (jobs);
  retry_all_suspects (j, now);
  give_up_expired (j, mm_clock_now_ms ());
}

uint32_t
mm_jobs_count (const mm_jobs *j)
{
  return g_hash_table_size (j->by_id);
}
