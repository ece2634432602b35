/* mm_kept_wire: packs and reads messages about kept jobs.  */
#include "mm_kept_wire.h"

#include "mm_msgpack.h"

#include <string.h>

/* Lengths of the arrays that encode one value.  */
enum
{
  ANSWER_FIELDS = 4,
  TASK_FIELDS = 3,
  RESULT_FIELDS = 3,
  END_FIELDS = 5,
  ACK_FIELDS = 4
};

/* Parses one msgpack value.  The caller frees @msg with
   msgpack_unpacked_destroy(), also after a failure.  */
static bool
parse (const void *data, size_t len, msgpack_unpacked *msg)
{
  size_t off = 0;
  msgpack_unpacked_init (msg);
  return data
         && msgpack_unpack_next (msg, data, len, &off)
                == MSGPACK_UNPACK_SUCCESS;
}

void
mm_kept_answer_pack (msgpack_sbuffer *b, const mm_kept_answer *a)
{
  msgpack_packer pk;
  msgpack_packer_init (&pk, b, msgpack_sbuffer_write);
  msgpack_pack_array (&pk, ANSWER_FIELDS);
  msgpack_pack_int (&pk, a->status);
  msgpack_pack_int (&pk, a->phase);
  msgpack_pack_uint32 (&pk, a->pending);
  msgpack_pack_uint32 (&pk, a->retry_after_s);
}

static bool
read_answer (const msgpack_object *o, mm_kept_answer *out)
{
  uint32_t status, phase;
  if (!mm_mp_is_array (o, ANSWER_FIELDS)
      || !mm_mp_read_u32 (&o->via.array.ptr[0], &status)
      || !mm_mp_read_u32 (&o->via.array.ptr[1], &phase)
      || !mm_mp_read_u32 (&o->via.array.ptr[2], &out->pending)
      || !mm_mp_read_u32 (&o->via.array.ptr[3], &out->retry_after_s)
      || status >= MM_KEPT_STATUS_COUNT || phase >= MM_JOB_PHASE_COUNT)
    return false;
  out->status = (mm_kept_status)status;
  out->phase = (mm_job_phase)phase;
  return true;
}

bool
mm_kept_answer_read (const void *data, size_t len, mm_kept_answer *out)
{
  msgpack_unpacked msg;
  bool ok = parse (data, len, &msg) && read_answer (&msg.data, out);
  msgpack_unpacked_destroy (&msg);
  return ok;
}

GHashTable *
mm_task_set_new (void)
{
  return g_hash_table_new_full (mm_task_id_hash, mm_task_id_equal, g_free,
                                NULL);
}

void
mm_task_set_pack (msgpack_sbuffer *b, GHashTable *tasks)
{
  msgpack_packer pk;
  msgpack_packer_init (&pk, b, msgpack_sbuffer_write);
  msgpack_pack_array (&pk, g_hash_table_size (tasks));
  GHashTableIter it;
  gpointer id;
  g_hash_table_iter_init (&it, tasks);
  while (g_hash_table_iter_next (&it, &id, NULL))
    {
      msgpack_pack_array (&pk, TASK_FIELDS);
      mm_mp_pack_task (&pk, id);
    }
}

/* The functions read_set(), read_hashes(), read_ends() and read_result() add
   what they read to their last argument.  They return false at the first value
   that is not valid.  */
static bool
read_set (const msgpack_object *o, GHashTable *tasks)
{
  if (!mm_mp_is_array (o, 0))
    return false;
  for (uint32_t i = 0; i < o->via.array.size; i++)
    {
      const msgpack_object *row = &o->via.array.ptr[i];
      mm_task_id id = { 0 };
      if (!mm_mp_is_array (row, TASK_FIELDS)
          || !mm_mp_read_task (row->via.array.ptr, &id))
        return false;
      g_hash_table_add (tasks, g_memdup2 (&id, sizeof id));
    }
  return true;
}

GHashTable *
mm_task_set_read (const void *data, size_t len)
{
  msgpack_unpacked msg;
  GHashTable *tasks = mm_task_set_new ();
  bool ok = parse (data, len, &msg) && read_set (&msg.data, tasks);
  msgpack_unpacked_destroy (&msg);
  if (ok)
    return tasks;
  g_hash_table_destroy (tasks);
  return NULL;
}

void
mm_foreign_request_pack (msgpack_sbuffer *b, const char *job_id,
                         GHashTable *tasks)
{
  msgpack_sbuffer_write (b, job_id, strlen (job_id) + 1);
  mm_task_set_pack (b, tasks);
}

GHashTable *
mm_foreign_request_read (const void *data, size_t len, char *job_id)
{
  const char *text = data;
  size_t id_len = text ? strnlen (text, len) : 0;
  g_strlcpy (job_id, "", MM_JOB_ID_MAX + 1);
  if (id_len > MM_JOB_ID_MAX)
    return NULL;
  if (id_len)
    memcpy (job_id, text, id_len);
  job_id[id_len] = '\0';
  return id_len < len ? mm_task_set_read (text + id_len + 1, len - id_len - 1)
                      : NULL;
}

