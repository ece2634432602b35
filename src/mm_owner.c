/* mm_owner: queues tasks and starts them on the upstreams owned here.

   Each upstream has one owner, so capacity that this instance sees as free
   is free.  The queue is kept short: a task states how long it may wait
   (start_within_ms) and is returned as not run after that, so that its caller
   is answered soon.  */
#include "mm_owner_priv.h"

#include "config.h"
#include "mm_event.h"
#include "mm_metrics.h"
#include "mm_placement.h"

#include <string.h>

void
mm_owner_free_work (mm_work *w)
{
  g_free ((char *)w->request.service);
  g_free ((char *)w->request.payload);
  g_free ((char *)w->request.label);
  g_free ((char *)w->request.data_label);
  g_free ((char *)w->request.avoid_upstream);
  g_free ((char *)w->request.running_at);
  g_free (w->orphaned_on);
  g_free (w->reservation);
  g_free (w);
}

void
mm_owner_finish (mm_work *w, mm_end how, const char *upstream, uint32_t run,
                 mm_time_ms ran_ms, const char *why)
{
  mm_work_result r = {
    .how = how, .upstream = upstream, .run = run, .ran_ms = ran_ms, .why = why
  };
  if (how == MM_END_UNKNOWN && !w->request.kept)
    mm_owner_set_in_doubt (w->owner, &w->request.id);
  if (!w->cancelled)
    w->done (w->ctx, &r);
  mm_owner_free_work (w);
}

static mm_start_key
start_key (const mm_work *w)
{
  return (mm_start_key){ .yields = w->request.yields,
                         .priority = w->request.priority,
                         .due_ms = w->due_ms,
                         .arrival = w->arrival };
}

/* Orders tasks by mm_start_key.  The due time gives a task that was moved from
   another owner's queue the same turn here.  */
static gint
work_order (gconstpointer a, gconstpointer b, gpointer unused)
{
  mm_start_key x = start_key (a), y = start_key (b);
  return mm_start_key_compare (&x, &y);
}

void
mm_owner_enqueue (mm_owner *o, mm_work *w)
{
  w->running_on = NULL;
  g_queue_insert_sorted (o->waiting, w, work_order, NULL);
}

/* Queues a task again whose order did not start it.  A task that is cancelled
   or has waited too long is returned as not run instead.  */
static void
requeue_or_return (mm_work *w, const char *upstream, const char *why)
{
  mm_owner *o = w->owner;
  bool late = mm_clock_now_ms () > w->start_by_ms;
  if (w->cancelled || late || o->destroyed)
    mm_owner_finish (w, MM_END_NOT_RUN, upstream, 0, 0, why);
  else
    mm_owner_enqueue (o, w);
}

/* Records a success or failure in the upstream's circuit breaker, and logs
   when the breaker opens or closes.  */
static void
update_breaker (mm_owned_upstream *owned, const char *name, bool ok,
                mm_time_ms now)
{
  bool was_on_trial = owned->breaker.on_trial;
  mm_time_ms excluded_until_ms = owned->breaker.excluded_until_ms;
  mm_breaker_record (&owned->breaker, ok, now);
  if (was_on_trial && !owned->breaker.on_trial)
    mm_log_event (MM_EV_UPSTREAM_TRUSTED, MM_TEXT (name));
  if (owned->breaker.excluded_until_ms == excluded_until_ms || ok)
    return;
  mm_metrics_count (MM_CT_EXCLUSIONS);
  mm_log_event (MM_EV_UPSTREAM_EXCLUDED, MM_TEXT (name),
                MM_INT (owned->breaker.consecutive_failures),
                MM_INT (owned->breaker.excluded_until_ms - now));
}

/* Updates an exponential moving average; 0: no value yet.  */
static void
update_average (double *average, double value)
{
  *average
      = *average > 0 ? *average + MM_AVERAGE_GAIN * (value - *average) : value;
}

/* Updates the average time for which a run uses its place, and the share of
   runs that are done.  Runs that were not done count too: an order without an
   answer uses a place until its outcome is known, and a run whose end is
   noticed late uses a place until then.  If these were left out, admission
   would accept jobs that are all late while many orders are lost.  */
