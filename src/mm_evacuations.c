/* mm_evacuations: compares what this instance has read of the operators'
   evacuation requests with what its peers have sent.  */
#include "mm_evacuations.h"

#include "mm_event.h"

#include <string.h>

/* What is known up to an offset of the stream, from one source.  */
typedef struct
{
  bool known;
  uint64_t offset;
  mm_time_ms as_of_ms;     /* when it was read from the store */
  mm_time_ms received_ms;  /* when it was received, 0: read here */
  GHashTable *datacentres; /* name -> mm_time_ms, known since */
} view;

struct mm_evacuations
{
  char **all;        /* all data centres */
  GHashTable *keys;  /* key of each request that was read -> data centre */
  GHashTable *bad;   /* keys whose records were logged as not usable */
  view own;          /* from this instance's reads */
  view peers;        /* the newest view of a peer */
  char *peer;        /* that peer, or NULL */
  GHashTable *since; /* evacuated data centre -> mm_time_ms, in force since */
  mm_evacuations_changed changed;
  void *ctx;
};

static GHashTable *
datacentre_table_new (void)
{
  return g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
}

static void
add_datacentre (GHashTable *table, const char *datacentre, mm_time_ms since_ms)
{
  g_hash_table_insert (table, g_strdup (datacentre),
                       g_memdup2 (&since_ms, sizeof since_ms));
}

void
mm_evacuations_view_clear (mm_evacuations_view *v)
{
  for (size_t i = 0; i < v->n; i++)
    g_free (v->evacuations[i].datacentre);
  g_free (v->evacuations);
  *v = (mm_evacuations_view){ 0 };
}

/**
 * mm_evacuations_create() - create an object that knows of no evacuation.
 * @datacentres: all data centres, NULL-terminated; copied.  A request that
 *               names another one is logged and ignored.
 *
 * Return: the evacuations; free with mm_evacuations_destroy().
 */
mm_evacuations *
mm_evacuations_create (char **datacentres)
{
  mm_evacuations *e = g_new0 (mm_evacuations, 1);
  e->all = g_strdupv (datacentres);
  e->keys = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  e->bad = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  e->own.datacentres = datacentre_table_new ();
  e->peers.datacentres = datacentre_table_new ();
  e->since = datacentre_table_new ();
  return e;
}

void
mm_evacuations_destroy (mm_evacuations *e)
{
  if (!e)
    return;
  g_strfreev (e->all);
  g_hash_table_destroy (e->keys);
  g_hash_table_destroy (e->bad);
  g_hash_table_destroy (e->own.datacentres);
  g_hash_table_destroy (e->peers.datacentres);
  g_hash_table_destroy (e->since);
  g_free (e->peer);
  g_free (e);
}

void
mm_evacuations_on_changed (mm_evacuations *e, mm_evacuations_changed changed,
                           void *ctx)
{
  e->changed = changed;
  e->ctx = ctx;
}

/* Returns the view with the higher offset, or NULL while nothing is known.  */
static const view *
newest_view (const mm_evacuations *e)
{
  if (e->peers.known && (!e->own.known || e->peers.offset > e->own.offset))
    return &e->peers;
  return e->own.known ? &e->own : NULL;
}

/* Ends the evacuations that @v does not have.  Returns whether there are
   any.  */
static bool
end_others (mm_evacuations *e, const view *v, const char *peer, mm_time_ms now)
{
  bool any = false;
  GHashTableIter it;
  gpointer name, since;
  g_hash_table_iter_init (&it, e->since);
  while (g_hash_table_iter_next (&it, &name, &since))
    {
      if (g_hash_table_contains (v->datacentres, name))
        continue;
      mm_log_event (MM_EV_EVACUATION_ENDED, MM_TEXT (name),
                    MM_INT (now - *(mm_time_ms *)since), MM_TEXT (peer),
                    MM_INT (now - v->as_of_ms));
      g_hash_table_iter_remove (&it);
      any = true;
    }
  return any;
}

/* Begins the evacuations that only @v has.  Returns whether there are any.  */
static bool
begin_new (mm_evacuations *e, const view *v, const char *peer, mm_time_ms now)
{
  bool any = false;
  GHashTableIter it;
  gpointer name, since;
  g_hash_table_iter_init (&it, v->datacentres);
  while (g_hash_table_iter_next (&it, &name, &since))
    {
      if (g_hash_table_contains (e->since, name))
        continue;
      mm_log_event (MM_EV_EVACUATION_BEGUN, MM_TEXT (name), MM_TEXT (peer),
                    MM_INT (now - v->as_of_ms));
      add_datacentre (e->since, name, *(mm_time_ms *)since);
      any = true;
    }
  return any;
}

/* Puts the newest view in force.  */
static void
apply_newest (mm_evacuations *e)
{
  const view *v = newest_view (e);
  if (!v)
    return;
  const char *peer = v == &e->peers ? e->peer : NULL;
  mm_time_ms now = mm_clock_now_ms ();
  bool ended = end_others (e, v, peer, now);
  bool begun = begin_new (e, v, peer, now);
  if ((ended || begun) && e->changed)
    e->changed (e->ctx);
}

/* Returns whether a request for @datacentre can be followed.  One that cannot
   is logged once.  */
