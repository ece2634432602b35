/* mm_owner_handover: what is started on an upstream while it is handed over to
   its next owner.  */
#include "config.h"
#include "mm_owner_priv.h"

void
mm_owner_begin_handover (mm_owner *o, const char *upstream)
{
  mm_owned_upstream *owned
      = g_hash_table_lookup (o->owned_upstreams, upstream);
  if (!owned || owned->handing_over)
    return;
  mm_time_ms now = mm_clock_now_ms ();
  mm_time_ms left_ms = mm_exec_longest_remaining_ms (owned->exec, now);
  owned->handing_over = true;
  o->handover_end_ms
      = MAX (o->handover_end_ms,
             now + MIN (left_ms, MM_HANDOVER_MS - MM_HANDOVER_MARGIN_MS));
  mm_owner_check_offers (o);
}

void
mm_owner_set_released (mm_owner *o, const char *upstream)
{
  mm_owned_upstream *owned
      = g_hash_table_lookup (o->owned_upstreams, upstream);
  if (!owned || owned->released)
    return;
  owned->handing_over = owned->released = true;
  mm_exec_set_suspended (owned->exec, true);
  mm_owner_drop_offers (o, owned, "upstream handed over");
}

bool
mm_owner_ends_before_handover (const mm_owned_upstream *owned, double run_ms,
                               mm_time_ms now)
{
  double end_ms = (double)now
                  + run_ms * MM_ESTIMATE_ERROR_FACTOR
                        * MAX (mm_exec_slowness (owned->exec), 1.0);
  return !owned->handing_over
         || (MM_WITH_HANDOVER_RUNS && run_ms > 0 && !owned->released
             && end_ms <= (double)owned->owner->handover_end_ms);
}
