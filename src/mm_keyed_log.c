/* mm_keyed_log: keeps the history in an array, and a copy of the newest record
   of each key in a tree.  */
#include "mm_keyed_log.h"

#include <string.h>

struct mm_keyed_log
{
  GArray *history;       /* mm_keyed_record, oldest first */
  uint64_t first_offset; /* offset of the first record of the history */
  uint64_t end_offset;   /* offset of the record that is put next */
  GTree *newest;         /* key -> mm_keyed_record, without dropped keys */
};

static void
record_clear (gpointer p)
{
  mm_keyed_record *r = p;
  g_free (r->key);
  g_free (r->value);
}

static void
record_free (gpointer p)
{
  record_clear (p);
  g_free (p);
}

static gint
compare_keys (gconstpointer a, gconstpointer b, gpointer unused)
{
  return strcmp (a, b);
}

mm_keyed_log *
mm_keyed_log_create (void)
{
  mm_keyed_log *l = g_new0 (mm_keyed_log, 1);
  l->history = g_array_new (FALSE, TRUE, sizeof (mm_keyed_record));
  g_array_set_clear_func (l->history, record_clear);
  l->newest = g_tree_new_full (compare_keys, NULL, NULL, record_free);
  return l;
}

void
mm_keyed_log_destroy (mm_keyed_log *l)
{
  if (!l)
    return;
  g_array_free (l->history, TRUE);
  g_tree_destroy (l->newest);
  g_free (l);
}

uint64_t
mm_keyed_log_put (mm_keyed_log *l, const char *key, const char *value)
{
  uint64_t offset = l->end_offset++;
  mm_keyed_record r
      = { .key = g_strdup (key), .value = g_strdup (value), .offset = offset };
  g_array_append_val (l->history, r);
  if (!value)
    {
      g_tree_remove (l->newest, key);
      return offset;
    }
  mm_keyed_record *copy = g_new (mm_keyed_record, 1);
  *copy = (mm_keyed_record){ .key = g_strdup (key),
                             .value = g_strdup (value),
                             .offset = offset };
  g_tree_replace (l->newest, copy->key, copy);
  return offset;
}

uint64_t
mm_keyed_log_end (const mm_keyed_log *l)
{
  return l->end_offset;
}

uint64_t
mm_keyed_log_first (const mm_keyed_log *l)
{
  return l->first_offset;
}

void
mm_keyed_log_drop_history (mm_keyed_log *l)
{
  g_array_set_size (l->history, 0);
  l->first_offset = l->end_offset;
}

const mm_keyed_record *
mm_keyed_log_from (const mm_keyed_log *l, uint64_t from, size_t *n)
{
  uint64_t index = MIN (from, l->end_offset) - l->first_offset;
  *n = (size_t)(l->history->len - index);
  return &g_array_index (l->history, mm_keyed_record, index);
}

const mm_keyed_record *
mm_keyed_log_next_key (const mm_keyed_log *l, const char *after)
{
  GTreeNode *node = after ? g_tree_upper_bound (l->newest, after)
                          : g_tree_node_first (l->newest);
  return node ? g_tree_node_value (node) : NULL;
}
