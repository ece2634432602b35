/* mm_neighbours: chooses the instances that this one links to.  */
#ifndef MM_NEIGHBOURS_H
#define MM_NEIGHBOURS_H

#include "masticmill.h"

/* Another known instance.  */
typedef struct
{
  const char *name;
  const char *datacentre;
  bool is_standby;    /* may own upstreams of another data centre */
  mm_time_ms lost_ms; /* when a link to it was last lost, 0: never */
} mm_neighbour;

/* Sets in @chosen, an array of @n values, whether each of the @n candidates
   gets a link.  */
void mm_neighbours_choose (const char *self, const char *own_datacentre,
                           const mm_neighbour *candidates, size_t n,
                           mm_time_ms now, bool *chosen);

#endif /* MM_NEIGHBOURS_H */
