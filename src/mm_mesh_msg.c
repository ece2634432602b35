/* mm_mesh_msg: pack and read the messages between instances.  */
#include "mm_mesh_msg.h"

#include <string.h>

enum
{
  RUN_FIELDS = 16,
  ENDED_FIELDS = 6,
  REPORT_FIELDS = 4,
  ROOM_FIELDS = 4
};

static void
pack_text (msgpack_packer *pk, const char *text)
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

static void
begin (msgpack_packer *pk, msgpack_sbuffer *b, size_t fields,
       mm_mesh_kind kind)
{
  msgpack_packer_init (pk, b, msgpack_sbuffer_write);
  msgpack_pack_array (pk, fields);
  msgpack_pack_int (pk, kind);
}

void
mm_mesh_pack_run (msgpack_sbuffer *b, uint64_t no, const mm_task_request *t)
{
  msgpack_packer pk;
  begin (&pk, b, RUN_FIELDS, MM_MESH_RUN);
  msgpack_pack_uint64 (&pk, no);
  pack_text (&pk, t->id.job);
  msgpack_pack_uint32 (&pk, t->id.step);
  msgpack_pack_uint32 (&pk, t->id.index);
  pack_text (&pk, t->service);
  pack_text (&pk, t->payload);
  pack_text (&pk, t->label);
  pack_text (&pk, t->avoid);
  msgpack_pack_int64 (&pk, t->need.cpu_milli);
  msgpack_pack_int64 (&pk, t->need.mem_mb);
  msgpack_pack_int64 (&pk, t->need.gpus);
  msgpack_pack_uint32 (&pk, t->priority);
  msgpack_pack_int64 (&pk, t->estimate_ms);
  msgpack_pack_int64 (&pk, t->due_within);
  msgpack_pack_int64 (&pk, t->start_within);
}

void
mm_mesh_pack_cancel (msgpack_sbuffer *b, uint64_t no)
{
  msgpack_packer pk;
  begin (&pk, b, 2, MM_MESH_CANCEL);
  msgpack_pack_uint64 (&pk, no);
}

void
mm_mesh_pack_hello (msgpack_sbuffer *b, const char *name)
{
  msgpack_packer pk;
  begin (&pk, b, 2, MM_MESH_HELLO);
  pack_text (&pk, name);
}

void
mm_mesh_pack_beat (msgpack_sbuffer *b)
{
  msgpack_packer pk;
  begin (&pk, b, 1, MM_MESH_BEAT);
}

void
mm_mesh_pack_ended (msgpack_sbuffer *b, uint64_t no, const mm_work_result *r)
{
  msgpack_packer pk;
  begin (&pk, b, ENDED_FIELDS, MM_MESH_ENDED);
  msgpack_pack_uint64 (&pk, no);
  msgpack_pack_int (&pk, r->how);
  pack_text (&pk, r->upstream);
  msgpack_pack_int64 (&pk, r->ran_ms);
  pack_text (&pk, r->why);
}

void
mm_mesh_pack_report (msgpack_sbuffer *b, uint64_t seen_no, const char *name,
                     const mm_mesh_room *rooms, size_t n)
{
  msgpack_packer pk;
  begin (&pk, b, REPORT_FIELDS, MM_MESH_REPORT);
  msgpack_pack_uint64 (&pk, seen_no);
  pack_text (&pk, name);
  msgpack_pack_array (&pk, n);
  for (size_t i = 0; i < n; i++)
    {
      msgpack_pack_array (&pk, ROOM_FIELDS);
      pack_text (&pk, rooms[i].service);
      msgpack_pack_uint32 (&pk, rooms[i].room.places);
      msgpack_pack_uint32 (&pk, rooms[i].room.free);
      msgpack_pack_uint32 (&pk, rooms[i].room.waiting);
    }
}

static bool
read_u64 (const msgpack_object *o, uint64_t *v)
{
  if (o->type != MSGPACK_OBJECT_POSITIVE_INTEGER)
    return false;
  *v = o->via.u64;
  return true;
}

static bool
read_u32 (const msgpack_object *o, uint32_t *v)
{
  uint64_t wide;
  if (!read_u64 (o, &wide) || wide > G_MAXUINT32)
    return false;
  *v = (uint32_t)wide;
  return true;
}

static bool
read_i64 (const msgpack_object *o, int64_t *v)
{
  if (o->type == MSGPACK_OBJECT_NEGATIVE_INTEGER)
    {
      *v = o->via.i64;
      return true;
    }
  uint64_t wide;
  if (!read_u64 (o, &wide) || wide > G_MAXINT64)
    return false;
  *v = (int64_t)wide;
  return true;
}

/* A string, or NULL for nil where that is allowed.  */
static bool
read_text (const msgpack_object *o, bool nil_ok, const char **v)
{
  *v = NULL;
  if (o->type == MSGPACK_OBJECT_NIL)
    return nil_ok;
  if (o->type != MSGPACK_OBJECT_STR)
    return false;
  *v = g_strndup (o->via.str.ptr, o->via.str.size);
  return true;
}

