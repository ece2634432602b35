/* mm_entry_recover: takes over a job that an earlier owner accepted.

   The earlier owner died, stalled or lost its shard, so only the upstreams
   know which tasks it started.  Each upstream receives the job's new epoch in
   a fence request and reports the tasks of the job that started there.  From
   then on it refuses starts with an older epoch.  Once all have reported, a
   task that is in no report has not started and cannot be started by the
   earlier owner any more, so this instance starts it.  Results are taken over,
   and running tasks are polled until they end.

   When an upstream does not report, or the upstream incarnations differ from
   those listed when the job was accepted, a task may have started on an
   upstream that is gone.  Such a task is "unknown" and runs again only if it
   is idempotent.  */
#include "config.h"
#include "mm_entry_priv.h"

/* What is known of the tasks that earlier owners of a job started.  */
struct mm_recovery
{
  uint32_t reports_pending; /* fence requests without an answer */
  bool all_answered;        /* false once an upstream did not report */
  bool check_fingerprint;   /* expected_fingerprint is known */
  /* Fingerprint of the upstreams listed when the job was accepted.  */
  uint64_t expected_fingerprint;
  /* Set of int64: hashes by mm_pool_incarnation_hash() of the upstream
     incarnations that reported.  */
  GHashTable *reported_incarnations;
  GHashTable *tasks_by_id;   /* task id -> mm_task */
  GHashTable *running_tasks; /* set of mm_task: recovered, not ended */
  ev_timer poll_timer;
};

/* Context of a fence request.  */
typedef struct
{
  mm_entry_job *ej;
  int upstream; /* index in the pool */
  bool poll;    /* poll for tasks that are known to run there */
} fence_ctx;

static void send_fence (mm_entry_job *ej, int upstream, bool poll);

/**
 * mm_entry_recovery_free() - free the recovery state of a job.
 * @ej: the job, recovered or not.
 *
 * The slots of recovered tasks that have not ended are freed with
 * MM_OUTCOME_FENCED, which does not count as a failure of the upstream.
 */
void
mm_entry_recovery_free (mm_entry_job *ej)
{
  if (!ej->recovery)
    return;
  ev_timer_stop (ej->entry->loop, &ej->recovery->poll_timer);
  GHashTableIter it;
  gpointer t;
  g_hash_table_iter_init (&it, ej->recovery->running_tasks);
  while (g_hash_table_iter_next (&it, &t, NULL))
    mm_pool_task_ended (ej->entry->pool, ((mm_task *)t)->upstream,
                        MM_OUTCOME_FENCED, 0, 0, 0, 0);
  g_hash_table_destroy (ej->recovery->tasks_by_id);
  g_hash_table_destroy (ej->recovery->running_tasks);
  g_hash_table_destroy (ej->recovery->reported_incarnations);
  g_free (ej->recovery);
  ej->recovery = NULL;
}

/* Returns whether an earlier owner started a task on an upstream and the task
   has not ended.  */
static bool
is_recovered_on (const mm_entry_job *ej, mm_task *t, int upstream)
{
  return t->upstream == upstream
         && g_hash_table_contains (ej->recovery->running_tasks, t);
}

/* Handles the end of a recovered task like that of a task sent from here.  */
static void
end_recovered_task (mm_entry_job *ej, mm_task *t, mm_outcome o,
                    const char *result)
{
  g_hash_table_remove (ej->recovery->running_tasks, t);
  mm_entry_handle_upstream_outcome (ej->entry, t->upstream, o, 0);
  mm_entry_handle_task_outcome (ej, t, o, result);
}

/* Applies an upstream's report on one task.  @row: an entry of the report's
   "tasks" array.  A task that was reported before by another upstream, or that
   this instance has sent itself, is left as it is.  */
static void
apply_reported_task (mm_entry_job *ej, const cJSON *row, int upstream)
{
  mm_entry *e = ej->entry;
  const char *id = cJSON_GetStringValue (cJSON_GetObjectItem (row, "id"));
  const char *state
      = cJSON_GetStringValue (cJSON_GetObjectItem (row, "state"));
  const char *result
      = cJSON_GetStringValue (cJSON_GetObjectItem (row, "result"));
  mm_task *t = id ? g_hash_table_lookup (ej->recovery->tasks_by_id, id) : NULL;
  if (!t || !state)
    return;
  if (ej->phase == MM_JOB_RECOVERING && t->state == MM_TASK_PENDING)
    {
      t->state = MM_TASK_RUNNING;
      t->upstream = upstream;
      t->attempts = 1;
      t->started_ms = mm_clock_now_ms ();
      g_hash_table_add (ej->recovery->running_tasks, t);
      mm_pool_task_sent (e->pool, upstream);
      mm_counters_add (e->counters, "tasks_recovered", 1);
    }
  if (!is_recovered_on (ej, t, upstream))
    return;
  if (g_str_equal (state, "done"))
    end_recovered_task (ej, t, MM_OUTCOME_OK, result);
  /* A failure may cause a retry, which has to wait for all reports.  */
  else if (g_str_equal (state, "failed") && ej->phase == MM_JOB_RUNNING)
    end_recovered_task (ej, t, MM_OUTCOME_FAILED, NULL);
}

