/* mm_placement: prefers the least contention between suspect and other tasks,
   then upstreams near the task's data, then the fastest, then the tightest
   fit.

   A job ends with its last task, so one slow upstream delays the whole job:
   speed takes precedence over packing.  Slowness is only known roughly, so
   values within a step of MM_PLACEMENT_SPEED_STEP count as equal.  Among these
   the tightest fit leaves large free capacities for large tasks.  */
#include "mm_placement.h"

#include "config.h"

#include <math.h>

/* Returns whether @a is preferred to @b.  */
static bool
is_better (const mm_placement_candidate *a, const mm_placement_candidate *b)
{
  if (a->contention != b->contention)
    return a->contention < b->contention;
  if (MM_WITH_NEAR_DATA && a->near_data != b->near_data)
    return a->near_data;
  double step_a = floor (a->slowness / MM_PLACEMENT_SPEED_STEP);
  double step_b = floor (b->slowness / MM_PLACEMENT_SPEED_STEP);
  if (MM_WITH_SPEED && step_a != step_b)
    return step_a < step_b;
  return MM_WITH_TIGHT_FIT
         && a->free_capacity.cpu_milli < b->free_capacity.cpu_milli;
}

int
mm_placement_choose (const mm_placement_candidate *c, size_t n,
                     const mm_resources *required)
{
  int best = -1;
  for (size_t i = 0; i < n; i++)
    if (c[i].allowed && mm_resources_fit (required, &c[i].free_capacity)
        && (best < 0 || is_better (&c[i], &c[best])))
      best = (int)i;
  return best;
}
