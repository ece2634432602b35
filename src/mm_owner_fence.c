/* mm_owner_fence: the fencing tokens of an owner's sessions.  */
#include "mm_owner_priv.h"

void
mm_owner_keep_raised_fence (const mm_owned_upstream *owned)
{
  uint64_t fence = mm_exec_fence (owned->exec);
  if (fence > owned->assigned_fence)
    g_hash_table_replace (owned->owner->raised_fences,
                          g_strdup (mm_exec_info (owned->exec)->name),
                          g_memdup2 (&fence, sizeof fence));
}

uint64_t
mm_owner_session_fence (mm_owner *o, const char *upstream, uint64_t assigned)
{
  const uint64_t *raised = g_hash_table_lookup (o->raised_fences, upstream);
  uint64_t fence = raised ? MAX (*raised, assigned) : assigned;
  g_hash_table_remove (o->raised_fences, upstream);
  return fence;
}

/**
 * mm_owner_raise_fence() - use a higher fencing token at an upstream.
 * @o: the owner.
 * @upstream: name of the upstream; nothing is done unless it is owned here.
 * @fence: the new token.
 *
 * For an instance that may have lost the upstream and got it back without
 * notice.  A session that has ended because of the owner in between is left to
 * mm_owner_add_upstream(), which begins another one.
 */
void
mm_owner_raise_fence (mm_owner *o, const char *upstream, uint64_t fence)
{
  mm_owned_upstream *owned
      = g_hash_table_lookup (o->owned_upstreams, upstream);
  if (!owned || mm_exec_fenced (owned->exec)
      || fence <= mm_exec_fence (owned->exec))
    return;
  owned->assigned_fence = fence;
  mm_exec_raise_fence (owned->exec, fence);
}

bool
mm_owner_fenced (const mm_owner *o, const char *upstream)
{
  mm_owned_upstream *owned
      = g_hash_table_lookup (o->owned_upstreams, upstream);
  return owned && mm_exec_fenced (owned->exec);
}
