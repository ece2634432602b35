/* mm_entry_job: jobs on an entry instance, from admission to answer.

   A job is admitted whole or refused whole.  Its tasks wait in one FIFO
   queue and go out only into free upstream slots.  The answer is built
   once, when every task has a result (complete) or when the job can no
   longer complete (failed): never a partial answer.  Every caller that
   submitted the same job id gets that same whole answer; a resubmit of a
   job in progress waits for it, one of a finished job gets it at once,
   and neither starts any task again.  */
#include "mm_entry_priv.h"

#include <cJSON.h>
#include <string.h>

/* Who waits for a job's answer: a caller on HTTP, or a peer instance
   that forwarded the job to us, its owner.  */
typedef struct
{
  mm_http_request *http; /* NULL for a peer */
  uint64_t conn_id;      /* peer link */
  uint64_t req_id;       /* peer request */
} waiter;

struct mm_entry_job
{
  mm_entry *entry;
  mm_job *job;
  GPtrArray *waiters; /* waiter * */
  uint32_t remaining; /* tasks without a final state */
  uint32_t refs;      /* table + queue entries + sends in flight */
  bool finished;
  ev_timer deadline;
};

typedef struct
{
  mm_entry_job *ej;
  uint32_t index;
} task_ref;

typedef struct
{
  mm_entry_job *ej;
  uint32_t index;
  int upstream;
} send_ctx;

static void job_fail (mm_entry_job *ej, int code, const char *why);

static void
waiter_reply (mm_entry *e, const waiter *w, unsigned status, const char *body,
              uint32_t retry_after_s)
{
  if (w->http)
    mm_http_reply (w->http, status, body, retry_after_s);
  else
    mm_peer_reply (e->peer, w->conn_id, w->req_id, status, retry_after_s,
                   body);
}

static void
job_unref (mm_entry_job *ej)
{
  if (--ej->refs)
    return;
  mm_job_destroy (ej->job);
  g_ptr_array_free (ej->waiters, TRUE);
  g_free (ej);
}

static void
team_add (mm_entry *e, const char *team, int64_t n)
{
  int64_t v = GPOINTER_TO_SIZE (g_hash_table_lookup (e->team_tasks, team));
  v += n;
  if (v <= 0)
    g_hash_table_remove (e->team_tasks, team);
  else
    g_hash_table_insert (e->team_tasks, g_strdup (team), GSIZE_TO_POINTER (v));
}

static void
task_settled (mm_entry_job *ej)
{
  mm_entry *e = ej->entry;
  e->tasks_queued--;
  team_add (e, ej->job->team, -1);
}

static char *
answer_json (const mm_entry_job *ej, const char *status, int code,
             const char *why, uint32_t retry_after_s)
{
  cJSON *o = cJSON_CreateObject ();
  cJSON_AddStringToObject (o, "job_id", ej->job->id);
  cJSON_AddStringToObject (o, "status", status);
  cJSON_AddNumberToObject (
      o, "elapsed_ms", (double)(mm_clock_now_ms () - ej->job->submitted_ms));
  if (why)
    {
      cJSON *err = cJSON_AddObjectToObject (o, "error");
      cJSON_AddStringToObject (err, "code", mm_error_code_name (code));
      cJSON_AddStringToObject (err, "message", why);
      cJSON_AddNumberToObject (o, "retry_after_s", retry_after_s);
    }
  cJSON *tasks = cJSON_AddArrayToObject (o, "tasks");
  for (uint32_t i = 0; i < ej->job->n_tasks; i++)
    {
      const mm_task *t = &ej->job->tasks[i];
      cJSON *to = cJSON_CreateObject ();
      cJSON_AddStringToObject (to, "id", t->id);
      cJSON_AddStringToObject (to, "state", mm_task_state_name (t->state));
      if (t->result)
        cJSON_AddStringToObject (to, "result", t->result);
      cJSON_AddNumberToObject (to, "attempts", t->attempts);
      cJSON_AddItemToArray (tasks, to);
    }
  char *s = cJSON_PrintUnformatted (o);
  cJSON_Delete (o);
  return s;
}

