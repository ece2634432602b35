/* mm_entry_job: a job on an entry instance, from its acceptance to its
   answer.

   First the job is recorded in its shard's log (ACCEPTING), so that later
   owners of the shard know of it.  If an earlier owner may have accepted it,
   the upstreams report what already ran (RECOVERING).  Then its tasks wait
   in one FIFO queue and are sent only into free upstream slots (RUNNING).
   The answer is built once, when every task has a result (complete) or when
   the job can no longer complete (failed); there are no partial answers.
   Every caller that submitted the same job id gets that same answer.  */
#include "mm_entry_priv.h"

#include <string.h>

/* An entry of the queue of tasks that wait for a slot.  */
typedef struct
{
  mm_entry_job *ej;
  uint32_t index; /* of the task in the job */
} queued_task;

/* Context of a call that runs a task on an upstream.  */
typedef struct
{
  mm_entry_job *ej;
  uint32_t index; /* of the task in the job */
  int upstream;   /* index in the pool */
} send_ctx;

/**
 * mm_entry_job_ref() - take a reference to a job.
 * @ej: the job; it is freed with its last reference.
 */
void
mm_entry_job_ref (mm_entry_job *ej)
{
  ej->refs++;
}

void
mm_entry_job_unref (mm_entry_job *ej)
{
  if (--ej->refs)
    return;
  mm_entry_recovery_free (ej);
  mm_job_destroy (ej->job);
  g_ptr_array_free (ej->waiters, TRUE);
  g_free (ej);
}

/* Counts one task less that waits or runs, for the instance and the team.  */
static void
task_finished (mm_entry_job *ej)
{
  mm_entry *e = ej->entry;
  e->tasks_queued--;
  mm_quota_add (e->quota, ej->job->team, -1);
}

/* Removes the job from the table.  Calls that end later find it FINISHED.  */
static void
job_remove (mm_entry_job *ej)
{
  mm_entry *e = ej->entry;
  ej->phase = MM_JOB_FINISHED;
  ev_timer_stop (e->loop, &ej->deadline);
  g_hash_table_remove (e->jobs, ej->job->id);
}

/* Sends the answer to all requests that wait for it.  */
static void
job_answer (mm_entry_job *ej, unsigned status, const char *answer,
            uint32_t retry_after_s)
{
  for (guint i = 0; i < ej->waiters->len; i++)
    mm_entry_waiter_reply (ej->entry, ej->waiters->pdata[i], status, answer,
                           retry_after_s);
  g_ptr_array_set_size (ej->waiters, 0);
}

/* Answers a job whose tasks all have a result, and stores the answer.  */
static void
job_complete (mm_entry_job *ej)
{
  mm_counters_add (ej->entry->counters, "jobs_complete", 1);
  char *answer = mm_entry_answer_json (ej, "complete", 0, NULL, 0);
  job_remove (ej);
  job_answer (ej, 200, answer, 0);
  mm_entry_answer_store (ej->entry, ej->job->id, answer);
  mm_entry_job_unref (ej);
}

static bool
is_open (const mm_task *t)
{
  return t->state == MM_TASK_PENDING || t->state == MM_TASK_RUNNING;
}

static bool
never_sent (const mm_task *t)
{
  return t->state == MM_TASK_PENDING && t->attempts == 0;
}

/* Gives every task without a final state one.  A task that was never sent
   from here is "not run" only when @owned, as no other instance can have sent
   it then; otherwise it is "unknown".  Returns the number of tasks that ran
   or may have run.  */
static uint32_t
finish_open_tasks (mm_entry_job *ej, bool owned)
{
  uint32_t ran = 0;
  for (uint32_t i = 0; i < ej->job->n_tasks; i++)
    {
      mm_task *t = &ej->job->tasks[i];
      if (is_open (t))
        {
          t->state
              = never_sent (t) && owned ? MM_TASK_NOT_RUN : MM_TASK_UNKNOWN;
          task_finished (ej);
        }
      ran += t->state != MM_TASK_NOT_RUN;
    }
  return ran;
}

/* Answers a job with the failure in fail_code and fail_why.  @owned: whether
   this instance certainly owns the job's shard, see finish_open_tasks().  The
   answer is stored unless no task of the job ran.  */