static void
record_cost (mm_owner *o, mm_end how, mm_time_ms ran_ms)
{
  if (o->average_place_ms <= 0)
    o->done_share = 1;
  update_average (&o->average_place_ms, (double)MAX (ran_ms, 1));
  update_average (&o->done_share, how == MM_END_DONE ? 1 : 0);
}

/* Processes the end of a run: reports it, or queues a task again that did not
   run.  */
static void
on_ended (void *ctx, mm_exec *x, void *work, uint32_t run, mm_end how,
          mm_time_ms ran_ms, const char *why)
{
  mm_owned_upstream *owned = ctx;
  mm_work *w = work;
  mm_owner *o = owned->owner;
  const char *name = mm_exec_info (x)->name;
  mm_time_ms now = mm_clock_now_ms ();
  /* An order without an answer does not count as a failure: if many orders to
     all upstreams got none, the circuit breakers would exclude every
     upstream.  */
  if (how == MM_END_DONE || how == MM_END_FAILED || how == MM_END_LOST)
    update_breaker (owned, name, how == MM_END_DONE, now);
  if (how == MM_END_DONE)
    {
      mm_metrics_time (MM_HG_TASK_RUN, ran_ms);
      mm_log_event (MM_EV_TASK_ENDED, MM_TASK (&w->request.id), MM_TEXT (name),
                    MM_INT (ran_ms), MM_INT (run));
    }
  record_cost (o, how, ran_ms);
  mm_owner_count_suspect (owned, w, -1);
  g_hash_table_remove (o->active, &w->request.id);
  if (how == MM_END_NOT_RUN && !w->rejected_run)
    requeue_or_return (w, name, why);
  else
    mm_owner_finish (w, how, name, run, ran_ms, why);
}

static void
on_capacity_freed (void *ctx, mm_exec *x)
{
  mm_owned_upstream *owned = ctx;
  mm_owner_start_waiting (owned->owner);
}

static void
owned_upstream_free (gpointer p)
{
  mm_owned_upstream *owned = p;
  mm_exec_destroy (owned->exec);
  g_free (owned);
}

/* A refused start or a stalled task counts as a failure in the breaker.  */
static void
on_unhealthy (void *ctx, mm_exec *x)
{
  update_breaker (ctx, mm_exec_info (x)->name, false, mm_clock_now_ms ());
}

/* A task whose start was rejected is returned to its submitter, which decides
   whether it is tried again.  */
static void
on_start_rejected (void *ctx, mm_exec *x, void *work, uint32_t run,
                   const char *reason)
{
  mm_work *w = work;
  w->rejected_run = run;
  mm_metrics_count (MM_CT_STARTS_REJECTED);
  mm_log_event (MM_EV_TASK_REJECTED, MM_TASK (&w->request.id),
                MM_TEXT (mm_exec_info (x)->name), MM_INT (run),
                MM_TEXT (reason));
}

/* Requests a run of a previous owner from the other owners.  */
static bool
on_found (void *ctx, mm_exec *x, const mm_task_id *task, uint32_t run)
{
  mm_owner *o = ((mm_owned_upstream *)ctx)->owner;
  if (!o->transfer_port.found)
    return false;
  mm_found_run r = { .upstream = mm_exec_info (x)->name,
                     .task = *task,
                     .run = run,
                     .fence = mm_exec_fence (x) };
  o->transfer_port.found (o->transfer_port.ctx, &r);
  return true;
}

/* Another owner has the upstream: its tasks here become orphans.  */
static void
on_fenced (void *ctx, mm_exec *x)
{
  mm_owned_upstream *owned = ctx;
  if (!owned->fenced_ms)
    owned->fenced_ms = mm_clock_now_ms ();
  if (!owned->released)
    {
      mm_metrics_count (MM_CT_FENCED);
      mm_log_event (MM_EV_UPSTREAM_FENCED, MM_TEXT (mm_exec_info (x)->name),
                    MM_INT (mm_exec_fence (x)));
    }
  mm_owner_drop_offers (owned->owner, owned, "fenced");
  mm_owner_orphan_all (owned->owner, owned, "fenced");
}

/**
 * mm_owner_create() - create an owner without upstreams.
 * @port: the calls that reach upstreams; copied.
 *
 * Return: the owner; free with mm_owner_destroy().
 */
