/* mm_exec: one upstream's runs, leases, unanswered orders and capacity.

   A run uses capacity from its start order until the upstream lists its end,
   or until it is certain that the run neither exists nor will start: the
   upstream starts the task whether it fits or not.  A run is certain not to
   exist or start when
   - a stop of the run was answered and a later hold does not list the run
     (the upstream rejects the start of a run that was stopped before), or
   - the deadline of the start order has passed on the upstream's clock.  */
#include "mm_exec_priv.h"

#include "config.h"
#include "mm_event.h"
#include "mm_metrics.h"

#include <string.h>

const char *
mm_call_verdict_name (mm_call_verdict v)
{
  static const char *const names[]
      = { "ok",  "fenced",  "old_run", "late",      "no_room",
          "bad", "refused", "gone",    "no_answer", "not_sent" };
  return (size_t)v < G_N_ELEMENTS (names) ? names[v] : "unknown";
}

void
mm_exec_unref (mm_exec *x)
{
  if (--x->refs > 0)
    return;
  g_hash_table_destroy (x->runs);
  g_array_free (x->unacked, TRUE);
  g_array_free (x->ended, TRUE);
  mm_upstream_info_free (x->info);
  g_free (x);
}

static void
run_free (gpointer p)
{
  mm_exec_run *r = p;
  g_free (r->payload);
  g_free (r);
}

/* Notifies the owner of the end of a run, at most once.  */
static void
report_end (mm_exec_run *r, mm_end how, const char *why)
{
  void *work = r->work;
  mm_exec *x = r->exec;
  r->work = NULL;
  r->awaited_ms = NULL;
  if (work && !x->closed)
    x->ev.run_ended (x->ev.ctx, x, work, r->number, how,
                     mm_clock_now_ms () - r->ordered_ms, why);
}

static void
free_if_unused (mm_exec_run *r)
{
  if (r->ended && !r->start_in_flight && !r->stop_in_flight)
    run_free (r);
}

void
mm_exec_want_stop (mm_exec_run *r, bool by_owner)
{
  if (!r->stop_wanted)
    r->stop_wanted_ms = mm_clock_now_ms ();
  r->stop_wanted = true;
  r->stop_by_owner = r->stop_by_owner || by_owner;
}

void
mm_exec_finish_run (mm_exec_run *r, mm_end how, const char *why)
{
  mm_exec *x = r->exec;
  if (r->ended)
    return;
  r->ended = true;
  mm_exec_log_over (r, how, why);
  if (r->stop_wanted)
    mm_metrics_time (MM_HG_RUN_STOP, mm_clock_now_ms () - r->stop_wanted_ms);
  mm_resources_sub (&x->used, &r->resources);
  if (r->foreign)
    x->n_foreign--;
  g_hash_table_steal (x->runs, &r->id);
  mm_exec_update_lease_limit (x);
  report_end (r, how, why);
  free_if_unused (r);
  if (!x->closed)
    x->ev.capacity_freed (x->ev.ctx, x);
}

void
mm_exec_become_suspect (mm_exec *x, const char *what, mm_call_verdict v)
{
  if (!x->suspect)
    mm_log_event (MM_EV_UPSTREAM_SUSPECT, MM_TEXT (x->info->name),
                  MM_TEXT (what), MM_TEXT (mm_call_verdict_name (v)));
  x->suspect = true;
}

void
mm_exec_become_usable (mm_exec *x)
{
  if (x->suspect)
    mm_log_event (MM_EV_UPSTREAM_BACK, MM_TEXT (x->info->name));
  x->suspect = false;
}

static void
record_unanswered (const mm_exec_call *c, const mm_call_result *res)
{
  mm_metrics_count (MM_CT_ORDERS_UNANSWERED);
  mm_log_event (MM_EV_TASK_ORDER_UNANSWERED, MM_TASK (&c->task),
                MM_TEXT (c->exec->info->name), MM_INT (c->number),
                MM_TEXT (c->what), MM_INT (mm_clock_now_ms () - c->sent_ms),
                MM_INT (res->unsent_ms), MM_INT (res->overrun_ms));
}