typedef struct
{
  char *job_id;
  mm_time_ms at_ms;
} kept_answer;

/* A finished job's answer is kept for done_ttl_ms, so that a resubmit
   in that time gets it without running anything; after that it goes,
   so memory stays bounded by the answers of the last done_ttl_ms.  */
static void
keep_answer (mm_entry *e, const char *job_id, char *answer)
{
  g_hash_table_insert (e->answers, g_strdup (job_id), answer);
  kept_answer *k = g_new0 (kept_answer, 1);
  k->job_id = g_strdup (job_id);
  k->at_ms = mm_clock_now_ms ();
  g_queue_push_tail (&e->answer_order, k);
}

static void
sweep_cb (struct ev_loop *loop, ev_timer *w, int revents)
{
  mm_entry *e = w->data;
  mm_time_ms now = mm_clock_now_ms ();
  kept_answer *k;
  while ((k = g_queue_peek_head (&e->answer_order))
         && (now - k->at_ms > e->settings.done_ttl_ms || !loop))
    {
      g_queue_pop_head (&e->answer_order);
      g_hash_table_remove (e->answers, k->job_id);
      mm_counters_add (e->counters, "answers_expired", 1);
      g_free (k->job_id);
      g_free (k);
    }
}

/**
 * mm_entry_answers_start() - start dropping answers older than the TTL.
 * @e: the entry instance.
 */
void
mm_entry_answers_start (mm_entry *e)
{
  ev_timer_init (&e->answer_sweep, sweep_cb, 1., 1.);
  e->answer_sweep.data = e;
  ev_timer_start (e->loop, &e->answer_sweep);
}

/* Answer every waiter at once and keep the answer for resubmits.  */
static void
job_finish (mm_entry_job *ej, unsigned status, char *answer,
            uint32_t retry_after_s)
{
  mm_entry *e = ej->entry;
  ej->finished = true;
  ev_timer_stop (e->loop, &ej->deadline);
  for (guint i = 0; i < ej->waiters->len; i++)
    waiter_reply (e, ej->waiters->pdata[i], status, answer, retry_after_s);
  g_ptr_array_set_size (ej->waiters, 0);
  keep_answer (e, ej->job->id, answer);
  g_hash_table_remove (e->jobs, ej->job->id);
  job_unref (ej);
}

static void
job_complete (mm_entry_job *ej)
{
  mm_counters_add (ej->entry->counters, "jobs_complete", 1);
  job_finish (ej, 200, answer_json (ej, "complete", 0, NULL, 0), 0);
}

/* Pending tasks never left this instance: they are truly not run.  */
static void
job_fail (mm_entry_job *ej, int code, const char *why)
{
  mm_entry *e = ej->entry;
  for (uint32_t i = 0; i < ej->job->n_tasks; i++)
    {
      mm_task *t = &ej->job->tasks[i];
      if (t->state == MM_TASK_PENDING)
        {
          t->state = t->attempts ? MM_TASK_UNKNOWN : MM_TASK_NOT_RUN;
          task_settled (ej);
        }
      else if (t->state == MM_TASK_RUNNING)
        {
          /* Sent and not answered: it may run, so it is not "not run".
             Its late answer is counted as unused.  */
          t->state = MM_TASK_UNKNOWN;
          task_settled (ej);
        }
    }
  uint32_t after = (uint32_t)mm_cfg_knobs (e->cfg)->retry_after_s;
  mm_counters_add (e->counters, "jobs_failed", 1);
  g_message ("job %s failed: %s", ej->job->id, why);
  job_finish (ej, code == MM_ERROR_TIMEOUT ? 504 : 502,
              answer_json (ej, "failed", code, why, after), after);
}

static void
deadline_cb (struct ev_loop *loop, ev_timer *w, int revents)
{
  mm_entry_job *ej = w->data;
  job_fail (ej, MM_ERROR_TIMEOUT, "a task passed its deadline");
}

