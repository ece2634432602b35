/* mm_mesh_msg: packs and reads the messages between instances.  */
#include "mm_mesh_msg.h"

#include "config.h"
#include "mm_msgpack.h"

#include <string.h>

/* Sums of a few such times do not overflow.  */
#define TIME_MAX_MS ((mm_time_ms)1 << 50)
/* Sums of the residual capacities of a report do not overflow.  */
#define RESIDUAL_UNIT_MAX_MILLI ((int64_t)1 << 32)

/* Number of values in the array of a message, its kind included.
   CAPACITY_FIELDS: number of values for one service in a REPORT.  */
enum
{
  RUN_FIELDS = 25,
  RESERVE_FIELDS = RUN_FIELDS + 1,
  ACCEPT_FIELDS = 3,
  HEARTBEAT_FIELDS = 4,
  ENDED_FIELDS = 7,
  REQUEST_FIELDS = 4,
  ANSWER_FIELDS = 3,
  REPORT_FIELDS = 6,
  RELEASED_FIELDS = 2,
  FOUND_FIELDS = 7,
  UPDATE_FIELDS = 3,
  LOSS_FIELDS = 13,
  EVACUATIONS_FIELDS = 4,
  KINDS_FIELDS = 2,
  CAPACITY_FIELDS = 11,
  CAPACITY_FIELDS_WITHOUT_OVERLOAD = 9
};

/* Starts a message of @fields values and packs its kind.  */
static void
pack_header (msgpack_packer *pk, msgpack_sbuffer *b, size_t fields,
             mm_mesh_kind kind)
{
  msgpack_packer_init (pk, b, msgpack_sbuffer_write);
  msgpack_pack_array (pk, fields);
  msgpack_pack_int (pk, kind);
}

/* Packs the values of a RUN after its number.  */
static void
pack_task_request (msgpack_packer *pk, const mm_task_request *t)
{
  mm_mp_pack_task (pk, &t->id);
  mm_mp_pack_text (pk, t->service);
  mm_mp_pack_text (pk, t->payload);
  mm_mp_pack_text (pk, t->label);
  mm_mp_pack_text (pk, t->data_label);
  mm_mp_pack_text (pk, t->avoid_upstream);
  msgpack_pack_int64 (pk, t->resources.cpu_milli);
  msgpack_pack_int64 (pk, t->resources.mem_mb);
  msgpack_pack_int64 (pk, t->resources.gpus);
  msgpack_pack_uint32 (pk, t->priority);
  msgpack_pack_int64 (pk, t->estimate_ms);
  msgpack_pack_int64 (pk, t->due_within_ms);
  msgpack_pack_int64 (pk, t->start_within_ms);
  mm_mp_pack_bool (pk, t->kept);
  mm_mp_pack_text (pk, t->running_at);
  msgpack_pack_uint32 (pk, t->run);
  msgpack_pack_int64 (pk, t->ran_ms);
  mm_mp_pack_bool (pk, t->isolated);
  msgpack_pack_int64 (pk, t->silent_ms);
  mm_mp_pack_bool (pk, t->yields);
  msgpack_pack_int64 (pk, t->waited_ms);
}

void
mm_mesh_pack_run (msgpack_sbuffer *b, uint64_t number,
                  const mm_task_request *t)
{
  msgpack_packer pk;
  pack_header (&pk, b, RUN_FIELDS, MM_MESH_RUN);
  msgpack_pack_uint64 (&pk, number);
  pack_task_request (&pk, t);
}

void
mm_mesh_pack_reserve (msgpack_sbuffer *b, uint64_t number, uint32_t copies,
                      const mm_task_request *t)
{
  mm_task_request without_payload = *t;
  without_payload.payload = NULL;
  msgpack_packer pk;
  pack_header (&pk, b, RESERVE_FIELDS, MM_MESH_RESERVE);
  msgpack_pack_uint64 (&pk, number);
  msgpack_pack_uint32 (&pk, copies);
  pack_task_request (&pk, &without_payload);
}

