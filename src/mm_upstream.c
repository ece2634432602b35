/* mm_upstream: stand-in for an upstream executor.

   The stand-in has N slots and starts every task, whether it fits or not:
   with more than N running tasks, the run time of a new one is multiplied by
   running/N.  POST /v1/mode sets the mode: "normal", "drain" (refuses new
   tasks before their start, finishes the others), "freeze" (holds back every
   answer until the mode changes) and "fail_all" (every task starts and
   fails).  GET /v1/starts lists every task that was ever started with the
   number of its starts, so that tests can prove that no task started twice
   and that a task reported as "not run" never started.

   POST /v1/jobs/JOB/fence {"epoch":N} raises the epoch of the job and
   reports each of its tasks that started here, with state and result.  A
   start with a lower epoch is refused from then on (409).  Raising and
   reporting are one step, so a task is either in the report or will never
   start here under an older epoch.

   Runs under leases (/v1/runs, /v1/hold and related paths) are handled by
   mm_run_server.  The mode does not change how they are treated; "drain" only
   reports the upstream as draining to the upstream list, so that tests can
   detect a dispatcher that still starts runs.  */
#include "config.h"
#include "masticmill.h"
#include "mm_run_server.h"

#include <cJSON.h>
#include <stddef.h>
#include <string.h>

/* How the stand-in treats tasks, set by POST /v1/mode.  */
typedef enum
{
  MODE_NORMAL,
  MODE_DRAIN,   /* refuses new tasks and finishes the running ones */
  MODE_FREEZE,  /* runs tasks, but holds back their answers */
  MODE_FAIL_ALL /* runs each task and answers that it failed */
} upstream_mode;

/* The modes by the names that POST /v1/mode uses.  */
static const char *const mode_names[]
    = { "normal", "drain", "freeze", "fail_all" };

typedef struct run run;

struct mm_upstream
{
  struct ev_loop *loop;
  mm_upstream_settings settings;
  mm_http_server *http;
  mm_http_client *client;
  mm_counters *counters;
  upstream_mode mode;
  uint32_t mode_seq;   /* incremented at every mode change */
  GHashTable *jobs;    /* job id -> job_record */
  int64_t boot_ms;     /* wall clock at start, identifies this incarnation */
  GQueue frozen;       /* runs that ended in MODE_FREEZE, not answered yet */
  uint32_t running;    /* tasks that are running, without those under leases */
  mm_run_server *runs; /* runs under leases */
  ev_timer heartbeat;
  ev_timer drain_check;     /* active from mm_upstream_drain() on */
  void (*drained) (void *); /* called when the drain is complete */
  void *drained_ctx;        /* context pointer for drained */
};

/* State of a task that started here.  */
typedef struct
{
  uint32_t starts;   /* number of starts */
  const char *state; /* "running", "done" or "failed" */
  char *result;      /* result of the last run that was done, or NULL */
} task_record;

/* A job that a start or a fence call named.  */
typedef struct
{
  int64_t epoch;     /* starts with a lower epoch are refused */
  GHashTable *tasks; /* task id -> task_record */
} job_record;

/* A running task, and the request that started it and is answered when it
   ends.  */
struct run
{
  ev_timer timer;
  mm_upstream *upstream;
  mm_http_request *req;
  char *task_id;
  task_record *record;
};

static void
free_task_record (gpointer data)
{
  task_record *t = data;
  g_free (t->result);
  g_free (t);
}

static void
free_job_record (gpointer data)
{
  job_record *j = data;
  g_hash_table_destroy (j->tasks);
  g_free (j);
}

/* Returns the record of a job, which is created if there is none yet.  */
static job_record *
get_job_record (mm_upstream *u, const char *job_id)
{
  job_record *j = g_hash_table_lookup (u->jobs, job_id);
  if (!j)
    {
      j = g_new0 (job_record, 1);
      j->tasks = g_hash_table_new_full (g_str_hash, g_str_equal, g_free,
                                        free_task_record);
      g_hash_table_insert (u->jobs, g_strdup (job_id), j);
    }
  return j;
}

