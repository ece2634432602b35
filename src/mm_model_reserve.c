/* mm_model_reserve: reservations of tasks in the model, at their homes.  */
#include "mm_model_priv.h"

#include "mm_reservation.h"

/* Adds part of a waiting task to what is known of an owner, at level 0 as the
   priority is not known.  */
static void
add_known_waiting (neighbour *x, uint32_t copies)
{
  x->unseen_copies += 1.0 / copies;
  if (x->unseen_copies < 1)
    return;
  x->unseen_copies--;
  x->known.waiting++;
  x->known.waiting_by_priority[0]++;
  x->known.waiting_unseen++;
}

void
mm_model_reserve (model *m, task *t, const mm_dispatch_candidate *c, size_t n)
{
  instance *home = t->job->home;
  size_t chosen[MM_RESERVATIONS_MAX];
  size_t count
      = mm_reservation_choose (c, n, (size_t)m->load->reservations, chosen);
  for (size_t i = 0; i < count; i++)
    {
      neighbour *x = chosen[i] ? home->neighbours->pdata[chosen[i] - 1] : NULL;
      work *w = mm_model_work_new (m, t, x ? x->of : home);
      w->is_reservation = true;
      w->copies = (uint32_t)count;
      t->reservations[t->n_reservations++] = w;
      if (x && !w->yields)
        add_known_waiting (x, w->copies);
      m->results[t->job->kind].reserved++;
      mm_model_hand (m, w, m->now_ms + mm_model_link_ms (m, w));
    }
  mm_model_push_event (m, (event){ .at_ms = m->now_ms + MM_RESERVATION_MS,
                                   .kind = EVENT_RENEW,
                                   .generation = ++t->round,
                                   .task = t });
}

void
mm_model_cancel_reservations (model *m, task *t, const work *kept)
{
  for (uint32_t i = 0; i < t->n_reservations; i++)
    {
      work *w = t->reservations[i];
      if (w != kept)
        mm_model_push_work_event (m, EVENT_CANCEL, w,
                                  m->now_ms + mm_model_link_ms (m, w));
    }
  t->n_reservations = 0;
  t->round++;
}

bool
mm_model_forget_reservation (task *t, const work *w)
{
  for (uint32_t i = 0; i < t->n_reservations; i++)
    if (t->reservations[i] == w)
      {
        t->reservations[i] = t->reservations[--t->n_reservations];
        return true;
      }
  return false;
}

/* Accepts the first offer for a task.  Those for which a cancellation is under
   way are ignored.  */
void
mm_model_on_offer (model *m, work *w)
{
  task *t = w->task;
  if (!mm_model_forget_reservation (t, w))
    return;
  mm_model_cancel_reservations (m, t, w);
  t->bound = w;
  m->results[t->job->kind].handed++;
  mm_model_push_work_event (m, EVENT_ACCEPT, w,
                            m->now_ms + mm_model_link_ms (m, w));
}

void
mm_model_on_renew (model *m, task *t)
{
  mm_model_cancel_reservations (m, t, NULL);
  mm_model_on_again (m, t);
}