static void
enqueue (mm_entry *e, mm_entry_job *ej, uint32_t index, bool front)
{
  task_ref *r = g_new0 (task_ref, 1);
  r->ej = ej;
  r->index = index;
  ej->refs++;
  if (front)
    g_queue_push_head (&e->queue, r);
  else
    g_queue_push_tail (&e->queue, r);
}

static mm_outcome
classify (const mm_http_result *res)
{
  if (res->status == 200)
    return MM_OUTCOME_OK;
  if (res->status == 503)
    return MM_OUTCOME_REFUSED;
  if (res->status >= 400 && res->status < 600)
    return MM_OUTCOME_FAILED;
  return res->sent ? MM_OUTCOME_LOST : MM_OUTCOME_UNREACHABLE;
}

static void
task_result (mm_entry_job *ej, mm_task *t, mm_outcome o,
             const mm_http_result *res)
{
  mm_entry *e = ej->entry;
  const mm_knobs *k = mm_cfg_knobs (e->cfg);
  if (o == MM_OUTCOME_OK)
    {
      cJSON *a = cJSON_ParseWithLength (res->body, res->body_bytes);
      const cJSON *r = cJSON_GetObjectItemCaseSensitive (a, "result");
      t->result = g_strdup (cJSON_IsString (r) ? r->valuestring : "");
      cJSON_Delete (a);
      t->state = MM_TASK_DONE;
      t->finished_ms = mm_clock_now_ms ();
      e->run_ewma_ms = 0.9 * e->run_ewma_ms
                       + 0.1 * (double)(t->finished_ms - t->started_ms);
      task_settled (ej);
      if (--ej->remaining == 0)
        job_complete (ej);
      return;
    }
  /* Refused before start or never reached: it did not run, so sending it
     elsewhere cannot start it twice, idempotent or not.  */
  if (o == MM_OUTCOME_REFUSED || o == MM_OUTCOME_UNREACHABLE)
    {
      t->attempts--;
      t->state = MM_TASK_PENDING;
      mm_counters_add (e->counters, "resends_not_run", 1);
      enqueue (e, ej, (uint32_t)(t - ej->job->tasks), true);
      return;
    }
  /* It ran and failed, or it may have run: only an idempotent task may
     run again, and only within the retry budget.  */
  if (t->idempotent && t->attempts <= (uint32_t)k->retry_budget)
    {
      t->state = MM_TASK_PENDING;
      mm_counters_add (e->counters, "retries", 1);
      enqueue (e, ej, (uint32_t)(t - ej->job->tasks), true);
      return;
    }
  t->state = o == MM_OUTCOME_FAILED ? MM_TASK_FAILED : MM_TASK_UNKNOWN;
  task_settled (ej);
  job_fail (ej, MM_ERROR_UPSTREAM,
            o == MM_OUTCOME_FAILED
                ? "a task failed"
                : "a task's outcome is unknown and it is not idempotent");
}

static void
send_done (const mm_http_result *res, void *ctx)
{
  send_ctx *s = ctx;
  mm_entry_job *ej = s->ej;
  mm_entry *e = ej->entry;
  mm_outcome o = classify (res);
  const mm_knobs *k = mm_cfg_knobs (e->cfg);
  int64_t seq = 0;
  if (o == MM_OUTCOME_REFUSED)
    {
      cJSON *a = cJSON_ParseWithLength (res->body, res->body_bytes);
      seq = (int64_t)cJSON_GetNumberValue (
          cJSON_GetObjectItem (a, "mode_seq"));
      cJSON_Delete (a);
    }
  mm_pool_done (e->pool, s->upstream, o, seq, mm_clock_now_ms (),
                (uint32_t)k->eject_after_failures, k->eject_ms);
  mm_counters_add (e->counters, "upstream_answers", 1);
  if (ej->finished)
    mm_counters_add (e->counters, "answers_unused", 1);
  else
    task_result (ej, &ej->job->tasks[s->index], o, res);
  job_unref (ej);
  g_free (s);
  mm_entry_pump (e);
}

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
  char *body = cJSON_PrintUnformatted (o);
  cJSON_Delete (o);
  char *url = g_strdup_printf ("%s/v1/tasks", m->url);
  send_ctx *s = g_new0 (send_ctx, 1);
  s->ej = ej;
  s->index = index;
  s->upstream = upstream;
  ej->refs++;
  t->state = MM_TASK_RUNNING;
  t->attempts++;
  t->upstream = upstream;
  t->started_ms = mm_clock_now_ms ();
  mm_pool_sent (e->pool, upstream);
  mm_counters_add (e->counters, "tasks_sent", 1);
  mm_http_client_call (e->upstreams, "POST", url, body,
                       mm_cfg_knobs (e->cfg)->dispatch_timeout_ms, send_done,
                       s);
  g_free (url);
  free (body);
}

