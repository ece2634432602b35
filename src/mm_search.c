/* mm_search: rounds of questions; each round is a census of its own.  */
#include "mm_search.h"

#include "config.h"
#include "mm_kept_wire.h"

struct mm_search
{
  int refs; /* the maker's, and one a question that is open */
  bool closed;
  mm_mesh *mesh;
  const mm_owner *owner;
  const mm_catalog *catalog;
  mm_search_events ev;
  GHashTable *tasks; /* of the round, NULL: none is under way */
  GHashTable *clear; /* marks of upstreams, uint64_t */
  uint32_t present;
  bool whole; /* every question of the round was answered */
  uint32_t open;
};

typedef struct
{
  mm_search *search;
  char *peer;
} question;

mm_search *
mm_search_create (mm_mesh *mesh, const mm_owner *owner,
                  const mm_catalog *catalog, const mm_search_events *ev)
{
  mm_search *s = g_new0 (mm_search, 1);
  s->refs = 1;
  s->mesh = mesh;
  s->owner = owner;
  s->catalog = catalog;
  s->ev = *ev;
  s->clear = g_hash_table_new_full (g_int64_hash, g_int64_equal, g_free, NULL);
  return s;
}

static void
search_unref (mm_search *s)
{
  if (--s->refs > 0)
    return;
  g_hash_table_destroy (s->clear);
  if (s->tasks)
    g_hash_table_destroy (s->tasks);
  g_free (s);
}

void
mm_search_destroy (mm_search *s)
{
  if (!s)
    return;
  s->closed = true;
  search_unref (s);
}

bool
mm_search_busy (const mm_search *s)
{
  return s->tasks != NULL;
}

static void
take_census (mm_search *s, const mm_census *c, const char *owner)
{
  s->present += c->present;
  for (guint i = 0; i < c->clear->len; i++)
    g_hash_table_add (
        s->clear,
        g_memdup2 (&g_array_index (c->clear, uint64_t, i), sizeof (uint64_t)));
  for (guint i = 0; i < c->ends->len; i++)
    s->ev.end (s->ev.ctx, &g_array_index (c->ends, mm_found_end, i), owner);
}

static bool
all_upstreams_told (const mm_search *s)
{
  bool all = true;
  GList *list = mm_catalog_all (s->catalog);
  for (GList *l = list; l && all; l = l->next)
    {
      uint64_t mark
          = mm_upstream_mark (((const mm_upstream_info *)l->data)->name);
      all = g_hash_table_contains (s->clear, &mark);
    }
  g_list_free (list);
  return all;
}

static void
end_round (mm_search *s)
{
  GHashTable *tasks = g_steal_pointer (&s->tasks);
  if (s->whole && s->present == 0 && all_upstreams_told (s))
    s->ev.none_left (s->ev.ctx, tasks);
  g_hash_table_destroy (tasks);
}

static void
on_told (void *ctx, bool ok, const void *data, size_t len)
{
  question *q = ctx;
  mm_search *s = q->search;
  mm_census c = mm_census_new ();
  /* Without an answer the round may still be whole: that peer's upstreams
     are told of by who owns them now, or not at all.  */
  if (!s->closed && ok && mm_census_read (data, len, &c))
    take_census (s, &c, q->peer);
  mm_census_clear (&c);
  s->open--;
  if (!s->closed && s->open == 0)
    end_round (s);
  g_free (q->peer);
  g_free (q);
  search_unref (s);
}

static void
ask_peers (mm_search *s)
{
  msgpack_sbuffer b;
  msgpack_sbuffer_init (&b);
  mm_task_set_pack (&b, s->tasks);
  GList *peers = mm_mesh_peers (s->mesh);
  for (GList *l = peers; l; l = l->next)
    {
      question *q = g_new0 (question, 1);
      q->search = s;
      q->peer = g_strdup (l->data);
      s->open++;
      s->refs++;
      mm_mesh_ask (s->mesh, q->peer, MM_ASK_CENSUS, b.data, b.size,
                   MM_KEPT_ASK_MS, on_told, q);
    }
  g_list_free (peers);
  msgpack_sbuffer_destroy (&b);
}

void
mm_search_begin (mm_search *s, GHashTable *tasks, bool list_fresh)
{
  s->tasks = tasks;
  s->present = 0;
  s->whole = list_fresh;
  g_hash_table_remove_all (s->clear);
  /* Owners need not be neighbours.  */
  mm_mesh_need (s->mesh, NULL);
  s->open = 1;
  mm_census own = mm_census_new ();
  mm_owner_census (s->owner, s->tasks, &own);
  take_census (s, &own, NULL);
  mm_census_clear (&own);
  ask_peers (s);
  if (--s->open == 0)
    end_round (s);
}
