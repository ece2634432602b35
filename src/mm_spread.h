/* mm_spread: which owner of upstreams a task is handed to.  */
#ifndef MM_SPREAD_H
#define MM_SPREAD_H

#include "mm_owner.h"

typedef enum
{
  MM_NEAR_SELF,       /* this instance */
  MM_NEAR_DATACENTRE, /* same data centre */
  MM_NEAR_FAR         /* another one */
} mm_nearness;

typedef struct
{
  mm_nearness near;
  bool gave_back; /* it has just given this task back, not run */
  mm_room_report room;
} mm_spread_choice;

/* Index of the owner to ask, -1 when none has any place.  */
int mm_spread_choose (const mm_spread_choice *c, size_t n);

#endif /* MM_SPREAD_H */