static void
fail_now (mm_entry_job *ej, bool owned)
{
  mm_entry *e = ej->entry;
  uint32_t ran = finish_open_tasks (ej, owned);
  uint32_t retry_s = (uint32_t)mm_cfg_current (e->cfg)->retry_after_s;
  mm_counters_add (e->counters, "jobs_failed", 1);
  g_message ("job %s failed: %s", ej->job->id, ej->fail_why);
  char *answer = mm_entry_answer_json (ej, "failed", ej->fail_code,
                                       ej->fail_why, retry_s);
  job_remove (ej);
  job_answer (ej, ej->fail_code == MM_ERROR_TIMEOUT ? 504 : 502, answer,
              retry_s);
  if (ran)
    mm_entry_answer_store (e, ej->job->id, answer);
  else
    free (answer);
  mm_entry_job_unref (ej);
}

/* Fails the job after the log has answered whether this instance owns the
   shard.  */
static void
fail_after_verify (bool owned, void *ctx)
{
  mm_entry_job *ej = ctx;
  if (ej->phase == MM_JOB_FAILING)
    fail_now (ej, owned);
  mm_entry_job_unref (ej);
}

static bool
has_unsent_task (const mm_entry_job *ej)
{
  for (uint32_t i = 0; i < ej->job->n_tasks; i++)
    if (never_sent (&ej->job->tasks[i]))
      return true;
  return false;
}

/**
 * mm_entry_job_fail() - end a job that can no longer complete.
 * @ej: the job.
 * @code: mm_error_code.
 * @why: message for the callers; a constant string.
 *
 * This instance may have stalled and been replaced without noticing, and the
 * new owner may have run the tasks.  So the log has to confirm that this
 * instance still owns the shard before an answer calls a task "not run".  That
 * takes one call of at most MM_VERIFY_TIMEOUT_MS.  The answer of a job of
 * which nothing ran is not stored, so that a resubmit may run the job.
 */
void
mm_entry_job_fail (mm_entry_job *ej, int code, const char *why)
{
  if (ej->phase == MM_JOB_FAILING)
    return;
  bool claims_not_run
      = has_unsent_task (ej) && ej->earlier_accept == MM_EARLIER_ACCEPT_NONE;
  if (ej->phase == MM_JOB_ACCEPTING)
    mm_shard_cancel (ej->shard, ej);
  ej->phase = MM_JOB_FAILING;
  ej->fail_code = code;
  ej->fail_why = why;
  if (!claims_not_run || !*ej->entry->settings.platform_url)
    fail_now (ej, claims_not_run);
  else
    {
      mm_entry_job_ref (ej);
      mm_shard_verify (ej->shard, fail_after_verify, ej);
    }
}

/**
 * mm_entry_job_moved() - leave a job to the instance that owns it now.
 * @ej: the job; it ends here without an answer from this instance.
 * @owner: the new owner, or NULL when not known.
 *
 * Every waiting request is routed to the new owner, which finds out from the
 * upstreams what this instance started.
 */
void
mm_entry_job_moved (mm_entry_job *ej, const char *owner)
{
  mm_entry *e = ej->entry;
  mm_counters_add (e->counters, "jobs_moved", 1);
  /* If the job comes back, it is recovered, because this instance may have
     started some of its tasks.  */
  if (ej->phase != MM_JOB_ACCEPTING)
    mm_shard_add_accepted (ej->shard, ej->job->id, ej->fingerprint);
  finish_open_tasks (ej, false);
  job_remove (ej);
  for (guint i = 0; i < ej->waiters->len; i++)
    {
      mm_waiter *w = g_new (mm_waiter, 1);
      *w = *(mm_waiter *)ej->waiters->pdata[i];
      mm_entry_reroute (e, w, ej->job, owner);
    }
  g_ptr_array_set_size (ej->waiters, 0);
  mm_entry_job_unref (ej);
}

static void
deadline_cb (struct ev_loop *loop, ev_timer *w, int revents)
{
  mm_entry_job_fail (w->data, MM_ERROR_TIMEOUT, "a task passed its deadline");
}

/* Adds a task to the queue, at its front when it is sent again.  */
static void
enqueue (mm_entry *e, mm_entry_job *ej, uint32_t index, bool front)
{
  queued_task *queued = g_new0 (queued_task, 1);
  queued->ej = ej;
  queued->index = index;
  mm_entry_job_ref (ej);
  if (front)
    g_queue_push_head (&e->queue, queued);
  else
    g_queue_push_tail (&e->queue, queued);
}

/* Returns the outcome of a task, by the answer of its upstream: 503 refuses a
   start while the upstream drains, 409 a start with an epoch that is too old.
   Without an answer, the task may have run only if a part of the request was
   sent.  */