const mm_setting_spec mm_upstream_setting_specs[] = {
  { "upstream.listen_host", MM_SETTING_STRING,
    offsetof (mm_upstream_settings, listen_host), 0, 0, "address to bind" },
  { "upstream.port", MM_SETTING_INT, offsetof (mm_upstream_settings, port), 0,
    65535, "HTTP port" },
  { "upstream.slots", MM_SETTING_INT, offsetof (mm_upstream_settings, slots),
    1, 4096, "tasks run at full speed" },
  { "upstream.connections", MM_SETTING_INT,
    offsetof (mm_upstream_settings, connections), 1, 65535,
    "HTTP connections accepted" },
  { "upstream.name", MM_SETTING_STRING, offsetof (mm_upstream_settings, name),
    0, 0, "member name" },
  { "upstream.datacentre", MM_SETTING_STRING,
    offsetof (mm_upstream_settings, datacentre), 0, 0, "data centre" },
  { "upstream.labels", MM_SETTING_STRINGS,
    offsetof (mm_upstream_settings, labels), 0, 0,
    "labels that tasks may require" },
  { "upstream.platform_url", MM_SETTING_STRING,
    offsetof (mm_upstream_settings, platform_url), 0, 0,
    "platform service URL, empty for none" },
  { "upstream.heartbeat_ms", MM_SETTING_INT,
    offsetof (mm_upstream_settings, heartbeat_ms), 50, 60000,
    "heartbeat period" },
  { "upstream.advertise", MM_SETTING_STRING,
    offsetof (mm_upstream_settings, advertise), 0, 0,
    "host:port reported to dispatchers, empty for its own" },
  { "upstream.run_log", MM_SETTING_STRING,
    offsetof (mm_upstream_settings, run_log), 0, 0,
    "file that takes a line for each start and end, empty for none" },
  { "upstream.poison_jobs", MM_SETTING_STRING,
    offsetof (mm_upstream_settings, poison_jobs), 0, 0,
    "tasks of jobs whose ids begin with this crash it, empty for none" },
  { "upstream.poison_ms", MM_SETTING_INT,
    offsetof (mm_upstream_settings, poison_ms), 0, 60000,
    "ms from the start of such a task to the crash" },
  { "upstream.back_ms", MM_SETTING_INT,
    offsetof (mm_upstream_settings, back_ms), 0, 60000,
    "ms from a crash until it is back as another incarnation" },
  { NULL },
};

/**
 * mm_upstream_settings_defaults() - sets every setting to its default.
 * @s: the settings; their strings are allocated, free them with g_free().
 */
void
mm_upstream_settings_defaults (mm_upstream_settings *s)
{
  memset (s, 0, sizeof *s);
  s->listen_host = g_strdup ("127.0.0.1");
  s->port = MM_DEFAULT_UPSTREAM_PORT;
  s->slots = MM_DEFAULT_UPSTREAM_SLOTS;
  s->connections = MM_DEFAULT_UPSTREAM_CONNECTIONS;
  s->name = g_strdup ("upstream-1");
  s->datacentre = g_strdup ("dc1");
  s->labels = g_new0 (char *, 1);
  s->platform_url = g_strdup ("");
  s->heartbeat_ms = MM_DEFAULT_HEARTBEAT_MS;
  s->advertise = g_strdup ("");
  s->run_log = g_strdup ("");
  s->poison_jobs = g_strdup ("");
  s->poison_ms = MM_DEFAULT_POISON_MS;
  s->back_ms = MM_DEFAULT_BACK_MS;
}

/* Answers with the JSON object @o, which is freed.  */
static void
reply_json (mm_http_request *req, unsigned status, cJSON *o)
{
  char *s = cJSON_PrintUnformatted (o);
  mm_http_reply (req, status, s, 0);
  free (s);
  cJSON_Delete (o);
}

