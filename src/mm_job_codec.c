/* mm_job_codec: a job as a msgpack frame body, for forwarding a job
   between entry instances.  Layout: array [job_id, team, [[id, payload,
   run_ms, deadline_ms, idempotent], ...]].  */
#include "masticmill.h"

#include <msgpack.h>
#include <string.h>

static int
write_cb (void *data, const char *buf, size_t len)
{
  g_byte_array_append (data, (const guint8 *)buf, len);
  return 0;
}

static void
pack_str (msgpack_packer *pk, const char *s)
{
  size_t n = strlen (s);
  msgpack_pack_str (pk, n);
  msgpack_pack_str_body (pk, s, n);
}

/**
 * mm_job_pack() - encode a job's request (not its progress) as msgpack.
 * @job: the job.
 * @out: bytes are appended here.
 *
 * Return: true.
 */
bool
mm_job_pack (const mm_job *job, GByteArray *out)
{
  msgpack_packer pk;
  msgpack_packer_init (&pk, out, write_cb);
  msgpack_pack_array (&pk, 3);
  pack_str (&pk, job->id);
  pack_str (&pk, job->team);
  msgpack_pack_array (&pk, job->n_tasks);
  for (uint32_t i = 0; i < job->n_tasks; i++)
    {
      const mm_task *t = &job->tasks[i];
      msgpack_pack_array (&pk, 5);
      pack_str (&pk, t->id);
      pack_str (&pk, t->payload);
      msgpack_pack_int64 (&pk, t->run_ms);
      msgpack_pack_int64 (&pk, t->deadline_ms);
      if (t->idempotent)
        msgpack_pack_true (&pk);
      else
        msgpack_pack_false (&pk);
    }
  return true;
}

static char *
dup_str (const msgpack_object *o)
{
  if (o->type != MSGPACK_OBJECT_STR)
    return NULL;
  return g_strndup (o->via.str.ptr, o->via.str.size);
}

static bool
int_of (const msgpack_object *o, int64_t *v)
{
  if (o->type == MSGPACK_OBJECT_POSITIVE_INTEGER)
    *v = (int64_t)MIN (o->via.u64, (uint64_t)INT64_MAX);
  else if (o->type == MSGPACK_OBJECT_NEGATIVE_INTEGER)
    *v = o->via.i64;
  else
    return false;
  return true;
}

static bool
unpack_task (const msgpack_object *o, mm_task *t)
{
  if (o->type != MSGPACK_OBJECT_ARRAY || o->via.array.size != 5)
    return false;
  const msgpack_object *f = o->via.array.ptr;
  int64_t run, deadline;
  if (f[4].type != MSGPACK_OBJECT_BOOLEAN || !int_of (&f[2], &run)
      || !int_of (&f[3], &deadline) || run < 0 || deadline <= 0)
    return false;
  t->id = dup_str (&f[0]);
  t->payload = dup_str (&f[1]);
  t->run_ms = run;
  t->deadline_ms = deadline;
  t->idempotent = f[4].via.boolean;
  t->state = MM_TASK_PENDING;
  t->upstream = -1;
  return t->id && t->payload && *t->id;
}

/**
 * mm_job_unpack() - decode a job packed by mm_job_pack().
 * @data: bytes from a peer, untrusted.
 * @len: their number.
 * @max_tasks: the largest job accepted.
 * @error: MM_ERROR_DECODE on any malformed input, MM_ERROR_JOB_SIZE for
 *         zero or too many tasks.
 *
 * Return: the job, or NULL with @error set.
 */
mm_job *
mm_job_unpack (const uint8_t *data, size_t len, uint32_t max_tasks,
               GError **error)
{
  msgpack_unpacked msg;
  msgpack_unpacked_init (&msg);
  mm_job *job = NULL;
  size_t off = 0;
  if (msgpack_unpack_next (&msg, (const char *)data, len, &off)
          != MSGPACK_UNPACK_SUCCESS
      || msg.data.type != MSGPACK_OBJECT_ARRAY || msg.data.via.array.size != 3
      || msg.data.via.array.ptr[2].type != MSGPACK_OBJECT_ARRAY)
    {
      g_set_error (error, MM_ERROR, MM_ERROR_DECODE, "job frame malformed");
      goto out;
    }
  const msgpack_object *f = msg.data.via.array.ptr;
  uint32_t n = f[2].via.array.size;
  if (n == 0 || n > max_tasks)
    {
      g_set_error (error, MM_ERROR, MM_ERROR_JOB_SIZE,
                   "a job has 1 to %u tasks, this one has %u", max_tasks, n);
      goto out;
    }
  job = g_new0 (mm_job, 1);
  job->id = dup_str (&f[0]);
  job->team = dup_str (&f[1]);
  job->tasks = g_new0 (mm_task, n);
  job->n_tasks = n;
  bool ok = job->id && job->team && *job->id;
  for (uint32_t i = 0; i < n && ok; i++)
    ok = unpack_task (&f[2].via.array.ptr[i], &job->tasks[i]);
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
