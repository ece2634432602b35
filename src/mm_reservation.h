/* mm_reservation: late binding of tasks for which no owner has free capacity.

   Such a task reserves at several owners and is bound to the first one that
   offers capacity.  A dispatch to a single owner is decided by a report that
   is up to 200 ms old, and under load a third of such dispatches comes back
   unstarted.  */
#ifndef MM_RESERVATION_H
#define MM_RESERVATION_H

#include "mm_dispatch.h"

/* Chooses the owners at which a task reserves: those with capacity that are
   expected to start it soonest, by their queues and their distance.  Sets
   @chosen, an array of @max entries, to indexes of @c in that order.  Returns
   the number of entries set, 0 when none of the @n candidates has
   capacity.  */
size_t mm_reservation_choose (const mm_dispatch_candidate *c, size_t n,
                              size_t max, size_t *chosen);

#endif /* MM_RESERVATION_H */
