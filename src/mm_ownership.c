/* mm_ownership: see the header.  */
#include "mm_ownership.h"

#include "config.h"

#include <string.h>

struct mm_ownership
{
  mm_catalog *catalog; /* not ours */
  mm_owner *owner;     /* not ours */
  mm_ownership_shares shares;
  uint64_t catalog_changes; /* when last brought in line */
  uint64_t share_changes;
  mm_time_ms in_line_ms;
};

static void
on_listed (void *ctx, const mm_upstream_info *u)
{
  mm_owner_update_upstream (((mm_ownership *)ctx)->owner, u);
}

/**
 * mm_ownership_create() - own what is ours, as the list says.
 * @catalog: the list; must outlive this.
 * @owner: has the sessions; must outlive this.
 * @shares: whose upstreams are; copied.
 *
 * Return: free with mm_ownership_destroy().
 */
mm_ownership *
mm_ownership_create (mm_catalog *catalog, mm_owner *owner,
                     const mm_ownership_shares *shares)
{
  mm_ownership *w = g_new0 (mm_ownership, 1);
  w->catalog = catalog;
  w->owner = owner;
  w->shares = *shares;
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

static mm_share_state
share_of (const mm_ownership *w, const mm_upstream_info *u, uint64_t *fence)
{
  *fence = 0;
  return w->shares.of (w->shares.ctx, u, fence);
}

/* Start nothing more on what is not ours, or not for long.  This does not
   wait for a fresh list: the next owner may be there already.  */
static void
let_go (mm_ownership *w)
{
  GList *owned = mm_owner_upstream_names (w->owner);
  for (GList *l = owned; l; l = l->next)
    {
      uint64_t fence;
      const mm_upstream_info *u = mm_catalog_find (w->catalog, l->data);
      mm_share_state state = u ? share_of (w, u, &fence) : MM_SHARE_OTHERS;
      if (state == MM_SHARE_OTHERS)
        mm_owner_remove_upstream (w->owner, l->data);
      else if (state == MM_SHARE_LEAVING)
        mm_owner_freeze_upstream (w->owner, l->data);
    }
  g_list_free (owned);
}

static void
take_one (mm_ownership *w, const mm_upstream_info *u)
{
  uint64_t fence;
  if (share_of (w, u, &fence) != MM_SHARE_OURS)
    return;
  if (mm_owner_fenced (w->owner, u->name))
    {
      w->shares.retake (w->shares.ctx, u);
      share_of (w, u, &fence);
    }
  mm_owner_add_upstream (w->owner, u, fence);
}

static void
take_ours (mm_ownership *w)
{
  GList *all = mm_catalog_all (w->catalog);
  for (GList *l = all; l; l = l->next)
    take_one (w, l->data);
  g_list_free (all);
}

void
mm_ownership_tick (mm_ownership *w, bool list_fresh)
{
  mm_time_ms now = mm_clock_now_ms ();
  uint64_t listed = mm_catalog_changes (w->catalog);
  uint64_t shared = w->shares.changes (w->shares.ctx);
  bool changed = listed != w->catalog_changes || shared != w->share_changes;
  if (!changed && now - w->in_line_ms < MM_RECONCILE_MS)
    return;
  let_go (w);
  if (!list_fresh && w->shares.any (w->shares.ctx))
    return; /* an old list may name upstreams that are leaving */
  w->catalog_changes = listed;
  w->share_changes = shared;
  w->in_line_ms = now;
  take_ours (w);
}

bool
mm_ownership_quiet (const mm_ownership *w, const char *datacentre)
{
  bool quiet = true;
  GList *owned = mm_owner_upstream_names (w->owner);
  for (GList *l = owned; l && quiet; l = l->next)
    {
      uint64_t fence;
      const mm_upstream_info *u = mm_catalog_find (w->catalog, l->data);
      if (u && strcmp (u->datacentre, datacentre) == 0
          && share_of (w, u, &fence) == MM_SHARE_LEAVING
          && !mm_owner_idle (w->owner, l->data))
        quiet = false;
    }
  g_list_free (owned);
  return quiet;
}
