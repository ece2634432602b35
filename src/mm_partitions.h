/* mm_partitions: which partitions of one group are assigned to this instance.

   The upstreams of a data centre are hashed to numbered partitions, which the
   store assigns to the members of the data centre's group.  The partitions of
   kept (durable) jobs are assigned in the same way.  */
#ifndef MM_PARTITIONS_H
#define MM_PARTITIONS_H

#include "mm_store.h"

typedef struct mm_partitions mm_partitions;

typedef enum
{
  MM_PARTITION_ELSEWHERE, /* assigned to another instance, or to none */
  MM_PARTITION_OWNED,     /* tasks may be started */
  MM_PARTITION_RELEASING  /* about to be handed over: no new tasks */
} mm_partition_state;

mm_partitions *mm_partitions_create (const mm_store_port *port,
                                     const char *group, const char *member,
                                     uint32_t n_partitions);
void mm_partitions_destroy (mm_partitions *set);
typedef struct
{
  /* The store has confirmed the release of partitions: other members can get
     them now.  */
  void (*released) (void *ctx, const char *group);
  /* The store has reassigned the partitions.  */
  void (*changed) (void *ctx);
  void *ctx;
} mm_partitions_events;

/* Sets the callbacks; @ev is copied.  */
void mm_partitions_set_events (mm_partitions *set,
                               const mm_partitions_events *ev);
/* Makes the next tick call the store.  */
void mm_partitions_poll_now (mm_partitions *set);
void mm_partitions_tick (mm_partitions *set);
/* Releases all partitions and leaves the group.  */
void mm_partitions_leave (mm_partitions *set);
/* Returns whether the group has been left.  */
bool mm_partitions_has_left (const mm_partitions *set);
/* Returns the state of an upstream's partition, or of partition @index.  Sets
   @fence to its fencing token, 0 when this instance doesn't own it.  */
mm_partition_state mm_partitions_upstream_state (const mm_partitions *set,
                                                 const char *upstream,
                                                 uint64_t *fence);
mm_partition_state mm_partitions_state (const mm_partitions *set,
                                        uint32_t index, uint64_t *fence);
/* Returns when the last join that the store has confirmed was sent, 0: never.
   No other instance gets this instance's partitions until MM_GROUP_TTL_MS
   after that.  */
mm_time_ms mm_partitions_confirmed_ms (const mm_partitions *set);
/* Renews the fencing token after a higher one was seen: the newest generation
   becomes the token of the upstream's partition, or of partition @index.  */
void mm_partitions_renew_upstream_fence (mm_partitions *set,
                                         const char *upstream);
void mm_partitions_renew_fence (mm_partitions *set, uint32_t index);
/* Hands over the partitions being released; call this once nothing runs there
   any more.  */
void mm_partitions_release (mm_partitions *set);
/* Returns whether any partition is being released.  */
bool mm_partitions_releasing (const mm_partitions *set);
/* Returns whether any partition is owned.  */
bool mm_partitions_owns_any (const mm_partitions *set);
/* Rises whenever the state or token of a partition may have changed.  */
uint64_t mm_partitions_changes (const mm_partitions *set);
/* Generation of the group in the last answer of the store.  */
uint64_t mm_partitions_generation (const mm_partitions *set);

#endif /* MM_PARTITIONS_H */
