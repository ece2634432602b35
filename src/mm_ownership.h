/* mm_ownership: decides which upstreams this instance has sessions with.

   A session (mm_exec) starts tasks at one upstream and renews the leases of
   its runs.  This instance keeps a session with each listed upstream whose
   partition it owns.  A session gets each change of its upstream's list entry
   at once, also during a handover of the partition: a handover takes seconds,
   in which short tasks are still started.  This module uses no network.  */
#ifndef MM_OWNERSHIP_H
#define MM_OWNERSHIP_H

#include "mm_catalog.h"
#include "mm_owner.h"
#include "mm_partitions.h"

typedef struct mm_ownership mm_ownership;

/* Source of the partitions that this instance owns.  */
typedef struct
{
  /* Returns the state of the upstream's partition and sets @fence to its
     fencing token.  */
  mm_partition_state (*state_of) (void *ctx, const mm_upstream_info *u,
                                  uint64_t *fence);
  /* Raises the fencing token of the upstream's partition after a higher one
     was seen at the upstream.  */
  void (*renew_fence) (void *ctx, const mm_upstream_info *u);
  /* Returns a count that rises whenever the state or fencing token of a
     partition may have changed.  */
  uint64_t (*change_count) (void *ctx);
  /* Returns whether this instance owns any partition.  */
  bool (*owns_any) (void *ctx);
  void *ctx;
} mm_ownership_partitions;

/* @catalog and @owner must outlive the returned object; @partitions is copied.
   Free with mm_ownership_destroy().  */
mm_ownership *mm_ownership_create (mm_catalog *catalog, mm_owner *owner,
                                   const mm_ownership_partitions *partitions);
void mm_ownership_destroy (mm_ownership *ownership);
/* Opens and closes sessions as the upstream list and the partitions require.
   @list_fresh: whether the list has been read since this instance last owned
   no partition; until then no session is opened.  Must be called every
   MM_EXEC_TICK_MS.  */
void mm_ownership_tick (mm_ownership *ownership, bool list_fresh);
/* Returns whether nothing runs any more on those upstreams of a data centre
   whose partitions are being released.  */
/* Adds the state of the upstreams of a data centre whose partitions are being
   released to @f, and advances their handover by the step that follows from
   it, which is returned.  */
mm_handover_step mm_ownership_advance_handover (mm_ownership *ownership,
                                                const char *datacentre,
                                                mm_handover_facts *f);
bool mm_ownership_idle (const mm_ownership *ownership, const char *datacentre);

#endif /* MM_OWNERSHIP_H */
