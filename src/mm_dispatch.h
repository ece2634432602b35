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
  bool returned_task; /* the owner has just returned this task as not run */
  mm_capacity_report capacity;
} mm_dispatch_candidate;

/* Returns the index of the candidate to dispatch to, -1 when the @n candidates
   have no capacity, free or in use.  */
int mm_dispatch_choose (const mm_dispatch_candidate *c, size_t n);

#endif /* MM_DISPATCH_H */
