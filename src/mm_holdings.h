/* mm_holdings: the data centres whose upstreams this instance owns a part of.

   These are its own data centre, always, and those that it is standby for.  A
   data centre needs a standby while none of its own instances is left: when
   all of them are killed, stopped or being replaced, a quarter of all
   upstreams would otherwise be idle.  */
#ifndef MM_HOLDINGS_H
#define MM_HOLDINGS_H

#include "mm_mesh.h"
#include "mm_shares.h"

typedef struct mm_holdings mm_holdings;

typedef struct
{
  /* Returns whether nothing runs any more on the upstreams of a data centre
     whose partitions are being released.  */
  bool (*quiet) (void *ctx, const char *datacentre);
  /* The store has reassigned partitions of a joined group.  */
  void (*changed) (void *ctx);
  void *ctx;
} mm_holdings_events;

mm_holdings *mm_holdings_create (const mm_store_port *port, mm_mesh *mesh,
                                 char *const *datacentres, const char *own,
                                 const char *member, uint32_t n_partitions,
                                 const mm_holdings_events *ev);
void mm_holdings_destroy (mm_holdings *dcs);
void mm_holdings_tick (mm_holdings *dcs);
/* Returns the state of the upstream's partition.  Sets @fence to its fencing
   token, 0 when this instance doesn't own it.  */
mm_share_state mm_holdings_of (const mm_holdings *dcs,
                               const mm_upstream_info *u, uint64_t *fence);
/* Renews the fencing token of the upstream's partition.  */
void mm_holdings_retake (mm_holdings *dcs, const mm_upstream_info *u);
/* Starts leaving all groups.  Upstreams are served until an instance that is
   not shutting down can take them over, or until @release_by_ms; then their
   partitions are released once they are idle.  If no other instance is
   connected, the wait ends at @alone_after_ms.  Both are clock times.  */
void mm_holdings_leave (mm_holdings *dcs, mm_time_ms alone_after_ms,
                        mm_time_ms release_by_ms);
/* Calls the store at the next tick, as partitions of this group have been
   released.  */
void mm_holdings_hurry (mm_holdings *dcs, const char *group);
/* Returns whether this instance has left all groups that it had joined.  */
bool mm_holdings_left (const mm_holdings *dcs);
/* Returns whether this instance owns any partition.  */
bool mm_holdings_any (const mm_holdings *dcs);
/* Returns whether the membership in all joined groups was confirmed so
   recently that no other instance can own this instance's partitions.  */
bool mm_holdings_sure (const mm_holdings *dcs);
/* Rises whenever the owner of an upstream may have changed.  */
uint64_t mm_holdings_changes (const mm_holdings *dcs);
/* Sum of the generations of all joined groups.  */
uint64_t mm_holdings_generation (const mm_holdings *dcs);

#endif /* MM_HOLDINGS_H */
