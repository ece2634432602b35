/* mm_exec_lists: compares the runs and ends that an upstream lists with the
   runs of the session.  */
#include "mm_exec_priv.h"

#include "config.h"
#include "mm_event.h"
#include "mm_metrics.h"

/* Updates the upstream's slowness from a run that is done.  Adopted runs are
   left out, as their start times are inexact.  */
static void
update_slowness (mm_exec *x, const mm_exec_run *r)
{
  if (r->estimate_ms <= 0 || r->phase != RUN_RUNNING || r->adopted)
    return;
  double ratio
      = (double)(mm_clock_now_ms () - r->ordered_ms) / (double)r->estimate_ms;
  x->slowness += MM_SLOWNESS_GAIN * (ratio - x->slowness);
}

/* Leaves an end unacknowledged until the job's home has stored it.  The
   upstream goes on listing the end, so if this instance dies meanwhile, the
   next owner finds it and the task is not started a second time.  */
static void
keep_end (mm_exec *x, const mm_listed_end *e, bool foreign)
{
  mm_unacked_end end = { .task = e->task,
                         .run = e->run,
                         .how = e->how,
                         .seq = e->seq,
                         .first_seen_ms = mm_clock_now_ms (),
                         .foreign = foreign };
  g_array_append_val (x->unacked, end);
}

/* Remembers a run that has ended for MM_ENDED_RUNS_KEEP_MS.  @known: it was
   known before its end.  */
static void
remember_ended (mm_exec *x, const mm_listed_end *e, bool known)
{
  mm_exec_ended_run ended = { .task = e->task,
                              .number = e->run,
                              .failed = known && e->how == MM_END_FAILED,
                              .ended_ms = mm_clock_now_ms () };
  guint n_old = 0;
  while (
      n_old < x->ended->len
      && ended.ended_ms
                 - g_array_index (x->ended, mm_exec_ended_run, n_old).ended_ms
             > MM_ENDED_RUNS_KEEP_MS)
    n_old++;
  g_array_remove_range (x->ended, 0, n_old);
  g_array_append_val (x->ended, ended);
}

/* Returns whether the end of a listed run is known.  Answers overtake each
   other: a hold that waited for an end can be answered before one that was
   sent later, and whose list is older.  */
static bool
has_ended (const mm_exec *x, const mm_listed_run *seen)
{
  for (guint i = 0; i < x->ended->len; i++)
    {
      const mm_exec_ended_run *ended
          = &g_array_index (x->ended, mm_exec_ended_run, i);
      if (ended->number == seen->run
          && mm_task_id_equal (&ended->task, &seen->task))
        return true;
    }
  return false;
}

/* Processes the list of ends; skips ends that earlier lists had.  */
static void
process_ends (mm_exec *x, const mm_hold_result *res)
{
  for (size_t i = 0; i < res->n_ended && !x->closed; i++)
    {
      const mm_listed_end *e = &res->ended[i];
      if (e->seq <= x->seen_seq)
        continue;
      x->seen_seq = e->seq;
      mm_exec_run *r = g_hash_table_lookup (x->runs, &e->task);
      bool own_run = r && r->number == e->run && !r->foreign;
      /* Whether the job of a foreign run is a kept job is not known here, so
         its end is treated as one of a kept job.  */
      if (!own_run || r->kept)
        keep_end (x, e, !own_run);
      remember_ended (x, e, r && r->number == e->run);
      mm_exec_log_other_run (r, e->run, "ended");
      if (!r || r->number != e->run)
        continue;
      if (e->how == MM_END_DONE)
        update_slowness (x, r);
      bool detached = own_run && !r->work;
      /* A run that was stopped because its start had no answer is reported
         as stopped and not as "not run", because it did run for a while.  */
      mm_exec_finish_run (r, e->how, MM_WHY_LISTED);
      if (detached && !x->closed)
        x->ev.detached_run_ended (x->ev.ctx, x, &e->task, e->run, e->how);
    }
  if (x->seen_seq > x->acked_seq && !x->unacked_since_ms)
    x->unacked_since_ms = mm_clock_now_ms ();
}

/* Adds a run that an earlier owner started.  The instance whose job it belongs
   to may still wait for it and request its adoption (mm_exec_adopt);
   otherwise the run is stopped after MM_ADOPT_TIMEOUT_MS.  The resources of
   the run are unknown, so nothing is started on this upstream before the run
   is adopted or has ended.  */