mm_owner *
mm_owner_create (const mm_exec_port *port)
{
  mm_owner *o = g_new0 (mm_owner, 1);
  o->port = *port;
  o->owned_upstreams = g_hash_table_new_full (g_str_hash, g_str_equal, g_free,
                                              owned_upstream_free);
  o->waiting = g_queue_new ();
  o->offers = g_queue_new ();
  o->active = g_hash_table_new (mm_task_id_hash, mm_task_id_equal);
  o->orphans = g_hash_table_new (mm_task_id_hash, mm_task_id_equal);
  o->transferred = g_hash_table_new (NULL, NULL);
  o->in_doubt = g_hash_table_new_full (mm_task_id_hash, mm_task_id_equal,
                                       g_free, g_free);
  o->raised_fences
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  o->evacuated
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  return o;
}

void
mm_owner_set_uplink_mbps (mm_owner *o, double mbps)
{
  o->common.uplink.bits_per_ms = mbps * 1000;
}

void
mm_owner_set_overload_control (mm_owner *o, bool on)
{
  mm_overload_destroy (o->overload);
  o->overload = on ? mm_overload_create () : NULL;
}

void
mm_owner_record_sent (mm_owner *o, size_t bytes)
{
  mm_uplink_record_sent (&o->common.uplink, bytes, mm_clock_now_ms ());
}

void
mm_owner_set_gained (mm_owner *o, mm_owner_gained gained, void *ctx)
{
  o->gained = gained;
  o->gained_ctx = ctx;
}

void
mm_owner_set_list_age (mm_owner *o, const mm_exec_list_age *v)
{
  o->common.list_age = *v;
}

void
mm_owner_destroy (mm_owner *o)
{
  if (!o)
    return;
  o->destroyed = true;
  GHashTableIter it;
  gpointer v;
  g_hash_table_iter_init (&it, o->active);
  while (g_hash_table_iter_next (&it, NULL, &v))
    mm_owner_free_work (v);
  g_queue_free_full (o->waiting, (GDestroyNotify)mm_owner_free_work);
  g_queue_free_full (o->offers, (GDestroyNotify)mm_owner_free_work);
  mm_owner_destroy_transfers (o);
  g_hash_table_destroy (o->owned_upstreams);
  g_hash_table_destroy (o->active);
  g_hash_table_destroy (o->evacuated);
  g_hash_table_destroy (o->raised_fences);
  mm_overload_destroy (o->overload);
  g_free (o);
}

/**
 * mm_owner_add_upstream() - start to own an upstream.
 * @o: the owner.
 * @u: the upstream; copied.
 * @fence: this instance's fencing token there.
 *
 * If the upstream is owned already, a higher token than before begins a new
 * session; otherwise a handover that has begun is cancelled.
 */
void
mm_owner_add_upstream (mm_owner *o, const mm_upstream_info *u, uint64_t fence)
{
  mm_owned_upstream *owned = g_hash_table_lookup (o->owned_upstreams, u->name);
  if (owned && mm_exec_fence (owned->exec) >= fence)
    {
      mm_owner_resume (owned);
      mm_owner_start_waiting (o);
      return;
    }
  if (owned)
    mm_owner_close_session (owned);
  owned = g_new0 (mm_owned_upstream, 1);
  owned->owner = o;
  mm_exec_events ev = { .run_ended = on_ended,
                        .detached_run_ended = mm_owner_on_detached_ended,
                        .capacity_freed = on_capacity_freed,
                        .upstream_unhealthy = on_unhealthy,
                        .start_rejected = on_start_rejected,
                        .foreign_run_found = on_found,
                        .fenced = on_fenced,
                        .upstream_lost = mm_owner_on_upstream_lost,
                        .upstream_back = mm_owner_on_upstream_back,
                        .ctx = owned };
  owned->assigned_fence = fence;
  owned->exec = mm_exec_create (u, mm_owner_session_fence (o, u->name, fence),
                                &o->port, &o->common, &ev);
  g_hash_table_insert (o->owned_upstreams, g_strdup (u->name), owned);
}