void
mm_exec_become_fenced (mm_exec *x, mm_exec_run *refused)
{
  bool already = x->fenced;
  x->fenced = true;
  if (refused)
    mm_exec_finish_run (refused, MM_END_NOT_RUN, "fenced");
  if (already || x->closed)
    return;
  x->ev.fenced (x->ev.ctx, x);
  GList *runs = g_hash_table_get_values (x->runs);
  for (GList *l = runs; l && !x->closed; l = l->next)
    {
      mm_exec_run *r = l->data;
      /* A run whose start has no answer yet is not reported here: the start
         may be refused too, and its answer then shows that the task did not
         run.  */
      if (r->phase != RUN_ORDERED)
        report_end (r, MM_END_UNKNOWN, "fenced");
    }
  g_list_free (runs);
}

static void
end_all_runs (mm_exec *x, const char *why)
{
  GList *runs = g_hash_table_get_values (x->runs);
  for (GList *l = runs; l && !x->closed; l = l->next)
    mm_exec_finish_run (l->data, MM_END_LOST, why);
  g_list_free (runs);
}

void
mm_exec_on_replaced (mm_exec *x)
{
  x->replaced = true;
  mm_exec_report_loss (x, true);
  end_all_runs (x, "upstream restarted");
}

/* Processes what all answers to orders have in common.  Return: false when
   the run has ended already; the call is closed then.  */
static bool
accept_order_answer (mm_exec_call *c, const mm_call_result *res)
{
  if (c->exec->closed || c->run->ended)
    {
      free_if_unused (c->run);
      mm_exec_call_close (c, res->overdue);
      return false;
    }
  mm_exec_update_clock (c->exec, c, res);
  mm_exec_record_time (c->exec, c, res->verdict);
  return true;
}

/* Handles the answer to a stop order.  Without a usable answer, the stop is
   sent again.  */
static void
on_stop_answer (const mm_call_result *res, void *ctx)
{
  mm_exec_call *c = ctx;
  if (res->was_overdue)
    {
      mm_exec_call_late (c, res);
      return;
    }
  mm_exec *x = c->exec;
  mm_exec_run *r = c->run;
  r->stop_in_flight = false;
  if (!accept_order_answer (c, res))
    return;
  switch (res->verdict)
    {
    case MM_CALL_OK:
      r->stop_answered_event = ++x->last_event;
      mm_exec_become_usable (x);
      /* Only a hold that is sent after this answer can show that an
         unconfirmed run does not exist.  The hold is sent without a wait: one
         that waits for an end would be answered later by up to its wait.  */
      if (r->phase != RUN_RUNNING)
        mm_exec_send_hold (x, 0, false);
      break;
    case MM_CALL_FENCED:
      if (mm_exec_call_outdated (c, res->verdict))
        mm_exec_send_stop (r, false);
      else
        mm_exec_become_fenced (x, NULL);
      break;
    case MM_CALL_GONE:
      mm_exec_on_replaced (x);
      break;
    default:
      record_unanswered (c, res);
      mm_exec_become_suspect (x, "stop", res->verdict);
      /* A machine whose process has died refuses connections at once.
         Sending the stop again at the next tick avoids a busy loop.  */
      if (mm_clock_now_ms () - c->sent_ms < MM_EXEC_TICK_MS)
        x->stops_due = true;
      else
        mm_exec_send_stop (r, true);
      break;
    }
  mm_exec_call_close (c, res->overdue);
}

