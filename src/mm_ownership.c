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
 * mm_ownership_create() - keep sessions with the upstreams of the partitions
 * that this instance owns.
 * @catalog: the upstream list; must outlive the returned object.
 * @owner: keeps the sessions; must outlive the returned object.
 * @partitions: source of the partitions that this instance owns; copied.
 *
 * Return: the ownership; free with mm_ownership_destroy().
 */
mm_ownership *
mm_ownership_create (mm_catalog *catalog, mm_owner *owner,
                     const mm_ownership_partitions *partitions)
{
  mm_ownership *ownership = g_new0 (mm_ownership, 1);
  ownership->catalog = catalog;
  ownership->owner = owner;
  ownership->partitions = *partitions;
  mm_catalog_on_listed (catalog, on_listed, ownership);
  return ownership;
}

void
mm_ownership_destroy (mm_ownership *ownership)
{
  if (!ownership)
    return;
  mm_catalog_on_listed (ownership->catalog, NULL, NULL);
  g_free (ownership);
}

/* Sets @fence to the fencing token of a session with the upstream.  Between
   it and the token of the next owner there is room for those that a session
   uses after restarts of the upstream.  */
static mm_partition_state
state_of (const mm_ownership *ownership, const mm_upstream_info *u,
          uint64_t *fence)
{
  uint64_t partition_fence = 0;
  mm_partition_state state = ownership->partitions.state_of (
      ownership->partitions.ctx, u, &partition_fence);
  *fence = partition_fence << MM_FENCE_RESTART_BITS;
  return state;
}

/* Closes the sessions with upstreams whose partitions are assigned elsewhere,
   begins the handover of upstreams whose partitions are being released, starts
   nothing where they have been released, cancels a handover that was deferred,
   and raises the fencing tokens of those whose partitions may have had another
   owner in between.  Does not wait for a fresh list: the next owner may
   already start tasks, and the one in between may go on with its own.  */
static void
update_sessions (mm_ownership *ownership)
{
  GList *owned = mm_owner_upstream_names (ownership->owner);
  for (GList *l = owned; l; l = l->next)
    {
      uint64_t fence;
      const mm_upstream_info *u
          = mm_catalog_find (ownership->catalog, l->data);
      mm_partition_state state
          = u ? state_of (ownership, u, &fence) : MM_PARTITION_ELSEWHERE;
      if (state == MM_PARTITION_ELSEWHERE)
        mm_owner_remove_upstream (ownership->owner, l->data);
      else if (state == MM_PARTITION_RELEASING)
        mm_owner_begin_handover (ownership->owner, l->data);
      else if (state == MM_PARTITION_RELEASED)
        mm_owner_set_released (ownership->owner, l->data);
      else
        {
          mm_owner_cancel_handover (ownership->owner, l->data);
          mm_owner_raise_fence (ownership->owner, l->data, fence);
        }
    }
  g_list_free (owned);
}

/* Opens a session with an upstream if this instance owns its partition, or
   resumes one whose handover was cancelled.  */
static void
own_if_assigned (mm_ownership *ownership, const mm_upstream_info *u)
{
  uint64_t fence;
  if (state_of (ownership, u, &fence) != MM_PARTITION_OWNED)
    return;
  if (mm_owner_fenced (ownership->owner, u->name))
    {
      /* Another owner's fencing token was seen at the upstream: this instance
         needs a higher one.  */
      ownership->partitions.renew_fence (ownership->partitions.ctx, u);
      state_of (ownership, u, &fence);
    }
  mm_owner_add_upstream (ownership->owner, u, fence);
}

static void
own_assigned (mm_ownership *ownership)
{
  GList *all = mm_catalog_all (ownership->catalog);
  for (GList *l = all; l; l = l->next)
    own_if_assigned (ownership, l->data);
  g_list_free (all);
}

void
mm_ownership_tick (mm_ownership *ownership, bool list_fresh)
{
  mm_time_ms now = mm_clock_now_ms ();
  uint64_t catalog_now = mm_catalog_changes (ownership->catalog);
  uint64_t partitions_now
      = ownership->partitions.change_count (ownership->partitions.ctx);
  bool changed = catalog_now != ownership->catalog_changes
                 || partitions_now != ownership->partition_changes;
  if (!changed && now - ownership->reconciled_ms < MM_RECONCILE_MS)
    return;
  update_sessions (ownership);
  if (!list_fresh
      && ownership->partitions.owns_any (ownership->partitions.ctx))
    return; /* upstreams that a stale list names may be draining by now */
  ownership->catalog_changes = catalog_now;
  ownership->partition_changes = partitions_now;
  ownership->reconciled_ms = now;
  own_assigned (ownership);
}

/* Returns the owned upstreams of a data centre whose partitions are being
   released; free the list, not the names.  */
static GList *
releasing_names (const mm_ownership *ownership, const char *datacentre)
{
  GList *names = NULL;
  GList *owned = mm_owner_upstream_names (ownership->owner);
  for (GList *l = owned; l; l = l->next)
    {
      uint64_t fence;
      const mm_upstream_info *u
          = mm_catalog_find (ownership->catalog, l->data);
      if (u && strcmp (u->datacentre, datacentre) == 0
          && state_of (ownership, u, &fence) == MM_PARTITION_RELEASING)
        names = g_list_prepend (names, l->data);
    }
  g_list_free (owned);
  return names;
}

mm_handover_step
mm_ownership_advance_handover (mm_ownership *ownership, const char *datacentre,
                               mm_handover_facts *f)
{
  GList *names = releasing_names (ownership, datacentre);
  for (GList *l = names; l; l = l->next)
    mm_owner_add_handover_facts (ownership->owner, l->data, f);
  mm_handover_step step = mm_handover_plan (f);
  for (GList *l = names; l; l = l->next)
    mm_owner_set_handover_step (ownership->owner, l->data, step);
  g_list_free (names);
  return step;
}

bool
mm_ownership_idle (const mm_ownership *ownership, const char *datacentre)
{
  mm_handover_facts f = { 0 };
  GList *names = releasing_names (ownership, datacentre);
  for (GList *l = names; l; l = l->next)
    mm_owner_add_handover_facts (ownership->owner, l->data, &f);
  g_list_free (names);
  return f.busy == 0;
}