static void
add_foreign_run (mm_exec *x, const mm_listed_run *seen)
{
  mm_exec_run *r = g_new0 (mm_exec_run, 1);
  r->exec = x;
  r->id = seen->task;
  r->number = seen->run;
  r->foreign = true;
  r->ordered_ms = mm_clock_now_ms ();
  /* Until it is adopted it is not known for how long it may run.  */
  r->end_by_ms = r->ordered_ms;
  mm_exec_set_running (r);
  /* The run has a lease from the earlier owner.  If the upstream does not
     answer from now on, the run may last until that lease expires.  */
  x->leases_expire_ms = MAX (x->leases_expire_ms, r->ordered_ms + MM_LEASE_MS);
  x->n_foreign++;
  mm_metrics_count (MM_CT_FOREIGN_RUNS);
  mm_log_event (MM_EV_TASK_FOREIGN, MM_TASK (&r->id), MM_TEXT (x->info->name),
                MM_INT (r->number), MM_INT (x->fence),
                MM_INT (r->ordered_ms - x->processed_hold_ms));
  g_hash_table_insert (x->runs, &r->id, r);
  if (x->ev.foreign_run_found (x->ev.ctx, x, &r->id, r->number))
    return;
  mm_exec_want_stop (r, true);
  mm_exec_send_stop (r, false);
}

/* Stops a run that makes no progress, so that its task can run on another
   upstream.  Some upstreams never finish a task while they report themselves
   healthy, and the caller would wait until its deadline.  */
static void
check_progress (mm_exec_run *r, int32_t percent)
{
  mm_time_ms now = mm_clock_now_ms ();
  mm_time_ms limit_ms
      = MAX (MM_NO_PROGRESS_MS, r->estimate_ms * MM_NO_PROGRESS_STEPS / 100);
  if (percent < 0 || percent != r->percent)
    {
      r->percent = percent;
      r->progress_ms = now;
      return;
    }
  if (!MM_WITH_PROGRESS || r->stop_wanted || now - r->progress_ms < limit_ms)
    return;
  mm_exec *x = r->exec;
  mm_exec_want_stop (r, false);
  mm_exec_log_stopped (r, "it is stalled");
  x->ev.upstream_unhealthy (x->ev.ctx, x);
}

/* Processes the list of running tasks; adds their runs to the set @present. */
static void
process_running (mm_exec *x, const mm_hold_result *res, GHashTable *present)
{
  for (size_t i = 0; i < res->n_running; i++)
    {
      const mm_listed_run *seen = &res->running[i];
      mm_exec_run *r = g_hash_table_lookup (x->runs, &seen->task);
      if (!r && has_ended (x, seen))
        continue;
      if (!r)
        {
          add_foreign_run (x, seen);
          r = g_hash_table_lookup (x->runs, &seen->task);
        }
      else if (r->number == seen->run)
        {
          if (r->phase == RUN_IN_DOUBT && !r->stop_wanted)
            mm_exec_log_resolved (r, "it runs");
          mm_exec_set_running (r);
          check_progress (r, seen->percent);
          if (r->stop_wanted)
            mm_exec_send_stop (r, false);
        }
      if (r->number == seen->run)
        {
          r->confirmed_ms = x->processed_hold_ms;
          r->located = true;
        }
      mm_exec_log_other_run (r, seen->run, "running");
      g_hash_table_add (present, r);
    }
}

/* Ends runs that the upstream should list and does not.  A hold lists a run
   that was confirmed as running before the hold @c was sent.  A run in doubt
   does not exist if its stop was answered, or the deadline of its start had
   passed, before the hold was sent, and the hold does not list it.  Otherwise
   its start is lost or has not arrived yet.  */
static void
process_absent (mm_exec *x, GHashTable *present, const mm_exec_call *c)
{
  GList *runs = g_hash_table_get_values (x->runs);
  for (GList *l = runs; l && !x->closed; l = l->next)
    {
      mm_exec_run *r = l->data;
      if (g_hash_table_contains (present, r) || r->phase == RUN_ORDERED)
        continue;
      bool stopped
          = r->stop_answered_event && r->stop_answered_event < c->sent_event;
      bool late = c->sent_ms > r->sent_ms + MM_LEASE_MS + MM_LEASE_SLACK_MS;
      bool ran = r->running_event && r->running_event < c->sent_event;
      if (r->phase == RUN_IN_DOUBT && (stopped || late))
        mm_exec_finish_run (
            r, r->stop_by_owner ? MM_END_STOPPED : MM_END_NOT_RUN,
            stopped ? "start unanswered, stopped ahead of it"
                    : "start unanswered, its deadline has passed");
      else if (ran)
        mm_exec_finish_run (r, MM_END_LOST, "not listed any more");
      else if (r->phase == RUN_IN_DOUBT && !r->stop_wanted
               && c->sent_ms >= r->in_doubt_ms)
        mm_exec_resolve_unlisted (r);
    }
  g_list_free (runs);
}

