/* mm_jobs: each job owns its tasks; each task is at most at one owner.

   Nothing of a job is kept: its caller's open request is all that asks
   for it.  When the caller leaves, its tasks are stopped, so that the
   same job sent again elsewhere finds none of them running.  */
#include "mm_jobs.h"

#include "config.h"
#include "mm_event.h"
#include "mm_metrics.h"
#include "mm_caller_wait.h"
#include "mm_steps.h"

#include <string.h>

typedef struct job job;

typedef struct
{
  job *job;
  mm_task_id id;
  mm_ticket *ticket; /* at an owner, or NULL */
  uint32_t failures;
  mm_time_ms handed_ms;
  char *avoid;         /* upstream of the last failure */
  char *returned_by;   /* owner that did not start it, "": this instance */
  bool stranded;       /* no owner was in reach */
  bool held;           /* it may crash upstreams: not handed out for now */
  bool apart;          /* handed out as one that may */
  mm_time_ms again_ms; /* out of sight: handed out again then, 0: it is not */
  bool done;
} task;

struct job
{
  mm_jobs *jobs;
  mm_submission *s;
  char *service;
  char *queue;
  uint32_t priority;
  uint32_t attempts;
  mm_time_ms submitted_ms;
  mm_time_ms deadline_ms; /* the caller leaves */
  mm_time_ms due_ms;      /* a task begun by then is in time */
  mm_time_ms start_by_ms; /* one not begun by then comes too late */
  task *tasks;
  uint32_t n_tasks;
  mm_steps *steps;
  bool handed_out; /* a task may have started */
  uint32_t n_stranded;
  uint32_t n_lost; /* tasks out of sight */
  uint32_t n_held;
  uint32_t n_apart;
  GList *callers;
};

struct mm_caller
{
  job *job;
  mm_answer_cb on_answer;
  void *ctx;
};

struct mm_jobs
{
  mm_fleet *fleet;
  GHashTable *by_id;    /* job id -> job */
  GHashTable *patience; /* queue -> mm_caller_wait */
};

mm_jobs *
mm_jobs_create (mm_fleet *fleet)
{
  mm_jobs *j = g_new0 (mm_jobs, 1);
  j->fleet = fleet;
  j->by_id = g_hash_table_new (g_str_hash, g_str_equal);
  j->patience
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  return j;
}

static void
stop_tasks (job *b)
{
  for (uint32_t i = 0; i < b->n_tasks; i++)
    if (b->tasks[i].ticket)
      mm_fleet_cancel (b->jobs->fleet, g_steal_pointer (&b->tasks[i].ticket));
}

static void
job_free (job *b)
{
  stop_tasks (b);
  g_hash_table_remove (b->jobs->by_id, b->s->id);
  for (uint32_t i = 0; i < b->n_tasks; i++)
    {
      g_free (b->tasks[i].avoid);
      g_free (b->tasks[i].returned_by);
    }
  g_free (b->tasks);
  mm_steps_destroy (b->steps);
  g_free (b->service);
  g_free (b->queue);
  mm_submission_free (b->s);
  g_list_free_full (b->callers, g_free);
  g_free (b);
}

/* Every caller gets the same whole answer; the job is over.  */
static void
answer (job *b, mm_answer_kind kind, const char *why, uint32_t retry_after_s)
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
  mm_log_event (MM_EV_JOB_ANSWERED, MM_TEXT (b->s->id), MM_TEXT (b->queue),
                MM_TEXT (kinds[kind].name), MM_INT (took_ms), MM_TEXT (why));
  stop_tasks (b);
  while (b->callers)
    {
      mm_caller *c = b->callers->data;
      b->callers = g_list_delete_link (b->callers, b->callers);
      c->on_answer (c->ctx, &a);
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
  g_hash_table_destroy (j->patience);
  g_free (j);
}

/* No room in time: refused if nothing of it can have run.  */
static void
give_up (job *b, const char *why)
{
  if (b->handed_out)
    answer (b, MM_ANSWER_GIVEN_UP, why, MM_RETRY_AFTER_NO_ROOM_S);
  else
    answer (b, MM_ANSWER_REFUSED, why, MM_RETRY_AFTER_NO_ROOM_S);
}

