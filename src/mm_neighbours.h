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
   gets a link.  @self: the name of this instance.  @candidates: the other
   known instances.  Chooses at most MM_NEIGHBOURS_NEAR instances of the own
   data centre, and at most MM_NEIGHBOURS_FAR of the other data centres
   together, of which at most MM_NEIGHBOURS_FAR_EACH of any one.  In addition
   chooses every instance that is standby for a data centre, as only standbys
   own the upstreams there.  */
void mm_neighbours_choose (const char *self, const char *own_datacentre,
                           const mm_neighbour *candidates, size_t n,
                           mm_time_ms now, bool *chosen);

#endif /* MM_NEIGHBOURS_H */