void
mm_exec_send_stop (mm_exec_run *r, bool new_connection)
{
  mm_exec *x = r->exec;
  if (r->stop_in_flight || r->stop_answered_event || x->fenced || x->replaced)
    return;
  r->stop_in_flight = true;
  mm_order o = { .task = &r->id,
                 .run = r->number,
                 .fence = x->fence,
                 .new_connection = new_connection,
                 .timeout_ms = mm_exec_timeout_ms (x) };
  x->port.stop (x->port.ctx, x->info, &o, on_stop_answer,
                mm_exec_call_open (x, r, "stop"));
}

void
mm_exec_set_running (mm_exec_run *r)
{
  r->phase = RUN_RUNNING;
  if (r->running_event)
    return;
  r->running_event = ++r->exec->last_event;
  /* The run may have started only now, long after its order.  */
  r->progress_ms = mm_clock_now_ms ();
}

void
mm_exec_notify_if_fenced (mm_exec *x)
{
  if (x->fenced && !x->closed)
    x->ev.fenced (x->ev.ctx, x);
}

void
mm_exec_found_by_next (mm_exec *x, const mm_task_id *task, uint32_t run)
{
  mm_exec_run *r = g_hash_table_lookup (x->runs, task);
  bool confirmed = r && r->number == run && r->phase == RUN_ORDERED;
  if (confirmed)
    mm_exec_set_running (r);
  if (!x->fenced)
    mm_exec_become_fenced (x, NULL);
  else if (confirmed)
    mm_exec_notify_if_fenced (x);
}

/* Processes the verdict on a start order.  The run is running, in doubt,
   ordered again with another number, or ends here because it does not exist.
 */
static void
on_start_verdict (const mm_exec_call *c, const mm_call_result *res)
{
  mm_exec *x = c->exec;
  mm_exec_run *r = c->run;
  mm_call_verdict v = res->verdict;
  switch (v)
    {
    case MM_CALL_OK:
      mm_exec_set_running (r);
      r->confirmed_ms = c->sent_ms;
      r->located = mm_exec_clock_agrees (x, c, res);
      r->started_later = !r->located && x->clock_known && res->clock_ms >= 0;
      if (r->stop_wanted)
        mm_exec_send_stop (r, false);
      mm_exec_notify_if_fenced (x);
      if (r->located && !x->closed)
        mm_exec_hold_after_start (x);
      break;
    case MM_CALL_OLD_RUN:
      if (r->stop_wanted)
        {
          mm_exec_finish_run (
              r, r->stop_by_owner ? MM_END_STOPPED : MM_END_NOT_RUN,
              "stopped before its start");
          break;
        }
      if (!mm_exec_may_send_again (x))
        {
          mm_exec_finish_run (r, MM_END_NOT_RUN, "upstream changed");
          break;
        }
      /* A run with this number or a higher one has ended there.  Doubling
         finds an unused number within a few attempts.  */
      r->number *= 2;
      r->sent_again = false;
      mm_exec_log_resolved (r, "it is sent with this number");
      mm_exec_send_start (r);
      break;
    case MM_CALL_NO_ANSWER:
      /* Stopping the run now would end a run that the upstream has started
         and only answers late.  */
      record_unanswered (c, res);
      mm_exec_become_suspect (x, "start", v);
      if (r->stop_wanted)
        mm_exec_send_stop (r, true);
      else
        mm_exec_query_run (r);
      mm_exec_notify_if_fenced (x);
      break;
    case MM_CALL_FENCED:
      mm_exec_become_fenced (x, r);
      break;
    case MM_CALL_GONE:
      /* Set before the task is returned, which would be placed here again.  */
      x->replaced = true;
      mm_exec_finish_run (r, MM_END_NOT_RUN, "upstream restarted");
      if (!x->closed)
        mm_exec_on_replaced (x);
      break;
    case MM_CALL_BAD:
      if (r->work)
        x->ev.start_rejected (x->ev.ctx, x, r->work, r->number, res->reason);
      mm_exec_finish_run (r, MM_END_NOT_RUN, "start rejected");
      break;
    case MM_CALL_REFUSED:
      x->ev.upstream_unhealthy (x->ev.ctx, x);
      mm_exec_become_suspect (x, "start", v);
      mm_exec_finish_run (r, MM_END_NOT_RUN, mm_call_verdict_name (v));
      break;
    case MM_CALL_LATE:
    case MM_CALL_NO_CAPACITY:
    case MM_CALL_NOT_SENT:
      mm_exec_become_suspect (x, "start", v);
      mm_exec_finish_run (r, MM_END_NOT_RUN, mm_call_verdict_name (v));
      break;
    }
}

