/* mm_neighbours: which of the other instances this one links to.  */
#ifndef MM_NEIGHBOURS_H
#define MM_NEIGHBOURS_H

#include "masticmill.h"

/* Another instance that is known.  */
typedef struct
{
  const char *name;
  const char *datacentre;
  bool stands_in; /* holds upstreams of a data centre that is not its own */
  mm_time_ms lost_ms; /* when a link to it was last lost, 0: never */
} mm_neighbour;

/* Sets @chosen of each of the @n instances.  */
void mm_neighbours_choose (const char *self, const char *own_datacentre,
                           const mm_neighbour *c, size_t n, mm_time_ms now,
                           bool *chosen);

#endif /* MM_NEIGHBOURS_H */
