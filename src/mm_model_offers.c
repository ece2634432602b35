/* mm_model_offers: capacity that owners set aside for reservations.  */
#include "mm_model_priv.h"

void
mm_model_offer (model *m, work *w)
{
  w->state = WORK_OFFERED;
  w->offered_ms = m->now_ms;
  m->results[w->task->job->kind].offers++;
  mm_model_push_work_event (m, EVENT_OFFER, w,
                            m->now_ms + mm_model_link_ms (m, w));
  mm_model_push_work_event (m, EVENT_OFFER_END, w, m->now_ms + MM_OFFER_MS);
}

static void
record_set_aside (model *m, const work *w)
{
  m->results[w->task->job->kind].set_aside_milli_ms
      += (m->now_ms - w->offered_ms) * (double)w->task->cpu_milli;
}

/* Frees the capacity that is set aside.  */
static void
release (model *m, work *w)
{
  record_set_aside (m, w);
  w->on->free_milli += w->task->cpu_milli;
  mm_model_update_upstream (m, w->on);
  w->on = NULL;
}

void
mm_model_on_accept (model *m, work *w)
{
  if (w->state != WORK_OFFERED)
    return;
  if (!mm_model_is_lost (m, w->on))
    {
      record_set_aside (m, w);
      mm_model_start (m, w);
      return;
    }
  release (m, w);
  w->is_reservation = false;
  w->copies = 1;
  mm_model_enqueue (m, w);
  mm_model_push_work_event (m, EVENT_EXPIRE, w,
                            m->now_ms + m->load->owner_wait_ms);
}

void
mm_model_on_cancel (model *m, work *w)
{
  instance *n = w->owner;
  if (w->state == WORK_WAITING)
    mm_model_cancel_waiting (m, w);
  else if (w->state == WORK_OFFERED)
    {
      release (m, w);
      mm_model_work_free (m, w);
      mm_model_start_waiting (m, n);
    }
}

void
mm_model_on_offer_end (model *m, work *w)
{
  if (w->state != WORK_OFFERED)
    return;
  release (m, w);
  w->state = WORK_ENDED;
  mm_model_push_work_event (m, EVENT_RETURN, w,
                            m->now_ms + mm_model_link_ms (m, w));
  mm_model_start_waiting (m, w->owner);
}
