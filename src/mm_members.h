/* mm_members: finds the other instances in the store's groups.  */
#ifndef MM_MEMBERS_H
#define MM_MEMBERS_H

#include "mm_mesh.h"
#include "mm_predecessors.h"

typedef struct mm_members mm_members;

/* Returns a member name that holds the instance's mesh address and data
   centre, as it may be a member of another data centre's group too.  */
char *mm_members_name (const char *instance, const char *mesh_addr,
                       const char *datacentre);
/* Parses a member name; free @out with mm_mesh_peer_info_clear().  Returns
   false when @name was not made by mm_members_name().  */
bool mm_members_parse_name (const char *name, mm_mesh_peer_info *out);
/* Returns the name of a data centre's group.  */
char *mm_members_group (const char *datacentre);

mm_members *mm_members_create (const mm_store_port *port, mm_mesh *mesh,
                               char *const *datacentres, const char *own,
                               const char *self /* member name */,
                               mm_predecessors *predecessors);
void mm_members_destroy (mm_members *m);
/* Called when the store has listed members, with @group NULL, and when an
   instance that may just have joined @group has linked to this one.  */
typedef void (*mm_members_changed) (void *ctx, const char *group);
void mm_members_on_changed (mm_members *m, mm_members_changed changed,
                            void *ctx);
/* Returns whether the members of the own data centre have been read at least
   once.  */
bool mm_members_loaded (const mm_members *m);
void mm_members_tick (mm_members *m);

#endif /* MM_MEMBERS_H */
