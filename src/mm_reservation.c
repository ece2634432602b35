/* mm_reservation: chooses the owners at which a task reserves.  */
#include "mm_reservation.h"

#include "config.h"

/* Returns how long a task is expected to wait at an owner, in ms, with what
   the distance to the owner costs.  */
static double
expected_delay_ms (const mm_dispatch_candidate *c)
{
  double waiting = (double)c->capacity.waiting / (double)c->capacity.places;
  double task_ms
      = c->capacity.task_ms ? c->capacity.task_ms : MM_TASK_ESTIMATE_MS;
  double distance_ms = c->near == MM_NEAR_FAR ? MM_RESERVATION_FAR_MS : 0;
  return waiting * task_ms + distance_ms;
}

/* Returns whether @a is preferred to @b.  */
static bool
is_better (const mm_dispatch_candidate *a, const mm_dispatch_candidate *b)
{
  double delay_a_ms = expected_delay_ms (a);
  double delay_b_ms = expected_delay_ms (b);
  if (delay_a_ms != delay_b_ms)
    return delay_a_ms < delay_b_ms;
  if (a->returned_task != b->returned_task)
    return b->returned_task;
  return a->near < b->near;
}

size_t
mm_reservation_choose (const mm_dispatch_candidate *c, size_t n, size_t max,
                       size_t *chosen)
{
  size_t n_chosen = 0;
  for (size_t i = 0; i < n; i++)
    {
      if (c[i].unsuited || c[i].capacity.places == 0)
        continue;
      size_t at = n_chosen;
      while (at > 0 && is_better (&c[i], &c[chosen[at - 1]]))
        at--;
      if (at == max)
        continue;
      n_chosen = MIN (n_chosen + 1, max);
      for (size_t k = n_chosen - 1; k > at; k--)
        chosen[k] = chosen[k - 1];
      chosen[at] = i;
    }
  return n_chosen;
}