static mm_outcome
outcome_of (const mm_http_result *res)
{
  if (res->status == 200)
    return MM_OUTCOME_OK;
  if (res->status == 503)
    return MM_OUTCOME_REFUSED;
  if (res->status == 409)
    return MM_OUTCOME_FENCED;
  if (res->status >= 400 && res->status < 600)
    return MM_OUTCOME_FAILED;
  return res->sent ? MM_OUTCOME_LOST : MM_OUTCOME_UNREACHABLE;
}

/* Queues a task to be sent again.  @counter: name of the counter for it.  */
static void
requeue (mm_entry_job *ej, mm_task *t, const char *counter)
{
  t->state = MM_TASK_PENDING;
  mm_counters_add (ej->entry->counters, counter, 1);
  enqueue (ej->entry, ej, (uint32_t)(t - ej->job->tasks), true);
}

/**
 * mm_entry_handle_task_outcome() - finish a sent task, or send it again.
 * @ej: its job, not finished; this call may finish and free it, unless the
 *      caller holds a reference.
 * @t: the task, in state MM_TASK_RUNNING.
 * @o: the outcome of its last start.
 * @result: with MM_OUTCOME_OK, the task's result, copied.
 */
void
mm_entry_handle_task_outcome (mm_entry_job *ej, mm_task *t, mm_outcome o,
                              const char *result)
{
  mm_entry *e = ej->entry;
  const mm_cfg_settings *k = mm_cfg_current (e->cfg);
  switch (o)
    {
    case MM_OUTCOME_OK:
      t->result = g_strdup (result ? result : "");
      t->state = MM_TASK_DONE;
      t->finished_ms = mm_clock_now_ms ();
      task_finished (ej);
      if (--ej->remaining == 0)
        job_complete (ej);
      return;
    /* The task was refused before its start or never reached the upstream.
       It did not run, so sending it elsewhere cannot start it twice, whether
       it is idempotent or not.  */
    case MM_OUTCOME_REFUSED:
    case MM_OUTCOME_UNREACHABLE:
      t->attempts--;
      requeue (ej, t, "resends_not_run");
      return;
    /* A later owner has raised the job's epoch at the upstream: it replaced
       this instance, for example while this process was stalled.  The 0 means
       that the higher epoch itself is not known here.  */
    case MM_OUTCOME_FENCED:
      t->attempts--;
      t->state = MM_TASK_PENDING;
      mm_shard_superseded (ej->shard, 0);
      mm_entry_job_moved (ej, mm_shard_owner (ej->shard));
      return;
    case MM_OUTCOME_FAILED:
    case MM_OUTCOME_LOST:
      break;
    }
  /* The task ran and failed, or may have run.  Only an idempotent task may
     run again, and only within the retry budget.  */
  if (t->idempotent && t->attempts <= (uint32_t)k->retry_budget)
    {
      requeue (ej, t, "retries");
      return;
    }
  t->state = o == MM_OUTCOME_FAILED ? MM_TASK_FAILED : MM_TASK_UNKNOWN;
  task_finished (ej);
  mm_entry_job_fail (ej, MM_ERROR_UPSTREAM,
                     o == MM_OUTCOME_FAILED
                         ? "a task failed"
                         : "a task's outcome is unknown and it is not "
                           "idempotent");
}

/**
 * mm_entry_handle_upstream_outcome() - record a task's end for its upstream.
 * @e: the entry instance.
 * @upstream: its index in the pool.
 * @o: the outcome of the task.
 * @mode_seq: with MM_OUTCOME_REFUSED, the upstream's mode_seq.
 *
 * The peers are notified when this outcome ejects the upstream.
 */
void
mm_entry_handle_upstream_outcome (mm_entry *e, int upstream, mm_outcome o,
                                  int64_t mode_seq)
{
  const mm_cfg_settings *k = mm_cfg_current (e->cfg);
  if (mm_pool_task_ended (e->pool, upstream, o, mode_seq, mm_clock_now_ms (),
                          (uint32_t)k->eject_after_failures, k->eject_ms))
    mm_entry_notify_ejected (e, mm_pool_at (e->pool, upstream)->name);
}