/* Ends a run, which is freed, and answers the request that started it.  In
   MODE_FAIL_ALL the task has failed, otherwise it is done.  */
static void
answer_run (run *r)
{
  mm_upstream *u = r->upstream;
  cJSON *o = cJSON_CreateObject ();
  cJSON_AddStringToObject (o, "task_id", r->task_id);
  bool failed = u->mode == MODE_FAIL_ALL;
  cJSON_AddStringToObject (o, "status", failed ? "failed" : "done");
  if (!failed)
    {
      r->record->result
          = g_strdup_printf ("ok:%s@%s", r->task_id, u->settings.name);
      cJSON_AddStringToObject (o, "result", r->record->result);
    }
  r->record->state = failed ? "failed" : "done";
  mm_counters_add (u->counters, failed ? "tasks_failed" : "tasks_done", 1);
  reply_json (r->req, failed ? 500 : 200, o);
  u->running--;
  g_free (r->task_id);
  g_free (r);
}

/* Ends a run whose run time has passed.  In MODE_FREEZE its answer is held
   back until the mode changes.  */
static void
run_done_cb (struct ev_loop *loop, ev_timer *w, int revents)
{
  run *r = (run *)w;
  if (r->upstream->mode == MODE_FREEZE)
    {
      g_queue_push_tail (&r->upstream->frozen, r);
      return;
    }
  answer_run (r);
}

/* Handles POST /v1/tasks, which is answered when the task ends.  A start with
   an outdated epoch is refused.  With more running tasks than slots, the run
   time of the new task is multiplied by running/slots.  */
static void
start_task (mm_upstream *u, mm_http_request *req)
{
  size_t len;
  const char *body = mm_http_request_body (req, &len);
  cJSON *o = cJSON_ParseWithLength (body, len);
  const cJSON *job = cJSON_GetObjectItemCaseSensitive (o, "job_id");
  const cJSON *task = cJSON_GetObjectItemCaseSensitive (o, "task_id");
  const cJSON *run_ms = cJSON_GetObjectItemCaseSensitive (o, "run_ms");
  const cJSON *epoch = cJSON_GetObjectItemCaseSensitive (o, "epoch");
  if (!cJSON_IsString (job) || !cJSON_IsString (task))
    {
      char *b = mm_json_error_body (MM_ERROR_BAD_REQUEST,
                                    "job_id and task_id are required", 0);
      mm_http_reply (req, 400, b, 0);
      free (b);
      cJSON_Delete (o);
      return;
    }
  job_record *j = get_job_record (u, job->valuestring);
  if (cJSON_IsNumber (epoch) && (int64_t)epoch->valuedouble < j->epoch)
    {
      mm_counters_add (u->counters, "tasks_fenced", 1);
      mm_http_reply (req, 409,
                     "{\"status\":\"refused\",\"reason\":\"fenced\"}", 0);
      cJSON_Delete (o);
      return;
    }
  task_record *t = g_hash_table_lookup (j->tasks, task->valuestring);
  if (!t)
    {
      t = g_new0 (task_record, 1);
      g_hash_table_insert (j->tasks, g_strdup (task->valuestring), t);
    }
  else
    mm_counters_add (u->counters, "tasks_started_again", 1);
  t->starts++;
  t->state = "running";
  mm_counters_add (u->counters, "tasks_started", 1);
  u->running++;
  double duration_ms = cJSON_IsNumber (run_ms) ? run_ms->valuedouble : 0;
  if (u->running > (uint32_t)u->settings.slots)
    duration_ms = duration_ms * u->running / (double)u->settings.slots;
  run *r = g_new0 (run, 1);
  r->upstream = u;
  r->req = req;
  r->task_id = g_strdup (task->valuestring);
  r->record = t;
  ev_timer_init (&r->timer, run_done_cb, duration_ms / 1000.0, 0.);
  ev_timer_start (u->loop, &r->timer);
  cJSON_Delete (o);
}