void
mm_foreign_answer_pack (msgpack_sbuffer *b, const mm_kept_answer *a,
                        GHashTable *stored)
{
  mm_kept_answer_pack (b, a);
  mm_task_set_pack (b, stored);
}

bool
mm_foreign_answer_read (const void *data, size_t len, mm_kept_answer *out,
                        GHashTable **stored)
{
  size_t off = 0;
  msgpack_unpacked msg;
  *stored = NULL;
  msgpack_unpacked_init (&msg);
  bool ok = data
            && msgpack_unpack_next (&msg, data, len, &off)
                   == MSGPACK_UNPACK_SUCCESS
            && read_answer (&msg.data, out);
  msgpack_unpacked_destroy (&msg);
  if (ok && off < len)
    *stored = mm_task_set_read ((const char *)data + off, len - off);
  return ok;
}

void
mm_search_result_pack (msgpack_sbuffer *b, const mm_search_result *result)
{
  msgpack_packer pk;
  msgpack_packer_init (&pk, b, msgpack_sbuffer_write);
  msgpack_pack_array (&pk, RESULT_FIELDS);
  msgpack_pack_uint32 (&pk, result->present);
  msgpack_pack_array (&pk, result->clear_upstreams->len);
  for (guint i = 0; i < result->clear_upstreams->len; i++)
    msgpack_pack_uint64 (&pk,
                         g_array_index (result->clear_upstreams, uint64_t, i));
  msgpack_pack_array (&pk, result->ends->len);
  for (guint i = 0; i < result->ends->len; i++)
    {
      const mm_found_end *e = &g_array_index (result->ends, mm_found_end, i);
      msgpack_pack_array (&pk, END_FIELDS);
      mm_mp_pack_task (&pk, &e->task);
      msgpack_pack_int (&pk, e->how);
      msgpack_pack_uint32 (&pk, e->run_hash);
    }
}

static bool
read_hashes (const msgpack_object *o, GArray *out)
{
  if (!mm_mp_is_array (o, 0))
    return false;
  for (uint32_t i = 0; i < o->via.array.size; i++)
    {
      uint64_t hash;
      if (!mm_mp_read_u64 (&o->via.array.ptr[i], &hash))
        return false;
      g_array_append_val (out, hash);
    }
  return true;
}

static bool
read_ends (const msgpack_object *o, GArray *out)
{
  if (!mm_mp_is_array (o, 0))
    return false;
  for (uint32_t i = 0; i < o->via.array.size; i++)
    {
      const msgpack_object *row = &o->via.array.ptr[i];
      mm_found_end e = { 0 };
      uint32_t how;
      if (!mm_mp_is_array (row, END_FIELDS)
          || !mm_mp_read_task (row->via.array.ptr, &e.task)
          || !mm_mp_read_u32 (&row->via.array.ptr[3], &how)
          || how >= MM_END_COUNT
          || !mm_mp_read_u32 (&row->via.array.ptr[4], &e.run_hash))
        return false;
      e.how = (mm_end)how;
      g_array_append_val (out, e);
    }
  return true;
}

static bool
read_result (const msgpack_object *o, mm_search_result *out)
{
  uint32_t present;
  if (!mm_mp_is_array (o, RESULT_FIELDS)
      || !mm_mp_read_u32 (&o->via.array.ptr[0], &present))
    return false;
  out->present += present;
  return read_hashes (&o->via.array.ptr[1], out->clear_upstreams)
         && read_ends (&o->via.array.ptr[2], out->ends);
}

bool
mm_search_result_read (const void *data, size_t len, mm_search_result *out)
{
  msgpack_unpacked msg;
  bool ok = parse (data, len, &msg) && read_result (&msg.data, out);
  msgpack_unpacked_destroy (&msg);
  return ok;
}

void
mm_end_acks_pack (msgpack_sbuffer *b, const mm_end_ack *acks, size_t count)
{
  msgpack_packer pk;
  msgpack_packer_init (&pk, b, msgpack_sbuffer_write);
  msgpack_pack_array (&pk, count);
  for (size_t i = 0; i < count; i++)
    {
      msgpack_pack_array (&pk, ACK_FIELDS);
      mm_mp_pack_task (&pk, &acks[i].task);
      msgpack_pack_uint32 (&pk, acks[i].run_hash);
    }
}

bool
mm_end_acks_read (const void *data, size_t len,
                  void (*acked) (void *ctx, const mm_task_id *task,
                                 uint32_t hash),
                  void *ctx)
{
  msgpack_unpacked msg;
  bool ok = parse (data, len, &msg) && mm_mp_is_array (&msg.data, 0);
  for (uint32_t i = 0; ok && i < msg.data.via.array.size; i++)
    {
      const msgpack_object *row = &msg.data.via.array.ptr[i];
      mm_task_id id = { 0 };
      uint32_t hash;
      ok = mm_mp_is_array (row, ACK_FIELDS)
           && mm_mp_read_task (row->via.array.ptr, &id)
           && mm_mp_read_u32 (&row->via.array.ptr[3], &hash);
      if (ok)
        acked (ctx, &id, hash);
    }
  msgpack_unpacked_destroy (&msg);
  return ok;
}