/* Handles the end of the call that runs a task on an upstream.  */
static void
task_answered (const mm_http_result *res, void *ctx)
{
  send_ctx *s = ctx;
  mm_entry_job *ej = s->ej;
  mm_entry *e = ej->entry;
  mm_task *t = &ej->job->tasks[s->index];
  mm_outcome o = outcome_of (res);
  cJSON *a = NULL;
  if (o == MM_OUTCOME_OK || o == MM_OUTCOME_REFUSED)
    a = cJSON_ParseWithLength (res->body, res->body_bytes);
  const cJSON *seq = cJSON_GetObjectItem (a, "mode_seq");
  mm_entry_handle_upstream_outcome (
      e, s->upstream, o, cJSON_IsNumber (seq) ? (int64_t)seq->valuedouble : 0);
  mm_counters_add (e->counters, "upstream_answers", 1);
  /* Exponential moving average: a new run time has a weight of one tenth.  */
  if (o == MM_OUTCOME_OK)
    e->run_ewma_ms = 0.9 * e->run_ewma_ms
                     + 0.1 * (double)(mm_clock_now_ms () - t->started_ms);
  if (ej->phase >= MM_JOB_FAILING)
    mm_counters_add (e->counters, "answers_unused", 1);
  else
    mm_entry_handle_task_outcome (
        ej, t, o, cJSON_GetStringValue (cJSON_GetObjectItem (a, "result")));
  cJSON_Delete (a);
  mm_entry_job_unref (ej);
  g_free (s);
  mm_entry_send_waiting (e);
}

/* Sends a task to an upstream that has a free slot.  */
static void
send_task (mm_entry *e, mm_entry_job *ej, uint32_t index, int upstream)
{
  mm_task *t = &ej->job->tasks[index];
  const mm_pool_member *m = mm_pool_at (e->pool, upstream);
  cJSON *o = cJSON_CreateObject ();
  cJSON_AddStringToObject (o, "job_id", ej->job->id);
  cJSON_AddStringToObject (o, "task_id", t->id);
  cJSON_AddStringToObject (o, "payload", t->payload);
  cJSON_AddNumberToObject (o, "run_ms", (double)t->run_ms);
  cJSON_AddNumberToObject (o, "epoch", (double)ej->epoch);
  char *body = cJSON_PrintUnformatted (o);
  cJSON_Delete (o);
  char *url = g_strdup_printf ("%s/v1/tasks", m->url);
  send_ctx *s = g_new0 (send_ctx, 1);
  s->ej = ej;
  s->index = index;
  s->upstream = upstream;
  mm_entry_job_ref (ej);
  t->state = MM_TASK_RUNNING;
  t->attempts++;
  t->upstream = upstream;
  t->started_ms = mm_clock_now_ms ();
  mm_pool_task_sent (e->pool, upstream);
  mm_counters_add (e->counters, "tasks_sent", 1);
  mm_http_client_call (e->upstream_client, "POST", url, body,
                       mm_cfg_current (e->cfg)->dispatch_timeout_ms,
                       task_answered, s);
  g_free (url);
  free (body);
}

/**
 * mm_entry_send_waiting() - send waiting tasks into free upstream slots.
 * @e: the entry instance.
 *
 * Tasks of jobs that fail or have finished are dropped from the queue here.
 */
void
mm_entry_send_waiting (mm_entry *e)
{
  mm_time_ms now = mm_clock_now_ms ();
  while (!g_queue_is_empty (&e->queue))
    {
      queued_task *queued = g_queue_peek_head (&e->queue);
      if (queued->ej->phase < MM_JOB_FAILING)
        {
          int up = mm_pool_pick (e->pool, now);
          if (up < 0)
            break;
          send_task (e, queued->ej, queued->index, up);
        }
      g_queue_pop_head (&e->queue);
      mm_entry_job_unref (queued->ej);
      g_free (queued);
    }
  if (e->shutting_down)
    ev_idle_start (e->loop, &e->shutdown_check);
}

/**
 * mm_entry_job_run() - queue the job's pending tasks.
 * @ej: the job, accepted, and recovered if an earlier owner may have run it.
 */
void
mm_entry_job_run (mm_entry_job *ej)
{
  ej->phase = MM_JOB_RUNNING;
  for (uint32_t i = 0; i < ej->job->n_tasks; i++)
    if (ej->job->tasks[i].state == MM_TASK_PENDING)
      enqueue (ej->entry, ej, i, false);
  mm_entry_send_waiting (ej->entry);
}

/* Continues with a job once its shard has recorded it, or cannot: runs it,
   recovers it first if an earlier owner may have run it, or leaves it to the
   new owner of the shard.  */
