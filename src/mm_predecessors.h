/* mm_predecessors: removes previous incarnations of this instance from groups.

   A restarted instance is a new member, and the partitions of its previous
   incarnation stay assigned to the previous one until that membership expires.
   But only one process can listen on an address: a member with the address of
   this instance and another name is a previous incarnation, which is dead.
   There is no need to wait for its membership to expire.  */
#ifndef MM_PREDECESSORS_H
#define MM_PREDECESSORS_H

#include "mm_store.h"

typedef struct mm_predecessors mm_predecessors;

/* Called when the store has removed a previous incarnation from @group.  */
typedef void (*mm_predecessors_removed) (void *ctx, const char *group);

/* @port is copied.  @self: the member name of this instance, which contains
   the address that it listens on.  */
mm_predecessors *mm_predecessors_create (const mm_store_port *port,
                                         const char *self);
void mm_predecessors_destroy (mm_predecessors *p);
void mm_predecessors_on_removed (mm_predecessors *p,
                                 mm_predecessors_removed removed, void *ctx);
/* Removes previous incarnations of this instance from @group.  @res: the
   store's answer to a read of the members of the group.  */
void mm_predecessors_check (mm_predecessors *p, const char *group,
                            const mm_members_result *res);

#endif /* MM_PREDECESSORS_H */
