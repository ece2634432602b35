/* mm_job: decodes a job (one submission of many tasks) from JSON.

   Body of a caller's request: {"job_id":"j1","team":"t","tasks":[{"id":"a",
   "payload":"..","run_ms":80,"deadline_ms":5000,"idempotent":true}]}
   run_ms is the declared run time of the task, and deadline_ms counts from the
   submission.  Only job_id, tasks and each task's id are required; without the
   others, team is "default", payload "", run_ms 0, deadline_ms 10000 and
   idempotent false.  */
#include "masticmill.h"

#include "config.h"
#include "mm_json_limits.h"

#include <cJSON.h>
#include <string.h>

/* Names of the task states in answers.  */
static const char *const state_names[] = {
  [MM_TASK_PENDING] = "pending", [MM_TASK_RUNNING] = "running",
  [MM_TASK_DONE] = "done",       [MM_TASK_FAILED] = "failed",
  [MM_TASK_UNKNOWN] = "unknown", [MM_TASK_NOT_RUN] = "not_run",
};

const char *
mm_task_state_name (mm_task_state s)
{
  return state_names[s];
}

void
mm_job_destroy (mm_job *job)
{
  if (!job)
    return;
  for (uint32_t i = 0; i < job->n_tasks; i++)
    {
      g_free (job->tasks[i].id);
      g_free (job->tasks[i].payload);
      g_free (job->tasks[i].result);
    }
  g_free (job->tasks);
  g_free (job->id);
  g_free (job->team);
  g_free (job);
}

/* Sets @error.  @fmt must contain one %s, for @arg.  Returns false.  */
static bool
set_error (GError **error, int code, const char *fmt, const char *arg)
{
  g_set_error (error, MM_ERROR, code, fmt, arg);
  return false;
}

/* Decodes one task into @task.  @index, its position in the job, is named in
   errors.  Returns false with @error set when a field is missing or has a
   wrong type or value.  */
static bool
parse_task (const cJSON *t, mm_task *task, uint32_t index, GError **error)
{
  char path[32];
  g_snprintf (path, sizeof path, "tasks[%u]", index);
  if (!cJSON_IsObject (t))
    return set_error (error, MM_ERROR_BAD_REQUEST, "%s: not an object", path);
  const cJSON *id = cJSON_GetObjectItemCaseSensitive (t, "id");
  const cJSON *payload = cJSON_GetObjectItemCaseSensitive (t, "payload");
  const cJSON *run = cJSON_GetObjectItemCaseSensitive (t, "run_ms");
  const cJSON *deadline = cJSON_GetObjectItemCaseSensitive (t, "deadline_ms");
  const cJSON *idem = cJSON_GetObjectItemCaseSensitive (t, "idempotent");
  if (!cJSON_IsString (id) || !*id->valuestring)
    return set_error (error, MM_ERROR_BAD_REQUEST, "%s.id: missing or empty",
                      path);
  if (payload && !cJSON_IsString (payload))
    return set_error (error, MM_ERROR_BAD_REQUEST, "%s.payload: not a string",
                      path);
  if (run && (!cJSON_IsNumber (run) || run->valuedouble < 0))
    return set_error (error, MM_ERROR_BAD_REQUEST,
                      "%s.run_ms: not a number >= 0", path);
  if (deadline && (!cJSON_IsNumber (deadline) || deadline->valuedouble <= 0))
    return set_error (error, MM_ERROR_BAD_REQUEST,
                      "%s.deadline_ms: not a number > 0", path);
  if (idem && !cJSON_IsBool (idem))
    return set_error (error, MM_ERROR_BAD_REQUEST,
                      "%s.idempotent: not a boolean", path);
  task->id = g_strdup (id->valuestring);
  task->payload = g_strdup (payload ? payload->valuestring : "");
  task->run_ms = run ? (mm_time_ms)run->valuedouble : 0;
  task->deadline_ms = deadline ? (mm_time_ms)deadline->valuedouble : 10000;
  task->idempotent = idem ? cJSON_IsTrue (idem) : false;
  task->state = MM_TASK_PENDING;
  task->upstream = -1;
  return true;
}