/* Answers that a task was refused before its start.  */
static void
refuse (mm_upstream *u, mm_http_request *req, const char *reason)
{
  cJSON *o = cJSON_CreateObject ();
  cJSON_AddStringToObject (o, "status", "refused");
  cJSON_AddStringToObject (o, "reason", reason);
  cJSON_AddNumberToObject (o, "mode_seq", u->mode_seq);
  reply_json (req, 503, o);
}

/* Handles POST /v1/mode.  A mode other than MODE_FREEZE sends the answers that
   were held back.  */
static void
set_mode (mm_upstream *u, mm_http_request *req)
{
  size_t len;
  const char *body = mm_http_request_body (req, &len);
  cJSON *o = cJSON_ParseWithLength (body, len);
  const cJSON *requested = cJSON_GetObjectItemCaseSensitive (o, "mode");
  int found = -1;
  for (int i = 0;
       cJSON_IsString (requested) && i < (int)G_N_ELEMENTS (mode_names); i++)
    if (g_str_equal (requested->valuestring, mode_names[i]))
      found = i;
  cJSON_Delete (o);
  if (found < 0)
    {
      char *b = mm_json_error_body (
          MM_ERROR_BAD_REQUEST, "mode is normal, drain, freeze or fail_all",
          0);
      mm_http_reply (req, 400, b, 0);
      free (b);
      return;
    }
  u->mode = (upstream_mode)found;
  u->mode_seq++;
  g_message ("mode set to %s", mode_names[found]);
  if (u->mode != MODE_FREEZE)
    while (!g_queue_is_empty (&u->frozen))
      answer_run (g_queue_pop_head (&u->frozen));
  mm_http_reply (req, 200, "{\"status\":\"ok\"}", 0);
}

/* Handles GET /v1/starts: the number of starts of each "JOB/TASK".  */
static void
list_starts (mm_upstream *u, mm_http_request *req)
{
  cJSON *o = cJSON_CreateObject ();
  cJSON *s = cJSON_AddObjectToObject (o, "starts");
  GHashTableIter jobs, tasks;
  gpointer job, j, task, t;
  g_hash_table_iter_init (&jobs, u->jobs);
  while (g_hash_table_iter_next (&jobs, &job, &j))
    {
      g_hash_table_iter_init (&tasks, ((job_record *)j)->tasks);
      while (g_hash_table_iter_next (&tasks, &task, &t))
        {
          char *key = g_strdup_printf ("%s/%s", (char *)job, (char *)task);
          cJSON_AddNumberToObject (s, key, ((task_record *)t)->starts);
          g_free (key);
        }
    }
  reply_json (req, 200, o);
}

/* Handles POST /v1/jobs/JOB/fence: raises the epoch of a job and reports the
   tasks of the job that started here.  */
static void
fence_job (mm_upstream *u, mm_http_request *req, const char *job_id)
{
  size_t len;
  const char *body = mm_http_request_body (req, &len);
  cJSON *in = cJSON_ParseWithLength (body, len);
  const cJSON *epoch = cJSON_GetObjectItemCaseSensitive (in, "epoch");
  if (!cJSON_IsNumber (epoch))
    {
      char *b
          = mm_json_error_body (MM_ERROR_BAD_REQUEST, "epoch is required", 0);
      mm_http_reply (req, 400, b, 0);
      free (b);
      cJSON_Delete (in);
      return;
    }
  job_record *j = get_job_record (u, job_id);
  j->epoch = MAX (j->epoch, (int64_t)epoch->valuedouble);
  cJSON_Delete (in);
  mm_counters_add (u->counters, "fences", 1);
  cJSON *o = cJSON_CreateObject ();
  cJSON_AddNumberToObject (o, "epoch", (double)j->epoch);
  cJSON_AddNumberToObject (o, "boot_ms", (double)u->boot_ms);
  cJSON *tasks = cJSON_AddArrayToObject (o, "tasks");
  GHashTableIter it;
  gpointer id, v;
  g_hash_table_iter_init (&it, j->tasks);
  while (g_hash_table_iter_next (&it, &id, &v))
    {
      const task_record *t = v;
      cJSON *row = cJSON_CreateObject ();
      cJSON_AddStringToObject (row, "id", id);
      cJSON_AddStringToObject (row, "state", t->state);
      if (t->result)
        cJSON_AddStringToObject (row, "result", t->result);
      cJSON_AddItemToArray (tasks, row);
    }
  reply_json (req, 200, o);
}