void
mm_owner_update_upstream (mm_owner *o, const mm_upstream_info *u)
{
  mm_owned_upstream *owned = g_hash_table_lookup (o->owned_upstreams, u->name);
  if (owned)
    {
      mm_exec_update (owned->exec, u);
      mm_owner_check_offers (o);
    }
  if (o->suspects)
    mm_suspects_listed (o->suspects, u);
}

void
mm_owner_close_session (mm_owned_upstream *owned)
{
  mm_owner *o = owned->owner;
  /* The next owner does not know what ran there if it has crashed.  The
     upstream of a fenced session is in touch with its next owner.  */
  if (mm_exec_unresponsive_since_ms (owned->exec)
      && !mm_exec_fenced (owned->exec))
    mm_owner_on_upstream_lost (owned, owned->exec, false);
  mm_owner_keep_raised_fence (owned);
  owned->removed = true;
  mm_owner_drop_offers (o, owned, "upstream handed over or gone");
  mm_owner_orphan_all (o, owned, "upstream handed over or gone");
  g_hash_table_remove (o->owned_upstreams, mm_exec_info (owned->exec)->name);
}

void
mm_owner_remove_upstream (mm_owner *o, const char *upstream)
{
  mm_owned_upstream *owned
      = g_hash_table_lookup (o->owned_upstreams, upstream);
  if (owned && !mm_owner_linger (owned))
    mm_owner_close_session (owned);
}

void
mm_owner_cancel_handover (mm_owner *o, const char *upstream)
{
  mm_owned_upstream *owned
      = g_hash_table_lookup (o->owned_upstreams, upstream);
  /* A session that lingers is resumed by mm_owner_add_upstream(), with the
     higher fencing token that another assignment of the upstream has.  */
  if (!owned || !owned->handing_over || owned->lingering)
    return;
  mm_owner_resume (owned);
  mm_owner_start_waiting (o);
}

GList *
mm_owner_upstream_names (const mm_owner *o)
{
  return g_hash_table_get_keys (o->owned_upstreams);
}

bool
mm_owner_idle (const mm_owner *o, const char *upstream)
{
  mm_owned_upstream *owned
      = g_hash_table_lookup (o->owned_upstreams, upstream);
  return !owned || (owned->handing_over && mm_exec_idle (owned->exec));
}

/* Describes @owned as a candidate for @w to the placement.  */
static mm_placement_candidate
candidate (mm_owned_upstream *owned, const mm_work *w, mm_time_ms now)
{
  const mm_upstream_info *u = mm_exec_info (owned->exec);
  mm_placement_candidate c = { .free_capacity = mm_owner_free_capacity (owned),
                               .slowness = mm_exec_slowness (owned->exec) };
  size_t runs = mm_owner_count_used_slots (owned);
  c.contention = mm_owner_contention (owned, w);
  c.near_data = w->request.data_label
                && mm_upstream_info_has_label (u, w->request.data_label);
  c.allowed = mm_owner_ends_before_handover (
                  owned, (double)w->request.estimate_ms, now)
              && mm_exec_accepts (owned->exec, &w->request)
              && mm_owner_suspect_allowed (owned, w)
              && strcmp (u->service, w->request.service) == 0
              && mm_upstream_info_has_label (u, w->request.label)
              && (!w->request.avoid_upstream
                  || strcmp (u->name, w->request.avoid_upstream) != 0)
              && (u->slots == 0 || runs < (size_t)u->slots)
              && mm_breaker_allows (&owned->breaker, runs, now);
  return c;
}

/* Records the start of a waiting task for overload control.  */
static void
record_delay (mm_owner *o, const mm_work *w, mm_time_ms now)
{
  mm_time_ms wait_ms = mm_owner_wait_ms (w, now);
  mm_overload_record_start (o->overload, w->request.service,
                            w->request.priority, wait_ms, now);
  if (wait_ms != MM_OVERLOAD_WAIT_UNKNOWN)
    mm_metrics_time (MM_HG_OVERLOAD_WAIT, wait_ms);
}

bool
mm_owner_accepts (mm_owned_upstream *owned, const mm_work *w, mm_time_ms now)
{
  mm_placement_candidate c = candidate (owned, w, now);
  return c.allowed
         && mm_resources_fit (&w->request.resources, &c.free_capacity);
}