/**
 * mm_job_check_ids() - check that the task ids of a job are distinct.
 * @job: the job.
 * @error: MM_ERROR_BAD_REQUEST, naming the first id that appears twice.
 *
 * Upstreams identify a task by its job id and task id, so they could not
 * tell apart two tasks of a job that have the same task id.
 *
 * Return: true when the ids are distinct.
 */
bool
mm_job_check_ids (const mm_job *job, GError **error)
{
  GHashTable *ids = g_hash_table_new (g_str_hash, g_str_equal);
  bool ok = true;
  for (uint32_t i = 0; i < job->n_tasks && ok; i++)
    if (!g_hash_table_add (ids, job->tasks[i].id))
      ok = set_error (error, MM_ERROR_BAD_REQUEST, "task id %s appears twice",
                      job->tasks[i].id);
  g_hash_table_destroy (ids);
  return ok;
}

/**
 * mm_job_parse_json() - decode a caller's job.
 * @body: JSON text (need not be NUL-terminated).
 * @len: length of @body in bytes.
 * @max_tasks: the most tasks a job may have.
 * @error: MM_ERROR_BAD_REQUEST for malformed input, MM_ERROR_JOB_SIZE
 *         for zero or more than @max_tasks tasks.
 *
 * Return: the job with all its tasks pending, to free with mm_job_destroy(),
 * or NULL with @error set.
 */
mm_job *
mm_job_parse_json (const char *body, size_t len, uint32_t max_tasks,
                   GError **error)
{
  cJSON *root
      = mm_json_within (body, len, MM_JSON_MAX_VALUES, MM_JSON_MAX_DEPTH)
            ? cJSON_ParseWithLength (body, len)
            : NULL;
  if (!root || !cJSON_IsObject (root))
    {
      cJSON_Delete (root);
      set_error (error, MM_ERROR_BAD_REQUEST, "%s",
                 "body is not a JSON object");
      return NULL;
    }
  mm_job *job = NULL;
  const cJSON *id = cJSON_GetObjectItemCaseSensitive (root, "job_id");
  const cJSON *team = cJSON_GetObjectItemCaseSensitive (root, "team");
  const cJSON *tasks = cJSON_GetObjectItemCaseSensitive (root, "tasks");
  int n = cJSON_GetArraySize (tasks);
  if (!cJSON_IsString (id) || !*id->valuestring)
    set_error (error, MM_ERROR_BAD_REQUEST, "%s", "job_id: missing or empty");
  else if (team && !cJSON_IsString (team))
    set_error (error, MM_ERROR_BAD_REQUEST, "%s", "team: not a string");
  else if (!cJSON_IsArray (tasks))
    set_error (error, MM_ERROR_BAD_REQUEST, "%s",
               "tasks: missing or not an array");
  else if (n == 0 || (uint32_t)n > max_tasks)
    g_set_error (error, MM_ERROR, MM_ERROR_JOB_SIZE,
                 "a job has 1 to %u tasks, this one has %d", max_tasks, n);
  else
    {
      job = g_new0 (mm_job, 1);
      job->id = g_strdup (id->valuestring);
      job->team = g_strdup (team ? team->valuestring : "default");
      job->tasks = g_new0 (mm_task, n);
      for (int i = 0; i < n; i++, job->n_tasks++)
        if (!parse_task (cJSON_GetArrayItem (tasks, i), &job->tasks[i],
                         (uint32_t)i, error))
          break;
      if (job->n_tasks != (uint32_t)n || !mm_job_check_ids (job, error))
        {
          mm_job_destroy (job);
          job = NULL;
        }
    }
  cJSON_Delete (root);
  return job;
}
