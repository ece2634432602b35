/* mm_reservation_set: binds a task to the first owner that offers capacity. */
#include "mm_reservation_set.h"

#include "config.h"
#include "mm_event.h"
#include "mm_metrics.h"

#include <string.h>

/* A reservation at one owner.  */
typedef struct
{
  mm_reservation_set *set;
  char *owner;  /* NULL: this instance */
  void *handle; /* NULL once it has ended or is cancelled */
} reservation;

struct mm_reservation_set
{
  mm_reservation_port port;
  mm_task_id task;
  char *payload;
  reservation reservations[MM_RESERVATIONS_MAX];
  size_t n;              /* reservations made */
  size_t n_open;         /* of these, not ended and not cancelled */
  bool created;          /* mm_reservation_set_create() has returned */
  reservation *accepted; /* the one whose offer came first, or NULL */
  mm_time_ms made_ms;
  mm_work_done done;
  void *ctx;
};

static void
cancel_open (mm_reservation_set *s, const reservation *except)
{
  for (size_t i = 0; i < s->n; i++)
    {
      reservation *r = &s->reservations[i];
      if (r == except || !r->handle)
        continue;
      s->n_open--;
      s->port.cancel (s->port.ctx, r->owner, g_steal_pointer (&r->handle));
    }
}

/* Accepts the offer that came first.  */
static void
accept_offer (mm_reservation_set *s)
{
  reservation *r = s->accepted;
  mm_time_ms waited_ms = mm_clock_now_ms () - s->made_ms;
  mm_metrics_count (MM_CT_OFFERS_ACCEPTED);
  mm_metrics_time (MM_HG_RESERVATION, waited_ms);
  mm_log_event (MM_EV_TASK_OFFER_ACCEPTED, MM_TASK (&s->task),
                MM_TEXT (r->owner ? r->owner : "self"), MM_INT (waited_ms),
                MM_INT (s->n_open - 1));
  s->port.accept (s->port.ctx, r->owner, r->handle, s->payload);
  cancel_open (s, r);
}

/* An offer that is made while reservations are still being made is accepted
   after that, as its handle is not known before.  */
static void
on_offered (void *ctx)
{
  reservation *r = ctx;
  mm_reservation_set *s = r->set;
  if (s->accepted)
    return;
  s->accepted = r;
  if (s->created)
    accept_offer (s);
}

/* Reports the end of the accepted reservation.  That all others have ended is
   reported at the next tick: after a stall, links close, and no task may be
   dispatched again before its job is abandoned.  */
static void
on_done (void *ctx, const mm_work_result *result)
{
  reservation *r = ctx;
  mm_reservation_set *s = r->set;
  r->handle = NULL;
  s->n_open--;
  if (s->accepted == r)
    s->done (s->ctx, result);
}

mm_reservation_set *
mm_reservation_set_create (const mm_reservation_port *port,
                           const mm_task_request *t, const char *const *owners,
                           size_t n, mm_work_done done, void *ctx)
{
  mm_reservation_set *s = g_new0 (mm_reservation_set, 1);
  s->port = *port;
  s->task = t->id;
  s->payload = g_strdup (t->payload);
  s->made_ms = mm_clock_now_ms ();
  s->done = done;
  s->ctx = ctx;
  n = MIN (n, MM_RESERVATIONS_MAX);
  for (size_t i = 0; i < n && !s->accepted; i++)
    {
      reservation *r = &s->reservations[s->n];
      *r = (reservation){ .set = s, .owner = g_strdup (owners[i]) };
      s->n++;
      s->n_open++;
      r->handle = port->reserve (port->ctx, owners[i], t, (uint32_t)n,
                                 on_offered, on_done, r);
      if (r->handle)
        mm_metrics_count (MM_CT_RESERVATIONS);
      else
        s->n_open--;
    }
  s->created = true;
  if (s->accepted)
    accept_offer (s);
  if (s->n_open == 0)
    {
      mm_reservation_set_destroy (s);
      return NULL;
    }
  return s;
}

void
mm_reservation_set_destroy (mm_reservation_set *s)
{
  if (!s)
    return;
  cancel_open (s, NULL);
  for (size_t i = 0; i < s->n; i++)
    g_free (s->reservations[i].owner);
  g_free (s->payload);
  g_free (s);
}

bool
mm_reservation_set_accepted (const mm_reservation_set *s)
{
  return s->accepted != NULL;
}

bool
mm_reservation_set_is_due (const mm_reservation_set *s, mm_time_ms now)
{
  return !s->accepted
         && (s->n_open == 0 || now - s->made_ms >= MM_RESERVATION_MS);
}

void
mm_reservation_set_expire (mm_reservation_set *s)
{
  mm_work_result result = { .how = MM_END_NOT_RUN,
                            .why = s->n_open ? "no capacity offered in time"
                                             : "all reservations have ended" };
  cancel_open (s, NULL);
  s->done (s->ctx, &result);
}
