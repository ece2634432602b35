/* mm_ownership: keeps a session with each listed upstream whose partition this
   instance owns, and closes all other sessions.  */
#include "mm_ownership.h"

#include "config.h"

#include <string.h>

struct mm_ownership
{
  mm_catalog *catalog; /* not owned */
  mm_owner *owner;     /* not owned */
  mm_ownership_partitions partitions;
  uint64_t catalog_changes;   /* mm_catalog_changes() at the last full check */
  uint64_t partition_changes; /* change_count() at the last full check */
  mm_time_ms reconciled_ms;   /* when all sessions were last checked */
};

/* Passes a new or changed list entry on to the upstream's session, if any.  */
static void
on_listed (void *ctx, const mm_upstream_info *u)
{
  mm_owner_update_upstream (((mm_ownership *)ctx)->owner, u);
}

/**
 * mm_ownership_create() - keeps sessions with the upstreams of the partitions
 * that this instance owns.
 * @catalog: the upstream list; must outlive the returned object.
 * @owner: keeps the sessions; must outlive the returned object.
 * @partitions: source of the partitions that this instance owns; copied.
 *
 * Return: free with mm_ownership_destroy().
 */
mm_ownership *
mm_ownership_create (mm_catalog *catalog, mm_owner *owner,
                     const mm_ownership_partitions *partitions)
{
  mm_ownership *w = g_new0 (mm_ownership, 1);
  w->catalog = catalog;
  w->owner = owner;
  w->partitions = *partitions;
  mm_catalog_on_listed (catalog, on_listed, w);
  return w;
}

void
mm_ownership_destroy (mm_ownership *w)
{
  if (!w)
    return;
  mm_catalog_on_listed (w->catalog, NULL, NULL);
  g_free (w);
}

static mm_partition_state
state_of (const mm_ownership *w, const mm_upstream_info *u, uint64_t *fence)
{
  *fence = 0;
  return w->partitions.state_of (w->partitions.ctx, u, fence);
}

/* Closes the sessions with upstreams whose partitions are assigned elsewhere,
   and freezes the sessions with upstreams whose partitions are being released.
   Does not wait for a fresh list: the next owner may already start tasks.  */
static void
release_sessions (mm_ownership *w)
{
  GList *owned = mm_owner_upstream_names (w->owner);
  for (GList *l = owned; l; l = l->next)
    {
      uint64_t fence;
      const mm_upstream_info *u = mm_catalog_find (w->catalog, l->data);
      mm_partition_state state
          = u ? state_of (w, u, &fence) : MM_PARTITION_ELSEWHERE;
      if (state == MM_PARTITION_ELSEWHERE)
        mm_owner_remove_upstream (w->owner, l->data);
      else if (state == MM_PARTITION_RELEASING)
        mm_owner_freeze_upstream (w->owner, l->data);
    }
  g_list_free (owned);
}

/* Opens a session with an upstream if this instance owns its partition, or
   resumes one whose handover was cancelled.  */
static void
own_if_assigned (mm_ownership *w, const mm_upstream_info *u)
{
  uint64_t fence;
  if (state_of (w, u, &fence) != MM_PARTITION_OWNED)
    return;
  if (mm_owner_fenced (w->owner, u->name))
    {
      /* Another owner's fencing token was seen at the upstream: this instance
         needs a higher one.  */
      w->partitions.renew_fence (w->partitions.ctx, u);
      state_of (w, u, &fence);
    }
  mm_owner_add_upstream (w->owner, u, fence);
}

static void
own_assigned (mm_ownership *w)
{
  GList *all = mm_catalog_all (w->catalog);
  for (GList *l = all; l; l = l->next)
    own_if_assigned (w, l->data);
  g_list_free (all);
}

void
mm_ownership_tick (mm_ownership *w, bool list_fresh)
{
  mm_time_ms now = mm_clock_now_ms ();
  uint64_t catalog_now = mm_catalog_changes (w->catalog);
  uint64_t partitions_now = w->partitions.change_count (w->partitions.ctx);
  bool changed = catalog_now != w->catalog_changes
                 || partitions_now != w->partition_changes;
  if (!changed && now - w->reconciled_ms < MM_RECONCILE_MS)
    return;
  release_sessions (w);
  if (!list_fresh && w->partitions.owns_any (w->partitions.ctx))
    return; /* upstreams that a stale list names may be draining by now */
  w->catalog_changes = catalog_now;
  w->partition_changes = partitions_now;
  w->reconciled_ms = now;
  own_assigned (w);
}

bool
mm_ownership_idle (const mm_ownership *w, const char *datacentre)
{
  bool idle = true;
  GList *owned = mm_owner_upstream_names (w->owner);
  for (GList *l = owned; l && idle; l = l->next)
    {
      uint64_t fence;
      const mm_upstream_info *u = mm_catalog_find (w->catalog, l->data);
      if (u && strcmp (u->datacentre, datacentre) == 0
          && state_of (w, u, &fence) == MM_PARTITION_RELEASING
          && !mm_owner_idle (w->owner, l->data))
        idle = false;
    }
  g_list_free (owned);
  return idle;
}
