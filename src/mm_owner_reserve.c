/* mm_owner_reserve: reservations, which are offered before their tasks start.

   A reservation waits in the owner's queue like a task.  When it would be
   placed, its resources are set aside at that upstream and it is offered to
   its submitter, which accepts one of the offers for its task.  Capacity is
   set aside for MM_OFFER_MS at most, so that a submitter that is gone or
   stands still does not keep it from others.  */
#include "mm_owner_priv.h"

#include "config.h"
#include "mm_event.h"
#include "mm_metrics.h"

mm_resources
mm_owner_free_capacity (const mm_owned_upstream *owned)
{
  mm_resources free_capacity = mm_exec_free_capacity (owned->exec);
  mm_resources_sub (&free_capacity, &owned->set_aside);
  return free_capacity;
}

size_t
mm_owner_count_used_slots (const mm_owned_upstream *owned)
{
  return mm_exec_count_runs (owned->exec) + owned->n_set_aside;
}

double
mm_owner_waiting_weight (const mm_work *w)
{
  return w->reservation ? 1.0 / MAX (w->reservation->copies, 1) : 1.0;
}

/* Frees the capacity set aside for @w, which is in no queue afterwards.  */
static void
free_capacity (mm_owner *o, mm_work *w)
{
  mm_owned_upstream *owned = w->reservation->set_aside_at;
  mm_resources_sub (&owned->set_aside, &w->request.resources);
  owned->n_set_aside--;
  w->reservation->set_aside_at = NULL;
  g_queue_remove (o->offers, w);
}

bool
mm_owner_free_offer (mm_owner *o, mm_work *w)
{
  if (!w->reservation || !w->reservation->set_aside_at)
    return false;
  free_capacity (o, w);
  return true;
}

/* The end of an offer does not change when its capacity is dropped and set
   aside elsewhere: the submitter knows of one offer only.  */
void
mm_owner_set_aside (mm_owner *o, mm_owned_upstream *owned, mm_work *w,
                    mm_time_ms now)
{
  mm_owner_reservation *r = w->reservation;
  r->set_aside_at = owned;
  mm_resources_add (&owned->set_aside, &w->request.resources);
  owned->n_set_aside++;
  g_queue_push_tail (o->offers, w);
  if (r->end_ms)
    return;
  r->end_ms = now + MM_OFFER_MS;
  mm_metrics_count (MM_CT_OFFERS);
  mm_log_event (MM_EV_TASK_OFFERED, MM_TASK (&w->request.id),
                MM_TEXT (mm_exec_info (owned->exec)->name),
                MM_INT (now - w->accepted_ms), MM_INT (r->copies));
}

static mm_work *
first_unsent (const mm_owner *o)
{
  for (GList *l = o->offers->head; l; l = l->next)
    if (((mm_work *)l->data)->reservation->offered)
      return l->data;
  return NULL;
}

/* The offers are searched from their head for each one, because the callback
   accepts the offer or may cancel others.  */
void
mm_owner_send_offers (mm_owner *o)
{
  mm_work *w;
  while ((w = first_unsent (o)))
    {
      mm_work_offered offered = w->reservation->offered;
      w->reservation->offered = NULL;
      offered (w->reservation->ctx);
    }
}

static void
log_dropped (const mm_work *w, const char *upstream, const char *why)
{
  const mm_owner_reservation *r = w->reservation;
  mm_log_event (
      MM_EV_TASK_OFFER_DROPPED, MM_TASK (&w->request.id), MM_TEXT (upstream),
      MM_INT (mm_clock_now_ms () - r->end_ms + MM_OFFER_MS), MM_TEXT (why));
}

/* Frees the capacity set aside for @w and queues @w again, until the end of
   its offer.  */
static void
drop (mm_owner *o, mm_work *w, const char *why)
{
  log_dropped (w, mm_exec_info (w->reservation->set_aside_at->exec)->name,
               why);
  free_capacity (o, w);
  w->start_by_ms = w->reservation->end_ms;
  mm_owner_enqueue (o, w);
}

void
mm_owner_drop_offers (mm_owner *o, const mm_owned_upstream *owned,
                      const char *why)
{
  GList *next;
  for (GList *l = o->offers->head; l; l = next)
    {
      mm_work *w = l->data;
      next = l->next;
      if (w->reservation->set_aside_at == owned)
        drop (o, w, why);
    }
}

/* Returns whether a task could start where its capacity is set aside, apart
   from that capacity itself.  */