void
mm_mesh_pack_offer (msgpack_sbuffer *b, uint64_t number)
{
  msgpack_packer pk;
  pack_header (&pk, b, 2, MM_MESH_OFFER);
  msgpack_pack_uint64 (&pk, number);
}

void
mm_mesh_pack_accept (msgpack_sbuffer *b, uint64_t number, const char *payload)
{
  msgpack_packer pk;
  pack_header (&pk, b, ACCEPT_FIELDS, MM_MESH_ACCEPT);
  msgpack_pack_uint64 (&pk, number);
  mm_mp_pack_text (&pk, payload);
}

void
mm_mesh_pack_cancel (msgpack_sbuffer *b, uint64_t number)
{
  msgpack_packer pk;
  pack_header (&pk, b, 2, MM_MESH_CANCEL);
  msgpack_pack_uint64 (&pk, number);
}

void
mm_mesh_pack_hello (msgpack_sbuffer *b, const char *name)
{
  msgpack_packer pk;
  pack_header (&pk, b, 2, MM_MESH_HELLO);
  mm_mp_pack_text (&pk, name);
}

void
mm_mesh_pack_heartbeat (msgpack_sbuffer *b, mm_time_ms echo_ms,
                        mm_time_ms echo_age_ms, mm_time_ms silent_ms)
{
  msgpack_packer pk;
  pack_header (&pk, b, HEARTBEAT_FIELDS, MM_MESH_HEARTBEAT);
  msgpack_pack_int64 (&pk, echo_ms);
  msgpack_pack_int64 (&pk, echo_age_ms);
  msgpack_pack_int64 (&pk, silent_ms);
}

void
mm_mesh_pack_ended (msgpack_sbuffer *b, uint64_t number,
                    const mm_work_result *r)
{
  msgpack_packer pk;
  pack_header (&pk, b, ENDED_FIELDS, MM_MESH_ENDED);
  msgpack_pack_uint64 (&pk, number);
  msgpack_pack_int (&pk, r->how);
  mm_mp_pack_text (&pk, r->upstream);
  msgpack_pack_int64 (&pk, r->ran_ms);
  mm_mp_pack_text (&pk, r->why);
  msgpack_pack_uint32 (&pk, r->run);
}

void
mm_mesh_pack_request (msgpack_sbuffer *b, uint64_t number, uint32_t verb,
                      const void *data, size_t len)
{
  msgpack_packer pk;
  pack_header (&pk, b, REQUEST_FIELDS, MM_MESH_REQUEST);
  msgpack_pack_uint64 (&pk, number);
  msgpack_pack_uint32 (&pk, verb);
  mm_mp_pack_bytes (&pk, data, len);
}

void
mm_mesh_pack_answer (msgpack_sbuffer *b, uint64_t number, const void *data,
                     size_t len)
{
  msgpack_packer pk;
  pack_header (&pk, b, ANSWER_FIELDS, MM_MESH_ANSWER);
  msgpack_pack_uint64 (&pk, number);
  mm_mp_pack_bytes (&pk, data, len);
}

void
mm_mesh_pack_update (msgpack_sbuffer *b, mm_time_ms sent_ms, const void *data,
                     size_t len)
{
  msgpack_packer pk;
  pack_header (&pk, b, UPDATE_FIELDS, MM_MESH_UPDATE);
  msgpack_pack_int64 (&pk, sent_ms);
  mm_mp_pack_bytes (&pk, data, len);
}

static void
pack_priority_levels (msgpack_packer *pk, const uint32_t values[])
{
  msgpack_pack_array (pk, MM_PRIORITY_LEVELS);
  for (size_t i = 0; i < MM_PRIORITY_LEVELS; i++)
    msgpack_pack_uint32 (pk, values[i]);
}