/* Runs the rest of the job once all upstreams have reported or failed to.  A
   task that may have started on an upstream that is gone counts as sent once;
   the job fails when the task is not idempotent.  */
static void
all_reported (mm_entry_job *ej)
{
  mm_recovery *r = ej->recovery;
  /* When the log has a record of the job, the upstreams that were listed when
     the job was accepted must have reported; without a record, all upstreams
     that a fence request was sent to.  */
  bool all_known
      = r->check_fingerprint ? mm_pool_all_reported (
            ej->entry->pool, r->reported_incarnations, r->expected_fingerprint)
                             : r->all_answered;
  if (!all_known)
    mm_counters_add (ej->entry->counters, "recoveries_inexact", 1);
  for (uint32_t i = 0; i < ej->job->n_tasks; i++)
    {
      mm_task *t = &ej->job->tasks[i];
      if (t->state != MM_TASK_PENDING || all_known)
        continue;
      if (!t->idempotent)
        {
          mm_entry_job_fail (ej, MM_ERROR_UPSTREAM,
                             "an earlier owner may have started a task on an "
                             "upstream that is gone; its outcome is unknown");
          return;
        }
      t->attempts = 1; /* it may have run once: the next run is a retry */
    }
  mm_entry_job_run (ej);
}

/* Ends the recovered tasks on an upstream that does not answer any more; their
   outcome is not known.  */
static void
end_tasks_in_doubt (mm_entry_job *ej, int upstream)
{
  for (uint32_t i = 0; i < ej->job->n_tasks && ej->phase < MM_JOB_FAILING; i++)
    if (is_recovered_on (ej, &ej->job->tasks[i], upstream))
      end_recovered_task (ej, &ej->job->tasks[i], MM_OUTCOME_LOST, NULL);
}

/* Handles the answer of an upstream to a fence request.  It is a report, or a
   higher epoch of the job: then another instance owns the job now.  */
static void
fence_answered (const mm_http_result *res, void *ctx)
{
  fence_ctx *c = ctx;
  mm_entry_job *ej = c->ej;
  mm_entry *e = ej->entry;
  const mm_pool_member *m = mm_pool_at (e->pool, c->upstream);
  mm_recovery *r = ej->recovery;
  cJSON *o = res->status == 200
                 ? cJSON_ParseWithLength (res->body, res->body_bytes)
                 : NULL;
  const cJSON *epoch = cJSON_GetObjectItem (o, "epoch");
  const cJSON *boot = cJSON_GetObjectItem (o, "boot_ms");
  r->reports_pending--;
  if (ej->phase >= MM_JOB_FAILING)
    ;
  else if (cJSON_IsNumber (epoch) && (int64_t)epoch->valuedouble > ej->epoch)
    {
      mm_shard_superseded (ej->shard, (int64_t)epoch->valuedouble);
      mm_entry_job_moved (ej, NULL);
    }
  else
    {
      if (cJSON_IsNumber (boot))
        {
          /* An upstream from the settings is listed without boot_ms, and its
             hash in the fingerprint is made with 0.  */
          int64_t *hash = g_new (int64_t, 1);
          *hash = (int64_t)mm_pool_incarnation_hash (
              m->name, m->boot_ms ? (int64_t)boot->valuedouble : 0);
          g_hash_table_add (r->reported_incarnations, hash);
        }
      else
        r->all_answered = false;
      const cJSON *row;
      cJSON_ArrayForEach (row, cJSON_GetObjectItem (o, "tasks"))
        {
          if (ej->phase < MM_JOB_FAILING)
            apply_reported_task (ej, row, c->upstream);
        }
      if (c->poll && !o)
        end_tasks_in_doubt (ej, c->upstream);
      if (ej->phase == MM_JOB_RECOVERING && !r->reports_pending)
        all_reported (ej);
    }
  cJSON_Delete (o);
  mm_entry_job_unref (ej);
  g_free (c);
  mm_entry_send_waiting (e);
}

