/* mm_native_front: callers' jobs at POST /v1/jobs, in the native protocol.

   A job is answered when it has ended.  A job with "kept": true is answered
   as soon as it is stored; from then on, GET and DELETE /v1/jobs/ID at any
   instance show and cancel it, and GET /v1/queues/NAME counts the kept jobs
   of a queue that have not started.  The queue of a job is "queue" in its
   body, or else the first queue of the configuration.  "label" in its body is
   a label that the upstreams of its tasks must have.  */
#include "mm_native.h"

#include "config.h"
#include "mm_json_limits.h"

#include <cJSON.h>
#include <string.h>

/* A request that is answered when its job has ended.  */
typedef struct
{
  mm_front *front;
  mm_http_request *req;
  mm_caller *caller;
  mm_job *job; /* the job as sent; the answer needs the names of its tasks */
} waiting_request;

static void
waiting_request_free (waiting_request *w)
{
  mm_job_destroy (w->job);
  g_free (w);
}

/* Returns the state of a task in the answer to its job.  */
static const char *
task_state (const mm_answer *a, uint32_t i)
{
  if (a->kind == MM_ANSWER_REFUSED)
    return "not_run";
  return a->done && a->done[i] ? "done" : "unknown";
}

static unsigned
http_status_of (mm_answer_kind kind)
{
  switch (kind)
    {
    case MM_ANSWER_COMPLETED:
    case MM_ANSWER_FAILED:
    case MM_ANSWER_CANCELLED:
      return 200;
    case MM_ANSWER_REFUSED:
      return 503;
    case MM_ANSWER_GIVEN_UP:
      return 504;
    case MM_ANSWER_UNKNOWN:
      return 502;
    }
  return 500;
}

/* Answers the caller with the outcome of its job and the state of each task,
   and frees the waiting_request @ctx.  */
static void
on_job_answered (void *ctx, const mm_answer *a)
{
  waiting_request *w = ctx;
  bool complete = a->kind == MM_ANSWER_COMPLETED;
  cJSON *o = cJSON_CreateObject ();
  cJSON_AddStringToObject (o, "job_id", w->job->id);
  cJSON_AddStringToObject (o, "status", complete ? "complete" : "failed");
  if (!complete)
    cJSON_AddStringToObject (o, "why", a->why);
  cJSON *tasks = cJSON_AddArrayToObject (o, "tasks");
  for (uint32_t i = 0; i < w->job->n_tasks; i++)
    {
      cJSON *t = cJSON_CreateObject ();
      cJSON_AddStringToObject (t, "id", w->job->tasks[i].id);
      cJSON_AddStringToObject (t, "state", task_state (a, i));
      cJSON_AddItemToArray (tasks, t);
    }
  char *text = cJSON_PrintUnformatted (o);
  mm_http_reply (w->req, http_status_of (a->kind), text, a->retry_after_s);
  free (text);
  cJSON_Delete (o);
  waiting_request_free (w);
}

/* Called when a caller closes its connection before its job is answered.  The
   reply reaches no one; it is sent to free the request.  */
static void
on_caller_left (void *ctx)
{
  waiting_request *w = ctx;
  mm_jobs_caller_left (mm_node_jobs (mm_front_node (w->front)), w->caller);
  mm_front_error (w->req, 502, MM_ERROR_IO, "caller left", 0);
  waiting_request_free (w);
}

/* The payload that a stand-in upstream reads: one slot of CPU for each task,
   and the task's run time.  */
static char *
upstream_payload (const mm_task *t)
{
  cJSON *o = cJSON_CreateObject ();
  cJSON_AddNumberToObject (o, "cpu_milli", MM_SLOT_CPU_MILLI);
  cJSON_AddNumberToObject (o, "run_ms", (double)t->run_ms);
  cJSON_AddStringToObject (o, "payload", t->payload);
  char *text = cJSON_PrintUnformatted (o);
  cJSON_Delete (o);
  char *copy = g_strdup (text);
  free (text);
  return copy;
}