/**
 * mm_entry_pump() - send waiting tasks into free upstream slots.
 * @e: the entry instance.
 *
 * Tasks of finished jobs are dropped from the queue here.
 */
void
mm_entry_pump (mm_entry *e)
{
  mm_time_ms now = mm_clock_now_ms ();
  while (!g_queue_is_empty (&e->queue))
    {
      task_ref *r = g_queue_peek_head (&e->queue);
      if (!r->ej->finished)
        {
          int up = mm_pool_pick (e->pool, now);
          if (up < 0)
            break;
          send_task (e, r->ej, r->index, up);
        }
      g_queue_pop_head (&e->queue);
      job_unref (r->ej);
      g_free (r);
    }
  if (e->shutting_down)
    ev_idle_start (e->loop, &e->shutdown_check);
}

static void
refuse (mm_entry *e, const waiter *w, unsigned status, int code,
        const char *why, uint32_t retry_after_s)
{
  char *b = mm_json_error_body (code, why, retry_after_s);
  waiter_reply (e, w, status, b, retry_after_s);
  free (b);
}

static mm_time_ms first_deadline_ms (const mm_job *job);

/* How long until the last task of a new job could start, if every live
   slot works through the queue at the observed run time.  */
static mm_time_ms
expected_wait_ms (mm_entry *e, uint32_t n_tasks)
{
  uint32_t slots = mm_pool_live_slots (e->pool, mm_clock_now_ms ());
  if (!slots)
    return 0;
  double ahead = (double)e->tasks_queued + n_tasks;
  return (mm_time_ms)(ahead / slots * e->run_ewma_ms);
}

static bool
admit (mm_entry *e, const waiter *req, const mm_job *job)
{
  const mm_knobs *k = mm_cfg_knobs (e->cfg);
  uint32_t after = (uint32_t)k->retry_after_s;
  int64_t team
      = GPOINTER_TO_SIZE (g_hash_table_lookup (e->team_tasks, job->team));
  if (e->shutting_down)
    refuse (e, req, 503, MM_ERROR_OVERLOADED,
            "instance is shutting down; not run", after);
  else if (e->tasks_queued + job->n_tasks > (uint64_t)k->max_queued_tasks)
    refuse (e, req, 503, MM_ERROR_OVERLOADED, "instance is full; not run",
            after);
  else if (team + job->n_tasks > k->team_max_queued_tasks)
    refuse (e, req, 429, MM_ERROR_OVERLOADED, "team over its quota; not run",
            after);
  else if (mm_pool_size (e->pool) == 0)
    refuse (e, req, 503, MM_ERROR_UPSTREAM, "no upstream known; not run",
            after);
  /* Guard against answering only at the deadline: a job that the queue
     ahead of it would push past its first deadline is refused now, as
     not run, with the expected wait as its time to come back.  */
  else if (expected_wait_ms (e, job->n_tasks) > first_deadline_ms (job))
    {
      mm_time_ms wait = expected_wait_ms (e, job->n_tasks);
      uint32_t back = (uint32_t)MAX ((wait + 999) / 1000, (int64_t)after);
      refuse (e, req, 503, MM_ERROR_OVERLOADED,
              "the queue would make it miss its deadline; not run", back);
    }
  else
    return true;
  mm_counters_add (e->counters, "jobs_refused", 1);
  return false;
}