static void
pack_residuals (msgpack_packer *pk, const mm_residuals *r)
{
  msgpack_pack_int64 (pk, r->unit_milli);
  msgpack_pack_uint32 (pk, r->n_upstreams);
  msgpack_pack_array (pk, r->n);
  for (uint32_t i = 0; i < r->n; i++)
    msgpack_pack_uint8 (pk, r->sizes[i]);
}

void
mm_mesh_pack_report (msgpack_sbuffer *b, uint64_t seen_number,
                     const char *name, bool leaving,
                     const mm_mesh_service_capacity *capacities, size_t n)
{
  msgpack_packer pk;
  pack_header (&pk, b, REPORT_FIELDS, MM_MESH_REPORT);
  msgpack_pack_uint64 (&pk, seen_number);
  mm_mp_pack_text (&pk, name);
  mm_mp_pack_bool (&pk, leaving);
  msgpack_pack_array (&pk, n);
  for (size_t i = 0; i < n; i++)
    {
      msgpack_pack_array (&pk, CAPACITY_FIELDS);
      mm_mp_pack_text (&pk, capacities[i].service);
      msgpack_pack_uint32 (&pk, capacities[i].capacity.places);
      msgpack_pack_uint32 (&pk, capacities[i].capacity.free);
      msgpack_pack_uint32 (&pk, capacities[i].capacity.waiting);
      msgpack_pack_uint32 (&pk, capacities[i].capacity.task_ms);
      pack_priority_levels (&pk, capacities[i].capacity.waiting_by_priority);
      pack_residuals (&pk, &capacities[i].capacity.residuals);
      pack_priority_levels (&pk, capacities[i].capacity.starts_per_s);
      pack_priority_levels (&pk, capacities[i].capacity.least_wait_ms);
    }
}

void
mm_mesh_pack_report_time (msgpack_sbuffer *b, mm_time_ms sent_ms)
{
  msgpack_packer pk;
  msgpack_packer_init (&pk, b, msgpack_sbuffer_write);
  msgpack_pack_int64 (&pk, sent_ms);
}

void
mm_mesh_pack_kinds (msgpack_sbuffer *b, const mm_upstream_kinds *kinds)
{
  msgpack_packer pk;
  pack_header (&pk, b, KINDS_FIELDS, MM_MESH_KINDS);
  mm_upstream_kinds_pack (kinds, &pk);
}

void
mm_mesh_pack_released (msgpack_sbuffer *b, const char *group)
{
  msgpack_packer pk;
  pack_header (&pk, b, RELEASED_FIELDS, MM_MESH_RELEASED);
  mm_mp_pack_text (&pk, group);
}

void
mm_mesh_pack_found (msgpack_sbuffer *b, const mm_found_run *r)
{
  msgpack_packer pk;
  pack_header (&pk, b, FOUND_FIELDS, MM_MESH_FOUND);
  mm_mp_pack_text (&pk, r->upstream);
  msgpack_pack_uint32 (&pk, r->run);
  mm_mp_pack_task (&pk, &r->task);
  msgpack_pack_uint64 (&pk, r->fence);
}

static void
pack_task_hashes (msgpack_packer *pk, const uint64_t *hashes, size_t n)
{
  msgpack_pack_array (pk, n);
  for (size_t i = 0; i < n; i++)
    msgpack_pack_uint64 (pk, hashes[i]);
}

void
mm_mesh_pack_loss (msgpack_sbuffer *b, const mm_loss *l)
{
  msgpack_packer pk;
  pack_header (&pk, b, LOSS_FIELDS, MM_MESH_LOSS);
  mm_mp_pack_text (&pk, l->upstream);
  mm_mp_pack_text (&pk, l->addr);
  msgpack_pack_int (&pk, l->verdict);
  msgpack_pack_int64 (&pk, mm_clock_now_ms () - l->unresponsive_since_ms);
  msgpack_pack_uint32 (&pk, l->occurrence);
  pack_task_hashes (&pk, l->tasks, l->n_tasks);
  msgpack_pack_uint64 (&pk, l->n_unconfirmed);
  msgpack_pack_int64 (&pk, l->after_start_ms);
  msgpack_pack_int64 (&pk,
                      l->verdict_ms ? mm_clock_now_ms () - l->verdict_ms : 0);
  msgpack_pack_int64 (&pk, l->born_ms);
  mm_mp_pack_bool (&pk, l->draining);
  pack_task_hashes (&pk, l->just_started, l->n_just_started);
}

