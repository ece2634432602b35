/* mm_dispatch: chooses the nearest owner with free capacity, or the one with
   the shortest queue if none has any.

   Traffic stays inside a data centre while there is free capacity; one with
   more callers than upstreams overflows into the others.  */
#include "mm_spread.h"

static double
queue_length (const mm_room_report *r)
{
  return ((double)r->waiting + 1.0) / (double)r->places;
}

static bool
better (const mm_spread_choice *a, const mm_spread_choice *b)
{
  bool a_free = a->room.free > 0, b_free = b->room.free > 0;
  if (a_free != b_free)
    return a_free;
  if (!a_free)
    return queue_length (&a->room) < queue_length (&b->room);
  /* An owner that returned the task cannot use its free capacity for it: the
     capacity is on an upstream that the task avoids, or too small.  */
  if (a->gave_back != b->gave_back)
    return b->gave_back;
  if (a->near != b->near)
    return a->near < b->near;
  return a->room.free > b->room.free;
}

int
mm_spread_choose (const mm_spread_choice *c, size_t n)
{
  int best = -1;
  for (size_t i = 0; i < n; i++)
    if (c[i].room.places > 0 && (best < 0 || better (&c[i], &c[best])))
      best = (int)i;
  return best;
}
