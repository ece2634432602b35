/* mm_counters: named 64-bit counters, shown in every state dump.  */
#include "masticmill.h"

#include <cJSON.h>

struct mm_counters
{
  GHashTable *by_name; /* name (char *) -> value (int64_t *) */
};

/**
 * mm_counters_create() - create an empty set of counters.
 *
 * Return: the set; free it with mm_counters_destroy().
 */
mm_counters *
mm_counters_create (void)
{
  mm_counters *c = g_new0 (mm_counters, 1);
  c->by_name = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  return c;
}

void
mm_counters_destroy (mm_counters *c)
{
  if (!c)
    return;
  g_hash_table_destroy (c->by_name);
  g_free (c);
}

/**
 * mm_counters_add() - add to a counter, which is created at zero if needed.
 * @c: the set.
 * @name: name of the counter, copied on first use.
 * @n: amount to add; may be negative for gauges.
 */
void
mm_counters_add (mm_counters *c, const char *name, int64_t n)
{
  int64_t *v = g_hash_table_lookup (c->by_name, name);
  if (!v)
    {
      v = g_new0 (int64_t, 1);
      g_hash_table_insert (c->by_name, g_strdup (name), v);
    }
  *v += n;
}

int64_t
mm_counters_get (const mm_counters *c, const char *name)
{
  int64_t *v = g_hash_table_lookup (c->by_name, name);
  return v ? *v : 0;
}

/**
 * mm_counters_to_json() - format all counters as one JSON object.
 * @c: the set.
 *
 * Return: newly allocated text, free with free().
 */
char *
mm_counters_to_json (const mm_counters *c)
{
  cJSON *o = cJSON_CreateObject ();
  GHashTableIter it;
  gpointer k, v;
  g_hash_table_iter_init (&it, c->by_name);
  while (g_hash_table_iter_next (&it, &k, &v))
    cJSON_AddNumberToObject (o, k, (double)*(int64_t *)v);
  char *s = cJSON_PrintUnformatted (o);
  cJSON_Delete (o);
  return s;
}