void
mm_mesh_pack_evacuations (msgpack_sbuffer *b, const mm_evacuations_view *v)
{
  msgpack_packer pk;
  pack_header (&pk, b, EVACUATIONS_FIELDS, MM_MESH_EVACUATIONS);
  msgpack_pack_uint64 (&pk, v->offset);
  msgpack_pack_int64 (&pk, v->age_ms);
  msgpack_pack_array (&pk, v->n);
  for (size_t i = 0; i < v->n; i++)
    {
      msgpack_pack_array (&pk, 2);
      mm_mp_pack_text (&pk, v->evacuations[i].datacentre);
      msgpack_pack_int64 (&pk, v->evacuations[i].for_ms);
    }
}

/* The functions read_run(), read_reserve(), read_ended(), read_loss(),
   read_evacuations() and read_report() read the values of a message into @m,
   @l or @v.  @f: the message's array, of which f[0] is the kind; the caller
   has checked the number of values.  They return false when a value is not
   valid.  */

/* Reads a time that is not negative.  */
static bool
read_time (const msgpack_object *f, mm_time_ms *out)
{
  return mm_mp_read_i64 (f, out) && *out >= 0 && *out <= TIME_MAX_MS;
}

/* Reads the values that pack_task_request() packs, of which @f is the first.
   @has_payload: whether the payload must not be nil.  */
static bool
read_task_request (const msgpack_object *f, bool has_payload,
                   mm_task_request *t)
{
  return mm_mp_read_task (&f[0], &t->id)
         && mm_mp_read_text (&f[3], false, (char **)&t->service)
         && mm_mp_read_text (&f[4], !has_payload, (char **)&t->payload)
         && mm_mp_read_text (&f[5], true, (char **)&t->label)
         && mm_mp_read_text (&f[6], true, (char **)&t->data_label)
         && mm_mp_read_text (&f[7], true, (char **)&t->avoid_upstream)
         && mm_mp_read_i64 (&f[8], &t->resources.cpu_milli)
         && mm_mp_read_i64 (&f[9], &t->resources.mem_mb)
         && mm_mp_read_i64 (&f[10], &t->resources.gpus)
         && mm_mp_read_u32 (&f[11], &t->priority)
         && mm_mp_read_i64 (&f[12], &t->estimate_ms)
         && mm_mp_read_i64 (&f[13], &t->due_within_ms)
         && mm_mp_read_i64 (&f[14], &t->start_within_ms)
         && mm_mp_read_bool (&f[15], &t->kept)
         && mm_mp_read_text (&f[16], true, (char **)&t->running_at)
         && mm_mp_read_u32 (&f[17], &t->run)
         && mm_mp_read_i64 (&f[18], &t->ran_ms)
         && mm_mp_read_bool (&f[19], &t->isolated)
         && read_time (&f[20], &t->silent_ms)
         && mm_mp_read_bool (&f[21], &t->yields)
         && read_time (&f[22], &t->waited_ms) && t->resources.cpu_milli >= 0
         && t->resources.mem_mb >= 0 && t->resources.gpus >= 0;
}

static bool
read_run (const msgpack_object *f, mm_mesh_msg *m)
{
  return mm_mp_read_u64 (&f[1], &m->number)
         && read_task_request (&f[2], true, &m->request);
}

static bool
read_reserve (const msgpack_object *f, mm_mesh_msg *m)
{
  return mm_mp_read_u64 (&f[1], &m->number)
         && mm_mp_read_u32 (&f[2], &m->copies) && m->copies > 0
         && read_task_request (&f[3], false, &m->request);
}

