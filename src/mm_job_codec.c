/* mm_job_codec: msgpack encoding of a job that an entry instance forwards to
   another one.  Layout: [job_id, team, [[id, payload, run_ms, deadline_ms,
   idempotent], ...]], with one inner array per task.  */
#include "masticmill.h"

#include <msgpack.h>
#include <string.h>

/* Appends packed bytes to @data, a GByteArray.  */
static int
write_cb (void *data, const char *buf, size_t len)
{
  g_byte_array_append (data, (const guint8 *)buf, len);
  return 0;
}

static void
pack_str (msgpack_packer *packer, const char *s)
{
  size_t n = strlen (s);
  msgpack_pack_str (packer, n);
  msgpack_pack_str_body (packer, s, n);
}

/**
 * mm_job_pack() - encode a job as msgpack, as it was submitted: without task
 * states and results.
 * @job: the job.
 * @out: the encoded bytes are appended here.
 *
 * Return: always true.
 */
bool
mm_job_pack (const mm_job *job, GByteArray *out)
{
  msgpack_packer packer;
  msgpack_packer_init (&packer, out, write_cb);
  msgpack_pack_array (&packer, 3);
  pack_str (&packer, job->id);
  pack_str (&packer, job->team);
  msgpack_pack_array (&packer, job->n_tasks);
  for (uint32_t i = 0; i < job->n_tasks; i++)
    {
      const mm_task *task = &job->tasks[i];
      msgpack_pack_array (&packer, 5);
      pack_str (&packer, task->id);
      pack_str (&packer, task->payload);
      msgpack_pack_int64 (&packer, task->run_ms);
      msgpack_pack_int64 (&packer, task->deadline_ms);
      if (task->idempotent)
        msgpack_pack_true (&packer);
      else
        msgpack_pack_false (&packer);
    }
  return true;
}

/* Returns a copy of a string, or NULL when @object is not a string.  */
static char *
unpack_str (const msgpack_object *object)
{
  if (object->type != MSGPACK_OBJECT_STR)
    return NULL;
  return g_strndup (object->via.str.ptr, object->via.str.size);
}

/* Decodes an integer; one above INT64_MAX becomes INT64_MAX.  Returns false
   when @object is not an integer.  */
static bool
unpack_int (const msgpack_object *object, int64_t *value)
{
  if (object->type == MSGPACK_OBJECT_POSITIVE_INTEGER)
    *value = (int64_t)MIN (object->via.u64, (uint64_t)INT64_MAX);
  else if (object->type == MSGPACK_OBJECT_NEGATIVE_INTEGER)
    *value = object->via.i64;
  else
    return false;
  return true;
}

/* Decodes one task into @task.  Returns false when a field is missing or has a
   wrong type or value; @task may then own some strings.  */
static bool
unpack_task (const msgpack_object *object, mm_task *task)
{
  if (object->type != MSGPACK_OBJECT_ARRAY || object->via.array.size != 5)
    return false;
  const msgpack_object *fields = object->via.array.ptr;
  int64_t parsed_run_ms, parsed_deadline_ms;
  if (fields[4].type != MSGPACK_OBJECT_BOOLEAN
      || !unpack_int (&fields[2], &parsed_run_ms)
      || !unpack_int (&fields[3], &parsed_deadline_ms) || parsed_run_ms < 0
      || parsed_deadline_ms <= 0)
    return false;
  task->id = unpack_str (&fields[0]);
  task->payload = unpack_str (&fields[1]);
  task->run_ms = parsed_run_ms;
  task->deadline_ms = parsed_deadline_ms;
  task->idempotent = fields[4].via.boolean;
  task->state = MM_TASK_PENDING;
  task->upstream = -1;
  return task->id && task->payload && *task->id;
}

/**
 * mm_job_unpack() - decode a job packed by mm_job_pack().
 * @data: encoded bytes from a peer, untrusted.
 * @len: length of @data in bytes.
 * @max_tasks: the most tasks a job may have.
 * @error: MM_ERROR_DECODE on any malformed input, MM_ERROR_JOB_SIZE for
 *         zero or more than @max_tasks tasks, MM_ERROR_BAD_REQUEST when
 *         two tasks have the same id.
 *
 * Return: the job with all its tasks pending, to free with mm_job_destroy(),
 * or NULL with @error set.
 */
mm_job *
mm_job_unpack (const uint8_t *data, size_t len, uint32_t max_tasks,
               GError **error)
{
  msgpack_unpacked msg;
  msgpack_unpacked_init (&msg);
  mm_job *job = NULL;
  size_t offset = 0;
  if (msgpack_unpack_next (&msg, (const char *)data, len, &offset)
          != MSGPACK_UNPACK_SUCCESS
      || msg.data.type != MSGPACK_OBJECT_ARRAY || msg.data.via.array.size != 3
      || msg.data.via.array.ptr[2].type != MSGPACK_OBJECT_ARRAY)
    {
      g_set_error (error, MM_ERROR, MM_ERROR_DECODE, "job frame malformed");
      goto out;
    }
  const msgpack_object *fields = msg.data.via.array.ptr;
  uint32_t n = fields[2].via.array.size;
  if (n == 0 || n > max_tasks)
    {
      g_set_error (error, MM_ERROR, MM_ERROR_JOB_SIZE,
                   "a job has 1 to %u tasks, this one has %u", max_tasks, n);
      goto out;
    }
  job = g_new0 (mm_job, 1);
  job->id = unpack_str (&fields[0]);
  job->team = unpack_str (&fields[1]);
  job->tasks = g_new0 (mm_task, n);
  job->n_tasks = n;
  bool ok = job->id && job->team && *job->id;
  for (uint32_t i = 0; i < n && ok; i++)
    ok = unpack_task (&fields[2].via.array.ptr[i], &job->tasks[i]);
  if (!ok)
    {
      g_set_error (error, MM_ERROR, MM_ERROR_DECODE, "job frame malformed");
      mm_job_destroy (job);
      job = NULL;
    }
  else if (!mm_job_check_ids (job, error))
    g_clear_pointer (&job, mm_job_destroy);
out:
  msgpack_unpacked_destroy (&msg);
  return job;
}