static void on_task_done (void *ctx, const mm_work_result *r);

static void
hold (task *t)
{
  t->held = true;
  t->job->n_held++;
}

/* Hand a task to an owner; with none in reach it is tried again at each
   tick, as owners come back within a second or two.  */
static void
hand_out (task *t)
{
  job *b = t->job;
  mm_suspect_action action = mm_fleet_decide (b->jobs->fleet, &t->id);
  if (!mm_suspect_may_run (action, b->n_apart))
    {
      hold (t);
      return;
    }
  const mm_step *step = &b->s->steps[t->id.step];
  mm_time_ms now = mm_clock_now_ms ();
  mm_task_request r
      = { .id = t->id,
          .service = b->service,
          .payload = step->payload ? step->payload : b->s->payload,
          .label = step->label,
          .data_label = step->data_label,
          .avoid = t->avoid,
          .need = step->need,
          .apart = action == MM_SUSPECT_ISOLATE,
          .attempt = t->failures,
          .priority = b->priority,
          .estimate_ms = step->estimate_ms,
          .waited_ms = now - b->submitted_ms,
          .due_within_ms = MAX (b->due_ms - now, 0) };
  /* A short wait, then it is spread anew: room may have come free at
     another owner meanwhile.  */
  r.start_within_ms
      = CLAMP (b->start_by_ms - now, 1,
               MM_WITH_SPREAD_ANEW ? MM_SPREAD_WAIT_MS : MM_MAX_PATIENCE_MS);
  t->handed_ms = now;
  t->ticket
      = mm_fleet_submit (b->jobs->fleet, &r, t->returned_by, on_task_done, t);
  t->stranded = !t->ticket;
  b->n_stranded += t->stranded;
  t->apart = t->ticket && r.apart;
  b->n_apart += t->apart;
  b->handed_out = b->handed_out || t->ticket;
}

static void
begin_task (void *ctx, uint32_t number)
{
  hand_out (&((job *)ctx)->tasks[number]);
}

static void
on_done (task *t)
{
  job *b = t->job;
  t->done = true;
  mm_steps_task_done (b->steps, (uint32_t)(t - b->tasks));
  if (mm_steps_all_done (b->steps))
    answer (b, MM_ANSWER_COMPLETED, "", 0);
  else
    mm_steps_start_ready (b->steps, begin_task, b);
}

static bool
runs_once (const task *t)
{
  return t->job->s->steps[t->id.step].once;
}

static void
avoid (task *t, const char *upstream)
{
  g_free (t->avoid);
  t->avoid = g_strdup (upstream);
}

static void
on_failed (task *t, const char *upstream)
{
  job *b = t->job;
  avoid (t, upstream);
  t->failures++;
  if (t->failures >= b->attempts || runs_once (t))
    answer (b, MM_ANSWER_FAILED, "a task failed in every attempt", 0);
  else
    hand_out (t);
}

/* Until when a task is handed out again.  */
static mm_time_ms
give_up_time (const job *b, mm_end how)
{
  return how == MM_END_NOT_RUN ? b->start_by_ms : b->deadline_ms;
}