static bool
read_ended (const msgpack_object *f, mm_mesh_msg *m)
{
  uint32_t how;
  mm_work_result *r = &m->result;
  if (!mm_mp_read_u64 (&f[1], &m->number) || !mm_mp_read_u32 (&f[2], &how)
      || how >= MM_END_COUNT
      || !mm_mp_read_text (&f[3], true, (char **)&r->upstream)
      || !mm_mp_read_i64 (&f[4], &r->ran_ms)
      || !mm_mp_read_text (&f[5], true, (char **)&r->why)
      || !mm_mp_read_u32 (&f[6], &r->run))
    return false;
  r->how = (mm_end)how;
  return true;
}

/* Makes the message refer to the bytes of a msgpack value, without a copy.  */
static bool
read_bytes (const msgpack_object *o, mm_mesh_msg *m)
{
  if (o->type != MSGPACK_OBJECT_BIN)
    return false;
  m->data = o->via.bin.ptr;
  m->len = o->via.bin.size;
  return true;
}

static bool
read_task_hashes (const msgpack_object *o, const uint64_t **out, size_t *n)
{
  if (o->type != MSGPACK_OBJECT_ARRAY
      || o->via.array.size > MM_SUSPECTS_TASKS_MAX)
    return false;
  *n = o->via.array.size;
  uint64_t *hashes = g_new0 (uint64_t, *n + 1);
  *out = hashes;
  for (size_t i = 0; i < *n; i++)
    if (!mm_mp_read_u64 (&o->via.array.ptr[i], &hashes[i]))
      return false;
  return true;
}

static bool
read_loss (const msgpack_object *f, mm_loss *l)
{
  uint32_t verdict;
  int64_t unresponsive_for_ms, verdict_for_ms;
  uint32_t n_unconfirmed;
  if (!mm_mp_read_text (&f[1], false, (char **)&l->upstream)
      || !mm_mp_read_text (&f[2], false, (char **)&l->addr)
      || !mm_mp_read_u32 (&f[3], &verdict) || verdict >= MM_LOSS_VERDICT_COUNT
      || !read_time (&f[4], &unresponsive_for_ms)
      || !mm_mp_read_u32 (&f[5], &l->occurrence) || l->occurrence == 0
      || !read_task_hashes (&f[6], &l->tasks, &l->n_tasks)
      || !mm_mp_read_u32 (&f[7], &n_unconfirmed) || n_unconfirmed > l->n_tasks
      || !read_time (&f[8], &l->after_start_ms)
      || !read_time (&f[9], &verdict_for_ms)
      || !mm_mp_read_i64 (&f[10], &l->born_ms)
      || !mm_mp_read_bool (&f[11], &l->draining)
      || !read_task_hashes (&f[12], &l->just_started, &l->n_just_started))
    return false;
  l->n_unconfirmed = n_unconfirmed;
  l->verdict = (mm_loss_verdict)verdict;
  l->unresponsive_since_ms = mm_clock_now_ms () - unresponsive_for_ms;
  l->verdict_ms = mm_clock_now_ms () - verdict_for_ms;
  return true;
}

static bool
read_evacuations (const msgpack_object *f, mm_evacuations_view *v)
{
  if (!mm_mp_read_u64 (&f[1], &v->offset) || !read_time (&f[2], &v->age_ms)
      || f[3].type != MSGPACK_OBJECT_ARRAY
      || f[3].via.array.size > MM_MESH_MAX_EVACUATIONS)
    return false;
  v->evacuations = g_new0 (mm_evacuation, f[3].via.array.size + 1);
  for (uint32_t i = 0; i < f[3].via.array.size; i++)
    {
      const msgpack_object *row = &f[3].via.array.ptr[i];
      mm_evacuation *e = &v->evacuations[v->n++];
      if (!mm_mp_is_array (row, 2)
          || !mm_mp_read_text (&row->via.array.ptr[0], false, &e->datacentre)
          || !read_time (&row->via.array.ptr[1], &e->for_ms))
        return false;
    }
  return true;
}