static void
accept_answered (const mm_accept *a, void *ctx)
{
  mm_entry_job *ej = ctx;
  mm_entry *e = ej->entry;
  ej->epoch = a->epoch;
  ej->fingerprint = a->verdict == MM_ACCEPT_KNOWN
                        ? a->fingerprint
                        : mm_pool_list_fingerprint (e->pool);
  switch (a->verdict)
    {
    case MM_ACCEPT_RECORDED:
      ej->earlier_accept = mm_entry_earlier_accept (e, ej->job->id);
      if (ej->earlier_accept == MM_EARLIER_ACCEPT_POSSIBLE)
        mm_entry_recover (ej, false, 0);
      else
        mm_entry_job_run (ej);
      break;
    case MM_ACCEPT_UNRECORDED:
      ej->earlier_accept = MM_EARLIER_ACCEPT_POSSIBLE;
      mm_entry_recover (ej, false, 0);
      break;
    case MM_ACCEPT_KNOWN:
      ej->earlier_accept = MM_EARLIER_ACCEPT_KNOWN;
      mm_entry_recover (ej, true, a->fingerprint);
      break;
    case MM_ACCEPT_MOVED:
      mm_entry_job_moved (ej, a->shard_owner);
      break;
    }
}

/**
 * mm_entry_job_start() - accept a job.
 * @e: the entry instance.
 * @w: the request that waits for its answer; ownership is taken.
 * @job: the job; ownership is taken.
 *
 * Without a platform there is no log, and the job runs at once.
 */
void
mm_entry_job_start (mm_entry *e, mm_waiter *w, mm_job *job)
{
  mm_entry_job *ej = g_new0 (mm_entry_job, 1);
  ej->entry = e;
  ej->job = job;
  ej->shard = mm_entry_shard_of (e, job->id);
  ej->earlier_accept = mm_entry_earlier_accept (e, job->id);
  ej->waiters = g_ptr_array_new_with_free_func (g_free);
  g_ptr_array_add (ej->waiters, w);
  ej->remaining = job->n_tasks;
  ej->refs = 1;
  job->submitted_ms = mm_clock_now_ms ();
  g_hash_table_insert (e->jobs, job->id, ej);
  e->tasks_queued += job->n_tasks;
  mm_quota_add (e->quota, job->team, job->n_tasks);
  ev_timer_init (&ej->deadline, deadline_cb,
                 (double)mm_entry_first_deadline_ms (job) / 1000.0, 0.);
  ej->deadline.data = ej;
  ev_timer_start (e->loop, &ej->deadline);
  mm_counters_add (e->counters, "jobs_accepted", 1);
  mm_counters_add (e->counters, "tasks_accepted", job->n_tasks);
  if (*e->settings.platform_url)
    mm_shard_accept (ej->shard, job->id, accept_answered, ej);
  else
    mm_entry_job_run (ej);
}

/**
 * mm_entry_jobs_dump() - list the jobs in progress for the state dump.
 * @e: the entry instance.
 *
 * Return: JSON text, free with free().
 */
char *
mm_entry_jobs_dump (const mm_entry *e)
{
  /* Indexed by mm_entry_job_phase.  */
  static const char *const phases[]
      = { "accepting", "recovering", "running", "failing", "finished" };
  cJSON *arr = cJSON_CreateArray ();
  GHashTableIter it;
  gpointer k, v;
  g_hash_table_iter_init (&it, e->jobs);
  while (g_hash_table_iter_next (&it, &k, &v))
    {
      mm_entry_job *ej = v;
      cJSON *o = cJSON_CreateObject ();
      cJSON_AddStringToObject (o, "job_id", ej->job->id);
      cJSON_AddStringToObject (o, "team", ej->job->team);
      cJSON_AddStringToObject (o, "phase", phases[ej->phase]);
      cJSON_AddNumberToObject (o, "epoch", (double)ej->epoch);
      cJSON_AddNumberToObject (o, "tasks", ej->job->n_tasks);
      cJSON_AddNumberToObject (o, "remaining", ej->remaining);
      cJSON_AddNumberToObject (o, "waiters", ej->waiters->len);
      cJSON_AddItemToArray (arr, o);
    }
  char *s = cJSON_PrintUnformatted (arr);
  cJSON_Delete (arr);
  return s;
}

/**
 * mm_entry_jobs_free() - free all jobs and answers when the instance is
 * destroyed.
 * @e: the entry instance; its loop no longer runs.
 */
void
mm_entry_jobs_free (mm_entry *e)
{
  mm_entry_answers_free (e);
  queued_task *queued;
  while ((queued = g_queue_pop_head (&e->queue)))
    {
      mm_entry_job_unref (queued->ej);
      g_free (queued);
    }
  GHashTableIter it;
  gpointer k, v;
  g_hash_table_iter_init (&it, e->jobs);
  while (g_hash_table_iter_next (&it, &k, &v))
    {
      mm_entry_job *ej = v;
      ev_timer_stop (e->loop, &ej->deadline);
      g_hash_table_iter_steal (&it);
      mm_entry_job_unref (ej);
    }
}
