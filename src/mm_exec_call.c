/* mm_exec_call: a session's calls, their timeouts, and the estimate of the
   upstream's clock.  */
#include "mm_exec_priv.h"

#include "config.h"
#include "mm_event.h"
#include "mm_metrics.h"

mm_time_ms
mm_exec_clock_offset_ms (const mm_exec *x, mm_time_ms now)
{
  mm_time_ms elapsed_ms = now - x->clock_offset_set_ms;
  return x->clock_offset_ms - elapsed_ms * MM_CLOCK_SLOW_PERCENT / 100;
}

void
mm_exec_update_clock (mm_exec *x, const mm_exec_call *c,
                      const mm_call_result *res)
{
  if (res->clock_ms < 0 || mm_exec_call_precedes_incarnation (c))
    return;
  /* The upstream's clock appears to be behind if its answer travelled for
     long, or if the upstream read its clock before a hold waited.  A lease
     computed from such an offset is up to 250 ms too short, and then one
     lost hold lets the lease expire.  So the largest offset seen is used,
     reduced over time because the upstream's clock may be slow.  */
  mm_time_ms now = mm_clock_now_ms ();
  mm_time_ms offset_ms = res->clock_ms - now;
  if (!x->clock_known || offset_ms >= mm_exec_clock_offset_ms (x, now))
    {
      x->clock_offset_ms = offset_ms;
      x->clock_offset_set_ms = now;
    }
  x->clock_known = true;
}

bool
mm_exec_clock_agrees (const mm_exec *x, const mm_exec_call *c,
                      const mm_call_result *res)
{
  /* The upstream read its clock at some time after the call was sent.  */
  return x->clock_known && res->clock_ms >= 0
         && !mm_exec_call_precedes_incarnation (c)
         && res->clock_ms - c->sent_ms
                >= mm_exec_clock_offset_ms (x, mm_clock_now_ms ());
}

mm_exec_call *
mm_exec_call_open (mm_exec *x, mm_exec_run *r, const char *what)
{
  mm_exec_call *c = g_new0 (mm_exec_call, 1);
  c->exec = x;
  c->what = what;
  c->run = r;
  if (r)
    {
      c->task = r->id;
      c->number = r->number;
    }
  c->sent_event = ++x->last_event;
  c->fence = x->fence;
  c->sent_ms = mm_clock_now_ms ();
  x->refs++;
  mm_uplink_record_sent (&x->common->uplink, MM_ORDER_BYTES, c->sent_ms);
  return c;
}

void
mm_exec_call_close (mm_exec_call *c, bool overdue)
{
  if (overdue)
    return;
  mm_exec *x = c->exec;
  g_free (c);
  mm_exec_unref (x);
}

bool
mm_exec_call_outdated (const mm_exec_call *c, mm_call_verdict v)
{
  return v == MM_CALL_FENCED && c->fence < c->exec->fence;
}

mm_time_ms
mm_exec_timeout_ms (const mm_exec *x)
{
  mm_time_ms now = mm_clock_now_ms ();
  return MAX (mm_rto_ms (&x->rto), mm_rto_floor_ms (&x->common->floor, now))
         + mm_uplink_backlog_ms (&x->common->uplink, now);
}

static bool
was_answered (mm_call_verdict v)
{
  return v != MM_CALL_NO_ANSWER && v != MM_CALL_NOT_SENT;
}

/* Logs an order that was answered after its timeout.  The times tell whether
   the upstream, the link or this process was slow.  */
static void
log_late (const mm_exec_call *c, const mm_call_result *res, mm_time_ms now)
{
  const mm_exec *x = c->exec;
  mm_time_ms answered_ms
      = res->clock_ms - mm_exec_clock_offset_ms (x, now) - c->sent_ms;
  mm_log_event (MM_EV_TASK_ORDER_LATE, MM_TASK (&c->task),
                MM_TEXT (x->info->name), MM_INT (c->number), MM_TEXT (c->what),
                MM_INT (now - c->sent_ms), MM_INT (res->unsent_ms),
                MM_INT (answered_ms));
}

void
mm_exec_call_late (mm_exec_call *c, const mm_call_result *res)
{
  mm_exec *x = c->exec;
  if (!x->closed && was_answered (res->verdict))
    {
      mm_time_ms now = mm_clock_now_ms ();
      mm_time_ms took_ms = now - c->sent_ms - c->wait_ms;
      mm_metrics_count (MM_CT_ANSWERS_LATE);
      mm_rto_late (&x->rto, took_ms);
      mm_rto_floor_late (&x->common->floor, x, took_ms, now);
      mm_exec_update_clock (x, c, res);
      if (c->run)
        log_late (c, res, now);
    }
  bool recovered = !x->closed && res->verdict == MM_CALL_OK && x->suspect
                   && !x->hold_failed_ms;
  if (recovered)
    {
      mm_exec_become_usable (x);
      x->ev.capacity_freed (x->ev.ctx, x);
    }
  mm_exec_call_close (c, false);
}

void
mm_exec_record_time (mm_exec *x, const mm_exec_call *c, mm_call_verdict v)
{
  mm_time_ms now = mm_clock_now_ms ();
  if (!was_answered (v))
    {
      mm_rto_unanswered (&x->rto);
      x->last_unanswered_ms = now;
    }
  else if (c->wait_ms == 0)
    mm_rto_answered (&x->rto, now - c->sent_ms);
}