/* Logs a start that was answered after the upstream ceased to take new
   tasks.  */
static void
log_if_draining (const mm_exec_run *r, mm_call_verdict v)
{
  const mm_upstream_info *u = r->exec->info;
  mm_time_ms now = mm_clock_now_ms ();
  if (!mm_exec_takes_new_tasks (r->exec))
    mm_log_event (MM_EV_TASK_STARTED_DRAINING, MM_TASK (&r->id),
                  MM_TEXT (u->name), MM_INT (r->number),
                  MM_TEXT (mm_call_verdict_name (v)),
                  MM_INT (now - r->ordered_ms), MM_INT (now - r->sent_ms));
}

static bool
was_refused (mm_call_verdict v)
{
  return v != MM_CALL_OK && v != MM_CALL_NO_ANSWER;
}

/* Handles the answer to a start order, or the lack of one.  */
static void
on_start_answer (const mm_call_result *res, void *ctx)
{
  mm_exec_call *c = ctx;
  if (res->was_overdue)
    {
      mm_exec_call_late (c, res);
      return;
    }
  mm_exec_run *r = c->run;
  r->start_in_flight = false;
  if (!accept_order_answer (c, res))
    return;
  mm_metrics_time (MM_HG_START_CALL, mm_clock_now_ms () - r->sent_ms);
  log_if_draining (r, res->verdict);
  /* A hold may have listed the run before this answer arrived.  */
  if (r->phase == RUN_ORDERED)
    {
      /* The start is answered now.  Callbacks of on_start_verdict() must not
         find the run as RUN_ORDERED, which counts as a start without an
         answer.  */
      r->phase = RUN_IN_DOUBT;
      if (r->sent_again && was_refused (res->verdict))
        mm_exec_second_start_refused (c, res->verdict);
      else if (mm_exec_call_outdated (c, res->verdict))
        mm_exec_finish_run (r, MM_END_NOT_RUN, "fencing token raised");
      else
        on_start_verdict (c, res);
    }
  mm_exec_call_close (c, res->overdue);
}

/* The upstream does not carry the order out after the time at which leases
   that are renewed now end.  */
void
mm_exec_send_start (mm_exec_run *r)
{
  mm_exec *x = r->exec;
  r->phase = RUN_ORDERED;
  if (r->payload)
    mm_uplink_record_sent (&x->common->uplink, strlen (r->payload),
                           mm_clock_now_ms ());
  mm_order o = { .task = &r->id,
                 .run = r->number,
                 .payload = r->payload,
                 .fence = x->fence,
                 /* 0 would be no deadline */
                 .deadline_ms = MAX (mm_exec_lease_deadline (x), 1),
                 .timeout_ms = mm_exec_timeout_ms (x) };
  r->start_in_flight = true;
  r->located = false;
  r->sent_ms = x->start_sent_ms = mm_clock_now_ms ();
  x->port.start (x->port.ctx, x->info, &o, on_start_answer,
                 mm_exec_call_open (x, r, "start"));
}

/**
 * mm_exec_start() - order the upstream to start a task.
 * @x: the session; must be mm_exec_accepts() of the task, which must fit
 *     mm_exec_free_capacity().
 * @t: the task; copied.
 * @work: the owner's handle of the task, passed to run_ended() when the run
 *        ends.
 */
