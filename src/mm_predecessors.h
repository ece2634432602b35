/* mm_predecessors: removes previous incarnations of this instance from groups.

   A restarted instance is a new member, and the partitions of its previous
   incarnation stay assigned to that one until its membership expires.  The
   instance that now listens on a member's address is its successor, so the
   previous incarnation is dead and its expiry need not be awaited.  */
#ifndef MM_PREDECESSORS_H
#define MM_PREDECESSORS_H

#include "mm_store.h"

typedef struct mm_predecessors mm_predecessors;

/* @self: the member name of this instance, with the address that it listens
   on.  */
mm_predecessors *mm_predecessors_create (const mm_store_port *port,
                                         const char *self);
void mm_predecessors_destroy (mm_predecessors *p);
/* Checks the store's answer with the members of @group, and removes previous
   incarnations of this instance from the group.  */
void mm_predecessors_check (mm_predecessors *p, const char *group,
                            const mm_members_result *res);

#endif /* MM_PREDECESSORS_H */
