/* mm_catalog: keeps the listed upstreams and drops missing ones with a delay.

   Entries of the list expire while the store is down and are back within two
   seconds of its return.  If a missing upstream were dropped at once, its
   running tasks would be lost because of that gap.  So it is dropped only
   after it has been missing for MM_LIST_DROP_MS of contact with the store.  */
#include "mm_catalog.h"

#include "config.h"
#include "mm_event.h"

#include <string.h>

typedef struct
{
  mm_upstream_info *info;
  mm_time_ms missing_since_ms; /* 0: it is listed */
} entry;

struct mm_catalog
{
  GHashTable *by_name; /* name -> entry */
  size_t n_missing;    /* entries with missing_since_ms set */
  uint64_t changes;    /* number of entries added, changed or dropped so far */
  mm_catalog_listed listed;
  void *ctx;
};

static void
entry_free (gpointer p)
{
  entry *e = p;
  mm_upstream_info_free (e->info);
  g_free (e);
}

mm_catalog *
mm_catalog_create (void)
{
  mm_catalog *c = g_new0 (mm_catalog, 1);
  c->by_name
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, entry_free);
  return c;
}

void
mm_catalog_on_listed (mm_catalog *c, mm_catalog_listed listed, void *ctx)
{
  c->listed = listed;
  c->ctx = ctx;
}

void
mm_catalog_destroy (mm_catalog *c)
{
  if (!c)
    return;
  g_hash_table_destroy (c->by_name);
  g_free (c);
}

/* Returns whether two entries of an upstream agree.  Its labels and data
   centre are not compared.  Each heartbeat of an upstream repeats its entry,
   mostly unchanged.  */
static bool
same_entry (const mm_upstream_info *a, const mm_upstream_info *b)
{
  return a->draining == b->draining && a->slots == b->slots
         && a->born_ms == b->born_ms
         && memcmp (&a->capacity, &b->capacity, sizeof a->capacity) == 0
         && strcmp (a->addr, b->addr) == 0
         && strcmp (a->service, b->service) == 0;
}

bool
mm_catalog_put (mm_catalog *c, const mm_upstream_info *u,
                const mm_catalog_origin *from)
{
  entry *e = g_hash_table_lookup (c->by_name, u->name);
  if (e && same_entry (e->info, u))
    {
      bool reappeared = e->missing_since_ms != 0;
      c->n_missing -= reappeared;
      e->missing_since_ms = 0;
      return reappeared;
    }
  if (!e || e->info->draining != u->draining || e->info->born_ms != u->born_ms)
    mm_log_event (MM_EV_UPSTREAM_LISTED, MM_TEXT (u->name),
                  MM_TEXT (u->service), MM_TEXT (u->addr),
                  MM_INT (u->draining), MM_TEXT (from->peer),
                  MM_INT (mm_clock_now_ms () - from->as_of_ms));
  c->n_missing -= e && e->missing_since_ms;
  entry *new_entry = g_new0 (entry, 1);
  new_entry->info = mm_upstream_info_copy (u);
  /* An older entry that is not draining cannot replace a newer one that is:
     the records of a key arrive in order.  */
  g_hash_table_replace (c->by_name, g_strdup (u->name), new_entry);
  c->changes++;
  if (c->listed)
    c->listed (c->ctx, new_entry->info);
  return true;
}

bool
mm_catalog_set_missing (mm_catalog *c, const char *name)
{
  entry *e = g_hash_table_lookup (c->by_name, name);
  if (!e || e->missing_since_ms)
    return false;
  e->missing_since_ms = mm_clock_now_ms ();
  c->n_missing++;
  return true;
}

void
mm_catalog_keep_only (mm_catalog *c, GHashTable *names)
{
  GHashTableIter it;
  gpointer k;
  g_hash_table_iter_init (&it, c->by_name);
  while (g_hash_table_iter_next (&it, &k, NULL))
    if (!g_hash_table_contains (names, k))
      mm_catalog_set_missing (c, k);
}

void
mm_catalog_tick (mm_catalog *c, bool in_contact)
{
  if (c->n_missing == 0)
    return;
  mm_time_ms now = mm_clock_now_ms ();
  GHashTableIter it;
  gpointer k, v;
  g_hash_table_iter_init (&it, c->by_name);
  while (g_hash_table_iter_next (&it, &k, &v))
    {
      entry *e = v;
      if (!e->missing_since_ms)
        continue;
      if (!in_contact)
        e->missing_since_ms = now;
      else if (now - e->missing_since_ms > MM_LIST_DROP_MS)
        {
          mm_log_event (MM_EV_UPSTREAM_GONE, MM_TEXT (k),
                        MM_INT (now - e->missing_since_ms));
          g_hash_table_iter_remove (&it);
          c->n_missing--;
          c->changes++;
        }
    }
}

GList *
mm_catalog_all (const mm_catalog *c)
{
  GList *all = NULL;
  GHashTableIter it;
  gpointer v;
  g_hash_table_iter_init (&it, c->by_name);
  while (g_hash_table_iter_next (&it, NULL, &v))
    all = g_list_prepend (all, ((entry *)v)->info);
  return all;
}

bool
mm_catalog_lists_any_in (const mm_catalog *c, const char *datacentre)
{
  GHashTableIter it;
  gpointer v;
  g_hash_table_iter_init (&it, c->by_name);
  while (g_hash_table_iter_next (&it, NULL, &v))
    {
      const entry *e = v;
      if (!e->missing_since_ms
          && g_strcmp0 (e->info->datacentre, datacentre) == 0)
        return true;
    }
  return false;
}

const mm_upstream_info *
mm_catalog_find (const mm_catalog *c, const char *name)
{
  entry *e = g_hash_table_lookup (c->by_name, name);
  return e ? e->info : NULL;
}

uint64_t
mm_catalog_changes (const mm_catalog *c)
{
  return c->changes;
}