static bool
read_priority_levels (const msgpack_object *o, uint32_t values[])
{
  if (o->type != MSGPACK_OBJECT_ARRAY
      || o->via.array.size != MM_PRIORITY_LEVELS)
    return false;
  for (size_t i = 0; i < MM_PRIORITY_LEVELS; i++)
    if (!mm_mp_read_u32 (&o->via.array.ptr[i], &values[i]))
      return false;
  return true;
}

/* Reads three consecutive values, as pack_residuals() packs them.  */
static bool
read_residuals (const msgpack_object *values, mm_residuals *r)
{
  if (!mm_mp_read_i64 (&values[0], &r->unit_milli) || r->unit_milli < 0
      || r->unit_milli > RESIDUAL_UNIT_MAX_MILLI
      || !mm_mp_read_u32 (&values[1], &r->n_upstreams)
      || values[2].type != MSGPACK_OBJECT_ARRAY
      || values[2].via.array.size > MM_RESIDUALS_MAX)
    return false;
  r->n = values[2].via.array.size;
  for (uint32_t i = 0; i < r->n; i++)
    {
      uint32_t size;
      if (!mm_mp_read_u32 (&values[2].via.array.ptr[i], &size)
          || size > MM_RESIDUALS_STEPS)
        return false;
      r->sizes[i] = (uint8_t)size;
    }
  return true;
}

static bool
read_report (const msgpack_object *f, mm_mesh_msg *m)
{
  if (!mm_mp_read_u64 (&f[1], &m->number)
      || !mm_mp_read_text (&f[2], false, (char **)&m->name)
      || !mm_mp_read_bool (&f[3], &m->leaving)
      || !mm_mp_read_i64 (&f[5], &m->sent_ms)
      || f[4].type != MSGPACK_OBJECT_ARRAY
      || f[4].via.array.size > MM_MESH_MAX_SERVICES)
    return false;
  m->capacities = g_new0 (mm_mesh_service_capacity, f[4].via.array.size + 1);
  for (uint32_t i = 0; i < f[4].via.array.size; i++)
    {
      const msgpack_object *row = &f[4].via.array.ptr[i];
      if (row->type != MSGPACK_OBJECT_ARRAY
          || (row->via.array.size != CAPACITY_FIELDS
              && row->via.array.size != CAPACITY_FIELDS_WITHOUT_OVERLOAD))
        return false;
      const msgpack_object *r = row->via.array.ptr;
      mm_mesh_service_capacity *out = &m->capacities[m->n_capacities];
      if (!mm_mp_read_fixed (&r[0], out->service, sizeof out->service)
          || !mm_mp_read_u32 (&r[1], &out->capacity.places)
          || !mm_mp_read_u32 (&r[2], &out->capacity.free)
          || !mm_mp_read_u32 (&r[3], &out->capacity.waiting)
          || !mm_mp_read_u32 (&r[4], &out->capacity.task_ms)
          || !read_priority_levels (&r[5], out->capacity.waiting_by_priority)
          || !read_residuals (&r[6], &out->capacity.residuals))
        return false;
      if (row->via.array.size == CAPACITY_FIELDS
          && (!read_priority_levels (&r[9], out->capacity.starts_per_s)
              || !read_priority_levels (&r[10], out->capacity.least_wait_ms)))
        return false;
      m->n_capacities++;
    }
  return true;
}

