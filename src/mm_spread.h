/* mm_dispatch: which owner of upstreams a task is dispatched to.  */
#ifndef MM_SPREAD_H
#define MM_SPREAD_H

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
  bool gave_back; /* the owner has just returned this task as not run */
  mm_room_report room;
} mm_spread_choice;

/* Index of the owner to dispatch to, -1 when none has any capacity.  */
int mm_spread_choose (const mm_spread_choice *c, size_t n);

#endif /* MM_SPREAD_H */