/* Returns the upstream where @w fits best, NULL if there is none.  */
static mm_owned_upstream *
choose_upstream (const mm_owner *o, const mm_work *w, mm_time_ms now)
{
  guint n = g_hash_table_size (o->owned_upstreams);
  if (n == 0 || mm_owner_has_earlier_run (o, &w->request.id))
    return NULL;
  mm_placement_candidate *c = g_new (mm_placement_candidate, n);
  mm_owned_upstream **candidates = g_new (mm_owned_upstream *, n);
  GHashTableIter it;
  gpointer v;
  size_t i = 0;
  g_hash_table_iter_init (&it, o->owned_upstreams);
  while (g_hash_table_iter_next (&it, NULL, &v))
    {
      candidates[i] = v;
      c[i++] = candidate (v, w, now);
    }
  int best = mm_placement_choose (c, n, &w->request.resources);
  mm_owned_upstream *owned = best >= 0 ? candidates[best] : NULL;
  g_free (c);
  g_free (candidates);
  return owned;
}

void
mm_owner_start (mm_owner *o, mm_owned_upstream *owned, mm_work *w,
                mm_time_ms now)
{
  w->running_on = owned;
  g_hash_table_insert (o->active, &w->request.id, w);
  mm_owner_count_suspect (owned, w, 1);
  mm_metrics_count (MM_CT_TASKS_STARTED);
  /* A task that yields has waited for longer than others would.  */
  if (o->overload && !w->request.yields)
    record_delay (o, w, now);
  w->request.waited_ms += now - w->accepted_ms;
  mm_metrics_time (MM_HG_QUEUE_WAIT, now - w->accepted_ms);
  mm_exec_start (owned->exec, &w->request, w);
}

/* Starts @w on the upstream where it fits best, or sets capacity aside there
   for a reservation.  Returns whether there is such an upstream.  */
static bool
place_task (mm_owner *o, mm_work *w, mm_time_ms now)
{
  mm_owned_upstream *owned = choose_upstream (o, w, now);
  if (!owned)
    return false;
  if (w->reservation)
    mm_owner_set_aside (o, owned, w, now);
  else
    mm_owner_start (o, owned, w, now);
  return true;
}

static mm_work *
first_expired (mm_owner *o, mm_time_ms now)
{
  for (GList *l = o->waiting->head; l; l = l->next)
    if (now > ((mm_work *)l->data)->start_by_ms)
      return l->data;
  return NULL;
}

/* Returns tasks that waited too long as not run.  The queue is searched from
   its head for each of them, because the callback of one task may cancel
   others.  */
static void
expire_waiting (mm_owner *o, mm_time_ms now)
{
  mm_work *w;
  while ((w = first_expired (o, now)))
    {
      g_queue_remove (o->waiting, w);
      mm_owner_finish (w, MM_END_NOT_RUN, NULL, 0, 0, "waited too long");
    }
}

void
mm_owner_return_waiting (mm_owner *o, mm_work *w)
{
  if (g_queue_remove (o->waiting, w))
    mm_owner_finish (w, MM_END_NOT_RUN, NULL, 0, 0, "no free capacity");
}

static bool
work_yields (const void *w)
{
  return ((const mm_work *)w)->request.yields;
}

static bool
start_work (void *ctx, void *w)
{
  return place_task (ctx, w, mm_clock_now_ms ());
}

/* Starts waiting tasks that fit.  A call from a callback of the pass that is
   running makes another pass follow.  */
void
mm_owner_start_waiting (mm_owner *o)
{
  if (o->destroyed)
    return;
  o->start_again = true;
  if (o->starting)
    return;
  mm_start_port port
      = { .yields = work_yields, .start = start_work, .ctx = o };
  o->starting = true;
  while (o->start_again)
    {
      o->start_again = false;
      mm_start_pass (&o->start_turns, o->waiting, &port);
      mm_owner_send_offers (o);
    }
  o->starting = false;
}