/**
 * mm_mesh_msg_read() - decode a message.
 * @o: object received.
 * @out: filled; clear it with mm_mesh_msg_clear(), also after a failure.  Its
 *       data is not copied and points into @o.
 *
 * Return: false when @o is not a valid message.
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
  if (!mm_mp_read_u32 (&f[0], &kind))
    return false;
  out->kind = (mm_mesh_kind)kind;
  switch (out->kind)
    {
    case MM_MESH_RUN:
      return n == RUN_FIELDS && read_run (f, out);
    case MM_MESH_RESERVE:
      return n == RESERVE_FIELDS && read_reserve (f, out);
    case MM_MESH_ACCEPT:
      return n == ACCEPT_FIELDS && mm_mp_read_u64 (&f[1], &out->number)
             && mm_mp_read_text (&f[2], false, (char **)&out->request.payload);
    case MM_MESH_CANCEL:
    case MM_MESH_OFFER:
      return n == 2 && mm_mp_read_u64 (&f[1], &out->number);
    case MM_MESH_HEARTBEAT:
      return n == HEARTBEAT_FIELDS && read_time (&f[1], &out->echo_ms)
             && read_time (&f[2], &out->echo_age_ms)
             && read_time (&f[3], &out->silent_ms);
    case MM_MESH_ENDED:
      return n == ENDED_FIELDS && read_ended (f, out);
    case MM_MESH_HELLO:
      return n == 2 && mm_mp_read_text (&f[1], false, (char **)&out->name);
    case MM_MESH_REQUEST:
      return n == REQUEST_FIELDS && mm_mp_read_u64 (&f[1], &out->number)
             && mm_mp_read_u32 (&f[2], &out->verb) && read_bytes (&f[3], out);
    case MM_MESH_ANSWER:
      return n == ANSWER_FIELDS && mm_mp_read_u64 (&f[1], &out->number)
             && read_bytes (&f[2], out);
    case MM_MESH_REPORT:
      return n == REPORT_FIELDS && read_report (f, out);
    case MM_MESH_FOUND:
      return n == FOUND_FIELDS
             && mm_mp_read_text (&f[1], false, (char **)&out->found.upstream)
             && mm_mp_read_u32 (&f[2], &out->found.run)
             && mm_mp_read_task (&f[3], &out->found.task)
             && mm_mp_read_u64 (&f[6], &out->found.fence);
    case MM_MESH_UPDATE:
      return n == UPDATE_FIELDS && mm_mp_read_i64 (&f[1], &out->sent_ms)
             && read_bytes (&f[2], out);
    case MM_MESH_LOSS:
      return n == LOSS_FIELDS && read_loss (f, &out->loss);
    case MM_MESH_EVACUATIONS:
      return n == EVACUATIONS_FIELDS
             && read_evacuations (f, &out->evacuations);
    case MM_MESH_KINDS:
      return n == KINDS_FIELDS
             && (out->kinds = mm_upstream_kinds_read (&f[1])) != NULL;
    case MM_MESH_RELEASED:
      return n == RELEASED_FIELDS
             && mm_mp_read_text (&f[1], false, (char **)&out->name);
    }
  return false; /* unknown kind */
}

const char *
mm_mesh_msg_state_name (const mm_mesh_msg *m)
{
  switch (m->kind)
    {
    case MM_MESH_UPDATE:
      return "update";
    case MM_MESH_REPORT:
      return "report";
    case MM_MESH_KINDS:
      return "kinds";
    case MM_MESH_LOSS:
      return "loss";
    case MM_MESH_EVACUATIONS:
      return "evacuations";
    default:
      return NULL;
    }
}

void
mm_mesh_msg_clear (mm_mesh_msg *m)
{
  g_free ((char *)m->request.service);
  g_free ((char *)m->request.payload);
  g_free ((char *)m->request.label);
  g_free ((char *)m->request.data_label);
  g_free ((char *)m->request.avoid_upstream);
  g_free ((char *)m->request.running_at);
  g_free ((char *)m->result.upstream);
  g_free ((char *)m->result.why);
  g_free ((char *)m->found.upstream);
  g_free ((char *)m->loss.upstream);
  g_free ((char *)m->loss.addr);
  g_free ((uint64_t *)m->loss.tasks);
  g_free ((uint64_t *)m->loss.just_started);
  mm_evacuations_view_clear (&m->evacuations);
  mm_upstream_kinds_destroy (m->kinds);
  g_free (m->name);
  g_free (m->capacities);
}