/* Marks the runs whose starts were carried out before the hold @c was, and so
   by the incarnation that has answered it.  A start that got no answer counts
   once the hold after it was answered, if its end may be on a later page: that
   page is listed only after an acknowledgement.  */
static void
locate_runs (mm_exec *x, const mm_exec_call *c, bool more_ended)
{
  GHashTableIter it;
  gpointer v;
  g_hash_table_iter_init (&it, x->runs);
  while (g_hash_table_iter_next (&it, NULL, &v))
    {
      mm_exec_run *r = v;
      bool answered = r->running_event && r->running_event < c->sent_event;
      bool asked = r->phase == RUN_IN_DOUBT && c->sent_ms >= r->in_doubt_ms;
      if (answered || (more_ended && asked))
        r->located = true;
    }
}

/* Records whether the lists lack ends, and logs a change.  */
static void
update_more_ends (mm_exec *x, const mm_hold_result *res)
{
  if (x->more_ends == res->more_ended)
    return;
  x->more_ends = res->more_ended;
  mm_time_ms now = mm_clock_now_ms (), oldest_ms = now;
  for (guint i = 0; i < x->unacked->len; i++)
    oldest_ms
        = MIN (oldest_ms,
               g_array_index (x->unacked, mm_unacked_end, i).first_seen_ms);
  mm_log_event (MM_EV_UPSTREAM_ENDS, MM_TEXT (x->info->name),
                MM_INT (!x->more_ends), MM_INT (res->n_ended),
                MM_INT (x->unacked->len), MM_INT (now - oldest_ms));
}

void
mm_exec_process_lists (mm_exec *x, const mm_exec_call *c,
                       const mm_hold_result *res)
{
  if (!mm_exec_call_precedes_incarnation (c))
    mm_exec_set_incarnation (x, res->born_ms);
  if (mm_exec_call_precedes_incarnation (c))
    return;
  mm_exec_update_clock (x, c, &res->call);
  mm_exec_become_usable (x);
  x->hold_failed_ms = 0;
  x->holds_failed = 0;
  x->acked_seq = MAX (x->acked_seq, c->acked_seq);
  if (x->acked_seq >= x->seen_seq)
    x->unacked_since_ms = 0;
  /* Answers on two connections may arrive out of order: older lists would
     show ended runs as running.  */
  if (c->sent_event < x->processed_hold_event)
    return;
  x->processed_hold_event = c->sent_event;
  x->processed_hold_ms = c->sent_ms;
  x->known_alive_ms = res->call.was_overdue ? 0 : mm_clock_now_ms ();
  GHashTable *present = g_hash_table_new (NULL, NULL);
  bool first = !x->runs_known;
  bool fence_accepted = !x->fence_known && c->fence == x->fence;
  if (first || x->lost)
    {
      x->lost = false;
      x->ev.upstream_back (x->ev.ctx, x);
    }
  if (fence_accepted)
    {
      /* A lease that an earlier owner renewed until now covers the runs that
         are started here from now on.  */
      x->leases_expire_ms
          = MAX (x->leases_expire_ms, mm_clock_now_ms () + MM_LEASE_MS);
      mm_log_event (MM_EV_UPSTREAM_OWNED, MM_TEXT (x->info->name),
                    MM_INT (x->fence));
    }
  x->runs_known = true;
  update_more_ends (x, res);
  process_ends (x, res);
  if (!x->closed)
    process_running (x, res, present);
  /* Ends free capacity, but nothing may start before the runs of an owner in
     between are known.  */
  x->fence_known = x->fence_known || fence_accepted;
  /* A run that is in neither list may have its end on a later page.  */
  if (!x->closed && !res->more_ended)
    process_absent (x, present, c);
  if (!x->closed)
    locate_runs (x, c, res->more_ended);
  g_hash_table_destroy (present);
  if ((first || fence_accepted) && !x->closed)
    x->ev.capacity_freed (x->ev.ctx, x);
}