static const char *
what_next (const task *t, mm_end how, mm_time_ms now)
{
  const job *b = t->job;
  if (runs_once (t) && how != MM_END_NOT_RUN)
    return "job fails: a task runs only once";
  if (how == MM_END_UNKNOWN)
    return "caller is told to send the job again";
  if (how == MM_END_FAILED)
    return t->failures + 1 < b->attempts ? "another attempt"
                                         : "job fails: no attempt left";
  if (how == MM_END_LOST
      && mm_fleet_decide (b->jobs->fleet, &t->id) == MM_SUSPECT_WAIT)
    return "waits: upstreams were lost under it";
  return now < give_up_time (b, how) ? "handed out again"
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
log_end (const task *t, const mm_work_result *r, mm_time_ms now)
{
  if (r->how == MM_END_NOT_RUN)
    mm_log_event (MM_EV_TASK_RETURNED, MM_TASK (&t->id),
                  MM_INT (now - t->handed_ms), MM_TEXT (r->why),
                  MM_TEXT (what_next (t, r->how, now)));
  else if (r->how != MM_END_DONE)
    mm_log_event (MM_EV_TASK_FAILED, MM_TASK (&t->id), MM_TEXT (r->upstream),
                  MM_TEXT (mm_end_name (r->how)), MM_INT (now - t->handed_ms),
                  MM_TEXT (r->why), MM_TEXT (what_next (t, r->how, now)));
}

/* Out of sight a task may run on: under its lease, and before that until its
   owner has noticed that the link to us is gone.  Then it is certain to have
   ended, and runs again if its caller still waits by then: a whole answer late
   is worth more to it than none.  Return: false when it would not.  */
static bool
run_again_later (task *t, mm_time_ms now)
{
  job *b = t->job;
  mm_time_ms again_ms = now + MM_OUT_OF_SIGHT_MS;
  if (!MM_WITH_RUN_AGAIN || again_ms >= b->start_by_ms)
    return false;
  t->again_ms = again_ms;
  b->n_lost++;
  return true;
}

static void
on_task_done (void *ctx, const mm_work_result *r)
{
  task *t = ctx;
  job *b = t->job;
  mm_end how = r->how;
  mm_time_ms now = mm_clock_now_ms ();
  t->ticket = NULL;
  b->n_apart -= t->apart;
  t->apart = false;
  g_clear_pointer (&t->returned_by, g_free);
  if (how == MM_END_NOT_RUN)
    t->returned_by = g_strdup (r->owner ? r->owner : "");
  mm_metrics_count (end_counters[how]);
  log_end (t, r, now);
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
      avoid (t, r->upstream);
      if (runs_once (t))
        answer (b, MM_ANSWER_FAILED, "a task was lost and runs only once", 0);
      else if (now < b->deadline_ms)
        hand_out (t);
      else
        give_up (b, "a task was lost too late");
      break;
    case MM_END_NOT_RUN:
      if (now < b->start_by_ms)
        hand_out (t);
      else
        give_up (b, "no room in time");
      break;
    case MM_END_UNKNOWN:
      if (runs_once (t))
        answer (b, MM_ANSWER_FAILED, "a task is out of sight", 0);
      else if (!run_again_later (t, now))
        answer (b, MM_ANSWER_UNKNOWN, r->why, MM_RETRY_AFTER_NO_ROOM_S);
      break;
    }
}

/* A task that has crashed enough upstreams; NULL: none.  */
static const task *
given_up_task (const job *b)
{
  for (uint32_t i = 0; i < b->n_tasks; i++)
    if (!b->tasks[i].done
        && mm_fleet_decide (b->jobs->fleet, &b->tasks[i].id)
               == MM_SUSPECT_GIVE_UP)
      return &b->tasks[i];
  return NULL;
}

/* Return: whether the job has failed for such a task, and is gone.  */
static bool
fail_if_given_up (job *b)
{
  const task *t = given_up_task (b);
  if (!t)
    return false;
  mm_fleet_note_given_up (b->jobs->fleet, &t->id);
  answer (b, MM_ANSWER_FAILED, "a task crashes its upstreams", 0);
  return true;
}

