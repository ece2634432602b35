/* mm_list_update: packs and reads the updates of the upstream list that
   instances send each other.  */
#include "mm_list_update.h"

#include "mm_msgpack.h"

#include <string.h>

enum
{
  UPDATE_FIELDS = 5,  /* of a message */
  MISSING_FIELDS = 1, /* of a change: the upstream is not listed any more */
  LISTED_FIELDS = 11  /* of a change: the upstream is listed */
};

static void
pack_change (msgpack_packer *pk, const mm_list_change *c)
{
  const mm_upstream_info *u = c->info;
  msgpack_pack_array (pk, u ? LISTED_FIELDS : MISSING_FIELDS);
  mm_mp_pack_text (pk, c->name);
  if (!u)
    return;
  mm_mp_pack_text (pk, u->addr);
  mm_mp_pack_text (pk, u->service);
  mm_mp_pack_text (pk, u->datacentre);
  mm_mp_pack_texts (pk, u->labels);
  msgpack_pack_int64 (pk, u->capacity.cpu_milli);
  msgpack_pack_int64 (pk, u->capacity.mem_mb);
  msgpack_pack_int64 (pk, u->capacity.gpus);
  msgpack_pack_int64 (pk, u->slots);
  mm_mp_pack_bool (pk, u->draining);
  msgpack_pack_int64 (pk, u->born_ms);
}

void
mm_list_update_pack (const mm_list_update *update, msgpack_sbuffer *out)
{
  msgpack_packer pk;
  msgpack_packer_init (&pk, out, msgpack_sbuffer_write);
  msgpack_pack_array (&pk, UPDATE_FIELDS);
  msgpack_pack_uint64 (&pk, update->round);
  msgpack_pack_uint64 (&pk, update->from_offset);
  msgpack_pack_uint64 (&pk, update->to_offset);
  msgpack_pack_int64 (&pk, update->age_ms);
  msgpack_pack_array (&pk, update->n_changes);
  for (size_t i = 0; i < update->n_changes; i++)
    pack_change (&pk, &update->changes[i]);
}

/* Reads the LISTED_FIELDS fields @f of a change.  */
static bool
read_listed (const msgpack_object *f, mm_upstream_info *u)
{
  u->labels = mm_mp_read_texts (&f[4], MM_UPSTREAM_LABELS_MAX);
  return u->labels && mm_mp_read_text (&f[0], false, &u->name)
         && mm_mp_read_text (&f[1], false, &u->addr)
         && mm_mp_read_text (&f[2], false, &u->service)
         && mm_mp_read_text (&f[3], false, &u->datacentre)
         && mm_mp_read_i64 (&f[5], &u->capacity.cpu_milli)
         && mm_mp_read_i64 (&f[6], &u->capacity.mem_mb)
         && mm_mp_read_i64 (&f[7], &u->capacity.gpus)
         && mm_mp_read_i64 (&f[8], &u->slots)
         && mm_mp_read_bool (&f[9], &u->draining)
         && mm_mp_read_i64 (&f[10], &u->born_ms)
         && !mm_upstream_info_invalid_field (u);
}

static bool
read_change (const msgpack_object *o, mm_list_change *c)
{
  if (mm_mp_is_array (o, MISSING_FIELDS))
    return mm_mp_read_text (&o->via.array.ptr[0], false, &c->name);
  if (!mm_mp_is_array (o, LISTED_FIELDS))
    return false;
  c->info = g_new0 (mm_upstream_info, 1);
  if (!read_listed (o->via.array.ptr, c->info))
    return false;
  c->name = g_strdup (c->info->name);
  return true;
}

/* Reads an update from an unpacked message.  Returns false if the message is
   malformed.  */
static bool
read_update (const msgpack_object *o, mm_list_update *out)
{
  if (!mm_mp_is_array (o, UPDATE_FIELDS))
    return false;
  const msgpack_object *f = o->via.array.ptr;
  if (!mm_mp_read_u64 (&f[0], &out->round)
      || !mm_mp_read_u64 (&f[1], &out->from_offset)
      || !mm_mp_read_u64 (&f[2], &out->to_offset)
      || !mm_mp_read_i64 (&f[3], &out->age_ms) || out->age_ms < 0
      || !mm_mp_is_array (&f[4], 0))
    return false;
  for (uint32_t i = 0; i < f[4].via.array.size; i++)
    {
      mm_list_change c = { .end_offset = out->to_offset };
      bool ok = read_change (&f[4].via.array.ptr[i], &c);
      g_array_append_val (out->decoded, c);
      if (!ok)
        return false;
    }
  out->changes = (const mm_list_change *)(void *)out->decoded->data;
  out->n_changes = out->decoded->len;
  return true;
}

bool
mm_list_update_read (const void *data, size_t len, mm_list_update *out)
{
  memset (out, 0, sizeof *out);
  out->decoded = g_array_new (FALSE, FALSE, sizeof (mm_list_change));
  g_array_set_clear_func (out->decoded, mm_list_change_clear);
  msgpack_unpacked u;
  msgpack_unpacked_init (&u);
  size_t offset = 0;
  bool ok
      = msgpack_unpack_next (&u, data, len, &offset) == MSGPACK_UNPACK_SUCCESS
        && read_update (&u.data, out);
  msgpack_unpacked_destroy (&u);
  return ok;
}

void
mm_list_update_clear (mm_list_update *update)
{
  if (update->decoded)
    g_array_free (update->decoded, TRUE);
  update->decoded = NULL;
}
