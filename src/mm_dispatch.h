/* mm_dispatch: which owner of upstreams a task is dispatched to.  */
#ifndef MM_DISPATCH_H
#define MM_DISPATCH_H

#include "mm_owner.h"

/* Distance of an owner from this instance.  */
typedef enum
{
  MM_NEAR_SELF,       /* this instance */
  MM_NEAR_DATACENTRE, /* another instance in the same data centre */
  MM_NEAR_FAR         /* an instance in another data centre */
} mm_nearness;

/* An owner that the task could be dispatched to.  */
typedef struct
{
  mm_nearness near;
  bool unsuited;      /* none of its upstreams may run the task */
  bool returned_task; /* the owner has just returned this task as not run */
  /* How often it has returned the task, if that shows that the free capacity
     in its reports is of no use to the task; else 0.  */
  uint32_t n_misfits;
  mm_capacity_report capacity;
} mm_dispatch_candidate;

/* How the owner is chosen among those with free capacity at the same
   distance.  */
typedef enum
{
  MM_DISPATCH_MOST_FREE, /* the most free places for tasks of average size */
  MM_DISPATCH_MOST_FITS, /* free capacity for the most tasks of this size */
  MM_DISPATCH_TIGHTEST   /* the upstream that the task fits most tightly */
} mm_dispatch_rule;

/* Returns the index of the candidate to which a task of @cpu_milli thousandths
   of a core is dispatched, -1 when none of the @n candidates that suit the
   task has capacity, free or in use.  A task that is dispatched again and
   again, as it is returned, gets to every owner with capacity that suits it.
 */
int mm_dispatch_choose (const mm_dispatch_candidate *c, size_t n,
                        int64_t cpu_milli, mm_dispatch_rule rule);
/* Returns how many tasks of that size fit into an owner's free capacity.  */
uint32_t mm_dispatch_count_fits (const mm_capacity_report *r,
                                 int64_t cpu_milli, mm_dispatch_rule rule);

#endif /* MM_DISPATCH_H */