/* Returns the submission for a job: a best-effort job in which each task is a
   step of its own.  Returns NULL, with @error set, when the job's id is too
   long.  */
static mm_submission *
submission_of (const mm_job *job, GError **error)
{
  mm_submission *s = g_new0 (mm_submission, 1);
  if (g_strlcpy (s->id, job->id, sizeof s->id) >= sizeof s->id)
    {
      g_set_error (error, MM_ERROR, MM_ERROR_BAD_REQUEST,
                   "job_id: longer than %d bytes", MM_JOB_ID_MAX);
      mm_submission_free (s);
      return NULL;
    }
  s->best_effort = true;
  s->payload = g_strdup ("");
  s->n_steps = job->n_tasks;
  s->steps = g_new0 (mm_step, job->n_tasks);
  for (uint32_t i = 0; i < job->n_tasks; i++)
    {
      mm_step *step = &s->steps[i];
      step->count = 1;
      step->resources.cpu_milli = MM_SLOT_CPU_MILLI;
      step->estimate_ms = job->tasks[i].run_ms;
      step->payload = upstream_payload (&job->tasks[i]);
      step->once = !job->tasks[i].idempotent;
    }
  return s;
}

/* Returns the earliest deadline of the job's tasks, in ms from now.  */
static mm_time_ms
caller_timeout_of (const mm_job *job)
{
  mm_time_ms earliest_ms = MM_MAX_CALLER_TIMEOUT_MS;
  for (uint32_t i = 0; i < job->n_tasks; i++)
    earliest_ms = MIN (earliest_ms, job->tasks[i].deadline_ms);
  return earliest_ms;
}

/**
 * mm_native_submission_parse() - parse a job in the JSON of the native
 * protocol.
 * @body: JSON text.
 * @len: length of @body in bytes.
 * @caller_timeout_ms: set to the earliest deadline of the job's tasks.
 * @error: MM_ERROR_BAD_REQUEST or MM_ERROR_JOB_SIZE.
 *
 * Return: the job, or NULL on error; free with mm_submission_free().
 */
mm_submission *
mm_native_submission_parse (const char *body, size_t len,
                            mm_time_ms *caller_timeout_ms, GError **error)
{
  mm_job *job
      = mm_job_parse_json (body, len, MM_DEFAULT_MAX_TASKS_PER_JOB, error);
  mm_submission *s = job ? submission_of (job, error) : NULL;
  if (s)
    *caller_timeout_ms = caller_timeout_of (job);
  mm_job_destroy (job);
  return s;
}

/* ---- kept jobs -------------------------------------------------------- */

#define JOBS_PATH "/v1/jobs"
#define QUEUES_PATH "/v1/queues/"

/* A caller's request that waits for the answer of a job's home.  */
typedef struct
{
  mm_http_request *req;
  unsigned ok_status; /* HTTP status of the answer on success */
  char *name;         /* id of the job, or name of the queue */
  bool is_count;      /* whether the request counts the jobs of a queue */
} home_request;

static home_request *
home_request_new (mm_http_request *req, unsigned ok_status, const char *name)
{
  home_request *r = g_new0 (home_request, 1);
  r->req = req;
  r->ok_status = ok_status;
  r->name = g_strdup (name);
  return r;
}

/* Returns the JSON body of a successful answer: the number of pending jobs of
   a queue, or the state of a job.  Free with free().  */
static char *
home_answer_body (const home_request *r, const mm_kept_answer *k)
{
  cJSON *o = cJSON_CreateObject ();
  cJSON_AddStringToObject (o, r->is_count ? "queue" : "job_id", r->name);
  if (r->is_count)
    cJSON_AddNumberToObject (o, "pending", k->pending);
  else
    cJSON_AddStringToObject (o, "state", mm_job_phase_name (k->phase));
  char *text = cJSON_PrintUnformatted (o);
  cJSON_Delete (o);
  return text;
}