static bool
read_fixed (const msgpack_object *o, char *out, size_t cap)
{
  if (o->type != MSGPACK_OBJECT_STR || o->via.str.size >= cap)
    return false;
  memcpy (out, o->via.str.ptr, o->via.str.size);
  out[o->via.str.size] = '\0';
  return true;
}

static bool
read_run (const msgpack_object *f, mm_mesh_msg *m)
{
  mm_task_request *t = &m->request;
  return read_u64 (&f[1], &m->no)
         && read_fixed (&f[2], t->id.job, sizeof t->id.job)
         && read_u32 (&f[3], &t->id.step) && read_u32 (&f[4], &t->id.index)
         && read_text (&f[5], false, &t->service)
         && read_text (&f[6], false, &t->payload)
         && read_text (&f[7], true, &t->label)
         && read_text (&f[8], true, &t->avoid)
         && read_i64 (&f[9], &t->need.cpu_milli)
         && read_i64 (&f[10], &t->need.mem_mb)
         && read_i64 (&f[11], &t->need.gpus) && read_u32 (&f[12], &t->priority)
         && read_i64 (&f[13], &t->estimate_ms)
         && read_i64 (&f[14], &t->due_within)
         && read_i64 (&f[15], &t->start_within) && t->need.cpu_milli >= 0
         && t->need.mem_mb >= 0 && t->need.gpus >= 0;
}

static bool
read_ended (const msgpack_object *f, mm_mesh_msg *m)
{
  uint32_t how;
  mm_work_result *r = &m->result;
  if (!read_u64 (&f[1], &m->no) || !read_u32 (&f[2], &how)
      || how >= MM_END_COUNT || !read_text (&f[3], true, &r->upstream)
      || !read_i64 (&f[4], &r->ran_ms) || !read_text (&f[5], true, &r->why))
    return false;
  r->how = (mm_end)how;
  return true;
}

static bool
read_report (const msgpack_object *f, mm_mesh_msg *m)
{
  if (!read_u64 (&f[1], &m->no)
      || !read_text (&f[2], false, (const char **)&m->name)
      || f[3].type != MSGPACK_OBJECT_ARRAY
      || f[3].via.array.size > MM_MESH_MAX_SERVICES)
    return false;
  m->rooms = g_new0 (mm_mesh_room, f[3].via.array.size + 1);
  for (uint32_t i = 0; i < f[3].via.array.size; i++)
    {
      const msgpack_object *row = &f[3].via.array.ptr[i];
      if (row->type != MSGPACK_OBJECT_ARRAY
          || row->via.array.size != ROOM_FIELDS)
        return false;
      const msgpack_object *r = row->via.array.ptr;
      mm_mesh_room *out = &m->rooms[m->n_rooms];
      if (!read_fixed (&r[0], out->service, sizeof out->service)
          || !read_u32 (&r[1], &out->room.places)
          || !read_u32 (&r[2], &out->room.free)
          || !read_u32 (&r[3], &out->room.waiting))
        return false;
      m->n_rooms++;
    }
  return true;
}

/**
 * mm_mesh_msg_read() - decode a message.
 * @o: what came.
 * @out: filled; clear it with mm_mesh_msg_clear() in any case.
 *
 * Return: false when it is no message of ours.
 */
bool
mm_mesh_msg_read (const msgpack_object *o, mm_mesh_msg *out)
{
  memset (out, 0, sizeof *out);
  if (o->type != MSGPACK_OBJECT_ARRAY || o->via.array.size < 1)
    return false;
  const msgpack_object *f = o->via.array.ptr;
  uint32_t n = o->via.array.size;
  uint32_t kind;
  if (!read_u32 (&f[0], &kind))
    return false;
  out->kind = (mm_mesh_kind)kind;
  switch (out->kind)
    {
    case MM_MESH_RUN:
      return n == RUN_FIELDS && read_run (f, out);
    case MM_MESH_CANCEL:
      return n == 2 && read_u64 (&f[1], &out->no);
    case MM_MESH_BEAT:
      return n == 1;
    case MM_MESH_ENDED:
      return n == ENDED_FIELDS && read_ended (f, out);
    case MM_MESH_HELLO:
      return n == 2 && read_text (&f[1], false, (const char **)&out->name);
    case MM_MESH_REPORT:
      return n == REPORT_FIELDS && read_report (f, out);
    }
  return false;
}

void
mm_mesh_msg_clear (mm_mesh_msg *m)
{
  g_free ((char *)m->request.service);
  g_free ((char *)m->request.payload);
  g_free ((char *)m->request.label);
  g_free ((char *)m->request.avoid);
  g_free ((char *)m->result.upstream);
  g_free ((char *)m->result.why);
  g_free (m->name);
  g_free (m->rooms);
}
