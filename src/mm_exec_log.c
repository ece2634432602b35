/* mm_exec_log: the log lines on the runs of a session.  */
#include "mm_event.h"
#include "mm_exec_priv.h"
#include "mm_metrics.h"

#include <string.h>

/* Returns the age of the upstream list on which starts are decided, -1 when
   it is not known.  */
static mm_time_ms
list_age_ms (const mm_exec *x)
{
  const mm_exec_list_age *v = &x->common->list_age;
  mm_time_ms known_ms = v->list_current_ms ? v->list_current_ms (v->ctx) : 0;
  return known_ms ? mm_clock_now_ms () - known_ms : -1;
}

/* Returns the time since @then_ms, -1 if that is 0: never.  */
static mm_time_ms
since_ms (mm_time_ms then_ms)
{
  return then_ms ? mm_clock_now_ms () - then_ms : -1;
}

/* Returns until when all leases at the upstream last, from now.  */
static mm_time_ms
lease_ms (const mm_exec *x)
{
  return x->leases_expire_ms - mm_clock_now_ms ();
}

void
mm_exec_log_started (const mm_exec_run *r, mm_time_ms waited_ms)
{
  const mm_exec *x = r->exec;
  mm_time_ms age_ms = list_age_ms (x);
  if (age_ms >= 0)
    mm_metrics_time (MM_HG_START_VIEW, age_ms);
  mm_log_event (MM_EV_TASK_STARTED, MM_TASK (&r->id), MM_TEXT (x->info->name),
                MM_INT (r->number), MM_INT (x->fence), MM_INT (waited_ms),
                MM_INT (age_ms), MM_INT (lease_ms (x)));
}

void
mm_exec_log_resolved (const mm_exec_run *r, const char *how)
{
  mm_log_event (MM_EV_TASK_START_RESOLVED, MM_TASK (&r->id),
                MM_TEXT (r->exec->info->name), MM_INT (r->number),
                MM_TEXT (how), MM_INT (mm_clock_now_ms () - r->ordered_ms));
}

void
mm_exec_log_stopped (const mm_exec_run *r, const char *why)
{
  mm_log_event (MM_EV_TASK_STOPPED, MM_TASK (&r->id),
                MM_TEXT (r->exec->info->name), MM_TEXT (why),
                MM_INT (r->number), MM_INT (lease_ms (r->exec)));
}

void
mm_exec_log_over (const mm_exec_run *r, mm_end how, const char *why)
{
  const mm_exec *x = r->exec;
  if (r->work && !r->stop_wanted && strcmp (why, MM_WHY_LISTED) == 0)
    return;
  mm_log_event (
      MM_EV_TASK_RUN_OVER, MM_TASK (&r->id), MM_TEXT (x->info->name),
      MM_INT (r->number), MM_INT (x->fence), MM_TEXT (mm_end_name (how)),
      MM_TEXT (why), MM_INT (since_ms (r->ordered_ms)),
      MM_INT (since_ms (r->confirmed_ms)),
      MM_INT (since_ms (x->processed_hold_ms)), MM_INT (lease_ms (x)),
      MM_INT (x->clock_known ? since_ms (x->clock_offset_set_ms) : -1));
}

void
mm_exec_log_other_run (mm_exec_run *r, uint32_t number, const char *state)
{
  if (!r || r->number == number || r->other_run == number)
    return;
  r->other_run = number;
  mm_log_event (MM_EV_TASK_OTHER_RUN, MM_TASK (&r->id),
                MM_TEXT (r->exec->info->name), MM_INT (r->number),
                MM_INT (number), MM_TEXT (state), MM_INT (r->exec->fence),
                MM_INT (since_ms (r->exec->processed_hold_ms)));
}