/* Answers a caller's request with the answer of the job's home.  */
static void
on_home_answered (void *ctx, const mm_kept_answer *k)
{
  home_request *r = ctx;
  char *text;
  switch (k->status)
    {
    case MM_KEPT_OK:
      text = home_answer_body (r, k);
      mm_http_reply (r->req, r->ok_status, text, 0);
      free (text);
      break;
    case MM_KEPT_NO_JOB:
      mm_front_error (r->req, 410, MM_ERROR_BAD_REQUEST, "no such job", 0);
      break;
    case MM_KEPT_MOVING:
    case MM_KEPT_BUSY:
      mm_front_error (r->req, 503, MM_ERROR_OVERLOADED,
                      "not taken, come back later",
                      MAX (k->retry_after_s, MM_RETRY_AFTER_NO_CAPACITY_S));
      break;
    case MM_KEPT_IN_DOUBT:
      mm_front_error (r->req, 502, MM_ERROR_PLATFORM,
                      "whether it is stored is not known: send it again",
                      MM_RETRY_AFTER_NO_CAPACITY_S);
      break;
    }
  g_free (r->name);
  g_free (r);
}

/* Handles GET and DELETE of the kept job @id.  */
static void
handle_job_request (mm_front *f, mm_http_request *req, const char *id)
{
  mm_kept *kept = mm_node_kept (mm_front_node (f));
  const char *method = mm_http_request_method (req);
  if (strcmp (method, "GET") == 0)
    mm_kept_state (kept, id, on_home_answered,
                   home_request_new (req, 200, id));
  else if (strcmp (method, "DELETE") == 0)
    mm_kept_cancel (kept, id, on_home_answered,
                    home_request_new (req, 200, id));
  else
    mm_front_error (req, 405, MM_ERROR_BAD_REQUEST, "GET or DELETE", 0);
}

/* Handles a request for the number of kept jobs of a queue that have not
   started.  */
static void
handle_queue_request (mm_front *f, mm_http_request *req, const char *queue)
{
  home_request *r = home_request_new (req, 200, queue);
  r->is_count = true;
  mm_kept_pending (mm_node_kept (mm_front_node (f)), queue, on_home_answered,
                   r);
}

/* Sets the label that the body requires, if any, for all steps.  Returns
   false, with @error set, when it is not a string.  */
static bool
read_label (mm_submission *s, const char *body, size_t len, GError **error)
{
  cJSON *o = cJSON_ParseWithLength (body, len);
  const cJSON *label = cJSON_GetObjectItemCaseSensitive (o, "label");
  bool ok = !label || cJSON_IsString (label);
  if (!ok)
    g_set_error (error, MM_ERROR, MM_ERROR_BAD_REQUEST, "label: not a string");
  for (uint32_t i = 0; ok && label && *label->valuestring && i < s->n_steps;
       i++)
    s->steps[i].label = g_strdup (label->valuestring);
  cJSON_Delete (o);
  return ok;
}

static bool
wants_kept_job (const char *body, size_t len)
{
  cJSON *o = cJSON_ParseWithLength (body, len);
  bool kept = cJSON_IsTrue (cJSON_GetObjectItemCaseSensitive (o, "kept"));
  cJSON_Delete (o);
  return kept;
}

/* ---- jobs whose callers wait ------------------------------------------ */

/* Returns the queue that the body names, or the first queue if the body names
   none.  Returns NULL when there is no such queue.  */
static const mm_route *
find_queue (const mm_routes *routes, const char *body, size_t len)
{
  cJSON *o = cJSON_ParseWithLength (body, len);
  const char *queue_name
      = cJSON_GetStringValue (cJSON_GetObjectItemCaseSensitive (o, "queue"));
  const mm_route *found
      = !queue_name && routes->n_routes ? &routes->routes[0] : NULL;
  for (size_t i = 0; queue_name && i < routes->n_routes; i++)
    if (strcmp (routes->routes[i].name, queue_name) == 0)
      found = &routes->routes[i];
  cJSON_Delete (o);
  return found;
}

/* Handles a submitted job: refuses it, submits it as a kept job, or submits it
   as a job whose caller waits for the answer.  */
