/* mm_exec_hold: a session's timers and its holds, which renew leases and list
   runs and ends.  */
#include "config.h"
#include "mm_event.h"
#include "mm_exec_priv.h"
#include "mm_metrics.h"

/* Stops foreign runs that no instance has adopted within MM_ADOPT_TIMEOUT_MS,
   so that their capacity can be used.  */
static void
stop_unadopted (mm_exec *x, mm_time_ms now)
{
  if (x->n_foreign == 0)
    return;
  GHashTableIter it;
  gpointer v;
  g_hash_table_iter_init (&it, x->runs);
  while (g_hash_table_iter_next (&it, NULL, &v))
    {
      mm_exec_run *r = v;
      if (!r->foreign || r->stop_wanted
          || now - r->ordered_ms < MM_ADOPT_TIMEOUT_MS)
        continue;
      mm_exec_want_stop (r, true);
      mm_exec_log_stopped (r, "nobody has adopted it");
      mm_exec_send_stop (r, false);
    }
}

/* Sends stops again that got no answer before this tick.  */
static void
resend_due_stops (mm_exec *x)
{
  if (!x->stops_due)
    return;
  x->stops_due = false;
  GHashTableIter it;
  gpointer v;
  g_hash_table_iter_init (&it, x->runs);
  while (g_hash_table_iter_next (&it, NULL, &v))
    if (((mm_exec_run *)v)->stop_wanted)
      mm_exec_send_stop (v, true);
}

/* Reports the upstream as lost, once until it answers again.  */
static void
report_lost (mm_exec *x)
{
  if (x->lost)
    return;
  mm_exec_report_loss (x, false);
  x->lost = true;
}

/* Returns whether a hold failed because its connection could not be opened or
   was closed.  An answer that is only late leaves its connection open.  */
static bool
connection_failed (const mm_call_result *res)
{
  return !res->overdue
         && (res->verdict == MM_CALL_NO_ANSWER
             || res->verdict == MM_CALL_NOT_SENT);
}

/* An acknowledgement without an answer may be carried out late, by another
   incarnation that has ended runs by then.  With a higher token for all that
   follows, it is refused there.  */
static void
void_late_ack (mm_exec *x)
{
  uint64_t raises = x->fence & ((1u << MM_FENCE_RESTART_BITS) - 1);
  if (raises >= MM_FENCE_LATE_ACKS_MAX)
    return;
  x->fence++;
  x->fence_known = false;
}

/* A single lost hold must not let the leases expire.  After the first hold
   that fails, another is sent at once on a new connection, and the leases are
   renewed as soon as that second hold is answered.

   If a connection fails for a later hold too, the process at the other end
   has probably died.  The loss is reported then, so that the tasks there are
   known as suspects even if this instance fails before their leases expire.
   Starts without an answer are waited for: they may not have been sent.  */
static void
on_hold_failed (mm_exec *x, const mm_exec_call *c, const mm_call_result *res)
{
  bool first = !x->hold_failed_ms;
  mm_exec_become_suspect (x, "hold", res->verdict);
  x->hold_failed_ms = mm_clock_now_ms ();
  if (first)
    x->unresponsive_since_ms = x->hold_failed_ms;
  x->holds_failed++;
  if (c->acked_seq && res->verdict == MM_CALL_NO_ANSWER)
    void_late_ack (x);
  if (first)
    mm_exec_send_hold (x, 0, false);
  else if (x->runs_known && connection_failed (res)
           && mm_exec_count_open_starts (x) == 0)
    report_lost (x);
}

/* Another owner has the upstream, which answers.  */
static void
on_hold_fenced (mm_exec *x)
{
  if (x->lost)
    x->ev.upstream_back (x->ev.ctx, x);
  x->lost = false;
  if (!x->closed)
    mm_exec_become_fenced (x, NULL);
}

/* Processes the lists in a late answer, unless the lists of a later hold were
   processed already.  */
static void
on_overdue_hold_answer (mm_exec_call *c, const mm_hold_result *res)
{
  mm_exec *x = c->exec;
  if (!x->closed && !x->fenced && !x->replaced
      && res->call.verdict == MM_CALL_OK
      && c->sent_event > x->processed_hold_event)
    mm_exec_process_lists (x, c, res);
  mm_exec_call_late (c, &res->call);
}

/* Handles the answer to a hold, or the lack of one.  After an answer, the next
   hold is sent at once if one is due.  */
