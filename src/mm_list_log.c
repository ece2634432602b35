/* mm_list_log: the last changes of the upstream list.  */
#include "mm_list_log.h"

#include "config.h"

struct mm_list_log
{
  uint64_t first;  /* offset from which on the log has all changes */
  GArray *changes; /* of mm_list_change, in the order of the stream */
};

void
mm_list_change_clear (gpointer change)
{
  mm_list_change *c = change;
  g_free (c->name);
  mm_upstream_info_free (c->info);
}

mm_list_log *
mm_list_log_create (void)
{
  mm_list_log *l = g_new0 (mm_list_log, 1);
  l->changes = g_array_new (FALSE, FALSE, sizeof (mm_list_change));
  g_array_set_clear_func (l->changes, mm_list_change_clear);
  return l;
}

void
mm_list_log_destroy (mm_list_log *l)
{
  if (!l)
    return;
  g_array_free (l->changes, TRUE);
  g_free (l);
}

void
mm_list_log_reset (mm_list_log *l, uint64_t first)
{
  g_array_set_size (l->changes, 0);
  l->first = first;
}

void
mm_list_log_append (mm_list_log *l, uint64_t end_offset, const char *name,
                    const mm_upstream_info *info)
{
  if (l->changes->len >= MM_LIST_LOG_MAX)
    {
      l->first = g_array_index (l->changes, mm_list_change, 0).end_offset;
      g_array_remove_index (l->changes, 0);
    }
  mm_list_change c = { .name = g_strdup (name),
                       .info = info ? mm_upstream_info_copy (info) : NULL,
                       .end_offset = end_offset };
  g_array_append_val (l->changes, c);
}

uint64_t
mm_list_log_first_offset (const mm_list_log *l)
{
  return l->first;
}

const mm_list_change *
mm_list_log_since (const mm_list_log *l, uint64_t from, size_t *n)
{
  guint i = l->changes->len;
  while (i > 0
         && g_array_index (l->changes, mm_list_change, i - 1).end_offset
                > from)
    i--;
  *n = l->changes->len - i;
  return &g_array_index (l->changes, mm_list_change, i);
}
