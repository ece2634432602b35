/* mm_submission_codec: a job is encoded as [id, payload, [step, ...]], and a
   step as [count, cpu_milli, mem_mb, gpus, estimate_ms, payload, once, label,
   data_label, [depends_on, ...]], where each depends_on is the index of a step
   that must be done first.

   Fields that only unsupported kinds of jobs have are left out, as a job that
   mm_submission_unsupported_reason() rejects is not encoded.  */
#include "mm_submission_codec.h"

#include "config.h"
#include "mm_msgpack.h"

/* Lengths of the arrays that encode one value.  */
enum
{
  JOB_FIELDS = 3,
  STEP_FIELDS = 10
};

static void
pack_step (msgpack_packer *pk, const mm_step *s)
{
  msgpack_pack_array (pk, STEP_FIELDS);
  msgpack_pack_uint32 (pk, s->count);
  msgpack_pack_int64 (pk, s->resources.cpu_milli);
  msgpack_pack_int64 (pk, s->resources.mem_mb);
  msgpack_pack_int64 (pk, s->resources.gpus);
  msgpack_pack_int64 (pk, s->estimate_ms);
  mm_mp_pack_text (pk, s->payload);
  mm_mp_pack_bool (pk, s->once);
  mm_mp_pack_text (pk, s->label);
  mm_mp_pack_text (pk, s->data_label);
  msgpack_pack_array (pk, s->n_dependencies);
  for (uint32_t i = 0; i < s->n_dependencies; i++)
    msgpack_pack_uint32 (pk, s->depends_on[i]);
}

void
mm_submission_pack (msgpack_packer *pk, const mm_submission *s)
{
  msgpack_pack_array (pk, JOB_FIELDS);
  mm_mp_pack_text (pk, s->id);
  mm_mp_pack_text (pk, s->payload);
  msgpack_pack_array (pk, s->n_steps);
  for (uint32_t i = 0; i < s->n_steps; i++)
    pack_step (pk, &s->steps[i]);
}

/* Rejects a step that depends on itself or on a later one.  */
static bool
unpack_dependencies (const msgpack_object *o, uint32_t step_number, mm_step *s)
{
  if (!mm_mp_is_array (o, 0))
    return false;
  s->depends_on = g_new0 (uint32_t, o->via.array.size + 1);
  for (uint32_t i = 0; i < o->via.array.size; i++)
    {
      if (!mm_mp_read_u32 (&o->via.array.ptr[i], &s->depends_on[i])
          || s->depends_on[i] >= step_number)
        return false;
      s->n_dependencies++;
    }
  return true;
}

static bool
unpack_step (const msgpack_object *o, uint32_t step_number, mm_step *s)
{
  if (!mm_mp_is_array (o, STEP_FIELDS))
    return false;
  const msgpack_object *f = o->via.array.ptr;
  return mm_mp_read_u32 (&f[0], &s->count) && s->count <= MM_MAX_JOB_TASKS
         && mm_mp_read_i64 (&f[1], &s->resources.cpu_milli)
         && mm_mp_read_i64 (&f[2], &s->resources.mem_mb)
         && mm_mp_read_i64 (&f[3], &s->resources.gpus)
         && mm_mp_read_i64 (&f[4], &s->estimate_ms)
         && mm_mp_read_text (&f[5], true, &s->payload)
         && mm_mp_read_bool (&f[6], &s->once)
         && mm_mp_read_text (&f[7], true, &s->label)
         && mm_mp_read_text (&f[8], true, &s->data_label)
         && unpack_dependencies (&f[9], step_number, s);
}

/**
 * mm_submission_unpack() - decode a job.
 * @o: object written by mm_submission_pack().
 *
 * Return: the job, or NULL when @o is not a valid job; free with
 * mm_submission_free().
 */
mm_submission *
mm_submission_unpack (const msgpack_object *o)
{
  if (!mm_mp_is_array (o, JOB_FIELDS))
    return NULL;
  const msgpack_object *f = o->via.array.ptr;
  mm_submission *s = g_new0 (mm_submission, 1);
  bool ok = mm_mp_read_fixed (&f[0], s->id, sizeof s->id)
            && mm_mp_read_text (&f[1], false, &s->payload)
            && mm_mp_is_array (&f[2], 0);
  uint32_t n = ok ? f[2].via.array.size : 0;
  s->steps = g_new0 (mm_step, (size_t)n + 1);
  for (uint32_t i = 0; ok && i < n; i++)
    {
      s->n_steps++;
      ok = unpack_step (&f[2].via.array.ptr[i], i, &s->steps[i]);
    }
  if (ok && mm_submission_tasks (s) <= MM_MAX_JOB_TASKS)
    return s;
  mm_submission_free (s);
  return NULL;
}
