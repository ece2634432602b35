/* mm_shares: which partitions of one group are assigned to this instance.

   The upstreams of a data centre are hashed to numbered partitions, which the
   store assigns to the members of the data centre's group.  The partitions of
   kept (durable) jobs are assigned in the same way.  */
#ifndef MM_SHARES_H
#define MM_SHARES_H

#include "mm_store.h"

typedef struct mm_shares mm_shares;

typedef enum
{
  MM_SHARE_OTHERS, /* assigned to another instance, or to none */
  MM_SHARE_OURS,   /* tasks may be started */
  MM_SHARE_LEAVING /* about to be handed over: no new tasks */
} mm_share_state;

mm_shares *mm_shares_create (const mm_store_port *port, const char *group,
                             const char *member, uint32_t n_partitions);
void mm_shares_destroy (mm_shares *set);
typedef struct
{
  /* The store has confirmed the release of partitions: other members can get
     them now.  */
  void (*handed) (void *ctx, const char *group);
  /* The store has reassigned the partitions.  */
  void (*changed) (void *ctx);
  void *ctx;
} mm_shares_events;

/* Sets the callbacks; @ev is copied.  */
void mm_shares_on (mm_shares *set, const mm_shares_events *ev);
/* Makes the next tick call the store.  */
void mm_shares_hurry (mm_shares *set);
void mm_shares_tick (mm_shares *set);
/* Releases all partitions and leaves the group.  */
void mm_shares_leave (mm_shares *set);
/* Returns whether the group has been left.  */
bool mm_shares_left (const mm_shares *set);
/* Returns the state of an upstream's partition, or of partition @index.  Sets
   @fence to its fencing token, 0 when this instance doesn't own it.  */
mm_share_state mm_shares_of (const mm_shares *set, const char *upstream,
                             uint64_t *fence);
mm_share_state mm_shares_of_part (const mm_shares *set, uint32_t index,
                                  uint64_t *fence);
/* Returns when the last join that the store has confirmed was sent, 0: never.
   No other instance gets this instance's partitions until MM_GROUP_TTL_MS
   after that.  */
mm_time_ms mm_shares_sure_ms (const mm_shares *set);
/* Renews the fencing token after a higher one was seen: the newest generation
   becomes the token of the upstream's partition, or of partition @index.  */
void mm_shares_retake (mm_shares *set, const char *upstream);
void mm_shares_retake_part (mm_shares *set, uint32_t index);
/* Hands over the partitions being released; call this once nothing runs there
   any more.  */
void mm_shares_release (mm_shares *set);
/* Returns whether any partition is being released.  */
bool mm_shares_releasing (const mm_shares *set);
/* Returns whether any partition is owned.  */
bool mm_shares_any (const mm_shares *set);
/* Rises whenever the state or token of a partition may have changed.  */
uint64_t mm_shares_changes (const mm_shares *set);
/* Generation of the group in the last answer of the store.  */
uint64_t mm_shares_generation (const mm_shares *set);

#endif /* MM_SHARES_H */