/* Makes an upstream refuse starts of the job with a lower epoch and report the
   tasks of the job that started there.  */
static void
send_fence (mm_entry_job *ej, int upstream, bool poll)
{
  mm_entry *e = ej->entry;
  char *id = g_uri_escape_string (ej->job->id, NULL, FALSE);
  char *url = g_strdup_printf ("%s/v1/jobs/%s/fence",
                               mm_pool_at (e->pool, upstream)->url, id);
  char *body = g_strdup_printf ("{\"epoch\":%" G_GINT64_FORMAT "}", ej->epoch);
  fence_ctx *c = g_new0 (fence_ctx, 1);
  c->ej = ej;
  c->upstream = upstream;
  c->poll = poll;
  mm_entry_job_ref (ej);
  ej->recovery->reports_pending++;
  mm_counters_add (e->counters, "fences_sent", 1);
  mm_http_client_call (e->upstream_client, "POST", url, body,
                       MM_FENCE_TIMEOUT_MS, fence_answered, c);
  g_free (body);
  g_free (url);
  g_free (id);
}

/* Requests a new report from each upstream where recovered tasks run; stops
   the timer when none is left.  */
static void
poll_cb (struct ev_loop *loop, ev_timer *w, int revents)
{
  mm_entry_job *ej = w->data;
  GHashTable *running = ej->recovery->running_tasks;
  if (ej->recovery->reports_pending)
    return;
  if (ej->phase >= MM_JOB_FAILING || !g_hash_table_size (running))
    {
      ev_timer_stop (loop, w);
      return;
    }
  GHashTable *upstreams = g_hash_table_new (NULL, NULL);
  GHashTableIter it;
  gpointer t, upstream;
  g_hash_table_iter_init (&it, running);
  while (g_hash_table_iter_next (&it, &t, NULL))
    g_hash_table_add (upstreams, GINT_TO_POINTER (((mm_task *)t)->upstream));
  g_hash_table_iter_init (&it, upstreams);
  while (g_hash_table_iter_next (&it, &upstream, NULL))
    send_fence (ej, GPOINTER_TO_INT (upstream), true);
  g_hash_table_destroy (upstreams);
}

/**
 * mm_entry_recover() - find out which tasks of a job ran, then run the rest.
 * @ej: the job, accepted at a new epoch.
 * @check_fingerprint: whether @fingerprint is known.
 * @fingerprint: of the upstream incarnations listed when the job was
 *               accepted.
 *
 * The fence requests go to all upstreams that were listed within done_ttl_ms:
 * others cannot have run a job that callers may still resubmit.
 */
void
mm_entry_recover (mm_entry_job *ej, bool check_fingerprint,
                  uint64_t fingerprint)
{
  mm_entry *e = ej->entry;
  mm_recovery *r = g_new0 (mm_recovery, 1);
  r->all_answered = true;
  r->check_fingerprint = check_fingerprint;
  r->expected_fingerprint = fingerprint;
  r->tasks_by_id = g_hash_table_new (g_str_hash, g_str_equal);
  r->running_tasks = g_hash_table_new (NULL, NULL);
  r->reported_incarnations
      = g_hash_table_new_full (g_int64_hash, g_int64_equal, g_free, NULL);
  ev_timer_init (&r->poll_timer, poll_cb, MM_RECOVER_POLL_MS / 1000.0,
                 MM_RECOVER_POLL_MS / 1000.0);
  r->poll_timer.data = ej;
  ej->recovery = r;
  ej->phase = MM_JOB_RECOVERING;
  mm_counters_add (e->counters, "jobs_recovered", 1);
  g_message ("job %s: recovering at epoch %" G_GINT64_FORMAT, ej->job->id,
             ej->epoch);
  for (uint32_t i = 0; i < ej->job->n_tasks; i++)
    g_hash_table_insert (r->tasks_by_id, ej->job->tasks[i].id,
                         &ej->job->tasks[i]);
  for (uint32_t i = 0; i < mm_pool_size (e->pool); i++)
    if (mm_pool_listed_within (e->pool, (int)i, mm_clock_now_ms (),
                               e->settings.done_ttl_ms))
      send_fence (ej, (int)i, false);
  ev_timer_start (e->loop, &r->poll_timer);
  if (!r->reports_pending)
    all_reported (ej);
}
