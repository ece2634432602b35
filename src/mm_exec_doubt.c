/* mm_exec_doubt: starts that got no answer.

   A start order without an answer may have been carried out, may be carried
   out seconds later, or is lost.  The upstream is asked which runs it has. One
   that was only late lists the run, which goes on.  Otherwise the same order
   is sent again: the upstream starts a run at most once, whichever order
   arrives first.  If that order gets no answer either, the run is stopped and
   its task returned.  */
#include "mm_exec_priv.h"

/* The upstream's entry in the list may have changed since the task was placed
   there, or its data centre been evacuated.  The run itself is already counted
   as used capacity, so the free capacity suffices unless it is negative.  */
bool
mm_exec_may_send_again (const mm_exec *x)
{
  mm_resources free_capacity = mm_exec_free_capacity (x);
  return mm_exec_takes_new_tasks (x) && mm_exec_can_lease (x)
         && mm_resources_fit (&(mm_resources){ 0 }, &free_capacity);
}

/* Stops a run whose start may have been carried out.  */
static void
stop_in_doubt (mm_exec_run *r)
{
  mm_exec_log_resolved (r, "it is stopped");
  mm_exec_want_stop (r, false);
  mm_exec_send_stop (r, true);
}

void
mm_exec_resolve_unlisted (mm_exec_run *r)
{
  if (r->sent_again || !r->work || !mm_exec_may_send_again (r->exec))
    {
      stop_in_doubt (r);
      return;
    }
  mm_exec_log_resolved (r, "it is sent again");
  r->sent_again = true;
  mm_exec_send_start (r);
}

void
mm_exec_query_run (mm_exec_run *r)
{
  mm_exec *x = r->exec;
  r->in_doubt_ms = mm_clock_now_ms ();
  /* One query is enough for all starts that are given up at the same time.  */
  if (x->query_sent_ms < r->in_doubt_ms)
    mm_exec_send_hold (x, 0, false);
}

void
mm_exec_second_start_refused (const mm_exec_call *c, mm_call_verdict v)
{
  mm_exec *x = c->exec;
  if (v == MM_CALL_GONE)
    mm_exec_on_replaced (x);
  else if (x->fenced)
    mm_exec_notify_if_fenced (x);
  else if (v == MM_CALL_FENCED && !mm_exec_call_outdated (c, v))
    mm_exec_become_fenced (x, NULL);
  else
    {
      if (v == MM_CALL_REFUSED)
        x->ev.upstream_unhealthy (x->ev.ctx, x);
      mm_exec_become_suspect (x, "start", v);
      stop_in_doubt (c->run);
    }
}
