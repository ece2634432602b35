/* mm_spread: nearest owner with room, else the shortest queue.

   Keeps traffic inside a data centre while it has room, and lets one with
   more callers than upstreams overflow into the others.  */
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
  /* Its room is not for this task: on an upstream to avoid, or too small.  */
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