void
mm_exec_start (mm_exec *x, const mm_task_request *t, void *work)
{
  mm_exec_run *r = g_new0 (mm_exec_run, 1);
  r->exec = x;
  r->id = t->id;
  r->number = 1;
  r->resources = t->resources;
  r->kept = t->kept;
  r->awaited_ms = t->kept ? NULL : t->awaited_ms;
  r->work = work;
  r->payload = g_strdup (t->payload);
  r->estimate_ms = t->estimate_ms;
  r->ordered_ms = r->progress_ms = mm_clock_now_ms ();
  mm_resources_add (&x->used, &r->resources);
  g_hash_table_insert (x->runs, &r->id, r);
  mm_exec_send_start (r);
  mm_exec_log_started (r, t->waited_ms);
}

static mm_exec_run *
run_of_work (const mm_exec *x, const void *work)
{
  GHashTableIter it;
  gpointer v;
  g_hash_table_iter_init (&it, x->runs);
  while (g_hash_table_iter_next (&it, NULL, &v))
    if (((mm_exec_run *)v)->work == work)
      return v;
  return NULL;
}

/**
 * mm_exec_stop() - order the stop of a run.
 * @x: the session.
 * @work: the handle of the run's task, as given to mm_exec_start().
 *
 * The end of the run is reported later.
 */
void
mm_exec_stop (mm_exec *x, void *work)
{
  mm_exec_run *r = run_of_work (x, work);
  if (!r)
    return;
  mm_exec_want_stop (r, true);
  mm_exec_fix_lease_limit (r);
  mm_exec_log_stopped (r, "its caller no longer waits");
  mm_exec_send_stop (r, false);
}

uint32_t
mm_exec_detach (mm_exec *x, void *work, mm_time_ms *ran_ms)
{
  mm_exec_run *r = run_of_work (x, work);
  *ran_ms = 0;
  if (!r || r->phase == RUN_ORDERED)
    return 0;
  r->work = NULL;
  mm_exec_fix_lease_limit (r);
  mm_exec_log_over (r, MM_END_UNKNOWN, "its upstream was given up");
  *ran_ms = mm_clock_now_ms () - r->ordered_ms;
  return r->number;
}

bool
mm_exec_adopt (mm_exec *x, const mm_task_request *t, void *work)
{
  mm_exec_run *r = g_hash_table_lookup (x->runs, &t->id);
  if (x->fenced || !r || !r->foreign || r->number != t->run || r->stop_wanted)
    return false;
  r->foreign = false;
  r->adopted = true;
  r->end_by_ms = 0;
  r->awaited_ms = t->awaited_ms;
  x->n_foreign--;
  r->work = work;
  r->resources = t->resources;
  r->estimate_ms = t->estimate_ms;
  r->ordered_ms = mm_clock_now_ms () - t->ran_ms;
  mm_resources_add (&x->used, &r->resources);
  mm_log_event (MM_EV_TASK_ADOPTED, MM_TASK (&r->id), MM_TEXT (x->info->name),
                MM_INT (r->number), MM_INT (x->fence), MM_INT (t->ran_ms));
  mm_exec_update_lease_limit (x);
  if (x->n_foreign == 0)
    x->ev.capacity_freed (x->ev.ctx, x);
  return true;
}

/**
 * mm_exec_create() - start a session with an upstream.
 * @u: the upstream; copied.
 * @fence: this instance's fencing token there, higher than that of any
 *         earlier owner.
 * @port: functions that call the upstream; copied.
 * @common: shared with the other sessions; must outlive this one.
 * @events: notifications to the owner; copied.
 *
 * The first hold makes the fencing token known to the upstream and lists the
 * runs that an earlier owner started.  Nothing is started until that hold is
 * answered.
 *
 * Return: the session; free with mm_exec_destroy().
 */