static void
handle (mm_http_request *req, void *ctx)
{
  mm_upstream *u = ctx;
  const char *method = mm_http_request_method (req);
  const char *path = mm_http_request_path (req);
  if (mm_run_server_handle (u->runs, req))
    return;
  if (g_str_equal (method, "POST") && g_str_equal (path, "/v1/tasks"))
    {
      if (u->mode == MODE_DRAIN)
        {
          mm_counters_add (u->counters, "tasks_refused", 1);
          refuse (u, req, "draining");
        }
      else
        start_task (u, req);
    }
  else if (g_str_equal (method, "POST") && g_str_equal (path, "/v1/mode"))
    set_mode (u, req);
  else if (g_str_equal (method, "POST") && g_str_has_prefix (path, "/v1/jobs/")
           && g_str_has_suffix (path, "/fence"))
    {
      char *job_id
          = g_strndup (path + 9, strlen (path) - strlen ("/v1/jobs//fence"));
      fence_job (u, req, job_id);
      g_free (job_id);
    }
  else if (g_str_equal (path, "/v1/starts"))
    list_starts (u, req);
  else if (g_str_equal (path, "/v1/state"))
    {
      char *d = mm_upstream_dump (u);
      mm_http_reply (req, 200, d, 0);
      free (d);
    }
  else
    {
      char *b = mm_json_error_body (MM_ERROR_BAD_REQUEST, "no such path", 0);
      mm_http_reply (req, 404, b, 0);
      free (b);
    }
}

/* Counts the result of a PUT to the member list or to the upstream list.  */
static void
heartbeat_done (const mm_http_result *res, void *ctx)
{
  mm_upstream *u = ctx;
  mm_counters_add (u->counters,
                   res->status == 200 ? "heartbeats_ok" : "heartbeats_failed",
                   1);
}

/* Returns the labels as a JSON array; free with free().  */
static char *
labels_json (const mm_upstream *u)
{
  char **labels = u->settings.labels;
  cJSON *a = cJSON_CreateStringArray ((const char *const *)labels,
                                      (int)g_strv_length (labels));
  char *text = cJSON_PrintUnformatted (a);
  cJSON_Delete (a);
  return text;
}

/* Reports this upstream to the upstream list, which dispatchers with leases
   read.  Its entry expires after three heartbeat periods without a report.  */
static void
report_to_stream (mm_upstream *u)
{
  mm_resources c = mm_run_server_capacity (u->runs);
  char *own_address = g_strdup_printf ("%s:%u", u->settings.listen_host,
                                       mm_http_server_port (u->http));
  char *url = g_strdup_printf ("%s/v1/streams/upstreams/%s",
                               u->settings.platform_url,
                               mm_run_server_name (u->runs));
  char *labels = labels_json (u);
  char *body = g_strdup_printf (
      "{\"address\":\"%s\",\"service\":\"%s\",\"datacentre\":\"%s\","
      "\"labels\":%s,\"draining\":%s,\"slots\":%" G_GINT64_FORMAT
      ",\"cpu_milli\":%" G_GINT64_FORMAT ",\"mem_mb\":%" G_GINT64_FORMAT
      ",\"ttl_ms\":%" G_GINT64_FORMAT "}",
      *u->settings.advertise ? u->settings.advertise : own_address,
      MM_STANDIN_SERVICE, u->settings.datacentre, labels,
      u->mode == MODE_DRAIN ? "true" : "false", u->settings.slots, c.cpu_milli,
      c.mem_mb, 3 * u->settings.heartbeat_ms);
  mm_http_client_call (u->client, "PUT", url, body, 1000, heartbeat_done, u);
  free (labels);
  g_free (own_address);
  g_free (url);
  g_free (body);
}

