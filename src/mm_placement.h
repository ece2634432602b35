/* mm_placement: chooses the upstream to which a task is sent.  */
#ifndef MM_PLACEMENT_H
#define MM_PLACEMENT_H

#include "mm_task.h"

/* An upstream to which a task may be sent.  */
typedef struct
{
  mm_resources free_capacity;
  /* The task may start there if it fits: the upstream is usable and has the
     right service and label, and its circuit breaker allows it.  */
  bool allowed;
  double slowness;     /* observed run time / estimate, 1: as estimated */
  uint32_t contention; /* weight of the runs beside it: less is better */
  bool near_data;      /* in the rack that holds the task's data */
} mm_placement_candidate;

/* Returns the index of the best of @n candidates for a task that requires
   @required, -1 when it may start on none.  */
int mm_placement_choose (const mm_placement_candidate *c, size_t n,
                         const mm_resources *required);

#endif /* MM_PLACEMENT_H */
