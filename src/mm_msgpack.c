/* mm_msgpack: typed packing and reading of msgpack values.  */
#include "mm_msgpack.h"

#include <string.h>

void
mm_mp_pack_text (msgpack_packer *pk, const char *text)
{
  if (!text)
    {
      msgpack_pack_nil (pk);
      return;
    }
  size_t n = strlen (text);
  msgpack_pack_str (pk, n);
  msgpack_pack_str_body (pk, text, n);
}

void
mm_mp_pack_bytes (msgpack_packer *pk, const void *data, size_t len)
{
  msgpack_pack_bin (pk, len);
  msgpack_pack_bin_body (pk, data, len);
}

void
mm_mp_pack_bool (msgpack_packer *pk, bool v)
{
  if (v)
    msgpack_pack_true (pk);
  else
    msgpack_pack_false (pk);
}

void
mm_mp_pack_texts (msgpack_packer *pk, char *const *texts)
{
  guint n = texts ? g_strv_length ((char **)texts) : 0;
  msgpack_pack_array (pk, n);
  for (guint i = 0; i < n; i++)
    mm_mp_pack_text (pk, texts[i]);
}

bool
mm_mp_read_u64 (const msgpack_object *o, uint64_t *v)
{
  if (o->type != MSGPACK_OBJECT_POSITIVE_INTEGER)
    return false;
  *v = o->via.u64;
  return true;
}

bool
mm_mp_read_u32 (const msgpack_object *o, uint32_t *v)
{
  uint64_t wide;
  if (!mm_mp_read_u64 (o, &wide) || wide > G_MAXUINT32)
    return false;
  *v = (uint32_t)wide;
  return true;
}

/* msgpack has two integer types: numbers from 0 on have the unsigned one.  */
bool
mm_mp_read_i64 (const msgpack_object *o, int64_t *v)
{
  if (o->type == MSGPACK_OBJECT_NEGATIVE_INTEGER)
    {
      *v = o->via.i64;
      return true;
    }
  uint64_t wide;
  if (!mm_mp_read_u64 (o, &wide) || wide > G_MAXINT64)
    return false;
  *v = (int64_t)wide;
  return true;
}

/* msgpack-c stores floats of both sizes as double.  */
bool
mm_mp_read_double (const msgpack_object *o, double *v)
{
  if (o->type != MSGPACK_OBJECT_FLOAT64 && o->type != MSGPACK_OBJECT_FLOAT32)
    return false;
  *v = o->via.f64;
  return true;
}

bool
mm_mp_read_bool (const msgpack_object *o, bool *v)
{
  if (o->type != MSGPACK_OBJECT_BOOLEAN)
    return false;
  *v = o->via.boolean;
  return true;
}

bool
mm_mp_read_text (const msgpack_object *o, bool nil_ok, char **v)
{
  *v = NULL;
  if (o->type == MSGPACK_OBJECT_NIL)
    return nil_ok;
  if (o->type != MSGPACK_OBJECT_STR)
    return false;
  *v = g_strndup (o->via.str.ptr, o->via.str.size);
  return true;
}

bool
mm_mp_read_fixed (const msgpack_object *o, char *out, size_t cap)
{
  if (o->type != MSGPACK_OBJECT_STR || o->via.str.size >= cap)
    return false;
  memcpy (out, o->via.str.ptr, o->via.str.size);
  out[o->via.str.size] = '\0';
  return true;
}

bool
mm_mp_is_array (const msgpack_object *o, uint32_t n)
{
  return o->type == MSGPACK_OBJECT_ARRAY && (n == 0 || o->via.array.size == n);
}

char **
mm_mp_read_texts (const msgpack_object *o, uint32_t max)
{
  if (!mm_mp_is_array (o, 0) || o->via.array.size > max)
    return NULL;
  char **texts = g_new0 (char *, o->via.array.size + 1);
  for (uint32_t i = 0; i < o->via.array.size; i++)
    if (!mm_mp_read_text (&o->via.array.ptr[i], false, &texts[i]))
      {
        g_strfreev (texts);
        return NULL;
      }
  return texts;
}

void
mm_mp_pack_task (msgpack_packer *pk, const mm_task_id *id)
{
  mm_mp_pack_text (pk, id->job);
  msgpack_pack_uint32 (pk, id->step);
  msgpack_pack_uint32 (pk, id->index);
}

bool
mm_mp_read_task (const msgpack_object *values, mm_task_id *id)
{
  return mm_mp_read_fixed (&values[0], id->job, sizeof id->job)
         && mm_mp_read_u32 (&values[1], &id->step)
         && mm_mp_read_u32 (&values[2], &id->index);
}
