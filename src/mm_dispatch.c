/* mm_dispatch: chooses the nearest owner with free capacity, or the one with
   the shortest queue if none has any.

   Traffic stays inside a data centre while there is free capacity.  A data
   centre that receives more tasks than its upstreams have capacity for sends
   the rest to other data centres.  */
#include "mm_dispatch.h"

/* Returns the waiting tasks per place, with one more task.  */
static double
queue_length (const mm_capacity_report *r)
{
  return ((double)r->waiting + 1.0) / (double)r->places;
}

/* Returns whether @a is preferred to @b.  */
static bool
is_better (const mm_dispatch_candidate *a, const mm_dispatch_candidate *b)
{
  bool a_free = a->capacity.free > 0, b_free = b->capacity.free > 0;
  if (a_free != b_free)
    return a_free;
  if (!a_free)
    return queue_length (&a->capacity) < queue_length (&b->capacity);
  /* An owner that returned the task cannot use its free capacity for it: the
     capacity is on an upstream that the task avoids, or too small.  */
  if (a->returned_task != b->returned_task)
    return b->returned_task;
  if (a->near != b->near)
    return a->near < b->near;
  return a->capacity.free > b->capacity.free;
}

int
mm_dispatch_choose (const mm_dispatch_candidate *c, size_t n)
{
  int best = -1;
  for (size_t i = 0; i < n; i++)
    if (c[i].capacity.places > 0 && (best < 0 || is_better (&c[i], &c[best])))
      best = (int)i;
  return best;
}
