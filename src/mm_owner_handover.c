/* mm_owner_handover: what is started on an upstream while it is handed over to
   its next owner, and the sessions with upstreams that were released while
   tasks run there.

   With transferred runs, the session with a released upstream is kept while
   runs go on there.  It renews their leases and reads their ends until the
   next owner's fencing token is seen; from then on the tasks are orphans
   (mm_owner_adopt).  If it were closed at once, the end of a run between the
   release and the first hold of the next owner would be lost: that hold lists
   the end, but the next owner does not know which instance waits for it.  */
#include "config.h"
#include "mm_metrics.h"
#include "mm_owner_priv.h"

void
mm_owner_set_transfer_runs (mm_owner *o, bool transfer_runs)
{
  o->transfer_runs = transfer_runs;
}

/* Sets until when the handover waits for the runs on the upstream.  */
static void
wait_for_runs (mm_owned_upstream *owned)
{
  mm_owner *o = owned->owner;
  mm_time_ms now = mm_clock_now_ms ();
  mm_time_ms left_ms = mm_exec_longest_remaining_ms (owned->exec, now);
  owned->waits_for_runs = true;
  o->handover_end_ms
      = MAX (o->handover_end_ms,
             now + MIN (left_ms, MM_HANDOVER_MS - MM_HANDOVER_MARGIN_MS));
}

void
mm_owner_begin_handover (mm_owner *o, const char *upstream)
{
  mm_owned_upstream *owned
      = g_hash_table_lookup (o->owned_upstreams, upstream);
  if (!owned || owned->handing_over)
    return;
  owned->handing_over = true;
  if (o->transfer_runs)
    owned->step = MM_HANDOVER_WAIT_LINKS;
  else
    wait_for_runs (owned);
  mm_owner_check_offers (o);
}

void
mm_owner_add_handover_facts (const mm_owner *o, const char *upstream,
                             mm_handover_facts *f)
{
  const mm_owned_upstream *owned
      = g_hash_table_lookup (o->owned_upstreams, upstream);
  if (!owned
      || (o->transfer_runs ? mm_exec_idle (owned->exec)
                           : mm_owner_idle (o, upstream)))
    return;
  mm_exec_run_counts n = mm_exec_count_by_state (owned->exec);
  f->busy++;
  f->runs += n.runs;
  f->open_starts += n.open_starts;
  f->in_doubt += n.in_doubt;
  f->foreign += n.foreign;
  f->kept += n.kept;
  f->unresponsive += mm_exec_unresponsive_since_ms (owned->exec) != 0;
}

void
mm_owner_set_handover_step (mm_owner *o, const char *upstream,
                            mm_handover_step step)
{
  mm_owned_upstream *owned
      = g_hash_table_lookup (o->owned_upstreams, upstream);
  if (!owned || !o->transfer_runs || owned->released)
    return;
  owned->handing_over = true;
  owned->step = step;
  if (step == MM_HANDOVER_WAIT_RUNS && !owned->waits_for_runs)
    wait_for_runs (owned);
  bool starts
      = step == MM_HANDOVER_WAIT_RUNS || step == MM_HANDOVER_WAIT_LINKS;
  if (starts)
    owned->last_start_ms = 0;
  else if (!owned->last_start_ms)
    owned->last_start_ms = mm_clock_now_ms ();
}

void
mm_owner_set_released (mm_owner *o, const char *upstream)
{
  mm_owned_upstream *owned
      = g_hash_table_lookup (o->owned_upstreams, upstream);
  if (!owned || owned->released)
    return;
  owned->handing_over = owned->released = true;
  if (!o->transfer_runs || mm_exec_idle (owned->exec))
    mm_exec_set_suspended (owned->exec, true);
  mm_owner_drop_offers (o, owned, "upstream handed over");
}

void
mm_owner_resume (mm_owned_upstream *owned)
{
  /* The upstream must answer again before a task can start there, also if
     holds went on after the release.  */
  if (owned->released)
    mm_exec_set_suspended (owned->exec, true);
  mm_exec_set_suspended (owned->exec, false);
  owned->handing_over = owned->released = owned->lingering = false;
  owned->step = MM_HANDOVER_WAIT_RUNS;
  owned->waits_for_runs = false;
  owned->last_start_ms = owned->fenced_ms = 0;
}

bool
mm_owner_linger (mm_owned_upstream *owned)
{
  bool was_released = owned->released || owned->step == MM_HANDOVER_RELEASE;
  if (!owned->owner->transfer_runs || !was_released
      || mm_exec_idle (owned->exec))
    return false;
  owned->released = owned->lingering = true;
  if (mm_exec_fenced (owned->exec) && !owned->fenced_ms)
    owned->fenced_ms = mm_clock_now_ms ();
  return true;
}

/* Returns whether a session is kept for no run any more.  After the next
   owner's token was seen, a hold that was sent before may still be answered
   and list ends.  */
static bool
has_lingered (const mm_owned_upstream *owned, mm_time_ms now)
{
  return owned->lingering
         && (mm_exec_idle (owned->exec)
             || (owned->fenced_ms
                 && now - owned->fenced_ms >= MM_ORPHAN_TIMEOUT_MS));
}

void
mm_owner_end_lingering (mm_owner *o, mm_time_ms now)
{
  if (!o->transfer_runs)
    return;
  GList *all = g_hash_table_get_values (o->owned_upstreams);
  for (GList *l = all; l; l = l->next)
    if (has_lingered (l->data, now))
      mm_owner_close_session (l->data);
  g_list_free (all);
}

void
mm_owner_record_found (mm_owned_upstream *owned)
{
  if (!owned->released || !owned->last_start_ms)
    return;
  mm_metrics_time (MM_HG_HANDOVER, mm_clock_now_ms () - owned->last_start_ms);
  owned->last_start_ms = 0;
}

mm_owner_handovers
mm_owner_measure_handovers (const mm_owner *o)
{
  mm_owner_handovers h = { .orphans = g_hash_table_size (o->orphans),
                           .transferred = g_hash_table_size (o->transferred) };
  GHashTableIter it;
  gpointer v;
  g_hash_table_iter_init (&it, o->owned_upstreams);
  while (g_hash_table_iter_next (&it, NULL, &v))
    {
      const mm_owned_upstream *owned = v;
      h.upstreams += owned->handing_over;
      h.released += owned->released;
      h.waiting_for_runs += owned->handing_over && !owned->released
                            && owned->step == MM_HANDOVER_WAIT_RUNS;
    }
  return h;
}

uint32_t
mm_owner_count_unreported (const mm_owner *o)
{
  return g_hash_table_size (o->active) + g_hash_table_size (o->orphans)
         + g_hash_table_size (o->transferred) + g_list_length (o->unadopted);
}

bool
mm_owner_ends_before_handover (const mm_owned_upstream *owned, double run_ms,
                               mm_time_ms now)
{
  double end_ms = (double)now
                  + run_ms * MM_ESTIMATE_ERROR_FACTOR
                        * MAX (mm_exec_slowness (owned->exec), 1.0);
  if (!owned->handing_over || owned->released)
    return !owned->handing_over;
  if (owned->step != MM_HANDOVER_WAIT_RUNS)
    return owned->step == MM_HANDOVER_WAIT_LINKS;
  return MM_WITH_HANDOVER_RUNS && run_ms > 0
         && end_ms <= (double)owned->owner->handover_end_ms;
}