static mm_time_ms
first_deadline_ms (const mm_job *job)
{
  mm_time_ms d = job->tasks[0].deadline_ms;
  for (uint32_t i = 1; i < job->n_tasks; i++)
    d = MIN (d, job->tasks[i].deadline_ms);
  return d;
}

static void
start_job (mm_entry *e, waiter *w, mm_job *job)
{
  mm_entry_job *ej = g_new0 (mm_entry_job, 1);
  ej->entry = e;
  ej->job = job;
  ej->waiters = g_ptr_array_new_with_free_func (g_free);
  g_ptr_array_add (ej->waiters, w);
  ej->remaining = job->n_tasks;
  ej->refs = 1;
  job->submitted_ms = mm_clock_now_ms ();
  g_hash_table_insert (e->jobs, job->id, ej);
  e->tasks_queued += job->n_tasks;
  team_add (e, job->team, job->n_tasks);
  ev_timer_init (&ej->deadline, deadline_cb,
                 (double)first_deadline_ms (job) / 1000.0, 0.);
  ej->deadline.data = ej;
  ev_timer_start (e->loop, &ej->deadline);
  for (uint32_t i = 0; i < job->n_tasks; i++)
    enqueue (e, ej, i, false);
  mm_counters_add (e->counters, "jobs_accepted", 1);
  mm_counters_add (e->counters, "tasks_accepted", job->n_tasks);
  mm_entry_pump (e);
}

/* The job is ours to run: answer from the kept answer, join the run in
   progress, or admit it.  Takes @w and @job.  */
static void
take_job (mm_entry *e, waiter *w, mm_job *job)
{
  const char *done = g_hash_table_lookup (e->answers, job->id);
  mm_entry_job *running = g_hash_table_lookup (e->jobs, job->id);
  if (done)
    {
      mm_counters_add (e->counters, "resubmits_answered", 1);
      cJSON *o = cJSON_Parse (done);
      bool ok = g_str_equal (
          cJSON_GetStringValue (cJSON_GetObjectItem (o, "status")),
          "complete");
      cJSON_Delete (o);
      waiter_reply (e, w, ok ? 200 : 502, done, 0);
      g_free (w);
      mm_job_destroy (job);
    }
  else if (running)
    {
      mm_counters_add (e->counters, "resubmits_joined", 1);
      g_ptr_array_add (running->waiters, w);
      mm_job_destroy (job);
    }
  else if (admit (e, w, job))
    start_job (e, w, job);
  else
    {
      g_free (w);
      mm_job_destroy (job);
    }
}

typedef struct
{
  mm_entry *entry;
  mm_http_request *req;
} forward_ctx;

static void
forward_done (const mm_peer_answer *a, void *ctx)
{
  forward_ctx *f = ctx;
  mm_entry *e = f->entry;
  if (a->error)
    {
      /* The owner did not answer: the link broke or timed out.  The job
         may be running there, so we must not run it here (that could
         start a task twice), and we must not call it "not run" either.
         The caller is answered at once and told when to come back.  */
      uint32_t after = (uint32_t)mm_cfg_knobs (e->cfg)->retry_after_s;
      char *why = g_strdup_printf ("owner instance unreachable (%s); "
                                   "outcome unknown, resubmit the same job",
                                   a->error->message);
      char *b = mm_json_error_body (MM_ERROR_UPSTREAM, why, after);
      mm_http_reply (f->req, 503, b, after);
      mm_counters_add (e->counters, "forwards_failed", 1);
      free (b);
      g_free (why);
    }
  else
    mm_http_reply (f->req, a->status, a->body, a->retry_after_s);
  g_free (f);
}

