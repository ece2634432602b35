/* mm_exec_incarnation: upstreams that start again under the same name.

   The new incarnation has none of the earlier runs.  It knows no fencing token
   and its clock starts anew, so an order to the earlier incarnation that is
   carried out late is neither refused nor void there, and starts a task that
   may run elsewhere by then.  The session therefore raises its fencing token:
   the runs that the upstream has lost are ended by a hold with the new token,
   after which no earlier order can start them.  An order that is carried out
   before that hold arrives does start its task; that hold finds it.  */
#include "config.h"
#include "mm_event.h"
#include "mm_exec_priv.h"

/* Resets what was known of the earlier incarnation.  */
static void
reset (mm_exec *x, int64_t born_ms)
{
  x->born_ms = born_ms;
  x->born_event = ++x->last_event;
  x->clock_known = false;
  x->seen_seq = x->acked_seq = 0;
  x->unacked_since_ms = 0;
  g_array_set_size (x->unacked, 0);
  g_array_set_size (x->ended, 0);
  /* The deadline of an order was computed for the earlier clock and may be
     far ahead on the new one, which cuts leases to their longest.  */
  x->leases_expire_ms
      = MAX (x->leases_expire_ms, mm_clock_now_ms () + MM_LEASE_MS);
  x->lost = true;
  x->runs_known = true;
  x->more_ends = false;
  GHashTableIter it;
  gpointer v;
  g_hash_table_iter_init (&it, x->runs);
  while (g_hash_table_iter_next (&it, NULL, &v))
    {
      mm_exec_run *r = v;
      r->stop_answered_event = 0;
      r->located = r->started_later = false;
    }
}

void
mm_exec_set_incarnation (mm_exec *x, int64_t born_ms)
{
  if (!born_ms || born_ms == x->born_ms || x->fenced || x->replaced)
    return;
  if (!x->born_ms)
    {
      x->born_ms = born_ms;
      return;
    }
  mm_log_event (MM_EV_UPSTREAM_RESTARTED, MM_TEXT (x->info->name),
                MM_INT (x->fence), MM_INT (g_hash_table_size (x->runs)),
                MM_INT (born_ms - x->born_ms));
  mm_exec_report_loss (x, true);
  if (x->closed)
    return;
  reset (x, born_ms);
  mm_exec_raise_fence (x, x->fence + 1);
}

bool
mm_exec_call_precedes_incarnation (const mm_exec_call *c)
{
  return c->sent_event < c->exec->born_event;
}
