/* mm_shares: which of a data centre's upstreams are ours.

   Upstreams are hashed to numbered partitions, and the store shares the
   partitions out among the data centre's instances.  */
#ifndef MM_SHARES_H
#define MM_SHARES_H

#include "mm_store.h"

typedef struct mm_shares mm_shares;

typedef enum
{
  MM_SHARE_OTHERS, /* another instance's, or nobody's */
  MM_SHARE_OURS,   /* start what fits */
  MM_SHARE_LEAVING /* about to be handed over: start nothing */
} mm_share_state;

mm_shares *mm_shares_create (const mm_store_port *port, const char *group,
                             const char *member, uint32_t parts);
void mm_shares_destroy (mm_shares *s);
typedef struct
{
  /* The store has passed on what we let go of.  */
  void (*handed) (void *ctx, const char *group);
  /* The store has dealt the partitions out anew.  */
  void (*changed) (void *ctx);
  void *ctx;
} mm_shares_events;

void mm_shares_on (mm_shares *s, const mm_shares_events *ev); /* copied */
void mm_shares_hurry (mm_shares *s); /* ask the store at the next tick */
void mm_shares_tick (mm_shares *s);
void mm_shares_leave (mm_shares *s); /* give up all of them */
bool mm_shares_left (const mm_shares *s);
mm_share_state mm_shares_of (const mm_shares *s, const char *upstream,
                             uint64_t *fence); /* whose is it? */
mm_share_state mm_shares_of_part (const mm_shares *s, uint32_t part,
                                  uint64_t *fence);
/* When the last join that the store has confirmed was sent: until
   MM_GROUP_TTL_MS after that nobody else gets what is ours.  0: never.  */
mm_time_ms mm_shares_sure_ms (const mm_shares *s);
/* A higher token than ours was seen: use the newest generation.  */
void mm_shares_retake (mm_shares *s, const char *upstream);
void mm_shares_retake_part (mm_shares *s, uint32_t part);
/* Nothing runs any more on what is leaving: hand it over.  */
void mm_shares_release (mm_shares *s);
bool mm_shares_releasing (const mm_shares *s);
bool mm_shares_any (const mm_shares *s); /* is any partition ours? */
/* Rises whenever a partition's state or token may have changed.  */
uint64_t mm_shares_changes (const mm_shares *s);
uint64_t mm_shares_generation (const mm_shares *s);

#endif /* MM_SHARES_H */