static void
on_hold_answer (const mm_hold_result *res, void *ctx)
{
  mm_exec_call *c = ctx;
  if (res->call.was_overdue)
    {
      on_overdue_hold_answer (c, res);
      return;
    }
  mm_exec *x = c->exec;
  x->holds_in_flight--;
  if (c->wait_ms == 0)
    x->query_sent_ms = 0;
  if (x->closed)
    {
      mm_exec_call_close (c, res->call.overdue);
      return;
    }
  mm_exec_record_time (x, c, res->call.verdict);
  switch (res->call.verdict)
    {
    case MM_CALL_OK:
      {
        bool was_suspect = x->suspect;
        mm_exec_process_lists (x, c, res);
        if (was_suspect && !x->closed)
          x->ev.capacity_freed (x->ev.ctx, x);
        if (!x->closed)
          mm_exec_tick (x);
        break;
      }
    case MM_CALL_FENCED:
      if (mm_exec_call_outdated (c, res->call.verdict))
        mm_exec_tick (x);
      else
        on_hold_fenced (x);
      break;
    case MM_CALL_GONE:
      mm_exec_on_replaced (x);
      break;
    default:
      mm_metrics_count (MM_CT_HOLDS_FAILED);
      on_hold_failed (x, c, &res->call);
      break;
    }
  mm_exec_call_close (c, res->call.overdue);
}

/* Returns the highest sequence number that can be acknowledged: one less than
   that of the first unacknowledged end, because an acknowledgement covers all
   ends up to its number.  */
static uint64_t
ackable_seq (const mm_exec *x)
{
  uint64_t up_to_seq = x->seen_seq;
  for (guint i = 0; i < x->unacked->len; i++)
    up_to_seq = MIN (up_to_seq,
                     g_array_index (x->unacked, mm_unacked_end, i).seq - 1);
  return up_to_seq;
}

/* Returns whether the upstream can have started again unnoticed and ended a
   run since.  That takes a start that it is not known to have carried out.  A
   run whose start was sent just now, after its last answer, has not ended.  */
static bool
may_have_unseen_ends (const mm_exec *x)
{
  GHashTableIter it;
  gpointer v;
  g_hash_table_iter_init (&it, x->runs);
  while (g_hash_table_iter_next (&it, NULL, &v))
    {
      const mm_exec_run *r = v;
      if (!r->located && r->sent_ms < x->known_alive_ms)
        return true;
    }
  return false;
}

/* Returns whether ends can be acknowledged.  Their numbers are of the
   incarnation that has listed them; another one under the same name would
   forget its own ends up to that number, and tasks that are done would run
   again.  So a number is sent only right after an answer of that
   incarnation.  */
static bool
may_acknowledge (const mm_exec *x)
{
  return x->runs_known && x->fence_known && !x->hold_failed_ms
         && mm_clock_now_ms () - x->known_alive_ms <= MM_ACK_AFTER_ANSWER_MS
         && !may_have_unseen_ends (x);
}

/* Returns the number up to which a hold acknowledges ends, 0: none.  A number
   that the upstream has confirmed is not sent again.  */
static uint64_t
take_ack (mm_exec *x)
{
  uint64_t seq = ackable_seq (x);
  if (seq <= x->acked_seq)
    return 0;
  bool allowed = may_acknowledge (x);
  x->acks_postponed = allowed ? 0 : x->acks_postponed + 1;
  return allowed ? seq : 0;
}

void
mm_exec_send_hold (mm_exec *x, mm_time_ms wait_ms, bool renew)
{
  if (x->fenced || x->replaced || x->suspended)
    return;
  mm_hold h = { .fence = x->fence,
                .acked_seq = take_ack (x),
                .wait_ms = wait_ms,
                .new_connection = x->suspect,
                .timeout_ms = wait_ms + mm_exec_timeout_ms (x) };
  if (renew && x->clock_known)
    h.deadline_ms = mm_exec_lease_deadline (x);
  x->holds_in_flight++;
  mm_metrics_count (MM_CT_HOLDS);
  mm_exec_call *c = mm_exec_call_open (x, NULL, "hold");
  c->acked_seq = h.acked_seq;
  c->wait_ms = wait_ms;
  x->hold_sent_ms = mm_clock_now_ms ();
  if (wait_ms == 0)
    x->query_sent_ms = c->sent_ms;
  x->port.hold (x->port.ctx, x->info, &h, on_hold_answer, c);
}

/* Ends all runs after a time out of contact that is longer than any lease: the
   runs have ended with their leases, and all orders are void.  */
static void
expire_runs (mm_exec *x, mm_time_ms now)
{
  if (!x->hold_failed_ms || now <= x->leases_expire_ms + MM_LEASE_SLACK_MS)
    return;
  /* runs_known is false until the upstream answers again.  */
  if (x->runs_known)
    report_lost (x);
  GList *runs = g_hash_table_get_values (x->runs);
  for (GList *l = runs; l && !x->closed; l = l->next)
    {
      mm_exec_run *r = l->data;
      /* A run whose start got no answer is ended too, as it may have run.  A
         run whose start is still open is not.  */
      if (r->phase == RUN_ORDERED)
        continue;
      /* The run may have ended before its lease expired, and the upstream
         still lists that end.  The home of a kept job searches for the end
         before it starts the task again.  */
      mm_exec_finish_run (r, r->kept ? MM_END_UNKNOWN : MM_END_LOST,
                          "lease expired out of contact");
    }
  g_list_free (runs);
  x->runs_known = false;
}

