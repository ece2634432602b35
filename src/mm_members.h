/* mm_members: finds the other instances, by reading from the store which are
   members of the group of each data centre.  */
#ifndef MM_MEMBERS_H
#define MM_MEMBERS_H

#include "mm_mesh.h"
#include "mm_predecessors.h"

typedef struct mm_members mm_members;

/* Returns the member name of an instance, free with g_free().  The name
   contains the instance's mesh address, and its data centre, because a standby
   is also a member of another data centre's group.  */
char *mm_members_name (const char *instance, const char *mesh_addr,
                       const char *datacentre);
/* Parses a member name; free @out with mm_mesh_peer_info_clear().  Returns
   false when @name was not made by mm_members_name().  */
bool mm_members_parse_name (const char *name, mm_mesh_peer_info *out);
/* Returns the name of a data centre's group, free with g_free().  */
char *mm_members_group (const char *datacentre);

/* @port is copied; @mesh and @predecessors must outlive the returned object.
   @datacentres: names of all data centres, NULL-terminated.  @own: the data
   centre of this instance.  */
mm_members *mm_members_create (const mm_store_port *port, mm_mesh *mesh,
                               char *const *datacentres, const char *own,
                               const char *self /* member name */,
                               mm_predecessors *predecessors);
void mm_members_destroy (mm_members *m);
/* Called with @group NULL when the store has listed the members of a group,
   and with the group of an instance's data centre when that instance has
   linked to this one, since it may just have joined the group.  */
typedef void (*mm_members_changed) (void *ctx, const char *group);
void mm_members_on_changed (mm_members *m, mm_members_changed changed,
                            void *ctx);
/* Returns whether the members of the own data centre have been read at least
   once.  */
bool mm_members_loaded (const mm_members *m);
/* Returns the member that holds a partition of the data centre's group, NULL
   when none is known; valid until the members are read again.  They are read
   again now if that was last done MM_OWNER_FINDER_AGE_MS ago.  */
const char *mm_members_holder (mm_members *m, const char *datacentre,
                               uint32_t partition);
/* What the store lists of the instances of a data centre.  */
typedef struct
{
  bool absent;          /* its last answer lists none of them */
  mm_time_ms absent_ms; /* for how long its answers have listed none, up to the
                           last one */
  uint32_t n_members;   /* members of the group, with standbys */
} mm_members_absence;

/* Returns what the last answers of the store show of a data centre.  */
mm_members_absence mm_members_absence_of (const mm_members *m,
                                          const char *datacentre);
/* Reads the members of a data centre again now if that was last done
   MM_STANDBY_ABSENT_POLL_MS ago.  */
void mm_members_refresh (mm_members *m, const char *datacentre);
/* Reads members from the store when a read is due, and passes them to the mesh
   as its peers.  Must be called every MM_EXEC_TICK_MS.  */
void mm_members_tick (mm_members *m);

#endif /* MM_MEMBERS_H */
