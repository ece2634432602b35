/* mm_partitions: which partitions of one group are assigned to this instance.

   The upstreams of a data centre are hashed to numbered partitions, which the
   store assigns to the members of the data centre's group.  The partitions of
   kept (durable) jobs are assigned in the same way.  */
#ifndef MM_PARTITIONS_H
#define MM_PARTITIONS_H

#include "mm_store.h"

/* The membership of this instance in one group.  */
typedef struct mm_partitions mm_partitions;

/* The state of a partition, as seen by this instance.  */
typedef enum
{
  MM_PARTITION_ELSEWHERE, /* assigned to another instance, or to none */
  MM_PARTITION_OWNED,     /* tasks may be started */
  MM_PARTITION_RELEASING, /* handed over once the runs there have ended, or can
                             be left to the next owner */
  /* Handed over; the store may not know it yet.  Nothing may be started.  Only
     after mm_partitions_defer_in_outages(), else MM_PARTITION_ELSEWHERE.  */
  MM_PARTITION_RELEASED
} mm_partition_state;

/* Returns the partition, of @n_partitions, that an upstream is hashed to.  */
uint32_t mm_partitions_index_of (const char *upstream, uint32_t n_partitions);
/* Joins the group with the first tick.  @port is copied; @member: the member
   name of this instance; @n_partitions: the number of partitions of the group.
   Free with mm_partitions_destroy(), which does not leave the group.  */
mm_partitions *mm_partitions_create (const mm_store_port *port,
                                     const char *group, const char *member,
                                     uint32_t n_partitions);
void mm_partitions_destroy (mm_partitions *set);
/* Callbacks of mm_partitions; each may be NULL.  */
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
/* Defers handovers while the store does not answer: until then, the state of
   the partitions is MM_PARTITION_OWNED.  */
void mm_partitions_defer_in_outages (mm_partitions *set);
/* Makes the next tick call the store.  */
void mm_partitions_poll_now (mm_partitions *set);
/* Sends a call to the store when one is due, and releases partitions whose
   release has taken longer than MM_HANDOVER_MS.  Must be called every
   MM_EXEC_TICK_MS.  */
void mm_partitions_tick (mm_partitions *set);
/* Gives up all partitions at once; the ticks that follow leave the group.  */
void mm_partitions_leave (mm_partitions *set);
/* Returns whether the store has confirmed that this instance left the
   group.  */
bool mm_partitions_has_left (const mm_partitions *set);
/* Returns the state of an upstream's partition, or of partition @index.  Sets
   @fence to its fencing token, 0 when this instance doesn't own it.  */
mm_partition_state mm_partitions_upstream_state (const mm_partitions *set,
                                                 const char *upstream,
                                                 uint64_t *fence);
mm_partition_state mm_partitions_state (const mm_partitions *set,
                                        uint32_t index, uint64_t *fence);
/* Returns the time at which the last join that the store has confirmed was
   sent, 0: never.  No other instance gets this instance's partitions until
   MM_GROUP_TTL_MS after that time.  */
mm_time_ms mm_partitions_confirmed_ms (const mm_partitions *set);
/* Returns how long the last join that was answered took, or for how long the
   one in flight has waited if that is longer; -1: the last join failed, or
   there was none.  */
mm_time_ms mm_partitions_answer_ms (const mm_partitions *set);
/* Returns whether a call to the store is under way: nothing is released before
   its answer.  */
bool mm_partitions_is_calling (const mm_partitions *set);
/* Makes the newest generation of the group the fencing token of the upstream's
   partition, or of partition @index, if this instance owns it.  Needed after a
   higher token than this instance's was seen there.  */
void mm_partitions_renew_upstream_fence (mm_partitions *set,
                                         const char *upstream);
void mm_partitions_renew_fence (mm_partitions *set, uint32_t index);
/* Hands over the partitions in state MM_PARTITION_RELEASING.  Must be called
   once nothing runs there any more, or only runs that are left to the next
   owner.  If the store does not carry the release
   out, they are owned again.  */
void mm_partitions_release (mm_partitions *set);
/* Returns whether any partition is in state MM_PARTITION_RELEASING.  */
bool mm_partitions_releasing (const mm_partitions *set);
/* Returns whether this instance owns any partition.  */
bool mm_partitions_owns_any (const mm_partitions *set);
/* Returns a count that rises whenever the state or fencing token of a
   partition may have changed.  */
uint64_t mm_partitions_changes (const mm_partitions *set);
/* Returns the generation of the group in the last answer of the store.  */
uint64_t mm_partitions_generation (const mm_partitions *set);

#endif /* MM_PARTITIONS_H */