/* Returns whether the owner still needs one of the runs.  Leases are renewed
   only then.  */
static bool
has_wanted_run (const mm_exec *x)
{
  GHashTableIter it;
  gpointer v;
  g_hash_table_iter_init (&it, x->runs);
  while (g_hash_table_iter_next (&it, NULL, &v))
    if (((mm_exec_run *)v)->work && !((mm_exec_run *)v)->stop_wanted)
      return true;
  return false;
}

/* Returns how long a hold waits for an end: less while answers get lost or
   leases are short.  */
static mm_time_ms
hold_wait_ms (const mm_exec *x, mm_time_ms now)
{
  if (x->lease_limit_ms - now < MM_LEASE_SHORT_MS)
    return MM_HOLD_WAIT_SHORT_MS;
  bool lossy = MM_WITH_LOSSY_HOLDS && x->last_unanswered_ms
               && now - x->last_unanswered_ms < MM_LOSSY_PERIOD_MS;
  return lossy ? MM_HOLD_WAIT_SHORT_MS : MM_HOLD_WAIT_MS;
}

/* Returns whether the upstream lists ends that the next hold does not
   acknowledge.  */
static bool
lists_ends (const mm_exec *x)
{
  uint64_t seq = ackable_seq (x);
  return seq < x->seen_seq || (seq > x->acked_seq && !may_acknowledge (x));
}

void
mm_exec_hold_after_start (mm_exec *x)
{
  x->known_alive_ms = mm_clock_now_ms ();
  if (x->holds_in_flight == 0 && ackable_seq (x) > x->acked_seq
      && may_acknowledge (x))
    mm_exec_send_hold (x, hold_wait_ms (x, x->known_alive_ms),
                       has_wanted_run (x));
}

/* Returns whether ends of an idle upstream are to be acknowledged now.  */
static bool
ack_due (const mm_exec *x, mm_time_ms now)
{
  return x->unacked_since_ms && ackable_seq (x) > x->acked_seq
         && now - x->unacked_since_ms >= MM_ACK_DELAY_MS;
}

static bool
clock_refresh_due (const mm_exec *x, mm_time_ms now)
{
  return now - MAX (x->clock_offset_set_ms, x->hold_sent_ms)
         >= MM_CLOCK_REFRESH_MS;
}

/**
 * mm_exec_tick() - run the session's timers.
 * @x: the session.
 *
 * Call it each MM_EXEC_TICK_MS.
 *
 * While there are runs, one hold is always waiting at the upstream.  After a
 * hold without an answer, the next one does not renew the leases: while only
 * the answers are lost, leases must not be renewed for ever.  Once nothing
 * runs on an upstream that answers, a hold is sent only to acknowledge ends,
 * and each MM_CLOCK_REFRESH_MS to read the upstream's clock.
 */
void
mm_exec_tick (mm_exec *x)
{
  if (x->fenced || x->replaced || x->closed || x->suspended)
    return;
  mm_time_ms now = mm_clock_now_ms ();
  mm_exec_update_lease_limit (x);
  expire_runs (x, now);
  if (!x->closed)
    {
      resend_due_stops (x);
      stop_unadopted (x, now);
    }
  if (x->closed || x->holds_in_flight > 0)
    return;
  if (x->hold_failed_ms || !x->runs_known || !x->fence_known || x->suspect)
    {
      mm_time_ms pause_ms
          = x->holds_failed < MM_HOLD_IMMEDIATE_RETRIES ? 0 : MM_HOLD_RETRY_MS;
      if (now - MAX (x->hold_failed_ms, x->hold_sent_ms) >= pause_ms
          || x->hold_sent_ms == 0)
        mm_exec_send_hold (x, 0, false);
    }
  else if (g_hash_table_size (x->runs) > 0 && lists_ends (x))
    {
      /* While the upstream lists unacknowledged ends, it answers every hold
         at once, whatever its wait.  Holds are sent every MM_UNACKED_POLL_MS
         instead, until the ends are acknowledged.  The first ones after a
         start are sent at once: they list it.  */
      if (now - x->hold_sent_ms >= MM_UNACKED_POLL_MS
          || (ackable_seq (x) == x->seen_seq
              && x->acks_postponed < MM_ACK_IMMEDIATE_RETRIES))
        mm_exec_send_hold (x, 0, has_wanted_run (x));
    }
  else if (g_hash_table_size (x->runs) > 0)
    mm_exec_send_hold (x, hold_wait_ms (x, now), has_wanted_run (x));
  else if (ack_due (x, now) || clock_refresh_due (x, now))
    mm_exec_send_hold (x, 0, false);
}

void
mm_exec_set_suspended (mm_exec *x, bool suspended)
{
  if (x->suspended && !suspended)
    x->runs_known = false;
  x->suspended = suspended;
}