/* Sends a heartbeat to the member list and a report to the upstream list.  */
static void
heartbeat_cb (struct ev_loop *loop, ev_timer *w, int revents)
{
  mm_upstream *u = w->data;
  if (!*u->settings.platform_url)
    return;
  char *url = g_strdup_printf ("%s/v1/members/%s", u->settings.platform_url,
                               u->settings.name);
  char *body = g_strdup_printf (
      "{\"kind\":\"upstream\",\"addr\":\"%s:%u\",\"datacentre\":\"%s\","
      "\"state\":\"%s\",\"mode_seq\":%u,\"slots\":%" G_GINT64_FORMAT
      ",\"boot_ms\":%" G_GINT64_FORMAT "}",
      u->settings.listen_host, mm_http_server_port (u->http),
      u->settings.datacentre, u->mode == MODE_DRAIN ? "leaving" : "live",
      u->mode_seq, u->settings.slots, u->boot_ms);
  mm_http_client_call (u->client, "PUT", url, body, 1000, heartbeat_done, u);
  g_free (url);
  g_free (body);
  report_to_stream (u);
}

/* Copies settings, with their strings.  */
static void
copy_settings (mm_upstream_settings *dst, const mm_upstream_settings *src)
{
  *dst = *src;
  dst->listen_host = g_strdup (src->listen_host);
  dst->name = g_strdup (src->name);
  dst->datacentre = g_strdup (src->datacentre);
  dst->labels = g_strdupv (src->labels);
  dst->platform_url = g_strdup (src->platform_url);
  dst->advertise = g_strdup (src->advertise);
  dst->run_log = g_strdup (src->run_log);
  dst->poison_jobs = g_strdup (src->poison_jobs);
}

/**
 * mm_upstream_create() - starts an upstream stand-in.
 * @loop: the event loop it runs on.
 * @s: settings, copied.
 * @error: MM_ERROR_IO when the port cannot be bound.
 *
 * Return: the stand-in, or NULL with @error set.
 */
mm_upstream *
mm_upstream_create (struct ev_loop *loop, const mm_upstream_settings *s,
                    GError **error)
{
  mm_upstream *u = g_new0 (mm_upstream, 1);
  u->loop = loop;
  copy_settings (&u->settings, s);
  u->counters = mm_counters_create ();
  u->jobs = g_hash_table_new_full (g_str_hash, g_str_equal, g_free,
                                   free_job_record);
  u->boot_ms = mm_clock_wall_ms ();
  g_queue_init (&u->frozen);
  mm_resources capacity = { .cpu_milli = s->slots * MM_SLOT_CPU_MILLI,
                            .mem_mb = MM_STANDIN_MEM_MB };
  u->runs = mm_run_server_create (loop, s->name, &capacity, s->run_log);
  u->http = mm_http_server_create (loop, s->listen_host, (uint16_t)s->port,
                                   1 << 20, handle, u, error);
  if (!u->http)
    {
      mm_upstream_destroy (u);
      return NULL;
    }
  u->client = mm_http_client_create (loop, 4);
  ev_timer_init (&u->heartbeat, heartbeat_cb, 0.,
                 (double)s->heartbeat_ms / 1000.0);
  u->heartbeat.data = u;
  ev_timer_start (loop, &u->heartbeat);
  return u;
}

