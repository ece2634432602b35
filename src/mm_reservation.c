/* mm_reservation: chooses the owners at which a task reserves.  */
#include "mm_reservation.h"

/* Returns the waiting tasks per place.  */
static double
queue_length (const mm_capacity_report *r)
{
  return (double)r->waiting / (double)r->places;
}

/* Returns whether @a is preferred to @b.  */
static bool
is_better (const mm_dispatch_candidate *a, const mm_dispatch_candidate *b)
{
  if (a->near != b->near)
    return a->near < b->near;
  double length_a = queue_length (&a->capacity);
  double length_b = queue_length (&b->capacity);
  if (length_a != length_b)
    return length_a < length_b;
  return !a->returned_task && b->returned_task;
}

size_t
mm_reservation_choose (const mm_dispatch_candidate *c, size_t n, size_t max,
                       size_t *chosen)
{
  size_t n_chosen = 0;
  for (size_t i = 0; i < n; i++)
    {
      if (c[i].capacity.places == 0)
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
