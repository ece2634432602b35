/* mm_upstream_kinds: a list of upstream entries of which only the service, the
   labels and the capacity are used.  */
#include "mm_upstream_kinds.h"

#include "mm_msgpack.h"

#include <string.h>

#define KIND_FIELDS 5u

struct mm_upstream_kinds
{
  GPtrArray *list; /* mm_upstream_info */
};

mm_upstream_kinds *
mm_upstream_kinds_create (void)
{
  mm_upstream_kinds *kinds = g_new0 (mm_upstream_kinds, 1);
  kinds->list
      = g_ptr_array_new_with_free_func ((GDestroyNotify)mm_upstream_info_free);
  return kinds;
}

void
mm_upstream_kinds_destroy (mm_upstream_kinds *kinds)
{
  if (!kinds)
    return;
  g_ptr_array_free (kinds->list, TRUE);
  g_free (kinds);
}

/* A full list may lack kinds.  */
static bool
is_full (const mm_upstream_kinds *kinds)
{
  return kinds->list->len >= MM_UPSTREAM_KINDS_MAX;
}

static bool
same_labels (char **a, char **b)
{
  static char *none[] = { NULL };
  return g_strv_equal ((const char *const *)(a ? a : none),
                       (const char *const *)(b ? b : none));
}

static bool
same_kind (const mm_upstream_info *a, const mm_upstream_info *b)
{
  return memcmp (&a->capacity, &b->capacity, sizeof a->capacity) == 0
         && strcmp (a->service, b->service) == 0
         && same_labels (a->labels, b->labels);
}

void
mm_upstream_kinds_add (mm_upstream_kinds *kinds, const mm_upstream_info *u)
{
  if (is_full (kinds))
    return;
  for (guint i = 0; i < kinds->list->len; i++)
    if (same_kind (kinds->list->pdata[i], u))
      return;
  mm_upstream_info *kind = g_new0 (mm_upstream_info, 1);
  kind->service = g_strdup (u->service);
  kind->labels = g_strdupv (u->labels);
  kind->capacity = u->capacity;
  g_ptr_array_add (kinds->list, kind);
}

bool
mm_upstream_kinds_any_suits (const mm_upstream_kinds *kinds,
                             const mm_task_request *t)
{
  for (guint i = 0; i < kinds->list->len; i++)
    if (mm_upstream_info_suits (kinds->list->pdata[i], t))
      return true;
  return is_full (kinds);
}

void
mm_upstream_kinds_pack (const mm_upstream_kinds *kinds, msgpack_packer *pk)
{
  msgpack_pack_array (pk, kinds->list->len);
  for (guint i = 0; i < kinds->list->len; i++)
    {
      const mm_upstream_info *kind = kinds->list->pdata[i];
      msgpack_pack_array (pk, KIND_FIELDS);
      mm_mp_pack_text (pk, kind->service);
      mm_mp_pack_texts (pk, kind->labels);
      msgpack_pack_int64 (pk, kind->capacity.cpu_milli);
      msgpack_pack_int64 (pk, kind->capacity.mem_mb);
      msgpack_pack_int64 (pk, kind->capacity.gpus);
    }
}

static bool
read_kind (const msgpack_object *o, mm_upstream_info *kind)
{
  if (!mm_mp_is_array (o, KIND_FIELDS))
    return false;
  const msgpack_object *f = o->via.array.ptr;
  kind->labels = mm_mp_read_texts (&f[1], MM_UPSTREAM_LABELS_MAX);
  return kind->labels && mm_mp_read_text (&f[0], false, &kind->service)
         && mm_mp_read_i64 (&f[2], &kind->capacity.cpu_milli)
         && mm_mp_read_i64 (&f[3], &kind->capacity.mem_mb)
         && mm_mp_read_i64 (&f[4], &kind->capacity.gpus);
}

mm_upstream_kinds *
mm_upstream_kinds_read (const msgpack_object *o)
{
  if (!mm_mp_is_array (o, 0) || o->via.array.size > MM_UPSTREAM_KINDS_MAX)
    return NULL;
  mm_upstream_kinds *kinds = mm_upstream_kinds_create ();
  for (uint32_t i = 0; i < o->via.array.size; i++)
    {
      mm_upstream_info *kind = g_new0 (mm_upstream_info, 1);
      g_ptr_array_add (kinds->list, kind);
      if (!read_kind (&o->via.array.ptr[i], kind))
        {
          mm_upstream_kinds_destroy (kinds);
          return NULL;
        }
    }
  return kinds;
}