static bool
is_valid (const mm_work *w, mm_time_ms now)
{
  mm_owned_upstream *owned = w->reservation->set_aside_at;
  mm_resources_sub (&owned->set_aside, &w->request.resources);
  owned->n_set_aside--;
  bool valid = mm_owner_accepts (owned, w, now)
               && !mm_owner_has_earlier_run (w->owner, &w->request.id);
  mm_resources_add (&owned->set_aside, &w->request.resources);
  owned->n_set_aside++;
  return valid;
}

void
mm_owner_check_offers (mm_owner *o)
{
  mm_time_ms now = mm_clock_now_ms ();
  GList *next;
  for (GList *l = o->offers->head; l; l = next)
    {
      mm_work *w = l->data;
      next = l->next;
      if (!is_valid (w, now))
        drop (o, w, "upstream does not accept the task any more");
    }
}

static mm_work *
first_expired (const mm_owner *o, mm_time_ms now)
{
  for (GList *l = o->offers->head; l; l = l->next)
    if (now >= ((mm_work *)l->data)->reservation->end_ms)
      return l->data;
  return NULL;
}

void
mm_owner_tick_offers (mm_owner *o, mm_time_ms now)
{
  mm_work *w;
  while ((w = first_expired (o, now)))
    {
      static const char why[] = "offer not accepted in time";
      mm_metrics_count (MM_CT_OFFERS_EXPIRED);
      log_dropped (w, mm_exec_info (w->reservation->set_aside_at->exec)->name,
                   why);
      free_capacity (o, w);
      mm_owner_finish (w, MM_END_NOT_RUN, NULL, 0, 0, why);
    }
  mm_owner_check_offers (o);
}

/**
 * mm_owner_reserve() - queue a reservation for a task.
 * @o: the owner.
 * @t: the task; copied.  Its payload comes with mm_owner_accept().
 * @copies: number of owners at which the task has reservations.
 * @offered: called once capacity is set aside for the task, which may be
 *           before this function returns.
 * @done: called once with the outcome, after this function has returned,
 *        unless the reservation is cancelled before.
 * @ctx: for @offered and @done.
 *
 * Capacity is not set aside while the task has an earlier run here.
 *
 * Return: a handle for mm_owner_accept() and mm_owner_cancel(), valid until
 * @done.
 */
mm_work *
mm_owner_reserve (mm_owner *o, const mm_task_request *t, uint32_t copies,
                  mm_work_offered offered, mm_work_done done, void *ctx)
{
  mm_work *w = mm_owner_create_work (o, t, done, ctx);
  g_clear_pointer ((char **)&w->request.payload, g_free);
  w->reservation = g_new0 (mm_owner_reservation, 1);
  w->reservation->copies = copies;
  w->reservation->offered = offered;
  w->reservation->ctx = ctx;
  mm_owner_enqueue (o, w);
  mm_owner_start_waiting (o);
  return w;
}

/**
 * mm_owner_accept() - bind the task of a reservation to this owner.
 * @o: the owner.
 * @w: the reservation; from now on a task like those of mm_owner_submit().
 * @payload: the task's payload; copied.
 *
 * The task is started on the capacity that is set aside for it.  When that
 * was dropped, or the upstream does not accept the task any more, the task
 * waits for MM_OWNER_WAIT_MS.  Does nothing if @w is no reservation.
 */
void
mm_owner_accept (mm_owner *o, mm_work *w, const char *payload)
{
  if (!w->reservation)
    return;
  mm_time_ms now = mm_clock_now_ms ();
  mm_owned_upstream *owned = w->reservation->set_aside_at;
  if (owned && !is_valid (w, now))
    {
      drop (o, w, "upstream does not accept the task any more");
      owned = NULL;
    }
  if (owned)
    free_capacity (o, w);
  g_clear_pointer (&w->reservation, g_free);
  w->request.payload = g_strdup (payload);
  w->start_by_ms = now + MM_OWNER_WAIT_MS;
  mm_owner_record_size (o, &w->request);
  if (owned)
    mm_owner_start (o, owned, w, now);
  else
    mm_owner_start_waiting (o);
}

/* mm_owner_cancel() itself starts nothing: after a stall it is called for
   tasks whose submitters may have gone elsewhere.  */
void
mm_owner_withdraw (mm_owner *o, mm_work *w)
{
  bool is_offer = w->reservation && w->reservation->set_aside_at;
  mm_owner_cancel (o, w);
  if (is_offer)
    mm_owner_start_waiting (o);
}

mm_owner_reservations
mm_owner_count_reservations (const mm_owner *o)
{
  mm_owner_reservations n = { .offers = o->offers->length };
  for (GList *l = o->waiting->head; l; l = l->next)
    n.waiting += ((mm_work *)l->data)->reservation != NULL;
  return n;
}