mm_work *
mm_owner_create_work (mm_owner *o, const mm_task_request *t, mm_work_done done,
                      void *ctx)
{
  mm_work *w = g_new0 (mm_work, 1);
  w->owner = o;
  w->request = *t;
  w->request.service = g_strdup (t->service);
  w->request.payload = g_strdup (t->payload);
  w->request.label = g_strdup (t->label);
  w->request.data_label = g_strdup (t->data_label);
  w->request.avoid_upstream = g_strdup (t->avoid_upstream);
  w->request.running_at = g_strdup (t->running_at);
  w->accepted_ms = mm_clock_now_ms ();
  w->waited_ms = t->waited_ms;
  w->start_by_ms = w->accepted_ms + t->start_within_ms;
  w->due_ms = w->accepted_ms + t->due_within_ms;
  w->arrival = ++o->last_arrival;
  w->done = done;
  w->ctx = ctx;
  if (!t->awaited_ms && o->input_read_ms)
    w->request.awaited_ms = &o->input_read_ms;
  return w;
}

void
mm_owner_record_size (mm_owner *o, const mm_task_request *t)
{
  update_average (&o->average_cpu_milli, (double)t->resources.cpu_milli);
  update_average (&o->average_run_ms, (double)t->estimate_ms);
}

/**
 * mm_owner_submit() - queue a task until there is free capacity for it.
 * @o: the owner.
 * @t: the task; copied.
 * @done: called once with the outcome, after this function has returned,
 *        unless the task is cancelled before.
 * @ctx: for @done.
 *
 * Return: a handle for mm_owner_cancel(), valid until @done.
 */
mm_work *
mm_owner_submit (mm_owner *o, const mm_task_request *t, mm_work_done done,
                 void *ctx)
{
  mm_work *w = mm_owner_create_work (o, t, done, ctx);
  mm_owner_record_size (o, t);
  if (t->running_at)
    {
      mm_owner_adopt (o, w);
      return w;
    }
  mm_owner_enqueue (o, w);
  mm_owner_start_waiting (o);
  return w;
}

/**
 * mm_owner_cancel() - cancel a task whose submitter waits no longer.
 * @o: the owner.
 * @w: the task's handle; not valid after this call.
 *
 * The task's @done is not called.  A task that runs here is stopped, one that
 * waits is removed from the queue.
 */
void
mm_owner_cancel (mm_owner *o, mm_work *w)
{
  if (mm_owner_cancel_transfer (o, w))
    return;
  w->cancelled = true;
  w->request.awaited_ms = NULL;
  if (w->running_on)
    {
      mm_exec_stop (w->running_on->exec, w);
      return;
    }
  if (!mm_owner_free_offer (o, w))
    g_queue_remove (o->waiting, w);
  mm_owner_free_work (w);
}

void
mm_owner_set_confirmed (mm_owner *o, bool confirmed)
{
  o->confirmed = confirmed;
}

void
mm_owner_set_input_read (mm_owner *o, mm_time_ms until_ms)
{
  o->input_read_ms = until_ms;
}

mm_time_ms
mm_owner_input_read_ms (const mm_owner *o)
{
  return o->input_read_ms ? o->input_read_ms : mm_clock_now_ms ();
}

/* Drops ends that were not acknowledged for MM_UNACKED_END_TTL_MS, so that
   they do not accumulate at the upstreams.  */
static void
drop_expired_ends (mm_exec *x, mm_time_ms now)
{
  size_t n;
  const mm_unacked_end *unacked = mm_exec_unacked_ends (x, &n);
  for (size_t i = n; i-- > 0;)
    if (now - unacked[i].first_seen_ms >= MM_UNACKED_END_TTL_MS)
      mm_exec_ack_end (x, i);
}

void
mm_owner_tick (mm_owner *o)
{
  mm_time_ms now = mm_clock_now_ms ();
  expire_waiting (o, now);
  mm_owner_tick_offers (o, now);
  mm_owner_return_evacuated (o);
  mm_owner_log_evacuations (o, now);
  mm_owner_tick_adoption (o, now);
  GList *all = g_hash_table_get_values (o->owned_upstreams);
  for (GList *l = all; l; l = l->next)
    {
      mm_exec *x = ((mm_owned_upstream *)l->data)->exec;
      drop_expired_ends (x, now);
      mm_exec_tick (x);
    }
  g_list_free (all);
  mm_owner_end_lingering (o, now);
  if (o->waiting->length)
    mm_owner_start_waiting (o);
}
