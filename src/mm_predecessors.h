/* mm_predecessors: take earlier lives of this instance out of their groups.

   A restarted instance is a new member, and what its earlier life held stays
   with that until its membership lapses.  Who listens on a member's address is
   its successor, so the earlier life is dead and need not be waited for.  */
#ifndef MM_PREDECESSORS_H
#define MM_PREDECESSORS_H

#include "mm_store.h"

typedef struct mm_predecessors mm_predecessors;

/* @self: our member name, whose address we listen on.  */
mm_predecessors *mm_predecessors_create (const mm_store_port *port,
                                         const char *self);
void mm_predecessors_destroy (mm_predecessors *p);
/* The store told who holds partitions of @group.  */
void mm_predecessors_note (mm_predecessors *p, const char *group,
                           const mm_members_result *res);

#endif /* MM_PREDECESSORS_H */