/**
 * mm_entry_submit() - take a caller's POST /v1/jobs.
 * @e: the entry instance.
 * @req: the request; answered now or when the job ends.
 *
 * The job's owner is the rendezvous choice over the live entry instances
 * of the data centre; a job owned by another instance is forwarded to
 * it, so that a resubmit reaching any instance joins the one run.
 */
void
mm_entry_submit (mm_entry *e, mm_http_request *req)
{
  size_t len;
  const char *body = mm_http_request_body (req, &len);
  GError *err = NULL;
  const mm_knobs *k = mm_cfg_knobs (e->cfg);
  mm_job *job
      = mm_job_parse_json (body, len, (uint32_t)k->max_tasks_per_job, &err);
  waiter *w = g_new0 (waiter, 1);
  w->http = req;
  if (!job)
    {
      mm_counters_add (e->counters, "requests_bad", 1);
      refuse (e, w, err->code == MM_ERROR_JOB_SIZE ? 413 : 400, err->code,
              err->message, 0);
      g_error_free (err);
      g_free (w);
      return;
    }
  const char *owner = mm_entry_owner_addr (e, job->id);
  if (!owner)
    {
      take_job (e, w, job);
      return;
    }
  GByteArray *packed = g_byte_array_new ();
  mm_job_pack (job, packed);
  forward_ctx *f = g_new0 (forward_ctx, 1);
  f->entry = e;
  f->req = req;
  mm_counters_add (e->counters, "jobs_forwarded", 1);
  mm_peer_forward (e->peer, owner, packed->data, packed->len,
                   first_deadline_ms (job) + 2000, forward_done, f);
  g_byte_array_free (packed, TRUE);
  g_free (w);
  mm_job_destroy (job);
}

/**
 * mm_entry_take_forwarded() - a job a peer forwarded to us, its owner.
 * @e: the entry instance.
 * @conn_id: the peer link.
 * @req_id: the peer's request id.
 * @data: the packed job.
 * @len: its length.
 *
 * A forwarded job is run here whatever our own view of ownership says:
 * one hop at most, so differing views cannot bounce it around.
 */
void
mm_entry_take_forwarded (mm_entry *e, uint64_t conn_id, uint64_t req_id,
                         const uint8_t *data, size_t len)
{
  GError *err = NULL;
  waiter *w = g_new0 (waiter, 1);
  w->conn_id = conn_id;
  w->req_id = req_id;
  mm_job *job = mm_job_unpack (
      data, len, (uint32_t)mm_cfg_knobs (e->cfg)->max_tasks_per_job, &err);
  if (!job)
    {
      refuse (e, w, err->code == MM_ERROR_JOB_SIZE ? 413 : 400, err->code,
              err->message, 0);
      g_error_free (err);
      g_free (w);
      return;
    }
  mm_counters_add (e->counters, "jobs_taken_from_peers", 1);
  take_job (e, w, job);
}

/**
 * mm_entry_jobs_dump() - jobs in progress, for the state dump.
 * @e: the entry instance.
 *
 * Return: JSON text, free with free().
 */
char *
mm_entry_jobs_dump (const mm_entry *e)
{
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
 * mm_entry_jobs_free() - drop every job, for destroy.
 * @e: the entry instance; its loop no longer runs.
 */
void
mm_entry_jobs_free (mm_entry *e)
{
  ev_timer_stop (e->loop, &e->answer_sweep);
  sweep_cb (NULL, &e->answer_sweep, 0);
  task_ref *r;
  while ((r = g_queue_pop_head (&e->queue)))
    {
      job_unref (r->ej);
      g_free (r);
    }
  GHashTableIter it;
  gpointer k, v;
  g_hash_table_iter_init (&it, e->jobs);
  while (g_hash_table_iter_next (&it, &k, &v))
    {
      mm_entry_job *ej = v;
      ev_timer_stop (e->loop, &ej->deadline);
      g_hash_table_iter_steal (&it);
      job_unref (ej);
    }
}
