/* mm_job_record: the stored record of a kept job, packed with msgpack as
   [phase, queue, service, priority, attempts, objective_ms, submission or nil,
   [[done, [hash of a failed run, ...]], ...]].  */
#include "mm_job_record.h"

#include "config.h"
#include "mm_msgpack.h"
#include "mm_submission_codec.h"

/* Lengths of the arrays that encode one value.  */
enum
{
  RECORD_FIELDS = 8,
  PROGRESS_FIELDS = 2
};

const char *
mm_job_phase_name (mm_job_phase p)
{
  static const char *const names[MM_JOB_PHASE_COUNT]
      = { "queued", "running", "completed", "failed", "cancelled" };
  return (size_t)p < MM_JOB_PHASE_COUNT ? names[p] : "unknown";
}

bool
mm_job_phase_ended (mm_job_phase p)
{
  return p != MM_JOB_QUEUED && p != MM_JOB_RUNNING;
}

mm_job_record *
mm_job_record_create (mm_submission *s, const mm_route *route)
{
  mm_job_record *r = g_new0 (mm_job_record, 1);
  r->queue = g_strdup (route->name);
  r->service = g_strdup (route->service);
  r->priority = route->priority;
  r->attempts = MAX (route->attempts, 1);
  r->objective_ms
      = (mm_time_ms)(route->stretch * (double)mm_submission_chain_ms (s))
        + route->slo_ms;
  r->submission = s;
  r->progress = g_new0 (mm_task_progress, mm_submission_tasks (s) + 1);
  return r;
}

void
mm_job_record_destroy (mm_job_record *r)
{
  if (!r)
    return;
  g_free (r->queue);
  g_free (r->service);
  mm_submission_free (r->submission);
  g_free (r->progress);
  g_free (r);
}

void
mm_job_record_set_outcome (mm_job_record *r, mm_job_phase p)
{
  r->phase = p;
  g_clear_pointer (&r->submission, mm_submission_free);
  g_clear_pointer (&r->progress, g_free);
}

static void
pack_progress (msgpack_packer *pk, const mm_job_record *r)
{
  uint32_t n = r->submission ? mm_submission_tasks (r->submission) : 0;
  msgpack_pack_array (pk, n);
  for (uint32_t i = 0; i < n; i++)
    {
      const mm_task_progress *p = &r->progress[i];
      msgpack_pack_array (pk, PROGRESS_FIELDS);
      mm_mp_pack_bool (pk, p->done);
      msgpack_pack_array (pk, p->n_failures);
      for (uint32_t k = 0; k < p->n_failures; k++)
        msgpack_pack_uint32 (pk, p->failures[k]);
    }
}

GBytes *
mm_job_record_pack (const mm_job_record *r)
{
  msgpack_sbuffer b;
  msgpack_packer pk;
  msgpack_sbuffer_init (&b);
  msgpack_packer_init (&pk, &b, msgpack_sbuffer_write);
  msgpack_pack_array (&pk, RECORD_FIELDS);
  msgpack_pack_int (&pk, r->phase);
  mm_mp_pack_text (&pk, r->queue);
  mm_mp_pack_text (&pk, r->service);
  msgpack_pack_uint32 (&pk, r->priority);
  msgpack_pack_uint32 (&pk, r->attempts);
  msgpack_pack_int64 (&pk, r->objective_ms);
  if (r->submission)
    mm_submission_pack (&pk, r->submission);
  else
    msgpack_pack_nil (&pk);
  pack_progress (&pk, r);
  GBytes *bytes = g_bytes_new (b.data, b.size);
  msgpack_sbuffer_destroy (&b);
  return bytes;
}

static bool
unpack_task_progress (const msgpack_object *o, mm_task_progress *p)
{
  if (!mm_mp_is_array (o, PROGRESS_FIELDS))
    return false;
  const msgpack_object *f = o->via.array.ptr;
  if (!mm_mp_read_bool (&f[0], &p->done) || !mm_mp_is_array (&f[1], 0)
      || f[1].via.array.size > MM_JOB_MAX_FAILURES)
    return false;
  for (uint32_t k = 0; k < f[1].via.array.size; k++)
    if (!mm_mp_read_u32 (&f[1].via.array.ptr[k], &p->failures[k]))
      return false;
  p->n_failures = f[1].via.array.size;
  return true;
}

/* Decodes the fields of a record that only a job that has not ended has:
   submission and progress.  @f: the fields of the record.  */
static bool
unpack_job (const msgpack_object *f, mm_job_record *r)
{
  if (mm_job_phase_ended (r->phase))
    return f[6].type == MSGPACK_OBJECT_NIL;
  r->submission = mm_submission_unpack (&f[6]);
  if (!r->submission)
    return false;
  uint32_t n = mm_submission_tasks (r->submission);
  if (!mm_mp_is_array (&f[7], 0) || f[7].via.array.size != n)
    return false;
  r->progress = g_new0 (mm_task_progress, (size_t)n + 1);
  for (uint32_t i = 0; i < n; i++)
    if (!unpack_task_progress (&f[7].via.array.ptr[i], &r->progress[i]))
      return false;
  return true;
}

static bool
unpack_record (const msgpack_object *o, mm_job_record *r)
{
  if (!mm_mp_is_array (o, RECORD_FIELDS))
    return false;
  const msgpack_object *f = o->via.array.ptr;
  uint32_t phase;
  if (!mm_mp_read_u32 (&f[0], &phase) || phase >= MM_JOB_PHASE_COUNT)
    return false;
  r->phase = (mm_job_phase)phase;
  return mm_mp_read_text (&f[1], false, &r->queue)
         && mm_mp_read_text (&f[2], false, &r->service)
         && mm_mp_read_u32 (&f[3], &r->priority)
         && mm_mp_read_u32 (&f[4], &r->attempts)
         && mm_mp_read_i64 (&f[5], &r->objective_ms) && unpack_job (f, r);
}

/**
 * mm_job_record_unpack() - decode the stored record of a kept job.
 * @data: output of mm_job_record_pack().
 * @len: length of @data in bytes.
 * @error: MM_ERROR_DECODE when @data is not a valid record.
 *
 * Return: the record, or NULL on error; free with mm_job_record_destroy().
 */
mm_job_record *
mm_job_record_unpack (const void *data, size_t len, GError **error)
{
  msgpack_unpacked msg;
  msgpack_unpacked_init (&msg);
  mm_job_record *r = g_new0 (mm_job_record, 1);
  size_t off = 0;
  bool ok
      = msgpack_unpack_next (&msg, data, len, &off) == MSGPACK_UNPACK_SUCCESS
        && unpack_record (&msg.data, r);
  msgpack_unpacked_destroy (&msg);
  if (ok)
    return r;
  g_set_error (error, MM_ERROR, MM_ERROR_DECODE,
               "kept job: %zu bytes are not a valid job record", len);
  mm_job_record_destroy (r);
  return NULL;
}

void
mm_task_progress_add_failure (mm_task_progress *p, uint32_t run_hash)
{
  for (uint32_t i = 0; i < p->n_failures; i++)
    if (p->failures[i] == run_hash)
      return;
  if (p->n_failures < MM_JOB_MAX_FAILURES)
    p->failures[p->n_failures++] = run_hash;
}
