/* mm_exec_lease: until when the runs of a session may hold a lease.

   A lease covers all runs on the upstream, so renewing it for one of them
   prolongs the others.  A run must end before its task may start elsewhere,
   MM_IN_DOUBT_MS after its caller was last known to wait, even if its stop is
   never answered.  */
#include "config.h"
#include "mm_event.h"
#include "mm_exec_priv.h"
#include "mm_metrics.h"

static mm_time_ms
awaited_limit_ms (const mm_time_ms *awaited_ms)
{
  return awaited_ms ? *awaited_ms + MM_RUN_LIMIT_MS : G_MAXINT64;
}

/* Returns until when the lease of a run may be renewed.  */
static mm_time_ms
run_lease_limit_ms (const mm_exec_run *r)
{
  return r->end_by_ms ? r->end_by_ms : awaited_limit_ms (r->awaited_ms);
}

/* A lease covers all runs and cannot be shortened.  If it lasts longer than
   the task's limit, the task is not started, as its run could outlast the
   limit.  */
bool
mm_exec_accepts (const mm_exec *x, const mm_task_request *t)
{
  mm_time_ms limit_ms = awaited_limit_ms (t->kept ? NULL : t->awaited_ms);
  return mm_exec_usable (x) && limit_ms >= x->leases_expire_ms
         && limit_ms - mm_clock_now_ms () >= MM_LEASE_MIN_MS;
}

void
mm_exec_fix_lease_limit (mm_exec_run *r)
{
  /* A task of a kept job is started again only after it was searched for.  */
  if (!r->kept)
    r->end_by_ms
        = MIN (run_lease_limit_ms (r), mm_clock_now_ms () + MM_RUN_LIMIT_MS);
  r->awaited_ms = NULL;
}

/* Logs the run that limits the leases, when they become too short for new
   runs.  A foreign run is not logged: it limits them only until it is adopted
   or has ended.  */
static void
record_limit (mm_exec *x, const mm_exec_run *r)
{
  bool limited = r && !r->foreign && !mm_exec_can_lease (x);
  if (limited && !x->lease_limited)
    {
      mm_metrics_count (MM_CT_LEASES_LIMITED);
      mm_log_event (
          MM_EV_LEASES_LIMITED, MM_TASK (&r->id), MM_TEXT (x->info->name),
          MM_INT (r->number), MM_INT (x->lease_limit_ms - mm_clock_now_ms ()),
          MM_INT (r->stop_wanted ? mm_clock_now_ms () - r->stop_wanted_ms
                                 : -1),
          MM_INT (g_hash_table_size (x->runs)));
    }
  x->lease_limited = limited;
}

void
mm_exec_update_lease_limit (mm_exec *x)
{
  const mm_exec_run *first = NULL; /* the run that has to end first */
  x->lease_limit_ms = G_MAXINT64;
  GHashTableIter it;
  gpointer v;
  g_hash_table_iter_init (&it, x->runs);
  while (g_hash_table_iter_next (&it, NULL, &v))
    if (run_lease_limit_ms (v) < x->lease_limit_ms)
      {
        first = v;
        x->lease_limit_ms = run_lease_limit_ms (v);
      }
  record_limit (x, first);
}

mm_time_ms
mm_exec_lease_deadline (mm_exec *x)
{
  mm_time_ms now = mm_clock_now_ms ();
  mm_exec_update_lease_limit (x);
  mm_time_ms expires_ms = MIN (now + MM_LEASE_MS, x->lease_limit_ms);
  if (expires_ms <= now)
    return 0;
  x->leases_expire_ms = MAX (x->leases_expire_ms, expires_ms);
  return expires_ms + mm_exec_clock_offset_ms (x, now);
}