static bool
is_usable (mm_evacuations *e, const mm_stream_item *item)
{
  bool usable
      = !item->unreadable
        && g_strv_contains ((const char *const *)e->all, item->evacuated);
  if (usable)
    g_hash_table_remove (e->bad, item->key);
  else if (g_hash_table_add (e->bad, g_strdup (item->key)))
    mm_log_event (MM_EV_EVACUATION_IGNORED, MM_TEXT (item->key),
                  MM_TEXT (item->unreadable ? "the record cannot be read"
                                            : "no such data centre"));
  return usable;
}

void
mm_evacuations_read_item (mm_evacuations *e, const mm_stream_item *item)
{
  if (!item->evacuated && !item->unreadable)
    g_hash_table_remove (e->keys, item->key); /* the record was deleted */
  else if (is_usable (e, item))
    g_hash_table_replace (e->keys, g_strdup (item->key),
                          g_strdup (item->evacuated));
}

static gboolean
is_not_in (gpointer key, gpointer value, gpointer keys)
{
  return !g_hash_table_contains (keys, key);
}

/* Makes this instance's view the one that the requests read give.  */
static void
rebuild_own_view (mm_evacuations *e)
{
  mm_time_ms now = mm_clock_now_ms ();
  GHashTable *before = e->own.datacentres;
  e->own.datacentres = datacentre_table_new ();
  GHashTableIter it;
  gpointer key, name;
  g_hash_table_iter_init (&it, e->keys);
  while (g_hash_table_iter_next (&it, &key, &name))
    {
      const mm_time_ms *since = g_hash_table_lookup (before, name);
      const mm_time_ms *told = g_hash_table_lookup (e->since, name);
      add_datacentre (e->own.datacentres, name,
                      since  ? *since
                      : told ? *told
                             : now);
    }
  g_hash_table_destroy (before);
}

/**
 * mm_evacuations_read_to() - put in force what this instance has read.
 * @e: the evacuations.
 * @offset: all records of the stream before this offset were read.
 * @as_of_ms: when the last read that reached the end of the stream was sent.
 * @keys: the keys found by a read of the newest record of each key, or NULL
 *        after a read of appended records.
 *
 * What peers have sent is in force as long as its offset is higher.  A read of
 * the newest records that was sent after that was received supersedes it even
 * if the offset is lower, as it is when the store has lost its records.
 */
void
mm_evacuations_read_to (mm_evacuations *e, uint64_t offset,
                        mm_time_ms as_of_ms, GHashTable *keys)
{
  if (keys)
    g_hash_table_foreach_remove (e->keys, is_not_in, keys);
  if (keys && as_of_ms > e->peers.received_ms)
    e->peers.known = false;
  rebuild_own_view (e);
  e->own.known = true;
  e->own.offset = offset;
  e->own.as_of_ms = as_of_ms;
  apply_newest (e);
}

void
mm_evacuations_receive (mm_evacuations *e, const char *peer,
                        const mm_evacuations_view *v)
{
  const view *known = newest_view (e);
  if (known && v->offset <= known->offset)
    return;
  mm_time_ms now = mm_clock_now_ms ();
  e->peers.known = true;
  e->peers.offset = v->offset;
  e->peers.as_of_ms = now - v->age_ms;
  e->peers.received_ms = now;
  g_free (e->peer);
  e->peer = g_strdup (peer);
  g_hash_table_remove_all (e->peers.datacentres);
  for (size_t i = 0; i < v->n; i++)
    add_datacentre (e->peers.datacentres, v->evacuations[i].datacentre,
                    now - v->evacuations[i].for_ms);
  apply_newest (e);
}

bool
mm_evacuations_known (const mm_evacuations *e)
{
  return newest_view (e) != NULL;
}

bool
mm_evacuations_any (const mm_evacuations *e)
{
  return e && g_hash_table_size (e->since) > 0;
}

bool
mm_evacuations_contain (const mm_evacuations *e, const char *datacentre)
{
  return mm_evacuations_any (e)
         && g_hash_table_contains (e->since, datacentre);
}

GList *
mm_evacuations_datacentres (const mm_evacuations *e)
{
  return g_list_sort (g_hash_table_get_keys (e->since), (GCompareFunc)strcmp);
}

const char *const *
mm_evacuations_all (const mm_evacuations *e)
{
  return (const char *const *)e->all;
}

mm_evacuations_view
mm_evacuations_view_of (const mm_evacuations *e)
{
  const view *newest = newest_view (e);
  if (!newest)
    return (mm_evacuations_view){ 0 };
  mm_time_ms now = mm_clock_now_ms ();
  mm_evacuations_view v = { .offset = newest->offset,
                            .age_ms = MAX (now - newest->as_of_ms, 0) };
  v.evacuations = g_new0 (mm_evacuation, g_hash_table_size (e->since) + 1);
  GList *names = mm_evacuations_datacentres (e);
  for (GList *l = names; l; l = l->next)
    {
      const mm_time_ms *since = g_hash_table_lookup (e->since, l->data);
      v.evacuations[v.n++]
          = (mm_evacuation){ .datacentre = g_strdup (l->data),
                             .for_ms = MAX (now - *since, 0) };
    }
  g_list_free (names);
  return v;
}
