/* mm_datacentres: the data centres whose upstreams this instance owns a part
   of.

   These are its own data centre, always, and those that it is standby for.  A
   data centre needs a standby while all of its own instances are killed,
   stopped, without power or being replaced.  Without one, its upstreams would
   be idle, a quarter of all with four data centres of equal size.  */
#ifndef MM_DATACENTRES_H
#define MM_DATACENTRES_H

#include "mm_handover_plan.h"
#include "mm_members.h"
#include "mm_mesh.h"
#include "mm_partitions.h"

typedef struct mm_datacentres mm_datacentres;

/* Callbacks of mm_datacentres.  */
typedef struct
{
  /* Advances the handover of those upstreams of a data centre whose partitions
     are being released, and returns its next step.  @f: the state of the store
     and the links; that of the upstreams is added.  */
  mm_handover_step (*advance) (void *ctx, const char *datacentre,
                               mm_handover_facts *f);
  /* Returns whether the upstream list names any upstream of a data centre, or
     is not known.  */
  bool (*lists_upstreams) (void *ctx, const char *datacentre);
  /* The store has reassigned partitions of a joined group.  */
  void (*changed) (void *ctx);
  void *ctx;
} mm_datacentres_events;

/* @port and @ev are copied; @mesh must outlive the returned object.
   @datacentres: names of all data centres, NULL-terminated.  @own: the data
   centre of this instance.  @member: the member name of this instance.
   @n_partitions: number of partitions in the group of each data centre.  */
mm_datacentres *mm_datacentres_create (const mm_store_port *port,
                                       mm_mesh *mesh, char *const *datacentres,
                                       const char *own, const char *member,
                                       uint32_t n_partitions,
                                       const mm_datacentres_events *ev);
void mm_datacentres_destroy (mm_datacentres *dcs); /* leaves no group */
/* Makes data centres get a standby whose instances the store does not list any
   more; @members must outlive @dcs.  */
void mm_datacentres_set_members (mm_datacentres *dcs, mm_members *members);
/* Sets whether partitions are released while tasks run on their upstreams, if
   the next owners can take the runs over.  */
void mm_datacentres_set_transfer_runs (mm_datacentres *dcs,
                                       bool transfer_runs);
/* Joins and leaves groups, renews the memberships, and releases partitions
   whose upstreams are idle.  Must be called every MM_EXEC_TICK_MS.  */
void mm_datacentres_tick (mm_datacentres *dcs);
/* Returns the state of the upstream's partition.  Sets @fence to its fencing
   token, 0 when this instance doesn't own it.  */
mm_partition_state mm_datacentres_upstream_state (const mm_datacentres *dcs,
                                                  const mm_upstream_info *u,
                                                  uint64_t *fence);
/* Raises the fencing token of the upstream's partition after a higher one was
   seen at the upstream.  */
void mm_datacentres_renew_fence (mm_datacentres *dcs,
                                 const mm_upstream_info *u);
/* Starts leaving all groups.  Upstreams are served until an instance that is
   not shutting down can take them over, or until @release_by_ms; then their
   partitions are released once they are idle.  If no other instance is
   connected, the wait ends at @alone_after_ms.  Both are clock times.  */
void mm_datacentres_leave (mm_datacentres *dcs, mm_time_ms alone_after_ms,
                           mm_time_ms release_by_ms);
/* Makes the next tick call the store for this group, for example after another
   instance has released partitions of the group.  */
void mm_datacentres_poll_now (mm_datacentres *dcs, const char *group);
/* Returns whether this instance has left all groups that it had joined.  */
bool mm_datacentres_has_left (const mm_datacentres *dcs);
/* Returns whether this instance owns any partition.  */
bool mm_datacentres_owns_any (const mm_datacentres *dcs);
/* Returns whether the membership in all joined groups was confirmed so
   recently that no other instance can own this instance's partitions.  */
bool mm_datacentres_confirmed (const mm_datacentres *dcs);
/* Returns a count that rises whenever the owner of an upstream may have
   changed.  */
uint64_t mm_datacentres_changes (const mm_datacentres *dcs);
/* Returns the sum of the generations of all joined groups.  */
uint64_t mm_datacentres_generation (const mm_datacentres *dcs);

#endif /* MM_DATACENTRES_H */
