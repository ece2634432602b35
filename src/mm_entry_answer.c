/* mm_entry_answer: builds the single answer of a job and stores it for
   resubmits.  */
#include "mm_entry_priv.h"

/* When an answer was stored.  Its text is in mm_entry.answers.  */
typedef struct
{
  char *job_id;
  mm_time_ms stored_ms; /* by mm_clock_now_ms() */
} stored_answer;

/**
 * mm_entry_answer_json() - build the complete answer of a job.
 * @ej: the job.
 * @status: "complete" or "failed".
 * @code: mm_error_code of a failure.
 * @why: message of a failure, or NULL.
 * @retry_after_s: seconds after which to submit again, after a failure.
 *
 * Return: JSON text, free with free().
 */
char *
mm_entry_answer_json (const mm_entry_job *ej, const char *status, int code,
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

/**
 * mm_entry_answer_store() - store the answer of a finished job.
 * @e: the entry instance.
 * @job_id: the job, copied.
 * @answer: from mm_entry_answer_json(); ownership is taken.
 *
 * A resubmit within done_ttl_ms gets this answer and runs nothing.  After
 * done_ttl_ms the answer is dropped, which bounds the memory for answers.
 */
void
mm_entry_answer_store (mm_entry *e, const char *job_id, char *answer)
{
  g_hash_table_insert (e->answers, g_strdup (job_id), answer);
  stored_answer *stored = g_new0 (stored_answer, 1);
  stored->job_id = g_strdup (job_id);
  stored->stored_ms = mm_clock_now_ms ();
  g_queue_push_tail (&e->answer_order, stored);
}

/* Drops the answers that were stored more than @ttl_ms ago; with -1 all.  */
static void
drop_older_than (mm_entry *e, mm_time_ms ttl_ms)
{
  mm_time_ms now = mm_clock_now_ms ();
  stored_answer *stored;
  while ((stored = g_queue_peek_head (&e->answer_order))
         && now - stored->stored_ms > ttl_ms)
    {
      g_queue_pop_head (&e->answer_order);
      g_hash_table_remove (e->answers, stored->job_id);
      mm_counters_add (e->counters, "answers_expired", 1);
      g_free (stored->job_id);
      g_free (stored);
    }
}

static void
sweep_cb (struct ev_loop *loop, ev_timer *w, int revents)
{
  mm_entry *e = w->data;
  drop_older_than (e, e->settings.done_ttl_ms);
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

/**
 * mm_entry_answers_free() - drop all answers and stop the timer.
 * @e: the entry instance.
 */
void
mm_entry_answers_free (mm_entry *e)
{
  ev_timer_stop (e->loop, &e->answer_sweep);
  drop_older_than (e, -1);
}