static job *
job_create (mm_jobs *j, mm_submission *s, const mm_route *route,
            mm_time_ms caller_timeout_ms, mm_time_ms slack_ms)
{
  job *b = g_new0 (job, 1);
  mm_time_ms now = mm_clock_now_ms ();
  b->jobs = j;
  b->s = s;
  b->service = g_strdup (route->service);
  b->queue = g_strdup (route->name);
  b->priority = route->priority;
  b->attempts = MAX (route->attempts, 1);
  b->submitted_ms = now;
  b->deadline_ms = now + caller_timeout_ms;
  b->due_ms = now + slack_ms;
  b->start_by_ms = now
                   + mm_admission_limit_ms (route->stretch, route->slo_ms,
                                            mm_submission_chain_ms (s));
  b->start_by_ms = MIN (b->start_by_ms, b->deadline_ms);
  b->n_tasks = mm_submission_tasks (s);
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

/* Has the caller asked before, too long ago for an answer to be of use?  */
static bool
comes_too_late (mm_jobs *j, const mm_route *route,
                mm_time_ms caller_timeout_ms, mm_time_ms chain_ms)
{
  mm_caller_wait *p = g_hash_table_lookup (j->patience, route->name);
  if (!p)
    {
      p = g_new0 (mm_caller_wait, 1);
      g_hash_table_insert (j->patience, g_strdup (route->name), p);
    }
  return mm_caller_wait_is_too_late (
      p, caller_timeout_ms,
      mm_admission_useful_ms (route->stretch, route->slo_ms, chain_ms));
}

static mm_caller *
add_caller (job *b, mm_answer_cb on_answer, void *ctx)
{
  mm_caller *c = g_new0 (mm_caller, 1);
  c->job = b;
  c->on_answer = on_answer;
  c->ctx = ctx;
  b->callers = g_list_append (b->callers, c);
  return c;
}

/**
 * mm_jobs_submit() - take a job, or refuse it at once.
 * @j: the jobs.
 * @s: the job; taken.
 * @route: its queue.
 * @caller_timeout_ms: how long its caller waits.
 * @on_answer: called once, unless the caller leaves before.
 * @ctx: for @on_answer.
 *
 * Return: the caller's handle, NULL when it was refused.
 */
mm_caller *
mm_jobs_submit (mm_jobs *j, mm_submission *s, const mm_route *route,
                mm_time_ms caller_timeout_ms, mm_answer_cb on_answer,
                void *ctx)
{
  mm_metrics_count (MM_CT_JOBS_SUBMITTED);
  job *b = g_hash_table_lookup (j->by_id, s->id);
  if (b)
    {
      mm_submission_free (s);
      return add_caller (b, on_answer, ctx);
    }
  mm_answer no = { .kind = MM_ANSWER_REFUSED,
                   .retry_after_s = MM_RETRY_AFTER_NO_ROOM_S };
  no.why = route->needs_advice ? "queues with advice are not served"
                               : mm_submission_unsupported (s);
  mm_load load = mm_fleet_load (j->fleet, route->service, route->priority);
  mm_time_ms chain_ms = mm_submission_chain_ms (s);
  mm_time_ms slack
      = mm_admission_slack_ms (route->stretch, route->slo_ms, chain_ms);
  /* It gets what room is free, and queues up before nobody.  */
  if (MM_WITH_PATIENCE
      && comes_too_late (j, route, caller_timeout_ms, chain_ms))
    slack = 0;
  uint32_t tasks = mm_submission_first_tasks (s);
  mm_admission a = mm_admission_decide (&load, tasks, slack);
  if (!no.why && !a.take)
    {
      no.why = "would come too late";
      no.retry_after_s = a.retry_after_s;
    }
  if (no.why)
    {
      mm_metrics_count (a.take ? MM_CT_JOBS_REFUSED_KIND
                               : MM_CT_JOBS_REFUSED_LATE);
      mm_log_event (MM_EV_JOB_REFUSED, MM_TEXT (s->id), MM_TEXT (route->name),
                    MM_INT (route->config_version), MM_INT (tasks),
                    MM_INT (load.places), MM_INT (load.free),
                    MM_INT (load.waiting), MM_INT (load.age_ms),
                    MM_INT (a.wait_ms), MM_INT (slack), MM_TEXT (no.why));
      on_answer (ctx, &no);
      mm_submission_free (s);
      return NULL;
    }
  mm_log_event (MM_EV_JOB_ACCEPTED, MM_TEXT (s->id), MM_TEXT (route->name),
                MM_INT (route->config_version), MM_INT (tasks),
                MM_INT (load.places), MM_INT (load.free),
                MM_INT (load.waiting), MM_INT (load.age_ms),
                MM_INT (a.wait_ms), MM_INT (slack));
  b = job_create (j, s, route, caller_timeout_ms, slack);
  mm_caller *c = add_caller (b, on_answer, ctx);
  if (b->n_tasks == 0)
    {
      answer (b, MM_ANSWER_COMPLETED, "", 0);
      return NULL;
    }
  /* Handed in again, it crashes nothing more.  */
  if (fail_if_given_up (b))
    return NULL;
  mm_steps_start_ready (b->steps, begin_task, b);
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
  mm_log_event (MM_EV_JOB_CALLER_LEFT, MM_TEXT (b->s->id), MM_TEXT (b->queue),
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
    answer (b, MM_ANSWER_CANCELLED, "by its caller", 0);
  return b != NULL;
}

static void
answer_all (mm_jobs *j, mm_answer_kind kind, const char *why,
            mm_time_ms due_before_ms)
{
  GList *jobs = g_hash_table_get_values (j->by_id);
  for (GList *l = jobs; l; l = l->next)
    if (((job *)l->data)->deadline_ms < due_before_ms)
      answer (l->data, kind, why, MM_RETRY_AFTER_NO_ROOM_S);
  g_list_free (jobs);
}

/**
 * mm_jobs_abandon() - give all jobs up at once.
 * @j: the jobs.
 * @why: told to their callers.
 *
 * For a process that stood still longer than leases last, and one about to
 * exit: callers may have sent, or will send, their jobs to another
 * instance, so nothing of them may start here any more.  Tasks may have
 * run: no caller is told that its job did not.
 */
void
mm_jobs_abandon (mm_jobs *j, const char *why)
{
  answer_all (j, MM_ANSWER_UNKNOWN, why, G_MAXINT64);
}

static void
retry_stranded (job *b, mm_time_ms now)
{
  if (now >= b->start_by_ms)
    {
      give_up (b, "no owner in reach");
      return;
    }
  b->n_stranded = 0;
  for (uint32_t i = 0; i < b->n_tasks; i++)
    if (b->tasks[i].stranded)
      hand_out (&b->tasks[i]);
}

static void
retry_lost (job *b, mm_time_ms now)
{
  for (uint32_t i = 0; i < b->n_tasks; i++)
    {
      task *t = &b->tasks[i];
      if (!t->again_ms || now < t->again_ms)
        continue;
      t->again_ms = 0;
      b->n_lost--;
      hand_out (t);
    }
}

/* More may be known now of the upstreams that were lost under its tasks.  */
static void
review_held (job *b, mm_time_ms now)
{
  if (fail_if_given_up (b))
    return;
  if (now >= b->deadline_ms)
    {
      give_up (b, "upstreams were lost under a task");
      return;
    }
  b->n_held = 0;
  for (uint32_t i = 0; i < b->n_tasks; i++)
    {
      bool held = b->tasks[i].held;
      b->tasks[i].held = false;
      if (held)
        hand_out (&b->tasks[i]);
    }
}

static void
review_all_held (mm_jobs *j, mm_time_ms now)
{
  GList *jobs = g_hash_table_get_values (j->by_id);
  for (GList *l = jobs; l; l = l->next)
    if (((job *)l->data)->n_held)
      review_held (l->data, now);
  g_list_free (jobs);
}

void
mm_jobs_tick (mm_jobs *j)
{
  mm_time_ms now = mm_clock_now_ms ();
  GList *jobs = g_hash_table_get_values (j->by_id);
  for (GList *l = jobs; l; l = l->next)
    {
      job *b = l->data;
      if (b->n_lost)
        retry_lost (b, now);
      if (b->n_stranded)
        retry_stranded (b, now);
    }
  g_list_free (jobs);
  review_all_held (j, now);
  answer_all (j, MM_ANSWER_GIVEN_UP, "the caller's time is over",
              mm_clock_now_ms ());
}

uint32_t
mm_jobs_count (const mm_jobs *j)
{
  return g_hash_table_size (j->by_id);
}
