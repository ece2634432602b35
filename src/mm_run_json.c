/* mm_run_json: orders, holds and lists of runs in the native JSON protocol. */
#include "mm_run_json.h"

#include "config.h"

#include <string.h>

/* Reads a number that must not be negative; a missing one is read as 0.
   Returns false for a negative number or a value that is no number.  */
static bool
read_i64 (const cJSON *in, const char *name, int64_t *out)
{
  const cJSON *f = cJSON_GetObjectItemCaseSensitive (in, name);
  *out = cJSON_IsNumber (f) ? (int64_t)f->valuedouble : 0;
  return !f || (cJSON_IsNumber (f) && f->valuedouble >= 0);
}

/* Adds the fields that identify a run: its task and its number.  */
static void
add_run_id (cJSON *o, const mm_task_id *task, uint32_t run)
{
  cJSON_AddStringToObject (o, "job", task->job);
  cJSON_AddNumberToObject (o, "step", task->step);
  cJSON_AddNumberToObject (o, "index", task->index);
  cJSON_AddNumberToObject (o, "run", run);
}

/* Reads the fields that identify a run.  Returns false when one is
   malformed.  */
static bool
read_run_id (const cJSON *in, mm_task_id *task, uint32_t *run)
{
  const cJSON *job = cJSON_GetObjectItemCaseSensitive (in, "job");
  int64_t step, index, run_number;
  if (!cJSON_IsString (job)
      || g_strlcpy (task->job, job->valuestring, sizeof task->job)
             >= sizeof task->job
      || !read_i64 (in, "step", &step) || !read_i64 (in, "index", &index)
      || !read_i64 (in, "run", &run_number))
    return false;
  task->step = (uint32_t)step;
  task->index = (uint32_t)index;
  *run = (uint32_t)run_number;
  return true;
}

cJSON *
mm_run_json_order (const mm_order *o)
{
  cJSON *b = cJSON_CreateObject ();
  add_run_id (b, o->task, o->run);
  if (o->payload)
    cJSON_AddStringToObject (b, "payload", o->payload);
  cJSON_AddNumberToObject (b, "fence", (double)o->fence);
  if (o->deadline_ms)
    cJSON_AddNumberToObject (b, "deadline_ms", (double)o->deadline_ms);
  return b;
}

cJSON *
mm_run_json_hold (const mm_hold *h)
{
  cJSON *b = cJSON_CreateObject ();
  cJSON_AddNumberToObject (b, "fence", (double)h->fence);
  cJSON_AddNumberToObject (b, "acked_seq", (double)h->acked_seq);
  if (h->deadline_ms)
    cJSON_AddNumberToObject (b, "deadline_ms", (double)h->deadline_ms);
  if (h->wait_ms)
    cJSON_AddNumberToObject (b, "wait_ms", (double)h->wait_ms);
  return b;
}

bool
mm_run_json_read_order (const cJSON *in, mm_order *out, mm_task_id *task)
{
  int64_t fence;
  const cJSON *payload = cJSON_GetObjectItemCaseSensitive (in, "payload");
  memset (out, 0, sizeof *out);
  if (!read_run_id (in, task, &out->run) || !read_i64 (in, "fence", &fence)
      || !read_i64 (in, "deadline_ms", &out->deadline_ms)
      || (payload && !cJSON_IsString (payload)))
    return false;
  out->task = task;
  out->fence = (uint64_t)fence;
  out->payload = payload ? payload->valuestring : "";
  return true;
}

bool
mm_run_json_read_hold (const cJSON *in, mm_hold *out)
{
  int64_t fence, acked;
  memset (out, 0, sizeof *out);
  if (!cJSON_IsObject (in) || !read_i64 (in, "fence", &fence)
      || !read_i64 (in, "acked_seq", &acked)
      || !read_i64 (in, "deadline_ms", &out->deadline_ms)
      || !read_i64 (in, "wait_ms", &out->wait_ms))
    return false;
  out->fence = (uint64_t)fence;
  out->acked_seq = (uint64_t)acked;
  return true;
}

void
mm_run_json_read_work (const char *payload, mm_run_work *out)
{
  cJSON *o = cJSON_Parse (payload);
  *out = (mm_run_work){ .resources = { .cpu_milli = MM_SLOT_CPU_MILLI } };
  int64_t cpu;
  if (read_i64 (o, "cpu_milli", &cpu) && cpu > 0)
    out->resources.cpu_milli = cpu;
  read_i64 (o, "mem_mb", &out->resources.mem_mb);
  read_i64 (o, "run_ms", &out->run_ms);
  cJSON_Delete (o);
}

cJSON *
mm_run_json_hold_result (const mm_hold_result *r)
{
  cJSON *o = cJSON_CreateObject ();
  cJSON *running = cJSON_AddArrayToObject (o, MM_RUN_JSON_RUNNING);
  for (size_t i = 0; i < r->n_running; i++)
    {
      cJSON *row = cJSON_CreateObject ();
      add_run_id (row, &r->running[i].task, r->running[i].run);
      cJSON_AddNumberToObject (row, "percent", r->running[i].percent);
      cJSON_AddItemToArray (running, row);
    }
  cJSON *ended = cJSON_AddArrayToObject (o, MM_RUN_JSON_ENDED);
  for (size_t i = 0; i < r->n_ended; i++)
    {
      cJSON *row = cJSON_CreateObject ();
      add_run_id (row, &r->ended[i].task, r->ended[i].run);
      cJSON_AddNumberToObject (row, "seq", (double)r->ended[i].seq);
      cJSON_AddNumberToObject (row, "how", r->ended[i].how);
      cJSON_AddItemToArray (ended, row);
    }
  return o;
}

bool
mm_run_json_read_running (const cJSON *row, mm_listed_run *out)
{
  int64_t percent;
  if (!read_run_id (row, &out->task, &out->run)
      || !read_i64 (row, "percent", &percent))
    return false;
  out->percent = (int32_t)percent;
  return true;
}

bool
mm_run_json_read_ended (const cJSON *row, mm_listed_end *out)
{
  int64_t seq, how;
  if (!read_run_id (row, &out->task, &out->run) || !read_i64 (row, "seq", &seq)
      || !read_i64 (row, "how", &how) || how >= MM_END_COUNT)
    return false;
  out->seq = (uint64_t)seq;
  out->how = (mm_end)how;
  return true;
}