mm_exec *
mm_exec_create (const mm_upstream_info *u, uint64_t fence,
                const mm_exec_port *port, mm_exec_common *common,
                const mm_exec_events *events)
{
  mm_exec *x = g_new0 (mm_exec, 1);
  x->refs = 1;
  x->info = mm_upstream_info_copy (u);
  x->born_ms = u->born_ms;
  x->fence = fence;
  x->port = *port;
  x->common = common;
  x->ev = *events;
  x->slowness = 1.0;
  x->lease_limit_ms = G_MAXINT64;
  x->unacked = g_array_new (FALSE, FALSE, sizeof (mm_unacked_end));
  x->ended = g_array_new (FALSE, FALSE, sizeof (mm_exec_ended_run));
  x->runs = g_hash_table_new_full (mm_task_id_hash, mm_task_id_equal, NULL,
                                   run_free);
  mm_exec_send_hold (x, 0, false);
  return x;
}

/**
 * mm_exec_raise_fence() - use a higher fencing token from now on.
 * @x: the session.
 * @fence: the new token, higher than that of any other owner so far.
 *
 * For an owner that may have lost the upstream and got it back without notice.
 * The runs go on.  Nothing is started, and the runs do not count as known,
 * until a hold with the new token is answered: it lists the runs of an owner
 * in between, which the upstream refuses from then on.
 */
void
mm_exec_raise_fence (mm_exec *x, uint64_t fence)
{
  x->fence = fence;
  x->fence_known = false;
  mm_exec_send_hold (x, 0, false);
}

void
mm_exec_destroy (mm_exec *x)
{
  if (!x || x->closed)
    return;
  x->closed = true;
  /* Runs with an open call are freed when the call is answered.  */
  GHashTableIter it;
  gpointer v;
  g_hash_table_iter_init (&it, x->runs);
  while (g_hash_table_iter_next (&it, NULL, &v))
    {
      mm_exec_run *r = v;
      if (!r->stop_in_flight && !r->start_in_flight)
        continue;
      r->ended = true;
      g_hash_table_iter_steal (&it);
    }
  mm_exec_unref (x);
}

static void
log_draining (const mm_exec *x)
{
  mm_time_ms since_start_ms
      = x->start_sent_ms ? mm_clock_now_ms () - x->start_sent_ms : -1;
  mm_log_event (MM_EV_UPSTREAM_DRAINING, MM_TEXT (x->info->name),
                MM_INT (g_hash_table_size (x->runs)), MM_INT (since_start_ms));
}

/* Counts and logs a change of the capacity in the upstream's list entry.  */
static void
record_capacity_change (const mm_exec *x, const mm_resources *before,
                        const mm_resources *now)
{
  if (memcmp (before, now, sizeof *now) == 0)
    return;
  mm_metrics_count (MM_CT_CAPACITY_CHANGES);
  if (now->cpu_milli < before->cpu_milli)
    mm_metrics_add (MM_CT_CAPACITY_LOST,
                    (uint64_t)(before->cpu_milli - now->cpu_milli));
  mm_log_event (MM_EV_UPSTREAM_CAPACITY, MM_TEXT (x->info->name),
                MM_INT (now->cpu_milli), MM_INT (before->cpu_milli),
                MM_INT (x->used.cpu_milli), MM_INT (now->mem_mb),
                MM_INT (now->gpus));
}

/**
 * mm_exec_update() - apply a changed list entry of the upstream.
 * @x: the session.
 * @u: the entry, with the same name; copied.
 */
void
mm_exec_update (mm_exec *x, const mm_upstream_info *u)
{
  mm_upstream_info *old = x->info;
  x->info = mm_upstream_info_copy (u);
  if (u->draining && !old->draining)
    log_draining (x);
  record_capacity_change (x, &old->capacity, &u->capacity);
  /* The list lags, and may be read anew from the past: only a hold shows that
     a restart states an earlier time.  */
  if (u->born_ms != old->born_ms && u->born_ms > x->born_ms)
    mm_exec_set_incarnation (x, u->born_ms);
  mm_upstream_info_free (old);
}