static void
post_job (mm_front *f, mm_http_request *req)
{
  size_t len;
  const char *body = mm_http_request_body (req, &len);
  if (!mm_json_within (body, len, MM_JSON_MAX_VALUES, MM_JSON_MAX_DEPTH))
    {
      mm_front_error (req, 400, MM_ERROR_BAD_REQUEST,
                      "too many values, or nested too deep", 0);
      return;
    }
  const mm_routes *routes = mm_node_routes (mm_front_node (f));
  const mm_route *queue = routes ? find_queue (routes, body, len) : NULL;
  GError *error = NULL;
  mm_job *job
      = mm_job_parse_json (body, len, MM_DEFAULT_MAX_TASKS_PER_JOB, &error);
  mm_submission *s = job ? submission_of (job, &error) : NULL;
  if (!s || !read_label (s, body, len, &error))
    mm_front_error (req, 400, (mm_error_code)error->code, error->message, 0);
  else if (!routes || !mm_node_accepts_jobs (mm_front_node (f)))
    mm_front_error (req, 503, MM_ERROR_OVERLOADED,
                    routes ? "instance is stopping" : "no configuration yet",
                    1);
  else if (!queue)
    mm_front_error (req, 404, MM_ERROR_BAD_REQUEST, "no such queue", 0);
  else if (wants_kept_job (body, len))
    {
      home_request *r = home_request_new (req, 202, s->id);
      s->best_effort = false;
      mm_kept_submit (mm_node_kept (mm_front_node (f)), g_steal_pointer (&s),
                      queue, on_home_answered, r);
    }
  else if (!mm_front_refuse_left (req, s->id, queue->name))
    {
      waiting_request *w = g_new0 (waiting_request, 1);
      w->front = f;
      w->req = req;
      mm_time_ms caller_timeout_ms = caller_timeout_of (job);
      w->job = g_steal_pointer (&job);
      mm_caller *c = mm_jobs_submit (mm_node_jobs (mm_front_node (f)),
                                     g_steal_pointer (&s), queue,
                                     caller_timeout_ms, on_job_answered, w);
      if (c) /* NULL: on_job_answered() has answered and freed @w */
        {
          w->caller = c;
          mm_http_request_on_close (req, on_caller_left, w);
        }
    }
  mm_job_destroy (job);
  mm_submission_free (s);
  g_clear_error (&error);
}

static bool
is_job_post (const mm_http_request *req)
{
  return strcmp (mm_http_request_method (req), "POST") == 0
         && strcmp (mm_http_request_path (req), JOBS_PATH) == 0;
}

void
mm_native_front_admit (mm_http_request *req, void *ctx)
{
  const char *path = mm_http_request_path (req);
  if (!is_job_post (req) && !g_str_has_prefix (path, JOBS_PATH "/")
      && !g_str_has_prefix (path, QUEUES_PATH))
    mm_front_error (req, 404, MM_ERROR_BAD_REQUEST, "no such path", 0);
  else if (is_job_post (req) && !mm_node_accepts_jobs (mm_front_node (ctx)))
    mm_front_error (req, 503, MM_ERROR_OVERLOADED, "instance is stopping", 1);
}

/**
 * mm_native_front_request() - handle a caller's HTTP request.
 * @req: the request.
 * @ctx: the mm_front that received it.
 *
 * An mm_http_handler.
 */
void
mm_native_front_request (mm_http_request *req, void *ctx)
{
  const char *path = mm_http_request_path (req);
  if (is_job_post (req))
    post_job (ctx, req);
  else if (g_str_has_prefix (path, JOBS_PATH "/"))
    handle_job_request (ctx, req, path + strlen (JOBS_PATH "/"));
  else if (g_str_has_prefix (path, QUEUES_PATH))
    handle_queue_request (ctx, req, path + strlen (QUEUES_PATH));
  else
    mm_front_error (req, 404, MM_ERROR_BAD_REQUEST, "no such path", 0);
}