void
mm_upstream_destroy (mm_upstream *u)
{
  if (!u)
    return;
  ev_timer_stop (u->loop, &u->heartbeat);
  ev_timer_stop (u->loop, &u->drain_check);
  mm_http_server_destroy (u->http);
  mm_http_client_destroy (u->client);
  mm_run_server_destroy (u->runs);
  mm_counters_destroy (u->counters);
  g_hash_table_destroy (u->jobs);
  g_free (u->settings.listen_host);
  g_free (u->settings.name);
  g_free (u->settings.datacentre);
  g_strfreev (u->settings.labels);
  g_free (u->settings.platform_url);
  g_free (u->settings.advertise);
  g_free (u->settings.run_log);
  g_free (u->settings.poison_jobs);
  g_free (u);
}

/**
 * mm_upstream_set_crash_handler() - sets the function that simulates a crash.
 * @u: the stand-in.
 * @crash: called when a poison task crashes the stand-in; not expected to
 *         return.
 * @ctx: context pointer for @crash.
 */
void
mm_upstream_set_crash_handler (mm_upstream *u, void (*crash) (void *),
                               void *ctx)
{
  mm_run_server_poison p = { .job_prefix = u->settings.poison_jobs,
                             .crash_delay_ms = u->settings.poison_ms,
                             .crash = crash,
                             .ctx = ctx };
  mm_run_server_set_poison (u->runs, &p);
}

/* Completes the drain once no task runs and no answer is left to be sent.  A
   task has ended when its run has ended, but its answer is sent only when the
   HTTP server has written it.  A stop in between would cut off the last
   answer, and the caller would see an empty reply.  */
static void
drain_check_cb (struct ev_loop *loop, ev_timer *w, int revents)
{
  mm_upstream *u = w->data;
  if (u->running || mm_run_server_run_count (u->runs)
      || mm_http_server_in_flight (u->http))
    return;
  ev_timer_stop (loop, w);
  u->drained (u->drained_ctx);
}

/**
 * mm_upstream_drain() - stops gracefully: refuses new tasks, finishes others.
 * @u: the stand-in.
 * @drained: called once no task runs and all answers are sent.
 * @ctx: context pointer for @drained.
 */
void
mm_upstream_drain (mm_upstream *u, void (*drained) (void *), void *ctx)
{
  u->mode = MODE_DRAIN;
  u->mode_seq++;
  u->drained = drained;
  u->drained_ctx = ctx;
  /* Reports the drain at once, not only with the next heartbeat.  */
  heartbeat_cb (u->loop, &u->heartbeat, 0);
  while (!g_queue_is_empty (&u->frozen))
    answer_run (g_queue_pop_head (&u->frozen));
  ev_timer_init (&u->drain_check, drain_check_cb, MM_DRAIN_CHECK_MS / 1000.0,
                 MM_DRAIN_CHECK_MS / 1000.0);
  u->drain_check.data = u;
  ev_timer_start (u->loop, &u->drain_check);
}

/**
 * mm_upstream_dump() - returns the state of the stand-in.
 * @u: the stand-in.
 *
 * Return: JSON text, free with free().
 */
char *
mm_upstream_dump (const mm_upstream *u)
{
  cJSON *o = cJSON_CreateObject ();
  cJSON_AddStringToObject (o, "name", u->settings.name);
  cJSON_AddStringToObject (o, "mode", mode_names[u->mode]);
  cJSON_AddNumberToObject (o, "slots", (double)u->settings.slots);
  cJSON_AddNumberToObject (o, "running", u->running);
  mm_run_server_dump (u->runs, o);
  cJSON_AddNumberToObject (o, "http_in_flight",
                           mm_http_server_in_flight (u->http));
  char *c = mm_counters_to_json (u->counters);
  cJSON_AddItemToObject (o, "counters", cJSON_Parse (c));
  free (c);
  char *s = cJSON_PrintUnformatted (o);
  cJSON_Delete (o);
  return s;
}
