/* mm_members: who the other instances are, from the store's groups.  */
#ifndef MM_MEMBERS_H
#define MM_MEMBERS_H

#include "mm_mesh.h"
#include "mm_predecessors.h"

typedef struct mm_members mm_members;

/* A member's name carries its mesh address and its data centre, as it may
   be a member of another data centre's group too.  */
char *mm_members_name (const char *instance, const char *mesh_addr,
                       const char *datacentre);
/* Its parts, freed by mm_peer_info_clear(); false: no name of ours.  */
bool mm_members_read_name (const char *name, mm_peer_info *out);
char *mm_members_group (const char *datacentre); /* its group's name */

mm_members *mm_members_create (const mm_store_port *port, mm_mesh *mesh,
                               char *const *datacentres, const char *own,
                               const char *self /* member name */,
                               mm_predecessors *predecessors);
void mm_members_destroy (mm_members *m);
/* The store has told of members; or an instance has linked to us that may
   have joined @group just now, NULL otherwise.  */
typedef void (*mm_members_changed) (void *ctx, const char *group);
void mm_members_on_changed (mm_members *m, mm_members_changed changed,
                            void *ctx);
bool mm_members_heard (const mm_members *m); /* of our own data centre */
void mm_members_tick (mm_members *m);

#endif /* MM_MEMBERS_H */
