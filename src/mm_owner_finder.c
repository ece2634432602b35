/* mm_owner_finder: chooses owners from the upstream list and requires links to
   them.

   Many owners may have upstreams with the label.  Which of them are chosen
   depends on this instance and changes from time to time: instances do not all
   link to the same owners, and none is left out for ever.  */
#include "mm_owner_finder.h"

#include "config.h"

#include <string.h>
#include <xxhash.h>

struct mm_owner_finder
{
  mm_mesh *mesh;
  char *self;
  mm_owner_finder_port port;
  GHashTable *found_ms; /* needs of a task -> when an owner was last searched
                           for */
  mm_time_ms last_found_ms; /* the latest of these, 0: never */
};

/* An owner to which a link may be required.  */
typedef struct
{
  const char *name;
  uint64_t rank; /* the lowest are chosen */
} candidate;

mm_owner_finder *
mm_owner_finder_create (mm_mesh *mesh, const char *self,
                        const mm_owner_finder_port *port)
{
  mm_owner_finder *f = g_new0 (mm_owner_finder, 1);
  f->mesh = mesh;
  f->self = g_strdup (self);
  f->port = *port;
  f->found_ms
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  return f;
}

void
mm_owner_finder_destroy (mm_owner_finder *f)
{
  if (!f)
    return;
  g_hash_table_destroy (f->found_ms);
  g_free (f->self);
  g_free (f);
}

/* Returns whether a search for a task with the same needs is due, and records
   that it is made now.  */
static bool
take_turn (mm_owner_finder *f, const mm_task_request *t)
{
  mm_time_ms now = mm_clock_now_ms ();
  char *needs = g_strdup_printf (
      "%s %" G_GINT64_FORMAT " %" G_GINT64_FORMAT " %" G_GINT64_FORMAT " %s",
      t->service, t->resources.cpu_milli, t->resources.mem_mb,
      t->resources.gpus, t->label ? t->label : "");
  const mm_time_ms *last = g_hash_table_lookup (f->found_ms, needs);
  if (last && now - *last < MM_OWNER_FINDER_PAUSE_MS)
    {
      g_free (needs);
      return false;
    }
  if (g_hash_table_size (f->found_ms) >= MM_OWNER_FINDER_MAX_NEEDS)
    g_hash_table_remove_all (f->found_ms);
  g_hash_table_replace (f->found_ms, needs, g_memdup2 (&now, sizeof now));
  f->last_found_ms = now;
  return true;
}

static uint64_t
rank_of (const mm_owner_finder *f, const char *owner)
{
  uint64_t period = (uint64_t)(mm_clock_now_ms () / MM_MESH_LINK_KEEP_MS);
  uint64_t seed = XXH3_64bits_withSeed (f->self, strlen (f->self), period);
  return XXH3_64bits_withSeed (owner, strlen (owner), seed);
}

/* Adds @owner to the @n chosen candidates, MM_OWNER_FINDER_LINKS at most, in
   the order of their ranks.  Returns the new number of them.  */
static size_t
add_candidate (candidate *chosen, size_t n, const char *owner, uint64_t rank)
{
  size_t at = n;
  while (at > 0 && chosen[at - 1].rank > rank)
    at--;
  if (at > 0 && strcmp (chosen[at - 1].name, owner) == 0)
    return n;
  if (at == MM_OWNER_FINDER_LINKS)
    return n;
  n = MIN (n + 1, MM_OWNER_FINDER_LINKS);
  for (size_t i = n - 1; i > at; i--)
    chosen[i] = chosen[i - 1];
  chosen[at] = (candidate){ .name = owner, .rank = rank };
  return n;
}

void
mm_owner_finder_find (mm_owner_finder *f, const mm_task_request *t)
{
  if (!take_turn (f, t))
    return;
  candidate chosen[MM_OWNER_FINDER_LINKS];
  size_t n = 0;
  GList *all = mm_catalog_all (f->port.catalog);
  for (GList *l = all; l; l = l->next)
    {
      const mm_upstream_info *u = l->data;
      if (u->draining || !mm_upstream_info_suits (u, t))
        continue;
      const char *owner = f->port.owner_of (f->port.ctx, u);
      if (owner && strcmp (owner, f->self) != 0
          && !mm_mesh_is_connected (f->mesh, owner))
        n = add_candidate (chosen, n, owner, rank_of (f, owner));
    }
  g_list_free (all);
  for (size_t i = 0; i < n; i++)
    mm_mesh_require_link (f->mesh, chosen[i].name);
}

bool
mm_owner_finder_excludes (const mm_owner_finder *f, const mm_task_request *t)
{
  if (!f->port.list_complete (f->port.ctx))
    return false;
  bool any = false, any_suits = false;
  GList *all = mm_catalog_all (f->port.catalog);
  for (GList *l = all; l && !any_suits; l = l->next)
    {
      const mm_upstream_info *u = l->data;
      any = any || strcmp (u->service, t->service) == 0;
      any_suits = mm_upstream_info_suits (u, t);
    }
  g_list_free (all);
  return any && !any_suits;
}

bool
mm_owner_finder_needs_list (const mm_owner_finder *f)
{
  return f->last_found_ms
         && mm_clock_now_ms () - f->last_found_ms < MM_OWNER_FINDER_LIST_MS;
}
